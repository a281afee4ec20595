package allocation

import (
	"testing"
	"time"

	"mothcleat/internal/controlplane/controlpb"
)

func TestAllocationsFollowDemand(t *testing.T) {
	c := newCluster(t, Share{10, 100})
	a, b := c.member("a", 1), c.member("b", 1)
	c.advance(6*time.Second, map[*Holder]float64{a: 9, b: 1})
	shareA, shareB := a.Usable(c.now, 1), b.Usable(c.now, 1)
	if shareA.Burst < 3*shareB.Burst || shareB.Burst < 9 {
		t.Fatalf("a has %v with nine tenths of the demand, and b has %v with one tenth",
			shareA, shareB)
	}
	c.advance(40*time.Second, map[*Holder]float64{a: 1, b: 9})
	shareA, shareB = a.Usable(c.now, 1), b.Usable(c.now, 1)
	if 2*shareB.Burst < 3*shareA.Burst {
		t.Errorf("after the demand has moved to b, a has %v and b %v", shareA, shareB)
	}
	pool, _ := c.leader.Pool(c.now, 1)
	if sum := shareA.plus(shareB).plus(pool); !equalShares(sum, c.limit) {
		t.Errorf("allocations %v and %v and pool %v sum to %v, want %v",
			shareA, shareB, pool, sum, c.limit)
	}
}

// An allocation is given to no other member before its holder has acknowledged the reduction or its
// TTL has passed.
func TestReductionNeedsAcknowledgement(t *testing.T) {
	c := newCluster(t, Share{10, 100})
	a, b := c.member("a", 1), c.member("b", 1)
	c.advance(6*time.Second, map[*Holder]float64{a: 10, b: 0})
	held := a.Usable(c.now, 1)
	// a stops renewing, and b has all the demand.
	silentSince := c.now
	for c.now < silentSince+2*time.Second {
		c.advance(50*ms, map[*Holder]float64{b: 10})
		other := b.Usable(c.now, 1)
		if sum := held.plus(other); !sum.within(c.limit) {
			silence := c.now - silentSince
			t.Fatalf("%v after the last renewal of a, a holds %v and b %v, together more than %v",
				silence, held, other, c.limit)
		}
	}
	c.advance(4*time.Second, map[*Holder]float64{b: 10})
	if got := a.Usable(c.now, 1); !equalShares(got, testReservedMin(c.limit)) {
		t.Errorf("without renewal for %v, a has %v, want its reserved minimum %v",
			c.now-silentSince, got, testReservedMin(c.limit))
	}
	if got := b.Usable(c.now, 1); got.Burst < held.Burst-11 {
		t.Errorf("b has %v, want about the %v that a had", got, held)
	}
	c.advance(70*time.Second, map[*Holder]float64{b: 10})
	if left := a.Usable(c.now, 1); !left.isZero() {
		t.Errorf("a has %v after the TTL of its reserved minimum, want nothing", left)
	}
}

// Units that are returned late count as if they had been returned when they became free: if the
// pool had no headroom then, they are lost, even if it has headroom now.
func TestLateReturnsUseNoLaterHeadroom(t *testing.T) {
	for _, full := range []bool{true, false} {
		c := newCluster(t, Share{10, 50})
		a := c.member("a", 1)
		c.advance(20*time.Second, map[*Holder]float64{a: 2}) // all buckets are full, and a's overflows
		drain := func() {
			for c.grant(1) {
			}
		}
		if !full {
			drain()
		}
		for range 2 {
			c.now += 2 * headroomInterval
			c.renew(a)
		}
		c.now += 300 * ms // what overflows from a's bucket in this time is returned below
		overflow := a.Usable(c.now, 1).Rate * 0.3
		pool, _ := c.leader.Pool(c.now, 1)
		drain()
		_, before := c.leader.Pool(c.now, 1)
		c.renew(a)
		_, after := c.leader.Pool(c.now, 1)
		switch returned := after - before; {
		case overflow < 0.5:
			t.Fatalf("%v units overflowed, want at least 0.5", overflow)
		case full && returned > 1e-9:
			t.Errorf("%v units were returned to a pool of %v that was full when they became free",
				returned, pool)
		case !full && returned < 0.9*overflow:
			t.Errorf("%v of %v units were returned to a pool that had headroom for all",
				returned, overflow)
		}
	}
}

// The carryover is granted only after a round has reduced it.
func TestCarryoverIsNotGrantedBeforeItsReductionIsCommitted(t *testing.T) {
	c := newCluster(t, Share{10, 100})
	a := c.member("a", 1)
	c.advance(20*time.Second, map[*Holder]float64{a: 2})
	request := c.onDemandRequest(1)
	committed := func() float64 { return c.machine.ledgers[RoleOfShard(0)][1].carryover }
	if committed() < 10 {
		t.Fatalf("%v units are carried over, want at least 10", committed())
	}
	drain := func() (awaitRound bool) {
		for range 100 {
			response := c.leader.GrantOnDemand(c.now, request)
			if level := c.leader.budgets[1].bucket.level; level < committed()-1e-9 {
				t.Fatalf("%v units are left, less than the committed carryover of %v",
					level, committed())
			}
			awaitRound = awaitRound || response.AwaitRound
			if !response.Granted {
				break
			}
		}
		return awaitRound
	}
	if !drain() {
		t.Error("the leader never required a round before a grant")
	}
	if c.leader.Plan(c.now) == nil {
		t.Fatal("no round is planned that reduces the carryover")
	}
	drain() // checks the carryover again while the round is pending
}

// An increase that is proposed for a member is not granted to others.
func TestProposedIncreaseCountsAsAllocated(t *testing.T) {
	c := newCluster(t, Share{10, 100})
	a := c.member("a", 1)
	a.RecordDemand(c.now, 1, c.limit, 2, 5)
	c.now += 20 * time.Second
	c.renew(a)
	before, _ := c.leader.Pool(c.now, 1)
	round := c.leader.Plan(c.now)
	if round == nil {
		t.Fatal("nothing is planned for a new member")
	}
	total := shareOf(round.Changes[0].Allocations[0].Total)
	after, _ := c.leader.Pool(c.now, 1)
	if total.isZero() || !equalShares(after.plus(total), before) {
		t.Errorf("an allocation of %v is proposed, and the pool changes from %v to %v",
			total, before, after)
	}
}

// A new leader starts with the units that the previous leader carried over, and grants them at
// once.
func TestNewLeaderStartsWithTheCarryover(t *testing.T) {
	c := newCluster(t, Share{10, 100})
	a := c.member("a", 1)
	c.advance(20*time.Second, map[*Holder]float64{a: 2})
	pool, _ := c.leader.Pool(c.now, 1)
	for range 3 {
		if !c.grant(4) {
			t.Fatal("an on-demand request was not granted")
		}
	}
	left := c.leader.budgets[1].bucket.level
	c.elect()
	started := c.leader.budgets[1].bucket.level
	if started > left || started < 0.5*pool.Burst {
		t.Errorf("with %v units left in a pool of %v, the next leader starts with %v",
			left, pool, started)
	}
	if !c.grant(4) {
		t.Error("the new leader did not grant an on-demand request")
	}
	if got := c.leader.budgets[1].bucket.level; got > started-4+1e-9 {
		t.Errorf("%v of %v units are left after a grant of 4", got, started)
	}
}

// The allocations of a member that leaves, or whose successor reports that it has exited, are free
// at once.
func TestLeavingMembersAndSuccessors(t *testing.T) {
	c := newCluster(t, Share{10, 100})
	a, b := c.member("a", 1), c.member("b", 1)
	c.advance(5*time.Second, map[*Holder]float64{a: 5, b: 5})
	leaving := a.ReleaseAll(c.now)[0]
	if a.Available(c.now, 1) != 0 || !a.Usable(c.now, 1).isZero() {
		t.Fatal("a still has units or an allocation after ReleaseAll")
	}
	c.leader.Renew(c.now, leaving)
	c.advance(3*time.Second, map[*Holder]float64{b: 5})
	if got := b.Usable(c.now, 1); got.Burst < 50 {
		t.Errorf("3 s after a has left, b has %v, want a burst of at least 50", got)
	}
	// b is killed. Its successor holds the lock on the folder and gets b's allocation at once.
	successor := c.member("b", 2)
	successor.RecordDemand(c.now, 1, c.limit, 2, 1)
	request := successor.RenewRequest(c.now, 0)
	request.EndedIncarnations = []uint64{1}
	successor.HandleRenewal(c.now, c.now, 0, request, c.leader.Renew(c.now, request))
	c.advance(2*time.Second, map[*Holder]float64{successor: 5})
	if got := successor.Usable(c.now, 1); got.Burst < 50 {
		t.Errorf("2 s after its start the successor has %v, want a burst of at least 50", got)
	}
	late := b.RenewRequest(c.now, 0)
	if response := c.leader.Renew(c.now, late); response.Code != controlpb.Code_SUPERSEDED {
		t.Errorf("a member that its successor reported as ended gets %v, want SUPERSEDED", response)
	}
}

// A limit is lowered to a tenth while all of it is allocated. No allocation is increased until the
// sum is within the new limit, which is the case when each member has renewed or its TTL has
// passed.
func TestLimitLoweredWhileAllIsAllocated(t *testing.T) {
	c := newCluster(t, Share{10, 100})
	a, b := c.member("a", 1), c.member("b", 1)
	c.advance(5*time.Second, map[*Holder]float64{a: 5, b: 5})
	c.limit = Share{1, 10}
	c.advance(500*ms, map[*Holder]float64{a: 5}) // b does not renew
	c.advance(4*time.Second, map[*Holder]float64{a: 5})
	pool, _ := c.leader.Pool(c.now, 1)
	reservedMin := testReservedMin(Share{10, 100}) // b's, from the old limit
	if sum := a.Usable(c.now, 1).plus(pool).minus(reservedMin); !sum.within(c.limit) {
		t.Errorf("a has %v and the pool is %v, together more than the limit of %v allows",
			a.Usable(c.now, 1), pool, c.limit)
	}
	c.advance(time.Second, map[*Holder]float64{a: 5, b: 5})
	c.advance(3*time.Second, map[*Holder]float64{a: 5, b: 5})
	pool, _ = c.leader.Pool(c.now, 1)
	sum := a.Usable(c.now, 1).plus(b.Usable(c.now, 1)).plus(pool)
	if !equalShares(sum, c.limit) {
		t.Errorf("allocations and pool sum to %v, want %v", sum, c.limit)
	}
}

// Each member that joins reduces the reserved minimums of the others, so that the sum stays within
// the limit.
func TestFortyMembersJoinASmallLimit(t *testing.T) {
	c := newCluster(t, Share{3, 9})
	demand := map[*Holder]float64{}
	for i := range 40 {
		demand[c.member("n"+string(rune('A'+i)), 1)] = 1
	}
	c.advance(6*time.Second, demand)
	var sum Share
	for h := range demand {
		usable := h.Usable(c.now, 1)
		if usable.isZero() {
			t.Error("a member has no reserved minimum")
		}
		sum = sum.plus(usable)
	}
	if pool, _ := c.leader.Pool(c.now, 1); !equalShares(sum.plus(pool), c.limit) {
		t.Errorf("allocations of %v and a pool of %v don't sum to %v", sum, pool, c.limit)
	}
}

// When a role is transferred, the leader carries over the whole pool, and grants and renews nothing
// afterwards.
func TestCloseCarriesOverThePool(t *testing.T) {
	c := newCluster(t, Share{10, 100})
	a := c.member("a", 1)
	c.advance(20*time.Second, map[*Holder]float64{a: 2})
	_, level := c.leader.Pool(c.now, 1)
	round := c.leader.Close(c.now)
	if round == nil {
		t.Fatal("nothing is carried over")
	}
	c.apply(round)
	if c.grant(0.1) {
		t.Error("the leader granted units after its last round")
	}
	response := c.leader.Renew(c.now, a.RenewRequest(c.now, 0))
	if response.Code != controlpb.Code_NOT_LEADER {
		t.Error("the leader renewed an allocation after its last round")
	}
	c.elect()
	if _, started := c.leader.Pool(c.now, 1); started < level-1e-9 || started > level+1e-9 {
		t.Errorf("the next leader starts with %v units, want %v", started, level)
	}
}

// Units that overflowed while all buckets were full had no headroom. A reduction that is applied
// later must not return them to the pool with the burst that it frees.
func TestReductionReturnsOnlyUnitsThatExceedIt(t *testing.T) {
	c := newCluster(t, Share{10, 50})
	a, b := c.member("a", 1), c.member("b", 1)
	c.advance(30*time.Second, map[*Holder]float64{a: 2}) // all buckets are full, and a's overflows
	held := a.Usable(c.now, 1)
	c.now += 2 * time.Second // the overflow of a's bucket in this time is reported below
	// b's demand reduces a's allocation.
	b.RecordDemand(c.now, 1, c.limit, 2, 20)
	c.renew(b)
	c.commitRound()
	used := a.Available(c.now, 1)
	a.Consume(c.now, 1, used)
	c.renew(a)
	for c.commitRound() {
		c.renew(a)
		c.renew(b)
	}
	if after := a.Usable(c.now, 1); after.Burst > held.Burst-5 {
		t.Fatalf("a's allocation was not reduced: it was %v and is %v", held, after)
	}
	_, pool := c.leader.Pool(c.now, 1)
	stored := pool + a.Available(c.now, 1) + b.Available(c.now, 1)
	allowed := c.limit.Burst - used // all buckets were full, and no time has passed since
	if stored > allowed+roundingTolerance {
		t.Errorf("%.3f units are stored, of which %.3f in the pool, and the limit allows %.3f",
			stored, pool, allowed)
	}
}

// Granted units that never reached the member are lost when its allocation expires. A later grant
// must not include them.
func TestUndeliveredGrantExpires(t *testing.T) {
	c := newCluster(t, Share{10, 50})
	a := c.member("a", 1)
	c.now += 20 * time.Second // the pool is full
	a.RecordDemand(c.now, 1, c.limit, 2, 5)
	c.leader.Renew(c.now, a.RenewRequest(c.now, 0)) // no response reaches a
	c.commitRound()                                 // grants a its first allocation
	granted := c.leader.budgets[1].holdings[a.member].unitsGranted
	if granted < 5 {
		t.Fatalf("%v units were granted, want at least 5", granted)
	}
	reservedTTL := c.leader.config.withDrift(c.leader.config.ReservedTTL)
	for end := c.now + reservedTTL + time.Second; c.now < end; c.now += 50 * ms {
		c.commitRound()
	}
	for c.grant(1) {
	}
	empty := c.now
	_, left := c.leader.Pool(c.now, 1)
	c.now += 3 * time.Second
	a.RecordDemand(c.now, 1, c.limit, 2, 5)
	c.leader.Renew(c.now, a.RenewRequest(c.now, 0)) // no response reaches a again
	c.commitRound()                                 // grants a its second allocation
	c.renew(a)
	_, pool := c.leader.Pool(c.now, 1)
	allowed := left + c.limit.Rate*(c.now-empty).Seconds()
	if stored := pool + a.Available(c.now, 1); stored > allowed+roundingTolerance {
		t.Errorf("%.3f units are stored, of which %.3f in the pool, and the limit allows %.3f",
			stored, pool, allowed)
	}
	if usable := a.Usable(c.now, 1); usable.isZero() {
		t.Error("the member got no new allocation")
	}
}

// Headroom that the pool had in the past is used once, even if several members return units that
// became free at that time. Otherwise the pool would have more units than after returns in time.
func TestLateReturnsOfSeveralMembersShareTheHeadroom(t *testing.T) {
	c := newCluster(t, Share{10, 50})
	a, b := c.member("a", 1), c.member("b", 1)
	members := map[*Holder]float64{a: 2, b: 2}
	c.advance(30*time.Second, members) // all buckets are full
	for range 5 {
		if !c.grant(1) {
			t.Fatal("a full pool grants nothing")
		}
	}
	c.now += headroomInterval
	for range 2 {
		for h := range members {
			h.RecordDemand(c.now, 1, c.limit, 2, 0.01)
			c.renew(h) // reports the units that became free before
		}
	}
	for range 10 { // the pool is nearly full at the end, and both members' buckets overflow
		c.now += headroomInterval
		c.leader.Pool(c.now, 1)
	}
	drained := 0.0
	for c.grant(1) {
		drained++
	}
	for h := range members {
		c.renew(h)
	}
	_, pool := c.leader.Pool(c.now, 1)
	stored := pool + a.Available(c.now, 1) + b.Available(c.now, 1)
	if allowed := c.limit.Burst - drained; drained == 0 || stored > allowed+roundingTolerance {
		t.Errorf("%.3f units are stored, of which %.3f in the pool, and the limit allows %.3f",
			stored, pool, allowed)
	}
}

// A bucket overflows while the response with a reduction is in flight, so that the member reports
// the overflow together with the units that the reduction released. Only the latter may go back to
// the pool.
func TestOverflowReportedWithAReductionIsNotReleasedByIt(t *testing.T) {
	c := newCluster(t, Share{10, 50})
	a, b := c.member("a", 1), c.member("b", 1)
	c.advance(30*time.Second, map[*Holder]float64{a: 2}) // all buckets are full
	b.RecordDemand(c.now, 1, c.limit, 2, 20)
	c.renew(b)
	c.commitRound() // announces a's reduction
	sent, request := c.now, a.RenewRequest(c.now, 0)
	response := c.leader.Renew(c.now, request)
	c.now += 2 * time.Second // a's bucket overflows
	used := a.Available(c.now, 1) - 1
	a.Consume(c.now, 1, used)
	if !a.HandleRenewal(c.now, sent, 0, request, response) {
		t.Fatal("a's allocation is not reduced")
	}
	for c.renew(a); c.commitRound(); c.renew(a) {
		c.renew(b)
	}
	_, pool := c.leader.Pool(c.now, 1)
	stored := pool + a.Available(c.now, 1) + b.Available(c.now, 1)
	if allowed := c.limit.Burst - used; stored > allowed+roundingTolerance {
		t.Errorf("%.3f units are stored, of which %.3f in the pool, and the limit allows %.3f",
			stored, pool, allowed)
	}
}
