package rollout

import (
	"context"
	"errors"
	"fmt"
	"io/fs"

	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/failpoint"
)

// fetchContents fetches and checks the contents that are wanted here, until the context ends.
func (a *Agent) fetchContents(ctx context.Context) {
	repeat(ctx, fetchInterval, func() {
		a.mu.Lock()
		wanted := a.holder.MissingContents()
		a.mu.Unlock()
		for _, ref := range wanted {
			err := a.ensureContent(ctx, ref)
			if err != nil {
				a.log.Debug("fleet: versions: a content can't be fetched yet", "digest", ref.Digest,
					"error", err)
				continue
			}
			a.check(ref.Digest)
		}
		a.apply()
	})
}

// ensureContent fetches a content from another process unless it is here. A file that does not
// match its digest is removed, and fetched by the next call.
func (a *Agent) ensureContent(ctx context.Context, ref configversion.Ref) error {
	if a.versions.known(ref.Digest) {
		return nil
	}
	_, err := a.contents.Read(ref.Digest)
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	a.refreshSources(ctx)
	return a.fetch(ctx, contentRequest{a.itemOf(ref.Digest), ref, a.contents.Unsynced()},
		a.sources())
}

// itemOf returns the name of an item that wants a content, "" if none does.
func (a *Agent) itemOf(digest string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if names := a.holder.ItemsWithContent(digest); len(names) > 0 {
		return names[0]
	}
	return ""
}

// check lets each item that wants a content check it, and takes in the result.
func (a *Agent) check(digest string) {
	a.mu.Lock()
	names := a.holder.ItemsWithContent(digest)
	a.mu.Unlock()
	why := ""
	for _, name := range names {
		rejection, err := a.checkItem(name, digest)
		if err != nil {
			a.log.Error("fleet: versions: a content can't be read any more", "item", name, "error",
				err)
			return // it is still missing
		}
		if rejection != nil {
			why = rejection.Error()
		}
	}
	if failpoint.Denied("content-read") {
		why = "this program can't read it"
	}
	if why != "" {
		a.log.Error("fleet: versions: a content can't be applied here", "items", names, "digest",
			digest,
			"why", why)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.ContentChecked(digest, why)
}

// checkItem returns why an item can't apply a content, or an error if the content can't be read
// from the disk.
func (a *Agent) checkItem(name, digest string) (rejection, err error) {
	item := a.items[name]
	if item == nil {
		return fmt.Errorf("this program does not know what %s are", name), nil
	}
	content, err := a.versions.read(item, digest)
	var invalid *configstate.InvalidContentError
	switch {
	case errors.As(err, &invalid):
		return invalid, nil
	case err != nil:
		return nil, err
	}
	return item.Check(content), nil
}

// contentRequest is a content to fetch.
type contentRequest struct {
	item string // name of an item that it is of; "": not known
	ref  configversion.Ref
	into *Contents
}

var (
	errNoSource         = errors.New("rollout: no process to fetch from is known")
	errUnknownRequester = errors.New("rollout: unknown process")
	errInvalidRequest   = errors.New("rollout: invalid request")
)

// fetch fetches a content from one source after another until it is complete. It returns the error
// of the last source that failed.
func (a *Agent) fetch(ctx context.Context, wanted contentRequest,
	sources []consensus.MemberInfo) error {
	last := errNoSource
	for _, source := range sources {
		one, cancel := context.WithTimeout(ctx, fetchTimeout)
		err := a.fetchFrom(one, wanted, source)
		cancel()
		if err == nil {
			return nil
		}
		last = fmt.Errorf("%s: %w", source.ID, err)
	}
	return last
}

// fetchFrom fetches a content from one source: as its difference to one that is here, or else in
// full.
func (a *Agent) fetchFrom(ctx context.Context, wanted contentRequest,
	source consensus.MemberInfo) error {
	err := a.fetchDelta(ctx, wanted, source)
	if err == nil || errors.Is(err, controlrpc.ErrNoContent) {
		return err
	}
	if !errors.Is(err, errFullContentNeeded) {
		a.log.Debug("fleet: versions: a delta can't be used", "source", source.ID, "digest",
			wanted.ref.Digest, "error", err)
	}
	return a.fetchFull(ctx, wanted, source)
}

// fetchFull fetches the part of a content that is not here yet from one source.
func (a *Agent) fetchFull(ctx context.Context, wanted contentRequest,
	source consensus.MemberInfo) error {
	ref := wanted.ref
	offset := wanted.into.PartialSize(ref.Digest)
	if offset > ref.Size {
		offset = 0
	}
	next, err := a.client.Content(ctx, source.ID, source.Address, ref.Digest, offset)
	if err != nil {
		return err
	}
	if err := wanted.into.Receive(ref, offset, next); err != nil {
		return err
	}
	a.fetched.full.Add(1)
	return nil
}

// Keep fetches a content that is about to be proposed from the process that requests it. Once it
// returns nil, the content is on the disk: the version is committed because of that.
func (a *Agent) Keep(ctx context.Context, request *controlpb.KeepRequest) error {
	if request.Size < 0 || request.Size > configversion.MaxContentSize ||
		!digestName.MatchString(request.Digest) {
		return fmt.Errorf("%w: digest %.80q, %d bytes", errInvalidRequest, request.Digest,
			request.Size)
	}
	if _, err := a.contents.Read(request.Digest); err == nil {
		return a.contents.Sync(request.Digest)
	}
	members, err := a.membersOf(ctx, request.From.GetId())
	if err != nil {
		return err
	}
	for _, m := range members {
		if m.ID == request.From.GetId() {
			ref := configversion.Ref{Digest: request.Digest, Size: request.Size}
			return a.fetchFrom(ctx, contentRequest{request.Item, ref, a.contents}, m)
		}
	}
	return fmt.Errorf("%w: %.40q", errUnknownRequester, request.From.GetId())
}

// Send sends a content that is here, from an offset in bytes on.
func (a *Agent) Send(digest string, from int64, send func([]byte) error) error {
	return a.contents.Send(digest, from, send)
}
