package policy_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// The fleet: gateways and a few servers, some of which restart, in virtual time. The gateways do
// not communicate.
const (
	fleetServers         = 10
	serverRate           = 6.0 // requests a second, the capacity of a warm server
	overloadFactor       = 4.0 // capacities at which a server in slow start fails
	slowStartMinFraction = 0.15
	slowStartDuration    = 16_000_000
	overloadWindow       = 1_000_000
	answerLatency        = 100_000 // in addition to the service time
	rejectLatency        = 1_000
	maxServerQueue       = 8 // requests; a server rejects further ones
)

// scheduledEvent runs at a time. Events of the same time run in the order in which they were
// scheduled.
type scheduledEvent struct {
	at    policy.Time
	order int
	do    func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulatedFleet is the gateways with their servers.
type simulatedFleet struct {
	t          *testing.T
	now        policy.Time
	events     eventQueue
	eventCount int
	rand       *rand.Rand
	load       float64 // requested, as a fraction of all servers' capacity
	gateways   []*simulatedGateway
	servers    [fleetServers]simulatedServer
	nextID     uint64
}

// simulatedServer answers one request after another.
type simulatedServer struct {
	down      bool          // the server refuses connections
	startedAt policy.Time   // 0: long ago
	idleAt    policy.Time   // when all queued requests are answered
	queued    int           // requests
	sends     []policy.Time // since its start
}

// capacity returns the fraction of its full capacity that a server has.
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
		g := &simulatedGateway{fleet: f, attempts: map[uint64]int{}}
		var err error
		g.balancer, err = policy.New(policy.Settings{
			Self: i, Gateways: gateways, MaxAttempts: 3, Tick: 1000,
			RetryAfter: true, MaxRetryAfter: 2_000_000,
			SlowStartMinFraction:    slowStartMinFraction,
			SlowStartDuration:       slowStartDuration,
			SlowStartOverloadWindow: overloadWindow,
			Classes: []policy.Class{
				{LatencyObjective: 500_000, Idempotency: policy.Idempotent, PriorityWeight: 1},
			},
			Plans: []policy.Plan{{Rate: 1000, Burst: 1000, Price: 1, OverQuotaCost: 1}},
		}, seed<<8|uint64(i), g)
		if err != nil {
			t.Fatal(err)
		}
		f.gateways = append(f.gateways, g)
	}
	f.updateEndpoints(policy.Complete)
	f.scheduleRequest()
	return f
}

func (f *simulatedFleet) schedule(wait policy.Time, do func()) {
	f.eventCount++
	heap.Push(&f.events, scheduledEvent{f.now + wait, f.eventCount, do})
}

// run runs all events that are due until a time.
func (f *simulatedFleet) run(until policy.Time) {
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(scheduledEvent)
		f.now = next.at
		next.do()
	}
	f.now = until
}

// updateEndpoints sends the current list of all servers to all gateways.
func (f *simulatedFleet) updateEndpoints(kind policy.ListKind) {
	var list []policy.Endpoint
	for n := range f.servers {
		backend := uint32(n + 1)
		list = append(list, policy.Endpoint{Backend: backend, StartedAt: f.servers[n].startedAt})
	}
	for _, g := range f.gateways {
		g.balancer.UpdateEndpoints(f.now, kind, list)
	}
}

// scheduleRequest schedules a request at a random gateway, which then schedules the next one.
func (f *simulatedFleet) scheduleRequest() {
	f.schedule(policy.Time(f.rand.ExpFloat64()/(fleetServers*serverRate*f.load)*1e6), func() {
		g := f.gateways[f.rand.IntN(len(f.gateways))]
		f.nextID++
		g.balancer.Request(f.now, policy.Request{
			ID: f.nextID, Customer: f.nextID % 97, Units: 1, Timeout: 2_000_000, Spread: 1,
			First: g.number(),
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

func (g *simulatedGateway) number() int {
	for i, other := range g.fleet.gateways {
		if other == g {
			return i
		}
	}
	return 0
}

// Send schedules the outcome of an attempt.
func (g *simulatedGateway) Send(id uint64, backend uint32, _ policy.Time) {
	f, server := g.fleet, &g.fleet.servers[backend-1]
	o := policy.Outcome{
		ID: id, Attempt: g.attempts[id], Backend: backend, Result: policy.OK, RequestDone: true,
	}
	g.attempts[id]++
	startedAt := server.startedAt // distinguishes later incarnations
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
			delete(g.attempts, id)
		}
		g.balancer.Outcome(f.now, o)
	})
}

func (g *simulatedGateway) Reject(id uint64, _ policy.Time) { delete(g.attempts, id) }
func (g *simulatedGateway) Fail(id uint64)                  { delete(g.attempts, id) }
func (g *simulatedGateway) SetTimer(at policy.Time, token uint32) {
	f := g.fleet
	f.schedule(max(0, at-f.now), func() { g.balancer.Timer(f.now, token) })
}
func (g *simulatedGateway) Probe(uint32)                              {}
func (g *simulatedGateway) SendToPeer(int, []byte)                    {}
func (g *simulatedGateway) AddToCounter(uint64, float64, policy.Time) {}
func (g *simulatedGateway) WatchEndpoints()                           {}
func (g *simulatedGateway) Log(string)                                {}

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

// All gateways together send no more requests to servers in slow start than these tolerate: at most
// N + 2 sqrt(N) + 2 in a window, though the gateways do not communicate, once a list has reported
// the servers' start. The list arrives at once after a restart or crash, or some time after a
// crash; one of ten servers restarts, or most of them; the load is below or twice the servers'
// capacity.
func TestFleetSparesServersInSlowStart(t *testing.T) {
	for name, begin := range map[string]func(f *simulatedFleet, servers int){
		"restart, reported at once": func(f *simulatedFleet, servers int) {
			f.restart(servers)
			f.updateEndpoints(policy.Delta)
		},
		"crash, reported at once": func(f *simulatedFleet, servers int) {
			f.crash(servers, 4_000_000)
			f.updateEndpoints(policy.Delta)
		},
		"crash, reported 1.8 s later": func(f *simulatedFleet, servers int) {
			f.crash(servers, 4_000_000)
			f.run(f.now + 1_800_000)
			f.updateEndpoints(policy.Delta)
			for n := range servers { // only requests sent after the report count
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
		t.Errorf("seed %d: no request was sent to the servers in slow start", seed)
	}
	if float64(sent) > tolerated {
		t.Errorf("seed %d: %d requests in a window, want at most %.1f", seed, sent, tolerated)
	}
}
