package allocation

import (
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustproto"
)

const ms = time.Millisecond

// singleLeaderFence accepts the commands of one member under one term.
type singleLeaderFence struct {
	term   uint64
	leader lease.Member
}

func (f *singleLeaderFence) Fence(_ string, term uint64, who lease.Member) error {
	if term != f.term || who != f.leader {
		return lease.ErrStaleTerm
	}
	return nil
}

// testConfig returns the default configuration with smaller reserved minimums and pools. The larger
// allocations make their changes visible.
func testConfig() Config {
	c := DefaultConfig()
	c.ReservedFraction = 0.2
	c.PoolFraction = 0.4
	return c
}

func testReservedMin(limit Share) Share {
	c := testConfig()
	return c.ReservedMin(limit, 2)
}

// cluster is a leader, the state machine to which it proposes, and its members, without a network.
// It has one budget, with id 1.
type cluster struct {
	t       *testing.T
	now     time.Duration
	machine *Machine
	fence   *singleLeaderFence
	leader  *Leader
	limit   Share
}

func newCluster(t *testing.T, limit Share) *cluster {
	c := &cluster{
		t:     t,
		now:   time.Hour,
		fence: &singleLeaderFence{0, lease.Member{ID: "o", Incarnation: 1}},
		limit: limit,
	}
	c.machine = NewMachine(c.fence)
	c.elect()
	return c
}

// elect starts the next term with a new leader.
func (c *cluster) elect() {
	c.t.Helper()
	c.fence.term++
	role := RoleOfShard(0)
	var ledger controlpb.Ledger
	if err := proto.Unmarshal(c.machine.Query(0, []byte(role)), &ledger); err != nil {
		c.t.Fatal(err)
	}
	var err error
	c.leader, err = NewLeader(c.now, testConfig(), role, c.fence.term, &ledger)
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) member(id string, incarnation uint64) *Holder {
	return NewHolder(testConfig(), lease.Member{ID: id, Incarnation: incarnation}, 1)
}

// renew sends a member's renewal to the leader, and repeats it to acknowledge reductions.
func (c *cluster) renew(h *Holder) {
	for range 3 {
		request := h.RenewRequest(c.now, 0)
		if !h.HandleRenewal(c.now, c.now, 0, request, c.leader.Renew(c.now, request)) {
			return
		}
	}
}

// apply applies a round of the leader.
func (c *cluster) apply(round *controlpb.Round) {
	c.t.Helper()
	var result Result
	raw := c.machine.Apply(c.now, 0, c.fence.leader, mustproto.Marshal(round))
	if err := json.Unmarshal(raw, &result); err != nil || !result.OK {
		c.t.Fatalf("a round was not applied: error %v, result %+v", err, result)
	}
	c.leader.Committed(c.now)
}

// commitRound commits the round that the leader plans. It returns false if there is none.
func (c *cluster) commitRound() bool {
	c.t.Helper()
	round := c.leader.Plan(c.now)
	if round == nil {
		return false
	}
	c.apply(round)
	return true
}

// advance advances the time by d in steps of 50 ms. Each member in demand renews in each step and
// has the given demand, in units per second.
func (c *cluster) advance(d time.Duration, demand map[*Holder]float64) {
	c.t.Helper()
	for end := c.now + d; c.now < end; c.now += 50 * ms {
		for h, rate := range demand {
			if rate > 0 {
				h.RecordDemand(c.now, 1, c.limit, 2, rate/20)
			}
			c.renew(h)
		}
		c.commitRound()
	}
}

func (c *cluster) onDemandRequest(units float64) *controlpb.OnDemandRequest {
	return &controlpb.OnDemandRequest{
		Role:       RoleOfShard(0),
		Budget:     1,
		Units:      units,
		MaxMembers: 2,
		Limit:      c.limit.proto(),
	}
}

// grant requests units of the pool, and repeats the request after a round if the leader requires
// one. It reports whether the units were granted.
func (c *cluster) grant(units float64) bool {
	response := c.leader.GrantOnDemand(c.now, c.onDemandRequest(units))
	if response.AwaitRound && c.commitRound() {
		return c.grant(units)
	}
	return response.Granted
}
