// Package authz decides, for one gateway, whether a request may go on: it says
// when an authenticator is to be asked, who waits for its verdict and for how
// long, what a verdict is worth later, and when a dead authenticator is left in
// peace. It does no I/O: the host owns the clock, the sockets and the random
// numbers.
//
// Promises, given that times never go back and that the host delivers exactly one
// Answered for each Call:
//
//   - A request gets one verdict: from Request itself, or later by Decide, unless
//     Gone was called first.
//   - That verdict comes by the request's budget at the latest, if the host calls Timer
//     when asked to.
//   - Equal questions share one call; no more than MostOut calls are out.
//   - An answer that comes when nobody waits any more only fills the cache.
//
// A Gate is for one goroutine at a time.
package authz

import "errors"

// Time is a moment or a length of time in microseconds.
type Time = int64

// Key stands for a question: a digest of all that the authenticator is told that
// its verdict may depend on. Equal keys are equal questions.
type Key [16]byte

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts. Wait is none yet: Decide brings it. Later and Unknown may be
// answered with a refusal: nothing ran.
const (
	Pending    Verdict = iota
	Allow              // it may go on
	Deny               // the authenticator said no
	RetryLater         // the authenticator said: come back later
	Unknown            // no verdict could be had, and the class does not pass without one
)

// Answer is how a call ended. Verdict is Pass, Deny, Later or Unknown.
type Answer struct {
	Verdict    Verdict
	MaxAge     Time // how long the answer may be kept; below 0: not told
	RetryAfter Time // with Later: when to come back
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
	// Call asks the authenticator. Call numbers are never used again.
	Call(call uint64, key Key)
	// Decide gives a request that waits its one verdict; after tells when to come back.
	Decide(id uint64, v Verdict, after Time)
	// SetTimer asks for a Timer call at the time; a later call moves it.
	SetTimer(at Time)
}

// Settings say how a Gate decides. Times are in microseconds.
type Settings struct {
	Classes  []bool // by class: whether it is asked about
	Plans    []bool // by plan: the same; both must hold
	FailOpen []bool // by class: whether it passes when no verdict can be had

	MaxWait     Time // the longest that a request waits, and never more than a quarter of its grace
	AllowTTL    Time // how long an allowance is kept where it tells nothing,
	MaxAllowTTL Time // and at most
	MaxDenyTTL  Time // how long a denial is kept at most
	StaleTTL    Time // how long an allowance that has run out may serve while it is asked again

	MaxCalls   int // calls out at once
	MaxWaiting int // requests that wait at once
	MaxCached  int // answers kept

	BreakerFailures int  // failures in a row that open the breaker
	BreakerMinOpen  Time // how long it stays open at first,
	BreakerMaxOpen  Time // and at most: each failed trial doubles it
}

// check tells what can't be served.
func (s *Settings) check() error {
	switch {
	case len(s.Classes) != len(s.FailOpen):
		return errors.New("authz: as many classes to ask about as to pass wanted")
	case s.MaxWait <= 0 || s.MaxCalls <= 0 || s.MaxWaiting <= 0 || s.MaxCached <= 0 || s.BreakerFailures <= 0:
		return errors.New("authz: budget and limits above 0 wanted")
	case s.AllowTTL < 0 || s.MaxAllowTTL < 0 || s.MaxDenyTTL < 0 || s.StaleTTL < 0:
		return errors.New("authz: times of 0 and more wanted")
	case s.BreakerMinOpen <= 0 || s.BreakerMaxOpen < s.BreakerMinOpen:
		return errors.New("authz: an opening above 0 and no longer than the longest wanted")
	}
	return nil
}
