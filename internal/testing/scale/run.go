package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"mothcleat/internal/testing/lab"
)

const (
	currentTimeout = 60 * time.Second // for all gateways to become current after their start
	settleTimeout  = 30 * time.Second // for the last changes to reach all gateways
	settlePause    = 3 * time.Second  // for sessions, permits and leases to become steady
	pollInterval   = 100 * time.Millisecond
	replaceStep    = 500 * time.Millisecond // between drain, addition and removal
	rackAfter      = 0.7                    // fraction of the run
	firstVersionAt = 0.1
	lastVersionAt  = 0.6
)

// change is one change of a server or one version of the plans.
type change struct {
	server  string
	phase   string
	version uint64
	at      time.Time
	rack    bool
}

// fleetRun is one run.
type fleetRun struct {
	options  Options
	log      io.Writer
	register *Register
	control  *control
	real     *realGateways
	watcher  *watcher // nil: a control process watches the register
	children children
	result   *Result

	mu       sync.Mutex
	changes  []change
	arrivals []Arrival
	next     int // number of the next new server
	refused  int

	intervals []Interval // in a run with faults; read after injectFaults returned
}

// Run runs a fleet and measures it. Progress goes to log.
func Run(ctx context.Context, o Options, log io.Writer) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if o.Bin == "" {
		bin, remove, err := lab.BuildInTempDir(ctx)
		if err != nil {
			return nil, err
		}
		defer remove()
		o.Bin = bin
	}
	f := &fleetRun{options: o, log: log, result: newResult(o), next: o.Servers}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	if err := f.measure(ctx); err != nil {
		return nil, err
	}
	return f.result, nil
}

func (f *fleetRun) close() {
	f.children.stop()
	if f.real != nil {
		f.real.close(f.options.Logs)
	}
	if f.watcher != nil {
		f.watcher.close()
	}
	if f.control != nil {
		f.control.close()
	}
	if f.register != nil {
		f.register.Close()
	}
}

// start starts all processes, the simulated gateways at the same time, and waits until all are
// current.
func (f *fleetRun) start(ctx context.Context) (err error) {
	o := &f.options
	if f.register, err = NewRegister(o.Servers); err != nil {
		return err
	}
	if f.control, err = startControl(ctx, o, f.register, f.log); err != nil {
		return err
	}
	if o.Parts.List && o.Path == PathCompleteList {
		f.watcher = startWatcher(f.control.voters(), f.register.Address, o.Span)
	}
	if o.RealGateways > 0 {
		if f.real, err = startReal(ctx, o, f.control, f.log); err != nil {
			return err
		}
	}
	if err := f.waitForLeaders(ctx); err != nil {
		return err
	}
	dir := filepath.Join(f.control.world.Dir, "hollow")
	var configs [][]byte
	for first := 0; first < o.Gateways; first += o.PerProcess {
		c, err := startChild(o.Self)
		if err != nil {
			return err
		}
		f.children = append(f.children, c)
		config, err := json.Marshal(ProcessConfig{
			Fleet:  fleetName,
			Voters: f.control.voters(),
			Owners: f.control.owners(),
			First:  first,
			Count: min(o.PerProcess,
				o.Gateways-first),
			Gateways:           o.Gateways,
			Dir:                dir,
			Seed:               o.Seed,
			Tenants:            o.Tenants,
			RequestsPerGateway: o.RequestsPerGateway,
			Shards:             o.Control,
			Parts:              o.Parts,
			Path:               o.Path,
		})
		if err != nil {
			return err
		}
		configs = append(configs, config)
	}
	f.result.Processes = len(f.children)
	began := time.Now()
	for i, c := range f.children {
		if err := c.send(configs[i]); err != nil {
			return c.failed(err)
		}
	}
	if err := f.waitUntilCurrent(ctx, began); err != nil {
		return err
	}
	return f.baseVersion(ctx)
}

// baseVersion brings a version of the plans into force everywhere before the run, if the options
// require one.
func (f *fleetRun) baseVersion(ctx context.Context) error {
	if !f.options.BaseVersion || !f.options.Parts.Configuration {
		return nil
	}
	text := f.control.plansText(f.options.Tenants, 1, -1)
	deadline := time.Now().Add(currentTimeout)
	number, err := f.control.propose(text)
	for err != nil && time.Now().Before(deadline) && sleep(ctx, pollInterval) {
		number, err = f.control.propose(text)
	}
	if err != nil {
		return fmt.Errorf("proposing the version before the run: %w", err)
	}
	for time.Now().Before(deadline) {
		samples, err := f.samples()
		if err != nil {
			return err
		}
		if behind, _ := f.behind(samples, number); behind == 0 {
			sleep(ctx, settlePause)
			return ctx.Err()
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	f.note("not all gateways had the version before the run within %v", currentTimeout)
	return nil
}

// waitForLeaders waits until all roles have owners and the log has a leader.
func (f *fleetRun) waitForLeaders(ctx context.Context) error {
	required := 0
	if f.options.Parts.List {
		required++
	}
	if f.options.Parts.Configuration {
		required++
	}
	if f.options.Parts.Metering {
		required++
	}
	if f.options.Parts.Allocation {
		required += f.options.Control
	}
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); {
		held := 0
		if f.watcher != nil && f.watcher.holds() {
			held++
		}
		for i := range f.options.Control {
			held += f.control.rolesHeld(i)
		}
		if held >= required && f.control.leader() >= 0 {
			return nil
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("not all of the %d roles have an owner, or the log has no leader", required)
}

// sleep waits for d, and returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitUntilCurrent waits until all gateways are current.
func (f *fleetRun) waitUntilCurrent(ctx context.Context, began time.Time) error {
	f.result.StartupMilliseconds = -1
	for deadline := began.Add(currentTimeout); time.Now().Before(deadline); {
		samples, err := f.samples()
		if err != nil {
			return err
		}
		behind, last := f.behind(samples, 0)
		if behind == 0 {
			if !f.options.Parts.List {
				last = time.Now()
			}
			f.result.StartupMilliseconds = milliseconds(last.Sub(began))
			fmt.Fprintf(f.log, "%d simulated gateways in %d processes are current after %.0f ms\n",
				f.options.Gateways, len(f.children), f.result.StartupMilliseconds)
			sleep(ctx, settlePause)
			return ctx.Err()
		}
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	f.note("not all gateways were current within %v of their start", currentTimeout)
	return nil
}

// behind returns the number of gateways that are not current: their list differs from the
// register's, or an older version of the plans is in force. last is the latest time at which a
// gateway first had a list.
func (f *fleetRun) behind(samples []Sample, version uint64) (behind int, last time.Time) {
	digest, _ := f.register.Digest()
	for _, s := range samples {
		for _, g := range s.Gateways {
			if at := time.Unix(0, g.CurrentAt); g.CurrentAt != 0 && at.After(last) {
				last = at
			}
			stale := f.options.Parts.List && (g.CurrentAt == 0 || g.Digest != digest)
			if f.options.Parts.Configuration {
				stale = stale || g.Version < version || version == 0 && !g.MayOperate
			}
			if stale {
				behind++
			}
		}
	}
	return behind, last
}

// samples requests samples from all processes, and stores the arrivals.
func (f *fleetRun) samples() ([]Sample, error) {
	all, err := f.children.samples()
	for i := range all {
		f.arrivals = append(f.arrivals, all[i].Arrivals...)
	}
	return all, err
}

func (f *fleetRun) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintln(f.log, text)
	f.result.Notes = append(f.result.Notes, text)
}

// measure applies the load for the length of the run, and sums up what it cost.
func (f *fleetRun) measure(ctx context.Context) error {
	f.arrivals = nil
	before, err := f.samples()
	if err != nil {
		return err
	}
	control, err := f.control.usage()
	if err != nil {
		return err
	}
	terms, known := f.control.termSum()
	began := time.Now()
	ended := f.applyLoad(ctx)
	took := time.Since(began)
	after, err := f.samples()
	if err != nil {
		return err
	}
	controlAfter, err := f.control.usage()
	if err != nil {
		return err
	}
	ended()
	f.result.OwnerChanges = leaderChangesUnknown
	if now, still := f.control.termSum(); known && still {
		f.result.OwnerChanges = now - terms
	}
	f.sumTraffic(before, after, took)
	f.sumControl(control, controlAfter, took)
	settled, err := f.settle(ctx)
	if err != nil {
		return err
	}
	f.sumChanges(settled)
	return ctx.Err()
}

// settle waits until the last changes have reached all gateways, or settleTimeout has passed.
func (f *fleetRun) settle(ctx context.Context) (last []Sample, err error) {
	version := uint64(0)
	for _, c := range f.changes {
		version = max(version, c.version)
	}
	for deadline := time.Now().Add(settleTimeout); ; {
		if last, err = f.samples(); err != nil {
			return last, err
		}
		if behind, _ := f.behind(last, version); behind == 0 || time.Now().After(deadline) {
			return last, nil
		}
		if !sleep(ctx, pollInterval) {
			return last, ctx.Err()
		}
	}
}
