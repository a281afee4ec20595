package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"testing"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/registry"
)

// gatewayWithEndpoints returns an unstarted gateway with n endpoints, and their list.
func gatewayWithEndpoints(t testing.TB, n int) (*Gateway, []member) {
	t.Helper()
	g := newUnstartedGateway(t, newFakeDiscovery(t))
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

// A list of 5,000 endpoints is applied, and a delta then removes one of them.
func TestManyEndpoints(t *testing.T) {
	g, list := gatewayWithEndpoints(t, 5000)
	if n := len(g.backends.byID); n != 5000 {
		t.Errorf("%d backends, want 5000", n)
	}
	removed := list[1234]
	removed.Phase = registry.Gone
	g.handle(endpointEvent{Kind: registry.Delta, Members: []member{removed}})
	if g.backends.byID[removed.ID] != nil || len(g.backends.byID) != 4999 {
		t.Errorf("%d backends after one was removed, want 4999", len(g.backends.byID))
	}
	if b := g.backends.byID[list[7].ID]; b == nil || b.state != policy.Ready {
		t.Error("another backend is not ready any more")
	}
}

// BenchmarkOneChangeOfMany measures how long the event loop takes to apply a delta with one of
// 5,000 endpoints.
func BenchmarkOneChangeOfMany(b *testing.B) {
	g, list := gatewayWithEndpoints(b, 5000)
	for i := 0; b.Loop(); i++ {
		m := list[i%len(list)]
		if i/len(list)%2 == 0 {
			m.Phase = registry.Terminating
		}
		g.handle(endpointEvent{Kind: registry.Delta, Members: []member{m}})
	}
}

// recordingSource is an endpoint source that records the addresses that it is moved to.
type recordingSource struct {
	registry.Source
	addresses []string
}

func (m *recordingSource) Move(address string) { m.addresses = append(m.addresses, address) }

// A reload moves the endpoint source, of whatever kind, to the new addresses and changes nothing
// else about it. A source that can't be created is an error.
func TestReloadMovesEndpointSource(t *testing.T) {
	d := newFakeDiscovery(t)
	m := &recordingSource{}
	cfg := testConfig(t, d, nil)
	cfg.NewEndpointSource = func(cfg *Config, _ *slog.Logger) (registry.Source, error) { return m, nil }
	g, err := newGateway(cfg, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer g.clients.listener.Close()
	next := testConfig(t, d, nil)
	next.EndpointAddresses = []string{"127.0.0.1:8501", "other=127.0.0.1:8502"}
	configReloaded{next}.handle(g)
	if len(m.addresses) != 2 || m.addresses[0] != "127.0.0.1:8501" || m.addresses[1] != "other=127.0.0.1:8502" {
		t.Errorf("moved to %q", m.addresses)
	}
	cfg.NewEndpointSource = func(*Config, *slog.Logger) (registry.Source, error) { return nil, errors.New("no such agent") }
	if _, err := newGateway(cfg, discardLogger()); err == nil {
		t.Error("no error for an endpoint source that can't be created")
	}
}

// A new backend comes up at the address of one that discovery has not reported as gone yet. Nothing
// is sent to the old one any more: it would reach the new one's process. Two backends that exchange
// their addresses both stay.
func TestNewBackendAtFormerAddress(t *testing.T) {
	g, list := gatewayWithEndpoints(t, 3)
	next := list[0]
	next.ID = "node/q-00000009"
	g.handle(endpointEvent{Kind: registry.Delta, Members: []member{next}})
	if g.backends.byID[list[0].ID] != nil {
		t.Error("the backend whose address was taken is still used")
	}
	if b := g.backends.byID[next.ID]; b == nil || b.state != policy.Ready {
		t.Error("the new backend is not used")
	}
	first, second := list[1], list[2]
	first.HostPort, second.HostPort = second.HostPort, first.HostPort
	g.handle(endpointEvent{Kind: registry.Delta, Members: []member{first, second}})
	for _, m := range []member{first, second} {
		b := g.backends.byID[m.ID]
		if b == nil || b.state != policy.Ready || b.address != m.HostPort {
			t.Errorf("%s is not used at its new address", m.ID)
		}
	}
}
