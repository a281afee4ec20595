package scale

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/testing/lab"
)

// The test binary also runs simulated gateways, as the command scale-hollow does.
func TestMain(m *testing.M) {
	if os.Getenv("MOTHCLEAT_HOLLOW") != "" {
		if err := RunSimulatedGateways(context.Background(), os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func tiny() Options {
	return Options{
		Seed:                  46,
		Gateways:              4,
		Servers:               60,
		Tenants:               80,
		Control:               3,
		For:                   3 * time.Second,
		ReplacementsPerSecond: 1,
		RackSize:              5,
		Versions:              1,
		Parts:                 AllParts,
		Path:                  PathCompleteList,
		PerProcess:            2,
	}
}

// In a tiny fleet, every change reaches every gateway, the traffic of every role is counted, and
// only control processes hold roles.
func TestATinyFleet(t *testing.T) {
	for _, path := range []Path{PathCompleteList, PathDelta} {
		t.Run(string(path), func(t *testing.T) { t.Parallel(); runTiny(t, path) })
	}
}

func runTiny(t *testing.T, path Path) {
	if !lab.HasGo() {
		t.Fatal("no go command to build the gateway with")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	o := tiny()
	o.Path = path
	var err error
	if o.Self, err = SelfCommand(); err != nil {
		t.Fatal(err)
	}
	var log strings.Builder
	r, err := Run(ctx, o, &log)
	if err != nil {
		t.Fatalf("%v\n%s", err, log.String())
	}
	if r.Diverged != 0 || r.LostChanges != 0 || r.LostVersions != 0 || r.StartupMilliseconds < 0 ||
		r.Processes != 2 {
		t.Errorf("%s\n%s", r.Line(), log.String())
	}
	if r.ServerChanges <= o.RackSize || r.InForce.Count == 0 || r.Draining.Count == 0 ||
		r.Rack.Count != o.RackSize*o.Gateways {
		t.Errorf("changes were not made or not received: %s", r.Line())
	}
	if r.PlanVersions+r.ProposalsRefused != o.Versions {
		t.Errorf("%d versions and %d refused, want %d", r.PlanVersions, r.ProposalsRefused,
			o.Versions)
	}
	for _, role := range []Role{RoleList, RoleConfiguration, RoleAllocation, RoleMembership,
		RoleElection} {
		if row := r.Roles[role]; row.MessagesPerSecond <= 0 || row.BytesInPerSecond <= 0 {
			t.Errorf("no traffic was counted for %s: %s", role, r.Line())
		}
	}
	roles := 0
	for _, p := range r.ControlProcesses {
		roles += p.RolesHeld
	}
	want := 2 + o.Control // the plans, the export, and a shard of the quotas for each control process
	if path == PathDelta {
		want++ // the list
	}
	if roles != want {
		t.Errorf("control processes hold %d roles, want %d", roles, want)
	}
	if r.Gateway.Cores <= 0 || r.Gateway.ResidentMB <= 0 || r.ControlCores <= 0 {
		t.Errorf("resource use was not measured: %s", r.Line())
	}
}

// Invalid options give a one-line error that names the setting.
func TestWhatCantBePlayed(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Options)
		want   string
	}{
		"no gateway": {func(o *Options) { o.Gateways = 0 }, "--gateways 0"},
		"too much memory": {func(o *Options) {
			o.Gateways, o.Servers, o.PerProcess = 2000, 50_000,
				100
		}, "--gateways 2000: some"},
		"too many processes": {func(o *Options) { o.Gateways, o.PerProcess = 2000, 10 },
			"--gateways 2000: 203 processes"},
		"even voters": {func(o *Options) { o.Control = 4 }, "--control 4"},
		"no server":   {func(o *Options) { o.Servers = 0 }, "--servers 0"},
		"no tenant":   {func(o *Options) { o.Tenants = 0 }, "--tenants 0"},
		"long":        {func(o *Options) { o.For = time.Hour }, "--for 1h0m0s"},
		"path":        {func(o *Options) { o.Path = "tree" }, "--path tree"},
		"rack":        {func(o *Options) { o.RackSize = 31 }, "--rack 31"},
	} {
		o := tiny()
		c.change(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(),
			c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
	o := tiny()
	if err := o.Check(); err != nil {
		t.Error(err)
	}
	if _, err := ParseParts("list,plans"); err == nil || !strings.Contains(err.Error(), "plans") {
		t.Errorf("roles: %v", err)
	}
}

// Each tenant uses as many gateways as its spread.
func TestTenantsComeThroughTheirGateways(t *testing.T) {
	const gateways, tenants = 50, 2000
	through := map[uint64]int{}
	for g := range gateways {
		for _, tenant := range tenantsOf(g, gateways, tenants) {
			through[tenant]++
		}
	}
	for tenant := range uint64(tenants) {
		if through[tenant] != tenantSpread(tenant) {
			t.Fatalf("tenant %d uses %d gateways, want %d", tenant, through[tenant],
				tenantSpread(tenant))
		}
	}
}

func TestFit(t *testing.T) {
	s, err := Fit("a", "B", "gateways", []Point{{40, 90}, {80, 170}, {160, 330}})
	if err != nil || s.At0 < 9.9 || s.At0 > 10.1 || s.PerOne < 1.99 || s.PerOne > 2.01 ||
		s.Residual > 0.001 {
		t.Errorf("%+v, %v", s, err)
	}
	if s, err = Fit("b", "B", "gateways", []Point{{1, 0}, {2, 10}, {3,
		0}}); err != nil || s.Residual < 0.5 {
		t.Errorf("points off a line must show in the residual: %+v, %v", s, err)
	}
	if s, err = Fit("d", "B", "gateways", []Point{{10, 30}, {20, 20}, {30,
		10}}); err != nil || s.At(20) != 20 || s.At(600) != 20 {
		t.Errorf("a falling line is extrapolated beyond the measured sizes: %v, %v", s.At(600), err)
	}
	if _, err = Fit("c", "B", "gateways", []Point{{1, 1}, {1, 2}, {2, 3}}); err == nil {
		t.Error("a slope was fitted to two sizes")
	}
}

// The register's digest changes with its list of servers, and is the same again for the same list.
func TestTheRegisterCountsItsChanges(t *testing.T) {
	r, err := NewRegister(3)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	before, n := r.Digest()
	r.Drain(serverID(1))
	drained, _ := r.Digest()
	r.Add(3)
	r.Remove(serverID(3), serverID(1))
	r.Add(1)
	after, m := r.Digest()
	if n != 3 || m != 3 || before != after || drained == before {
		t.Errorf("%d servers %x, drained %x, then %d servers %x", n, before, drained, m, after)
	}
}
