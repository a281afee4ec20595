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

// Much at once: a rack's servers gone, all gateways started, a part of the fleet that comes back.
// The cases follow one another on one cluster under traffic.
func TestMuchAtOnce(t *testing.T) {
	c := start(t, 6, "")
	stop := c.traffic()
	for _, one := range []struct {
		name string
		play func(*cluster)
	}{
		{"a rack gone", rackGone},
		{"a part cut off through a change", partCutOff},
		{"all from disk", allFromDisk},
		{"all from nothing", allFromNothing},
	} {
		began := time.Now()
		one.play(c)
		t.Logf("%s: %v", one.name, time.Since(began).Round(time.Millisecond))
	}
	stop()
	c.judge()
}

const rackServers = 300

// rackGone takes 300 servers away at once.
func rackGone(c *cluster) {
	c.addExtra(0, rackServers, "sala-1")
	c.settled()
	before := c.revision()
	c.removeExtra(0, rackServers)
	server := c.drainOne()
	c.settled()
	c.inForce(server)
	if after := c.revision(); after-before > rackServers/2 {
		c.t.Errorf("%d servers gone took %d revisions", rackServers, after-before)
	}
}

// partCutOff cuts a voter and two other gateways off from the rest while something changes, and
// heals that.
func partCutOff(c *cluster) {
	apart := []int{c.preferred(voters), voters, voters + 1}
	held := c.Held()
	c.split(apart, true)
	c.addExtra(0, 20, "sala-1")
	server := c.drainOne()
	c.settled(apart...)
	c.inForce(server, apart...)
	for _, i := range apart {
		c.logs(
			i,
			"this gateway watches the register itself",
			c.logged(i, "the list of servers is heard again"),
		)
	}
	c.addExtra(0, 10, "sala-2")
	c.settled(apart...)
	if c.Held() == held {
		c.t.Error("nothing was held at the links")
	}
	c.split(apart, false)
	c.settled()
}

// split cuts the links between some gateways and all others, or ends that.
func (c *cluster) split(apart []int, yes bool) {
	for i := range c.Gateways {
		for _, j := range apart {
			if !slices.Contains(apart, i) {
				c.Between(i, j, yes)
			}
		}
	}
}

// allFromDisk ends all gateways, changes something, and starts them at once: none of them takes the
// state anew.
func allFromDisk(c *cluster) {
	c.endAll()
	c.addExtra(0, 5, "sala-3")
	server := c.startAll()
	for i := range c.Gateways {
		if r := c.counts(i); r.Counts.Repairs != 0 || r.Counts.Deltas == 0 {
			c.t.Errorf("%s did not resume by deltas: %+v", testcluster.Name(i), r)
		}
	}
	c.inForce(server)
}

// allFromNothing does the same, and takes what the replicas have on disk.
func allFromNothing(c *cluster) {
	c.endAll()
	for i := range c.Gateways {
		clustertest.Check(c.t, os.Remove(c.stateFile(i)))
	}
	server := c.startAll()
	for i := range c.Gateways {
		if r := c.counts(i); r.Counts.Repairs == 0 {
			c.t.Errorf("%s has not taken the state anew: %+v", testcluster.Name(i), r)
		}
	}
	c.inForce(server)
}

func (c *cluster) endAll() {
	c.t.Helper()
	for i := range c.Gateways {
		clustertest.Check(c.t, c.End(i, syscall.SIGTERM))
	}
}

// startAll has a server drain and starts all gateways at once.
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
	c.settled()
	return server
}
