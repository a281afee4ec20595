// Package configversion plays roll-outs in virtual time: the real versions package, with gateways
// that stop between any two steps, die and come back, are cut off for a while, or can't read a
// version; answers that are late, lost and doubled; guides that wake late; and clocks of different
// pace. A model that knows everything holds each act against what was agreed.
package configversion

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/lease"
)

const (
	step    = 20 * time.Millisecond
	items   = 2
	keepers = 3                // members that vote
	quiet   = 70 * time.Second // at the end nothing goes wrong any more
)

var names = [items]string{"plans", "keys"}

// Breach is a promise that was not kept.
type Breach struct {
	// What is acts_on_withdrawn, two_digests, two_guides, mixed, without_content,
	// never_caught_up or unreadable.
	What string `json:"what"`
	How  string `json:"how"`
	At   string `json:"at"`
}

// Result is what a play came to.
type Result struct {
	Breach     *Breach
	Operations int
	Faults     map[string]int
	RollOuts   int
	ForAll     int
	Withdrawn  int
	Outs       int             // gateways shut out
	ToAll      []time.Duration // from agreed for all to in force with all that hear
}

// World is one play.
type World struct {
	r            *rand.Rand
	rules        configversion.Config
	now          time.Duration // true time
	fleet        time.Duration // the fleet's
	pace         float64       // at which that goes
	log          *configversion.Machine
	index        uint64
	term         uint64
	owner        lease.Member
	members      []*member
	incarnations uint64
	net          []message
	digests      map[string]map[uint64]string // by item and number
	rates        map[string]float64           // what a content grants
	noFaults     bool
	noOperations bool // nobody acts: a size is measured
	words        int  // messages
	bytes        int  // of what is asked and told
	res          Result
}

// Fence is the table of the one duty.
func (w *World) Fence(_ string, term uint64, who lease.Member) error {
	if term != w.term || who != w.owner {
		return lease.ErrStaleTerm
	}
	return nil
}

// chance begins a fault one time in n, and never in calm.
func (w *World) chance(what string, n int) bool {
	if w.noFaults || w.r.IntN(n) != 0 {
		return false
	}
	w.res.Faults[what]++
	return true
}

func (w *World) breach(what, how string, args ...any) {
	if w.res.Breach == nil {
		w.res.Breach = &Breach{what, fmt.Sprintf(how, args...), w.now.String()}
	}
}

// Play plays one schedule.
func Play(seed uint64, gateways int, length time.Duration) Result {
	r := rand.New(rand.NewPCG(seed, 0xa0d1))
	rules := configversion.DefaultConfig()
	rules.RenewInterval = 200 * time.Millisecond
	rules.TTL = time.Duration(800+r.IntN(4000)) * time.Millisecond
	rules.EnrolmentTTL = 4*rules.TTL + time.Duration(r.Int64N(int64(4*rules.TTL)))
	if err := rules.Validate(); err != nil {
		panic(err)
	}
	w := newWorld(r, rules, gateways)
	for w.now < length+quiet && w.res.Breach == nil {
		w.step(length)
	}
	w.end()
	return w.res
}

func newWorld(r *rand.Rand, rules configversion.Config, gateways int) *World {
	w := &World{
		r:       r,
		rules:   rules,
		pace:    0.9 + 0.1*r.Float64(),
		digests: map[string]map[uint64]string{},
		rates:   map[string]float64{"": 50},
		res:     Result{Faults: map[string]int{}},
	}
	w.log = configversion.NewMachine(rules, w)
	for _, item := range names {
		w.digests[item] = map[uint64]string{}
	}
	for i := range gateways {
		m := &member{
			id:      fmt.Sprintf("n%d", i),
			pace:    0.9 + 0.1*r.Float64(),
			offset:  time.Duration(r.Int64N(int64(time.Hour))),
			content: map[string]bool{"": true},
			older:   i == 0 && r.IntN(2) == 0,
		}
		w.members = append(w.members, m)
		w.start(m)
	}
	return w
}

// step plays a short time. After length nothing goes wrong any more.
func (w *World) step(length time.Duration) {
	r, gateways := w.r, len(w.members)
	w.now += step
	w.noFaults = w.now > length
	if !w.chance("leaderless", 20) {
		w.fleet += time.Duration(float64(step) * w.pace)
	}
	if w.term == 0 || w.chance("another guide", 500) {
		w.term++
		w.owner = w.members[r.IntN(gateways)].me()
	}
	w.deliverDue()
	for _, m := range w.members {
		w.befall(m)
		if !m.dead && !m.stopped {
			w.live(m)
		}
	}
	if r.IntN(10) == 0 {
		w.guide()
	}
	if !w.noFaults && r.IntN(150) == 0 {
		w.propose()
	}
}
