// Package ownertrial has a fleet of real gateways hold duties while links and processes fail, and judges by
// effects whether there was one owner at a time: by what was agreed, by the files that count, and by what the stand-in
// servers took.
package ownertrial

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mothcleat/agree"
	"mothcleat/internal/faultproxy"
	"mothcleat/internal/fleetlink"
	"mothcleat/internal/rig"
	"mothcleat/internal/trial"
	"mothcleat/internal/usageexporter"
	"mothcleat/lease"
	"mothcleat/usageexport"
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

// points are where processes stop or end themselves when the rig asks them to, by a file in their folder.
var points = []string{"export-collected", "export-amid-write", "export-before-agree", "export-after-agree", "voter-before-sync", "voter-after-sync",
	"use-before-close", "use-after-close"}

// faultsText asks for the faults of all points.
func faultsText() string {
	var all []string
	for _, p := range points {
		all = append(all, "stop="+p+"@stop-"+p, "kill="+p+"@kill-"+p)
	}
	return "MOTHCLEAT_FAULTS=" + strings.Join(append(all, "slow=voter-before-sync:3s@slow-sync"), ",")
}

// trialRun is one run.
type trialRun struct {
	f        *rig.Fleet
	o        Options
	progress io.Writer
	asked    atomic.Int32 // the gateway that answered last
	mu       sync.Mutex   // guards what follows
	did      map[string]int
	schedule []string
	free     []passing // how the duty passed on, where that was asked of a fault
	killed   []int     // by gateway
	emptied  map[int]bool
	errs     []error
}

// passing is when an owner ended, and under which term.
type passing struct {
	duty  string
	term  uint64
	at    time.Time
	order bool // handed on in order
}

// Run plays a fleet and judges it.
func Run(ctx context.Context, o Options, progress io.Writer) (*trial.Figures, error) {
	if o.Load == 0 {
		o.Load = 0.35
	}
	if o.Shards == 0 {
		o.Shards = 2
	}
	f, err := rig.New(ctx, rig.Options{Seed: o.Seed, Instances: o.Instances, Load: o.Load, Bin: o.Bin, Log: progress,
		Fleet: fmt.Sprintf("shards = %d\nkeep = 64", o.Shards)})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t := &trialRun{f: f, o: o, progress: progress, did: map[string]int{},
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
	fig, err := t.judge(ctx, w, o.For)
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
	if !rig.Pass(ctx, length) {
		return 0
	}
	return float64(t.f.Passed()-before) / length.Seconds() / float64(t.o.Instances)
}

// clients has further processes keep a session and watch.
func (t *trialRun) clients(ctx context.Context) {
	for i := range t.o.Clients {
		c := fleetlink.NewClient(rig.FleetName, lease.Member{ID: fmt.Sprintf("client-%d", i), Boot: t.o.Seed<<16 | uint64(i) | 1}, "",
			t.f.Voters(), t.f.Addresses(-1), slog.New(slog.DiscardHandler))
		go c.Live(ctx)
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
			if i, _ := t.owner(usageexport.Duty(shard)); i >= 0 {
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

// owner is who holds a duty; -1: nobody, or nobody tells.
func (t *trialRun) owner(duty string) (int, lease.Holding) {
	var v lease.View
	if t.view("owners", &v) != nil {
		return -1, lease.Holding{}
	}
	for _, h := range v.Duties {
		if i, ok := number(h.Owner.ID); h.Duty == duty && ok && v.At <= h.Until && !h.Offered {
			return i, h
		}
	}
	return -1, lease.Holding{}
}

func number(name string) (int, bool) {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	return i, err == nil && strings.HasPrefix(name, "n")
}

// leader is the voter that leads; -1: nobody tells.
func (t *trialRun) leader() int {
	var l agree.List
	if t.view("status", &l) != nil {
		return -1
	}
	if i, ok := number(l.Leader); ok {
		return i
	}
	return -1
}

func (t *trialRun) count(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.did[what]++
}

func (t *trialRun) note(format string, args ...any) {
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

// faults does one thing to processes after another, and beside that one thing to links after another, each kind in
// turn in an order that the seed draws.
func (t *trialRun) faults(ctx context.Context) {
	defer t.heal()
	var wg sync.WaitGroup
	track := func(seed uint64, least, most float64, kinds ...func(context.Context, *rand.Rand)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(t.o.Seed, seed))
			for {
				r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
				for _, kind := range kinds {
					if !rig.Pass(ctx, span(r, least, most)) {
						return
					}
					kind(ctx, r)
				}
			}
		}()
	}
	track(0x0117e5, 0.3, 1.2, t.stopAmidExport, t.stopAmidExport, t.stopLeader, t.killOwner, t.killAtPoint, t.handOn, t.stopOwner, t.transfer, t.slowDisk, t.emptyFolder)
	track(0x11111e, 0.5, 2, t.cutOneWay, t.isolate, t.weather)
	wg.Wait()
}

// heal ends all faults, and has every process run.
func (t *trialRun) heal() {
	t.f.Heal()
	for i, g := range t.f.Gateways {
		_ = os.Remove(filepath.Join(g.Dir(), "slow-sync"))
		if t.f.Stopped(i) {
			t.fail(t.f.Wake(i))
		}
		if !g.Running() {
			t.fail(t.f.Begin(i))
		}
	}
}

func (t *trialRun) duty(r *rand.Rand) string { return usageexport.Duty(r.IntN(t.o.Shards)) }

func span(r *rand.Rand, least, most float64) time.Duration {
	return time.Duration(trial.Between(r, least, most) * float64(time.Second))
}

// stop has a process lie still for a while.
func (t *trialRun) stop(ctx context.Context, i int, d time.Duration) {
	if err := t.f.Stop(i); err != nil {
		t.fail(err)
		return
	}
	t.count("stops")
	rig.Pass(ctx, d)
	t.fail(t.f.Wake(i))
}

func (t *trialRun) ended(duty string, h lease.Holding, order bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.free = append(t.free, passing{duty, h.Term, time.Now(), order})
}

func (t *trialRun) stopOwner(ctx context.Context, r *rand.Rand) {
	duty := t.duty(r)
	if i, h := t.owner(duty); i >= 0 {
		t.note("stop %s, owner of %s under term %d", rig.Name(i), duty, h.Term)
		t.ended(duty, h, false)
		t.stop(ctx, i, span(r, 2, 5))
	}
}

// stopAmidExport has the owner stop itself between its check and its write, and wakes it when another has gone on.
func (t *trialRun) stopAmidExport(ctx context.Context, r *rand.Rand) {
	duty := t.duty(r)
	point := []string{"export-before-agree", "export-before-agree", "export-amid-write", "export-collected"}[r.IntN(4)]
	i, h := t.owner(duty)
	if i < 0 {
		return
	}
	flag := filepath.Join(t.f.Gateways[i].Dir(), "stop-"+point)
	if err := os.WriteFile(flag, nil, 0o600); err != nil {
		t.fail(err)
		return
	}
	for wait := time.Now(); !t.f.Stopped(i); {
		if time.Since(wait) > 4*time.Second || !rig.Pass(ctx, 5*time.Millisecond) {
			_ = os.Remove(flag)
			return
		}
	}
	t.f.Record.AddLife(i, trial.Paused)
	t.ended(duty, h, false)
	t.note("%s stopped itself at %s, owner of %s under term %d", rig.Name(i), point, duty, h.Term)
	t.count("stops")
	rig.Pass(ctx, span(r, 3, 5))
	if _, next := t.owner(duty); next.Term > h.Term {
		t.count("late_wakes")
	}
	t.fail(t.f.Wake(i))
}

func (t *trialRun) stopLeader(ctx context.Context, r *rand.Rand) {
	if i := t.leader(); i >= 0 {
		t.note("stop %s, the leader", rig.Name(i))
		t.stop(ctx, i, span(r, 1.5, 4))
	}
}

// kill ends a process and starts it again.
func (t *trialRun) kill(ctx context.Context, r *rand.Rand, i int, then func()) {
	t.count("kills")
	t.killed[i]++
	t.fail(t.f.End(i, syscall.SIGKILL))
	if then != nil {
		then()
	}
	rig.Pass(ctx, span(r, 0.2, 2))
	t.fail(t.f.Begin(i))
}

func (t *trialRun) killOwner(ctx context.Context, r *rand.Rand) {
	duty := t.duty(r)
	if i, h := t.owner(duty); i >= 0 {
		t.note("kill %s, owner of %s under term %d", rig.Name(i), duty, h.Term)
		t.ended(duty, h, false)
		t.kill(ctx, r, i, nil)
	}
}

// killAtPoint has a process kill itself at a named point.
func (t *trialRun) killAtPoint(ctx context.Context, r *rand.Rand) {
	point := points[r.IntN(len(points))]
	i := r.IntN(t.o.Instances)
	duty := t.duty(r)
	var h lease.Holding
	if strings.HasPrefix(point, "export") {
		if i, h = t.owner(duty); i < 0 {
			return
		}
	} else if strings.HasPrefix(point, "voter") {
		if i = t.leader(); i < 0 {
			return
		}
	}
	flag := filepath.Join(t.f.Gateways[i].Dir(), "kill-"+point)
	if err := os.WriteFile(flag, nil, 0o600); err != nil {
		t.fail(err)
		return
	}
	t.f.Gateways[i].Expect(syscall.SIGKILL)
	for wait := time.Now(); t.f.Gateways[i].Running(); {
		if time.Since(wait) > 4*time.Second || !rig.Pass(ctx, 5*time.Millisecond) {
			_ = os.Remove(flag)
			t.f.Gateways[i].Expect(0)
			return
		}
	}
	t.f.Record.AddLife(i, trial.Killed)
	if h.Term > 0 {
		t.ended(duty, h, false)
	}
	t.count("kills")
	t.killed[i]++
	t.note("%s killed itself at %s", rig.Name(i), point)
	rig.Pass(ctx, span(r, 0.2, 1.5))
	t.fail(t.f.Begin(i))
}

// cutOneWay has a gateway be heard by nobody, or hear nobody.
func (t *trialRun) cutOneWay(ctx context.Context, r *rand.Rand) {
	i := t.leader()
	if i < 0 || r.IntN(3) == 0 {
		i = r.IntN(t.o.Instances)
	}
	says := r.IntN(2) == 0
	t.note("%s %s", rig.Name(i), map[bool]string{true: "is heard by nobody", false: "hears nobody"}[says])
	t.f.Isolate(i, says, !says, true)
	rig.Pass(ctx, span(r, 2, 4))
	t.f.Isolate(i, says, !says, false)
	t.count("cuts")
}

// isolate cuts a gateway off, or a pair of them from one another.
func (t *trialRun) isolate(ctx context.Context, r *rand.Rand) {
	i, j := r.IntN(t.o.Instances), r.IntN(t.o.Instances)
	if owner, _ := t.owner(t.duty(r)); owner >= 0 && r.IntN(2) == 0 {
		i = owner
	}
	if i == j || r.IntN(2) == 0 {
		t.note("%s is cut off", rig.Name(i))
		t.f.Isolate(i, true, true, true)
		rig.Pass(ctx, span(r, 2, 5))
		t.f.Isolate(i, true, true, false)
	} else {
		t.note("%s and %s don't hear each other", rig.Name(i), rig.Name(j))
		t.f.Between(i, j, true)
		rig.Pass(ctx, span(r, 2, 5))
		t.f.Between(i, j, false)
	}
	t.count("cuts")
}

// weather slows links, resets them, or leaves them half open.
func (t *trialRun) weather(ctx context.Context, r *rand.Rand) {
	i := r.IntN(t.o.Instances)
	what := r.IntN(4)
	t.note("links of %s: %s", rig.Name(i), []string{"late", "a trickle", "reset", "half open"}[what])
	for j, l := range t.f.Links[i] {
		if l == nil {
			continue
		}
		switch what {
		case 0:
			l.Set(faultproxy.Upstream, faultproxy.Conditions{Delay: 20 * time.Millisecond, Jitter: 80 * time.Millisecond})
			t.f.Links[j][i].Set(faultproxy.Upstream, faultproxy.Conditions{Jitter: 50 * time.Millisecond})
		case 1:
			l.Set(faultproxy.Upstream, faultproxy.Conditions{BytesPerSecond: 4000})
		case 2:
			l.Reset()
		case 3:
			l.HalfOpen()
		}
	}
	t.count("weather")
	rig.Pass(ctx, span(r, 1, 3))
	t.f.Heal()
}

// handOn stops an owner in order.
func (t *trialRun) handOn(ctx context.Context, r *rand.Rand) {
	duty := t.duty(r)
	i, h := t.owner(duty)
	if i < 0 {
		return
	}
	t.note("%s, owner of %s under term %d, is told to stop", rig.Name(i), duty, h.Term)
	t.ended(duty, h, true)
	t.fail(t.f.End(i, syscall.SIGTERM))
	t.count("stopped in order")
	rig.Pass(ctx, span(r, 0.1, 1))
	t.fail(t.f.Begin(i))
}

// transfer has a duty handed on by an operator's word.
func (t *trialRun) transfer(ctx context.Context, r *rand.Rand) {
	duty := t.duty(r)
	i, h := t.owner(duty)
	to := r.IntN(t.o.Instances)
	if i < 0 || i == to {
		return
	}
	var told string
	if t.view("transfer "+duty+" "+rig.Name(to), &told) == nil {
		t.note("%s is to be handed on from %s to %s", duty, rig.Name(i), rig.Name(to))
		t.ended(duty, h, true)
		t.count("transfers")
	}
}

// slowDisk has a voter's sync take three seconds.
func (t *trialRun) slowDisk(ctx context.Context, r *rand.Rand) {
	i := t.leader()
	if i < 0 {
		return
	}
	flag := filepath.Join(t.f.Gateways[i].Dir(), "slow-sync")
	t.note("the disk of %s, the leader, is slow", rig.Name(i))
	if err := os.WriteFile(flag, nil, 0o600); err != nil {
		t.fail(err)
		return
	}
	rig.Pass(ctx, span(r, 2, 4))
	t.fail(os.Remove(flag))
	t.count("slow disks")
}

// emptyFolder kills a gateway that is no voter, and takes its folder away, once a run.
func (t *trialRun) emptyFolder(ctx context.Context, r *rand.Rand) {
	i := t.o.Instances - 1
	if len(t.emptied) > 0 || t.o.Instances < 4 {
		return
	}
	t.note("kill %s and take its folder away", rig.Name(i))
	t.emptied[i] = true
	t.kill(ctx, r, i, func() { t.fail(t.f.Empty(i)) })
}

// judge waits until all use is exported, and holds what was agreed against what happened.
func (t *trialRun) judge(ctx context.Context, w *writers, ended time.Duration) (*trial.Figures, error) {
	t.f.Heal()
	var v usageexport.View
	sent := t.sent()
	began := time.Now()
	for {
		err := t.view("exports", &v)
		if err == nil && t.whole(&v, sent) {
			break
		}
		if time.Since(began) > 15*time.Second || ctx.Err() != nil {
			if err != nil {
				t.fail(err)
			}
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	var owners lease.View
	t.fail(t.view("owners", &owners))
	changes := 0
	histories := map[string][]lease.Holding{}
	for _, h := range owners.Duties {
		var all []lease.Holding
		t.fail(t.view("history "+h.Duty, &all))
		histories[h.Duty] = all
		changes += int(h.Term) - 1
	}
	stop, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	t.fail(t.f.World.Stop(stop))

	if t.o.Logs != "" {
		t.fail(os.MkdirAll(t.o.Logs, 0o755))
		for i, g := range t.f.Gateways {
			t.fail(os.WriteFile(filepath.Join(t.o.Logs, rig.Name(i)+".log"), []byte(g.Log()), 0o644))
		}
	}
	f := t.f.Figures("owner")
	two, late := t.effects(&v)
	f.Broken["two_owners"], f.Broken["late_effects"] = two, late
	j, err := w.judge(0, ended)
	if err != nil {
		f.Miss(err.Error())
	}
	f.Broken["lost_acked"], f.Broken["doubled"], f.Broken["unordered"] = j.lost, j.doubled, j.unordered
	t.exported(f, &v, sent)
	t.passings(f)
	for name, n := range t.did {
		f.Extra[strings.ReplaceAll(name, " ", "_")] = n
	}
	f.Extra["rss_mb_max"] = t.f.Memory()
	f.Extra["owner_changes"], f.Extra["leader_changes"] = changes, t.leaders()
	f.Extra["unavailable_ms"], f.Extra["unavailable_longest_ms"] = j.total.Milliseconds(), j.longest.Milliseconds()
	f.Extra["unavailable_longest_at_s"] = (w.began.Sub(t.f.Record.Began()) + j.at).Seconds()
	f.Extra["operations"], f.Extra["operations_unanswered"] = len(w.ops), w.unsure
	f.Extra["held_pieces"] = t.f.Held()
	for _, name := range []string{"late_wakes", "stops", "cuts", "kills"} {
		if t.did[name] == 0 {
			f.Miss("no " + name + ": nothing was shown")
			f.Extra[name] = 0
		}
	}
	if t.f.Held() == 0 {
		f.Miss("no cut link held anything up: nothing was shown")
	}
	if changes == 0 || t.leaders() == 0 {
		f.Miss("no change of owner, or of leader: nothing was shown")
	}
	for rule, n := range f.Broken {
		if n > 0 {
			f.OK = false
			f.Why = append(f.Why, fmt.Sprintf("%s: %d", rule, n))
		}
	}
	for _, err := range t.errs[:min(len(t.errs), 4)] {
		f.Miss(err.Error())
	}
	if !f.OK {
		fmt.Fprintf(t.progress, "the schedule of seed %d:\n  %s\n", t.o.Seed, strings.Join(t.schedule, "\n  "))
	}
	return f, nil
}

// sent is what each gateway sent on first, by what the servers took.
func (t *trialRun) sent() map[int]float64 {
	units := map[string]float64{}
	sent := map[int]float64{}
	t.f.Record.Look(func() {
		for _, try := range t.f.Record.Tries {
			units[try.ID] = try.Units
		}
		type pair struct {
			id      string
			gateway int
		}
		seen := map[pair]bool{}
		for _, a := range t.f.Record.Attempts {
			if p := (pair{a.ID, a.Gateway}); !seen[p] {
				seen[p] = true
				sent[a.Gateway] += units[a.ID]
			}
		}
	})
	return sent
}

// whole tells whether all that was sent is exported, or as much as ever will be.
func (t *trialRun) whole(v *usageexport.View, sent map[int]float64) bool {
	got := t.counted(v)
	for i, units := range sent {
		if got[i]+t.slack(i) < units && !t.emptied[i] {
			return false
		}
	}
	return true
}

// most is the units of the largest request.
const most = 8

// slack is what kills may have come between: one request each.
func (t *trialRun) slack(i int) float64 { return float64(most * t.killed[i]) }

// counted is what the files that count say, by gateway.
func (t *trialRun) counted(v *usageexport.View) map[int]float64 {
	got := map[int]float64{}
	for _, f := range v.Files {
		raw, err := os.ReadFile(filepath.Join(t.f.Exports, f.Name))
		if err != nil {
			continue // Verify tells
		}
		rows, err := csv.NewReader(strings.NewReader(string(raw))).ReadAll()
		if err != nil {
			continue
		}
		for _, row := range rows[1:] {
			if i, ok := number(row[0]); ok {
				units, _ := strconv.ParseFloat(row[6], 64)
				got[i] += units
			}
		}
	}
	return got
}

// exported holds the files that count against what the servers took.
func (t *trialRun) exported(f *trial.Figures, v *usageexport.View, sent map[int]float64) {
	_, loose, err := usageexporter.Verify(t.f.Exports, v)
	if err != nil {
		f.Broken["files_not_as_agreed"] = 1
		f.Miss(err.Error())
	}
	got := t.counted(v)
	difference, gap, total := 0.0, 0.0, 0.0
	for i, units := range sent {
		d := got[i] - units
		total += units
		switch {
		case t.emptied[i] && d < 0:
			gap -= d
		default:
			difference += math.Abs(d)
		}
		if d > t.slack(i) || -d > t.slack(i) && !t.emptied[i] {
			f.Miss(fmt.Sprintf("%s sent on %g units, and %g are exported", rig.Name(i), units, got[i]))
		}
	}
	if gap > 0 && !slices.ContainsFunc(v.Marks, func(m usageexport.Mark) bool { return m.Gap != "" }) {
		f.Miss(fmt.Sprintf("%g units were lost with a folder, and no gap is told", gap))
	}
	f.Extra["exported_units"], f.Extra["sent_on_units"], f.Extra["exported_difference"], f.Extra["gap_units"] = v.Units, total, difference, gap
	f.Extra["files"], f.Extra["files_that_do_not_count"] = v.Count, len(loose)
}

// effects looks for two owners in the files that count: a term has one owner, and terms come in their order.
func (t *trialRun) effects(v *usageexport.View) (two, late int) {
	owner := map[string]string{}
	newest := map[string]uint64{}
	for _, f := range v.Files {
		key := fmt.Sprintf("%s %d", f.Duty, f.Term)
		if was, ok := owner[key]; ok && was != f.Owner {
			two++
		}
		owner[key] = f.Owner
		if f.Term < newest[f.Duty] {
			late++
		}
		newest[f.Duty] = max(newest[f.Duty], f.Term)
	}
	// A period of one boot stands in one file.
	seen := map[string]bool{}
	for _, f := range v.Files {
		for _, s := range f.Spans {
			for p := s.From; p <= s.To; p++ {
				key := fmt.Sprintf("%s/%s/%d", s.ID, s.Boot, p)
				if seen[key] {
					two++
				}
				seen[key] = true
			}
		}
	}
	return two, late
}

var (
	takenLine = regexp.MustCompile(`(?m)^time=(\S+) .*msg="fleet: duty taken".* duty=(\S+) term=(\d+)`)
	ledLine   = regexp.MustCompile(`(?m)msg="fleet: leader".* term=(\d+) leader=\S+ leads=true`)
)

// passings tells how long duties were without an owner, by the gateways' own logs.
func (t *trialRun) passings(f *trial.Figures) {
	type taken struct {
		term uint64
		at   time.Time
	}
	by := map[string][]taken{}
	for _, g := range t.f.Gateways {
		for _, m := range takenLine.FindAllStringSubmatch(g.Log(), -1) {
			at, err := time.Parse(time.RFC3339, m[1])
			term, err2 := strconv.ParseUint(m[3], 10, 64)
			if err == nil && err2 == nil {
				by[m[2]] = append(by[m[2]], taken{term, at})
			}
		}
	}
	var failed, ordered []time.Duration
	for _, p := range t.free {
		next := time.Time{}
		for _, k := range by[p.duty] {
			if k.term > p.term && (next.IsZero() || k.at.Before(next)) {
				next = k.at
			}
		}
		if next.IsZero() {
			continue
		}
		if d := max(0, next.Sub(p.at)); p.order {
			ordered = append(ordered, d)
		} else {
			failed = append(failed, d)
		}
	}
	f.Extra["failovers"], f.Extra["hand_ons"] = len(failed), len(ordered)
	f.Extra["failover_ms_p50"], f.Extra["failover_ms_p99"] = trial.Quantile(failed, 0.5), trial.Quantile(failed, 0.99)
	f.Extra["hand_on_ms_p50"], f.Extra["hand_on_ms_p99"] = trial.Quantile(ordered, 0.5), trial.Quantile(ordered, 0.99)
}

// leaders counts the terms that had a leader, but for the first.
func (t *trialRun) leaders() int {
	terms := map[string]bool{}
	for _, g := range t.f.Gateways {
		for _, m := range ledLine.FindAllStringSubmatch(g.Log(), -1) {
			terms[m[1]] = true
		}
	}
	return max(0, len(terms)-1)
}
