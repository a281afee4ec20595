package allocation

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Allocation is the share of a budget that one member may use.
type Allocation struct {
	Total Share `json:"part"` // includes the reserved minimum

	// ReservedMin is allocated to no other member before the holder has acknowledged the reduction
	// or Config.ReservedTTL has passed.
	ReservedMin Share `json:"floor"`
}

// committedBudget is a budget in the replicated state.
type committedBudget struct {
	limit        Share
	limitVersion uint64 // version of the plans that defines the limit; lower ones are ignored
	maxMembers   int    // maximum number of members that share the limit
	allocations  map[lease.Member]Allocation
	carryover    float64 // units of the pool that are not granted; the next leader starts with them
}

// isEmpty reports whether a budget is equivalent to one that was never committed.
func (b *committedBudget) isEmpty() bool {
	return len(b.allocations) == 0 && b.carryover == 0 && b.limitVersion == 0
}

// totalOf returns the sum of the total shares of all members.
func totalOf(allocations map[lease.Member]Allocation) (sum Share) {
	for _, member := range sortedMembers(allocations) {
		sum = sum.plus(allocations[member].Total)
	}
	return sum
}

// sortedMembers returns the keys in an order that is the same in all processes, because sums of
// floating-point numbers depend on the order.
func sortedMembers[V any](byMember map[lease.Member]V) []lease.Member {
	return slices.SortedFunc(maps.Keys(byMember), compareMembers)
}

func compareMembers(a, b lease.Member) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

func memberOf(m *controlpb.Member) lease.Member {
	return lease.Member{ID: m.GetId(), Incarnation: m.GetIncarnation()}
}

func allocationOf(a *controlpb.MemberAllocation) Allocation {
	return Allocation{shareOf(a.Total), shareOf(a.ReservedMin)}
}

// writeLedger appends budgets, sorted by id, to a ledger. indexes maps each member to its index in
// the ledger's list.
func writeLedger(ledger *controlpb.Ledger, indexes map[lease.Member]uint32,
	budgets map[uint64]*committedBudget) {
	for _, id := range slices.Sorted(maps.Keys(budgets)) {
		b := budgets[id]
		change := &controlpb.BudgetChange{
			Budget:       id,
			Limit:        b.limit.proto(),
			LimitVersion: b.limitVersion,
			MaxMembers:   uint32(b.maxMembers),
			Carryover:    b.carryover,
		}
		for _, member := range sortedMembers(b.allocations) {
			a := b.allocations[member]
			change.Allocations = append(change.Allocations, &controlpb.MemberAllocation{
				Member:      memberIndex(&ledger.Members, indexes, member),
				Total:       a.Total.proto(),
				ReservedMin: a.ReservedMin.proto(),
			})
		}
		ledger.Budgets = append(ledger.Budgets, change)
	}
}

// memberIndex returns a member's index in a message's list. It appends the member if it is absent.
func memberIndex(list *[]*controlpb.Member, indexes map[lease.Member]uint32,
	member lease.Member) uint32 {
	i, ok := indexes[member]
	if !ok {
		i = uint32(len(*list))
		indexes[member] = i
		*list = append(*list, &controlpb.Member{Id: member.ID, Incarnation: member.Incarnation})
	}
	return i
}

// readLedger returns the budgets of a ledger, by id.
func readLedger(ledger *controlpb.Ledger) (map[uint64]*committedBudget, error) {
	budgets := make(map[uint64]*committedBudget, len(ledger.Budgets))
	for _, change := range ledger.Budgets {
		b := newCommittedBudget(change)
		for _, a := range change.Allocations {
			if int(a.Member) >= len(ledger.Members) {
				return nil, fmt.Errorf("%w: member index %d in a list of %d", ErrCorruptLedger,
					a.Member, len(ledger.Members))
			}
			b.allocations[memberOf(ledger.Members[a.Member])] = allocationOf(a)
		}
		budgets[change.Budget] = b
	}
	return budgets, nil
}

// newCommittedBudget returns the budget that a change describes, without any allocations.
func newCommittedBudget(change *controlpb.BudgetChange) *committedBudget {
	return &committedBudget{
		limit:        shareOf(change.Limit),
		limitVersion: change.LimitVersion,
		maxMembers:   int(change.MaxMembers),
		allocations:  map[lease.Member]Allocation{},
		carryover:    change.Carryover,
	}
}

// View describes a budget in the replicated state for operators.
type View struct {
	Budget uint64 `json:"budget"`
	Limit  Share  `json:"whole"`

	// LimitVersion is twice the version of the plans, plus one when no earlier version is in use
	// any more. It is 0 if the limit is from a configuration.
	LimitVersion uint64             `json:"version,omitempty"`
	MaxMembers   int                `json:"spread"`
	Carryover    float64            `json:"spare"` // units with which the next leader would start
	Allocations  []MemberAllocation `json:"held"`
}

// MemberAllocation is the allocation of one member.
type MemberAllocation struct {
	Member lease.Member `json:"member"`
	Allocation
	Ended bool `json:"gone,omitempty"` // the process has exited, and the allocation will expire
}

// ReadViews decodes the result of Machine.Query. Its errors wrap ErrCorruptLedger.
func ReadViews(raw []byte) (all []View, err error) {
	var ledger controlpb.Ledger
	if err := proto.Unmarshal(raw, &ledger); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptLedger, err)
	}
	budgets, err := readLedger(&ledger)
	if err != nil {
		return nil, err
	}
	for _, id := range slices.Sorted(maps.Keys(budgets)) {
		b := budgets[id]
		v := View{
			Budget:       id,
			Limit:        b.limit,
			LimitVersion: b.limitVersion,
			MaxMembers:   b.maxMembers,
			Carryover:    b.carryover,
		}
		for _, member := range sortedMembers(b.allocations) {
			v.Allocations = append(v.Allocations,
				MemberAllocation{Member: member, Allocation: b.allocations[member]})
		}
		all = append(all, v)
	}
	return all, nil
}
