package policy

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// fake records actions as text.
type fake struct {
	done  []string
	waits []Time // until when each attempt is waited for
}

func (f *fake) note(format string, args ...any) {
	f.done = append(f.done, fmt.Sprintf(format, args...))
}

func (f *fake) Send(id uint64, backend uint32, until Time) {
	f.note("send %d to %d", id, backend)
	f.waits = append(f.waits, until)
}
func (f *fake) Reject(id uint64, after Time)                     { f.note("refuse %d after %d", id, after) }
func (f *fake) Fail(id uint64)                                   { f.note("fail %d", id) }
func (f *fake) SetTimer(at Time, token uint32)                   { f.note("timer %d", at) }
func (f *fake) Probe(backend uint32)                             { f.note("probe %d", backend) }
func (f *fake) SendToPeer(peer int, note []byte)                 { f.note("tell %d %x", peer, note) }
func (f *fake) AddToCounter(name uint64, add float64, life Time) { f.note("count %d %g", name, add) }
func (f *fake) WatchEndpoints()                                  { f.note("follow") }
func (f *fake) Log(line string)                                  { f.note("log %s", line) }

func (f *fake) count(prefix string) int {
	n := 0
	for _, line := range f.done {
		if strings.HasPrefix(line, prefix) {
			n++
		}
	}
	return n
}

func (f *fake) last() string {
	for _, line := range slices.Backward(f.done) {
		if !strings.HasPrefix(line, "log") {
			return line
		}
	}
	return ""
}

const start = 100 * second

func settings() Settings {
	return Settings{
		Gateways: 2, Peers: true, Probes: true, RetryAfter: true, MaxPeerMessagesPerSecond: 60,
		MaxAttempts: 3, MaxRetryAfter: second, Tick: 4000,
		SlowStartMinFraction: 0.2, SlowStartDuration: 10 * second, SlowStartOverloadWindow: second,
		Classes: []Class{
			{LatencyObjective: second / 2, Idempotency: Idempotent, PriorityWeight: 1},
			{LatencyObjective: second, Idempotency: NotIdempotent, PriorityWeight: 5},
			{LatencyObjective: second, Idempotency: WithIdempotencyKey, DeduplicationScope: ScopeCell, DeduplicationWindow: second, PriorityWeight: 3},
		},
		Plans: []Plan{
			{Rate: 2, Burst: 8, Price: 1, BeyondCosts: 1},
			{Rate: 10, Burst: 20, Price: 1, BeyondEarns: 0.3},
			{Rate: 4, Burst: 8, Price: 1, BeyondEarns: 0.3, CeilingRate: 8, CeilingBurst: 16, CeilingSlack: 2},
		},
	}
}

// rig is a gateway with four backends, of two cells, that has run for a while.
type rig struct {
	*Balancer
	*fake
	t    *testing.T
	at   Time
	next uint64

	firsts map[uint64]int // of wide sets, by customer
}

func newRig(t *testing.T, set Settings) *rig {
	t.Helper()
	f := &fake{}
	g, err := New(set, 7, f)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{Balancer: g, fake: f, t: t, at: start}
	g.UpdateEndpoints(start, CompleteCached, members(4))
	r.at += second
	return r
}

func members(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Backend: uint32(i + 1), Cell: i % 2})
	}
	return list
}

// ask has a customer with spread 2 ask once and returns the request's id and
// whether it was sent.
func (r *rig) ask(class, plan int, customer uint64, units float64) (uint64, bool) {
	r.next++
	before := r.fake.count("send")
	r.Request(r.at, Request{ID: r.next, Class: class, Plan: plan, Customer: customer, Units: units,
		Timeout: 2 * second, Spread: 2})
	return r.next, r.fake.count("send") > before
}

// end ends the attempt of a request that is out.
func (r *rig) end(id uint64, result Result, over bool) {
	q := r.requests[id]
	if q == nil {
		r.t.Fatalf("request %d is not held", id)
	}
	n := len(q.attempts) - 1
	r.Outcome(r.at, Outcome{ID: id, Attempt: n, Backend: q.attempts[n].backend.Backend, Result: result,
		Duration: second / 10, RequestDone: over})
}

// serve asks and has it answered at once.
func (r *rig) serve(class, plan int, customer uint64, units float64) bool {
	id, sent := r.ask(class, plan, customer, units)
	if sent {
		r.end(id, OK, true)
	}
	return sent
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-6 {
		t.Errorf("%s: %g, want %g", what, got, want)
	}
}

func TestBankSpillsWhatItCannotHold(t *testing.T) {
	for _, c := range []struct {
		level float64
		after Time
		want  float64
		spill float64
	}{
		{0, second, 2, 0},
		{4.5, second / 4, 5, 0},
		{4, second, 5, 1},
		{5, 10 * second, 5, 20},
		{-3, second, -1, 0},
	} {
		b := tokenBucket{level: c.level, rate: 2, capacity: 5, at: start}
		near(t, "spill", b.refill(start+c.after), c.spill)
		near(t, "level", b.level, c.want)
	}
}

func TestOwnBankFirstThenRefusedWithAdvice(t *testing.T) {
	r := newRig(t, settings())
	for i := range 4 {
		if !r.serve(0, 0, 9, 2) {
			t.Fatalf("try %d within the burst of 8 was not sent", i)
		}
	}
	if r.serve(0, 0, 9, 2) {
		t.Fatal("a try beyond the quota of a plan that is not soft was sent")
	}
	if got := r.last(); got != "refuse 5 after 1000000" {
		t.Errorf("%q, want a refusal until the bank holds 2 units", got)
	}
	r.at += second
	if !r.serve(0, 0, 9, 2) {
		t.Error("not sent after the bank refilled")
	}
}

func TestSpillIsLentToSoftPlansOnly(t *testing.T) {
	r := newRig(t, settings())
	r.serve(0, 1, 1, 1)
	r.at += 10 * second // the bank of customer 1 is full and spills
	r.serve(0, 1, 1, 1)
	if r.sharedBucket.level < 10 {
		t.Fatalf("bank 0 holds %g after ten seconds of spill", r.sharedBucket.level)
	}
	sent := 0
	for range 40 {
		if r.serve(0, 1, 2, 1) {
			sent++
		}
	}
	if sent <= 20 {
		t.Errorf("a soft customer got %d units, want more than its burst of 20", sent)
	}
	r.sharedBucket.level = 10
	sent = 0
	for range 40 {
		if r.serve(0, 0, 3, 1) {
			sent++
		}
	}
	if sent != 8 {
		t.Errorf("a customer that is not soft got %d units, want its burst of 8", sent)
	}
}

func TestIdleBanksAreDroppedAndGoOnSpilling(t *testing.T) {
	r := newRig(t, settings())
	for id := range uint64(3000) {
		r.serve(0, 0, id, 1)
		r.at += second / 50
		r.Timer(r.at, 0)
	}
	if n := len(r.customers); n > 2500 {
		t.Errorf("%d customers are kept of 3000 that came once in a minute", n)
	}
	r.at += 60 * second
	r.Timer(r.at, 0)
	r.at += 60 * second
	r.Timer(r.at, 0)
	if n := len(r.customers) + len(r.customerOrder); n != 0 {
		t.Errorf("%d records are kept of idle customers", n)
	}
	// A customer that comes counts as one of those dropped, known or not.
	if r.sharedBucket.rate <= 100 || r.sharedBucket.rate > 3000 {
		t.Errorf("bank 0 is fed at %g a second by 3000 idle slices of 1", r.sharedBucket.rate)
	}
}

// tellAll carries what one rig has to tell to another.
func tellAll(from, to *rig) {
	from.done = nil
	from.at += second / 10
	from.Timer(from.at, 0)
	carry(from, to)
}

// carry delivers what one rig has told another, once.
func carry(from, to *rig) {
	to.at = max(to.at, from.at)
	told := from.done
	from.done = nil
	for _, line := range told {
		var peer int
		var note []byte
		if n, _ := fmt.Sscanf(line, "tell %d %x", &peer, &note); n == 2 && peer == to.settings.Self {
			to.ReceivePeerMessage(to.at, from.settings.Self, note)
		}
	}
}

func pair(t *testing.T) (a, b *rig) {
	set := settings()
	a = newRig(t, set)
	set.Self = 1
	b = newRig(t, set)
	tellAll(a, b)
	tellAll(b, a)
	return a, b
}

func TestNotesShareOneStore(t *testing.T) {
	a, b := pair(t)
	for range 4 {
		a.serve(0, 0, 9, 2)
	}
	tellAll(a, b)
	if b.serve(0, 0, 9, 2) {
		t.Error("the second gateway gave the burst out again")
	}
}

func TestLateRepeatedAndLostNotesDoNoHarm(t *testing.T) {
	a, b := pair(t)
	var notes [][]byte
	for range 3 {
		a.serve(0, 1, 9, 4)
		c := a.customers[9]
		notes = append(notes, (&usageEntry{id: 9, plan: 1, spread: 2, consumed: toWireUnits(c.consumed), remaining: 0.5}).appendTo(a.newPeerMessage()))
	}
	b.ReceivePeerMessage(b.at, 0, notes[0])
	level := b.customers[9].bucket.level
	b.ReceivePeerMessage(b.at, 0, notes[2]) // the second is lost
	near(t, "level after 8 more units", b.customers[9].bucket.level, level-8)
	b.ReceivePeerMessage(b.at, 0, notes[2])
	b.ReceivePeerMessage(b.at, 0, notes[1])
	near(t, "level after a repeat and a late note", b.customers[9].bucket.level, level-8)
}

func TestMalformedNotesArePassedOver(t *testing.T) {
	_, b := pair(t)
	good := (&usageEntry{id: 9, plan: 0, spread: 2}).appendTo(messageHeader(1, 0, 0))
	bad := slices.Clone(good)
	bad[0]++
	plan := (&usageEntry{id: 9, plan: 200, spread: 2}).appendTo(messageHeader(1, 0, 0))
	for _, note := range [][]byte{nil, {1}, good[:len(good)-1], append(slices.Clone(good), 0), bad, plan} {
		b.ReceivePeerMessage(b.at, 0, note)
	}
	for _, from := range []int{-1, 1, 2} {
		b.ReceivePeerMessage(b.at, from, good)
	}
	if len(b.customers) != 0 {
		t.Error("a malformed note made a record")
	}
}

func TestSlicesFollowDemandAndSilentPeersAgeOut(t *testing.T) {
	a, b := pair(t)
	for range 6 {
		a.serve(0, 1, 9, 1)
	}
	for range 2 {
		b.serve(0, 1, 9, 1)
	}
	tellAll(b, a)
	if part := a.quotaFraction(a.customers[9]); part < 0.7 || part > 0.8 {
		t.Errorf("part %g, want about three quarters", part)
	}
	a.at += 30 * second
	a.serve(0, 1, 9, 1)
	if part := a.quotaFraction(a.customers[9]); part < 0.99 {
		t.Errorf("part %g with the peer long silent, want all", part)
	}
}

func TestRestartGivesNoSecondBurst(t *testing.T) {
	a, b := pair(t)
	for range 4 {
		a.serve(0, 0, 9, 2)
	}
	tellAll(a, b)
	tellAll(a, b)
	again, err := New(a.settings, 8, &fake{})
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{Balancer: again, fake: again.actions.(*fake), t: t, at: b.at}
	r.UpdateEndpoints(r.at, CompleteCached, members(4))
	b.ReceivePeerMessage(b.at, 0, again.newPeerMessage()) // its greeting
	tellAll(b, r)
	if r.serve(0, 0, 9, 2) {
		t.Error("the restarted gateway gave the spent burst out again")
	}
}

func TestCounterStandsInForNotes(t *testing.T) {
	set := settings()
	set.Peers, set.Counter = false, true
	r := newRig(t, set)
	r.serve(0, 0, 9, 2)
	r.Timer(r.at, 0)
	if r.fake.count("count 9 2") != 1 {
		t.Fatal("use was not counted")
	}
	r.ReceiveCounterTotal(r.at, 9, OK, 2)
	near(t, "level", r.customers[9].bucket.level, 6)
	r.serve(0, 0, 9, 2)
	r.Timer(r.at, 0)
	r.ReceiveCounterTotal(r.at, 9, OK, 7)
	near(t, "level after 3 units by others", r.customers[9].bucket.level, 1)
	r.ReceiveCounterTotal(r.at, 9, OK, 100) // no call is out
	near(t, "level after a stray answer", r.customers[9].bucket.level, 1)
}

func TestMeterSetsTheSlice(t *testing.T) {
	set := settings()
	set.Peers, set.MeterPeriod = false, second
	r := newRig(t, set)
	id, _ := r.ask(0, 1, 9, 5)
	near(t, "slice before a reading", r.quotaFraction(r.customers[9]), 0.5)
	b := r.requests[id].attempts[0].backend.Backend
	r.Outcome(r.at, Outcome{ID: id, Backend: b, Result: OK, Duration: 1, RequestDone: true, MeteredUse: 201})
	near(t, "slice with a quarter of the use", r.quotaFraction(r.customers[9]), 0.25)
}

func TestSettledUnitsAndOpenLimit(t *testing.T) {
	set := settings()
	set.Gateways, set.SettlesUnits = 1, true
	set.Plans[0].OpenLimit = 2
	r := newRig(t, set)
	id, _ := r.ask(0, 0, 9, 2)
	r.Outcome(r.at, Outcome{ID: id, Backend: r.requests[id].attempts[0].backend.Backend, Result: OK, Duration: 1, RequestDone: true, TrueUnits: 5})
	near(t, "store after 5 true units", r.customers[9].bucket.level, 8.0/1-5)
	r.ask(0, 0, 8, 1)
	r.ask(0, 0, 8, 1)
	if _, sent := r.ask(0, 0, 8, 1); sent {
		t.Error("a third attempt out was sent against a limit of 2")
	}
}

func TestCeilingHoldsThroughRestartsWithPeersSilent(t *testing.T) {
	set := settings()
	plan := set.Plans[2]
	truth := tokenBucket{plan.CeilingBurst, plan.CeilingRate, plan.CeilingBurst, start}
	born := func(self int, at Time) *rig {
		set.Self = self
		g, err := New(set, uint64(at), &fake{})
		if err != nil {
			t.Fatal(err)
		}
		g.UpdateEndpoints(at, CompleteCached, members(4))
		return &rig{Balancer: g, fake: g.actions.(*fake), t: t}
	}
	gateways := []*rig{born(0, start), born(1, start)}
	sent, lowest := 0.0, 0.0
	for i := range 3000 {
		at := start + Time(i)*second/100
		if i%250 == 249 {
			gateways[i/250%2] = born(i/250%2, at)
		}
		for _, r := range gateways {
			r.at, r.sharedBucket.level = at, 100 // whatever bank 0 would give
			if r.serve(0, 2, 9, 1) {
				sent++
				truth.refill(at)
				truth.level--
				lowest = min(lowest, truth.level)
			}
		}
	}
	if lowest < -plan.CeilingSlack {
		t.Errorf("the ceiling store fell to %g, %g allowed", lowest, -plan.CeilingSlack)
	}
	if sent < 200 {
		t.Errorf("%g units sent in 30 s: the ceiling of 8 a second is far from used", sent)
	}
}

func TestMayRetry(t *testing.T) {
	x := &backend{Endpoint: Endpoint{Cell: 1}}
	y := &backend{Endpoint: Endpoint{Cell: 2}}
	executed := &attempt{backend: x, sentAt: start, mayHaveRun: true}
	notExecuted := &attempt{backend: y, sentAt: start}
	pending := &attempt{backend: x, sentAt: start, mayHaveRun: true, pending: true}
	idempotent := &Class{Idempotency: Idempotent}
	notIdempotent := &Class{Idempotency: NotIdempotent}
	keyed := &Class{Idempotency: WithIdempotencyKey, DeduplicationWindow: second}
	keyedInCell := &Class{Idempotency: WithIdempotencyKey, DeduplicationWindow: second}
	keyedInCell.DeduplicationScope = ScopeCell
	for _, c := range []struct {
		name    string
		class   *Class
		made    []*attempt
		hedging bool
		after   Time
		want    retryDecision
	}{
		{"nothing sent", notIdempotent, nil, false, 0, retryDecision{true, nil, true}},
		{"idempotent, executed", idempotent, []*attempt{executed}, false, 0, retryDecision{true, nil, true}},
		{"idempotent, pending", idempotent, []*attempt{pending}, false, 0, retryDecision{false, nil, true}},
		{"idempotent, pending, hedging", idempotent, []*attempt{pending}, true, 0, retryDecision{true, nil, true}},
		{"not idempotent, not executed", notIdempotent, []*attempt{notExecuted, notExecuted}, false, 0,
			retryDecision{true, nil, true}},
		{"not idempotent, executed", notIdempotent, []*attempt{notExecuted, executed}, false, 0,
			retryDecision{false, nil, false}},
		{"keyed, in its cell", keyedInCell, []*attempt{notExecuted, executed}, false, second / 2,
			retryDecision{true, executed, false}},
		{"keyed, after its window", keyedInCell, []*attempt{executed}, false, second,
			retryDecision{false, executed, false}},
		{"keyed everywhere", keyed, []*attempt{executed}, false, 0, retryDecision{true, executed, true}},
		{"keyed, not executed", keyedInCell, []*attempt{notExecuted}, false, 9 * second,
			retryDecision{true, nil, true}},
	} {
		if got := c.class.mayRetry(c.made, c.hedging, start+c.after, 1000); got != c.want {
			t.Errorf("%s: %+v, %+v wanted", c.name, got, c.want)
		}
	}
}

func TestOneFinalAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result Result
		want   string
	}{
		{"safe after an error goes on", 0, Failed, "send"},
		{"unsafe after an error fails", 1, Failed, "fail"},
		{"unsafe turned away goes on", 1, Rejected, "send"},
		{"unsafe without connection goes on", 1, ConnectFailed, "send"},
		{"keyed by cell after a reset goes on", 2, Reset, "send"},
	} {
		r := newRig(t, settings())
		id, _ := r.ask(c.class, 1, 9, 1)
		first := r.requests[id].attempts[0].backend
		r.end(id, c.result, false)
		if got := r.last(); !strings.HasPrefix(got, fmt.Sprintf("%s %d", c.want, id)) {
			t.Errorf("%s: %q", c.name, got)
			continue
		}
		if c.want != "send" {
			continue
		}
		if second := r.requests[id].attempts[1].backend; second == first || c.class == 2 && second.Cell != first.Cell {
			t.Errorf("%s: to backend %d of cell %d", c.name, second.Backend, second.Cell)
		}
		for r.requests[id] != nil {
			r.at += second
			r.end(id, TimedOut, false)
		}
		finals := r.fake.count("fail") + r.fake.count("refuse")
		if finals != 1 {
			t.Errorf("%s: %d final answers", c.name, finals)
		}
	}
}

func TestStaleEventsArePassedOver(t *testing.T) {
	r := newRig(t, settings())
	id, _ := r.ask(0, 1, 9, 1)
	before := len(r.done)
	r.Outcome(r.at, Outcome{ID: 999})
	r.Outcome(r.at, Outcome{ID: id, Attempt: 4})
	r.Outcome(r.at, Outcome{ID: id, Attempt: -1})
	r.ClientGone(r.at, 999)
	r.Timer(r.at, 77)
	r.ReceiveProbeResult(r.at, 99, OK, nil)
	r.ReceiveCounterTotal(r.at, 5, OK, 1)
	if len(r.done) != before {
		t.Errorf("stale events acted: %v", r.done[before:])
	}
	r.ClientGone(r.at, id)
	r.end(id, Reset, true)
	if r.requests[id] != nil || r.fake.count("fail")+r.fake.count("refuse") != 0 {
		t.Error("a request whose client left was answered or kept")
	}
}

func TestNothingGoesToADrainingOrGoneBackend(t *testing.T) {
	for _, news := range []struct {
		news ListKind
		list []Endpoint
	}{
		{Delta, []Endpoint{{Backend: 1, State: Draining}, {Backend: 2, State: Removed}}},
		{Complete, []Endpoint{{Backend: 3}, {Backend: 4, Cell: 1}}},
	} {
		r := newRig(t, settings())
		r.UpdateEndpoints(r.at, news.news, news.list)
		for i := range uint64(30) {
			if id, sent := r.ask(0, 1, i, 1); sent && r.requests[id].attempts[0].backend.Backend < 3 {
				t.Fatal("sent to a backend that drains or is gone")
			}
		}
		if r.fake.count("send") == 0 {
			t.Error("nothing was sent at all")
		}
	}
}

func TestColdBackendsGetTheirShare(t *testing.T) {
	r := newRig(t, settings())
	var out []uint64
	load := func(seconds int) map[uint32]int {
		got := map[uint32]int{}
		for i := range seconds * 100 {
			r.at += second / 100
			if id, sent := r.ask(0, 1, uint64(i), 1); sent {
				got[r.requests[id].attempts[0].backend.Backend]++
				out = append(out, id)
			}
			for len(out) > 0 && r.at-r.requests[out[0]].attempts[0].sentAt >= second/10 {
				r.end(out[0], OK, true)
				out = out[1:]
			}
		}
		return got
	}
	load(8)
	r.UpdateEndpoints(r.at, Delta, []Endpoint{{Backend: 4, Cell: 1, StartedAt: r.at}})
	got := load(1)
	warm := float64(got[1]+got[2]+got[3]) / 3
	if cold := float64(got[4]); cold > 0.6*warm || cold == 0 {
		t.Errorf("the cold backend got %g where a warm one got %g", cold, warm)
	}
	// All cold at once: the budget holds all the same.
	list := members(4)
	for i := range list {
		list[i].StartedAt = r.at
	}
	r.UpdateEndpoints(r.at, Complete, list)
	got = load(1)
	if n := got[1] + got[2] + got[3] + got[4]; n > 60 {
		t.Errorf("%d of 100 sent on to backends that are all cold", n)
	}
}

func TestABrokenBackendIsTriedByProbeAndComesBackCold(t *testing.T) {
	r := newRig(t, settings())
	id, _ := r.ask(0, 1, 9, 1)
	b := r.requests[id].attempts[0].backend
	r.end(id, ConnectFailed, false)
	r.at += second
	r.Timer(r.at, 0)
	if r.fake.count(fmt.Sprintf("probe %d", b.Backend)) != 1 {
		t.Fatal("the broken backend was not probed")
	}
	r.ReceiveProbeResult(r.at, b.Backend, OK, nil)
	if r.ejected(b) || r.warmFraction(b) == 1 {
		t.Error("a backend whose connections broke must come back, and for cold")
	}
}

// One reset connection tells of itself: the long day lost most of what it lost to
// backends left out, and then held for cold, after a single one.
func TestOneResetLeavesTheBackendIn(t *testing.T) {
	r := newRig(t, settings())
	id, _ := r.ask(0, 1, 9, 1)
	b := r.requests[id].attempts[0].backend
	r.end(id, Reset, true)
	if b.unhealthy || r.ejected(b) {
		t.Error("left out after a single reset")
	}
	r.at += 10 * second
	r.Timer(r.at, 0)
	if r.recordConnectionFault(b, Reset) || b.unhealthy {
		t.Error("left out for two resets long apart")
	}
	for range 3 {
		r.recordConnectionFault(b, Reset)
	}
	if !b.unhealthy {
		t.Fatal("kept after many resets at once")
	}
	r.ReceiveProbeResult(r.at, b.Backend, OK, nil)
	if b.unhealthy || r.warmFraction(b) < 1 {
		t.Error("one whose connections were only reset came back for cold")
	}
}

// Guards the defence against backends that hang or are cut off: i62622c.
func TestASilentBackendIsLeftOut(t *testing.T) {
	r := newRig(t, settings())
	stuck, _ := r.ask(0, 1, 9, 1)
	b := r.requests[stuck].attempts[0].backend
	for i := range 150 {
		r.at += second / 100
		r.Timer(r.at, 0)
		if id, sent := r.ask(0, 1, uint64(i), 1); sent && r.requests[id].attempts[0].backend != b {
			r.end(id, OK, true)
		}
	}
	if !b.unhealthy || !r.ejected(b) {
		t.Error("a backend that answers nothing for several aims is still used")
	}
	r.at += second
	r.ReceiveProbeResult(r.at, b.Backend, OK, nil)
	if r.ejected(b) || r.warmFraction(b) != 1 {
		t.Error("a backend that was only silent must come back warm")
	}
}

// Guards the defence against lost attempts that shut the gate: i62622c.
func TestAttemptsPastTheirAimFillNoRoom(t *testing.T) {
	set := settings()
	r := newRig(t, set)
	held := 0
	for i := range 100 {
		if _, sent := r.ask(1, 1, uint64(i), 1); sent {
			held++
		}
	}
	if held == 0 || held == 100 {
		t.Fatalf("%d of 100 attempts held: the room is not bounded", held)
	}
	r.at += 2 * second
	for _, b := range r.backends {
		b.unansweredSince = r.at // each has answered others
	}
	if _, sent := r.ask(1, 1, 200, 1); !sent {
		t.Error("attempts past their aim still fill the room")
	}
}

// Of many gateways each sees hardly anything out: where the list tells sizes, idle servers get their part by size, and
// the smaller ones are not left to stand idle while all send to the largest. What is out counts by size as well.
func TestIdleServersAreChosenBySize(t *testing.T) {
	for name, sizes := range map[string][]float64{"told": {1, 1, 3, 3}, "scaled": {2.5, 2.5, 7.5, 7.5}} {
		set := settings()
		set.ComparableWeights = true
		r := newRig(t, set)
		list := members(4)
		for i := range list {
			list[i].Weight = sizes[i]
		}
		r.UpdateEndpoints(r.at, Complete, list)
		got := map[uint32]int{}
		const asked = 2000
		for range asked {
			r.at += second / 20
			id, sent := r.ask(0, 1, r.next, 1)
			if !sent {
				t.Fatalf("%s: request %d was not sent: %s", name, id, r.last())
			}
			got[r.requests[id].attempts[0].backend.Backend]++
			r.end(id, OK, true)
		}
		for i, m := range list {
			if part, want := float64(got[m.Backend])/asked, sizes[i]/sizes[2]*3/8; math.Abs(part-want) > 0.03 {
				t.Errorf("%s: server %d of size %g got %.3f of all, want %.3f", name, i+1, sizes[i], part, want)
			}
		}
	}
}

func TestErrorsLeaveABackendOut(t *testing.T) {
	r := newRig(t, settings())
	for i := range 200 {
		r.at += second / 100
		id, sent := r.ask(0, 1, uint64(i), 1)
		for sent && r.requests[id] != nil {
			if q := r.requests[id]; q.attempts[len(q.attempts)-1].backend.Backend == 2 {
				r.end(id, Failed, false)
			} else {
				r.end(id, OK, true)
			}
		}
	}
	if n := r.fake.count("send") - 200; n > 20 {
		t.Errorf("%d of 200 requests met the backend that fails all", n)
	}
	b := r.backendByID[2]
	for range 5 {
		r.recordOutcome(&attempt{backend: b}, 0, Failed, 1)
	}
	if b.errorRate < ejectionErrorRate || r.fake.count("log backend 2 ejected: errors") == 0 {
		t.Errorf("errors %g", b.errorRate)
	}
}

func TestAskedDiscoveryIsAskedAgain(t *testing.T) {
	set := settings()
	set.PollEndpoints, set.PollInterval = true, 10*second
	r := newRig(t, set)
	r.UpdateEndpoints(r.at, Unavailable, nil)
	if r.fake.count("follow") != 1 {
		t.Fatal("discovery was not asked at the start")
	}
	r.at += 4 * second
	r.Timer(r.at, 0)
	if r.fake.count("follow") != 2 {
		t.Error("discovery was not asked again after a failure")
	}
}

func TestSameEventsSameActions(t *testing.T) {
	run := func() []string {
		r := newRig(t, settings())
		for i := range 3000 {
			r.at += second / 200
			id, sent := r.ask(i%3, i%3, uint64(i*7%90), 1+float64(i%2))
			if sent {
				r.end(id, Result(i*i%5), i*i%5 == 0)
			}
			if i%10 == 0 {
				r.Timer(r.at, 0)
			}
		}
		return r.done
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Error("the same events gave other actions")
	}
}

func TestNewRefusesWhatItCannotServe(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"gateways":       func(s *Settings) { s.Gateways = 0 },
		"self":           func(s *Settings) { s.Self = 2 },
		"classes":        func(s *Settings) { s.Classes = nil },
		"plans":          func(s *Settings) { s.Plans = nil },
		"classes[1].aim": func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"plans[0]":       func(s *Settings) { s.Plans[0].Burst = 0 },
	} {
		set := settings()
		spoil(&set)
		if _, err := New(set, 1, &fake{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

// Guards against every gateway giving the whole quota when messages fail: i6b26dc.
// wideRigs are the home of customers 9 (small quota) and 10 (large) and a member of
// their sets of twelve.
func wideRigs(t *testing.T) (home, member *rig) {
	set := settings()
	set.Gateways = 12
	set.Plans[1].Rate, set.Plans[1].Burst, set.Plans[1].BeyondEarns = 20, 40, 0
	probe := newRig(t, set)
	first := func(id uint64) int { return 12 - probe.homeOf(&customer{id: id, spread: 12}) }
	home = newRig(t, set)
	set.Self = 5
	member = newRig(t, set)
	home.firsts = map[uint64]int{9: first(9), 10: first(10)}
	member.firsts = home.firsts
	tellAll(member, home)
	tellAll(home, member)
	return home, member
}

// askWide has a customer of both ask at the member and tells whether it was sent.
func askWide(home, member *rig, plan int, customer uint64) bool {
	member.next++
	member.done = nil
	member.Request(member.at, Request{ID: member.next, Plan: plan, Customer: customer, Units: 1,
		Timeout: 2 * second, First: member.firsts[customer], Spread: 12})
	sent := slices.Clone(member.done)
	carry(member, home)
	home.done = slices.DeleteFunc(home.done, func(l string) bool { return !strings.HasPrefix(l, "tell 5 ") })
	carry(home, member)
	if !slices.ContainsFunc(append(sent, member.done...), func(l string) bool { return strings.HasPrefix(l, "send") }) {
		return false
	}
	member.end(member.next, OK, true)
	return true
}

// Guards against use beyond the quota through many gateways, none of which sees
// more than a little of it: by asking, and by grants where asks would be too many.
func TestAWideSetKeepsToItsQuota(t *testing.T) {
	for _, c := range []struct {
		plan     int
		customer uint64
		ask      int // requests each tenth of a second
		rate     float64
		slack    float64
	}{
		{0, 9, 1, 2, 0.05},
		{1, 10, 8, 20, 0.25},
	} {
		home, member := wideRigs(t)
		sent := 0
		for i := range 600 {
			for range c.ask {
				if askWide(home, member, c.plan, c.customer) && i >= 300 {
					sent++
				}
			}
			tellAll(member, home)
			home.at = member.at
			home.Timer(home.at, 0)
			carry(home, member)
		}
		if got := float64(sent) / 30; math.Abs(got-c.rate) > c.slack*c.rate {
			t.Errorf("plan %d: %.2f units a second sent, want about %g", c.plan, got, c.rate)
		}
	}
}

// Guards against a home that does not answer: the slice decides, in time.
func TestASilentHomeKeepsNoRequestWaiting(t *testing.T) {
	_, member := wideRigs(t)
	member.done = nil
	member.Request(member.at, Request{ID: 1, Customer: 9, Units: 1, Timeout: 2 * second, First: member.firsts[9], Spread: 12})
	if member.fake.count("send") != 0 || member.fake.count("tell 0 ") != 1 || member.fake.count("timer") != 1 {
		t.Fatalf("%v, want an ask to the home and a timer", member.done)
	}
	member.Timer(member.at+second/10, decisionTimer)
	if member.fake.count("send 1 ") != 1 {
		t.Errorf("%v, want it sent", member.done)
	}
	before := len(member.done)
	member.ReceivePeerMessage(member.at+second/5, 0, grantEntry{id: 9, fraction: 1, queryNumber: 1, granted: true}.appendTo(messageHeader(1, 0, 0)))
	if len(member.done) != before {
		t.Errorf("a late answer acted: %v", member.done[before:])
	}
}

// Guards against answering a client that has left while the home was asked.
func TestAClientThatLeftIsNotAnswered(t *testing.T) {
	_, member := wideRigs(t)
	member.Request(member.at, Request{ID: 1, Customer: 9, Units: 1, Timeout: 2 * second, First: member.firsts[9], Spread: 12})
	member.ClientGone(member.at, 1)
	member.done = nil
	member.ReceivePeerMessage(member.at, 0, grantEntry{id: 9, fraction: 1, queryNumber: 1, granted: true}.appendTo(messageHeader(1, 0, 0)))
	if len(member.done) != 0 || len(member.awaitingUnits) != 0 {
		t.Errorf("acted for a client that left: %v, %d waiting", member.done, len(member.awaitingUnits))
	}
}

// Guards against judging others by what piled up while this gateway stood still.
func TestStandingStillIsNoFaultOfTheBackends(t *testing.T) {
	r := newRig(t, settings())
	id, _ := r.ask(0, 1, 9, 1)
	b := r.requests[id].attempts[0].backend
	r.Timer(r.at, 0)
	r.at += 3 * second
	if _, sent := r.ask(0, 1, 8, 1); !sent || b.unhealthy {
		t.Error("what was out while the gateway stood still counts as unanswered")
	}
	r.Outcome(r.at, Outcome{ID: id, Backend: b.Backend, Result: OK, Duration: 3 * second, RequestDone: true})
	if b.latencyRatio != 0 || r.meanLatency.value != 0 {
		t.Error("the time that an answer waited for this gateway counts as the backend's")
	}
}

// Guards against work for answers that come too late: what a gateway finds after it
// stood still has waited.
func TestWhatWaitedTooLongIsRefusedAtOnce(t *testing.T) {
	r := newRig(t, settings())
	for range 60 {
		r.at += second / 50
		r.Timer(r.at, 0)
		r.serve(0, 1, 9, 1)
	}
	r.at += second // it stands still
	for _, c := range []struct {
		grace Time
		sent  bool
	}{{2*second - second*9/10, false}, {2*second - second/10, true}} {
		r.next++
		before := r.fake.count("send")
		r.Request(r.at, Request{ID: r.next, Plan: 1, Customer: 9, Units: 1, Timeout: c.grace, Spread: 2})
		if sent := r.fake.count("send") > before; sent != c.sent {
			t.Errorf("with %d left of 2000000: sent %t, want %t", c.grace, sent, c.sent)
		}
	}
}

// Guards against waiting for a backend that leaves one request unanswered.
func TestPatienceEndsWhileThereIsTimeForAnother(t *testing.T) {
	r := newRig(t, settings())
	for _, class := range []int{0, 1} {
		r.classLatencies[class].add(float64(second/50), slowSampleWeight)
	}
	for _, c := range []struct {
		class int
		until Time
	}{{0, hedgeAfterMeanLatencies * second / 50}, {1, 0}} { // a safe class and an unsafe one
		r.waits = nil
		if _, sent := r.ask(c.class, 1, 9, 1); !sent {
			t.Fatal("not sent")
		}
		if got := max(0, r.waits[0]-r.at); got != c.until {
			t.Errorf("class %d: given up after %d, want %d", c.class, got, c.until)
		}
	}
}

// Guards both against hung backends that shut the gate and against a back end that is
// late everywhere and never gets less: i62622c, i191102.
func TestAttemptsPastTheirAimCountAsFarAsAnswersAreLate(t *testing.T) {
	r := newRig(t, settings())
	r.Timer(r.at, 0)
	for i := range 4 {
		r.ask(0, 1, uint64(i), 1)
	}
	for _, b := range r.backends {
		b.overdue = b.inFlight
	}
	near(t, "held with others in time", r.effectiveInFlight(), 0)
	for range 200 {
		r.lateFraction.add(1, fastSampleWeight)
	}
	near(t, "held with all others late", r.effectiveInFlight(), 4)
}

// Guards against trouble for one class or plan that each gateway meets too seldom to
// learn of by itself; the others' traffic still goes there.
func TestWordsOfTroubleTurnOneClassOrPlanElsewhere(t *testing.T) {
	for _, c := range []struct {
		how                Result
		class, plan        int // of the request in trouble
		same, other, plans int // classes and plans that avoid the backend, and that do not
	}{
		{TimedOut, 0, 1, 0, 1, 1},
		{Rejected, 0, 1, 0, 0, 0},
	} {
		a, b := pair(t)
		id, _ := a.ask(c.class, c.plan, 9, 1)
		bad := a.requests[id].attempts[0].backend.Backend
		a.end(id, c.how, true)
		tellAll(a, b)
		used := func(class, plan int) bool {
			for i := range 40 {
				id, sent := b.ask(class, plan, uint64(100+i), 1)
				if sent && b.requests[id].attempts[0].backend.Backend == bad {
					return true
				}
				if sent {
					b.end(id, OK, true)
				}
			}
			return false
		}
		if used(c.same, c.plan) {
			t.Errorf("%d: the backend is still chosen for what it fails", c.how)
		}
		if !used(c.other, c.plans) {
			t.Errorf("%d: the backend gets nothing of what it serves", c.how)
		}
	}
}

// Guards against cold backends that get nothing till they are warm because each of
// many gateways sends too little to save up a whole send for one: i47ec98.
func TestColdBackendsAreUsedByManySlowGateways(t *testing.T) {
	sent := 0
	for seed := range uint64(60) {
		g, err := New(settings(), seed, &fake{})
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{Balancer: g, fake: g.actions.(*fake), t: t, at: start}
		list := members(4)
		list[3].StartedAt = start
		g.UpdateEndpoints(start, Complete, list)
		for i := range 12 { // one request in half a second, to one cold backend of four
			r.at += second / 2
			r.Timer(r.at, 0)
			id, ok := r.ask(0, 1, uint64(i), 1)
			if ok && r.requests[id].attempts[0].backend.Backend == 4 {
				sent++
			}
			if ok {
				r.end(id, OK, true)
			}
		}
	}
	// A warm one gets a quarter of the 720; a cold one its share of that, a fifth to two thirds.
	if sent < 20 || sent > 130 {
		t.Errorf("%d sends to the cold backend by 60 gateways", sent)
	}
}

// Guards against an overdriven back end that never drains: i678c40.
func TestTheLeastRoomFallsAsAnswersComeLate(t *testing.T) {
	room := func(late float64) int {
		r := newRig(t, settings())
		r.Timer(r.at, 0)
		for range 200 {
			r.lateFraction.add(late, fastSampleWeight)
		}
		n := 0
		for n < 100 {
			if _, sent := r.ask(1, 1, uint64(n), 1); !sent {
				break
			}
			n++
		}
		return n
	}
	if in, late := room(0), room(1); late >= in || late == 0 {
		t.Errorf("room for %d attempts with answers in time, %d with all late", in, late)
	}
}

// Guards against a set's first gateway told as a number that is none.
func TestAnySetIsServed(t *testing.T) {
	set := settings()
	set.Gateways = 12
	for _, first := range []int{-9, -1, 8, 1 << 40} {
		for _, spread := range []int{-1, 0, 3, 9, 12, 100} {
			r := newRig(t, set)
			r.Request(r.at, Request{ID: 1, Customer: 9, Units: 1, Timeout: second, First: first, Spread: spread})
			r.Timer(r.at+second, decisionTimer)
			r.Timer(r.at+second, gossipTimer)
			if r.fake.count("send 1 ") != 1 {
				t.Errorf("first %d, spread %d: %v", first, spread, r.done)
			}
		}
	}
}

// Guards against a gateway with a handful of attempts taking chance for overload,
// and against one that sees enough itself leaning on others' old figures.
func TestPeersFiguresCountAsFarAsOwnAreFew(t *testing.T) {
	r := newRig(t, settings())
	for range 100 {
		r.Timer(r.at, 0)
		r.at += second / 50
	}
	r.ReceivePeerMessage(r.at, 1, messageHeader(1, 6, 40))
	held, inTime, n := r.loadView()
	near(t, "held", held, 6)
	near(t, "in time", inTime, 40)
	near(t, "gateways", n, 2)
	for range 800 {
		r.onTime.add(r.activeTime, second, 1)
	}
	if held, _, n = r.loadView(); held > 0.1 || n > 1.02 {
		t.Errorf("with many answers of its own: held %g of others, %g gateways", held, n)
	}
}

func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ gateways, backends, spread int }{{2, 16, 2}, {360, 90, 150}, {620, 15, 3}, {620, 730, 3}, {620, 7300, 3}} {
		b.Run(fmt.Sprintf("%dx%d", c.gateways, c.backends), func(b *testing.B) {
			set := settings()
			set.Gateways = c.gateways
			set.Plans[1].Rate = 20 // large enough for grants: each request is decided at once
			g, err := New(set, 7, quiet{&fake{}})
			if err != nil {
				b.Fatal(err)
			}
			g.UpdateEndpoints(start, CompleteCached, members(c.backends))
			b.ReportAllocs()
			now, waits := start, 0
			for i := 0; b.Loop(); i++ {
				now += 5000
				id := uint64(i)
				g.Request(now, Request{ID: id, Plan: 1, Customer: id % 200, Units: 1, Timeout: second, Spread: c.spread})
				switch r := g.requests[id]; {
				case r == nil:
				case len(r.attempts) == 0:
					waits++
				default:
					g.Outcome(now, Outcome{ID: id, Backend: r.attempts[0].backend.Backend, Duration: 1000, RequestDone: true})
				}
			}
			b.ReportMetric(float64(waits)/float64(b.N), "waiting/op") // such a request was not dealt to a server at once
		})
	}
}

func BenchmarkMembers(b *testing.B) {
	g, err := New(settings(), 7, quiet{&fake{}})
	if err != nil {
		b.Fatal(err)
	}
	list := members(32)
	b.ReportAllocs()
	for b.Loop() {
		g.UpdateEndpoints(start, Complete, list)
	}
}

// quiet records nothing.
type quiet struct{ Actions }

func (quiet) Send(uint64, uint32, Time) {}
func (quiet) Reject(uint64, Time)       {}
func (quiet) SetTimer(Time, uint32)     {}
func (quiet) SendToPeer(int, []byte)    {}
func (quiet) Log(string)                {}

// A back end that answers within a moment may pause for one: a request is not
// sent again before a part of its aim has passed.
func TestPatienceHasALeast(t *testing.T) {
	r := newRig(t, settings())
	r.classLatencies[0].add(100, slowSampleWeight)
	r.ask(0, 1, 9, 1)
	if got, want := r.waits[0]-r.at, Time(minHedgeObjectiveFraction*float64(r.settings.Classes[0].LatencyObjective)); got != want {
		t.Errorf("given up after %d, want %d", got, want)
	}
}

// In a large fleet each gateway sends a backend a request now and then only: it must not pay
// for a handshake with nearly every one. In a small one all backends are used evenly.
func TestFewBackendsServeASlowGatewayOfManyThere(t *testing.T) {
	for _, c := range []struct{ gateways, least, most int }{{36, 2, 8}, {3, 20, 24}} {
		used := map[uint32]bool{}
		set := settings()
		set.Gateways = c.gateways
		g, err := New(set, 5, &fake{})
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{Balancer: g, fake: g.actions.(*fake), t: t, at: start}
		g.UpdateEndpoints(start, Complete, members(24))
		for i := range 60 {
			r.at += second
			r.Timer(r.at, 0)
			// two at once now and then
			one, ok := r.ask(0, 1, uint64(2*i), 1)
			two, both := uint64(0), false
			if i%3 == 0 {
				two, both = r.ask(0, 1, uint64(2*i+1), 1)
			}
			for _, id := range []uint64{one, two} {
				if (id == one && ok) || (id == two && both) {
					used[r.requests[id].attempts[0].backend.Backend] = true
					r.end(id, OK, true)
				}
			}
		}
		if len(used) < c.least || len(used) > c.most {
			t.Errorf("%d gateways: %d of 24 backends are used, %d to %d wanted", c.gateways, len(used), c.least, c.most)
		}
	}
}
