// Package allocation simulates gateways that divide budgets, in virtual time: the real package
// allocation, with messages that are lost, duplicated, late and out of order, processes that stop
// between any two steps, end and restart, leaders that are replaced while they still believe that
// they lead, and clocks of different pace. A model that knows everything compares each guarantee
// with what was really used.
package allocation

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/lease"
)

const ms = time.Millisecond

// Draw returns a number from 0 to n-1. All choices of a play come from one Draw.
type Draw func(n int) int

// Breach is a guarantee that was broken.
type Breach struct {
	What string `json:"what"` // window_over_whole, sum_over_whole, refused_round or unused
	How  string `json:"how"`
	At   string `json:"at"`
}

// Result is the outcome of a play.
type Result struct {
	Breach *Breach
	Events int
	Faults map[string]int
	Taken  float64
	Rounds int
}

// World is one play.
type World struct {
	draw         Draw
	now          time.Duration // true time
	config       allocation.Config
	ticks        int
	faultRarity  int // the factor by which faults are rarer
	machine      *allocation.Machine
	term         uint64
	leader       lease.Member // by the log
	members      []*process
	incarnations uint64
	tenures      []*tenure // the last few, whose leaders may still act
	inFlight     []message
	meters       map[uint64]*meter
	limits       map[uint64]allocation.Share
	faultless    int // above 0: messages have no faults
	res          Result
	trace        io.Writer // of events; nil: they are not written
}

// Fence accepts commands of the current leader.
func (w *World) Fence(role string, term uint64, who lease.Member) error {
	if role != allocation.RoleOfShard(0) || term != w.term || who != w.leader {
		return lease.ErrStaleTerm
	}
	return nil
}

// shortConfig is the default with shorter TTLs: all of them expire within a play.
func shortConfig() allocation.Config {
	r := allocation.DefaultConfig()
	r.TTL, r.ReservedTTL, r.IdleTimeout = 1500*ms, 5*time.Second, 4*time.Second
	return r
}

// New begins a play with the given numbers of members and budgets.
func New(draw Draw, members, budgets int) *World {
	w := &World{draw: draw, config: shortConfig(), meters: map[uint64]*meter{},
		limits: map[uint64]allocation.Share{}}
	w.res.Faults = map[string]int{}
	w.machine = allocation.NewMachine(w)
	for i := range budgets {
		limit := allocation.Share{Rate: float64(1 + draw(20))}
		limit.Burst = limit.Rate + float64(4+draw(40))
		w.limits[uint64(i+1)] = limit
		w.meters[uint64(i+1)] = &meter{} // empty, like the pool of the first leader
	}
	for i := range members {
		p := &process{}
		w.members = append(w.members, p)
		w.start(i, p)
	}
	w.electLeader(draw(members))
	// Units that faults lose hide units that were duplicated: some plays have few or no faults.
	w.faultRarity = []int{1, 1, 6, 30, 1000}[draw(5)]
	return w
}

func (w *World) advance(d time.Duration) { w.now += d }

func (w *World) breach(what, format string, args ...any) {
	if w.res.Breach == nil {
		w.res.Breach = &Breach{what, fmt.Sprintf(format, args...), w.now.String()}
	}
}

const (
	tick      = 25 * ms
	renewEach = 8 // ticks
)

// oneIn returns true one time in n.
func (w *World) oneIn(n int) bool { return w.draw(n) == 0 }

// Step plays one tick: members act in an order that is drawn, leaders propose and commit rounds,
// and a fault may begin or end.
func (w *World) Step() {
	w.res.Events++
	w.advance(tick)
	w.ticks++
	current := w.currentTenure()
	if !current.stopped && !current.partitioned {
		// The leader renews its lease.
		current.leaseUntil = max(current.leaseUntil, current.at(w.now)+time.Second)
	}
	first := w.draw(len(w.members))
	for k := range w.members {
		i := (first + k) % len(w.members)
		p := w.members[i]
		if w.oneIn(80) {
			p.busy = !p.busy
		}
		if p.busy && w.oneIn(2) || w.oneIn(50) {
			w.request(i)
		}
		if (w.ticks+i)%renewEach == 0 {
			w.renew(i)
		}
		for len(p.taken) > 0 && !p.stopped && !p.killed && !w.oneIn(8) {
			w.useTaken(i)
		}
	}
	w.deliverDue()
	for _, o := range w.tenures {
		if w.oneIn(3) {
			w.learnOutcome(o)
		}
		if w.oneIn(2) {
			w.commitRound(o)
		}
		w.proposeRound(o)
	}
	w.fault()
	w.check()
	w.traceState()
}

// Play plays up to the given number of steps and ends at the first breach.
func Play(draw Draw, members, budgets, steps int) Result {
	return New(draw, members, budgets).play(steps)
}

// Replay plays one schedule of a search again and writes its events to trace.
func Replay(seed uint64, members, budgets int, trace io.Writer) Result {
	w := New(Random(seed), members, budgets)
	w.trace = trace
	return w.play(stepsPerPlay)
}

func (w *World) play(steps int) Result {
	for range steps {
		if w.Step(); w.res.Breach != nil {
			return w.res
		}
	}
	if w.oneIn(5) {
		w.recover() // the recovery takes far longer than the play before it
	}
	return w.res
}

// Random returns a Draw that is seeded with seed.
func Random(seed uint64) Draw {
	r := rand.New(rand.NewPCG(seed, 0xb0d9e7))
	return r.IntN
}
