package membership

import "math/rand/v2"

// Pace decides how often a fleet's gateways ask a register that has room for so many calls
// only: for how long a watch waits, and when to come again after a call that failed. It does
// no I/O. One goroutine at a time.
type Pace struct {
	gateways int
	rand     *rand.Rand
	fails    int
	gap      Time // between an answer and the next call; 0 where there is room
	patience Time // see Binds; 0: silence and failures are waited out
}

// A register that all ask at once answers none; but what it has to tell binds even who did
// not hear it, so the waits are bounded.
const (
	watchLeast   = 2_000_000  // a watch that hangs hides all news until it is given up
	watchEach    = 300_000    // more for each gateway: so many watches of all begin in a time
	watchMost    = 20_000_000 // a watch waits
	boundMost    = 3_000_000  // and where what the register has binds at once, as its agent answers at no cost
	againFirst   = 100_000    // after a call that failed,
	againMost    = 3_000_000  // doubled with each in a row; of that, half is chance
	againAtLeast = 50_000

	// From the beginning of a call that failed, was turned away or given up to that of the next. A change counts as
	// told 6 s after the register had it and could be reached; the rest is for the next call itself.
	againWithin = 4_000_000

	// Of the time in which what is told must be acted on, silence may take this part, within bounds.
	patiencePart  = 4
	patienceLeast = 50_000
	patienceMost  = 500_000

	gapEach  = 60_000      // a gap's least, for each gateway, once a call was turned away,
	gapMost  = againWithin // doubled with each further one up to this,
	gapHeals = 0.85        // and less by this with each that was answered
)

// NewPace makes the pace of one of so many gateways; chance comes from a seed of its own.
func NewPace(gateways int, seed uint64) *Pace {
	return &Pace{gateways: gateways, rand: rand.New(rand.NewPCG(seed, 0x9ace))}
}

// Binds tells that what the register has to tell binds a gateway that long after the register has it,
// whether or not a call brought it: so it is where lists are pushed to an agent that answers at once. An
// agent that was silent for a while answers no call that was made meanwhile; so another one is made soon.
func (p *Pace) Binds(within Time) *Pace {
	p.patience = max(patienceLeast, min(patienceMost, within/patiencePart))
	return p
}

// Patience is how long a call may be silent that could be answered, before another one is made beside it;
// 0: none is.
func (p *Pace) Patience() Time { return p.patience }

// Watch is how long a watch may wait: the least after a call that failed, as it is not known yet whether the register
// answers again.
func (p *Pace) Watch() Time {
	most := Time(watchMost)
	if p.patience > 0 {
		most = boundMost
	}
	wait := max(watchLeast, min(most, Time(p.gateways)*watchEach))
	if wait == watchLeast || p.fails > 0 {
		return watchLeast
	}
	// Watches that began together would end together.
	return max(watchLeast, wait-Time(p.rand.Float64()*float64(wait/4)))
}

// Worked takes note of a call that was answered, and tells when to make the next: at once
// where there is room, as a watch goes on only then without a break.
func (p *Pace) Worked() (after Time) {
	p.fails = 0
	if p.gap == 0 {
		return 0
	}
	if p.gap = Time(float64(p.gap) * gapHeals); p.gap < Time(p.gateways)*gapEach/4 {
		p.gap = 0
	}
	return p.about(p.gap)
}

// about is a time somewhat shorter than another, by chance.
func (p *Pace) about(t Time) Time { return t*3/4 + Time(p.rand.Float64()*float64(t/4)) }

// Failed takes note of one that was not, and of the time that was spent on it, and tells when to come again. Turned
// away, the register has too little room for how often all come: each comes less often for a while.
func (p *Pace) Failed(turnedAway bool, spent Time) (after Time) {
	if turnedAway {
		p.gap = min(gapMost, max(2*p.gap, Time(p.gateways)*gapEach))
	}
	wait := Time(againMost)
	if p.fails < 10 {
		wait = min(againMost, Time(againFirst)<<p.fails)
	}
	p.fails++
	if p.patience > 0 && !turnedAway {
		wait = min(wait, p.patience)
	}
	most := max(againAtLeast, againWithin-spent)
	wait = min(wait, most)
	return max(againAtLeast, p.about(min(p.gap, most)), wait/2+Time(p.rand.Float64()*float64(wait/2)))
}
