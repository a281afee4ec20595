package distribution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// StreamID identifies a stream of a Publisher. The caller assigns the ids and never reuses one.
type StreamID uint64

// Send is a message to be sent on a stream. The stream gets no further message until the caller has
// called Sent for it.
type Send struct {
	Stream  StreamID
	Message *Message
}

// Publisher is the server's side of all its streams. The caller calls a method for each event, then
// sends what Take returns, and calls Tick at the time that NextTick returns.
//
// A stream has no queue of deltas. It has the position up to which everything was sent, and at most
// one message in flight. When the stream is writable again, it is sent all changes since that
// position as one merged delta. A slow reader therefore costs no memory and never sees a gap. A
// reader that falls behind the bounds of the log is resynced by buckets.
type Publisher struct {
	settings PublisherSettings
	random   *rand.Rand

	// state is the newest state. It is never modified.
	state    *State
	position Position
	log      *ChangeLog
	// publishedRevision is the revision up to which changes are sent to live streams. Later changes
	// wait for the end of the merge window.
	publishedRevision uint64
	// mergeAt is when the merge window ends if merging is set.
	mergeAt time.Duration
	merging bool

	term              uint64
	sourceCommandSeen bool
	// sourceCommandAt is when the source's last command was applied.
	sourceCommandAt time.Duration

	streams map[StreamID]*stream
	// sortedStreams holds the same streams, sorted by id.
	sortedStreams []*stream
	// deltas caches encoded deltas to the newest revision by the revision at which they begin.
	deltas      map[uint64]*Message
	heartbeatAt time.Duration
	started     bool
	admission   admission
	pinned      *pinnedState
	counts      PublisherCounts
}

// PublisherCounts holds the counters of a Publisher.
type PublisherCounts struct {
	// Deltas counts deltas sent, over all streams.
	Deltas     uint64 `json:"deltas"`
	DeltaBytes uint64 `json:"delta_bytes"`
	// Encoded counts deltas encoded. Streams at the same position share one.
	Encoded uint64 `json:"encoded"`
	// Resyncs counts admitted resyncs.
	Resyncs uint64 `json:"resyncs"`
	// Retries counts resyncs that were answered with a RetryLater.
	Retries uint64 `json:"retries"`
	// Buckets counts buckets sent.
	Buckets uint64 `json:"buckets"`
	// BulkBytes counts the bytes of digests and buckets.
	BulkBytes uint64 `json:"bulk_bytes"`
	// Divergences counts replicas whose digest differed from the log's at the same revision.
	Divergences uint64 `json:"divergences"`
	// BehindEvents counts replicas that were found to be ahead of this server.
	BehindEvents uint64 `json:"behind_events"`
}

// NewPublisher returns a publisher of a state, without streams. It uses random for jitter only.
func NewPublisher(settings PublisherSettings, state *State, random *rand.Rand) *Publisher {
	p := &Publisher{settings: settings, random: random, streams: map[StreamID]*stream{}}
	p.admission = admission{settings: &p.settings, admittedAt: map[StreamID]time.Duration{}}
	p.replaceState(state)
	return p
}

// replaceState sets a state whose difference from the previous one is unknown, and empties the log.
func (p *Publisher) replaceState(state *State) {
	p.state, p.position = state, state.Position()
	p.log = NewChangeLog(p.position, p.settings.Log)
	p.publishedRevision = p.position.Revision
	p.merging, p.deltas = false, map[uint64]*Message{}
}

// Position returns the position of the newest state.
func (p *Publisher) Position() Position { return p.position }

// Counts returns the counters.
func (p *Publisher) Counts() PublisherCounts { return p.counts }

// Acknowledged returns the earliest revision that a live stream has acknowledged, or the newest
// revision if no stream is live.
func (p *Publisher) Acknowledged() uint64 {
	earliest := p.position.Revision
	for _, s := range p.sortedStreams {
		if s.phase == phaseLive {
			earliest = min(earliest, s.acknowledged)
		}
	}
	return earliest
}

// Update handles an update of the Machine.
func (p *Publisher) Update(now time.Duration, u Update) {
	p.start(now)
	if !u.Restored {
		p.term, p.sourceCommandSeen, p.sourceCommandAt = u.Term, true, now
	}
	switch {
	case u.Restored:
		p.replaceState(u.State)
	case u.Delta != nil:
		p.appendDelta(now, u)
	default:
		return
	}
	for _, s := range p.sortedStreams {
		p.reassignPhase(now, s)
	}
}

// appendDelta adds a delta to the log. An urgent delta is published immediately, any other when the
// merge window ends.
func (p *Publisher) appendDelta(now time.Duration, u Update) {
	p.state, p.position = u.State, u.Delta.Position()
	p.log.Append(u.Delta)
	clear(p.deltas)
	if u.Delta.Urgent() {
		p.publish()
	} else if !p.merging {
		p.merging, p.mergeAt = true, now+p.settings.MergeWindow
	}
}

// publish ends the merge window and releases all changes to the live streams.
func (p *Publisher) publish() {
	p.merging, p.publishedRevision = false, p.position.Revision
}

// reassignPhase checks after a change of the state whether a stream can continue from its position,
// and assigns it a new phase if not.
func (p *Publisher) reassignPhase(now time.Duration, s *stream) {
	switch s.phase {
	case phaseAhead, phaseLive:
		if s.phase == phaseAhead && s.position.Compare(p.position) > 0 {
			return
		}
		lineageChanged := s.position.Epoch != p.position.Epoch
		aheadOfServer := s.position.Revision > p.position.Revision
		if s.phase == phaseAhead || lineageChanged || aheadOfServer {
			p.assignPhase(now, s, false)
		}
	}
}

// Open adds a stream, which is writable from the start. It returns a TooManyStreamsError if the
// limit is reached.
func (p *Publisher) Open(now time.Duration, id StreamID) error {
	p.start(now)
	if len(p.streams) >= p.settings.MaxStreams {
		return &TooManyStreamsError{Open: len(p.streams)}
	}
	s := &stream{id: id, writable: true}
	p.streams[id] = s
	index, _ := slices.BinarySearchFunc(p.sortedStreams, s, compareStreams)
	p.sortedStreams = slices.Insert(p.sortedStreams, index, s)
	return nil
}

// Close removes a stream. It does nothing if the stream is not open.
func (p *Publisher) Close(id StreamID) {
	s := p.streams[id]
	if s == nil {
		return
	}
	delete(p.streams, id)
	index, _ := slices.BinarySearchFunc(p.sortedStreams, s, compareStreams)
	p.sortedStreams = slices.Delete(p.sortedStreams, index, index+1)
	p.admission.release(id)
}

// Sent marks a stream as writable again after its last message was sent.
func (p *Publisher) Sent(id StreamID) {
	if s := p.streams[id]; s != nil {
		s.writable = true
	}
}

// Received handles a replica's request. If it returns an error (InvalidMessageError or
// WrongFleetError), the caller should end the stream with it and call Close.
func (p *Publisher) Received(now time.Duration, id StreamID, m *distributionpb.WatchRequest) error {
	p.start(now)
	s := p.streams[id]
	if s == nil {
		return nil // the stream was closed
	}
	switch r := m.GetRequest().(type) {
	case *distributionpb.WatchRequest_Resume:
		return p.handleResume(now, s, r.Resume)
	case *distributionpb.WatchRequest_Fetch:
		return p.handleFetch(s, r.Fetch)
	case *distributionpb.WatchRequest_Acknowledge:
		if r.Acknowledge.Epoch == s.position.Epoch {
			s.acknowledged = r.Acknowledge.Revision
		}
		return nil
	}
	return &InvalidMessageError{"request", "it is empty"}
}

func (p *Publisher) handleResume(now time.Duration, s *stream, m *distributionpb.Resume) error {
	if m.Fleet != p.settings.Fleet {
		return &WrongFleetError{Want: p.settings.Fleet, Got: m.Fleet}
	}
	position, err := PositionFromProto(m.Position)
	if err != nil {
		return err
	}
	if s.phase == phaseRetrying && now < s.retryAt {
		// The stream keeps its retry slot, and its replica must wait for it.
		s.controlQueue = []*Message{retryMessage(uint64(s.retryAt - now))}
		return nil
	}
	p.admission.release(s.id)
	s.replica, s.position, s.acknowledged = m.Replica, position, position.Revision
	s.controlQueue, s.heartbeatDue = nil, true
	p.assignPhase(now, s, m.Repair)
	return nil
}

// assignPhase decides how a stream continues from its position: with deltas, with a resync, or by
// waiting until the server has caught up with the replica.
func (p *Publisher) assignPhase(now time.Duration, s *stream, repair bool) {
	s.pinned, s.pendingBuckets, s.digestsSent = nil, nil, 0
	if s.position.Compare(p.position) > 0 {
		s.phase = phaseAhead
		s.controlQueue = []*Message{behindMessage(p.position)}
		p.counts.BehindEvents++
		return
	}
	logged, inLog := p.log.At(s.position.Revision)
	switch {
	case repair || s.position.Epoch != p.position.Epoch || !inLog:
		p.startResync(now, s)
	case logged.Digest != s.position.Digest:
		p.counts.Divergences++
		p.startResync(now, s)
	default:
		s.phase = phaseLive
	}
}

// startResync starts a resync, or sends the replica a delay after which to retry.
func (p *Publisher) startResync(now time.Duration, s *stream) {
	if after, ok := p.admission.admit(now, s.id, p.estimateResyncBytes(s), p.random); !ok {
		s.phase, s.retryAt = phaseRetrying, now+after
		s.controlQueue = []*Message{retryMessage(uint64(after))}
		p.counts.Retries++
		return
	}
	p.counts.Resyncs++
	if p.pinned == nil || p.pinned.position != p.position {
		p.pinned = &pinnedState{state: p.state, position: p.position}
	}
	s.phase, s.pinned, s.digestsSent = phaseDigests, p.pinned, 0
}

// estimateResyncBytes estimates the size of a resync: the whole state for a replica without one,
// otherwise all digests and the buckets of a typical gap.
func (p *Publisher) estimateResyncBytes(s *stream) int {
	if s.position.Epoch == 0 {
		return p.state.Bytes()
	}
	return BucketCount*DigestBytes + p.state.Bytes()/typicalGap
}

// typicalGap is the assumed gap of a replica that has a state: it lacks one record in typicalGap.
const typicalGap = 16

func (p *Publisher) handleFetch(s *stream, m *distributionpb.FetchBuckets) error {
	position, err := PositionFromProto(m.Position)
	if err != nil {
		return err
	}
	if s.phase != phaseFetching || position != s.pinned.position {
		return nil // a request for the buckets of an earlier resync
	}
	for i, index := range m.Buckets {
		if index >= BucketCount || i > 0 && index <= m.Buckets[i-1] {
			return &InvalidMessageError{
				"fetch", fmt.Sprintf("bucket %d is none, or out of order", index),
			}
		}
	}
	s.pendingBuckets, s.phase = m.Buckets, phaseBuckets
	if len(s.pendingBuckets) == 0 {
		p.finishResync(s)
	}
	return nil
}

// finishResync ends a resync. The stream continues from the position of the pinned state.
func (p *Publisher) finishResync(s *stream) {
	s.position, s.pinned, s.pendingBuckets, s.phase = s.pinned.position, nil, nil, phaseLive
	p.admission.release(s.id)
}

// start sets the timers at the first event.
func (p *Publisher) start(now time.Duration) {
	if !p.started {
		p.started, p.heartbeatAt = true, now+p.settings.HeartbeatInterval
		p.admission.start(now)
	}
}

// Tick ends a merge window that is over, and schedules heartbeats that are due.
func (p *Publisher) Tick(now time.Duration) {
	p.start(now)
	if p.merging && now >= p.mergeAt {
		p.publish()
	}
	if now < p.heartbeatAt {
		return
	}
	p.heartbeatAt = now + p.settings.HeartbeatInterval
	for _, s := range p.sortedStreams {
		s.heartbeatDue = s.phase != phaseOpened
	}
}

// NextTick returns the time at which Tick should be called unless an event is handled before.
func (p *Publisher) NextTick(now time.Duration) time.Duration {
	p.start(now)
	next := p.heartbeatAt
	if p.merging {
		next = min(next, p.mergeAt)
	}
	if p.bulkPending() {
		next = min(next, p.admission.availableAt(now))
	}
	return max(next, now)
}

// bulkPending reports whether a writable stream is waiting for digests or buckets.
func (p *Publisher) bulkPending() bool {
	return slices.ContainsFunc(p.sortedStreams, func(s *stream) bool {
		return s.writable && s.needsBulk()
	})
}

// Streams returns the ids of all streams in ascending order.
func (p *Publisher) Streams() []StreamID { return slices.Sorted(maps.Keys(p.streams)) }
