package audittest

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/auditrecorder"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/plans"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/testcluster"
	"mothcleat/internal/testing/testcluster/clustertest"
)

// countForwardedBy counts the requests that a gateway forwarded under a version after a time, by
// when the servers received them.
func countForwardedBy(
	t *testing.T, f *testcluster.Fleet, i int, number uint64, after time.Duration,
) (n int) {
	t.Helper()
	all, err := versionPeriods(f, i)
	clustertest.Check(t, err)
	for _, s := range all {
		if s.number == number {
			n += countForwarded(f, i, max(s.from, after+slack), s.to)
		}
	}
	return n
}

// rolloutLeader waits for a gateway that leads rollouts under a term above after.
func rolloutLeader(t *testing.T, f *testcluster.Fleet, after uint64) (i int, term uint64) {
	t.Helper()
	clustertest.Eventually(t, "a rollout leader", func() (bool, string) {
		for i = range f.Gateways {
			var here controlplane.LocalStatus
			if f.Stopped(i) || f.Call(i, "here", &here) != nil {
				continue
			}
			if term = here.Roles[configversion.Role]; term > after {
				return true, ""
			}
		}
		return false, ""
	})
	return i, term
}

// A gateway is cut off from the others but not from its clients, once in both directions and once
// only in receiving. It stops by itself when its lease expires, forwards nothing while a version is
// superseded, and is readmitted when it receives again.
func TestCutOffFromTheFleetAndNotFromClients(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4, Seed: 1})
	const cut = 3
	withTraffic(t, f, func() {
		for k, cutSending := range []bool{true, false} {
			before := waitProposed(t, f, 0, configversion.StageAll,
				plansText(f.Site, 0.9-0.1*float64(2*k)))
			waitActsOn(t, f, cut, before)
			// It receives nothing. The second time it can still send.
			f.Isolate(cut, cutSending, true, true)
			next := waitProposed(t, f, 0, configversion.StageAll,
				plansText(f.Site, 0.8-0.1*float64(2*k)))
			waitEnded(t, f, 0, before)
			over := f.Record.Now()
			clustertest.Eventually(t, "the gateway to be fenced", func() (bool, string) {
				h, err := rolloutStatus(f, cut)
				return err == nil && h.Until == 0, fmt.Sprintf("%+v %v", h, err)
			})
			testcluster.Pass(t.Context(), time.Second)
			if n := countForwarded(f, cut, over+slack, 1<<62); n > 0 {
				t.Errorf("the gateway forwarded %d requests after the end of version %d", n, before)
			}
			f.Heal()
			waitActsOn(t, f, cut, next)
			clustertest.Eventually(t, "the gateway to serve again", func() (bool, string) {
				return countForwarded(f, cut, f.Record.Now()-slack, 1<<62) > 0, ""
			})
		}
	})
	if f.Held() == 0 {
		t.Error("the cut links held nothing back")
	}
	checkRules(t, f)
}

// A version is withdrawn while one gateway pilots it: the version before is restored under a new
// number, and the pilot stops acting on the withdrawn one. A second rollout is refused while the
// first is in progress.
func TestWithdrawnWhileSomeHaveIt(t *testing.T) {
	f := fleet(
		t,
		testcluster.Options{
			Instances: 4,
			Seed:      2,
			Operators: strings.Replace(Text(), `settle = "300ms"`, `settle = "20s"`, 1),
		},
	)
	withTraffic(t, f, func() {
		tried := waitProposed(t, f, 1, configversion.StageOne, plansText(f.Site, 0.5))
		pilot := -1
		clustertest.Eventually(t, "the pilot to have the version", func() (bool, string) {
			for i := range f.Gateways {
				if h, err := rolloutStatus(f, i); err == nil && h.InForce["plans"] == tried {
					pilot = i
				}
			}
			return pilot >= 0, ""
		})
		if _, err := propose(f, 2, configversion.StageAll, 0,
			plansText(f.Site, 0.4)); err == nil || !strings.Contains(err.Error(), "under way") {
			t.Errorf("a second rollout during the first: %v", err)
		}
		clustertest.Eventually(t, "the pilot to act on the version", func() (bool, string) {
			return countForwarded(f, pilot, 0, 1<<62) > 0, ""
		})
		var next uint64
		clustertest.Eventually(t, "the withdrawal", func() (bool, string) {
			err := f.Call(2, fmt.Sprintf("versions withdraw plans %d wrong terms", tried), &next)
			return err == nil, fmt.Sprint(err)
		})
		for i := range f.Gateways {
			waitActsOn(t, f, i, next)
		}
		waitEnded(t, f, 0, tried)
		over := f.Record.Now()
		v, err := versionsStatus(f, 0)
		clustertest.Check(t, err)
		if one := findVersion(&v, next); next != tried+1 || one.Restores != 1 ||
			findVersion(&v, tried).State != configversion.StateWithdrawn {
			t.Errorf("%+v", v.Versions)
		}
		testcluster.Pass(t.Context(), time.Second)
		if n := countForwardedBy(t, f, pilot, tried, over); n > 0 {
			t.Errorf("%d requests were forwarded under the withdrawn version", n)
		}
	})
	checkRules(t, f)
}

// A gateway is killed at each step from its notification of a version to its report that the
// version is in force, and restarted. It must reach the version, and resume a partial fetch.
func TestKilledAtEachStep(t *testing.T) {
	points := []string{
		"content-amid-fetch",
		"content-before-store",
		"content-before-name",
		"version-before-force",
		"version-before-report",
		"record-before-write",
	}
	env := "MOTHCLEAT_FAULTS="
	for _, p := range points {
		env += ",kill=" + p + "@kill-" + p
	}
	f := fleet(t, testcluster.Options{Instances: 4, Seed: 3, Env: func(int) string { return env }})
	const victim = 3
	withTraffic(t, f, func() {
		for k, p := range points {
			f.Gateways[victim].Expect(syscall.SIGKILL)
			clustertest.Check(t,
				os.WriteFile(filepath.Join(f.Gateways[victim].Dir(), "kill-"+p), nil, 0o600))
			number := waitProposed(t, f, 0, configversion.StageAll,
				plansText(f.Site, 0.9-0.1*float64(k)))
			clustertest.Eventually(t, "the gateway to be killed at "+p, func() (bool, string) {
				return !f.Gateways[victim].Running(), ""
			})
			// It was killed now, not when Expect was called.
			f.Record.AddProcessEvent(victim, harness.Killed)
			clustertest.Check(t, f.Begin(victim))
			waitActsOn(t, f, victim, number)
		}
	})
	checkRules(t, f)
}

// The rollout leader is suspended between deciding that a version advances and committing this, and
// resumed when another leader has taken over. Its command is refused because of its stale term, and
// the rollout advances only once.
func TestAGuideThatWakesLate(t *testing.T) {
	f := fleet(
		t,
		testcluster.Options{
			Instances: 4,
			Seed:      4,
			Env:       func(int) string { return "MOTHCLEAT_FAULTS=stop=rollout-before-commit@stop" },
		},
	)
	withTraffic(t, f, func() {
		i, term := rolloutLeader(t, f, 0)
		clustertest.Check(t, os.WriteFile(filepath.Join(f.Gateways[i].Dir(), "stop"), nil, 0o600))
		at := (i + 1) % 4
		number := waitProposed(t, f, at, configversion.StageOne, plansText(f.Site, 0.7))
		clustertest.Eventually(t, "the rollout leader to suspend itself", func() (bool, string) {
			return f.Stopped(i), ""
		})
		f.Record.AddProcessEvent(i, harness.Paused)
		rolloutLeader(t, f, term)
		clustertest.Eventually(t, "the next leader to complete the version", func() (bool, string) {
			v, err := versionsStatus(f, at)
			one := findVersion(&v, number)
			return err == nil && one != nil &&
				one.State == configversion.StateComplete, fmt.Sprintf("%+v %v", one, err)
		})
		clustertest.Check(t, f.Wake(i))
		clustertest.Eventually(t, "the refusal of the late command", func() (bool, string) {
			return strings.Contains(f.Gateways[i].Log(), lease.ErrStaleTerm.Error()), ""
		})
		waitActsOn(t, f, i, number)
	})
	checkRules(t, f)
}

// A content file does not match the digest that is its name. The gateway does not act on it, and
// fetches the content again.
func TestADamagedFileUnderTheRightName(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4, Seed: 5})
	book, err := plans.Parse([]byte(plansText(f.Site, 0.6)))
	clustertest.Check(t, err)
	text := string(plans.Render(book)) // a proposed text is distributed unchanged
	sum := sha256.Sum256([]byte(text))
	path := filepath.Join(controlplane.ContentsDir(f.FleetDir(3)), hex.EncodeToString(sum[:]))
	clustertest.Check(t, os.WriteFile(path, []byte(plansText(f.Site, 6)), 0o600))
	withTraffic(t, f, func() {
		number := waitProposed(t, f, 0, configversion.StageAll, text)
		waitActsOn(t, f, 3, number)
		raw, err := os.ReadFile(path)
		clustertest.Check(t, err)
		if string(raw) != text {
			t.Error("the damaged file is still there")
		}
	})
	checkRules(t, f)
}

// All four gateways are restarted during a rollout, gracefully or by a kill. The audit records of
// all incarnations verify, and account for each request that the servers received. Then a record is
// truncated, changed, copied from another gateway and restored from a copy, and each is detected.
func TestRecordsAccountForAllThatServersTook(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4, Seed: 6})
	var heads []auditlog.Head
	clustertest.Check(t, f.Save(3))
	withTraffic(t, f, func() {
		number := waitProposed(t, f, 0, configversion.StageOne, plansText(f.Site, 0.8))
		for i := range f.Gateways {
			how := syscall.SIGTERM
			if i%2 == 1 {
				how = syscall.SIGKILL
			}
			clustertest.Check(t, f.End(i, how), f.Begin(i))
		}
		for i := range f.Gateways {
			waitActsOn(t, f, i, number)
		}
		testcluster.Pass(t.Context(), time.Second)
	})
	clustertest.Eventually(t, "heads of all four gateways", func() (bool, string) {
		v, err := versionsStatus(f, 0)
		heads = v.Heads
		boots := map[string]bool{}
		for _, h := range heads {
			boots[h.ID] = true
		}
		return err == nil && len(boots) == 4, fmt.Sprintf("%+v %v", heads, err)
	})
	var known json.RawMessage
	clustertest.Check(t, f.Call(0, "versions", &known))
	file := filepath.Join(t.TempDir(), "agreed.json")
	clustertest.Check(t, os.WriteFile(file, known, 0o600))
	audit := []string{"fleet", "audit", "--agreed", file}
	for i := range f.Gateways {
		clustertest.Check(t, f.End(i, syscall.SIGTERM))
		audit = append(audit, f.FleetDir(i))
	}
	var output strings.Builder
	clustertest.Check(t, f.Command(0, &output, audit...),
		f.Command(0, io.Discard, append(audit, "--verify")...))
	if !strings.Contains(output.String(), "plans") || strings.Contains(output.String(), "BEYOND") {
		t.Errorf("unexpected audit:\n%s", output.String())
	}
	wrote, err := records(f)
	clustertest.Check(t, err)
	var all []auditlog.Entry
	for i := range f.Gateways {
		all = append(all, wrote[i]...)
	}
	good, bad := auditlog.Verify(all, heads)
	if len(bad) > 0 {
		t.Errorf("%v", bad)
	}
	rows, _ := auditlog.Summarize(good, (10 * time.Second).Microseconds())
	if len(rows) == 0 {
		t.Error("the audit has no rows")
	}
	for i := range f.Gateways {
		if unexplained, _ := compareRecord(f, i, wrote[i]); unexplained > 0 ||
			countForwarded(f, i, 0, 1<<62) == 0 {
			t.Errorf("%s: %d requests are in no record, or none were forwarded",
				testcluster.Name(i), unexplained)
		}
	}
	checkDetected := func(what string, change func([]auditlog.Entry) []auditlog.Entry) {
		var some []auditlog.Entry
		for i := range f.Gateways {
			entries := append([]auditlog.Entry(nil), wrote[i]...)
			if i == 3 {
				entries = change(entries)
			}
			some = append(some, entries...)
		}
		if _, bad := auditlog.Verify(some, heads); len(bad) == 0 {
			t.Errorf("a record that was %s is not detected", what)
		}
	}
	checkDetected("cut", func(e []auditlog.Entry) []auditlog.Entry { return e[:len(e)/3] })
	checkDetected("changed", func(e []auditlog.Entry) []auditlog.Entry { e[0].Units++; return e })
	checkDetected("copied from another gateway", func([]auditlog.Entry) []auditlog.Entry {
		return wrote[2]
	})
	clustertest.Check(t, f.Restore(3))
	if err := f.Command(0, io.Discard, append(audit, "--verify")...); err == nil {
		t.Error("mothcleat fleet audit accepts a record that was restored from a copy")
	}
	older, err := auditrecorder.Read(controlplane.RecordDir(f.FleetDir(3)))
	clustertest.Check(t, err)
	checkDetected("restored from a copy", func([]auditlog.Entry) []auditlog.Entry { return older })
}

// One gateway's build can't read a version. Piloted there, the version is paused, and the gateway
// keeps acting on the complete version. An operator resumes the rollout: the gateway is fenced when
// no gateway may act on the version before, until it runs another build.
func TestOneThatCanNotReadAVersion(t *testing.T) {
	f := fleet(
		t,
		testcluster.Options{
			Instances: 4,
			Seed:      8,
			Env:       func(int) string { return "MOTHCLEAT_FAULTS=deny=content-read@older" },
		},
	)
	withTraffic(t, f, func() {
		v, err := versionsStatus(f, 0)
		clustertest.Check(t, err)
		var ids []string
		for _, m := range v.Members {
			ids = append(ids, m.Member.ID)
		}
		var older int
		_, err = fmt.Sscanf(configversion.Pilots("plans", 2, configversion.StageOne, ids)[0],
			"n%d", &older)
		clustertest.Check(t, err,
			os.WriteFile(filepath.Join(f.Gateways[older].Dir(), "older"), nil, 0o600))
		at := (older + 1) % 4
		number := waitProposed(t, f, at, configversion.StageOne, plansText(f.Site, 0.8))
		clustertest.Eventually(t, "the version to be paused", func() (bool, string) {
			v, err := versionsStatus(f, at)
			one := findVersion(&v, number)
			return err == nil && one.State == configversion.StatePaused &&
				strings.Contains(one.Why, "can't read it"), fmt.Sprintf("%+v %v", one, err)
		})
		waitActsOn(t, f, older, 1)
		clustertest.Check(t, f.Call(at, fmt.Sprintf("versions go-on plans %d all", number), nil))
		for i := range f.Gateways {
			if i != older {
				waitActsOn(t, f, i, number)
			}
		}
		waitEnded(t, f, at, 1)
		over := f.Record.Now()
		clustertest.Eventually(t, "the older build to be fenced", func() (bool, string) {
			h, err := rolloutStatus(f, older)
			return err == nil && h.Until == 0 &&
				strings.Contains(h.Why, "can't read it"), fmt.Sprintf("%+v %v", h, err)
		})
		testcluster.Pass(t.Context(), time.Second)
		if n := countForwarded(f, older, over+slack, 1<<62); n > 0 {
			t.Errorf("the fenced gateway forwarded %d requests", n)
		}
		clustertest.Check(t, f.End(older, syscall.SIGTERM),
			os.Remove(filepath.Join(f.Gateways[older].Dir(), "older")), f.Begin(older))
		waitActsOn(t, f, older, number)
	})
	checkRules(t, f)
}

// A gateway is suspended repeatedly for longer than its lease. Each time it is fenced, does not act
// on the version that has ended, and is readmitted by itself, after a longer time than before.
func TestOneThatFlaps(t *testing.T) {
	f := fleet(t, testcluster.Options{Instances: 4, Seed: 9})
	const flaps = 3
	withTraffic(t, f, func() {
		for k := range flaps {
			waitActsOn(t, f, 3, 0)
			clustertest.Check(t, f.Stop(3))
			testcluster.Pass(t.Context(), Bound)
			number := waitProposed(t, f, 0, configversion.StageAll,
				plansText(f.Site, 0.9-0.1*float64(k)))
			waitEnded(t, f, 0, number-1)
			over := f.Record.Now()
			clustertest.Check(t, f.Wake(3))
			waitActsOn(t, f, 3, number)
			if n := countForwardedBy(t, f, 3, number-1, over); n > 0 {
				t.Errorf("%d requests were forwarded under a version that had ended", n)
			}
		}
		h, err := rolloutStatus(f, 3)
		clustertest.Check(t, err)
		if h.FencedCount < flaps {
			t.Errorf("the gateway was fenced %d times", h.FencedCount)
		}
	})
	checkRules(t, f)
}

// A proposal that takes longer than an operator's call may last continues: the repeated call gets
// the number of the version, and only one version results.
func TestAProposalThatOutlivesItsCall(t *testing.T) {
	f := fleet(t, testcluster.Options{
		Instances: 4,
		Seed:      9,
		Operators: versionsTable,
		Env: func(int) string {
			return "MOTHCLEAT_FAULTS=slow=propose-before-commit:1500ms"
		},
	})
	number, err := propose(f, 0, configversion.StageAll, 0, plansText(f.Site, 0.5))
	clustertest.Check(t, err)
	for i := range f.Gateways {
		waitActsOn(t, f, i, number)
	}
	v, err := versionsStatus(f, 0)
	clustertest.Check(t, err)
	if newest := v.Versions[len(v.Versions)-1].Number; newest != number {
		t.Errorf("version %d was proposed, but the newest is %d", number, newest)
	}
}
