package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/planconfig"
	"mothcleat/internal/controlplane/replica"
	"mothcleat/internal/testing/lab"
)

const (
	fleetName       = "scale"
	controlNames    = "c"
	realNames       = "r"
	controlMemoryMB = 4096 // soft limit; keeps garbage collection out of the measurement
	callTimeout     = 5 * time.Second
)

// control holds the processes of the program that vote and hold all fleet-wide roles.
type control struct {
	world     *lab.World
	options   *Options
	register  *Register
	addresses []string // listen addresses for the fleet, by process
	exports   string
}

func controlName(i int) string { return fmt.Sprintf("%s%d", controlNames, i) }

// startControl bootstraps the fleet and starts its voters.
func startControl(ctx context.Context, o *Options, register *Register, log io.Writer) (c *control,
	err error) {
	c = &control{options: o, register: register}
	c.world, err = lab.NewWorld(ctx, lab.Options{Seed: o.Seed, Gateways: o.Control, Servers: 1,
		Load: 0.1, Bin: o.Bin, Log: log, Admin: true, Consul: true,
		Names: controlNames, MemoryMB: controlMemoryMB, Operators: "#\n", Prepare: c.prepare})
	return c, err
}

// prepare writes a voter's operators' file and bootstraps its folder.
func (c *control) prepare(w *lab.World, g *lab.Gateway) error {
	if c.addresses == nil {
		c.exports = filepath.Join(w.Dir, "exports")
		if err := os.MkdirAll(c.exports, 0o700); err != nil {
			return err
		}
		for i := range c.options.Control {
			own, err := w.Address(100 + i)
			if err != nil {
				return err
			}
			c.addresses = append(c.addresses, own)
		}
	}
	if err := os.WriteFile(
		filepath.Join(g.Dir(), "operators.toml"),
		[]byte(c.operators(c.addresses[g.Number],
			true)),
		0o600,
	); err != nil {
		return err
	}
	found := exec.Command(c.options.Bin, "fleet", "found", controlName(g.Number), "--operators",
		"operators.toml")
	found.Dir = g.Dir()
	if out, err := found.CombinedOutput(); err != nil {
		return fmt.Errorf("founding %s: %w: %s", controlName(g.Number), err, out)
	}
	return nil
}

// operators returns the operators' file of a process that listens on an address.
func (c *control) operators(listen string, control bool) string {
	var b strings.Builder
	parts := c.options.Parts
	if control {
		fmt.Fprintf(
			&b,
			"[register]\nsource = \"consul\"\nservice = %q\nagents = [%q]\n"+
				"wait = \"5s\"\ncatalogue = false\n",
			serviceName,
			c.register.Address,
		)
	}
	fmt.Fprintf(&b, "[fleet]\non = true\nname = %q\nlisten = %q\nfolder = \"fleet\"\n", fleetName,
		listen)
	var voters, owners []string
	for i, own := range c.addresses {
		voters = append(voters, fmt.Sprintf("{ name = %q, address = %q }", controlName(i), own))
		owners = append(owners, fmt.Sprintf("%q", controlName(i)))
	}
	fmt.Fprintf(
		&b,
		"voters = [%s]\nowners = [%s]\n",
		strings.Join(voters, ", "),
		strings.Join(owners,
			", "),
	)
	if c.options.Tick > 0 {
		fmt.Fprintf(&b, "tick = %q\n", c.options.Tick)
	}
	if c.options.Span > 0 {
		fmt.Fprintf(&b, "span = %q\n", c.options.Span)
	}
	if parts.Metering {
		fmt.Fprintf(&b, "exports = %q\nperiod = %q\n", c.exports, meteringPeriod)
	}
	if parts.List && control && c.options.Path == PathDelta {
		fmt.Fprintf(&b, "watch = true\nsilent = %q\n", silenceTimeout)
	}
	if parts.Allocation {
		fmt.Fprintf(&b, "[budgets]\non = true\nshards = %d\nbegin_full = true\n", c.options.Control)
	}
	if parts.Configuration {
		b.WriteString("[versions]\non = true\n")
	}
	return b.String()
}

// voters returns the initial voters.
func (c *control) voters() (all []*controlpb.Voter) {
	for i, own := range c.addresses {
		all = append(
			all,
			&controlpb.Voter{Number: replica.BootstrapNumber(fleetName, controlName(i)),
				Name: controlName(i), Address: own},
		)
	}
	return all
}

// owners returns the names of all processes that may hold roles.
func (c *control) owners() (all []string) {
	for i := range c.addresses {
		all = append(all, controlName(i))
	}
	return all
}

// call sends a fleet command to the admin interface of a control process.
func (c *control) call(i int, line string, into any) error {
	return c.world.Gateways[i].CallFleet(line, callTimeout, into)
}

// leader returns the index of the control process that leads the log; -1: none reports that it
// does.
func (c *control) leader() int {
	for i := range c.addresses {
		var here controlplane.LocalStatus
		if c.call(i, "here", &here) == nil && here.Leads {
			return i
		}
	}
	return -1
}

// rolesHeld returns the number of roles that a control process holds.
func (c *control) rolesHeld(i int) (held int) {
	var here controlplane.LocalStatus
	if c.call(i, "here", &here) == nil {
		held = len(here.Roles)
	}
	return held
}

// termSum returns the sum of the terms of all roles, which grows by one with each change of an
// owner. ok is false if the terms can't be read.
func (c *control) termSum() (sum int, ok bool) {
	var v lease.View
	if c.call(max(0, c.leader()), "owners", &v) != nil {
		return 0, false
	}
	for _, d := range v.Leases {
		sum += int(d.Term)
	}
	return sum, true
}

// propose proposes a version of the plans for all gateways, and returns its number.
func (c *control) propose(text string) (number uint64, err error) {
	at := max(0, c.leader())
	file := filepath.Join(c.world.Gateways[at].Dir(), fmt.Sprintf("plans-%d.toml",
		time.Now().UnixNano()))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return 0, err
	}
	return number, c.call(
		at,
		fmt.Sprintf(
			"versions propose %s %s 0s %s",
			planconfig.ItemName,
			configversion.StageAll,
			file,
		),
		&number,
	)
}

// plansText returns a version of all plans, with the plan of each tenant. The tenant moved has
// another plan than usual; below 0: none.
func (c *control) plansText(tenants int, factor float64, moved int) string {
	var b strings.Builder
	site := c.world.Site
	for _, p := range site.Plans {
		fmt.Fprintf(&b, "[[plan]]\nname = %q\nrate = %g\nburst = %g\n", p.Name, p.Rate*factor,
			p.Burst*factor)
		if p.CeilingRate > 0 {
			fmt.Fprintf(
				&b,
				"ceiling_rate = %g\nceiling_burst = %g\n",
				p.CeilingRate,
				p.CeilingBurst,
			)
		}
	}
	for t := range tenants {
		plan := t
		if t == moved {
			plan++
		}
		fmt.Fprintf(&b, "[[customer]]\nid = \"%016x\"\nplan = %q\n", uint64(t)+1<<40,
			site.Plans[plan%len(site.Plans)].Name)
	}
	return b.String()
}

// usage returns the resource use of each process.
func (c *control) usage() (all []Usage, err error) {
	for _, g := range c.world.Gateways {
		u, bad := UsageOf(g.PID())
		err = errors.Join(err, bad)
		all = append(all, u)
	}
	return all, err
}

// close stops all processes, and saves their logs if Options.Logs is set.
func (c *control) close() {
	if c.world == nil {
		return
	}
	if c.options.Logs != "" {
		for i, g := range c.world.Gateways {
			_ = os.WriteFile(filepath.Join(c.options.Logs, controlName(i)+".log"), []byte(g.Log()),
				0o600)
		}
	}
	c.world.Close()
}
