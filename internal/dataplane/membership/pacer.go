package membership

import "math/rand/v2"

// Pacer decides how often a fleet's gateways ask a register that has room for so many calls
// only: for how long a watch waits, and when to come again after a call that failed. It does
// no I/O. One goroutine at a time.
type Pacer struct {
	gateways       int
	rand           *rand.Rand
	failures       int
	callInterval   Time // between an answer and the next call; 0 where there is room
	silenceTimeout Time // see Binds; 0: silence and failures are waited out
}

// A register that all ask at once answers none; but what it has to tell binds even who did
// not hear it, so the waits are bounded.
const (
	minWatch        = 2_000_000  // a watch that hangs hides all news until it is given up
	watchPerGateway = 300_000    // more for each gateway: so many watches of all begin in a time
	maxWatch        = 20_000_000 // a watch waits
	maxPushedWatch  = 3_000_000  // and where what the register has binds at once, as its agent answers at no cost
	firstRetryDelay = 100_000    // after a call that failed,
	maxRetryDelay   = 3_000_000  // doubled with each in a row; of that, half is chance
	minRetryDelay   = 50_000

	// From the beginning of a call that failed, was turned away or given up to that of the next. A change counts as
	// told 6 s after the register had it and could be reached; the rest is for the next call itself.
	maxCallSpacing = 4_000_000

	// Of the time in which what is told must be acted on, silence may take this part, within bounds.
	silenceTimeoutDivisor = 4
	minSilenceTimeout     = 50_000
	maxSilenceTimeout     = 500_000

	callIntervalPerGateway = 60_000         // a gap's least, for each gateway, once a call was turned away,
	maxCallInterval        = maxCallSpacing // doubled with each further one up to this,
	callIntervalDecay      = 0.85           // and less by this with each that was answered
)

// NewPacer makes the pace of one of so many gateways; chance comes from a seed of its own.
func NewPacer(gateways int, seed uint64) *Pacer {
	return &Pacer{gateways: gateways, rand: rand.New(rand.NewPCG(seed, 0x9ace))}
}

// SetPushed tells that what the register has to tell binds a gateway that long after the register has it,
// whether or not a call brought it: so it is where lists are pushed to an agent that answers at once. An
// agent that was silent for a while answers no call that was made meanwhile; so another one is made soon.
func (p *Pacer) SetPushed(within Time) *Pacer {
	p.silenceTimeout = max(minSilenceTimeout, min(maxSilenceTimeout, within/silenceTimeoutDivisor))
	return p
}

// SilenceTimeout is how long a call may be silent that could be answered, before another one is made beside it;
// 0: none is.
func (p *Pacer) SilenceTimeout() Time { return p.silenceTimeout }

// WatchTimeout is how long a watch may wait: the least after a call that failed, as it is not known yet whether the register
// answers again.
func (p *Pacer) WatchTimeout() Time {
	most := Time(maxWatch)
	if p.silenceTimeout > 0 {
		most = maxPushedWatch
	}
	wait := max(minWatch, min(most, Time(p.gateways)*watchPerGateway))
	if wait == minWatch || p.failures > 0 {
		return minWatch
	}
	// Watches that began together would end together.
	return max(minWatch, wait-Time(p.rand.Float64()*float64(wait/4)))
}

// Succeeded takes note of a call that was answered, and tells when to make the next: at once
// where there is room, as a watch goes on only then without a break.
func (p *Pacer) Succeeded() (after Time) {
	p.failures = 0
	if p.callInterval == 0 {
		return 0
	}
	if p.callInterval = Time(float64(p.callInterval) * callIntervalDecay); p.callInterval < Time(p.gateways)*callIntervalPerGateway/4 {
		p.callInterval = 0
	}
	return p.jitter(p.callInterval)
}

// jitter is a time somewhat shorter than another, by chance.
func (p *Pacer) jitter(t Time) Time { return t*3/4 + Time(p.rand.Float64()*float64(t/4)) }

// Failed takes note of one that was not, and of the time that was spent on it, and tells when to come again. Turned
// away, the register has too little room for how often all come: each comes less often for a while.
func (p *Pacer) Failed(turnedAway bool, spent Time) (after Time) {
	if turnedAway {
		p.callInterval = min(maxCallInterval, max(2*p.callInterval, Time(p.gateways)*callIntervalPerGateway))
	}
	wait := Time(maxRetryDelay)
	if p.failures < 10 {
		wait = min(maxRetryDelay, Time(firstRetryDelay)<<p.failures)
	}
	p.failures++
	if p.silenceTimeout > 0 && !turnedAway {
		wait = min(wait, p.silenceTimeout)
	}
	most := max(minRetryDelay, maxCallSpacing-spent)
	wait = min(wait, most)
	return max(minRetryDelay, p.jitter(min(p.callInterval, most)), wait/2+Time(p.rand.Float64()*float64(wait/2)))
}
