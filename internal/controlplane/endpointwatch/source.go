// Package endpointwatch makes one gateway, the leader of a role, watch the registry and write the
// complete endpoint list to the replicated state, from which the other gateways receive it. A
// gateway that has not received the list for a while watches the registry itself until it receives
// the list again.
//
// Package distributor has replaced this package, which remains as the baseline of the capacity
// measurements.
package endpointwatch

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/dataplane/registry"
)

// callTimeout bounds each call to the control plane.
const callTimeout = 2 * time.Second

// Source is a gateway's registry.Source, and its Work method is the work of the role's leader.
type Source struct {
	// NewDirect returns a source that watches the registry directly. Several may run at once.
	NewDirect func() (registry.Source, error)
	Client    *controlrpc.Client
	// SilenceTimeout is the time without news of the replicated list after which the gateway
	// watches the registry itself.
	SilenceTimeout time.Duration
	Log            *slog.Logger

	mu      sync.Mutex        // guards the fields below
	direct  []registry.Source // the running direct sources, to which Move applies
	movedTo string            // the address of the last Move; empty if there was none
}

// openDirect returns a direct source. Move applies to it until release is called, which has to be
// done when the source has ended.
func (s *Source) openDirect() (source registry.Source, release func(), err error) {
	source, err = s.NewDirect()
	if err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.movedTo != "" {
		source.Move(s.movedTo)
	}
	s.direct = append(s.direct, source)
	return source, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.direct = slices.DeleteFunc(s.direct, func(other registry.Source) bool {
			return other == source
		})
	}, nil
}

// Follow does nothing, since Run follows the list from the start.
func (s *Source) Follow() {}

// Move sets the address of the registry for all direct sources of this process.
func (s *Source) Move(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.movedTo = address
	for _, source := range s.direct {
		source.Move(address)
	}
}

// Run delivers the replicated list until the context ends. While the replicated list is not
// received, it delivers the list of this gateway's own watch instead.
func (s *Source) Run(ctx context.Context, deliver func(registry.Update)) {
	heads := make(chan endpointlist.Head, 1)
	go s.watchHeads(ctx, heads)
	r := receiver{source: s, deliver: deliver, ownUpdates: make(chan registry.Update)}
	defer r.stopOwnWatch()
	silenceCheck := time.NewTicker(max(20*time.Millisecond, s.SilenceTimeout/10))
	defer silenceCheck.Stop()
	r.lastReceived = time.Now().Add(startTimeout - s.SilenceTimeout)
	for {
		select {
		case <-ctx.Done():
			return
		case head := <-heads:
			r.receiveHead(ctx, head)
		case update := <-r.ownUpdates:
			deliver(update)
		case <-silenceCheck.C:
			if time.Since(r.lastReceived) > s.SilenceTimeout {
				r.startOwnWatch(ctx)
			}
		}
	}
}
