package configstate

import (
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/distribution"
)

const (
	// maxDeltaShare is what part of a content's size a delta may have. A larger one saves too
	// little.
	maxDeltaShare = 0.5
	// maxBucketBytes is about how many bytes of records one answer has.
	maxBucketBytes = 512 << 10
	// maxBases is how many contents a request may name: a server looks for each of them.
	maxBases = 8
)

// DeltaResponse is what a server that has a content sends to a process that has some bases: a delta
// from the first of them that find returns, or the sums of all buckets; neither where the content
// has to travel whole. find returns nil for a content that is not here.
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

// BucketsResponse returns some buckets of a content in the order in which they were asked for, as
// many as fit in one answer and one at least.
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
