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

// fetched is how contents came to a gateway's process since it started.
func fetched(t *testing.T, f *testcluster.Fleet, i int) rollout.FetchStats {
	t.Helper()
	h, err := here(f, i)
	clustertest.Check(t, err)
	return h.Fetched
}

// Versions after the first come to each gateway as what differs: while one of them is cut off through a change, and through
// another that is withdrawn as soon as it is agreed; after that is healed; and at a process that was killed and starts from
// what lies on its disk. Nobody acts on what was withdrawn after its end.
func TestVersionsTravelAsDifferences(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4, Seed: 8})
	const cut, killed = 3, 2
	play(t, f, func() {
		first := proposed(t, f, 0, configversion.StageAll, plansText(f.Site, 0.9))
		for i := range f.Gateways {
			acts(t, f, i, first)
		}
		f.Isolate(cut, true, true, true)
		second := proposed(t, f, 0, configversion.StageAll, plansText(f.Site, 0.8))
		for i := range cut {
			acts(t, f, i, second)
		}
		withdrawn := proposed(t, f, 1, configversion.StageAll, plansText(f.Site, 0.7))
		var restored uint64
		clustertest.Eventually(t, "it is withdrawn", func() (bool, string) {
			err := f.Call(1, fmt.Sprintf("versions withdraw plans %d wrong terms", withdrawn), &restored)
			return err == nil, fmt.Sprint(err)
		})
		for i := range cut {
			acts(t, f, i, restored)
		}
		f.Heal()
		acts(t, f, cut, restored)
		ended(t, f, 0, withdrawn)
		over := f.Record.Now()
		for i := 1; i < len(f.Gateways); i++ {
			if got := fetched(t, f, i); got.Full > 1 || got.Deltas+got.Repairs == 0 {
				t.Errorf("%s fetched %+v", testcluster.Name(i), got)
			}
		}
		clustertest.Check(t, f.End(killed, syscall.SIGKILL), f.Begin(killed))
		last := proposed(t, f, 0, configversion.StageAll, plansText(f.Site, 0.6))
		for i := range f.Gateways {
			acts(t, f, i, last)
		}
		testcluster.Pass(t.Context(), time.Second)
		for i := range f.Gateways {
			if n := actsOn(t, f, i, withdrawn, over); n > 0 {
				t.Errorf("%s sent %d requests on by what was withdrawn", testcluster.Name(i), n)
			}
		}
		if got := fetched(t, f, killed); got != (rollout.FetchStats{Deltas: 1}) {
			t.Errorf("%s fetched %+v after its start", testcluster.Name(killed), got)
		}
	})
	if f.Held() == 0 {
		t.Error("the cut held nothing up")
	}
	kept(t, f)
}
