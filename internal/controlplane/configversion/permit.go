package configversion

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// Target is what one gateway is to act on of an item.
type Target struct {
	Item string `json:"item"`
	Ref
	In time.Duration `json:"in"` // it holds in so long
	// Beside are earlier versions that somebody may still act on: whoever acts on the target keeps to their terms as well.
	Beside []Ref `json:"beside,omitempty"`
	// May is what this gateway may act on, and for how long from its asking: the target, and others until it has that.
	May map[uint64]time.Duration `json:"may"`
}

// Told is the answer to a gateway that asks what it may act on.
type Told struct {
	At     time.Duration `json:"at"`
	Seq    uint64        `json:"seq"`             // of the state that it is by
	Enrol  bool          `json:"enrol,omitempty"` // it is not known, or soon not any more: say that it is here
	Out    string        `json:"out,omitempty"`   // why it may act on nothing
	Target []Target      `json:"target"`
}

// Query returns what the member in the body may act on, as a Told. Without a body it returns a View. Both
// are JSON.
func (m *Machine) Query(at time.Duration, body []byte) []byte {
	if len(body) == 0 {
		return mustjson.Marshal(m.View(at))
	}
	var who lease.Member
	if json.Unmarshal(body, &who) != nil {
		return mustjson.Marshal(Told{At: at, Out: ErrBad.Error()})
	}
	return mustjson.Marshal(m.Tell(at, who))
}

// Tell returns what a member may act on at a time of the fleet.
func (m *Machine) Tell(at time.Duration, who lease.Member) Told {
	t := Told{At: at, Seq: m.seq, Target: []Target{}}
	s := m.members[who]
	if s == nil || at >= s.Until {
		t.Enrol, t.Out = true, "not enrolled"
		return t
	}
	t.Enrol = s.Until-at < m.rules.Enrol/2
	if out, ok := m.shut[who.ID]; ok {
		t.Out = "shut out: " + out.Why
		return t
	}
	most := min(m.rules.Span, m.rules.lessMargin(s.Until-at))
	for item := range m.items {
		if to := m.targetOf(item, s); to != nil {
			t.Target = append(t.Target, m.permit(at, to, most))
		}
	}
	slices.SortFunc(t.Target, func(a, b Target) int { return cmp.Compare(a.Item, b.Item) })
	return t
}

// targetOf returns the version of an item that a member is to act on, nil if there is none.
func (m *Machine) targetOf(item string, s *Standing) *Version {
	last := m.newest(item)
	if last.State == Rolling || last.State == Held {
		// One that can't act on what is tried goes on with what is for all.
		if slices.Contains(last.Pilots, s.Member.ID) && s.Refused[item].Number != last.Number {
			return last
		}
	}
	return m.whole(item)
}

// permit returns what a member whose target is a version may act on, each for most at the longest.
func (m *Machine) permit(at time.Duration, to *Version, most time.Duration) Target {
	g := Target{
		Item: to.Item,
		Ref:  Ref{to.Number, to.Digest, to.Size},
		In:   max(0, to.From-at),
		May:  map[uint64]time.Duration{},
	}
	for _, v := range m.items[to.Item] {
		if !v.live(at) {
			continue
		}
		if v.Number < to.Number {
			g.Beside = append(g.Beside, Ref{v.Number, v.Digest, v.Size})
		}
		switch {
		case v.State == Withdrawn || v.Number > to.Number:
		case v.Until == 0:
			g.May[v.Number] = most
		default:
			g.May[v.Number] = min(most, m.rules.lessMargin(v.Until-at))
		}
	}
	return g
}
