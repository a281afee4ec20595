package allocation

import (
	"testing"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// When an allocation is reduced, the stored units that exceed it are returned exactly once, also if
// responses are duplicated or late.
func TestStoredUnitsMoveWithTheirAllocation(t *testing.T) {
	h := NewHolder(testConfig(), lease.Member{ID: "a", Incarnation: 1}, 1)
	now := time.Hour
	h.RecordDemand(now, 1, Share{10, 100}, 2, 1)
	request := h.RenewRequest(now, 0)
	response := func(number uint64, burst, granted float64) *controlpb.RenewResponse {
		return &controlpb.RenewResponse{
			Term:        1,
			LastUpdate:  number,
			Timestamp:   int64(now),
			Ttl:         int64(3 * time.Second),
			ReservedTtl: int64(time.Minute),
			Updates: []*controlpb.AllocationUpdate{{
				Budget:       1,
				Number:       number,
				Total:        Share{0, burst}.proto(),
				ReservedMin:  Share{0, 1}.proto(),
				UnitsGranted: granted,
			}},
		}
	}
	h.HandleRenewal(now, now, 0, request, response(1, 8, 7))
	h.HandleRenewal(now, now, 0, request, response(1, 8, 7)) // a duplicate
	if got := h.Available(now, 1); got != 7 {
		t.Fatalf("%v units are available, want the 7 that were granted", got)
	}
	if !h.HandleRenewal(now, now, 0, h.RenewRequest(now, 0), response(2, 3, 7)) {
		t.Error("HandleRenewal did not request an immediate renewal after a reduction")
	}
	h.HandleRenewal(now, now, 0, request, response(1, 8, 7)) // a late duplicate
	r := h.RenewRequest(now, 0)
	if got := h.Available(now, 1); got != 3 {
		t.Errorf("%v units are available after the reduction, want 3", got)
	}
	if len(r.Demands) != 1 || r.Demands[0].UnitsReturned != 4 || r.AppliedUpdate != 2 {
		t.Errorf("the renewal after the reduction is %v, want 4 returned units and update 2", r)
	}
}

// An allocation that expired and is renewed later has no more stored units than its reserved
// minimum allows.
func TestExpiredAllocationLosesStoredUnitsBeforeItHoldsAgain(t *testing.T) {
	c := newCluster(t, Share{10, 100})
	a := c.member("a", 1)
	c.advance(20*time.Second, map[*Holder]float64{a: 1})
	if a.Available(c.now, 1) < 30 {
		t.Fatalf("%v units are stored before the expiry, want at least 30", a.Available(c.now, 1))
	}
	// The renewal is sent before the expiry and answered after it. The leader still has the full
	// allocation, and the response renews it.
	c.now += testConfig().TTL - 100*ms
	sent, request := c.now, a.RenewRequest(c.now, 0)
	c.now += 200 * ms
	a.HandleRenewal(c.now, sent, 0, request, c.leader.Renew(c.now, request))
	reservedMin := testReservedMin(c.limit)
	if usable := a.Usable(c.now, 1); usable.Burst <= 2*reservedMin.Burst {
		t.Errorf("after the late response the member may use %v, want the full allocation", usable)
	}
	if level := a.Available(c.now, 1); level > reservedMin.Burst+1 {
		t.Errorf("after the late response %v units are available, want at most %v",
			level, reservedMin.Burst+1)
	}
}
