package distribution

import (
	"cmp"
	"time"
)

// streamPhase is what a stream is waiting for.
type streamPhase int

const (
	phaseOpened   streamPhase = iota // for the replica's first Resume
	phaseAhead                       // for this server to reach the replica's position
	phaseRetrying                    // for the replica's Resume after a delay
	phaseDigests                     // to be sent digests
	phaseFetching                    // for the replica's FetchBuckets
	phaseBuckets                     // to be sent buckets
	phaseLive                        // for changes
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
	// controlQueue has the small messages that are due, at most one of each type.
	controlQueue []*Message
	heartbeatDue bool
	retryAt      time.Duration
	pinned       *pinnedState
	// digestsSent counts the messages of digests that were sent.
	digestsSent int
	// pendingBuckets are the indexes of the buckets still to be sent.
	pendingBuckets []uint32
}

// pinnedState is a state that resyncs are served from while newer states are published.
type pinnedState struct {
	state    *State
	position Position
	digests  []*Message
}

func compareStreams(a, b *stream) int { return cmp.Compare(a.id, b.id) }

// needsBulk reports whether digests or buckets should be sent.
func (s *stream) needsBulk() bool { return s.phase == phaseDigests || s.phase == phaseBuckets }

// send appends a message, if there is one, and marks the stream as not writable until Sent is
// called.
func (s *stream) send(sends []Send, m *Message) []Send {
	if m == nil {
		return sends
	}
	s.writable = false
	return append(sends, Send{s.id, m})
}
