package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"mothcleat/internal/lab"
	"mothcleat/internal/registry"
)

const (
	currentWithin  = 60 * time.Second // for all gateways to be current after they were started
	settleWithin   = 30 * time.Second // for the last changes to come to all
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
}

// Run plays a fleet and measures it.
func Run(ctx context.Context, o Options, log io.Writer) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if o.Bin == "" {
		bin, remove, err := lab.BuildAside(ctx)
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
	if o.Parts.List && o.Path == PathWholeList {
		p.watcher = startWatcher(p.control.voters(), p.register.Address)
	}
	if o.RealGateways > 0 {
		if p.real, err = startReal(ctx, o, p.control, p.log); err != nil {
			return err
		}
	}
	if err := p.dutiesHeld(ctx); err != nil {
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
		config, err := json.Marshal(HollowConfig{Fleet: fleetName, Voters: p.control.voters(), Owners: p.control.owners(), First: first,
			Count: min(o.PerProcess, o.Gateways-first), Gateways: o.Gateways, Dir: dir, Seed: o.Seed, Tenants: o.Tenants,
			RequestsPerGateway: o.RequestsPerGateway, Shards: o.Control, Parts: o.Parts, Path: o.Path})
		if err != nil {
			return err
		}
		configs = append(configs, config)
	}
	p.result.Processes = len(p.children)
	began := time.Now()
	for i, c := range p.children {
		if err := c.tell(configs[i]); err != nil {
			return c.failed(err)
		}
	}
	return p.herd(ctx, began)
}

// dutiesHeld waits until all duties have owners.
func (p *play) dutiesHeld(ctx context.Context) error {
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
	for deadline := time.Now().Add(settleWithin); time.Now().Before(deadline); {
		held := 0
		if p.watcher != nil && p.watcher.holds() {
			held++
		}
		for i := range p.options.Control {
			held += p.control.duties(i)
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
	for deadline := began.Add(currentWithin); time.Now().Before(deadline); {
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
			fmt.Fprintf(p.log, "%d hollow gateways in %d processes are current after %.0f ms\n", p.options.Gateways, len(p.children), p.result.HerdMilliseconds)
			pass(ctx, settlePause)
			return ctx.Err()
		}
		if !pass(ctx, lookEvery) {
			return ctx.Err()
		}
	}
	p.note("not all gateways were current within %v of their start", currentWithin)
	return nil
}

// behind is how many gateways are not current: their list is not the register's, or an older version of the plans is in force. last
// is when the last of the others first had a list.
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

func (p *play) changed(c change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, c)
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
	p.sumTraffic(before, after, took)
	p.sumControl(control, controlAfter, took)
	settled, err := p.settle(ctx)
	if err != nil {
		return err
	}
	p.sumChanges(settled)
	return ctx.Err()
}

// drive has servers replaced, a rack go, versions proposed and real gateways asked, all at once, for the length of the run. What it
// returns waits for the requests that are under way at its end.
func (p *play) drive(ctx context.Context) (ended func()) {
	running, cancel := context.WithTimeout(ctx, p.options.For)
	var wg sync.WaitGroup
	begin := func(do func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do(running)
		}()
	}
	if p.options.Parts.List {
		begin(p.replaceServers)
		begin(p.loseRack)
	}
	if p.options.Parts.Configuration {
		begin(p.proposeVersions)
	}
	from, to := time.Duration(0), time.Duration(0)
	if p.real != nil {
		from = p.real.world.Record.Now()
		begin(p.real.world.Clients.Run)
	}
	<-running.Done()
	cancel()
	if p.real != nil {
		to = p.real.world.Record.Now()
	}
	return func() {
		wg.Wait()
		if p.real != nil {
			added := p.real.added(from, to)
			p.result.Added = &added
		}
	}
}

// replaceServers drains one server after another, adds one in its place and takes it away.
func (p *play) replaceServers(ctx context.Context) {
	if p.options.ReplacementsPerSecond == 0 {
		return
	}
	every := time.Duration(float64(time.Second) / p.options.ReplacementsPerSecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for old := 0; old < p.options.Servers/2; old++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.replace(ctx, old, p.next+old)
		}()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// replace replaces one server.
func (p *play) replace(ctx context.Context, old, by int) {
	p.changed(change{server: serverID(old), phase: registry.Terminating, at: p.register.Drain(serverID(old))})
	if !pass(ctx, replaceStep) {
		return
	}
	p.changed(change{server: serverID(by), phase: registry.Ready, at: p.register.Add(by)})
	if !pass(ctx, replaceStep) {
		return
	}
	p.changed(change{server: serverID(old), phase: registry.Gone, at: p.register.Remove(serverID(old))})
}

// loseRack has many servers go at once.
func (p *play) loseRack(ctx context.Context) {
	if p.options.RackSize == 0 || !pass(ctx, time.Duration(rackAfter*float64(p.options.For))) {
		return
	}
	var ids []string
	for i := range p.options.RackSize {
		ids = append(ids, serverID(p.options.Servers-1-i))
	}
	at := p.register.Remove(ids...)
	for _, id := range ids {
		p.changed(change{server: id, phase: registry.Gone, at: at, rack: true})
	}
}

// proposeVersions proposes versions of the plans, spread over the run.
func (p *play) proposeVersions(ctx context.Context) {
	n := p.options.Versions
	r := rand.New(rand.NewPCG(p.options.Seed, 0x5ca1e))
	for i := range n {
		share := firstVersionAt + (lastVersionAt-firstVersionAt)*float64(i)/float64(n)
		if i == 0 {
			pass(ctx, time.Duration(share*float64(p.options.For)))
		} else if !pass(ctx, time.Duration((lastVersionAt-firstVersionAt)/float64(n)*float64(p.options.For))) {
			return
		}
		text := p.control.plansText(p.options.Tenants, 1+0.2*r.Float64())
		at := time.Now()
		number, err := p.control.propose(text)
		if err != nil {
			p.mu.Lock()
			p.refused++
			p.mu.Unlock()
			fmt.Fprintln(p.log, "a version was not taken:", err)
			continue
		}
		p.changed(change{version: number, at: at})
	}
}

// settle waits until the last changes have come to all.
func (p *play) settle(ctx context.Context) (last []Sample, err error) {
	version := uint64(0)
	for _, c := range p.changes {
		version = max(version, c.version)
	}
	for deadline := time.Now().Add(settleWithin); ; {
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

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// sumTraffic sums up what the hollow gateways carried and used.
func (p *play) sumTraffic(before, after []Sample, took time.Duration) {
	r, n, seconds := p.result, float64(p.options.Gateways), took.Seconds()
	r.Seconds = seconds
	roles := map[Role]Traffic{}
	var messages Traffic
	var in, out, resident, heap, processor float64
	for i := range after {
		for role, t := range after[i].Roles {
			t = t.Minus(before[i].Roles[role])
			roles[role] = roles[role].Plus(t)
			messages = messages.Plus(t)
		}
		in += float64(after[i].ConnectionIn - before[i].ConnectionIn)
		out += float64(after[i].ConnectionOut - before[i].ConnectionOut)
		resident += float64(after[i].Usage.ResidentBytes)
		heap += float64(after[i].HeapBytes)
		processor += after[i].Usage.Since(before[i].Usage).ProcessorSeconds
		r.Gateway.RequestsPerSecond += float64(after[i].Requests-before[i].Requests) / seconds / n
		r.Gateway.GrantedOfRequests += float64(after[i].Granted - before[i].Granted)
		r.Gateway.FallbacksPerMinute += float64(after[i].Fallbacks-before[i].Fallbacks) / seconds * 60 / n
	}
	if r.Gateway.RequestsPerSecond > 0 {
		r.Gateway.GrantedOfRequests /= r.Gateway.RequestsPerSecond * seconds * n
	}
	g := &r.Gateway
	g.Cores, g.ResidentMB, g.HeapMB = processor/seconds/n, resident/n/(1<<20), heap/n/(1<<20)
	g.BytesInPerSecond, g.BytesOutPerSecond = in/seconds/n, out/seconds/n
	g.MessagesPerSecond = float64(messages.Messages()) / seconds / n
	if messages.Bytes() > 0 {
		r.ConnectionOverhead = (in + out) / float64(messages.Bytes())
	}
	// What is no message (headers, flow control, pings) is shared out by messages.
	perMessage := math.Max(0, in+out-float64(messages.Bytes())) / math.Max(1, float64(messages.Messages()))
	for role, t := range roles {
		r.Roles[role] = Row{MessagesPerSecond: float64(t.Messages()) / seconds / n,
			BytesInPerSecond:  (float64(t.BytesIn) + perMessage*float64(t.MessagesIn)) / seconds / n,
			BytesOutPerSecond: (float64(t.BytesOut) + perMessage*float64(t.MessagesOut)) / seconds / n}
	}
}

// sumControl sums up what the control processes used.
func (p *play) sumControl(before, after []Usage, took time.Duration) {
	leader := p.control.leader()
	for i := range after {
		u := after[i].Since(before[i])
		one := Process{Name: controlName(i), Leads: i == leader, Duties: p.control.duties(i), Cores: u.ProcessorSeconds / took.Seconds(),
			ResidentMB: float64(u.ResidentBytes) / (1 << 20), PeakMB: float64(u.PeakBytes) / (1 << 20),
			ReadBytesPerSecond: float64(u.ReadBytes) / took.Seconds(), WrittenBytesPerSecond: float64(u.WrittenBytes) / took.Seconds()}
		p.result.ControlProcesses = append(p.result.ControlProcesses, one)
		p.result.ControlCores += one.Cores
	}
}

// sumChanges sums up when changes came to gateways, and which never did.
func (p *play) sumChanges(settled []Sample) {
	r := p.result
	first := map[Arrival]int64{} // without its time
	for _, a := range p.arrivals {
		key := a
		key.At = 0
		if was, ok := first[key]; !ok || a.At < was {
			first[key] = a.At
		}
	}
	newest := map[string]string{} // phase of each server in the end
	var lastVersion uint64
	for _, c := range p.changes {
		if c.version > 0 {
			r.PlanVersions++
			lastVersion = max(lastVersion, c.version)
			continue
		}
		r.ServerChanges++
		newest[c.server] = c.phase
	}
	moments := map[time.Time]bool{}
	for _, c := range p.changes {
		if c.version == 0 {
			moments[c.at] = true
		}
	}
	r.ListChanges = len(moments)
	var all, drains, rack, plans []time.Duration
	for _, c := range p.changes {
		for g := range p.options.Gateways {
			at, ok := first[Arrival{Gateway: g, Server: c.server, Phase: c.phase, Version: c.version}]
			delay := time.Unix(0, at).Sub(c.at)
			switch {
			case !ok && c.version == lastVersion && c.version > 0:
				r.LostVersions++
			case !ok && c.version == 0 && newest[c.server] == c.phase:
				r.LostChanges++
			case !ok: // something newer came in its place
			case c.version > 0:
				plans = append(plans, delay)
			default:
				all = append(all, delay)
				if c.rack {
					rack = append(rack, delay)
				}
				if c.phase == registry.Terminating {
					drains = append(drains, delay)
				}
			}
		}
	}
	r.InForce, r.Draining, r.Rack, r.PlansInForce = delaysOf(all), delaysOf(drains), delaysOf(rack), delaysOf(plans)
	r.ProposalsRefused = p.refused
	p.sumStates(settled)
	if n := r.ListChanges; n > 0 {
		list := r.Roles[RoleList]
		r.BytesPerListChange = (list.BytesInPerSecond + list.BytesOutPerSecond) * r.Seconds / float64(n)
	}
}

// sumStates tells which gateways are not as they should be in the end.
func (p *play) sumStates(settled []Sample) {
	digest, _ := p.register.Digest()
	for _, s := range settled {
		for _, g := range s.Gateways {
			if p.options.Parts.List && g.Digest != digest {
				p.result.Diverged++
			}
			if p.options.Path == PathDelta && p.options.Parts.List {
				p.result.StaleOperations = max(0, p.result.StaleOperations) + g.Stale
			}
			if p.options.Parts.Configuration && !g.Acts {
				p.result.GatewaysNotActing++
			}
		}
	}
}

// delaysOf sums up times.
func delaysOf(all []time.Duration) Delays {
	if len(all) == 0 {
		return Delays{}
	}
	slices.Sort(all)
	at := func(p float64) float64 { return milliseconds(all[min(len(all)-1, int(p*float64(len(all))))]) }
	return Delays{Count: len(all), P50: at(0.5), P99: at(0.99), Most: milliseconds(all[len(all)-1])}
}

// SelfCommand is the command line that has this program run hollow gateways.
func SelfCommand(arguments ...string) ([]string, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return append([]string{self}, arguments...), nil
}
