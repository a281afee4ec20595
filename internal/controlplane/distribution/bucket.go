package distribution

import "slices"

// BucketCount is the number of buckets into which records are divided by the hash of their keys. A
// replica that lacks d records fetches the digests of all buckets (16 bytes each) and about d
// buckets. With 7,300 servers and 60,000 tenants a bucket holds 33 records on average (see
// serverBuckets), and 2,048 buckets come close to the fewest bytes for the usual gap of ten to a
// few hundred records. The count is part of the protocol: all members of a fleet must use the same.
const BucketCount = 2048

// serverBuckets is the number of buckets that hold only servers. Servers change far more often than
// tenants and plans and are fewer. If buckets held both, a replica would fetch tenants together
// with each missing server.
const serverBuckets = BucketCount / 2

// bucket holds the records of one bucket, sorted by key. A bucket that is part of a State is never
// modified, so that states can share it.
type bucket struct {
	records []Record
	// sum is the sum of the records' hashes.
	sum   Digest
	bytes int
}

// emptyBucket is the bucket without records.
var emptyBucket = &bucket{}

// newBucket returns a bucket with the records, which must be sorted by key.
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

// put applies a change to a bucket that is not yet part of a State.
func (b *bucket) put(c *Change) {
	index, found := b.find(&c.Record)
	if found {
		b.sum = b.sum.minus(recordHash(&b.records[index]))
		b.bytes -= b.records[index].size()
	}
	switch {
	case c.Deleted && found:
		b.records = slices.Delete(b.records, index, index+1)
	case c.Deleted:
	case found:
		b.records[index] = c.Record
	default:
		b.records = slices.Insert(b.records, index, c.Record)
	}
	if !c.Deleted {
		b.sum = b.sum.plus(recordHash(&c.Record))
		b.bytes += c.size()
	}
}
