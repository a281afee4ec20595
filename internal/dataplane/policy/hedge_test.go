package policy

import "testing"

// An unanswered attempt is given up while there is time for another one.
func TestHedgeWhileThereIsTime(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	for _, class := range []int{0, 1} {
		r.classLatencies[class].add(float64(second/50), slowSampleWeight)
	}
	for _, c := range []struct {
		class int
		until Time
	}{{0, hedgeAfterMeanLatencies * second / 50}, {1, 0}} { // idempotent, and not
		r.attemptDeadlines = nil
		if _, sent := r.request(c.class, 1, 9, 1); !sent {
			t.Fatal("the request was not sent")
		}
		if got := max(0, r.attemptDeadlines[0]-r.time); got != c.until {
			t.Errorf("class %d: given up after %d, want %d", c.class, got, c.until)
		}
	}
}

// A fast back end may pause for a moment: a request is not hedged before a minimum fraction of its
// latency objective has passed.
func TestHedgeDelayHasAMinimum(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	r.classLatencies[0].add(100, slowSampleWeight)
	r.request(0, 1, 9, 1)
	got := r.attemptDeadlines[0] - r.time
	objective := r.settings.Classes[0].LatencyObjective
	want := Time(minHedgeObjectiveFraction * float64(objective))
	if got != want {
		t.Errorf("given up after %d, want %d", got, want)
	}
}
