package simprotocol

import (
	"strings"

	"mothcleat/internal/dataplane/policy"
)

// HostSettings are the settings for the host of a gateway on real sockets. In the simulator they
// apply to the simulator itself.
type HostSettings struct {
	Classes            []string      // names, in the order of the policy's settings
	Plans              []string      // names, in the order of the policy's settings
	ClientTimeouts     []policy.Time // by class, how long a client waits at most; 0: not specified
	MaxUnits           float64       // of a request; 0: not specified
	Zones              []string      // names, by index
	Report             []string      // the names of the values in a load report
	ReportVia          string        // "piggyback", "pull" or "silent"
	MaxOpenRequests    int
	DialTimeout        policy.Time
	BackendIdleTimeout policy.Time // after which backends close an idle connection
	CounterTimeout     policy.Time
	DrainGracePeriod   policy.Time // time from the notice of a drain until sends must have stopped
}

// draft holds settings while they are parsed.
type draft struct {
	policy.Settings
	host HostSettings
}

// The names of the lists of classes and plans.
const (
	classList = "request-classes"
	planList  = "tariffs"
)

// ParseSettings reads settings as the simulator sends them: lines of paths and values. Unknown
// paths are ignored. The error is a *SettingError.
func ParseSettings(text []byte) (policy.Settings, error) {
	values := map[string]string{}
	for line := range strings.SplitSeq(string(text), "\n") {
		key, value, ok := strings.Cut(strings.TrimSuffix(line, "\r"), "=")
		if ok {
			values[key] = value
		}
	}
	d, err := parse(values)
	return d.Settings, err
}

// ParseJSON reads settings in the form of a gateway's configuration: nested JSON with the same
// names and units. The error is a *SettingError, or a JSON error if raw is not valid JSON.
func ParseJSON(raw []byte) (policy.Settings, HostSettings, error) {
	values, err := flatten(raw)
	if err != nil {
		return policy.Settings{}, HostSettings{}, err
	}
	d, err := parse(values)
	return d.Settings, d.host, err
}

func parse(values map[string]string) (*draft, error) {
	d := &draft{}
	if err := d.apply(values, "", topLevelSettings); err != nil {
		return d, err
	}
	if err := d.applyList(values, classList, classSettings, d.addClass); err != nil {
		return d, err
	}
	return d, d.applyList(values, planList, planSettings, d.addPlan)
}

func (d *draft) addClass() {
	d.Classes = append(d.Classes, policy.Class{})
	d.host.Classes = append(d.host.Classes, "")
	d.host.ClientTimeouts = append(d.host.ClientTimeouts, 0)
}

func (d *draft) addPlan() {
	d.Plans = append(d.Plans, policy.Plan{Price: 1})
	d.host.Plans = append(d.host.Plans, "")
}

func last[T any](items []T) *T { return &items[len(items)-1] }

func (d *draft) class() *policy.Class { return last(d.Classes) }
func (d *draft) plan() *policy.Plan   { return last(d.Plans) }

// setReport sets the names of the values in a load report and the metrics that decisions use.
func setReport(d *draft, value string) error {
	d.LoadReportMetrics = nil
	d.host.Report = strings.Split(value, ",")
	for _, name := range d.host.Report {
		d.LoadReportMetrics = append(d.LoadReportMetrics, metrics[name])
	}
	return nil
}

// topLevelSettings are the settings outside lists.
var topLevelSettings = map[string]setter{
	"self-index":     intSetting(func(d *draft) *int { return &d.Self }),
	"balancers":      intSetting(func(d *draft) *int { return &d.Gateways }),
	"az":             intSetting(func(d *draft) *int { return &d.Zone }),
	"granularity-us": intSetting(func(d *draft) *policy.Time { return &d.Tick }),
	"localities":     listSetting(func(d *draft) *[]string { return &d.host.Zones }),
	"report.via":     textSetting(func(d *draft) *string { return &d.host.ReportVia }),
	"report.names":   setReport,
	"membership-mode": wordSetting(membershipModes,
		func(d *draft) *bool { return &d.PollEndpoints }),
	"weights": wordSetting(weightKinds, func(d *draft) *bool { return &d.ComparableWeights }),

	"ceilings.peers":         boolSetting(func(d *draft) *bool { return &d.Peers }),
	"ceilings.probes":        boolSetting(func(d *draft) *bool { return &d.Probes }),
	"ceilings.second-copies": boolSetting(func(d *draft) *bool { return &d.Hedging }),
	"ceilings.retry-after":   boolSetting(func(d *draft) *bool { return &d.RetryAfter }),
	"ceilings.max-attempts":  intSetting(func(d *draft) *int { return &d.MaxAttempts }),
	"ceilings.max-retry-after-us": intSetting(
		func(d *draft) *policy.Time { return &d.MaxRetryAfter }),
	"ceilings.max-open": intSetting(func(d *draft) *int { return &d.host.MaxOpenRequests }),
	"ceilings.dial-timeout-us": intSetting(
		func(d *draft) *policy.Time { return &d.host.DialTimeout }),
	"ceilings.idle-close-us": intSetting(
		func(d *draft) *policy.Time { return &d.host.BackendIdleTimeout }),

	"family-info.counter": boolSetting(func(d *draft) *bool { return &d.Counter }),
	"family-info.counter-timeout-us": intSetting(
		func(d *draft) *policy.Time { return &d.host.CounterTimeout }),
	"family-info.settles": boolSetting(func(d *draft) *bool { return &d.ReportsActualUnits }),
	"family-info.meter-period-us": intSetting(
		func(d *draft) *policy.Time { return &d.MeterPeriod }),
	"family-info.max-units": floatSetting(func(d *draft) *float64 { return &d.host.MaxUnits }),
	"family-info.mail-per-s": floatSetting(
		func(d *draft) *float64 { return &d.MaxPeerMessagesPerSecond }),

	"guarantees.ask-within-us": intSetting(func(d *draft) *policy.Time { return &d.PollInterval }),
	"guarantees.drain-grace-us": intSetting(
		func(d *draft) *policy.Time { return &d.host.DrainGracePeriod }),
	"guarantees.cold-from": floatSetting(
		func(d *draft) *float64 { return &d.SlowStartMinFraction }),
	"guarantees.cold-us": intSetting(
		func(d *draft) *policy.Time { return &d.SlowStartDuration }),
	"guarantees.tip-after-us": intSetting(
		func(d *draft) *policy.Time { return &d.SlowStartOverloadWindow }),
	"prices.cross-zone": floatSetting(func(d *draft) *float64 { return &d.CrossZonePrice }),
}

// classSettings are the settings of the class that was added last.
var classSettings = map[string]setter{
	"name":          textSetting(func(d *draft) *string { return last(d.host.Classes) }),
	"promise-us":    intSetting(func(d *draft) *policy.Time { return &d.class().LatencyObjective }),
	"hard-limit-us": intSetting(func(d *draft) *policy.Time { return last(d.host.ClientTimeouts) }),
	"window-us": intSetting(
		func(d *draft) *policy.Time { return &d.class().DeduplicationWindow }),
	"worth": floatSetting(func(d *draft) *float64 { return &d.class().PriorityWeight }),
	"repeat": wordSetting(idempotencies,
		func(d *draft) *policy.Idempotency { return &d.class().Idempotency }),
	"group": wordSetting(deduplicationScopes,
		func(d *draft) *policy.DeduplicationScope { return &d.class().DeduplicationScope }),
}

// planSettings are the settings of the plan that was added last.
var planSettings = map[string]setter{
	"name":            textSetting(func(d *draft) *string { return last(d.host.Plans) }),
	"rate":            floatSetting(func(d *draft) *float64 { return &d.plan().Rate }),
	"burst":           floatSetting(func(d *draft) *float64 { return &d.plan().Burst }),
	"never-over-rate": floatSetting(func(d *draft) *float64 { return &d.plan().CeilingRate }),
	"ceiling-burst":   floatSetting(func(d *draft) *float64 { return &d.plan().CeilingBurst }),
	"hard-slack":      floatSetting(func(d *draft) *float64 { return &d.plan().CeilingSlack }),
	"max-out":         intSetting(func(d *draft) *int { return &d.plan().ConcurrencyLimit }),
	"value-factor":    floatSetting(func(d *draft) *float64 { return &d.plan().Price }),
	"beyond-earns":    floatSetting(func(d *draft) *float64 { return &d.plan().OverQuotaRevenue }),
	"beyond-costs":    floatSetting(func(d *draft) *float64 { return &d.plan().OverQuotaCost }),
}
