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

// MemberStatus describes a process that may hold leases.
type MemberStatus struct {
	Member        lease.Member  `json:"member"`
	Since         time.Duration `json:"since"` // when it enrolled
	EnrolledUntil time.Duration `json:"until"` // all its leases expire by then

	// InForce has the version numbers that it reported as in force, by item.
	InForce    map[string]uint64    `json:"in_force,omitempty"`
	ReportedAt time.Duration        `json:"at"`                // time of its last such report
	Rejected   map[string]Rejection `json:"refused,omitempty"` // by item
}

// Rejection is a version that a gateway can't apply.
type Rejection struct {
	Number uint64 `json:"number"`
	Why    string `json:"why"`
}

// FencedGateway is a gateway that was fenced by a command, at an operator's discretion or because
// its audit log is invalid.
type FencedGateway struct {
	ID  string        `json:"id"`
	At  time.Duration `json:"at"`
	Why string        `json:"why"`
}

// View is the whole state. Versions are sorted by item and then by number.
type View struct {
	At       time.Duration   `json:"at"`
	Seq      uint64          `json:"seq"` // number of commands executed successfully
	Versions []Version       `json:"versions"`
	Members  []MemberStatus  `json:"members"`
	Fenced   []FencedGateway `json:"shut"`

	// Heads are the heads of audit logs as their processes reported them. Forks are the places
	// where a process reported two different logs.
	Heads []auditlog.Head      `json:"heads"`
	Forks []auditlog.Violation `json:"forks"`
}

// View returns the whole state, sorted so that equal states have equal views.
func (m *Machine) View(at time.Duration) View {
	v := View{
		At:       at,
		Seq:      m.seq,
		Versions: []Version{},
		Members:  []MemberStatus{},
		Fenced:   []FencedGateway{},
		Heads:    []auditlog.Head{},
		Forks:    slices.Clone(m.forks),
	}
	for _, versions := range m.items {
		for _, version := range versions {
			v.Versions = append(v.Versions, *version)
		}
	}
	slices.SortFunc(v.Versions, func(a, b Version) int {
		return cmp.Or(cmp.Compare(a.Item, b.Item), cmp.Compare(a.Number, b.Number))
	})
	for _, s := range m.members {
		v.Members = append(v.Members, *s)
	}
	slices.SortFunc(v.Members, func(a, b MemberStatus) int {
		return compareMembers(a.Member, b.Member)
	})
	for _, id := range slices.Sorted(maps.Keys(m.fenced)) {
		v.Fenced = append(v.Fenced, m.fenced[id])
	}
	for _, id := range slices.Sorted(maps.Keys(m.heads)) {
		v.Heads = append(v.Heads, m.heads[id]...)
	}
	return v
}

func compareMembers(a, b lease.Member) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Snapshot returns the state as JSON. Equal states have equal bytes.
func (m *Machine) Snapshot() []byte { return mustjson.Marshal(m.View(0)) }

// Restore replaces the state by a result of Snapshot.
func (m *Machine) Restore(raw []byte) error {
	var v View
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	restored := NewMachine(m.config, m.fence)
	for _, version := range v.Versions {
		restored.items[version.Item] = append(restored.items[version.Item], &version)
	}
	for _, s := range v.Members {
		if s.InForce == nil {
			s.InForce = map[string]uint64{}
		}
		if s.Rejected == nil {
			s.Rejected = map[string]Rejection{}
		}
		restored.members[s.Member] = &s
	}
	for _, gateway := range v.Fenced {
		restored.fenced[gateway.ID] = gateway
	}
	for _, head := range v.Heads {
		restored.heads[head.ID] = append(restored.heads[head.ID], head)
	}
	restored.forks = v.Forks
	restored.seq = v.Seq
	*m = *restored
	return nil
}
