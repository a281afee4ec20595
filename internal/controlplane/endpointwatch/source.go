// Package endpointwatch has one gateway, the leader of a role, watch the register and write the
// complete endpoint list to the replicated state, from which the others receive it. A gateway that
// has received nothing for a while watches the register itself until it does. Package distributor
// has taken its place; it stays as the baseline of the capacity measurements.
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

// callTimeout bounds one call to the control plane.
const callTimeout = 2 * time.Second

// Source is a gateway's endpoint source (a registry.Source), and the work of the role's leader.
type Source struct {
	// NewDirect returns a source that asks the register itself. Several may run at once.
	NewDirect func() (registry.Source, error)
	Client    *controlrpc.Client
	// SilenceTimeout is for how long nothing may be received before the gateway watches the
	// register itself.
	SilenceTimeout time.Duration
	Log            *slog.Logger

	mu      sync.Mutex        // guards what follows
	direct  []registry.Source // those that run now; they move together
	movedTo string            // the last address; "": none was set
}

// openDirect returns a direct source that moves with the others, and a function that is to be
// called when it has ended.
func (s *Source) openDirect() (source registry.Source, closed func(), err error) {
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

// Follow does nothing: the register answers whoever asks.
func (s *Source) Follow() {}

// Move sets another address of the register, for all sources of this process that ask it.
func (s *Source) Move(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.movedTo = address
	for _, source := range s.direct {
		source.Move(address)
	}
}

// Run delivers the list until the context ends: the replicated one, or this gateway's own while the
// replicated one is not received.
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
