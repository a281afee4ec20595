package simprotocol

import (
	"fmt"
	"strconv"
	"strings"

	"mothcleat/internal/dataplane/policy"
)

// HostSettings is what the settings tell the host of a gateway on real sockets; the
// simulator does these things itself.
type HostSettings struct {
	Classes, Plans     []string      // their names, in the order of the settings
	ClientTimeouts     []policy.Time // of each class: how long a client waits at the most; 0: not told
	MaxUnits           float64       // that a request may take; 0: not told
	Zones              []string      // names, by number
	Report             []string      // the names of the values in a load report
	ReportVia          string        // "piggyback", "pull" or "silent"
	MaxOpenRequests    int           // requests open at once
	DialTimeout        policy.Time
	BackendIdleTimeout policy.Time // backends close an idle connection by then
	CounterTimeout     policy.Time
	DrainGracePeriod   policy.Time // after a drain was told, in which sends there must stop
}

// parsedSettings is a settings text being read.
type parsedSettings struct {
	policy.Settings
	host HostSettings
}

type setter func(d *parsedSettings, value string) error

func integerSetting[T ~int | ~int64](field func(*parsedSettings) *T) setter {
	return func(d *parsedSettings, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err == nil {
			*field(d) = T(n)
		}
		return err
	}
}

func floatSetting(field func(*parsedSettings) *float64) setter {
	return func(d *parsedSettings, v string) error {
		f, err := strconv.ParseFloat(v, 64)
		if err == nil {
			*field(d) = f
		}
		return err
	}
}

func boolSetting(field func(*parsedSettings) *bool) setter {
	return func(d *parsedSettings, v string) error {
		b, err := strconv.ParseBool(v)
		if err == nil {
			*field(d) = b
		}
		return err
	}
}

func textSetting(field func(*parsedSettings) *string) setter {
	return func(d *parsedSettings, v string) error {
		*field(d) = v
		return nil
	}
}

func wordSetting[V any](table map[string]V, field func(*parsedSettings) *V) setter {
	return func(d *parsedSettings, v string) error {
		x, ok := table[v]
		if !ok {
			return fmt.Errorf("unknown word")
		}
		*field(d) = x
		return nil
	}
}

// topLevelSettings are the plain settings.
var topLevelSettings = map[string]setter{
	"self-index":                     integerSetting(func(d *parsedSettings) *int { return &d.Self }),
	"balancers":                      integerSetting(func(d *parsedSettings) *int { return &d.Gateways }),
	"az":                             integerSetting(func(d *parsedSettings) *int { return &d.Zone }),
	"granularity-us":                 integerSetting(func(d *parsedSettings) *policy.Time { return &d.Tick }),
	"ceilings.peers":                 boolSetting(func(d *parsedSettings) *bool { return &d.Peers }),
	"ceilings.probes":                boolSetting(func(d *parsedSettings) *bool { return &d.Probes }),
	"ceilings.second-copies":         boolSetting(func(d *parsedSettings) *bool { return &d.Hedging }),
	"ceilings.retry-after":           boolSetting(func(d *parsedSettings) *bool { return &d.RetryAfter }),
	"ceilings.max-attempts":          integerSetting(func(d *parsedSettings) *int { return &d.MaxAttempts }),
	"ceilings.max-retry-after-us":    integerSetting(func(d *parsedSettings) *policy.Time { return &d.MaxRetryAfter }),
	"ceilings.max-open":              integerSetting(func(d *parsedSettings) *int { return &d.host.MaxOpenRequests }),
	"ceilings.dial-timeout-us":       integerSetting(func(d *parsedSettings) *policy.Time { return &d.host.DialTimeout }),
	"ceilings.idle-close-us":         integerSetting(func(d *parsedSettings) *policy.Time { return &d.host.BackendIdleTimeout }),
	"family-info.counter-timeout-us": integerSetting(func(d *parsedSettings) *policy.Time { return &d.host.CounterTimeout }),
	"localities": func(d *parsedSettings, v string) error {
		d.host.Zones = strings.Split(v, ",")
		return nil
	},
	"report.via":                  textSetting(func(d *parsedSettings) *string { return &d.host.ReportVia }),
	"family-info.counter":         boolSetting(func(d *parsedSettings) *bool { return &d.Counter }),
	"family-info.settles":         boolSetting(func(d *parsedSettings) *bool { return &d.SettlesUnits }),
	"family-info.meter-period-us": integerSetting(func(d *parsedSettings) *policy.Time { return &d.MeterPeriod }),
	"family-info.max-units":       floatSetting(func(d *parsedSettings) *float64 { return &d.host.MaxUnits }),
	"family-info.mail-per-s":      floatSetting(func(d *parsedSettings) *float64 { return &d.MaxPeerMessagesPerSecond }),
	"guarantees.ask-within-us":    integerSetting(func(d *parsedSettings) *policy.Time { return &d.PollInterval }),
	"guarantees.drain-grace-us":   integerSetting(func(d *parsedSettings) *policy.Time { return &d.host.DrainGracePeriod }),
	"guarantees.cold-from":        floatSetting(func(d *parsedSettings) *float64 { return &d.SlowStartMinFraction }),
	"guarantees.cold-us":          integerSetting(func(d *parsedSettings) *policy.Time { return &d.SlowStartDuration }),
	"guarantees.tip-after-us":     integerSetting(func(d *parsedSettings) *policy.Time { return &d.SlowStartOverloadWindow }),
	"prices.cross-zone":           floatSetting(func(d *parsedSettings) *float64 { return &d.CrossZonePrice }),
	"membership-mode": wordSetting(map[string]bool{"pushed": false, "on_request": true},
		func(d *parsedSettings) *bool { return &d.PollEndpoints }),
	"weights": wordSetting(map[string]bool{"silent": false, "nominal": true, "rough": true, "live": true},
		func(d *parsedSettings) *bool { return &d.ComparableWeights }),
	"report.names": func(d *parsedSettings, v string) error {
		d.Report, d.host.Report = nil, strings.Split(v, ",")
		for _, name := range d.host.Report {
			d.Report = append(d.Report, metrics[name])
		}
		return nil
	},
}

func last[T any](items []T) *T { return &items[len(items)-1] }

func lastClass(d *parsedSettings) *policy.Class { return last(d.Classes) }
func lastPlan(d *parsedSettings) *policy.Plan   { return last(d.Plans) }

// classSettings and planKeys are the settings of an item of a list.
var classSettings = map[string]setter{
	"name":          textSetting(func(d *parsedSettings) *string { return last(d.host.Classes) }),
	"promise-us":    integerSetting(func(d *parsedSettings) *policy.Time { return &lastClass(d).LatencyObjective }),
	"hard-limit-us": integerSetting(func(d *parsedSettings) *policy.Time { return last(d.host.ClientTimeouts) }),
	"window-us":     integerSetting(func(d *parsedSettings) *policy.Time { return &lastClass(d).DeduplicationWindow }),
	"worth":         floatSetting(func(d *parsedSettings) *float64 { return &lastClass(d).PriorityWeight }),
	"repeat":        wordSetting(idempotencies, func(d *parsedSettings) *policy.Idempotency { return &lastClass(d).Idempotency }),
	"group":         wordSetting(deduplicationScopes, func(d *parsedSettings) *policy.DeduplicationScope { return &lastClass(d).DeduplicationScope }),
}

var planSettings = map[string]setter{
	"name":            textSetting(func(d *parsedSettings) *string { return last(d.host.Plans) }),
	"rate":            floatSetting(func(d *parsedSettings) *float64 { return &lastPlan(d).Rate }),
	"burst":           floatSetting(func(d *parsedSettings) *float64 { return &lastPlan(d).Burst }),
	"never-over-rate": floatSetting(func(d *parsedSettings) *float64 { return &lastPlan(d).CeilingRate }),
	"ceiling-burst":   floatSetting(func(d *parsedSettings) *float64 { return &lastPlan(d).CeilingBurst }),
	"hard-slack":      floatSetting(func(d *parsedSettings) *float64 { return &lastPlan(d).CeilingSlack }),
	"max-out":         integerSetting(func(d *parsedSettings) *int { return &lastPlan(d).OpenLimit }),
	"value-factor":    floatSetting(func(d *parsedSettings) *float64 { return &lastPlan(d).Price }),
	"beyond-earns":    floatSetting(func(d *parsedSettings) *float64 { return &lastPlan(d).BeyondEarns }),
	"beyond-costs":    floatSetting(func(d *parsedSettings) *float64 { return &lastPlan(d).BeyondCosts }),
}

const (
	classList = "request-classes"
	planList  = "tariffs"
)

// ParseSettings reads a settings text. Unknown keys are skipped; a value that
// can't be read is an error that names its key.
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

// ParseJSON reads the settings in the form of a gateway's configuration: the
// same names and units, as nested JSON.
func ParseJSON(raw []byte) (policy.Settings, HostSettings, error) {
	values, err := flatten(raw)
	if err != nil {
		return policy.Settings{}, HostSettings{}, err
	}
	d, err := parse(values)
	return d.Settings, d.host, err
}

func parse(values map[string]string) (*parsedSettings, error) {
	d := &parsedSettings{}
	if err := d.apply(values, "", topLevelSettings); err != nil {
		return d, err
	}
	err := d.applyList(values, classList, classSettings, func() {
		d.Classes, d.host.Classes = append(d.Classes, policy.Class{}), append(d.host.Classes, "")
		d.host.ClientTimeouts = append(d.host.ClientTimeouts, 0)
	})
	if err != nil {
		return d, err
	}
	err = d.applyList(values, planList, planSettings, func() {
		d.Plans, d.host.Plans = append(d.Plans, policy.Plan{Price: 1}), append(d.host.Plans, "")
	})
	return d, err
}

func (d *parsedSettings) apply(values map[string]string, prefix string, table map[string]setter) error {
	for key, set := range table {
		v, ok := values[prefix+key]
		if !ok {
			continue
		}
		if err := set(d, v); err != nil {
			return fmt.Errorf("setting %s: value %q: %w", prefix+key, v, err)
		}
	}
	return nil
}

func (d *parsedSettings) applyList(values map[string]string, name string, table map[string]setter, add func()) error {
	v, ok := values[name+".count"]
	if !ok {
		return fmt.Errorf("setting %s.count: missing", name)
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > len(values) {
		return fmt.Errorf("setting %s.count: value %q is no count of items", name, v)
	}
	for i := range n {
		add()
		if err := d.apply(values, fmt.Sprintf("%s.%d.", name, i), table); err != nil {
			return err
		}
	}
	return nil
}
