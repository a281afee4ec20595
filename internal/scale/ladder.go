package scale

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Ladder is a number of plays that differ in one size, with everything off but the role that is
// measured.
type Ladder struct {
	Name  string
	Steps []Options
}

// Step is a ladder's play that was made.
type Step struct {
	Ladder string  `json:"ladder"`
	Result *Result `json:"result"`
}

// The ladders.
const (
	LadderBase           = "base"           // sessions, leases and the log alone, by gateways
	LadderListServers    = "list-servers"   // the whole list, by servers
	LadderListGateways   = "list-gateways"  // the whole list, by gateways
	LadderDeltaServers   = "delta-servers"  // the list by what changed, by servers
	LadderDeltaGateways  = "delta-gateways" // the same, by gateways
	LadderDeltaChanges   = "delta-changes"  // the same, by changes a second
	LadderPlansTenants   = "plans-tenants"  // versions of the plans, by tenants
	LadderPermitGateways = "permits"        // permits and records, by gateways, without a new version
	LadderAllocation     = "allocation"     // quotas, by tenants and gateways together
	LadderMetering       = "metering"       // counted use, by gateways
)

const (
	stepFor            = 10 * time.Second
	stepReplacements   = 0.5
	stepGateways       = 40
	stepServers        = 730
	stepVersions       = 2
	tenantsPerGateway  = DesignTenants / DesignGateways
	stepTenantsUsually = 600
)

// Ladders are all of them.
func Ladders() []Ladder {
	sizes := []int{40, 80, 160}
	usual := Options{Gateways: stepGateways, Servers: 10, Tenants: stepTenantsUsually,
		Control: DesignControl, For: stepFor, Path: PathWholeList}
	ladder := func(name string, values []int, change func(o *Options, value int)) Ladder {
		l := Ladder{Name: name}
		for _, value := range values {
			o := usual
			change(&o, value)
			l.Steps = append(l.Steps, o)
		}
		return l
	}
	list := func(o *Options) { o.Parts.List, o.ReplacementsPerSecond = true, stepReplacements }
	delta := func(o *Options) { list(o); o.Path = PathDelta }
	return []Ladder{
		ladder(LadderBase, sizes, func(o *Options, n int) { o.Gateways = n }),
		ladder(LadderListServers, []int{730, 2000, 7300}, func(o *Options,
			n int) {
			list(o)
			o.Servers = n
		}),
		ladder(LadderListGateways, sizes, func(o *Options, n int) {
			list(o)
			o.Servers,
				o.Gateways = stepServers, n
		}),
		ladder(LadderDeltaServers, []int{730, 2000, 7300}, func(o *Options,
			n int) {
			delta(o)
			o.Servers = n
		}),
		ladder(LadderDeltaGateways, sizes, func(o *Options, n int) {
			delta(o)
			o.Servers,
				o.Gateways = stepServers, n
		}),
		ladder(LadderDeltaChanges, []int{1, 2, 4}, func(o *Options, n int) {
			delta(o)
			o.Servers, o.ReplacementsPerSecond = stepServers, stepReplacements*float64(n)
		}),
		ladder(LadderPlansTenants, []int{6000, 20000, 60000}, func(o *Options,
			n int) {
			o.Parts.Configuration, o.Versions, o.Tenants = true, stepVersions, n
		}),
		ladder(LadderPermitGateways, sizes, func(o *Options, n int) {
			o.Parts.Configuration, o.Parts.Metering, o.Gateways, o.Tenants = true, true, n, n*tenantsPerGateway
		}),
		ladder(LadderAllocation, sizes, func(o *Options, n int) {
			o.Parts.Allocation, o.Gateways,
				o.Tenants = true, n, n*tenantsPerGateway
		}),
		ladder(LadderMetering, sizes, func(o *Options, n int) {
			o.Parts.Metering, o.Gateways,
				o.Tenants = true, n, n*tenantsPerGateway
		}),
	}
}

// RunLadder plays a ladder's steps one after another.
func RunLadder(ctx context.Context, name string, seed uint64, bin string, self []string,
	log io.Writer) (steps []Step, err error) {
	for _, l := range Ladders() {
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
			steps = append(steps, Step{Ladder: name, Result: r})
		}
		return steps, nil
	}
	return nil, fmt.Errorf("--ladder %q: no such ladder", name)
}
