package allocation

import (
	"encoding/json"
	"errors"
	"math"
	"testing"

	"pgregory.net/rapid"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustproto"
)

func TestMachineRejectsInvalidRounds(t *testing.T) {
	f := &singleLeaderFence{3, lease.Member{ID: "o", Incarnation: 1}}
	m := NewMachine(f)
	apply := func(r *controlpb.Round) Result {
		var result Result
		if err := json.Unmarshal(m.Apply(0, 0, f.leader, mustproto.Marshal(r)), &result); err != nil {
			t.Fatal(err)
		}
		return result
	}
	allocation := func(member uint32, total, reservedMin Share) *controlpb.MemberAllocation {
		return &controlpb.MemberAllocation{
			Member:      member,
			Total:       total.proto(),
			ReservedMin: reservedMin.proto(),
		}
	}
	members := []*controlpb.Member{{Id: "a", Incarnation: 1}, {Id: "b", Incarnation: 1}}
	round := func(term uint64, allocations ...*controlpb.MemberAllocation) *controlpb.Round {
		return &controlpb.Round{Role: RoleOfShard(0), Term: term, Members: members,
			Changes: []*controlpb.BudgetChange{{
				Budget:      1,
				Limit:       Share{10, 10}.proto(),
				MaxMembers:  2,
				Allocations: allocations,
			}}}
	}
	if r := apply(round(3, allocation(0, Share{6, 6}, Share{1, 1}))); !r.OK {
		t.Fatal(r.Why)
	}
	before := m.Snapshot()
	for name, r := range map[string]*controlpb.Round{
		"more than the limit":               round(3, allocation(1, Share{5, 4}, Share{})),
		"an old term":                       round(2, allocation(1, Share{1, 1}, Share{})),
		"a reserved minimum over its total": round(3, allocation(1, Share{1, 1}, Share{2, 2})),
		"a negative rate":                   round(3, allocation(1, Share{-1, 1}, Share{})),
		"a rate that is not a number":       round(3, allocation(1, Share{math.NaN(), 1}, Share{})),
		"a member that is not in the list":  round(3, allocation(7, Share{1, 1}, Share{})),
		"two changes of one budget in one round": {Role: RoleOfShard(0), Term: 3, Members: members, Changes: []*controlpb.BudgetChange{
			{Budget: 2, Limit: Share{1, 1}.proto()}, {Budget: 2, Limit: Share{1, 1}.proto()}}},
	} {
		if result := apply(r); result.OK || result.Why == "" {
			t.Errorf("%s: the round was accepted, or rejected without a reason", name)
		}
	}
	if string(m.Snapshot()) != string(before) {
		t.Error("a rejected round changed the state")
	}
	other := NewMachine(f)
	if err := other.Restore(before); err != nil || string(other.Snapshot()) != string(before) {
		t.Errorf("a restored snapshot differs from the state: error %v", err)
	}
	if err := other.Restore([]byte("\xff")); !errors.Is(err, ErrCorruptLedger) {
		t.Errorf("Restore of invalid bytes returns %v, want ErrCorruptLedger", err)
	}
	if json.Unmarshal(m.Apply(0, 0, f.leader, []byte("\xff")), &Result{}) != nil {
		t.Error("the result of Apply for invalid bytes can't be decoded")
	}
	if err := m.applyRound(f.leader, []byte("\xff")); !errors.Is(err, ErrInvalidRound) {
		t.Errorf("applyRound of invalid bytes returns %v, want ErrInvalidRound", err)
	}
}

// For any sequence of proposed rounds, the committed allocations sum to at most the limit.
func TestCommittedAllocationsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &singleLeaderFence{1, lease.Member{ID: "o", Incarnation: 1}}
		m := NewMachine(f)
		limit := Share{10, 20}
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			change := &controlpb.BudgetChange{Budget: 1, Limit: limit.proto(), MaxMembers: 3}
			r := &controlpb.Round{
				Role:    RoleOfShard(0),
				Term:    1,
				Changes: []*controlpb.BudgetChange{change},
			}
			for i := range rapid.IntRange(1, 4).Draw(t, "members") {
				incarnation := rapid.Uint64Range(1, 5).Draw(t, "incarnation")
				r.Members = append(r.Members, &controlpb.Member{Id: "n", Incarnation: incarnation})
				rate := rapid.Float64Range(0, 8).Draw(t, "rate")
				burst := rapid.Float64Range(0, 16).Draw(t, "burst")
				total := Share{rate, burst}
				change.Allocations = append(change.Allocations, &controlpb.MemberAllocation{
					Member:      uint32(i),
					Total:       total.proto(),
					ReservedMin: total.times(0.1).proto(),
				})
			}
			m.Apply(0, 0, f.leader, mustproto.Marshal(r))
			for _, b := range m.ledgers[RoleOfShard(0)] {
				if sum := totalOf(b.allocations); !sum.within(limit) {
					t.Fatalf("allocations sum to %v, want at most %v", sum, limit)
				}
			}
		}
	})
}
