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

// fetchContents fetches and checks the contents that this process needs, until the context ends.
func (a *Agent) fetchContents(ctx context.Context) {
	repeat(ctx, fetchInterval, func() {
		a.mu.Lock()
		missing := a.holder.MissingContents()
		a.mu.Unlock()
		for _, ref := range missing {
			err := a.ensureContent(ctx, ref)
			if err != nil {
				a.log.Debug("fleet: versions: a content can't be fetched yet; retrying",
					"digest", ref.Digest, "error", err)
				continue
			}
			a.check(ref.Digest)
		}
		a.apply()
	})
}

// ensureContent fetches a content from another process unless it is stored here. A file that does
// not match its digest is removed, and the next call fetches it.
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

// itemOf returns the name of an item that needs a content, "" if none does.
func (a *Agent) itemOf(digest string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if names := a.holder.ItemsWithContent(digest); len(names) > 0 {
		return names[0]
	}
	return ""
}

// check passes a content to the Check method of each item that needs it, and records the result.
func (a *Agent) check(digest string) {
	a.mu.Lock()
	names := a.holder.ItemsWithContent(digest)
	a.mu.Unlock()
	why := ""
	for _, name := range names {
		rejection, err := a.checkItem(name, digest)
		if err != nil {
			a.log.Error("fleet: versions: a stored content can no longer be read", "item", name,
				"error", err)
			return // the content remains missing
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
			digest, "why", why)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.ContentChecked(digest, why)
}

// checkItem returns why an item can't apply a content. err is set if the content can't be read from
// the disk.
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

// contentRequest describes a content to fetch.
type contentRequest struct {
	item string // name of an item that the content belongs to, "" if unknown
	ref  configversion.Ref
	into *Contents // where to store it
}

var (
	errNoSource         = errors.New("rollout: no process to fetch from is known")
	errUnknownRequester = errors.New("rollout: unknown process")
	errInvalidRequest   = errors.New("rollout: invalid request")
)

// fetch tries one source after another until the content is complete. If all fail, it returns the
// error of the last one.
func (a *Agent) fetch(ctx context.Context, request contentRequest,
	sources []consensus.MemberInfo) error {
	lastErr := errNoSource
	for _, source := range sources {
		sourceCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		err := a.fetchFrom(sourceCtx, request, source)
		cancel()
		if err == nil {
			return nil
		}
		lastErr = fmt.Errorf("%s: %w", source.ID, err)
	}
	return lastErr
}

// fetchFrom fetches a content from one source: as its difference from a content that is stored
// here, or in full if that fails.
func (a *Agent) fetchFrom(ctx context.Context, request contentRequest,
	source consensus.MemberInfo) error {
	err := a.fetchDelta(ctx, request, source)
	if err == nil || errors.Is(err, controlrpc.ErrNoContent) {
		return err
	}
	if !errors.Is(err, errFullContentNeeded) {
		a.log.Debug("fleet: versions: a delta can't be used; fetching the full content",
			"source", source.ID, "digest", request.ref.Digest, "error", err)
	}
	return a.fetchFull(ctx, request, source)
}

// fetchFull fetches the part of a content that is not stored here yet from one source.
func (a *Agent) fetchFull(ctx context.Context, request contentRequest,
	source consensus.MemberInfo) error {
	ref := request.ref
	offset := request.into.PartialSize(ref.Digest)
	if offset > ref.Size {
		offset = 0
	}
	next, err := a.client.Content(ctx, source.ID, source.Address, ref.Digest, offset)
	if err != nil {
		return err
	}
	if err := request.into.Receive(ref, offset, next); err != nil {
		return err
	}
	a.fetched.full.Add(1)
	return nil
}

// Keep fetches a content from the process that sent the request and is about to propose it. Once
// Keep returns nil, the content is on the disk; the version is committed on that condition.
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

// Send sends a content that is stored here, starting at an offset in bytes.
func (a *Agent) Send(digest string, from int64, send func([]byte) error) error {
	return a.contents.Send(digest, from, send)
}
