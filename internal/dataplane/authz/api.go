// Package authz decides, for one gateway, whether a request may proceed. It determines when the
// authenticator is called, which requests wait for its verdict and for how long, how long a verdict
// is cached, and when a failing authenticator is not called. The package does no I/O: the caller
// provides the clock, the sockets and the random seed.
//
// Guarantees, provided that time never goes backwards and that the caller calls HandleAnswer
// exactly once for each Call:
//
//   - A request gets exactly one verdict, either from Request itself or later through Decide,
//     unless Cancel is called first.
//   - The verdict is given within the request's maximum wait, provided that the caller calls Timer
//     at the times that SetTimer requests.
//   - Equal questions share one call; no more than MaxCalls calls are outstanding.
//   - An answer for which no request waits any more only fills the cache.
package authz

import "errors"

// Time is a point in time or a duration, in microseconds.
type Time = int64

// Key identifies a question: it is a digest of everything that the verdict may depend on. Questions
// with equal keys are equal.
type Key [16]byte

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts. Pending means that there is no verdict yet; Decide gives it later. A request with
// the verdict RetryLater or Unknown was not executed, so it may be rejected.
const (
	Pending Verdict = iota
	Allow
	Deny
	RetryLater // the authenticator told the client to retry
	Unknown    // the authenticator gave no verdict, and the class does not fail open
)

// Answer is the result of a call. Verdict is Allow, Deny, RetryLater or Unknown.
type Answer struct {
	Verdict    Verdict
	MaxAge     Time // how long the answer may be cached; negative: not specified
	RetryAfter Time // only with RetryLater
}

// Question is a request that needs a verdict.
type Question struct {
	ID          uint64
	Key         Key
	Class, Plan int
	Timeout     Time // how much longer the client waits
}

// Actions carries out what a Gate decides. A Gate calls its methods in the order in which they are
// to take effect.
type Actions interface {
	// Call sends a question to the authenticator. Call numbers are never reused.
	Call(call uint64, key Key)
	// Decide gives a waiting request its only verdict; retryAfter applies to RetryLater only.
	Decide(id uint64, v Verdict, retryAfter Time)
	// SetTimer requests a call of Timer at the given time and replaces an earlier SetTimer.
	SetTimer(at Time)
}

// Settings configure how a Gate decides. Times are in microseconds.
type Settings struct {
	Classes  []bool // by class: whether the authenticator is called
	Plans    []bool // by plan; the authenticator is called only if class and plan are both true
	FailOpen []bool // by class: whether requests proceed without a verdict

	MaxWait     Time // of a request, which also never waits longer than a quarter of its timeout
	AllowTTL    Time // how long an Allow without a max-age is cached
	MaxAllowTTL Time
	MaxDenyTTL  Time
	StaleTTL    Time // how long an expired Allow may be used while it is revalidated

	MaxCalls   int // limit of concurrently outstanding calls
	MaxWaiting int // limit of concurrently waiting requests
	MaxCached  int // limit of cached answers

	BreakerFailures int  // consecutive failures that open the circuit breaker
	BreakerMinOpen  Time // how long it stays open the first time
	BreakerMaxOpen  Time // each failed probe doubles that time up to this limit
}

// Errors for invalid settings.
var (
	ErrClasses = errors.New("authz: Classes and FailOpen must have the same length")
	ErrLimits  = errors.New("authz: the maximum wait and the limits must be above 0")
	ErrTimes   = errors.New("authz: TTLs must be at least 0")
	ErrBreaker = errors.New("authz: BreakerMinOpen must be above 0 and at most BreakerMaxOpen")
)

// check returns an error for invalid settings.
func (s *Settings) check() error {
	limits := []int{s.MaxCalls, s.MaxWaiting, s.MaxCached, s.BreakerFailures}
	ttls := []Time{s.AllowTTL, s.MaxAllowTTL, s.MaxDenyTTL, s.StaleTTL}
	switch {
	case len(s.Classes) != len(s.FailOpen):
		return ErrClasses
	case s.MaxWait <= 0 || anyBelow(limits, 1):
		return ErrLimits
	case anyBelow(ttls, 0):
		return ErrTimes
	case s.BreakerMinOpen <= 0 || s.BreakerMaxOpen < s.BreakerMinOpen:
		return ErrBreaker
	}
	return nil
}

func anyBelow[T int | int64](values []T, limit T) bool {
	for _, v := range values {
		if v < limit {
			return true
		}
	}
	return false
}
