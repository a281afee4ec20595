package allocationtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/lease"
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
	Compare   bool // also run fleets without budgets, with peer messages, with and without faults
	// Surge replaces the random faults: most gateways leave, join within a second, and then all are
	// replaced.
	Surge bool
	Bin   string // gateway binary built with the tag faults; "": Run builds it
}

// Text returns the tables of the operators' file for a new fleet that divides quotas and records
// its allocations and refusals.
func Text(shards int, more ...string) string {
	return fmt.Sprintf("[budgets]\non = true\nshards = %d\nbegin_full = true\nrecord = %q\n%s\n%s",
		shards, recordName, strings.Join(more, "\n"), refusals)
}

const (
	refusals = "[record]\nrefusals = \"refusals\"\n"
	voters   = 3
	shift    = 5 * time.Second // interval at which the busiest gateway of a customer changes
)

// Run runs a fleet amid faults, and then the same traffic with a fleet without faults and with one
// gateway. It returns the summary of the first.
func Run(ctx context.Context, o Options, progress io.Writer) (*harness.Summary, error) {
	if o.Load == 0 {
		o.Load = 0.35
	}
	if o.Shards == 0 {
		o.Shards = 4
	}
	if o.Bin == "" {
		bin, remove, err := testcluster.Build(ctx)
		if err != nil {
			return nil, err
		}
		defer remove()
		o.Bin = bin
	}
	disturbed, err := o.play(ctx, o.Instances, Text(o.Shards), true, progress)
	if err != nil {
		return nil, err
	}
	fig := disturbed.fig
	type world struct {
		name      string
		instances int
		text      string
		disturb   bool
	}
	worlds := []world{
		{"undisturbed", o.Instances, Text(o.Shards), false},
		{"one_gateway", 1, Text(o.Shards), false},
	}
	if o.Compare {
		// Their peer messages do not use the links that are cut.
		worlds = append(worlds, world{"notes", o.Instances, refusals, false},
			world{"notes_disturbed", o.Instances, refusals, true})
	}
	for _, w := range worlds {
		p, err := o.play(ctx, w.instances, w.text, w.disturb, io.Discard)
		if err != nil {
			return fig, err
		}
		fig.Extra["service_"+w.name] = p.fig.Service
		fig.Extra["over_"+w.name] = p.fig.Over
		fig.Extra["refused_with_room_"+w.name] = p.withRoom
		for rule, n := range p.fig.Broken {
			if n > 0 && !strings.HasPrefix(w.name, "notes") {
				fig.AddFailure(fmt.Sprintf("%s: %s broken %d times", w.name, rule, n))
			}
		}
	}
	required := []string{"redivisions", "joins", "leaves", "kills"}
	if !o.Surge {
		required = append(required, "stops", "cuts")
	}
	for _, k := range required {
		if n, ok := fig.Extra[k].(int); !ok || n == 0 {
			fig.AddFailure("no " + k + ": nothing was shown")
		}
	}
	return fig, nil
}

// worldResult is the result of one world.
type worldResult struct {
	fig      *harness.Summary
	withRoom float64 // the result of RefusedWithRoom
}

// play runs one world.
func (o *Options) play(
	ctx context.Context, instances int, text string, disturb bool, progress io.Writer,
) (p worldResult, err error) {
	f, err := testcluster.New(
		ctx,
		testcluster.Options{
			Seed:      o.Seed,
			Instances: instances,
			Voters:    min(voters, instances),
			Load:      o.Load,
			Bin:       o.Bin,
			Log:       progress,
			Operators: text,
		},
	)
	if err != nil {
		return p, err
	}
	defer f.Close()
	f.Site.Shift = shift
	t := newRun(f, o, progress)
	if err := t.waitUntilSettled(ctx); err != nil {
		return p, err
	}
	trafficContext, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	before := f.Passed()
	var wg sync.WaitGroup
	if disturb {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if o.Surge {
				t.harm.Fail(t.surge(ctx, voters, 4))
				cancel()
				return
			}
			t.faults(trafficContext)
		}()
	}
	f.Clients.Run(trafficContext)
	wg.Wait()
	p.fig = f.Summary("budgets")
	p.withRoom = RefusedWithRoom(f.Site, f.Record)
	t.printService()
	fig := p.fig
	if strings.Contains(text, "[budgets]") {
		if err := t.judge(fig); err != nil {
			return p, err
		}
	}
	fig.Extra["refused_with_room_share"] = p.withRoom
	fig.Extra["bytes_per_second_gateway"] = float64(
		f.Passed()-before,
	) / o.For.Seconds() / float64(
		instances,
	)
	for _, k := range []string{"joins", "leaves", "kills", "stops", "cuts"} {
		fig.Extra[k] = t.harm.Did(k)
	}
	fig.Extra["memory_mb"] = f.Memory()
	fig.Extra["refused_inside_share"] = refusedInside(f.Site, f.Record)
	if len(t.reclaimTimes) > 0 {
		fig.Extra["dead_part_back_ms_p99"] = harness.Quantile(t.reclaimTimes, 0.99)
	}
	if err := t.harm.Err(); err != nil {
		fig.AddFailure(err.Error())
	}
	return p, nil
}

// judge compares the quotas with what servers received and with what processes held.
func (t *trialRun) judge(fig *harness.Summary) error {
	// One request per suspension may fall between the last check of the clock and its write.
	slack := Slack{
		Late:  allocation.DefaultConfig().UseTimeout,
		Units: 4 * float64(t.harm.Did("stops")),
	}
	fig.Broken["window_over_whole"], fig.Broken["sum_over_whole"] = 0, 0
	all := Windows(t.f.Site, t.f.Record, slack)
	for _, w := range all {
		if w.Over > 0 {
			fig.Broken["window_over_whole"]++
			fig.AddFailure(w.String())
		}
	}
	strict := Windows(t.f.Site, t.f.Record, Slack{})
	if len(strict) > 0 {
		fig.Extra["worst_window_units"] = strict[0].Over
	}
	r, err := ReadAllocations(t.f)
	if err != nil {
		return err
	}
	const rounding = 1e-6
	for _, s := range r.Sums(t.f.Site) {
		if s.Over.Burst > rounding || s.Over.Rate > rounding {
			fig.Broken["sum_over_whole"]++
			fig.AddFailure(fmt.Sprintf("budget %x: %+v beyond the whole at %v",
				s.Budget, s.Over, s.At))
		}
	}
	if len(r.Terms) == 0 {
		fig.AddFailure("no gateway has written down any right")
	}
	fig.Extra["redivisions"] = r.Changes
	var newcomers []time.Duration
	for who, began := range r.Began {
		if first, ok := r.First[who]; ok {
			newcomers = append(newcomers, first-began)
		}
	}
	fig.Extra["newcomer_ms_p99"] = harness.Quantile(newcomers, 0.99)
	return nil
}

// printService prints the service of each second.
func (t *trialRun) printService() {
	by := map[int][]harness.Outcome{}
	last := 0
	for _, o := range harness.Outcomes(t.f.Site, t.f.Record) {
		k := int(o.Try.RequestedAt / time.Second)
		by[k] = append(by[k], o)
		last = max(last, k)
	}
	for k := range last + 1 {
		if len(by[k]) > 0 {
			fmt.Fprintf(t.progress, "  second %d: service %.3f\n", k,
				harness.Service(t.f.Site, by[k]))
		}
	}
}

// trialRun is one running world.
type trialRun struct {
	f            *testcluster.Fleet
	o            *Options
	progress     io.Writer
	harm         *testcluster.Harm
	mu           sync.Mutex
	reclaimTimes []time.Duration // from a kill until the process's allocations were reclaimed
}

func newRun(f *testcluster.Fleet, o *Options, progress io.Writer) *trialRun {
	return &trialRun{
		f:        f,
		o:        o,
		progress: progress,
		harm: &testcluster.Harm{Fleet: f, Seed: o.Seed, Voters: min(
			voters, len(f.Gateways),
		),
			Stops: 22 * allocation.DefaultConfig().TTL / 10, Progress: progress},
	}
}

// view sends a call to one gateway after another until one answers.
func (t *trialRun) view(line string, into any) (err error) {
	for i, g := range t.f.Gateways {
		if !g.Running() || t.f.Stopped(i) {
			continue
		}
		if err = t.f.Call(i, line, into); err == nil {
			return nil
		}
	}
	return errors.Join(errors.New("no gateway answers: "+line), err)
}

// leader returns the gateway that owns a role, or -1 if there is none or no gateway answers.
func (t *trialRun) leader(role string) int {
	var v lease.View
	if t.view("owners", &v) != nil {
		return -1
	}
	for _, h := range v.Leases {
		if i, err := strconv.Atoi(strings.TrimPrefix(h.Holder.ID, "n")); err == nil &&
			h.Role == role && v.At <= h.ExpiresAt {
			return i
		}
	}
	return -1
}

// waitUntilSettled waits until each shard has an owner.
func (t *trialRun) waitUntilSettled(ctx context.Context) error {
	if !strings.Contains(t.f.Operators(0), "[budgets]") {
		return nil
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline) &&
		ctx.Err() == nil; {
		n := 0
		for shard := range t.o.Shards {
			if t.leader(allocation.RoleOfShard(shard)) >= 0 {
				n++
			}
		}
		if n == t.o.Shards {
			testcluster.Pass(ctx, time.Second) // until all gateways have learned of it
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("not all shards of the budgets have an owner")
}

// faults injects faults into processes, and concurrently into links, until the context ends.
func (t *trialRun) faults(ctx context.Context) {
	h := t.harm
	h.Likely = func(r *rand.Rand) int {
		owner := t.leader(allocation.RoleOfShard(r.IntN(t.o.Shards)))
		if owner >= 0 {
			h.Logf("%s owns a shard", testcluster.Name(owner))
		}
		return owner
	}
	h.Killed = func(ctx context.Context, i int, restartAt time.Time) {
		var killed controlplane.LocalStatus
		err := t.f.Call(i, "here", &killed)
		h.Fail(t.f.End(i, syscall.SIGKILL))
		if err == nil {
			t.waitReclaimed(ctx, killed.Member, restartAt)
		}
	}
	h.Run(ctx, []testcluster.Kind{h.Kill, h.Terminate, h.Stop, h.Stop},
		[]testcluster.Kind{h.Isolate, h.OneWay, h.Isolate})
}

// waitReclaimed waits until the ledger has no more than its reserved minimums for a killed process,
// and records the time that this took. It gives up at limit.
func (t *trialRun) waitReclaimed(ctx context.Context, killed lease.Member, limit time.Time) {
	for began := time.Now(); time.Now().Before(limit); {
		var ledger []allocation.View
		if t.view("budgets", &ledger) == nil && len(ledger) > 0 &&
			!slices.ContainsFunc(ledger, func(b allocation.View) bool {
				return slices.ContainsFunc(b.Allocations, func(h allocation.MemberAllocation) bool {
					return h.Member == killed && h.Total.Burst > h.ReservedMin.Burst
				})
			}) {
			t.mu.Lock()
			t.reclaimTimes = append(t.reclaimTimes, time.Since(began))
			t.mu.Unlock()
			return
		}
		if !testcluster.Pass(ctx, 50*time.Millisecond) {
			return
		}
	}
}
