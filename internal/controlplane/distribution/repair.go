package distribution

import (
	"fmt"

	"mothcleat/internal/controlplane/distributionpb"
)

// Sums are the sums of all buckets, in the order of their indexes.
type Sums []Digest

// Sums gives the sums of the state's buckets.
func (s *State) Sums() Sums {
	sums := make(Sums, len(s.buckets))
	for i, b := range s.buckets {
		sums[i] = b.sum
	}
	return sums
}

// Encode gives 16 bytes a bucket.
func (s Sums) Encode() []byte {
	raw := make([]byte, 0, len(s)*DigestBytes)
	for _, sum := range s {
		raw = sum.appendTo(raw)
	}
	return raw
}

// DecodeSums reads what Encode wrote; an InvalidMessageError where it is not one to BucketCount
// sums.
func DecodeSums(raw []byte) (Sums, error) {
	count := len(raw) / DigestBytes
	if count == 0 || count > BucketCount || len(raw)%DigestBytes != 0 {
		return nil, &InvalidMessageError{
			"digests", fmt.Sprintf("%d bytes are not the sums of buckets", len(raw)),
		}
	}
	sums := make(Sums, count)
	for i := range sums {
		sums[i], _ = DecodeDigest(raw[i*DigestBytes : (i+1)*DigestBytes])
	}
	return sums, nil
}

// BucketMessage gives a bucket as a message, and about how many bytes it takes. It shares the
// values' bytes.
func (s *State) BucketMessage(index uint32) (m *distributionpb.Bucket, bytes int) {
	b := s.buckets[index]
	return bucketToProto(index, b), b.bytes
}

func bucketToProto(index uint32, b *bucket) *distributionpb.Bucket {
	return &distributionpb.Bucket{Index: index, Records: appendRecords(nil, b.records)}
}

// Bucket gives the records of a bucket; the caller doesn't change them.
func (s *State) Bucket(index uint32) []Record { return s.buckets[index].records }

// Repair makes a state that is at a position out of one that is not, by those buckets alone that
// differ. The state that it began with stays as it is.
type Repair struct {
	target  Position
	sums    Sums
	buckets []*bucket
	missing map[uint32]bool
}

// NewRepair compares a state with the sums of all buckets at a position.
func NewRepair(base *State, target Position, sums Sums) *Repair {
	r := &Repair{target, sums, append([]*bucket(nil), base.buckets...), map[uint32]bool{}}
	for i, b := range r.buckets {
		if b.sum != sums[i] {
			r.missing[uint32(i)] = true
		}
	}
	return r
}

// Target is the position that the repair leads to.
func (r *Repair) Target() Position { return r.target }

// Missing gives the buckets that differ and have not been put yet, ascending.
func (r *Repair) Missing() []uint32 {
	var missing []uint32
	for i := range uint32(BucketCount) {
		if r.missing[i] {
			missing = append(missing, i)
		}
	}
	return missing
}

// Put takes a bucket in. Whatever the replica held there and the bucket doesn't is gone. It returns
// an error and leaves the repair as it is for a bucket that was not missing or has no such index
// (InvalidMessageError), a record that can't be read (InvalidRecordError), and records that don't
// come to the bucket's sum (DigestMismatchError).
func (r *Repair) Put(m *distributionpb.Bucket) error {
	index := m.GetIndex()
	if !r.missing[index] {
		return &InvalidMessageError{"bucket", fmt.Sprintf("bucket %d was not asked for", index)}
	}
	b, err := bucketFromProto(m)
	if err != nil {
		return err
	}
	if b.sum != r.sums[index] {
		return &DigestMismatchError{
			Position:  r.target,
			Got:       b.sum,
			OfBuckets: true,
			Bucket:    int32(index),
		}
	}
	r.buckets[index] = b
	delete(r.missing, index)
	return nil
}

// bucketFromProto reads a bucket. Its records have to be its own and in the order of their keys.
func bucketFromProto(m *distributionpb.Bucket) (*bucket, error) {
	records := make([]Record, len(m.GetRecords()))
	for i, message := range m.GetRecords() {
		records[i] = Record{message.GetKind(), message.GetId(), message.GetValue()}
		if err := (&Change{Record: records[i]}).check(); err != nil {
			return nil, err
		}
		if bucketIndex(records[i].Kind, records[i].ID) != m.GetIndex() {
			return nil, &InvalidMessageError{
				"bucket", fmt.Sprintf("%q is not of bucket %d", records[i].ID, m.GetIndex()),
			}
		}
		if i > 0 && compareKeys(&records[i-1], &records[i]) >= 0 {
			return nil, &InvalidMessageError{
				"bucket", fmt.Sprintf("%q is out of order", records[i].ID),
			}
		}
	}
	return newBucket(records), nil
}

// Finish gives the state at the target. It returns an InvalidMessageError where buckets are
// missing, and a DigestMismatchError where all buckets fit their sums and the sums don't fit the
// position's digest.
func (r *Repair) Finish() (*State, error) {
	if len(r.missing) > 0 {
		return nil, &InvalidMessageError{
			"buckets", fmt.Sprintf("%d of them are missing", len(r.missing)),
		}
	}
	s := r.partial()
	s.epoch, s.revision = r.target.Epoch, r.target.Revision
	if got := s.Digest(); got != r.target.Digest {
		return nil, &DigestMismatchError{Position: r.target, Got: got}
	}
	return s, nil
}

// partial is what is there so far, at no position: the base of the next repair where this one is
// cut short.
func (r *Repair) partial() *State {
	s := &State{buckets: r.buckets}
	for _, b := range r.buckets {
		s.total = s.total.plus(b.sum)
		s.records += len(b.records)
		s.bytes += b.bytes
	}
	return s
}
