package configstate

import (
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/distribution"
)

const (
	// maxDeltaShare is the largest size of a delta as a fraction of the content's size. A larger
	// delta saves too little.
	maxDeltaShare = 0.5
	// maxBucketBytes is the approximate largest size of one response with buckets.
	maxBucketBytes = 512 << 10
	// maxBases is how many bases of a request are considered, because the server searches for each
	// of them.
	maxBases = 8
)

// DeltaResponse returns the response of a server that has the target content to a process that has
// the base contents: a delta from the first base that find returns, or the sums of all buckets if
// find returns none, or neither if the content has to be transferred completely. find returns nil
// for a content that the server does not have.
func DeltaResponse(
	target *Version, bases []string, find func(digest string) *Version,
) *controlpb.ContentDeltaResponse {
	if !target.Canonical || len(bases) == 0 {
		return &controlpb.ContentDeltaResponse{}
	}
	for _, digest := range bases[:min(len(bases), maxBases)] {
		if base := find(digest); base != nil {
			return deltaFrom(base, target)
		}
	}
	return &controlpb.ContentDeltaResponse{Sums: &controlpb.ContentSums{
		Digest: target.Digest,
		State:  target.State.Digest().Encode(),
		Sums:   target.State.Sums().Encode(),
	}}
}

func deltaFrom(base, target *Version) *controlpb.ContentDeltaResponse {
	changes := base.State.Difference(target.State)
	size := 0
	for i := range changes {
		size += len(changes[i].ID) + len(changes[i].Value)
	}
	if float64(size) > maxDeltaShare*float64(target.Size) {
		return &controlpb.ContentDeltaResponse{}
	}
	return &controlpb.ContentDeltaResponse{Delta: &controlpb.ContentDelta{
		Base: base.Digest, Digest: target.Digest, Changes: distribution.ChangesProto(changes),
	}}
}

// BucketsResponse returns buckets of a content in the requested order, as many as fit into one
// response and at least one.
func BucketsResponse(v *Version, indexes []uint32) *controlpb.ContentBucketsResponse {
	answer := &controlpb.ContentBucketsResponse{}
	size := 0
	for _, index := range indexes {
		if index >= distribution.BucketCount || size > maxBucketBytes {
			break
		}
		bucket, bytes := v.State.BucketMessage(index)
		answer.Buckets = append(answer.Buckets, bucket)
		size += bytes
	}
	return answer
}
