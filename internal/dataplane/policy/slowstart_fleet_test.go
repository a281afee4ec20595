package policy_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// The fleet: gateways and a few servers in virtual time, some of which restart. No gateway hears of
// another.
const (
	fleetServers         = 10
	serverRate           = 6.0 // requests a second, the capacity of a warm server
	overloadFactor       = 4.0 // capacities at which a server in slow start fails
	slowStartMinFraction = 0.15
	slowStartDuration    = 16_000_000
	overloadWindow       = 1_000_000
	answerLatency        = 100_000 // beyond the service time
	rejectLatency        = 1_000
	maxServerQueue       = 8 // requests; a server rejects what comes beyond
)

// scheduledEvent happens at a time; those of one time happen in the order of their scheduling.
type scheduledEvent struct {
	at    policy.Time
	order int
	do    func()
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulatedFleet is the gateways with their servers.
type simulatedFleet struct {
	t          *testing.T
	now        policy.Time
	events     eventQueue
	eventCount int
	rand       *rand.Rand
	load       float64 // requested, as a part of all servers' capacity
	gateways   []*simulatedGateway
	servers    [fleetServers]simulatedServer
	nextID     uint64
}

// simulatedServer answers one request after another.
type simulatedServer struct {
	down      bool          // it refuses connections
	startedAt policy.Time   // 0: long ago
	idleAt    policy.Time   // when all queued requests are answered
	queued    int           // requests
	sends     []policy.Time // since its start
}

// capacity returns the part of its capacity that a server has.
func (s *simulatedServer) capacity(now policy.Time) float64 {
	if s.startedAt == 0 {
		return 1
	}
	age := float64(now-s.startedAt) / slowStartDuration
	return min(1, slowStartMinFraction+(1-slowStartMinFraction)*age)
}

// simulatedGateway hosts one gateway's Balancer.
type simulatedGateway struct {
	fleet    *simulatedFleet
	balancer *policy.Balancer
	attempts map[uint64]int
}

func newSimulatedFleet(t *testing.T, gateways int, load float64, seed uint64) *simulatedFleet {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0xf1ee))
	f := &simulatedFleet{t: t, now: 100_000_000, load: load, rand: random}
	for i := range gateways {
		m := &simulatedGateway{fleet: f, attempts: map[uint64]int{}}
		var err error
		m.balancer, err = policy.New(policy.Settings{
			Self: i, Gateways: gateways, MaxAttempts: 3, Tick: 1000,
			RetryAfter: true, MaxRetryAfter: 2_000_000,
			SlowStartMinFraction:    slowStartMinFraction,
			SlowStartDuration:       slowStartDuration,
			SlowStartOverloadWindow: overloadWindow,
			Classes: []policy.Class{
				{LatencyObjective: 500_000, Idempotency: policy.Idempotent, PriorityWeight: 1},
			},
			Plans: []policy.Plan{{Rate: 1000, Burst: 1000, Price: 1, OverQuotaCost: 1}},
		}, seed<<8|uint64(i), m)
		if err != nil {
			t.Fatal(err)
		}
		f.gateways = append(f.gateways, m)
	}
	f.updateEndpoints(policy.Complete)
	f.scheduleRequest()
	return f
}

func (f *simulatedFleet) schedule(wait policy.Time, do func()) {
	f.eventCount++
	heap.Push(&f.events, scheduledEvent{f.now + wait, f.eventCount, do})
}

// run runs all events up to a time.
func (f *simulatedFleet) run(until policy.Time) {
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(scheduledEvent)
		f.now = next.at
		next.do()
	}
	f.now = until
}

// updateEndpoints tells all gateways of all servers as they are.
func (f *simulatedFleet) updateEndpoints(kind policy.ListKind) {
	var list []policy.Endpoint
	for n := range f.servers {
		backend := uint32(n + 1)
		list = append(list, policy.Endpoint{Backend: backend, StartedAt: f.servers[n].startedAt})
	}
	for _, m := range f.gateways {
		m.balancer.UpdateEndpoints(f.now, kind, list)
	}
}

// scheduleRequest schedules a request at a gateway that is drawn, which schedules the next one.
func (f *simulatedFleet) scheduleRequest() {
	f.schedule(policy.Time(f.rand.ExpFloat64()/(fleetServers*serverRate*f.load)*1e6), func() {
		m := f.gateways[f.rand.IntN(len(f.gateways))]
		f.nextID++
		m.balancer.Request(f.now, policy.Request{
			ID: f.nextID, Customer: f.nextID % 97, Units: 1, Timeout: 2_000_000, Spread: 1,
			First: m.number(),
		})
		f.scheduleRequest()
	})
}

// restart restarts the first servers.
func (f *simulatedFleet) restart(servers int) {
	for n := range servers {
		f.servers[n] = simulatedServer{startedAt: f.now}
	}
}

// crash stops the first servers, and restarts them some time later.
func (f *simulatedFleet) crash(servers int, down policy.Time) {
	for n := range servers {
		f.servers[n].down = true
	}
	f.run(f.now + down)
	f.restart(servers)
}

func (m *simulatedGateway) number() int {
	for i, other := range m.fleet.gateways {
		if other == m {
			return i
		}
	}
	return 0
}

// Send schedules the outcome of an attempt.
func (m *simulatedGateway) Send(id uint64, backend uint32, _ policy.Time) {
	f, server := m.fleet, &m.fleet.servers[backend-1]
	o := policy.Outcome{
		ID: id, Attempt: m.attempts[id], Backend: backend, Result: policy.OK, RequestDone: true,
	}
	m.attempts[id]++
	startedAt := server.startedAt // tells a later incarnation apart
	switch {
	case server.down:
		o.Result, o.Duration, o.RequestDone = policy.ConnectFailed, rejectLatency, false
	case server.queued >= maxServerQueue:
		server.sends = append(server.sends, f.now)
		o.Result, o.Duration, o.RequestDone = policy.Rejected, rejectLatency, false
	default:
		server.sends = append(server.sends, f.now)
		serviceTime := policy.Time(1e6 / serverRate / server.capacity(f.now))
		server.idleAt = max(server.idleAt, f.now) + serviceTime
		server.queued++
		o.Duration = server.idleAt - f.now + answerLatency
		f.schedule(server.idleAt-f.now, func() {
			if server.startedAt == startedAt {
				server.queued--
			}
		})
	}
	f.schedule(o.Duration, func() {
		if o.RequestDone {
			delete(m.attempts, id)
		}
		m.balancer.Outcome(f.now, o)
	})
}

func (m *simulatedGateway) Reject(id uint64, _ policy.Time) { delete(m.attempts, id) }
func (m *simulatedGateway) Fail(id uint64)                  { delete(m.attempts, id) }
func (m *simulatedGateway) SetTimer(at policy.Time, token uint32) {
	f := m.fleet
	f.schedule(max(0, at-f.now), func() { m.balancer.Timer(f.now, token) })
}
func (m *simulatedGateway) Probe(uint32)                              {}
func (m *simulatedGateway) SendToPeer(int, []byte)                    {}
func (m *simulatedGateway) AddToCounter(uint64, float64, policy.Time) {}
func (m *simulatedGateway) WatchEndpoints()                           {}
func (m *simulatedGateway) Log(string)                                {}

// worstOverload compares the requests sent to the first servers in each window with what they
// tolerate, and returns the figures of the worst window.
func (f *simulatedFleet) worstOverload(servers int) (sent int, tolerated float64) {
	over := math.Inf(-1)
	for n := range servers {
		server := &f.servers[n]
		for i, from := 0, 0; i < len(server.sends) && server.capacity(server.sends[i]) < 1; i++ {
			for server.sends[i]-server.sends[from] > overloadWindow {
				from++
			}
			capacity := server.capacity(server.sends[i])
			allowed := overloadFactor * serverRate * capacity * overloadWindow / 1e6
			count, limit := i-from+1, allowed+2*math.Sqrt(allowed)+2
			if float64(count)-limit > over {
				over, sent, tolerated = float64(count)-limit, count, limit
			}
		}
	}
	return sent, tolerated
}

// Servers in slow start are sent no more by all gateways together than they tolerate, N + 2 roots
// of N + 2 requests in a window, though no gateway hears of another, once a list has told of their
// start: at once, after a crash, or some time after it; one of ten, or most of them; at a load
// below the servers' capacity, and at twice that.
func TestFleetSparesServersInSlowStart(t *testing.T) {
	for name, begin := range map[string]func(f *simulatedFleet, servers int){
		"restart, told at once": func(f *simulatedFleet, servers int) {
			f.restart(servers)
			f.updateEndpoints(policy.Delta)
		},
		"crash, told at once": func(f *simulatedFleet, servers int) {
			f.crash(servers, 4_000_000)
			f.updateEndpoints(policy.Delta)
		},
		"crash, told 1.8 s later": func(f *simulatedFleet, servers int) {
			f.crash(servers, 4_000_000)
			f.run(f.now + 1_800_000)
			f.updateEndpoints(policy.Delta)
			for n := range servers { // overload counts by what gateways sent that had been told
				f.servers[n].sends = nil
			}
		},
	} {
		for _, gateways := range []int{20, 30} {
			for _, restarted := range []int{1, 8} {
				for _, load := range []float64{0.7, 2} {
					name := fmt.Sprintf("%s, %d gateways, %d in slow start, load %g",
						name, gateways, restarted, load)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						for seed := range uint64(2) {
							checkSlowStart(t, seed, gateways, restarted, load, begin)
						}
					})
				}
			}
		}
	}
}

func checkSlowStart(t *testing.T, seed uint64, gateways, restarted int, load float64,
	begin func(f *simulatedFleet, servers int)) {
	t.Helper()
	f := newSimulatedFleet(t, gateways, load, seed)
	f.run(f.now + 15_000_000)
	begin(f, restarted)
	f.run(f.now + slowStartDuration)
	sent, tolerated := f.worstOverload(restarted)
	if sent == 0 {
		t.Errorf("seed %d: no server is sent anything", seed)
	}
	if float64(sent) > tolerated {
		t.Errorf("seed %d: %d requests in a window, %.1f tolerated", seed, sent, tolerated)
	}
}
