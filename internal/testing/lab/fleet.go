package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"mothcleat/internal/testing/harness"
)

// FleetOptions describes a fleet and the disturbances of its run.
type FleetOptions struct {
	Seed       uint64
	Instances  int
	For        time.Duration
	State      string // whether gateways save their state: "on", "off" or "both"
	InPlace    bool   // only hand-overs and reloads, during which no port may close
	RestartAll bool   // one restart of the whole fleet, compared with a fleet that has none
	Quiet      bool   // no kills and no restarts
	Load       float64
	Bin        string // path of the gateway's binary; "": it is built
}

// operatorsText returns the operators' file of an instance; its paths are relative to the
// instance's folder.
func operatorsText(state bool) string {
	text := "[handover]\non = true\npid_file = \"pid\"\nready_within = \"10s\"\n" + recordText
	if state {
		text += "[state]\nfile = \"state\"\nevery = \"1s\"\n"
	}
	return text
}

// RunFleet runs a fleet and restarts its instances at random, in all ways. If State is "both", two
// worlds of the same seed run side by side; RestartAll adds a world in which nothing restarts.
func RunFleet(ctx context.Context, o FleetOptions, progress io.Writer) (*harness.Summary, error) {
	if o.Load == 0 {
		o.Load = 0.55
	}
	remove, err := buildIfNone(ctx, &o.Bin)
	if err != nil {
		return nil, err
	}
	defer remove()
	type world struct {
		name  string
		o     FleetOptions
		state bool
	}
	worlds := []world{{"with", o, true}}
	switch o.State {
	case "off":
		worlds[0] = world{"without", o, false}
	case "both":
		worlds = append(worlds, world{"without", o, false})
	}
	if o.RestartAll {
		undisturbed := o
		undisturbed.Quiet = true
		worlds = append(worlds, world{"undisturbed", undisturbed, true})
	}
	summaries, errs := make([]*harness.Summary, len(worlds)), make([]error, len(worlds))
	var wg sync.WaitGroup
	for i, w := range worlds {
		wg.Add(1)
		go func() {
			defer wg.Done()
			log := progress
			if i > 0 {
				log = io.Discard
			}
			summaries[i], errs[i] = runWorld(ctx, w.o, w.state, log)
		}()
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return summaries[0], fmt.Errorf("%s: %w", worlds[i].name, err)
		}
	}
	f := summaries[0]
	f.Extra["state"] = worlds[0].name
	for i, other := range summaries[1:] {
		name := worlds[i+1].name
		f.Extra[name] = other
		if !other.OK {
			f.AddFailure("the fleet " + name + " did not hold its promises")
		}
		if name == "undisturbed" {
			compare(f, other)
		}
	}
	return f, nil
}

// compare compares a whole-fleet restart with a fleet that had none: the fraction of units sent beyond
// the quotas may be higher by at most 0.05.
func compare(f, undisturbed *harness.Summary) {
	sent := func(f *harness.Summary) float64 { return f.Extra["sent_units"].(float64) }
	mine, other := f.Over/sent(f), undisturbed.Over/sent(undisturbed)
	f.Extra["over_quota_share"], f.Extra["over_quota_share_undisturbed"] = mine, other
	if mine > other+0.05 {
		f.AddFailure(fmt.Sprintf(
			"%.3f of the units went beyond the quotas, %.3f in the fleet that did not restart",
			mine,
			other,
		))
	}
}

func runWorld(
	ctx context.Context, o FleetOptions, state bool, progress io.Writer,
) (*harness.Summary, error) {
	w, err := NewWorld(
		ctx,
		Options{Seed: o.Seed, Gateways: o.Instances, Servers: 12, Load: o.Load, Bin: o.Bin,
			Operators: operatorsText(state), Log: progress},
	)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	w.Site.AbandonFraction = fleetAbandonFraction
	c := &chaos{w: w, o: o, busy: make([]sync.Mutex, o.Instances)}
	trafficContext, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	w.progress(trafficContext, progress, o.For)
	if !o.Quiet {
		c.run(trafficContext)
	}
	w.Clients.Run(trafficContext)
	c.wg.Wait()
	stop, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := w.Stop(stop); err != nil {
		c.fail(err)
	}
	f := w.summarize("fleet")
	c.summarize(f)
	return f, nil
}

// fleetAbandonFraction is the fraction of a fleet's tries whose client leaves before an answer. Such a
// try must not be sent to a server if it still waits in the gateway.
const fleetAbandonFraction = 0.03

// chaos restarts a world's gateways and servers.
type chaos struct {
	w    *World
	o    FleetOptions
	wg   sync.WaitGroup
	busy []sync.Mutex // by gateway: held during an action, so that each gateway has one at a time

	mu       sync.Mutex
	errs     []error
	restarts map[string]int
	stayed   int // hand-overs that the old process refused or that failed
}

func (c *chaos) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.errs = append(c.errs, err)
}

func (c *chaos) did(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.restarts == nil {
		c.restarts = map[string]int{}
	}
	c.restarts[what]++
}

func (c *chaos) run(ctx context.Context) {
	r := rand.New(rand.NewPCG(c.o.Seed, 0xca05))
	if c.o.RestartAll {
		c.wg.Add(1)
		go func() { defer c.wg.Done(); c.restartAll(ctx, c.o.For/2) }()
		return
	}
	c.wg.Add(1)
	go func() { defer c.wg.Done(); c.gateways(ctx, r) }()
	if !c.o.InPlace {
		c.wg.Add(1)
		go func() { defer c.wg.Done(); c.servers(ctx, rand.New(rand.NewPCG(c.o.Seed, 0x5e4))) }()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// restartAll kills or stops all instances at the same moment and starts them again.
func (c *chaos) restartAll(ctx context.Context, after time.Duration) {
	if !sleep(ctx, after) {
		return
	}
	var wg sync.WaitGroup
	for i, g := range c.w.Gateways {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.restart(ctx, g, []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[i%2])
		}()
	}
	wg.Wait()
	c.did("whole")
}

// gateways disturbs random gateways at random times, sometimes several at once. After a third of the
// run it restarts the whole fleet while the register is silent.
func (c *chaos) gateways(ctx context.Context, r *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	// Each instance is disturbed about every 20 s. The minimum of 200 ms bounds how fast one machine
	// has to start processes.
	mean := max(200*time.Millisecond, 20*time.Second/time.Duration(c.o.Instances))
	startedAt, together := time.Now(), c.o.InPlace
	for sleep(ctx, time.Duration(r.ExpFloat64()*float64(mean))) {
		if !together && time.Since(startedAt) > c.o.For/3 {
			together = true
			c.w.Register.Silence(true)
			c.restartAll(ctx, 0)
			time.AfterFunc(2*time.Second, func() { c.w.Register.Silence(false) })
		}
		g := c.w.Gateways[r.IntN(len(c.w.Gateways))]
		what := r.IntN(10)
		more := r.IntN(4)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !c.busy[g.Number].TryLock() {
				return
			}
			defer c.busy[g.Number].Unlock()
			switch {
			case c.o.InPlace && what < 7 || !c.o.InPlace && what < 3:
				c.handOver(g)
			case what < 5 && !c.o.InPlace:
				c.cycle(ctx, g, syscall.SIGKILL, more)
			case what < 8 && !c.o.InPlace:
				c.cycle(ctx, g, syscall.SIGTERM, more)
			default:
				for range 1 + 5*(more/3) { // sometimes several reloads in a row
					_ = g.Configure()
					_ = g.Signal(syscall.SIGHUP)
				}
				c.did("reload")
			}
		}()
	}
}

func (c *chaos) handOver(g *Gateway) {
	// Not bound to the run's context: a hand-over in progress completes after the run's end.
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	if !g.Running() {
		return
	}
	began := c.w.Record.Now()
	switch ok, err := g.HandOver(ctx); {
	case err != nil:
		c.fail(err)
	case !ok: // the previous process may still have been draining
		c.mu.Lock()
		c.stayed++
		c.mu.Unlock()
	default:
		c.did("in place")
		c.w.Record.AddProcessEvent(g.Number, harness.Ready)
		g.mu.Lock()
		g.readyIn = append(g.readyIn, c.w.Record.Now()-began)
		g.mu.Unlock()
	}
}

// restart stops a gateway by a signal and starts it again.
func (c *chaos) restart(ctx context.Context, g *Gateway, s syscall.Signal) {
	c.busy[g.Number].Lock()
	defer c.busy[g.Number].Unlock()
	c.cycle(ctx, g, s, 0)
}

// cycle does the same as restart, for a caller that has locked the gateway. It sends further signals,
// as many as more says, during the drain after a SIGTERM.
func (c *chaos) cycle(ctx context.Context, g *Gateway, s syscall.Signal, more int) {
	if g.Signal(s) != nil {
		return
	}
	if s == syscall.SIGTERM && more > 0 {
		time.Sleep(100 * time.Millisecond)
		_ = g.Configure()
		for _, again := range []syscall.Signal{
			syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR2,
		}[:more] {
			g.mu.Lock()
			if g.pid != 0 {
				_ = syscall.Kill(g.pid, again)
			}
			g.mu.Unlock()
		}
	}
	wait, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := g.WaitForExit(wait); err != nil {
		c.fail(err)
		return
	}
	sleep(ctx, 200*time.Millisecond)
	if err := c.w.start(wait, g); err != nil {
		c.fail(err)
		return
	}
	c.did(map[syscall.Signal]string{syscall.SIGKILL: "killed", syscall.SIGTERM: "stopped"}[s])
}

// servers drains, kills and restarts one quote server after another. Each server is cold after its
// start.
func (c *chaos) servers(ctx context.Context, r *rand.Rand) {
	for sleep(ctx, time.Duration(harness.Between(r, 1, 4)*float64(time.Second))) {
		sv := c.w.Servers[r.IntN(len(c.w.Servers))]
		if up, _ := sv.Up(); !up {
			continue
		}
		if r.IntN(2) == 0 {
			c.w.DrainServer(sv)
			if !sleep(ctx, c.w.Site.RegisterLag+c.w.Site.DrainTimeout+time.Second) {
				return
			}
		}
		c.w.KillServer(sv)
		if !sleep(ctx, time.Duration(harness.Between(r, 1, 3)*float64(time.Second))) {
			return
		}
		if err := c.w.StartServer(sv); err != nil {
			c.fail(err)
			return
		}
		if r.IntN(3) == 0 {
			other := c.w.Servers[r.IntN(len(c.w.Servers))]
			other.SetFault([]Fault{{Errors: 0.6}, {Slow: 4}, {Reset: 0.3}}[r.IntN(3)])
			sleep(ctx, 3*time.Second)
			other.SetFault(Fault{})
		}
	}
}

// summarize adds the restarts and their effects to the summary.
func (c *chaos) summarize(f *harness.Summary) {
	rec, s := c.w.Record, c.w.Site
	var ready []time.Duration
	rss := 0
	for _, g := range c.w.Gateways {
		g.mu.Lock()
		ready, rss = append(ready, g.readyIn...), max(rss, g.maxRSSKB)
		g.mu.Unlock()
	}
	slices.Sort(ready)
	if len(ready) > 0 {
		f.Extra["ready_ms_p99"] = ready[min(len(ready)-1, len(ready)*99/100)].Milliseconds()
	}
	f.Extra["rss_mb_max"] = float64(rss) / 1024
	total := 0
	for _, n := range c.restarts {
		total += n
	}
	f.Extra["restarts"], f.Extra["restarts_by_kind"], f.Extra["hand_overs_refused"] = total, c.restarts, c.stayed
	refused, inPlace := refusals(rec)
	f.Extra["refused_connections"], f.Extra["refused_connections_in_place"] = refused, inPlace
	f.Extra["service_10s_after_restart"] = afterRestart(s, rec, 10*time.Second)
	f.Extra["sent_units"] = harness.SentUnits(rec)
	if inPlace > 0 {
		f.AddFailure(fmt.Sprintf("%d connections refused by gateways that were never stopped",
			inPlace))
	}
	for _, err := range c.errs[:min(len(c.errs), 3)] {
		f.AddFailure(err.Error())
	}
	if n := c.w.PeerNetwork.Over.Load(); n > 0 {
		f.AddFailure(fmt.Sprintf("%d messages between gateways over 256 bytes", n))
	}
}

// refusals counts the connections that found a closed port, and how many of them were to gateways that
// had not been stopped.
func refusals(rec *harness.Record) (all, inPlace int) {
	for _, t := range rec.Tries {
		if t.PortClosedAt == 0 {
			continue
		}
		all++
		last := harness.Started
		for _, l := range rec.ProcessEvents {
			if l.Gateway == t.Gateway && l.At <= t.PortClosedAt && l.Event != harness.Reloaded {
				last = l.Event
			}
		}
		if last == harness.Ready || last == harness.Handed {
			inPlace++
		}
	}
	return all, inPlace
}

// afterRestart returns the service of requests that were first sent to a gateway within a window after
// its start.
func afterRestart(s *harness.Site, rec *harness.Record, window time.Duration) float64 {
	var since []harness.ProcessEvent
	first := map[int]bool{}
	for _, l := range rec.ProcessEvents {
		if l.Event == harness.Started && !first[l.Gateway] {
			first[l.Gateway] = true // the first start is not a restart
		} else if l.Event == harness.Started || l.Event == harness.Handed {
			since = append(since, l)
		}
	}
	all := slices.DeleteFunc(harness.Outcomes(s, rec), func(o harness.Outcome) bool {
		return !slices.ContainsFunc(since, func(l harness.ProcessEvent) bool {
			return l.Gateway == o.Try.Gateway && o.Try.RequestedAt >= l.At &&
				o.Try.RequestedAt < l.At+window
		})
	})
	return harness.Service(s, all)
}
