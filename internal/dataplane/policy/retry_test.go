package policy

import (
	"fmt"
	"strings"
	"testing"
)

func TestMayRetry(t *testing.T) {
	x := &backend{Endpoint: Endpoint{Cell: 1}}
	y := &backend{Endpoint: Endpoint{Cell: 2}}
	executed := &attempt{backend: x, sentAt: start, mayHaveRun: true}
	notExecuted := &attempt{backend: y, sentAt: start}
	pending := &attempt{backend: x, sentAt: start, mayHaveRun: true, pending: true}
	idempotent := &Class{Idempotency: Idempotent}
	notIdempotent := &Class{Idempotency: NotIdempotent}
	keyed := &Class{Idempotency: WithIdempotencyKey, DeduplicationWindow: second}
	keyedInCell := &Class{Idempotency: WithIdempotencyKey, DeduplicationWindow: second}
	keyedInCell.DeduplicationScope = ScopeCell
	for _, c := range []struct {
		name    string
		class   *Class
		made    []*attempt
		hedging bool
		after   Time
		want    retryDecision
	}{
		{"nothing sent", notIdempotent, nil, false, 0, retryDecision{true, nil, true}},
		{"idempotent, executed", idempotent, []*attempt{executed}, false, 0,
			retryDecision{true, nil, true}},
		{"idempotent, pending", idempotent, []*attempt{pending}, false, 0,
			retryDecision{false, nil, true}},
		{"idempotent, pending, hedging", idempotent, []*attempt{pending}, true, 0,
			retryDecision{true, nil, true}},
		{"not idempotent, not executed", notIdempotent,
			[]*attempt{notExecuted, notExecuted}, false, 0,
			retryDecision{true, nil, true}},
		{"not idempotent, executed", notIdempotent, []*attempt{notExecuted, executed}, false, 0,
			retryDecision{false, nil, false}},
		{"keyed, in its cell", keyedInCell, []*attempt{notExecuted, executed}, false, second / 2,
			retryDecision{true, executed, false}},
		{"keyed, after its window", keyedInCell, []*attempt{executed}, false, second,
			retryDecision{false, executed, false}},
		{"keyed everywhere", keyed, []*attempt{executed}, false, 0,
			retryDecision{true, executed, true}},
		{"keyed, not executed", keyedInCell, []*attempt{notExecuted}, false, 9 * second,
			retryDecision{true, nil, true}},
	} {
		if got := c.class.mayRetry(c.made, c.hedging, start+c.after, 1000); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}

func TestOneFinalAnswer(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result Result
		want   string
	}{
		{"idempotent, error: retried", 0, Failed, "send"},
		{"not idempotent, error: fails", 1, Failed, "fail"},
		{"not idempotent, rejected: retried", 1, Rejected, "send"},
		{"not idempotent, no connection: retried", 1, ConnectFailed, "send"},
		{"keyed by cell, reset: retried", 2, Reset, "send"},
	} {
		r := newTestBalancer(t, testSettings())
		id, _ := r.request(c.class, 1, 9, 1)
		first := r.requests[id].attempts[0].backend
		r.endAttempt(id, c.result, false)
		if got := r.lastAction(); !strings.HasPrefix(got, fmt.Sprintf("%s %d", c.want, id)) {
			t.Errorf("%s: last action %q, want %s", c.name, got, c.want)
			continue
		}
		if c.want != "send" {
			continue
		}
		if second := r.requests[id].attempts[1].backend; second == first || c.class == 2 &&
			second.Cell != first.Cell {
			t.Errorf("%s: retried at backend %d of cell %d", c.name, second.Backend, second.Cell)
		}
		for r.requests[id] != nil {
			r.time += second
			r.endAttempt(id, TimedOut, false)
		}
		finals := r.actionRecorder.count("fail") + r.actionRecorder.count("reject")
		if finals != 1 {
			t.Errorf("%s: %d final answers, want 1", c.name, finals)
		}
	}
}

// A request with an idempotency key stays in the cell of its first attempt when the backend's name
// has passed to a process in another cell meanwhile: that cell does not know the first attempt.
func TestRetryStaysInCellOfFormerProcess(t *testing.T) {
	r := newTestBalancer(t, testSettings())
	const keyedInCell = 2
	id, sent := r.request(keyedInCell, 0, 1, 1)
	if !sent {
		t.Fatal("the request was not sent")
	}
	first := r.requests[id].attempts[0]
	cell := first.cell
	moved := first.backend.Endpoint
	moved.Cell = 1 - cell
	moved.StartedAt = r.time
	r.UpdateEndpoints(r.time, Delta, []Endpoint{moved})
	r.endAttempt(id, Reset, false)
	q := r.requests[id]
	if q == nil || len(q.attempts) != 2 {
		t.Fatalf("no retry: %v", r.recorded)
	}
	if q.attempts[1].cell != cell {
		t.Errorf("the retry was sent to cell %d, the first attempt to %d", q.attempts[1].cell, cell)
	}
}
