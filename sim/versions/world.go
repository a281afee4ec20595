// Package versions plays roll-outs in virtual time: the real versions package, with gateways that stop between any two steps, die and
// come back, are cut off for a while, or can't read a version; answers that are late, lost and doubled; guides that wake late; and clocks
// of different pace. A model that knows everything holds each act against what was agreed.
package versions

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"mothcleat/lease"
	"mothcleat/versions"
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
	What string `json:"what"` // acts_on_withdrawn, two_digests, two_guides, mixed, without_content, never_caught_up or unreadable
	How  string `json:"how"`
	At   string `json:"at"`
}

// Result is what a play came to.
type Result struct {
	Breach    *Breach
	Acts      int
	Faults    map[string]int
	RollOuts  int
	Whole     int
	Withdrawn int
	Outs      int             // gateways shut out
	ToAll     []time.Duration // from agreed for all to in force with all that hear
}

// World is one play.
type World struct {
	r       *rand.Rand
	rules   versions.Rules
	now     time.Duration // true time
	fleet   time.Duration // the fleet's
	pace    float64       // at which that goes
	log     *versions.Machine
	index   uint64
	term    uint64
	owner   lease.Member
	members []*member
	boots   uint64
	net     []message
	digests map[string]map[uint64]string // by item and number
	rates   map[string]float64           // what a content grants
	calm    bool
	blind   bool // nobody acts: a size is measured
	words   int  // messages
	bytes   int  // of what is asked and told
	res     Result
}

type member struct {
	id       string
	boot     uint64
	pace     float64
	offset   time.Duration
	holder   *versions.Holder
	dead     bool
	stopped  bool
	wakes    time.Duration
	cut      time.Duration // until then nothing passes
	gone     []uint64
	asked    time.Duration
	content  map[string]bool // its folder
	older    bool            // its program can't read every content
	enrols   bool
	told     map[string]uint64 // what it reported, by item
	refused  map[string]bool
	terms    map[string]float64 // by which it decides
	fetching map[string]time.Duration
	hands    []act // decided, and not done yet
}

// act is one that was decided on.
type act struct {
	number map[string]uint64
	by     time.Duration
	rate   map[string]float64
}

// message is one on its way, as what is done when it arrives.
type message struct {
	at time.Duration
	to *member // nil: the log
	do func()
}

// Fence is the table of the one duty.
func (w *World) Fence(_ string, term uint64, who lease.Member) error {
	if term != w.term || who != w.owner {
		return lease.ErrTerm
	}
	return nil
}

func (m *member) me() lease.Member { return lease.Member{ID: m.id, Boot: m.boot} }

func (w *World) clock(m *member) time.Duration {
	return m.offset + time.Duration(float64(w.now)*m.pace)
}

// chance is one in n in a step; never in calm.
func (w *World) chance(what string, n int) bool {
	if w.calm || w.r.IntN(n) != 0 {
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

// send has something happen at the log or a member, mostly soon; words are lost, doubled, and late.
func (w *World) send(from, to *member, do func()) {
	w.words++
	if from.cut > w.now || w.chance("lost", 12) {
		return
	}
	n := 1
	if w.chance("doubled", 25) {
		n = 2
	}
	for range n {
		at := w.now + time.Duration(1+w.r.IntN(30))*time.Millisecond
		if w.chance("late", 40) {
			at = w.now + time.Duration(w.r.Int64N(int64(2*w.rules.Span)))
		}
		w.net = append(w.net, message{at, to, do})
	}
}

// apply has a command agreed. A session applies it once, however often it comes.
func (w *World) apply(m *member, op versions.Op, then func(versions.Result)) {
	who, done := m.me(), false
	w.send(m, nil, func() {
		if done {
			return
		}
		done = true
		w.index++
		var r versions.Result
		if err := json.Unmarshal(w.log.Apply(w.fleet, w.index, who, op.Encode()), &r); err != nil {
			w.breach("unreadable", "%v", err)
		}
		if r.OK && op.Term != 0 && op.Term != w.term {
			w.breach("two_guides", "%s %s %d under term %d, the newest is %d", op.Do, op.Item, op.Number, op.Term, w.term)
		}
		w.seen()
		if then != nil {
			w.send(m, m, func() { then(r) })
		}
	})
}

// seen holds what is agreed against what was: a number has one digest, whatever is said later, and states survive a snapshot.
func (w *World) seen() {
	v := w.log.View(w.fleet)
	for i := range v.Versions {
		one := &v.Versions[i]
		if was, ok := w.digests[one.Item][one.Number]; ok && was != one.Digest {
			w.breach("two_digests", "%s %d is %s and %s", one.Item, one.Number, was, one.Digest)
		}
		w.digests[one.Item][one.Number] = one.Digest
	}
	if w.index%50 == 0 {
		fresh := versions.NewMachine(w.rules, w)
		if err := fresh.Restore(w.log.Snapshot()); err != nil || string(fresh.Snapshot()) != string(w.log.Snapshot()) {
			w.breach("unreadable", "a snapshot comes back as another: %v", err)
		}
		w.log = fresh
	}
}

func (w *World) start(m *member) {
	w.boots++
	if m.boot != 0 {
		m.gone = append(m.gone, m.boot)
	}
	m.boot, m.dead, m.stopped, m.hands = w.boots, false, false, nil
	m.holder = versions.NewHolder(w.rules)
	m.enrols, m.asked = true, -time.Hour
	m.told, m.refused, m.terms, m.fetching = map[string]uint64{}, map[string]bool{}, map[string]float64{}, map[string]time.Duration{}
}

// reads tells whether a member's program can act on a content.
func (m *member) reads(digest string) bool { return !m.older || !strings.HasPrefix(digest, "0") }

// live is one step of a member that runs.
func (w *World) live(m *member) {
	now := w.clock(m)
	if now-m.asked >= w.rules.Every {
		m.asked = now
		w.ask(m, now)
	}
	// Contents come from any other that has them and is heard.
	for _, r := range m.holder.Wants() {
		if m.content[r.Digest] {
			why := ""
			if !m.reads(r.Digest) {
				why = "this program can't read it"
			}
			m.holder.Checked(r.Digest, why)
			continue
		}
		if now < m.fetching[r.Digest] {
			continue
		}
		m.fetching[r.Digest] = now + 300*time.Millisecond
		from := w.members[w.r.IntN(len(w.members))]
		if !from.content[r.Digest] { // one of those that keep what is proposed
			from = w.members[w.r.IntN(keepers)]
		}
		if from == m || from.dead || from.stopped || from.cut > w.now || !from.content[r.Digest] {
			continue
		}
		boot := m.boot
		w.send(from, m, func() {
			if m.boot == boot {
				m.content[r.Digest] = true
			}
		})
	}
	for _, item := range m.holder.Items() {
		to, beside, whole, ok := m.holder.Next(now, item)
		if ok && whole {
			rate := w.rates[to.Digest]
			for _, b := range beside {
				rate = min(rate, w.rates[b.Digest])
			}
			m.terms[item] = rate
			m.holder.PutInForce(now, item, to.Number)
		}
		m.report(w, item)
	}
	if w.blind {
		return
	}
	// A request is decided, and reaches a server later.
	if by := m.holder.Acts(now); by != 0 && w.r.IntN(4) == 0 {
		a := act{m.holder.InForce(), by, map[string]float64{}}
		for item, rate := range m.terms {
			a.rate[item] = rate
		}
		m.hands = append(m.hands, a)
	}
	if len(m.hands) > 0 && w.r.IntN(3) == 0 {
		a := m.hands[0]
		m.hands = m.hands[1:]
		w.act(m, now, a)
	}
}

// report tells what is in force, or can't be.
func (m *member) report(w *World, item string) {
	number := m.holder.InForce()[item]
	if to, _, _, _ := m.holder.Next(1<<60, item); to.Number != 0 && number < to.Number {
		return
	}
	if number > m.told[item] && w.r.IntN(4) == 0 {
		boot := m.boot
		w.apply(m, versions.Op{Do: "report", Item: item, Number: number}, func(r versions.Result) {
			if m.boot == boot && r.OK {
				m.told[item] = max(m.told[item], number)
			}
		})
	}
}

func (w *World) ask(m *member, sent time.Duration) {
	boot := m.boot
	if m.enrols {
		w.apply(m, versions.Op{Do: "here", Gone: m.gone}, nil)
		m.enrols = false
	}
	who := m.me()
	w.send(m, nil, func() {
		t := w.log.Tell(w.fleet, who)
		raw, err := json.Marshal(t)
		if err != nil {
			w.breach("unreadable", "%v", err)
		}
		w.bytes += len(raw)
		w.send(m, m, func() {
			if m.boot != boot {
				return
			}
			var t versions.Told
			_ = json.Unmarshal(raw, &t)
			m.enrols = m.enrols || t.Enrol
			m.holder.Hear(w.clock(m), sent, &t)
			for _, g := range t.Target {
				if why := m.holder.Refused(g.Item, g.Digest); why != "" && !m.refused[g.Digest] {
					m.refused[g.Digest] = true
					w.apply(m, versions.Op{Do: "report", Item: g.Item, Number: g.Number, Refused: true, Why: why}, nil)
				}
			}
		})
	})
}

// act is the last look, and the effect behind it.
func (w *World) act(m *member, now time.Duration, a act) {
	if now >= a.by || m.holder.Acts(now) == 0 {
		return
	}
	for item, number := range m.holder.InForce() {
		if was, ok := a.number[item]; ok && was != number {
			return // decided by what is not in force any more
		}
	}
	w.res.Acts++
	v := w.log.View(w.fleet)
	for i := range v.Versions {
		one := &v.Versions[i]
		if a.number[one.Item] == one.Number && one.Until != 0 && w.fleet >= one.Until {
			w.breach("acts_on_withdrawn", "%s acts on %s %d at %v of the fleet's time, it ended at %v", m.me(), one.Item, one.Number, w.fleet, one.Until)
		}
	}
	for item, number := range a.number {
		if digest := w.digests[item][number]; !m.content[digest] || !m.reads(digest) {
			w.breach("without_content", "%s acts on %s %d without having it", m.me(), item, number)
		}
	}
	// Whoever acts on a newer version keeps to the terms of the older ones that others act on.
	for _, o := range w.members {
		if o == m || o.dead || o.stopped || o.holder.Acts(w.clock(o)) == 0 {
			continue
		}
		for item, theirs := range o.holder.InForce() {
			digest := w.digests[item][theirs]
			if a.number[item] > theirs && a.rate[item] > w.rates[digest] && m.reads(digest) {
				w.breach("mixed", "%s acts on %s %d at %v, %s on %d, which grants %v", m.me(), item, a.number[item], a.rate[item], o.me(), theirs, w.rates[digest])
			}
		}
	}
}

// guide has whoever holds the duty look at the roll-outs; its words may come when another holds it.
func (w *World) guide() {
	for _, m := range w.members {
		if m.me() != w.owner || m.dead || m.stopped {
			continue
		}
		v := w.log.View(w.fleet)
		for _, op := range versions.Guide(w.rules, w.term, &v) {
			w.apply(m, op, nil)
		}
		return
	}
}

// propose has a person propose or withdraw something at some gateway.
func (w *World) propose() {
	m := w.members[w.r.IntN(len(w.members))]
	if m.dead || m.stopped {
		return
	}
	item := names[w.r.IntN(items)]
	var last *versions.Version
	v := w.log.View(w.fleet)
	for i := range v.Versions {
		if v.Versions[i].Item == item {
			last = &v.Versions[i]
		}
	}
	if last != nil && last.State != versions.Withdrawn && last.Number > 1 && w.r.IntN(3) == 0 {
		w.apply(m, versions.Op{Do: "withdraw", Item: item, Number: last.Number, Why: "drawn"}, func(r versions.Result) {
			if r.OK {
				w.res.Withdrawn++
			}
		})
		return
	}
	op := versions.Op{Do: "propose", Item: item, Digest: fmt.Sprintf("%016x%048x", w.r.Uint64(), 1), Size: 1, Stage: versions.All}
	if last != nil {
		op.Number = last.Number
	}
	if w.r.IntN(2) == 0 {
		op.Lead = time.Duration(w.r.Int64N(int64(3 * time.Second)))
	}
	if w.r.IntN(2) == 0 {
		op.Stage = versions.One
		var ids []string
		for _, o := range w.members {
			ids = append(ids, o.id)
		}
		op.Pilots = versions.Pilots(item, op.Number+1, versions.One, ids)
	}
	m.content[op.Digest] = true
	for k := range keepers { // most of those that vote keep it before it is proposed
		if k != w.r.IntN(keepers) {
			w.members[k].content[op.Digest] = true
		}
	}
	w.rates[op.Digest] = float64(1 + w.r.IntN(100))
	w.apply(m, op, func(r versions.Result) {
		if r.OK {
			w.res.RollOuts++
		}
	})
}

// befall has something happen to a member.
func (w *World) befall(m *member) {
	switch {
	case m.dead:
		if w.calm || w.r.IntN(100) == 0 {
			w.start(m)
		}
	case m.stopped:
		if w.now >= m.wakes || w.calm {
			m.stopped = false
		}
	case w.chance("stopped", 600):
		m.stopped, m.wakes = true, w.now+time.Duration(w.r.Int64N(int64(3*w.rules.Span)))
	case w.chance("killed", 1500):
		m.dead = true
	case w.chance("left", 3000):
		w.apply(m, versions.Op{Do: "left"}, nil)
		m.dead = true
	case m.cut <= w.now && w.chance("cut", 800):
		m.cut = w.now + time.Duration(w.r.Int64N(int64(3*w.rules.Span)))
	}
	if w.calm {
		m.cut = 0
	}
}

// Play plays one schedule.
func Play(seed uint64, gateways int, length time.Duration) Result {
	r := rand.New(rand.NewPCG(seed, 0xa0d1))
	rules := versions.Defaults()
	rules.Every = 200 * time.Millisecond
	rules.Span = time.Duration(800+r.IntN(4000)) * time.Millisecond
	rules.Enrol = 4*rules.Span + time.Duration(r.Int64N(int64(4*rules.Span)))
	if err := rules.Check(); err != nil {
		panic(err)
	}
	w := newWorld(r, rules, gateways)
	for w.now < length+quiet && w.res.Breach == nil {
		w.step(length)
	}
	w.end()
	return w.res
}

func newWorld(r *rand.Rand, rules versions.Rules, gateways int) *World {
	w := &World{r: r, rules: rules, pace: 0.9 + 0.1*r.Float64(), digests: map[string]map[uint64]string{}, rates: map[string]float64{"": 50},
		res: Result{Faults: map[string]int{}}}
	w.log = versions.NewMachine(rules, w)
	for _, item := range names {
		w.digests[item] = map[uint64]string{}
	}
	for i := range gateways {
		m := &member{id: fmt.Sprintf("n%d", i), pace: 0.9 + 0.1*r.Float64(), offset: time.Duration(r.Int64N(int64(time.Hour))),
			content: map[string]bool{"": true}, older: i == 0 && r.IntN(2) == 0}
		w.members = append(w.members, m)
		w.start(m)
	}
	return w
}

// step has a little time go by; after length nothing goes wrong any more.
func (w *World) step(length time.Duration) {
	r, gateways := w.r, len(w.members)
	w.now += step
	w.calm = w.now > length
	if !w.chance("leaderless", 20) {
		w.fleet += time.Duration(float64(step) * w.pace)
	}
	if w.term == 0 || w.chance("another guide", 500) {
		w.term++
		w.owner = w.members[r.IntN(gateways)].me()
	}
	due := w.net
	w.net = nil
	for _, m := range due {
		switch {
		case m.at > w.now || m.to != nil && m.to.stopped:
			w.net = append(w.net, m)
		case m.to == nil || !m.to.dead && m.to.cut <= w.now:
			m.do()
		}
	}
	for _, m := range w.members {
		w.befall(m)
		if !m.dead && !m.stopped {
			w.live(m)
		}
	}
	if r.IntN(10) == 0 {
		w.guide()
	}
	if !w.calm && r.IntN(150) == 0 {
		w.propose()
	}
}

// end holds the last state against what all that hear should have come to.
func (w *World) end() {
	v := w.log.View(w.fleet)
	for _, one := range v.Versions {
		if one.State == versions.Whole {
			w.res.Whole++
		}
	}
	for _, m := range w.members {
		w.res.Outs += int(m.holder.Outs())
		if w.res.Breach != nil || m.dead {
			continue
		}
		for _, one := range v.Versions {
			if one.State != versions.Whole || m.older && !m.reads(one.Digest) {
				continue
			}
			if has := m.holder.InForce()[one.Item]; has < one.Number {
				w.breach("never_caught_up", "%s has %s %d, %d is for all: %s", m.me(), one.Item, has, one.Number, m.holder.Why(w.clock(m)))
			}
		}
		if m.holder.Acts(w.clock(m)) == 0 && !m.older {
			w.breach("never_caught_up", "%s is still shut out: %s", m.me(), m.holder.Why(w.clock(m)))
		}
	}
}
