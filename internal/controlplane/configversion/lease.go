package configversion

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// Target is the version of an item that one gateway is to operate under.
type Target struct {
	Item string `json:"item"`
	Ref
	EffectiveIn time.Duration `json:"in"` // time until the version is effective

	// Overlapping are earlier versions that another gateway may still operate under. A gateway that
	// operates under the target applies their terms as well.
	Overlapping []Ref `json:"beside,omitempty"`

	// Leases maps the numbers of the versions that the gateway may operate under to durations,
	// which count from its request. They are the target, and other versions until it has the target
	// in force.
	Leases map[uint64]time.Duration `json:"may"`
}

// LeaseResponse is the response to the lease request of a gateway.
type LeaseResponse struct {
	At           time.Duration `json:"at"`              // by the fleet's clock
	Seq          uint64        `json:"seq"`             // of the state that the response is from
	MustEnrol    bool          `json:"enrol,omitempty"` // the enrolment is unknown, or expires soon
	FencedReason string        `json:"out,omitempty"`   // why there are no leases; "" if there are
	Targets      []Target      `json:"target"`
}

// Query returns the LeaseResponse for the lease.Member in the body, or a View if the body is empty.
// All of them are JSON.
func (m *Machine) Query(at time.Duration, body []byte) []byte {
	if len(body) == 0 {
		return mustjson.Marshal(m.View(at))
	}
	var member lease.Member
	if json.Unmarshal(body, &member) != nil {
		return mustjson.Marshal(LeaseResponse{At: at, FencedReason: ErrInvalidCommand.Error()})
	}
	return mustjson.Marshal(m.LeaseFor(at, member))
}

// LeaseFor returns the versions that a member may operate under at a time of the fleet's clock.
func (m *Machine) LeaseFor(at time.Duration, member lease.Member) LeaseResponse {
	r := LeaseResponse{At: at, Seq: m.seq, Targets: []Target{}}
	s := m.members[member]
	if s == nil || at >= s.EnrolledUntil {
		r.MustEnrol = true
		r.FencedReason = "not enrolled"
		return r
	}
	r.MustEnrol = s.EnrolledUntil-at < m.config.EnrolmentTTL/2
	if gateway, ok := m.fenced[member.ID]; ok {
		r.FencedReason = "fenced: " + gateway.Why
		return r
	}
	maxTTL := min(m.config.TTL, m.config.minusDrift(s.EnrolledUntil-at))
	for item := range m.items {
		if v := m.targetOf(item, s); v != nil {
			r.Targets = append(r.Targets, m.leasesOf(at, v, maxTTL))
		}
	}
	slices.SortFunc(r.Targets, func(a, b Target) int { return cmp.Compare(a.Item, b.Item) })
	return r
}

// targetOf returns the target version of an item for a member, nil if there is none.
func (m *Machine) targetOf(item string, s *MemberStatus) *Version {
	newest := m.newestVersion(item)
	pilot := newest.inRollout() && slices.Contains(newest.Pilots, s.Member.ID)
	// A pilot that can't apply the version keeps the one whose rollout is complete.
	if pilot && s.Rejected[item].Number != newest.Number {
		return newest
	}
	return m.newestComplete(item)
}

// leasesOf returns the target and leases of a member, with a TTL of at most maxTTL for each
// version.
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
			t.Leases[v.Number] = min(maxTTL, m.config.minusDrift(v.ExpiresAt-at))
		}
	}
	return t
}
