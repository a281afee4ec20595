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

// maxBasesOffered is how many contents that are here a request names.
const maxBasesOffered = 4

// errFullContentNeeded is the error where no content is here to start from, or too much differs.
var errFullContentNeeded = errors.New("rollout: the full content has to be fetched")

// fetchDelta makes a content from one that is here and the differences to it that a source has, and
// stores it. The error is controlrpc.ErrNoContent where the source does not have the content. After
// any other error nothing was stored, and the full content may be fetched.
func (a *Agent) fetchDelta(
	ctx context.Context, wanted contentRequest, source consensus.MemberInfo,
) error {
	item := a.items[wanted.item]
	if item == nil {
		return errFullContentNeeded
	}
	bases := a.bases()
	if len(bases) == 0 {
		return errFullContentNeeded
	}
	response, err := a.client.ContentDelta(ctx, source.ID, source.Address,
		&controlpb.ContentDeltaRequest{
			Item: wanted.item, Digest: wanted.ref.Digest, Bases: bases,
		})
	switch {
	case err != nil:
		return err
	case response.Delta != nil:
		return a.applyDelta(wanted, response.Delta)
	case response.Sums != nil:
		return a.repair(ctx, wanted, bases[0], response.Sums, source)
	}
	return errFullContentNeeded
}

// bases returns the digests of contents to start from: those in memory, or else the newest on the
// disk.
func (a *Agent) bases() []string {
	if digests := a.versions.newest(); len(digests) > 0 {
		return digests
	}
	digests, err := a.contents.Newest(maxBasesOffered)
	if err != nil {
		a.log.Warn("fleet: versions: the folder of contents can't be listed", "error", err)
	}
	return digests
}

// applyDelta stores the content that a delta leads to.
func (a *Agent) applyDelta(wanted contentRequest, delta *controlpb.ContentDelta) error {
	item := a.items[wanted.item]
	base, err := a.versions.read(item, delta.Base)
	if err != nil {
		return err
	}
	content, raw, err := configstate.ApplyDelta(item, base, wanted.ref.Digest, delta)
	if err != nil {
		return err
	}
	a.fetched.deltas.Add(1)
	return a.store(wanted.into, content, raw)
}

// repair stores a content after fetching the buckets in which the one with the digest base differs.
func (a *Agent) repair(
	ctx context.Context,
	wanted contentRequest,
	base string,
	sums *controlpb.ContentSums,
	source consensus.MemberInfo,
) error {
	item, digest := a.items[wanted.item], wanted.ref.Digest
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
				Item: wanted.item, Digest: digest, Buckets: indexes,
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
	return a.store(wanted.into, content, raw)
}

// store keeps a verified content on the disk and in memory.
func (a *Agent) store(into *Contents, content *configstate.Version, raw []byte) error {
	failpoint.At("content-before-store")
	if _, err := into.Add(raw); err != nil {
		return err
	}
	a.versions.put(content)
	return nil
}

// Delta serves a process that fetches a content and has others; see controlrpc.Contents.
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

// Buckets serves a process that fetches some buckets of a content; see controlrpc.Contents.
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

// requested returns a content that another process fetches, and its item. The content is nil where
// this program can't read it as records; the error is fs.ErrNotExist where it is not here.
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
