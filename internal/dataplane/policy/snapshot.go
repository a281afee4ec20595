package policy

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
)

// SnapshotVersion is the version of Snapshot that this module gives out and takes in.
const SnapshotVersion = 1

// Snapshot is the part of a Balancer's state that may outlive its process: the levels of
// customers' buckets and ceilings, recent demand, and which backends are slow, ejected or warming
// up. It holds no request. It is plain data that shares nothing with the Balancer, so that a host
// may store it in any form; the JSON keys are those of earlier builds' stored snapshots.
//
// Its levels are lower bounds: an allowance is taken off for what may be consumed until the next
// snapshot is stored. A Balancer restored from it therefore never holds more than the one that
// took it would hold by then, provided that the host follows SnapshotDue.
type Snapshot struct {
	Version  int    `json:"Version"`
	At       Time   `json:"At"`       // when it was taken
	Settings uint64 `json:"Settings"` // checksum of the settings of the Balancer that took it
	// StateSince is when the oldest Balancer in the chain of restored ones started.
	StateSince Time `json:"Born"`
	Last       bool `json:"Last"` // nothing was consumed after it

	MeanLatency    Estimate   `json:"Mean"` // microseconds
	MeanValue      Estimate   `json:"Worth"`
	LateFraction   Estimate   `json:"Late"`
	ClassLatencies []Estimate `json:"Base"` // microseconds
	// ClientTimeouts has a row for each plan with a figure for each class, in microseconds.
	ClientTimeouts [][]Estimate    `json:"Grace"`
	OnTimeAnswers  float64         `json:"InTime"` // over the last second
	SendPace       float64         `json:"Pace"`   // sends to each backend that is not in slow start
	Customers      []CustomerState `json:"Customers"`
	Backends       []BackendState  `json:"Backends"`
}

// Estimate is a mean with the number of its samples.
type Estimate struct {
	Value   float64 `json:"Value"`
	Samples float64 `json:"Samples"`
}

// CustomerState is the stored state of one customer. Levels, demand and usage are in units.
type CustomerState struct {
	ID            uint64  `json:"ID"`
	Plan          int     `json:"Plan"`
	First         int     `json:"First"`
	Spread        int     `json:"Spread"`
	BucketLevel   float64 `json:"Level"`   // lower bound
	CeilingLevel  float64 `json:"Ceiling"` // lower bound
	LocalDemand   float64 `json:"Use"`     // requested here over the demand window
	PeerUsage     float64 `json:"Others"`  // requested elsewhere over the demand window
	ShareFraction float64 `json:"Part"`
	GrantFraction float64 `json:"Grant"`
	LocalShare    float64 `json:"Slice"`
}

// BackendState is the stored state of one backend.
type BackendState struct {
	Backend        uint32  `json:"Backend"`
	StartedAt      Time    `json:"Started"`
	LatencyRatio   float64 `json:"Slow"`
	ErrorRate      float64 `json:"Errs"`
	LatencyRatioAt Time    `json:"SlowAt"`
	Unhealthy      bool    `json:"Down"`
	Unresponsive   bool    `json:"Silent"`
	EjectedAt      Time    `json:"Left"`
	ProbeBackoff   Time    `json:"Wait"`
	NextProbe      Time    `json:"TryNow"` // when it may be tried again
}

// snapshotAllowanceFraction is the part of a burst that may be taken between two states; more
// makes the next one urgent.
const snapshotAllowanceFraction = 0.25

// allowanceUntilNextSnapshot is what a customer may take until the next state.
func (g *Balancer) allowanceUntilNextSnapshot(c *customer) float64 {
	return math.Max(snapshotAllowanceFraction*g.settings.Plans[c.plan].Burst, 2*c.localDemand.get(g.now, c.demandWindow)*float64(second)/float64(c.demandWindow))
}

// recordSpend takes note of units that have gone from a customer's banks, which a state
// must not give back. It is urgent before the lease is spent: one more of the
// kind has room in it, should the process end before the next state is kept.
func (g *Balancer) recordSpend(c *customer, units float64) {
	c.spent += units
	if g.snapshotsStored && c.spent+units > c.storedAllowance {
		g.snapshotDue = true
	}
}

// SnapshotDue tells whether nearly all was taken that the last Snapshot known to be kept
// allows for. A host that keeps states asks after each event, and where it is so
// has a new one kept before it carries out anything further: only then no crash can
// grant quota.
func (g *Balancer) SnapshotDue() bool { return g.snapshotDue }

// SnapshotStored takes in that the Snapshot given out at a time is kept: it is what would be
// restored now. Until then the one before counts. One that is not the last that was
// given out is passed over.
func (g *Balancer) SnapshotStored(at Time) {
	if at != g.lastSnapshot {
		return
	}
	g.snapshotsStored, g.snapshotDue = true, false
	for _, c := range g.customerOrder {
		c.storedAllowance = c.snapshotAllowance
	}
}

// TakeSnapshot gives out the state. The last one of an orderly end reserves no lease:
// the caller promises that no request is put to the module after it.
func (g *Balancer) TakeSnapshot(now Time, last bool) Snapshot {
	g.advanceClock(now)
	s := Snapshot{Version: SnapshotVersion, At: g.now, Settings: g.settingsSum, StateSince: g.stateSince, Last: last,
		MeanLatency: g.meanLatency.estimate(), MeanValue: g.meanValue.estimate(), LateFraction: g.lateFraction.estimate(),
		OnTimeAnswers: g.onTime.get(g.activeTime, second), SendPace: g.sendPace.get(g.now, sendPaceWindow)}
	for i := range g.classLatencies {
		s.ClassLatencies = append(s.ClassLatencies, g.classLatencies[i].estimate())
	}
	for _, of := range g.clientTimeouts {
		row := make([]Estimate, len(of))
		for i := range of {
			row[i] = of[i].estimate()
		}
		s.ClientTimeouts = append(s.ClientTimeouts, row)
	}
	for _, c := range g.customerOrder {
		g.refill(c)
		off := 0.0
		if !last {
			off = g.allowanceUntilNextSnapshot(c)
		}
		c.snapshotAllowance = c.spent + off
		bought := &g.configuredPlans[c.plan] // a state is begun from under the settings, whatever terms hold now
		ceiling := c.ceilingBucket.level - off
		if bought.CeilingRate > 0 {
			ceiling = math.Min(ceiling, bought.CeilingBurst)
		}
		s.Customers = append(s.Customers, CustomerState{ID: c.id, Plan: c.plan, First: c.first, Spread: c.spread,
			BucketLevel: math.Min(c.bucket.level-off, bought.Burst), CeilingLevel: ceiling,
			LocalDemand: c.localDemand.get(g.now, c.demandWindow), PeerUsage: c.peerUsage.get(g.now, c.demandWindow),
			ShareFraction: c.shareFraction, GrantFraction: c.grantFraction, LocalShare: math.Max(0, c.localShare-off)})
	}
	for _, b := range g.backends {
		s.Backends = append(s.Backends, BackendState{Backend: b.Backend, StartedAt: b.StartedAt, LatencyRatio: b.latencyRatio, LatencyRatioAt: b.latencyRatioAt,
			ErrorRate: b.errorRate, Unhealthy: b.unhealthy, Unresponsive: b.unresponsive, EjectedAt: b.ejectedAt, ProbeBackoff: b.probeBackoff, NextProbe: b.nextProbe})
	}
	g.lastSnapshot = g.now
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
	case s.Settings != g.settingsSum:
		return errors.New("state: of other settings")
	case age < 0:
		return fmt.Errorf("state: from %.3f s ahead", -float64(age)/float64(second))
	case age > oldest:
		return fmt.Errorf("state: %.3f s old, at most %.3f s wanted", float64(age)/float64(second), float64(oldest)/float64(second))
	}
	if err := s.validate(&g.settings); err != nil {
		return err
	}
	g.now = max(g.now, now)
	g.activeTime = g.now - g.suspendedFor
	g.stateSince, g.uncleanRestore = s.StateSince, !s.Last
	g.meanLatency, g.meanValue, g.lateFraction = s.MeanLatency.runningMean(), s.MeanValue.runningMean(), s.LateFraction.runningMean()
	for i := range g.classLatencies {
		g.classLatencies[i] = s.ClassLatencies[i].runningMean()
	}
	for i := range g.clientTimeouts {
		for j := range g.clientTimeouts[i] {
			g.clientTimeouts[i][j] = s.ClientTimeouts[i][j].runningMean()
		}
	}
	// What was in the last second before is the best guess for the next one.
	g.onTime = decayingSum{s.OnTimeAnswers * decay(now-s.At, 10*second), g.activeTime}
	g.sendPace = decayingSum{s.SendPace * decay(now-s.At, 10*second), now}
	for _, k := range s.Customers {
		g.restoreCustomer(&k, now-s.At)
	}
	g.restoredBackends = make(map[uint32]BackendState, len(s.Backends))
	for _, b := range s.Backends {
		g.restoredBackends[b.Backend] = b
	}
	for _, b := range g.backends {
		g.restoreBackend(b)
	}
	return nil
}

// restoreCustomer makes a customer's record as it was. What others took meanwhile was
// not heard, so a store that is shared did not fill; what is this gateway's alone did.
func (g *Balancer) restoreCustomer(k *CustomerState, age Time) {
	c := g.findOrAddCustomer(k.ID, k.Plan, k.First, k.Spread)
	p := &g.settings.Plans[c.plan]
	lease := 0.0
	if g.uncleanRestore {
		lease = math.Max(snapshotAllowanceFraction*p.Burst, 2*k.LocalDemand*float64(second)/float64(c.demandWindow)) // as it was taken off
	}
	c.localDemand, c.peerUsage = decayingSum{k.LocalDemand, g.now - age}, decayingSum{k.PeerUsage, g.now - age}
	c.shareFraction, c.grantFraction, c.localShare = k.ShareFraction, k.GrantFraction, k.LocalShare
	rate := p.Rate
	if !g.sharesUsage {
		rate *= g.quotaFraction(c)
		c.bucket.capacity = g.quotaFraction(c) * p.Burst
	} else if c.spread > 1 {
		rate = 0
	}
	c.bucket.level = levelAfter(k.BucketLevel+lease, rate, c.bucket.capacity, age) - lease
	if k.BucketLevel+lease >= 0 {
		c.bucket.level = math.Max(0, c.bucket.level) // no bank is overdrawn
	}
	c.ceilingBucket.level = math.Max(0, levelAfter(k.CeilingLevel+lease, c.ceilingBucket.rate, c.ceilingBucket.capacity, age)-lease)
	c.bucket.at, c.ceilingBucket.at = g.now, g.now
	c.restored = g.sharesUsage && c.spread > 1
	g.markChanged(c) // peers are to hear what is left, as of one that has just started
}

// levelAfter is a level after some time in which nothing was taken.
func levelAfter(level, rate, limit float64, age Time) float64 {
	return math.Min(limit, level+rate*float64(age)/float64(second))
}

// possiblySpent is what a former life may have taken, after its last state, of a
// customer that the state does not name: the later it comes, the less matters.
func (g *Balancer) possiblySpent(c *customer, rate float64) float64 {
	if !g.uncleanRestore {
		return 0
	}
	since := g.now - max(1, g.startedAt)
	if g.startedAt == 0 {
		since = 0
	}
	return math.Max(0, snapshotAllowanceFraction*g.settings.Plans[c.plan].Burst-rate*float64(since)/float64(second))
}

// restoreBackend gives a backend what was known of it, if it is still the same process.
func (g *Balancer) restoreBackend(b *backend) {
	k, ok := g.restoredBackends[b.Backend]
	delete(g.restoredBackends, b.Backend)
	if !ok || b.StartedAt > k.StartedAt {
		return
	}
	b.StartedAt = k.StartedAt
	b.latencyRatio, b.latencyRatioAt, b.errorRate = k.LatencyRatio, k.LatencyRatioAt, k.ErrorRate
	b.unhealthy, b.unresponsive, b.ejectedAt, b.probeBackoff, b.nextProbe = k.Unhealthy, k.Unresponsive, k.EjectedAt, k.ProbeBackoff, k.NextProbe
}

func decay(age, window Time) float64 { return math.Exp(-float64(age) / float64(window)) }

func (m *runningMean) estimate() Estimate { return Estimate{m.value, m.samples} }

func (l Estimate) runningMean() runningMean { return runningMean{l.Value, l.Samples} }

// checksum is the settings in short: a state is of use only where they are the same.
func (set *Settings) checksum() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %v %v %t %t", set.Self, set.Gateways, set.Classes, set.Plans, set.Peers, set.Counter)
	return h.Sum64()
}

// validate tells what in a state can't be.
func (s *Snapshot) validate(set *Settings) error {
	numbers := []float64{s.MeanLatency.Value, s.MeanLatency.Samples, s.MeanValue.Value, s.MeanValue.Samples, s.LateFraction.Value, s.LateFraction.Samples, s.OnTimeAnswers, s.SendPace}
	if len(s.ClassLatencies) != len(set.Classes) || len(s.ClientTimeouts) != len(set.Plans) {
		return fmt.Errorf("state: %d classes and %d plans", len(s.ClassLatencies), len(s.ClientTimeouts))
	}
	for _, row := range append([][]Estimate{s.ClassLatencies}, s.ClientTimeouts...) {
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
		if p := &set.Plans[c.Plan]; c.BucketLevel > p.Burst*(1+1e-9) || c.CeilingLevel > p.CeilingBurst*(1+1e-9) && p.CeilingRate > 0 {
			return fmt.Errorf("state: customers[%d]: more left than the plan holds", i)
		}
		numbers = append(numbers, c.LocalDemand, c.PeerUsage, c.ShareFraction, c.GrantFraction, c.LocalShare)
		if math.IsNaN(c.BucketLevel) || math.IsInf(c.BucketLevel, 0) || math.IsNaN(c.CeilingLevel) || math.IsInf(c.CeilingLevel, 0) {
			return fmt.Errorf("state: customers[%d]: levels %g and %g", i, c.BucketLevel, c.CeilingLevel)
		}
	}
	for i, b := range s.Backends {
		if numbers = append(numbers, b.LatencyRatio, b.ErrorRate); b.ProbeBackoff < 0 || b.ProbeBackoff > maxProbeBackoff {
			return fmt.Errorf("state: backends[%d]: waits for %d", i, b.ProbeBackoff)
		}
	}
	for _, x := range numbers {
		if !(x >= 0) || math.IsInf(x, 0) {
			return fmt.Errorf("state: a figure of %g", x)
		}
	}
	return nil
}
