package membership

import "math/rand/v2"

// Pacer decides how often a gateway calls a registry whose capacity for calls is limited and shared
// by the whole fleet: how long a watch may wait, and when to call again after a failure. It does no
// I/O. It is not safe for concurrent use.
type Pacer struct {
	gateways       int
	rand           *rand.Rand
	failures       int  // in a row
	callInterval   Time // from an answer to the next call; 0: the registry has enough capacity
	silenceTimeout Time // see SilenceTimeout; 0: no parallel calls are made
}

// A registry that all gateways call at once can answer none of them. A gateway must act on a change
// within a fixed time even if it did not receive the change, so all waits are bounded.
const (
	minWatch        Time = 2_000_000  // a watch that hangs hides all changes until it times out
	watchPerGateway Time = 300_000    // spreads the watches of the fleet over time
	maxWatch        Time = 20_000_000 // maximum wait of a watch
	maxPushedWatch  Time = 3_000_000  // the same if lists are pushed, so that calls cost nothing

	firstRetryDelay Time = 100_000   // doubled with each failure in a row
	maxRetryDelay   Time = 3_000_000 // half of a delay is random
	minRetryDelay   Time = 50_000

	// The maximum time from the start of a failed call to the start of the next. A change must be
	// acted on within 6 s after the registry has it and is reachable; the remaining 2 s are for the
	// next call itself.
	maxCallSpacing Time = 4_000_000

	// The silence timeout is the time within which changes must be acted on, divided by this.
	silenceTimeoutDivisor      = 4
	minSilenceTimeout     Time = 50_000
	maxSilenceTimeout     Time = 500_000

	callIntervalPerGateway Time = 60_000         // minimum interval after a rejected call
	maxCallInterval             = maxCallSpacing // each further rejection doubles it up to this
	callIntervalDecay           = 0.85           // each answer multiplies the interval by this

	// The delay no longer grows after this many failures in a row.
	maxDoublings = 10
)

// pacerStream separates the pacer's random numbers from other generators with the same seed.
const pacerStream = 0x9ace

// NewPacer returns the pacer of one gateway in a fleet of the given size. The seed determines its
// random numbers.
func NewPacer(gateways int, seed uint64) *Pacer {
	return &Pacer{gateways: gateways, rand: rand.New(rand.NewPCG(seed, pacerStream))}
}

// SetPushed configures the pacer for lists that are pushed to an agent on this machine, which
// answers at once. A change must be acted on within actWithin after the agent has it. An agent that
// was silent for a while never answers the calls made during that time, so another call has to be
// made soon. SetPushed returns p.
func (p *Pacer) SetPushed(actWithin Time) *Pacer {
	timeout := actWithin / silenceTimeoutDivisor
	p.silenceTimeout = max(minSilenceTimeout, min(maxSilenceTimeout, timeout))
	return p
}

// SilenceTimeout returns how long a call that is due to be answered may remain without an answer
// before another call is made in parallel. 0 means that no parallel calls are made.
func (p *Pacer) SilenceTimeout() Time { return p.silenceTimeout }

// WatchTimeout returns how long a watch may wait. After a failure it returns the minimum, because
// it is not yet known whether the registry answers again.
func (p *Pacer) WatchTimeout() Time {
	limit := maxWatch
	if p.silenceTimeout > 0 {
		limit = maxPushedWatch
	}
	timeout := max(minWatch, min(limit, Time(p.gateways)*watchPerGateway))
	if timeout == minWatch || p.failures > 0 {
		return minWatch
	}
	// Without a random part, watches that began together would also end together.
	return max(minWatch, timeout-p.random(timeout/4))
}

// Succeeded records a call that was answered, and returns the delay before the next call. The delay
// is 0 if the registry has enough capacity, because a watch must continue without a gap.
func (p *Pacer) Succeeded() (after Time) {
	p.failures = 0
	if p.callInterval == 0 {
		return 0
	}
	p.callInterval = Time(float64(p.callInterval) * callIntervalDecay)
	if p.callInterval < Time(p.gateways)*callIntervalPerGateway/4 {
		p.callInterval = 0
	}
	return p.jitter(p.callInterval)
}

// random returns a random time from 0 up to, but not including, limit.
func (p *Pacer) random(limit Time) Time { return Time(p.rand.Float64() * float64(limit)) }

// jitter returns a random time from three quarters of t to t.
func (p *Pacer) jitter(t Time) Time { return t*3/4 + p.random(t/4) }

// Failed records a failed call and the time spent on it, and returns the delay before the next
// call. A rejected call means that the registry lacks the capacity for the fleet's calls, so each
// gateway calls less often for a while.
func (p *Pacer) Failed(rejected bool, spent Time) (after Time) {
	if rejected {
		doubled := max(2*p.callInterval, Time(p.gateways)*callIntervalPerGateway)
		p.callInterval = min(maxCallInterval, doubled)
	}
	delay := maxRetryDelay
	if p.failures < maxDoublings {
		delay = min(maxRetryDelay, firstRetryDelay<<p.failures)
	}
	p.failures++
	if p.silenceTimeout > 0 && !rejected {
		delay = min(delay, p.silenceTimeout)
	}
	limit := max(minRetryDelay, maxCallSpacing-spent)
	delay = min(delay, limit)
	interval := p.jitter(min(p.callInterval, limit))
	return max(minRetryDelay, interval, delay/2+p.random(delay/2))
}
