package distribution

import (
	"testing"
	"time"
)

// Many schedules break no promise, and provoke what they are to.
func TestSchedules(t *testing.T) {
	found := Search(t.Context(), 1, 30)
	for _, f := range found.Findings {
		t.Errorf("seed %d, %+v: %+v", f.Seed, f.Size, f.Breach)
	}
	for _, k := range FaultKinds {
		if found.Faults[k] == 0 {
			t.Errorf("no fault %s", k)
		}
	}
	if found.Delivered == 0 || found.Repairs == 0 || len(found.Refused) < 3 {
		t.Errorf("%+v: nothing was shown", found)
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
