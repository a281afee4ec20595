// Package audittest runs a fleet of real gateways that roll out configuration versions while links
// and processes fail. It judges whether any gateway acted on a withdrawn version, by the requests
// that the simulated servers received and by the gateways' audit records.
package audittest

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/rollout"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/testcluster"
)

// LeaseTTL is the TTL of the version leases in the fleets of this package.
const LeaseTTL = 2 * time.Second

// Bound is the maximum time for which a version may be acted on after its end was committed: the
// TTL and its margin. Measured by one clock, a request takes slightly longer, from the gateway's
// last check to the server.
const Bound = LeaseTTL + LeaseTTL/8

// versionsTable is the table of the operators' file for a fleet that acts on versions.
var versionsTable = fmt.Sprintf(
	"[versions]\non = true\nspan = %q\nevery = \"200ms\"\nsettle = \"300ms\"\npatience = \"4s\"\n",
	LeaseTTL,
)

// Text returns the tables of the operators' file for a new fleet that also divides quotas.
func Text() string { return versionsTable + "[budgets]\non = true\nbegin_full = true\n" }

// plansText returns a version of a site's plans with each quota multiplied by a factor.
func plansText(s *harness.Site, factor float64) string {
	var b strings.Builder
	for _, p := range s.Plans {
		if p.Rate > 0 {
			fmt.Fprintf(
				&b,
				"[[plan]]\nname = %q\nrate = %g\nburst = %g\n",
				p.Name,
				p.Rate*factor,
				p.Burst*factor,
			)
			if p.CeilingRate > 0 {
				fmt.Fprintf(
					&b,
					"ceiling_rate = %g\nceiling_burst = %g\n",
					p.CeilingRate,
					p.CeilingBurst,
				)
			}
		}
	}
	return b.String()
}

// propose proposes a text of the plans at a gateway and returns the number of the version.
func propose(
	f *testcluster.Fleet,
	at int,
	stage configversion.Stage,
	lead time.Duration,
	text string,
) (number uint64, err error) {
	file := filepath.Join(f.Gateways[at].Dir(), fmt.Sprintf("plans-%d.toml", time.Now().UnixNano()))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return 0, err
	}
	return number, f.Call(
		at,
		fmt.Sprintf("versions propose plans %s %v %s", stage, lead, file),
		&number,
	)
}

// versionsStatus returns the committed versions as a gateway reports them.
func versionsStatus(f *testcluster.Fleet, at int) (v controlplane.VersionsStatus, err error) {
	return v, f.Call(at, "versions", &v)
}

// rolloutStatus returns the versions that a gateway acts on.
func rolloutStatus(f *testcluster.Fleet, at int) (h rollout.Status, err error) {
	return h, f.Call(at, "versions here", &h)
}

// findVersion returns the version of the plans with a number, or nil.
func findVersion(v *controlplane.VersionsStatus, number uint64) *configversion.Version {
	for i := range v.Versions {
		if v.Versions[i].Item == "plans" && v.Versions[i].Number == number {
			return &v.Versions[i]
		}
	}
	return nil
}
