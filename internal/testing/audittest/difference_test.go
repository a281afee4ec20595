package audittest

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/rollout"
	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

// fetched returns how a gateway's process has fetched contents since it started.
func fetched(t *testing.T, f *testcluster.Fleet, i int) rollout.FetchStats {
	t.Helper()
	h, err := rolloutStatus(f, i)
	clustertest.Check(t, err)
	return h.Fetched
}

// Gateways fetch versions after the first as deltas: while one gateway is isolated during a change
// and during another that is withdrawn at once, after the isolation, and in a process that was
// killed and starts from its disk. No gateway acts on the withdrawn version after its end.
func TestVersionsTravelAsDifferences(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4, Seed: 8})
	const cut, killed = 3, 2
	withTraffic(t, f, func() {
		first := waitProposed(t, f, 0, configversion.StageAll, plansText(f.Site, 0.9))
		for i := range f.Gateways {
			waitActsOn(t, f, i, first)
		}
		f.Isolate(cut, true, true, true)
		second := waitProposed(t, f, 0, configversion.StageAll, plansText(f.Site, 0.8))
		for i := range cut {
			waitActsOn(t, f, i, second)
		}
		withdrawn := waitProposed(t, f, 1, configversion.StageAll, plansText(f.Site, 0.7))
		var restored uint64
		clustertest.Eventually(t, "the withdrawal", func() (bool, string) {
			err := f.Call(1, fmt.Sprintf("versions withdraw plans %d wrong terms", withdrawn),
				&restored)
			return err == nil, fmt.Sprint(err)
		})
		for i := range cut {
			waitActsOn(t, f, i, restored)
		}
		f.Heal()
		waitActsOn(t, f, cut, restored)
		waitEnded(t, f, 0, withdrawn)
		over := f.Record.Now()
		for i := 1; i < len(f.Gateways); i++ {
			if got := fetched(t, f, i); got.Full > 1 || got.Deltas+got.Repairs == 0 {
				t.Errorf("%s fetched %+v", testcluster.Name(i), got)
			}
		}
		clustertest.Check(t, f.End(killed, syscall.SIGKILL), f.Begin(killed))
		last := waitProposed(t, f, 0, configversion.StageAll, plansText(f.Site, 0.6))
		for i := range f.Gateways {
			waitActsOn(t, f, i, last)
		}
		testcluster.Pass(t.Context(), time.Second)
		for i := range f.Gateways {
			if n := countForwardedBy(t, f, i, withdrawn, over); n > 0 {
				t.Errorf("%s forwarded %d requests under the withdrawn version",
					testcluster.Name(i), n)
			}
		}
		if got := fetched(t, f, killed); got != (rollout.FetchStats{Deltas: 1}) {
			t.Errorf("%s fetched %+v after its restart, want one delta",
				testcluster.Name(killed), got)
		}
	})
	if f.Held() == 0 {
		t.Error("the cut links held nothing back")
	}
	checkRules(t, f)
}
