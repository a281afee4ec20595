package distribution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// StreamID names one stream of a Publisher; its caller gives it and never gives it twice.
type StreamID uint64

// Send is a message that is to go out on a stream. The stream gets no further one before Sent was
// called for it.
type Send struct {
	Stream  StreamID
	Message *Message
}

// Publisher is a server's side of all its streams. Whoever drives it calls a method for each thing
// that happens, then Take and sends what that gives, and calls Tick when Wake says so.
//
// A stream has no queue: it has a position, up to which it was sent everything, and one message
// under way. When the stream takes the next one it gets all changes since, merged. So a slow reader
// costs no memory, gets no more than it can take, and is never left with a gap; past the bound of
// the log it is brought up to date by buckets.
type Publisher struct {
	settings PublisherSettings
	random   *rand.Rand

	state             *State // the newest; never changed
	position          Position
	log               *ChangeLog
	publishedRevision uint64 // revision up to which live streams are to be sent changes at once
	mergeAt           time.Duration
	merging           bool

	term          uint64
	sourceHeard   bool
	sourceHeardAt time.Duration // of the source

	streams     map[StreamID]*stream
	order       []*stream // by id
	deltas      map[uint64]*Message
	heartbeatAt time.Duration
	started     bool
	admission   admission
	pinned      *pinnedState
	counts      PublisherCounts
}

// PublisherCounts count what a Publisher did.
type PublisherCounts struct {
	Deltas     uint64 `json:"deltas"` // sent, over all streams
	DeltaBytes uint64 `json:"delta_bytes"`
	Encoded    uint64 `json:"encoded"`    // deltas encoded
	Resyncs    uint64 `json:"resyncs"`    // admitted
	Retries    uint64 `json:"retries"`    // resyncs that were told to come back
	Buckets    uint64 `json:"buckets"`    // sent
	BulkBytes  uint64 `json:"bulk_bytes"` // of digests and buckets
	// replicas that had another digest at a revision of the log
	Divergences  uint64 `json:"divergences"`
	BehindEvents uint64 `json:"behind_events"` // replicas that were ahead of this server
}

// NewPublisher makes a publisher of a state, without streams. The randomness is for jitter alone.
func NewPublisher(settings PublisherSettings, state *State, random *rand.Rand) *Publisher {
	p := &Publisher{settings: settings, random: random, streams: map[StreamID]*stream{}}
	p.admission = admission{settings: &p.settings, admittedAt: map[StreamID]time.Duration{}}
	p.replace(state)
	return p
}

// replace sets the state where nothing is known of what lies between.
func (p *Publisher) replace(state *State) {
	p.state, p.position = state, state.Position()
	p.log = NewChangeLog(p.position, p.settings.Log)
	p.publishedRevision = p.position.Revision
	p.merging, p.deltas = false, map[uint64]*Message{}
}

// Position is what the server has.
func (p *Publisher) Position() Position { return p.position }

// Counts is what was done so far.
func (p *Publisher) Counts() PublisherCounts { return p.counts }

// Acknowledged is the earliest revision that a live stream has acknowledged; the newest where there
// is no stream.
func (p *Publisher) Acknowledged() uint64 {
	earliest := p.position.Revision
	for _, s := range p.order {
		if s.phase == phaseLive {
			earliest = min(earliest, s.acknowledged)
		}
	}
	return earliest
}

// Update takes in what the machine's Updated tells.
func (p *Publisher) Update(now time.Duration, u Update) {
	p.start(now)
	if !u.Restored {
		p.term, p.sourceHeard, p.sourceHeardAt = u.Term, true, now
	}
	switch {
	case u.Restored:
		p.replace(u.State)
	case u.Delta != nil:
		p.appendDelta(now, u)
	default:
		return
	}
	for _, s := range p.order {
		p.reroute(now, s)
	}
}

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

// publish ends the window in which changes are merged.
func (p *Publisher) publish() {
	p.merging, p.publishedRevision = false, p.position.Revision
}

// reroute looks at a stream after the state has changed.
func (p *Publisher) reroute(now time.Duration, s *stream) {
	switch s.phase {
	case phaseAhead, phaseLive:
		if s.phase == phaseAhead && s.position.Compare(p.position) > 0 {
			return
		}
		if s.phase == phaseAhead || s.position.Epoch != p.position.Epoch ||
			s.position.Revision > p.position.Revision {
			p.route(now, s, false)
		}
	}
}

// Open adds a stream. It is writable from the start. It fails where there are too many.
func (p *Publisher) Open(now time.Duration, id StreamID) error {
	p.start(now)
	if len(p.streams) >= p.settings.MaxStreams {
		return fmt.Errorf("distribution: %d streams are open, no more are taken", len(p.streams))
	}
	s := &stream{id: id, writable: true}
	p.streams[id] = s
	at, _ := slices.BinarySearchFunc(p.order, s, compareStreams)
	p.order = slices.Insert(p.order, at, s)
	return nil
}

// Close forgets a stream.
func (p *Publisher) Close(id StreamID) {
	s := p.streams[id]
	if s == nil {
		return
	}
	delete(p.streams, id)
	at, _ := slices.BinarySearchFunc(p.order, s, compareStreams)
	p.order = slices.Delete(p.order, at, at+1)
	p.admission.release(id)
}

// Sent tells that a stream takes the next message.
func (p *Publisher) Sent(id StreamID) {
	if s := p.streams[id]; s != nil {
		s.writable = true
	}
}

// Received takes in what a replica said. After an error the stream is to be ended with it, and
// closed.
func (p *Publisher) Received(now time.Duration, id StreamID, m *distributionpb.WatchRequest) error {
	p.start(now)
	s := p.streams[id]
	if s == nil {
		return nil // it was closed
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
	at, err := PositionFromProto(m.Position)
	if err != nil {
		return err
	}
	if s.phase == phaseRetrying && now < s.retryAt {
		// it keeps its place, and comes no sooner
		s.controlQueue = []*Message{retryMessage(uint64(s.retryAt - now))}
		return nil
	}
	p.admission.release(s.id)
	s.replica, s.position, s.acknowledged = m.Replica, at, at.Revision
	s.controlQueue, s.heartbeatDue = nil, true
	p.route(now, s, m.Repair)
	return nil
}

// route decides how a stream at a position goes on.
func (p *Publisher) route(now time.Duration, s *stream, repair bool) {
	s.pinned, s.pendingBuckets, s.digestsSent = nil, nil, 0
	if s.position.Compare(p.position) > 0 {
		s.phase = phaseAhead
		s.controlQueue = []*Message{behindMessage(p.position)}
		p.counts.BehindEvents++
		return
	}
	known, inLog := p.log.At(s.position.Revision)
	switch {
	case repair || s.position.Epoch != p.position.Epoch || !inLog:
		p.startResync(now, s)
	case known.Digest != s.position.Digest:
		p.counts.Divergences++
		p.startResync(now, s)
	default:
		s.phase = phaseLive
	}
}

// startResync begins a resync, or has the replica come back.
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

// estimateResyncBytes is about what a resync sends: everything to a replica that has nothing.
func (p *Publisher) estimateResyncBytes(s *stream) int {
	if s.position.Epoch == 0 {
		return p.state.Bytes()
	}
	return BucketCount*DigestBytes + p.state.Bytes()/typicalGap
}

// typicalGap is the part of a state that a replica which has something is taken to lack: one in so
// many records.
const typicalGap = 16

func (p *Publisher) handleFetch(s *stream, m *distributionpb.FetchBuckets) error {
	at, err := PositionFromProto(m.Position)
	if err != nil {
		return err
	}
	if s.phase != phaseFetching || at != s.pinned.position {
		return nil // of a resync that was given up since
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

// finishResync ends a resync: the stream has what was pinned.
func (p *Publisher) finishResync(s *stream) {
	s.position, s.pinned, s.pendingBuckets, s.phase = s.pinned.position, nil, nil, phaseLive
	p.admission.release(s.id)
}

// start sets the clocks by the first event.
func (p *Publisher) start(now time.Duration) {
	if !p.started {
		p.started, p.heartbeatAt = true, now+p.settings.HeartbeatInterval
		p.admission.start(now)
	}
}

// Tick takes in that time has passed.
func (p *Publisher) Tick(now time.Duration) {
	p.start(now)
	if p.merging && now >= p.mergeAt {
		p.publish()
	}
	if now < p.heartbeatAt {
		return
	}
	p.heartbeatAt = now + p.settings.HeartbeatInterval
	for _, s := range p.order {
		s.heartbeatDue = s.phase != phaseOpened
	}
}

// Wake is when Tick is to be called next, if nothing happens before.
func (p *Publisher) Wake(now time.Duration) time.Duration {
	p.start(now)
	wake := p.heartbeatAt
	if p.merging {
		wake = min(wake, p.mergeAt)
	}
	if p.bulkPending() {
		wake = min(wake, p.admission.availableAt(now))
	}
	return max(wake, now)
}

// bulkPending tells whether a stream would take buckets or digests.
func (p *Publisher) bulkPending() bool {
	return slices.ContainsFunc(p.order, func(s *stream) bool { return s.writable && s.needsBulk() })
}

// Streams gives the ids of all streams, ascending.
func (p *Publisher) Streams() []StreamID { return slices.Sorted(maps.Keys(p.streams)) }
