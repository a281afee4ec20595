package gateway

import (
	"context"
	"net/netip"
	"slices"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/registry"
)

// member is a backend as discovery reports it.
type member = registry.Member

// endpointState returns the balancer's state for a member's phase. A backend with an unknown phase
// or an unusable address gets no requests.
func endpointState(m *member) policy.EndpointState {
	switch m.Phase {
	case registry.Ready:
		if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
			return policy.Draining
		}
		return policy.Ready
	case registry.Gone:
		return policy.Removed
	}
	return policy.Draining
}

// endpointSource is the source of the endpoint list, with the related state of the event loop.
type endpointSource struct {
	registry.Source
	received bool     // a list or a change has been received
	zones    []string // by zone number, this gateway's own first
}

// zoneNumber returns a zone's number. A new zone gets the next number.
func (s *endpointSource) zoneNumber(name string) int {
	if i := slices.Index(s.zones, name); i >= 0 {
		return i
	}
	s.zones = append(s.zones, name)
	return len(s.zones) - 1
}

// run posts updates ahead of all queued events until the context ends. It runs on its own
// goroutine.
func (s *endpointSource) run(ctx context.Context, g *Gateway) {
	s.Source.Run(ctx, func(n registry.Update) {
		select {
		case g.urgent <- endpointEvent(n):
		case <-ctx.Done():
		}
	})
}

// endpointEvent is an update of the endpoint list, or a report that discovery is unavailable.
type endpointEvent registry.Update

func (e endpointEvent) handle(g *Gateway) {
	if e.Kind == registry.Unavailable {
		g.balancer.UpdateEndpoints(g.now(), policy.Unavailable, nil)
		return
	}
	kind := policy.Delta
	if e.Kind == registry.CompleteList {
		kind = policy.Complete
	}
	g.endpoints.received = true
	g.backends.updateEndpoints(g, kind, e.Members)
	g.beginService()
}

// updateEndpoints applies a complete list of members or a change of it, and updates the balancer.
func (p *backendPool) updateEndpoints(g *Gateway, kind policy.ListKind, list []member) {
	update := make([]policy.Endpoint, 0, len(list))
	if kind != policy.Delta {
		for _, b := range p.byNumber {
			b.state = policy.Removed // unless the list names it
		}
	}
	for i := range list {
		if kind == policy.Delta {
			update = append(update, p.supersede(g, &list[i])...)
		}
		update = append(update, p.updateEndpoint(g, &list[i]))
	}
	g.balancer.UpdateEndpoints(g.now(), kind, update)
	for id, b := range p.byID {
		if b.state != policy.Ready {
			p.closeIdleOf(b)
			for len(b.waiting) > 0 {
				p.cancelWaiting(g, b.waiting[0]) // not sent, whatever the result of its dial
			}
		}
		if b.state == policy.Removed && len(b.waiting) == 0 && b.dialing == 0 {
			delete(p.byID, id)
			delete(p.byNumber, b.number)
		}
	}
}

// supersede removes the backends whose address a new one has taken, before discovery tells that
// they are gone: what is sent there would reach the new one's process.
func (p *backendPool) supersede(g *Gateway, m *member) (removed []policy.Endpoint) {
	known := p.byID[m.ID]
	if endpointState(m) != policy.Ready || known != nil && known.address == m.HostPort {
		return nil
	}
	for id, b := range p.byID {
		if b.address != m.HostPort || b.state == policy.Removed {
			continue
		}
		g.log.Info("backend's address belongs to a new one", "backend", id, "new", m.ID)
		b.state = policy.Removed
		removed = append(removed, policy.Endpoint{Backend: b.number, State: policy.Removed})
	}
	return removed
}

// updateEndpoint applies one member of a list.
func (p *backendPool) updateEndpoint(g *Gateway, m *member) policy.Endpoint {
	b := p.findOrAdd(m.ID)
	b.state = endpointState(m)
	if b.address != m.HostPort || b.upSince != m.UpSince {
		// The backend has changed its address or restarted, so its idle connections are dead.
		b.address = m.HostPort
		b.upSince = m.UpSince
		p.closeIdleOf(b)
	}
	return policy.Endpoint{
		Backend:   b.number,
		Zone:      g.endpoints.zoneNumber(m.Locality),
		Cell:      m.Cell,
		State:     b.state,
		Weight:    m.Size,
		StartedAt: m.UpSince * 1000,
	}
}
