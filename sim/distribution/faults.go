package distribution

import "time"

// injectFault does one thing to the fleet, and plans the next.
func (w *World) injectFault() {
	if w.quiet {
		return
	}
	w.after(w.between(100*time.Millisecond, 3*time.Second), w.injectFault)
	s := w.servers[w.random.IntN(len(w.servers))]
	r := w.replicas[w.random.IntN(len(w.replicas))]
	span := w.between(500*time.Millisecond, 6*time.Second)
	switch w.random.IntN(16) {
	case 0, 1:
		w.result.Faults["another term"]++
		w.newWatcher()
	case 2:
		w.crash(s, s.applied, span, "server killed")
	case 3:
		w.crash(s, w.random.IntN(s.applied+1), span, "server from an older state")
	case 4:
		if s.up {
			w.result.Faults["server stopped"]++
			s.stoppedUntil = w.now + span
			w.markDisturbed(s)
		}
	case 5:
		w.result.Faults["server cut off"]++
		s.cutUntil = w.now + span
		w.markDisturbed(s)
		w.at(s.cutUntil, func() {
			if w.now >= s.cutUntil {
				s.cutUntil = 0
			}
		})
	case 6:
		w.result.Faults["slow log"]++
		s.slowLog = w.between(0, 300*time.Millisecond)
	case 7, 8:
		w.crashReplica(r, span, "replica killed", func() {})
	case 9:
		w.crashReplica(r, span, "state file lost", func() { r.file = nil })
	case 10:
		w.crashReplica(r, span, "state file damaged", func() { w.damageFile(r) })
	case 11:
		w.result.Faults["replica stopped"]++
		r.stoppedUntil = w.now + span
		if r.link != nil {
			r.link.faults++
		}
	case 12, 13:
		w.result.Faults["slow reader"]++
		r.slow = !r.slow
		if r.link != nil {
			r.link.faults++
		}
	case 14:
		w.restartAll()
	case 15:
		if w.random.IntN(3) == 0 {
			w.result.Faults["founded anew"]++
			w.recreateFleet()
		}
	}
}

// markDisturbed marks all streams of a server.
func (w *World) markDisturbed(s *server) {
	for _, l := range s.links {
		l.faults++
	}
}

// crash kills a server; it comes back with the log applied up to an entry.
func (w *World) crash(s *server, applied int, span time.Duration, name string) {
	if !s.up {
		return
	}
	w.result.Faults[name]++
	l := s.lineage
	w.kill(s)
	s.applied = applied
	boot := s.incarnation
	w.after(span, func() {
		if s.incarnation == boot && !s.up {
			w.restart(s, l, applied)
		}
	})
}

// crashReplica kills a gateway, does something to its file, and starts it again.
func (w *World) crashReplica(r *replica, span time.Duration, name string, do func()) {
	if !r.up {
		return
	}
	w.result.Faults[name]++
	w.killReplica(r)
	do()
	boot := r.incarnation
	w.after(span, func() {
		if !r.up && r.incarnation == boot {
			w.startReplica(r)
		}
	})
}

// restartAll has all gateways start at once, half of them from nothing.
func (w *World) restartAll() {
	w.result.Faults["all replicas at once"]++
	for i, r := range w.replicas {
		w.killReplica(r)
		if i%2 == 0 {
			r.file = nil
		}
		w.startReplica(r)
	}
}
