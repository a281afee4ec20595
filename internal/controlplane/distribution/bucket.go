package distribution

import "slices"

// BucketCount is in how many buckets a state's records lie by the hash of their keys. A replica
// that lacks d records fetches the sums of all buckets (16 bytes each) and about d buckets. With
// 7,300 servers and 60,000 tenants a bucket holds 33 records in the mean (see serverBuckets): 2,048
// is near the least sum of both for ten to a few hundred records, the usual gap. It is a part of
// the protocol: all members of a fleet need the same.
const BucketCount = 2048

// serverBuckets is how many of the buckets are the servers' own. Servers change far more often than
// tenants and plans, of which there are more: in buckets of both, each server that a replica lacks
// would have it fetch tenants.
const serverBuckets = BucketCount / 2

// bucket is the records of one bucket by key. One that is in a State is never changed, so that
// states share them.
type bucket struct {
	records []Record
	sum     Digest // of the records' hashes
	bytes   int
}

// noRecords is the bucket without records.
var noRecords = &bucket{}

// newBucket makes a bucket of records in the order of their keys.
func newBucket(records []Record) *bucket {
	b := &bucket{records: records}
	for i := range records {
		b.sum = b.sum.plus(recordHash(&records[i]))
		b.bytes += records[i].size()
	}
	return b
}

func (b *bucket) clone() *bucket {
	return &bucket{records: slices.Clone(b.records), sum: b.sum, bytes: b.bytes}
}

func (b *bucket) find(key *Record) (int, bool) {
	return slices.BinarySearchFunc(b.records, key, func(r Record, key *Record) int {
		return compareKeys(&r, key)
	})
}

// put carries a change out on a bucket that is in no State yet.
func (b *bucket) put(c *Change) {
	at, there := b.find(&c.Record)
	if there {
		b.sum = b.sum.minus(recordHash(&b.records[at]))
		b.bytes -= b.records[at].size()
	}
	switch {
	case c.Deleted && there:
		b.records = slices.Delete(b.records, at, at+1)
	case c.Deleted:
	case there:
		b.records[at] = c.Record
	default:
		b.records = slices.Insert(b.records, at, c.Record)
	}
	if !c.Deleted {
		b.sum = b.sum.plus(recordHash(&c.Record))
		b.bytes += c.size()
	}
}
