package allocation

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

type noFence struct{}

func (noFence) Fence(string, uint64, lease.Member) error { return nil }

// A gateway that is behind in the versions of the plans raises nothing: neither with the owner that knows the newer terms, nor with the next,
// which has heard of them from the books alone.
func TestAStragglerRaisesNothing(t *testing.T) {
	const id = 7
	m := NewMachine(noFence{})
	now := time.Second
	renew := func(o *Leader, who string, boot, version uint64, whole Share) {
		t.Helper()
		a := o.Renew(now, &controlpb.RenewRequest{Member: &controlpb.Member{Id: who, Incarnation: boot}, Role: RoleOfShard(0), LimitVersion: version,
			Demands: []*controlpb.Demand{{Budget: id, Limit: whole.proto(), MaxMembers: 2, UnitsRequested: 1, MaxRequest: 1}}})
		if a.Code != controlpb.Code_OK {
			t.Fatal(a.Why)
		}
		now += 300 * time.Millisecond
		round := o.Plan(now)
		if round == nil {
			return
		}
		raw, err := proto.Marshal(round)
		if err != nil {
			t.Fatal(err)
		}
		if err := m.applyRound(lease.Member{ID: "o", Incarnation: 1}, raw); err != nil {
			t.Fatal(err)
		}
		o.Committed(now)
	}
	whole := func() (Share, uint64) {
		views, err := ReadViews(m.Query(0, nil))
		if err != nil || len(views) != 1 {
			t.Fatalf("%+v %v", views, err)
		}
		return views[0].Limit, views[0].LimitVersion
	}
	owner := func(term uint64) *Leader {
		var books controlpb.Ledger
		if err := proto.Unmarshal(m.Query(0, []byte(RoleOfShard(0))), &books); err != nil {
			t.Fatal(err)
		}
		o, err := NewLeader(now, DefaultConfig(), RoleOfShard(0), term, &books)
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	larger, smaller := Share{Rate: 8, Burst: 40}, Share{Rate: 2, Burst: 10}
	o := owner(1)
	renew(o, "a", 1, 2, larger)
	renew(o, "a", 1, 4, smaller)
	for boot := uint64(1); boot <= 4; boot++ { // one after another, the youngest last
		renew(o, "b", boot, 3, larger)
	}
	if w, v := whole(); w != smaller || v != 4 {
		t.Errorf("the whole is %v by version %d", w, v)
	}
	o = owner(2)
	for range 5 {
		renew(o, "b", 9, 3, larger)
	}
	if w, v := whole(); w != smaller || v != 4 {
		t.Errorf("with the next owner the whole is %v by version %d", w, v)
	}
	for range 3 {
		renew(o, "a", 1, 5, larger)
	}
	if w, v := whole(); w != larger || v != 5 {
		t.Errorf("by newer terms the whole is %v by version %d", w, v)
	}
}
