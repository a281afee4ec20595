package harness

import (
	"fmt"
	"slices"
	"time"
)

// Rule names one of the five rules by which a run is judged.
type Rule string

// The rules, by the names under which a verdict counts them.
const (
	// Lost is broken by a request that a gateway took and that did not get exactly one answer in
	// time.
	Lost Rule = "lost"
	// Twice is broken by an effect that may have happened twice.
	Twice Rule = "twice"
	// Drain is broken by work sent to a server that is draining or removed.
	Drain Rule = "drain"
	// SlowStartOverload is broken by too much work sent to a server that is warming up.
	SlowStartOverload Rule = "cold"
	// Ceiling is broken by forwarding more for a customer than its ceiling allows.
	Ceiling Rule = "ceiling"
)

// Rules are all five.
var Rules = []Rule{Lost, Twice, Drain, SlowStartOverload, Ceiling}

// OnSockets is added to each time limit of events that sockets carry, because two processes see one
// event at different times.
const OnSockets = 50 * time.Millisecond

// ceilingTolerance extends a ceiling's slack by the units that its rate yields in this time.
const ceilingTolerance = 150 * time.Millisecond

// Breach is one breach of a rule.
type Breach struct {
	Rule Rule
	What string
	At   time.Duration
}

// Verdict is the result of an audit.
type Verdict struct {
	// Broken counts the breaches by rule. It has an entry for every rule.
	Broken map[Rule]int
	// Breaches are sorted by rule, then by time.
	Breaches []Breach

	// Taken counts tries that a gateway had taken.
	Taken        int
	AnsweredOnce int
	// KilledUnanswered counts those that were lost with a gateway that was killed.
	KilledUnanswered int
	// PausedUnanswered counts those that were lost with a gateway that was suspended while their
	// clients waited.
	PausedUnanswered int
	// PausedLateOperations counts attempts and answers of a gateway that was suspended or had just
	// been resumed, which would be breaches otherwise.
	PausedLateOperations int
	// AbandonedWaiting counts tries of which no server had received an attempt when their client
	// left.
	AbandonedWaiting int
	// AbandonedForwarded counts attempts that began after their client had left, and after
	// abandonTolerance and OnSockets.
	AbandonedForwarded int
	// Crossed counts tries that were sent on a connection that was just being closed, and sent
	// again.
	Crossed int
	// OverQuota is the number of units that were forwarded beyond quotas.
	OverQuota float64
	// AttemptsOver counts tries with more attempts than a request may have.
	AttemptsOver int
}

// OK reports whether the record breaks no rule.
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

// Audit judges a record by the rules of a site. The record is not modified.
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
