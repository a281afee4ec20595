package distribution

import "time"

// injectFault injects one fault, and schedules the next one.
func (w *World) injectFault() {
	if w.quiet {
		return
	}
	w.after(w.between(100*time.Millisecond, 3*time.Second), w.injectFault)
	s := w.servers[w.random.IntN(len(w.servers))]
	r := w.replicas[w.random.IntN(len(w.replicas))]
	duration := w.between(500*time.Millisecond, 6*time.Second)
	switch w.random.IntN(16) {
	case 0, 1:
		w.result.Faults["another term"]++
		w.newWatcher()
	case 2:
		w.crash(s, s.applied, duration, "server killed")
	case 3:
		w.crash(s, w.random.IntN(s.applied+1), duration, "server from an older state")
	case 4:
		w.suspendServer(s, duration)
	case 5:
		w.cutServer(s, duration)
	case 6:
		w.result.Faults["slow log"]++
		s.slowLog = w.between(0, 300*time.Millisecond)
	case 7, 8:
		w.crashReplica(r, duration, "replica killed", func() {})
	case 9:
		w.crashReplica(r, duration, "state file lost", func() { r.file = nil })
	case 10:
		w.crashReplica(r, duration, "state file damaged", func() { w.damageFile(r) })
	case 11:
		w.result.Faults["replica stopped"]++
		r.stoppedUntil = w.now + duration
		r.markDisturbed()
	case 12, 13:
		w.result.Faults["slow reader"]++
		r.slow = !r.slow
		r.markDisturbed()
	case 14:
		w.restartAll()
	case 15:
		if w.random.IntN(3) == 0 {
			w.result.Faults["founded anew"]++
			w.recreateFleet()
		}
	}
}

// suspendServer suspends a server's process for a while.
func (w *World) suspendServer(s *server, duration time.Duration) {
	if !s.up {
		return
	}
	w.result.Faults["server stopped"]++
	s.stoppedUntil = w.now + duration
	w.markDisturbed(s)
}

// cutServer cuts a server off the network for a while.
func (w *World) cutServer(s *server, duration time.Duration) {
	w.result.Faults["server cut off"]++
	s.cutUntil = w.now + duration
	w.markDisturbed(s)
	w.at(s.cutUntil, func() {
		if w.now >= s.cutUntil {
			s.cutUntil = 0
		}
	})
}

// markDisturbed marks the replica's stream as disturbed, if it has one.
func (r *replica) markDisturbed() {
	if r.link != nil {
		r.link.faults++
	}
}

// markDisturbed marks all streams of a server as disturbed.
func (w *World) markDisturbed(s *server) {
	for _, l := range s.links {
		l.faults++
	}
}

// crash kills a server, which restarts after duration with the log applied up to an entry.
func (w *World) crash(s *server, applied int, duration time.Duration, name string) {
	if !s.up {
		return
	}
	w.result.Faults[name]++
	l := s.lineage
	w.kill(s)
	s.applied = applied
	incarnation := s.incarnation
	w.after(duration, func() {
		if s.incarnation == incarnation && !s.up {
			w.restart(s, l, applied)
		}
	})
}

// crashReplica kills a gateway, calls do, which may change its state file, and starts it again
// after duration.
func (w *World) crashReplica(r *replica, duration time.Duration, name string, do func()) {
	if !r.up {
		return
	}
	w.result.Faults[name]++
	w.killReplica(r)
	do()
	incarnation := r.incarnation
	w.after(duration, func() {
		if !r.up && r.incarnation == incarnation {
			w.startReplica(r)
		}
	})
}

// restartAll restarts all gateways at once, half of them without a state.
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
