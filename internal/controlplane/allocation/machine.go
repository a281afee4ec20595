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

// Allocation is what one member may be using, as agreed.
type Allocation struct {
	Total       Share `json:"part"` // the floor is in it
	ReservedMin Share `json:"floor"`
}

// committedBudget is a budget as agreed.
type committedBudget struct {
	limit Share
	// limitVersion is that of the terms that the whole is by: a lower one's is not believed any more.
	limitVersion uint64
	maxMembers   int
	allocations  map[lease.Member]Allocation
	// carryover is how many units of the reserve its owner keeps: the next one begins with them.
	carryover float64
}

// Sum is what all members may be using.
func totalOf(held map[lease.Member]Allocation) (s Share) {
	for _, m := range sortedMembers(held) {
		s = s.plus(held[m].Total)
	}
	return s
}

// sortedMembers are the members in an order that is the same everywhere: sums of floating point depend on it.
func sortedMembers[V any](of map[lease.Member]V) []lease.Member {
	return slices.SortedFunc(maps.Keys(of), compareMembers)
}

func compareMembers(a, b lease.Member) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Machine is the budgets as a part of the agreed state.
type Machine struct {
	fence   Fence
	ledgers map[string]map[uint64]*committedBudget // by duty
}

// NewMachine makes a machine that asks a table of duties who may divide. The table has to be a part of the
// same agreed state.
func NewMachine(f Fence) *Machine {
	return &Machine{fence: f, ledgers: map[string]map[uint64]*committedBudget{}}
}

// Result is what becomes of a round.
type Result struct {
	OK  bool   `json:"ok"`
	Why string `json:"why,omitempty"`
}

// Apply carries out a round as a whole or not at all, and gives a Result.
func (m *Machine) Apply(_ time.Duration, _ uint64, who lease.Member, body []byte) []byte {
	var r Result
	if err := m.applyRound(who, body); err != nil {
		r.Why = err.Error()
	} else {
		r.OK = true
	}
	return mustjson.Marshal(r)
}

func (m *Machine) applyRound(who lease.Member, body []byte) error {
	var r controlpb.Round
	if err := proto.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("budget: a round that can't be read: %w", err)
	}
	if err := m.fence.Fence(r.Role, r.Term, who); err != nil {
		return err
	}
	after := make(map[uint64]*committedBudget, len(r.Changes))
	for _, c := range r.Changes {
		before := m.ledgers[r.Role][c.Budget]
		if after[c.Budget] != nil {
			return fmt.Errorf("budget: %x is changed twice", c.Budget)
		}
		b, err := applyChange(before, c, r.Members)
		if err != nil {
			return fmt.Errorf("budget: %x: %w", c.Budget, err)
		}
		after[c.Budget] = b
	}
	if m.ledgers[r.Role] == nil {
		m.ledgers[r.Role] = map[uint64]*committedBudget{}
	}
	for id, b := range after {
		if len(b.allocations) == 0 && b.carryover == 0 && b.limitVersion == 0 {
			delete(m.ledgers[r.Role], id) // nobody holds anything: it is as one that was never heard of
			continue
		}
		m.ledgers[r.Role][id] = b
	}
	return nil
}

// applyChange is a book after a change, or why it can't be.
func applyChange(before *committedBudget, c *controlpb.BudgetChange, who []*controlpb.Member) (*committedBudget, error) {
	b := &committedBudget{limit: shareOf(c.Limit), limitVersion: c.LimitVersion, maxMembers: int(c.MaxMembers), allocations: map[lease.Member]Allocation{}, carryover: c.Carryover}
	if before != nil {
		maps.Copy(b.allocations, before.allocations)
	}
	had := totalOf(b.allocations)
	if !b.limit.valid() {
		return nil, fmt.Errorf("a whole of %v", b.limit)
	}
	for _, h := range c.Allocations {
		if int(h.Member) >= len(who) {
			return nil, fmt.Errorf("member %d of %d", h.Member, len(who))
		}
		held := Allocation{shareOf(h.Total), shareOf(h.ReservedMin)}
		if !held.Total.valid() || !held.ReservedMin.valid() || !held.ReservedMin.within(held.Total) {
			return nil, fmt.Errorf("a part of %v with a floor of %v", held.Total, held.ReservedMin)
		}
		if held.Total.isZero() {
			delete(b.allocations, memberOf(who[h.Member]))
			continue
		}
		b.allocations[memberOf(who[h.Member])] = held
	}
	// A whole that was lessened is kept to as fast as members can be told; until then nothing is raised.
	if sum := totalOf(b.allocations); !sum.within(b.limit.max(had)) || !sum.within(b.limit) && !sum.within(had) {
		return nil, fmt.Errorf("parts of %v, and the whole is %v", sum, b.limit)
	} else if !(b.carryover >= 0) || b.carryover > math.Max(0, b.limit.Burst-sum.Burst)+roundingTolerance {
		return nil, fmt.Errorf("%v spare units beside parts of %v, and the whole is %v", b.carryover, sum, b.limit)
	}
	return b, nil
}

// Query gives the Books of the shard whose duty the body names, or of all.
func (m *Machine) Query(at time.Duration, body []byte) []byte {
	b := &controlpb.Ledger{At: uint64(at)}
	index := map[lease.Member]uint32{}
	for _, duty := range slices.Sorted(maps.Keys(m.ledgers)) {
		if len(body) > 0 && string(body) != duty {
			continue
		}
		m.writeLedger(b, index, m.ledgers[duty])
	}
	return marshal(b)
}

func (m *Machine) writeLedger(b *controlpb.Ledger, index map[lease.Member]uint32, books map[uint64]*committedBudget) {
	for _, id := range slices.Sorted(maps.Keys(books)) {
		k := books[id]
		c := &controlpb.BudgetChange{Budget: id, Limit: k.limit.proto(), LimitVersion: k.limitVersion, MaxMembers: uint32(k.maxMembers), Carryover: k.carryover}
		for _, who := range sortedMembers(k.allocations) {
			h := k.allocations[who]
			c.Allocations = append(c.Allocations, &controlpb.MemberAllocation{Member: memberIndex(&b.Members, index, who), Total: h.Total.proto(), ReservedMin: h.ReservedMin.proto()})
		}
		b.Budgets = append(b.Budgets, c)
	}
}

// memberIndex finds or makes a member's place in a message's list.
func memberIndex(list *[]*controlpb.Member, index map[lease.Member]uint32, who lease.Member) uint32 {
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
	for _, duty := range slices.Sorted(maps.Keys(m.ledgers)) {
		b := &controlpb.Ledger{}
		m.writeLedger(b, map[lease.Member]uint32{}, m.ledgers[duty])
		s.Roles, s.Ledgers = append(s.Roles, duty), append(s.Ledgers, b)
	}
	return marshal(s)
}

// Restore reads what Snapshot wrote, in place of all that is there.
func (m *Machine) Restore(raw []byte) error {
	var s controlpb.BudgetState
	if err := proto.Unmarshal(raw, &s); err != nil || len(s.Roles) != len(s.Ledgers) {
		return fmt.Errorf("budget: a state that can't be read: %w", err)
	}
	m.ledgers = map[string]map[uint64]*committedBudget{}
	for i, duty := range s.Roles {
		books, err := readLedger(s.Ledgers[i])
		if err != nil {
			return err
		}
		m.ledgers[duty] = books
	}
	return nil
}

func readLedger(b *controlpb.Ledger) (map[uint64]*committedBudget, error) {
	books := make(map[uint64]*committedBudget, len(b.Budgets))
	for _, c := range b.Budgets {
		k := &committedBudget{limit: shareOf(c.Limit), limitVersion: c.LimitVersion, maxMembers: int(c.MaxMembers), allocations: map[lease.Member]Allocation{}, carryover: c.Carryover}
		for _, h := range c.Allocations {
			if int(h.Member) >= len(b.Members) {
				return nil, fmt.Errorf("budget: member %d of %d", h.Member, len(b.Members))
			}
			k.allocations[memberOf(b.Members[h.Member])] = Allocation{shareOf(h.Total), shareOf(h.ReservedMin)}
		}
		books[c.Budget] = k
	}
	return books, nil
}

// View is a budget as it is agreed, for those who look.
type View struct {
	Budget uint64 `json:"budget"`
	Limit  Share  `json:"whole"`
	// LimitVersion is that of the terms, twice, and one more where no others are acted on any more; 0: by configurations.
	LimitVersion uint64             `json:"version,omitempty"`
	MaxMembers   int                `json:"spread"`
	Carryover    float64            `json:"spare"` // units of the reserve that the next owner would begin with
	Allocations  []MemberAllocation `json:"held"`
}

// MemberAllocation is what one member may be using.
type MemberAllocation struct {
	Member lease.Member `json:"member"`
	Allocation
	Ended bool `json:"gone,omitempty"` // another process has its id now, or none: what it holds runs out
}

// ReadViews reads what Query gave.
func ReadViews(raw []byte) (all []View, err error) {
	var b controlpb.Ledger
	if err := proto.Unmarshal(raw, &b); err != nil {
		return nil, fmt.Errorf("budget: books that can't be read: %w", err)
	}
	books, err := readLedger(&b)
	if err != nil {
		return nil, err
	}
	for _, id := range slices.Sorted(maps.Keys(books)) {
		v := View{Budget: id, Limit: books[id].limit, LimitVersion: books[id].limitVersion, MaxMembers: books[id].maxMembers, Carryover: books[id].carryover}
		for _, who := range sortedMembers(books[id].allocations) {
			v.Allocations = append(v.Allocations, MemberAllocation{Member: who, Allocation: books[id].allocations[who]})
		}
		all = append(all, v)
	}
	return all, nil
}
