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
	// Files by which a rig asks a process for a fault; see package failpoint.
	killAtDelta  = "kill-at-delta"
	damageDeltas = "damage-deltas"
)

// cluster is a fleet, what its register has, and a replica of the rig's own.
type cluster struct {
	*testcluster.Fleet
	t        *testing.T
	truth    map[string]string // by server: its phase
	observer *observer
	drained  []drain
	spare    int // servers that were not drained yet
}

// drain is a server of which all gateways that were up had in force, from a time on, that it
// drains.
type drain struct {
	server  string
	inForce time.Duration
	known   map[int]bool // by gateway
}

// observer is a replica of the rig's own.
type observer struct {
	mu    sync.Mutex
	state *distribution.State
}

// Applied takes in the state.
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
	c := &cluster{Fleet: f, t: t, truth: map[string]string{}, observer: &observer{}}
	for _, sv := range f.Servers {
		c.truth[sv.ID] = ready
	}
	c.observe()
	c.settled()
	return c
}

// observe keeps the rig's own replica for as long as the test lasts.
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

// content is what a state has of each server.
func content(state *distribution.State) map[string]string {
	servers := map[string]string{}
	state.Range(distribution.KindServer, func(r distribution.Record) bool {
		_, id, _ := strings.Cut(r.ID, "/") // behind the name of its node
		servers[id] = "unreadable"
		if server, err := r.Server(); err == nil {
			servers[id] = phaseNames[server.Phase]
		}
		return true
	})
	return servers
}

// settled waits until the rig's own replica has what the register has, and all gateways but some
// say that they have the same in force.
func (c *cluster) settled(but ...int) {
	c.t.Helper()
	clustertest.Eventually(c.t, "all gateways have the register's list", func() (bool, string) {
		state := c.observer.newest()
		if state == nil {
			return false, "nothing was observed"
		}
		if !maps.Equal(content(state), c.truth) {
			return false, fmt.Sprintf("observed %s: %s", state.Position(),
				difference(content(state), c.truth))
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

// difference tells in which servers two lists differ.
func difference(got, want map[string]string) string {
	var text []string
	for id, phase := range want {
		if got[id] != phase {
			text = append(text, fmt.Sprintf("%s is %q, not %q", id, got[id], phase))
		}
	}
	for id, phase := range got {
		if _, there := want[id]; !there {
			text = append(text, fmt.Sprintf("%s is %q, and should not be there", id, phase))
		}
	}
	return strings.Join(text[:min(len(text), 5)], "; ")
}

// replica is what a gateway tells of its replica.
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

// server is the voter from which a gateway gets its changes; it waits until there is one.
func (c *cluster) server(i int) (number int) {
	c.t.Helper()
	clustertest.Eventually(c.t, testcluster.Name(i)+" watches a voter", func() (bool, string) {
		r, err := c.replica(i)
		n, _ := fmt.Sscanf(r.Server, "n%d", &number)
		return err == nil && r.Live && n == 1, fmt.Sprintf("%+v %v", r, err)
	})
	return number
}

// serving is a voter that serves another gateway.
func (c *cluster) serving() (voter, gateway int) {
	c.t.Helper()
	for i := len(c.Gateways) - 1; i >= 0; i-- {
		if v := c.server(i); v != i {
			return v, i
		}
	}
	c.t.Fatal("each gateway watches itself")
	return 0, 0
}

// preferred is the voter that a gateway tries first when it starts.
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

// leader is the voter that leads, as a gateway has it.
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

// other is a gateway other than one.
func other(than int) int {
	if than == 0 {
		return 1
	}
	return 0
}

// register changes what all agents have.
func (c *cluster) register(change func(*lab.Consul) error) {
	c.t.Helper()
	for i := range c.Gateways {
		clustertest.Check(c.t, change(c.Consul.Agent(i)))
	}
}

// drainOne has a server drain that has got requests so far.
func (c *cluster) drainOne() (server string) {
	c.t.Helper()
	server = c.Servers[c.spare].ID
	c.spare++
	clustertest.Eventually(c.t, server+" gets a request", func() (bool, string) {
		return c.requests(server) > 0, ""
	})
	c.register(func(agent *lab.Consul) error {
		agent.SetMaintenance(server, true)
		return nil
	})
	c.truth[server] = draining
	return server
}

// requests is how many requests a server has got.
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

// inForce takes note that all gateways but some have a server's drain in force now.
func (c *cluster) inForce(server string, but ...int) {
	known := map[int]bool{}
	for i := range c.Gateways {
		known[i] = !slices.Contains(but, i)
	}
	c.drained = append(c.drained, drain{server, c.Record.Now(), known})
}

// extra is the name of a server of which nothing but its record exists.
func extra(i int) string { return fmt.Sprintf("x-%04d", i) }

// addExtra registers servers that get no requests, or changes what they are.
func (c *cluster) addExtra(from, to int, locality string) {
	c.t.Helper()
	for i := from; i < to; i++ {
		address := fmt.Sprintf("127.1.%d.%d:9", 1+i/250, 1+i%250)
		c.register(func(agent *lab.Consul) error {
			return agent.Register(extra(i), serviceName, address, []string{"draining"},
				map[string]string{"locality": locality})
		})
		c.truth[extra(i)] = draining
	}
}

// removeExtra takes servers away, all at once.
func (c *cluster) removeExtra(from, to int) {
	c.t.Helper()
	for i := from; i < to; i++ {
		c.register(func(agent *lab.Consul) error {
			agent.Deregister(extra(i))
			return nil
		})
		delete(c.truth, extra(i))
	}
}

// ask asks a process for a fault, or ends that.
func (c *cluster) ask(i int, fault string, yes bool) {
	c.t.Helper()
	path := filepath.Join(c.Gateways[i].Dir(), fault)
	if !yes {
		clustertest.Check(c.t, os.Remove(path))
		return
	}
	clustertest.Check(c.t, os.WriteFile(path, nil, 0o600))
}

// logs waits until a process has logged something, more often than before.
func (c *cluster) logs(i int, what string, before int) {
	c.t.Helper()
	clustertest.Eventually(c.t, testcluster.Name(i)+" logs "+what, func() (bool, string) {
		return c.logged(i, what) > before, ""
	})
}

func (c *cluster) logged(i int, what string) int { return strings.Count(c.Gateways[i].Log(), what) }

// restart ends a process in order and starts it again.
func (c *cluster) restart(i int) {
	c.t.Helper()
	clustertest.Check(c.t, c.End(i, syscall.SIGTERM), c.Begin(i))
}

// stateFile is where a gateway's replica lies.
func (c *cluster) stateFile(i int) string { return distributor.StatePath(c.FleetDir(i)) }

// traffic has clients ask until stop is called.
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

// judge ends all processes and holds what they leave against what the register has. A process that
// ends hands the register on, and the next may add revisions with its own agent's addresses while
// others have ended: so a file may be at a later position than another, but never at an earlier one
// than all had in force, nor with another digest at the same.
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
			continue // it is an earlier state, and fits its digest
		}
		if at.Epoch != inForce.Epoch || at.Revision < inForce.Revision {
			c.t.Errorf("state file of %s: at %s, though %s was in force",
				testcluster.Name(i), at, inForce)
		}
		if known, there := digests[at.Revision]; there && known != at.Digest {
			c.t.Errorf("state file of %s: at %s, another has digest %s there",
				testcluster.Name(i), at, known)
		}
		digests[at.Revision] = at.Digest
		if text := difference(content(state), c.truth); text != "" {
			c.t.Errorf("state file of %s: %s", testcluster.Name(i), text)
		}
	}
	c.judgeDrains()
}

// afterInForce is for a request that was sent when the drain came into force.
const afterInForce = time.Second

// judgeDrains holds the servers' own record against what was in force: no gateway sends to a server
// long after it had in force that this one drains, and each had got requests before.
func (c *cluster) judgeDrains() {
	c.t.Helper()
	c.Record.Read(func() {
		for _, d := range c.drained {
			for _, a := range c.Record.Attempts {
				if a.Server == d.server && d.known[a.Gateway] &&
					a.FirstByteAt > d.inForce+afterInForce {
					c.t.Errorf("%s got a request of %s %v after it had the drain in force",
						d.server, testcluster.Name(a.Gateway), a.FirstByteAt-d.inForce)
				}
			}
		}
	})
}
