package policy

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
)

// SnapshotVersion is the version of Snapshot that this module gives out and takes in.
const SnapshotVersion = 1

// Snapshot is what a gateway knows that may outlive its process: what is left of
// its customers' banks and ceilings, recent use, and which backends are slow, out
// or cold. It holds no request. It is plain data, whole in itself, and the
// receiver's own; a host may keep it in whatever form.
//
// Levels in it are what is surely left: a lease is taken off for what may be taken
// until the next one is given out. A module restored from it therefore never
// holds more than the one that gave it out would hold by then, if the host keeps
// the promise at Urgent.
type Snapshot struct {
	Version  int
	At       Time   // when it was given out
	Settings uint64 // of the module that gave it out, in short
	Born     Time   // since when that module, or one that it was restored from, has counted
	Last     bool   // nothing was taken after it

	Mean, Worth, Late Estimate
	Base              []Estimate
	Grace             [][]Estimate
	InTime, Pace      float64 // answers in time over the last second; sends to each warm backend
	Customers         []CustomerState
	Backends          []BackendState
}

// Estimate is a mean with the number of its samples.
type Estimate struct{ Value, Samples float64 }

// CustomerState is what is kept of one customer.
type CustomerState struct {
	ID                 uint64
	Plan               int
	First, Spread      int
	Level, Ceiling     float64 // what is surely left
	Use, Others        float64 // asked here, and elsewhere, over the demand window
	Part, Grant, Slice float64
}

// BackendState is what is kept of one backend.
type BackendState struct {
	Backend            uint32
	Started            Time
	Slow, Errs         float64
	SlowAt             Time
	Down, Silent       bool
	Left, Wait, TryNow Time // TryNow: when it may be tried again
}

// leaseShare is the part of a burst that may be taken between two states; more
// makes the next one urgent.
const leaseShare = 0.25

// lease is what a customer may take until the next state.
func (g *Balancer) lease(c *customer) float64 {
	return math.Max(leaseShare*g.set.Plans[c.plan].Burst, 2*c.use.get(g.now, c.window)*float64(second)/float64(c.window))
}

// spend takes note of units that have gone from a customer's banks, which a state
// must not give back. It is urgent before the lease is spent: one more of the
// kind has room in it, should the process end before the next state is kept.
func (g *Balancer) spend(c *customer, units float64) {
	c.spent += units
	if g.keeps && c.spent+units > c.leased {
		g.urgent = true
	}
}

// SnapshotDue tells whether nearly all was taken that the last Snapshot known to be kept
// allows for. A host that keeps states asks after each event, and where it is so
// has a new one kept before it carries out anything further: only then no crash can
// grant quota.
func (g *Balancer) SnapshotDue() bool { return g.urgent }

// SnapshotStored takes in that the Snapshot given out at a time is kept: it is what would be
// restored now. Until then the one before counts. One that is not the last that was
// given out is passed over.
func (g *Balancer) SnapshotStored(at Time) {
	if at != g.saved {
		return
	}
	g.keeps, g.urgent = true, false
	for _, c := range g.order {
		c.leased = c.leasing
	}
}

// TakeSnapshot gives out the state. The last one of an orderly end reserves no lease:
// the caller promises that no request is put to the module after it.
func (g *Balancer) TakeSnapshot(now Time, last bool) Snapshot {
	g.begin(now)
	s := Snapshot{Version: SnapshotVersion, At: g.now, Settings: g.print, Born: g.lived, Last: last,
		Mean: g.mean.learnt(), Worth: g.worth.learnt(), Late: g.late.learnt(),
		InTime: g.inTime.get(g.awake, second), Pace: g.pace.get(g.now, paceTime)}
	for i := range g.base {
		s.Base = append(s.Base, g.base[i].learnt())
	}
	for _, of := range g.grace {
		row := make([]Estimate, len(of))
		for i := range of {
			row[i] = of[i].learnt()
		}
		s.Grace = append(s.Grace, row)
	}
	for _, c := range g.order {
		g.refill(c)
		off := 0.0
		if !last {
			off = g.lease(c)
		}
		c.leasing = c.spent + off
		bought := &g.bought[c.plan] // a state is begun from under the settings, whatever terms hold now
		ceiling := c.ceiling.level - off
		if bought.CeilingRate > 0 {
			ceiling = math.Min(ceiling, bought.CeilingBurst)
		}
		s.Customers = append(s.Customers, CustomerState{ID: c.id, Plan: c.plan, First: c.first, Spread: c.spread,
			Level: math.Min(c.store.level-off, bought.Burst), Ceiling: ceiling,
			Use: c.use.get(g.now, c.window), Others: c.others.get(g.now, c.window),
			Part: c.part, Grant: c.grant, Slice: math.Max(0, c.slice-off)})
	}
	for _, b := range g.backends {
		s.Backends = append(s.Backends, BackendState{Backend: b.Backend, Started: b.StartedAt, Slow: b.slow, SlowAt: b.slowAt,
			Errs: b.errs, Down: b.down, Silent: b.silent, Left: b.left, Wait: b.wait, TryNow: b.trialAt})
	}
	g.saved = g.now
	return s
}

// Restore takes in the state of a former life, at most so old. It must come
// before the first request and note; members may have been told. An error tells why the state can't be used; the gateway
// then knows nothing, as if there had been none.
func (g *Balancer) Restore(now, oldest Time, s *Snapshot) error {
	switch age := now - s.At; {
	case len(g.customers) > 0 || len(g.requests) > 0:
		return errors.New("state: the gateway has begun")
	case s.Version != SnapshotVersion:
		return fmt.Errorf("state: version %d, %d wanted", s.Version, SnapshotVersion)
	case s.Settings != g.print:
		return errors.New("state: of other settings")
	case age < 0:
		return fmt.Errorf("state: from %.3f s ahead", -float64(age)/float64(second))
	case age > oldest:
		return fmt.Errorf("state: %.3f s old, at most %.3f s wanted", float64(age)/float64(second), float64(oldest)/float64(second))
	}
	if err := s.check(&g.set); err != nil {
		return err
	}
	g.now = max(g.now, now)
	g.awake = g.now - g.still
	g.lived, g.doubt = s.Born, !s.Last
	g.mean, g.worth, g.late = s.Mean.mean(), s.Worth.mean(), s.Late.mean()
	for i := range g.base {
		g.base[i] = s.Base[i].mean()
	}
	for i := range g.grace {
		for j := range g.grace[i] {
			g.grace[i][j] = s.Grace[i][j].mean()
		}
	}
	// What was in the last second before is the best guess for the next one.
	g.inTime = fading{s.InTime * fade(now-s.At, 10*second), g.awake}
	g.pace = fading{s.Pace * fade(now-s.At, 10*second), now}
	for _, k := range s.Customers {
		g.restore(&k, now-s.At)
	}
	g.kept = make(map[uint32]BackendState, len(s.Backends))
	for _, b := range s.Backends {
		g.kept[b.Backend] = b
	}
	for _, b := range g.backends {
		g.recall(b)
	}
	return nil
}

// restore makes a customer's record as it was. What others took meanwhile was
// not heard, so a store that is shared did not fill; what is this gateway's alone did.
func (g *Balancer) restore(k *CustomerState, age Time) {
	c := g.customer(k.ID, k.Plan, k.First, k.Spread)
	p := &g.set.Plans[c.plan]
	lease := 0.0
	if g.doubt {
		lease = math.Max(leaseShare*p.Burst, 2*k.Use*float64(second)/float64(c.window)) // as it was taken off
	}
	c.use, c.others = fading{k.Use, g.now - age}, fading{k.Others, g.now - age}
	c.part, c.grant, c.slice = k.Part, k.Grant, k.Slice
	rate := p.Rate
	if !g.pooled {
		rate *= g.part(c)
		c.store.cap = g.part(c) * p.Burst
	} else if c.spread > 1 {
		rate = 0
	}
	c.store.level = filled(k.Level+lease, rate, c.store.cap, age) - lease
	if k.Level+lease >= 0 {
		c.store.level = math.Max(0, c.store.level) // no bank is overdrawn
	}
	c.ceiling.level = math.Max(0, filled(k.Ceiling+lease, c.ceiling.rate, c.ceiling.cap, age)-lease)
	c.store.at, c.ceiling.at = g.now, g.now
	c.kept = g.pooled && c.spread > 1
	g.mark(c) // peers are to hear what is left, as of one that has just started
}

// filled is a level after some time in which nothing was taken.
func filled(level, rate, limit float64, age Time) float64 {
	return math.Min(limit, level+rate*float64(age)/float64(second))
}

// unsure is what a former life may have taken, after its last state, of a
// customer that the state does not name: the later it comes, the less matters.
func (g *Balancer) unsure(c *customer, rate float64) float64 {
	if !g.doubt {
		return 0
	}
	since := g.now - max(1, g.born)
	if g.born == 0 {
		since = 0
	}
	return math.Max(0, leaseShare*g.set.Plans[c.plan].Burst-rate*float64(since)/float64(second))
}

// recall gives a backend what was known of it, if it is still the same process.
func (g *Balancer) recall(b *backend) {
	k, ok := g.kept[b.Backend]
	delete(g.kept, b.Backend)
	if !ok || b.StartedAt > k.Started {
		return
	}
	b.StartedAt = k.Started
	b.slow, b.slowAt, b.errs = k.Slow, k.SlowAt, k.Errs
	b.down, b.silent, b.left, b.wait, b.trialAt = k.Down, k.Silent, k.Left, k.Wait, k.TryNow
}

func fade(age, window Time) float64 { return math.Exp(-float64(age) / float64(window)) }

func (m *mean) learnt() Estimate { return Estimate{m.v, m.n} }

func (l Estimate) mean() mean { return mean{l.Value, l.Samples} }

// print is the settings in short: a state is of use only where they are the same.
func (set *Settings) print() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %v %v %t %t", set.Self, set.Gateways, set.Classes, set.Plans, set.Peers, set.Counter)
	return h.Sum64()
}

// check tells what in a state can't be.
func (s *Snapshot) check(set *Settings) error {
	numbers := []float64{s.Mean.Value, s.Mean.Samples, s.Worth.Value, s.Worth.Samples, s.Late.Value, s.Late.Samples, s.InTime, s.Pace}
	if len(s.Base) != len(set.Classes) || len(s.Grace) != len(set.Plans) {
		return fmt.Errorf("state: %d classes and %d plans", len(s.Base), len(s.Grace))
	}
	for _, row := range append([][]Estimate{s.Base}, s.Grace...) {
		if len(row) != len(set.Classes) {
			return fmt.Errorf("state: a row of %d classes", len(row))
		}
		for _, l := range row {
			numbers = append(numbers, l.Value, l.Samples)
		}
	}
	seen := make(map[uint64]bool, len(s.Customers))
	for i, c := range s.Customers {
		if c.Plan < 0 || c.Plan >= len(set.Plans) || c.Spread < 1 || c.Spread > set.Gateways ||
			c.First < 0 || c.First >= set.Gateways || seen[c.ID] {
			return fmt.Errorf("state: customers[%d]: plan %d, gateways %d from %d, or twice", i, c.Plan, c.Spread, c.First)
		}
		seen[c.ID] = true
		if p := &set.Plans[c.Plan]; c.Level > p.Burst*(1+1e-9) || c.Ceiling > p.CeilingBurst*(1+1e-9) && p.CeilingRate > 0 {
			return fmt.Errorf("state: customers[%d]: more left than the plan holds", i)
		}
		numbers = append(numbers, c.Use, c.Others, c.Part, c.Grant, c.Slice)
		if math.IsNaN(c.Level) || math.IsInf(c.Level, 0) || math.IsNaN(c.Ceiling) || math.IsInf(c.Ceiling, 0) {
			return fmt.Errorf("state: customers[%d]: levels %g and %g", i, c.Level, c.Ceiling)
		}
	}
	for i, b := range s.Backends {
		if numbers = append(numbers, b.Slow, b.Errs); b.Wait < 0 || b.Wait > healTime {
			return fmt.Errorf("state: backends[%d]: waits for %d", i, b.Wait)
		}
	}
	for _, x := range numbers {
		if !(x >= 0) || math.IsInf(x, 0) {
			return fmt.Errorf("state: a figure of %g", x)
		}
	}
	return nil
}
