package election

import "time"

// process is a voter or a member. After it was killed it starts again as another incarnation.
type process struct {
	world       *World
	index       int
	up          bool
	suspended   bool
	incarnation int
	clockPace   float64
	clockOffset time.Duration
	writing     bool     // it waits for its disk
	inbox       []func() // what arrived while it was suspended, or waited for its disk

	voter  *voter  // nil: it is a member
	member *member // nil: it is a voter
}

// clock returns the time by the process's own clock.
func (p *process) clock() time.Duration {
	return p.clockOffset + time.Duration(float64(p.world.now)*p.clockPace)
}

// start starts a new incarnation.
func (p *process) start() {
	p.up = true
	p.suspended = false
	p.writing = false
	p.inbox = nil
	p.incarnation++
	if p.voter != nil {
		p.voter.start()
	} else {
		p.member.start()
	}
}

// after has the process do something after a while by its clock, unless it is killed before. While
// it is suspended that waits.
func (p *process) after(d time.Duration, run func()) {
	incarnation := p.incarnation
	d = time.Duration(float64(d) / p.clockPace)
	p.world.schedule(d, func() { p.run(incarnation, run) })
}

// run has an incarnation do something now, or when it is able to.
func (p *process) run(incarnation int, run func()) {
	if !p.up || p.incarnation != incarnation {
		return
	}
	if p.suspended || p.writing {
		p.inbox = append(p.inbox, func() { p.run(incarnation, run) })
		return
	}
	run()
	p.processReady()
}

// runInbox does what has waited, as far as the process is able to.
func (p *process) runInbox() {
	for len(p.inbox) > 0 && p.up && !p.suspended && !p.writing {
		next := p.inbox[0]
		p.inbox = p.inbox[1:]
		next()
	}
}

// processReady does what follows from an event: a voter writes to its disk.
func (p *process) processReady() {
	if p.voter != nil {
		p.voter.processReady()
	}
}
