package harness

import (
	"slices"
	"time"
)

// checkDuplicates judges the second rule. An attempt that a server rejected did not run.
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
	// An effect that the servers saw twice in one window is a breach, even if the attempts were
	// allowed.
	effectAt := map[string]time.Duration{}
	for _, a := range rec.Attempts {
		if c := &s.Classes[a.Class]; a.Key == "" || !a.Effect || !c.Keyed {
			continue
		}
		if at, ok := effectAt[a.Key]; ok {
			if pausedDuring(rec, a.Gateway, a.FirstByteAt, a.FirstByteAt) {
				v.PausedLateOperations++
				continue
			}
			v.breach(Twice, a.ReceivedAt, "the effect of key %s happened at %v and at %v",
				a.Key, at, a.ReceivedAt)
		}
		effectAt[a.Key] = a.ReceivedAt
	}
}
