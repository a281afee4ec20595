package harness

import (
	"slices"
	"time"
)

// kindNames has the texts for the kinds of tries in breaches, by Kind.
var kindNames = [...]string{"unsent", "served", "refused", "failed", "ended", "silent", "left"}

// abandonTolerance is how long after a client has left an attempt of its request may still begin.
const abandonTolerance = 100 * time.Millisecond

// toldWaitTolerance is by how much the wait that an attempt announces to its server may exceed the
// time for which the client still waits.
const toldWaitTolerance = 150 * time.Millisecond

// checkToldWaits judges the waits that the attempts of a try announce to their servers. None may be
// longer than the client still waits, apart from toldWaitTolerance and OnSockets.
func (v *Verdict) checkToldWaits(t *Try, c *tryContext) {
	for _, a := range c.seen {
		excess := a.ToldWait - (c.end - a.FirstByteAt)
		if a.ToldWait > 0 && excess > toldWaitTolerance+OnSockets && !c.paused {
			v.breach(Lost, a.FirstByteAt,
				"an attempt of try %s told its server %v more than is left", t.ID, excess)
		}
	}
}

// checkAbandoned judges the attempts, the first and later ones, that begin after their client has
// left.
func (v *Verdict) checkAbandoned(t *Try, seen []Attempt) {
	if len(seen) == 0 || seen[0].ReceivedAt > t.ClientLeftAt {
		v.AbandonedWaiting++
	}
	for _, a := range seen {
		if a.FirstByteAt > t.ClientLeftAt+abandonTolerance+OnSockets {
			v.AbandonedForwarded++
			v.breach(Lost, a.FirstByteAt, "try %s was sent on %v after its client had left", t.ID,
				a.FirstByteAt-t.ClientLeftAt)
		}
	}
}

// checkAnswers judges the first rule: a request gets one answer, in time, that a server made for
// it, and no attempt begins after the answer. No gateway's process may crash.
func (v *Verdict) checkAnswers(s *Site, rec *Record, attempts map[string][]Attempt) {
	for _, e := range rec.ProcessEvents {
		if e.Event == Crashed {
			v.breach(Lost, e.At, "gateway %d ended by itself", e.Gateway)
		}
	}
	for i := range rec.Tries {
		t := &rec.Tries[i]
		if t.Kind != Unsent {
			v.checkTry(s, rec, t, attempts[t.ID])
		}
	}
}

// tryContext has the attempts of a try, and the state of its gateway while the client waited.
type tryContext struct {
	seen []Attempt     // the try's attempts by the time of their last byte
	end  time.Duration // when the client stops waiting
	// lateAnswers is how long after end an answer still counts as in time.
	lateAnswers time.Duration
	killed      bool // the gateway was being killed
	paused      bool // the gateway was suspended
}

// checkTry judges one try that a gateway may have taken.
func (v *Verdict) checkTry(s *Site, rec *Record, t *Try, seen []Attempt) {
	end := t.SentAt + t.Wait
	c := &tryContext{
		seen:        seen,
		end:         end,
		lateAnswers: s.LateAnswerTime(),
		killed:      killedDuring(rec, t.Gateway, t.SentAt, end+s.LateAnswerTime()-OnSockets),
		paused:      pausedDuring(rec, t.Gateway, t.SentAt, end),
	}
	v.checkToldWaits(t, c)
	if t.ClosedAt > 0 {
		// The connection was closed between two requests, and the client sent the try again. The
		// gateway must not have read it.
		v.Crossed++
		if len(seen) > 0 && seen[0].FirstByteAt < t.ClosedAt && !c.killed && !c.paused {
			v.breach(Lost, t.ClosedAt,
				"try %s was sent on, and its connection ended without an answer", t.ID)
			return
		}
	}
	if t.Kind == ClientLeft {
		if !c.paused {
			v.checkAbandoned(t, seen)
		}
		return
	}
	if t.Kind == Ended && len(seen) == 0 && !t.Reset && !c.killed {
		return
	}
	v.Taken++
	if !v.hasOneAnswer(s, rec, t, c) {
		return
	}
	v.checkAnswer(t, c)
	if len(seen) > s.MaxAttempts {
		v.AttemptsOver++
	}
}

// hasOneAnswer reports whether a try that a gateway took has exactly one answer. Any other number
// of answers is a breach, except that a missing answer is only counted if the gateway was killed or
// suspended.
func (v *Verdict) hasOneAnswer(s *Site, rec *Record, t *Try, c *tryContext) bool {
	switch {
	case t.Answers == 1:
		v.AnsweredOnce++
		return true
	case t.Answers > 1:
		v.breach(Lost, t.AnsweredAt, "try %s has %d answers", t.ID, t.Answers)
	case c.killed:
		v.KilledUnanswered++
	case c.paused:
		v.PausedUnanswered++
	default:
		v.breach(Lost, t.SentAt, "try %s of class %s has no answer from gateway %d "+
			"(%s, closed at %v, reset %t, no port at %v, attempts %v; %s)",
			t.ID, s.Classes[t.Class].Name, t.Gateway,
			kindNames[t.Kind], t.ClosedAt, t.Reset, t.PortClosedAt, times(c.seen),
			recentEvents(rec, t.Gateway, c.end))
	}
	return false
}

// checkAnswer judges the only answer of a try: it must be in time, a server must have made it for
// this try, and no attempt may begin after it.
func (v *Verdict) checkAnswer(t *Try, c *tryContext) {
	late := t.AnsweredAt > c.end+c.lateAnswers
	switch {
	case late && c.paused:
		v.PausedLateOperations++
	case late:
		v.breach(Lost, t.AnsweredAt, "try %s was answered %v after its client stopped waiting",
			t.ID, t.AnsweredAt-c.end)
	}
	madeValue := func(a Attempt) bool { return a.Ran && ValueOf(a.ID, a.Server) == t.Value }
	if t.Kind == Served && !slices.ContainsFunc(c.seen, madeValue) {
		v.breach(Lost, t.AnsweredAt, "try %s was served %q, which no server made for it",
			t.ID, t.Value)
	}
	for _, a := range c.seen {
		afterAnswer := a.FirstByteAt > t.AnsweredAt+OnSockets
		switch {
		case afterAnswer && c.paused:
			v.PausedLateOperations++
		case afterAnswer:
			v.breach(Lost, a.FirstByteAt, "try %s was sent on %v after its answer",
				t.ID, a.FirstByteAt-t.AnsweredAt)
		}
	}
}

func times(list []Attempt) (at []time.Duration) {
	for _, a := range list {
		at = append(at, a.FirstByteAt)
	}
	return at
}
