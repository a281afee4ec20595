package policy

import (
	"fmt"
	"hash/fnv"
)

// Settings are what a Balancer needs to know from the start.
type Settings struct {
	Self              int // the number of this gateway, from 0
	Gateways          int
	Zone              int
	Classes           []Class
	Plans             []Plan
	LoadReportMetrics []Metric // the order of the values in a load report

	PollEndpoints bool // discovery pushes no changes
	PollInterval  Time

	Peers              bool // gateways may send one another messages
	Probes             bool // backends may be sent health checks
	Hedging            bool // a further attempt may be made while one is in flight
	RetryAfter         bool // rejections may advise when to retry
	Counter            bool // there is a shared counter
	ReportsActualUnits bool // answers tell how many units a request has consumed

	MeterPeriod              Time // 0: answers tell no use through all gateways
	MaxPeerMessagesPerSecond float64
	MaxAttempts              int  // for one request
	MaxRetryAfter            Time // largest advice
	Tick                     Time // least time between two events

	SlowStartMinFraction    float64 // the part of its capacity that a backend has at its start
	SlowStartDuration       Time    // until it has all of it; 0: there is no slow start
	SlowStartOverloadWindow Time    // over which sends to a backend in slow start are counted

	CrossZonePrice    float64
	ComparableWeights bool // the weights in endpoint lists are comparable capacities
}

// Class is a class of requests. The snapshot's checksum of the settings rests on the order of its
// fields, and on their types having no String methods.
type Class struct {
	LatencyObjective    Time // an answer by then earns the full value
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow Time // for which the backends of a scope drop repetitions
	PriorityWeight      float64
}

// Idempotency tells how far a request that may have been executed may be sent again.
type Idempotency uint8

// The kinds of requests: those that may be repeated freely, those whose repetitions are dropped
// within a scope of backends, and those that must not be executed twice.
const (
	Idempotent Idempotency = iota
	WithIdempotencyKey
	NotIdempotent
)

// DeduplicationScope names the backends that drop repetitions of a request with an idempotency key.
type DeduplicationScope uint8

// The scopes: all backends, those of one zone, those of one cell.
const (
	ScopeAll DeduplicationScope = iota
	ScopeZone
	ScopeCell
)

// Plan is what a customer has bought. The snapshot's checksum of the settings rests on the order of
// its fields.
type Plan struct {
	Rate             float64 // units a second; 0: no quota
	Burst            float64 // units
	CeilingRate      float64 // units a second, never to be exceeded; 0: no ceiling
	CeilingBurst     float64 // units
	CeilingSlack     float64 // units by which all gateways together may exceed the ceiling
	ConcurrencyLimit int     // attempts in flight; 0: no limit
	Price            float64 // what a unit earns
	OverQuotaRevenue float64 // what a unit beyond the quota earns
	OverQuotaCost    float64 // and what it costs
}

// Metric is a value that backends report of their load.
type Metric uint8

// The metrics. Both Busy and Waiting are taken as the length of a backend's queue.
const (
	Unused Metric = iota
	BusyRequests
	QueuedRequests
)

// maxSubjects is how many classes and plans together a fault report can name.
const maxSubjects = 255

// SettingsError names a field of the settings that cannot be served.
type SettingsError struct {
	Field   string
	Problem string
}

// Error names the field and what is wrong with it.
func (e *SettingsError) Error() string { return "settings: " + e.Field + ": " + e.Problem }

func settingsErrorf(field, format string, args ...any) error {
	return &SettingsError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// validate reports the first field that cannot be served.
func (settings *Settings) validate() error {
	switch {
	case settings.Gateways < 1:
		return settingsErrorf("gateways", "%d, at least 1 wanted", settings.Gateways)
	case settings.Self < 0 || settings.Self >= settings.Gateways:
		return settingsErrorf("self", "%d is none of %d gateways", settings.Self, settings.Gateways)
	case len(settings.Classes) == 0:
		return settingsErrorf("classes", "none")
	case len(settings.Plans) == 0 || len(settings.Classes)+len(settings.Plans) > maxSubjects:
		return settingsErrorf("plans", "%d, at least 1 and with the classes at most %d wanted",
			len(settings.Plans), maxSubjects)
	}
	for i, c := range settings.Classes {
		if c.LatencyObjective <= 0 {
			field := fmt.Sprintf("classes[%d].aim", i) // as the settings file names it
			return settingsErrorf(field, "%d, above 0 wanted", c.LatencyObjective)
		}
	}
	for i, p := range settings.Plans {
		if p.Rate < 0 || p.CeilingRate < 0 || p.Rate > 0 && p.Burst <= 0 {
			field := fmt.Sprintf("plans[%d]", i)
			return settingsErrorf(field, "rate %g with burst %g", p.Rate, p.Burst)
		}
	}
	return nil
}

// checksum returns a number that is the same for settings under which a snapshot is of use. Stored
// snapshots hold it: it must not change between builds.
func (settings *Settings) checksum() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %v %v %t %t",
		settings.Self, settings.Gateways, settings.Classes, settings.Plans,
		settings.Peers, settings.Counter)
	return h.Sum64()
}
