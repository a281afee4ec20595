package rollout

import (
	"context"
	"errors"
	"io/fs"

	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/failpoint"
)

// maxBasesOffered is how many stored contents a request offers as bases.
const maxBasesOffered = 4

// errFullContentNeeded is returned if no content is stored here to start from, or too much differs.
var errFullContentNeeded = errors.New("rollout: the full content has to be fetched")

// fetchDelta builds a content from one that is stored here and the differences that a source sends,
// and stores the result. The error is controlrpc.ErrNoContent if the source does not have the
// content. After any other error nothing was stored, and the caller may fetch the full content.
func (a *Agent) fetchDelta(
	ctx context.Context, request contentRequest, source consensus.MemberInfo,
) error {
	item := a.items[request.item]
	if item == nil {
		return errFullContentNeeded
	}
	bases := a.bases()
	if len(bases) == 0 {
		return errFullContentNeeded
	}
	response, err := a.client.ContentDelta(ctx, source.ID, source.Address,
		&controlpb.ContentDeltaRequest{
			Item: request.item, Digest: request.ref.Digest, Bases: bases,
		})
	switch {
	case err != nil:
		return err
	case response.Delta != nil:
		return a.applyDelta(request, response.Delta)
	case response.Sums != nil:
		return a.repair(ctx, request, bases[0], response.Sums, source)
	}
	return errFullContentNeeded
}

// bases returns the digests of contents to start from: those in memory, or if there are none, the
// newest on the disk.
func (a *Agent) bases() []string {
	if digests := a.versions.newest(); len(digests) > 0 {
		return digests
	}
	digests, err := a.contents.Newest(maxBasesOffered)
	if err != nil {
		a.log.Warn("fleet: versions: failed to list the folder of contents", "error", err)
	}
	return digests
}

// applyDelta applies a delta to its base and stores the resulting content.
func (a *Agent) applyDelta(request contentRequest, delta *controlpb.ContentDelta) error {
	item := a.items[request.item]
	base, err := a.versions.read(item, delta.Base)
	if err != nil {
		return err
	}
	content, raw, err := configstate.ApplyDelta(item, base, request.ref.Digest, delta)
	if err != nil {
		return err
	}
	a.fetched.deltas.Add(1)
	return a.store(request.into, content, raw)
}

// repair builds a content from the one with the digest base by fetching the buckets that differ,
// and stores the result.
func (a *Agent) repair(
	ctx context.Context,
	request contentRequest,
	base string,
	sums *controlpb.ContentSums,
	source consensus.MemberInfo,
) error {
	item, digest := a.items[request.item], request.ref.Digest
	from, err := a.versions.read(item, base)
	if err != nil {
		return err
	}
	repair, err := configstate.NewRepair(from, digest, sums)
	if err != nil {
		return err
	}
	for {
		indexes, ok := repair.Next()
		if !ok {
			return errFullContentNeeded
		}
		if len(indexes) == 0 {
			break
		}
		response, err := a.client.ContentBuckets(ctx, source.ID, source.Address,
			&controlpb.ContentBucketsRequest{
				Item: request.item, Digest: digest, Buckets: indexes,
			})
		if err != nil {
			return err
		}
		if err := repair.Put(response); err != nil {
			return err
		}
	}
	content, raw, err := repair.Finish(item)
	if err != nil {
		return err
	}
	a.fetched.repairs.Add(1)
	return a.store(request.into, content, raw)
}

// store stores a verified content on the disk and caches it in memory.
func (a *Agent) store(into *Contents, content *configstate.Version, raw []byte) error {
	failpoint.At("content-before-store")
	if _, err := into.Add(raw); err != nil {
		return err
	}
	a.versions.put(content)
	return nil
}

// Delta answers a process that fetches a content and has others; see controlrpc.Contents.
func (a *Agent) Delta(
	request *controlpb.ContentDeltaRequest,
) (*controlpb.ContentDeltaResponse, error) {
	item, target, err := a.requested(request.Item, request.Digest)
	if err != nil || target == nil {
		return &controlpb.ContentDeltaResponse{}, err
	}
	find := func(digest string) *configstate.Version {
		base, err := a.versions.read(item, digest)
		if err != nil {
			return nil
		}
		return base
	}
	return configstate.DeltaResponse(target, request.Bases, find), nil
}

// Buckets answers a process that fetches some buckets of a content; see controlrpc.Contents.
func (a *Agent) Buckets(
	request *controlpb.ContentBucketsRequest,
) (*controlpb.ContentBucketsResponse, error) {
	_, target, err := a.requested(request.Item, request.Digest)
	if err != nil {
		return nil, err
	}
	if target == nil {
		return nil, fs.ErrNotExist
	}
	return configstate.BucketsResponse(target, request.Buckets), nil
}

// requested returns a content that another process fetches, and its item. The content is nil if
// this program can't read it as records. The error wraps fs.ErrNotExist if the content is not
// stored here.
func (a *Agent) requested(itemName, digest string) (Item, *configstate.Version, error) {
	item := a.items[itemName]
	if item == nil {
		return nil, nil, nil
	}
	target, err := a.versions.read(item, digest)
	var invalid *configstate.InvalidContentError
	if errors.As(err, &invalid) {
		return item, nil, nil
	}
	return item, target, err
}
