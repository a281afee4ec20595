package configversion

import (
	"strings"
	"testing"
	"time"
)

// Without any items a gateway has a lease from its first response, for as long as it reaches the
// fleet.
func TestLeaseWithoutItems(t *testing.T) {
	c := DefaultConfig()
	h := NewHolder(c)
	if h.LeasedUntil(0) != 0 {
		t.Error("the holder has a lease before the first response")
	}
	h.HandleLease(2*time.Second, time.Second, &LeaseResponse{Seq: 1})
	if got := h.LeasedUntil(2 * time.Second); got != time.Second+c.TTL {
		t.Errorf("the lease is valid until %v", got)
	}
	if h.LeasedUntil(time.Second+c.TTL) != 0 {
		t.Error("the holder has a lease after the expiry")
	}
	now := 12 * time.Second
	h.HandleLease(now, now, &LeaseResponse{Seq: 2, FencedReason: "by hand"})
	if h.LeasedUntil(now) != 0 {
		t.Error("the holder has a lease although it is fenced")
	}
	if why := h.FencedReason(now); !strings.Contains(why, "by hand") {
		t.Errorf("reason for the fencing: %q", why)
	}
}

// Each time that a gateway is fenced again within the flap window, its readmission is delayed
// longer.
func TestFlappingDelaysReadmission(t *testing.T) {
	c := DefaultConfig()
	h := NewHolder(c)
	now := time.Second
	var delays []time.Duration
	for range 5 {
		h.HandleLease(now, now, &LeaseResponse{Seq: 1})
		start := now
		for ; h.LeasedUntil(now) == 0; now += 10 * time.Millisecond {
			h.HandleLease(now, now, &LeaseResponse{Seq: 1})
		}
		delays = append(delays, now-start)
		h.HandleLease(now, now, &LeaseResponse{Seq: 1, FencedReason: "not enrolled"})
		now += time.Second
	}
	for i := 3; i < len(delays); i++ {
		if delays[i] <= delays[i-1] {
			t.Errorf("the delays are %v", delays)
		}
	}
	if delays[1] != 0 || delays[2] != c.ReadmissionDelay || h.FencedCount() != 5 {
		t.Errorf("the delays are %v, and the holder was fenced %d times", delays, h.FencedCount())
	}
}
