package harness

import (
	"slices"
	"time"
)

// CapacityShare returns the fraction of its full capacity that a server has at a time.
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

// checkSlowStart judges the fourth rule: in no window may a server that is warming up receive more
// work than the allowed multiple of what it can do in the window. The mean work of the heaviest
// class is added as slack for random variation.
func (v *Verdict) checkSlowStart(s *Site, rec *Record) {
	var slack time.Duration
	for _, c := range s.Classes {
		slack = max(slack, c.Work)
	}
	for i := range rec.ServerStarts {
		start := &rec.ServerStarts[i]
		if start.BeforeNotified {
			continue
		}
		if start.OverloadedAt > 0 {
			v.breach(SlowStartOverload, start.OverloadedAt, "%s fell over %v after its start",
				start.Server, start.OverloadedAt-start.At)
		}
		if start.SlowStart {
			v.checkWindows(s, start, attemptsDuring(s, rec, start), slack)
		}
	}
}

// attemptsDuring returns the attempts that a server received while it was warming up, in the order
// of their receipt.
func attemptsDuring(s *Site, rec *Record, start *ServerStart) []Attempt {
	var all []Attempt
	end := start.At + s.SlowStartDuration
	for _, a := range rec.Attempts {
		if a.Server == start.Server && a.ReceivedAt >= start.At && a.ReceivedAt < end {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b Attempt) int { return int(a.ReceivedAt - b.ReceivedAt) })
	return all
}

// checkWindows judges each window that ends at one of the attempts, up to the first breach.
func (v *Verdict) checkWindows(
	s *Site, start *ServerStart, attempts []Attempt, slack time.Duration,
) {
	first := 0 // index of the window's first attempt
	work := time.Duration(0)
	for _, last := range attempts {
		work += last.Work
		for last.ReceivedAt-attempts[first].ReceivedAt > s.OverloadWindow {
			work -= attempts[first].Work
			first++
		}
		limit := start.Cores * start.Speed * s.CapacityShare(start, last.ReceivedAt) *
			s.OverloadWindow.Seconds() * s.OverloadMultiple
		if work.Seconds() > limit+slack.Seconds() && start.OverloadedAt == 0 {
			v.breach(SlowStartOverload, last.ReceivedAt,
				"%s was sent %v of work in %v, %v after its start, and can do %.2f s",
				start.Server, work, s.OverloadWindow, last.ReceivedAt-start.At,
				limit/s.OverloadMultiple)
			return
		}
	}
}
