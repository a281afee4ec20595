// Package allocation plays gateways that divide budgets in virtual time: the real budget package, with messages
// that are lost, doubled, late and out of order, processes that stop between any two steps, die and come back,
// owners that are replaced while they still believe that they own, and clocks of different pace. A model that knows
// everything holds each promise against what was really used.
package allocation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/lease"
)

const ms = time.Millisecond

// Choose returns a number from 0 to n-1. All choices of a play come from one Choose.
type Choose func(n int) int

// Breach is a promise that was not kept.
type Breach struct {
	What string `json:"what"` // window_over_whole, sum_over_whole, refused_round or unused
	How  string `json:"how"`
	At   string `json:"at"`
}

// Result is what a play came to.
type Result struct {
	Breach *Breach
	Events int
	Faults map[string]int
	Taken  float64
	Rounds int
}

// World is one play.
type World struct {
	choose  Choose
	now     time.Duration // true time
	rules   allocation.Config
	ticks   int
	mild    int // so many times fewer faults
	log     *allocation.Machine
	term    uint64
	leader  lease.Member // who owns by the log
	members []*process
	boots   uint64
	owners  []*owner // of all terms that may still act
	net     []message
	uses    map[uint64]*meter
	wholes  map[uint64]allocation.Share
	quiet   int // above 0: nothing befalls messages
	res     Result
}

// Fence is the table of the one duty.
func (w *World) Fence(duty string, term uint64, who lease.Member) error {
	if duty != allocation.RoleOfShard(0) || term != w.term || who != w.leader {
		return lease.ErrStaleTerm
	}
	return nil
}

// rules are the defaults, with shorter spans: all of them end in a play.
func rules() allocation.Config {
	r := allocation.DefaultConfig()
	r.TTL, r.ReservedTTL, r.IdleTimeout = 1500*ms, 5*time.Second, 4*time.Second
	return r
}

// New begins a play of so many members and budgets.
func New(choose Choose, members, budgets int) *World {
	w := &World{choose: choose, rules: rules(), uses: map[uint64]*meter{}, wholes: map[uint64]allocation.Share{}}
	w.res.Faults = map[string]int{}
	w.log = allocation.NewMachine(w)
	for i := range budgets {
		whole := allocation.Share{Rate: float64(1 + choose(20))}
		whole.Burst = whole.Rate + float64(4+choose(40))
		w.wholes[uint64(i+1)] = whole
		w.uses[uint64(i+1)] = &meter{} // a first owner's reserve is empty, and no store is ever fuller than one that began so
	}
	for i := range members {
		p := &process{}
		w.members = append(w.members, p)
		w.boot(i, p)
	}
	w.takeOver(choose(members))
	// Faults lose units, and what is lost hides what came twice: some plays have few or none.
	w.mild = []int{1, 1, 6, 30, 1000}[choose(5)]
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

// often returns true one time in n.
func (w *World) often(n int) bool { return w.choose(n) == 0 }

// Step plays one tick: what is due by the clock, in an order that is drawn, and now and then a fault.
func (w *World) Step() {
	w.res.Events++
	w.advance(tick)
	w.ticks++
	own := w.owner()
	if !own.stopped && !own.cut {
		own.until = max(own.until, own.at(w.now)+time.Second) // it renews its holding
	}
	first := w.choose(len(w.members))
	for k := range w.members {
		i := (first + k) % len(w.members)
		p := w.members[i]
		if w.often(80) {
			p.busy = !p.busy
		}
		if p.busy && w.often(2) || w.often(50) {
			w.ask(i)
		}
		if (w.ticks+i)%renewEach == 0 {
			w.renew(i)
		}
		for len(p.hands) > 0 && !p.stopped && !p.dead && !w.often(8) {
			w.act(i)
		}
	}
	w.deliverDue()
	for _, o := range w.owners {
		if w.often(3) {
			w.learn(o)
		}
		if w.often(2) {
			w.agree(o)
		}
		w.plan(o)
	}
	w.fault()
	w.check()
}

// Play plays up to so many steps and ends at the first breach.
func Play(choose Choose, members, budgets, steps int) Result {
	w := New(choose, members, budgets)
	for range steps {
		if w.Step(); w.res.Breach != nil {
			return w.res
		}
	}
	if choose(5) == 0 {
		w.calm() // it takes far longer than the play before it
	}
	return w.res
}

// Random returns choices by a seed.
func Random(seed uint64) Choose {
	r := rand.New(rand.NewPCG(seed, 0xb0d9e7))
	return r.IntN
}
