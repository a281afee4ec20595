package policy

import "testing"

// A fault that concerns one class or plan, and that each gateway sees too rarely to detect by
// itself, diverts only that class or plan from the backend.
func TestFaultReportsDivertOneClassOrPlan(t *testing.T) {
	for _, c := range []struct {
		result                                 Result
		class, plan                            int // of the request that fails
		divertedClass, servedClass, servedPlan int // that avoid the backend, and that do not
	}{
		{TimedOut, 0, 1, 0, 1, 1},
		{Rejected, 0, 1, 0, 0, 0},
	} {
		a, b := newPair(t)
		id, _ := a.request(c.class, c.plan, 9, 1)
		faulty := a.requests[id].attempts[0].backend.Backend
		a.endAttempt(id, c.result, true)
		gossipTo(a, b)
		used := func(class, plan int) bool {
			for i := range 40 {
				id, sent := b.request(class, plan, uint64(100+i), 1)
				if sent && b.requests[id].attempts[0].backend.Backend == faulty {
					return true
				}
				if sent {
					b.endAttempt(id, OK, true)
				}
			}
			return false
		}
		if used(c.divertedClass, c.plan) {
			t.Errorf("result %d: the backend is still picked for requests that fail there",
				c.result)
		}
		if !used(c.servedClass, c.servedPlan) {
			t.Errorf("result %d: the backend is not picked for requests that it serves", c.result)
		}
	}
}
