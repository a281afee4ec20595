package configversion

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// Fence rejects commands that were sent under an outdated term of a role.
type Fence interface {
	// Fence returns an error unless member holds the role and term is its newest term.
	Fence(role string, term uint64, member lease.Member) error
}

// Limits of what the state retains.
const (
	maxVersionsPerItem = 256
	maxHeadsPerGateway = 64 // one for each incarnation
	maxForks           = 256
)

// Machine is the state machine of configuration versions. Times are by the fleet's clock.
type Machine struct {
	config  Config
	fence   Fence
	items   map[string][]*Version // by item, the oldest first
	members map[lease.Member]*MemberStatus
	fenced  map[string]FencedGateway   // by id
	heads   map[string][]auditlog.Head // by id, the newest incarnation last
	forks   []auditlog.Violation
	seq     uint64 // number of commands executed successfully; part of the state
}

// NewMachine returns a machine without versions. The fence checks which process is the rollout
// controller; it must be part of the same replicated state.
func NewMachine(c Config, f Fence) *Machine {
	return &Machine{
		config:  c,
		fence:   f,
		items:   map[string][]*Version{},
		members: map[lease.Member]*MemberStatus{},
		fenced:  map[string]FencedGateway{},
		heads:   map[string][]auditlog.Head{},
	}
}

// Apply executes the Command in the body and returns a Result, both as JSON.
func (m *Machine) Apply(at time.Duration, _ uint64, member lease.Member, body []byte) []byte {
	number, err := m.decodeAndExecute(at, member, body)
	if err != nil {
		return mustjson.Marshal(Result{Why: err.Error(), Number: number})
	}
	m.expireSuperseded(at)
	m.seq++
	return mustjson.Marshal(Result{OK: true, Number: number})
}

func (m *Machine) decodeAndExecute(at time.Duration, member lease.Member, body []byte) (uint64,
	error) {
	var c Command
	if json.Unmarshal(body, &c) != nil {
		return 0, ErrInvalidCommand
	}
	m.dropExpiredMembers(at)
	return m.execute(at, member, &c)
}

// execute executes a command. number is that of the version that the command created, 0 if it
// created none.
func (m *Machine) execute(at time.Duration, member lease.Member, c *Command) (number uint64,
	err error) {
	if c.Term != 0 {
		if err := m.fence.Fence(Role, c.Term, member); err != nil {
			return 0, err
		}
	}
	switch c.Kind {
	case KindEnrol:
		m.enrol(at, member, c)
		return 0, nil
	case KindLeave:
		delete(m.members, member)
		return 0, nil
	case KindReport:
		return 0, m.report(at, member, c)
	case KindReportHead:
		return 0, m.recordHead(member, c.Head)
	case KindPropose:
		return m.propose(at, member, c)
	case KindFence:
		if c.ID == "" {
			return 0, ErrInvalidCommand
		}
		m.fenced[c.ID] = FencedGateway{c.ID, at, truncateReason(c.Why)}
		return 0, nil
	case KindReadmit:
		delete(m.fenced, c.ID)
		return 0, nil
	}
	return m.executeOnVersion(at, member, c)
}

// executeOnVersion executes a command that concerns one version.
func (m *Machine) executeOnVersion(at time.Duration, member lease.Member, c *Command) (
	number uint64, err error,
) {
	v := m.version(c.Item, c.Number)
	if v == nil {
		return 0, unknownVersionError(c.Item, c.Number)
	}
	switch c.Kind {
	case KindAdvance:
		return 0, m.advanceStage(at, v, c)
	case KindPause:
		if v.State != StateRollingOut {
			return 0, wrongStateError(v)
		}
		v.State = StatePaused
		v.Why = truncateReason(c.Why)
		return 0, nil
	case KindWithdraw:
		return m.withdraw(at, member, v, c)
	}
	return 0, ErrInvalidCommand
}

// enrol records a process as a possible holder of leases, and drops its ended incarnations.
func (m *Machine) enrol(at time.Duration, member lease.Member, c *Command) {
	s := m.members[member]
	if s == nil {
		s = &MemberStatus{Member: member, Since: at, InForce: map[string]uint64{},
			Rejected: map[string]Rejection{}}
		m.members[member] = s
	}
	s.EnrolledUntil = at + m.config.EnrolmentTTL
	for _, incarnation := range c.EndedIncarnations {
		if incarnation != member.Incarnation {
			delete(m.members, lease.Member{ID: member.ID, Incarnation: incarnation})
		}
	}
}

// report records that a process has a version in force, or that it can't apply the version.
func (m *Machine) report(at time.Duration, member lease.Member, c *Command) error {
	s := m.members[member]
	if s == nil || m.version(c.Item, c.Number) == nil {
		return unknownVersionError(c.Item, c.Number)
	}
	if c.Rejected {
		s.Rejected[c.Item] = Rejection{c.Number, truncateReason(c.Why)}
		return nil
	}
	if c.Number < s.InForce[c.Item] {
		return nil
	}
	s.InForce[c.Item] = c.Number
	s.ReportedAt = at
	// A report of an older version does not revoke a rejection.
	if s.Rejected[c.Item].Number <= c.Number {
		delete(s.Rejected, c.Item)
	}
	return nil
}

// version returns a version, nil if it is unknown or no longer retained.
func (m *Machine) version(item string, number uint64) *Version {
	for _, v := range m.items[item] {
		if v.Number == number {
			return v
		}
	}
	return nil
}

// newestVersion returns the newest version of an item, nil if there is none.
func (m *Machine) newestVersion(item string) *Version {
	versions := m.items[item]
	if len(versions) == 0 {
		return nil
	}
	return versions[len(versions)-1]
}

// newestComplete returns the newest version of an item whose rollout is complete, nil if there is
// none.
func (m *Machine) newestComplete(item string) *Version {
	for _, v := range slices.Backward(m.items[item]) {
		if v.State == StateComplete {
			return v
		}
	}
	return nil
}

// recordHead records the head of a process's audit log. A process that reports a different hash for
// the same entry, or an earlier entry, has forked its log.
func (m *Machine) recordHead(member lease.Member, head *auditlog.Head) error {
	switch {
	case head == nil, head.ID != member.ID, !digestPattern.MatchString(head.Hash):
		return ErrInvalidCommand
	case head.Incarnation != strconv.FormatUint(member.Incarnation, 16):
		return ErrInvalidCommand
	}
	heads := m.heads[member.ID]
	i := slices.IndexFunc(heads,
		func(h auditlog.Head) bool { return h.Incarnation == head.Incarnation })
	if i < 0 {
		heads = append(heads, *head)
		m.heads[member.ID] = heads[max(0, len(heads)-maxHeadsPerGateway):]
		return nil
	}
	if head.Seq < heads[i].Seq || head.Seq == heads[i].Seq && head.Hash != heads[i].Hash {
		m.forks = append(m.forks, auditlog.Violation{
			ID:          head.ID,
			Incarnation: head.Incarnation,
			Seq:         head.Seq,
			What:        fmt.Sprintf("its process reported entry %d before", heads[i].Seq),
		})
		m.forks = m.forks[max(0, len(m.forks)-maxForks):]
		return nil // the fork is recorded; the earlier head is kept
	}
	heads[i] = *head
	return nil
}

// dropExpiredMembers drops the processes whose enrolments, and thus all their leases, have expired.
func (m *Machine) dropExpiredMembers(at time.Duration) {
	for member, s := range m.members {
		if at >= s.EnrolledUntil {
			delete(m.members, member)
		}
	}
}
