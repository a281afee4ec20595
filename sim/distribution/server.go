package distribution

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/controlplane/lease"
)

// server is one control-plane server: a voter's machine and its publisher.
type server struct {
	id, zone string
	lineage  *lineage
	// applied is the number of entries of the lineage's log that it has applied.
	applied     int
	machine     *distribution.Machine
	publisher   *distribution.Publisher
	incarnation uint64
	up          bool
	// stoppedUntil is the time until which the process is suspended.
	stoppedUntil time.Duration
	// cutUntil is the time until which messages do not pass, and neither side is notified.
	cutUntil time.Duration
	pulling  bool
	// tickNumber numbers the scheduled ticks. Only the last one counts.
	tickNumber uint64
	links      map[distribution.StreamID]*link
	// slowLog is the additional delay of log entries.
	slowLog time.Duration

	// owner is the leader of the source, as far as it has applied the log.
	owner lease.Member
	term  uint64
}

// Fence accepts commands of the leader of the source, as far as the server has applied the log.
func (s *server) Fence(_ string, term uint64, who lease.Member) error {
	if term != s.term || who != s.owner {
		return lease.ErrStaleTerm
	}
	return nil
}

// restart starts a server's process with the log applied up to an entry: the last one, or an
// earlier one if its directory is older.
func (w *World) restart(s *server, l *lineage, applied int) {
	w.kill(s)
	s.up, s.stoppedUntil, s.lineage, s.applied = true, 0, l, 0
	s.owner, s.term = lease.Member{}, 0
	s.machine = distribution.NewMachine(s)
	for s.applied < applied {
		w.apply(s)
	}
	restored := distribution.NewMachine(s)
	if err := restored.Restore(s.machine.Snapshot()); err != nil {
		panic(err) // the machine wrote this snapshot itself
	}
	s.machine = restored
	s.publisher = distribution.NewPublisher(w.publisherSettings, s.machine.State(),
		rand.New(rand.NewPCG(w.random.Uint64(), 1)))
	s.machine.Updated = func(u distribution.Update) { w.updated(s, u) }
	w.pull(s)
	w.drive(s)
}

// kill ends a server's process. Its replicas are notified unless it is cut off.
func (w *World) kill(s *server) {
	s.incarnation++
	s.up, s.pulling = false, false
	for _, id := range slices.Sorted(maps.Keys(s.links)) {
		w.breakLink(s.links[id])
	}
	s.links = map[distribution.StreamID]*link{}
}

// onServer calls do for a server's process now, or when it resumes.
func (w *World) onServer(s *server, incarnation uint64, do func()) {
	switch {
	case !s.up || s.incarnation != incarnation:
	case w.now < s.stoppedUntil:
		w.at(s.stoppedUntil, func() { w.onServer(s, incarnation, do) })
	default:
		do()
		w.drive(s)
	}
}

// pull makes a server apply the log, each entry after a delay.
func (w *World) pull(s *server) {
	if !s.up || s.pulling || s.applied >= len(s.lineage.log) {
		return
	}
	s.pulling = true
	incarnation := s.incarnation
	delay := w.between(time.Millisecond, 10*time.Millisecond) + s.slowLog
	w.after(delay, func() {
		w.onServer(s, incarnation, func() {
			s.pulling = false
			if w.now >= s.cutUntil {
				w.apply(s)
			}
		})
		if !s.pulling {
			w.after(0, func() { w.pullSoon(s) })
		}
	})
}

// pullSoon continues to apply the log, for a server that is cut off when it is connected again.
func (w *World) pullSoon(s *server) {
	if w.now < s.cutUntil {
		w.at(s.cutUntil, func() { w.pull(s) })
		return
	}
	w.pull(s)
}

// apply applies the next entry.
func (w *World) apply(s *server) {
	next := s.lineage.log[s.applied]
	s.applied++
	if len(next.command) == 0 {
		s.term, s.owner = next.term, next.who
		return
	}
	s.machine.Apply(w.now, uint64(s.applied), next.who, next.command)
}

// updated passes a change to the publisher. If the change is urgent, it schedules the check that it
// reaches the replicas within urgentTimeout.
func (w *World) updated(s *server, u distribution.Update) {
	s.publisher.Update(w.now, u)
	if u.Delta == nil || !u.Delta.Urgent() {
		return
	}
	for _, id := range s.publisher.Streams() {
		l := s.links[id]
		if l == nil || !w.current(l, u.Delta) {
			continue
		}
		at := u.Delta.Position()
		w.after(urgentTimeout, func() {
			undisturbed := l.open && l.faults == 0 && w.now >= s.stoppedUntil &&
				s.incarnation == l.serverIncarnation
			if undisturbed && l.replica.client.Position().Compare(at) < 0 {
				w.breach(LateUrgent, "%s had %v, and %s on its stream does not after %v", s.id, at,
					l.replica.id, urgentTimeout)
			}
		})
	}
}

// current reports whether a link's replica had everything before a delta, and the link was never
// disturbed: the effect of a lost request shows only later.
func (w *World) current(l *link, d *distribution.Delta) bool {
	r := l.replica
	running := l.open && r.up && r.incarnation == l.replicaIncarnation && w.now >= r.stoppedUntil &&
		w.now >= l.server.stoppedUntil
	passing := l.faults == 0 && !r.slow && !w.blocked(l) && l.freeDown <= w.now
	at := r.client.Position()
	return running && passing && r.client.Live() && at.Revision == d.From && at.Epoch == d.Epoch
}

// drive sends the messages that a server's publisher has queued, and schedules its next tick.
func (w *World) drive(s *server) {
	for _, send := range s.publisher.Take(w.now) {
		if l := s.links[send.Stream]; l != nil {
			w.sendDown(l, send.Message)
		}
	}
	s.tickNumber++
	number, incarnation := s.tickNumber, s.incarnation
	w.at(s.publisher.NextTick(w.now), func() {
		if s.tickNumber == number {
			w.onServer(s, incarnation, func() { s.publisher.Tick(w.now) })
		}
	})
}

// handleRequest handles a replica's request, and ends the stream if the publisher rejects it.
func (w *World) handleRequest(s *server, l *link, m *distributionpb.WatchRequest) {
	if err := s.publisher.Received(w.now, l.id, m); err != nil {
		w.refused(err)
		w.breakLink(l)
	}
}
