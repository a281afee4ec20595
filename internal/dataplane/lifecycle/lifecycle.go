// Package lifecycle decides what a gateway's process takes, keeps and says of itself
// while it starts, serves, is emptied by operators, is told to stop, and hands over to
// a newer process. It does no I/O and has no clock: the host tells the time, which
// never goes back, and what has happened, and asks what follows. One goroutine at a time.
package lifecycle

// Time is a moment or a length of time in microseconds.
type Time = int64

// Settings are the lengths of the steps. The zero value of each is taken as it stands.
type Settings struct {
	// DrainNoticeTime is how long a drain goes on as before: those who send here have to hear of
	// it, and to end a connection earlier would only have them open another one.
	DrainNoticeTime Time
	// DrainIdleCloseAfter is how long after a drain's begin connections end that nobody uses.
	// Until then each ends with its next answer, which no request can cross.
	DrainIdleCloseAfter Time
	// DrainFirstCommandTime is how long a connection that came during a drain has to say something.
	DrainFirstCommandTime Time

	// AcceptTime is how long a process that was told to stop goes on as before.
	AcceptTime Time
	// LateFirstCommandTime is how long a connection has then that came too late to have brought anything.
	LateFirstCommandTime Time
	// AnswerTime is when it answers all that is still open.
	AnswerTime Time
	// LingerTime is how long the other sides then have to close.
	LingerTime Time
}

// The platform's times: new connections come for 0.3 s after a drain was told and 0.4 s after SIGTERM,
// nothing may be held 4 s after a drain, or taken in its last 2 s, and SIGKILL comes so long after SIGTERM
// as a client waits at the most, but no more than killMost of it, and killAfter.
const (
	maxClientWait    Time = 3_000_000
	killGrace        Time = 700_000
	answerBeforeKill Time = 500_000 // before SIGKILL
	exitBeforeKill   Time = 100_000 // the same
)

// SettingsFor are the steps that the platform's times leave room for where a client waits so long at the most;
// 0: that is not known.
func SettingsFor(longest Time) Settings {
	if longest <= 0 {
		longest = maxClientWait
	}
	kill := min(longest, maxClientWait) + killGrace
	s := Settings{DrainNoticeTime: 400_000, DrainIdleCloseAfter: 1_500_000, DrainFirstCommandTime: 400_000, AcceptTime: 500_000, LateFirstCommandTime: 100_000}
	s.AnswerTime = max(s.AcceptTime, kill-answerBeforeKill)
	s.LingerTime = max(0, min(300_000, kill-exitBeforeKill-s.AnswerTime))
	return s
}

// Process is the state of one process. Make it with New.
type Process struct {
	settings Settings
	ready    bool

	draining   bool
	drainStart Time

	stopping  bool
	stopStart Time

	paused      bool // a newer process is being given all
	handedOver  bool
	passesConns bool // and its connections are passed on

	empty      bool // was without work at a time after it closed
	emptySince Time
}

// New makes the state of a process that starts.
func New(set Settings) *Process { return &Process{settings: set} }

// Ready takes note that the process can serve.
func (p *Process) Ready() { p.ready = true }

// Drain empties the process; it keeps running. A drain that is on goes on.
func (p *Process) Drain(now Time) {
	if !p.draining {
		p.draining, p.drainStart = true, now
	}
}

// Resume ends a drain.
func (p *Process) Resume() { p.draining = false }

// Stop begins the orderly end. The first call counts.
func (p *Process) Stop(now Time) {
	if !p.stopping {
		p.stopping, p.stopStart = true, now
	}
}

// Pause has nothing more decided on until Part or Unpause: a newer process is being given
// all that this one knows.
func (p *Process) Pause() { p.paused = true }

// Unpause takes note that the newer process did not take over.
func (p *Process) Unpause() { p.paused = false }

// HandOver takes note that a newer process takes all that is new from now on, and whether
// connections are passed on to it. There is no way back.
func (p *Process) HandOver(passes bool) { p.paused, p.handedOver, p.passesConns = false, true, passes }

// HandedOver tells whether a newer process has taken over.
func (p *Process) HandedOver() bool { return p.handedOver }

// Draining tells whether operators have the process emptied.
func (p *Process) Draining() bool { return p.draining }

// Stopping tells whether the process was told to stop.
func (p *Process) Stopping() bool { return p.stopping }

// Serves tells whether requests may be sent here, and if not, why. It is what those
// who choose among processes are told.
func (p *Process) Serves() (yes bool, why string) {
	switch {
	case p.handedOver:
		return false, "handed over"
	case !p.ready:
		return false, "starting"
	case p.draining:
		return false, "draining"
	}
	return true, ""
}

// AcceptingEnded tells whether no connection is accepted any more, and what comes on one that
// was accepted late is not taken.
func (p *Process) AcceptingEnded(now Time) bool {
	return p.handedOver || p.stopping && now-p.stopStart >= p.settings.AcceptTime
}

// AdmitsRequests tells whether requests are still decided on here. What comes otherwise is the
// newer process's, or comes again.
func (p *Process) AdmitsRequests(now Time) bool {
	return !p.paused && !p.handedOver && !(p.stopping && now-p.stopStart >= p.settings.AnswerTime)
}

// closesConns tells whether connections end because the process does. Those that are to be passed
// on have some time for it.
func (p *Process) closesConns(now Time) bool {
	return p.stopping && (now-p.stopStart >= p.settings.AcceptTime || p.handedOver && !p.passesConns)
}

// ClosesAfterAnswer tells whether a connection ends with the answer after which it has no
// request open.
func (p *Process) ClosesAfterAnswer(now Time) bool {
	return p.closesConns(now) || p.draining && now-p.drainStart >= p.settings.DrainNoticeTime
}

// ClosesIdle tells whether a connection without a request, last used or opened at a time,
// ends now.
func (p *Process) ClosesIdle(now, used Time) bool {
	if p.closesConns(now) {
		return true
	}
	return p.draining && now-p.drainStart >= p.settings.DrainIdleCloseAfter && now-used >= p.settings.DrainFirstCommandTime
}

// ClosesUnused tells the same of a connection that has brought nothing since it was opened: it may have been
// on its way here before anything was told.
func (p *Process) ClosesUnused(now, opened Time) bool {
	return p.ClosesIdle(now, opened) && (!p.closesConns(now) || now-opened >= p.settings.LateFirstCommandTime)
}

// FailsOpenRequests tells whether all that is open must be answered at once.
func (p *Process) FailsOpenRequests(now Time) bool {
	return p.stopping && now-p.stopStart >= p.settings.AnswerTime
}

// Done tells whether the process has ended, given what is owed (its open requests, and all else that
// somebody still waits for) and its connections. It must be asked whenever one of them has become none.
func (p *Process) Done(now Time, open, connections int) bool {
	if !p.stopping || !p.AcceptingEnded(now) {
		return false
	}
	if open > 0 {
		p.empty = false // what has come since has its own time to be read
		return now-p.stopStart >= p.settings.AnswerTime+p.settings.LingerTime
	}
	if !p.empty {
		p.empty, p.emptySince = true, now
	}
	return connections == 0 || now-p.emptySince >= p.settings.LingerTime || now-p.stopStart >= p.settings.AnswerTime+p.settings.LingerTime
}

// NextChange is when something above changes by the mere passing of time, for the first time
// after now; false: nothing does. While a drain is on, connections also end one by one:
// the host asks about them as often as it likes.
func (p *Process) NextChange(now Time) (next Time, ok bool) {
	at := func(t Time) {
		if t > now && (!ok || t < next) {
			next, ok = t, true
		}
	}
	if p.draining {
		at(p.drainStart + p.settings.DrainNoticeTime)
		at(p.drainStart + p.settings.DrainIdleCloseAfter)
	}
	if p.stopping {
		at(p.stopStart + p.settings.AcceptTime)
		at(p.stopStart + p.settings.AnswerTime)
		at(p.stopStart + p.settings.AnswerTime + p.settings.LingerTime)
		if p.empty {
			at(p.emptySince + p.settings.LingerTime)
		}
	}
	return next, ok
}
