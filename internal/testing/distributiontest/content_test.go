package distributiontest

import (
	"os"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributor"
	"mothcleat/internal/testing/faultproxy"
	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

// smallLog has voters keep a few changes for replicas, and few entries behind a snapshot.
const (
	smallLog        = "change_log = 16\nkeep = 64"
	smallLogChanges = 16
)

// Replicas that were away for longer than the voters keep changes, deltas and files that are
// damaged, and a slow reader: each gets what differs, and nothing wrong comes into force. The cases
// follow one another on one cluster under traffic.
func TestReplicasThatHaveToBeRepaired(t *testing.T) {
	c := start(t, 5, smallLog)
	c.addExtra(0, 200, "sala-1")
	c.settled()
	stop := c.traffic()
	for _, one := range []struct {
		name string
		play func(*cluster)
	}{
		{"log compacted past a stopped replica", compactedPastAReplica},
		{"damaged deltas", damagedDeltas},
		{"damaged file", damagedFile},
		{"a reader at 1 KB/s", slowReader},
	} {
		began := time.Now()
		one.play(c)
		t.Logf("%s: %v", one.name, time.Since(began).Round(time.Millisecond))
	}
	stop()
	c.judge()
}

// counts are what a gateway's replica has taken in since its process began.
func (c *cluster) counts(i int) distributor.ReplicaStatus {
	c.t.Helper()
	r, err := c.replica(i)
	clustertest.Check(c.t, err)
	return r
}

// revision is the rig's own replica's.
func (c *cluster) revision() uint64 { return c.observer.newest().Position().Revision }

// compactedPastAReplica has more changes than the voters keep while a replica is down: it fetches
// exactly the buckets in which its file differs from what is in force.
func compactedPastAReplica(c *cluster) {
	gateway := voters
	clustertest.Check(c.t, c.End(gateway, syscall.SIGTERM))
	before := c.revision()
	for changed := 0; c.revision() < before+2*smallLogChanges; changed++ {
		c.addExtra(changed, changed+1, "sala-2")
		c.settled(gateway) // each change is a revision of its own
	}
	server := c.drainOne()
	c.settled(gateway)
	c.inForce(server, gateway)
	differ := differingBuckets(c.onDisk(gateway), c.observer.newest())
	clustertest.Check(c.t, c.Begin(gateway))
	c.settled()
	r := c.counts(gateway)
	if r.Counts.Repairs != 1 || r.Counts.Buckets == 0 || r.Counts.Buckets != differ {
		c.t.Errorf("the file differs in %d buckets: %+v", differ, r)
	}
}

// onDisk is the state in a gateway's file.
func (c *cluster) onDisk(i int) *distribution.State {
	c.t.Helper()
	raw, err := os.ReadFile(c.stateFile(i))
	clustertest.Check(c.t, err)
	state, err := distribution.DecodeStateFile(testcluster.FleetName, raw)
	clustertest.Check(c.t, err)
	return state
}

// differingBuckets counts the buckets in which two states differ.
func differingBuckets(a, b *distribution.State) (n uint64) {
	sums := b.Sums()
	for i, sum := range a.Sums() {
		if sum != sums[i] {
			n++
		}
	}
	return n
}

// damagedDeltas has the voters send deltas whose content is not what their digest says.
func damagedDeltas(c *cluster) {
	damaged := make([]int, voters)
	refused := make([]int, len(c.Gateways))
	for i := range voters {
		damaged[i] = c.logged(i, faultDamaged)
		c.ask(i, damageDeltas, true)
	}
	for i := range c.Gateways {
		refused[i] = c.logged(i, "the content comes to digest")
	}
	server := c.drainOne()
	c.settled() // by the buckets that differ
	c.inForce(server)
	sent := 0
	for i := range voters {
		sent += c.logged(i, faultDamaged) - damaged[i]
		c.ask(i, damageDeltas, false)
	}
	got := 0
	for i := range c.Gateways {
		got += c.logged(i, "the content comes to digest") - refused[i]
	}
	if sent < len(c.Gateways) || got < len(c.Gateways) {
		c.t.Errorf(
			"%d damaged deltas were sent, %d were refused, of %d gateways",
			sent,
			got,
			len(c.Gateways),
		)
	}
	server = c.drainOne()
	c.settled()
	c.inForce(server)
}

// faultDamaged is what a process logs for each delta that it damages.
const faultDamaged = "fault: damaged delta"

// damagedFile changes a byte in the file that a replica starts from.
func damagedFile(c *cluster) {
	gateway := voters
	clustertest.Check(c.t, c.End(gateway, syscall.SIGTERM))
	raw, err := os.ReadFile(c.stateFile(gateway))
	clustertest.Check(c.t, err)
	raw[len(raw)/2] ^= 1
	clustertest.Check(c.t, os.WriteFile(c.stateFile(gateway), raw, 0o600))
	server := c.drainOne()
	clustertest.Check(c.t, c.Begin(gateway))
	c.settled()
	c.inForce(server)
	c.logs(gateway, c.stateFileLine(), 0)
	if r := c.counts(gateway); r.Counts.Repairs == 0 {
		c.t.Errorf("the state was not taken anew: %+v", r)
	}
}

// stateFileLine is what is logged of a file that is refused, up to its name.
func (c *cluster) stateFileLine() string {
	return "the control state on disk is refused, and taken anew\" gateway=" + testcluster.Name(
		voters,
	) + " error=\"fleet/distribution/state: "
}

// slowReader has one gateway get 1 KB/s from each voter amid many changes. The others get all of
// them before it does.
func slowReader(c *cluster) {
	gateway := voters
	for v := range voters {
		c.Links[gateway][v].Set(
			faultproxy.Downstream,
			faultproxy.Conditions{BytesPerSecond: 1 << 10},
		)
	}
	c.addExtra(0, 200, "sala-3")
	c.addExtra(0, 100, "sala-4")
	server := c.drainOne()
	c.settled(gateway)
	c.inForce(server, gateway)
	if r := c.counts(gateway); r.Position.Digest == c.observer.newest().Digest().String() {
		c.t.Errorf("%s was not slower than the others", testcluster.Name(gateway))
	}
	for v := range voters {
		c.Links[gateway][v].Set(faultproxy.Downstream, faultproxy.Conditions{})
	}
	c.settled()
}
