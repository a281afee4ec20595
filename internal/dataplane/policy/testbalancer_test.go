package policy

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// actionRecorder records actions as lines of text.
type actionRecorder struct {
	recorded         []string
	attemptDeadlines []Time // when each attempt is given up
}

func (a *actionRecorder) record(format string, args ...any) {
	a.recorded = append(a.recorded, fmt.Sprintf(format, args...))
}

func (a *actionRecorder) Send(id uint64, backend uint32, until Time) {
	a.record("send %d to %d", id, backend)
	a.attemptDeadlines = append(a.attemptDeadlines, until)
}

func (a *actionRecorder) Reject(id uint64, after Time) {
	a.record("reject %d after %d", id, after)
}

func (a *actionRecorder) Fail(id uint64)                { a.record("fail %d", id) }
func (a *actionRecorder) SetTimer(at Time, _ uint32)    { a.record("timer %d", at) }
func (a *actionRecorder) Probe(backend uint32)          { a.record("probe %d", backend) }
func (a *actionRecorder) SendToPeer(peer int, m []byte) { a.record("peer %d %x", peer, m) }
func (a *actionRecorder) WatchEndpoints()               { a.record("watch") }
func (a *actionRecorder) Log(line string)               { a.record("log %s", line) }

func (a *actionRecorder) AddToCounter(name uint64, add float64, _ Time) {
	a.record("counter %d %g", name, add)
}

func (a *actionRecorder) count(prefix string) int {
	n := 0
	for _, line := range a.recorded {
		if strings.HasPrefix(line, prefix) {
			n++
		}
	}
	return n
}

func (a *actionRecorder) lastAction() string {
	for _, line := range slices.Backward(a.recorded) {
		if !strings.HasPrefix(line, "log") {
			return line
		}
	}
	return ""
}

const start = 100 * second

func testSettings() Settings {
	return Settings{
		Gateways: 2, Peers: true, Probes: true, RetryAfter: true, MaxPeerMessagesPerSecond: 60,
		MaxAttempts: 3, MaxRetryAfter: second, Tick: 4000,
		SlowStartMinFraction: 0.2, SlowStartDuration: 10 * second, SlowStartOverloadWindow: second,
		Classes: []Class{
			{LatencyObjective: second / 2, Idempotency: Idempotent, PriorityWeight: 1},
			{LatencyObjective: second, Idempotency: NotIdempotent, PriorityWeight: 5},
			{
				LatencyObjective: second, Idempotency: WithIdempotencyKey,
				DeduplicationScope: ScopeCell, DeduplicationWindow: second, PriorityWeight: 3,
			},
		},
		Plans: []Plan{
			{Rate: 2, Burst: 8, Price: 1, OverQuotaCost: 1},
			{Rate: 10, Burst: 20, Price: 1, OverQuotaRevenue: 0.3},
			{
				Rate: 4, Burst: 8, Price: 1, OverQuotaRevenue: 0.3,
				CeilingRate: 8, CeilingBurst: 16, CeilingSlack: 2,
			},
		},
	}
}

// testBalancer is a Balancer with four backends, of two cells, that has run for a second.
type testBalancer struct {
	*Balancer
	*actionRecorder
	t      *testing.T
	time   Time
	lastID uint64

	firstGateways map[uint64]int // first gateways of sets with a home, by customer
}

func newTestBalancer(t *testing.T, set Settings) *testBalancer {
	t.Helper()
	recorder := &actionRecorder{}
	lb, err := New(set, 7, recorder)
	if err != nil {
		t.Fatal(err)
	}
	r := &testBalancer{Balancer: lb, actionRecorder: recorder, t: t, time: start}
	lb.UpdateEndpoints(start, CompleteCached, endpointList(4))
	r.time += second
	return r
}

// wrapBalancer returns a Balancer whose actions are recorded, as a testBalancer at a time.
func wrapBalancer(t *testing.T, lb *Balancer, at Time) *testBalancer {
	recorder := lb.actions.(*actionRecorder)
	return &testBalancer{Balancer: lb, actionRecorder: recorder, t: t, time: at}
}

func endpointList(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Backend: uint32(i + 1), Cell: i % 2})
	}
	return list
}

// request makes a request of a customer with two gateways. It returns its id and whether it was
// sent.
func (r *testBalancer) request(class, plan int, customer uint64, units float64) (uint64, bool) {
	r.lastID++
	before := r.actionRecorder.count("send")
	r.Request(r.time, Request{
		ID: r.lastID, Class: class, Plan: plan, Customer: customer, Units: units,
		Timeout: 2 * second, Spread: 2,
	})
	return r.lastID, r.actionRecorder.count("send") > before
}

// endAttempt ends the last attempt of a request.
func (r *testBalancer) endAttempt(id uint64, result Result, done bool) {
	q := r.requests[id]
	if q == nil {
		r.t.Fatalf("request %d is unknown", id)
	}
	n := len(q.attempts) - 1
	r.Outcome(r.time, Outcome{
		ID: id, Attempt: n, Backend: q.attempts[n].backend.Backend, Result: result,
		Duration: second / 10, RequestDone: done,
	})
}

// serve makes a request and, if it is sent, answers it at once.
func (r *testBalancer) serve(class, plan int, customer uint64, units float64) bool {
	id, sent := r.request(class, plan, customer, units)
	if sent {
		r.endAttempt(id, OK, true)
	}
	return sent
}

func assertNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: %g, want %g", what, got, want)
	}
}

// gossipTo lets a gossip interval pass at one gateway and delivers its messages to another.
func gossipTo(from, to *testBalancer) {
	from.recorded = nil
	from.time += second / 10
	from.Timer(from.time, 0)
	deliverMessages(from, to)
}

// deliverMessages delivers the messages that one gateway has sent to another, once.
func deliverMessages(from, to *testBalancer) {
	to.time = max(to.time, from.time)
	sent := from.recorded
	from.recorded = nil
	for _, line := range sent {
		var peer int
		var message []byte
		if n, _ := fmt.Sscanf(line, "peer %d %x", &peer, &message); n == 2 &&
			peer == to.settings.Self {
			to.ReceivePeerMessage(to.time, from.settings.Self, message)
		}
	}
}

func newPair(t *testing.T) (a, b *testBalancer) {
	set := testSettings()
	a = newTestBalancer(t, set)
	set.Self = 1
	b = newTestBalancer(t, set)
	gossipTo(a, b)
	gossipTo(b, a)
	return a, b
}
