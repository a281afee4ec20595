// Package sim plays a fleet of gateways in virtual time. The gateways are the real decision module,
// each under a host that fulfils the host's contract. Servers, registry, peer messages, front and
// clients are models. One seed gives one history, byte by byte: a run reads no wall clock, starts
// no goroutine and depends on no map order. Therefore runs may be concurrent, and each can be
// repeated exactly. docs/sim.md says what the model leaves out.
package sim

import (
	"encoding/json"
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
	// waiting counts tries on their way to a gateway, and clients that pause before a retry.
	waiting int
	// breaches describes the modules' violations of their contract with the hosts.
	breaches []string
	nextTry  uint64
	endAt    int64
	digest   interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
}

// PeerMessageCounts counts the peer messages of gateways.
type PeerMessageCounts struct {
	Sent, Lost, Bytes int
	// MaxReceivedPerSecond is the largest number that one gateway received in a second.
	MaxReceivedPerSecond int
}

// New returns a world. Run plays it.
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

// Run plays the world until all requests have ended.
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
	// Requests that are open when the clients stop still get their full time and all retries.
	end := w.endAt + int64(w.Site.Retries+1)*(longest+2*time.Second).Microseconds()
	for w.next(end) {
		if w.now > w.endAt && w.openTries() == 0 {
			break
		}
	}
}

// Events returns the number of events.
func (w *World) Events() int { return w.processed }

// Digest returns a hash of the history. The same seed gives the same one.
func (w *World) Digest() string { return fmt.Sprintf("%016x", w.digest.Sum64()) }

// recordBreach records that a module violated its contract with its host.
func (w *World) recordBreach(format string, args ...any) {
	w.breaches = append(w.breaches, fmt.Sprintf("at %v: ", w.at())+fmt.Sprintf(format, args...))
}

// Summary audits the run and summarizes it.
func (w *World) Summary(command string) *harness.Summary {
	f := harness.Summarize(command, w.options.Seed, w.Site, w.Record)
	for _, what := range w.breaches[:min(len(w.breaches), 3)] {
		f.AddFailure(what)
	}
	f.Seconds = float64(w.now) / 1e6
	return f
}

func (w *World) at() time.Duration { return time.Duration(w.now) * time.Microsecond }

// net returns the delay between a gateway and a server in microseconds.
func (w *World) net() int64 { return 100 + w.rand.Int64N(200) }

// clientNet returns the delay between a gateway and a client in microseconds.
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

// trackInFlight tracks an attempt at a server, so that the end of the server can reset it.
func (w *World) trackInFlight(a *attempt) {
	if w.inFlight[a.server] == nil {
		w.inFlight[a.server] = map[uint64]*attempt{}
	}
	w.sends++
	a.send = w.sends
	w.inFlight[a.server][a.send] = a
}

// untrackInFlight stops tracking an attempt that has ended.
func (w *World) untrackInFlight(a *attempt) { delete(w.inFlight[a.server], a.send) }

// takeInFlight returns the attempts at a server in the order in which they were sent, and stops
// tracking them.
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
		panic(err) // ids of the site are hexadecimal
	}
	return n
}

// scheduleRandomFaults schedules the faults at random times.
func (w *World) scheduleRandomFaults() {
	r := rand.New(rand.NewPCG(w.options.Seed, 0xca05))
	every := func(mean time.Duration, inject func()) {
		if mean == 0 {
			return
		}
		var injectAndReschedule func()
		injectAndReschedule = func() {
			if w.now < w.endAt {
				inject()
				w.after(int64(r.ExpFloat64()*float64(mean.Microseconds())), injectAndReschedule)
			}
		}
		w.after(int64(r.ExpFloat64()*float64(mean.Microseconds())), injectAndReschedule)
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
