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
	currentTimeout = 60 * time.Second // for all gateways to be current after they were started
	settleTimeout  = 30 * time.Second // for the last changes to come to all
	settlePause    = 3 * time.Second  // sessions, permits and rights come to rest
	lookEvery      = 100 * time.Millisecond
	replaceStep    = 500 * time.Millisecond // from a drain to the addition, and from there to the removal
	rackAfter      = 0.7                    // of the run
	firstVersionAt = 0.1
	lastVersionAt  = 0.6
)

// change is one change that was made.
type change struct {
	server  string
	phase   string
	version uint64
	at      time.Time
	rack    bool
}

// play is one run.
type play struct {
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

	stretches []Stretch // of a run with faults; read once its goroutine has ended
}

// Run plays a fleet and measures it.
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
	p := &play{options: o, log: log, result: newResult(o), next: o.Servers}
	defer p.close()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	if err := p.measure(ctx); err != nil {
		return nil, err
	}
	return p.result, nil
}

func (p *play) close() {
	p.children.stop()
	if p.real != nil {
		p.real.close(p.options.Logs)
	}
	if p.watcher != nil {
		p.watcher.close()
	}
	if p.control != nil {
		p.control.close()
	}
	if p.register != nil {
		p.register.Close()
	}
}

// start starts everything, the hollow gateways all at once, and waits until all are current.
func (p *play) start(ctx context.Context) (err error) {
	o := &p.options
	if p.register, err = NewRegister(o.Servers); err != nil {
		return err
	}
	if p.control, err = startControl(ctx, o, p.register, p.log); err != nil {
		return err
	}
	if o.Parts.List && o.Path == PathCompleteList {
		p.watcher = startWatcher(p.control.voters(), p.register.Address, o.Span)
	}
	if o.RealGateways > 0 {
		if p.real, err = startReal(ctx, o, p.control, p.log); err != nil {
			return err
		}
	}
	if err := p.waitForLeaders(ctx); err != nil {
		return err
	}
	dir := filepath.Join(p.control.world.Dir, "hollow")
	var configs [][]byte
	for first := 0; first < o.Gateways; first += o.PerProcess {
		c, err := startChild(o.Self)
		if err != nil {
			return err
		}
		p.children = append(p.children, c)
		config, err := json.Marshal(HollowConfig{
			Fleet:  fleetName,
			Voters: p.control.voters(),
			Owners: p.control.owners(),
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
	p.result.Processes = len(p.children)
	began := time.Now()
	for i, c := range p.children {
		if err := c.send(configs[i]); err != nil {
			return c.failed(err)
		}
	}
	if err := p.herd(ctx, began); err != nil {
		return err
	}
	return p.baseVersion(ctx)
}

// baseVersion has a version of the plans be in force everywhere, where one is wanted before the
// run.
func (p *play) baseVersion(ctx context.Context) error {
	if !p.options.BaseVersion || !p.options.Parts.Configuration {
		return nil
	}
	text := p.control.plansText(p.options.Tenants, 1, -1)
	deadline := time.Now().Add(currentTimeout)
	number, err := p.control.propose(text)
	for err != nil && time.Now().Before(deadline) && pass(ctx, lookEvery) {
		number, err = p.control.propose(text)
	}
	if err != nil {
		return fmt.Errorf("the version before the run: %w", err)
	}
	for time.Now().Before(deadline) {
		samples, err := p.samples()
		if err != nil {
			return err
		}
		if behind, _ := p.behind(samples, number); behind == 0 {
			pass(ctx, settlePause)
			return ctx.Err()
		}
		if !pass(ctx, lookEvery) {
			return ctx.Err()
		}
	}
	p.note("not all gateways had the version before the run within %v", currentTimeout)
	return nil
}

// waitForLeaders waits until all duties have owners.
func (p *play) waitForLeaders(ctx context.Context) error {
	wanted := 0
	if p.options.Parts.List {
		wanted++
	}
	if p.options.Parts.Configuration {
		wanted++
	}
	if p.options.Parts.Metering {
		wanted++
	}
	if p.options.Parts.Allocation {
		wanted += p.options.Control
	}
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); {
		held := 0
		if p.watcher != nil && p.watcher.holds() {
			held++
		}
		for i := range p.options.Control {
			held += p.control.rolesHeld(i)
		}
		if held >= wanted && p.control.leader() >= 0 {
			return nil
		}
		if !pass(ctx, lookEvery) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("not all of %d duties are held", wanted)
}

// pass waits for a while, and tells whether the context is still there.
func pass(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// herd waits until all gateways are current.
func (p *play) herd(ctx context.Context, began time.Time) error {
	p.result.HerdMilliseconds = -1
	for deadline := began.Add(currentTimeout); time.Now().Before(deadline); {
		samples, err := p.samples()
		if err != nil {
			return err
		}
		behind, last := p.behind(samples, 0)
		if behind == 0 {
			if !p.options.Parts.List {
				last = time.Now()
			}
			p.result.HerdMilliseconds = milliseconds(last.Sub(began))
			fmt.Fprintf(p.log, "%d hollow gateways in %d processes are current after %.0f ms\n",
				p.options.Gateways, len(p.children), p.result.HerdMilliseconds)
			pass(ctx, settlePause)
			return ctx.Err()
		}
		if !pass(ctx, lookEvery) {
			return ctx.Err()
		}
	}
	p.note("not all gateways were current within %v of their start", currentTimeout)
	return nil
}

// behind is how many gateways are not current: their list is not the register's, or an older
// version of the plans is in force. last is when the last of the others first had a list.
func (p *play) behind(samples []Sample, version uint64) (behind int, last time.Time) {
	digest, _ := p.register.Digest()
	for _, s := range samples {
		for _, g := range s.Gateways {
			if at := time.Unix(0, g.Current); g.Current != 0 && at.After(last) {
				last = at
			}
			stale := p.options.Parts.List && (g.Current == 0 || g.Digest != digest)
			if p.options.Parts.Configuration {
				stale = stale || g.Version < version || version == 0 && !g.Acts
			}
			if stale {
				behind++
			}
		}
	}
	return behind, last
}

// samples asks all processes, and keeps the arrivals.
func (p *play) samples() ([]Sample, error) {
	all, err := p.children.samples()
	for i := range all {
		p.arrivals = append(p.arrivals, all[i].Arrivals...)
	}
	return all, err
}

func (p *play) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Fprintln(p.log, text)
	p.result.Notes = append(p.result.Notes, text)
}

// measure makes changes for as long as is wanted, and sums up what they took.
func (p *play) measure(ctx context.Context) error {
	p.arrivals = nil
	before, err := p.samples()
	if err != nil {
		return err
	}
	control, err := p.control.usage()
	if err != nil {
		return err
	}
	terms, known := p.control.terms()
	began := time.Now()
	ended := p.drive(ctx)
	took := time.Since(began)
	after, err := p.samples()
	if err != nil {
		return err
	}
	controlAfter, err := p.control.usage()
	if err != nil {
		return err
	}
	ended()
	p.result.DutyChanges = leaderChangesUnknown
	if now, still := p.control.terms(); known && still {
		p.result.DutyChanges = now - terms
	}
	p.sumTraffic(before, after, took)
	p.sumControl(control, controlAfter, took)
	settled, err := p.settle(ctx)
	if err != nil {
		return err
	}
	p.sumChanges(settled)
	return ctx.Err()
}

// settle waits until the last changes have come to all.
func (p *play) settle(ctx context.Context) (last []Sample, err error) {
	version := uint64(0)
	for _, c := range p.changes {
		version = max(version, c.version)
	}
	for deadline := time.Now().Add(settleTimeout); ; {
		if last, err = p.samples(); err != nil {
			return last, err
		}
		if behind, _ := p.behind(last, version); behind == 0 || time.Now().After(deadline) {
			return last, nil
		}
		if !pass(ctx, lookEvery) {
			return last, ctx.Err()
		}
	}
}
