package policy

import (
	"fmt"
	"hash/fnv"
)

// Settings configure a Balancer.
type Settings struct {
	Self              int // number of this gateway, from 0
	Gateways          int
	Zone              int
	Classes           []Class
	Plans             []Plan
	LoadReportMetrics []Metric // in the order of the values in a load report

	PollEndpoints bool // discovery does not push changes
	PollInterval  Time

	Peers              bool // gateways may send messages to each other
	Probes             bool // health checks may be sent to backends
	Hedging            bool // a further attempt may be made while one is in flight
	RetryAfter         bool // rejections may advise when to retry
	Counter            bool // there is a shared counter
	ReportsActualUnits bool // answers report how many units a request consumed

	MeterPeriod              Time // 0: answers do not report the use through all gateways
	MaxPeerMessagesPerSecond float64
	MaxAttempts              int  // per request
	MaxRetryAfter            Time // largest retry advice
	Tick                     Time // minimum time between two events

	SlowStartMinFraction    float64 // of its capacity, that a backend has when it starts
	SlowStartDuration       Time    // until it has its full capacity; 0: no slow start
	SlowStartOverloadWindow Time    // over which sends to a backend in slow start are counted

	CrossZonePrice    float64
	ComparableWeights bool // the weights in endpoint lists are comparable capacities
}

// Class is a class of requests. The settings checksum in snapshots depends on the order of its
// fields, and on their types having no String methods.
type Class struct {
	LatencyObjective    Time // an answer within it earns the full value
	Idempotency         Idempotency
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow Time // in which the backends of a scope drop repetitions
	PriorityWeight      float64
}

// Idempotency tells whether and where a request that may have been executed may be sent again.
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

// Plan is what a customer has bought. The settings checksum in snapshots depends on the order of
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
	OverQuotaCost    float64 // what a unit beyond the quota costs
}

// Metric is a load metric that backends report.
type Metric uint8

// The metrics. Both BusyRequests and QueuedRequests are taken as the length of a backend's queue.
const (
	Unused Metric = iota
	BusyRequests
	QueuedRequests
)

// maxSubjects is the largest number of classes and plans together that fault reports can name.
const maxSubjects = 255

// SettingsError reports an invalid field of the settings.
type SettingsError struct {
	Field   string
	Problem string
}

// Error names the field and the problem.
func (e *SettingsError) Error() string { return "settings: " + e.Field + ": " + e.Problem }

func settingsErrorf(field, format string, args ...any) error {
	return &SettingsError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

// validate returns an error for the first invalid field.
func (settings *Settings) validate() error {
	switch {
	case settings.Gateways < 1:
		return settingsErrorf("gateways", "is %d, must be at least 1", settings.Gateways)
	case settings.Self < 0 || settings.Self >= settings.Gateways:
		return settingsErrorf("self", "is %d, must be at least 0 and below %d",
			settings.Self, settings.Gateways)
	case len(settings.Classes) == 0:
		return settingsErrorf("classes", "there are 0, must be at least 1")
	case len(settings.Plans) == 0 || len(settings.Classes)+len(settings.Plans) > maxSubjects:
		return settingsErrorf("plans",
			"there are %d, must be at least 1 and with the classes at most %d",
			len(settings.Plans), maxSubjects)
	}
	for i, c := range settings.Classes {
		if c.LatencyObjective <= 0 {
			field := fmt.Sprintf("classes[%d].aim", i) // as the settings file names it
			return settingsErrorf(field, "is %d, must be above 0", c.LatencyObjective)
		}
	}
	for i, p := range settings.Plans {
		if p.Rate < 0 || p.CeilingRate < 0 || p.Rate > 0 && p.Burst <= 0 {
			field := fmt.Sprintf("plans[%d]", i)
			return settingsErrorf(field,
				"rate %g with burst %g: rates must be at least 0, and a rate needs a burst above 0",
				p.Rate, p.Burst)
		}
	}
	return nil
}

// checksum returns a number that is equal for settings under which the same snapshot can be
// restored. Stored snapshots contain it, so it must not change between builds.
func (settings *Settings) checksum() uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %v %v %t %t",
		settings.Self, settings.Gateways, settings.Classes, settings.Plans,
		settings.Peers, settings.Counter)
	return h.Sum64()
}
