package lab

import (
	"net/http"
	"testing"
	"time"

	"mothcleat/internal/testing/harness"
)

const ms = time.Millisecond

// Tries that were forwarded without an allowance that could still be valid are counted, in units.
func TestForwardedWithoutAllowanceIsCounted(t *testing.T) {
	s := harness.NewSite(1, 2, 4, 0.5)
	for _, c := range []struct {
		allowed time.Duration // when the customer was allowed; the first try is sent at 1 s
		want    float64
	}{{900 * ms, 0}, {-3 * time.Second, 2}, {1500 * ms, 2}} {
		rec := harness.NewRecord()
		rec.AddTry(
			harness.Try{
				ID:          "1",
				First:       "1",
				Customer:    "c",
				Units:       2,
				RequestedAt: time.Second,
				SentAt:      time.Second,
				Wait:        2 * time.Second,
				AnsweredAt:  1200 * ms,
				Kind:        harness.Served,
				Answers:     1,
			},
		)
		rec.AddAttempt(harness.Attempt{
			ID:          "1",
			Server:      "a",
			FirstByteAt: 1005 * ms,
			ReceivedAt:  1005 * ms,
			Ran:         true,
			Effect:      true,
		})
		a := &Authenticator{allows: map[string][]time.Duration{"c": {c.allowed}}}
		f := harness.Summarize("auth", 1, s, rec)
		checkAuthenticator(f, &World{Site: s, Record: rec}, a)
		if f.Extra["quota_difference"] != c.want {
			t.Errorf("allowed at %v: %v units", c.allowed, f.Extra["quota_difference"])
		}
	}
}

func TestAuthenticatorBehaviors(t *testing.T) {
	a, err := NewAuthenticator(harness.NewRecord(), map[string]bool{"no": true}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	client := &http.Client{Timeout: within}
	ask := func(customer string) int {
		req, _ := http.NewRequest(http.MethodGet, "http://"+a.Address+"/verify", nil)
		req.Header.Set("X-Mothcleat-Customer", customer)
		req.Header.Set("Authorization", "Bearer "+tokenOf(customer))
		res, err := client.Do(req)
		if err != nil {
			return 0
		}
		res.Body.Close()
		return res.StatusCode
	}
	behavior := func(m Behavior) {
		if err := a.SetBehavior(m); err != nil {
			t.Error(err)
		}
	}
	if yes, no := ask("yes"), ask("no"); yes != 200 || no != 403 {
		t.Errorf("%d and %d", yes, no)
	}
	behavior(Errs)
	if got := ask("yes"); got != 500 {
		t.Errorf("errs: %d", got)
	}
	behavior(Down)
	if got := ask("yes"); got != 0 {
		t.Errorf("down: %d", got)
	}
	behavior(Stalls)
	late := make(chan int, 1)
	go func() { late <- ask("yes") }()
	for called := false; !called; {
		a.mu.Lock()
		called = a.calls == 4
		a.mu.Unlock()
	}
	behavior(Answers)
	if got := <-late; got != 200 || len(a.allows["yes"]) != 2 || a.badTokens != 0 {
		t.Errorf("late: %d, %d allowances, %d calls with a wrong token", got, len(a.allows["yes"]), a.badTokens)
	}
}
