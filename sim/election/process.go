package election

import "time"

// process is a voter or a member. After a kill it starts again as another incarnation.
type process struct {
	world       *World
	index       int
	up          bool
	suspended   bool
	incarnation int
	clockPace   float64
	clockOffset time.Duration
	writing     bool     // a write to its disk is in progress
	inbox       []func() // calls that arrived while it was suspended or writing

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

// after calls a function after a delay by the process's clock, unless the process is killed before.
// The call waits while the process is suspended or writing.
func (p *process) after(d time.Duration, run func()) {
	incarnation := p.incarnation
	d = time.Duration(float64(d) / p.clockPace)
	p.world.schedule(d, func() { p.run(incarnation, run) })
}

// run calls a function for an incarnation, at once or when the process is no longer suspended or
// writing. It drops the call if that incarnation has ended.
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

// runInbox runs the waiting calls until the process is suspended, writing or down.
func (p *process) runInbox() {
	for len(p.inbox) > 0 && p.up && !p.suspended && !p.writing {
		next := p.inbox[0]
		p.inbox = p.inbox[1:]
		next()
	}
}

// processReady runs after each event: a voter writes its node's ready state to its disk.
func (p *process) processReady() {
	if p.voter != nil {
		p.voter.processReady()
	}
}
