package allocationtest

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

var bin string

func TestMain(m *testing.M) { os.Exit(testcluster.Main(&bin, m.Run)) }

// points are the failpoints at which processes suspend or kill themselves if a file asks for it.
var points = []string{
	"round-before-commit", "round-after-commit",
	"allocation-taken", "allocation-renewed", "allocation-reduced",
}

func faults(more string) string {
	text := "MOTHCLEAT_FAULTS=" + more
	for _, p := range points {
		text += ",stop=" + p + "@stop-" + p + ",kill=" + p + "@kill-" + p
	}
	return text
}

// fleet starts a fleet that divides quotas, with all faults available, and waits until each shard
// has an owner.
func fleet(t *testing.T, o testcluster.Options, clock func(i int) string) *trialRun {
	t.Helper()
	o.Bin, o.Load, o.Seed = bin, 0.3, o.Seed+1
	if o.Operators == "" {
		o.Operators = Text(1)
	}
	o.Env = func(i int) string {
		if clock == nil {
			return faults("")
		}
		return faults(clock(i))
	}
	f := clustertest.Fleet(t, o)
	f.Site.Shift = time.Second // demand moves between gateways, and allocations with it
	run := newRun(f, &Options{Shards: 1}, writer{t})
	clustertest.Check(t, run.waitUntilSettled(t.Context()))
	return run
}

// writer writes a run's progress to a test's log.
type writer struct{ t *testing.T }

func (w writer) Write(b []byte) (int, error) {
	w.t.Log(string(b))
	return len(b), nil
}

// withTraffic runs do while clients send requests, with a second of traffic before and after it.
func withTraffic(t *testing.T, run *trialRun, do func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		run.f.Clients.Run(ctx)
	}()
	testcluster.Pass(ctx, time.Second)
	do()
	testcluster.Pass(ctx, time.Second)
	cancel()
	<-done
}

// checkLimits fails the test if any budget was exceeded, by what servers received or by what
// processes held.
func checkLimits(t *testing.T, run *trialRun) *harness.Summary {
	t.Helper()
	fig := run.f.Summary("budgets")
	clustertest.Check(t, run.judge(fig))
	if !fig.OK || len(Windows(run.f.Site, run.f.Record, Slack{})) == 0 {
		t.Errorf("broken rules: %v; failures: %v", fig.Broken, fig.Why)
	}
	return fig
}

// injectAt requests that a process suspends (stop) or kills itself (kill) at a failpoint, and waits
// until it has.
func (t *trialRun) injectAt(tt *testing.T, i int, how, point string) {
	tt.Helper()
	if how == "kill" {
		t.f.Gateways[i].Expect(syscall.SIGKILL)
	}
	clustertest.Check(tt,
		os.WriteFile(filepath.Join(t.f.Gateways[i].Dir(), how+"-"+point), nil, 0o600))
	eventually(tt, testcluster.Name(i)+" at "+point, func() bool {
		return how == "stop" && t.f.Stopped(i) || how == "kill" && !t.f.Gateways[i].Running()
	})
	if how == "stop" {
		t.f.Record.AddProcessEvent(i, harness.Paused)
		t.harm.Count("stops")
	} else {
		t.f.Record.AddProcessEvent(i, harness.Killed)
		t.harm.Count("kills")
	}
}

// eventually is clustertest.Eventually for a condition without a description.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	clustertest.Eventually(t, what, func() (bool, string) { return is(), "" })
}

// ownerOf waits for the owner of the one shard.
func ownerOf(t *testing.T, run *trialRun) (i int) {
	t.Helper()
	eventually(t, "an owner", func() bool {
		i = run.leader(allocation.RoleOfShard(0))
		return i >= 0
	})
	return i
}

// allocationStatus returns the allocations that a gateway holds.
func allocationStatus(t *testing.T, f *testcluster.Fleet, i int) (r controlplane.AllocationStatus) {
	t.Helper()
	clustertest.Check(t, f.Call(i, "rights", &r))
	return r
}

// A gateway is cut off under load. It continues with its allocations, then with its reserved
// minimums, while the others get the rest. After the isolation it gets allocations again.
func TestCutOffGatewayStaysInsideItsRights(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4}, nil)
	withTraffic(t, run, func() {
		cut := 3
		if ownerOf(t, run) == cut {
			cut = 2 // the isolation of an owner is another test's case
		}
		run.f.Isolate(cut, true, true, true)
		eventually(t, "only reserved minimums at the isolated gateway", func() bool {
			held := allocationStatus(t, run.f, cut).Held
			return len(held) > 0 && held[0].Until == 0 && held[0].ReservedUntil > 0
		})
		eventually(t, "its allocations to be reclaimed", func() bool {
			var books []allocation.View
			if run.f.Call(0, "budgets", &books) != nil {
				return false
			}
			for _, b := range books {
				for _, h := range b.Allocations {
					if h.Member.ID == testcluster.Name(cut) &&
						h.Total.Burst > h.ReservedMin.Burst+1e-6 {
						return false
					}
				}
			}
			return len(books) > 0
		})
		run.f.Heal()
		eventually(t, "renewed allocations", func() bool {
			held := allocationStatus(t, run.f, cut).Held
			return len(held) > 0 && held[0].Until > 0
		})
	})
	checkLimits(t, run)
	if run.f.Held() == 0 {
		t.Error("the cut links held nothing back")
	}
}

// Processes suspend or kill themselves at each critical point, one after another in one fleet.
func TestEndsAmidWork(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4, Seed: 1}, nil)
	withTraffic(t, run, func() {
		// A holder is suspended between taking units and its last check of the clock, for twice its
		// TTL, and resumed with requests queued.
		i := (ownerOf(t, run) + 1) % 4
		run.injectAt(t, i, "stop", "allocation-taken")
		testcluster.Pass(t.Context(), 2*allocation.DefaultConfig().TTL)
		clustertest.Check(t, run.f.Wake(i))
		run.f.Record.AddProcessEvent(i, harness.Resumed)
		// The owner is suspended after the commit of a round and before it sends the result, and
		// then before the commit: its messages come after those of the next owner.
		for _, point := range []string{"round-after-commit", "round-before-commit"} {
			i := ownerOf(t, run)
			run.injectAt(t, i, "stop", point)
			eventually(t, "another owner", func() bool {
				own := run.leader(allocation.RoleOfShard(0))
				return own >= 0 && own != i
			})
			testcluster.Pass(t.Context(), time.Second)
			clustertest.Check(t, run.f.Wake(i))
			run.f.Record.AddProcessEvent(i, harness.Resumed)
		}
		// A process receives a reduced allocation and is killed before it applies the reduction,
		// and another one after.
		for _, point := range []string{"allocation-renewed", "allocation-reduced"} {
			i := (ownerOf(t, run) + 1) % 4
			run.injectAt(t, i, "kill", point)
			clustertest.Check(t, run.f.Begin(i))
			eventually(t, "allocations of the restarted gateway", func() bool {
				return len(allocationStatus(t, run.f, i).Held) > 0
			})
		}
	})
	checkLimits(t, run)
}

// All voters are killed at once. The remaining gateway is left with its reserved minimums and
// serves by them. After the voters' restart it gets allocations again.
func TestNoVoters(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4, Voters: 3, Seed: 4}, nil)
	withTraffic(t, run, func() {
		for i := range 3 {
			clustertest.Check(t, run.f.End(i, syscall.SIGKILL))
		}
		eventually(t, "only reserved minimums", func() bool { return onlyReserved(t, run.f, 3) })
		alone := run.f.Record.Now()
		testcluster.Pass(t.Context(), outage)
		checkServed(t, run, alone, 3)
		for i := range 3 {
			clustertest.Check(t, run.f.Begin(i))
		}
		eventually(t, "renewed allocations", func() bool { return hasAllocations(t, run.f, 3) })
	})
	checkLimits(t, run)
}

// outage is how long no owner divides quotas. It is shorter than reserved minimums last.
const outage = 30 * time.Second

// onlyReserved reports whether a gateway has reserved minimums and no allocations beyond them.
func onlyReserved(t *testing.T, f *testcluster.Fleet, i int) (reserved bool) {
	for _, r := range allocationStatus(t, f, i).Held {
		if r.Until > 0 {
			return false
		}
		reserved = reserved || r.ReservedUntil > 0 && r.Allocation.ReservedMin.Burst > 0
	}
	return reserved
}

// hasAllocations reports whether a gateway has a valid allocation.
func hasAllocations(t *testing.T, f *testcluster.Fleet, i int) bool {
	return slices.ContainsFunc(allocationStatus(t, f, i).Held,
		func(r allocation.HolderStatus) bool { return r.Until > 0 })
}

// checkServed fails the test if a gateway has forwarded nothing since a time.
func checkServed(t *testing.T, run *trialRun, since time.Duration, i int) {
	t.Helper()
	some := false
	run.f.Record.Read(func() {
		some = slices.ContainsFunc(run.f.Record.Attempts, func(a harness.Attempt) bool {
			return a.ReceivedAt > since && a.Gateway == i
		})
	})
	if !some {
		t.Errorf("%s forwarded nothing by its reserved minimums", testcluster.Name(i))
	}
}

// The shard's owner keeps its role but divides nothing for 30 s. Allocations expire, gateways serve
// by their reserved minimums, and then get allocations again. Any next owner has the same fault.
func TestNoOwnerFor30Seconds(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4, Seed: 9}, func(int) string {
		return "slow=shard-before-read:" + outage.String() + "@slow"
	})
	withTraffic(t, run, func() {
		for i := range run.f.Gateways {
			clustertest.Check(t,
				os.WriteFile(filepath.Join(run.f.Gateways[i].Dir(), "slow"), nil, 0o600))
		}
		from := ownerOf(t, run)
		to := (from + 1) % 4
		eventually(t, "the transfer of the role", func() bool {
			_ = run.f.Call(from,
				"transfer "+allocation.RoleOfShard(0)+" "+testcluster.Name(to), nil)
			own := run.leader(allocation.RoleOfShard(0))
			return own >= 0 && own != from
		})
		began := time.Now()
		eventually(t, "only reserved minimums at all gateways", func() bool {
			for i := range run.f.Gateways {
				if !onlyReserved(t, run.f, i) {
					return false
				}
			}
			return true
		})
		alone := run.f.Record.Now()
		testcluster.Pass(t.Context(), outage/2)
		for i := range run.f.Gateways {
			checkServed(t, run, alone, i)
			clustertest.Check(t, os.Remove(filepath.Join(run.f.Gateways[i].Dir(), "slow")))
		}
		eventually(t, "renewed allocations", func() bool {
			for i := range run.f.Gateways {
				if !hasAllocations(t, run.f, i) {
					return false
				}
			}
			return true
		})
		if time.Since(began) < outage/2 {
			t.Error("an owner divided quotas during the fault")
		}
	})
	checkLimits(t, run)
}

// The folders of a voter and of a gateway that does not vote are restored from older copies, with
// old incarnations and terms. The voter must not vote, the gateway must discard the allocations in
// its folder, and no budget may be exceeded.
func TestFoldersOfLongBefore(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4, Seed: 10}, nil)
	voter := 1
	clustertest.Check(t, run.f.Save(voter), run.f.Save(3))
	withTraffic(t, run, func() {
		for _, i := range []int{3, voter, 3} { // incarnations that the copies don't have
			clustertest.Check(t, run.f.End(i, syscall.SIGKILL), run.f.Begin(i))
			eventually(t, "allocations", func() bool { return hasAllocations(t, run.f, i) })
		}
		for _, i := range []int{voter, 3} {
			clustertest.Check(t, run.f.End(i, syscall.SIGKILL), run.f.Restore(i), run.f.Begin(i))
			eventually(t, "allocations with the older folder", func() bool {
				return hasAllocations(t, run.f, i)
			})
		}
		eventually(t, "the voter with the older folder to report a fault", func() bool {
			var here controlplane.LocalStatus
			return run.f.Call(voter, "here", &here) == nil && here.Fault != ""
		})
	})
	checkLimits(t, run)
}

// The shard's owner leaves. It transfers the shard and returns its allocations to the next owner,
// long before they expire.
func TestAnOwnerThatLeavesGivesBack(t *testing.T) {
	run := fleet(t,
		testcluster.Options{Instances: 4, Seed: 12, Operators: Text(1, "span = \"50s\"")}, nil)
	withTraffic(t, run, func() {
		i := ownerOf(t, run)
		var here controlplane.LocalStatus
		clustertest.Check(t, run.f.Call(i, "here", &here))
		holds := func() bool {
			var books []allocation.View
			if run.f.Call((i+1)%4, "budgets", &books) != nil {
				return true
			}
			return slices.ContainsFunc(books, func(b allocation.View) bool {
				return slices.ContainsFunc(b.Allocations, func(h allocation.MemberAllocation) bool {
					return h.Member == here.Member
				})
			})
		}
		eventually(t, "allocations of the owner", holds)
		clustertest.Check(t, run.f.End(i, syscall.SIGTERM))
		eventually(t, "no allocations of the gateway that left", func() bool { return !holds() })
		clustertest.Check(t, run.f.Begin(i))
	})
	checkLimits(t, run)
}

// Many gateways join within a second, and then all are replaced in random order, some at a time.
// lab budgets --surge runs it with 40 gateways.
func TestSurgeAndRollingReplacement(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 10, Voters: 3, Seed: 11}, nil)
	withTraffic(t, run, func() { clustertest.Check(t, run.surge(t.Context(), 3, 2)) })
	fig := checkLimits(t, run)
	if fig.Broken[harness.Lost] > 0 {
		t.Error("requests were lost")
	}
	if run.harm.Did("joins") < 17 {
		t.Errorf("%d joins, want at least 17", run.harm.Did("joins"))
	}
}

// All gateways are replaced one after another, gracefully or by a kill, and get allocations.
func TestRollingReplacement(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 3, Seed: 5}, nil)
	withTraffic(t, run, func() {
		for i := range 3 {
			how := syscall.SIGTERM
			if i%2 == 1 {
				how = syscall.SIGKILL
			}
			clustertest.Check(t, run.f.End(i, how), run.f.Begin(i))
			eventually(t, "allocations of the new process", func() bool {
				return len(allocationStatus(t, run.f, i).Held) > 0
			})
		}
	})
	if fig := checkLimits(t, run); fig.Broken[harness.Lost] > 0 {
		t.Error("requests were lost")
	}
}

// One clock runs at 0.9 of the pace, one is 30 s ahead, and one jumps by a minute at a gateway that
// divides nothing.
func TestClocksThatDiffer(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4, Seed: 6}, func(i int) string {
		return []string{"pace=0.9", "ahead=30s", "", "jump=1m@12s"}[i]
	})
	withTraffic(t, run, func() { testcluster.Pass(t.Context(), 4*time.Second) })
	all := Windows(
		run.f.Site,
		run.f.Record,
		Slack{
			Late: allocation.DefaultConfig().UseTimeout,
			Pace: allocation.DefaultConfig().ClockDrift,
		},
	)
	if len(all) == 0 || all[0].Over > 0 {
		t.Errorf("%v", all[0])
	}
}

// The shards are distributed over several gateways, whichever started first.
func TestShardsAreSpread(t *testing.T) {
	const shards = 6
	run := fleet(t, testcluster.Options{Instances: 4, Seed: 7, Operators: Text(shards)}, nil)
	spread := func() bool {
		owners := map[int]bool{}
		for shard := range shards {
			owners[run.leader(allocation.RoleOfShard(shard))] = true
		}
		return len(owners) >= 3 && !owners[-1]
	}
	withTraffic(t, run, func() {
		eventually(t, "three owners", spread)
	})
	checkLimits(t, run)
}

// All quotas are reduced to a quarter while they are allocated, by a configuration that each
// gateway loads when it is restarted, one after another.
func TestQuotaLessenedByANewConfiguration(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 3, Seed: 8}, nil)
	var since time.Duration
	withTraffic(t, run, func() {
		for i := range run.f.Site.Plans {
			p := &run.f.Site.Plans[i]
			p.Rate, p.Burst = p.Rate/4, p.Burst/4
		}
		for i := range 3 {
			clustertest.Check(t, run.f.End(i, syscall.SIGTERM), run.f.Begin(i))
		}
		plans := map[float64]bool{}
		for _, p := range run.f.Site.Plans {
			plans[p.Burst] = true
		}
		eventually(t, "the new limits", func() bool {
			var books []allocation.View
			if run.f.Call(0, "budgets", &books) != nil {
				return false
			}
			seen := 0
			for _, b := range books {
				sum := 0.0
				for _, h := range b.Allocations {
					sum += h.Total.Burst
				}
				if len(b.Allocations) == 0 {
					continue // no client has used it since
				}
				if seen++; !plans[b.Limit.Burst] || sum > b.Limit.Burst+1e-6 {
					return false
				}
			}
			return seen > 0
		})
		// After 2 s customers with few requests have been seen, too.
		since = run.f.Record.Now() + 2*time.Second
		testcluster.Pass(t.Context(), 4*time.Second)
	})
	all := WindowsSince(run.f.Site, run.f.Record,
		Slack{Late: allocation.DefaultConfig().UseTimeout}, since)
	for _, w := range all {
		if w.Over > 0 {
			t.Error(w)
		}
	}
	if len(all) == 0 {
		t.Error("servers received nothing under the new quotas")
	}
}
