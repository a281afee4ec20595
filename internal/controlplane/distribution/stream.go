package distribution

import (
	"cmp"
	"time"
)

// streamPhase is what a stream waits for.
type streamPhase int

const (
	phaseOpened   streamPhase = iota // the replica's Resume
	phaseAhead                       // this server to reach the replica's position
	phaseRetrying                    // the replica's Resume, after a time
	phaseDigests                     // digests are to be sent
	phaseFetching                    // the replica's FetchBuckets
	phaseBuckets                     // buckets are to be sent
	phaseLive                        // changes
)

// stream is what a Publisher knows of one.
type stream struct {
	id             StreamID
	replica        string
	phase          streamPhase
	writable       bool
	position       Position // up to which it was sent everything
	acknowledged   uint64
	controlQueue   []*Message // small ones that are due, at most one of a sort
	heartbeatDue   bool       // a heartbeat is due
	retryAt        time.Duration
	pinned         *pinnedState
	digestsSent    int      // messages of digests that were sent
	pendingBuckets []uint32 // still to be sent
}

// pinnedState is a state that resyncs are served from, while the newest goes on.
type pinnedState struct {
	state    *State
	position Position
	digests  []*Message
}

func compareStreams(a, b *stream) int { return cmp.Compare(a.id, b.id) }

// needsBulk tells whether digests or buckets are to be sent.
func (s *stream) needsBulk() bool { return s.phase == phaseDigests || s.phase == phaseBuckets }

// send adds a message to those that go out, if there is one; the stream takes no other before it
// was sent.
func (s *stream) send(sends []Send, m *Message) []Send {
	if m == nil {
		return sends
	}
	s.writable = false
	return append(sends, Send{s.id, m})
}
