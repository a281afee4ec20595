// Package sim plays a fleet of gateways in virtual time. The gateways are the real
// decision module, each under a host that keeps a host's promises; servers, register,
// notes, front and clients are models. One seed gives one history, to the byte: there
// is no wall clock, no goroutine and no map order inside a run, so many runs may go on
// at once, and a run may be played again. docs/sim.md tells what the model leaves out.
package sim

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"time"

	"encoding/json"

	"mothcleat/decide"
	"mothcleat/internal/trial"
	"mothcleat/internal/wire"
)

// epoch is the gateways' time at the start of a run, in microseconds.
const epoch = 1_000_000_000

// Options say what is played.
type Options struct {
	Seed     uint64
	Gateways int
	Servers  int // 0: ten
	Load     float64
	For      time.Duration // in which clients ask
	Spread   int           // of every customer; 0: as the site draws it
	Shift    time.Duration // how often a customer's busiest gateway changes; 0: the site's

	NoteLoss  float64       // part of the notes lost; below 0: the site's
	NoteLate  time.Duration // how much later than usual they come
	NoteTwice float64       // part of the notes that come twice, the second up to a second later

	Kills    time.Duration // one gateway is killed in each such span, on average; 0: none
	Restarts time.Duration // one server is killed, and comes back cold, in each such span; 0: none
}

// World is a fleet in virtual time.
type World struct {
	clock
	Site   *trial.Site
	Record *trial.Record
	Notes  NoteCounts

	o        Options
	rand     *rand.Rand
	settings []decide.Settings
	servers  []*server
	gateways []*gateway
	register *register
	notes    *notes
	held     map[*server][]*attempt
	nextTry  uint64
	ends     int64
	digest   interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
}

// NoteCounts are what the gateways told one another.
type NoteCounts struct {
	Sent, Lost, Bytes int
	MostIn            int // the most that one gateway took in within a second
}

// New makes a world; Run plays it.
func New(o Options) (*World, error) {
	if o.Servers == 0 {
		o.Servers = 10
	}
	w := &World{o: o, Site: trial.NewSite(o.Seed, o.Gateways, o.Servers, o.Load), Record: &trial.Record{},
		rand: rand.New(rand.NewPCG(o.Seed, 0x51a)), held: map[*server][]*attempt{}, digest: fnv.New64a(), ends: o.For.Microseconds()}
	if o.Shift > 0 {
		w.Site.Shift = o.Shift
	}
	w.Site.SpreadAll(o.Spread)
	if o.NoteLoss >= 0 {
		w.Site.NoteLoss = o.NoteLoss
	}
	w.notes = &notes{w: w, rand: rand.New(rand.NewPCG(o.Seed, 0x907e)), in: make([]int, o.Gateways), second: make([]int64, o.Gateways)}
	w.register = &register{w: w, rand: rand.New(rand.NewPCG(o.Seed, 0x2e9))}
	for i := range o.Servers {
		sv := newServer(w, i)
		w.servers = append(w.servers, sv)
		sv.start(false)
	}
	w.register.begin(o.Gateways)
	for i := range o.Gateways {
		raw, err := json.Marshal(w.Site.Settings(i))
		if err != nil {
			return nil, err
		}
		set, _, err := wire.ParseJSON(raw)
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
		c := &client{w: w, number: i, traffic: w.Site.Traffic(w.o.Seed, i)}
		w.after(c.traffic.Pause().Microseconds(), c.ask)
	}
	w.faults()
	longest := time.Duration(0)
	for _, c := range w.Site.Classes {
		longest = max(longest, c.GiveUp)
	}
	// What is out when the asking ends still has its time, with all its retries.
	end := w.ends + int64(w.Site.Retries+1)*(longest+2*time.Second).Microseconds()
	for w.next(end) {
		if w.now > w.ends && w.openTries() == 0 {
			break
		}
	}
}

// Events is how many events there were; Digest sums the history up: the same seed
// gives the same one.
func (w *World) Events() int    { return w.done }
func (w *World) Digest() string { return fmt.Sprintf("%016x", w.digest.Sum64()) }

// Figures audits the run and sums it up.
func (w *World) Figures(command string) *trial.Figures {
	f := trial.Figure(command, w.o.Seed, w.Site, w.Record)
	f.Seconds = float64(w.now) / 1e6
	return f
}

func (w *World) at() time.Duration { return time.Duration(w.now) * time.Microsecond }

// net is the way between a gateway and a server, clientNet that to a client.
func (w *World) net() int64       { return 100 + w.rand.Int64N(200) }
func (w *World) clientNet() int64 { return 200 + w.rand.Int64N(800) }

func (w *World) said(gateway int, line string) {
	fmt.Fprintf(w.digest, "%d %d %s\n", w.now, gateway, line)
}

func (w *World) openTries() (n int) {
	for _, g := range w.gateways {
		n += len(g.open)
	}
	return n + w.register.waiting
}

// hold and settle keep what is out at a server, for its end to reset.
func (w *World) hold(a *attempt) { w.held[a.server] = append(w.held[a.server], a) }

func (w *World) settle(a *attempt) {
	list := w.held[a.server]
	for i, b := range list {
		if a == b {
			w.held[a.server] = append(list[:i], list[i+1:]...)
			return
		}
	}
}

func (w *World) out(sv *server) []*attempt {
	list := w.held[sv]
	w.held[sv] = nil
	return list
}

func serverName(i int) string { return fmt.Sprintf("s-%08x", 0x1000+i*0x101) }

func customerNumber(id string) uint64 {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		panic(err) // the site names them so
	}
	return n
}

// faults plans what goes wrong.
func (w *World) faults() {
	r := rand.New(rand.NewPCG(w.o.Seed, 0xca05))
	every := func(mean time.Duration, do func()) {
		if mean == 0 {
			return
		}
		var again func()
		again = func() {
			if w.now < w.ends {
				do()
				w.after(int64(r.ExpFloat64()*float64(mean.Microseconds())), again)
			}
		}
		w.after(int64(r.ExpFloat64()*float64(mean.Microseconds())), again)
	}
	every(w.o.Kills, func() {
		g := w.gateways[r.IntN(len(w.gateways))]
		if !g.up {
			return
		}
		g.kill()
		w.after(300_000+r.Int64N(700_000), func() {
			if err := g.start(nil); err != nil {
				panic(err) // its settings were good before
			}
		})
	})
	every(w.o.Restarts, func() {
		sv := w.servers[r.IntN(len(w.servers))]
		if !sv.up {
			return
		}
		sv.kill()
		w.register.tell(sv, decide.Left)
		w.after(1_000_000+r.Int64N(2_000_000), func() {
			sv.start(true)
			w.register.tell(sv, decide.Ready)
		})
	})
}
