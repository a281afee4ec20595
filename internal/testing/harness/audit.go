package harness

import (
	"fmt"
	"slices"
	"time"
)

// Rule is one of the five.
type Rule string

// The rules, by the names that a verdict counts them under.
const (
	Lost              Rule = "lost"    // a taken request without its one answer in time
	Twice             Rule = "twice"   // an effect that may have happened twice
	Drain             Rule = "drain"   // work sent to a server that drains or is gone
	SlowStartOverload Rule = "cold"    // a cold server sent too much
	Ceiling           Rule = "ceiling" // more sent on for a customer than its ceiling allows
)

// Rules are all five.
var Rules = []Rule{Lost, Twice, Drain, SlowStartOverload, Ceiling}

// OnSockets is what each time limit is longer by where sockets carry the events:
// what two processes saw of one event lies apart by scheduling.
const OnSockets = 50 * time.Millisecond

// ceilingTolerance widens a ceiling's slack by what its rate gives in this time.
const ceilingTolerance = 150 * time.Millisecond

// Breach is one breaking of a rule.
type Breach struct {
	Rule Rule
	What string
	At   time.Duration
}

// Verdict is what an audit found.
type Verdict struct {
	Broken   map[Rule]int // every rule is in it
	Breaches []Breach     // in the order of the rules, then of time

	Taken            int // tries that a gateway had taken
	AnsweredOnce     int
	KilledUnanswered int // of those taken: lost with a gateway that was killed outright
	PausedUnanswered int // and with one that lay stopped while their clients waited
	// and what such a one sent on, or answered, when it was just awake again: no breach here
	PausedLateOperations int
	AbandonedWaiting     int // tries of which no attempt was whole when their client left,
	AbandonedForwarded   int // and those of them that were sent on leftWithin later all the same
	Crossed              int // sent on a connection that was just being closed, unread: sent again
	OverQuota            float64
	AttemptsOver         int // tries with more attempts than a request may have
}

// OK reports whether no rule was broken.
func (v *Verdict) OK() bool {
	for _, n := range v.Broken {
		if n > 0 {
			return false
		}
	}
	return true
}

func (v *Verdict) breach(r Rule, at time.Duration, format string, args ...any) {
	v.Broken[r]++
	v.Breaches = append(v.Breaches, Breach{r, fmt.Sprintf(format, args...), at})
}

// Audit judges a record by the rules of a site. The record is not changed.
func Audit(s *Site, rec *Record) *Verdict {
	v := &Verdict{Broken: map[Rule]int{}}
	for _, r := range Rules {
		v.Broken[r] = 0
	}
	attempts := map[string][]Attempt{}
	for _, a := range rec.Attempts {
		attempts[a.ID] = append(attempts[a.ID], a)
	}
	for _, list := range attempts {
		slices.SortFunc(list, func(a, b Attempt) int { return int(a.ReceivedAt - b.ReceivedAt) })
	}
	v.checkAnswers(s, rec, attempts)
	v.checkDuplicates(s, rec, attempts)
	v.checkDrains(s, rec)
	v.checkSlowStart(s, rec)
	v.checkCeilings(s, rec)
	return v
}

// killedDuring reports whether a gateway was being killed outright in a span. A kill lasts from the
// signal until the process has ended: on a busy machine that takes a while, in which the system
// still takes connections for it.
func killedDuring(rec *Record, gateway int, from, to time.Duration) bool {
	killed := time.Duration(-1)
	for _, l := range rec.ProcessEvents {
		switch {
		case l.Gateway != gateway:
		case l.Event == Killed:
			if l.At >= from-OnSockets && l.At <= to+OnSockets {
				return true
			}
			killed = l.At
		case killed >= 0 && (l.Event == Exited || l.Event == Started):
			if killed <= to+OnSockets && l.At >= from-OnSockets {
				return true
			}
			killed = -1
		}
	}
	return false
}

// resumeGracePeriod is for how long what a gateway does may still come of its having been stopped.
const resumeGracePeriod = time.Second

// pausedDuring reports whether a gateway lay stopped in a span, or had just been woken.
func pausedDuring(rec *Record, gateway int, from, to time.Duration) bool {
	paused := time.Duration(-1)
	for _, l := range rec.ProcessEvents {
		if l.Gateway != gateway {
			continue
		}
		switch {
		case l.Event == Paused:
			paused = l.At
		case paused < 0:
			continue
		case l.Event == Resumed || l.Event == Killed || l.Event == Exited:
			if paused <= to+OnSockets && l.At+resumeGracePeriod >= from {
				return true
			}
			paused = -1
		}
	}
	return paused >= 0 && paused <= to+OnSockets
}

var kinds = [...]string{"unsent", "served", "refused", "failed", "ended", "silent", "left"}

// leftWithin is how long after its client has left a request may still be sent on; over so large a
// part of those that waited is a breach.
const (
	abandonTolerance     = 300 * time.Millisecond
	maxAbandonedFraction = 0.25
)

// checkAbandoned counts what was sent on for nobody.
func (v *Verdict) checkAbandoned(t *Try, seen []Attempt) {
	if len(seen) > 0 && seen[0].ReceivedAt <= t.ClientLeftAt {
		return
	}
	v.AbandonedWaiting++
	if slices.ContainsFunc(seen, func(a Attempt) bool {
		return a.ReceivedAt > t.ClientLeftAt+abandonTolerance
	}) {
		v.AbandonedForwarded++
	}
}

func times(list []Attempt) (at []time.Duration) {
	for _, a := range list {
		at = append(at, a.FirstByteAt)
	}
	return at
}

// recentEvents tells what had happened to a gateway shortly before a moment.
func recentEvents(rec *Record, gateway int, before time.Duration) string {
	names := [...]string{
		"started",
		"ready",
		"told to stop",
		"reloaded",
		"handed over",
		"killed",
		"ended",
		"crashed",
		"paused",
		"woken",
	}
	text := "gateway"
	for _, l := range rec.ProcessEvents {
		if l.Gateway == gateway && l.At <= before && l.At > before-10*time.Second {
			text += fmt.Sprintf(" %s at %v,", names[l.Event], l.At.Round(time.Millisecond))
		}
	}
	return text
}

// checkAnswers judges the first rule: one answer, in time, that a server made for this
// request, and nothing sent after it.
func (v *Verdict) checkAnswers(s *Site, rec *Record, attempts map[string][]Attempt) {
	for _, l := range rec.ProcessEvents {
		if l.Event == Crashed {
			v.breach(Lost, l.At, "gateway %d ended by itself", l.Gateway)
		}
	}
	for _, t := range rec.Tries {
		if t.Kind == Unsent {
			continue
		}
		seen := attempts[t.ID]
		end := t.SentAt + t.Wait
		killed := killedDuring(rec, t.Gateway, t.SentAt, end)
		paused := pausedDuring(rec, t.Gateway, t.SentAt, end)
		if t.ClosedAt > 0 {
			// Closed between requests: the client was told by the close, and sent it
			// again. It must not have been read.
			v.Crossed++
			if len(seen) > 0 && seen[0].FirstByteAt < t.ClosedAt && !killed && !paused {
				v.breach(Lost, t.ClosedAt,
					"try %s was sent on, and its connection ended without an answer", t.ID)
				continue
			}
		}
		if t.Kind == ClientLeft {
			if !paused {
				v.checkAbandoned(&t, seen)
			}
			continue
		}
		if t.Kind == Ended && len(seen) == 0 && !t.Reset && !killed {
			continue
		}
		v.Taken++
		switch {
		case t.Answers == 1:
			v.AnsweredOnce++
		case t.Answers > 1:
			v.breach(Lost, t.AnsweredAt, "try %s has %d answers", t.ID, t.Answers)
			continue
		case killed:
			v.KilledUnanswered++
			continue
		case paused:
			v.PausedUnanswered++
			continue
		default:
			v.breach(Lost, t.SentAt, "try %s of class %s has no answer from gateway %d (%s, closed at %v, reset %t, no port at %v, attempts %v; %s)",
				t.ID,
				s.Classes[t.Class].Name,
				t.Gateway,
				kinds[t.Kind],
				t.ClosedAt,
				t.Reset,
				t.PortClosedAt,
				times(seen),
				recentEvents(rec, t.Gateway, end))
			continue
		}
		if t.AnsweredAt > end+OnSockets && paused {
			v.PausedLateOperations++
		} else if t.AnsweredAt > end+OnSockets {
			v.breach(Lost, t.AnsweredAt, "try %s was answered %v after its client stopped waiting",
				t.ID, t.AnsweredAt-end)
		}
		if t.Kind == Served &&
			!slices.ContainsFunc(seen, func(a Attempt) bool {
				return a.Ran && ValueOf(a.ID, a.Server) == t.Value
			}) {
			v.breach(Lost, t.AnsweredAt, "try %s was served %q, which no server made for it",
				t.ID, t.Value)
		}
		for _, a := range seen {
			if a.FirstByteAt > t.AnsweredAt+OnSockets && paused {
				v.PausedLateOperations++
			} else if a.FirstByteAt > t.AnsweredAt+OnSockets {
				v.breach(Lost, a.FirstByteAt, "try %s was sent on %v after its answer", t.ID,
					a.FirstByteAt-t.AnsweredAt)
			}
		}
		if len(seen) > s.MaxAttempts {
			v.AttemptsOver++
		}
	}
	if float64(v.AbandonedForwarded) > maxAbandonedFraction*float64(v.AbandonedWaiting) {
		v.breach(
			Lost,
			rec.Now(),
			"%d of %d requests whose clients had left while they waited were sent on %v and more later",
			v.AbandonedForwarded,
			v.AbandonedWaiting,
			abandonTolerance,
		)
	}
}

// checkDuplicates judges the second rule. What a server turned away never ran.
func (v *Verdict) checkDuplicates(s *Site, rec *Record, attempts map[string][]Attempt) {
	for _, t := range rec.Tries {
		c := &s.Classes[t.Class]
		mayRun := slices.DeleteFunc(slices.Clone(attempts[t.ID]), func(a Attempt) bool {
			return a.Rejected
		})
		switch {
		case c.Unsafe && len(mayRun) > 1:
			v.breach(Twice, mayRun[1].ReceivedAt, "try %s, unsafe, was sent again", t.ID)
		case c.Unsafe && len(mayRun) > 0 && t.Kind == Refused:
			v.breach(Twice, t.AnsweredAt,
				"try %s, unsafe, was refused though it may have run", t.ID)
		case c.Keyed && len(mayRun) > 1 &&
			mayRun[len(mayRun)-1].ReceivedAt-mayRun[0].ReceivedAt > c.DeduplicationWindow+OnSockets:
			v.breach(Twice, mayRun[len(mayRun)-1].ReceivedAt,
				"try %s, keyed, was sent again after its window", t.ID)
		}
	}
	// Whatever was allowed: an effect that the servers saw twice in one window is one.
	done := map[string]time.Duration{}
	for _, a := range rec.Attempts {
		if c := &s.Classes[a.Class]; a.Key == "" || !a.Effect || !c.Keyed {
			continue
		}
		if at, ok := done[a.Key]; ok {
			if pausedDuring(rec, a.Gateway, a.FirstByteAt, a.FirstByteAt) {
				v.PausedLateOperations++
				continue
			}
			v.breach(Twice, a.ReceivedAt, "the effect of key %s happened at %v and at %v",
				a.Key, at, a.ReceivedAt)
		}
		done[a.Key] = a.ReceivedAt
	}
}

// checkDrains judges the third rule. A word to send again (the server is back) ends
// the one before it.
func (v *Verdict) checkDrains(s *Site, rec *Record) {
	type pair struct {
		gateway int
		server  string
	}
	told := map[pair][]EndpointUpdate{}
	for _, t := range rec.EndpointUpdates {
		p := pair{t.Gateway, t.Server}
		told[p] = append(told[p], t)
	}
	for _, list := range told {
		slices.SortStableFunc(list, func(a, b EndpointUpdate) int { return int(a.At - b.At) })
	}
	for _, a := range rec.Attempts {
		var stop, since = false, time.Duration(0)
		for _, t := range told[pair{a.Gateway, a.Server}] {
			if t.At > a.FirstByteAt {
				break
			}
			if t.Stop && !stop {
				since = t.At
			}
			stop = t.Stop
		}
		// A gateway that has started anew has been told nothing yet.
		for _, l := range rec.ProcessEvents {
			if l.Gateway == a.Gateway && l.Event == Started && l.At > since &&
				l.At <= a.FirstByteAt {
				stop = false
			}
		}
		if stop && a.FirstByteAt > since+s.DrainTimeout+OnSockets {
			if pausedDuring(rec, a.Gateway, a.FirstByteAt, a.FirstByteAt) {
				v.PausedLateOperations++
				continue
			}
			v.breach(Drain, a.FirstByteAt, "gateway %d sent to %s %v after it was told to stop",
				a.Gateway, a.Server, a.FirstByteAt-since)
		}
	}
}

// CapacityShare is the part of its capacity that a server has.
func (s *Site) CapacityShare(b *ServerStart, now time.Duration) float64 {
	if !b.SlowStart {
		return 1
	}
	return min(
		1,
		s.SlowStartMinFraction+
			(1-s.SlowStartMinFraction)*max(0, (now-b.At).Seconds())/s.SlowStartDuration.Seconds(),
	)
}

// checkSlowStart judges the fourth rule: in no span is a cold server sent more than the
// multiple of what it can do then. Chance is allowed one mean request of the
// heaviest class.
func (v *Verdict) checkSlowStart(s *Site, rec *Record) {
	var slack time.Duration
	for _, c := range s.Classes {
		slack = max(slack, c.Work)
	}
	for i := range rec.ServerStarts {
		b := &rec.ServerStarts[i]
		if b.BeforeNotified {
			continue
		}
		if b.OverloadedAt > 0 {
			v.breach(SlowStartOverload, b.OverloadedAt, "%s fell over %v after its start", b.Server,
				b.OverloadedAt-b.At)
		}
		if !b.SlowStart {
			continue
		}
		var window []Attempt
		for _, a := range rec.Attempts {
			if a.Server == b.Server && a.ReceivedAt >= b.At &&
				a.ReceivedAt < b.At+s.SlowStartDuration {
				window = append(window, a)
			}
		}
		slices.SortFunc(window, func(a, b Attempt) int { return int(a.ReceivedAt - b.ReceivedAt) })
		for from, to, work := 0, 0, time.Duration(0); to < len(window); to++ {
			work += window[to].Work
			for ; window[to].ReceivedAt-window[from].ReceivedAt > s.OverloadWindow; from++ {
				work -= window[from].Work
			}
			can := b.Cores * b.Speed * s.CapacityShare(b, window[to].ReceivedAt) *
				s.OverloadWindow.Seconds() *
				s.OverloadMultiple
			if work.Seconds() > can+slack.Seconds() && b.OverloadedAt == 0 {
				v.breach(SlowStartOverload, window[to].ReceivedAt, "%s was sent %v of work in %v, %v after its start, and can do %.2f s", b.Server, work,
					s.OverloadWindow, window[to].ReceivedAt-b.At, can/s.OverloadMultiple)
				break
			}
		}
	}
}

// tokenBucket holds units as a plan words it: full at first, filling at a rate.
type tokenBucket struct {
	level, rate, burst float64
	at                 time.Duration
}

func (b *tokenBucket) fill(now time.Duration) {
	if now > b.at {
		b.level, b.at = min(b.burst, b.level+b.rate*(now-b.at).Seconds()), now
	}
}

// checkCeilings judges the fifth rule, and counts what was sent on beyond the quotas. A
// try takes its units when its first attempt has come whole to a server.
func (v *Verdict) checkCeilings(s *Site, rec *Record) {
	quotas, ceilings, low := s.newTokenBuckets(), map[string]*tokenBucket{}, map[string]bool{}
	for _, e := range forwardedTries(rec) {
		p := &s.Plans[e.try.Plan]
		if !quotas.take(e.try, e.at) {
			v.OverQuota += e.try.Units
		}
		if p.CeilingRate == 0 {
			continue
		}
		c := ceilings[e.try.Customer]
		if c == nil {
			c = &tokenBucket{p.CeilingBurst, p.CeilingRate, p.CeilingBurst, 0}
			ceilings[e.try.Customer] = c
		}
		c.fill(e.at)
		c.level -= e.try.Units
		under := c.level < -p.CeilingSlack-p.CeilingRate*ceilingTolerance.Seconds()
		if under && !low[e.try.Customer] {
			v.breach(Ceiling, e.at, "customer %s is %.1f units below its ceiling's store",
				e.try.Customer, -c.level)
		}
		low[e.try.Customer] = under
	}
}
