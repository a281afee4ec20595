package allocation

import (
	"maps"
	"math"
	"slices"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Holder is one process's side: the rights that it was given, and the units in them. Times are of its own
// clock, which must go on while the process lies stopped. Level has to be asked for right before units are taken, and Until is
// the time by which they must have been used: a process can stop between any two instructions.
type Holder struct {
	rules  Rules
	me     lease.Member
	shards []side
	born   time.Duration // when it first asked; 0: it has not
}

// side is what the owner of one shard has told.
type side struct {
	duty       string
	term       uint64 // of the newest owner that was heard
	number     uint64 // up to which its words are acted on
	heard      int64  // the stamp of the answer heard last
	until      time.Duration
	floorUntil time.Duration
	rights     map[uint64]*right
	dirty      map[uint64]bool // has something to tell
}

// right is a budget as this process may use it.
type right struct {
	whole    Share
	spread   int
	held     Held
	number   uint64
	level    float64
	at       time.Duration
	given    float64 // taken in, in all under the term
	returned float64 // given back, in all under the term
	told     float64 // of that, told in an asking that was answered
	asked    float64 // since the last asking
	refused  float64
	most     float64
}

// NewHolder is a process that holds nothing.
func NewHolder(r Rules, me lease.Member, shards int) *Holder {
	h := &Holder{rules: r, me: me}
	for i := range max(1, shards) {
		h.shards = append(h.shards, side{duty: RoleOfShard(i), rights: map[uint64]*right{}, dirty: map[uint64]bool{}})
	}
	return h
}

func (h *Holder) side(budget uint64) *side { return &h.shards[ShardOf(budget, len(h.shards))] }

// may is what a right lets use at a time.
func (s *side) may(r *right, at time.Duration) Share {
	switch {
	case at < s.until:
		return r.held.Part
	case at < s.floorUntil:
		return r.held.Floor
	}
	return Share{}
}

// refill brings a right to a time: through the end of its part, and that of its floor, if they lie before. What finds
// no room while it is held is given back.
func (s *side) refill(r *right, now time.Duration) {
	for _, end := range []time.Duration{s.until, s.floorUntil, now} {
		end = min(end, now)
		if r.at >= end {
			continue
		}
		may := s.may(r, r.at)
		b := bank{r.level, r.at}
		if over := b.refill(end, may); now < s.until {
			r.returned += over
		}
		r.level, r.at = b.level, end
	}
	// An end cuts what is stored.
	r.level = math.Min(r.level, math.Max(s.may(r, now).Burst, 0))
}

// right finds or makes the record of a budget.
func (s *side) right(budget uint64, now time.Duration) *right {
	r := s.rights[budget]
	if r == nil {
		r = &right{at: now}
		s.rights[budget] = r
	}
	s.refill(r, now)
	return r
}

// Ask takes note that units of a budget were asked for.
func (h *Holder) Ask(now time.Duration, budget uint64, whole Share, spread int, units float64) {
	s := h.side(budget)
	r := s.right(budget, now)
	r.whole, r.spread = whole, spread
	r.asked += units
	r.most = math.Max(r.most, units)
	s.dirty[budget] = true
}

// Refused takes note that they were refused.
func (h *Holder) Refused(now time.Duration, budget uint64, units float64) {
	h.side(budget).right(budget, now).refused += units
}

// Level is how many units of a budget may be used now.
func (h *Holder) Level(now time.Duration, budget uint64) float64 {
	return h.side(budget).right(budget, now).level
}

// Rate is at which rate units come.
func (h *Holder) Rate(now time.Duration, budget uint64) float64 {
	s := h.side(budget)
	return s.may(s.right(budget, now), now).Rate
}

// Until is by when units that are taken now must have been used: soon, as others may have their place in the bank
// filled anew meanwhile, and never after the right is over.
func (h *Holder) Until(now time.Duration, budget uint64) time.Duration {
	s := h.side(budget)
	until := s.floorUntil
	if now < s.until {
		until = s.until
	}
	return min(until, now+h.rules.LoanSpan)
}

// Take uses units, as many as Level gave at the time.
func (h *Holder) Take(now time.Duration, budget uint64, units float64) {
	h.side(budget).right(budget, now).level -= units
}

// Return gives back units that were lent and not used.
func (h *Holder) Return(now time.Duration, budget uint64, units float64) {
	s := h.side(budget)
	if s.rights[budget] != nil { // else it was forgotten meanwhile, and they are lost
		s.right(budget, now).returned += units
		s.dirty[budget] = true
	}
}

// Age is how old this process is, in nanoseconds, as it tells owners.
func (h *Holder) Age(now time.Duration) int64 {
	if h.born == 0 {
		h.born = now
	}
	return int64(now - h.born)
}

// Renewal is the asking to be sent to the owner of a shard now, of which Answer takes the answer.
func (h *Holder) Renewal(now time.Duration, shard int) *controlpb.RightsAsk {
	s := &h.shards[shard]
	a := &controlpb.RightsAsk{Age: h.Age(now), Member: &controlpb.Member{Id: h.me.ID, Incarnation: h.me.Incarnation}, Role: s.duty, Term: s.term, Number: s.number, Heard: s.heard}
	for _, id := range slices.Sorted(maps.Keys(s.rights)) {
		r := s.rights[id]
		s.refill(r, now)
		if !s.dirty[id] && r.returned == r.told {
			if r.held.Part.none() && r.number == 0 {
				delete(s.rights, id) // it was asked for once, and holds nothing
			}
			continue
		}
		a.Wants = append(a.Wants, &controlpb.Want{Budget: id, Whole: r.whole.proto(), Spread: uint32(r.spread), Asked: r.asked,
			Refused: r.refused, Most: r.most, Returned: r.returned})
		r.asked, r.refused, r.most = 0, 0, 0
		delete(s.dirty, id)
	}
	return a
}

// Leave gives everything back, and gives the askings that say so, one a shard.
func (h *Holder) Leave(now time.Duration) (all []*controlpb.RightsAsk) {
	for i := range h.shards {
		s := &h.shards[i]
		for id, r := range s.rights {
			s.refill(r, now)
			r.returned += r.level
			r.level, r.held = 0, Held{}
			s.dirty[id] = true
		}
		a := h.Renewal(now, i)
		a.Leaving = true
		s.until, s.floorUntil = 0, 0
		s.term = math.MaxUint64 // no owner gives it anything any more
		all = append(all, a)
	}
	return all
}

// Answer takes in the answer to the asking that was sent at a time. It tells whether there is something to say at
// once: that what was lessened is acted on.
func (h *Holder) Answer(now, sent time.Duration, shard int, ask *controlpb.RightsAsk, a *controlpb.RightsAnswer) (again bool) {
	s := &h.shards[shard]
	if a.Code != controlpb.Code_OK || a.Term < s.term {
		return false // an old owner that wakes late
	}
	if now >= s.until || a.Term > s.term {
		// It had lapsed, or never was: what is stored has to be cut before it holds anew.
		for _, r := range s.rights {
			s.refill(r, now)
		}
	}
	if a.Term > s.term {
		// A new owner tells all that it has given. What it does not name was given to others meanwhile.
		s.term, s.number, s.heard = a.Term, 0, 0
		for _, r := range s.rights {
			r.held, r.number, r.given, r.returned, r.told = Held{}, 0, 0, 0, 0
		}
	}
	if ask.Term == s.term {
		for _, w := range ask.Wants {
			if r := s.rights[w.Budget]; r != nil {
				r.told = math.Max(r.told, w.Returned)
			}
		}
	}
	for _, w := range a.Rights {
		r := s.right(w.Budget, now)
		if w.Number <= r.number {
			continue // an older word, overtaken
		}
		lessened := !r.held.Part.within(shareOf(w.Part)) || !r.held.Floor.within(shareOf(w.Floor))
		r.number, r.held = w.Number, Held{shareOf(w.Part), shareOf(w.Floor)}
		if w.Given > r.given {
			r.level += w.Given - r.given
			r.given = w.Given
		}
		if over := r.level - r.held.Part.Burst; over > 0 {
			r.level, r.returned = r.held.Part.Burst, r.returned+over
		}
		again = again || lessened
	}
	if s.number == 0 {
		for _, r := range s.rights {
			r.level = math.Min(r.level, r.held.Part.Burst)
		}
	}
	s.number, s.heard = max(s.number, a.Number), max(s.heard, a.At)
	s.until = max(s.until, sent+min(time.Duration(a.Span), h.rules.Span))
	s.floorUntil = max(s.floorUntil, sent+min(time.Duration(a.FloorSpan), h.rules.FloorSpan))
	return again
}

// Right is a budget as this process holds it, for those who look.
type Right struct {
	Budget uint64        `json:"budget"`
	Held   Held          `json:"held"`
	Level  float64       `json:"level"`
	Term   uint64        `json:"term"`
	Until  time.Duration `json:"until"` // from now; the part's
	Floor  time.Duration `json:"floor_until"`
}

// Rights are all that this process holds at a time.
func (h *Holder) Rights(now time.Duration) (all []Right) {
	for i := range h.shards {
		s := &h.shards[i]
		for _, id := range slices.Sorted(maps.Keys(s.rights)) {
			if r := s.rights[id]; !r.held.Part.none() {
				s.refill(r, now)
				all = append(all, Right{id, r.held, r.level, s.term, max(0, s.until-now), max(0, s.floorUntil-now)})
			}
		}
	}
	return all
}

// May is what this process may use of a budget at a time.
func (h *Holder) May(now time.Duration, budget uint64) Share {
	s := h.side(budget)
	if r := s.rights[budget]; r != nil {
		return s.may(r, now)
	}
	return Share{}
}

// Ends are until when the parts of a shard hold, and the floors.
func (h *Holder) Ends(shard int) (part, floor time.Duration) {
	return h.shards[shard].until, h.shards[shard].floorUntil
}
