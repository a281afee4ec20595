package allocation

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustproto"
)

type acceptingFence struct{}

func (acceptingFence) Fence(string, uint64, lease.Member) error { return nil }

// limitCluster is a leader and a state machine to which gateways report the limit of one budget
// from different versions of the plans.
type limitCluster struct {
	t       *testing.T
	now     time.Duration
	machine *Machine
	leader  *Leader
}

const limitBudget = 7

func (c *limitCluster) elect(term uint64) {
	c.t.Helper()
	role := RoleOfShard(0)
	var ledger controlpb.Ledger
	if err := proto.Unmarshal(c.machine.Query(0, []byte(role)), &ledger); err != nil {
		c.t.Fatal(err)
	}
	leader, err := NewLeader(c.now, DefaultConfig(), role, term, &ledger)
	if err != nil {
		c.t.Fatal(err)
	}
	c.leader = leader
}

// renew sends a gateway's renewal with the limit of a version of the plans, and commits the round
// that the leader plans.
func (c *limitCluster) renew(id string, incarnation, version uint64, limit Share) {
	c.t.Helper()
	response := c.leader.Renew(c.now, &controlpb.RenewRequest{
		Member:       &controlpb.Member{Id: id, Incarnation: incarnation},
		Role:         RoleOfShard(0),
		LimitVersion: version,
		Demands: []*controlpb.Demand{{
			Budget:         limitBudget,
			Limit:          limit.proto(),
			MaxMembers:     2,
			UnitsRequested: 1,
			MaxRequest:     1,
		}},
	})
	if response.Code != controlpb.Code_OK {
		c.t.Fatal(response.Reason)
	}
	c.now += 300 * time.Millisecond
	round := c.leader.Plan(c.now)
	if round == nil {
		return
	}
	err := c.machine.applyRound(lease.Member{ID: "o", Incarnation: 1}, mustproto.Marshal(round))
	if err != nil {
		c.t.Fatal(err)
	}
	c.leader.Committed(c.now)
}

func (c *limitCluster) check(limit Share, version uint64) {
	c.t.Helper()
	views, err := ReadViews(c.machine.Query(0, nil))
	if err != nil || len(views) != 1 {
		c.t.Fatalf("views %+v, error %v, want one view", views, err)
	}
	if v := views[0]; v.Limit != limit || v.LimitVersion != version {
		c.t.Errorf("the limit is %v of version %d, want %v of version %d",
			v.Limit, v.LimitVersion, limit, version)
	}
}

// A gateway with an earlier version of the plans does not change the limit back to a larger one:
// neither with the leader that received the newer version, nor with the next leader, which knows
// the newer version only from the ledger.
func TestLaggingReplicaDoesNotRaiseTheLimit(t *testing.T) {
	c := &limitCluster{t: t, now: time.Second, machine: NewMachine(acceptingFence{})}
	larger, smaller := Share{Rate: 8, Burst: 40}, Share{Rate: 2, Burst: 10}
	c.elect(1)
	c.renew("a", 1, 2, larger)
	c.renew("a", 1, 4, smaller)
	// Each incarnation started later than those before.
	for incarnation := uint64(1); incarnation <= 4; incarnation++ {
		c.renew("b", incarnation, 3, larger)
	}
	c.check(smaller, 4)
	c.elect(2)
	for range 5 {
		c.renew("b", 9, 3, larger)
	}
	c.check(smaller, 4)
	for range 3 {
		c.renew("a", 1, 5, larger)
	}
	c.check(larger, 5)
}
