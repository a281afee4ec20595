// Package configversion simulates rollouts in virtual time: the real package configversion, with
// gateways that stop between any two steps, exit and restart, are cut off for a while, or can't
// read a version; messages that are late, lost and duplicated; rollout controllers that resume
// late; and clocks of different pace. A model that knows everything compares each operation with
// what was committed.
package configversion

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/lease"
)

const (
	step   = 20 * time.Millisecond
	items  = 2
	voters = 3                // the members that vote
	quiet  = 70 * time.Second // without faults, at the end of a play
)

var names = [items]string{"plans", "keys"}

// Breach is a guarantee that was broken.
type Breach struct {
	// What is acts_on_withdrawn, two_digests, two_guides, mixed, without_content,
	// never_caught_up or unreadable.
	What string `json:"what"`
	How  string `json:"how"`
	At   string `json:"at"`
}

// Result is the outcome of a play.
type Result struct {
	Breach     *Breach
	Operations int
	Faults     map[string]int
	RollOuts   int
	ForAll     int
	Withdrawn  int
	Outs       int             // how often gateways were fenced
	ToAll      []time.Duration // from the commit for all until in force at all connected gateways
}

// World is one play.
type World struct {
	r            *rand.Rand
	rules        configversion.Config
	now          time.Duration // true time
	fleet        time.Duration // the fleet's time
	pace         float64       // of the fleet's time, relative to the true time
	log          *configversion.Machine
	index        uint64
	term         uint64
	leader       lease.Member
	members      []*member
	incarnations uint64
	net          []message
	digests      map[string]map[uint64]string // by item and number
	rates        map[string]float64           // the rate that a content grants, by digest
	noFaults     bool
	noOperations bool // no operations, because only rollouts are measured
	messages     int
	bytes        int // of lease responses
	res          Result
}

// Fence accepts commands of the current rollout controller.
func (w *World) Fence(_ string, term uint64, who lease.Member) error {
	if term != w.term || who != w.leader {
		return lease.ErrStaleTerm
	}
	return nil
}

// chance returns true one time in n, and never without faults. It counts the fault.
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
	w.checkEnd()
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

// step plays one step. After length there are no more faults.
func (w *World) step(length time.Duration) {
	r, gateways := w.r, len(w.members)
	w.now += step
	w.noFaults = w.now > length
	if !w.chance("leaderless", 20) {
		w.fleet += time.Duration(float64(step) * w.pace)
	}
	if w.term == 0 || w.chance("another guide", 500) {
		w.term++
		w.leader = w.members[r.IntN(gateways)].me()
	}
	w.deliverDue()
	for _, m := range w.members {
		w.injectFault(m)
		if !m.down && !m.stopped {
			w.stepMember(m)
		}
	}
	if r.IntN(10) == 0 {
		w.controlRollouts()
	}
	if !w.noFaults && r.IntN(150) == 0 {
		w.propose()
	}
}
