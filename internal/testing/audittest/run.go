package audittest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/testcluster"
)

// Options configure a run.
type Options struct {
	Seed      uint64
	Instances int
	For       time.Duration
	Load      float64
	Logs      string // folder for the gateways' logs; "": they are deleted with the fleet
	Bin       string // gateway binary built with the tag faults; "": Run builds it
}

const (
	voters       = 3
	pollInterval = 100 * time.Millisecond // interval at which the committed versions are polled
)

// Run runs a fleet that rolls out versions of its plans amid faults, and then another with the same
// traffic without faults. It returns the summary of the first.
func Run(ctx context.Context, o Options, progress io.Writer) (*harness.Summary, error) {
	if o.Load == 0 {
		o.Load = 0.35
	}
	if o.Bin == "" {
		bin, remove, err := testcluster.Build(ctx)
		if err != nil {
			return nil, err
		}
		defer remove()
		o.Bin = bin
	}
	fig, err := o.play(ctx, true, progress)
	if err != nil {
		return nil, err
	}
	quiet, err := o.play(ctx, false, io.Discard)
	if err != nil {
		return fig, err
	}
	fig.Extra["service_undisturbed"] = quiet.Service
	for rule, n := range quiet.Broken {
		if n > 0 {
			fig.AddFailure(fmt.Sprintf("undisturbed: %s broken %d times", rule, n))
		}
	}
	for _, k := range []string{
		"rollouts",
		"withdrawn",
		"brought_up",
		"shut_out",
		"let_back",
		"stops",
		"cuts",
		"kills",
		"leaves",
	} {
		if n, ok := fig.Extra[k].(int); !ok || n == 0 {
			fig.AddFailure("no " + k + ": nothing was shown")
		}
	}
	return fig, nil
}

// trial is one running fleet with its observations.
type trial struct {
	o    *Options
	f    *testcluster.Fleet
	harm *testcluster.Harm

	mu        sync.Mutex
	changes   map[uint64]change
	ended     map[uint64]time.Duration // when a version was first seen to have expired
	forAll    map[uint64]time.Duration // when a version was first seen to be complete
	calls     int
	refused   int // proposals that failed, such as while another rollout is in progress
	withdrawn int
	heads     []auditlog.Head
	behind    map[string]bool // members that were seen to be behind
	broughtUp int             // how often a member that was behind has caught up
}

func (o *Options) play(
	ctx context.Context, disturb bool, progress io.Writer,
) (*harness.Summary, error) {
	f, err := testcluster.New(
		ctx,
		testcluster.Options{
			Seed:      o.Seed,
			Instances: o.Instances,
			Voters:    voters,
			Load:      o.Load,
			Bin:       o.Bin,
			Log:       progress,
			Operators: Text(),
		},
	)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	c := &trial{o: o,
		f: f,
		changes: map[uint64]change{
			1: {to: 1 << 62, factor: 1},
		},
		ended:  map[uint64]time.Duration{},
		forAll: map[uint64]time.Duration{},
		behind: map[string]bool{},
		harm: &testcluster.Harm{
			Fleet:    f,
			Seed:     o.Seed,
			Voters:   min(voters, o.Instances),
			Stops:    3 * LeaseTTL,
			Progress: progress,
		}}
	c.harm.Likely = func(*rand.Rand) int { return c.rolloutLeader() }
	if err := c.waitUntilSettled(ctx); err != nil {
		return nil, err
	}
	before := f.Passed()
	trafficContext, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var wg sync.WaitGroup
	begin := func(do func()) {
		wg.Add(1)
		go func() { defer wg.Done(); do() }()
	}
	begin(func() { c.propose(trafficContext) })
	begin(func() { c.watch(trafficContext) })
	if disturb {
		begin(func() {
			h := c.harm
			h.Run(trafficContext, []testcluster.Kind{h.Kill, h.Terminate, h.Stop, h.Stop},
				[]testcluster.Kind{h.Isolate, h.OneWay, h.Isolate})
		})
	}
	f.Clients.Run(trafficContext)
	wg.Wait()
	bytes := f.Passed() - before
	if err := c.waitUntilSettled(ctx); err != nil {
		return nil, err
	}
	fig, err := c.check()
	if err == nil {
		fig.Extra["bytes_per_second_gateway"] = float64(
			bytes,
		) / o.For.Seconds() / float64(
			o.Instances,
		)
	}
	return fig, err
}

// waitUntilSettled waits until all gateways may act on the newest complete version.
func (c *trial) waitUntilSettled(ctx context.Context) error {
	last := ""
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline) &&
		ctx.Err() == nil; testcluster.Pass(ctx, 50*time.Millisecond) {
		n := 0
		for i := range c.f.Gateways {
			v, err := versionsStatus(c.f, i)
			h, bad := rolloutStatus(c.f, i)
			if err = errors.Join(err, bad); err != nil {
				last = err.Error()
				continue
			}
			newest := uint64(0)
			for _, one := range v.Versions {
				if one.State == configversion.StateComplete {
					newest = one.Number
				}
			}
			if last = fmt.Sprintf("%s: %+v, version %d is complete", testcluster.Name(i), h,
				newest); h.Until > 0 && (newest <= 1 || h.InForce["plans"] >= newest) {
				n++
			}
		}
		if n == len(c.f.Gateways) {
			c.poll(0)
			return nil
		}
	}
	return fmt.Errorf("not all gateways have caught up; last state: %s", last)
}

// rolloutLeader returns the gateway that leads rollouts, or -1 if none reports that it does.
func (c *trial) rolloutLeader() int {
	for i, g := range c.f.Gateways {
		var h controlplane.LocalStatus
		if g.Running() && !c.f.Stopped(i) && c.f.Call(i, "here", &h) == nil &&
			h.Roles[configversion.Role] > 0 {
			return i
		}
	}
	return -1
}

// anyRunning returns a random gateway that is neither down nor suspended, or 0 if there is none.
func (c *trial) anyRunning(r *rand.Rand) int {
	for _, i := range r.Perm(len(c.f.Gateways)) {
		if c.f.Gateways[i].Running() && !c.f.Stopped(i) {
			return i
		}
	}
	return 0
}

// propose proposes versions every few seconds, and withdraws one in three soon after.
func (c *trial) propose(ctx context.Context) {
	r := rand.New(rand.NewPCG(c.o.Seed, 0xad))
	for testcluster.Pass(ctx, time.Duration(harness.Between(r, 1.5, 3.5)*float64(time.Second))) {
		at := c.anyRunning(r)
		stage, factor := configversion.StageOne, harness.Between(r, 0.5, 1)
		if r.IntN(3) == 0 {
			stage = configversion.StageAll
		}
		lead := time.Duration(0)
		if r.IntN(4) == 0 {
			lead = time.Second
		}
		began := c.f.Record.Now()
		number, err := propose(c.f, at, stage, lead, plansText(c.f.Site, factor))
		c.mu.Lock()
		if c.calls++; err != nil {
			c.refused++
			c.mu.Unlock()
			continue
		}
		c.changes[number] = change{from: began, to: 1 << 62, factor: factor}
		c.mu.Unlock()
		c.harm.Logf("%s proposes version %d, stage %s, lead %v: the plans times %.2f",
			testcluster.Name(at), number, stage, lead, factor)
		if r.IntN(3) != 0 ||
			!testcluster.Pass(ctx,
				time.Duration(harness.Between(r, 0.1, 1.5)*float64(time.Second))) {
			continue
		}
		var next uint64
		began = c.f.Record.Now()
		if c.f.Call(c.anyRunning(r), fmt.Sprintf("versions withdraw plans %d drawn", number),
			&next) == nil {
			c.mu.Lock()
			c.withdrawn++
			v, err := versionsStatus(c.f, c.anyRunning(r))
			if one := findVersion(&v, next); err == nil && one != nil {
				c.changes[next] = change{
					from: began, to: 1 << 62, factor: c.changes[one.Restores].factor,
				}
			}
			c.mu.Unlock()
			c.harm.Logf("version %d is withdrawn and replaced by version %d", number, next)
		}
	}
}

// watch polls the committed versions until the context ends.
func (c *trial) watch(ctx context.Context) {
	r := rand.New(rand.NewPCG(c.o.Seed, 0xae))
	for testcluster.Pass(ctx, pollInterval) {
		c.poll(c.anyRunning(r))
	}
}

// poll records which versions are complete or have ended, and which members are behind.
func (c *trial) poll(at int) {
	v, err := versionsStatus(c.f, at)
	if err != nil {
		return
	}
	now := c.f.Record.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads = v.Heads
	for _, one := range v.Versions {
		if _, ok := c.forAll[one.Number]; !ok && one.State == configversion.StateComplete &&
			now > pollInterval {
			c.forAll[one.Number] = now - pollInterval // lower bound: the previous poll
		}
		if _, ok := c.ended[one.Number]; !ok && one.ExpiresAt != 0 && v.At >= one.ExpiresAt {
			c.ended[one.Number] = now
			if k, ok := c.changes[one.Number]; ok {
				k.to = now
				c.changes[one.Number] = k
			}
		}
		if _, ok := c.changes[one.Number]; !ok { // its proposal or withdrawal got no answer
			c.changes[one.Number] = change{to: 1 << 62, factor: 1}
		}
	}
	behind := map[string]bool{}
	for _, b := range v.LaggingReplicas {
		behind[b.Member.String()] = true
	}
	for who := range c.behind {
		if !behind[who] {
			c.broughtUp++
		}
	}
	c.behind = behind
}

var fencingLines = regexp.MustCompile(
	`(?m)^.*msg="fleet: (fenced: this gateway operates under no version|` +
		`readmitted: this gateway operates again)".*$`,
)

// check ends the fleet and judges it by the logs and records of all gateways.
func (c *trial) check() (*harness.Summary, error) {
	fig := c.f.Summary("audit")
	// Wait until the heads of nearly all entries have been reported.
	testcluster.Pass(context.Background(), 4*time.Second)
	c.poll(0)
	for i := range c.f.Gateways {
		if err := c.f.End(i, syscall.SIGTERM); err != nil {
			return fig, err
		}
	}
	logs := map[int][]period{}
	fenced, readmitted := 0, 0
	perGateway, hearing := []time.Duration{}, []time.Duration{}
	broken := func(rule string, n int, format string, args ...any) {
		if fig.Broken[harness.Rule(rule)] += n; n > 0 {
			fig.AddFailure(rule + ": " + fmt.Sprintf(format, args...))
		}
	}
	stops := c.harm.Did("stops")
	late := 0
	for i, g := range c.f.Gateways {
		all, err := versionPeriods(c.f, i)
		if err != nil {
			return fig, err
		}
		logs[i] = all
		late += lateOperations(c.f, all, c.ended)
		out := false
		for _, m := range fencingLines.FindAllStringSubmatch(g.Log(), -1) {
			if is := strings.HasPrefix(m[1], "fenced"); is &&
				!strings.Contains(m[0], configversion.ReasonNoResponseYet) {
				fenced++
				out = true
			} else if !is && out {
				readmitted++
				out = false
			}
		}
		for _, s := range all {
			if k, ok := c.changes[s.number]; ok && s.number > 1 && s.from > k.from && k.from > 0 {
				perGateway = append(perGateway, s.from-k.from)
			}
			// Only gateways without a fault since then, nor so shortly before that they may have
			// been fenced.
			if at, ok := c.forAll[s.number]; ok && s.from > at &&
				!c.harm.Befell(i, at-2*LeaseTTL, s.from) {
				hearing = append(hearing, s.from-at)
			}
		}
		if c.o.Logs != "" {
			_ = os.WriteFile(fmt.Sprintf("%s/%s.log", c.o.Logs, testcluster.Name(i)),
				[]byte(g.Log()), 0o600)
		}
	}
	// A suspension may fall between the last check and the write of one request.
	broken("acts_on_withdrawn", max(0, late-stops), "%d requests, %d stops", late, stops)
	wrote, err := records(c.f)
	if err != nil {
		return fig, err
	}
	var all []auditlog.Entry
	unexplained, untaken := 0, 0
	for i := range c.f.Gateways {
		u, n := compareRecord(c.f, i, wrote[i])
		unexplained, untaken = unexplained+u, untaken+n
		all = append(all, wrote[i]...)
	}
	broken("unexplained_acts", unexplained, "%d requests are in no record", unexplained)
	good, bad := auditlog.Verify(all, c.heads)
	for _, d := range bad {
		broken("record_broken", 1, "%s", d)
	}
	fig.Broken["record_broken"] += 0
	rows, gaps := auditlog.Summarize(good, (10 * time.Second).Microseconds())
	n := mismatchedRows(rows, c.f, logs)
	broken("wrong_version", n, "%d stretches of the audit do not fit what was logged", n)
	unseen := c.undetectedForgeries(wrote)
	broken("forged_unseen", len(unseen), "%v", unseen)
	var changes []change
	for _, k := range slices.Sorted(maps.Keys(c.changes)) {
		changes = append(changes, c.changes[k])
	}
	beyond := customersBeyondTerms(c.f, changes, stops)
	broken("mixed_sum_over_whole", len(beyond), "%v", beyond[:min(3, len(beyond))])
	fig.Extra["rollouts"] = len(c.changes) - 1
	fig.Extra["withdrawn"] = c.withdrawn
	fig.Extra["proposals_refused"] = c.refused
	fig.Extra["brought_up"], fig.Extra["shut_out"], fig.Extra["let_back"] =
		c.broughtUp, fenced, readmitted
	fig.Extra["in_force_ms_p50"] = harness.Quantile(perGateway, 0.5)
	fig.Extra["in_force_ms_p99"] = harness.Quantile(perGateway, 0.99)
	fig.Extra["in_force_hearing_ms_p50"] = harness.Quantile(hearing, 0.5)
	fig.Extra["in_force_hearing_ms_p99"] = harness.Quantile(hearing, 0.99)
	fig.Extra["entries"] = len(all)
	fig.Extra["stretches"] = len(rows)
	fig.Extra["gaps"] = len(gaps)
	fig.Extra["untaken"] = untaken
	fig.Extra["late_writes"] = late
	for _, k := range []string{"stops", "cuts", "kills", "leaves", "joins"} {
		fig.Extra[k] = c.harm.Did(k)
	}
	fig.Extra["memory_mb"] = c.f.Memory()
	if err := c.harm.Err(); err != nil {
		fig.AddFailure(err.Error())
	}
	return fig, nil
}

// undetectedForgeries damages each gateway's record in each way in turn, and returns the damages
// that auditlog.Verify does not detect.
func (c *trial) undetectedForgeries(wrote map[int][]auditlog.Entry) (unseen []string) {
	for i := range c.f.Gateways {
		for what, change := range map[string]func([]auditlog.Entry) []auditlog.Entry{
			"cut":      func(e []auditlog.Entry) []auditlog.Entry { return e[:len(e)/4] },
			"changed":  func(e []auditlog.Entry) []auditlog.Entry { e[0].Units++; return e },
			"left out": func(e []auditlog.Entry) []auditlog.Entry { return slices.Delete(e, 1, 2) },
			"removed":  func([]auditlog.Entry) []auditlog.Entry { return nil },
			"copied": func([]auditlog.Entry) []auditlog.Entry {
				return wrote[(i+1)%len(c.f.Gateways)]
			},
		} {
			if len(wrote[i]) < 8 {
				continue
			}
			var some []auditlog.Entry
			for j := range c.f.Gateways {
				e := slices.Clone(wrote[j])
				if j == i {
					e = change(e)
				}
				some = append(some, e...)
			}
			if _, bad := auditlog.Verify(some, c.heads); len(bad) == 0 {
				unseen = append(unseen, testcluster.Name(i)+" "+what)
			}
		}
	}
	return unseen
}
