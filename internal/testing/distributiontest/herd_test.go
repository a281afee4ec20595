package distributiontest

import (
	"fmt"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

// Many changes at once: a rack's servers are removed, all gateways start, or a part of the fleet
// reconnects. The cases run one after another on one cluster under traffic.
func TestMuchAtOnce(t *testing.T) {
	c := start(t, 6, "")
	stop := c.traffic()
	for _, one := range []struct {
		name string
		run  func(*cluster)
	}{
		{"a rack gone", rackGone},
		{"a part cut off through a change", partCutOff},
		{"all from disk", allFromDisk},
		{"all from nothing", allFromNothing},
	} {
		began := time.Now()
		one.run(c)
		t.Logf("%s: %v", one.name, time.Since(began).Round(time.Millisecond))
	}
	stop()
	c.judge()
}

const rackServers = 300

// rackGone deregisters 300 servers at once.
func rackGone(c *cluster) {
	c.addExtra(0, rackServers, "sala-1")
	c.waitUntilSettled()
	before := c.revision()
	c.removeExtra(0, rackServers)
	server := c.drainOne()
	c.waitUntilSettled()
	c.recordDrain(server)
	if after := c.revision(); after-before > rackServers/2 {
		c.t.Errorf("the removal of %d servers took %d revisions", rackServers, after-before)
	}
}

// partCutOff cuts a voter and two other gateways off from the rest during changes, and then heals
// the links.
func partCutOff(c *cluster) {
	apart := []int{c.preferred(voters), voters, voters + 1}
	held := c.Held()
	c.split(apart, true)
	c.addExtra(0, 20, "sala-1")
	server := c.drainOne()
	c.waitUntilSettled(apart...)
	c.recordDrain(server, apart...)
	for _, i := range apart {
		c.waitLogged(
			i,
			"this gateway watches the register itself",
			c.logged(i, "the list of servers is heard again"),
		)
	}
	c.addExtra(0, 10, "sala-2")
	c.waitUntilSettled(apart...)
	if c.Held() == held {
		c.t.Error("the cut links held nothing back")
	}
	c.split(apart, false)
	c.waitUntilSettled()
}

// split cuts the links between some gateways and all others, or restores them.
func (c *cluster) split(apart []int, yes bool) {
	for i := range c.Gateways {
		for _, j := range apart {
			if !slices.Contains(apart, i) {
				c.Between(i, j, yes)
			}
		}
	}
}

// allFromDisk ends all gateways, makes a change, and starts all at once. All must resume from their
// files by deltas.
func allFromDisk(c *cluster) {
	c.endAll()
	c.addExtra(0, 5, "sala-3")
	server := c.startAll()
	for i := range c.Gateways {
		if r := c.replicaStatus(i); r.Counts.Repairs != 0 || r.Counts.Deltas == 0 {
			c.t.Errorf("%s did not resume by deltas: %+v", testcluster.Name(i), r)
		}
	}
	c.recordDrain(server)
}

// allFromNothing ends all gateways, removes the files of their replicas, and starts all at once.
// All must fetch the state again.
func allFromNothing(c *cluster) {
	c.endAll()
	for i := range c.Gateways {
		clustertest.Check(c.t, os.Remove(c.stateFile(i)))
	}
	server := c.startAll()
	for i := range c.Gateways {
		if r := c.replicaStatus(i); r.Counts.Repairs == 0 {
			c.t.Errorf("%s did not fetch the state again: %+v", testcluster.Name(i), r)
		}
	}
	c.recordDrain(server)
}

func (c *cluster) endAll() {
	c.t.Helper()
	for i := range c.Gateways {
		clustertest.Check(c.t, c.End(i, syscall.SIGTERM))
	}
}

// startAll sets a server to draining and starts all gateways at once.
func (c *cluster) startAll() (server string) {
	c.t.Helper()
	server = c.drainOne()
	errs := make(chan error, len(c.Gateways))
	for i := range c.Gateways {
		go func() {
			if err := c.Begin(i); err != nil {
				errs <- fmt.Errorf("%s: %w", testcluster.Name(i), err)
				return
			}
			errs <- nil
		}()
	}
	for range c.Gateways {
		if err := <-errs; err != nil {
			c.t.Error(err)
		}
	}
	c.waitUntilSettled()
	return server
}
