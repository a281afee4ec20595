package versions

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"mothcleat/chronicle"
	"mothcleat/lease"
)

// Op is one command.
type Op struct {
	// Do is here, left, report, head, propose, go-on, hold, withdraw, shut or let.
	Do     string `json:"do"`
	Item   string `json:"item,omitempty"`
	Number uint64 `json:"number,omitempty"` // of a propose: the newest that its sender knows

	Gone []uint64 `json:"gone,omitempty"` // of a here: boots of the sender's id that run no more

	Digest string        `json:"digest,omitempty"`
	Size   int64         `json:"size,omitempty"`
	Lead   time.Duration `json:"lead,omitempty"` // it holds so long after it is agreed

	Stage  Stage    `json:"stage,omitempty"`
	Pilots []string `json:"pilots,omitempty"`

	Head *chronicle.Head `json:"head,omitempty"` // where its sender's record stands

	Refused bool   `json:"refused,omitempty"` // of a report: it can't be acted on here; else it is in force
	ID      string `json:"id,omitempty"`      // of a shut or let
	Why     string `json:"why,omitempty"`

	Wall int64 `json:"wall,omitempty"` // the sender's clock, in microseconds since 1970

	// Term is the guide's, by whose word a roll-out goes on or is held; 0: a person's.
	Term uint64 `json:"term,omitempty"`
}

// Encode writes an Op.
func (o Op) Encode() []byte { return encode(o) }

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain data
	}
	return raw
}

// Result is what becomes of an Op.
type Result struct {
	OK     bool   `json:"ok"`
	Why    string `json:"why,omitempty"`
	Number uint64 `json:"number,omitempty"` // of a propose or withdraw: the new version's
}

// Standing is a process that may hold permits.
type Standing struct {
	Member lease.Member  `json:"member"`
	Since  time.Duration `json:"since"`
	Until  time.Duration `json:"until"` // its permits are over by then
	// InForce is by item what it said it acts on; Refused what it said it can't act on, and why.
	InForce map[string]uint64  `json:"in_force,omitempty"`
	At      time.Duration      `json:"at"` // when it last said so
	Refused map[string]Refusal `json:"refused,omitempty"`
}

// Refusal is a version that a gateway can't act on.
type Refusal struct {
	Number uint64 `json:"number"`
	Why    string `json:"why"`
}

// Shut is a gateway that was shut out by hand, or because its record does not hold.
type Shut struct {
	ID  string        `json:"id"`
	At  time.Duration `json:"at"`
	Why string        `json:"why"`
}

// View is all that is agreed. Versions come item by item, the oldest first.
type View struct {
	At       time.Duration `json:"at"`
	Seq      uint64        `json:"seq"` // commands taken in
	Versions []Version     `json:"versions"`
	Members  []Standing    `json:"members"`
	Shut     []Shut        `json:"shut"`
	// Heads are where records stand, by their processes' own word, and Forks where a process told two stories.
	Heads []chronicle.Head   `json:"heads"`
	Forks []chronicle.Damage `json:"forks"`
}

// Fence refuses a word under an old term.
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
	heads   map[string][]chronicle.Head // by id, the newest boot last
	forks   []chronicle.Damage
	seq     uint64 // commands taken in; a part of the state
	changes uint64 // the same, and states restored
}

// NewMachine makes a machine that asks a table of duties, of the same agreed state, who guides.
func NewMachine(r Rules, f Fence) *Machine {
	return &Machine{rules: r, fence: f, items: map[string][]*Version{}, members: map[lease.Member]*Standing{}, shut: map[string]Shut{},
		heads: map[string][]chronicle.Head{}}
}

// Apply carries an Op out and gives a Result.
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
		m.changes++
		r.OK = true
	} else {
		r.Why = err.Error()
	}
	return encode(r)
}

func (m *Machine) take(at time.Duration, who lease.Member, op *Op) (number uint64, err error) {
	if op.Term != 0 {
		if err := m.fence.Fence(Duty, op.Term, who); err != nil {
			return 0, err
		}
	}
	switch op.Do {
	case "here":
		s := m.members[who]
		if s == nil {
			s = &Standing{Member: who, Since: at, InForce: map[string]uint64{}, Refused: map[string]Refusal{}}
			m.members[who] = s
		}
		s.Until = at + m.rules.Enrol
		for _, boot := range op.Gone {
			if boot != who.Boot {
				delete(m.members, lease.Member{ID: who.ID, Boot: boot})
			}
		}
		return 0, nil
	case "left":
		delete(m.members, who)
		return 0, nil
	case "report":
		s := m.members[who]
		if s == nil || m.find(op.Item, op.Number) == nil {
			return 0, unknown(op.Item, op.Number)
		}
		if op.Refused {
			s.Refused[op.Item] = Refusal{op.Number, cut(op.Why)}
		} else if op.Number >= s.InForce[op.Item] {
			s.InForce[op.Item], s.At = op.Number, at
			if s.Refused[op.Item].Number <= op.Number { // what it says of an older one takes nothing back
				delete(s.Refused, op.Item)
			}
		}
		return 0, nil
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

func (m *Machine) find(item string, number uint64) *Version {
	for _, v := range m.items[item] {
		if v.Number == number {
			return v
		}
	}
	return nil
}

// newest is the last version of an item, and whole the last one that was for all.
func (m *Machine) newest(item string) *Version {
	if all := m.items[item]; len(all) > 0 {
		return all[len(all)-1]
	}
	return nil
}

func (m *Machine) whole(item string) *Version {
	all := m.items[item]
	for i := len(all) - 1; i >= 0; i-- {
		if all[i].State == Whole {
			return all[i]
		}
	}
	return nil
}

func (m *Machine) propose(at time.Duration, who lease.Member, op *Op) (uint64, error) {
	switch {
	case !itemName.MatchString(op.Item), !digest.MatchString(op.Digest), op.Size < 0, op.Size > SizeMost, op.Lead < 0, op.Lead > leadMost,
		op.Stage != One && op.Stage != Tenth && op.Stage != All, op.Stage != All && len(op.Pilots) == 0:
		return 0, ErrBad
	case m.items[op.Item] == nil && len(m.items) >= itemsMost:
		return 0, fmt.Errorf("versions: %d items, no more than %d are kept", len(m.items), itemsMost)
	}
	last := m.newest(op.Item)
	if last == nil { // what every gateway has by its own configuration
		last = &Version{Item: op.Item, State: Whole, Stage: All, Agreed: at, Staged: at, From: at, By: who, Number: 1}
		m.items[op.Item] = append(m.items[op.Item], last)
		if op.Number == 0 {
			op.Number = 1
		}
	}
	switch {
	case last.State == Rolling || last.State == Held:
		return 0, fmt.Errorf("%w: %s %d is %s", ErrUnder, last.Item, last.Number, last.State)
	case op.Number != last.Number:
		return 0, fmt.Errorf("versions: %s is at %d, not %d: look again", op.Item, last.Number, op.Number)
	}
	v := &Version{Item: op.Item, Number: last.Number + 1, Digest: op.Digest, Size: op.Size, State: Rolling, Stage: op.Stage, Pilots: op.Pilots,
		Agreed: at, Staged: at, From: at + op.Lead, By: who, Said: op.Wall}
	m.add(v)
	if op.Stage == All {
		m.all(at, op.Wall, v)
	}
	return v.Number, nil
}

// add keeps a version, and drops old ones on which nobody acts any more.
func (m *Machine) add(v *Version) {
	all := append(m.items[v.Item], v)
	for len(all) > versionsMost && !all[0].live(v.Agreed) {
		all = all[1:]
	}
	m.items[v.Item] = all
}

// all has a version be for all: what came before ends.
func (m *Machine) all(at time.Duration, wall int64, v *Version) {
	for _, old := range m.items[v.Item] {
		if old.Number < v.Number && old.Over == 0 {
			old.Over, old.Until, old.Ended = at, at+m.rules.withMargin(m.rules.Span), wall
			if old.State != Withdrawn {
				old.State = Past
			}
		}
	}
	v.State, v.Stage, v.Pilots, v.Staged, v.Why = Whole, All, nil, at, ""
}

func (m *Machine) goOn(at time.Duration, v *Version, op *Op) error {
	switch {
	case v.State != Rolling && v.State != Held:
		return fmt.Errorf("versions: %s %d is %s", v.Item, v.Number, v.State)
	case op.Term != 0 && v.State == Held:
		return fmt.Errorf("versions: %s %d is held: a person says whether it goes on", v.Item, v.Number)
	case op.Stage == All:
		m.all(at, op.Wall, v)
	case op.Stage == Tenth || op.Stage == One:
		if len(op.Pilots) == 0 {
			return ErrBad
		}
		// Who was to act on it goes on doing so.
		for _, id := range op.Pilots {
			if !slices.Contains(v.Pilots, id) {
				v.Pilots = append(v.Pilots, id)
			}
		}
		slices.Sort(v.Pilots)
		v.State, v.Stage, v.Staged, v.Why = Rolling, op.Stage, at, ""
	default:
		return ErrBad
	}
	return nil
}

// withdraw ends a version. Numbers only grow: what was there before comes back as a new one, for all.
func (m *Machine) withdraw(at time.Duration, who lease.Member, v *Version, op *Op) (uint64, error) {
	if v != m.newest(v.Item) || v.State == Withdrawn || v.Number == 1 {
		return 0, fmt.Errorf("versions: %s %d is %s: only the newest can be withdrawn", v.Item, v.Number, v.State)
	}
	var before *Version
	for _, old := range m.items[v.Item] {
		if old.Number < v.Number && (old.State == Whole || old.State == Past) {
			before = old
		}
	}
	if before == nil {
		return 0, unknown(v.Item, v.Number-1)
	}
	v.State, v.Why = Withdrawn, cut(op.Why)
	next := &Version{Item: v.Item, Number: v.Number + 1, Digest: before.Digest, Size: before.Size, Agreed: at, From: at, By: who, Said: op.Wall, Restores: before.Number}
	m.add(next)
	m.all(at, op.Wall, next)
	return next.Number, nil
}

// head takes in where a record stands. A process that names another hash for the same entry, or goes back, has told two stories.
func (m *Machine) head(who lease.Member, h *chronicle.Head) error {
	if h == nil || h.ID != who.ID || h.Boot != strconv.FormatUint(who.Boot, 16) || !digest.MatchString(h.Hash) {
		return ErrBad
	}
	all := m.heads[who.ID]
	i := slices.IndexFunc(all, func(o chronicle.Head) bool { return o.Boot == h.Boot })
	if i < 0 {
		all = append(all, *h)
		m.heads[who.ID] = all[max(0, len(all)-headsMost):]
		return nil
	}
	if h.Seq < all[i].Seq || h.Seq == all[i].Seq && h.Hash != all[i].Hash {
		m.forks = append(m.forks, chronicle.Damage{ID: h.ID, Boot: h.Boot, Seq: h.Seq, What: fmt.Sprintf("its process told of entry %d before", all[i].Seq)})
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

// settle ends what all who may hold a permit have left behind them.
func (m *Machine) settle(at time.Duration) {
	for item := range m.items {
		w := m.whole(item)
		if w == nil {
			continue
		}
		behind := false
		for _, s := range m.members {
			behind = behind || s.InForce[item] < w.Number
		}
		if behind {
			continue
		}
		for _, v := range m.items[item] {
			if v.Number < w.Number && v.Until > at {
				v.Until = at
			}
		}
	}
}

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

// Told answers a gateway's asking.
type Told struct {
	At     time.Duration `json:"at"`
	Seq    uint64        `json:"seq"`             // of the state that it is by
	Enrol  bool          `json:"enrol,omitempty"` // it is not known, or soon not any more: say that it is here
	Out    string        `json:"out,omitempty"`   // why it may act on nothing
	Target []Target      `json:"target"`
}

// Query tells a member, named in the body, what it may act on; without a body it gives a View.
func (m *Machine) Query(at time.Duration, body []byte) []byte {
	if len(body) == 0 {
		return encode(m.View(at))
	}
	var who lease.Member
	if json.Unmarshal(body, &who) != nil {
		return encode(Told{At: at, Out: ErrBad.Error()})
	}
	return encode(m.Tell(at, who))
}

// Tell is what a member may act on at a time.
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
	for item, all := range m.items {
		last := all[len(all)-1]
		to := m.whole(item)
		if last.State == Rolling || last.State == Held {
			// One that can't act on what is tried goes on with what is for all.
			if slices.Contains(last.Pilots, who.ID) && s.Refused[item].Number != last.Number {
				to = last
			}
		}
		if to == nil {
			continue
		}
		g := Target{Item: item, Ref: Ref{to.Number, to.Digest, to.Size}, In: max(0, to.From-at), May: map[uint64]time.Duration{}}
		for _, v := range all {
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
		t.Target = append(t.Target, g)
	}
	slices.SortFunc(t.Target, func(a, b Target) int { return cmp.Compare(a.Item, b.Item) })
	return t
}

// View is all that is agreed, in an order of its own.
func (m *Machine) View(at time.Duration) View {
	v := View{At: at, Seq: m.seq, Versions: []Version{}, Members: []Standing{}, Shut: []Shut{}}
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
	slices.SortFunc(v.Members, func(a, b Standing) int {
		return cmp.Or(cmp.Compare(a.Member.ID, b.Member.ID), cmp.Compare(a.Member.Boot, b.Member.Boot))
	})
	for _, s := range m.shut {
		v.Shut = append(v.Shut, s)
	}
	slices.SortFunc(v.Shut, func(a, b Shut) int { return cmp.Compare(a.ID, b.ID) })
	v.Heads, v.Forks = []chronicle.Head{}, slices.Clone(m.forks)
	for _, id := range slices.Sorted(maps.Keys(m.heads)) {
		v.Heads = append(v.Heads, m.heads[id]...)
	}
	return v
}

// Changes counts the commands taken in.
func (m *Machine) Changes() uint64 { return m.changes }

// Snapshot writes the state: the same text for the same state.
func (m *Machine) Snapshot() []byte { return encode(m.View(0)) }

// Restore reads what Snapshot wrote.
func (m *Machine) Restore(raw []byte) error {
	var v View
	if err := json.Unmarshal(raw, &v); err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	n := NewMachine(m.rules, m.fence)
	for _, one := range v.Versions {
		n.items[one.Item] = append(n.items[one.Item], &one)
	}
	for _, s := range v.Members {
		if s.InForce == nil {
			s.InForce = map[string]uint64{}
		}
		if s.Refused == nil {
			s.Refused = map[string]Refusal{}
		}
		n.members[s.Member] = &s
	}
	for _, s := range v.Shut {
		n.shut[s.ID] = s
	}
	for _, h := range v.Heads {
		n.heads[h.ID] = append(n.heads[h.ID], h)
	}
	n.forks = v.Forks
	n.seq, n.changes = v.Seq, m.changes+1
	*m = *n
	return nil
}
