package policy

import "testing"

func TestSharedBucketServesPlansThatMayExceedQuota(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	r.serve(0, 1, 1, 1)
	r.time += 10 * second // the bucket of customer 1 is full and overflows
	r.serve(0, 1, 1, 1)
	if r.sharedBucket.level < 10 {
		t.Fatalf("the shared bucket holds %g after ten seconds of overflow, want at least 10",
			r.sharedBucket.level)
	}
	sent := 0
	for range 40 {
		if r.serve(0, 1, 2, 1) {
			sent++
		}
	}
	if sent <= 20 {
		t.Errorf("a plan that may exceed its quota got %d units, want more than its burst of 20",
			sent)
	}
	r.sharedBucket.level = 10
	sent = 0
	for range 40 {
		if r.serve(0, 0, 3, 1) {
			sent++
		}
	}
	if sent != 8 {
		t.Errorf("a plan that may not exceed its quota got %d units, want its burst of 8", sent)
	}
}
