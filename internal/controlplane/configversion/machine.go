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

// Fence refuses a command under an old term of a duty.
type Fence interface {
	Fence(duty string, term uint64, who lease.Member) error
}

const (
	maxVersionsPerItem = 256 // kept of an item
	maxHeadsPerGateway = 64  // boots kept of an id
	maxForks           = 256
)

// Machine is the versions as a part of the agreed state.
type Machine struct {
	config  Config
	fence   Fence
	items   map[string][]*Version // the oldest first
	members map[lease.Member]*MemberStatus
	fenced  map[string]FencedGateway
	heads   map[string][]auditlog.Head // by id, the newest boot last
	forks   []auditlog.Violation
	seq     uint64 // commands taken in; a part of the state
}

// NewMachine makes a machine that asks a table of duties, of the same agreed state, who guides.
func NewMachine(r Config, f Fence) *Machine {
	return &Machine{config: r, fence: f, items: map[string][]*Version{}, members: map[lease.Member]*MemberStatus{}, fenced: map[string]FencedGateway{},
		heads: map[string][]auditlog.Head{}}
}

// Apply carries out the Op in a body and returns a Result, both as JSON.
func (m *Machine) Apply(at time.Duration, _ uint64, who lease.Member, body []byte) []byte {
	var op Command
	err := json.Unmarshal(body, &op)
	if err != nil {
		err = ErrInvalidCommand
	}
	r := Result{}
	if err == nil {
		m.dropExpiredMembers(at)
		r.Number, err = m.execute(at, who, &op)
	}
	if err == nil {
		m.expireSuperseded(at)
		m.seq++
		r.OK = true
	} else {
		r.Why = err.Error()
	}
	return mustjson.Marshal(r)
}

// execute carries an Op out. The number is that of the version that it made, if it made one.
func (m *Machine) execute(at time.Duration, who lease.Member, op *Command) (number uint64, err error) {
	if op.Term != 0 {
		if err := m.fence.Fence(Role, op.Term, who); err != nil {
			return 0, err
		}
	}
	switch op.Kind {
	case "here":
		m.enrol(at, who, op)
		return 0, nil
	case "left":
		delete(m.members, who)
		return 0, nil
	case "report":
		return 0, m.report(at, who, op)
	case "head":
		return 0, m.recordHead(who, op.Head)
	case "propose":
		return m.propose(at, who, op)
	case "shut":
		if op.ID == "" {
			return 0, ErrInvalidCommand
		}
		m.fenced[op.ID] = FencedGateway{op.ID, at, truncateReason(op.Why)}
		return 0, nil
	case "let":
		delete(m.fenced, op.ID)
		return 0, nil
	}
	v := m.version(op.Item, op.Number)
	if v == nil {
		return 0, unknownVersionError(op.Item, op.Number)
	}
	switch op.Kind {
	case "go-on":
		return 0, m.advanceStage(at, v, op)
	case "hold":
		if v.State != StateRollingOut {
			return 0, fmt.Errorf("versions: %s %d is %s", v.Item, v.Number, v.State)
		}
		v.State, v.Why = StatePaused, truncateReason(op.Why)
		return 0, nil
	case "withdraw":
		return m.withdraw(at, who, v, op)
	}
	return 0, ErrInvalidCommand
}

// enrol counts a process as one that may hold permits, and its earlier boots as gone.
func (m *Machine) enrol(at time.Duration, who lease.Member, op *Command) {
	s := m.members[who]
	if s == nil {
		s = &MemberStatus{Member: who, Since: at, InForce: map[string]uint64{}, Rejected: map[string]Rejection{}}
		m.members[who] = s
	}
	s.EnrolledUntil = at + m.config.EnrolmentTTL
	for _, boot := range op.EndedIncarnations {
		if boot != who.Incarnation {
			delete(m.members, lease.Member{ID: who.ID, Incarnation: boot})
		}
	}
}

// report takes in that a version is in force at a process, or that the process can't act on it.
func (m *Machine) report(at time.Duration, who lease.Member, op *Command) error {
	s := m.members[who]
	if s == nil || m.version(op.Item, op.Number) == nil {
		return unknownVersionError(op.Item, op.Number)
	}
	if op.Rejected {
		s.Rejected[op.Item] = Rejection{op.Number, truncateReason(op.Why)}
		return nil
	}
	if op.Number < s.InForce[op.Item] {
		return nil
	}
	s.InForce[op.Item], s.ReportedAt = op.Number, at
	if s.Rejected[op.Item].Number <= op.Number { // a report about an older version takes no refusal back
		delete(s.Rejected, op.Item)
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
	if all := m.items[item]; len(all) > 0 {
		return all[len(all)-1]
	}
	return nil
}

// newestComplete returns the last version of an item whose roll-out has reached all, nil if there is none.
func (m *Machine) newestComplete(item string) *Version {
	all := m.items[item]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].State == StateComplete {
			return all[i]
		}
	}
	return nil
}

// recordHead takes in where a record stands. A process that names another hash for the same entry, or goes back, has told two stories.
func (m *Machine) recordHead(who lease.Member, h *auditlog.Head) error {
	if h == nil || h.ID != who.ID || h.Incarnation != strconv.FormatUint(who.Incarnation, 16) || !digestPattern.MatchString(h.Hash) {
		return ErrInvalidCommand
	}
	all := m.heads[who.ID]
	i := slices.IndexFunc(all, func(o auditlog.Head) bool { return o.Incarnation == h.Incarnation })
	if i < 0 {
		all = append(all, *h)
		m.heads[who.ID] = all[max(0, len(all)-maxHeadsPerGateway):]
		return nil
	}
	if h.Seq < all[i].Seq || h.Seq == all[i].Seq && h.Hash != all[i].Hash {
		m.forks = append(m.forks, auditlog.Violation{ID: h.ID, Incarnation: h.Incarnation, Seq: h.Seq, What: fmt.Sprintf("its process told of entry %d before", all[i].Seq)})
		m.forks = m.forks[max(0, len(m.forks)-maxForks):]
		return nil // it is on record
	}
	all[i] = *h
	return nil
}

// dropExpiredMembers drops processes whose permits are over.
func (m *Machine) dropExpiredMembers(at time.Duration) {
	for who, s := range m.members {
		if at >= s.EnrolledUntil {
			delete(m.members, who)
		}
	}
}
