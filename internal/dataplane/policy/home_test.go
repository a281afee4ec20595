package policy

import (
	"math"
	"slices"
	"strings"
	"testing"
)

// newHomeAndRemote returns the home of customers 9 (small quota) and 10 (large quota), and a remote
// gateway of their gateway sets, which have twelve gateways.
func newHomeAndRemote(t *testing.T) (home, remote *testBalancer) {
	set := testSettings()
	set.Gateways = 12
	set.Plans[1].Rate, set.Plans[1].Burst, set.Plans[1].OverQuotaRevenue = 20, 40, 0
	probe := newTestBalancer(t, set)
	first := func(id uint64) int { return 12 - probe.homeOf(&customer{id: id, spread: 12}) }
	home = newTestBalancer(t, set)
	set.Self = 5
	remote = newTestBalancer(t, set)
	home.firstGateways = map[uint64]int{9: first(9), 10: first(10)}
	remote.firstGateways = home.firstGateways
	gossipTo(remote, home)
	gossipTo(home, remote)
	return home, remote
}

// requestAtRemote makes a request at the remote gateway and reports whether it was sent.
func requestAtRemote(home, remote *testBalancer, plan int, customer uint64) bool {
	remote.lastID++
	remote.recorded = nil
	remote.Request(remote.time, Request{ID: remote.lastID, Plan: plan, Customer: customer, Units: 1,
		Timeout: 2 * second, First: remote.firstGateways[customer], Spread: 12})
	sent := slices.Clone(remote.recorded)
	deliverMessages(remote, home)
	home.recorded = slices.DeleteFunc(home.recorded, func(line string) bool {
		return !strings.HasPrefix(line, "peer 5 ")
	})
	deliverMessages(home, remote)
	isSend := func(line string) bool { return strings.HasPrefix(line, "send") }
	if !slices.ContainsFunc(append(sent, remote.recorded...), isSend) {
		return false
	}
	remote.endAttempt(remote.lastID, OK, true)
	return true
}

// A quota holds in a large gateway set, where each gateway sees only a little of the demand: by
// queries to the home, or by grants if there would be too many queries.
func TestLargeGatewaySetKeepsToItsQuota(t *testing.T) {
	for _, c := range []struct {
		plan     int
		customer uint64
		requests int // in each tenth of a second
		rate     float64
		slack    float64
	}{
		{0, 9, 1, 2, 0.05},
		{1, 10, 8, 20, 0.25},
	} {
		home, remote := newHomeAndRemote(t)
		sent := 0
		for i := range 600 {
			for range c.requests {
				if requestAtRemote(home, remote, c.plan, c.customer) && i >= 300 {
					sent++
				}
			}
			gossipTo(remote, home)
			home.time = remote.time
			home.Timer(home.time, 0)
			deliverMessages(home, remote)
		}
		if got := float64(sent) / 30; math.Abs(got-c.rate) > c.slack*c.rate {
			t.Errorf("plan %d: %.2f units a second sent, want about %g", c.plan, got, c.rate)
		}
	}
}

// If the home does not answer, the local share decides on the request in time.
func TestUnresponsiveHomeDelaysNoRequest(t *testing.T) {
	_, remote := newHomeAndRemote(t)
	remote.recorded = nil
	remote.Request(remote.time, Request{
		ID: 1, Customer: 9, Units: 1, Timeout: 2 * second, First: remote.firstGateways[9],
		Spread: 12,
	})
	if remote.actionRecorder.count("send") != 0 || remote.actionRecorder.count("peer 0 ") != 1 ||
		remote.actionRecorder.count("timer") != 1 {
		t.Fatalf("actions %v, want a query to the home and a timer", remote.recorded)
	}
	remote.Timer(remote.time+second/10, decisionTimer)
	if remote.actionRecorder.count("send 1 ") != 1 {
		t.Errorf("actions %v, want the request to be sent", remote.recorded)
	}
	before := len(remote.recorded)
	answer := grantEntry{id: 9, fraction: 1, queryNumber: 1, granted: true}
	remote.ReceivePeerMessage(remote.time+second/5, 0, answer.appendTo(messageHeader(1, 0, 0)))
	if len(remote.recorded) != before {
		t.Errorf("a late answer caused actions: %v", remote.recorded[before:])
	}
}

// A client that leaves while the home is queried gets no answer.
func TestClientGoneWhileHomeIsQueried(t *testing.T) {
	_, remote := newHomeAndRemote(t)
	remote.Request(remote.time, Request{
		ID: 1, Customer: 9, Units: 1, Timeout: 2 * second, First: remote.firstGateways[9],
		Spread: 12,
	})
	remote.ClientGone(remote.time, 1)
	remote.recorded = nil
	answer := grantEntry{id: 9, fraction: 1, queryNumber: 1, granted: true}
	remote.ReceivePeerMessage(remote.time, 0, answer.appendTo(messageHeader(1, 0, 0)))
	if len(remote.recorded) != 0 || len(remote.awaitingUnits) != 0 {
		t.Errorf("actions for a client that has gone: %v, %d waiting",
			remote.recorded, len(remote.awaitingUnits))
	}
}
