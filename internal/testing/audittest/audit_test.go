package audittest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/testing/allocationtest"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

var bin string

func TestMain(m *testing.M) { os.Exit(testcluster.Main(&bin, m.Run)) }

// fleet starts a fleet that acts on versions and waits until all gateways may act.
func fleet(t *testing.T, o testcluster.Options) *testcluster.Fleet {
	t.Helper()
	o.Bin, o.Load, o.Seed = bin, 0.3, o.Seed+1
	if o.Operators == "" {
		o.Operators = Text()
	}
	f := clustertest.Fleet(t, o)
	for i := range f.Gateways {
		waitActsOn(t, f, i, 0)
	}
	return f
}

// waitActsOn waits until a gateway acts on a version of the plans or on a later one.
func waitActsOn(t *testing.T, f *testcluster.Fleet, i int, number uint64) {
	t.Helper()
	clustertest.Eventually(t, fmt.Sprintf("%s to act on version %d", testcluster.Name(i),
		number), func() (bool, string) {
		h, err := rolloutStatus(f, i)
		return err == nil && h.Until > 0 &&
			h.InForce["plans"] >= number, fmt.Sprintf("%+v %v", h, err)
	})
}

// waitProposed proposes a text, and retries until the proposal is accepted.
func waitProposed(
	t *testing.T, f *testcluster.Fleet, at int, stage configversion.Stage, text string,
) (number uint64) {
	t.Helper()
	clustertest.Eventually(t, "a proposal", func() (bool, string) {
		n, err := propose(f, at, stage, 0, text)
		number = n
		return err == nil, fmt.Sprint(err)
	})
	return number
}

// waitEnded waits until no gateway may act on a version any more, by the committed state.
func waitEnded(t *testing.T, f *testcluster.Fleet, at int, number uint64) {
	t.Helper()
	clustertest.Eventually(t, fmt.Sprintf("the end of version %d", number), func() (bool, string) {
		v, err := versionsStatus(f, at)
		one := findVersion(&v, number)
		return err == nil && one != nil && one.ExpiresAt != 0 &&
			v.At >= one.ExpiresAt, fmt.Sprintf("%+v %v", one, err)
	})
}

// withTraffic runs do while clients send requests, with a second of traffic before and after it.
func withTraffic(t *testing.T, f *testcluster.Fleet, do func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Clients.Run(ctx)
	}()
	testcluster.Pass(ctx, time.Second)
	do()
	testcluster.Pass(ctx, time.Second)
	cancel()
	<-done
}

// checkRules fails the test if a rule was broken.
func checkRules(t *testing.T, f *testcluster.Fleet) {
	t.Helper()
	if fig := f.Summary("audit"); !fig.OK {
		t.Errorf("broken rules: %v; failures: %v", fig.Broken, fig.Why)
	}
}

// A gateway is suspended with a request decided but not yet checked once more, for a whole rollout
// that reduces all quotas. It is resumed when no gateway may act on the version before any more. It
// must forward nothing until it has caught up.
func TestStoppedThroughARollOut(t *testing.T) {
	f := fleet(
		t,
		testcluster.Options{
			Instances: 4,
			Env:       func(int) string { return "MOTHCLEAT_FAULTS=stop=lease-taken@stop" },
		},
	)
	const stopped = 3
	var number uint64
	var since time.Duration
	withTraffic(t, f, func() {
		clustertest.Eventually(t, "a forwarded request of the gateway", func() (bool, string) {
			return countForwarded(f, stopped, 0, 1<<62) > 0, ""
		})
		clustertest.Check(t,
			os.WriteFile(filepath.Join(f.Gateways[stopped].Dir(), "stop"), nil, 0o600))
		clustertest.Eventually(t, "the gateway to suspend itself", func() (bool, string) {
			return f.Stopped(stopped), ""
		})
		f.Record.AddProcessEvent(stopped, harness.Paused)
		number = waitProposed(t, f, 0, configversion.StageAll, plansText(f.Site, 0.25))
		for i := range 3 {
			waitActsOn(t, f, i, number)
		}
		waitEnded(t, f, 0, number-1)
		testcluster.Pass(t.Context(), time.Second) // clients send it requests meanwhile
		since = f.Record.Now()
		clustertest.Check(t, f.Wake(stopped))
		waitActsOn(t, f, stopped, number)
		testcluster.Pass(t.Context(), time.Second)
	})
	all, err := versionPeriods(f, stopped)
	clustertest.Check(t, err)
	if len(all) == 0 || all[len(all)-1].number != number {
		t.Fatalf("the log of %s doesn't end with version %d: %+v",
			testcluster.Name(stopped), number, all)
	}
	if early := attemptsOf(f, stopped, since, all[len(all)-1].from); len(early) > 0 {
		t.Errorf("%s forwarded %d requests between resuming at %v and catching up at %v\n%s\n%s",
			testcluster.Name(stopped), len(early), since, all[len(all)-1].from,
			describeAttempts(f, early), f.Gateways[stopped].Log())
	}
	if countForwarded(f, stopped, all[len(all)-1].from, 1<<62) == 0 {
		t.Error("the gateway forwarded nothing after it had caught up")
	}
	for i := range f.Site.Plans {
		p := &f.Site.Plans[i]
		p.Rate, p.Burst = p.Rate/4, p.Burst/4
	}
	for _, w := range allocationtest.WindowsSince(f.Site, f.Record,
		allocationtest.Slack{Late: 250 * time.Millisecond}, since) {
		if w.Over > 0 {
			t.Error(w)
		}
	}
}

// As TestStoppedThroughARollOut, but without divided quotas: only the version lease is checked
// before a write.
func TestAPermitAlone(t *testing.T) {
	f := fleet(
		t,
		testcluster.Options{
			Instances: 4,
			Seed:      7,
			Operators: versionsTable,
			Env:       func(int) string { return "MOTHCLEAT_FAULTS=stop=lease-taken@stop" },
		},
	)
	const stopped = 3
	withTraffic(t, f, func() {
		clustertest.Eventually(t, "a forwarded request of the gateway", func() (bool, string) {
			return countForwarded(f, stopped, 0, 1<<62) > 0, ""
		})
		clustertest.Check(t,
			os.WriteFile(filepath.Join(f.Gateways[stopped].Dir(), "stop"), nil, 0o600))
		clustertest.Eventually(t, "the gateway to suspend itself", func() (bool, string) {
			return f.Stopped(stopped), ""
		})
		f.Record.AddProcessEvent(stopped, harness.Paused)
		number := waitProposed(t, f, 0, configversion.StageAll, plansText(f.Site, 0.5))
		waitEnded(t, f, 0, number-1)
		since := f.Record.Now()
		clustertest.Check(t, f.Wake(stopped))
		waitActsOn(t, f, stopped, number)
		all, err := versionPeriods(f, stopped)
		clustertest.Check(t, err)
		if len(all) == 0 {
			t.Fatal("the gateway logged no version")
		}
		if early := attemptsOf(f, stopped, since, all[len(all)-1].from); len(early) > 0 {
			t.Errorf("%d requests forwarded between resuming at %v and catching up at %v\n%s\n%s",
				len(early), since, all[len(all)-1].from, describeAttempts(f, early),
				f.Gateways[stopped].Log())
		}
	})
	checkRules(t, f)
}

// A gateway is suspended between the last check of an attempt and its write, for a whole rollout.
// After it is resumed it may write that one attempt, and nothing more until it has caught up.
func TestStoppedBetweenTheCheckAndTheWrite(t *testing.T) {
	f := fleet(t, testcluster.Options{
		Instances: 4,
		Seed:      8,
		Operators: versionsTable,
		Env:       func(int) string { return "MOTHCLEAT_FAULTS=stop=attempt-checked@stop" },
	})
	const stopped = 3
	withTraffic(t, f, func() {
		clustertest.Eventually(t, "a forwarded request of the gateway", func() (bool, string) {
			return countForwarded(f, stopped, 0, 1<<62) > 0, ""
		})
		clustertest.Check(t,
			os.WriteFile(filepath.Join(f.Gateways[stopped].Dir(), "stop"), nil, 0o600))
		clustertest.Eventually(t, "the gateway to suspend itself", func() (bool, string) {
			return f.Stopped(stopped), ""
		})
		f.Record.AddProcessEvent(stopped, harness.Paused)
		number := waitProposed(t, f, 0, configversion.StageAll, plansText(f.Site, 0.5))
		waitEnded(t, f, 0, number-1)
		testcluster.Pass(t.Context(), time.Second) // clients send it requests meanwhile
		since := f.Record.Now()
		clustertest.Check(t, f.Wake(stopped))
		waitActsOn(t, f, stopped, number)
		all, err := versionPeriods(f, stopped)
		clustertest.Check(t, err)
		if len(all) == 0 {
			t.Fatal("the gateway logged no version")
		}
		if early := attemptsOf(f, stopped, since, all[len(all)-1].from); len(early) > 1 {
			t.Errorf("%d requests forwarded between resuming at %v and catching up at %v\n%s\n%s",
				len(early), since, all[len(all)-1].from, describeAttempts(f, early),
				f.Gateways[stopped].Log())
		}
	})
	checkRules(t, f)
}
