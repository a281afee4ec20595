package membership

import "math/rand/v2"

// Pacer decides how often a gateway calls a registry that has capacity for only so many calls of
// the whole fleet: how long a watch may wait, and when to call again after a failure. It does no
// I/O. It is not safe for concurrent use.
type Pacer struct {
	gateways       int
	rand           *rand.Rand
	failures       int  // in a row
	callInterval   Time // between an answer and the next call; 0: the registry has capacity
	silenceTimeout Time // see SilenceTimeout; 0: silence is waited out
}

// A registry that all gateways call at once answers none of them. Its changes bind even gateways
// that have not received them, so all waits are bounded.
const (
	minWatch        Time = 2_000_000  // a watch that hangs hides all changes until it is given up
	watchPerGateway Time = 300_000    // so that the fleet's watches are spread over time
	maxWatch        Time = 20_000_000 // for which a watch waits
	maxPushedWatch  Time = 3_000_000  // the same where lists are pushed and calls cost nothing

	firstRetryDelay Time = 100_000   // doubled with each failure in a row
	maxRetryDelay   Time = 3_000_000 // half of a delay is random
	minRetryDelay   Time = 50_000

	// From the start of a call that failed to the start of the next. A change binds 6 s after the
	// registry had it and could be reached; the rest is for the next call itself.
	maxCallSpacing Time = 4_000_000

	// The silence timeout is this fraction of the time in which changes must be acted on.
	silenceTimeoutDivisor      = 4
	minSilenceTimeout     Time = 50_000
	maxSilenceTimeout     Time = 500_000

	callIntervalPerGateway Time = 60_000         // the least interval once a call was rejected,
	maxCallInterval             = maxCallSpacing // doubled with each further one up to this,
	callIntervalDecay           = 0.85           // and multiplied by this with each answer

	// Beyond so many failures in a row the delay no longer grows.
	maxDoublings = 10
)

// pacerStream keeps the pacer's random numbers apart from others with the same seed.
const pacerStream = 0x9ace

// NewPacer makes the pacer of one of so many gateways, with random numbers from a seed.
func NewPacer(gateways int, seed uint64) *Pacer {
	return &Pacer{gateways: gateways, rand: rand.New(rand.NewPCG(seed, pacerStream))}
}

// SetPushed says that lists are pushed to an agent on this machine that answers at once, and that a
// change must be acted on within a time after the agent has it. An agent that was silent for a
// while does not answer the calls made meanwhile, so another call is made soon.
func (p *Pacer) SetPushed(actWithin Time) *Pacer {
	timeout := actWithin / silenceTimeoutDivisor
	p.silenceTimeout = max(minSilenceTimeout, min(maxSilenceTimeout, timeout))
	return p
}

// SilenceTimeout returns how long a call that could be answered may be silent before another one is
// made beside it; 0: none is made.
func (p *Pacer) SilenceTimeout() Time { return p.silenceTimeout }

// WatchTimeout returns how long a watch may wait. After a failure it is the least, as it is not
// known yet whether the registry answers again.
func (p *Pacer) WatchTimeout() Time {
	limit := maxWatch
	if p.silenceTimeout > 0 {
		limit = maxPushedWatch
	}
	timeout := max(minWatch, min(limit, Time(p.gateways)*watchPerGateway))
	if timeout == minWatch || p.failures > 0 {
		return minWatch
	}
	// Watches that began together would end together.
	return max(minWatch, timeout-p.random(timeout/4))
}

// Succeeded records a call that was answered, and returns after how long to make the next: 0 where
// the registry has capacity, as a watch goes on only without a break.
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

// random returns a random time below a limit.
func (p *Pacer) random(limit Time) Time { return Time(p.rand.Float64() * float64(limit)) }

// jitter returns a random time from three quarters of t to t.
func (p *Pacer) jitter(t Time) Time { return t*3/4 + p.random(t/4) }

// Failed records a call that was not answered, and the time spent on it, and returns after how long
// to call again. If it was rejected, the registry has too little capacity for the fleet's calls,
// and each gateway calls less often for a while.
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
