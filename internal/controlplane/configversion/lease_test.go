package configversion

import (
	"testing"
	"time"
)

// No lease outlasts its member's enrolment: after that nothing waits for the member's report.
func TestALeaseEndsWithTheEnrolment(t *testing.T) {
	c := DefaultConfig()
	m := enrolled(t, c, gatewayA, gatewayB)
	proposal := Command{Kind: KindPropose, Item: "plans", Digest: digestOne, Stage: StageAll}
	mustApply(t, m, 0, gatewayB, proposal)
	late := c.EnrolmentTTL - time.Second
	response := m.LeaseFor(late, gatewayA)
	if !response.MustEnrol {
		t.Error("a member whose enrolment expires is not asked to enrol")
	}
	for number, ttl := range response.Targets[0].Leases {
		if late+c.withDrift(ttl) > c.EnrolmentTTL {
			t.Errorf("the lease of %d has %v, %v before the enrolment expires",
				number, ttl, c.EnrolmentTTL-late)
		}
	}
	response = m.LeaseFor(c.EnrolmentTTL, gatewayA)
	if response.FencedReason == "" || len(response.Targets) > 0 {
		t.Errorf("a member whose enrolment has expired gets %+v", response)
	}
}
