package distribution

import (
	"cmp"
	"time"
)

// streamPhase is the state of a stream, named by what the stream is waiting for.
type streamPhase int

const (
	phaseOpened   streamPhase = iota // the replica's first Resume
	phaseAhead                       // this server to reach the replica's position
	phaseRetrying                    // the replica's Resume after a delay
	phaseDigests                     // the sending of digests
	phaseFetching                    // the replica's FetchBuckets
	phaseBuckets                     // the sending of buckets
	phaseLive                        // new changes
)

// stream is the publisher's view of one stream.
type stream struct {
	id       StreamID
	replica  string
	phase    streamPhase
	writable bool
	// position is the position up to which everything was sent.
	position     Position
	acknowledged uint64
	// controlQueue holds the control messages that are due, at most one of each type.
	controlQueue []*Message
	heartbeatDue bool
	retryAt      time.Duration
	pinned       *pinnedState
	// digestsSent is the number of digest messages sent.
	digestsSent int
	// pendingBuckets are the indexes of the buckets still to be sent.
	pendingBuckets []uint32
}

// pinnedState is a state from which resyncs are served while newer states are published.
type pinnedState struct {
	state    *State
	position Position
	digests  []*Message
}

func compareStreams(a, b *stream) int { return cmp.Compare(a.id, b.id) }

// needsBulk reports whether the stream is waiting for digests or buckets.
func (s *stream) needsBulk() bool { return s.phase == phaseDigests || s.phase == phaseBuckets }

// send appends a message to sends and marks the stream as not writable until Sent is called. It
// does nothing if the message is nil.
func (s *stream) send(sends []Send, m *Message) []Send {
	if m == nil {
		return sends
	}
	s.writable = false
	return append(sends, Send{s.id, m})
}
