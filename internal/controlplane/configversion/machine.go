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

// Fence rejects a command that was sent under an old term of a role.
type Fence interface {
	Fence(role string, term uint64, who lease.Member) error
}

// Bounds of what is kept.
const (
	maxVersionsPerItem = 256
	maxHeadsPerGateway = 64 // one for each incarnation
	maxForks           = 256
)

// Machine is the versions as a part of the replicated state. Times are the fleet's.
type Machine struct {
	config  Config
	fence   Fence
	items   map[string][]*Version // the oldest first
	members map[lease.Member]*MemberStatus
	fenced  map[string]FencedGateway   // by id
	heads   map[string][]auditlog.Head // by id, the newest incarnation last
	forks   []auditlog.Violation
	seq     uint64 // commands that were carried out; part of the state
}

// NewMachine returns a machine without versions. The fence says which process is the rollout
// controller; it has to be a part of the same replicated state.
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

// Apply carries out the Command in a body and returns a Result, both as JSON.
func (m *Machine) Apply(at time.Duration, _ uint64, who lease.Member, body []byte) []byte {
	number, err := m.decodeAndExecute(at, who, body)
	if err != nil {
		return mustjson.Marshal(Result{Why: err.Error(), Number: number})
	}
	m.expireSuperseded(at)
	m.seq++
	return mustjson.Marshal(Result{OK: true, Number: number})
}

func (m *Machine) decodeAndExecute(at time.Duration, who lease.Member, body []byte) (uint64,
	error) {
	var c Command
	if json.Unmarshal(body, &c) != nil {
		return 0, ErrInvalidCommand
	}
	m.dropExpiredMembers(at)
	return m.execute(at, who, &c)
}

// execute carries out a command. The number is that of the version that it made, if it made one.
func (m *Machine) execute(at time.Duration, who lease.Member, c *Command) (number uint64,
	err error) {
	if c.Term != 0 {
		if err := m.fence.Fence(Role, c.Term, who); err != nil {
			return 0, err
		}
	}
	switch c.Kind {
	case KindEnrol:
		m.enrol(at, who, c)
		return 0, nil
	case KindLeave:
		delete(m.members, who)
		return 0, nil
	case KindReport:
		return 0, m.report(at, who, c)
	case KindReportHead:
		return 0, m.recordHead(who, c.Head)
	case KindPropose:
		return m.propose(at, who, c)
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
	return m.executeOnVersion(at, who, c)
}

// executeOnVersion carries out a command about one version.
func (m *Machine) executeOnVersion(at time.Duration, who lease.Member, c *Command) (number uint64,
	err error) {
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
		return m.withdraw(at, who, v, c)
	}
	return 0, ErrInvalidCommand
}

// enrol counts a process as a possible holder of leases, and its earlier incarnations as ended.
func (m *Machine) enrol(at time.Duration, who lease.Member, c *Command) {
	s := m.members[who]
	if s == nil {
		s = &MemberStatus{Member: who, Since: at, InForce: map[string]uint64{},
			Rejected: map[string]Rejection{}}
		m.members[who] = s
	}
	s.EnrolledUntil = at + m.config.EnrolmentTTL
	for _, incarnation := range c.EndedIncarnations {
		if incarnation != who.Incarnation {
			delete(m.members, lease.Member{ID: who.ID, Incarnation: incarnation})
		}
	}
}

// report takes in that a version is in force at a process, or that the process can't apply it.
func (m *Machine) report(at time.Duration, who lease.Member, c *Command) error {
	s := m.members[who]
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
	if s.Rejected[c.Item].Number <= c.Number { // a report of an older version revokes no rejection
		delete(s.Rejected, c.Item)
	}
	return nil
}

// version returns a version, nil if it is not kept.
func (m *Machine) version(item string, number uint64) *Version {
	for _, v := range m.items[item] {
		if v.Number == number {
			return v
		}
	}
	return nil
}

// newestVersion returns the last version of an item, nil if there is none.
func (m *Machine) newestVersion(item string) *Version {
	all := m.items[item]
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1]
}

// newestComplete returns the last version of an item whose rollout is complete, nil if there is
// none.
func (m *Machine) newestComplete(item string) *Version {
	for _, v := range slices.Backward(m.items[item]) {
		if v.State == StateComplete {
			return v
		}
	}
	return nil
}

// recordHead takes in the head of a process's audit log. A process that reports another hash for
// the same entry, or an earlier entry, has forked its log.
func (m *Machine) recordHead(who lease.Member, head *auditlog.Head) error {
	switch {
	case head == nil, head.ID != who.ID, !digestPattern.MatchString(head.Hash):
		return ErrInvalidCommand
	case head.Incarnation != strconv.FormatUint(who.Incarnation, 16):
		return ErrInvalidCommand
	}
	all := m.heads[who.ID]
	i := slices.IndexFunc(all,
		func(h auditlog.Head) bool { return h.Incarnation == head.Incarnation })
	if i < 0 {
		all = append(all, *head)
		m.heads[who.ID] = all[max(0, len(all)-maxHeadsPerGateway):]
		return nil
	}
	if head.Seq < all[i].Seq || head.Seq == all[i].Seq && head.Hash != all[i].Hash {
		m.forks = append(m.forks, auditlog.Violation{
			ID:          head.ID,
			Incarnation: head.Incarnation,
			Seq:         head.Seq,
			What:        fmt.Sprintf("its process reported entry %d before", all[i].Seq),
		})
		m.forks = m.forks[max(0, len(m.forks)-maxForks):]
		return nil // the fork is recorded, and the head stays
	}
	all[i] = *head
	return nil
}

// dropExpiredMembers drops the processes whose leases have expired.
func (m *Machine) dropExpiredMembers(at time.Duration) {
	for who, s := range m.members {
		if at >= s.EnrolledUntil {
			delete(m.members, who)
		}
	}
}
