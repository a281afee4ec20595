package policy

import "testing"

// A fault for one class or plan, which each gateway meets too rarely to learn of by itself, diverts
// that class or plan only.
func TestFaultReportsDivertOneClassOrPlan(t *testing.T) {
	for _, c := range []struct {
		how                Result
		class, plan        int // of the request that meets the fault
		same, other, plans int // classes and plans that avoid the backend, and that do not
	}{
		{TimedOut, 0, 1, 0, 1, 1},
		{Rejected, 0, 1, 0, 0, 0},
	} {
		a, b := newPair(t)
		id, _ := a.request(c.class, c.plan, 9, 1)
		bad := a.requests[id].attempts[0].backend.Backend
		a.endAttempt(id, c.how, true)
		gossipTo(a, b)
		used := func(class, plan int) bool {
			for i := range 40 {
				id, sent := b.request(class, plan, uint64(100+i), 1)
				if sent && b.requests[id].attempts[0].backend.Backend == bad {
					return true
				}
				if sent {
					b.endAttempt(id, OK, true)
				}
			}
			return false
		}
		if used(c.same, c.plan) {
			t.Errorf("%d: the backend is still picked for what it fails", c.how)
		}
		if !used(c.other, c.plans) {
			t.Errorf("%d: the backend gets nothing of what it serves", c.how)
		}
	}
}
