package distribution

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
)

const (
	fastBytesPerSecond = 10 << 20
	slowBytesPerSecond = 2 << 10
	keepaliveAfter     = 10 * time.Second
)

// link is one stream between a replica and a server. It keeps the order of messages.
type link struct {
	id                 distribution.StreamID
	server             *server
	serverIncarnation  uint64
	replica            *replica
	replicaIncarnation uint64
	attempt            uint64
	open               bool
	// cut is set if messages no longer pass in either direction, and neither side is notified.
	cut bool
	// faults counts disturbances.
	faults int
	// freeDown is when the next message to the replica may begin.
	freeDown time.Duration
	// lastDown is when the last message to the replica arrives.
	lastDown time.Duration
	lastUp   time.Duration
	// retryAt is the earliest time at which the replica may resume.
	retryAt time.Duration
}

var errBroken = errors.New("the stream is broken")

// connect opens a stream for an attempt of a replica.
func (w *World) connect(r *replica, c distribution.Connect) {
	incarnation := r.incarnation
	var s *server
	for _, candidate := range w.servers {
		if candidate.id == c.Server.ID {
			s = candidate
		}
	}
	w.after(w.between(time.Millisecond, 10*time.Millisecond), func() {
		switch {
		case w.now < s.cutUntil || w.now < s.stoppedUntil || w.chance("no connection", 40):
			return // no response, as when packets are dropped
		case !s.up:
			w.onReplica(r, incarnation, func() {
				r.client.Disconnected(w.now, c.Attempt, errBroken)
			})
			return
		}
		w.streams++
		l := &link{
			id:                 w.streams,
			server:             s,
			serverIncarnation:  s.incarnation,
			replica:            r,
			replicaIncarnation: incarnation,
			attempt:            c.Attempt,
			open:               true,
		}
		w.onServer(s, s.incarnation, func() {
			if err := s.publisher.Open(w.now, l.id); err != nil {
				panic(err) // the number of streams is far below the bound
			}
			s.links[l.id] = l
		})
		w.onReplica(r, incarnation, func() {
			r.link = l
			r.client.Connected(w.now, c.Attempt)
		})
		if w.chance("stream cut", 30) {
			w.after(w.between(0, 3*time.Second), func() {
				l.cut = true
				l.faults++
			})
		} else if w.chance("stream broken", 30) {
			w.after(w.between(0, 3*time.Second), func() { w.breakLink(l) })
		}
	})
}

// blocked reports whether messages do not pass.
func (w *World) blocked(l *link) bool { return l.cut || w.now < l.server.cutUntil }

// breakLink ends a stream. Both sides are notified soon unless messages do not pass; in that case
// only the server is notified, by the transport's keepalive.
func (w *World) breakLink(l *link) {
	if !l.open {
		return
	}
	l.open = false
	l.faults++
	w.closed(l)
	if w.blocked(l) {
		return
	}
	w.after(w.between(0, 10*time.Millisecond), func() {
		w.onReplica(l.replica, l.replicaIncarnation, func() {
			l.replica.client.Disconnected(w.now, l.attempt, errBroken)
		})
	})
}

// closed notifies the server that a stream has ended: within 10 ms, or by the transport's keepalive
// if messages do not pass.
func (w *World) closed(l *link) {
	delay := w.between(0, 10*time.Millisecond)
	if w.blocked(l) {
		delay = keepaliveAfter
	}
	w.after(delay, func() {
		w.onServer(l.server, l.serverIncarnation, func() {
			l.server.publisher.Close(l.id)
			delete(l.server.links, l.id)
		})
	})
}

// sendDown sends a message to the replica, at the rate at which the replica reads.
func (w *World) sendDown(l *link, m *distribution.Message) {
	rate := fastBytesPerSecond
	if l.replica.slow {
		rate = slowBytesPerSecond
	}
	l.freeDown = max(w.now, l.freeDown) +
		time.Duration(float64(len(m.Bytes))/float64(rate)*float64(time.Second))
	w.at(l.freeDown, func() {
		w.onServer(l.server, l.serverIncarnation, func() { l.server.publisher.Sent(l.id) })
	})
	l.lastDown = max(l.lastDown, l.freeDown+w.between(time.Millisecond, 5*time.Millisecond))
	raw := m.Bytes
	arrives := func() { w.arrived(l, raw, m) }
	switch {
	case w.chance("lost", lostOneIn(m)):
		l.faults++
		return
	case w.chance("damaged", 200):
		l.faults++
		raw = bytes.Clone(raw)
		raw[w.random.IntN(len(raw))] ^= byte(1 + w.random.IntN(255))
	case w.chance("doubled", 300):
		l.faults++
		w.at(l.lastDown, arrives)
	}
	w.at(l.lastDown, arrives)
}

// lostOneIn returns n if one in n such messages is lost. Messages with buckets are rare, and are
// therefore lost more often.
func lostOneIn(m *distribution.Message) int {
	if m.Response.GetBuckets() != nil {
		return 40
	}
	return 300
}

// arrived delivers a message to the replica. A message that can't be decoded ends the stream, as it
// does in a real stream.
func (w *World) arrived(l *link, raw []byte, sent *distribution.Message) {
	if !l.open || w.blocked(l) {
		return
	}
	var m distributionpb.WatchResponse
	if proto.Unmarshal(raw, &m) != nil {
		w.breakLink(l)
		return
	}
	w.onReplica(l.replica, l.replicaIncarnation, func() {
		if retry := m.GetRetry(); retry != nil && proto.Equal(&m, sent.Response) {
			l.retryAt = w.now + time.Duration(retry.AfterNs)
		}
		l.replica.client.Received(w.now, l.attempt, &m)
	})
}

// sendUp sends a request to the server.
func (w *World) sendUp(l *link, m *distributionpb.WatchRequest) {
	if m.GetResume() != nil {
		if w.now < l.retryAt {
			w.breach(EarlyResume, "%s came back to %s %v too early", l.replica.id, l.server.id,
				l.retryAt-w.now)
		}
		l.retryAt = 0
	}
	if w.chance("request lost", 300) {
		l.faults++
		return
	}
	l.lastUp = max(l.lastUp, w.now+w.between(time.Millisecond, 5*time.Millisecond))
	w.at(l.lastUp, func() {
		if l.open && !w.blocked(l) {
			w.onServer(l.server, l.serverIncarnation, func() { w.handleRequest(l.server, l, m) })
		}
	})
}

// refused counts an error by its type.
func (w *World) refused(err error) { w.result.Refused[fmt.Sprintf("%T", err)]++ }
