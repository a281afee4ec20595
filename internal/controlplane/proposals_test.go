package controlplane

import (
	"context"
	"errors"
	"testing"
	"time"
)

// Guards against a proposal that fails because its operator's call ends first: the proposal
// continues, and a repeated call returns its result, once.
func TestProposalOutlivesItsCall(t *testing.T) {
	var p proposals
	release := make(chan struct{})
	runs := 0
	run := func(ctx context.Context) (uint64, error) {
		runs++
		select {
		case <-release:
			return 7, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	propose := func(timeout time.Duration) (uint64, error) {
		call, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		return p.do(call, t.Context(), "a", run)
	}
	for range 3 {
		if _, err := propose(2 * proposalAnswerMargin); !errors.Is(err, ErrProposalInProgress) {
			t.Fatalf("a call that ends before its proposal gets %v, want ErrProposalInProgress", err)
		}
	}
	close(release)
	if number, err := propose(time.Minute); number != 7 || err != nil {
		t.Errorf("the repeated call gets %d, %v; want 7 and no error", number, err)
	}
	if runs != 1 {
		t.Errorf("four equal calls started %d proposals, want 1", runs)
	}
	if _, err := propose(time.Minute); err != nil || runs != 2 {
		t.Errorf("a call after the result was returned: %d proposals, want 2; error %v",
			runs, err)
	}
}
