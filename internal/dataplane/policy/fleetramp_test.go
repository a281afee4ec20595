package policy_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// A fleet of gateways before a few servers in virtual time, of which some come back cold. No gateway hears of another.
const (
	fleetServers  = 10
	serverRate    = 6.0 // requests a second that a warm server is good for
	overloadTimes = 4.0 // a cold server falls at so many times what it is good for
	fleetColdFrom = 0.15
	fleetColdTime = 16_000_000
	fleetTipAfter = 1_000_000
	answerAfter   = 100_000 // by a warm server, and longer as much as one is cold
	refusedAfter  = 1_000
	queueMost     = 8 // requests that a server holds: it turns away what comes beyond
)

// happening is something that happens at a time; those at one time happen in the order in which they were planned.
type happening struct {
	at    policy.Time
	order int
	do    func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// rampFleet is the fleet with its servers.
type rampFleet struct {
	t       *testing.T
	now     policy.Time
	plans   agenda
	order   int
	rand    *rand.Rand
	load    float64 // that is asked, of what all servers are good for
	members []*rampMember
	servers [fleetServers]rampServer
	nextID  uint64
}

// rampServer is a server that answers one request after another.
type rampServer struct {
	refuses bool          // nothing listens there
	started policy.Time   // 0: long ago
	free    policy.Time   // when all that it holds is answered
	held    int           // requests
	sends   []policy.Time // when something came whole, since its start
}

// share is the part of its capacity that it has.
func (s *rampServer) share(now policy.Time) float64 {
	if s.started == 0 {
		return 1
	}
	return min(1, fleetColdFrom+(1-fleetColdFrom)*float64(now-s.started)/fleetColdTime)
}

// rampMember is one gateway's host.
type rampMember struct {
	fleet    *rampFleet
	gateway  *policy.Balancer
	attempts map[uint64]int
}

func newRampFleet(t *testing.T, gateways int, load float64, seed uint64) *rampFleet {
	t.Helper()
	f := &rampFleet{t: t, now: 100_000_000, load: load, rand: rand.New(rand.NewPCG(seed, 0xf1ee))}
	for i := range gateways {
		m := &rampMember{fleet: f, attempts: map[uint64]int{}}
		var err error
		m.gateway, err = policy.New(policy.Settings{
			Self: i, Gateways: gateways, MaxAttempts: 3, Tick: 1000, RetryAfter: true, MaxRetryAfter: 2_000_000,
			SlowStartMinFraction: fleetColdFrom, SlowStartDuration: fleetColdTime, SlowStartOverloadWindow: fleetTipAfter,
			Classes: []policy.Class{{LatencyObjective: 500_000, Idempotency: policy.Idempotent, PriorityWeight: 1}},
			Plans:   []policy.Plan{{Rate: 1000, Burst: 1000, Price: 1, BeyondCosts: 1}},
		}, seed<<8|uint64(i), m)
		if err != nil {
			t.Fatal(err)
		}
		f.members = append(f.members, m)
	}
	f.tell(policy.Complete)
	f.ask()
	return f
}

func (f *rampFleet) after(wait policy.Time, do func()) {
	f.order++
	heap.Push(&f.plans, happening{f.now + wait, f.order, do})
}

// run has all happen that is due by a time.
func (f *rampFleet) run(until policy.Time) {
	for len(f.plans) > 0 && f.plans[0].at <= until {
		next := heap.Pop(&f.plans).(happening)
		f.now = next.at
		next.do()
	}
	f.now = until
}

// tell has all gateways hear of all servers as they are.
func (f *rampFleet) tell(news policy.ListKind) {
	var list []policy.Endpoint
	for n := range f.servers {
		list = append(list, policy.Endpoint{Backend: uint32(n + 1), StartedAt: f.servers[n].started})
	}
	for _, m := range f.members {
		m.gateway.UpdateEndpoints(f.now, news, list)
	}
}

// ask has one request come to a gateway drawn, and the next after it.
func (f *rampFleet) ask() {
	f.after(policy.Time(f.rand.ExpFloat64()/(fleetServers*serverRate*f.load)*1e6), func() {
		m := f.members[f.rand.IntN(len(f.members))]
		f.nextID++
		m.gateway.Request(f.now, policy.Request{ID: f.nextID, Customer: f.nextID % 97, Units: 1, Timeout: 2_000_000, Spread: 1, First: m.number()})
		f.ask()
	})
}

// restart has the first servers start anew now.
func (f *rampFleet) restart(servers int) {
	for n := range servers {
		f.servers[n] = rampServer{started: f.now}
	}
}

// crash has them listen no more, and run anew some time after.
func (f *rampFleet) crash(servers int, down policy.Time) {
	for n := range servers {
		f.servers[n].refuses = true
	}
	f.run(f.now + down)
	f.restart(servers)
}

func (m *rampMember) number() int {
	for i, other := range m.fleet.members {
		if other == m {
			return i
		}
	}
	return 0
}

// Send has an attempt end as its server does.
func (m *rampMember) Send(id uint64, backend uint32, _ policy.Time) {
	f, server := m.fleet, &m.fleet.servers[backend-1]
	o := policy.Outcome{ID: id, Attempt: m.attempts[id], Backend: backend, Result: policy.OK, RequestDone: true}
	m.attempts[id]++
	switch life := server.started; {
	case server.refuses:
		o.Result, o.Duration, o.RequestDone = policy.ConnectFailed, refusedAfter, false
	case server.held >= queueMost:
		server.sends = append(server.sends, f.now)
		o.Result, o.Duration, o.RequestDone = policy.Rejected, refusedAfter, false
	default:
		server.sends = append(server.sends, f.now)
		server.free = max(server.free, f.now) + policy.Time(1e6/serverRate/server.share(f.now))
		server.held++
		o.Duration = server.free - f.now + answerAfter
		f.after(server.free-f.now, func() {
			if server.started == life {
				server.held--
			}
		})
	}
	f.after(o.Duration, func() {
		if o.RequestDone {
			delete(m.attempts, id)
		}
		m.gateway.Outcome(f.now, o)
	})
}

func (m *rampMember) Reject(id uint64, _ policy.Time) { delete(m.attempts, id) }
func (m *rampMember) Fail(id uint64)                  { delete(m.attempts, id) }
func (m *rampMember) SetTimer(at policy.Time, token uint32) {
	f := m.fleet
	f.after(max(0, at-f.now), func() { m.gateway.Timer(f.now, token) })
}
func (m *rampMember) Probe(uint32)                              {}
func (m *rampMember) SendToPeer(int, []byte)                    {}
func (m *rampMember) AddToCounter(uint64, float64, policy.Time) {}
func (m *rampMember) WatchEndpoints()                           {}
func (m *rampMember) Log(string)                                {}

// worst compares what the first servers were sent in each span with what they bear then, and gives the worst span's figures.
func (f *rampFleet) worst(servers int) (sent int, bears float64) {
	over := math.Inf(-1)
	for n := range servers {
		server := &f.servers[n]
		for i, from := 0, 0; i < len(server.sends) && server.share(server.sends[i]) < 1; i++ {
			for server.sends[i]-server.sends[from] > fleetTipAfter {
				from++
			}
			allowed := overloadTimes * serverRate * server.share(server.sends[i]) * fleetTipAfter / 1e6
			count, limit := i-from+1, allowed+2*math.Sqrt(allowed)+2
			if float64(count)-limit > over {
				over, sent, bears = float64(count)-limit, count, limit
			}
		}
	}
	return sent, bears
}

// Cold servers are sent no more by all gateways together than they bear, N + 2 roots of N + 2 requests in a span, though none
// hears of another, once a list has told of their start: at once, after a crash, or some time after it; one of ten, or most
// of them; under what the servers are good for, and twice that.
func TestFleetSparesColdServers(t *testing.T) {
	for name, begin := range map[string]func(f *rampFleet, servers int){
		"told of their start": func(f *rampFleet, servers int) {
			f.restart(servers)
			f.tell(policy.Delta)
		},
		"back from a crash, told at once": func(f *rampFleet, servers int) {
			f.crash(servers, 4_000_000)
			f.tell(policy.Delta)
		},
		"back from a crash, told 1.8 s after": func(f *rampFleet, servers int) {
			f.crash(servers, 4_000_000)
			f.run(f.now + 1_800_000)
			f.tell(policy.Delta)
			for n := range servers { // a fall counts by what came from who had been told
				f.servers[n].sends = nil
			}
		},
	} {
		for _, gateways := range []int{20, 30} {
			for _, cold := range []int{1, 8} {
				for _, load := range []float64{0.7, 2} {
					t.Run(fmt.Sprintf("%s, %d gateways, %d cold, load %g", name, gateways, cold, load), func(t *testing.T) {
						t.Parallel()
						for seed := range uint64(2) {
							f := newRampFleet(t, gateways, load, seed)
							f.run(f.now + 15_000_000)
							begin(f, cold)
							f.run(f.now + fleetColdTime)
							sent, bears := f.worst(cold)
							if sent == 0 {
								t.Errorf("seed %d: no server is sent anything", seed)
							}
							if float64(sent) > bears {
								t.Errorf("seed %d: %d requests in a span, it bears %.1f", seed, sent, bears)
							}
						}
					})
				}
			}
		}
	}
}
