// Package lifecycle decides what a gateway's process takes, keeps and says of itself
// while it starts, serves, is emptied by operators, is told to stop, and hands over to
// a newer process. It does no I/O and has no clock: the host tells the time, which
// never goes back, and what has happened, and asks what follows. One goroutine at a time.
package lifecycle

// Time is a moment or a length of time in microseconds.
type Time = int64

// Settings are the lengths of the steps. The zero value of each is taken as it stands.
type Settings struct {
	// Settle is how long a drain goes on as before: those who send here have to hear of
	// it, and to end a connection earlier would only have them open another one.
	Settle Time
	// IdleAfter is how long after a drain's begin connections end that nobody uses.
	// Until then each ends with its next answer, which no request can cross.
	IdleAfter Time
	// Speak is how long a connection that came during a drain has to say something.
	Speak Time

	// AcceptFor is how long a process that was told to stop goes on as before.
	AcceptFor Time
	// Hear is how long a connection has then that came too late to have brought anything.
	Hear Time
	// AnswerFor is when it answers all that is still open.
	AnswerFor Time
	// CloseFor is how long the other sides then have to close.
	CloseFor Time
}

// The platform's times: new connections come for 0.3 s after a drain was told and 0.4 s after SIGTERM,
// nothing may be held 4 s after a drain, or taken in its last 2 s, and SIGKILL comes so long after SIGTERM
// as a client waits at the most, but no more than killMost of it, and killAfter.
const (
	killMost  Time = 3_000_000
	killAfter Time = 700_000
	answerDue Time = 500_000 // before SIGKILL
	exitDue   Time = 100_000 // the same
)

// For are the steps that the platform's times leave room for where a client waits so long at the most;
// 0: that is not known.
func For(longest Time) Settings {
	if longest <= 0 {
		longest = killMost
	}
	kill := min(longest, killMost) + killAfter
	s := Settings{Settle: 400_000, IdleAfter: 1_500_000, Speak: 400_000, AcceptFor: 500_000, Hear: 100_000}
	s.AnswerFor = max(s.AcceptFor, kill-answerDue)
	s.CloseFor = max(0, min(300_000, kill-exitDue-s.AnswerFor))
	return s
}

// Process is the state of one process. Make it with New.
type Process struct {
	set   Settings
	ready bool

	draining bool
	drainAt  Time

	stopping bool
	stopAt   Time

	paused bool // a newer process is being given all
	parted bool
	passes bool // and its connections are passed on

	emptied bool // was without work at a time after it closed
	emptyAt Time
}

// New makes the state of a process that starts.
func New(set Settings) *Process { return &Process{set: set} }

// Ready takes note that the process can serve.
func (p *Process) Ready() { p.ready = true }

// Drain empties the process; it keeps running. A drain that is on goes on.
func (p *Process) Drain(now Time) {
	if !p.draining {
		p.draining, p.drainAt = true, now
	}
}

// Resume ends a drain.
func (p *Process) Resume() { p.draining = false }

// Stop begins the orderly end. The first call counts.
func (p *Process) Stop(now Time) {
	if !p.stopping {
		p.stopping, p.stopAt = true, now
	}
}

// Pause has nothing more decided on until Part or Unpause: a newer process is being given
// all that this one knows.
func (p *Process) Pause() { p.paused = true }

// Unpause takes note that the newer process did not take over.
func (p *Process) Unpause() { p.paused = false }

// Part takes note that a newer process takes all that is new from now on, and whether
// connections are passed on to it. There is no way back.
func (p *Process) Part(passes bool) { p.paused, p.parted, p.passes = false, true, passes }

// Parted tells whether a newer process has taken over.
func (p *Process) Parted() bool { return p.parted }

// Draining tells whether operators have the process emptied.
func (p *Process) Draining() bool { return p.draining }

// Stopping tells whether the process was told to stop.
func (p *Process) Stopping() bool { return p.stopping }

// Serves tells whether requests may be sent here, and if not, why. It is what those
// who choose among processes are told.
func (p *Process) Serves() (yes bool, why string) {
	switch {
	case p.parted:
		return false, "handed over"
	case !p.ready:
		return false, "starting"
	case p.draining:
		return false, "draining"
	}
	return true, ""
}

// Closed tells whether no connection is accepted any more, and what comes on one that
// was accepted late is not taken.
func (p *Process) Closed(now Time) bool {
	return p.parted || p.stopping && now-p.stopAt >= p.set.AcceptFor
}

// Takes tells whether requests are still decided on here. What comes otherwise is the
// newer process's, or comes again.
func (p *Process) Takes(now Time) bool {
	return !p.paused && !p.parted && !(p.stopping && now-p.stopAt >= p.set.AnswerFor)
}

// ends tells whether connections end because the process does. Those that are to be passed
// on have some time for it.
func (p *Process) ends(now Time) bool {
	return p.stopping && (now-p.stopAt >= p.set.AcceptFor || p.parted && !p.passes)
}

// EndsBusy tells whether a connection ends with the answer after which it has no
// request open.
func (p *Process) EndsBusy(now Time) bool {
	return p.ends(now) || p.draining && now-p.drainAt >= p.set.Settle
}

// EndsIdle tells whether a connection without a request, last used or opened at a time,
// ends now.
func (p *Process) EndsIdle(now, used Time) bool {
	if p.ends(now) {
		return true
	}
	return p.draining && now-p.drainAt >= p.set.IdleAfter && now-used >= p.set.Speak
}

// EndsNew tells the same of a connection that has brought nothing since it was opened: it may have been
// on its way here before anything was told.
func (p *Process) EndsNew(now, opened Time) bool {
	return p.EndsIdle(now, opened) && (!p.ends(now) || now-opened >= p.set.Hear)
}

// Abandons tells whether all that is open must be answered at once.
func (p *Process) Abandons(now Time) bool { return p.stopping && now-p.stopAt >= p.set.AnswerFor }

// Over tells whether the process has ended, given what is owed (its open requests, and all else that
// somebody still waits for) and its connections. It must be asked whenever one of them has become none.
func (p *Process) Over(now Time, open, connections int) bool {
	if !p.stopping || !p.Closed(now) {
		return false
	}
	if open > 0 {
		p.emptied = false // what has come since has its own time to be read
		return now-p.stopAt >= p.set.AnswerFor+p.set.CloseFor
	}
	if !p.emptied {
		p.emptied, p.emptyAt = true, now
	}
	return connections == 0 || now-p.emptyAt >= p.set.CloseFor || now-p.stopAt >= p.set.AnswerFor+p.set.CloseFor
}

// Next is when something above changes by the mere passing of time, for the first time
// after now; false: nothing does. While a drain is on, connections also end one by one:
// the host asks about them as often as it likes.
func (p *Process) Next(now Time) (next Time, ok bool) {
	at := func(t Time) {
		if t > now && (!ok || t < next) {
			next, ok = t, true
		}
	}
	if p.draining {
		at(p.drainAt + p.set.Settle)
		at(p.drainAt + p.set.IdleAfter)
	}
	if p.stopping {
		at(p.stopAt + p.set.AcceptFor)
		at(p.stopAt + p.set.AnswerFor)
		at(p.stopAt + p.set.AnswerFor + p.set.CloseFor)
		if p.emptied {
			at(p.emptyAt + p.set.CloseFor)
		}
	}
	return next, ok
}
