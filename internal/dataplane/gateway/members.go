package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"slices"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/registry"
)

// stay follows no redirect: a call to the counter must not be made twice.
func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

const mostHeader = 16 << 10 // bytes of an answer's header

// member is a server as a register has it.
type member = registry.Member

// stateOf is what the module is told of a member's phase.
func stateOf(m *member) policy.EndpointState {
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

// register is the source of news of the servers, as the loop has it.
type register struct {
	registry.Source
	heard bool     // it has told a list
	zones []string // by number, this gateway's own first
}

// zone gives a zone's number.
func (r *register) zone(name string) int {
	if i := slices.Index(r.zones, name); i >= 0 {
		return i
	}
	r.zones = append(r.zones, name)
	return len(r.zones) - 1
}

// run has the loop hear the news ahead of all queued work.
func (r *register) run(ctx context.Context, l *Loop) {
	r.Source.Run(ctx, func(n registry.News) {
		select {
		case l.urgents <- news(n):
		case <-ctx.Done():
		}
	})
}

// news is what the register has told.
type news registry.News

func (n news) handle(l *Loop) {
	if n.Kind == registry.Unheard {
		l.module.UpdateEndpoints(l.now(), policy.Unavailable, nil)
		return
	}
	kind := policy.Delta
	if n.Kind == registry.Whole {
		kind = policy.Complete
	}
	l.register.heard = true
	l.backends.members(l, kind, n.Members)
	l.ready()
}
