package budget

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"mothcleat/internal/fleetpb"
	"mothcleat/lease"
)

// Owner divides one shard's budgets under one term. Times are of its process's own clock, which must go on while the
// process lies stopped. Whoever drives it must see that the duty is held before it gives out any answer of Renew
// and Lend, and must end every Plan with Committed, Refused, or a new Owner.
type Owner struct {
	rules  Rules
	duty   string
	term   uint64
	began  time.Duration
	full   bool   // it is the first ever
	closes bool   // it lends nothing any more
	number uint64 // of the last word

	members map[lease.Member]*member
	budgets map[uint64]*account
	stirred map[uint64]bool // budgets to be looked at in the next plan
	out     []planned       // of the round that is proposed
	saving  []uint64        // its budgets
	figures Figures
}

// Figures are counts of what an owner did.
type Figures struct {
	Rounds  uint64 `json:"rounds"`
	Raised  uint64 `json:"raised"`  // parts
	Lessen  uint64 `json:"lessen"`  // parts
	Expired uint64 `json:"expired"` // parts taken back without their member's word
	Lent    uint64 `json:"lent"`
	Dry     uint64 `json:"dry"` // loans refused
}

// member is one process that uses budgets of the shard.
type member struct {
	heard   time.Duration // when it was last renewed
	number  uint64        // up to which it has acted on words
	started time.Duration // about
	gone    bool          // it runs no more, or uses nothing any more: by its own word or its heir's
	budgets map[uint64]bool
}

// account is a budget as its owner keeps it.
type account struct {
	whole    Share
	version  uint64        // of the terms that it is by
	known    uint64        // the version as is agreed
	proposed uint64        // and as is proposed
	from     time.Duration // when the process was started that said so
	spread   int
	holds    map[lease.Member]*hold
	held     Share         // what members may be using, as agreed
	rising   Share         // and what is proposed beside that: it is given already, as an entry may be agreed whatever becomes of its answer
	bank     bank          // the reserve's units
	spare    float64       // units of the bank that are lent no one, as agreed: the next owner begins with them
	saving   float64       // and as is proposed; below 0: nothing is
	usual    float64       // units of a loan
	short    float64       // units of the largest loan that waits for less to be kept
	room     *rooms        // nil: nothing was ever given back
	next     time.Duration // it is not divided anew before
}

// hold is a member's part.
type hold struct {
	agreed   Held
	word     Held          // what the member was told last: never more than agreed
	number   uint64        // of that word
	given    float64       // units that went with words
	returned float64       // units that it has told of
	late     float64       // of those, units that come free with what the member was told to lessen
	since    time.Duration // units that it has not told of yet came free after that; 0: not known
	claim    Claim
	at       time.Duration // of the claim
	wanted   time.Duration // when it was last asked for any
	wants    bool          // it was, since the budget was last divided
}

// planned is one member's change in the round that is proposed.
type planned struct {
	budget uint64
	who    lease.Member
	from   Share // what it held, of what is raised
	to     Held
	give   float64
	raise  bool
}

const (
	claimLeastTime = 2 * time.Second // over which demand is taken, at least and at most
	claimMostTime  = 20 * time.Second
	settle         = time.Second // between two divisions of one budget by demand
	claimLeast     = 0.01        // units a second: below, there is no demand
	soon           = 30 * time.Millisecond
	keepFor        = 300 * time.Millisecond // in which a round is agreed but for a change of leader
)

// NewOwner begins a term with what is agreed. Members that the books name are taken to have been renewed just now:
// the owner before may have done so until its holding was over.
func NewOwner(now time.Duration, r Rules, duty string, term uint64, books *fleetpb.Books) (*Owner, error) {
	o := &Owner{rules: r, duty: duty, term: term, began: now, number: 1, members: map[lease.Member]*member{},
		budgets: map[uint64]*account{}, stirred: map[uint64]bool{}}
	agreed, err := readBooks(books)
	if err != nil {
		return nil, err
	}
	if r.BeginFull && term == 1 {
		o.full = true
	}
	for id, k := range agreed {
		a := o.account(id, k.whole, k.spread)
		a.spare, a.bank.level, a.version, a.known = k.spare, k.spare, k.version, k.version
		o.stirred[id] = true
		for who, h := range k.held {
			a.holds[who] = &hold{agreed: h, word: h, number: 1, at: now, wanted: now}
			o.member(now, who).budgets[id] = true
		}
		a.sum()
	}
	return o, nil
}

func (o *Owner) member(now time.Duration, who lease.Member) *member {
	m := o.members[who]
	if m == nil {
		m = &member{heard: now, budgets: map[uint64]bool{}}
		o.members[who] = m
	}
	return m
}

// account finds or makes a budget's account. Its reserve has what the owner before has kept, and fills from when this one
// began.
func (o *Owner) account(id uint64, whole Share, spread int) *account {
	a := o.budgets[id]
	if a == nil {
		a = &account{whole: whole, spread: max(1, spread), holds: map[lease.Member]*hold{}, saving: -1, bank: bank{at: o.began}}
		if o.full {
			a.bank = bank{whole.Burst, o.began}
		}
		o.budgets[id] = a
	}
	return a
}

// sum brings up what members hold.
func (a *account) sum() {
	a.held = Share{}
	for _, who := range sorted(a.holds) {
		a.held = a.held.plus(a.holds[who].agreed.Part)
	}
}

// reserve is the owner's own part: what nobody holds. It brings the bank to the time.
func (o *Owner) reserve(now time.Duration, a *account) Share {
	free := a.whole.minus(a.held).minus(a.rising).most(Share{})
	a.fill(now, free)
	return free
}

// fill brings the reserve's bank to a time.
func (a *account) fill(at time.Duration, s Share) {
	a.bank.refill(at, s)
	if a.room != nil {
		a.room.note(at, s.Burst-a.bank.level)
	}
}

// rooms is how much room the reserve's bank had at least in each of the last moments. Units that come back are
// counted as if they had come when they came free: what would have found no room since is lost. Else there would be more units
// about, in banks and on their way, than the whole stores.
type rooms struct {
	least [roomCount]float64
	last  int64 // the moment noted last
	begun time.Duration
}

const (
	roomSpan  = 100 * time.Millisecond
	roomCount = 32
)

func (r *rooms) note(at time.Duration, room float64) {
	m := int64(at / roomSpan)
	if r.last == 0 {
		r.begun = at
	}
	// Between two notes the bank only filled, so that it had more room than at the second.
	for k := max(r.last+1, m-roomCount+1); k <= m; k++ {
		r.least[k%roomCount] = room
	}
	if m >= r.last-roomCount+1 {
		r.least[m%roomCount] = math.Min(r.least[m%roomCount], room)
	}
	r.last = max(r.last, m)
}

// since is the least room from a time on; 0 if that is too long ago.
func (r *rooms) since(at time.Duration) float64 {
	m := int64(at / roomSpan)
	if m <= r.last-roomCount+1 || at < r.begun {
		return 0
	}
	least := math.Inf(1)
	for ; m <= r.last; m++ {
		least = math.Min(least, r.least[m%roomCount])
	}
	return math.Max(0, least)
}

// Lend gives units of the reserve for a request that waits.
func (o *Owner) Lend(now time.Duration, ask *fleetpb.LoanAsk) *fleetpb.LoanAnswer {
	whole := shareOf(ask.Whole)
	if ask.Duty != o.duty || !whole.sound() || whole.none() || !(ask.Units > 0) {
		return &fleetpb.LoanAnswer{Code: fleetpb.Code_REFUSED, Why: "not an asking for this owner"}
	}
	if o.closes {
		return &fleetpb.LoanAnswer{Code: fleetpb.Code_NOT_LEADER, Why: handsOn}
	}
	a := o.account(ask.Budget, whole, int(ask.Spread))
	o.believe(ask.Budget, a, whole, ask.Version, o.age(now, o.member(now, memberOf(ask.Member)), ask.Age))
	free := o.reserve(now, a)
	a.usual += (ask.Units - a.usual) * 0.1
	if a.bank.level >= ask.Units && a.bank.level-ask.Units < math.Max(a.spare, a.saving) {
		o.stirred[ask.Budget] = true
		a.short = math.Max(a.short, ask.Units)
		return &fleetpb.LoanAnswer{Term: o.term, Soon: true, After: int64(soon)}
	}
	if a.bank.level < ask.Units {
		o.figures.Dry++
		after := time.Duration(0)
		if free.Rate > 0 {
			after = time.Duration((ask.Units - a.bank.level) / free.Rate * float64(time.Second))
		}
		return &fleetpb.LoanAnswer{Term: o.term, After: int64(max(0, after))}
	}
	o.figures.Lent++
	a.bank.level -= ask.Units
	if a.bank.level-a.spare < a.usual {
		o.stirred[ask.Budget] = true
	}
	return &fleetpb.LoanAnswer{Lent: true, Term: o.term}
}

// Renew takes in a member's asking, and tells it all words that it has not acted on.
func (o *Owner) Renew(now time.Duration, ask *fleetpb.RightsAsk) *fleetpb.RightsAnswer {
	who := memberOf(ask.Member)
	if o.closes {
		return &fleetpb.RightsAnswer{Code: fleetpb.Code_NOT_LEADER, Why: handsOn}
	}
	if ask.Duty != o.duty || who.ID == "" {
		return &fleetpb.RightsAnswer{Code: fleetpb.Code_REFUSED, Why: "not an asking for this owner"}
	}
	if ask.Term > o.term {
		return &fleetpb.RightsAnswer{Code: fleetpb.Code_NOT_LEADER, Why: "a later owner is known"}
	}
	for _, boot := range ask.Gone {
		if heir := (lease.Member{ID: who.ID, Boot: boot}); heir != who && o.members[heir] != nil {
			o.leave(heir)
		}
	}
	m := o.member(now, who)
	if m.gone {
		return &fleetpb.RightsAnswer{Code: fleetpb.Code_SUPERSEDED, Why: fmt.Sprintf("%s has left, by its own word or its heir's", who)}
	}
	o.age(now, m, ask.Age)
	ours := ask.Term == o.term // else its words and sums are about another owner's
	if ours {
		m.number = max(m.number, ask.Number)
	}
	for _, w := range ask.Wants {
		o.want(now, who, m, w, ask.Version, ours, time.Duration(ask.Heard))
	}
	for id := range m.budgets {
		a := o.budgets[id]
		if h := a.holds[who]; ours && h.word != h.agreed && h.number <= m.number {
			o.stirred[id] = true // what was lessened is free
		}
		if o.reserve(now, a); math.Abs(a.keep()-a.spare) > a.whole.Burst*o.rules.Step {
			o.stirred[id] = true
		}
	}
	if ask.Leaving {
		o.leave(who)
		return &fleetpb.RightsAnswer{Term: o.term, Number: o.number}
	}
	m.heard = now
	known := uint64(0)
	if ours {
		known = m.number
	}
	answer := &fleetpb.RightsAnswer{Term: o.term, Number: o.number, At: int64(now), Span: int64(o.rules.Span), FloorSpan: int64(o.rules.FloorSpan)}
	for _, id := range slices.Sorted(maps.Keys(m.budgets)) {
		if h := o.budgets[id].holds[who]; h.number > known {
			answer.Rights = append(answer.Rights, &fleetpb.Right{Budget: id, Number: h.number, Part: h.word.Part.proto(), Floor: h.word.Floor.proto(), Given: h.given})
		}
	}
	return answer
}

// leave has a member's parts free: it uses them no more.
func (o *Owner) leave(who lease.Member) {
	m := o.members[who]
	m.gone = true
	for id := range m.budgets {
		o.stirred[id] = true
	}
}

// want takes in what a member was asked for.
func (o *Owner) want(now time.Duration, who lease.Member, m *member, w *fleetpb.Want, version uint64, ours bool, stamp time.Duration) {
	whole := shareOf(w.Whole)
	if !whole.sound() || whole.none() || !(w.Asked >= 0) || !(w.Returned >= 0) {
		return
	}
	a := o.account(w.Budget, whole, int(w.Spread))
	h := a.holds[who]
	if h == nil {
		h = &hold{at: now, wanted: now}
		a.holds[who], a.next = h, 0
		m.budgets[w.Budget] = true
	}
	o.believe(w.Budget, a, whole, version, m.started)
	window := a.window().Seconds()
	part := math.Exp(-max(0, now-h.at).Seconds() / window)
	h.claim.Demand, h.claim.Most, h.at = h.claim.Demand*part+w.Asked/window, math.Max(h.claim.Most*part, w.Most), now
	if w.Asked > 0 {
		h.wants, h.wanted = true, now
		o.stirred[w.Budget] = true
	}
	if ours && w.Returned >= h.returned && stamp >= h.since {
		o.back(now, a, h, w.Returned-h.returned)
		h.returned, h.since = w.Returned, stamp
	}
}

// age takes note of when a member's process was started, and gives it.
func (o *Owner) age(now time.Duration, m *member, age int64) time.Duration {
	if m.started == 0 {
		m.started = now - time.Duration(max(0, age))
	}
	return m.started
}

// believe takes in what a budget's whole is by a process's terms. The highest version is believed, whoever else says something
// else later; among those of one version, and where terms come with configurations, the youngest process.
func (o *Owner) believe(id uint64, a *account, whole Share, version uint64, started time.Duration) {
	if version < a.version || version == a.version && started < a.from {
		return
	}
	a.from = started
	if a.whole != whole || a.version != version {
		a.whole, a.version, a.next = whole, version, 0
		o.stirred[id] = true
	}
}

// back takes in units that a member has given back.
func (o *Owner) back(now time.Duration, a *account, h *hold, units float64) {
	if units == 0 {
		return
	}
	if h.word != h.agreed {
		// There is room for them when what they lay in is free, and nothing else comes into that.
		h.late = math.Min(h.late+units, math.Max(0, h.agreed.Part.Burst-h.word.Part.Burst))
		return
	}
	if a.room == nil {
		a.room = &rooms{}
	}
	free := o.reserve(now, a)
	if h.since > 0 {
		a.bank.level += math.Min(units, a.room.since(h.since))
		a.room.note(now, free.Burst-a.bank.level)
	}
}

// window is over which time a budget's demand is taken: a small quota is asked for now and then, and its parts are not to follow
// chance.
func (a *account) window() time.Duration {
	if a.whole.Rate <= 0 {
		return claimMostTime
	}
	return min(claimMostTime, max(claimLeastTime, time.Duration(2*a.whole.Burst/a.whole.Rate*float64(time.Second))))
}

// lapsed tells what a member may be using of what it holds, by the owner's clock and the margin.
func (o *Owner) lapsed(now time.Duration, m *member, h Held) Held {
	switch since := now - m.heard; {
	case m.gone || since >= o.rules.withMargin(o.rules.FloorSpan):
		return Held{}
	case since >= o.rules.withMargin(o.rules.Span):
		return Held{h.Floor, h.Floor}
	}
	return h
}

// Plan gives what is to be changed, in one round; nil: nothing. Nothing else is planned until that has ended.
func (o *Owner) Plan(now time.Duration) *fleetpb.Round {
	if o.saving != nil {
		return nil
	}
	for who, m := range o.members {
		if now-m.heard < o.rules.withMargin(o.rules.Span) || m.gone {
			continue
		}
		for id := range m.budgets {
			if h := o.budgets[id].holds[who]; o.lapsed(now, m, h.agreed) != h.agreed {
				o.stirred[id] = true // it lapses now; what lapsed before is done with
			}
		}
	}
	round := &fleetpb.Round{Duty: o.duty, Term: o.term}
	index := map[lease.Member]uint32{}
	for _, id := range slices.Sorted(maps.Keys(o.stirred)) {
		a := o.budgets[id]
		delete(o.stirred, id)
		changes := o.plan(now, id, a)
		// What is kept for the next owner goes up and down with the bank: in steps, and at once where it stands in the way.
		o.reserve(now, a) // it is smaller by what is to be raised
		keep := math.Min(a.keep(), math.Max(0, a.whole.Burst-a.held.Burst-a.rising.Burst))
		if len(changes) == 0 && a.short == 0 && a.version == a.known && math.Abs(keep-a.spare) < a.whole.Burst*o.rules.Step && (keep >= a.spare || a.bank.level-a.spare >= a.usual) {
			continue
		}
		a.saving, a.proposed = keep, a.version
		o.saving = append(o.saving, id)
		c := &fleetpb.BudgetChange{Budget: id, Whole: a.whole.proto(), Version: a.version, Spread: uint32(a.spread), Spare: keep}
		for _, p := range changes {
			c.Held = append(c.Held, &fleetpb.HeldPart{Who: indexOf(&round.Who, index, p.who), Part: p.to.Part.proto(), Floor: p.to.Floor.proto()})
		}
		round.Changes = append(round.Changes, c)
		o.out = append(o.out, changes...)
	}
	if len(round.Changes) == 0 {
		return nil
	}
	o.figures.Rounds++
	return round
}

// plan gives a budget's changes, and tells members what is to be lessened.
func (o *Owner) plan(now time.Duration, id uint64, a *account) (changes []planned) {
	free := o.reserve(now, a)
	who := sorted(a.holds)
	var alive []lease.Member
	var claims []Claim
	for _, w := range who {
		h, m := a.holds[w], o.members[w]
		if to := o.lapsed(now, m, h.agreed); to != h.agreed {
			// Should it be heard again before that is agreed, it is told of it with its renewal.
			o.number++
			h.word, h.number = to, o.number
			changes = append(changes, planned{budget: id, who: w, to: to})
			o.figures.Expired++
		} else if h.word != h.agreed && h.number <= m.number {
			changes = append(changes, planned{budget: id, who: w, to: h.word})
			o.figures.Lessen++
		}
		if now-m.heard < o.rules.Span && !m.gone {
			alive = append(alive, w)
			c := h.claim
			if c.Demand *= math.Exp(-max(0, now-h.at).Seconds() / a.window().Seconds()); c.Demand < claimLeast {
				c.Demand = 0
			}
			c.Idle = now-h.wanted > o.rules.Forget
			claims = append(claims, c)
		}
	}
	if now < a.next {
		if len(alive) > 0 {
			o.stirred[id] = o.stirred[id] || a.wanting()
		}
		return changes
	}
	touched := func(w lease.Member) bool {
		return slices.ContainsFunc(changes, func(p planned) bool { return p.who == w })
	}
	// A floor that nobody gave back is its member's, or a dead one's until its span is over: a newcomer beyond the
	// spread waits for it.
	floors := Share{}
	for _, w := range who {
		floors = floors.plus(a.holds[w].agreed.Floor)
	}
	most := a.whole.times(o.rules.Floor)
	for i, part := range Divide(a.whole, a.spread, &o.rules, claims) {
		h, w := a.holds[alive[i]], alive[i]
		h.wants = false
		floor := o.rules.FloorOf(a.whole, max(a.spread, len(claims))).least(part)
		if touched(w) || h.word != h.agreed {
			h.wants = true
			continue // one thing at a time with one member
		}
		to := Held{part, floor}
		if !h.agreed.Floor.none() && near(h.agreed.Floor, floor) {
			to.Floor = h.agreed.Floor
		}
		off := a.whole.Burst * o.rules.Step
		switch {
		case to.Part.Burst < h.agreed.Part.Burst-off || to.Floor.Burst < h.agreed.Floor.Burst-slack || to.Part.none() && !h.agreed.Part.none():
			h.word = Held{to.Part.least(h.agreed.Part), to.Floor.least(h.agreed.Floor)}
			o.number++
			h.number = o.number
		case to.Part.Burst > h.agreed.Part.Burst+off || to.Floor.Burst > h.agreed.Floor.Burst+slack:
			extra := to.Part.minus(h.agreed.Part).most(Share{}).least(free)
			more := to.Floor.minus(h.agreed.Floor).most(Share{}).least(most.minus(floors).most(Share{}))
			to.Floor = h.agreed.Floor.plus(more)
			if to.Part = h.agreed.Part.plus(extra); !to.Floor.within(to.Part) {
				to.Floor = to.Floor.least(to.Part)
			}
			if extra.Burst <= slack || extra.Burst <= off && to.Floor.Burst <= h.agreed.Floor.Burst+slack {
				h.wants = true // there is nothing to speak of now
				continue
			}
			give := 0.0
			if free.Burst > 0 {
				give = math.Min(extra.Burst, a.bank.level*extra.Burst/free.Burst)
			}
			a.bank.level -= give
			a.rising = a.rising.plus(extra)
			free, floors = free.minus(extra), floors.plus(to.Floor.minus(h.agreed.Floor))
			changes = append(changes, planned{budget: id, who: w, from: h.agreed.Part, to: to, give: give, raise: true})
			o.figures.Raised++
		}
	}
	a.next = now + max(settle, a.window()/4)
	if a.wanting() {
		o.stirred[id] = true
		a.next = now + o.rules.Every
	}
	return changes
}

func (a *account) wanting() bool {
	for _, h := range a.holds {
		if h.wants {
			return true
		}
	}
	return false
}

func near(a, b Share) bool { return a.within(b) && b.within(a) }

// Committed takes in that the round is agreed.
func (o *Owner) Committed(now time.Duration) {
	for _, p := range o.out {
		a := o.budgets[p.budget]
		h := a.holds[p.who]
		o.reserve(now, a) // what comes free counts from now on
		h.agreed = p.to
		if p.raise {
			o.number++
			h.word, h.number, h.given = p.to, o.number, h.given+p.give
			a.rising = a.rising.minus(p.to.Part.minus(p.from)).most(Share{})
		}
		if p.to.Part.none() && o.members[p.who].gone { // else its sums of units given and returned go on
			delete(a.holds, p.who)
			delete(o.members[p.who].budgets, p.budget)
		}
		a.sum()
		if !p.raise {
			a.bank.level += h.late
			h.late = 0
		}
		o.stirred[p.budget] = true
	}
	for _, id := range o.saving {
		a := o.budgets[id]
		a.spare, a.saving, a.short, a.known = a.saving, -1, 0, a.proposed
	}
	o.out, o.saving = nil, nil
}

// keep is how many units of the bank are kept for the next owner: what is not like to be lent before the next round.
func (a *account) keep() float64 {
	demand := 0.0
	for _, h := range a.holds {
		demand += h.claim.Demand
	}
	return math.Max(0, a.bank.level-2*a.usual-a.short-math.Min(demand, a.whole.Rate)*keepFor.Seconds())
}

// Close gives the last round of a term that is handed on: all units of the reserve are kept for the next owner. Nothing is
// lent or renewed any more. No other round may be proposed; nil: there is nothing to keep.
func (o *Owner) Close(now time.Duration) *fleetpb.Round {
	o.closes = true
	if o.saving != nil {
		return nil
	}
	round := &fleetpb.Round{Duty: o.duty, Term: o.term}
	for _, id := range slices.Sorted(maps.Keys(o.budgets)) {
		a := o.budgets[id]
		o.reserve(now, a)
		keep := math.Min(a.bank.level, math.Max(0, a.whole.Burst-a.held.Burst))
		if keep <= a.spare {
			continue
		}
		a.saving, a.proposed = keep, a.version
		o.saving = append(o.saving, id)
		round.Changes = append(round.Changes, &fleetpb.BudgetChange{Budget: id, Whole: a.whole.proto(), Version: a.version, Spread: uint32(a.spread), Spare: keep})
	}
	if len(round.Changes) == 0 {
		return nil
	}
	return round
}

const handsOn = "the shard is being handed on"

// Refused takes in that the round is not agreed and never will be.
func (o *Owner) Refused(now time.Duration) {
	out := o.out
	for _, id := range o.saving {
		o.budgets[id].saving = -1
		o.stirred[id] = true
	}
	o.out, o.saving = nil, nil
	for _, p := range out {
		a := o.budgets[p.budget]
		o.stirred[p.budget] = true
		if p.raise {
			o.reserve(now, a)
			a.rising = a.rising.minus(p.to.Part.minus(p.from)).most(Share{})
			a.bank.level += p.give
		}
	}
}

// Figures are what the owner did so far.
func (o *Owner) Figures() Figures { return o.figures }

// Reserve is the owner's own part of a budget at a time, and the units in it.
func (o *Owner) Reserve(now time.Duration, budget uint64) (free Share, level float64) {
	a := o.budgets[budget]
	if a == nil {
		return free, 0
	}
	free = o.reserve(now, a)
	return free, a.bank.level
}
