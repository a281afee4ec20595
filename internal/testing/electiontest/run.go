// Package electiontest runs a fleet of real gateways that lead roles while links and processes
// fail. It judges by effects whether each role had one leader at a time: by the committed state, by
// the committed export files, and by the requests that the simulated servers received.
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

// Options configure a run.
type Options struct {
	Seed      uint64
	Instances int
	For       time.Duration
	Load      float64
	Shards    int
	Clients   int    // additional clients with a session each, which watch the leases
	Logs      string // folder for copies of the gateways' logs; "": none
	Bin       string // gateway binary built with the tag faults; "": Run builds it
}

// points are the failpoints at which processes suspend or kill themselves if the rig asks for it by
// a file in their folder.
var points = []string{
	"export-collected", "export-amid-write", "export-before-agree", "export-after-agree",
	"voter-before-sync", "voter-after-sync", "use-before-close", "use-after-close",
}

// faultsText returns the environment variable that enables the faults of all points.
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
	f            *testcluster.Fleet
	o            Options
	progress     io.Writer
	lastAnswered atomic.Int32 // index of the gateway that answered last
	mu           sync.Mutex   // guards the fields below
	injected     map[string]int
	schedule     []string
	vacancies    []vacancy // begun by faults
	killed       []int     // kills by gateway
	emptied      map[int]bool
	errs         []error
}

// vacancy is the loss of a role's leader at a time, with the term of that leader.
type vacancy struct {
	role        string
	term        uint64
	begin       time.Time
	transferred bool // the leader transferred it
}

// Run runs a fleet amid faults and judges it.
func Run(ctx context.Context, o Options, progress io.Writer) (*harness.Summary, error) {
	if o.Load == 0 {
		o.Load = 0.35
	}
	if o.Shards == 0 {
		o.Shards = 2
	}
	f, err := testcluster.New(ctx, testcluster.Options{
		Seed: o.Seed, Instances: o.Instances, Load: o.Load, Bin: o.Bin, Log: progress,
		Fleet: fmt.Sprintf("shards = %d\nkeep = 64", o.Shards),
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t := &trialRun{f: f, o: o, progress: progress, injected: map[string]int{},
		killed: make([]int, o.Instances), emptied: map[int]bool{}}
	// The failpoints are enabled by the environment, so each process is restarted with it.
	for i, g := range f.Gateways {
		g.SetEnv(faultsText())
		if err := errors.Join(f.End(i, syscall.SIGTERM), f.Begin(i)); err != nil {
			return nil, err
		}
	}
	if err := t.waitUntilSettled(ctx); err != nil {
		return nil, err
	}
	var rest float64
	if o.For >= restLength {
		rest = t.atRest(ctx)
	}
	more, end := context.WithCancel(ctx)
	defer end()
	t.clients(more)
	w := &writers{f: f, seed: o.Seed, began: time.Now()} // they run as long as the traffic
	trafficContext, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); w.run(trafficContext, 4) }()
	go func() { defer wg.Done(); t.faults(trafficContext) }()
	f.Clients.Run(trafficContext)
	wg.Wait()
	fig, err := t.check(ctx, w, o.For)
	if fig != nil && rest > 0 {
		fig.Extra["bytes_per_second_gateway_at_rest"] = rest
	}
	return fig, err
}

// restLength is the shortest run before which the fleet's traffic at rest is measured.
const restLength = 30 * time.Second

// atRest returns how many bytes a second a gateway's links forward, in both directions, while there
// is no load.
func (t *trialRun) atRest(ctx context.Context) float64 {
	const length = 3 * time.Second
	before := t.f.Passed()
	if !testcluster.Pass(ctx, length) {
		return 0
	}
	return float64(t.f.Passed()-before) / length.Seconds() / float64(t.o.Instances)
}

// clients starts the additional clients, which keep a session and watch the leases.
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

// waitUntilSettled waits until every role has an owner.
func (t *trialRun) waitUntilSettled(ctx context.Context) error {
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
			return errors.New("not all roles have an owner")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// view queries one gateway after another for a part of the committed state, until one answers.
func (t *trialRun) view(line string, into any) error {
	var err error
	for k := range t.f.Gateways {
		i := (k + int(t.lastAnswered.Load())) % len(t.f.Gateways)
		if t.f.Stopped(i) || !t.f.Gateways[i].Running() {
			continue
		}
		if err = t.f.Call(i, line, into); err == nil {
			t.lastAnswered.Store(int32(i))
			return nil
		}
	}
	return errors.Join(errors.New("no gateway answers: "+line), err)
}

// roleLeader returns the gateway that leads a role, and its lease. It returns -1 if there is none
// or no gateway answers.
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

// logLeader returns the log's leader, or -1 if there is none or no gateway answers.
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
