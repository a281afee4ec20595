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

// UpgradeOptions describes a run in which gateways are replaced and drained under load.
type UpgradeOptions struct {
	Seed      uint64
	Instances int
	For       time.Duration
	Load      float64
	Kills     bool   // kill some of the new processes during their takeover
	Bin       string // path of the gateway's binary; "": it is built
}

// RunUpgrade makes the rig hold the sockets for clients, as a platform does. It replaces each gateway
// repeatedly by a process started beside it, drains some by their admin interface, and kills some of
// the new processes at a random moment of their start.
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

// upgrades replaces and drains a world's gateways and collects the results.
type upgrades struct {
	w *World
	o UpgradeOptions

	mu             sync.Mutex
	did            map[string]int
	errs           []error
	passed         int             // clients' connections passed to new processes, by those processes' metrics
	readyIn        []time.Duration // time until each new process was ready
	openAfterDrain int             // connections still open 4 s after a drain began
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

// disturb replaces, drains or kills processes of a gateway, one after another.
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

// takeOver starts a new process, waits until it serves, and returns the old one.
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

// replace makes a new process take over from the serving one, and stops the old one.
func (u *upgrades) replace(g *Gateway) error {
	old, err := u.takeOver(g)
	if err != nil {
		return err
	}
	next := g.servingProcess()
	// The old process answers its open requests and exits on SIGTERM.
	if err := syscall.Kill(old.pid, syscall.SIGTERM); err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); processRuns(old.pid); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the old process does not exit")
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

// takeoverMessage is logged by a new process when it has confirmed its takeover, before it accepts
// clients.
const takeoverMessage = "handover: state restored"

// kill starts a new process and kills it after a delay. The serving process has to continue, whether
// or not the new one had taken over.
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
		// Requests that the killed process had read are lost, as after any kill.
		u.w.Record.AddProcessEvent(g.Number, harness.Killed)
		what = "killed after it had taken over"
	}
	serving := g.servingProcess()
	answer := ""
	for end := time.Now().Add(readyTimeout); answer != "ok"; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("a new process was killed after %v, and the old one answers %q", after,
				answer)
		}
		answer = g.admin(serving.admin, "check")
	}
	u.count(what)
	return nil
}

// drain drains a gateway by its admin interface. A load balancer checks a gateway's state every 0.1 s
// and sends to it for another 0.2 s; idle connections stay in use as long as they are open.
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

// summarize adds the actions and their effects to the summary.
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

// servingProcess returns the process that serves.
func (g *Gateway) servingProcess() process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return process{g.pid, g.adminAddress}
}

// startBeside starts a second process beside the serving one. Only its admin address differs.
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

// setServing records that another process serves now, and returns the previous one.
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

// admin calls a process's admin interface and returns the first line of the answer, or the text of
// the error.
func (g *Gateway) admin(address, call string) string {
	all, err := callAdmin(address, call)
	if err != nil {
		return err.Error()
	}
	line, _, _ := strings.Cut(all, "\n")
	return line
}

// metric returns one of a process's metrics, or "".
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
