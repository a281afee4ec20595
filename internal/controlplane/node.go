// Package controlplane is a gateway's part in its fleet's agreed state: the voter if this process
// has one, its session, the duties it may hold, and its counted use. The gateway's loop only ever
// calls Count, which never waits.
package controlplane

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/allocator"
	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/auditrecorder"
	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributor"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/metering"
	"mothcleat/internal/controlplane/replica"
	"mothcleat/internal/controlplane/rollout"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/controlplane/usageexporter"
	"mothcleat/internal/dataplane/registry"
)

// Config is what a process is told of its fleet.
type Config struct {
	Fleet          string // its name
	ID             string // this gateway's
	Listen         string
	Address        string // where others reach it; "": Listen
	Dir            string
	Voters         []*controlpb.Voter   // as they are known at first
	Addresses      controlrpc.Addresses // where others are reached from here, if not where they say
	LeaseConfig    lease.Config
	Candidates     []string      // ids of those that may hold duties; empty: all may
	TickInterval   time.Duration // of voters; 0: 40 ms
	KeepEntries    uint64        // entries behind a snapshot; 0: 4,096
	ExportShards   int           // of the export; 0: no use is counted or exported
	ExportDir      string        // folder of exported files
	MeteringPeriod time.Duration
	Log            *slog.Logger

	// NewSource makes a source that asks the register itself; nil: each gateway watches its register
	// as it always did.
	NewSource func() (registry.Source, error)
	// Allocation are the rules by which quotas are divided; nil: they are not.
	Allocation       *allocation.Config
	AllocationShards int
	// Versions are the rules of what the fleet acts on, and Items what that is here; nil: each
	// gateway acts on its configuration.
	Versions      *configversion.Config
	Items         map[string]rollout.Item
	AllocationLog io.Writer     // gets a line for each renewal of rights; nil: none
	SourceTimeout time.Duration // see distributor.SourceOptions; 0: distributor.DefaultSilent

	Place  distribution.Place            // where this process runs
	Places map[string]distribution.Place // where the voters run, by name
	// changes that a voter keeps for replicas; 0: as many as by default
	ChangeLogEntries int
	Observer         *controlrpc.Observer // counts calls, messages and bytes; nil: nobody does
}

// Node is a process's part. Make it with Start.
type Node struct {
	cfg      Config
	me       lease.Member
	ctx      context.Context
	cancel   context.CancelFunc
	client   *controlrpc.Client
	duties   *election.Set
	list     *distributor.Source // nil: the register is not watched for all
	streams  *distributor.Server
	rights   *allocator.Client // nil: quotas are not divided
	agent    *rollout.Agent    // nil: there are no versions
	divide   *allocator.ShardLeaders
	contents *rollout.Contents
	boots    atomic.Pointer[allocator.IncarnationFile]
	server   atomic.Pointer[controlrpc.Server]

	counter atomic.Pointer[metering.Counter]
	record  atomic.Pointer[auditrecorder.Recorder] // nil: none yet, or there are no versions
	early   chan use                               // what was sent on before the counts were open
	missed  atomic.Uint64

	leave   context.CancelFunc // ends the holding of duties
	left    chan struct{}
	ready   chan struct{} // the folder is open, or is given up
	trouble atomic.Pointer[string]
}

type use struct {
	customer uint64
	units    float64
}

const (
	earlyMost  = 4096
	againAfter = 100 * time.Millisecond
	tellAfter  = 2 * time.Second
	leaveMost  = 2 * time.Second
	votersEach = 3 * time.Second // between two looks at who votes
	// What is given back late runs out by itself.
	giveBackMost = 500 * time.Millisecond
)

// NewStateMachines are the parts of the agreed state.
func NewStateMachines(r lease.Config, v configversion.Config) map[string]consensus.StateMachine {
	d := lease.NewMachine(r)
	return map[string]consensus.StateMachine{lease.MachineName: d,
		usageexport.MachineName:   usageexport.NewMachine(d),
		checkpoint.MachineName:    checkpoint.NewMachine(d),
		endpointlist.MachineName:  endpointlist.NewMachine(d),
		distribution.MachineName:  distribution.NewMachine(d),
		allocation.MachineName:    allocation.NewMachine(d),
		configversion.MachineName: configversion.NewMachine(v, d)}
}

// versionRules are the rules of the versions' machine, which each voter has.
func (n *Node) versionRules() configversion.Config {
	if n.cfg.Versions != nil {
		return *n.cfg.Versions
	}
	return configversion.DefaultConfig()
}

// RecordDir is where a gateway's record lies.
func RecordDir(dir string) string { return filepath.Join(dir, "record") }

// Sent counts an attempt that was sent on; see gateway.OperationRecorder.
func (n *Node) Sent(first bool, units float64) {
	if r := n.record.Load(); r != nil {
		r.Sent(first, units)
	}
}

// Rejected counts a request that was refused.
func (n *Node) Rejected(turned bool) {
	if r := n.record.Load(); r != nil {
		r.Rejected(turned)
	}
}

// ContentsDir is where the contents of versions lie.
func ContentsDir(dir string) string { return filepath.Join(dir, "versions") }

// LogDir and UseDir are where a voter's log and a gateway's counts lie.
func LogDir(dir string) string { return filepath.Join(dir, "log") }

// UseDir is where a gateway's counts lie.
func UseDir(dir string) string { return filepath.Join(dir, "use") }

// Start begins to take part. It returns at once: while the process before still has the folder,
// this one waits for it. Stop and Close end it.
func Start(cfg Config) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	holding, leave := context.WithCancel(ctx)
	if cfg.Address == "" {
		cfg.Address = cfg.Listen
	}
	if cfg.SourceTimeout == 0 {
		cfg.SourceTimeout = distributor.DefaultSourceTimeout
	}
	n := &Node{cfg: cfg, ctx: ctx, cancel: cancel, leave: leave, left: make(chan struct{}), ready: make(chan struct{}),
		early: make(chan use, earlyMost)}
	n.me = lease.Member{ID: cfg.ID, Incarnation: rand.Uint64()>>1 | 1}
	n.client = controlrpc.NewClient(cfg.Fleet, n.me, cfg.Address, cfg.Voters,
		cfg.Addresses, cfg.Log)
	n.client.Observe(cfg.Observer)
	n.duties = election.New(election.Options{
		LeaseConfig: cfg.LeaseConfig,
		Client:      n.client,
		Candidates:  cfg.Candidates,
		Log:         cfg.Log,
	})
	if cfg.ExportShards > 0 {
		for shard := range cfg.ExportShards {
			e := &usageexporter.Exporter{
				Dir:      cfg.ExportDir,
				Shard:    shard,
				Shards:   cfg.ExportShards,
				Interval: cfg.MeteringPeriod,
				Client:   n.client,
				Log:      cfg.Log,
			}
			n.duties.Add(usageexport.RoleOfShard(shard), e.Work)
		}
	}
	n.distribute()
	if cfg.Allocation != nil {
		n.divide = &allocator.ShardLeaders{Config: *cfg.Allocation, RPC: n.client, Log: cfg.Log}
		for shard := range cfg.AllocationShards {
			n.duties.AddBalanced(allocation.RoleOfShard(shard), n.divide.Lead)
		}
		n.rights = allocator.NewClient(*cfg.Allocation, cfg.AllocationShards, n.client, n.duties, cfg.Log)
		n.rights.RecordTo(cfg.AllocationLog)
	}
	if cfg.Versions != nil {
		n.contents = rollout.NewContents(ContentsDir(cfg.Dir))
		n.agent = rollout.New(*cfg.Versions, n.client, n.contents, cfg.Items, cfg.Log)
		n.agent.OnChange(func(inForce map[string]uint64) {
			if r := n.record.Load(); r != nil {
				r.Change(inForce)
			}
		})
		n.agent.SetHeadSource(func() *auditlog.Head { return n.record.Load().Head() })
		n.duties.Add(configversion.Role, n.agent.RunController)
	}
	go n.run(holding)
	return n
}

// RolloutAgent tells whether this process may act; nil: it always may.
func (n *Node) RolloutAgent() *rollout.Agent { return n.agent }

// AllocationClient are this process's parts of the quotas; nil: they are not divided.
func (n *Node) AllocationClient() *allocator.Client { return n.rights }

// EndpointSource is the source of news of the servers, where the register is watched for all; nil: it is
// not.
func (n *Node) EndpointSource() registry.Source {
	if n.list == nil {
		return nil
	}
	return n.list
}

// Me is this process.
func (n *Node) Me() lease.Member { return n.me }

// run opens what there is, and then holds duties until told to leave.
func (n *Node) run(holding context.Context) {
	defer close(n.left)
	if !n.open() {
		close(n.ready)
		return
	}
	close(n.ready)
	go n.client.KeepSessionAlive(n.ctx)
	go n.follow()
	if n.rights != nil {
		go n.rights.Run(holding)
	}
	if n.agent != nil {
		go n.agent.Run(n.ctx)
	}
	n.duties.Run(holding, n.ctx)
}

// open takes the folder and the address, and tries again for as long as another process has them.
func (n *Node) open() bool {
	began, told := time.Now(), false
	for n.ctx.Err() == nil {
		err := n.tryOpen()
		if err == nil {
			if told {
				n.cfg.Log.Info("fleet: the folder and the address are free now")
			}
			n.trouble.Store(nil)
			return true
		}
		why := err.Error()
		n.trouble.Store(&why)
		if time.Since(began) > tellAfter && !told {
			told = true
			n.cfg.Log.Error("fleet: this process does not take part: another one with its id or folder runs, or the folder can't be used; it is tried again",
				"id",
				n.cfg.ID,
				"boot",
				fmt.Sprintf("%x", n.me.Incarnation),
				"folder",
				n.cfg.Dir,
				"error",
				err)
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(againAfter):
		}
	}
	return false
}

func (n *Node) tryOpen() (err error) {
	if err := os.MkdirAll(n.cfg.Dir, 0o700); err != nil {
		return err
	}
	var parts controlrpc.UsageSource
	var counter *metering.Counter
	if n.cfg.ExportShards > 0 {
		if counter, err = metering.Open(UseDir(n.cfg.Dir), n.cfg.ID, n.me.Incarnation, n.cfg.MeteringPeriod,
			n.cfg.Log); err != nil {
			return err
		}
		parts = counter.ClosedPeriods
		defer func() {
			if err != nil {
				err = errors.Join(err, counter.Close())
			}
		}()
	}
	if n.rights != nil || n.agent != nil {
		boots, bad := allocator.OpenIncarnationFile(n.cfg.Dir, n.me.Incarnation)
		if bad != nil {
			return bad
		}
		defer func() {
			if err != nil {
				err = errors.Join(err, boots.Close())
			}
		}()
		n.boots.Store(boots)
		if n.rights != nil {
			n.rights.SetEndedIncarnations(boots.Ended)
		}
		if n.agent != nil {
			if err := n.contents.Create(); err != nil {
				return err
			}
			n.agent.SetEndedIncarnations(boots.Ended)
		}
	}
	var record *auditrecorder.Recorder
	if n.agent != nil {
		if record, err = auditrecorder.Open(RecordDir(n.cfg.Dir), n.cfg.ID, n.me.Incarnation,
			n.cfg.Log); err != nil {
			return err
		}
		defer func() {
			if err != nil {
				err = errors.Join(err, record.Close())
			}
		}()
	}
	l, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return err
	}
	server := controlrpc.NewServer(n.ctx, n.cfg.Fleet, n.cfg.Addresses, parts,
		n.cfg.Observer.ServerOptions()...)
	if n.divide != nil {
		server.Budgets = n.divide
	}
	if n.agent != nil {
		server.Contents = n.agent
	}
	server.Register(n.streams.Register)
	err = server.StartReplica(n.ctx, replica.Options{Dir: LogDir(n.cfg.Dir), Address: n.cfg.Address, TickInterval: n.cfg.TickInterval, KeepEntries: n.cfg.KeepEntries, Log: n.cfg.Log,
		NewStateMachines: n.machines})
	switch {
	case errors.Is(err, replica.ErrCopied):
		n.mustNotVote(err.Error())
		err = nil
	case errors.Is(err, replica.ErrNotInitialized):
		n.cfg.Log.Info("fleet: this process is no voter", "folder", n.cfg.Dir)
		for _, v := range n.cfg.Voters {
			if v.Name == n.cfg.ID {
				n.mustNotVote(
					"the operators' file names this gateway as a voter, but its folder is no voter's: it was never founded, or was lost",
				)
			}
		}
		err = nil
	}
	if err != nil {
		return errors.Join(err, l.Close())
	}
	n.server.Store(server)
	go n.streams.Run(n.ctx)
	go func() { _ = server.Serve(n.cfg.Observer.Listener(l)) }()
	if record != nil {
		n.record.Store(record)
		go record.Run(n.ctx)
	}
	if counter != nil {
		n.counter.Store(counter)
		go counter.Run(n.ctx)
	}
	return nil
}

// mustNotVote logs why a folder must not vote, and how to mend that. All else goes on.
func (n *Node) mustNotVote(why string) {
	n.cfg.Log.Error("fleet: this gateway must not vote: "+why+
		"; have another voter remove it (mothcleat fleet voters remove "+n.cfg.ID+
		"), remove the folder's log, make it anew with mothcleat fleet join, and add it again", "folder",
		n.cfg.Dir)
}

// follow keeps up who votes.
func (n *Node) follow() {
	agreed := n.client.Members(consensus.MembershipQuery{Scope: consensus.ScopeVoters})
	for n.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.ctx, callWithin)
		all, err := agreed.Voters(ctx)
		cancel()
		if err == nil {
			var voters []*controlpb.Voter
			for _, v := range all {
				voters = append(voters, &controlpb.Voter{Name: v.Name, Address: v.Address})
			}
			if len(voters) > 0 {
				n.client.SetVoters(voters)
			}
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(votersEach):
		}
	}
}

// Count counts units that were sent on for a customer. It is for one goroutine, and never waits.
func (n *Node) Count(customer uint64, units float64) {
	if c := n.counter.Load(); c != nil {
		n.countEarly(c)
		c.Count(customer, units)
		return
	}
	if n.cfg.ExportShards == 0 {
		return
	}
	select {
	case n.early <- use{customer, units}:
	default:
		n.missed.Add(1)
	}
}

// Stop hands on the duties, and what this voter leads, and returns when that is done or has taken
// too long. Counting goes on until Close.
func (n *Node) Stop() {
	n.leave()
	select {
	case <-n.left:
	case <-time.After(leaveMost):
	}
	if s := n.server.Load(); s != nil && s.Replica() != nil {
		s.Replica().TransferLeadership()
	}
}

// Close ends everything. Nothing may be counted any more.
func (n *Node) Close() {
	n.leave()
	if n.rights != nil {
		ctx, cancel := context.WithTimeout(context.Background(), giveBackMost)
		n.rights.ReleaseAll(ctx)
		cancel()
	}
	if n.agent != nil {
		ctx, cancel := context.WithTimeout(context.Background(), giveBackMost)
		n.agent.Leave(ctx)
		cancel()
	}
	if n.list != nil {
		n.list.Close()
	}
	n.cancel()
	<-n.ready // what was being opened is open, or is not any more
	if b := n.boots.Load(); b != nil {
		defer b.Close()
	}
	lost := n.missed.Load()
	if c := n.counter.Load(); c != nil {
		n.countEarly(c)
		if err := c.Close(); err != nil {
			n.cfg.Log.Error("fleet: the last use could not be kept", "error", err)
		}
	} else {
		lost += uint64(len(n.early))
	}
	if lost > 0 {
		n.cfg.Log.Error("fleet: use was not counted: its folder was not open", "requests", lost)
	}
	if r := n.record.Load(); r != nil {
		if err := r.Close(); err != nil {
			n.cfg.Log.Error("fleet: the last of the record could not be kept", "error", err)
		}
	}
	if s := n.server.Load(); s != nil {
		if v := s.Replica(); v != nil {
			<-v.Done()
		}
		s.Stop()
	}
	n.client.Close()
}

// countEarly counts what was sent on before the counts were open.
func (n *Node) countEarly(c *metering.Counter) {
	for len(n.early) > 0 {
		u := <-n.early
		c.Count(u.customer, u.units)
	}
}

// Membership is who belongs to the fleet, as the leader has it.
func (n *Node) Membership(ctx context.Context) (l consensus.Membership, err error) {
	return l, n.ask(ctx, consensus.MembershipName, nil, &l)
}
