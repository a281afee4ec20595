package allocation

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

const ms = time.Millisecond

// terms is a table of duties with one owner.
type terms struct {
	term uint64
	who  lease.Member
}

func (t *terms) Fence(_ string, term uint64, who lease.Member) error {
	if term != t.term || who != t.who {
		return lease.ErrStaleTerm
	}
	return nil
}

// rules are the defaults with larger parts: what is shown here is how parts move.
func rules() Config {
	r := DefaultConfig()
	r.ReservedFraction, r.PoolFraction = 0.2, 0.4
	return r
}

// rig is an owner, the log that it proposes to, and its members, with no network between.
type rig struct {
	t     *testing.T
	now   time.Duration
	log   *Machine
	terms *terms
	owner *Leader
	whole Share
}

func newRig(t *testing.T, whole Share) *rig {
	r := &rig{t: t, now: time.Hour, terms: &terms{0, lease.Member{ID: "o", Incarnation: 1}}, whole: whole}
	r.log = NewMachine(r.terms)
	r.elect()
	return r
}

// elect begins a new term.
func (r *rig) elect() {
	r.t.Helper()
	r.terms.term++
	var books controlpb.Ledger
	if err := proto.Unmarshal(r.log.Query(0, []byte(RoleOfShard(0))), &books); err != nil {
		r.t.Fatal(err)
	}
	var err error
	if r.owner, err = NewLeader(r.now, rules(), RoleOfShard(0), r.terms.term, &books); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) member(id string, boot uint64) *Holder {
	return NewHolder(rules(), lease.Member{ID: id, Incarnation: boot}, 1)
}

// renew has a member renew, and act on what it is told.
func (r *rig) renew(h *Holder) {
	for range 3 {
		ask := h.RenewRequest(r.now, 0)
		if !h.HandleRenewal(r.now, r.now, 0, ask, r.owner.Renew(r.now, ask)) {
			return
		}
	}
}

// round has what is planned agreed, if anything is.
func (r *rig) round() bool {
	r.t.Helper()
	p := r.owner.Plan(r.now)
	if p == nil {
		return false
	}
	var res Result
	if err := json.Unmarshal(r.log.Apply(r.now, 0, r.terms.who, marshal(p)), &res); err != nil || !res.OK {
		r.t.Fatalf("%v %+v", err, res)
	}
	r.owner.Committed(r.now)
	return true
}

// settle plays some seconds in which members ask for so many units a second each.
func (r *rig) settle(d time.Duration, ask map[*Holder]float64) {
	r.t.Helper()
	for end := r.now + d; r.now < end; r.now += 50 * ms {
		for h, units := range ask {
			if units > 0 {
				h.RecordDemand(r.now, 1, r.whole, 2, units/20)
			}
			r.renew(h)
		}
		r.round()
	}
}

func (r *rig) lend(units float64) bool {
	a := r.owner.GrantOnDemand(r.now, &controlpb.OnDemandRequest{Role: RoleOfShard(0), Budget: 1, Units: units, MaxMembers: 2, Limit: r.whole.proto()})
	if a.AwaitRound && r.round() {
		return r.lend(units)
	}
	return a.Granted
}

func TestPartsFollowDemand(t *testing.T) {
	r := newRig(t, Share{10, 100})
	a, b := r.member("a", 1), r.member("b", 1)
	r.settle(6*time.Second, map[*Holder]float64{a: 9, b: 1})
	if x, y := a.Usable(r.now, 1), b.Usable(r.now, 1); x.Burst < 3*y.Burst || y.Burst < 9 {
		t.Fatalf("nine tenths of the demand have %v, one %v", x, y)
	}
	r.settle(40*time.Second, map[*Holder]float64{a: 1, b: 9})
	x, y := a.Usable(r.now, 1), b.Usable(r.now, 1)
	if 2*y.Burst < 3*x.Burst {
		t.Errorf("demand has moved, and parts are %v and %v", x, y)
	}
	free, _ := r.owner.Pool(r.now, 1)
	if sum := x.plus(y).plus(free); !equalShares(sum, r.whole) {
		t.Errorf("parts %v, %v and reserve %v make %v", x, y, free, sum)
	}
}

// A part is not given to another before its holder has heard that it is less.
func TestLessenedOnlyWhenHeard(t *testing.T) {
	r := newRig(t, Share{10, 100})
	a, b := r.member("a", 1), r.member("b", 1)
	r.settle(6*time.Second, map[*Holder]float64{a: 10, b: 0})
	had := a.Usable(r.now, 1)
	// a is not heard any more, b asks for all.
	silent := r.now
	for r.now < silent+2*time.Second {
		r.settle(50*ms, map[*Holder]float64{b: 10})
		if sum := had.plus(b.Usable(r.now, 1)); !sum.within(r.whole) {
			t.Fatalf("%v after the last word of a, which has %v, b has %v", r.now-silent, had, b.Usable(r.now, 1))
		}
	}
	r.settle(4*time.Second, map[*Holder]float64{b: 10})
	if floor := a.Usable(r.now, 1); !equalShares(floor, floorOf(r.whole)) {
		t.Errorf("unheard for %v, a has %v", r.now-silent, floor)
	}
	if got := b.Usable(r.now, 1); got.Burst < had.Burst-11 {
		t.Errorf("b has %v of the %v that a had", got, had)
	}
	r.settle(70*time.Second, map[*Holder]float64{b: 10})
	if left := a.Usable(r.now, 1); !left.isZero() {
		t.Errorf("a has %v after its floor's span", left)
	}
}

func floorOf(whole Share) Share {
	r := rules()
	return r.ReservedMin(whole, 2)
}

// What lies stored goes back when a part is lessened, once.
func TestStoredUnitsGoWithTheirPart(t *testing.T) {
	h := NewHolder(rules(), lease.Member{ID: "a", Incarnation: 1}, 1)
	now := time.Hour
	h.RecordDemand(now, 1, Share{10, 100}, 2, 1)
	ask := h.RenewRequest(now, 0)
	word := func(number uint64, burst, given float64) *controlpb.RenewResponse {
		return &controlpb.RenewResponse{Term: 1, LastUpdate: number, Timestamp: int64(now), Ttl: int64(3 * time.Second), ReservedTtl: int64(time.Minute),
			Updates: []*controlpb.AllocationUpdate{{Budget: 1, Number: number, Total: Share{0, burst}.proto(), ReservedMin: Share{0, 1}.proto(), UnitsGranted: given}}}
	}
	h.HandleRenewal(now, now, 0, ask, word(1, 8, 7))
	h.HandleRenewal(now, now, 0, ask, word(1, 8, 7)) // it comes twice
	if got := h.Available(now, 1); got != 7 {
		t.Fatalf("%v units after 7 were given", got)
	}
	if !h.HandleRenewal(now, now, 0, h.RenewRequest(now, 0), word(2, 3, 7)) {
		t.Error("lessened, it has nothing to say at once")
	}
	h.HandleRenewal(now, now, 0, ask, word(1, 8, 7)) // and once more, late
	w := h.RenewRequest(now, 0)
	if got := h.Available(now, 1); got != 3 || len(w.Demands) != 1 || w.Demands[0].UnitsReturned != 4 || w.AppliedUpdate != 2 {
		t.Errorf("%v units are kept, and %v told", got, w)
	}
}

// A part that had lapsed begins anew from its floor.
func TestLapsedPartIsCutBeforeItHoldsAnew(t *testing.T) {
	r := newRig(t, Share{10, 100})
	a := r.member("a", 1)
	r.settle(20*time.Second, map[*Holder]float64{a: 1})
	if a.Available(r.now, 1) < 30 {
		t.Fatalf("only %v units are stored", a.Available(r.now, 1))
	}
	// The renewal is sent before the end, and answered after it: it has all of its part again.
	r.now += rules().TTL - 100*ms
	sent, ask := r.now, a.RenewRequest(r.now, 0)
	r.now += 200 * ms
	a.HandleRenewal(r.now, sent, 0, ask, r.owner.Renew(r.now, ask))
	floor := floorOf(r.whole)
	if part, level := a.Usable(r.now, 1), a.Available(r.now, 1); part.Burst <= 2*floor.Burst || level > floor.Burst+1 {
		t.Errorf("after a lapse it has %v of %v", level, part)
	}
}

// Units that come back late are as if they had come when they came free: had the reserve no room then, they are lost.
func TestUnitsThatComeBackLateFindNoRoomThatCameSince(t *testing.T) {
	for _, full := range []bool{true, false} {
		r := newRig(t, Share{10, 50})
		a := r.member("a", 1)
		r.settle(20*time.Second, map[*Holder]float64{a: 2}) // all banks are full, and a's spills
		drain := func() {
			for r.lend(1) {
			}
		}
		if !full {
			drain()
		}
		for range 2 {
			r.now += 2 * headroomInterval
			r.renew(a)
		}
		r.now += 300 * ms // what a's full bank spills now comes back below
		spilt := a.Usable(r.now, 1).Rate * 0.3
		free, _ := r.owner.Pool(r.now, 1)
		drain()
		_, before := r.owner.Pool(r.now, 1)
		r.renew(a)
		_, after := r.owner.Pool(r.now, 1)
		switch came := after - before; {
		case spilt < 0.5:
			t.Fatalf("%v units spilt", spilt)
		case full && came > 1e-9:
			t.Errorf("%v units came into room that was not there when %v came free: the reserve of %v was full", came, spilt, free)
		case !full && came < 0.9*spilt:
			t.Errorf("%v of %v units came back, and there was room for all", came, spilt)
		}
	}
}

// What is kept for the next owner is lent only after it is agreed that less is kept.
func TestKeptIsNotLentBeforeThatIsAgreed(t *testing.T) {
	r := newRig(t, Share{10, 100})
	a := r.member("a", 1)
	r.settle(20*time.Second, map[*Holder]float64{a: 2})
	ask := &controlpb.OnDemandRequest{Role: RoleOfShard(0), Budget: 1, Units: 1, MaxMembers: 2, Limit: r.whole.proto()}
	agreed := func() float64 { return r.log.ledgers[RoleOfShard(0)][1].carryover }
	if agreed() < 10 {
		t.Fatalf("%v units are kept", agreed())
	}
	lend := func() (soon bool) {
		for range 100 {
			l := r.owner.GrantOnDemand(r.now, ask)
			if level := r.owner.budgets[1].bucket.level; level < agreed()-1e-9 {
				t.Fatalf("%v units are left, and %v are agreed to be kept", level, agreed())
			}
			if soon = soon || l.AwaitRound; !l.Granted {
				break
			}
		}
		return soon
	}
	if !lend() {
		t.Error("all is lent without a round")
	}
	if r.owner.Plan(r.now) == nil {
		t.Fatal("no round is planned that keeps less")
	}
	lend() // and before it is agreed
}

// What is proposed for a member is not lent beside that.
func TestProposedIsGiven(t *testing.T) {
	r := newRig(t, Share{10, 100})
	a := r.member("a", 1)
	a.RecordDemand(r.now, 1, r.whole, 2, 5)
	r.now += 20 * time.Second
	r.renew(a)
	before, _ := r.owner.Pool(r.now, 1)
	round := r.owner.Plan(r.now)
	if round == nil {
		t.Fatal("nothing is planned for a newcomer")
	}
	part := shareOf(round.Changes[0].Allocations[0].Total)
	if after, _ := r.owner.Pool(r.now, 1); part.isZero() || !equalShares(after.plus(part), before) {
		t.Errorf("%v is proposed, and the reserve of %v is %v", part, before, after)
	}
}

// A new owner begins with what the one before has kept, and lends that at once.
func TestNewOwnerHasWhatWasKept(t *testing.T) {
	r := newRig(t, Share{10, 100})
	a := r.member("a", 1)
	r.settle(20*time.Second, map[*Holder]float64{a: 2})
	free, _ := r.owner.Pool(r.now, 1)
	for range 3 {
		if !r.lend(4) {
			t.Fatal("the reserve lends nothing")
		}
	}
	had := r.owner.budgets[1].bucket.level
	r.elect()
	began := r.owner.budgets[1].bucket.level
	if began > had || began < 0.5*free.Burst {
		t.Errorf("the owner before had %v of a reserve of %v, the next begins with %v", had, free, began)
	}
	if !r.lend(4) {
		t.Error("and lends none of it")
	}
	if got := r.owner.budgets[1].bucket.level; got > began-4+1e-9 {
		t.Errorf("%v of %v are left after a loan of 4", got, began)
	}
}

func TestLeavingAndHeirs(t *testing.T) {
	r := newRig(t, Share{10, 100})
	a, b := r.member("a", 1), r.member("b", 1)
	r.settle(5*time.Second, map[*Holder]float64{a: 5, b: 5})
	ask := a.ReleaseAll(r.now)[0]
	if a.Available(r.now, 1) != 0 || !a.Usable(r.now, 1).isZero() {
		t.Fatal("it has left, and holds something")
	}
	r.owner.Renew(r.now, ask)
	r.settle(3*time.Second, map[*Holder]float64{b: 5})
	if got := b.Usable(r.now, 1); got.Burst < 50 {
		t.Errorf("3 s after a has left, b has %v", got)
	}
	// b is killed; its heir, which has the lock on its folder, has all of it at once.
	heir := r.member("b", 2)
	heir.RecordDemand(r.now, 1, r.whole, 2, 1)
	word := heir.RenewRequest(r.now, 0)
	word.EndedIncarnations = []uint64{1}
	heir.HandleRenewal(r.now, r.now, 0, word, r.owner.Renew(r.now, word))
	r.settle(2*time.Second, map[*Holder]float64{heir: 5})
	if got := heir.Usable(r.now, 1); got.Burst < 50 {
		t.Errorf("2 s after its start the heir has %v", got)
	}
	late := b.RenewRequest(r.now, 0)
	if a := r.owner.Renew(r.now, late); a.Code != controlpb.Code_SUPERSEDED {
		t.Errorf("one that runs no more, by its heir's word, is told %v", a)
	}
}

// A quota lessened to a tenth while all of it is out: nothing is raised until the parts sum to the new whole, which they do
// as soon as all have been heard, and after a span whoever was not.
func TestQuotaLessenedWhileAllIsOut(t *testing.T) {
	r := newRig(t, Share{10, 100})
	a, b := r.member("a", 1), r.member("b", 1)
	r.settle(5*time.Second, map[*Holder]float64{a: 5, b: 5})
	r.whole = Share{1, 10}
	r.settle(500*ms, map[*Holder]float64{a: 5}) // b is silent
	r.settle(4*time.Second, map[*Holder]float64{a: 5})
	free, _ := r.owner.Pool(r.now, 1)
	floor := floorOf(Share{10, 100}) // that b was told of
	if sum := a.Usable(r.now, 1).plus(free).minus(floor); !sum.within(r.whole) {
		t.Errorf("a has %v and the reserve is %v of %v", a.Usable(r.now, 1), free, r.whole)
	}
	r.settle(time.Second, map[*Holder]float64{a: 5, b: 5})
	r.settle(3*time.Second, map[*Holder]float64{a: 5, b: 5})
	free, _ = r.owner.Pool(r.now, 1)
	if sum := a.Usable(r.now, 1).plus(b.Usable(r.now, 1)).plus(free); !equalShares(sum, r.whole) {
		t.Errorf("parts sum to %v of %v", sum, r.whole)
	}
}

// Floors that alone would pass the whole are lessened with each member more.
func TestFortyJoinASmallQuota(t *testing.T) {
	r := newRig(t, Share{3, 9})
	ask := map[*Holder]float64{}
	for i := range 40 {
		ask[r.member("n"+string(rune('A'+i)), 1)] = 1
	}
	r.settle(6*time.Second, ask)
	var sum Share
	for h := range ask {
		may := h.Usable(r.now, 1)
		if may.isZero() {
			t.Error("one has no floor")
		}
		sum = sum.plus(may)
	}
	if free, _ := r.owner.Pool(r.now, 1); !equalShares(sum.plus(free), r.whole) {
		t.Errorf("parts of %v and a reserve of %v", sum, free)
	}
}

func TestMachineRefuses(t *testing.T) {
	f := &terms{3, lease.Member{ID: "o", Incarnation: 1}}
	m := NewMachine(f)
	apply := func(r *controlpb.Round) Result {
		var res Result
		if err := json.Unmarshal(m.Apply(0, 0, f.who, marshal(r)), &res); err != nil {
			t.Fatal(err)
		}
		return res
	}
	part := func(who uint32, part, floor Share) *controlpb.MemberAllocation {
		return &controlpb.MemberAllocation{Member: who, Total: part.proto(), ReservedMin: floor.proto()}
	}
	two := []*controlpb.Member{{Id: "a", Incarnation: 1}, {Id: "b", Incarnation: 1}}
	round := func(term uint64, held ...*controlpb.MemberAllocation) *controlpb.Round {
		return &controlpb.Round{Role: RoleOfShard(0), Term: term, Members: two,
			Changes: []*controlpb.BudgetChange{{Budget: 1, Limit: Share{10, 10}.proto(), MaxMembers: 2, Allocations: held}}}
	}
	if r := apply(round(3, part(0, Share{6, 6}, Share{1, 1}))); !r.OK {
		t.Fatal(r.Why)
	}
	before := m.Snapshot()
	for what, r := range map[string]*controlpb.Round{
		"more than the whole":   round(3, part(1, Share{5, 4}, Share{})),
		"an old term":           round(2, part(1, Share{1, 1}, Share{})),
		"a floor over its part": round(3, part(1, Share{1, 1}, Share{2, 2})),
		"less than nothing":     round(3, part(1, Share{-1, 1}, Share{})),
		"no number":             round(3, part(1, Share{math.NaN(), 1}, Share{})),
		"a member of none":      round(3, part(7, Share{1, 1}, Share{})),
		"a budget twice": {Role: RoleOfShard(0), Term: 3, Members: two, Changes: []*controlpb.BudgetChange{
			{Budget: 2, Limit: Share{1, 1}.proto()}, {Budget: 2, Limit: Share{1, 1}.proto()}}},
	} {
		if res := apply(r); res.OK || res.Why == "" {
			t.Errorf("%s: taken", what)
		}
	}
	if string(m.Snapshot()) != string(before) {
		t.Error("what was refused has changed something")
	}
	other := NewMachine(f)
	if err := other.Restore(before); err != nil || string(other.Snapshot()) != string(before) {
		t.Errorf("a snapshot reads back as another: %v", err)
	}
	if other.Restore([]byte("\xff")) == nil || json.Unmarshal(m.Apply(0, 0, f.who, []byte("\xff")), &Result{}) != nil {
		t.Error("noise is taken")
	}
}

// Whatever is proposed, the parts that are agreed sum to no more than the whole.
func TestAgreedPartsNeverPassTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &terms{1, lease.Member{ID: "o", Incarnation: 1}}
		m := NewMachine(f)
		whole := Share{10, 20}
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			r := &controlpb.Round{Role: RoleOfShard(0), Term: 1, Changes: []*controlpb.BudgetChange{{Budget: 1, Limit: whole.proto(), MaxMembers: 3}}}
			for i := range rapid.IntRange(1, 4).Draw(t, "members") {
				r.Members = append(r.Members, &controlpb.Member{Id: "n", Incarnation: rapid.Uint64Range(1, 5).Draw(t, "boot")})
				p := Share{rapid.Float64Range(0, 8).Draw(t, "rate"), rapid.Float64Range(0, 16).Draw(t, "burst")}
				r.Changes[0].Allocations = append(r.Changes[0].Allocations, &controlpb.MemberAllocation{Member: uint32(i), Total: p.proto(), ReservedMin: p.times(0.1).proto()})
			}
			m.Apply(0, 0, f.who, marshal(r))
			for _, b := range m.ledgers[RoleOfShard(0)] {
				if sum := totalOf(b.allocations); !sum.within(whole) {
					t.Fatalf("%v of %v", sum, whole)
				}
			}
		}
	})
}

// However demand lies, parts, and the floors of those who are not there, leave the reserve.
func TestDivideLeavesFloorsAndReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rules()
		r.ReservedFraction, r.PoolFraction = rapid.Float64Range(0, 1).Draw(t, "floor"), rapid.Float64Range(0, 1).Draw(t, "reserve")
		whole := Share{rapid.Float64Range(0.1, 100).Draw(t, "rate"), rapid.Float64Range(1, 100).Draw(t, "burst")}
		spread := rapid.IntRange(1, 6).Draw(t, "spread")
		var claims []Claim
		for range rapid.IntRange(0, 8).Draw(t, "members") {
			claims = append(claims, Claim{rapid.Float64Range(0, 50).Draw(t, "demand"), rapid.Float64Range(1, 8).Draw(t, "most"), rapid.Bool().Draw(t, "idle")})
		}
		var sum Share
		for i, p := range Divide(whole, spread, &r, claims) {
			sum = sum.plus(p)
			if floor := r.ReservedMin(whole, max(spread, len(claims))); claims[i].Idle != p.isZero() && !floor.isZero() || !claims[i].Idle && !floor.within(p) {
				t.Fatalf("%v for %+v", p, claims[i])
			}
		}
		if most := whole.times(r.ReservedFraction + (1-r.ReservedFraction)*(1-r.PoolFraction)); !sum.within(most) {
			t.Fatalf("%v of %v", sum, most)
		}
	})
}

// A term that is handed on keeps all of its reserve for the next, and lends and renews nothing afterwards.
func TestCloseKeepsAll(t *testing.T) {
	r := newRig(t, Share{10, 100})
	a := r.member("a", 1)
	r.settle(20*time.Second, map[*Holder]float64{a: 2})
	_, had := r.owner.Pool(r.now, 1)
	p := r.owner.Close(r.now)
	if p == nil {
		t.Fatal("nothing is kept")
	}
	var res Result
	if err := json.Unmarshal(r.log.Apply(r.now, 0, r.terms.who, marshal(p)), &res); err != nil || !res.OK {
		t.Fatal(err, res)
	}
	r.owner.Committed(r.now)
	if r.lend(0.1) || r.owner.Renew(r.now, a.RenewRequest(r.now, 0)).Code != controlpb.Code_NOT_LEADER {
		t.Error("it lends or renews after its last round")
	}
	r.elect()
	if _, began := r.owner.Pool(r.now, 1); began < had-1e-9 || began > had+1e-9 {
		t.Errorf("the next begins with %v of %v", began, had)
	}
}
