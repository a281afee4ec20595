package distributiontest

import (
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

// Voters are killed, suspended, cut off in one direction or replaced as the leader during changes,
// and one is restored from an older folder. The gateways must get each change from the other
// voters, and all must have the same state at the end. The cases run one after another on one
// cluster under traffic.
func TestControlProcessesFail(t *testing.T) {
	c := start(t, 5, "")
	stop := c.traffic()
	for _, one := range []struct {
		name string
		run  func(*cluster)
	}{
		{"killed amid a delta", killedAmidADelta},
		{"stopped for 4 s", stoppedForFourSeconds},
		{"cut one way", cutOneWay},
		{"leader change amid a burst", leaderChangeAmidABurst},
		{"restored from an older folder", restoredFromAnOlderFolder},
	} {
		began := time.Now()
		one.run(c)
		t.Logf("%s: %v", one.name, time.Since(began).Round(time.Millisecond))
	}
	stop()
	c.judge()
}

// killedAmidADelta makes a voter kill itself while it sends a delta to its replicas.
func killedAmidADelta(c *cluster) {
	voter, _ := c.serving()
	c.Gateways[voter].Expect(syscall.SIGKILL)
	c.setFault(voter, killAtDelta, true)
	server := c.drainOne()
	clustertest.Eventually(
		c.t,
		testcluster.Name(voter)+" to be killed",
		func() (bool, string) { return !c.Gateways[voter].Running(), "" },
	)
	c.waitUntilSettled(voter)
	c.recordDrain(server, voter)
	clustertest.Check(c.t, c.Begin(voter))
	c.waitUntilSettled()
	if c.logged(voter, "fault: killed") != 1 {
		c.t.Errorf("%s was not killed at the failpoint", testcluster.Name(voter))
	}
}

// stopLength is how long a voter is suspended.
const stopLength = 4 * time.Second

// stoppedForFourSeconds suspends a voter that serves others.
func stoppedForFourSeconds(c *cluster) {
	voter, gateway := c.serving()
	clustertest.Check(c.t, c.Stop(voter))
	began := time.Now()
	server := c.drainOne()
	c.waitUntilSettled(voter)
	c.recordDrain(server, voter)
	if now := c.server(gateway); now == voter {
		c.t.Errorf(
			"%s still watches %s, which is suspended",
			testcluster.Name(gateway),
			testcluster.Name(voter),
		)
	}
	testcluster.Pass(c.t.Context(), time.Until(began.Add(stopLength)))
	if !c.Stopped(voter) {
		c.t.Errorf("%s was not suspended", testcluster.Name(voter))
	}
	clustertest.Check(c.t, c.Wake(voter))
	c.waitUntilSettled()
}

// cutOneWay cuts off what a voter sends, then what it receives.
func cutOneWay(c *cluster) {
	for _, to := range []bool{true, false} {
		voter, _ := c.serving()
		held := c.Held()
		c.Isolate(voter, to, !to, true)
		server := c.drainOne()
		c.waitUntilSettled(voter)
		c.recordDrain(server, voter)
		if c.Held() == held {
			c.t.Errorf("the cut links of %s held nothing back", testcluster.Name(voter))
		}
		c.Isolate(voter, to, !to, false)
		c.waitUntilSettled()
	}
}

// burst is the number of servers in a burst of changes.
const burst = 40

// leaderChangeAmidABurst kills the log's leader between the halves of a burst of changes.
func leaderChangeAmidABurst(c *cluster) {
	leader := c.leader(other(c.leader(0)))
	c.addExtra(0, burst/2, "sala-1")
	clustertest.Check(c.t, c.End(leader, syscall.SIGKILL))
	c.addExtra(burst/2, burst, "sala-1")
	c.addExtra(0, burst/4, "sala-2")
	server := c.drainOne()
	c.waitUntilSettled(leader)
	c.recordDrain(server, leader)
	if now := c.leader(other(leader)); now == leader {
		c.t.Errorf("%s is reported as leader though it was killed", testcluster.Name(leader))
	}
	clustertest.Check(c.t, c.Begin(leader))
	c.waitUntilSettled()
}

// restoredFromAnOlderFolder replaces a voter's folder by an older copy, so that the voter has an
// older state than its replicas.
func restoredFromAnOlderFolder(c *cluster) {
	gateway := voters // the first gateway that is not a voter
	voter := c.preferred(gateway)
	clustertest.Check(c.t, c.Save(voter))
	server := c.drainOne()
	c.removeExtra(0, burst)
	c.waitUntilSettled()
	c.recordDrain(server)
	clustertest.Check(c.t, c.End(voter, syscall.SIGKILL), c.Restore(voter), c.Begin(voter))
	c.waitLogged(voter, "must not vote", 0)
	c.restart(gateway)
	c.waitLogged(gateway, "it is behind", 0)
	c.waitUntilSettled()
	server = c.drainOne()
	c.waitUntilSettled()
	c.recordDrain(server)
}
