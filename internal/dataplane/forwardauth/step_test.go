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

// fakeHost is a Host whose goroutine is that of the test.
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
		h.t.Errorf("request %d got a second verdict", id)
	}
	h.decided[id] = v
}

// recheckInterval is how often a condition is checked while no event arrives. Some conditions
// become true without an event, such as the end of a breaker's open time.
const recheckInterval = time.Millisecond

// until runs the host until a condition holds.
func (h *fakeHost) until(what string, done func() bool) {
	h.t.Helper()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for timeout := time.After(testTimeout); !done(); {
		select {
		case f := <-h.events:
			f()
		case <-recheck.C:
		case <-timeout:
			h.t.Fatal("timed out waiting for ", what)
		}
	}
}

// An authenticator fails while 2,000 requests wait for it, and recovers. Each request must get one
// verdict, the calls must stay within their limit, and the first probe after the recovery must
// allow calls again.
func TestCrashWithManyWaiting(t *testing.T) {
	const many, calls = 2000, 16
	var down atomic.Bool
	var outstanding, maxOutstanding atomic.Int32
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n := outstanding.Add(1); n > maxOutstanding.Load() {
			maxOutstanding.Store(n)
		}
		defer outstanding.Add(-1)
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
		Settings{URL: s.URL, Timeout: testTimeout, MaxConns: calls},
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
			atOnce++ // the limit of calls was reached
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
			t.Fatalf("request %d: verdict %d, want Unknown from a failed authenticator", id, v)
		}
	}
	if !step.gate.BreakerOpen() {
		t.Error("the breaker is closed after the failures")
	}
	down.Store(false)
	h.until("an Allow after the recovery", func() bool {
		if v := ask(0); v == authz.Pending {
			id := next
			h.until("its verdict", func() bool { _, there := h.decided[id]; return there })
			return h.decided[id] == authz.Allow
		} else if v == authz.Allow {
			return true
		}
		return false
	})
	if n := maxOutstanding.Load(); n > calls {
		t.Errorf("%d calls outstanding at once", n)
	}
}

// Updates disable and enable the step, and invalid settings change nothing. Disabling the step
// allows the waiting requests.
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
		t.Error("enabled before any settings were applied")
	}
	step.Cancel(1)
	if err := step.Update(Settings{}, authz.Settings{}, 1); err != nil || step.Enabled() {
		t.Errorf("update without an authenticator: %v", err)
	}
	good := Settings{URL: "http://127.0.0.1:1/", Timeout: time.Second, MaxConns: 1}
	if err := step.Update(good, authz.Settings{}, 1); err == nil || step.Enabled() {
		t.Error("invalid rules were accepted")
	}
	if err := step.Update(good, rules, 1); err != nil || !step.Enabled() {
		t.Errorf("update with an authenticator: %v", err)
	}
	if err := step.Update(
		Settings{URL: "nowhere"},
		rules,
		1,
	); err == nil || !step.Enabled() ||
		step.settings.URL != good.URL {
		t.Error("an invalid address changed the step")
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
		t.Errorf("disabled: %v, verdict %d", err, h.decided[1])
	}
}
