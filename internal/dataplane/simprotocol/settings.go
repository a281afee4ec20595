package simprotocol

import (
	"fmt"
	"strconv"
	"strings"

	"mothcleat/internal/dataplane/policy"
)

// Host is what the settings tell the host of a gateway on real sockets; the
// simulator does these things itself.
type Host struct {
	Classes, Plans []string      // their names, in the order of the settings
	Limits         []policy.Time // of each class: how long a client waits at the most; 0: not told
	MaxUnits       float64       // that a request may take; 0: not told
	Zones          []string      // names, by number
	Report         []string      // the names of the values in a load report
	ReportVia      string        // "piggyback", "pull" or "silent"
	MaxOpen        int           // requests open at once
	DialTimeout    policy.Time
	IdleClose      policy.Time // backends close an idle connection by then
	CounterTimeout policy.Time
	DrainGrace     policy.Time // after a drain was told, in which sends there must stop
}

// draft is a settings text being read.
type draft struct {
	policy.Settings
	host Host
}

type setter func(d *draft, value string) error

func whole[T ~int | ~int64](field func(*draft) *T) setter {
	return func(d *draft, v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err == nil {
			*field(d) = T(n)
		}
		return err
	}
}

func number(field func(*draft) *float64) setter {
	return func(d *draft, v string) error {
		f, err := strconv.ParseFloat(v, 64)
		if err == nil {
			*field(d) = f
		}
		return err
	}
}

func flag(field func(*draft) *bool) setter {
	return func(d *draft, v string) error {
		b, err := strconv.ParseBool(v)
		if err == nil {
			*field(d) = b
		}
		return err
	}
}

func text(field func(*draft) *string) setter {
	return func(d *draft, v string) error {
		*field(d) = v
		return nil
	}
}

func word[V any](table map[string]V, field func(*draft) *V) setter {
	return func(d *draft, v string) error {
		x, ok := table[v]
		if !ok {
			return fmt.Errorf("unknown word")
		}
		*field(d) = x
		return nil
	}
}

// keys are the plain settings.
var keys = map[string]setter{
	"self-index":                     whole(func(d *draft) *int { return &d.Self }),
	"balancers":                      whole(func(d *draft) *int { return &d.Gateways }),
	"az":                             whole(func(d *draft) *int { return &d.Zone }),
	"granularity-us":                 whole(func(d *draft) *policy.Time { return &d.Tick }),
	"ceilings.peers":                 flag(func(d *draft) *bool { return &d.Peers }),
	"ceilings.probes":                flag(func(d *draft) *bool { return &d.Probes }),
	"ceilings.second-copies":         flag(func(d *draft) *bool { return &d.Hedging }),
	"ceilings.retry-after":           flag(func(d *draft) *bool { return &d.RetryAfter }),
	"ceilings.max-attempts":          whole(func(d *draft) *int { return &d.MaxAttempts }),
	"ceilings.max-retry-after-us":    whole(func(d *draft) *policy.Time { return &d.MaxRetryAfter }),
	"ceilings.max-open":              whole(func(d *draft) *int { return &d.host.MaxOpen }),
	"ceilings.dial-timeout-us":       whole(func(d *draft) *policy.Time { return &d.host.DialTimeout }),
	"ceilings.idle-close-us":         whole(func(d *draft) *policy.Time { return &d.host.IdleClose }),
	"family-info.counter-timeout-us": whole(func(d *draft) *policy.Time { return &d.host.CounterTimeout }),
	"localities": func(d *draft, v string) error {
		d.host.Zones = strings.Split(v, ",")
		return nil
	},
	"report.via":                  text(func(d *draft) *string { return &d.host.ReportVia }),
	"family-info.counter":         flag(func(d *draft) *bool { return &d.Counter }),
	"family-info.settles":         flag(func(d *draft) *bool { return &d.SettlesUnits }),
	"family-info.meter-period-us": whole(func(d *draft) *policy.Time { return &d.MeterPeriod }),
	"family-info.max-units":       number(func(d *draft) *float64 { return &d.host.MaxUnits }),
	"family-info.mail-per-s":      number(func(d *draft) *float64 { return &d.MaxPeerMessagesPerSecond }),
	"guarantees.ask-within-us":    whole(func(d *draft) *policy.Time { return &d.PollInterval }),
	"guarantees.drain-grace-us":   whole(func(d *draft) *policy.Time { return &d.host.DrainGrace }),
	"guarantees.cold-from":        number(func(d *draft) *float64 { return &d.SlowStartMinFraction }),
	"guarantees.cold-us":          whole(func(d *draft) *policy.Time { return &d.SlowStartDuration }),
	"guarantees.tip-after-us":     whole(func(d *draft) *policy.Time { return &d.SlowStartOverloadWindow }),
	"prices.cross-zone":           number(func(d *draft) *float64 { return &d.CrossZonePrice }),
	"membership-mode": word(map[string]bool{"pushed": false, "on_request": true},
		func(d *draft) *bool { return &d.PollEndpoints }),
	"weights": word(map[string]bool{"silent": false, "nominal": true, "rough": true, "live": true},
		func(d *draft) *bool { return &d.ComparableWeights }),
	"report.names": func(d *draft, v string) error {
		d.Report, d.host.Report = nil, strings.Split(v, ",")
		for _, name := range d.host.Report {
			d.Report = append(d.Report, metrics[name])
		}
		return nil
	},
}

func last[T any](items []T) *T { return &items[len(items)-1] }

func lastClass(d *draft) *policy.Class { return last(d.Classes) }
func lastPlan(d *draft) *policy.Plan   { return last(d.Plans) }

// classKeys and planKeys are the settings of an item of a list.
var classKeys = map[string]setter{
	"name":          text(func(d *draft) *string { return last(d.host.Classes) }),
	"promise-us":    whole(func(d *draft) *policy.Time { return &lastClass(d).LatencyObjective }),
	"hard-limit-us": whole(func(d *draft) *policy.Time { return last(d.host.Limits) }),
	"window-us":     whole(func(d *draft) *policy.Time { return &lastClass(d).DeduplicationWindow }),
	"worth":         number(func(d *draft) *float64 { return &lastClass(d).PriorityWeight }),
	"repeat":        word(effects, func(d *draft) *policy.Idempotency { return &lastClass(d).Idempotency }),
	"group":         word(groups, func(d *draft) *policy.DeduplicationScope { return &lastClass(d).DeduplicationScope }),
}

var planKeys = map[string]setter{
	"name":            text(func(d *draft) *string { return last(d.host.Plans) }),
	"rate":            number(func(d *draft) *float64 { return &lastPlan(d).Rate }),
	"burst":           number(func(d *draft) *float64 { return &lastPlan(d).Burst }),
	"never-over-rate": number(func(d *draft) *float64 { return &lastPlan(d).CeilingRate }),
	"ceiling-burst":   number(func(d *draft) *float64 { return &lastPlan(d).CeilingBurst }),
	"hard-slack":      number(func(d *draft) *float64 { return &lastPlan(d).CeilingSlack }),
	"max-out":         whole(func(d *draft) *int { return &lastPlan(d).OpenLimit }),
	"value-factor":    number(func(d *draft) *float64 { return &lastPlan(d).Price }),
	"beyond-earns":    number(func(d *draft) *float64 { return &lastPlan(d).BeyondEarns }),
	"beyond-costs":    number(func(d *draft) *float64 { return &lastPlan(d).BeyondCosts }),
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
func ParseJSON(raw []byte) (policy.Settings, Host, error) {
	values, err := flatten(raw)
	if err != nil {
		return policy.Settings{}, Host{}, err
	}
	d, err := parse(values)
	return d.Settings, d.host, err
}

func parse(values map[string]string) (*draft, error) {
	d := &draft{}
	if err := d.take(values, "", keys); err != nil {
		return d, err
	}
	err := d.list(values, classList, classKeys, func() {
		d.Classes, d.host.Classes = append(d.Classes, policy.Class{}), append(d.host.Classes, "")
		d.host.Limits = append(d.host.Limits, 0)
	})
	if err != nil {
		return d, err
	}
	err = d.list(values, planList, planKeys, func() {
		d.Plans, d.host.Plans = append(d.Plans, policy.Plan{Price: 1}), append(d.host.Plans, "")
	})
	return d, err
}

func (d *draft) take(values map[string]string, prefix string, table map[string]setter) error {
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

func (d *draft) list(values map[string]string, name string, table map[string]setter, add func()) error {
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
		if err := d.take(values, fmt.Sprintf("%s.%d.", name, i), table); err != nil {
			return err
		}
	}
	return nil
}
