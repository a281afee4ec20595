package policy

import "math"

// snapshotAllowanceFraction is the part of a burst that may be consumed between two snapshots
// before the next one is due.
const snapshotAllowanceFraction = 0.25

// SnapshotVersion is the version of Snapshot that this build writes and reads.
const SnapshotVersion = 1

// Snapshot is the part of a Balancer's state that can outlive its process: the levels of
// customers' buckets and ceilings, recent demand, and which backends are slow, ejected or warming
// up. It contains no requests. It is plain data that shares nothing with the Balancer, so that a
// host may store it in any form; the JSON keys are those of snapshots that earlier builds stored.
//
// Its levels are lower bounds: an allowance is deducted for what may be consumed until the next
// snapshot is stored. A Balancer restored from it therefore never holds more than the one that
// took it would hold by then, provided that the host follows SnapshotDue.
type Snapshot struct {
	Version  int    `json:"Version"`
	At       Time   `json:"At"`       // when it was taken
	Settings uint64 `json:"Settings"` // checksum of the settings of the Balancer that took it
	// StateSince is when the first Balancer in the chain of restored ones started.
	StateSince Time `json:"Born"`
	Last       bool `json:"Last"` // nothing was consumed after it

	MeanLatency    Estimate   `json:"Mean"` // microseconds
	MeanValue      Estimate   `json:"Worth"`
	LateFraction   Estimate   `json:"Late"`
	ClassLatencies []Estimate `json:"Base"` // microseconds
	// ClientTimeouts has a row for each plan with a figure for each class, in microseconds.
	ClientTimeouts [][]Estimate    `json:"Grace"`
	OnTimeAnswers  float64         `json:"InTime"` // over the last second
	SendPace       float64         `json:"Pace"`   // sends to each warm backend
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

// snapshotState is what this gateway knows of its snapshots, and of the one it was restored from.
type snapshotState struct {
	settingsSum      uint64
	stateSince       Time                    // start of the oldest restored incarnation
	lastSnapshot     Time                    // when the last snapshot was taken
	snapshotsStored  bool                    // the host stores snapshots
	snapshotDue      bool                    // see SnapshotDue
	uncleanRestore   bool                    // the restored snapshot may lack recent consumption
	restoredBackends map[uint32]BackendState // until discovery lists the backend
}

// snapshotReserve limits what a customer may consume before the next snapshot is stored.
type snapshotReserve struct {
	spent             float64 // total units taken from its buckets
	storedAllowance   float64 // largest value of spent that the stored snapshot allows for
	snapshotAllowance float64 // the same for the last snapshot taken
}

// allowance returns the units that a customer may consume until the next snapshot is stored.
func (p *Plan) allowance(recentDemand float64, window Time) float64 {
	pace := recentDemand * float64(second) / float64(window)
	return math.Max(snapshotAllowanceFraction*p.Burst, pace)
}

// recordSpend counts units taken from a customer's buckets, which a restored snapshot must not
// bring back. The next snapshot is due before the allowance is used up: one more request of the
// same size still fits, in case the process ends before the snapshot is stored.
func (lb *Balancer) recordSpend(c *customer, units float64) {
	c.spent += units
	if lb.snapshotsStored && c.spent+units > c.storedAllowance {
		lb.snapshotDue = true
	}
}

// SnapshotDue reports whether nearly all of the stored snapshot's allowance is used up. A host that
// stores snapshots must call it after each event and, if a snapshot is due, store a new one before
// it carries out any further action. Otherwise a crash may grant quota twice.
func (lb *Balancer) SnapshotDue() bool { return lb.snapshotDue }

// SnapshotStored records that the snapshot taken at a time is stored and would be restored from now
// on. Until then the previous one counts. The call is ignored if it is not for the last snapshot
// taken.
func (lb *Balancer) SnapshotStored(at Time) {
	if at != lb.lastSnapshot {
		return
	}
	lb.snapshotsStored = true
	lb.snapshotDue = false
	for _, c := range lb.customerOrder {
		c.storedAllowance = c.snapshotAllowance
	}
}

// TakeSnapshot returns the state. The last snapshot of a graceful shutdown deducts no allowance:
// the caller must pass no request after it.
func (lb *Balancer) TakeSnapshot(now Time, last bool) Snapshot {
	lb.advanceClock(now)
	s := Snapshot{
		Version:       SnapshotVersion,
		At:            lb.now,
		Settings:      lb.settingsSum,
		StateSince:    lb.stateSince,
		Last:          last,
		MeanLatency:   lb.meanLatency.estimate(),
		MeanValue:     lb.meanValue.estimate(),
		LateFraction:  lb.lateFraction.estimate(),
		OnTimeAnswers: lb.onTime.get(lb.activeTime, second),
		SendPace:      lb.sendPace.get(lb.now, sendPaceWindow),
	}
	s.ClassLatencies = append(s.ClassLatencies, estimates(lb.classLatencies)...)
	for _, timeouts := range lb.clientTimeouts {
		s.ClientTimeouts = append(s.ClientTimeouts, estimates(timeouts))
	}
	for _, c := range lb.customerOrder {
		s.Customers = append(s.Customers, lb.customerState(c, last))
	}
	for _, b := range lb.backends {
		s.Backends = append(s.Backends, b.state())
	}
	lb.lastSnapshot = lb.now
	return s
}

// customerState returns a customer's part of a snapshot. Its levels fit the plans as configured,
// with which a restored Balancer starts, even if other terms apply now.
func (lb *Balancer) customerState(c *customer, last bool) CustomerState {
	lb.refill(c)
	reserve := 0.0
	if !last {
		demand := 2 * c.localDemand.get(lb.now, c.demandWindow)
		reserve = lb.settings.Plans[c.plan].allowance(demand, c.demandWindow)
	}
	c.snapshotAllowance = c.spent + reserve
	configured := &lb.configuredPlans[c.plan]
	ceiling := c.ceilingBucket.level - reserve
	if configured.CeilingRate > 0 {
		ceiling = math.Min(ceiling, configured.CeilingBurst)
	}
	return CustomerState{
		ID:            c.id,
		Plan:          c.plan,
		First:         c.first,
		Spread:        c.spread,
		BucketLevel:   math.Min(c.bucket.level-reserve, configured.Burst),
		CeilingLevel:  ceiling,
		LocalDemand:   c.localDemand.get(lb.now, c.demandWindow),
		PeerUsage:     c.peerUsage.get(lb.now, c.demandWindow),
		ShareFraction: c.shareFraction,
		GrantFraction: c.grantFraction,
		LocalShare:    math.Max(0, c.localShare-reserve),
	}
}

// state returns a backend's part of a snapshot.
func (b *backend) state() BackendState {
	return BackendState{
		Backend:        b.Backend,
		StartedAt:      b.StartedAt,
		LatencyRatio:   b.latencyRatio,
		LatencyRatioAt: b.latencyRatioAt,
		ErrorRate:      b.errorRate,
		Unhealthy:      b.unhealthy,
		Unresponsive:   b.unresponsive,
		EjectedAt:      b.ejectedAt,
		ProbeBackoff:   b.probeBackoff,
		NextProbe:      b.nextProbe,
	}
}

func (m *runningMean) estimate() Estimate { return Estimate{m.value, m.samples} }

func estimates(means []runningMean) []Estimate {
	list := make([]Estimate, len(means))
	for i := range means {
		list[i] = means[i].estimate()
	}
	return list
}
