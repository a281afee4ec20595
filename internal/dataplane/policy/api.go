// Package policy makes the decisions of a gateway that keeps each customer of
// a shared back end to its plan. This file is its whole interface; the
// decisions are in decide.go.
//
// The host owns the clock, the sockets and the timers. It must call a Gateway
// from one goroutine at a time, with times that never go back, deliver exactly
// one Outcome for each Send and one Probed for each Probe, and let a request's
// attempts end by its deadline. A second or unknown outcome is passed over; a
// missing one leaves the backend looking busier than it is for good.
package policy

// Time is a moment or a length of time in microseconds.
type Time = int64

// Idempotency tells how far a request that may have run may be sent again.
type Idempotency uint8

// The effects: repeatable at will, dropped when repeated within a group of
// backends, or never to run twice.
const (
	Idempotent Idempotency = iota
	WithIdempotencyKey
	NotIdempotent
)

// DeduplicationScope names the backends that drop repeats of a keyed request.
type DeduplicationScope uint8

// The groups: every backend, those of one zone, those of one cell.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// EndpointState is what discovery says of a backend.
type EndpointState uint8

// The states of a backend.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Result is how an attempt, a probe or a counter call ended.
type Result uint8

// The results. Full, ConnectFailed and Moot prove that nothing ran.
const (
	OK Result = iota
	Failed
	Rejected
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Superseded
)

// Class is a class of requests.
type Class struct {
	LatencyObjective    Time // an answer by then earns the full worth
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow Time // how long the group drops repeats
	PriorityWeight      float64
}

// Plan is what a customer has bought. A rate of 0 means no such quota, an
// open limit of 0 no such limit, a ceiling rate of 0 no ceiling.
type Plan struct {
	Rate, Burst                             float64
	CeilingRate, CeilingBurst, CeilingSlack float64
	OpenLimit                               int
	Price, BeyondEarns, BeyondCosts         float64
}

// Metric is a value that backends report of their load.
type Metric uint8

// The metrics that decisions use; a report's other values are Unused.
const (
	Unused Metric = iota
	Busy
	Waiting
)

// Settings are what a gateway is told at its start.
type Settings struct {
	Self, Gateways int
	Zone           int
	Classes        []Class
	Plans          []Plan
	Report         []Metric // the order of the values in a load report

	PollEndpoints bool // discovery tells only who asks
	PollInterval  Time

	Peers, Probes, Hedging, RetryAfter, Counter, SettlesUnits bool

	MeterPeriod              Time // 0: no meter
	MaxPeerMessagesPerSecond float64
	MaxAttempts              int
	MaxRetryAfter            Time
	Tick                     Time // least time between two events

	SlowStartMinFraction    float64 // least share of its capacity that a backend starts at
	SlowStartDuration       Time    // it is warm by then
	SlowStartOverloadWindow Time    // span over which what a cold backend is sent is counted

	CrossZonePrice    float64
	ComparableWeights bool // members' hints are comparable sizes
}

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	Backend    uint32
	Zone, Cell int
	State      EndpointState
	Weight     float64
	StartedAt  Time // 0: long ago
}

// ListKind tells what a list of members is.
type ListKind uint8

// A list is whole, whole but perhaps stale, only what changed, could not be had,
// or is an old one that stands in at a start because discovery is not heard.
const (
	Complete ListKind = iota
	CompleteCached
	Delta
	Unavailable
	StaleBootstrap
)

// Request is a client's try.
type Request struct {
	ID            uint64
	Class, Plan   int
	Customer      uint64
	Units         float64
	Timeout       Time // how long the client waits from now
	First, Spread int  // the customer's gateways: Spread in a row from First
}

// Outcome is how an attempt ended.
type Outcome struct {
	ID          uint64
	Attempt     int
	Backend     uint32
	Result      Result
	Duration    Time
	RequestDone bool // the client has its final answer
	MeteredUse  int  // 1 + percent of the rate used through all gateways; 0: not told
	TrueUnits   float64
	Load        []float32
}

// Actions is what a Gateway does to the world. Calls take effect in order.
type Actions interface {
	// Send starts the next attempt of a request; until is when it is given up,
	// 0 for the client's deadline.
	Send(id uint64, backend uint32, until Time)
	// Reject answers that trying again is harmless, and after how long.
	Reject(id uint64, after Time)
	// Fail answers without promising anything.
	Fail(id uint64)
	// SetTimer asks for a Timer call with the token at the time.
	SetTimer(at Time, token uint32)
	// Probe asks a backend whether it lives.
	Probe(backend uint32)
	// SendToPeer sends at most 256 bytes to a peer; they may be late or lost.
	SendToPeer(peer int, note []byte)
	// AddToCounter adds to a named number that all gateways share.
	AddToCounter(name uint64, add float64, life Time)
	// WatchEndpoints asks discovery for the list and its changes from now on.
	WatchEndpoints()
	// Log writes a line for the people on call.
	Log(line string)
}
