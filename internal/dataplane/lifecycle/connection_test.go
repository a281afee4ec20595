package lifecycle

import (
	"fmt"
	"testing"
)

// processState is a state of a process in which connections are decided on.
type processState struct {
	name    string
	process *Process
}

// processStates returns a process in each state that matters for a connection, at the time 0.
func processStates() []processState {
	prepared := func(name string, prepare ...func(*Process)) processState {
		p := New(SettingsFor(3_000_000))
		p.Ready()
		for _, f := range prepare {
			f(p)
		}
		return processState{name, p}
	}
	stop := func(p *Process) { p.Stop(-600_000) }
	failing := func(p *Process) { p.Stop(-3_300_000) }
	drain := func(p *Process) { p.Drain(-2_000_000) }
	pause := (*Process).Pause
	pass := func(p *Process) { p.HandOver(true) }
	left := (*Process).StopPassing
	exited := (*Process).TakeBack
	return []processState{
		prepared("serving"),
		prepared("drained", drain),
		prepared("stopping", stop),
		prepared("failing", failing),
		prepared("undecided", pause),
		prepared("undecided, drained", drain, pause),
		prepared("undecided, stopping", stop, pause),
		prepared("undecided, failing", failing, pause),
		prepared("passing", pass),
		prepared("passing, drained", drain, pass),
		prepared("passing, stopping", pass, stop),
		prepared("passing, failing", pass, failing),
		prepared("successor left", pass, left),
		prepared("successor left, stopping", pass, left, stop),
		prepared("successor left, failing", pass, left, failing),
		prepared("successor exited", pass, left, exited),
		prepared("successor exited, stopping", pass, left, exited, stop),
		prepared("handed over without connections", func(p *Process) { p.HandOver(false) }),
	}
}

// connStates returns every state of a connection, with at most one open and one held request.
func connStates() []Conn {
	both := []bool{false, true}
	var states []Conn
	for reader := ReaderRunning; reader <= ReaderDone; reader++ {
		for open := range 2 {
			for held := range 2 {
				for _, closes := range both {
					for _, output := range both {
						for _, full := range both {
							states = append(states, Conn{
								Reader: reader, Open: open, Held: held, HeldFull: full,
								CloseRequested: closes, OutputPending: output,
							})
						}
					}
				}
			}
		}
	}
	return states
}

// Guards against a connection that is closed or passed although this process still has to answer
// what it read from it, in any order of a handover, a shutdown and a drain.
func TestDecideConnLosesNoCommand(t *testing.T) {
	for _, s := range processStates() {
		for _, c := range connStates() {
			action := s.process.DecideConn(0, c)
			where := fmt.Sprintf("%s, %+v: %v", s.name, c, action)
			if action == CloseConn && (c.Held > 0 || c.Open > 0) {
				t.Error("closed with commands that are not answered:", where)
			}
			if action == CloseConn && (c.Reader == ReaderRunning || c.Reader == ReaderStopped) {
				t.Error("closed although its reader may have read a command:", where)
			}
			if action == CloseConn && s.process.HoldsCommands(0) && c.Reader != ReaderDone {
				t.Error("closed although a successor can answer what follows:", where)
			}
			if action == PassConn && (c.Open > 0 || c.OutputPending || c.Reader != ReaderStopped) {
				t.Error("passed with an answer that this process owes:", where)
			}
			if action == PassConn != (s.process.PassesConns() &&
				c.Reader == ReaderStopped && c.Open == 0 && !c.OutputPending) {
				t.Error("wrong decision on passing:", where)
			}
		}
	}
}

// Guards against a connection on which a command waits for ever: what is held is passed, admitted,
// or waits for an event that must come.
func TestDecideConnEndsEveryWait(t *testing.T) {
	for _, s := range processStates() {
		for _, c := range connStates() {
			action := s.process.DecideConn(0, c)
			waits := action == KeepConn && c.Held > 0
			event := c.Open > 0 || c.OutputPending || s.process.paused
			if waits && !event {
				t.Errorf("%s, %+v: the held command waits for nothing", s.name, c)
			}
			if waits && s.process.FailsOpenRequests(0) && c.Open == 0 && !c.OutputPending {
				t.Errorf("%s, %+v: the held command waits until the process is killed", s.name, c)
			}
			if c.Reader == ReaderHalted && action == KeepConn && c.Open == 0 {
				t.Errorf("%s, %+v: the reader is halted for ever", s.name, c)
			}
			stopped := c.Reader == ReaderStopped && c.Open == 0 && c.Held == 0
			blocked := c.OutputPending && s.process.PassesConns() || s.process.paused
			if stopped && action == KeepConn && !blocked {
				t.Errorf("%s, %+v: nobody reads the connection", s.name, c)
			}
		}
	}
}

// Guards against a drain that leaves a connection open because commands on it follow each other, and
// against one that leaves commands unread behind an open request: the connection is read until its
// last request is answered, and closes then.
func TestDrainClosesBusyConnection(t *testing.T) {
	p := New(SettingsFor(3_000_000))
	p.Ready()
	p.Drain(0)
	busy := Conn{Open: 1, CloseRequested: true}
	early, late := p.settings.DrainIdleCloseAfter-1, p.settings.DrainIdleCloseAfter
	if p.ClosesBusy(early) || !p.ClosesBusy(late) {
		t.Error("rejects commands of busy connections at the wrong time")
	}
	for _, now := range []Time{early, late} {
		if action := p.DecideConn(now, busy); action != KeepConn {
			t.Errorf("a busy connection at %d: %v", now, action)
		}
	}
	halted := Conn{Reader: ReaderHalted, Open: 1, CloseRequested: true}
	if action := p.DecideConn(late, halted); action != ResumeReader {
		t.Error("a command read before the halt is open:", action)
	}
	answered := Conn{CloseRequested: true}
	if action := p.DecideConn(late, answered); action != HaltReader {
		t.Error("after the last answer:", action)
	}
	answered.Reader = ReaderHalted
	if action := p.DecideConn(late, answered); action != CloseConn {
		t.Error("after the last answer, with its reader halted:", action)
	}
	p.Resume()
	if p.ClosesBusy(late) {
		t.Error("rejects commands after the end of the drain")
	}
}
