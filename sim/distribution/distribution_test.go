package distribution

import (
	"testing"
	"time"
)

// No schedule breaks a guarantee, and the schedules provoke every kind of fault.
func TestSchedules(t *testing.T) {
	found := Search(t.Context(), 1, 30)
	for _, f := range found.Findings {
		t.Errorf("seed %d, %+v: %+v", f.Seed, f.Size, f.Breach)
	}
	for _, k := range FaultKinds {
		if found.Faults[k] == 0 {
			t.Errorf("no fault %q was played", k)
		}
	}
	if found.Delivered == 0 || found.Repairs == 0 || len(found.Refused) < 3 {
		t.Errorf("%+v: no deliveries, no repairs, or fewer than 3 types of refused input", found)
	}
	t.Logf("%d plays in %v: %d revisions, %d deliveries, %d resumes, %d repairs, refused %v",
		found.Plays,
		found.Took.Round(time.Millisecond),
		found.Revisions,
		found.Delivered,
		found.Resumes,
		found.Repairs,
		found.Refused)
}
