package configstate

import (
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/distribution"
)

const (
	// bucketsPerRequest is how many buckets are requested at once.
	bucketsPerRequest = 256
	// maxMissingBuckets is how many buckets may differ. If more differ, fetching the complete
	// content is cheaper.
	maxMissingBuckets = distribution.BucketCount / 4
)

// ApplyDelta builds the content with the given digest from a base and a delta, and returns its
// version and bytes. It returns a WrongBaseError for a delta between other contents, an
// InvalidRecordError of package distribution for an invalid record, a DigestMismatchError if the
// result is another content, and the codec's error if the result is not a valid content.
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

// Repair builds a content from another one by replacing the buckets that differ.
type Repair struct {
	digest  string
	buckets *distribution.Repair
}

// NewRepair compares a base with the sums of the content that has the given digest. It returns a
// WrongBaseError for sums of another content, and an InvalidMessageError of package distribution
// for invalid sums.
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
			Reason:  "they do not cover all buckets",
		}
	}
	return &Repair{
		digest, distribution.NewRepair(base.State, distribution.Position{Digest: state}, all),
	}, nil
}

// Next returns the indexes of the buckets to request next, or none if no bucket is missing. ok is
// false if so many differ that the complete content should be fetched.
func (r *Repair) Next() (indexes []uint32, ok bool) {
	missing := r.buckets.Missing()
	return missing[:min(len(missing), bucketsPerRequest)], len(missing) <= maxMissingBuckets
}

// Put adds the buckets of a response. It returns an error for a bucket that was not requested or
// does not match its sum, and for a response without buckets.
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
// DigestMismatchError of this package or of package distribution if the buckets do not form the
// requested content.
func (r *Repair) Finish(codec Codec) (*Version, []byte, error) {
	state, err := r.buckets.Finish()
	if err != nil {
		return nil, nil, err
	}
	return buildVerified(codec, state, r.digest)
}
