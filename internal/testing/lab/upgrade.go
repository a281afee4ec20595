package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mothcleat/internal/testing/harness"
)

// UpgradeOptions say how gateways are replaced under load and drained.
type UpgradeOptions struct {
	Seed      uint64
	Instances int
	For       time.Duration
	Load      float64
	Kills     bool   // some of the new processes are killed amid the taking over
	Bin       string // of the gateway; "": it is built
}

// RunUpgrade has the rig hold the clients' sockets, as a platform does, and replaces one gateway
// after another by a process started beside it, empties some by their admin interface, and kills
// some of the new processes at a random moment of their start.
func RunUpgrade(
	ctx context.Context, o UpgradeOptions, progress io.Writer,
) (*harness.Summary, error) {
	remove, err := buildIfNone(ctx, &o.Bin)
	if err != nil {
		return nil, err
	}
	defer remove()
	w, err := NewWorld(
		ctx,
		Options{
			Seed:      o.Seed,
			Gateways:  o.Instances,
			Servers:   12,
			Load:      o.Load,
			Bin:       o.Bin,
			Operators: recordText,
			Held:      true,
			Log:       progress,
		},
	)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	trafficContext, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	w.progress(trafficContext, progress, o.For)
	u := &upgrades{w: w, o: o, did: map[string]int{}}
	var wg sync.WaitGroup
	for _, g := range w.Gateways {
		wg.Add(1)
		go func() {
			defer wg.Done()
			u.disturb(trafficContext, g, rand.New(rand.NewPCG(o.Seed, uint64(0x0b9+g.Number))))
		}()
	}
	w.Clients.Run(trafficContext)
	wg.Wait()
	stop, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := w.Stop(stop); err != nil {
		u.fail(err)
	}
	f := w.summarize("upgrade")
	u.summarize(f)
	return f, nil
}

// upgrades is what was done to a world's gateways, and what was seen of it.
type upgrades struct {
	w *World
	o UpgradeOptions

	mu             sync.Mutex
	did            map[string]int
	errs           []error
	passed         int             // clients' connections given to new processes, by their own figures
	readyIn        []time.Duration // of new processes
	openAfterDrain int             // connections 4 s after a drain began
}

func (u *upgrades) fail(err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.errs = append(u.errs, err)
}

func (u *upgrades) count(what string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.did[what]++
}

// disturb does one thing after another to a gateway.
func (u *upgrades) disturb(ctx context.Context, g *Gateway, r *rand.Rand) {
	for sleep(ctx, time.Duration(harness.Between(r, 0.5, 4)*float64(time.Second))) {
		var err error
		switch n := r.IntN(10); {
		case n < 2:
			err = u.drain(ctx, g)
		case n < 5 && u.o.Kills:
			err = u.kill(g, time.Duration(r.Float64()*float64(15*time.Millisecond)))
		default:
			err = u.replace(g)
		}
		if err != nil {
			u.fail(fmt.Errorf("gateway %d: %w", g.Number, err))
			return
		}
	}
}

// takeOver has a new process take the place of the one that serves, and returns the old one.
func (u *upgrades) takeOver(g *Gateway) (old process, err error) {
	began := u.w.Record.Now()
	next, err := g.startBeside()
	if err != nil {
		return old, err
	}
	for g.admin(next.admin, "check") != "ok" {
		if u.w.Record.Now()-began > readyTimeout {
			return old, fmt.Errorf("the new process is not ready\n%s", g.logTail())
		}
		time.Sleep(2 * time.Millisecond)
	}
	u.mu.Lock()
	u.readyIn = append(u.readyIn, u.w.Record.Now()-began)
	u.mu.Unlock()
	return g.setServing(next), nil
}

// replace has a new process take the place of the one that serves, and ends that.
func (u *upgrades) replace(g *Gateway) error {
	old, err := u.takeOver(g)
	if err != nil {
		return err
	}
	next := g.servingProcess()
	// The old one has answered what it had when it says so, and goes when told.
	if err := syscall.Kill(old.pid, syscall.SIGTERM); err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); processRuns(old.pid); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the old process does not end")
		}
	}
	if n, err := strconv.Atoi(g.metric(next.admin, "passed_in")); err == nil {
		u.mu.Lock()
		u.passed += n
		u.mu.Unlock()
	}
	u.count("replaced")
	return nil
}

// takeoverMessage is what a new process logs once it has confirmed that it takes over, before it accepts
// clients.
const takeoverMessage = "handover: state restored"

// kill starts a new process and kills it some time later. Whether or not that had taken over, the
// one that serves goes on.
func (u *upgrades) kill(g *Gateway, after time.Duration) error {
	before := strings.Count(g.Log(), takeoverMessage)
	next, err := g.startBeside()
	if err != nil {
		return err
	}
	time.Sleep(after)
	_ = syscall.Kill(next.pid, syscall.SIGKILL)
	for processRuns(next.pid) {
		time.Sleep(time.Millisecond)
	}
	what := "killed before it took over"
	if strings.Count(g.Log(), takeoverMessage) > before {
		// What the dead process had read is lost with it, as with any that is killed.
		u.w.Record.AddProcessEvent(g.Number, harness.Killed)
		what = "killed after it had taken over"
	}
	serving := g.servingProcess()
	answer := ""
	for end := time.Now().Add(readyTimeout); answer != "ok"; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("a new process was killed after %v, and the old one says %q", after,
				answer)
		}
		answer = g.admin(serving.admin, "check")
	}
	u.count(what)
	return nil
}

// drain empties a gateway by its admin interface. Who deals out requests asks each 0.1 s, and sends
// for 0.2 s more; kept connections stay in use as long as they are open.
func (u *upgrades) drain(ctx context.Context, g *Gateway) error {
	address := g.servingProcess().admin
	if got := g.admin(address, "drain-on"); got != "ok" {
		return fmt.Errorf("drain-on: %q", got)
	}
	time.Sleep(300 * time.Millisecond)
	u.w.Clients.balancer.setDrained(g.Number, true)
	time.Sleep(3700 * time.Millisecond)
	held := u.w.Clients.balancer.open(g.Number)
	u.mu.Lock()
	u.openAfterDrain += held
	u.mu.Unlock()
	if got := g.admin(address, "drain-off"); got != "ok" {
		return fmt.Errorf("drain-off: %q", got)
	}
	u.w.Clients.balancer.setDrained(g.Number, false)
	u.count("drained")
	return nil
}

// summarize adds what was done and how the gateways took it.
func (u *upgrades) summarize(f *harness.Summary) {
	refused, _ := refusals(u.w.Record)
	crossed, resets := 0, 0
	for _, t := range u.w.Record.Tries {
		if t.ClosedAt > 0 {
			crossed++
		}
		if t.Reset {
			resets++
		}
	}
	f.Extra["done"], f.Extra["connections_passed"] = u.did, u.passed
	f.Extra["refused_connections"], f.Extra["crossed_a_close"], f.Extra["resets"] = refused, crossed, resets
	f.Extra["held_after_drain"] = u.openAfterDrain
	f.Extra["ready_ms_p99"] = harness.Quantile(u.readyIn, 0.99)
	f.Extra["sent_units"] = harness.SentUnits(u.w.Record)
	if u.openAfterDrain > 0 {
		f.AddFailure(fmt.Sprintf("%d connections were open 4 s after a drain began", u.openAfterDrain))
	}
	if refused > 0 {
		f.AddFailure(fmt.Sprintf("%d connections found a closed port, which the rig holds open",
			refused))
	}
	if u.did["replaced"]+u.did["drained"] == 0 {
		f.AddFailure("nothing was done")
	}
	for _, err := range u.errs[:min(len(u.errs), 3)] {
		f.AddFailure(err.Error())
	}
}

// process is one of a gateway's processes.
type process struct {
	pid   int
	admin string
}

// now is the process that serves.
func (g *Gateway) servingProcess() process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return process{g.pid, g.adminAddress}
}

// startBeside starts a process beside the one that serves: the same but for its admin address.
func (g *Gateway) startBeside() (process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pid == 0 {
		return process{}, errors.New("gateway: does not run")
	}
	was := g.adminAddress
	if err := g.newAdminAddress(); err != nil {
		return process{}, err
	}
	next := process{admin: g.adminAddress}
	err := g.Configure()
	if err == nil {
		next.pid, err = g.launch()
	}
	g.adminAddress = was
	return next, err
}

// succeed takes note that another process serves now, and gives the one before.
func (g *Gateway) setServing(next process) (old process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sampleMemory()
	old = process{g.pid, g.adminAddress}
	g.pid, g.adminAddress, g.startedAt = next.pid, next.admin, g.rec.Now()
	g.predecessors = append(g.predecessors[:0], old.pid)
	g.rec.AddProcessEvent(g.Number, harness.Handed)
	g.rec.AddProcessEvent(g.Number, harness.Ready)
	return old
}

// newAdminAddress finds an address for the next process's admin interface.
func (g *Gateway) newAdminAddress() error {
	host, _, err := net.SplitHostPort(g.Address)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return err
	}
	g.adminAddress = l.Addr().String()
	return l.Close()
}

// admin calls a process's admin interface: the first line of the answer, or why there is none.
func (g *Gateway) admin(address, call string) string {
	all, err := callAdmin(address, call)
	if err != nil {
		return err.Error()
	}
	line, _, _ := strings.Cut(all, "\n")
	return line
}

// figure is one figure of a process.
func (g *Gateway) metric(address, name string) string {
	all, _ := callAdmin(address, "vars")
	for line := range strings.SplitSeq(all, "\n") {
		if value, ok := strings.CutPrefix(line, "gateway."+name+"="); ok {
			return value
		}
	}
	return ""
}

func callAdmin(address, call string) (string, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return "", err
	}
	b, err := io.ReadAll(bufio.NewReader(c))
	return string(b), err
}
