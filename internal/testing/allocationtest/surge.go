package allocationtest

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"mothcleat/internal/testing/testcluster"
)

// surge ends all but few gateways, starts them again at once, and then replaces all gateways in
// random order, each at a time. Every third one is killed. Voters are replaced one at a time.
func (t *trialRun) surge(ctx context.Context, few, each int) error {
	n := len(t.f.Gateways)
	few = max(few, min(voters, n))
	all := func(from, to int, do func(i int) error) error {
		var wg sync.WaitGroup
		errs := make([]error, to-from)
		for i := from; i < to; i++ {
			wg.Add(1)
			go func() {
				defer wg.Done()
				errs[i-from] = do(i)
			}()
		}
		wg.Wait()
		return errors.Join(errs...)
	}
	if err := all(
		few,
		n,
		func(i int) error { t.harm.Count("leaves"); return t.f.End(i, syscall.SIGTERM) },
	); err != nil {
		return err
	}
	t.harm.Logf("%d gateways are left", few)
	testcluster.Pass(ctx, 2*time.Second) // until these hold the whole quotas
	began := time.Now()
	if err := all(
		few,
		n,
		func(i int) error { t.harm.Count("joins"); return t.f.Begin(i) },
	); err != nil {
		return err
	}
	t.harm.Logf("%d gateways joined within %v", n-few, time.Since(began).Round(time.Millisecond))
	testcluster.Pass(ctx, 3*time.Second)

	r := rand.New(rand.NewPCG(t.o.Seed, 0x5a))
	order := r.Perm(n)
	replace := func(k, i int) error {
		how := syscall.SIGTERM
		if k%3 == 2 {
			how = syscall.SIGKILL
			t.harm.Count("kills")
		} else {
			t.harm.Count("leaves")
		}
		if err := t.f.End(i, how); err != nil {
			return err
		}
		t.harm.Count("joins")
		return t.f.Begin(i)
	}
	var some, voting []int
	for _, i := range order {
		if i < min(voters, n) {
			voting = append(voting, i)
		} else {
			some = append(some, i)
		}
	}
	for at := 0; at < len(some); at += each {
		batch := some[at:min(at+each, len(some))]
		if err := all(
			0,
			len(batch),
			func(k int) error { return replace(at+k, batch[k]) },
		); err != nil {
			return err
		}
	}
	for k, i := range voting {
		if err := replace(k, i); err != nil {
			return err
		}
		if err := t.waitUntilSettled(ctx); err != nil {
			return err
		}
	}
	t.harm.Logf("all gateways are replaced")
	return nil
}
