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
	versionsMost = 256 // kept of an item
	headsMost    = 64  // boots kept of an id
	forksMost    = 256
)

// Machine is the versions as a part of the agreed state.
type Machine struct {
	rules   Rules
	fence   Fence
	items   map[string][]*Version // the oldest first
	members map[lease.Member]*Standing
	shut    map[string]Shut
	heads   map[string][]auditlog.Head // by id, the newest boot last
	forks   []auditlog.Damage
	seq     uint64 // commands taken in; a part of the state
}

// NewMachine makes a machine that asks a table of duties, of the same agreed state, who guides.
func NewMachine(r Rules, f Fence) *Machine {
	return &Machine{rules: r, fence: f, items: map[string][]*Version{}, members: map[lease.Member]*Standing{}, shut: map[string]Shut{},
		heads: map[string][]auditlog.Head{}}
}

// Apply carries out the Op in a body and returns a Result, both as JSON.
func (m *Machine) Apply(at time.Duration, _ uint64, who lease.Member, body []byte) []byte {
	var op Op
	err := json.Unmarshal(body, &op)
	if err != nil {
		err = ErrBad
	}
	r := Result{}
	if err == nil {
		m.forget(at)
		r.Number, err = m.take(at, who, &op)
	}
	if err == nil {
		m.settle(at)
		m.seq++
		r.OK = true
	} else {
		r.Why = err.Error()
	}
	return mustjson.Marshal(r)
}

// take carries an Op out. The number is that of the version that it made, if it made one.
func (m *Machine) take(at time.Duration, who lease.Member, op *Op) (number uint64, err error) {
	if op.Term != 0 {
		if err := m.fence.Fence(Role, op.Term, who); err != nil {
			return 0, err
		}
	}
	switch op.Do {
	case "here":
		m.enrol(at, who, op)
		return 0, nil
	case "left":
		delete(m.members, who)
		return 0, nil
	case "report":
		return 0, m.report(at, who, op)
	case "head":
		return 0, m.head(who, op.Head)
	case "propose":
		return m.propose(at, who, op)
	case "shut":
		if op.ID == "" {
			return 0, ErrBad
		}
		m.shut[op.ID] = Shut{op.ID, at, cut(op.Why)}
		return 0, nil
	case "let":
		delete(m.shut, op.ID)
		return 0, nil
	}
	v := m.find(op.Item, op.Number)
	if v == nil {
		return 0, unknown(op.Item, op.Number)
	}
	switch op.Do {
	case "go-on":
		return 0, m.goOn(at, v, op)
	case "hold":
		if v.State != Rolling {
			return 0, fmt.Errorf("versions: %s %d is %s", v.Item, v.Number, v.State)
		}
		v.State, v.Why = Held, cut(op.Why)
		return 0, nil
	case "withdraw":
		return m.withdraw(at, who, v, op)
	}
	return 0, ErrBad
}

// enrol counts a process as one that may hold permits, and its earlier boots as gone.
func (m *Machine) enrol(at time.Duration, who lease.Member, op *Op) {
	s := m.members[who]
	if s == nil {
		s = &Standing{Member: who, Since: at, InForce: map[string]uint64{}, Refused: map[string]Refusal{}}
		m.members[who] = s
	}
	s.Until = at + m.rules.Enrol
	for _, boot := range op.Gone {
		if boot != who.Incarnation {
			delete(m.members, lease.Member{ID: who.ID, Incarnation: boot})
		}
	}
}

// report takes in that a version is in force at a process, or that the process can't act on it.
func (m *Machine) report(at time.Duration, who lease.Member, op *Op) error {
	s := m.members[who]
	if s == nil || m.find(op.Item, op.Number) == nil {
		return unknown(op.Item, op.Number)
	}
	if op.Refused {
		s.Refused[op.Item] = Refusal{op.Number, cut(op.Why)}
		return nil
	}
	if op.Number < s.InForce[op.Item] {
		return nil
	}
	s.InForce[op.Item], s.At = op.Number, at
	if s.Refused[op.Item].Number <= op.Number { // a report about an older version takes no refusal back
		delete(s.Refused, op.Item)
	}
	return nil
}

// find returns a version, nil if it is not kept.
func (m *Machine) find(item string, number uint64) *Version {
	for _, v := range m.items[item] {
		if v.Number == number {
			return v
		}
	}
	return nil
}

// newest returns the last version of an item, nil if there is none.
func (m *Machine) newest(item string) *Version {
	if all := m.items[item]; len(all) > 0 {
		return all[len(all)-1]
	}
	return nil
}

// whole returns the last version of an item whose roll-out has reached all, nil if there is none.
func (m *Machine) whole(item string) *Version {
	all := m.items[item]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].State == Whole {
			return all[i]
		}
	}
	return nil
}

// head takes in where a record stands. A process that names another hash for the same entry, or goes back, has told two stories.
func (m *Machine) head(who lease.Member, h *auditlog.Head) error {
	if h == nil || h.ID != who.ID || h.Incarnation != strconv.FormatUint(who.Incarnation, 16) || !digest.MatchString(h.Hash) {
		return ErrBad
	}
	all := m.heads[who.ID]
	i := slices.IndexFunc(all, func(o auditlog.Head) bool { return o.Incarnation == h.Incarnation })
	if i < 0 {
		all = append(all, *h)
		m.heads[who.ID] = all[max(0, len(all)-headsMost):]
		return nil
	}
	if h.Seq < all[i].Seq || h.Seq == all[i].Seq && h.Hash != all[i].Hash {
		m.forks = append(m.forks, auditlog.Damage{ID: h.ID, Incarnation: h.Incarnation, Seq: h.Seq, What: fmt.Sprintf("its process told of entry %d before", all[i].Seq)})
		m.forks = m.forks[max(0, len(m.forks)-forksMost):]
		return nil // it is on record
	}
	all[i] = *h
	return nil
}

// forget drops processes whose permits are over.
func (m *Machine) forget(at time.Duration) {
	for who, s := range m.members {
		if at >= s.Until {
			delete(m.members, who)
		}
	}
}
