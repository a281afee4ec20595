package gateway

import (
	"hash/maphash"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

const (
	// duplicateWindow is how long after an answer an equal one on the same connection may be its
	// duplicate.
	duplicateWindow policy.Time = 1_000_000
	// recentReplies is how many answers of a connection are compared with the next one.
	recentReplies = 4
)

// markerCommand has a reply that differs from all answers to requests. Because replies come in
// order, no answer to a command written before it can follow its reply.
var markerCommand = []byte("*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n")

func isMarkerReply(reply resp.Reply) bool { return reply.Kind == '+' && string(reply.Text) == "OK" }

// duplicateFilter tells the answer to the request in flight from a duplicate of an earlier answer,
// which some backends send some milliseconds late. An answer does not identify its request. One
// that equals a recent answer is therefore held, and a marker is written behind the request: if
// another answer comes before the marker's reply, the one that is held was a duplicate.
type duplicateFilter struct {
	recent [recentReplies]recentReply
	next   int // index in recent that is overwritten next

	awaitsMarker bool       // the marker's reply has not come yet
	held         *replyRead // may be a duplicate; nil: no answer is held
}

// recentReply is an answer that the connection carried.
type recentReply struct {
	digest uint64
	at     policy.Time // 0: there is none
}

var digestSeed = maphash.MakeSeed()

// replyDigest identifies an answer by its value, without what follows it, or by its text.
func replyDigest(reply resp.Reply) uint64 {
	content := reply.Text
	if holdsValue(reply) {
		content = reply.Items[0].Text
	}
	return maphash.Bytes(digestSeed, content) ^ uint64(reply.Kind)
}

// mayBeDuplicate reports whether an answer equals a recent one.
func (f *duplicateFilter) mayBeDuplicate(digest uint64, now policy.Time) bool {
	for _, earlier := range f.recent {
		if earlier.at != 0 && earlier.digest == digest && now-earlier.at < duplicateWindow {
			return true
		}
	}
	return false
}

// record remembers the answer to a request.
func (f *duplicateFilter) record(digest uint64, now policy.Time) {
	f.recent[f.next] = recentReply{digest: digest, at: now}
	f.next = (f.next + 1) % recentReplies
}

// filterDuplicate decides whether an answer is the one to the attempt in flight. It returns the
// answer to use, or false if none is known yet or the connection has ended.
func (g *Gateway) filterDuplicate(e replyRead) (replyRead, bool) {
	c := e.conn
	f := &c.duplicates
	if f.awaitsMarker {
		if !isMarkerReply(e.reply) {
			f.held = nil // it was a duplicate: the request's own answer is this one
			return e, true
		}
		f.awaitsMarker = false
		return g.markerReplied(e)
	}
	if c.attempt == nil || e.malformed || !f.mayBeDuplicate(e.digest, g.now()) {
		return e, true
	}
	if e.extraBytes || !c.writeMarker() {
		// The reader has ended, or the connection has: it is not known whose answer this is.
		g.backends.connEnded(g, c, false)
		return e, false
	}
	f.awaitsMarker = true
	f.held = &e
	return e, false
}

// markerReplied handles the marker's reply: a held answer was that of the request in flight.
// Without one, that answer came before, and the connection can be used again.
func (g *Gateway) markerReplied(marker replyRead) (replyRead, bool) {
	c := marker.conn
	held := c.duplicates.held
	c.duplicates.held = nil
	if held != nil {
		answer := *held
		answer.extraBytes = marker.extraBytes
		return answer, true
	}
	if marker.extraBytes {
		g.backends.connEnded(g, c, true)
		return marker, false
	}
	g.backends.release(g, c)
	return marker, false
}

// writeMarker writes the marker behind the request in flight. It returns false if the connection is
// broken or does not take it at once.
func (c *backendConn) writeMarker() bool {
	n, err := c.out.writeNow(markerCommand)
	return err == nil && n == len(markerCommand)
}
