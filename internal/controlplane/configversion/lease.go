package configversion

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// Target is what one gateway is to operate under for an item.
type Target struct {
	Item string `json:"item"`
	Ref
	EffectiveIn time.Duration `json:"in"` // time until the version is effective

	// Overlapping are earlier versions that another gateway may still operate under. A gateway that
	// operates under the target keeps to their terms as well.
	Overlapping []Ref `json:"beside,omitempty"`

	// Leases has the versions that the gateway may operate under, by number, and for how long from
	// its request: the target, and others until it has the target in force.
	Leases map[uint64]time.Duration `json:"may"`
}

// LeaseResponse is the response to a gateway's lease request.
type LeaseResponse struct {
	At           time.Duration `json:"at"`              // the fleet's time
	Seq          uint64        `json:"seq"`             // of the state that it is from
	MustEnrol    bool          `json:"enrol,omitempty"` // the enrolment is unknown, or expires soon
	FencedReason string        `json:"out,omitempty"`   // why there are no leases; "": there are
	Targets      []Target      `json:"target"`
}

// Query returns the LeaseResponse for the member in the body. Without a body it returns a View.
// Both are JSON.
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

// LeaseFor returns what a member may operate under at a time of the fleet.
func (m *Machine) LeaseFor(at time.Duration, who lease.Member) LeaseResponse {
	r := LeaseResponse{At: at, Seq: m.seq, Targets: []Target{}}
	s := m.members[who]
	if s == nil || at >= s.EnrolledUntil {
		r.MustEnrol = true
		r.FencedReason = "not enrolled"
		return r
	}
	r.MustEnrol = s.EnrolledUntil-at < m.config.EnrolmentTTL/2
	if gateway, ok := m.fenced[who.ID]; ok {
		r.FencedReason = "fenced: " + gateway.Why
		return r
	}
	maxTTL := min(m.config.TTL, m.config.lessDrift(s.EnrolledUntil-at))
	for item := range m.items {
		if v := m.targetOf(item, s); v != nil {
			r.Targets = append(r.Targets, m.leasesOf(at, v, maxTTL))
		}
	}
	slices.SortFunc(r.Targets, func(a, b Target) int { return cmp.Compare(a.Item, b.Item) })
	return r
}

// targetOf returns the version of an item that a member is to operate under, nil if there is none.
func (m *Machine) targetOf(item string, s *MemberStatus) *Version {
	newest := m.newestVersion(item)
	pilot := newest.inRollout() && slices.Contains(newest.Pilots, s.Member.ID)
	// A pilot that can't apply the version stays with the one that is for all.
	if pilot && s.Rejected[item].Number != newest.Number {
		return newest
	}
	return m.newestComplete(item)
}

// leasesOf returns what a member with a target may operate under, each version for maxTTL at most.
func (m *Machine) leasesOf(at time.Duration, target *Version, maxTTL time.Duration) Target {
	t := Target{
		Item:        target.Item,
		Ref:         target.ref(),
		EffectiveIn: max(0, target.EffectiveFrom-at),
		Leases:      map[uint64]time.Duration{},
	}
	for _, v := range m.items[target.Item] {
		if !v.usableAt(at) {
			continue
		}
		if v.Number < target.Number {
			t.Overlapping = append(t.Overlapping, v.ref())
		}
		switch {
		case v.State == StateWithdrawn || v.Number > target.Number:
		case v.ExpiresAt == 0:
			t.Leases[v.Number] = maxTTL
		default:
			t.Leases[v.Number] = min(maxTTL, m.config.lessDrift(v.ExpiresAt-at))
		}
	}
	return t
}
