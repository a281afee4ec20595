package electiontest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/metering"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/controlplane/usageexporter"
	"mothcleat/internal/storage/store"
	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

var bin string

func TestMain(m *testing.M) { os.Exit(testcluster.Main(&bin, m.Run)) }

// fleet starts a fleet for a test.
func fleet(t *testing.T, o testcluster.Options) *testcluster.Fleet {
	t.Helper()
	o.Bin, o.Load = bin, 0.2
	if o.Seed == 0 {
		o.Seed = 1
	}
	return clustertest.Fleet(t, o)
}

// owner returns the holder of a role by the committed leases, as a gateway reports them; -1 if
// none.
func owner(f *testcluster.Fleet, at int, role string) (int, lease.Lease) {
	var v lease.View
	if f.Call(at, "owners", &v) != nil {
		return -1, lease.Lease{}
	}
	for _, h := range v.Leases {
		var i int
		if n, _ := fmt.Sscanf(h.Holder.ID, "n%d", &i); h.Role == role && n == 1 &&
			v.At <= h.ExpiresAt {
			return i, h
		}
	}
	return -1, lease.Lease{}
}

// waitForOwner waits for an owner, under a term above after, that reports the role itself. The
// leases alone still name a process that has just exited while the fleet's time does not advance.
func waitForOwner(
	t *testing.T, f *testcluster.Fleet, at int, role string, after uint64,
) (i int, h lease.Lease) {
	t.Helper()
	clustertest.Eventually(t, "an owner of "+role, func() (bool, string) {
		var here controlplane.LocalStatus
		if i, h = owner(f, at, role); i < 0 || h.Term <= after {
			return false, fmt.Sprintf("%d %+v", i, h)
		}
		err := f.Call(i, "here", &here)
		return err == nil && here.Roles[role] == h.Term, fmt.Sprintf("%+v, here %+v %v",
			h, here, err)
	})
	return i, h
}

// view waits until a gateway answers with the exports.
func view(t *testing.T, f *testcluster.Fleet, at int) (v usageexport.View) {
	t.Helper()
	clustertest.Eventually(t, "the exports", func() (bool, string) {
		err := f.Call(at, "exports", &v)
		return err == nil, fmt.Sprint(err)
	})
	return v
}

// another returns a gateway other than the given ones.
func another(f *testcluster.Fleet, except ...int) int {
next:
	for i := range f.Gateways {
		for _, b := range except {
			if i == b {
				continue next
			}
		}
		return i
	}
	return -1
}

// A killed owner is succeeded by another gateway under a higher term.
func TestAnotherFollowsAKilledOwner(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 3})
	role := usageexport.RoleOfShard(0)
	i, h := waitForOwner(t, f, 0, role, 0)
	if err := f.End(i, 9); err != nil {
		t.Fatal(err)
	}
	j, next := waitForOwner(t, f, another(f, i), role, h.Term)
	if j == i || next.Cause != lease.Expired {
		t.Errorf("after %+v: %+v", h, next)
	}
}

// activateFault creates the file that activates a gateway's fault.
func activateFault(t *testing.T, f *testcluster.Fleet, i int, name string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(f.Gateways[i].Dir(), name), nil, 0o600); err != nil {
		t.Fatal(err)
	}
}

// waitLogged waits until a gateway has logged a text.
func waitLogged(t *testing.T, f *testcluster.Fleet, i int, what string) {
	t.Helper()
	clustertest.Eventually(t, testcluster.Name(i)+" to log "+what, func() (bool, string) {
		return strings.Contains(f.Gateways[i].Log(), what), ""
	})
}

// runTraffic has clients send requests for d.
func runTraffic(t *testing.T, f *testcluster.Fleet, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	f.Clients.Run(ctx)
}

// waitExported waits until the committed files have all units that the servers received, with a
// tolerance of lacking units.
func waitExported(t *testing.T, f *testcluster.Fleet, at int, lacking float64) usageexport.View {
	t.Helper()
	run := &trialRun{f: f}
	want := 0.0
	for _, units := range run.sentUnits() {
		want += units
	}
	if want == 0 {
		t.Fatal("no request was forwarded, so the test shows nothing")
	}
	var v usageexport.View
	clustertest.Eventually(t, fmt.Sprintf("%g units exported", want), func() (bool, string) {
		if f.Call(at, "exports", &v) != nil {
			return false, "no answer"
		}
		return v.Units >= want-lacking && v.Units <= want+lacking, fmt.Sprintf("%g units", v.Units)
	})
	units, _, err := usageexporter.Verify(f.Exports, &v)
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, n := range units {
		sum += n
	}
	if sum != v.Units {
		t.Errorf("the files have %g units, but %g were committed", sum, v.Units)
	}
	if two, late := countConflicts(&v); two+late > 0 {
		t.Errorf("%d effects of two owners, %d late ones", two, late)
	}
	return v
}

// An owner is suspended (by SIGSTOP to itself at a failpoint) between its check and its write, and
// resumed when another owner has exported. Its command must be refused, nothing may be exported
// twice, and it must notice by itself that it lost the role.
func TestAnOwnerThatWakesLateDoesNoHarm(t *testing.T) {
	f := fleet(
		t,
		testcluster.Options{
			Instances: 4,
			Env:       func(int) string { return "MOTHCLEAT_FAULTS=stop=export-before-agree@stop" },
		},
	)
	role := usageexport.RoleOfShard(0)
	i, h := waitForOwner(t, f, 0, role, 0)
	activateFault(t, f, i, "stop")
	trafficDone := make(chan struct{})
	go func() {
		defer close(trafficDone)
		runTraffic(t, f, 2*time.Second)
	}()
	clustertest.Eventually(t, "the owner to suspend itself", func() (bool, string) {
		return f.Stopped(i), ""
	})
	at := another(f, i)
	_, next := waitForOwner(t, f, at, role, h.Term)
	before := view(t, f, at)
	clustertest.Eventually(t, "an export by the next owner", func() (bool, string) {
		v := view(t, f, at)
		return v.Count > before.Count && v.Files[len(v.Files)-1].Term == next.Term, ""
	})
	if err := f.Wake(i); err != nil {
		t.Fatal(err)
	}
	waitLogged(t, f, i, "refused: lease: not the owner under this term")
	waitLogged(t, f, i, "role lost")
	<-trafficDone
	waitExported(t, f, at, 0)
}

// The log's leader is cut off in one direction: first it can't send, then it can't receive. Each
// time another voter must become leader, and commits must continue.
func TestALeaderHalfCutOff(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	run := &trialRun{f: f, o: Options{Instances: 4, Shards: 1}}
	for _, cutSending := range []bool{true, false} {
		var i int
		clustertest.Eventually(t, "a leader", func() (bool, string) {
			i = run.logLeader()
			return i >= 0, ""
		})
		var was consensus.Membership
		if err := run.view("status", &was); err != nil {
			t.Fatal(err)
		}
		held := f.Held()
		f.Isolate(i, cutSending, !cutSending, true)
		at := another(f, i)
		clustertest.Eventually(t, "another leader", func() (bool, string) {
			var l consensus.Membership
			err := f.Call(at, "status", &l)
			return err == nil && l.Leader != testcluster.Name(i) && l.Leader != "" &&
				l.Term > was.Term, fmt.Sprintf("%+v %v", l, err)
		})
		waitForOwner(t, f, at, usageexport.RoleOfShard(0), 0)
		if f.Held() == held {
			t.Error("the cut links held nothing back")
		}
		f.Isolate(i, cutSending, !cutSending, false)
		clustertest.Eventually(t, "the old leader to follow", func() (bool, string) {
			var h struct{ Leader string }
			err := f.Call(i, "here", &h)
			return err == nil && h.Leader != "" &&
				h.Leader != testcluster.Name(i), fmt.Sprint(h, err)
		})
	}
}

// A voter that restarts with an older folder, or without one, must not vote, and logs how to repair
// it.
func TestAVoterWithAnOldOrEmptyFolderDoesNotVote(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	waitForOwner(t, f, 3, usageexport.RoleOfShard(0), 0)
	if err := f.Save(2); err != nil {
		t.Fatal(err)
	}
	runTraffic(t, f, time.Second) // more is committed meanwhile
	if err := errors.Join(f.End(2, syscall.SIGKILL), f.Restore(2), f.Begin(2)); err != nil {
		t.Fatal(err)
	}
	waitLogged(t, f, 2, "the folder is an older copy")
	if err := errors.Join(f.End(2, syscall.SIGKILL), f.Empty(2), f.Begin(2)); err != nil {
		t.Fatal(err)
	}
	waitLogged(
		t,
		f,
		2,
		"must not vote: the operators' file names this gateway as a voter, but its folder is no voter's",
	)
	// The repair that the log lines describe: remove the voter, create its folder, add it.
	clustertest.Eventually(t, "the removal of the voter", func() (bool, string) {
		err := f.Call(0, "remove n2", nil)
		return err == nil || strings.Contains(err.Error(), "no voter"), fmt.Sprint(err)
	})
	if err := f.End(2, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(os.RemoveAll(filepath.Join(f.FleetDir(2), "log")),
		f.Command(2, nil, "fleet", "join", "n2", "--operators", "operators.toml"),
		f.Begin(2)); err != nil {
		t.Fatal(err)
	}
	clustertest.Eventually(t, "the addition of the voter", func() (bool, string) {
		err := f.Call(2, "add", nil)
		return err == nil, fmt.Sprint(err)
	})
	clustertest.Eventually(t, "the voter to vote and be up to date", func() (bool, string) {
		var l consensus.Membership
		var h struct{ Applied uint64 }
		err := errors.Join(f.Call(0, "status", &l), f.Call(2, "here", &h))
		return err == nil && len(l.Voters) == 3 &&
			h.Applied+20 > l.AppliedIndex, fmt.Sprintf("%+v %+v %v", l, h, err)
	})
	// With one of the other voters killed, its vote is needed.
	if err := f.End(1, syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	_, h := waitForOwner(t, f, 0, usageexport.RoleOfShard(0), 0)
	if err := f.Call(0, "transfer "+h.Role+" n3", nil); err != nil && h.Holder.ID != "n3" {
		clustertest.Eventually(t, "a commit", func() (bool, string) {
			err := f.Call(0, "transfer "+h.Role+" n3", nil)
			return err == nil || strings.Contains(err.Error(), "already"), fmt.Sprint(err)
		})
	}
}

// A copy of a voter's folder at another gateway must not vote.
func TestACopiedFolderDoesNotVote(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	waitForOwner(t, f, 3, usageexport.RoleOfShard(0), 0)
	if err := errors.Join(f.End(3, syscall.SIGTERM), f.Copy(0, 3), f.Begin(3)); err != nil {
		t.Fatal(err)
	}
	waitLogged(t, f, 3, "the folder was copied")
	var h struct{ Voter bool }
	if err := f.Call(3, "here", &h); err != nil || h.Voter {
		t.Errorf("%+v, %v", h, err)
	}
	waitForOwner(t, f, 3, usageexport.RoleOfShard(0), 0)
}

// All voters are killed at once and restarted. The committed state is still there, and roles
// continue without a lower term. Without a majority no committed state is reported.
func TestAllVotersKilledAtOnce(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	role := usageexport.RoleOfShard(0)
	_, h := waitForOwner(t, f, 3, role, 0)
	runTraffic(t, f, 2*time.Second)
	before := waitExported(t, f, 3, 0)
	for i := range 3 {
		if err := f.End(i, syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
	}
	if f.Call(3, "owners", nil) == nil {
		t.Error("a gateway reports committed leases without any voter")
	}
	for i := range 2 {
		if err := f.Begin(i); err != nil {
			t.Fatal(err)
		}
	}
	_, next := waitForOwner(t, f, 3, role, 0)
	if next.Term < h.Term {
		t.Errorf("term %d after %d", next.Term, h.Term)
	}
	if err := f.Begin(2); err != nil {
		t.Fatal(err)
	}
	runTraffic(t, f, time.Second)
	after := waitExported(t, f, 3, 0)
	if after.Count < before.Count || after.Files[0].SHA256 != before.Files[0].SHA256 {
		t.Errorf("%+v, then %+v", before, after)
	}
}

// Clocks are 30 s ahead, slow, fast, or jump. Roles can be transferred, and effects have one owner.
func TestClocksThatAreOff(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4, Env: func(i int) string {
		return "MOTHCLEAT_FAULTS=" +
			[]string{"ahead=30s", "pace=0.9", "jump=40s@3s", "pace=1.02"}[i]
	}})
	role := usageexport.RoleOfShard(0)
	for range 3 {
		i, h := waitForOwner(t, f, 0, role, 0)
		runTraffic(t, f, time.Second)
		to := (i + 1) % 4
		clustertest.Eventually(t, "the transfer of the role", func() (bool, string) {
			_ = f.Call(0, fmt.Sprintf("transfer %s %s", role, testcluster.Name(to)), nil)
			j, next := owner(f, 0, role)
			return j >= 0 && next.Term > h.Term, fmt.Sprintf("%d %+v", j, next)
		})
	}
	waitExported(t, f, 0, 0)
}

// The disk of the log's leader stalls. Another voter becomes leader, and the slow one follows it.
func TestALeaderWithASlowDisk(t *testing.T) {
	f := fleet(
		t,
		testcluster.Options{
			Instances: 3,
			Env: func(int) string {
				return "MOTHCLEAT_FAULTS=slow=voter-before-sync:3s@slow"
			},
		},
	)
	run := &trialRun{f: f, o: Options{Instances: 3, Shards: 1}}
	waitForOwner(t, f, 0, usageexport.RoleOfShard(0), 0)
	i := run.logLeader()
	if i < 0 {
		t.Fatal("no leader")
	}
	activateFault(t, f, i, "slow")
	at := another(f, i)
	clustertest.Eventually(t, "another leader", func() (bool, string) {
		var l consensus.Membership
		err := f.Call(at, "status", &l)
		return err == nil && l.Leader != testcluster.Name(i) &&
			l.Leader != "", fmt.Sprintf("%+v %v", l, err)
	})
	if err := os.Remove(filepath.Join(f.Gateways[i].Dir(), "slow")); err != nil {
		t.Fatal(err)
	}
	clustertest.Eventually(t, "the voter with the slow disk to follow", func() (bool, string) {
		var h struct{ Leader, Trouble string }
		err := f.Call(i, "here", &h)
		return err == nil && h.Leader != "" && h.Trouble == "", fmt.Sprint(h, err)
	})
}

// Two processes have one id: the newer one continues, and the older one is refused and logs which
// process has taken the id. A second process on the same folder does not take part.
func TestTwoProcessesWithOneID(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	waitForOwner(t, f, 0, usageexport.RoleOfShard(0), 0)
	// Without a session, n3 would be the newer process.
	clustertest.Eventually(t, "a session of n3", func() (bool, string) {
		var l consensus.Membership
		err := f.Call(0, "status", &l)
		return err == nil &&
			slices.ContainsFunc(l.Members, func(p consensus.SessionInfo) bool {
				return p.ID == "n3"
			}), fmt.Sprintf("%+v %v", l.Members, err)
	})
	me := lease.Member{ID: "n3", Incarnation: 42}
	c := controlrpc.NewClient(testcluster.FleetName, me, "", f.Voters(), f.Addresses(-1),
		slog.New(slog.DiscardHandler))
	defer c.Close()
	if _, err := c.Propose(t.Context(), checkpoint.MachineName,
		[]byte(`{"key":"k","value":"v"}`)); err != nil {
		t.Fatal(err)
	}
	waitLogged(t, f, 3, "another process has taken the id n3 since")

	second, err := metering.Open(controlplane.UseDir(f.FleetDir(0)), "n0", 7, time.Second,
		slog.New(slog.DiscardHandler))
	if !errors.Is(err, store.ErrLocked) {
		t.Errorf("a second process on one folder: %v, %v", second, err)
	}
}

// A gateway that is terminated transfers its role, so that the next owner need not wait for the
// lease to expire. A gateway whose folder is lost leaves a gap that is reported.
func TestHandingOnAndALostFolder(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	role := usageexport.RoleOfShard(0)
	i, h := waitForOwner(t, f, 0, role, 0)
	runTraffic(t, f, 2*time.Second)
	if err := f.End(i, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	at := another(f, i, 3)
	_, next := waitForOwner(t, f, at, role, h.Term)
	if next.Cause != lease.Transferred || next.Term != h.Term+1 {
		t.Errorf("after %+v: %+v", h, next)
	}
	if err := f.Begin(i); err != nil {
		t.Fatal(err)
	}
	waitExported(t, f, at, 0)
	incarnation := ""
	for _, m := range view(t, f, at).Progress {
		if m.ID == "n3" && !m.Last {
			incarnation = m.Incarnation
		}
	}
	if err := errors.Join(f.End(3, syscall.SIGKILL), f.Empty(3), f.Begin(3)); err != nil {
		t.Fatal(err)
	}
	clustertest.Eventually(t, "the gap of incarnation "+incarnation, func() (bool, string) {
		for _, m := range view(t, f, at).Progress {
			if m.Incarnation == incarnation && m.Gap != "" {
				return true, ""
			}
		}
		return false, fmt.Sprintf("%+v", view(t, f, at).Progress)
	})
}

// A short run with all faults at once, as by lab owner.
func TestEverythingAtOnce(t *testing.T) {
	t.Parallel() // the tests mostly wait
	if testing.Short() {
		t.Skip("30 seconds")
	}
	fig, err := Run(t.Context(),
		Options{Seed: 5, Instances: 5, For: 14 * time.Second, Bin: bin}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for rule, n := range fig.Broken {
		if n > 0 {
			t.Errorf("%s: %d: %v", rule, n, fig.Why)
		}
	}
}
