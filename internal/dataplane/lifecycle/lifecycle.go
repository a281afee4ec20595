// Package lifecycle decides what a gateway process admits, what it closes and what it answers to
// health checks while it starts, serves, is drained by operators, shuts down, and hands over to a
// successor. It does no I/O and has no clock: the caller passes the time, which must never
// decrease, and queries the decisions.
package lifecycle

// Time is a point in time or a duration, in microseconds.
type Time = int64

// Settings are the durations of the steps of a drain and of a shutdown. Zero values are used as
// they are.
type Settings struct {
	// DrainNoticeTime is how long, from the start of a drain, connections are still kept open
	// after an answer. Front ends need this time to notice the drain: before that, they would
	// only replace a closed connection by a new one.
	DrainNoticeTime Time
	// DrainIdleCloseAfter is the time from the start of a drain until idle connections are
	// closed. Before that, a connection closes only with its next answer, so that no request can
	// cross the close.
	DrainIdleCloseAfter Time
	// DrainFirstCommandTime is how long a connection that was accepted during a drain may take
	// to send its first command.
	DrainFirstCommandTime Time

	// AcceptTime is how long a process accepts and serves as before from the start of its
	// shutdown.
	AcceptTime Time
	// LateFirstCommandTime is how long a connection that was accepted shortly before the end of
	// AcceptTime may take to send its first command.
	LateFirstCommandTime Time
	// AnswerTime is the time from the start of the shutdown until all open requests are failed.
	AnswerTime Time
	// LingerTime is how long clients have to close their connections once no work is pending, and
	// after AnswerTime at the latest.
	LingerTime Time
}

// The platform's times. New connections arrive until 0.3 s after the start of a drain and until 0.4
// s after SIGTERM. No connection may be open 4 s after the start of a drain, and no request may be
// admitted in the last 2 s of these. The time from SIGTERM to SIGKILL is the longest time that a
// client waits, but at most maxClientWait, plus killGrace.
const (
	maxClientWait    Time = 3_000_000
	killGrace        Time = 700_000
	answerBeforeKill Time = 500_000
	exitBeforeKill   Time = 100_000
)

// SettingsFor returns the durations that fit the platform's times if clients wait for at most
// longestWait. A longestWait of 0 means that the longest wait is not known.
func SettingsFor(longestWait Time) Settings {
	if longestWait <= 0 {
		longestWait = maxClientWait
	}
	kill := min(longestWait, maxClientWait) + killGrace
	s := Settings{
		DrainNoticeTime:       400_000,
		DrainIdleCloseAfter:   1_500_000,
		DrainFirstCommandTime: 400_000,
		AcceptTime:            500_000,
		LateFirstCommandTime:  100_000,
	}
	s.AnswerTime = max(s.AcceptTime, kill-answerBeforeKill)
	s.LingerTime = max(0, min(300_000, kill-exitBeforeKill-s.AnswerTime))
	return s
}

// Process is the lifecycle state of one process. Use New to create one. It is not safe for
// concurrent use.
type Process struct {
	settings Settings
	ready    bool

	draining   bool
	drainStart Time

	stopping  bool
	stopStart Time

	paused         bool // the state is being sent to a successor
	handedOver     bool
	passesConns    bool // connections are passed to the successor
	passingStopped bool // the successor accepts no more connections

	empty      bool // no work has been pending since emptySince; set only after accepting has ended
	emptySince Time
}

// New returns the state of a process that starts.
func New(settings Settings) *Process { return &Process{settings: settings} }

// Ready records that the process is able to serve.
func (p *Process) Ready() { p.ready = true }

// Drain starts a drain. It has no effect during a drain. A drained process keeps running.
func (p *Process) Drain(now Time) {
	if !p.draining {
		p.draining = true
		p.drainStart = now
	}
}

// Resume ends the drain.
func (p *Process) Resume() { p.draining = false }

// Stop starts the shutdown. Only the first call has an effect.
func (p *Process) Stop(now Time) {
	if !p.stopping {
		p.stopping = true
		p.stopStart = now
	}
}

// Pause stops the admission of requests until HandOver or Unpause, while the state is sent to a
// successor.
func (p *Process) Pause() { p.paused = true }

// Unpause records that the successor did not take over.
func (p *Process) Unpause() { p.paused = false }

// HandOver records that a successor serves new connections and requests from now on, and whether
// existing connections are passed to it. Only TakeBack reverts it.
func (p *Process) HandOver(passesConns bool) {
	p.paused = false
	p.handedOver = true
	p.passesConns = passesConns
	p.passingStopped = false
}

// StopPassing records that the successor accepts no more connections. This process keeps those that
// it still has.
func (p *Process) StopPassing() { p.passingStopped = true }

// PassesConns reports whether connections are being passed to a successor.
func (p *Process) PassesConns() bool {
	return p.handedOver && p.passesConns && !p.passingStopped
}

// successorUndecided reports whether it is unknown whether a successor takes over, and time is left
// to wait for that.
func (p *Process) successorUndecided(now Time) bool {
	return p.paused && !p.FailsOpenRequests(now)
}

// HoldsCommands reports whether commands are held, because a successor answers them or may be about
// to.
func (p *Process) HoldsCommands(now Time) bool {
	return p.PassesConns() || p.successorUndecided(now)
}

// TakeBack records that the successor has exited and that this process resumes serving.
func (p *Process) TakeBack() {
	p.handedOver = false
	p.passesConns = false
}

// HandedOver reports whether a successor has taken over.
func (p *Process) HandedOver() bool { return p.handedOver }

// Draining reports whether a drain is in progress.
func (p *Process) Draining() bool { return p.draining }

// Stopping reports whether the shutdown has started.
func (p *Process) Stopping() bool { return p.stopping }

// Serves reports whether new requests should be sent to this process, and the reason if not. It is
// the answer to health checks.
func (p *Process) Serves() (serves bool, reason string) {
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

// stoppedFor reports whether the shutdown started at least duration ago.
func (p *Process) stoppedFor(now, duration Time) bool {
	return p.stopping && now-p.stopStart >= duration
}

// AcceptingEnded reports whether the process accepts no more connections.
func (p *Process) AcceptingEnded(now Time) bool {
	return p.handedOver || p.stoppedFor(now, p.settings.AcceptTime)
}

// AdmitsRequests reports whether requests are admitted. If not, they are left to the successor or
// rejected for a retry.
func (p *Process) AdmitsRequests(now Time) bool {
	return !p.paused && !p.handedOver && !p.FailsOpenRequests(now)
}

// closesConns reports whether connections close because the process shuts down. If connections are
// passed to a successor, they stay open until the end of AcceptTime.
func (p *Process) closesConns(now Time) bool {
	if !p.stopping {
		return false
	}
	return p.stoppedFor(now, p.settings.AcceptTime) || p.handedOver && !p.passesConns
}

// ClosesAfterAnswer reports whether a connection closes after the answer to its last open request.
func (p *Process) ClosesAfterAnswer(now Time) bool {
	drained := p.draining && now-p.drainStart >= p.settings.DrainNoticeTime
	return p.closesConns(now) || drained
}

// ClosesIdle reports whether a connection without open requests closes now. lastUsed is when it was
// last used, or opened.
func (p *Process) ClosesIdle(now, lastUsed Time) bool {
	if p.closesConns(now) {
		return true
	}
	drained := p.draining && now-p.drainStart >= p.settings.DrainIdleCloseAfter
	return drained && now-lastUsed >= p.settings.DrainFirstCommandTime
}

// ClosesUnused reports whether a connection that has sent no command since it was opened closes
// now. During a shutdown it has LateFirstCommandTime, because its client may have opened it before
// the shutdown was announced.
func (p *Process) ClosesUnused(now, opened Time) bool {
	if !p.ClosesIdle(now, opened) {
		return false
	}
	return !p.closesConns(now) || now-opened >= p.settings.LateFirstCommandTime
}

// ClosesBusy reports whether a drain closes all connections, also those on which commands follow
// each other without a pause: commands that are read from then on are rejected, and the connection
// closes after its answers.
func (p *Process) ClosesBusy(now Time) bool {
	return p.draining && now-p.drainStart >= p.settings.DrainIdleCloseAfter
}

// FailsOpenRequests reports whether the time has come to fail all open requests.
func (p *Process) FailsOpenRequests(now Time) bool {
	return p.stoppedFor(now, p.settings.AnswerTime)
}

// Done reports whether the process may exit. pending counts the open requests and everything else
// that a client waits for; connections counts the open connections. Done must be called whenever
// one of the two becomes 0.
func (p *Process) Done(now Time, pending, connections int) bool {
	if !p.stopping || !p.AcceptingEnded(now) {
		return false
	}
	timedOut := p.stoppedFor(now, p.settings.AnswerTime+p.settings.LingerTime)
	if pending > 0 {
		p.empty = false // the new work's connection gets the whole LingerTime of its own
		return timedOut
	}
	if !p.empty {
		p.empty = true
		p.emptySince = now
	}
	lingered := now-p.emptySince >= p.settings.LingerTime
	return connections == 0 || lingered || timedOut
}

// NextChange returns the next time after now at which one of the decisions above may change without
// a call. It returns false if there is none. It does not cover the moments at which single idle
// connections close during a drain: the caller queries ClosesIdle as often as it likes.
func (p *Process) NextChange(now Time) (next Time, ok bool) {
	consider := func(t Time) {
		if t > now && (!ok || t < next) {
			next = t
			ok = true
		}
	}
	if p.draining {
		consider(p.drainStart + p.settings.DrainNoticeTime)
		consider(p.drainStart + p.settings.DrainIdleCloseAfter)
	}
	if p.stopping {
		consider(p.stopStart + p.settings.AcceptTime)
		consider(p.stopStart + p.settings.AnswerTime)
		consider(p.stopStart + p.settings.AnswerTime + p.settings.LingerTime)
		if p.empty {
			consider(p.emptySince + p.settings.LingerTime)
		}
	}
	return next, ok
}
