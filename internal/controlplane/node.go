// Package controlplane implements a gateway's part in the control plane of its fleet: its voter, if
// it has one, its session, the roles that it may lead, its allocations and versions, and its
// counted usage. The gateway's event loop calls only methods that never block.
package controlplane

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/allocator"
	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/auditrecorder"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distributor"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/metering"
	"mothcleat/internal/controlplane/replica"
	"mothcleat/internal/controlplane/rollout"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/controlplane/usageexporter"
	"mothcleat/internal/dataplane/registry"
)

// votersInterval is the interval between refreshes of the list of voters.
const votersInterval = 3 * time.Second

// Node is a process's part in the control plane. Its methods are safe for concurrent use, except
// Count, which only one goroutine may call. Start creates a Node, Stop and Close end it.
type Node struct {
	config Config
	self   lease.Member
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	client *controlrpc.Client
	roles  *election.Set

	endpoints    *distributor.Source // nil: the registry is not watched for all gateways
	streams      *distributor.Server
	allocations  *allocator.Client       // nil: quotas are not divided
	shardLeaders *allocator.ShardLeaders // nil: quotas are not divided
	agent        *rollout.Agent          // nil: there are no versions
	contents     *rollout.Contents       // nil: there are no versions
	proposals    proposals

	// The following are set while the directory and the address are opened, and are nil before;
	// see open.
	server       atomic.Pointer[controlrpc.Server]
	incarnations atomic.Pointer[allocator.IncarnationFile]
	counter      atomic.Pointer[metering.Counter]       // nil also if no usage is counted
	recorder     atomic.Pointer[auditrecorder.Recorder] // nil also if there are no versions

	earlyUsage chan usage    // of requests sent before the counter was open
	uncounted  atomic.Uint64 // number of requests for which earlyUsage had no space

	stopLeading    context.CancelFunc     // starts the transfer of the roles
	stoppedLeading chan struct{}          // closed when the transfer has ended
	opened         chan struct{}          // closed when open has returned
	fault          atomic.Pointer[string] // error of the last attempt of open; nil: none
}

// Start creates a Node and starts it in the background. It returns at once: while the previous
// process still uses the directory or the address, the node waits for them.
func Start(config Config) *Node {
	if config.Address == "" {
		config.Address = config.Listen
	}
	if config.SourceTimeout == 0 {
		config.SourceTimeout = distributor.DefaultSourceTimeout
	}
	ctx, cancel := context.WithCancel(context.Background())
	leadingCtx, stopLeading := context.WithCancel(ctx)
	n := &Node{
		config:         config,
		self:           newMember(config.ID),
		ctx:            ctx,
		cancel:         cancel,
		earlyUsage:     make(chan usage, maxEarlyUsage),
		stopLeading:    stopLeading,
		stoppedLeading: make(chan struct{}),
		opened:         make(chan struct{}),
	}
	n.client = controlrpc.NewClient(config.Fleet, n.self, config.Address, config.Voters,
		config.Addresses, config.Log)
	n.client.Observe(config.Observer)
	n.roles = election.New(election.Options{
		LeaseConfig: config.LeaseConfig,
		Client:      n.client,
		Candidates:  config.Candidates,
		Log:         config.Log,
	})
	n.setUpExport()
	n.setUpDistribution()
	n.setUpAllocation()
	n.setUpVersions()
	go n.run(leadingCtx)
	return n
}

// newMember returns a new incarnation of a gateway. The incarnation is not 0, and fits into a
// signed 64-bit integer.
func newMember(id string) lease.Member {
	return lease.Member{ID: id, Incarnation: rand.Uint64()>>1 | 1}
}

// setUpExport registers the export of usage.
func (n *Node) setUpExport() {
	for shard := range n.config.ExportShards {
		e := &usageexporter.Exporter{
			Dir:      n.config.ExportDir,
			Shard:    shard,
			Shards:   n.config.ExportShards,
			Interval: n.config.MeteringPeriod,
			Client:   n.client,
			Log:      n.config.Log,
		}
		n.roles.Add(usageexport.RoleOfShard(shard), e.Work)
	}
}

// setUpAllocation sets up the division of quotas, if it is configured.
func (n *Node) setUpAllocation() {
	config := n.config.Allocation
	if config == nil {
		return
	}
	log := n.config.Log
	n.shardLeaders = &allocator.ShardLeaders{Config: *config, RPC: n.client, Log: log}
	for shard := range n.config.AllocationShards {
		n.roles.AddBalanced(allocation.RoleOfShard(shard), n.shardLeaders.Lead)
	}
	n.allocations = allocator.NewClient(
		*config, n.config.AllocationShards, n.client, n.roles, log)
	n.allocations.RecordTo(n.config.AllocationLog)
}

// setUpVersions sets up the roll-out of versions, if it is configured.
func (n *Node) setUpVersions() {
	config := n.config.Versions
	if config == nil {
		return
	}
	n.contents = rollout.NewContents(ContentsDir(n.config.Dir))
	n.agent = rollout.New(*config, n.client, n.contents, n.config.Items, n.config.Log)
	n.agent.OnChange(func(inForce map[string]uint64) {
		if r := n.recorder.Load(); r != nil {
			r.Change(inForce)
		}
	})
	n.agent.SetHeadSource(func() *auditlog.Head { return n.recorder.Load().Head() })
	n.roles.Add(configversion.Role, n.agent.RunController)
}

// RolloutAgent returns the agent that decides under which versions this process may operate; nil:
// the process always may operate.
func (n *Node) RolloutAgent() *rollout.Agent { return n.agent }

// AllocationClient returns the client that holds this process's allocations of the quotas; nil:
// quotas are not divided.
func (n *Node) AllocationClient() *allocator.Client { return n.allocations }

// EndpointSource returns the source of the endpoint list if one gateway watches the registry for
// all gateways; nil: each gateway watches the registry on its own.
func (n *Node) EndpointSource() registry.Source {
	if n.endpoints == nil {
		return nil
	}
	return n.endpoints
}

// Me returns this process as a member.
func (n *Node) Me() lease.Member { return n.self }

// run opens the directory and the address, and then takes part in the elections until leadingCtx
// ends.
func (n *Node) run(leadingCtx context.Context) {
	defer close(n.stoppedLeading)
	ok := n.open()
	close(n.opened)
	if !ok {
		return
	}
	go n.client.KeepSessionAlive(n.ctx)
	go n.refreshVoters()
	if n.allocations != nil {
		go n.allocations.Run(leadingCtx)
	}
	if n.agent != nil {
		go n.agent.Run(n.ctx)
	}
	n.roles.Run(leadingCtx, n.ctx)
}

// refreshVoters keeps the client's list of voters up to date until Close.
func (n *Node) refreshVoters() {
	membership := n.client.Members(consensus.MembershipQuery{Scope: consensus.ScopeVoters})
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
		infos, err := membership.Voters(ctx)
		cancel()
		if err == nil && len(infos) > 0 {
			var voters []*controlpb.Voter
			for _, v := range infos {
				voters = append(voters, &controlpb.Voter{Name: v.Name, Address: v.Address})
			}
			n.client.SetVoters(voters)
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(votersInterval):
		}
	}
}

// localReplica returns this process's replica; nil: there is none.
func (n *Node) localReplica() *replica.Replica {
	s := n.server.Load()
	if s == nil {
		return nil
	}
	return s.Replica()
}
