package configstate

import (
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/distribution"
)

const (
	// bucketsPerRequest is how many buckets are asked for at once.
	bucketsPerRequest = 256
	// maxMissingBuckets is how many buckets may differ. With more the content is fetched whole.
	maxMissingBuckets = distribution.BucketCount / 4
)

// ApplyDelta makes the content with a digest out of a base, and gives its bytes. It returns a
// WrongBaseError for a delta between other contents, an InvalidRecordError of package distribution
// for a record that can't be kept, a DigestMismatchError where the result is not the wanted
// content, and the codec's error for what is no content at all.
func ApplyDelta(
	codec Codec, base *Version, digest string, d *controlpb.ContentDelta,
) (*Version, []byte, error) {
	if d.GetBase() != base.Digest {
		return nil, nil, &WrongBaseError{base.Digest, d.GetBase()}
	}
	if d.GetDigest() != digest {
		return nil, nil, &WrongBaseError{digest, d.GetDigest()}
	}
	changes, err := distribution.ChangesFromProto(d.Changes)
	if err != nil {
		return nil, nil, err
	}
	state, err := base.State.With(changes)
	if err != nil {
		return nil, nil, err
	}
	return buildVerified(codec, state, digest)
}

// Repair makes a content out of another by the buckets that differ.
type Repair struct {
	digest  string
	buckets *distribution.Repair
}

// NewRepair compares a base with the sums of the content that has a digest. It returns a
// WrongBaseError for sums of another content, and an InvalidMessageError of package distribution
// for sums that can't be read.
func NewRepair(base *Version, digest string, sums *controlpb.ContentSums) (*Repair, error) {
	if sums.GetDigest() != digest {
		return nil, &WrongBaseError{digest, sums.GetDigest()}
	}
	state, err := distribution.DecodeDigest(sums.GetState())
	if err != nil {
		return nil, err
	}
	all, err := distribution.DecodeSums(sums.GetSums())
	if err != nil {
		return nil, err
	}
	if len(all) != distribution.BucketCount {
		return nil, &distribution.InvalidMessageError{
			Message: "sums",
			Reason:  "they are not those of all buckets",
		}
	}
	return &Repair{
		digest, distribution.NewRepair(base.State, distribution.Position{Digest: state}, all),
	}, nil
}

// Next returns the buckets to be asked for now; none: all are there. ok is false where so many differ
// that the content is better fetched whole.
func (r *Repair) Next() (indexes []uint32, ok bool) {
	missing := r.buckets.Missing()
	return missing[:min(len(missing), bucketsPerRequest)], len(missing) <= maxMissingBuckets
}

// Put takes an answer in. It returns an error for a bucket that was not asked for or does not come
// to its sum, and for an answer without any.
func (r *Repair) Put(answer *controlpb.ContentBucketsResponse) error {
	if len(answer.GetBuckets()) == 0 {
		return &distribution.InvalidMessageError{Message: "buckets", Reason: "there are none"}
	}
	for _, bucket := range answer.Buckets {
		if err := r.buckets.Put(bucket); err != nil {
			return err
		}
	}
	return nil
}

// Finish returns the content and its bytes once no bucket is missing. It returns a
// DigestMismatchError of this package or of package distribution where the buckets don't come to
// the wanted content.
func (r *Repair) Finish(codec Codec) (*Version, []byte, error) {
	state, err := r.buckets.Finish()
	if err != nil {
		return nil, nil, err
	}
	return buildVerified(codec, state, r.digest)
}
