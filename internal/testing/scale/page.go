package scale

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
)

// The markers around the page's tables.
const (
	pageBegin = "<!-- computed from capacity.json by lab scale --page: begin -->"
	pageEnd   = "<!-- computed from capacity.json by lab scale --page: end -->"
)

// WritePage computes the tables from the JSON file and replaces those in the page.
func WritePage(jsonPath, pagePath string) error {
	c, err := ReadCapacity(jsonPath)
	if err != nil {
		return err
	}
	tables, err := c.Tables()
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(pagePath)
	if err != nil {
		return err
	}
	before, _, after, err := splitPage(string(raw))
	if err != nil {
		return err
	}
	return os.WriteFile(pagePath, []byte(before+pageBegin+"\n"+tables+pageEnd+after), 0o644)
}

// CheckPage returns an error if the page's tables differ from those computed from the JSON file.
func CheckPage(jsonPath, pagePath string) error {
	c, err := ReadCapacity(jsonPath)
	if err != nil {
		return err
	}
	tables, err := c.Tables()
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(pagePath)
	if err != nil {
		return err
	}
	_, stands, _, err := splitPage(string(raw))
	if err != nil {
		return err
	}
	want, have := strings.Split(tables, "\n"), strings.Split(strings.TrimPrefix(stands, "\n"), "\n")
	for i := range max(len(want), len(have)) {
		if i >= len(want) || i >= len(have) || want[i] != have[i] {
			return fmt.Errorf(
				"%s: table line %d differs from the one computed from %s: run lab scale --page",
				pagePath,
				i+1,
				jsonPath,
			)
		}
	}
	return nil
}

// splitPage splits the page at the markers. It returns an error if one is missing.
func splitPage(text string) (before, between, after string, err error) {
	before, rest, ok := strings.Cut(text, pageBegin)
	between, after, closed := strings.Cut(rest, pageEnd)
	if !ok || !closed {
		return "", "", "", errors.New("the page has no markers for its tables")
	}
	return before, between, after, nil
}

// Tables returns all tables of the page.
func (c *Capacity) Tables() (string, error) {
	slopes, err := c.FitAll()
	if err != nil {
		return "", err
	}
	var b strings.Builder
	c.roleTable(&b, slopes)
	c.completeListTable(&b, slopes)
	c.eventTable(&b, slopes)
	c.runTable(&b)
	c.runRoleTable(&b)
	c.faultTable(&b)
	c.controlTable(&b)
	slopeTable(&b, slopes)
	c.failedTable(&b)
	c.benchmarkTable(&b)
	return b.String(), nil
}

// tableRow writes a row of a table.
func tableRow(b *strings.Builder, cells ...string) {
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// tableHeader writes a title and the header of a table.
func tableHeader(b *strings.Builder, title string, cells ...string) {
	b.WriteString("\n## " + title + "\n\n")
	tableRow(b, cells...)
	tableRow(b, slices.Repeat([]string{"---"}, len(cells))...)
}

// roleDescription describes the state that a role keeps and the mechanism that implements it.
type roleDescription struct{ state, mechanism string }

var roleDescriptions = map[string]roleDescription{
	string(RoleList): {
		"7,300 records at each gateway",
		"`internal/controlplane/distribution`, `internal/controlplane/distributor`: deltas " +
			"by revision from every control machine",
	},
	string(RoleConfiguration): {
		"plans of 60,000 tenants at each gateway",
		"`internal/controlplane/configversion`, `internal/controlplane/rollout`, " +
			"`internal/controlplane/configstate`: " +
			"permits by asking the leader twice a second; " +
			"a version as the records that changed, verified by its digest",
	},
	string(RoleAllocation): {
		"a gateway: its part of some 290 tenants; owners: 60,000",
		"`internal/controlplane/allocation`, `internal/controlplane/allocator`: " +
			"renewal with five owners, five times a second",
	},
	string(RoleElection): {
		"five replicas of the log",
		"`internal/controlplane/lease`, `internal/controlplane/consensus`, " +
			"`internal/controlplane/controlrpc`: " +
			"the duties, watched as a whole",
	},
	string(RoleAudit): {
		"a gateway: its own record",
		"`internal/controlplane/auditlog`, `internal/controlplane/auditrecorder`: " +
			"the record's head, agreed every 3 s while it changes",
	},
	string(RoleMetering): {
		"a gateway: use by tenant, until it is collected",
		"`internal/controlplane/metering`, `internal/controlplane/usageexporter`: " +
			"collected every 5 s by one owner",
	},
	string(RoleMembership): {
		"all 620 processes, at each",
		"`internal/controlplane/consensus`: the list of processes, " +
			"asked for by three parts of a gateway every 3 s, by part and revision",
	},
}

func (c *Capacity) roleTable(b *strings.Builder, s Slopes) {
	day := loads()[0]
	tableHeader(b, "Each role at 620 gateways, 7,300 servers and 60,000 tenants, on a mean day",
		"role",
		"state", "messages/s", "bytes/s", "of a core", "memory, MB",
		"control machines, cores together", "mechanism", "bytes, of a gateway's 10,000/s")
	tableRow(
		b,
		"request path",
		"pools of 15 servers",
		"-",
		"-",
		c.requestCores(15),
		"-",
		"none",
		"`internal/dataplane/policy`, `internal/dataplane/gateway`",
		"the core is not control's: one pool of 7,300 would be "+c.requestCores(DesignServers),
	)
	uses := s.uses(day, PathDelta)
	for _, u := range uses {
		a := roleDescriptions[u.Role]
		tableRow(b, u.Role, a.state, number(u.Messages), number(u.Bytes), number(u.Cores),
			number(u.MemoryMB), number(u.Control), a.mechanism, fits(u.Bytes, limitBytes))
	}
	tableRow(b, "admin", "none", "calls by people", "0 (assumed)", "0 (assumed)", "-",
		"0 (assumed)",
		"`internal/dataplane/admin`", "fits")
	sum := total(uses)
	tableRow(b, "**a gateway as a whole**", "", number(sum.Messages), number(sum.Bytes),
		number(sum.Cores)+": "+fits(sum.Cores, limitCores),
		number(sum.MemoryMB)+": "+fits(sum.MemoryMB, limitMemoryMB), "", "", fits(sum.Bytes,
			limitBytes))
	tableRow(
		b,
		"**a control machine as a whole**",
		"",
		"",
		number(
			sum.Bytes*DesignGateways/DesignControl,
		)+" if all fell to them, evenly",
		number(sum.Control/DesignControl)+" if spread evenly",
		"",
		number(
			sum.Control,
		),
		"a process of the program uses one core; permits and sessions fall to the leader alone",
		"cores: "+fits(sum.Control, DesignControl*controlCoresEach),
	)
}

// requestCores returns the cores that choosing a server takes at the peak.
func (c *Capacity) requestCores(servers int) string {
	ns, ok := c.benchmark(fmt.Sprintf("Request/620x%d", servers), "ns/op")
	if !ok {
		return notMeasured
	}
	return number(ns * requestsPerGateway / 1e9)
}

func (c *Capacity) completeListTable(b *strings.Builder, s Slopes) {
	tableHeader(
		b,
		"The list of servers by both paths",
		"load",
		"changes/s",
		"path",
		"bytes/s to one gateway",
		"of the limit",
		"of a gateway's core",
		"control machines, cores together",
		"all roles: bytes/s to one gateway",
		"all roles: of a gateway's core",
		"all roles: control machines, cores together",
	)
	for _, l := range loads() {
		for _, path := range []Path{PathCompleteList, PathDelta} {
			uses := s.uses(l, path)
			u, sum := uses[0], total(uses)
			tableRow(b, l.Name, number(l.ChangesPerSecond), string(path), number(u.Bytes),
				fits(u.Bytes,
					limitBytes), number(u.Cores), number(u.Control),
				number(sum.Bytes)+": "+fits(
					sum.Bytes,
					limitBytes,
				), number(sum.Cores)+": "+fits(sum.Cores, limitCores), number(sum.Control))
		}
	}
}

func (c *Capacity) eventTable(b *strings.Builder, s Slopes) {
	const g = DesignGateways
	tableHeader(b, "Events", "event", "what happens", "bytes to one gateway", "over the fleet, MB",
		"assumed, or measured")
	event := func(name, what string, bytes, gateways float64, how string) {
		tableRow(b, name, what, number(bytes), number(bytes*gateways/1e6), how)
	}
	deltaBytes := math.NaN()
	if one := s[SlopeDeltaBytes]; one != nil {
		deltaBytes = one.PerOne
	}
	completeList := s.at(SlopeCompleteListBytes, DesignServers)
	version, content := s.at(
		SlopeVersionBytes,
		DesignTenants,
	), s.at(
		SlopeContentBytes,
		DesignTenants,
	)
	event(
		"a server changes",
		"one delta",
		deltaBytes,
		g,
		"measured (slope by changes a second, some of which shared a message)",
	)
	event("the same, whole list", "the list is fetched by each", completeList, g,
		"measured (slope by servers)")
	event(
		"a version of the plans",
		"what differs, from another gateway or a control machine",
		version,
		g,
		"measured (slope by tenants), all plans' terms and one tenant; in and out at a gateway",
	)
	event("the same, whole", "the content by digest, to a gateway that has none", content, g,
		"measured (slope by tenants); in and out at a gateway")
	event(
		"a rack gone",
		fmt.Sprintf("%d servers in one change", rackServers),
		rackServers*deltaBytes,
		g,
		"assumed: a change's bytes each; they merge to less",
	)
	event("a zone gone", fmt.Sprintf("%d servers; %d gateways go with it", DesignServers/zones,
		g/zones), DesignServers/zones*deltaBytes, g-g/zones, "assumed, as above")
	event(
		"regions apart for an hour",
		fmt.Sprintf(
			"the side without the majority turns everybody away after %d s: "+
				"%d of 3,600 s; its servers' changes come to it by its own register",
			versionLeaseSeconds,
			secondsPerHour-versionLeaseSeconds,
		),
		0,
		g/2,
		"by design (`docs/audit.md`); to be designed anew",
	)
	event(
		"regions together again",
		"each of the other region gets an hour's changes, merged",
		loads()[0].ChangesPerSecond*secondsPerHour*deltaBytes,
		g/2,
		"assumed: a mean hour's changes",
	)
	event(
		"all gateways started at once, from nothing",
		"the whole list and the content",
		completeList+content,
		g,
		"worked out from slopes; see the runs for the time",
	)
}

func (c *Capacity) runTable(b *strings.Builder) {
	tableHeader(
		b,
		"Runs near the size",
		"run",
		"gateways, servers, tenants",
		"path",
		"pace of the log",
		"all current after a start, s",
		"in force p50, p99, ms",
		"draining p99, ms",
		"a rack p99, ms",
		"plans in force p99, ms",
		"versions refused",
		"diverged, stale, lost",
		"bytes/s a gateway, all roles",
		"of a core",
		"memory, MB",
		"added p99, ms",
		"duties that changed hands",
		"notes",
	)
	for i, r := range c.Runs {
		o := &r.Options
		added := "-"
		if r.Added != nil {
			added = number(r.Added.P99Milliseconds)
		}
		stale := "-"
		if r.StaleOperations >= 0 {
			stale = number(float64(r.StaleOperations))
		}
		where := fmt.Sprintf("%s, %s, %s", number(float64(o.Gateways)), number(float64(o.Servers)),
			number(float64(o.Tenants)))
		tableRow(
			b,
			fmt.Sprintf("%d, seed %d, %s", i+1, o.Seed, r.Date),
			where,
			string(o.Path),
			logTick(o),
			startupSeconds(r),
			r.InForce.text(
				r.InForce.P50,
			)+", "+r.InForce.text(
				r.InForce.P99,
			),
			r.Draining.text(r.Draining.P99),
			r.Rack.text(r.Rack.P99),
			r.PlansInForce.text(r.PlansInForce.P99),
			fmt.Sprintf("%d of %d", r.ProposalsRefused, r.ProposalsRefused+r.PlanVersions),
			fmt.Sprintf("%d, %s, %d", r.Diverged, stale, r.LostChanges+r.LostVersions),
			number(r.Gateway.BytesInPerSecond+r.Gateway.BytesOutPerSecond),
			number(r.Gateway.Cores),
			number(
				r.Gateway.ResidentMB,
			),
			added,
			leaderChanges(r),
			cmp.Or(strings.Join(r.Notes, "; "), "-"),
		)
	}
}

// leaderChanges formats the number of changes of owners.
func leaderChanges(r *Result) string {
	if r.OwnerChanges < 0 {
		return "not told"
	}
	return number(float64(r.OwnerChanges))
}

// startupSeconds formats the time until all gateways were current, in seconds.
func startupSeconds(r *Result) string {
	if r.StartupMilliseconds < 0 {
		return "not in time"
	}
	return number(r.StartupMilliseconds / millisecond)
}

// text formats a quantile in milliseconds, or "none" if no change arrived.
func (d *Delays) text(quantile float64) string {
	if d.Count == 0 {
		return "none"
	}
	return number(quantile)
}

// logTick formats the tick of the log and the duration of its leases.
func logTick(o *Options) string {
	if o.Tick == 0 && o.Span == 0 {
		return "the program's"
	}
	return fmt.Sprintf("tick %v, span %v", o.Tick, o.Span)
}

func (c *Capacity) runRoleTable(b *strings.Builder) {
	tableHeader(
		b,
		"Bytes a second at one gateway in these runs, by role",
		"run",
		"role",
		"messages/s",
		"in",
		"out",
	)
	for i, r := range c.Runs {
		for _, role := range slices.Sorted(maps.Keys(r.Roles)) {
			one := r.Roles[role]
			tableRow(b, number(float64(i+1)), string(role), number(one.MessagesPerSecond),
				number(one.BytesInPerSecond), number(one.BytesOutPerSecond))
		}
	}
}

// faultTable writes the delays of changes in each interval of the runs with faults.
func (c *Capacity) faultTable(b *strings.Builder) {
	tableHeader(
		b,
		"Changes through faults in these runs",
		"run",
		"fault",
		"process",
		"changes at gateways",
		"in force p50, p99, ms",
		"draining p99, ms",
		"plans in force p99, ms",
	)
	for i, r := range c.Runs {
		for j := range r.Intervals {
			s := &r.Intervals[j]
			fault := string(s.Fault)
			if s.Failed != "" {
				fault += ", which failed: " + s.Failed
			}
			tableRow(
				b,
				number(float64(i+1)),
				fault,
				cmp.Or(s.Target, "-"),
				number(float64(s.InForce.Count)),
				s.InForce.text(s.InForce.P50)+", "+s.InForce.text(s.InForce.P99),
				s.Draining.text(s.Draining.P99),
				s.PlansInForce.text(s.PlansInForce.P99),
			)
		}
	}
}

func (c *Capacity) controlTable(b *strings.Builder) {
	tableHeader(b, "Control machines in these runs", "run", "process", "leads the log", "duties",
		"cores",
		"memory, MB (most)", "read, kB/s", "written, kB/s")
	for i, r := range c.Runs {
		for _, p := range r.ControlProcesses {
			tableRow(b, number(float64(i+1)), p.Name, fmt.Sprint(p.Leads),
				number(float64(p.RolesHeld)),
				number(p.Cores), fmt.Sprintf("%s (%s)", number(p.ResidentMB), number(p.PeakMB)),
				number(p.ReadBytesPerSecond/kilobyte), number(p.WrittenBytesPerSecond/kilobyte))
		}
	}
}

func slopeTable(b *strings.Builder, s Slopes) {
	tableHeader(b, "Slopes", "quantity", "depends on", "measured at", "at 0", "for one more",
		"unit",
		"largest distance from the line, of the largest value")
	for _, name := range slices.Sorted(maps.Keys(s)) {
		one := s[name]
		var sizes []string
		for _, p := range one.Points {
			sizes = append(sizes, number(p.X))
		}
		tableRow(b, name, one.DependsOn, strings.Join(sizes, "; "), number(one.At0),
			number(one.PerOne),
			one.Unit, number(one.Residual))
	}
}

func (c *Capacity) failedTable(b *strings.Builder) {
	tableHeader(
		b,
		"Steps that are in no slope: they failed, or are trials",
		"ladder",
		"gateways, servers, tenants",
		"why",
		"units granted, of those asked for",
	)
	for i := range c.Steps {
		s := &c.Steps[i]
		o := &s.Result.Options
		if why := s.failed(); why != "" {
			tableRow(
				b,
				s.Series,
				fmt.Sprintf("%s, %s, %s", number(float64(o.Gateways)), number(float64(o.Servers)),
					number(float64(o.Tenants))),
				why,
				number(s.Result.Gateway.GrantedOfRequests),
			)
		}
	}
}

func (c *Capacity) benchmarkTable(b *strings.Builder) {
	tableHeader(b, "Benchmarks", "benchmark", "figures")
	for _, one := range c.Benchmarks {
		var figures []string
		for _, metric := range slices.Sorted(maps.Keys(one.Metrics)) {
			figures = append(figures, number(one.Metrics[metric])+" "+metric)
		}
		tableRow(b, one.Name, strings.Join(figures, ", "))
	}
}
