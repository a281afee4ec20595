package allocation

import (
	"testing"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// Stored units are returned when an allocation is reduced, once.
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
		t.Fatalf("%v units are available after 7 were granted", got)
	}
	if !h.HandleRenewal(now, now, 0, h.RenewRequest(now, 0), response(2, 3, 7)) {
		t.Error("after a reduction it does not renew at once")
	}
	h.HandleRenewal(now, now, 0, request, response(1, 8, 7)) // a late duplicate
	r := h.RenewRequest(now, 0)
	if got := h.Available(now, 1); got != 3 {
		t.Errorf("%v units are kept", got)
	}
	if len(r.Demands) != 1 || r.Demands[0].UnitsReturned != 4 || r.AppliedUpdate != 2 {
		t.Errorf("the renewal after the reduction is %v", r)
	}
}

// An allocation that expired starts again from its reserved minimum.
func TestExpiredAllocationLosesStoredUnitsBeforeItHoldsAgain(t *testing.T) {
	c := newCluster(t, Share{10, 100})
	a := c.member("a", 1)
	c.advance(20*time.Second, map[*Holder]float64{a: 1})
	if a.Available(c.now, 1) < 30 {
		t.Fatalf("only %v units are stored", a.Available(c.now, 1))
	}
	// The renewal is sent before the expiry, and answered after it: the allocation is the same
	// again.
	c.now += testConfig().TTL - 100*ms
	sent, request := c.now, a.RenewRequest(c.now, 0)
	c.now += 200 * ms
	a.HandleRenewal(c.now, sent, 0, request, c.leader.Renew(c.now, request))
	reservedMin := testReservedMin(c.limit)
	if usable := a.Usable(c.now, 1); usable.Burst <= 2*reservedMin.Burst {
		t.Errorf("after the expiry it may use %v", usable)
	}
	if level := a.Available(c.now, 1); level > reservedMin.Burst+1 {
		t.Errorf("after the expiry %v units are available", level)
	}
}
