package distribution

import (
	"fmt"

	"mothcleat/internal/controlplane/distributionpb"
)

// Sums holds the sums of all buckets, indexed by bucket.
type Sums []Digest

// Sums returns the sums of the state's buckets.
func (s *State) Sums() Sums {
	sums := make(Sums, len(s.buckets))
	for i, b := range s.buckets {
		sums[i] = b.sum
	}
	return sums
}

// Encode returns the encoded sums, DigestBytes each.
func (s Sums) Encode() []byte {
	raw := make([]byte, 0, len(s)*DigestBytes)
	for _, sum := range s {
		raw = sum.appendTo(raw)
	}
	return raw
}

// DecodeSums decodes the result of Encode, or a part of it. It returns an InvalidMessageError
// unless there are 1 to BucketCount sums.
func DecodeSums(raw []byte) (Sums, error) {
	count := len(raw) / DigestBytes
	if count == 0 || count > BucketCount || len(raw)%DigestBytes != 0 {
		return nil, &InvalidMessageError{
			"digests",
			fmt.Sprintf("%d bytes are not 1 to %d bucket sums", len(raw), BucketCount),
		}
	}
	sums := make(Sums, count)
	for i := range sums {
		sums[i], _ = DecodeDigest(raw[i*DigestBytes : (i+1)*DigestBytes])
	}
	return sums, nil
}

// BucketMessage returns a bucket as a message and its approximate size. The message shares the
// bytes of the values.
func (s *State) BucketMessage(index uint32) (m *distributionpb.Bucket, bytes int) {
	b := s.buckets[index]
	return bucketToProto(index, b), b.bytes
}

func bucketToProto(index uint32, b *bucket) *distributionpb.Bucket {
	return &distributionpb.Bucket{Index: index, Records: appendRecords(nil, b.records)}
}

// Bucket returns the records of a bucket. The caller must not modify them.
func (s *State) Bucket(index uint32) []Record { return s.buckets[index].records }

// Repair builds the state at a position from another state by fetching only the buckets that
// differ. It does not modify the other state.
type Repair struct {
	target  Position
	sums    Sums
	buckets []*bucket
	missing map[uint32]bool
}

// NewRepair starts a repair by comparing a state with the sums of all buckets at the target
// position.
func NewRepair(base *State, target Position, sums Sums) *Repair {
	r := &Repair{target, sums, append([]*bucket(nil), base.buckets...), map[uint32]bool{}}
	for i, b := range r.buckets {
		if b.sum != sums[i] {
			r.missing[uint32(i)] = true
		}
	}
	return r
}

// Target returns the position that the repair leads to.
func (r *Repair) Target() Position { return r.target }

// Missing returns the indexes of the buckets that differ and were not put yet, ascending.
func (r *Repair) Missing() []uint32 {
	var missing []uint32
	for i := range uint32(BucketCount) {
		if r.missing[i] {
			missing = append(missing, i)
		}
	}
	return missing
}

// Put replaces a bucket, including records that the new bucket does not have. It returns an error
// and changes nothing if the bucket is not missing or has records out of order or of another bucket
// (InvalidMessageError), if a record is invalid (InvalidRecordError), or if the hashes of the
// records do not add up to the bucket's sum (DigestMismatchError).
func (r *Repair) Put(m *distributionpb.Bucket) error {
	index := m.GetIndex()
	if !r.missing[index] {
		return &InvalidMessageError{"bucket", fmt.Sprintf("bucket %d was not requested", index)}
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

// bucketFromProto reads a bucket. Its records must belong to the bucket and be sorted by key.
func bucketFromProto(m *distributionpb.Bucket) (*bucket, error) {
	records := make([]Record, len(m.GetRecords()))
	for i, message := range m.GetRecords() {
		records[i] = Record{message.GetKind(), message.GetId(), message.GetValue()}
		if err := (&Change{Record: records[i]}).check(); err != nil {
			return nil, err
		}
		if bucketIndex(records[i].Kind, records[i].ID) != m.GetIndex() {
			return nil, &InvalidMessageError{
				"bucket",
				fmt.Sprintf("%q does not belong to bucket %d", records[i].ID, m.GetIndex()),
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

// Finish returns the state at the target. It returns an InvalidMessageError if buckets are missing,
// and a DigestMismatchError if all buckets match their sums but the sums do not match the target's
// digest.
func (r *Repair) Finish() (*State, error) {
	if len(r.missing) > 0 {
		return nil, &InvalidMessageError{
			"buckets", fmt.Sprintf("%d of the requested buckets are missing", len(r.missing)),
		}
	}
	s := r.partial()
	s.epoch, s.revision = r.target.Epoch, r.target.Revision
	if got := s.Digest(); got != r.target.Digest {
		return nil, &DigestMismatchError{Position: r.target, Got: got}
	}
	return s, nil
}

// partial returns the state as repaired so far, without a position. If this repair is interrupted,
// the next one starts from that state.
func (r *Repair) partial() *State {
	s := &State{buckets: r.buckets}
	for _, b := range r.buckets {
		s.total = s.total.plus(b.sum)
		s.records += len(b.records)
		s.bytes += b.bytes
	}
	return s
}
