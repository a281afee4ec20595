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

// rig is a source that follows a fake Consul agent.
type rig struct {
	*lab.Consul
	t      *testing.T
	source *Source
	told   chan registry.Update
	now    map[string]registry.Member // announced so far
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

func newRig(t *testing.T, change func(*Settings)) *rig {
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
	r := &rig{
		Consul: c,
		t:      t,
		source: s,
		told:   make(chan registry.Update, 1024),
		now:    map[string]registry.Member{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); s.Run(ctx, func(n registry.Update) { r.told <- n }) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(patience):
			t.Error("the source did not end")
		}
	})
	return r
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
func (r *rig) until(what string, so func() bool) {
	r.t.Helper()
	for late := time.After(patience); !so(); {
		select {
		case n := <-r.told:
			if n.Kind == registry.CompleteList {
				clear(r.now)
			}
			for _, m := range n.Members {
				r.now[m.ID[strings.IndexByte(m.ID, '/')+1:]] = m
			}
		case <-late:
			r.t.Fatalf("timed out waiting for %s; told %+v", what, r.now)
		}
	}
}

func (r *rig) phase(i int, phase string) func() bool {
	return func() bool { return r.now[id(i)].Phase == phase }
}

func (r *rig) all(phase string) func() bool {
	return func() bool { return r.phase(0, phase)() && r.phase(1, phase)() && r.phase(2, phase)() }
}

// Every way to drain is announced, and the way back.
func TestDrains(t *testing.T) {
	r := newRig(t, nil)
	r.until("all servers", r.all(registry.Ready))
	for _, c := range []struct {
		name     string
		on, back func()
		phase    string
	}{
		{"critical", func() { r.SetCheck(id(1), "service:"+id(1), "critical") }, func() { r.SetCheck(id(1), "service:"+id(1), "passing") }, registry.Terminating},
		{"maintenance", func() { r.SetMaintenance(id(1), true) }, func() { r.SetMaintenance(id(1), false) }, registry.Terminating},
		{"metadata", func() { register(t, r.Consul, 1, map[string]string{"draining": "true"}) }, func() { register(t, r.Consul, 1, nil) }, registry.Terminating},
		{"warning", func() { r.SetCheck(id(1), "ttl", "warning") }, func() { r.SetCheck(id(1), "ttl", "passing") }, registry.Terminating},
		{"deregistered", func() { r.Deregister(id(1)) }, func() { register(t, r.Consul, 1, nil) }, registry.Gone},
	} {
		c.on()
		r.until(c.name, r.phase(1, c.phase))
		c.back()
		r.until("back from "+c.name, r.phase(1, registry.Ready))
	}
	if r.now[id(1)].UpSince == 0 || r.now[id(0)].UpSince != 0 {
		t.Errorf("registered anew is to be cold, what stood is not: %+v", r.now)
	}
}

// Weights and metadata become the properties of a server.
func TestMetadata(t *testing.T) {
	r := newRig(t, nil)
	register(
		t,
		r.Consul,
		4,
		map[string]string{"locality": "sala-2", "cell": "3", "started": "1700000000"},
	)
	r.until("the new one", r.phase(4, registry.Ready))
	if m := r.now[id(4)]; m.Locality != "sala-2" || m.Cell != 3 || m.UpSince != 1700000000000 ||
		m.HostPort != "127.0.0.1:7004" ||
		m.Size != 1 {
		t.Errorf("%+v", m)
	}
}

// An agent that fails in any way is followed by the next one, and nothing that was known is lost.
func TestAgentFailuresLoseNothing(t *testing.T) {
	for name, f := range map[string]lab.ConsulFault{"errors": {Errs: true}, "half answers": {Half: true}, "dropped answers": {Drop: 0.9}, "silence": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, func(s *Settings) { s.Wait = 100 * time.Millisecond })
			r.until("all servers", r.all(registry.Ready))
			r.SetFault(f)
			r.Deregister(id(2))
			before := len(r.Calls())
			for len(r.Calls()) < before+3 { // it goes on calling
				time.Sleep(time.Millisecond)
			}
			if f.Drop == 0 && !r.all(registry.Ready)() {
				t.Errorf("told %+v", r.now)
			}
			r.SetFault(lab.ConsulFault{})
			r.until("the change meanwhile", r.phase(2, registry.Gone))
		})
	}
}

// An empty list does not remove all servers; a single server that goes is believed to have gone.
func TestEmptyListHold(t *testing.T) {
	r := newRig(t, nil)
	r.until("all servers", r.all(registry.Ready))
	for i := range 3 { // one change at a time: the last two go together as far as a lagging list shows
		if i == 1 {
			r.SetFault(lab.ConsulFault{Silent: true})
		}
		r.Deregister(id(i))
	}
	r.SetFault(lab.ConsulFault{})
	before := len(r.Calls())
	for len(r.Calls()) < before+4 {
		time.Sleep(time.Millisecond)
	}
	register(t, r.Consul, 1, nil)
	r.until(
		"the end of the outage",
		func() bool { return r.phase(2, registry.Gone)() && r.phase(1, registry.Ready)() },
	)
}

// An index that begins anew is followed.
func TestIndexReset(t *testing.T) {
	r := newRig(t, func(s *Settings) { s.Wait = 100 * time.Millisecond })
	r.until("all servers", r.all(registry.Ready))
	for i := range 30 {
		register(t, r.Consul, i%3, nil)
	}
	r.ResetIndex()
	r.Deregister(id(0))
	r.until("a change after the reset", r.phase(0, registry.Gone))
}

// An agent that answers at once all the time makes no busy loop: the calls since the beginning are
// never more than two watches may make in that time. A busy machine makes calls later, which allows
// no more of them.
func TestImmediateAnswersMakeNoBusyLoop(t *testing.T) {
	const (
		watches  = 2
		headroom = 3 // of each watch: the call under way, the first that is answered at once, one more in the first interval
		calls    = 30
	)
	r := newRig(t, nil)
	r.until("all servers", r.all(registry.Ready))
	before, began := len(r.Calls()), time.Now()
	r.SetFault(lab.ConsulFault{AtOnce: true})
	for len(r.Calls()) < before+calls {
		time.Sleep(time.Millisecond)
	}
	for i, at := range r.Calls()[before : before+calls] {
		allowed := watches * (int(at.Sub(began)/minCallInterval) + headroom)
		if i+1 > allowed {
			t.Errorf("%d calls within %v, %d at most", i+1, at.Sub(began), allowed)
		}
	}
}

// After a move to other agents, the service is followed there.
func TestMove(t *testing.T) {
	r := newRig(t, nil)
	r.until("all servers", r.all(registry.Ready))
	other := newConsul(t)
	for i := range 40 { // the same cluster, whose index goes on
		register(t, other, i%3, nil)
	}
	other.Deregister(id(2))
	r.source.Move("127.0.0.1:1," + other.Address)
	r.until("news of the other agent", r.phase(2, registry.Gone))
}

// The token goes with each call, and into no error.
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

// Whatever an agent answers, there is a list or an error.
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
				t.Errorf("%q: a list beside an error", text)
			}
			for _, in := range list {
				if in.Node == "" || in.ID == "" || in.Started < 0 || in.Size < 0 {
					t.Errorf("%q: %+v", text, in)
				}
			}
		}
	})
}
