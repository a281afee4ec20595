package rollout

import (
	"context"
	"errors"
	"fmt"
	"io/fs"

	"mothcleat/agree"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/fleetpb"
	"mothcleat/versions"
)

// fetchContents fetches and checks the contents that are wanted here, until the context ends.
func (a *Agent) fetchContents(ctx context.Context) {
	repeat(ctx, fetchInterval, func() {
		a.mu.Lock()
		wanted := a.holder.Wants()
		a.mu.Unlock()
		for _, ref := range wanted {
			raw, err := a.readOrFetch(ctx, ref)
			if err != nil {
				a.log.Debug("fleet: versions: a content is not to be had yet", "digest", ref.Digest, "error", err)
				continue
			}
			a.check(ref.Digest, raw)
		}
		a.apply()
	})
}

// readOrFetch returns a content, fetched from another process where it is not here.
func (a *Agent) readOrFetch(ctx context.Context, ref versions.Ref) ([]byte, error) {
	raw, err := a.contents.Read(ref.Digest)
	if !errors.Is(err, fs.ErrNotExist) {
		return raw, err
	}
	a.refreshSources(ctx)
	if err := a.fetch(ctx, ref, a.sources()); err != nil {
		return nil, err
	}
	return a.contents.Read(ref.Digest)
}

// check has each item that wants a content check it, and takes in the verdict.
func (a *Agent) check(digest string, raw []byte) {
	a.mu.Lock()
	names := a.holder.ItemsOf(digest)
	a.mu.Unlock()
	why := ""
	for _, name := range names {
		item := a.items[name]
		if item == nil {
			why = fmt.Sprintf("this program does not know what %s are", name)
		} else if err := item.Check(raw); err != nil {
			why = err.Error()
		}
	}
	if failpoint.Denied("content-read") {
		why = "this program can't read it"
	}
	if why != "" {
		a.log.Error("fleet: versions: a content can't be acted on here", "items", names, "digest", digest,
			"why", why)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holder.Checked(digest, why)
}

// fetch fetches a content from one source after another until it is complete. It returns the error
// of the last source that failed.
func (a *Agent) fetch(ctx context.Context, ref versions.Ref, sources []agree.MemberAt) error {
	last := errors.New("rollout: nobody to fetch from is known")
	for _, source := range sources {
		one, cancel := context.WithTimeout(ctx, fetchTimeout)
		err := a.fetchFrom(one, ref, source)
		cancel()
		if err == nil {
			return nil
		}
		last = fmt.Errorf("%s: %w", source.ID, err)
	}
	return last
}

// fetchFrom fetches the part of a content that is not here yet from one source.
func (a *Agent) fetchFrom(ctx context.Context, ref versions.Ref, source agree.MemberAt) error {
	offset := a.contents.Begun(ref.Digest)
	if offset > ref.Size {
		offset = 0
	}
	next, err := a.client.Content(ctx, source.ID, source.Address, ref.Digest, offset)
	if err != nil {
		return err
	}
	return a.contents.Take(ref, offset, next)
}

// Keep fetches a content that is about to be proposed from the process that asks for it.
func (a *Agent) Keep(ctx context.Context, ask *fleetpb.KeepAsk) error {
	if ask.Size < 0 || ask.Size > versions.SizeMost || !digestName.MatchString(ask.Digest) {
		return fmt.Errorf("rollout: digest %.80q, %d bytes", ask.Digest, ask.Size)
	}
	if _, err := a.contents.Read(ask.Digest); err == nil {
		return nil
	}
	members, err := a.membersOf(ctx, ask.From.GetId())
	if err != nil {
		return err
	}
	for _, m := range members {
		if m.ID == ask.From.GetId() {
			return a.fetchFrom(ctx, versions.Ref{Digest: ask.Digest, Size: ask.Size}, m)
		}
	}
	return fmt.Errorf("rollout: no process %.40q", ask.From.GetId())
}

// Give sends a content that is here, from an offset in bytes on.
func (a *Agent) Give(digest string, from int64, send func([]byte) error) error {
	return a.contents.Give(digest, from, send)
}
