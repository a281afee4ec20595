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

// Options say what is played.
type Options struct {
	Seed      uint64
	Instances int
	For       time.Duration
	Load      float64
	Logs      string // a folder for the gateways' logs; "": they go with the fleet
	Bin       string // built with the tag faults; "": it is built
}

const (
	voters = 3
	seen   = 100 * time.Millisecond // how often what is agreed is looked at
)

// Run plays a fleet that is given versions of its plans amid faults, and beside it the same traffic
// and versions without any.
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

// course is one world that runs.
type course struct {
	o    *Options
	f    *testcluster.Fleet
	harm *testcluster.Harm

	mu      sync.Mutex
	all     map[uint64]change
	ended   map[uint64]time.Duration // when it was seen that nobody may act on a version any more
	forAll  map[uint64]time.Duration // when a version was seen to be for all
	calls   int
	refused int // of proposals, while another roll-out is under way or nobody is to be asked
	drawn   int // withdrawn
	heads   []auditlog.Head
	behind  map[string]bool // members that were seen behind
	brought int
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
	c := &course{o: o,
		f: f,
		all: map[uint64]change{
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
	c.harm.Likely = func(*rand.Rand) int { return c.guide() }
	if err := c.settled(ctx); err != nil {
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
	if err := c.settled(ctx); err != nil {
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

// settled waits until all may act on the newest version that is for all.
func (c *course) settled(ctx context.Context) error {
	last := ""
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline) &&
		ctx.Err() == nil; testcluster.Pass(ctx, 50*time.Millisecond) {
		n := 0
		for i := range c.f.Gateways {
			v, err := agreed(c.f, i)
			h, bad := here(c.f, i)
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
			if last = fmt.Sprintf("%s: %+v, %d is for all", testcluster.Name(i), h,
				newest); h.Until > 0 && (newest <= 1 || h.InForce["plans"] >= newest) {
				n++
			}
		}
		if n == len(c.f.Gateways) {
			c.look(0)
			return nil
		}
	}
	return fmt.Errorf("not all have caught up: %s", last)
}

// guide is who guides roll-outs; -1: nobody says so.
func (c *course) guide() int {
	for i, g := range c.f.Gateways {
		var h controlplane.LocalStatus
		if g.Running() && !c.f.Stopped(i) && c.f.Call(i, "here", &h) == nil &&
			h.Roles[configversion.Role] > 0 {
			return i
		}
	}
	return -1
}

// someone is a gateway that can be called.
func (c *course) someone(r *rand.Rand) int {
	for _, i := range r.Perm(len(c.f.Gateways)) {
		if c.f.Gateways[i].Running() && !c.f.Stopped(i) {
			return i
		}
	}
	return 0
}

// propose has versions proposed every few seconds, and every third one withdrawn soon after.
func (c *course) propose(ctx context.Context) {
	r := rand.New(rand.NewPCG(c.o.Seed, 0xad))
	for testcluster.Pass(ctx, time.Duration(harness.Between(r, 1.5, 3.5)*float64(time.Second))) {
		at := c.someone(r)
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
		c.all[number] = change{from: began, to: 1 << 62, factor: factor}
		c.mu.Unlock()
		c.harm.Logf("%s proposes %d for %s, in %v: the plans times %.2f",
			testcluster.Name(at), number, stage, lead, factor)
		if r.IntN(3) != 0 ||
			!testcluster.Pass(ctx,
				time.Duration(harness.Between(r, 0.1, 1.5)*float64(time.Second))) {
			continue
		}
		var next uint64
		began = c.f.Record.Now()
		if c.f.Call(c.someone(r), fmt.Sprintf("versions withdraw plans %d drawn", number),
			&next) == nil {
			c.mu.Lock()
			c.drawn++
			v, err := agreed(c.f, c.someone(r))
			if one := version(&v, next); err == nil && one != nil {
				c.all[next] = change{from: began, to: 1 << 62, factor: c.all[one.Restores].factor}
			}
			c.mu.Unlock()
			c.harm.Logf("%d is withdrawn, %d takes its place", number, next)
		}
	}
}

// watch notes when versions end, and who is behind.
func (c *course) watch(ctx context.Context) {
	r := rand.New(rand.NewPCG(c.o.Seed, 0xae))
	for testcluster.Pass(ctx, seen) {
		c.look(c.someone(r))
	}
}

func (c *course) look(at int) {
	v, err := agreed(c.f, at)
	if err != nil {
		return
	}
	now := c.f.Record.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads = v.Heads
	for _, one := range v.Versions {
		if _, ok := c.forAll[one.Number]; !ok && one.State == configversion.StateComplete &&
			now > seen {
			c.forAll[one.Number] = now - seen // it was by then, or a little later
		}
		if _, ok := c.ended[one.Number]; !ok && one.ExpiresAt != 0 && v.At >= one.ExpiresAt {
			c.ended[one.Number] = now
			if k, ok := c.all[one.Number]; ok {
				k.to = now
				c.all[one.Number] = k
			}
		}
		if _, ok := c.all[one.Number]; !ok { // of a proposal or withdrawal whose answer was lost
			c.all[one.Number] = change{to: 1 << 62, factor: 1}
		}
	}
	behind := map[string]bool{}
	for _, b := range v.LaggingReplicas {
		behind[b.Member.String()] = true
	}
	for who := range c.behind {
		if !behind[who] {
			c.brought++
		}
	}
	c.behind = behind
}

var outs = regexp.MustCompile(
	`(?m)^.*msg="fleet: (fenced: this gateway operates under no version|` +
		`readmitted: this gateway operates again)".*$`,
)

// check ends the fleet and reads what all have left.
func (c *course) check() (*harness.Summary, error) {
	fig := c.f.Summary("audit")
	// heads of the last entries but few are told
	testcluster.Pass(context.Background(), 4*time.Second)
	c.look(0)
	for i := range c.f.Gateways {
		if err := c.f.End(i, syscall.SIGTERM); err != nil {
			return fig, err
		}
	}
	logs := map[int][]period{}
	shut, let := 0, 0
	perGateway, hearing := []time.Duration{}, []time.Duration{}
	broken := func(rule string, n int, format string, args ...any) {
		if fig.Broken[harness.Rule(rule)] += n; n > 0 {
			fig.AddFailure(rule + ": " + fmt.Sprintf(format, args...))
		}
	}
	stops := c.harm.Did("stops")
	late := 0
	for i, g := range c.f.Gateways {
		all, err := spans(c.f, i)
		if err != nil {
			return fig, err
		}
		logs[i] = all
		late += lateOperations(c.f, all, c.ended)
		out := false
		for _, m := range outs.FindAllStringSubmatch(g.Log(), -1) {
			if is := strings.HasPrefix(m[1], "fenced"); is &&
				!strings.Contains(m[0], configversion.ReasonNoResponseYet) {
				shut++
				out = true
			} else if !is && out {
				let++
				out = false
			}
		}
		for _, s := range all {
			if k, ok := c.all[s.number]; ok && s.number > 1 && s.from > k.from && k.from > 0 {
				perGateway = append(perGateway, s.from-k.from)
			}
			// Of those that hear: nothing was done to them since, nor so shortly before that they
			// may have been shut out.
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
	// A stop may lie between the last look and the write.
	broken("acts_on_withdrawn", max(0, late-stops), "%d requests, %d stops", late, stops)
	wrote, err := records(c.f)
	if err != nil {
		return fig, err
	}
	var all []auditlog.Entry
	unexplained, untaken := 0, 0
	for i := range c.f.Gateways {
		u, n := account(c.f, i, wrote[i])
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
	n := wrong(rows, c.f, logs)
	broken("wrong_version", n, "%d stretches of the audit do not fit what was logged", n)
	unseen := c.forge(wrote)
	broken("forged_unseen", len(unseen), "%v", unseen)
	var changes []change
	for _, k := range slices.Sorted(maps.Keys(c.all)) {
		changes = append(changes, c.all[k])
	}
	beyond := over(c.f, changes, stops)
	broken("mixed_sum_over_whole", len(beyond), "%v", beyond[:min(3, len(beyond))])
	fig.Extra["rollouts"] = len(c.all) - 1
	fig.Extra["withdrawn"] = c.drawn
	fig.Extra["proposals_refused"] = c.refused
	fig.Extra["brought_up"], fig.Extra["shut_out"], fig.Extra["let_back"] = c.brought, shut, let
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

// forge damages each gateway's record in turn, in each way, and gives those that do not show.
func (c *course) forge(wrote map[int][]auditlog.Entry) (unseen []string) {
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
