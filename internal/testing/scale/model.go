package scale

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Names of the slopes. The cost of a role is measured with the other roles disabled; the cost of
// sessions, leases and the log alone is subtracted.
const (
	SlopeBaseCores          = "gateway: sessions alone, processor"
	SlopeBaseMemory         = "gateway: sessions alone, memory"
	SlopeBaseControl        = "control machines: sessions alone, processor"
	SlopeControlMemory      = "control machine: sessions alone, memory"
	SlopeMembershipBytes    = "probes and gossip: bytes"
	SlopeMembershipMessages = "probes and gossip: messages"
	SlopeElectionBytes      = "leader election and log: bytes"
	SlopeElectionMessages   = "leader election and log: messages"

	SlopeCompleteListBytes   = "whole list: bytes a change"
	SlopeCompleteListCores   = "whole list: processor of a gateway a change"
	SlopeCompleteListControl = "whole list: processor of control machines a change and gateway"
	SlopeCompleteListMemory  = "whole list: memory of a gateway"

	SlopeDeltaBytes        = "incremental list: bytes"
	SlopeDeltaMessages     = "incremental list: messages"
	SlopeDeltaCores        = "incremental list: processor of a gateway"
	SlopeDeltaControl      = "incremental list: processor of control machines a change, by gateways"
	SlopeDeltaRegister     = "incremental list: processor of control machines a change, by servers"
	SlopeDeltaMemory       = "incremental list: memory of a gateway"
	SlopeDeltaChangeBytes  = "incremental list: bytes a change, by servers"
	SlopeContentBytes      = "configuration: bytes of a whole version"
	SlopeContentCores      = "configuration: processor of a gateway a whole version"
	SlopeContentControl    = "configuration: processor of control machines a whole version"
	SlopeVersionBytes      = "configuration: bytes a version"
	SlopeVersionCores      = "configuration: processor of a gateway a version"
	SlopeVersionControl    = "configuration: processor of control machines a version"
	SlopeVersionMemory     = "configuration: memory of a gateway"
	SlopeLeaseBytes        = "configuration: bytes of permits"
	SlopeLeaseMessages     = "configuration: messages of permits"
	SlopeLeaseControl      = "configuration: processor of control machines for permits and records"
	SlopeAuditBytes        = "audit: bytes"
	SlopeAuditMessages     = "audit: messages"
	SlopeAllocationBytes   = "quota allocation: bytes"
	SlopeAllocationMessage = "quota allocation: messages"
	SlopeAllocationCores   = "quota allocation: processor of a gateway"
	SlopeAllocationControl = "quota allocation: processor of control machines"
	SlopeMeteringBytes     = "metering: bytes"
	SlopeMeteringMessages  = "metering: messages"
	SlopeMeteringCores     = "metering: processor of a gateway"
	SlopeMeteringControl   = "metering: processor of control machines"
)

// quantity is a quantity y that is read from the steps of a series, and the size x it depends on.
type quantity struct {
	name, unit, dependsOn, series string
	x, y                          func(r *Result) float64
}

// The sizes that quantities depend on, and the units of quantities.
const (
	byGateways  = "gateways"
	byServers   = "servers"
	byTenants   = "tenants"
	byChanges   = "changes a second"
	byQuotas    = "gateways, with 96 tenants each"
	unitBytes   = "B/s"
	unitCount   = "1/s"
	unitCores   = "cores"
	unitSeconds = "s"
	unitMB      = "MB"
	unitB       = "B"
)

func xGateways(r *Result) float64 { return float64(r.Options.Gateways) }
func xServers(r *Result) float64  { return float64(r.Options.Servers) }
func xTenants(r *Result) float64  { return float64(r.Options.Tenants) }
func xChanges(r *Result) float64  { return float64(r.ListChanges) / r.Seconds }

func bytesOf(role Role) func(r *Result) float64 {
	return func(r *Result) float64 {
		return r.Roles[role].BytesInPerSecond + r.Roles[role].BytesOutPerSecond
	}
}

func messagesOf(role Role) func(r *Result) float64 {
	return func(r *Result) float64 { return r.Roles[role].MessagesPerSecond }
}

// Slopes are the fitted slopes, by name.
type Slopes map[string]*Slope

// at returns the value of a slope at a size, or NaN if the slope was not measured.
func (s Slopes) at(name string, x float64) float64 {
	if one := s[name]; one != nil {
		return one.At(x)
	}
	return math.NaN()
}

// baseQuantities returns the quantities of the base load, which is subtracted from the others.
func baseQuantities() []quantity {
	return []quantity{
		{SlopeBaseCores, unitCores, byGateways, SeriesBase, xGateways,
			func(r *Result) float64 { return r.Gateway.Cores }},
		{SlopeBaseMemory, unitMB, byGateways, SeriesBase, xGateways,
			func(r *Result) float64 { return r.Gateway.ResidentMB }},
		{SlopeBaseControl, unitCores, byGateways, SeriesBase, xGateways,
			func(r *Result) float64 { return r.ControlCores }},
		{SlopeControlMemory, unitMB, byGateways, SeriesBase, xGateways, controlMemory},
		{SlopeMembershipBytes, unitBytes, byGateways, SeriesBase, xGateways,
			bytesOf(RoleMembership)},
		{SlopeMembershipMessages, unitCount, byGateways, SeriesBase, xGateways,
			messagesOf(RoleMembership)},
		{SlopeElectionBytes, unitBytes, byGateways, SeriesBase, xGateways, bytesOf(RoleElection)},
		{
			SlopeElectionMessages,
			unitCount,
			byGateways,
			SeriesBase,
			xGateways,
			messagesOf(RoleElection),
		},
		{SlopeLeaseBytes, unitBytes, byGateways, SeriesLeaseGateways, xGateways,
			bytesOf(RoleConfiguration)},
		{SlopeLeaseMessages, unitCount, byGateways, SeriesLeaseGateways, xGateways,
			messagesOf(RoleConfiguration)},
	}
}

// controlMemory returns the largest resident memory of a control process, in MB.
func controlMemory(r *Result) (peak float64) {
	for _, p := range r.ControlProcesses {
		peak = max(peak, p.ResidentMB)
	}
	return peak
}

// aboveBase computes the cost of a run in excess of sessions alone.
type aboveBase struct{ base Slopes }

func (b aboveBase) cores(r *Result) float64 {
	return max(0, r.Gateway.Cores-b.base.at(SlopeBaseCores, xGateways(r)))
}

func (b aboveBase) memory(r *Result) float64 {
	return max(0, r.Gateway.ResidentMB-b.base.at(SlopeBaseMemory, xGateways(r)))
}

func (b aboveBase) control(r *Result) float64 {
	return max(0, r.ControlCores-b.base.at(SlopeBaseControl, xGateways(r)))
}

// configuration returns the bytes per second of contents, without those of permits.
func (b aboveBase) configuration(r *Result) float64 {
	return max(0, bytesOf(RoleConfiguration)(r)-b.base.at(SlopeLeaseBytes, xGateways(r)))
}

// perChange converts a quantity per second to one per change of the list.
func perChange(y func(r *Result) float64) func(r *Result) float64 {
	return func(r *Result) float64 { return y(r) * r.Seconds / max(1, float64(r.ListChanges)) }
}

// perVersion converts a quantity per second to one per version of the plans.
func perVersion(y func(r *Result) float64) func(r *Result) float64 {
	return func(r *Result) float64 { return y(r) * r.Seconds / max(1, float64(r.PlanVersions)) }
}

func perGateway(y func(r *Result) float64) func(r *Result) float64 {
	return func(r *Result) float64 { return y(r) / xGateways(r) }
}

// roleQuantities returns the costs of each role in excess of sessions alone.
func roleQuantities(base Slopes) []quantity {
	b := aboveBase{base}
	return []quantity{
		{SlopeCompleteListBytes, unitB, byServers, SeriesListServers, xServers,
			func(r *Result) float64 { return r.BytesPerListChange }},
		{
			SlopeCompleteListCores,
			unitSeconds,
			byServers,
			SeriesListServers,
			xServers,
			perChange(b.cores),
		},
		{SlopeCompleteListControl, unitSeconds, byServers, SeriesListServers, xServers,
			perGateway(perChange(b.control))},
		{SlopeCompleteListMemory, unitMB, byServers, SeriesListServers, xServers, b.memory},
		{SlopeDeltaBytes, unitBytes, byChanges, SeriesDeltaChanges, xChanges, bytesOf(RoleList)},
		{
			SlopeDeltaMessages,
			unitCount,
			byChanges,
			SeriesDeltaChanges,
			xChanges,
			messagesOf(RoleList),
		},
		{SlopeDeltaCores, unitCores, byChanges, SeriesDeltaChanges, xChanges, b.cores},
		{SlopeDeltaChangeBytes, unitB, byServers, SeriesDeltaServers, xServers,
			func(r *Result) float64 { return r.BytesPerListChange }},
		{SlopeDeltaControl, unitSeconds, byGateways, SeriesDeltaGateways, xGateways,
			perChange(b.control)},
		{SlopeDeltaRegister, unitSeconds, byServers, SeriesDeltaServers, xServers,
			perChange(b.control)},
		{SlopeDeltaMemory, unitMB, byServers, SeriesDeltaServers, xServers, b.memory},
		{
			SlopeContentBytes,
			unitB,
			byTenants,
			SeriesPlansTenants,
			xTenants,
			perVersion(b.configuration),
		},
		{
			SlopeContentCores,
			unitSeconds,
			byTenants,
			SeriesPlansTenants,
			xTenants,
			perVersion(b.cores),
		},
		{
			SlopeContentControl,
			unitSeconds,
			byTenants,
			SeriesPlansTenants,
			xTenants,
			perVersion(b.control),
		},
		{
			SlopeVersionBytes,
			unitB,
			byTenants,
			SeriesPlansDelta,
			xTenants,
			perVersion(b.configuration),
		},
		{
			SlopeVersionCores,
			unitSeconds,
			byTenants,
			SeriesPlansDelta,
			xTenants,
			perVersion(b.cores),
		},
		{
			SlopeVersionControl,
			unitSeconds,
			byTenants,
			SeriesPlansDelta,
			xTenants,
			perVersion(b.control),
		},
		{SlopeVersionMemory, unitMB, byTenants, SeriesPlansDelta, xTenants, b.memory},
		{SlopeLeaseControl, unitCores, byGateways, SeriesLeaseGateways, xGateways, b.control},
		{
			SlopeAuditBytes,
			unitBytes,
			byGateways,
			SeriesLeaseGateways,
			xGateways,
			bytesOf(RoleAudit),
		},
		{SlopeAuditMessages, unitCount, byGateways, SeriesLeaseGateways, xGateways,
			messagesOf(RoleAudit)},
		{SlopeAllocationBytes, unitBytes, byQuotas, SeriesAllocation, xGateways,
			bytesOf(RoleAllocation)},
		{SlopeAllocationMessage, unitCount, byQuotas, SeriesAllocation, xGateways,
			messagesOf(RoleAllocation)},
		{SlopeAllocationCores, unitCores, byQuotas, SeriesAllocation, xGateways, b.cores},
		{SlopeAllocationControl, unitCores, byQuotas, SeriesAllocation, xGateways, b.control},
		{
			SlopeMeteringBytes,
			unitBytes,
			byGateways,
			SeriesMetering,
			xGateways,
			bytesOf(RoleMetering),
		},
		{SlopeMeteringMessages, unitCount, byGateways, SeriesMetering, xGateways,
			messagesOf(RoleMetering)},
		{SlopeMeteringCores, unitCores, byGateways, SeriesMetering, xGateways, b.cores},
		{SlopeMeteringControl, unitCores, byGateways, SeriesMetering, xGateways, b.control},
	}
}

// FitAll fits the slopes of all series that were run.
func (c *Capacity) FitAll() (Slopes, error) {
	slopes := Slopes{}
	if err := c.fit(slopes, baseQuantities()); err != nil {
		return nil, err
	}
	return slopes, c.fit(slopes, roleQuantities(maps.Clone(slopes)))
}

func (c *Capacity) fit(into Slopes, quantities []quantity) error {
	for _, q := range quantities {
		var points []Point
		for _, s := range c.Steps {
			if s.Series == q.series && s.failed() == "" {
				points = append(points, Point{q.x(s.Result), q.y(s.Result)})
			}
		}
		if len(points) < minPoints {
			continue // the series was not run, or too many of its steps failed
		}
		slope, err := Fit(q.name, q.unit, q.dependsOn, points)
		if err != nil {
			return err
		}
		into[q.name] = &slope
	}
	return nil
}

// benchmark returns the metric of a benchmark; ok is false if the benchmark was not run.
func (c *Capacity) benchmark(name, metric string) (value float64, ok bool) {
	i := slices.IndexFunc(c.Benchmarks, func(b Benchmark) bool { return b.Name == name })
	if i < 0 {
		return 0, false
	}
	value, ok = c.Benchmarks[i].Metrics[metric]
	return value, ok
}

// The limits on the cost of the control plane at one gateway, and the assumed events of a fleet.
const (
	limitCores            = 0.049
	limitMemoryMB         = 64
	limitBytes            = 10_000 // a second
	limitAddedMS          = 5.2
	limitInForceMS        = 13_000
	controlCoresEach      = 1 // each process of the program uses one core
	secondsPerDay         = 86_400
	secondsPerHour        = 3600
	versionsPerDay        = 420
	replacementsPerDay    = 1100
	failuresPerDay        = 21
	changesPerReplaced    = 3 // a drain, an addition and a removal
	changesPerFailure     = 2 // a removal and an addition
	rackServers           = 300
	zones                 = 8
	versionLeaseSeconds   = 10
	drainBoundMS          = 2000
	kilobyte, millisecond = 1000.0, 1000.0
)

// Load is the rate of changes in a period of time.
type Load struct {
	Name              string
	ChangesPerSecond  float64 // changes of the list of servers
	VersionsPerSecond float64 // versions of the plans
}

// loads returns the loads of a mean day and of a release, in this order.
func loads() []Load {
	day := Load{
		"a mean day",
		(replacementsPerDay*changesPerReplaced + failuresPerDay*changesPerFailure) / float64(
			secondsPerDay,
		),
		versionsPerDay / float64(secondsPerDay),
	}
	release := Load{"a release", replacementsPerDay * changesPerReplaced / float64(secondsPerHour),
		day.VersionsPerSecond}
	return []Load{day, release}
}

// Use is the cost of one role at the design size.
type Use struct {
	Role     string
	Messages float64 // of one gateway, per second
	Bytes    float64 // of one gateway, per second
	Cores    float64 // of one gateway
	MemoryMB float64
	Control  float64 // cores of all control machines together
}

// uses returns the costs of the roles under a load, with one path of the list.
func (s Slopes) uses(l Load, path Path) []Use {
	const g, n, t = DesignGateways, DesignServers, DesignTenants
	list := Use{Role: string(RoleList)}
	if path == PathCompleteList {
		list.Bytes = l.ChangesPerSecond * s.at(SlopeCompleteListBytes, n)
		list.Cores = l.ChangesPerSecond * s.at(SlopeCompleteListCores, n)
		list.Control = l.ChangesPerSecond * s.at(SlopeCompleteListControl, n) * g
		list.MemoryMB = s.at(SlopeCompleteListMemory, n)
		list.Messages = 3 * l.ChangesPerSecond // the notification, the query and the list
	} else {
		list.Bytes = s.at(SlopeDeltaBytes, l.ChangesPerSecond)
		list.Messages = s.at(SlopeDeltaMessages, l.ChangesPerSecond)
		list.Cores = s.at(SlopeDeltaCores, l.ChangesPerSecond)
		list.MemoryMB = s.at(SlopeDeltaMemory, n)
		register := max(0, s.at(SlopeDeltaRegister, n)-s.at(SlopeDeltaRegister, stepServers))
		list.Control = l.ChangesPerSecond * (s.at(SlopeDeltaControl, g) + register)
	}
	leaseControl := max(0, s.at(SlopeLeaseControl, g)-s.at(SlopeMeteringControl, g))
	return []Use{
		list,
		{string(RoleConfiguration), s.at(SlopeLeaseMessages, g), s.at(SlopeLeaseBytes,
			g) + l.VersionsPerSecond*s.at(SlopeVersionBytes, t),
			l.VersionsPerSecond * s.at(SlopeVersionCores, t), s.at(SlopeVersionMemory,
				t), leaseControl + l.VersionsPerSecond*s.at(SlopeVersionControl, t)},
		{string(RoleAllocation), s.at(SlopeAllocationMessage, g), s.at(SlopeAllocationBytes, g),
			s.at(SlopeAllocationCores, g), 0, s.at(SlopeAllocationControl, g)},
		{string(RoleElection), s.at(SlopeElectionMessages, g), s.at(SlopeElectionBytes, g),
			s.at(SlopeBaseCores, g), s.at(SlopeBaseMemory, g), s.at(SlopeBaseControl, g)},
		{string(RoleAudit), s.at(SlopeAuditMessages, g), s.at(SlopeAuditBytes, g), 0, 0, 0},
		{string(RoleMetering), s.at(SlopeMeteringMessages, g), s.at(SlopeMeteringBytes, g),
			s.at(SlopeMeteringCores, g), 0, s.at(SlopeMeteringControl, g)},
		{
			string(RoleMembership),
			s.at(SlopeMembershipMessages, g),
			s.at(SlopeMembershipBytes, g),
			0,
			0,
			0,
		},
	}
}

// total returns the sum of the costs.
func total(uses []Use) (sum Use) {
	for _, u := range uses {
		sum.Messages += u.Messages
		sum.Bytes += u.Bytes
		sum.Cores += u.Cores
		sum.MemoryMB += u.MemoryMB
		sum.Control += u.Control
	}
	return sum
}

const notMeasured = "not measured"

// fits describes whether a value is within a limit, with the ratio of the value to the limit.
func fits(value, limit float64) string {
	if math.IsNaN(value) {
		return notMeasured
	}
	if value <= limit {
		return fmt.Sprintf("fits (%.2f of it)", value/limit)
	}
	return fmt.Sprintf("**over, x%.1f**", value/limit)
}

// number formats a figure with three significant digits.
func number(x float64) string {
	switch {
	case math.IsNaN(x):
		return notMeasured
	case x == 0:
		return "0"
	case x <= -1000:
		return "-" + number(-x)
	case x >= 1000:
		digits := fmt.Sprintf("%.0f", x)
		for i := len(digits) - 3; i > 0; i -= 3 {
			digits = digits[:i] + "," + digits[i:]
		}
		return digits
	}
	return strings.TrimSuffix(fmt.Sprintf("%.3g", x), "e+00")
}
