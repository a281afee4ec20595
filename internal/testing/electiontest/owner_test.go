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

// owner is who holds a duty by the agreed table, asked at a gateway; -1: nobody.
func owner(f *testcluster.Fleet, at int, duty string) (int, lease.Lease) {
	var v lease.View
	if f.Call(at, "owners", &v) != nil {
		return -1, lease.Lease{}
	}
	for _, h := range v.Leases {
		var i int
		if n, _ := fmt.Sscanf(h.Holder.ID, "n%d", &i); h.Role == duty && n == 1 &&
			v.At <= h.ExpiresAt {
			return i, h
		}
	}
	return -1, lease.Lease{}
}

// hasOwner waits for an owner that knows itself to be one: the table alone still names a process
// that has just ended while the fleet's time stands still.
func hasOwner(
	t *testing.T, f *testcluster.Fleet, at int, duty string, but uint64,
) (i int, h lease.Lease) {
	t.Helper()
	clustertest.Eventually(t, "an owner of "+duty, func() (bool, string) {
		var here controlplane.LocalStatus
		if i, h = owner(f, at, duty); i < 0 || h.Term <= but {
			return false, fmt.Sprintf("%d %+v", i, h)
		}
		err := f.Call(i, "here", &here)
		return err == nil && here.Roles[duty] == h.Term, fmt.Sprintf("%+v, here %+v %v",
			h, here, err)
	})
	return i, h
}

func view(t *testing.T, f *testcluster.Fleet, at int) (v usageexport.View) {
	t.Helper()
	clustertest.Eventually(t, "the exports", func() (bool, string) {
		err := f.Call(at, "exports", &v)
		return err == nil, fmt.Sprint(err)
	})
	return v
}

// another is a gateway other than some.
func another(f *testcluster.Fleet, but ...int) int {
next:
	for i := range f.Gateways {
		for _, b := range but {
			if i == b {
				continue next
			}
		}
		return i
	}
	return -1
}

// An owner that is killed is followed by another under a higher term.
func TestAnotherFollowsAKilledOwner(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 3})
	duty := usageexport.RoleOfShard(0)
	i, h := hasOwner(t, f, 0, duty, 0)
	if err := f.End(i, 9); err != nil {
		t.Fatal(err)
	}
	j, next := hasOwner(t, f, another(f, i), duty, h.Term)
	if j == i || next.Cause != lease.Expired {
		t.Errorf("after %+v: %+v", h, next)
	}
}

// flag asks a gateway for a fault at a named point.
func flag(t *testing.T, f *testcluster.Fleet, i int, name string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(f.Gateways[i].Dir(), name), nil, 0o600); err != nil {
		t.Fatal(err)
	}
}

func logged(t *testing.T, f *testcluster.Fleet, i int, what string) {
	t.Helper()
	clustertest.Eventually(t, testcluster.Name(i)+" logs "+what, func() (bool, string) {
		return strings.Contains(f.Gateways[i].Log(), what), ""
	})
}

// traffic has clients ask for a while, and waits until all that was sent on is exported.
func traffic(t *testing.T, f *testcluster.Fleet, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	f.Clients.Run(ctx)
}

// exported waits until the files that count hold all that the servers took, but for some units.
func exported(t *testing.T, f *testcluster.Fleet, at int, lacking float64) usageexport.View {
	t.Helper()
	run := &trialRun{f: f}
	want := 0.0
	for _, units := range run.sentUnits() {
		want += units
	}
	if want == 0 {
		t.Fatal("nothing was sent on: nothing is shown")
	}
	var v usageexport.View
	clustertest.Eventually(t, fmt.Sprintf("%g units exported", want), func() (bool, string) {
		if f.Call(at, "exports", &v) != nil {
			return false, "nobody tells"
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
		t.Errorf("the files hold %g units, %g were agreed", sum, v.Units)
	}
	if two, late := countConflicts(&v); two+late > 0 {
		t.Errorf("%d effects of two owners, %d late ones", two, late)
	}
	return v
}

// An owner that lies stopped (by SIGSTOP to itself, at a named point) between its check and its
// write, and wakes when another has gone on: its word is refused, nothing is exported twice, and it
// notices by itself.
func TestAnOwnerThatWakesLateDoesNoHarm(t *testing.T) {
	f := fleet(
		t,
		testcluster.Options{
			Instances: 4,
			Env:       func(int) string { return "MOTHCLEAT_FAULTS=stop=export-before-agree@stop" },
		},
	)
	duty := usageexport.RoleOfShard(0)
	i, h := hasOwner(t, f, 0, duty, 0)
	flag(t, f, i, "stop")
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		traffic(t, f, 2*time.Second)
	}()
	clustertest.Eventually(t, "the owner stops itself", func() (bool, string) {
		return f.Stopped(i), ""
	})
	at := another(f, i)
	_, next := hasOwner(t, f, at, duty, h.Term)
	before := view(t, f, at)
	clustertest.Eventually(t, "the next owner exports", func() (bool, string) {
		v := view(t, f, at)
		return v.Count > before.Count && v.Files[len(v.Files)-1].Term == next.Term, ""
	})
	if err := f.Wake(i); err != nil {
		t.Fatal(err)
	}
	logged(t, f, i, "refused: lease: not the owner under this term")
	logged(t, f, i, "role lost")
	<-asked
	exported(t, f, at, 0)
}

// A link that is lost one way only, at the log's leader: heard by nobody, then hearing nobody.
// Another leads each time, and what is agreed goes on.
func TestALeaderHalfCutOff(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	run := &trialRun{f: f, o: Options{Instances: 4, Shards: 1}}
	for _, says := range []bool{true, false} {
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
		f.Isolate(i, says, !says, true)
		at := another(f, i)
		clustertest.Eventually(t, "another leader", func() (bool, string) {
			var l consensus.Membership
			err := f.Call(at, "status", &l)
			return err == nil && l.Leader != testcluster.Name(i) && l.Leader != "" &&
				l.Term > was.Term, fmt.Sprintf("%+v %v", l, err)
		})
		hasOwner(t, f, at, usageexport.RoleOfShard(0), 0)
		if f.Held() == held {
			t.Error("the cut met nothing: nothing was shown")
		}
		f.Isolate(i, says, !says, false)
		clustertest.Eventually(t, "the cut one follows", func() (bool, string) {
			var h struct{ Leader string }
			err := f.Call(i, "here", &h)
			return err == nil && h.Leader != "" &&
				h.Leader != testcluster.Name(i), fmt.Sprint(h, err)
		})
	}
}

// A voter that comes back with an older folder, or without one, must not vote, and says how to mend
// it.
func TestAVoterWithAnOldOrEmptyFolderDoesNotVote(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	hasOwner(t, f, 3, usageexport.RoleOfShard(0), 0)
	if err := f.Save(2); err != nil {
		t.Fatal(err)
	}
	traffic(t, f, time.Second) // more is agreed meanwhile
	if err := errors.Join(f.End(2, syscall.SIGKILL), f.Restore(2), f.Begin(2)); err != nil {
		t.Fatal(err)
	}
	logged(t, f, 2, "the folder is an older copy")
	if err := errors.Join(f.End(2, syscall.SIGKILL), f.Empty(2), f.Begin(2)); err != nil {
		t.Fatal(err)
	}
	logged(
		t,
		f,
		2,
		"must not vote: the operators' file names this gateway as a voter, but its folder is no voter's",
	)
	// The way out that the lines tell: removed, made anew, added.
	clustertest.Eventually(t, "it is removed", func() (bool, string) {
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
	clustertest.Eventually(t, "it is added", func() (bool, string) {
		err := f.Call(2, "add", nil)
		return err == nil, fmt.Sprint(err)
	})
	clustertest.Eventually(t, "it votes and is up to date", func() (bool, string) {
		var l consensus.Membership
		var h struct{ Applied uint64 }
		err := errors.Join(f.Call(0, "status", &l), f.Call(2, "here", &h))
		return err == nil && len(l.Voters) == 3 &&
			h.Applied+20 > l.AppliedIndex, fmt.Sprintf("%+v %+v %v", l, h, err)
	})
	// With one of the others gone, its vote counts.
	if err := f.End(1, syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	_, h := hasOwner(t, f, 0, usageexport.RoleOfShard(0), 0)
	if err := f.Call(0, "transfer "+h.Role+" n3", nil); err != nil && h.Holder.ID != "n3" {
		clustertest.Eventually(t, "something is agreed", func() (bool, string) {
			err := f.Call(0, "transfer "+h.Role+" n3", nil)
			return err == nil || strings.Contains(err.Error(), "already"), fmt.Sprint(err)
		})
	}
}

// A voter's folder copied to another gateway does not vote a second time.
func TestACopiedFolderDoesNotVote(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	hasOwner(t, f, 3, usageexport.RoleOfShard(0), 0)
	if err := errors.Join(f.End(3, syscall.SIGTERM), f.Copy(0, 3), f.Begin(3)); err != nil {
		t.Fatal(err)
	}
	logged(t, f, 3, "the folder was copied")
	var h struct{ Voter bool }
	if err := f.Call(3, "here", &h); err != nil || h.Voter {
		t.Errorf("%+v, %v", h, err)
	}
	hasOwner(t, f, 3, usageexport.RoleOfShard(0), 0)
}

// All voters killed at once and back: what was agreed is there, and duties go on under higher
// terms. While a majority is lost nothing new is agreed, and gateways serve on.
func TestAllVotersKilledAtOnce(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	duty := usageexport.RoleOfShard(0)
	_, h := hasOwner(t, f, 3, duty, 0)
	traffic(t, f, 2*time.Second)
	before := exported(t, f, 3, 0)
	for i := range 3 {
		if err := f.End(i, syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
	}
	if f.Call(3, "owners", nil) == nil {
		t.Error("something is told as agreed without any voter")
	}
	for i := range 2 {
		if err := f.Begin(i); err != nil {
			t.Fatal(err)
		}
	}
	_, next := hasOwner(t, f, 3, duty, 0)
	if next.Term < h.Term {
		t.Errorf("term %d after %d", next.Term, h.Term)
	}
	if err := f.Begin(2); err != nil {
		t.Fatal(err)
	}
	traffic(t, f, time.Second)
	after := exported(t, f, 3, 0)
	if after.Count < before.Count || after.Files[0].SHA256 != before.Files[0].SHA256 {
		t.Errorf("%+v, then %+v", before, after)
	}
}

// Clocks that are far off, slow, or leap under way: the duty is handed on, and effects have one
// owner.
func TestClocksThatAreOff(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4, Env: func(i int) string {
		return "MOTHCLEAT_FAULTS=" +
			[]string{"ahead=30s", "pace=0.9", "jump=40s@3s", "pace=1.02"}[i]
	}})
	duty := usageexport.RoleOfShard(0)
	for range 3 {
		i, h := hasOwner(t, f, 0, duty, 0)
		traffic(t, f, time.Second)
		to := (i + 1) % 4
		clustertest.Eventually(t, "the duty is handed on", func() (bool, string) {
			_ = f.Call(0, fmt.Sprintf("transfer %s %s", duty, testcluster.Name(to)), nil)
			j, next := owner(f, 0, duty)
			return j >= 0 && next.Term > h.Term, fmt.Sprintf("%d %+v", j, next)
		})
	}
	exported(t, f, 0, 0)
}

// A disk that stalls, at the leader: another leads, and the slow one comes back.
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
	hasOwner(t, f, 0, usageexport.RoleOfShard(0), 0)
	i := run.logLeader()
	if i < 0 {
		t.Fatal("no leader")
	}
	flag(t, f, i, "slow")
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
	clustertest.Eventually(t, "the slow one follows", func() (bool, string) {
		var h struct{ Leader, Trouble string }
		err := f.Call(i, "here", &h)
		return err == nil && h.Leader != "" && h.Trouble == "", fmt.Sprint(h, err)
	})
}

// Two processes with one id: the newer goes on, the older is refused with a line that says which.
// On one folder the second takes no part.
func TestTwoProcessesWithOneID(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	hasOwner(t, f, 0, usageexport.RoleOfShard(0), 0)
	// else it would be the newer one
	clustertest.Eventually(t, "n3 has its id", func() (bool, string) {
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
	logged(t, f, 3, "another process has taken the id n3 since")

	second, err := metering.Open(controlplane.UseDir(f.FleetDir(0)), "n0", 7, time.Second,
		slog.New(slog.DiscardHandler))
	if !errors.Is(err, store.ErrLocked) {
		t.Errorf("a second process on one folder: %v, %v", second, err)
	}
}

// A gateway told to stop hands its duty on: the next has it without a span of silence. One whose
// folder is lost leaves a gap that is told.
func TestHandingOnAndALostFolder(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	duty := usageexport.RoleOfShard(0)
	i, h := hasOwner(t, f, 0, duty, 0)
	traffic(t, f, 2*time.Second)
	if err := f.End(i, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	at := another(f, i, 3)
	_, next := hasOwner(t, f, at, duty, h.Term)
	if next.Cause != lease.Transferred || next.Term != h.Term+1 {
		t.Errorf("after %+v: %+v", h, next)
	}
	if err := f.Begin(i); err != nil {
		t.Fatal(err)
	}
	exported(t, f, at, 0)
	boot := ""
	for _, m := range view(t, f, at).Progress {
		if m.ID == "n3" && !m.Last {
			boot = m.Incarnation
		}
	}
	if err := errors.Join(f.End(3, syscall.SIGKILL), f.Empty(3), f.Begin(3)); err != nil {
		t.Fatal(err)
	}
	clustertest.Eventually(t, "the gap of boot "+boot, func() (bool, string) {
		for _, m := range view(t, f, at).Progress {
			if m.Incarnation == boot && m.Gap != "" {
				return true, ""
			}
		}
		return false, fmt.Sprintf("%+v", view(t, f, at).Progress)
	})
}

// A short run of everything at once, as lab owner plays it.
func TestEverythingAtOnce(t *testing.T) {
	t.Parallel() // beside the other long one: both mostly wait
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
