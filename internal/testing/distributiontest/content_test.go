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

// smallLog makes voters keep few changes for replicas, and few log entries before a snapshot.
const (
	smallLog        = "change_log = 16\nkeep = 64"
	smallLogChanges = 16
)

// Replicas that were down for longer than the voters keep changes, damaged deltas and files, and a
// slow reader: each replica fetches what differs, and no wrong state comes into force. The cases
// run one after another on one cluster under traffic.
func TestReplicasThatHaveToBeRepaired(t *testing.T) {
	c := start(t, 5, smallLog)
	c.addExtra(0, 200, "sala-1")
	c.waitUntilSettled()
	stop := c.traffic()
	for _, one := range []struct {
		name string
		run  func(*cluster)
	}{
		{"log compacted past a stopped replica", compactedPastAReplica},
		{"damaged deltas", damagedDeltas},
		{"damaged file", damagedFile},
		{"a reader at 1 KB/s", slowReader},
	} {
		began := time.Now()
		one.run(c)
		t.Logf("%s: %v", one.name, time.Since(began).Round(time.Millisecond))
	}
	stop()
	c.judge()
}

// replicaStatus returns the status of a gateway's replica, with its counts since the process
// started.
func (c *cluster) replicaStatus(i int) distributor.ReplicaStatus {
	c.t.Helper()
	r, err := c.replica(i)
	clustertest.Check(c.t, err)
	return r
}

// revision returns the revision of the rig's own replica.
func (c *cluster) revision() uint64 { return c.observer.newest().Position().Revision }

// compactedPastAReplica makes more changes than the voters keep while a replica is down. The
// replica must fetch exactly the buckets in which its file differs from the state in force.
func compactedPastAReplica(c *cluster) {
	gateway := voters
	clustertest.Check(c.t, c.End(gateway, syscall.SIGTERM))
	before := c.revision()
	for changed := 0; c.revision() < before+2*smallLogChanges; changed++ {
		c.addExtra(changed, changed+1, "sala-2")
		c.waitUntilSettled(gateway) // so that each change is a revision of its own
	}
	server := c.drainOne()
	c.waitUntilSettled(gateway)
	c.recordDrain(server, gateway)
	differ := differingBuckets(c.stateOnDisk(gateway), c.observer.newest())
	clustertest.Check(c.t, c.Begin(gateway))
	c.waitUntilSettled()
	r := c.replicaStatus(gateway)
	if r.Counts.Repairs != 1 || r.Counts.Buckets == 0 || r.Counts.Buckets != differ {
		c.t.Errorf("the file differed in %d buckets, but the replica reports %+v", differ, r)
	}
}

// stateOnDisk returns the state in a gateway's file.
func (c *cluster) stateOnDisk(i int) *distribution.State {
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

// damagedDeltas makes the voters send deltas whose content does not match their digest.
func damagedDeltas(c *cluster) {
	damaged := make([]int, voters)
	refused := make([]int, len(c.Gateways))
	for i := range voters {
		damaged[i] = c.logged(i, faultDamaged)
		c.setFault(i, damageDeltas, true)
	}
	for i := range c.Gateways {
		refused[i] = c.logged(i, "the content comes to digest")
	}
	server := c.drainOne()
	c.waitUntilSettled() // by fetching the buckets that differ
	c.recordDrain(server)
	sent := 0
	for i := range voters {
		sent += c.logged(i, faultDamaged) - damaged[i]
		c.setFault(i, damageDeltas, false)
	}
	got := 0
	for i := range c.Gateways {
		got += c.logged(i, "the content comes to digest") - refused[i]
	}
	if sent < len(c.Gateways) || got < len(c.Gateways) {
		c.t.Errorf(
			"%d damaged deltas were sent, %d were refused, want one for each of %d gateways",
			sent,
			got,
			len(c.Gateways),
		)
	}
	server = c.drainOne()
	c.waitUntilSettled()
	c.recordDrain(server)
}

// faultDamaged is the log message for each delta that a process damages.
const faultDamaged = "fault: damaged delta"

// damagedFile changes a byte in the file from which a replica starts.
func damagedFile(c *cluster) {
	gateway := voters
	clustertest.Check(c.t, c.End(gateway, syscall.SIGTERM))
	raw, err := os.ReadFile(c.stateFile(gateway))
	clustertest.Check(c.t, err)
	raw[len(raw)/2] ^= 1
	clustertest.Check(c.t, os.WriteFile(c.stateFile(gateway), raw, 0o600))
	server := c.drainOne()
	clustertest.Check(c.t, c.Begin(gateway))
	c.waitUntilSettled()
	c.recordDrain(server)
	c.waitLogged(gateway, c.stateFileLine(), 0)
	if r := c.replicaStatus(gateway); r.Counts.Repairs == 0 {
		c.t.Errorf("the state was not fetched again: %+v", r)
	}
}

// stateFileLine returns the log line for a refused file, up to the file's name.
func (c *cluster) stateFileLine() string {
	return "the control state on disk is refused, and taken anew\" gateway=" + testcluster.Name(
		voters,
	) + " error=\"fleet/distribution/state: "
}

// slowReader limits one gateway to 1 KB/s from each voter during many changes. The others must get
// all changes before it does.
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
	c.waitUntilSettled(gateway)
	c.recordDrain(server, gateway)
	if r := c.replicaStatus(gateway); r.Position.Digest == c.observer.newest().Digest().String() {
		c.t.Errorf("%s was not slower than the others", testcluster.Name(gateway))
	}
	for v := range voters {
		c.Links[gateway][v].Set(faultproxy.Downstream, faultproxy.Conditions{})
	}
	c.waitUntilSettled()
}
