package forwardauth

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"mothcleat/internal/dataplane/authz"
)

// fakeHost is the goroutine that decides: the test's own.
type fakeHost struct {
	t       *testing.T
	events  chan func()
	timers  []*time.Timer
	decided map[uint64]authz.Verdict
}

func (h *fakeHost) Now() authz.Time { return time.Now().UnixMicro() }
func (h *fakeHost) Post(f func())   { h.events <- f }
func (h *fakeHost) At(when authz.Time, f func()) {
	h.timers = append(
		h.timers,
		time.AfterFunc(time.Duration(when-h.Now())*time.Microsecond, func() { h.Post(f) }),
	)
}

func (h *fakeHost) Decided(id uint64, v authz.Verdict, _ authz.Time) {
	if _, twice := h.decided[id]; twice {
		h.t.Errorf("request %d has two verdicts", id)
	}
	h.decided[id] = v
}

// recheckInterval is how often a condition is checked while no event comes: some hold by the passing
// of time alone, such as the end of a breaker's opening.
const recheckInterval = time.Millisecond

// until runs the host until a condition holds.
func (h *fakeHost) until(what string, so func() bool) {
	h.t.Helper()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for late := time.After(patience); !so(); {
		select {
		case f := <-h.events:
			f()
		case <-recheck.C:
		case <-late:
			h.t.Fatal("timed out waiting for ", what)
		}
	}
}

// An authenticator dies with two thousand requests waiting, and comes back: each request has one
// verdict, the calls stay within their limit, and the first probe after its return lets questions
// through again.
func TestCrashWithManyWaiting(t *testing.T) {
	const many, calls = 2000, 16
	var down atomic.Bool
	var out, most atomic.Int32
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n := out.Add(1); n > most.Load() {
			most.Store(n)
		}
		defer out.Add(-1)
		if down.Load() {
			<-release
			panic(http.ErrAbortHandler) // the connection is reset
		}
	}))
	defer s.Close()
	h := &fakeHost{t: t, events: make(chan func(), many), decided: map[uint64]authz.Verdict{}}
	step := NewStep(context.Background(), h)
	rules := authz.Settings{
		Classes:         []bool{true},
		FailOpen:        []bool{false},
		Plans:           []bool{true},
		MaxWait:         time.Hour.Microseconds(),
		AllowTTL:        1e6,
		MaxAllowTTL:     1e6,
		MaxDenyTTL:      1e6,
		MaxCalls:        calls,
		MaxWaiting:      many,
		MaxCached:       many,
		BreakerFailures: 3,
		BreakerMinOpen:  1000,
		BreakerMaxOpen:  2000,
	}
	if err := step.Update(
		Settings{URL: s.URL, Timeout: patience, MaxConns: calls},
		rules,
		1,
	); err != nil {
		t.Fatal(err)
	}
	next, atOnce := uint64(0), 0
	ask := func(customer int) authz.Verdict {
		next++
		v, _ := step.Request(
			next,
			&Question{Customer: string(rune('a' + customer)), ClientAddress: "127.0.0.1:1"},
			0,
			0,
			1e12,
		)
		return v
	}
	down.Store(true)
	for i := range many {
		if v := ask(i % (calls + 4)); v == authz.Unknown {
			atOnce++ // there was no call left for its question
		} else if v != authz.Pending {
			t.Fatalf("verdict %d", v)
		}
	}
	if want := many / (calls + 4) * 4; atOnce != want {
		t.Errorf("%d were decided at once, want %d", atOnce, want)
	}
	close(release)
	h.until("a verdict for each", func() bool { return len(h.decided) == many-atOnce })
	for id, v := range h.decided {
		if v != authz.Unknown {
			t.Fatalf("request %d: verdict %d of an authenticator that died", id, v)
		}
	}
	if !step.gate.BreakerOpen() {
		t.Error("the breaker is closed")
	}
	down.Store(false)
	h.until("an allowance after its return", func() bool {
		if v := ask(0); v == authz.Pending {
			id := next
			h.until("its verdict", func() bool { _, there := h.decided[id]; return there })
			return h.decided[id] == authz.Allow
		} else if v == authz.Allow {
			return true
		}
		return false
	})
	if n := most.Load(); n > calls {
		t.Errorf("%d calls out at once", n)
	}
}

// The step is disabled, enabled, moved and disabled again; settings that can't be used change
// nothing.
func TestUpdate(t *testing.T) {
	h := &fakeHost{t: t, events: make(chan func(), 8), decided: map[uint64]authz.Verdict{}}
	step := NewStep(context.Background(), h)
	rules := authz.Settings{
		Classes:         []bool{true},
		FailOpen:        []bool{false},
		Plans:           []bool{true},
		MaxWait:         1e6,
		MaxCalls:        1,
		MaxWaiting:      1,
		MaxCached:       1,
		BreakerFailures: 1,
		BreakerMinOpen:  1,
		BreakerMaxOpen:  1,
	}
	var none *Step
	if none.Enabled() || step.Enabled() {
		t.Error("on before anything was set")
	}
	step.Cancel(1)
	if err := step.Update(Settings{}, authz.Settings{}, 1); err != nil || step.Enabled() {
		t.Errorf("off: %v", err)
	}
	good := Settings{URL: "http://127.0.0.1:1/", Timeout: time.Second, MaxConns: 1}
	if err := step.Update(good, authz.Settings{}, 1); err == nil || step.Enabled() {
		t.Error("rules that can't be used were taken")
	}
	if err := step.Update(good, rules, 1); err != nil || !step.Enabled() {
		t.Errorf("on: %v", err)
	}
	if err := step.Update(
		Settings{URL: "nowhere"},
		rules,
		1,
	); err == nil || !step.Enabled() ||
		step.settings.URL != good.URL {
		t.Error("a bad address changed something")
	}
	if v, _ := step.Request(1, &Question{}, 0, 0, 4e9); v != authz.Pending {
		t.Errorf("verdict %d", v)
	}
	if err := step.Update(
		Settings{},
		authz.Settings{},
		1,
	); err != nil || step.Enabled() ||
		h.decided[1] != authz.Allow {
		t.Errorf("switched off: %v, verdict %d", err, h.decided[1])
	}
}
