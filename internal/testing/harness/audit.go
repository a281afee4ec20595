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
	Lost    Rule = "lost"    // a taken request without its one answer in time
	Twice   Rule = "twice"   // an effect that may have happened twice
	Drain   Rule = "drain"   // work sent to a server that drains or is gone
	Cold    Rule = "cold"    // a cold server sent too much
	Ceiling Rule = "ceiling" // more sent on for a customer than its ceiling allows
)

// Rules are all five.
var Rules = []Rule{Lost, Twice, Drain, Cold, Ceiling}

// OnSockets is what each time limit is longer by where sockets carry the events:
// what two processes saw of one event lies apart by scheduling.
const OnSockets = 50 * time.Millisecond

// ceilingSpan widens a ceiling's slack by what its rate gives in this time.
const ceilingSpan = 150 * time.Millisecond

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
	PausedLate   int
	LeftWaiting  int // tries of which no attempt was whole when their client left,
	LeftSentOn   int // and those of them that were sent on leftWithin later all the same
	Crossed      int // sent on a connection that was just being closed, unread: sent again
	OverQuota    float64
	AttemptsOver int // tries with more attempts than a request may have
}

// OK tells whether no rule was broken.
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
		slices.SortFunc(list, func(a, b Attempt) int { return int(a.Whole - b.Whole) })
	}
	v.lost(s, rec, attempts)
	v.twice(s, rec, attempts)
	v.drains(s, rec)
	v.cold(s, rec)
	v.stores(s, rec)
	return v
}

// killedDuring tells whether a gateway was being killed outright in a span. A kill lasts from the
// signal until the process has ended: on a busy machine that takes a while, in which the system
// still takes connections for it.
func killedDuring(rec *Record, gateway int, from, to time.Duration) bool {
	killed := time.Duration(-1)
	for _, l := range rec.Lives {
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

// afterWake is for how long what a gateway does may still come of its having been stopped.
const afterWake = time.Second

// pausedDuring tells whether a gateway lay stopped in a span, or had just been woken.
func pausedDuring(rec *Record, gateway int, from, to time.Duration) bool {
	paused := time.Duration(-1)
	for _, l := range rec.Lives {
		if l.Gateway != gateway {
			continue
		}
		switch {
		case l.Event == Paused:
			paused = l.At
		case paused < 0:
			continue
		case l.Event == Woken || l.Event == Killed || l.Event == Exited:
			if paused <= to+OnSockets && l.At+afterWake >= from {
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
	leftWithin = 300 * time.Millisecond
	leftPart   = 0.25
)

// left counts what was sent on for nobody.
func (v *Verdict) left(t *Try, seen []Attempt) {
	if len(seen) > 0 && seen[0].Whole <= t.Left {
		return
	}
	v.LeftWaiting++
	if slices.ContainsFunc(seen, func(a Attempt) bool { return a.Whole > t.Left+leftWithin }) {
		v.LeftSentOn++
	}
}

func times(list []Attempt) (at []time.Duration) {
	for _, a := range list {
		at = append(at, a.First)
	}
	return at
}

// lately tells what had happened to a gateway shortly before a moment.
func lately(rec *Record, gateway int, before time.Duration) string {
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
	for _, l := range rec.Lives {
		if l.Gateway == gateway && l.At <= before && l.At > before-10*time.Second {
			text += fmt.Sprintf(" %s at %v,", names[l.Event], l.At.Round(time.Millisecond))
		}
	}
	return text
}

// lost judges the first rule: one answer, in time, that a server made for this
// request, and nothing sent after it.
func (v *Verdict) lost(s *Site, rec *Record, attempts map[string][]Attempt) {
	for _, l := range rec.Lives {
		if l.Event == Crashed {
			v.breach(Lost, l.At, "gateway %d ended by itself", l.Gateway)
		}
	}
	for _, t := range rec.Tries {
		if t.Kind == Unsent {
			continue
		}
		seen := attempts[t.ID]
		end := t.Sent + t.Wait
		killed := killedDuring(rec, t.Gateway, t.Sent, end)
		paused := pausedDuring(rec, t.Gateway, t.Sent, end)
		if t.Closed > 0 {
			// Closed between requests: the client was told by the close, and sent it
			// again. It must not have been read.
			v.Crossed++
			if len(seen) > 0 && seen[0].First < t.Closed && !killed && !paused {
				v.breach(Lost, t.Closed,
					"try %s was sent on, and its connection ended without an answer", t.ID)
				continue
			}
		}
		if t.Kind == Left {
			if !paused {
				v.left(&t, seen)
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
			v.breach(Lost, t.Answered, "try %s has %d answers", t.ID, t.Answers)
			continue
		case killed:
			v.KilledUnanswered++
			continue
		case paused:
			v.PausedUnanswered++
			continue
		default:
			v.breach(Lost, t.Sent, "try %s of class %s has no answer from gateway %d (%s, closed at %v, reset %t, no port at %v, attempts %v; %s)",
				t.ID,
				s.Classes[t.Class].Name,
				t.Gateway,
				kinds[t.Kind],
				t.Closed,
				t.Reset,
				t.NoPort,
				times(seen),
				lately(rec, t.Gateway, end))
			continue
		}
		if t.Answered > end+OnSockets && paused {
			v.PausedLate++
		} else if t.Answered > end+OnSockets {
			v.breach(Lost, t.Answered, "try %s was answered %v after its client stopped waiting",
				t.ID, t.Answered-end)
		}
		if t.Kind == Served &&
			!slices.ContainsFunc(seen, func(a Attempt) bool {
				return a.Ran && ValueOf(a.ID, a.Server) == t.Value
			}) {
			v.breach(Lost, t.Answered, "try %s was served %q, which no server made for it",
				t.ID, t.Value)
		}
		for _, a := range seen {
			if a.First > t.Answered+OnSockets && paused {
				v.PausedLate++
			} else if a.First > t.Answered+OnSockets {
				v.breach(Lost, a.First, "try %s was sent on %v after its answer", t.ID,
					a.First-t.Answered)
			}
		}
		if len(seen) > s.MaxAttempts {
			v.AttemptsOver++
		}
	}
	if float64(v.LeftSentOn) > leftPart*float64(v.LeftWaiting) {
		v.breach(
			Lost,
			rec.Now(),
			"%d of %d requests whose clients had left while they waited were sent on %v and more later",
			v.LeftSentOn,
			v.LeftWaiting,
			leftWithin,
		)
	}
}

// twice judges the second rule. What a server turned away never ran.
func (v *Verdict) twice(s *Site, rec *Record, attempts map[string][]Attempt) {
	for _, t := range rec.Tries {
		c := &s.Classes[t.Class]
		mayRun := slices.DeleteFunc(slices.Clone(attempts[t.ID]), func(a Attempt) bool {
			return a.Turned
		})
		switch {
		case c.Unsafe && len(mayRun) > 1:
			v.breach(Twice, mayRun[1].Whole, "try %s, unsafe, was sent again", t.ID)
		case c.Unsafe && len(mayRun) > 0 && t.Kind == Refused:
			v.breach(Twice, t.Answered, "try %s, unsafe, was refused though it may have run", t.ID)
		case c.Keyed && len(mayRun) > 1 &&
			mayRun[len(mayRun)-1].Whole-mayRun[0].Whole > c.Window+OnSockets:
			v.breach(Twice, mayRun[len(mayRun)-1].Whole,
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
			if pausedDuring(rec, a.Gateway, a.First, a.First) {
				v.PausedLate++
				continue
			}
			v.breach(Twice, a.Whole, "the effect of key %s happened at %v and at %v",
				a.Key, at, a.Whole)
		}
		done[a.Key] = a.Whole
	}
}

// drains judges the third rule. A word to send again (the server is back) ends
// the one before it.
func (v *Verdict) drains(s *Site, rec *Record) {
	type pair struct {
		gateway int
		server  string
	}
	told := map[pair][]Told{}
	for _, t := range rec.Told {
		p := pair{t.Gateway, t.Server}
		told[p] = append(told[p], t)
	}
	for _, list := range told {
		slices.SortStableFunc(list, func(a, b Told) int { return int(a.At - b.At) })
	}
	for _, a := range rec.Attempts {
		var stop, since = false, time.Duration(0)
		for _, t := range told[pair{a.Gateway, a.Server}] {
			if t.At > a.First {
				break
			}
			if t.Stop && !stop {
				since = t.At
			}
			stop = t.Stop
		}
		// A gateway that has started anew has been told nothing yet.
		for _, l := range rec.Lives {
			if l.Gateway == a.Gateway && l.Event == Started && l.At > since && l.At <= a.First {
				stop = false
			}
		}
		if stop && a.First > since+s.DrainGrace+OnSockets {
			if pausedDuring(rec, a.Gateway, a.First, a.First) {
				v.PausedLate++
				continue
			}
			v.breach(Drain, a.First, "gateway %d sent to %s %v after it was told to stop",
				a.Gateway, a.Server, a.First-since)
		}
	}
}

// Share is the part of its capacity that a server has.
func (s *Site) Share(b *Boot, now time.Duration) float64 {
	if !b.Cold {
		return 1
	}
	return min(1, s.ColdFrom+(1-s.ColdFrom)*max(0, (now-b.At).Seconds())/s.ColdTime.Seconds())
}

// cold judges the fourth rule: in no span is a cold server sent more than the
// multiple of what it can do then. Chance is allowed one mean request of the
// heaviest class.
func (v *Verdict) cold(s *Site, rec *Record) {
	var slack time.Duration
	for _, c := range s.Classes {
		slack = max(slack, c.Work)
	}
	for i := range rec.Boots {
		b := &rec.Boots[i]
		if b.Untold {
			continue
		}
		if b.Fell > 0 {
			v.breach(Cold, b.Fell, "%s fell over %v after its start", b.Server, b.Fell-b.At)
		}
		if !b.Cold {
			continue
		}
		var window []Attempt
		for _, a := range rec.Attempts {
			if a.Server == b.Server && a.Whole >= b.At && a.Whole < b.At+s.ColdTime {
				window = append(window, a)
			}
		}
		slices.SortFunc(window, func(a, b Attempt) int { return int(a.Whole - b.Whole) })
		for from, to, work := 0, 0, time.Duration(0); to < len(window); to++ {
			work += window[to].Work
			for ; window[to].Whole-window[from].Whole > s.FallSpan; from++ {
				work -= window[from].Work
			}
			can := b.Cores * b.Speed * s.Share(b, window[to].Whole) * s.FallSpan.Seconds() *
				s.FallMultiple
			if work.Seconds() > can+slack.Seconds() && b.Fell == 0 {
				v.breach(Cold, window[to].Whole, "%s was sent %v of work in %v, %v after its start, and can do %.2f s", b.Server, work,
					s.FallSpan, window[to].Whole-b.At, can/s.FallMultiple)
				break
			}
		}
	}
}

// store holds units as a plan words it: full at first, filling at a rate.
type store struct {
	level, rate, burst float64
	at                 time.Duration
}

func (b *store) fill(now time.Duration) {
	if now > b.at {
		b.level, b.at = min(b.burst, b.level+b.rate*(now-b.at).Seconds()), now
	}
}

// stores judges the fifth rule, and counts what was sent on beyond the quotas. A
// try takes its units when its first attempt has come whole to a server.
func (v *Verdict) stores(s *Site, rec *Record) {
	quotas, ceilings, low := s.newStores(), map[string]*store{}, map[string]bool{}
	for _, e := range spending(rec) {
		p := &s.Plans[e.try.Plan]
		if !quotas.take(e.try, e.at) {
			v.OverQuota += e.try.Units
		}
		if p.CeilingRate == 0 {
			continue
		}
		c := ceilings[e.try.Customer]
		if c == nil {
			c = &store{p.CeilingBurst, p.CeilingRate, p.CeilingBurst, 0}
			ceilings[e.try.Customer] = c
		}
		c.fill(e.at)
		c.level -= e.try.Units
		under := c.level < -p.CeilingSlack-p.CeilingRate*ceilingSpan.Seconds()
		if under && !low[e.try.Customer] {
			v.breach(Ceiling, e.at, "customer %s is %.1f units below its ceiling's store",
				e.try.Customer, -c.level)
		}
		low[e.try.Customer] = under
	}
}
