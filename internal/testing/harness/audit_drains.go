package harness

import (
	"slices"
	"time"
)

// checkDrains judges the third rule. An update that a server is ready overrides an earlier one that
// it is draining.
func (v *Verdict) checkDrains(s *Site, rec *Record) {
	type pair struct {
		gateway int
		server  string
	}
	updates := map[pair][]EndpointUpdate{}
	for _, t := range rec.EndpointUpdates {
		p := pair{t.Gateway, t.Server}
		updates[p] = append(updates[p], t)
	}
	for _, list := range updates {
		slices.SortStableFunc(list, func(a, b EndpointUpdate) int { return int(a.At - b.At) })
	}
	for _, a := range rec.Attempts {
		stop := false
		since := time.Duration(0)
		for _, t := range updates[pair{a.Gateway, a.Server}] {
			if t.At > a.FirstByteAt {
				break
			}
			if t.Stop && !stop {
				since = t.At
			}
			stop = t.Stop
		}
		// A gateway that was restarted has not been notified of anything yet.
		for _, l := range rec.ProcessEvents {
			restarted := l.Gateway == a.Gateway && l.Event == Started
			if restarted && l.At > since && l.At <= a.FirstByteAt {
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
