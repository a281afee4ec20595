// Package sim plays a fleet of gateways in virtual time. The gateways are the real
// decision module, each under a host that keeps a host's promises; servers, register,
// notes, front and clients are models. One seed gives one history, to the byte: there
// is no wall clock, no goroutine and no map order inside a run, so many runs may go on
// at once, and a run may be played again. docs/sim.md tells what the model leaves out.
package sim

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/simprotocol"
	"mothcleat/internal/testing/harness"
)

// epoch is the gateways' time at the start of a run, in microseconds.
const epoch = 1_000_000_000

// Options say what is played.
type Options struct {
	Seed     uint64  `json:"seed" toml:"-"`
	Gateways int     `json:"gateways" toml:"gateways"`
	Servers  int     `json:"servers" toml:"servers"` // 0: ten
	Load     float64 `json:"load" toml:"load"`
	// requests inside the quotas: work is made lighter or heavier for it; 0: as drawn
	PerSecond float64 `json:"per_second,omitempty" toml:"per_second"`
	// plans are made larger or smaller for it; 0: as drawn
	Customers int           `json:"customers,omitempty" toml:"customers"`
	Duration  time.Duration `json:"for" toml:"-"` // in which clients ask
	// of every customer; 0: as the site draws it
	Spread int `json:"spread,omitempty" toml:"spread"`
	// how often a customer's busiest gateway changes; 0: the site's
	Shift time.Duration `json:"shift,omitempty" toml:"-"`
	// in the middle third the customers of one plan ask for so many times more; 0: no surge
	Surge float64 `json:"surge,omitempty" toml:"surge"`
	// the heavy class must never run twice, instead of carrying keys
	Unsafe bool `json:"unsafe,omitempty" toml:"unsafe"`
	// in which servers drop a repeated key; 0: the site's
	Window time.Duration `json:"window,omitempty" toml:"-"`
	// quotas are three times the ceilings, so that these bind
	TightCeilings bool `json:"tight,omitempty" toml:"tight"`
	// gateways keep their state
	Snapshots bool `json:"state,omitempty" toml:"state"`

	// part of the notes lost; below 0: the site's
	MessageLoss float64 `json:"note_loss" toml:"note_loss"`
	// how much later than usual they come
	MessageDelay time.Duration `json:"note_late,omitempty" toml:"-"`
	// part of the notes that come twice, the second up to a second later
	MessageDuplication float64 `json:"note_twice,omitempty" toml:"note_twice"`

	// one gateway is killed in each such span, on average; 0: none
	Kills time.Duration `json:"kills,omitempty" toml:"-"`
	// one server is killed, and comes back cold, in each such span; 0: none
	Restarts time.Duration   `json:"restarts,omitempty" toml:"-"`
	Faults   []harness.Fault `json:"faults,omitempty" toml:"-"` // what goes wrong besides
}

// Check tells which option can't be played.
func (o *Options) Check() error {
	switch {
	case o.Gateways < 1 || o.Gateways > 5000:
		return fmt.Errorf("%d gateways: 1 to 5000 wanted", o.Gateways)
	case o.Servers < 0 || o.Servers > 20000:
		return fmt.Errorf("%d servers: 1 to 20000 wanted", o.Servers)
	case !(o.Load > 0 && o.Load <= 3):
		return fmt.Errorf("load %g: above 0, 3 at most wanted", o.Load)
	case o.PerSecond < 0 || o.PerSecond > 1e6 || o.Customers < 0 || o.Customers > 1e6:
		return fmt.Errorf("%g requests a second of %d customers: a million at most of either",
			o.PerSecond, o.Customers)
	case o.Duration <= 0 || o.Duration > 24*time.Hour:
		return fmt.Errorf("for %v: above 0, a day at most wanted", o.Duration)
	case o.Spread < 0:
		return fmt.Errorf("spread %d: 0 or more wanted", o.Spread)
	case o.MessageLoss > 1 || !(o.MessageDuplication >= 0 && o.MessageDuplication <= 1):
		return fmt.Errorf("notes lost %g, twice %g: parts of one wanted",
			o.MessageLoss, o.MessageDuplication)
	case !(o.Surge == 0 || o.Surge >= 1 && o.Surge <= 100):
		return fmt.Errorf("surge %g: from 1 to 100 wanted", o.Surge)
	case min(o.MessageDelay, o.Shift, o.Window, o.Kills, o.Restarts) < 0:
		return errors.New("a length of time below 0")
	}
	for i, f := range o.Faults {
		if f.N < 0 || f.At < 0 || f.For < 0 ||
			!slices.Contains(
				slices.Concat(harness.GatewayFaults, harness.ServerFaults, harness.OtherFaults),
				f.Kind,
			) {
			return fmt.Errorf("faults[%d]: %v can't be played", i, f)
		}
	}
	return nil
}

// World is a fleet in virtual time.
type World struct {
	clock
	Site         *harness.Site
	Record       *harness.Record
	PeerMessages PeerMessageCounts

	options  Options
	rand     *rand.Rand
	settings []policy.Settings
	servers  []*server
	gateways []*gateway
	registry *registry
	peers    *peerNetwork
	inFlight map[*server]map[uint64]*attempt
	sends    uint64
	waiting  int      // tries on their way, and clients that pause before the next
	breaches []string // promises that modules broke towards their hosts
	nextTry  uint64
	endAt    int64
	digest   interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
}

// PeerMessageCounts are what the gateways told one another.
type PeerMessageCounts struct {
	Sent, Lost, Bytes    int
	MaxReceivedPerSecond int // the most that one gateway took in within a second
}

// New makes a world; Run plays it.
func New(o Options) (*World, error) {
	if o.Servers == 0 {
		o.Servers = 10
	}
	if err := o.Check(); err != nil {
		return nil, err
	}
	site := harness.Draw{
		Seed:      o.Seed,
		Gateways:  o.Gateways,
		Servers:   o.Servers,
		Load:      o.Load,
		PerSecond: o.PerSecond,
		Customers: o.Customers,
	}
	w := &World{options: o,
		Site:     site.Site(),
		Record:   &harness.Record{},
		rand:     rand.New(rand.NewPCG(o.Seed, 0x51a)),
		inFlight: map[*server]map[uint64]*attempt{},
		digest:   fnv.New64a(),
		endAt:    o.Duration.Microseconds()}
	if o.Shift > 0 {
		w.Site.Shift = o.Shift
	}
	w.Site.SpreadAll(o.Spread)
	for i := range w.Site.Classes {
		c := &w.Site.Classes[i]
		c.Unsafe, c.Keyed = c.Keyed && o.Unsafe, c.Keyed && !o.Unsafe
		if c.Keyed && o.Window > 0 {
			c.DeduplicationWindow = o.Window
		}
	}
	for i := range w.Site.Plans {
		if p := &w.Site.Plans[i]; o.TightCeilings && p.CeilingRate > 0 {
			p.Rate, p.Burst = 3*p.CeilingRate, 3*p.CeilingBurst
		}
	}
	if o.MessageLoss >= 0 {
		w.Site.MessageLoss = o.MessageLoss
	}
	w.peers = &peerNetwork{
		w:                  w,
		rand:               rand.New(rand.NewPCG(o.Seed, 0x907e)),
		receivedThisSecond: make([]int, o.Gateways),
		second:             make([]int64, o.Gateways),
	}
	w.registry = &registry{w: w, rand: rand.New(rand.NewPCG(o.Seed, 0x2e9))}
	for i := range o.Servers {
		sv := newServer(w, i)
		w.servers = append(w.servers, sv)
		sv.start(false)
	}
	w.registry.start(o.Gateways)
	for i := range o.Gateways {
		raw, err := json.Marshal(w.Site.Settings(i))
		if err != nil {
			return nil, err
		}
		set, _, err := simprotocol.ParseJSON(raw)
		if err != nil {
			return nil, err
		}
		w.settings = append(w.settings, set)
		w.gateways = append(w.gateways, &gateway{w: w, number: i})
	}
	for _, g := range w.gateways {
		if err := g.start(nil); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// Run plays the world until all that was asked has ended.
func (w *World) Run() {
	for i := range w.Site.Customers {
		c := &client{w: w, number: i, traffic: w.Site.Traffic(w.options.Seed, i)}
		w.after(c.traffic.Pause().Microseconds(), c.sendNext)
	}
	w.scheduleRandomFaults()
	for _, f := range w.options.Faults {
		w.scheduleFault(f)
	}
	longest := time.Duration(0)
	for _, c := range w.Site.Classes {
		longest = max(longest, c.GiveUp)
	}
	// What is out when the asking ends still has its time, with all its retries.
	end := w.endAt + int64(w.Site.Retries+1)*(longest+2*time.Second).Microseconds()
	for w.next(end) {
		if w.now > w.endAt && w.openTries() == 0 {
			break
		}
	}
}

// Events is how many events there were; Digest sums the history up: the same seed
// gives the same one.
func (w *World) Events() int    { return w.processed }
func (w *World) Digest() string { return fmt.Sprintf("%016x", w.digest.Sum64()) }

// recordBreach takes note of a promise that a module broke towards its host.
func (w *World) recordBreach(format string, args ...any) {
	w.breaches = append(w.breaches, fmt.Sprintf("at %v: ", w.at())+fmt.Sprintf(format, args...))
}

// Summary audits the run and sums it up.
func (w *World) Summary(command string) *harness.Summary {
	f := harness.Summarize(command, w.options.Seed, w.Site, w.Record)
	for _, what := range w.breaches[:min(len(w.breaches), 3)] {
		f.AddFailure(what)
	}
	f.Seconds = float64(w.now) / 1e6
	return f
}

func (w *World) at() time.Duration { return time.Duration(w.now) * time.Microsecond }

// net is the way between a gateway and a server, clientNet that to a client.
func (w *World) net() int64       { return 100 + w.rand.Int64N(200) }
func (w *World) clientNet() int64 { return 200 + w.rand.Int64N(800) }

func (w *World) digestLine(gateway int, line string) {
	fmt.Fprintf(w.digest, "%d %d %s\n", w.now, gateway, line)
}

func (w *World) openTries() (n int) {
	for _, g := range w.gateways {
		n += len(g.open)
	}
	return n + w.waiting
}

// trackInFlight and settle keep what is out at a server, for its end to reset.
func (w *World) trackInFlight(a *attempt) {
	if w.inFlight[a.server] == nil {
		w.inFlight[a.server] = map[uint64]*attempt{}
	}
	w.sends++
	a.send = w.sends
	w.inFlight[a.server][a.send] = a
}

func (w *World) untrackInFlight(a *attempt) { delete(w.inFlight[a.server], a.send) }

// takeInFlight takes what is out at a server, in the order of its sending.
func (w *World) takeInFlight(sv *server) (all []*attempt) {
	for _, n := range slices.Sorted(maps.Keys(w.inFlight[sv])) {
		all = append(all, w.inFlight[sv][n])
	}
	w.inFlight[sv] = nil
	return all
}

func serverName(i int) string { return fmt.Sprintf("s-%08x", 0x1000+i*0x101) }

func customerNumber(id string) uint64 {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		panic(err) // the site names them so
	}
	return n
}

// scheduleRandomFaults plans what goes wrong at random.
func (w *World) scheduleRandomFaults() {
	r := rand.New(rand.NewPCG(w.options.Seed, 0xca05))
	every := func(mean time.Duration, do func()) {
		if mean == 0 {
			return
		}
		var again func()
		again = func() {
			if w.now < w.endAt {
				do()
				w.after(int64(r.ExpFloat64()*float64(mean.Microseconds())), again)
			}
		}
		w.after(int64(r.ExpFloat64()*float64(mean.Microseconds())), again)
	}
	every(w.options.Kills, func() {
		g := w.gateways[r.IntN(len(w.gateways))]
		if !g.up {
			return
		}
		w.gatewayFault(g, harness.Fault{Kind: harness.Restart}, 300_000+r.Int64N(700_000))
	})
	every(w.options.Restarts, func() {
		sv := w.servers[r.IntN(len(w.servers))]
		if !sv.up {
			return
		}
		w.serverFault(sv, harness.Fault{Kind: harness.Down}, 1_000_000+r.Int64N(2_000_000))
	})
}
