package distributiontest

import (
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

// Voters that are killed, stopped, cut off one way or replaced as the leader while something
// changes, and one whose folder is an older one: the gateways have each change from the others, and
// all have the same at the end. The cases follow one another on one cluster under traffic.
func TestControlProcessesFail(t *testing.T) {
	c := start(t, 5, "")
	stop := c.traffic()
	for _, one := range []struct {
		name string
		play func(*cluster)
	}{
		{"killed amid a delta", killedAmidADelta},
		{"stopped for 4 s", stoppedForFourSeconds},
		{"cut one way", cutOneWay},
		{"leader change amid a burst", leaderChangeAmidABurst},
		{"restored from an older folder", restoredFromAnOlderFolder},
	} {
		began := time.Now()
		one.play(c)
		t.Logf("%s: %v", one.name, time.Since(began).Round(time.Millisecond))
	}
	stop()
	c.judge()
}

// killedAmidADelta has a voter kill itself when it has begun to send a delta to its replicas.
func killedAmidADelta(c *cluster) {
	voter, _ := c.serving()
	c.Gateways[voter].Expect(syscall.SIGKILL)
	c.ask(voter, killAtDelta, true)
	server := c.drainOne()
	clustertest.Eventually(
		c.t,
		testcluster.Name(voter)+" is killed",
		func() (bool, string) { return !c.Gateways[voter].Running(), "" },
	)
	c.settled(voter)
	c.inForce(server, voter)
	clustertest.Check(c.t, c.Begin(voter))
	c.settled()
	if c.logged(voter, "fault: killed") != 1 {
		c.t.Errorf("%s was not killed at the point", testcluster.Name(voter))
	}
}

const stopLength = 4 * time.Second

// stoppedForFourSeconds stops a voter that serves others.
func stoppedForFourSeconds(c *cluster) {
	voter, gateway := c.serving()
	clustertest.Check(c.t, c.Stop(voter))
	began := time.Now()
	server := c.drainOne()
	c.settled(voter)
	c.inForce(server, voter)
	if now := c.server(gateway); now == voter {
		c.t.Errorf(
			"%s still watches %s, which is stopped",
			testcluster.Name(gateway),
			testcluster.Name(voter),
		)
	}
	testcluster.Pass(c.t.Context(), time.Until(began.Add(stopLength)))
	if !c.Stopped(voter) {
		c.t.Errorf("%s was not stopped", testcluster.Name(voter))
	}
	clustertest.Check(c.t, c.Wake(voter))
	c.settled()
}

// cutOneWay cuts off what a voter says, then what it hears.
func cutOneWay(c *cluster) {
	for _, to := range []bool{true, false} {
		voter, _ := c.serving()
		held := c.Held()
		c.Isolate(voter, to, !to, true)
		server := c.drainOne()
		c.settled(voter)
		c.inForce(server, voter)
		if c.Held() == held {
			c.t.Errorf("nothing was held at the links of %s", testcluster.Name(voter))
		}
		c.Isolate(voter, to, !to, false)
		c.settled()
	}
}

const burst = 40

// leaderChangeAmidABurst kills the leader of the log between two halves of a burst of changes.
func leaderChangeAmidABurst(c *cluster) {
	leader := c.leader(other(c.leader(0)))
	c.addExtra(0, burst/2, "sala-1")
	clustertest.Check(c.t, c.End(leader, syscall.SIGKILL))
	c.addExtra(burst/2, burst, "sala-1")
	c.addExtra(0, burst/4, "sala-2")
	server := c.drainOne()
	c.settled(leader)
	c.inForce(server, leader)
	if now := c.leader(other(leader)); now == leader {
		c.t.Errorf("%s leads though it is gone", testcluster.Name(leader))
	}
	clustertest.Check(c.t, c.Begin(leader))
	c.settled()
}

// restoredFromAnOlderFolder puts an older folder in the place of a voter's, which so has less than
// its replicas.
func restoredFromAnOlderFolder(c *cluster) {
	gateway := voters // the first that is no voter
	voter := c.preferred(gateway)
	clustertest.Check(c.t, c.Save(voter))
	server := c.drainOne()
	c.removeExtra(0, burst)
	c.settled()
	c.inForce(server)
	clustertest.Check(c.t, c.End(voter, syscall.SIGKILL), c.Restore(voter), c.Begin(voter))
	c.logs(voter, "must not vote", 0)
	c.restart(gateway)
	c.logs(gateway, "it is behind", 0)
	c.settled()
	server = c.drainOne()
	c.settled()
	c.inForce(server)
}
