package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"slices"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/registry"
)

// noRedirect follows no redirect: a call to the counter must not be made twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

const maxHeaderBytes = 16 << 10 // bytes of an answer's header

// member is a server as a register has it.
type member = registry.Member

// endpointState is what the module is told of a member's phase.
func endpointState(m *member) policy.EndpointState {
	switch m.Phase {
	case registry.Ready:
		if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
			return policy.Draining // there is no way to it
		}
		return policy.Ready
	case registry.Gone:
		return policy.Removed
	}
	return policy.Draining // a phase not known is none to send to
}

// endpointSource is the source of news of the servers, as the loop has it.
type endpointSource struct {
	registry.Source
	received bool     // it has told a list
	zones    []string // by number, this gateway's own first
}

// zoneNumber gives a zone's number.
func (r *endpointSource) zoneNumber(name string) int {
	if i := slices.Index(r.zones, name); i >= 0 {
		return i
	}
	r.zones = append(r.zones, name)
	return len(r.zones) - 1
}

// run has the loop hear the news ahead of all queued work.
func (r *endpointSource) run(ctx context.Context, l *Loop) {
	r.Source.Run(ctx, func(n registry.News) {
		select {
		case l.urgent <- endpointEvent(n):
		case <-ctx.Done():
		}
	})
}

// endpointEvent is what the register has told.
type endpointEvent registry.News

func (n endpointEvent) handle(l *Loop) {
	if n.Kind == registry.Unheard {
		l.balancer.UpdateEndpoints(l.now(), policy.Unavailable, nil)
		return
	}
	kind := policy.Delta
	if n.Kind == registry.Whole {
		kind = policy.Complete
	}
	l.endpoints.received = true
	l.backends.updateEndpoints(l, kind, n.Members)
	l.beginService()
}
