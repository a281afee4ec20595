// Package authz decides, for one gateway, whether a request may go on: when an authenticator is
// asked, which requests wait for its verdict and for how long, how long a verdict is cached, and
// when a failing authenticator is not called. It does no I/O: the caller owns the clock, the
// sockets and the random numbers.
//
// Guarantees, given that times never go back and that the caller calls HandleAnswer exactly once
// for each Call:
//
//   - A request gets one verdict: from Request itself, or later by Decide, unless Cancel was called
//     first.
//   - That verdict comes within the request's wait, if the caller calls Timer when asked to.
//   - Equal questions share one call; no more than MaxCalls calls are outstanding.
//   - An answer for which nobody waits any more only fills the cache.
package authz

import "errors"

// Time is a moment or a duration in microseconds.
type Time = int64

// Key stands for a question: a digest of all that the verdict may depend on. Equal keys are equal
// questions.
type Key [16]byte

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts. Pending is none yet: Decide brings it. With RetryLater and Unknown nothing was
// executed, so the request may be rejected.
const (
	Pending Verdict = iota
	Allow
	Deny
	RetryLater // the authenticator said so
	Unknown    // there is no verdict, and the class does not fail open
)

// Answer is how a call ended. Verdict is Allow, Deny, RetryLater or Unknown.
type Answer struct {
	Verdict    Verdict
	MaxAge     Time // how long it may be cached; below 0: it does not say
	RetryAfter Time // with RetryLater
}

// Question is a request that waits to go on.
type Question struct {
	ID          uint64
	Key         Key
	Class, Plan int
	Timeout     Time // how long the client waits from now
}

// Actions is what a Gate has done. Calls take effect in order.
type Actions interface {
	// Call asks the authenticator. Call numbers are never reused.
	Call(call uint64, key Key)
	// Decide gives a waiting request its one verdict; retryAfter is for RetryLater.
	Decide(id uint64, v Verdict, retryAfter Time)
	// SetTimer asks for a Timer call at a time; a later SetTimer replaces it.
	SetTimer(at Time)
}

// Settings say how a Gate decides. Times are in microseconds.
type Settings struct {
	Classes  []bool // by class: whether the authenticator is asked
	Plans    []bool // the same by plan; both must hold
	FailOpen []bool // by class: whether requests go on without a verdict

	MaxWait     Time // of a request, and never more than a quarter of its timeout
	AllowTTL    Time // how long an allowance without a max-age is cached
	MaxAllowTTL Time
	MaxDenyTTL  Time
	StaleTTL    Time // how long an expired allowance may serve while it is revalidated

	MaxCalls   int // outstanding at once
	MaxWaiting int // requests that wait at once
	MaxCached  int // answers

	BreakerFailures int  // in a row, that open the circuit breaker
	BreakerMinOpen  Time // how long it stays open at first
	BreakerMaxOpen  Time // each failed probe doubles the time up to this
}

// Errors of settings.
var (
	ErrClasses = errors.New("authz: as many classes to ask about as to pass wanted")
	ErrLimits  = errors.New("authz: budget and limits above 0 wanted")
	ErrTimes   = errors.New("authz: times of 0 and more wanted")
	ErrBreaker = errors.New("authz: an opening above 0 and no longer than the longest wanted")
)

// check returns why settings can't be used; nil if they can.
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
