package scale

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Series is a number of runs that differ in one size, with all roles disabled but the measured one.
type Series struct {
	Name  string
	Steps []Options
}

// Step is a completed run of a series.
type Step struct {
	Series string  `json:"ladder"`
	Result *Result `json:"result"`
	// Why the step is only a trial that is excluded from slopes; "": it is no trial.
	Trial string `json:"trial,omitempty"`
}

// failed returns why a step is not a valid measurement of the cost of its size; "": it is valid.
// Changes that did not arrive make a step invalid, because they cost nothing.
func (s *Step) failed() string {
	r := s.Result
	switch {
	case s.Trial != "":
		return s.Trial
	case r.StartupMilliseconds < 0:
		return "not all gateways were current in time"
	case r.Diverged+r.LostChanges+r.LostVersions > 0:
		return fmt.Sprintf(
			"%d lists were not the register's in the end, "+
				"%d changes and %d versions did not arrive",
			r.Diverged,
			r.LostChanges,
			r.LostVersions,
		)
	case r.OwnerChanges > r.Options.Control: // each may have moved to its preferred owner
		return fmt.Sprintf("%d duties changed hands", r.OwnerChanges)
	}
	return ""
}

// The names of the series.
const (
	SeriesBase          = "base"           // sessions, leases and the log alone, by gateways
	SeriesListServers   = "list-servers"   // complete lists, by servers
	SeriesListGateways  = "list-gateways"  // complete lists, by gateways
	SeriesDeltaServers  = "delta-servers"  // incremental lists, by servers
	SeriesDeltaGateways = "delta-gateways" // incremental lists, by gateways
	SeriesDeltaChanges  = "delta-changes"  // incremental lists, by changes per second
	SeriesPlansTenants  = "plans-tenants"  // a first version of the plans, by tenants
	SeriesPlansDelta    = "plans-delta"    // further versions of the plans, by tenants
	SeriesLeaseGateways = "permits"        // permits and records without a new version, by gateways
	SeriesAllocation    = "allocation"     // quotas, by tenants and gateways together
	SeriesMetering      = "metering"       // usage metering, by gateways
)

const (
	stepDuration       = 10 * time.Second
	lowReplacements    = 0.2
	stepReplacements   = 0.5
	stepGateways       = 40
	stepServers        = 730
	stepVersions       = 2 // for the series in which each gateway already has a version
	tenantsPerGateway  = DesignTenants / DesignGateways
	defaultStepTenants = 600
	defaultStepServers = 10
)

// Sizes of the series.
var (
	gatewaySizes    = []int{40, 80, 160}
	allocationSizes = []int{
		20,
		40,
		80,
	} // of gateways; with more, roles lose their owners on eight cores
	serverSizes    = []int{730, 2000, 7300}
	wholeListSizes = []int{
		365,
		730,
		1460,
	} // of servers; with more, the complete list does not reach all gateways
	tenantSizes = []int{6000, 20000, 60000}
	changeSizes = []int{1, 2, 4} // times stepReplacements
)

// AllSeries returns all series.
func AllSeries() []Series {
	return []Series{
		newSeries(SeriesBase, gatewaySizes, setGateways),
		newSeries(SeriesListServers, wholeListSizes, enableList, setLowChangeRate, setServers),
		newSeries(SeriesListGateways, gatewaySizes, enableList, setLowChangeRate, setGateways),
		newSeries(SeriesDeltaServers, serverSizes, enableList, useDelta, setServers),
		newSeries(SeriesDeltaGateways, gatewaySizes, enableList, useDelta, setGateways),
		newSeries(SeriesDeltaChanges, changeSizes, enableList, useDelta, setChangeRate),
		newSeries(SeriesPlansTenants, tenantSizes, enableConfiguration, setTenants),
		newSeries(SeriesPlansDelta, tenantSizes, enableConfiguration, enableBaseVersion,
			setTenants),
		newSeries(
			SeriesLeaseGateways,
			gatewaySizes,
			enableVersionLeases,
			setGateways,
			setTenantsByGateways,
		),
		newSeries(SeriesAllocation, allocationSizes, enableAllocation, setGateways,
			setTenantsByGateways),
		newSeries(SeriesMetering, gatewaySizes, enableMetering, setGateways, setTenantsByGateways),
	}
}

// setting sets the options of a step of a size.
type setting func(o *Options, size int)

// newSeries returns a series with a step for each size.
func newSeries(name string, sizes []int, settings ...setting) Series {
	l := Series{Name: name}
	for _, size := range sizes {
		o := Options{
			Gateways: stepGateways,
			Servers:  defaultStepServers,
			Tenants:  defaultStepTenants,
			Control:  DesignControl,
			For:      stepDuration,
			Path:     PathCompleteList,
		}
		for _, set := range settings {
			set(&o, size)
		}
		l.Steps = append(l.Steps, o)
	}
	return l
}

func setGateways(o *Options, size int) { o.Gateways = size }
func setServers(o *Options, size int)  { o.Servers = size }
func setTenants(o *Options, size int)  { o.Tenants = size }

func setChangeRate(o *Options, size int) {
	o.ReplacementsPerSecond = stepReplacements * float64(size)
}

func setTenantsByGateways(o *Options, _ int) { o.Tenants = o.Gateways * tenantsPerGateway }

func enableList(o *Options, _ int) {
	o.Parts.List = true
	o.Servers = stepServers
	o.ReplacementsPerSecond = stepReplacements
}

// setLowChangeRate makes changes rare enough that gateways fetch the list for each separately.
func setLowChangeRate(o *Options, _ int) { o.ReplacementsPerSecond = lowReplacements }

func useDelta(o *Options, _ int) { o.Path = PathDelta }

func enableConfiguration(o *Options, _ int) {
	o.Parts.Configuration = true
	o.Versions = 1
}

// enableBaseVersion brings a version into force at all gateways before the run.
func enableBaseVersion(o *Options, _ int) {
	o.BaseVersion = true
	o.Versions = stepVersions
}

// enableVersionLeases enables permits and records of requests, without a new version.
func enableVersionLeases(o *Options, _ int) {
	o.Parts.Configuration = true
	o.Parts.Metering = true
}

func enableAllocation(o *Options, _ int) { o.Parts.Allocation = true }

func enableMetering(o *Options, _ int) { o.Parts.Metering = true }

// RunSeries runs the steps of a series one after another. It returns an error for an unknown name.
func RunSeries(ctx context.Context, name string, seed uint64, bin string, self []string,
	log io.Writer) (steps []Step, err error) {
	for _, l := range AllSeries() {
		if l.Name != name {
			continue
		}
		for _, o := range l.Steps {
			o.Seed, o.Bin, o.Self = seed, bin, self
			fmt.Fprintf(log, "series %s: %d gateways, %d servers, %d tenants\n", name, o.Gateways,
				o.Servers, o.Tenants)
			r, err := Run(ctx, o, log)
			if err != nil {
				return steps, err
			}
			steps = append(steps, Step{Series: name, Result: r})
		}
		return steps, nil
	}
	return nil, fmt.Errorf("--ladder %q: no such series", name)
}
