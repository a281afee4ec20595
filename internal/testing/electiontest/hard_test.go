package electiontest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

// waitStatus waits until a gateway answers with its view of the membership.
func waitStatus(t *testing.T, f *testcluster.Fleet, at int) (l consensus.Membership) {
	t.Helper()
	clustertest.Eventually(t, "the status", func() (bool, string) {
		err := f.Call(at, "status", &l)
		return err == nil, fmt.Sprint(err)
	})
	return l
}

// A voter whose disk is full acknowledges nothing, and others continue. It takes part again when
// there is space.
func TestAVoterWithAFullDisk(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 3})
	role := usageexport.RoleOfShard(0)
	waitForOwner(t, f, 0, role, 0)
	i, ok := gatewayIndex(waitStatus(t, f, 0).Leader)
	if !ok {
		t.Fatal("no leader")
	}
	// No file of the process may grow, so every write fails as on a full disk.
	if err := unix.Prlimit(f.Gateways[i].PID(), unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}, nil); err != nil {
		t.Fatal(err)
	}
	at := another(f, i)
	clustertest.Eventually(t, "another leader", func() (bool, string) {
		var l consensus.Membership
		err := f.Call(at, "status", &l)
		return err == nil && l.Leader != testcluster.Name(i) && l.Leader != "", fmt.Sprintf("%+v %v", l, err)
	})
	clustertest.Eventually(t, "the voter with the full disk to report it", func() (bool, string) {
		var h struct{ Trouble string }
		err := f.Call(i, "here", &h)
		return err == nil && h.Trouble != "", fmt.Sprint(h, err)
	})
	waitForOwner(t, f, at, role, 0)
	if !f.Gateways[i].Running() {
		t.Fatal("the gateway exited because of its full disk")
	}
	if err := unix.Prlimit(f.Gateways[i].PID(), unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}, nil); err != nil {
		t.Fatal(err)
	}
	clustertest.Eventually(t, "the voter to take part again", func() (bool, string) {
		var h struct {
			Trouble string
			Leader  string
			Applied uint64
		}
		err := f.Call(i, "here", &h)
		return err == nil && h.Trouble == "" && h.Leader != "" && h.Applied+20 > waitStatus(t, f, at).AppliedIndex, fmt.Sprint(h, err)
	})
}

// A role is transferred to a suspended gateway. The offer expires, and another gateway acquires the
// role before the suspended one is resumed.
func TestHandingOnToOneThatStalls(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	role := usageexport.RoleOfShard(0)
	i, h := waitForOwner(t, f, 0, role, 0)
	to := another(f, i, 0)
	at := another(f, i, to)
	clustertest.Eventually(t, "the target to have a session", func() (bool, string) {
		for _, m := range waitStatus(t, f, at).Members {
			if m.ID == testcluster.Name(to) {
				return true, ""
			}
		}
		return false, ""
	})
	if err := f.Stop(to); err != nil {
		t.Fatal(err)
	}
	clustertest.Eventually(t, "the transfer to be accepted", func() (bool, string) {
		err := f.Call(at, fmt.Sprintf("transfer %s %s", role, testcluster.Name(to)), nil)
		return err == nil, fmt.Sprint(err)
	})
	clustertest.Eventually(t, "a running gateway to own the role", func() (bool, string) {
		j, next := owner(f, at, role)
		return j >= 0 && j != to && next.Term >= h.Term+2 && !next.Unconfirmed, fmt.Sprintf("%d %+v", j, next)
	})
	var all []lease.Lease
	if err := f.Call(at, "history "+role, &all); err != nil {
		t.Fatal(err)
	}
	offered := false
	for _, k := range all {
		offered = offered || k.Holder.ID == testcluster.Name(to) && k.Cause == lease.Transferred
	}
	if !offered {
		t.Errorf("the role was never offered to the suspended gateway: %+v", all)
	}
	if err := f.Wake(to); err != nil {
		t.Fatal(err)
	}
	runTraffic(t, f, 1e9)
	waitExported(t, f, at, 0)
}

// During a partition only the side with the quorum can change the voters. The other side learns of
// it afterwards.
func TestAChangeOfVotersDuringASplit(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	waitForOwner(t, f, 0, usageexport.RoleOfShard(0), 0)
	if err := f.End(3, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(f.Command(3, nil, "fleet", "join", "n3", "--operators", "operators.toml"), f.Begin(3)); err != nil {
		t.Fatal(err)
	}
	cut, ok := gatewayIndex(waitStatus(t, f, 0).Leader)
	if !ok {
		t.Fatal("no leader")
	}
	f.Isolate(cut, true, true, true)
	at := another(f, cut)
	if err := f.Call(cut, "remove "+testcluster.Name(at), nil); err == nil {
		t.Error("the side without a quorum removed a voter")
	}
	clustertest.Eventually(t, "the addition of the new voter", func() (bool, string) {
		err := f.Call(3, "add", nil)
		return err == nil, fmt.Sprint(err)
	})
	clustertest.Eventually(t, "the removal of the isolated voter", func() (bool, string) {
		err := f.Call(at, "remove "+testcluster.Name(cut), nil)
		return err == nil || strings.Contains(err.Error(), "no voter"), fmt.Sprint(err)
	})
	f.Isolate(cut, true, true, false)
	l := waitStatus(t, f, at)
	names := ""
	for _, v := range l.Voters {
		names += v.Name + " "
	}
	if strings.Contains(names, testcluster.Name(cut)) || !strings.Contains(names, "n3") || len(l.Voters) != 3 {
		t.Errorf("voters %s", names)
	}
	// It continues as a gateway with a session at the voters.
	clustertest.Eventually(t, "the removed voter to reach the fleet", func() (bool, string) {
		var l consensus.Membership
		err := f.Call(cut, "status", &l)
		return err == nil && len(l.Voters) == 3, fmt.Sprint(err)
	})
	waitForOwner(t, f, cut, usageexport.RoleOfShard(0), 0)
}

// A majority is lost permanently. Nothing new is committed, the gateways continue to serve and
// meter, and a fleet that is founded again under another name exports the usage that was metered
// meanwhile.
func TestAMajorityLostForGood(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 3})
	waitForOwner(t, f, 0, usageexport.RoleOfShard(0), 0)
	for i := range 2 {
		if err := errors.Join(f.End(i, syscall.SIGKILL), f.Empty(i)); err != nil {
			t.Fatal(err)
		}
	}
	runTraffic(t, f, 1500e6) // the remaining gateway serves
	if err := f.Call(2, "transfer "+usageexport.RoleOfShard(0)+" n2", nil); err == nil {
		t.Error("a transfer was committed without a majority")
	}
	if err := f.End(2, syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(filepath.Join(f.FleetDir(2), "log")); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		path := filepath.Join(f.Gateways[i].Dir(), "operators.toml")
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(string(raw), `name = "rig"`, `name = "rig-2"`, 1)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(f.Command(i, nil, "fleet", "found", testcluster.Name(i), "--operators", "operators.toml"), f.Begin(i)); err != nil {
			t.Fatal(err)
		}
	}
	waitForOwner(t, f, 2, usageexport.RoleOfShard(0), 0)
	run := &trialRun{f: f}
	want := run.sentUnits()[2]
	if want == 0 {
		t.Fatal("no request was forwarded, so the test shows nothing")
	}
	clustertest.Eventually(t, fmt.Sprintf("the export of the %g units of the remaining gateway", want), func() (bool, string) {
		v := view(t, f, 2)
		return run.exportedUnits(&v)[2] == want, fmt.Sprint(run.exportedUnits(&v))
	})
}

// The log's leader is suspended. Another voter becomes leader, and the old one follows it when it
// is resumed.
func TestAStoppedLeader(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	waitForOwner(t, f, 3, usageexport.RoleOfShard(0), 0)
	was := waitStatus(t, f, 3)
	i, ok := gatewayIndex(was.Leader)
	if !ok {
		t.Fatal("no leader")
	}
	if err := f.Stop(i); err != nil { // SIGSTOP
		t.Fatal(err)
	}
	at := another(f, i)
	clustertest.Eventually(t, "another leader", func() (bool, string) {
		var l consensus.Membership
		err := f.Call(at, "status", &l)
		return err == nil && l.Leader != was.Leader && l.Leader != "" && l.Term > was.Term, fmt.Sprintf("%+v %v", l, err)
	})
	waitForOwner(t, f, at, usageexport.RoleOfShard(0), 0)
	if err := f.Wake(i); err != nil {
		t.Fatal(err)
	}
	clustertest.Eventually(t, "the resumed voter to follow", func() (bool, string) {
		var h struct {
			Leader string
			Leads  bool
		}
		err := f.Call(i, "here", &h)
		return err == nil && h.Leader != "" && !h.Leads && h.Leader != was.Leader, fmt.Sprint(h, err)
	})
}

// A second gateway is started under the name of a running one, once in its own folder and once in
// the same one. With two folders the newer gateway takes part and the older one reports why it does
// not. In one folder the second does not take part.
func TestASecondGatewayOfOneName(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4})
	waitForOwner(t, f, 0, usageexport.RoleOfShard(0), 0)
	second := func(folder string) (log func() string) {
		t.Helper()
		dir := t.TempDir()
		raw, err := os.ReadFile(filepath.Join(f.Gateways[3].Dir(), "config.json"))
		if err != nil {
			t.Fatal(err)
		}
		var cfg map[string]any
		if err := json.Unmarshal(raw, &cfg); err != nil {
			t.Fatal(err)
		}
		cfg["listen"], cfg["peer_listen"], cfg["management"] = "127.0.0.1:0", "127.0.0.1:0", ""
		if raw, err = json.Marshal(cfg); err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(f.Operators(3), fmt.Sprintf("listen = %q", f.Own[3]), `listen = "127.0.0.1:0"`, 1)
		text = strings.Replace(text, `folder = "fleet"`, fmt.Sprintf("folder = %q", folder), 1)
		out, err := os.Create(filepath.Join(dir, "log"))
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(os.WriteFile(filepath.Join(dir, "config.json"), raw, 0o600), os.WriteFile(filepath.Join(dir, "operators.toml"), []byte(text), 0o600)); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(f.Bin, "--operators", "operators.toml")
		cmd.Dir, cmd.Stderr, cmd.Env = dir, out, append(os.Environ(), "RELAY_CONFIG="+filepath.Join(dir, "config.json"))
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait(); _ = out.Close() })
		return func() string { raw, _ := os.ReadFile(filepath.Join(dir, "log")); return string(raw) }
	}
	log := second(f.FleetDir(3))
	clustertest.Eventually(t, "the second gateway in the same folder to report it", func() (bool, string) {
		return strings.Contains(log(), "this process does not take part"), log()
	})
	if strings.Contains(f.Gateways[3].Log(), "another process has taken the id") {
		t.Error("a gateway that does not take part has taken the id")
	}
	second(filepath.Join(t.TempDir(), "fleet"))
	waitLogged(t, f, 3, "another process has taken the id n3 since")
}
