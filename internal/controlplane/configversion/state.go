package configversion

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// MemberStatus is a process that may hold permits.
type MemberStatus struct {
	Member        lease.Member  `json:"member"`
	Since         time.Duration `json:"since"`
	EnrolledUntil time.Duration `json:"until"` // its permits are over by then
	// InForce is by item what it said it acts on; Refused what it said it can't act on, and why.
	InForce    map[string]uint64    `json:"in_force,omitempty"`
	ReportedAt time.Duration        `json:"at"` // when it last said so
	Rejected   map[string]Rejection `json:"refused,omitempty"`
}

// Rejection is a version that a gateway can't act on.
type Rejection struct {
	Number uint64 `json:"number"`
	Why    string `json:"why"`
}

// FencedGateway is a gateway that was shut out by hand, or because its record does not hold.
type FencedGateway struct {
	ID  string        `json:"id"`
	At  time.Duration `json:"at"`
	Why string        `json:"why"`
}

// View is the whole state. Versions are sorted by item, then the oldest first.
type View struct {
	At       time.Duration   `json:"at"`
	Seq      uint64          `json:"seq"` // commands taken in
	Versions []Version       `json:"versions"`
	Members  []MemberStatus  `json:"members"`
	Fenced   []FencedGateway `json:"shut"`
	// Heads are where records stand, by their processes' own word, and Forks where a process told two stories.
	Heads []auditlog.Head      `json:"heads"`
	Forks []auditlog.Violation `json:"forks"`
}

// View returns all that is agreed, sorted, so that the same state gives the same View.
func (m *Machine) View(at time.Duration) View {
	v := View{At: at, Seq: m.seq, Versions: []Version{}, Members: []MemberStatus{}, Fenced: []FencedGateway{}}
	for _, all := range m.items {
		for _, one := range all {
			v.Versions = append(v.Versions, *one)
		}
	}
	slices.SortFunc(v.Versions, func(a, b Version) int {
		return cmp.Or(cmp.Compare(a.Item, b.Item), cmp.Compare(a.Number, b.Number))
	})
	for _, s := range m.members {
		v.Members = append(v.Members, *s)
	}
	slices.SortFunc(v.Members, func(a, b MemberStatus) int {
		return cmp.Or(cmp.Compare(a.Member.ID, b.Member.ID), cmp.Compare(a.Member.Incarnation, b.Member.Incarnation))
	})
	for _, s := range m.fenced {
		v.Fenced = append(v.Fenced, s)
	}
	slices.SortFunc(v.Fenced, func(a, b FencedGateway) int { return cmp.Compare(a.ID, b.ID) })
	v.Heads, v.Forks = []auditlog.Head{}, slices.Clone(m.forks)
	for _, id := range slices.Sorted(maps.Keys(m.heads)) {
		v.Heads = append(v.Heads, m.heads[id]...)
	}
	return v
}

// Snapshot returns the state as JSON, the same bytes for the same state.
func (m *Machine) Snapshot() []byte { return mustjson.Marshal(m.View(0)) }

// Restore replaces the state by what Snapshot returned.
func (m *Machine) Restore(raw []byte) error {
	var v View
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	n := NewMachine(m.config, m.fence)
	for _, one := range v.Versions {
		n.items[one.Item] = append(n.items[one.Item], &one)
	}
	for _, s := range v.Members {
		if s.InForce == nil {
			s.InForce = map[string]uint64{}
		}
		if s.Rejected == nil {
			s.Rejected = map[string]Rejection{}
		}
		n.members[s.Member] = &s
	}
	for _, s := range v.Fenced {
		n.fenced[s.ID] = s
	}
	for _, h := range v.Heads {
		n.heads[h.ID] = append(n.heads[h.ID], h)
	}
	n.forks = v.Forks
	n.seq = v.Seq
	*m = *n
	return nil
}
