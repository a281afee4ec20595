package allocation

import (
	"maps"
	"math"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// planned is one member's change in the round that is proposed.
type planned struct {
	budget uint64
	who    lease.Member
	from   Share // what it held, of what is raised
	to     Held
	give   float64
	raise  bool
}

// Plan returns what is to be changed in one round, or nil if there is nothing to change or the last round
// has not ended. End the round with Committed, Refused or a new Owner.
func (o *Owner) Plan(now time.Duration) *controlpb.Round {
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
	round := &controlpb.Round{Role: o.duty, Term: o.term}
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
		c := &controlpb.BudgetChange{Budget: id, Whole: a.whole.proto(), Version: a.version, Spread: uint32(a.spread), Spare: keep}
		for _, p := range changes {
			c.Held = append(c.Held, &controlpb.HeldPart{Who: indexOf(&round.Who, index, p.who), Part: p.to.Part.proto(), Floor: p.to.Floor.proto()})
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

// division is one look at a budget: what came free since the last one, and its division by demand.
type division struct {
	owner   *Owner
	now     time.Duration
	budget  uint64
	account *account
	members []lease.Member // that hold a part, sorted
	free    Share          // what may still be given
	floors  Share          // the sum of all floors
	changes []planned
}

// plan returns a budget's changes, and tells members what is to be lessened.
func (o *Owner) plan(now time.Duration, id uint64, a *account) []planned {
	d := &division{
		owner:   o,
		now:     now,
		budget:  id,
		account: a,
		members: sorted(a.holds),
		free:    o.reserve(now, a),
	}
	alive, claims := d.collect()
	if now < a.next {
		if len(alive) > 0 {
			o.stirred[id] = o.stirred[id] || a.wanting()
		}
		return d.changes
	}
	d.divide(alive, claims)
	a.next = now + max(minDivisionInterval, a.window()/4)
	if a.wanting() {
		o.stirred[id] = true
		a.next = now + o.rules.Every
	}
	return d.changes
}

// collect plans that what expired or was lessened comes free. It returns the members that are alive, with
// their claims.
func (d *division) collect() (alive []lease.Member, claims []Claim) {
	o, a, now := d.owner, d.account, d.now
	var changes []planned
	for _, w := range d.members {
		h, m := a.holds[w], o.members[w]
		if to := o.lapsed(now, m, h.agreed); to != h.agreed {
			// Should it be heard again before that is agreed, it is told of it with its renewal.
			o.number++
			h.word, h.number = to, o.number
			changes = append(changes, planned{budget: d.budget, who: w, to: to})
			o.figures.Expired++
		} else if h.word != h.agreed && h.number <= m.number {
			changes = append(changes, planned{budget: d.budget, who: w, to: h.word})
			o.figures.Lessen++
		}
		if now-m.heard < o.rules.Span && !m.gone {
			alive = append(alive, w)
			claims = append(claims, d.claim(h))
		}
	}
	d.changes = changes
	return alive, claims
}

// claim is a member's claim, aged to now.
func (d *division) claim(h *hold) Claim {
	c := h.claim
	c.Demand *= math.Exp(-max(0, d.now-h.at).Seconds() / d.account.window().Seconds())
	if c.Demand < minDemand {
		c.Demand = 0
	}
	c.Idle = d.now-h.wanted > d.owner.rules.Forget
	return c
}

// divide divides the budget among the members that are alive, by their claims.
func (d *division) divide(alive []lease.Member, claims []Claim) {
	o, a := d.owner, d.account
	// A floor that nobody gave back is its member's, or a dead one's until its span is over: a newcomer beyond the
	// spread waits for it.
	for _, w := range d.members {
		d.floors = d.floors.plus(a.holds[w].agreed.Floor)
	}
	floorWhole := o.rules.FloorOf(a.whole, max(a.spread, len(claims)))
	for i, part := range Divide(a.whole, a.spread, &o.rules, claims) {
		d.assign(alive[i], Held{part, floorWhole.least(part)})
	}
}

// assign lessens or raises what a member holds towards its part of the division.
func (d *division) assign(who lease.Member, to Held) {
	o, a := d.owner, d.account
	h := a.holds[who]
	h.wants = false
	changing := slices.ContainsFunc(d.changes, func(p planned) bool { return p.who == who })
	if changing || h.word != h.agreed {
		h.wants = true // one change at a time with one member
		return
	}
	if !h.agreed.Floor.none() && near(h.agreed.Floor, to.Floor) {
		to.Floor = h.agreed.Floor
	}
	step := a.whole.Burst * o.rules.Step
	switch {
	case to.Part.Burst < h.agreed.Part.Burst-step || to.Floor.Burst < h.agreed.Floor.Burst-slack || to.Part.none() && !h.agreed.Part.none():
		h.word = Held{to.Part.least(h.agreed.Part), to.Floor.least(h.agreed.Floor)}
		o.number++
		h.number = o.number
	case to.Part.Burst > h.agreed.Part.Burst+step || to.Floor.Burst > h.agreed.Floor.Burst+slack:
		d.raise(who, to, step)
	}
}

// raise plans that a member gets more, as far as there is something free. A change of at most step units
// alone is left for later.
func (d *division) raise(who lease.Member, to Held, step float64) {
	o, a := d.owner, d.account
	h := a.holds[who]
	extra := to.Part.minus(h.agreed.Part).most(Share{}).least(d.free)
	maxFloors := a.whole.times(o.rules.Floor)
	more := to.Floor.minus(h.agreed.Floor).most(Share{}).least(maxFloors.minus(d.floors).most(Share{}))
	to.Floor = h.agreed.Floor.plus(more)
	if to.Part = h.agreed.Part.plus(extra); !to.Floor.within(to.Part) {
		to.Floor = to.Floor.least(to.Part)
	}
	if extra.Burst <= slack || extra.Burst <= step && to.Floor.Burst <= h.agreed.Floor.Burst+slack {
		h.wants = true // there is nothing to speak of now
		return
	}
	give := 0.0
	if d.free.Burst > 0 {
		give = math.Min(extra.Burst, a.bank.level*extra.Burst/d.free.Burst)
	}
	a.bank.level -= give
	a.rising = a.rising.plus(extra)
	d.free, d.floors = d.free.minus(extra), d.floors.plus(to.Floor.minus(h.agreed.Floor))
	d.changes = append(d.changes, planned{budget: d.budget, who: who, from: h.agreed.Part, to: to, give: give, raise: true})
	o.figures.Raised++
}

// near reports whether two shares are equal but for rounding.
func near(a, b Share) bool { return a.within(b) && b.within(a) }

// Committed takes in that the round was agreed.
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

// Close returns the last round of a term that is handed on: all units of the reserve are kept for the next
// owner. Nothing is lent or renewed after it, and no other round may be proposed. It returns nil if there
// is nothing to keep.
func (o *Owner) Close(now time.Duration) *controlpb.Round {
	o.closes = true
	if o.saving != nil {
		return nil
	}
	round := &controlpb.Round{Role: o.duty, Term: o.term}
	for _, id := range slices.Sorted(maps.Keys(o.budgets)) {
		a := o.budgets[id]
		o.reserve(now, a)
		keep := math.Min(a.bank.level, math.Max(0, a.whole.Burst-a.held.Burst))
		if keep <= a.spare {
			continue
		}
		a.saving, a.proposed = keep, a.version
		o.saving = append(o.saving, id)
		round.Changes = append(round.Changes, &controlpb.BudgetChange{Budget: id, Whole: a.whole.proto(), Version: a.version, Spread: uint32(a.spread), Spare: keep})
	}
	if len(round.Changes) == 0 {
		return nil
	}
	return round
}

// Refused takes in that the round was not agreed and never will be.
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
