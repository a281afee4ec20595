package allocation

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
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

const (
	minDemandWindow     = 2 * time.Second // over which demand is averaged
	maxDemandWindow     = 20 * time.Second
	minDivisionInterval = time.Second            // between two divisions of one budget by demand
	minDemand           = 0.01                   // units a second: below, there is no demand
	loanRetryDelay      = 30 * time.Millisecond  // for a loan that waits for a round
	roundTime           = 300 * time.Millisecond // in which a round is agreed, but for a change of leader
)

const handsOn = "the shard is being handed on"

// NewOwner begins a term with what is agreed. Members that the books name are taken to have been renewed just now:
// the owner before may have done so until its holding was over.
func NewOwner(now time.Duration, r Rules, duty string, term uint64, books *controlpb.Books) (*Owner, error) {
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

// reserve is the owner's own part: what nobody holds. It brings the bank to the time.
func (o *Owner) reserve(now time.Duration, a *account) Share {
	free := a.whole.minus(a.held).minus(a.rising).most(Share{})
	a.fill(now, free)
	return free
}

// Lend gives units of the reserve for a request that waits.
func (o *Owner) Lend(now time.Duration, ask *controlpb.LoanAsk) *controlpb.LoanAnswer {
	whole := shareOf(ask.Whole)
	if ask.Role != o.duty || !whole.sound() || whole.none() || !(ask.Units > 0) {
		return &controlpb.LoanAnswer{Code: controlpb.Code_REFUSED, Why: "not an asking for this owner"}
	}
	if o.closes {
		return &controlpb.LoanAnswer{Code: controlpb.Code_NOT_LEADER, Why: handsOn}
	}
	a := o.account(ask.Budget, whole, int(ask.Spread))
	o.believe(ask.Budget, a, whole, ask.Version, o.age(now, o.member(now, memberOf(ask.Member)), ask.Age))
	free := o.reserve(now, a)
	a.usual += (ask.Units - a.usual) * 0.1
	if a.bank.level >= ask.Units && a.bank.level-ask.Units < math.Max(a.spare, a.saving) {
		o.stirred[ask.Budget] = true
		a.short = math.Max(a.short, ask.Units)
		return &controlpb.LoanAnswer{Term: o.term, Soon: true, After: int64(loanRetryDelay)}
	}
	if a.bank.level < ask.Units {
		o.figures.Dry++
		after := time.Duration(0)
		if free.Rate > 0 {
			after = time.Duration((ask.Units - a.bank.level) / free.Rate * float64(time.Second))
		}
		return &controlpb.LoanAnswer{Term: o.term, After: int64(max(0, after))}
	}
	o.figures.Lent++
	a.bank.level -= ask.Units
	if a.bank.level-a.spare < a.usual {
		o.stirred[ask.Budget] = true
	}
	return &controlpb.LoanAnswer{Lent: true, Term: o.term}
}

// Renew takes in a member's asking, and tells it all words that it has not acted on.
func (o *Owner) Renew(now time.Duration, ask *controlpb.RightsAsk) *controlpb.RightsAnswer {
	who := memberOf(ask.Member)
	if o.closes {
		return &controlpb.RightsAnswer{Code: controlpb.Code_NOT_LEADER, Why: handsOn}
	}
	if ask.Role != o.duty || who.ID == "" {
		return &controlpb.RightsAnswer{Code: controlpb.Code_REFUSED, Why: "not an asking for this owner"}
	}
	if ask.Term > o.term {
		return &controlpb.RightsAnswer{Code: controlpb.Code_NOT_LEADER, Why: "a later owner is known"}
	}
	for _, boot := range ask.Gone {
		if heir := (lease.Member{ID: who.ID, Incarnation: boot}); heir != who && o.members[heir] != nil {
			o.leave(heir)
		}
	}
	m := o.member(now, who)
	if m.gone {
		return &controlpb.RightsAnswer{Code: controlpb.Code_SUPERSEDED, Why: fmt.Sprintf("%s has left, by its own word or its heir's", who)}
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
		return &controlpb.RightsAnswer{Term: o.term, Number: o.number}
	}
	m.heard = now
	known := uint64(0)
	if ours {
		known = m.number
	}
	answer := &controlpb.RightsAnswer{Term: o.term, Number: o.number, At: int64(now), Span: int64(o.rules.Span), FloorSpan: int64(o.rules.FloorSpan)}
	for _, id := range slices.Sorted(maps.Keys(m.budgets)) {
		if h := o.budgets[id].holds[who]; h.number > known {
			answer.Rights = append(answer.Rights, &controlpb.Right{Budget: id, Number: h.number, Part: h.word.Part.proto(), Floor: h.word.Floor.proto(), Given: h.given})
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
func (o *Owner) want(now time.Duration, who lease.Member, m *member, w *controlpb.Want, version uint64, ours bool, stamp time.Duration) {
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
