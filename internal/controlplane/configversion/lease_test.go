package configversion

import (
	"testing"
	"time"
)

// No lease outlasts the enrolment of its member, because afterwards the machine no longer waits for
// the reports of that member.
func TestLeaseEndsWithEnrolment(t *testing.T) {
	c := DefaultConfig()
	m := enrolled(t, c, gatewayA, gatewayB)
	proposal := Command{Kind: KindPropose, Item: "plans", Digest: digestOne, Stage: StageAll}
	mustApply(t, m, 0, gatewayB, proposal)
	nearExpiry := c.EnrolmentTTL - time.Second
	response := m.LeaseFor(nearExpiry, gatewayA)
	if !response.MustEnrol {
		t.Error("a member whose enrolment expires soon is not told to enrol again")
	}
	for number, ttl := range response.Targets[0].Leases {
		if nearExpiry+c.withDrift(ttl) > c.EnrolmentTTL {
			t.Errorf("the lease of version %d lasts %v, but the enrolment expires in %v",
				number, ttl, c.EnrolmentTTL-nearExpiry)
		}
	}
	response = m.LeaseFor(c.EnrolmentTTL, gatewayA)
	if response.FencedReason == "" || len(response.Targets) > 0 {
		t.Errorf("a member whose enrolment has expired gets %+v", response)
	}
}
