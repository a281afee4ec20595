// Package budgets plays gateways that divide budgets in virtual time: the real budget package, with messages
// that are lost, doubled, late and out of order, processes that stop between any two steps, die and come back,
// owners that are replaced while they still believe that they own, and clocks of different pace. A model that knows
// everything holds each promise against what was really used.
package budgets

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/budget"
	"mothcleat/internal/fleetpb"
	"mothcleat/lease"
)

const ms = time.Millisecond

// Choose gives one of n, from 0 on: it is how a play is led.
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
	rules   budget.Rules
	ticks   int
	mild    int // so many times fewer faults
	log     *budget.Machine
	term    uint64
	leader  lease.Member // who owns by the log
	members []*process
	boots   uint64
	owners  []*owner // of all terms that may still act
	net     []message
	uses    map[uint64]*meter
	wholes  map[uint64]budget.Share
	quiet   int // above 0: nothing befalls messages
	res     Result
}

// Fence is the table of the one duty.
func (w *World) Fence(duty string, term uint64, who lease.Member) error {
	if duty != budget.Duty(0) || term != w.term || who != w.leader {
		return lease.ErrTerm
	}
	return nil
}

// clock is a process's own.
type clock struct {
	pace   float64
	offset time.Duration
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.pace)
}

// process is a gateway's process.
type process struct {
	clock
	me       lease.Member
	holder   *budget.Holder
	stopped  bool
	cut      bool // nothing that it says or is told arrives
	cutTill  time.Duration
	busy     bool // it is asked often
	asked    int  // askings for units, and which were answered
	answered map[int]bool
	dead     bool
	left     bool
	// What it has taken or was lent, and has not used yet: a stop may lie between.
	hands []loan
}

type loan struct {
	budget uint64
	units  float64
	by     time.Duration // by its clock
	at     time.Duration // when it was taken, or asked for
}

// owner is a process's tenure.
type owner struct {
	clock
	me      lease.Member
	term    uint64
	owner   *budget.Owner
	until   time.Duration // it holds the duty till then, by its clock
	stopped bool
	round   *fleetpb.Round // proposed, without an answer
	body    []byte
	answer  []byte // of the log; nil: not agreed yet
	cut     bool   // it can't renew its holding, nor have anything agreed
}

// message is one on its way.
type message struct {
	to    int // process; -1: the owner of the term
	term  uint64
	from  int
	boot  uint64
	sent  time.Duration // by the asker's clock
	asks  *fleetpb.RightsAsk
	ask   []byte
	tells []byte
	lends *fleetpb.LoanAsk
	lent  *fleetpb.LoanAnswer
	loan  int           // which asking for units it is about: a request takes one answer
	at    time.Duration // when it arrives, true time
}

// meter is a bank that never refuses: overdrawn, some window is over.
type meter struct {
	level float64
	at    time.Duration
}

// rules are the defaults, with shorter spans: all of them end in a play.
func rules() budget.Rules {
	r := budget.Defaults()
	r.Span, r.FloorSpan, r.Forget = 1500*ms, 5*time.Second, 4*time.Second
	return r
}

// New begins a play of so many members and budgets.
func New(choose Choose, members, budgets int) *World {
	w := &World{choose: choose, rules: rules(), uses: map[uint64]*meter{}, wholes: map[uint64]budget.Share{}}
	w.res.Faults = map[string]int{}
	w.log = budget.NewMachine(w)
	for i := range budgets {
		whole := budget.Share{Rate: float64(1 + choose(20))}
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

// boot starts a process anew. Clocks run at nine tenths of the pace to the full one.
func (w *World) boot(i int, p *process) {
	w.boots++
	*p = process{clock: clock{0.9 + 0.1*float64(w.choose(5))/4, time.Duration(w.choose(100)) * time.Second},
		me: lease.Member{ID: fmt.Sprintf("n%d", i), Boot: w.boots}}
	p.answered = map[int]bool{}
	p.holder = budget.NewHolder(w.rules, p.me, 1)
}

// takeOver has a process own the shard under the next term. The holding of the one before is over by then, by its
// own clock; it may not know, or lie stopped.
func (w *World) takeOver(i int) {
	p := w.members[i]
	for _, o := range w.owners {
		if o.at(w.now) < o.until {
			// As lease has it: the span of the one before is over on its clock first.
			left := time.Duration(float64(o.until-o.at(w.now))/o.pace) + ms
			w.advance(left)
		}
	}
	w.term++
	w.leader = lease.Member{ID: p.me.ID, Boot: p.me.Boot}
	o := &owner{clock: p.clock, me: p.me, term: w.term}
	o.until = o.at(w.now) + time.Second
	w.owners = append(w.owners, o)
	if len(w.owners) > 3 {
		w.owners = w.owners[1:]
	}
	var books fleetpb.Books
	if err := proto.Unmarshal(w.log.Query(0, []byte(budget.Duty(0))), &books); err != nil {
		panic(err)
	}
	own, err := budget.NewOwner(o.at(w.now), w.rules, budget.Duty(0), o.term, &books)
	if err != nil {
		panic(err)
	}
	o.owner = own
}

func (w *World) owner() *owner { return w.owners[len(w.owners)-1] }

func (w *World) advance(d time.Duration) { w.now += d }

func (w *World) breach(what, format string, args ...any) {
	if w.res.Breach == nil {
		w.res.Breach = &Breach{what, fmt.Sprintf(format, args...), w.now.String()}
	}
}

// use is what reaches a server.
func (w *World) use(id uint64, units float64) {
	m, whole := w.uses[id], w.wholes[id]
	m.level = math.Min(whole.Burst, m.level+whole.Rate*(w.now-m.at).Seconds()) - units
	m.at = w.now
	w.res.Taken += units
	if m.level < -1e-6 {
		w.breach("window_over_whole", "budget %d of %v: %.4f units beyond", id, whole, -m.level)
	}
}

// check holds the sum of what all may use now against the whole.
func (w *World) check() {
	for id := uint64(1); id <= uint64(len(w.wholes)); id++ {
		whole := w.wholes[id]
		var sum budget.Share
		for _, p := range w.members {
			if p.dead || p.left {
				continue
			}
			held := p.holder.May(p.at(w.now), id)
			sum.Rate += held.Rate
			sum.Burst += held.Burst
		}
		o := w.owner()
		free, _ := o.owner.Reserve(o.at(w.now), id)
		sum.Rate += free.Rate
		sum.Burst += free.Burst
		if sum.Rate > whole.Rate+1e-6 || sum.Burst > whole.Burst+1e-6 {
			w.breach("sum_over_whole", "budget %d: %v may be used of %v", id, sum, whole)
		}
	}
}

// ask has a process be asked for units: it takes them, or borrows what lacks.
func (w *World) ask(i int) {
	p := w.members[i]
	if p.stopped || p.dead || p.left {
		return
	}
	id, units := uint64(1+w.choose(len(w.wholes))), float64(1+w.choose(4))
	now := p.at(w.now)
	p.holder.Ask(now, id, w.wholes[id], len(w.members), units)
	level := p.holder.Level(now, id)
	if level >= units {
		p.holder.Take(now, id, units)
		p.hands = append(p.hands, loan{id, units, p.holder.Until(now, id), now})
		w.use(id, units) // its use may come Rules.LoanSpan later, which is the stated slack
		return
	}
	p.asked++
	w.post(message{to: -1, term: w.term, from: i, boot: p.me.Boot, sent: now, loan: p.asked, lends: &fleetpb.LoanAsk{Duty: budget.Duty(0),
		Member: &fleetpb.Member{Id: p.me.ID, Boot: p.me.Boot}, Budget: id, Units: units, Spread: uint32(len(w.members)),
		Whole: &fleetpb.Share{Rate: w.wholes[id].Rate, Burst: w.wholes[id].Burst}}})
}

// act has a process use what it has taken, if its time is not over: the last look at the clock.
func (w *World) act(i int) {
	p := w.members[i]
	if p.stopped || p.dead || len(p.hands) == 0 {
		return
	}
	h := p.hands[0]
	p.hands = p.hands[1:]
	if now := p.at(w.now); now < h.by && h.by > h.at+w.rules.LoanSpan {
		w.breach("late_use", "taken at %v, and used at %v", h.at, now)
	}
}

// renew has a process ask for its rights anew.
func (w *World) renew(i int) {
	p := w.members[i]
	if p.stopped || p.dead || p.left {
		return
	}
	now := p.at(w.now)
	ask := p.holder.Renewal(now, 0)
	w.send(i, now, ask)
}

func (w *World) send(i int, now time.Duration, ask *fleetpb.RightsAsk) {
	p := w.members[i]
	w.post(message{to: -1, term: w.term, from: i, boot: p.me.Boot, sent: now, ask: encode(ask), asks: ask})
}

// post sends a message: most arrive within a few ticks, some are lost, doubled or late.
func (w *World) post(m message) {
	from := m.from
	if m.to >= 0 {
		from = m.to
	}
	if w.members[from].cut || w.quiet == 0 && w.often(12*w.mild) {
		w.res.Faults["lost"]++
		return
	}
	for {
		m.at = w.now + time.Duration(w.choose(30))*ms
		if w.quiet == 0 && w.often(15*w.mild) {
			m.at += []time.Duration{100 * ms, time.Second, 4 * time.Second, 9 * time.Second}[w.choose(4)]
			w.res.Faults["late"]++
		}
		w.net = append(w.net, m)
		if w.quiet > 0 || !w.often(15*w.mild) {
			return
		}
		w.res.Faults["doubled"]++
	}
}

func encode(m proto.Message) []byte {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return raw
}

// deliver hands over one message.
func (w *World) deliver(n int) {
	m := w.net[n]
	w.net = slices.Delete(w.net, n, n+1)
	if m.to < 0 {
		for _, o := range w.owners {
			if o.term == m.term && !o.stopped && o.at(w.now) < o.until {
				w.serve(o, m)
			}
		}
		return
	}
	p := w.members[m.to]
	if p.me.Boot != m.boot || p.stopped || p.dead || p.left {
		return
	}
	now := p.at(w.now)
	if m.tells != nil {
		var a fleetpb.RightsAnswer
		if err := proto.Unmarshal(m.tells, &a); err != nil {
			panic(err)
		}
		if p.holder.Answer(now, m.sent, 0, m.asks, &a) {
			w.renew(m.to)
		}
		return
	}
	if p.answered[m.loan] {
		return
	}
	p.answered[m.loan] = true
	if by := m.sent + w.rules.LoanSpan; m.lent.Lent && now < by {
		if w.quiet == 0 && w.often(8) {
			p.holder.Return(now, m.lends.Budget, m.lends.Units)
			w.use(m.lends.Budget, -m.lends.Units)
			return
		}
		p.hands = append(p.hands, loan{m.lends.Budget, m.lends.Units, by, m.sent})
	}
}

// serve has an owner answer.
func (w *World) serve(o *owner, m message) {
	back := message{to: m.from, boot: m.boot, sent: m.sent, asks: m.asks, lends: m.lends, loan: m.loan}
	if m.lends != nil {
		if back.lent = o.owner.Lend(o.at(w.now), m.lends); back.lent.Lent {
			w.use(m.lends.Budget, m.lends.Units) // its use may come Rules.LoanSpan later
		}
	} else {
		var ask fleetpb.RightsAsk
		if err := proto.Unmarshal(m.ask, &ask); err != nil {
			panic(err)
		}
		back.tells = encode(o.owner.Renew(o.at(w.now), &ask))
	}
	w.post(back)
}

// plan has an owner propose a round, if it has none out.
func (w *World) plan(o *owner) {
	if o.stopped || o.round != nil || o.at(w.now) >= o.until {
		return
	}
	if o.round = o.owner.Plan(o.at(w.now)); o.round != nil {
		o.body, o.answer = encode(o.round), nil
		w.res.Rounds++
	}
}

// agree has the log take an owner's round.
func (w *World) agree(o *owner) {
	if o.round == nil || o.answer != nil || o.cut && w.often(2) {
		return // one that is cut may have had its word on the way
	}
	o.answer = w.log.Apply(w.now, 0, o.me, o.body)
	var r budget.Result
	if err := json.Unmarshal(o.answer, &r); err != nil {
		panic(err)
	}
	if !r.OK && o.term == w.term {
		w.breach("refused_round", "term %d: %s", o.term, r.Why)
	}
}

// learn has an owner hear what became of its round.
func (w *World) learn(o *owner) {
	if o.stopped || o.round == nil || o.answer == nil {
		return
	}
	var r budget.Result
	if err := json.Unmarshal(o.answer, &r); err != nil {
		panic(err)
	}
	if r.OK {
		o.owner.Committed(o.at(w.now))
	} else {
		o.owner.Refused(o.at(w.now))
	}
	o.round = nil
}

const (
	tick      = 25 * ms
	renewEach = 8 // ticks
)

// often tells true one time in n.
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
	for n := 0; n < len(w.net); {
		if w.net[n].at > w.now || w.waits(&w.net[n]) {
			n++
			continue
		}
		w.deliver(n)
	}
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

// fault ends what has lasted long enough, and begins something.
func (w *World) fault() {
	i := w.choose(len(w.members))
	p, o := w.members[i], w.owners[w.choose(len(w.owners))]
	if p.stopped && w.often(40) {
		p.stopped = false
	}
	if p.cut && w.now >= p.cutTill {
		p.cut = false
	}
	if o.stopped && w.often(20) {
		o.stopped = false
	}
	if w.owner().at(w.now) > w.owner().until+300*ms {
		w.takeOver(i)
		w.res.Faults["owner changed"]++
	}
	if !w.often(25 * w.mild) {
		return
	}
	switch w.choose(9) {
	case 0:
		p.stopped = true
		w.res.Faults["stopped"]++
	case 1:
		p.cut, p.cutTill = true, w.now+[]time.Duration{300 * ms, 2 * time.Second, 6 * time.Second, 12 * time.Second}[w.choose(4)]
		w.res.Faults["cut"]++
	case 2, 3:
		w.end(i, p)
	case 4:
		o.stopped = true
		w.res.Faults["owner stopped"]++
	case 5:
		own := w.owner()
		own.cut = true // from the voters: members hear it still
		w.res.Faults["owner cut"]++
	case 6:
		// Handed on in order, or the next is quick: the one before learns it late.
		w.takeOver(i)
		w.res.Faults["owner changed"]++
	case 7:
		w.advance([]time.Duration{300 * ms, 3 * time.Second, 4 * time.Second, 8 * time.Second}[w.choose(4)]) // all stood still
	case 8:
		for i, p := range w.members {
			if (p.dead || p.left) && len(p.hands) == 0 {
				w.end(i, p)
			}
		}
	}
}

// end ends a process, in one of the ways that there are, or starts another under its name.
func (w *World) end(i int, p *process) {
	switch {
	case p.dead || p.left && len(p.hands) == 0:
		boot := p.me.Boot
		w.boot(i, p)
		w.res.Faults["started"]++
		if w.often(2) {
			// By the lock on the folder it knows that the one before runs no more.
			now := p.at(w.now)
			ask := p.holder.Renewal(now, 0)
			ask.Gone = []uint64{boot}
			w.send(i, now, ask)
		}
	case p.left:
	case w.often(2) && !p.stopped:
		w.res.Faults["left"]++
		now := p.at(w.now)
		ask := p.holder.Leave(now)[0]
		w.send(i, now, ask)
		p.left = true
	default:
		p.dead = true
		w.res.Faults["killed"]++
	}
}

// waits tells whether a message lies before a process that is stopped.
func (w *World) waits(m *message) bool {
	if m.to >= 0 {
		return w.members[m.to].stopped
	}
	for _, o := range w.owners {
		if o.term == m.term {
			return o.stopped
		}
	}
	return false
}

// Play plays so many steps.
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

// calm ends all faults and holds against the whole what members that ask for all can use of it.
func (w *World) calm() {
	for _, p := range w.members {
		p.stopped, p.cut = false, false
	}
	w.quiet = 1
	w.takeOver(0)
	w.net = nil
	settle := time.Duration(float64(w.rules.FloorSpan)*(1+w.rules.Margin)/0.9) + 5*time.Second
	const length = 20 * time.Second
	before, begun := 0.0, false
	step := 400 * ms
	for at := time.Duration(0); at < settle+length && w.res.Breach == nil; at += step {
		if at >= settle {
			step = 100 * ms
		}
		w.advance(step - 90*ms)
		o := w.owner()
		o.until = o.at(w.now) + time.Second
		if at >= settle && !begun {
			before, begun = w.res.Taken, true
		}
		for i, p := range w.members {
			if p.dead || p.left {
				continue
			}
			for range 6 {
				w.ask(i)
			}
			if step > 100*ms || at%(200*ms) < step {
				w.renew(i)
			}
			for len(p.hands) > 0 {
				w.act(i)
			}
		}
		for range 3 {
			w.advance(30 * ms)
			for n := 0; n < len(w.net); {
				if w.net[n].at > w.now || w.waits(&w.net[n]) {
					n++
					continue
				}
				w.deliver(n)
			}
		}
		for i, p := range w.members {
			for !p.dead && len(p.hands) > 0 {
				w.act(i)
			}
		}
		w.plan(o)
		w.agree(o)
		w.learn(o)
		w.check()
	}
	alive := 0
	for _, p := range w.members {
		if !p.dead && !p.left {
			alive++
		}
	}
	want := 0.0
	for _, whole := range w.wholes {
		want += whole.Rate * length.Seconds()
	}
	// Clocks at nine tenths of the pace give nine tenths.
	if got := w.res.Taken - before; alive > 0 && w.res.Breach == nil && got < 0.75*want {
		w.breach("unused", "%.1f units of %.1f used by %d members %v after the last fault", got, want, alive, settle)
	}
}

// Random chooses by a seed.
func Random(seed uint64) Choose {
	r := rand.New(rand.NewPCG(seed, 0xb0d9e7))
	return r.IntN
}
