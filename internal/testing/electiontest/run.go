// Package electiontest has a fleet of real gateways hold duties while links and processes fail, and
// judges by effects whether there was one owner at a time: by what was agreed, by the files that
// count, and by what the stand-in servers took.
package electiontest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/testcluster"
)

// Options say what is played.
type Options struct {
	Seed      uint64
	Instances int
	For       time.Duration
	Load      float64
	Shards    int
	Clients   int    // further processes with a session each, that watch the duties
	Logs      string // a folder that the gateways' logs are copied to; "": none
	Bin       string // built with the tag faults; "": it is built
}

// points are where processes stop or end themselves when the rig asks them to, by a file in their
// folder.
var points = []string{"export-collected", "export-amid-write", "export-before-agree", "export-after-agree", "voter-before-sync", "voter-after-sync",
	"use-before-close", "use-after-close"}

// faultsText asks for the faults of all points.
func faultsText() string {
	var all []string
	for _, p := range points {
		all = append(all, "stop="+p+"@stop-"+p, "kill="+p+"@kill-"+p)
	}
	return "MOTHCLEAT_FAULTS=" +
		strings.Join(append(all, "slow=voter-before-sync:3s@slow-sync"), ",")
}

// trialRun is one run.
type trialRun struct {
	f         *testcluster.Fleet
	o         Options
	progress  io.Writer
	asked     atomic.Int32 // the gateway that answered last
	mu        sync.Mutex   // guards what follows
	injected  map[string]int
	schedule  []string
	vacancies []vacancy // that faults have begun
	killed    []int     // by gateway
	emptied   map[int]bool
	errs      []error
}

// vacancy is when a role lost its leader, and under which term it was led.
type vacancy struct {
	role        string
	term        uint64
	begin       time.Time
	transferred bool // the leader transferred it
}

// Run plays a fleet and judges it.
func Run(ctx context.Context, o Options, progress io.Writer) (*harness.Summary, error) {
	if o.Load == 0 {
		o.Load = 0.35
	}
	if o.Shards == 0 {
		o.Shards = 2
	}
	f, err := testcluster.New(ctx, testcluster.Options{Seed: o.Seed, Instances: o.Instances, Load: o.Load, Bin: o.Bin, Log: progress,
		Fleet: fmt.Sprintf("shards = %d\nkeep = 64", o.Shards)})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t := &trialRun{f: f, o: o, progress: progress, injected: map[string]int{},
		killed: make([]int, o.Instances), emptied: map[int]bool{}}
	// The points' faults need an environment of their own: each process starts anew with it.
	for i, g := range f.Gateways {
		g.SetEnv(faultsText())
		if err := errors.Join(f.End(i, syscall.SIGTERM), f.Begin(i)); err != nil {
			return nil, err
		}
	}
	if err := t.settled(ctx); err != nil {
		return nil, err
	}
	var rest float64
	if o.For >= restLength {
		rest = t.atRest(ctx)
	}
	more, end := context.WithCancel(ctx)
	defer end()
	t.clients(more)
	w := &writers{f: f, seed: o.Seed, began: time.Now()} // they work for as long as clients ask
	asking, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); w.run(asking, 4) }()
	go func() { defer wg.Done(); t.faults(asking) }()
	f.Clients.Run(asking)
	wg.Wait()
	fig, err := t.check(ctx, w, o.For)
	if fig != nil && rest > 0 {
		fig.Extra["bytes_per_second_gateway_at_rest"] = rest
	}
	return fig, err
}

// restLength is how long a run is before what a fleet says at rest is measured first.
const restLength = 30 * time.Second

// atRest is what a gateway's links carry in a second while nothing happens, both ways.
func (t *trialRun) atRest(ctx context.Context) float64 {
	const length = 3 * time.Second
	before := t.f.Passed()
	if !testcluster.Pass(ctx, length) {
		return 0
	}
	return float64(t.f.Passed()-before) / length.Seconds() / float64(t.o.Instances)
}

// clients has further processes keep a session and watch.
func (t *trialRun) clients(ctx context.Context) {
	for i := range t.o.Clients {
		c := controlrpc.NewClient(testcluster.FleetName, lease.Member{
			ID:          fmt.Sprintf("client-%d", i),
			Incarnation: t.o.Seed<<16 | uint64(i) | 1,
		}, "",
			t.f.Voters(), t.f.Addresses(-1), slog.New(slog.DiscardHandler))
		go c.KeepSessionAlive(ctx)
		go c.Watch(ctx, lease.MachineName, func([]byte) {})
		context.AfterFunc(ctx, c.Close)
	}
}

// settled waits until every duty has an owner.
func (t *trialRun) settled(ctx context.Context) error {
	deadline := time.Now().Add(30 * time.Second)
	for {
		held := 0
		for shard := range t.o.Shards {
			if i, _ := t.roleLeader(usageexport.RoleOfShard(shard)); i >= 0 {
				held++
			}
		}
		if held == t.o.Shards {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.New("the duties have no owners")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// view asks gateway after gateway for a part of the agreed state, until one answers.
func (t *trialRun) view(line string, into any) error {
	var err error
	for k := range t.f.Gateways {
		i := (k + int(t.asked.Load())) % len(t.f.Gateways)
		if t.f.Stopped(i) || !t.f.Gateways[i].Running() {
			continue
		}
		if err = t.f.Call(i, line, into); err == nil {
			t.asked.Store(int32(i))
			return nil
		}
	}
	return errors.Join(errors.New("nobody tells "+line), err)
}

// roleLeader returns the gateway that leads a role, and its lease; -1: there is none, or no answer.
func (t *trialRun) roleLeader(role string) (int, lease.Lease) {
	var v lease.View
	if t.view("owners", &v) != nil {
		return -1, lease.Lease{}
	}
	for _, h := range v.Leases {
		if i, ok := gatewayIndex(h.Holder.ID); h.Role == role && ok && v.At <= h.ExpiresAt &&
			!h.Unconfirmed {
			return i, h
		}
	}
	return -1, lease.Lease{}
}

func gatewayIndex(name string) (int, bool) {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	return i, err == nil && strings.HasPrefix(name, "n")
}

// logLeader returns the voter that leads; -1: there is none, or no answer.
func (t *trialRun) logLeader() int {
	var l consensus.Membership
	if t.view("status", &l) != nil {
		return -1
	}
	if i, ok := gatewayIndex(l.Leader); ok {
		return i
	}
	return -1
}

func (t *trialRun) countFault(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.injected[what]++
}

func (t *trialRun) logFault(format string, args ...any) {
	line := fmt.Sprintf("%6.2fs ", t.f.Record.Now().Seconds()) + fmt.Sprintf(format, args...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.schedule = append(t.schedule, line)
	fmt.Fprintln(t.progress, "  "+line)
}

func (t *trialRun) fail(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.errs = append(t.errs, err)
	}
}
