package distributiontest

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/controlplane/distributor"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/testing/lab"
	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

var bin string

func TestMain(m *testing.M) { os.Exit(testcluster.Main(&bin, m.Run)) }

const (
	voters      = 3
	serviceName = "quotes"
	// Files by which a rig activates a fault in a process; see package failpoint.
	killAtDelta  = "kill-at-delta"
	damageDeltas = "damage-deltas"
)

// cluster is a fleet with the expected content of its register and the rig's own replica.
type cluster struct {
	*testcluster.Fleet
	t          *testing.T
	expected   map[string]string // phases by server
	observer   *observer
	drained    []drain
	nextServer int // index of the next server to drain
}

// drain is a draining server. From inForce on the gateways in known had its drain in force.
type drain struct {
	server  string
	inForce time.Duration
	known   map[int]bool // by gateway
}

// observer is the rig's own replica.
type observer struct {
	mu    sync.Mutex
	state *distribution.State
}

// Applied stores the state.
func (o *observer) Applied(_ []distribution.Change, state *distribution.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state = state
}

// HeartbeatReceived does nothing: the rig waits for content.
func (o *observer) HeartbeatReceived(time.Duration, bool) {}

func (o *observer) newest() *distribution.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// start starts a cluster for a test.
func start(t *testing.T, gateways int, fleetSettings string) *cluster {
	t.Helper()
	f := clustertest.Fleet(t, testcluster.Options{
		Bin:       bin,
		Seed:      1,
		Instances: gateways,
		Voters:    voters,
		Consul:    true,
		Load:      0.1,
		Servers:   14,
		Fleet:     fleetSettings,
		Env: func(int) string {
			return fmt.Sprintf(
				"MOTHCLEAT_FAULTS=kill=distribution-send-delta@%s,deny=distribution-damage-delta@%s",
				killAtDelta,
				damageDeltas,
			)
		},
	})
	c := &cluster{Fleet: f, t: t, expected: map[string]string{}, observer: &observer{}}
	for _, sv := range f.Servers {
		c.expected[sv.ID] = ready
	}
	c.observe()
	c.waitUntilSettled()
	return c
}

// observe runs the rig's own replica until the test ends.
func (c *cluster) observe() {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	me := lease.Member{ID: "observer", Incarnation: 1}
	link := controlrpc.NewClient(testcluster.FleetName, me, "", c.Voters(), c.Addresses(-1), quiet)
	client := distributor.NewClient(distributor.ClientOptions{
		Link: link, Log: quiet,
		Settings: distributor.NewReplicaSettings(testcluster.FleetName, me.ID, me.Incarnation,
			distribution.Place{}, distributor.DefaultSourceTimeout),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		client.Run(ctx, c.observer)
	}()
	c.t.Cleanup(func() {
		cancel()
		<-ended
		link.Close()
	})
}

const (
	ready    = "ready"
	draining = "draining"
)

var phaseNames = map[distributionpb.Phase]string{
	distributionpb.Phase_PHASE_READY:    ready,
	distributionpb.Phase_PHASE_DRAINING: draining,
}

// serverPhases returns the phase of each server in a state.
func serverPhases(state *distribution.State) map[string]string {
	servers := map[string]string{}
	state.Range(distribution.KindServer, func(r distribution.Record) bool {
		_, id, _ := strings.Cut(r.ID, "/") // the ID follows the name of its node
		servers[id] = "unreadable"
		if server, err := r.Server(); err == nil {
			servers[id] = phaseNames[server.Phase]
		}
		return true
	})
	return servers
}

// waitUntilSettled waits until the rig's own replica matches the register, and all gateways except
// but report that they have the same state in force.
func (c *cluster) waitUntilSettled(but ...int) {
	c.t.Helper()
	clustertest.Eventually(c.t, "all gateways to have the register's list", func() (bool, string) {
		state := c.observer.newest()
		if state == nil {
			return false, "the rig's replica has no state"
		}
		if !maps.Equal(serverPhases(state), c.expected) {
			return false, fmt.Sprintf("observed %s: %s", state.Position(),
				describeDifference(serverPhases(state), c.expected))
		}
		for i := range c.Gateways {
			if r, err := c.replica(i); !slices.Contains(but, i) &&
				(err != nil || r.Position.Digest != state.Digest().String()) {
				return false, fmt.Sprintf("%s: %+v %v, observed %s",
					testcluster.Name(i), r, err, state.Position())
			}
		}
		return true, ""
	})
}

// describeDifference describes up to five servers in which two lists differ.
func describeDifference(got, want map[string]string) string {
	var text []string
	for id, phase := range want {
		if got[id] != phase {
			text = append(text, fmt.Sprintf("%s is %q, not %q", id, got[id], phase))
		}
	}
	for id, phase := range got {
		if _, there := want[id]; !there {
			text = append(text, fmt.Sprintf("%s is %q, but should not be listed", id, phase))
		}
	}
	return strings.Join(text[:min(len(text), 5)], "; ")
}

// replica returns the status of a gateway's replica.
func (c *cluster) replica(i int) (distributor.ReplicaStatus, error) {
	d, err := c.distribution(i)
	if err != nil || d.Replica == nil {
		return distributor.ReplicaStatus{}, fmt.Errorf("no replica: %w", err)
	}
	return *d.Replica, nil
}

func (c *cluster) distribution(i int) (d controlplane.DistributionStatus, err error) {
	return d, c.Call(i, "distribution", &d)
}

// server waits until a gateway receives its changes from a voter, and returns the voter.
func (c *cluster) server(i int) (number int) {
	c.t.Helper()
	clustertest.Eventually(c.t, testcluster.Name(i)+" to watch a voter", func() (bool, string) {
		r, err := c.replica(i)
		n, _ := fmt.Sscanf(r.Server, "n%d", &number)
		return err == nil && r.Live && n == 1, fmt.Sprintf("%+v %v", r, err)
	})
	return number
}

// serving returns a voter that serves another gateway, and that gateway.
func (c *cluster) serving() (voter, gateway int) {
	c.t.Helper()
	for i := len(c.Gateways) - 1; i >= 0; i-- {
		if v := c.server(i); v != i {
			return v, i
		}
	}
	c.t.Fatal("no gateway watches another one")
	return 0, 0
}

// preferred returns the voter that a gateway tries first when it starts.
func (c *cluster) preferred(i int) (number int) {
	c.t.Helper()
	var servers []distribution.Server
	for _, v := range c.Voters() {
		servers = append(servers, distribution.Server{ID: v.Name})
	}
	first := distribution.Rank(testcluster.Name(i), distribution.Place{}, servers)[0]
	if _, err := fmt.Sscanf(first.ID, "n%d", &number); err != nil {
		c.t.Fatal(err)
	}
	return number
}

// leader returns the log's leader, as a gateway reports it.
func (c *cluster) leader(at int) (number int) {
	c.t.Helper()
	clustertest.Eventually(c.t, "a leader", func() (bool, string) {
		var l consensus.Membership
		err := c.Call(at, "status", &l)
		n, _ := fmt.Sscanf(l.Leader, "n%d", &number)
		return err == nil && n == 1, fmt.Sprintf("%+v %v", l, err)
	})
	return number
}

// other returns a gateway other than the given one.
func other(than int) int {
	if than == 0 {
		return 1
	}
	return 0
}

// register applies a change to the agents of all gateways.
func (c *cluster) register(change func(*lab.Consul) error) {
	c.t.Helper()
	for i := range c.Gateways {
		clustertest.Check(c.t, change(c.Consul.Agent(i)))
	}
}

// drainOne sets a server to draining after it has received a request.
func (c *cluster) drainOne() (server string) {
	c.t.Helper()
	server = c.Servers[c.nextServer].ID
	c.nextServer++
	clustertest.Eventually(c.t, "a request at "+server, func() (bool, string) {
		return c.requests(server) > 0, ""
	})
	c.register(func(agent *lab.Consul) error {
		agent.SetMaintenance(server, true)
		return nil
	})
	c.expected[server] = draining
	return server
}

// requests returns how many requests a server has received.
func (c *cluster) requests(server string) (n int) {
	c.Record.Read(func() {
		for _, a := range c.Record.Attempts {
			if a.Server == server {
				n++
			}
		}
	})
	return n
}

// recordDrain records that all gateways except but have a server's drain in force now.
func (c *cluster) recordDrain(server string, but ...int) {
	known := map[int]bool{}
	for i := range c.Gateways {
		known[i] = !slices.Contains(but, i)
	}
	c.drained = append(c.drained, drain{server, c.Record.Now(), known})
}

// extra returns the name of a server that exists only in the register.
func extra(i int) string { return fmt.Sprintf("x-%04d", i) }

// addExtra registers draining servers that get no requests, or changes their locality.
func (c *cluster) addExtra(from, to int, locality string) {
	c.t.Helper()
	for i := from; i < to; i++ {
		address := fmt.Sprintf("127.1.%d.%d:9", 1+i/250, 1+i%250)
		c.register(func(agent *lab.Consul) error {
			return agent.Register(extra(i), serviceName, address, []string{"draining"},
				map[string]string{"locality": locality})
		})
		c.expected[extra(i)] = draining
	}
}

// removeExtra deregisters servers.
func (c *cluster) removeExtra(from, to int) {
	c.t.Helper()
	for i := from; i < to; i++ {
		c.register(func(agent *lab.Consul) error {
			agent.Deregister(extra(i))
			return nil
		})
		delete(c.expected, extra(i))
	}
}

// setFault activates a fault in a process, or deactivates it.
func (c *cluster) setFault(i int, fault string, yes bool) {
	c.t.Helper()
	path := filepath.Join(c.Gateways[i].Dir(), fault)
	if !yes {
		clustertest.Check(c.t, os.Remove(path))
		return
	}
	clustertest.Check(c.t, os.WriteFile(path, nil, 0o600))
}

// waitLogged waits until a process has logged a text more often than before.
func (c *cluster) waitLogged(i int, what string, before int) {
	c.t.Helper()
	clustertest.Eventually(c.t, testcluster.Name(i)+" to log "+what, func() (bool, string) {
		return c.logged(i, what) > before, ""
	})
}

func (c *cluster) logged(i int, what string) int { return strings.Count(c.Gateways[i].Log(), what) }

// restart ends a process with SIGTERM and starts it again.
func (c *cluster) restart(i int) {
	c.t.Helper()
	clustertest.Check(c.t, c.End(i, syscall.SIGTERM), c.Begin(i))
}

// stateFile returns the path of a gateway's replica.
func (c *cluster) stateFile(i int) string { return distributor.StatePath(c.FleetDir(i)) }

// traffic has clients send requests until stop is called.
func (c *cluster) traffic() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Clients.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// judge ends all processes and compares the files that they leave with the register. A process that
// exits transfers the watch of the register, and the next watcher may add revisions with its own
// agent's addresses after others have exited. So a file may be at a later position than another
// one, but never at an earlier position than all had in force, nor have another digest at the same
// one.
func (c *cluster) judge() {
	c.t.Helper()
	inForce := c.observer.newest().Position()
	digests := map[uint64]distribution.Digest{inForce.Revision: inForce.Digest}
	clustertest.Check(c.t, c.World.Stop(c.t.Context()))
	for i := range c.Gateways {
		raw, err := os.ReadFile(c.stateFile(i))
		clustertest.Check(c.t, err)
		state, err := distribution.DecodeStateFile(testcluster.FleetName, raw)
		if err != nil {
			c.t.Errorf("state file of %s: %v", testcluster.Name(i), err)
			continue
		}
		at, log := state.Position(), c.Gateways[i].Log()
		if strings.Contains(log, "two states at one revision") {
			c.t.Errorf("%s has diverged", testcluster.Name(i))
		}
		if strings.Contains(log, "could not be written to disk in time") {
			continue // the file has an earlier state, which matches its digest
		}
		if at.Epoch != inForce.Epoch || at.Revision < inForce.Revision {
			c.t.Errorf("state file of %s: at %s, but %s was in force",
				testcluster.Name(i), at, inForce)
		}
		if known, there := digests[at.Revision]; there && known != at.Digest {
			c.t.Errorf("state file of %s: at %s, but another file has digest %s there",
				testcluster.Name(i), at, known)
		}
		digests[at.Revision] = at.Digest
		if text := describeDifference(serverPhases(state), c.expected); text != "" {
			c.t.Errorf("state file of %s: %s", testcluster.Name(i), text)
		}
	}
	c.judgeDrains()
}

// afterInForce allows for requests that were sent when the drain came into force.
const afterInForce = time.Second

// judgeDrains compares the servers' record with the drains in force: no gateway may send requests
// to a server more than afterInForce after it had the server's drain in force.
func (c *cluster) judgeDrains() {
	c.t.Helper()
	c.Record.Read(func() {
		for _, d := range c.drained {
			for _, a := range c.Record.Attempts {
				if a.Server == d.server && d.known[a.Gateway] &&
					a.FirstByteAt > d.inForce+afterInForce {
					c.t.Errorf("%s received a request from %s %v after the drain was in force there",
						d.server, testcluster.Name(a.Gateway), a.FirstByteAt-d.inForce)
				}
			}
		}
	})
}
