package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/registry"
)

// many returns an event loop with a number of endpoints.
func many(t testing.TB, n int) (*Gateway, []member) {
	t.Helper()
	g := unstarted(t, newFakeDiscovery(t))
	list := make([]member, n)
	for i := range list {
		list[i] = member{
			ID:       fmt.Sprintf("node/q-%08x", i),
			HostPort: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1),
			Phase:    registry.Ready,
			Size:     1,
		}
	}
	g.handle(endpointEvent{Kind: registry.CompleteList, Members: list})
	return g, list
}

// A list of 5,000 endpoints is applied, and one that is removed from it is gone.
func TestManyEndpoints(t *testing.T) {
	g, list := many(t, 5000)
	if n := len(g.backends.byID); n != 5000 {
		t.Errorf("%d backends", n)
	}
	gone := list[1234]
	gone.Phase = registry.Gone
	g.handle(endpointEvent{Kind: registry.Delta, Members: []member{gone}})
	if g.backends.byID[gone.ID] != nil || len(g.backends.byID) != 4999 {
		t.Errorf("%d backends after one has gone", len(g.backends.byID))
	}
	if b := g.backends.byID[list[7].ID]; b == nil || b.state != policy.Ready {
		t.Error("another one is not ready any more")
	}
}

// BenchmarkOneChangeOfMany measures what one change among 5,000 endpoints costs the event loop.
func BenchmarkOneChangeOfMany(b *testing.B) {
	g, list := many(b, 5000)
	for i := 0; b.Loop(); i++ {
		m := list[i%len(list)]
		if i/len(list)%2 == 0 {
			m.Phase = registry.Terminating
		}
		g.handle(endpointEvent{Kind: registry.Delta, Members: []member{m}})
	}
}

// moves is a source that records where it is moved.
type moves struct {
	registry.Source
	to []string
}

func (m *moves) Move(address string) { m.to = append(m.to, address) }

// A reload moves whichever endpoint source there is, and changes nothing else of it.
func TestReloadMovesEndpointSource(t *testing.T) {
	d := newFakeDiscovery(t)
	m := &moves{}
	cfg := configure(t, d, nil)
	cfg.NewEndpointSource = func(cfg *Config, _ *slog.Logger) (registry.Source, error) { return m, nil }
	g, err := newGateway(cfg, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer g.clients.listener.Close()
	next := configure(t, d, nil)
	next.EndpointAddresses = []string{"127.0.0.1:8501", "other=127.0.0.1:8502"}
	configReloaded{next}.handle(g)
	if len(m.to) != 2 || m.to[0] != "127.0.0.1:8501" || m.to[1] != "other=127.0.0.1:8502" {
		t.Errorf("moved to %q", m.to)
	}
	cfg.NewEndpointSource = func(*Config, *slog.Logger) (registry.Source, error) { return nil, errors.New("no such agent") }
	if _, err := newGateway(cfg, quiet()); err == nil {
		t.Error("a register that can't be made was passed over")
	}
}
