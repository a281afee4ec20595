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

// points are where processes stop or kill themselves, by a file in their folder.
var points = []string{
	"round-before-commit", "round-after-commit", "allocation-taken", "allocation-renewed", "allocation-reduced",
}

func faults(more string) string {
	text := "MOTHCLEAT_FAULTS=" + more
	for _, p := range points {
		text += ",stop=" + p + "@stop-" + p + ",kill=" + p + "@kill-" + p
	}
	return text
}

// fleet starts a fleet that divides, with all faults to be had, and waits until the shards are
// owned.
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
	f.Site.Shift = time.Second // demand moves, and parts with it
	run := newRun(f, &Options{Shards: 1}, writer{t})
	clustertest.Check(t, run.settled(t.Context()))
	return run
}

// writer has a run's notes be a test's.
type writer struct{ t *testing.T }

func (w writer) Write(b []byte) (int, error) {
	w.t.Log(string(b))
	return len(b), nil
}

// play has clients ask for as long as something is done, and a little longer.
func play(t *testing.T, run *trialRun, do func()) {
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

// kept fails the test if the whole of any budget was passed, by what servers took or by what
// processes held.
func kept(t *testing.T, run *trialRun) *harness.Summary {
	t.Helper()
	fig := run.f.Summary("budgets")
	clustertest.Check(t, run.judge(fig))
	if !fig.OK || len(Windows(run.f.Site, run.f.Record, Slack{})) == 0 {
		t.Errorf("broken %v, why %v", fig.Broken, fig.Why)
	}
	return fig
}

// stands waits until a process lies stopped, or has ended, at the point that was asked of it.
func (t *trialRun) stands(tt *testing.T, i int, how, point string) {
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

// eventually waits for something that tells no more than whether it is so.
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

// rights are what a gateway holds.
func rights(t *testing.T, f *testcluster.Fleet, i int) (r controlplane.AllocationStatus) {
	t.Helper()
	clustertest.Check(t, f.Call(i, "rights", &r))
	return r
}

// A customer's busiest gateway is cut off amid a surge: it goes on by its parts, then by its
// floors; the others get the rest. Then both are sure of themselves, and one hears the other.
func TestCutOffGatewayStaysInsideItsRights(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4}, nil)
	play(t, run, func() {
		cut := 3
		if ownerOf(t, run) == cut {
			cut = 2 // the owner is another's case
		}
		run.f.Isolate(cut, true, true, true)
		eventually(t, "floors alone at the one that is cut off", func() bool {
			held := rights(t, run.f, cut).Held
			return len(held) > 0 && held[0].Until == 0 && held[0].ReservedUntil > 0
		})
		eventually(t, "its parts taken back", func() bool {
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
		eventually(t, "renewed rights", func() bool {
			held := rights(t, run.f, cut).Held
			return len(held) > 0 && held[0].Until > 0
		})
	})
	kept(t, run)
	if run.f.Held() == 0 {
		t.Error("the cut held nothing up")
	}
}

// Processes stop and kill themselves at each point where it matters, in one fleet, one after
// another.
func TestEndsAmidWork(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4, Seed: 1}, nil)
	play(t, run, func() {
		// A holder stops between taking units and its last look at the clock, for twice its span,
		// and is woken with requests queued.
		i := (ownerOf(t, run) + 1) % 4
		run.stands(t, i, "stop", "allocation-taken")
		testcluster.Pass(t.Context(), 2*allocation.DefaultConfig().TTL)
		clustertest.Check(t, run.f.Wake(i))
		run.f.Record.AddProcessEvent(i, harness.Resumed)
		// The owner stops between having a round agreed and telling it, and before: its words come
		// after those of the next.
		for _, point := range []string{"round-after-commit", "round-before-commit"} {
			i := ownerOf(t, run)
			run.stands(t, i, "stop", point)
			eventually(t, "another owner", func() bool {
				own := run.leader(allocation.RoleOfShard(0))
				return own >= 0 && own != i
			})
			testcluster.Pass(t.Context(), time.Second)
			clustertest.Check(t, run.f.Wake(i))
			run.f.Record.AddProcessEvent(i, harness.Resumed)
		}
		// What a part is lessened to is heard by a process that is killed before it acts on it, and
		// by one that is killed after.
		for _, point := range []string{"allocation-renewed", "allocation-reduced"} {
			i := (ownerOf(t, run) + 1) % 4
			run.stands(t, i, "kill", point)
			clustertest.Check(t, run.f.Begin(i))
			eventually(t, "rights of the one that was started anew", func() bool {
				return len(rights(t, run.f, i).Held) > 0
			})
		}
	})
	kept(t, run)
}

// All voters are gone at once: whoever is left runs down to its floors and serves by them; then all
// is back.
func TestNoVoters(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4, Voters: 3, Seed: 4}, nil)
	play(t, run, func() {
		for i := range 3 {
			clustertest.Check(t, run.f.End(i, syscall.SIGKILL))
		}
		eventually(t, "floors alone", func() bool { return floorsAlone(t, run.f, 3) })
		alone := run.f.Record.Now()
		testcluster.Pass(t.Context(), without)
		served(t, run, alone, 3)
		for i := range 3 {
			clustertest.Check(t, run.f.Begin(i))
		}
		eventually(t, "renewed rights", func() bool { return renewed(t, run.f, 3) })
	})
	kept(t, run)
}

// without is for how long nobody divides: less than floors last.
const without = 30 * time.Second

// floorsAlone tells whether a gateway has floors of quotas and no parts; renewed, whether it has
// parts again.
func floorsAlone(t *testing.T, f *testcluster.Fleet, i int) (floors bool) {
	for _, r := range rights(t, f, i).Held {
		if r.Until > 0 {
			return false
		}
		floors = floors || r.ReservedUntil > 0 && r.Allocation.ReservedMin.Burst > 0
	}
	return floors
}

func renewed(t *testing.T, f *testcluster.Fleet, i int) bool {
	return slices.ContainsFunc(rights(t, f, i).Held, func(r allocation.HolderStatus) bool {
		return r.Until > 0
	})
}

// served fails the test if a gateway has sent nothing on since some time.
func served(t *testing.T, run *trialRun, since time.Duration, i int) {
	t.Helper()
	some := false
	run.f.Record.Read(func() {
		some = slices.ContainsFunc(run.f.Record.Attempts, func(a harness.Attempt) bool {
			return a.ReceivedAt > since && a.Gateway == i
		})
	})
	if !some {
		t.Errorf("%s sent nothing on by its floors", testcluster.Name(i))
	}
}

// The shard's owner holds its duty and divides nothing for 30 s: parts run out, floors serve, and
// then all is back. Whoever takes the duty on has the same trouble.
func TestNoOwnerFor30Seconds(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4, Seed: 9}, func(int) string {
		return "slow=shard-before-read:" + without.String() + "@slow"
	})
	play(t, run, func() {
		for i := range run.f.Gateways {
			clustertest.Check(t,
				os.WriteFile(filepath.Join(run.f.Gateways[i].Dir(), "slow"), nil, 0o600))
		}
		from := ownerOf(t, run)
		to := (from + 1) % 4
		eventually(t, "the duty handed on", func() bool {
			_ = run.f.Call(from,
				"transfer "+allocation.RoleOfShard(0)+" "+testcluster.Name(to), nil)
			own := run.leader(allocation.RoleOfShard(0))
			return own >= 0 && own != from
		})
		began := time.Now()
		eventually(t, "floors alone everywhere", func() bool {
			for i := range run.f.Gateways {
				if !floorsAlone(t, run.f, i) {
					return false
				}
			}
			return true
		})
		alone := run.f.Record.Now()
		testcluster.Pass(t.Context(), without/2)
		for i := range run.f.Gateways {
			served(t, run, alone, i)
			clustertest.Check(t, os.Remove(filepath.Join(run.f.Gateways[i].Dir(), "slow")))
		}
		eventually(t, "renewed rights", func() bool {
			for i := range run.f.Gateways {
				if !renewed(t, run.f, i) {
					return false
				}
			}
			return true
		})
		if time.Since(began) < without/2 {
			t.Error("an owner divided all the time: nothing was shown")
		}
	})
	kept(t, run)
}

// A voter's folder, and a gateway's that does not vote, are put back as they were long before, with
// the boots and terms of then: the voter does not vote, the gateway takes what it held for nothing,
// and the sum holds.
func TestFoldersOfLongBefore(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4, Seed: 10}, nil)
	voter := 1
	clustertest.Check(t, run.f.Save(voter), run.f.Save(3))
	play(t, run, func() {
		for _, i := range []int{3, voter, 3} { // boots that the copies know nothing of
			clustertest.Check(t, run.f.End(i, syscall.SIGKILL), run.f.Begin(i))
			eventually(t, "rights", func() bool { return renewed(t, run.f, i) })
		}
		for _, i := range []int{voter, 3} {
			clustertest.Check(t, run.f.End(i, syscall.SIGKILL), run.f.Restore(i), run.f.Begin(i))
			eventually(t, "rights with the older folder", func() bool {
				return renewed(t, run.f, i)
			})
		}
		eventually(t, "the voter with the older folder says that it must not vote", func() bool {
			var here controlplane.LocalStatus
			return run.f.Call(voter, "here", &here) == nil && here.Fault != ""
		})
	})
	kept(t, run)
}

// The shard's owner leaves: it hands the shard on, and gives back its parts to the next owner, long
// before they run out.
func TestAnOwnerThatLeavesGivesBack(t *testing.T) {
	run := fleet(t,
		testcluster.Options{Instances: 4, Seed: 12, Operators: Text(1, "span = \"50s\"")}, nil)
	play(t, run, func() {
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
		eventually(t, "parts of the owner's own", holds)
		clustertest.Check(t, run.f.End(i, syscall.SIGTERM))
		eventually(t, "nothing held by the one that left", func() bool { return !holds() })
		clustertest.Check(t, run.f.Begin(i))
	})
	kept(t, run)
}

// Many join within a second, and then all are replaced, some at a time and in any order. lab
// budgets --surge plays it with forty.
func TestSurgeAndRollingReplacement(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 10, Voters: 3, Seed: 11}, nil)
	play(t, run, func() { clustertest.Check(t, run.surge(t.Context(), 3, 2)) })
	fig := kept(t, run)
	if fig.Broken[harness.Lost] > 0 {
		t.Error("requests were lost")
	}
	if run.harm.Did("joins") < 17 {
		t.Errorf("%d joins", run.harm.Did("joins"))
	}
}

// All are replaced one after another, in order or not, and the parts go to whoever is there.
func TestRollingReplacement(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 3, Seed: 5}, nil)
	play(t, run, func() {
		for i := range 3 {
			how := syscall.SIGTERM
			if i%2 == 1 {
				how = syscall.SIGKILL
			}
			clustertest.Check(t, run.f.End(i, how), run.f.Begin(i))
			eventually(t, "rights of a newcomer", func() bool {
				return len(rights(t, run.f, i).Held) > 0
			})
		}
	})
	if fig := kept(t, run); fig.Broken[harness.Lost] > 0 {
		t.Error("requests were lost")
	}
}

// Clocks at nine tenths of the pace, ahead, and one that leaps by a minute at a gateway that
// divides nothing.
func TestClocksThatDiffer(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 4, Seed: 6}, func(i int) string {
		return []string{"pace=0.9", "ahead=30s", "", "jump=1m@12s"}[i]
	})
	play(t, run, func() { testcluster.Pass(t.Context(), 4*time.Second) })
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

// Whoever was up first, the shards go to several gateways.
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
	play(t, run, func() {
		eventually(t, "three owners", spread)
	})
	kept(t, run)
}

// Quotas are lessened to a quarter while all of them are out, by a configuration that comes with
// one new process after another.
func TestQuotaLessenedByANewConfiguration(t *testing.T) {
	run := fleet(t, testcluster.Options{Instances: 3, Seed: 8}, nil)
	var since time.Duration
	play(t, run, func() {
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
		eventually(t, "the new wholes", func() bool {
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
					continue // nobody was asked for it since
				}
				if seen++; !plans[b.Limit.Burst] || sum > b.Limit.Burst+1e-6 {
					return false
				}
			}
			return seen > 0
		})
		since = run.f.Record.Now() + 2*time.Second // customers that ask now and then are heard of
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
		t.Error("nothing was taken under the new quotas")
	}
}
