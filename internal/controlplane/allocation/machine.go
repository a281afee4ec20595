package allocation

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
	"mothcleat/internal/mustproto"
)

var (
	// ErrInvalidRound means that a round can't be decoded, is inconsistent, or would exceed a
	// limit.
	ErrInvalidRound = errors.New("allocation: invalid round")

	// ErrCorruptLedger means that a ledger or snapshot can't be decoded.
	ErrCorruptLedger = errors.New("allocation: corrupt ledger")
)

// Fence rejects commands that were sent under an old term of a role.
type Fence interface {
	Fence(role string, term uint64, who lease.Member) error
}

// Machine is the replicated state machine that stores the budgets.
type Machine struct {
	fence   Fence
	ledgers map[string]map[uint64]*committedBudget // by the role of their shard, then by id
}

// NewMachine returns a machine without budgets. The fence decides which member may divide them; it
// must be part of the same replicated state.
func NewMachine(f Fence) *Machine {
	return &Machine{fence: f, ledgers: map[string]map[uint64]*committedBudget{}}
}

// Result is the result of a round. It is encoded as JSON.
type Result struct {
	OK  bool   `json:"ok"`
	Why string `json:"why,omitempty"` // text of the error if OK is false
}

// Apply applies a round completely or not at all, and returns a Result.
func (m *Machine) Apply(_ time.Duration, _ uint64, who lease.Member, body []byte) []byte {
	result := Result{OK: true}
	if err := m.applyRound(who, body); err != nil {
		result = Result{Why: err.Error()}
	}
	return mustjson.Marshal(result)
}

func (m *Machine) applyRound(who lease.Member, body []byte) error {
	var round controlpb.Round
	if err := proto.Unmarshal(body, &round); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidRound, err)
	}
	if err := m.fence.Fence(round.Role, round.Term, who); err != nil {
		return err
	}
	after := make(map[uint64]*committedBudget, len(round.Changes))
	for _, change := range round.Changes {
		if after[change.Budget] != nil {
			return fmt.Errorf("%w: budget %x is changed twice", ErrInvalidRound, change.Budget)
		}
		before := m.ledgers[round.Role][change.Budget]
		b, err := applyChange(before, change, round.Members)
		if err != nil {
			return fmt.Errorf("%w: budget %x: %w", ErrInvalidRound, change.Budget, err)
		}
		after[change.Budget] = b
	}
	if m.ledgers[round.Role] == nil {
		m.ledgers[round.Role] = map[uint64]*committedBudget{}
	}
	for id, b := range after {
		if b.isEmpty() {
			delete(m.ledgers[round.Role], id)
			continue
		}
		m.ledgers[round.Role][id] = b
	}
	return nil
}

// applyChange returns a budget after a change, or an error if the change is invalid. before is nil
// for a budget that is not in the ledger.
func applyChange(before *committedBudget, change *controlpb.BudgetChange,
	members []*controlpb.Member) (*committedBudget, error) {
	b := newCommittedBudget(change)
	if before != nil {
		maps.Copy(b.allocations, before.allocations)
	}
	totalBefore := totalOf(b.allocations)
	if !b.limit.valid() {
		return nil, fmt.Errorf("a limit of %v", b.limit)
	}
	for _, a := range change.Allocations {
		if int(a.Member) >= len(members) {
			return nil, fmt.Errorf("member %d of %d", a.Member, len(members))
		}
		member, allocation := memberOf(members[a.Member]), allocationOf(a)
		if err := checkAllocation(allocation); err != nil {
			return nil, err
		}
		if allocation.Total.isZero() {
			delete(b.allocations, member)
			continue
		}
		b.allocations[member] = allocation
	}
	return b, checkTotals(b, totalBefore)
}

func checkAllocation(a Allocation) error {
	if a.Total.valid() && a.ReservedMin.valid() && a.ReservedMin.within(a.Total) {
		return nil
	}
	return fmt.Errorf("an allocation of %v with a reserved minimum of %v", a.Total, a.ReservedMin)
}

// checkTotals checks that a budget's allocations and carryover are within its limit. After the
// limit was lowered, the allocations may exceed it until all members are notified, as long as their
// sum doesn't grow.
func checkTotals(b *committedBudget, totalBefore Share) error {
	total := totalOf(b.allocations)
	tooLarge := !total.within(b.limit.max(totalBefore))
	grown := !total.within(b.limit) && !total.within(totalBefore)
	if tooLarge || grown {
		return fmt.Errorf("allocations of %v exceed the limit of %v", total, b.limit)
	}
	maxCarryover := math.Max(0, b.limit.Burst-total.Burst) + roundingTolerance
	if !(b.carryover >= 0) || b.carryover > maxCarryover { // the negation is also true for NaN
		return fmt.Errorf("a carryover of %v units with allocations of %v and a limit of %v",
			b.carryover, total, b.limit)
	}
	return nil
}

// Query returns the encoded Ledger of the shard whose role is in the body, or of all shards if the
// body is empty. ReadViews decodes it.
func (m *Machine) Query(at time.Duration, body []byte) []byte {
	ledger := &controlpb.Ledger{At: uint64(at)}
	indexes := map[lease.Member]uint32{}
	for _, role := range slices.Sorted(maps.Keys(m.ledgers)) {
		if len(body) > 0 && string(body) != role {
			continue
		}
		writeLedger(ledger, indexes, m.ledgers[role])
	}
	return mustproto.Marshal(ledger)
}

// Snapshot returns the encoded state: the same bytes for the same state.
func (m *Machine) Snapshot() []byte {
	state := &controlpb.BudgetState{}
	for _, role := range slices.Sorted(maps.Keys(m.ledgers)) {
		ledger := &controlpb.Ledger{}
		writeLedger(ledger, map[lease.Member]uint32{}, m.ledgers[role])
		state.Roles = append(state.Roles, role)
		state.Ledgers = append(state.Ledgers, ledger)
	}
	return mustproto.Marshal(state)
}

// Restore replaces the state by that of a snapshot. Its errors wrap ErrCorruptLedger.
func (m *Machine) Restore(raw []byte) error {
	var state controlpb.BudgetState
	if err := proto.Unmarshal(raw, &state); err != nil {
		return fmt.Errorf("%w: %w", ErrCorruptLedger, err)
	}
	if len(state.Roles) != len(state.Ledgers) {
		return fmt.Errorf("%w: the snapshot has %d roles and %d ledgers", ErrCorruptLedger,
			len(state.Roles), len(state.Ledgers))
	}
	m.ledgers = map[string]map[uint64]*committedBudget{}
	for i, role := range state.Roles {
		budgets, err := readLedger(state.Ledgers[i])
		if err != nil {
			return err
		}
		m.ledgers[role] = budgets
	}
	return nil
}
