package electiontest

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/testing/faultproxy"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/testcluster"
)

// faults injects one fault after another into processes, and concurrently into links, until the
// context ends. Each track repeats its kinds in an order that is drawn from the seed.
func (t *trialRun) faults(ctx context.Context) {
	defer t.heal()
	var wg sync.WaitGroup
	track := func(
		seed uint64, minPause, maxPause float64, kinds ...func(context.Context, *rand.Rand),
	) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(t.o.Seed, seed))
			for {
				r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
				for _, kind := range kinds {
					if !testcluster.Pass(ctx, randomDuration(r, minPause, maxPause)) {
						return
					}
					kind(ctx, r)
				}
			}
		}()
	}
	track(0x0117e5, 0.3, 1.2, t.suspendAmidExport, t.suspendAmidExport, t.suspendLogLeader,
		t.killRoleLeader, t.killAtPoint, t.stopRoleLeader, t.suspendRoleLeader, t.transfer,
		t.slowDisk, t.emptyFolder)
	track(0x11111e, 0.5, 2, t.cutOneWay, t.isolate, t.impairLinks)
	wg.Wait()
}

// heal ends all faults, and resumes or restarts every process that does not run.
func (t *trialRun) heal() {
	t.f.Heal()
	for i, g := range t.f.Gateways {
		_ = os.Remove(filepath.Join(g.Dir(), "slow-sync"))
		if t.f.Stopped(i) {
			t.fail(t.f.Wake(i))
		}
		if !g.Running() {
			t.fail(t.f.Begin(i))
		}
	}
}

// randomRole returns the role of one shard of the export.
func (t *trialRun) randomRole(r *rand.Rand) string {
	return usageexport.RoleOfShard(r.IntN(t.o.Shards))
}

// randomDuration returns a duration between two numbers of seconds.
func randomDuration(r *rand.Rand, minSeconds, maxSeconds float64) time.Duration {
	return time.Duration(harness.Between(r, minSeconds, maxSeconds) * float64(time.Second))
}

// suspend suspends a process for a while.
func (t *trialRun) suspend(ctx context.Context, i int, d time.Duration) {
	if err := t.f.Stop(i); err != nil {
		t.fail(err)
		return
	}
	t.countFault("stops")
	testcluster.Pass(ctx, d)
	t.fail(t.f.Wake(i))
}

// beginVacancy records that a role loses its leader now.
func (t *trialRun) beginVacancy(role string, h lease.Lease, order bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vacancies = append(t.vacancies, vacancy{role, h.Term, time.Now(), order})
}

func (t *trialRun) suspendRoleLeader(ctx context.Context, r *rand.Rand) {
	role := t.randomRole(r)
	if i, h := t.roleLeader(role); i >= 0 {
		t.logFault("suspend %s, owner of %s under term %d", testcluster.Name(i), role, h.Term)
		t.beginVacancy(role, h, false)
		t.suspend(ctx, i, randomDuration(r, 2, 5))
	}
}

// suspendAmidExport makes the owner suspend itself between its check and its write, and resumes it
// after 3 to 5 s, by when another gateway may own the role.
func (t *trialRun) suspendAmidExport(ctx context.Context, r *rand.Rand) {
	role := t.randomRole(r)
	point := []string{
		"export-before-agree", "export-before-agree", "export-amid-write", "export-collected",
	}[r.IntN(4)]
	i, h := t.roleLeader(role)
	if i < 0 {
		return
	}
	flag := filepath.Join(t.f.Gateways[i].Dir(), "stop-"+point)
	if err := os.WriteFile(flag, nil, 0o600); err != nil {
		t.fail(err)
		return
	}
	for wait := time.Now(); !t.f.Stopped(i); {
		if time.Since(wait) > 4*time.Second || !testcluster.Pass(ctx, 5*time.Millisecond) {
			_ = os.Remove(flag)
			return
		}
	}
	t.f.Record.AddProcessEvent(i, harness.Paused)
	t.beginVacancy(role, h, false)
	t.logFault("%s suspended itself at %s, owner of %s under term %d",
		testcluster.Name(i), point, role, h.Term)
	t.countFault("stops")
	testcluster.Pass(ctx, randomDuration(r, 3, 5))
	if _, next := t.roleLeader(role); next.Term > h.Term {
		t.countFault("late_wakes")
	}
	t.fail(t.f.Wake(i))
}

func (t *trialRun) suspendLogLeader(ctx context.Context, r *rand.Rand) {
	if i := t.logLeader(); i >= 0 {
		t.logFault("suspend %s, the log's leader", testcluster.Name(i))
		t.suspend(ctx, i, randomDuration(r, 1.5, 4))
	}
}

// kill ends a process and starts it again.
func (t *trialRun) kill(ctx context.Context, r *rand.Rand, i int, then func()) {
	t.countFault("kills")
	t.killed[i]++
	t.fail(t.f.End(i, syscall.SIGKILL))
	if then != nil {
		then()
	}
	testcluster.Pass(ctx, randomDuration(r, 0.2, 2))
	t.fail(t.f.Begin(i))
}

func (t *trialRun) killRoleLeader(ctx context.Context, r *rand.Rand) {
	role := t.randomRole(r)
	if i, h := t.roleLeader(role); i >= 0 {
		t.logFault("kill %s, owner of %s under term %d", testcluster.Name(i), role, h.Term)
		t.beginVacancy(role, h, false)
		t.kill(ctx, r, i, nil)
	}
}

// killAtPoint makes a process kill itself at a failpoint.
func (t *trialRun) killAtPoint(ctx context.Context, r *rand.Rand) {
	point := points[r.IntN(len(points))]
	i := r.IntN(t.o.Instances)
	role := t.randomRole(r)
	var h lease.Lease
	if strings.HasPrefix(point, "export") {
		if i, h = t.roleLeader(role); i < 0 {
			return
		}
	} else if strings.HasPrefix(point, "voter") {
		if i = t.logLeader(); i < 0 {
			return
		}
	}
	flag := filepath.Join(t.f.Gateways[i].Dir(), "kill-"+point)
	if err := os.WriteFile(flag, nil, 0o600); err != nil {
		t.fail(err)
		return
	}
	t.f.Gateways[i].Expect(syscall.SIGKILL)
	for wait := time.Now(); t.f.Gateways[i].Running(); {
		if time.Since(wait) > 4*time.Second || !testcluster.Pass(ctx, 5*time.Millisecond) {
			_ = os.Remove(flag)
			t.f.Gateways[i].Expect(0)
			return
		}
	}
	t.f.Record.AddProcessEvent(i, harness.Killed)
	if h.Term > 0 {
		t.beginVacancy(role, h, false)
	}
	t.countFault("kills")
	t.killed[i]++
	t.logFault("%s killed itself at %s", testcluster.Name(i), point)
	testcluster.Pass(ctx, randomDuration(r, 0.2, 1.5))
	t.fail(t.f.Begin(i))
}

// cutOneWay cuts either what a gateway sends or what it receives.
func (t *trialRun) cutOneWay(ctx context.Context, r *rand.Rand) {
	i := t.logLeader()
	if i < 0 || r.IntN(3) == 0 {
		i = r.IntN(t.o.Instances)
	}
	cutSending := r.IntN(2) == 0
	t.logFault("%s %s", testcluster.Name(i),
		map[bool]string{true: "can't send", false: "can't receive"}[cutSending])
	t.f.Isolate(i, cutSending, !cutSending, true)
	testcluster.Pass(ctx, randomDuration(r, 2, 4))
	t.f.Isolate(i, cutSending, !cutSending, false)
	t.countFault("cuts")
}

// isolate cuts a gateway off from all others, or two gateways from each other.
func (t *trialRun) isolate(ctx context.Context, r *rand.Rand) {
	i, j := r.IntN(t.o.Instances), r.IntN(t.o.Instances)
	if owner, _ := t.roleLeader(t.randomRole(r)); owner >= 0 && r.IntN(2) == 0 {
		i = owner
	}
	if i == j || r.IntN(2) == 0 {
		t.logFault("%s is isolated", testcluster.Name(i))
		t.f.Isolate(i, true, true, true)
		testcluster.Pass(ctx, randomDuration(r, 2, 5))
		t.f.Isolate(i, true, true, false)
	} else {
		t.logFault("%s and %s are cut off from each other",
			testcluster.Name(i), testcluster.Name(j))
		t.f.Between(i, j, true)
		testcluster.Pass(ctx, randomDuration(r, 2, 5))
		t.f.Between(i, j, false)
	}
	t.countFault("cuts")
}

// impairLinks delays a gateway's links, limits their rate, resets them or leaves them half open.
func (t *trialRun) impairLinks(ctx context.Context, r *rand.Rand) {
	i := r.IntN(t.o.Instances)
	what := r.IntN(4)
	t.logFault("links of %s: %s", testcluster.Name(i),
		[]string{"delayed", "slow", "reset", "half open"}[what])
	for j, l := range t.f.Links[i] {
		if l == nil {
			continue
		}
		switch what {
		case 0:
			l.Set(faultproxy.Upstream,
				faultproxy.Conditions{Delay: 20 * time.Millisecond, Jitter: 80 * time.Millisecond})
			t.f.Links[j][i].Set(faultproxy.Upstream,
				faultproxy.Conditions{Jitter: 50 * time.Millisecond})
		case 1:
			l.Set(faultproxy.Upstream, faultproxy.Conditions{BytesPerSecond: 4000})
		case 2:
			l.Reset()
		case 3:
			l.HalfOpen()
		}
	}
	t.countFault("weather")
	testcluster.Pass(ctx, randomDuration(r, 1, 3))
	t.f.Heal()
}

// stopRoleLeader ends an owner with SIGTERM, and starts it again.
func (t *trialRun) stopRoleLeader(ctx context.Context, r *rand.Rand) {
	role := t.randomRole(r)
	i, h := t.roleLeader(role)
	if i < 0 {
		return
	}
	t.logFault("%s, owner of %s under term %d, is terminated", testcluster.Name(i), role, h.Term)
	t.beginVacancy(role, h, true)
	t.fail(t.f.End(i, syscall.SIGTERM))
	t.countFault("stopped in order")
	testcluster.Pass(ctx, randomDuration(r, 0.1, 1))
	t.fail(t.f.Begin(i))
}

// transfer transfers a role by an operator's command.
func (t *trialRun) transfer(ctx context.Context, r *rand.Rand) {
	role := t.randomRole(r)
	i, h := t.roleLeader(role)
	to := r.IntN(t.o.Instances)
	if i < 0 || i == to {
		return
	}
	var answer string
	if t.view("transfer "+role+" "+testcluster.Name(to), &answer) == nil {
		t.logFault("%s is to be transferred from %s to %s",
			role, testcluster.Name(i), testcluster.Name(to))
		t.beginVacancy(role, h, true)
		t.countFault("transfers")
	}
}

// slowDisk delays the syncs of the log's leader by 3 s each.
func (t *trialRun) slowDisk(ctx context.Context, r *rand.Rand) {
	i := t.logLeader()
	if i < 0 {
		return
	}
	flag := filepath.Join(t.f.Gateways[i].Dir(), "slow-sync")
	t.logFault("the disk of %s, the log's leader, is slow", testcluster.Name(i))
	if err := os.WriteFile(flag, nil, 0o600); err != nil {
		t.fail(err)
		return
	}
	testcluster.Pass(ctx, randomDuration(r, 2, 4))
	t.fail(os.Remove(flag))
	t.countFault("slow disks")
}

// emptyFolder kills a gateway that is not a voter and removes its folder, once a run.
func (t *trialRun) emptyFolder(ctx context.Context, r *rand.Rand) {
	i := t.o.Instances - 1
	if len(t.emptied) > 0 || t.o.Instances < 4 {
		return
	}
	t.logFault("kill %s and remove its folder", testcluster.Name(i))
	t.emptied[i] = true
	t.kill(ctx, r, i, func() { t.fail(t.f.Empty(i)) })
}
