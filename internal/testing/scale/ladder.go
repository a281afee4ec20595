package scale

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Ladder is a number of plays that differ in one size, with everything off but the role that is
// measured.
type Series struct {
	Name  string
	Steps []Options
}

// Step is a ladder's play that was made.
type Step struct {
	Series string  `json:"ladder"`
	Result *Result `json:"result"`
	Trial  string  `json:"trial,omitempty"` // why it is kept as a trial only, and in no slope; "": it is none
}

// failed tells why a step is no measure of what its size takes; "": it is one. What did not arrive
// costs nothing.
func (s *Step) failed() string {
	r := s.Result
	switch {
	case s.Trial != "":
		return s.Trial
	case r.StartupMilliseconds < 0:
		return "not all gateways were current in time"
	case r.Diverged+r.LostChanges+r.LostVersions > 0:
		return fmt.Sprintf(
			"%d lists were not the register's in the end, %d changes and %d versions did not arrive",
			r.Diverged,
			r.LostChanges,
			r.LostVersions,
		)
	case r.OwnerChanges > r.Options.Control: // each may have been handed to where it belongs
		return fmt.Sprintf("%d duties changed hands", r.OwnerChanges)
	}
	return ""
}

// The ladders.
const (
	SeriesBase          = "base"           // sessions, leases and the log alone, by gateways
	SeriesListServers   = "list-servers"   // the whole list, by servers
	SeriesListGateways  = "list-gateways"  // the whole list, by gateways
	SeriesDeltaServers  = "delta-servers"  // the list by what changed, by servers
	SeriesDeltaGateways = "delta-gateways" // the same, by gateways
	SeriesDeltaChanges  = "delta-changes"  // the same, by changes a second
	SeriesPlansTenants  = "plans-tenants"  // a version of the plans from nothing, by tenants
	SeriesPlansDelta    = "plans-delta"    // versions of the plans where each gateway has the one before, by tenants
	SeriesLeaseGateways = "permits"        // permits and records, by gateways, without a new version
	SeriesAllocation    = "allocation"     // quotas, by tenants and gateways together
	SeriesMetering      = "metering"       // counted use, by gateways
)

const (
	stepDuration       = 10 * time.Second
	lowReplacements    = 0.2
	stepReplacements   = 0.5
	stepGateways       = 40
	stepServers        = 730
	stepVersions       = 2 // where each gateway has one before
	tenantsPerGateway  = DesignTenants / DesignGateways
	defaultStepTenants = 600
	defaultStepServers = 10
)

// Sizes of the ladders.
var (
	gatewaySizes    = []int{40, 80, 160}
	allocationSizes = []int{
		20,
		40,
		80,
	} // of gateways: more than these lose their owners on eight cores
	serverSizes    = []int{730, 2000, 7300}
	wholeListSizes = []int{
		365,
		730,
		1460,
	} // of servers: with more the whole list does not come to all
	tenantSizes = []int{6000, 20000, 60000}
	changeSizes = []int{1, 2, 4} // times stepReplacements
)

// Ladders are all of them.
func AllSeries() []Series {
	return []Series{
		newSeries(SeriesBase, gatewaySizes, setGateways),
		newSeries(SeriesListServers, wholeListSizes, enableList, setLowChangeRate, setServers),
		newSeries(SeriesListGateways, gatewaySizes, enableList, setLowChangeRate, setGateways),
		newSeries(SeriesDeltaServers, serverSizes, enableList, useDelta, setServers),
		newSeries(SeriesDeltaGateways, gatewaySizes, enableList, useDelta, setGateways),
		newSeries(SeriesDeltaChanges, changeSizes, enableList, useDelta, setChangeRate),
		newSeries(SeriesPlansTenants, tenantSizes, enableConfiguration, setTenants),
		newSeries(SeriesPlansDelta, tenantSizes, enableConfiguration, enableBaseVersion, setTenants),
		newSeries(
			SeriesLeaseGateways,
			gatewaySizes,
			enableVersionLeases,
			setGateways,
			setTenantsByGateways,
		),
		newSeries(SeriesAllocation, allocationSizes, enableAllocation, setGateways, setTenantsByGateways),
		newSeries(SeriesMetering, gatewaySizes, enableMetering, setGateways, setTenantsByGateways),
	}
}

// setting sets up a step of a size.
type setting func(o *Options, size int)

// newLadder makes a ladder with a step for each size.
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

// seldom has changes come one by one, so that each is fetched by itself.
func setLowChangeRate(o *Options, _ int) { o.ReplacementsPerSecond = lowReplacements }

func useDelta(o *Options, _ int) { o.Path = PathDelta }

func enableConfiguration(o *Options, _ int) {
	o.Parts.Configuration = true
	o.Versions = 1
}

// baseVersionOn has all gateways have a version before.
func enableBaseVersion(o *Options, _ int) {
	o.BaseVersion = true
	o.Versions = stepVersions
}

// versionLeasesOn has requests recorded, and no new version.
func enableVersionLeases(o *Options, _ int) {
	o.Parts.Configuration = true
	o.Parts.Metering = true
}

func enableAllocation(o *Options, _ int) { o.Parts.Allocation = true }

func enableMetering(o *Options, _ int) { o.Parts.Metering = true }

// RunLadder plays a ladder's steps one after another.
func RunSeries(ctx context.Context, name string, seed uint64, bin string, self []string,
	log io.Writer) (steps []Step, err error) {
	for _, l := range AllSeries() {
		if l.Name != name {
			continue
		}
		for _, o := range l.Steps {
			o.Seed, o.Bin, o.Self = seed, bin, self
			fmt.Fprintf(log, "ladder %s: %d gateways, %d servers, %d tenants\n", name, o.Gateways,
				o.Servers, o.Tenants)
			r, err := Run(ctx, o, log)
			if err != nil {
				return steps, err
			}
			steps = append(steps, Step{Series: name, Result: r})
		}
		return steps, nil
	}
	return nil, fmt.Errorf("--ladder %q: no such ladder", name)
}
