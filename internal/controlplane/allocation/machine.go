package allocation

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

// Fence refuses a word under an old term.
type Fence interface {
	Fence(duty string, term uint64, who lease.Member) error
}

// Held is what one member may be using, as agreed.
type Held struct {
	Part  Share `json:"part"` // the floor is in it
	Floor Share `json:"floor"`
}

// book is a budget as agreed.
type book struct {
	whole Share
	// version is that of the terms that the whole is by: a lower one's is not believed any more.
	version uint64
	spread  int
	held    map[lease.Member]Held
	// spare is how many units of the reserve its owner keeps: the next one begins with them.
	spare float64
}

// Sum is what all members may be using.
func sumOf(held map[lease.Member]Held) (s Share) {
	for _, m := range sorted(held) {
		s = s.plus(held[m].Part)
	}
	return s
}

// sorted are the members in an order that is the same everywhere: sums of floating point depend on it.
func sorted[V any](of map[lease.Member]V) []lease.Member {
	return slices.SortedFunc(maps.Keys(of), compareMembers)
}

func compareMembers(a, b lease.Member) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Machine is the budgets as a part of the agreed state.
type Machine struct {
	fence Fence
	books map[string]map[uint64]*book // by duty
}

// NewMachine makes a machine that asks a table of duties who may divide. The table has to be a part of the
// same agreed state.
func NewMachine(f Fence) *Machine { return &Machine{fence: f, books: map[string]map[uint64]*book{}} }

// Result is what becomes of a round.
type Result struct {
	OK  bool   `json:"ok"`
	Why string `json:"why,omitempty"`
}

// Apply carries out a round as a whole or not at all, and gives a Result.
func (m *Machine) Apply(_ time.Duration, _ uint64, who lease.Member, body []byte) []byte {
	var r Result
	if err := m.round(who, body); err != nil {
		r.Why = err.Error()
	} else {
		r.OK = true
	}
	return mustjson.Marshal(r)
}

func (m *Machine) round(who lease.Member, body []byte) error {
	var r controlpb.Round
	if err := proto.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("budget: a round that can't be read: %w", err)
	}
	if err := m.fence.Fence(r.Role, r.Term, who); err != nil {
		return err
	}
	after := make(map[uint64]*book, len(r.Changes))
	for _, c := range r.Changes {
		before := m.books[r.Role][c.Budget]
		if after[c.Budget] != nil {
			return fmt.Errorf("budget: %x is changed twice", c.Budget)
		}
		b, err := changed(before, c, r.Who)
		if err != nil {
			return fmt.Errorf("budget: %x: %w", c.Budget, err)
		}
		after[c.Budget] = b
	}
	if m.books[r.Role] == nil {
		m.books[r.Role] = map[uint64]*book{}
	}
	for id, b := range after {
		if len(b.held) == 0 && b.spare == 0 && b.version == 0 {
			delete(m.books[r.Role], id) // nobody holds anything: it is as one that was never heard of
			continue
		}
		m.books[r.Role][id] = b
	}
	return nil
}

// changed is a book after a change, or why it can't be.
func changed(before *book, c *controlpb.BudgetChange, who []*controlpb.Member) (*book, error) {
	b := &book{whole: shareOf(c.Whole), version: c.Version, spread: int(c.Spread), held: map[lease.Member]Held{}, spare: c.Spare}
	if before != nil {
		maps.Copy(b.held, before.held)
	}
	had := sumOf(b.held)
	if !b.whole.sound() {
		return nil, fmt.Errorf("a whole of %v", b.whole)
	}
	for _, h := range c.Held {
		if int(h.Who) >= len(who) {
			return nil, fmt.Errorf("member %d of %d", h.Who, len(who))
		}
		held := Held{shareOf(h.Part), shareOf(h.Floor)}
		if !held.Part.sound() || !held.Floor.sound() || !held.Floor.within(held.Part) {
			return nil, fmt.Errorf("a part of %v with a floor of %v", held.Part, held.Floor)
		}
		if held.Part.none() {
			delete(b.held, memberOf(who[h.Who]))
			continue
		}
		b.held[memberOf(who[h.Who])] = held
	}
	// A whole that was lessened is kept to as fast as members can be told; until then nothing is raised.
	if sum := sumOf(b.held); !sum.within(b.whole.most(had)) || !sum.within(b.whole) && !sum.within(had) {
		return nil, fmt.Errorf("parts of %v, and the whole is %v", sum, b.whole)
	} else if !(b.spare >= 0) || b.spare > math.Max(0, b.whole.Burst-sum.Burst)+slack {
		return nil, fmt.Errorf("%v spare units beside parts of %v, and the whole is %v", b.spare, sum, b.whole)
	}
	return b, nil
}

// Query gives the Books of the shard whose duty the body names, or of all.
func (m *Machine) Query(at time.Duration, body []byte) []byte {
	b := &controlpb.Books{At: uint64(at)}
	index := map[lease.Member]uint32{}
	for _, duty := range slices.Sorted(maps.Keys(m.books)) {
		if len(body) > 0 && string(body) != duty {
			continue
		}
		m.write(b, index, m.books[duty])
	}
	return marshal(b)
}

func (m *Machine) write(b *controlpb.Books, index map[lease.Member]uint32, books map[uint64]*book) {
	for _, id := range slices.Sorted(maps.Keys(books)) {
		k := books[id]
		c := &controlpb.BudgetChange{Budget: id, Whole: k.whole.proto(), Version: k.version, Spread: uint32(k.spread), Spare: k.spare}
		for _, who := range sorted(k.held) {
			h := k.held[who]
			c.Held = append(c.Held, &controlpb.HeldPart{Who: indexOf(&b.Who, index, who), Part: h.Part.proto(), Floor: h.Floor.proto()})
		}
		b.Budgets = append(b.Budgets, c)
	}
}

// indexOf finds or makes a member's place in a message's list.
func indexOf(list *[]*controlpb.Member, index map[lease.Member]uint32, who lease.Member) uint32 {
	i, ok := index[who]
	if !ok {
		i = uint32(len(*list))
		index[who] = i
		*list = append(*list, &controlpb.Member{Id: who.ID, Incarnation: who.Incarnation})
	}
	return i
}

func marshal(m proto.Message) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err) // plain data
	}
	return raw
}

// Snapshot writes the budgets: the same text for the same content.
func (m *Machine) Snapshot() []byte {
	s := &controlpb.BudgetState{}
	for _, duty := range slices.Sorted(maps.Keys(m.books)) {
		b := &controlpb.Books{}
		m.write(b, map[lease.Member]uint32{}, m.books[duty])
		s.Duties, s.Books = append(s.Duties, duty), append(s.Books, b)
	}
	return marshal(s)
}

// Restore reads what Snapshot wrote, in place of all that is there.
func (m *Machine) Restore(raw []byte) error {
	var s controlpb.BudgetState
	if err := proto.Unmarshal(raw, &s); err != nil || len(s.Duties) != len(s.Books) {
		return fmt.Errorf("budget: a state that can't be read: %w", err)
	}
	m.books = map[string]map[uint64]*book{}
	for i, duty := range s.Duties {
		books, err := readBooks(s.Books[i])
		if err != nil {
			return err
		}
		m.books[duty] = books
	}
	return nil
}

func readBooks(b *controlpb.Books) (map[uint64]*book, error) {
	books := make(map[uint64]*book, len(b.Budgets))
	for _, c := range b.Budgets {
		k := &book{whole: shareOf(c.Whole), version: c.Version, spread: int(c.Spread), held: map[lease.Member]Held{}, spare: c.Spare}
		for _, h := range c.Held {
			if int(h.Who) >= len(b.Who) {
				return nil, fmt.Errorf("budget: member %d of %d", h.Who, len(b.Who))
			}
			k.held[memberOf(b.Who[h.Who])] = Held{shareOf(h.Part), shareOf(h.Floor)}
		}
		books[c.Budget] = k
	}
	return books, nil
}

// View is a budget as it is agreed, for those who look.
type View struct {
	Budget uint64 `json:"budget"`
	Whole  Share  `json:"whole"`
	// Version is that of the terms, twice, and one more where no others are acted on any more; 0: by configurations.
	Version uint64   `json:"version,omitempty"`
	Spread  int      `json:"spread"`
	Spare   float64  `json:"spare"` // units of the reserve that the next owner would begin with
	Held    []HeldBy `json:"held"`
}

// HeldBy is what one member may be using.
type HeldBy struct {
	Member lease.Member `json:"member"`
	Held
	Gone bool `json:"gone,omitempty"` // another process has its id now, or none: what it holds runs out
}

// Views reads what Query gave.
func Views(raw []byte) (all []View, err error) {
	var b controlpb.Books
	if err := proto.Unmarshal(raw, &b); err != nil {
		return nil, fmt.Errorf("budget: books that can't be read: %w", err)
	}
	books, err := readBooks(&b)
	if err != nil {
		return nil, err
	}
	for _, id := range slices.Sorted(maps.Keys(books)) {
		v := View{Budget: id, Whole: books[id].whole, Version: books[id].version, Spread: books[id].spread, Spare: books[id].spare}
		for _, who := range sorted(books[id].held) {
			v.Held = append(v.Held, HeldBy{Member: who, Held: books[id].held[who]})
		}
		all = append(all, v)
	}
	return all, nil
}
