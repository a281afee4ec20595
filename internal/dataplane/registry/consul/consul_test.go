package consul

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/dataplane/membership"
	"mothcleat/internal/dataplane/registry"
	"mothcleat/internal/testing/lab"
)

const patience = 30 * time.Second

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// harness runs a source that follows a fake Consul agent.
type harness struct {
	*lab.Consul
	t       *testing.T
	source  *Source
	updates chan registry.Update
	members map[string]registry.Member // by service ID, as announced so far
}

func settings(agents ...string) Settings {
	return Settings{
		Agents:       agents,
		Service:      "quotes",
		Wait:         time.Second,
		WatchCatalog: true,
		Membership: membership.Settings{
			EmptyListHold: patience.Microseconds(),
			ResetAfter:    3,
			MaxClockSkew:  0,
		},
	}
}

func newConsul(t *testing.T) *lab.Consul {
	t.Helper()
	c, err := lab.NewConsul(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	c := newConsul(t)
	for i := range 3 {
		register(t, c, i, nil)
	}
	set := settings(c.Address)
	if change != nil {
		change(&set)
	}
	s, err := New(set, quiet())
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{
		Consul:  c,
		t:       t,
		source:  s,
		updates: make(chan registry.Update, 1024),
		members: map[string]registry.Member{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); s.Run(ctx, func(u registry.Update) { h.updates <- u }) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Error("the source did not end")
		}
	})
	return h
}

func register(t *testing.T, c *lab.Consul, i int, meta map[string]string) {
	t.Helper()
	if err := c.Register(
		id(i),
		"quotes",
		fmt.Sprintf("127.0.0.1:%d", 7000+i),
		nil,
		meta,
	); err != nil {
		t.Fatal(err)
	}
}

func id(i int) string { return fmt.Sprintf("q-%08x", i) }

// until applies updates until a condition holds.
func (h *harness) until(what string, condition func() bool) {
	h.t.Helper()
	for late := time.After(patience); !condition(); {
		select {
		case u := <-h.updates:
			if u.Kind == registry.CompleteList {
				clear(h.members)
			}
			for _, m := range u.Members {
				h.members[m.ID[strings.IndexByte(m.ID, '/')+1:]] = m
			}
		case <-late:
			h.t.Fatalf("timed out waiting for %s; members %+v", what, h.members)
		}
	}
}

func (h *harness) phase(i int, phase string) func() bool {
	return func() bool { return h.members[id(i)].Phase == phase }
}

func (h *harness) all(phase string) func() bool {
	return func() bool { return h.phase(0, phase)() && h.phase(1, phase)() && h.phase(2, phase)() }
}

// Each way to drain or remove a server is announced, and so is its return.
func TestDrains(t *testing.T) {
	h := newHarness(t, nil)
	h.until("all servers", h.all(registry.Ready))
	for _, c := range []struct {
		name     string
		on, back func()
		phase    string
	}{
		{"critical", func() { h.SetCheck(id(1), "service:"+id(1), "critical") }, func() { h.SetCheck(id(1), "service:"+id(1), "passing") }, registry.Terminating},
		{"maintenance", func() { h.SetMaintenance(id(1), true) }, func() { h.SetMaintenance(id(1), false) }, registry.Terminating},
		{"metadata", func() { register(t, h.Consul, 1, map[string]string{"draining": "true"}) }, func() { register(t, h.Consul, 1, nil) }, registry.Terminating},
		{"warning", func() { h.SetCheck(id(1), "ttl", "warning") }, func() { h.SetCheck(id(1), "ttl", "passing") }, registry.Terminating},
		{"deregistered", func() { h.Deregister(id(1)) }, func() { register(t, h.Consul, 1, nil) }, registry.Gone},
	} {
		c.on()
		h.until(c.name, h.phase(1, c.phase))
		c.back()
		h.until("back from "+c.name, h.phase(1, registry.Ready))
	}
	if h.members[id(1)].UpSince == 0 || h.members[id(0)].UpSince != 0 {
		t.Errorf("want a start time only for the server that registered anew: %+v", h.members)
	}
}

// Weights and metadata become the properties of a server.
func TestMetadata(t *testing.T) {
	h := newHarness(t, nil)
	register(
		t,
		h.Consul,
		4,
		map[string]string{"locality": "sala-2", "cell": "3", "started": "1700000000"},
	)
	h.until("the new server", h.phase(4, registry.Ready))
	if m := h.members[id(4)]; m.Locality != "sala-2" || m.Cell != 3 || m.UpSince != 1700000000000 ||
		m.HostPort != "127.0.0.1:7004" ||
		m.Size != 1 {
		t.Errorf("%+v", m)
	}
}

// After a failed call of any kind the next agent is called, and no known server is lost.
func TestAgentFailuresLoseNothing(t *testing.T) {
	for name, f := range map[string]lab.ConsulFault{"errors": {Errs: true}, "half answers": {Half: true}, "dropped answers": {Drop: 0.9}, "silence": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, func(s *Settings) { s.Wait = 100 * time.Millisecond })
			h.until("all servers", h.all(registry.Ready))
			h.SetFault(f)
			h.Deregister(id(2))
			before := len(h.Calls())
			for len(h.Calls()) < before+3 { // the source continues to call
				time.Sleep(time.Millisecond)
			}
			if f.Drop == 0 && !h.all(registry.Ready)() {
				t.Errorf("members %+v", h.members)
			}
			h.SetFault(lab.ConsulFault{})
			h.until("the change during the failure", h.phase(2, registry.Gone))
		})
	}
}

// An empty list does not remove all servers. The removal of a single server is applied at once.
func TestEmptyListHold(t *testing.T) {
	h := newHarness(t, nil)
	h.until("all servers", h.all(registry.Ready))
	for i := range 3 { // the agent is silent from the second removal on: the last two are seen as one
		if i == 1 {
			h.SetFault(lab.ConsulFault{Silent: true})
		}
		h.Deregister(id(i))
	}
	h.SetFault(lab.ConsulFault{})
	before := len(h.Calls())
	for len(h.Calls()) < before+4 {
		time.Sleep(time.Millisecond)
	}
	register(t, h.Consul, 1, nil)
	h.until(
		"the end of the outage",
		func() bool { return h.phase(2, registry.Gone)() && h.phase(1, registry.Ready)() },
	)
}

// The source follows an index that was reset.
func TestIndexReset(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Wait = 100 * time.Millisecond })
	h.until("all servers", h.all(registry.Ready))
	for i := range 30 {
		register(t, h.Consul, i%3, nil)
	}
	h.ResetIndex()
	h.Deregister(id(0))
	h.until("a change after the reset", h.phase(0, registry.Gone))
}

// An agent that always answers at once must not cause a busy loop: at no time may there have been
// more calls than two watches may make in the time elapsed. A busy machine only delays calls and can't
// add any.
func TestImmediateAnswersMakeNoBusyLoop(t *testing.T) {
	const (
		watches  = 2
		headroom = 3 // per watch: the call under way, the first immediate answer, one more in the first interval
		calls    = 30
	)
	h := newHarness(t, nil)
	h.until("all servers", h.all(registry.Ready))
	before, began := len(h.Calls()), time.Now()
	h.SetFault(lab.ConsulFault{AtOnce: true})
	for len(h.Calls()) < before+calls {
		time.Sleep(time.Millisecond)
	}
	for i, at := range h.Calls()[before : before+calls] {
		allowed := watches * (int(at.Sub(began)/minCallInterval) + headroom)
		if i+1 > allowed {
			t.Errorf("%d calls within %v, want at most %d", i+1, at.Sub(began), allowed)
		}
	}
}

// After a move to other agents, the service is followed there.
func TestMove(t *testing.T) {
	h := newHarness(t, nil)
	h.until("all servers", h.all(registry.Ready))
	other := newConsul(t)
	for i := range 40 { // raises the index above that of the first agent, as in one cluster
		register(t, other, i%3, nil)
	}
	other.Deregister(id(2))
	h.source.Move("127.0.0.1:1," + other.Address)
	h.until("an update from the other agent", h.phase(2, registry.Gone))
}

// The token is sent with each call, and appears in no error.
func TestToken(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(file, []byte("t0ken\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	got := make(chan http.Header, 16)
	s, err := New(
		func() Settings { set := settings("127.0.0.1:1"); set.TokenFile = file; return set }(),
		quiet(),
	)
	if err != nil {
		t.Fatal(err)
	}
	s.client.Transport = roundTrip(func(r *http.Request) (*http.Response, error) {
		got <- r.Header
		return nil, io.EOF
	})
	_, _, err = s.fetch(context.Background(), membership.HealthView, "127.0.0.1:1", 0)
	if h := <-got; h.Get("X-Consul-Token") != "t0ken" || err == nil ||
		strings.Contains(err.Error(), "t0ken") {
		t.Errorf("header %v, error %v", h, err)
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func TestBadSettings(t *testing.T) {
	for i, change := range []func(*Settings){
		func(s *Settings) { s.Agents = nil }, func(s *Settings) { s.Agents = []string{"nowhere"} }, func(s *Settings) { s.Service = "" },
		func(s *Settings) { s.Consistency = "fast" }, func(s *Settings) { s.Wait = 0 }, func(s *Settings) { s.TokenFile = "/nowhere" },
		func(s *Settings) { s.CAFile = "/dev/null" }, func(s *Settings) { s.Membership.ResetAfter = 0 },
	} {
		set := settings("127.0.0.1:1")
		change(&set)
		if _, err := New(set, quiet()); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("settings %d: %v", i, err)
		}
	}
}

// For any answer of an agent, the decoders return either a list or an error.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{
		`[]`, `null`, `[{}]`, `[{"Node":{"Node":"n"},"Service":{"ID":"a","Port":1},"Checks":[{"Status":"passing"}]}]`,
		`[{"Node":{"Node":"n"},"Service":{"ID":"a","Port":-1,"Weights":{"Passing":-3},"Meta":{"started":"99999999999999999999"}}}]`,
		`[{"Node":{"Node":"n"},"Service":{"ID":"a"`, `[] []`, `{"a":1}`, `[{"Node":"n","ServiceID":"a"}]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		for _, read := range []func(io.Reader) ([]membership.Instance, error){decodeHealth, decodeCatalog} {
			list, err := read(strings.NewReader(string(text)))
			if err != nil && list != nil {
				t.Errorf("%q: both a list and an error", text)
			}
			for _, in := range list {
				if in.Node == "" || in.ID == "" || in.Started < 0 || in.Size < 0 {
					t.Errorf("%q: %+v", text, in)
				}
			}
		}
	})
}
