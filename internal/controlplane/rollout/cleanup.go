package rollout

import (
	"context"
	"time"

	"mothcleat/internal/controlplane/configversion"
)

const (
	// maxKeptVersions is the number of newest versions of an item whose contents are kept, because
	// a withdrawal may restore an earlier version.
	maxKeptVersions = 16
	// minContentAge is how long a file must not have been written before it is removed. A newer
	// file may be a content that is being fetched or proposed.
	minContentAge = time.Hour
)

// cleanUp periodically removes contents that no version refers to any more, until the context ends.
func (a *Agent) cleanUp(ctx context.Context) {
	repeat(ctx, cleanupInterval, func() {
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		view, err := a.View(queryCtx)
		if err != nil {
			return
		}
		if err := a.contents.RemoveUnused(referencedDigests(&view), minContentAge); err != nil {
			a.log.Warn("fleet: versions: failed to remove unused contents", "error", err)
		}
	})
}

// referencedDigests returns the digests of the newest versions of each item, and of all versions
// that a gateway may still operate under.
func referencedDigests(view *configversion.View) map[string]bool {
	digests := map[string]bool{}
	seen := map[string]int{} // number of versions, by item
	for i := len(view.Versions) - 1; i >= 0; i-- {
		v := &view.Versions[i]
		seen[v.Item]++
		usable := v.ExpiresAt == 0 || view.At < v.ExpiresAt
		if seen[v.Item] <= maxKeptVersions || usable {
			digests[v.Digest] = true
		}
	}
	return digests
}
