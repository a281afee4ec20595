// Package clustertest has helpers for the tests of rigs that start several processes.
package clustertest

import (
	"testing"
	"time"

	"mothcleat/internal/testing/testcluster"
)

// Fleet starts a fleet for a test, which runs in parallel with others, and closes it when the test
// ends. If the test fails, it logs the end of each gateway's log.
func Fleet(t *testing.T, o testcluster.Options) *testcluster.Fleet {
	t.Helper()
	t.Parallel() // the tests mostly wait
	f, err := testcluster.New(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, g := range f.Gateways {
				log := g.Log()
				t.Logf("%s:\n%s", testcluster.Name(g.Number), log[max(0, len(log)-4000):])
			}
		}
		f.Close()
	})
	return f
}

// Eventually polls a condition until it holds, for up to 40 s. On timeout it fails the test with
// the last state that is returned.
func Eventually(t *testing.T, what string, is func() (bool, string)) {
	t.Helper()
	last := ""
	deadline := time.Now().Add(40 * time.Second)
	for ; time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ok, state := is()
		if ok {
			return
		}
		last = state
	}
	t.Fatalf("not in time: %s; last state: %s", what, last)
}

// Check fails the test at the first error that is not nil.
func Check(t *testing.T, errs ...error) {
	t.Helper()
	for _, err := range errs {
		if err != nil {
			t.Fatal(err)
		}
	}
}
