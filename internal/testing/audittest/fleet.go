// Package audittest has a fleet of real gateways act on versions while links and processes fail,
// and judges by what the stand-in servers took, and by what the gateways wrote down, whether
// anybody acted on what was withdrawn.
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

// LeaseTTL is that of the permits of a trial's fleets.
const LeaseTTL = 2 * time.Second

// Bound is how long after its end was agreed a version may be acted on at most: the span and its
// margin. Judged by one clock, a request needs a moment more from its last look to a server.
const Bound = LeaseTTL + LeaseTTL/8

// alone is an operators' file's table for a fleet that acts on versions.
var alone = fmt.Sprintf(
	"[versions]\non = true\nspan = %q\nevery = \"200ms\"\nsettle = \"300ms\"\npatience = \"4s\"\n",
	LeaseTTL,
)

// Text is the same for one that divides quotas as well, and was just founded.
func Text() string { return alone + "[budgets]\non = true\nbegin_full = true\n" }

// plansText writes a version of a site's plans, with each quota times a factor.
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

// propose has a text proposed at a gateway.
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

// agreed is what is agreed, asked at a gateway.
func agreed(f *testcluster.Fleet, at int) (v controlplane.VersionsStatus, err error) {
	return v, f.Call(at, "versions", &v)
}

// here is what a gateway acts on.
func here(f *testcluster.Fleet, at int) (h rollout.Status, err error) {
	return h, f.Call(at, "versions here", &h)
}

// version finds a version in what is agreed.
func version(v *controlplane.VersionsStatus, number uint64) *configversion.Version {
	for i := range v.Versions {
		if v.Versions[i].Item == "plans" && v.Versions[i].Number == number {
			return &v.Versions[i]
		}
	}
	return nil
}
