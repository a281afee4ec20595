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
	EffectiveIn time.Duration `json:"in"` // it holds in so long
	// Overlapping are earlier versions that somebody may still act on: whoever acts on the target keeps to their terms as well.
	Overlapping []Ref `json:"beside,omitempty"`
	// Leases is what this gateway may act on, and for how long from its asking: the target, and others until it has that.
	Leases map[uint64]time.Duration `json:"may"`
}

// LeaseResponse is the answer to a gateway that asks what it may act on.
type LeaseResponse struct {
	At           time.Duration `json:"at"`
	Seq          uint64        `json:"seq"`             // of the state that it is by
	MustEnrol    bool          `json:"enrol,omitempty"` // it is not known, or soon not any more: say that it is here
	FencedReason string        `json:"out,omitempty"`   // why it may act on nothing
	Targets      []Target      `json:"target"`
}

// Query returns what the member in the body may act on, as a Told. Without a body it returns a View. Both
// are JSON.
func (m *Machine) Query(at time.Duration, body []byte) []byte {
	if len(body) == 0 {
		return mustjson.Marshal(m.View(at))
	}
	var who lease.Member
	if json.Unmarshal(body, &who) != nil {
		return mustjson.Marshal(LeaseResponse{At: at, FencedReason: ErrInvalidCommand.Error()})
	}
	return mustjson.Marshal(m.LeaseFor(at, who))
}

// LeaseFor returns what a member may act on at a time of the fleet.
func (m *Machine) LeaseFor(at time.Duration, who lease.Member) LeaseResponse {
	t := LeaseResponse{At: at, Seq: m.seq, Targets: []Target{}}
	s := m.members[who]
	if s == nil || at >= s.EnrolledUntil {
		t.MustEnrol, t.FencedReason = true, "not enrolled"
		return t
	}
	t.MustEnrol = s.EnrolledUntil-at < m.config.EnrolmentTTL/2
	if out, ok := m.fenced[who.ID]; ok {
		t.FencedReason = "shut out: " + out.Why
		return t
	}
	most := min(m.config.TTL, m.config.lessDrift(s.EnrolledUntil-at))
	for item := range m.items {
		if to := m.targetOf(item, s); to != nil {
			t.Targets = append(t.Targets, m.leasesOf(at, to, most))
		}
	}
	slices.SortFunc(t.Targets, func(a, b Target) int { return cmp.Compare(a.Item, b.Item) })
	return t
}

// targetOf returns the version of an item that a member is to act on, nil if there is none.
func (m *Machine) targetOf(item string, s *MemberStatus) *Version {
	last := m.newestVersion(item)
	if last.State == StateRollingOut || last.State == StatePaused {
		// One that can't act on what is tried goes on with what is for all.
		if slices.Contains(last.Pilots, s.Member.ID) && s.Rejected[item].Number != last.Number {
			return last
		}
	}
	return m.newestComplete(item)
}

// leasesOf returns what a member whose target is a version may act on, each for most at the longest.
func (m *Machine) leasesOf(at time.Duration, to *Version, most time.Duration) Target {
	g := Target{
		Item:        to.Item,
		Ref:         Ref{to.Number, to.Digest, to.Size},
		EffectiveIn: max(0, to.EffectiveFrom-at),
		Leases:      map[uint64]time.Duration{},
	}
	for _, v := range m.items[to.Item] {
		if !v.usableAt(at) {
			continue
		}
		if v.Number < to.Number {
			g.Overlapping = append(g.Overlapping, Ref{v.Number, v.Digest, v.Size})
		}
		switch {
		case v.State == StateWithdrawn || v.Number > to.Number:
		case v.ExpiresAt == 0:
			g.Leases[v.Number] = most
		default:
			g.Leases[v.Number] = min(most, m.config.lessDrift(v.ExpiresAt-at))
		}
	}
	return g
}
