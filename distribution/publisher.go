package distribution

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mothcleat/internal/distributionpb"
)

// StreamID names one stream of a Publisher; its caller gives it and never gives it twice.
type StreamID uint64

// Send is a message that is to go out on a stream. The stream gets no further one before Sent was called for it.
type Send struct {
	Stream  StreamID
	Message *Message
}

// Publisher is a server's side of all its streams. Whoever drives it calls a method for each thing that happens, then
// Take and sends what that gives, and calls Tick when Wake says so.
//
// A stream has no queue: it has a position, up to which it was sent everything, and one message under way. When the
// stream takes the next one it gets all changes since, merged. So a slow reader costs no memory, gets no more than it
// can take, and is never left with a gap; past the bound of the log it is brought up to date by buckets.
type Publisher struct {
	settings PublisherSettings
	random   *rand.Rand

	state     *State // the newest; never changed
	position  Position
	log       *ChangeLog
	published uint64 // revision up to which live streams are to be sent changes at once
	mergeAt   time.Duration
	merging   bool

	term    uint64
	heard   bool
	heardAt time.Duration // of the source

	streams   map[StreamID]*stream
	order     []*stream // by id
	deltas    map[uint64]*Message
	beatAt    time.Duration
	begun     bool
	admission admission
	pin       *pin
	counts    PublisherCounts
}

// PublisherCounts count what a Publisher did.
type PublisherCounts struct {
	Deltas       uint64 `json:"deltas"` // sent, over all streams
	DeltaBytes   uint64 `json:"delta_bytes"`
	Encoded      uint64 `json:"encoded"`       // deltas encoded
	Resyncs      uint64 `json:"resyncs"`       // admitted
	Retries      uint64 `json:"retries"`       // resyncs that were told to come back
	Buckets      uint64 `json:"buckets"`       // sent
	BulkBytes    uint64 `json:"bulk_bytes"`    // of digests and buckets
	Divergences  uint64 `json:"divergences"`   // replicas that had another digest at a revision of the log
	BehindEvents uint64 `json:"behind_events"` // replicas that were ahead of this server
}

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
	id           StreamID
	replica      string
	phase        streamPhase
	writable     bool
	at           Position // up to which it was sent everything
	acknowledged uint64
	control      []*Message // small ones that are due, at most one of a sort
	beat         bool       // a heartbeat is due
	retryAt      time.Duration
	pin          *pin
	digests      int      // messages of digests that were sent
	buckets      []uint32 // still to be sent
}

// pin is a state that resyncs are served from, while the newest goes on.
type pin struct {
	state    *State
	position Position
	digests  []*Message
}

// NewPublisher makes a publisher of a state, without streams. The randomness is for jitter alone.
func NewPublisher(settings PublisherSettings, state *State, random *rand.Rand) *Publisher {
	p := &Publisher{settings: settings, random: random, streams: map[StreamID]*stream{}}
	p.admission = admission{settings: &p.settings, holders: map[StreamID]time.Duration{}}
	p.replace(state)
	return p
}

// replace sets the state where nothing is known of what lies between.
func (p *Publisher) replace(state *State) {
	p.state, p.position = state, state.Position()
	p.log = NewChangeLog(p.position, p.settings.Log)
	p.published = p.position.Revision
	p.merging, p.deltas = false, map[uint64]*Message{}
}

// Position is what the server has.
func (p *Publisher) Position() Position { return p.position }

// Counts is what was done so far.
func (p *Publisher) Counts() PublisherCounts { return p.counts }

// Acknowledged is the earliest revision that a live stream has acknowledged; the newest where there is no stream.
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
	p.begin(now)
	if !u.Restored {
		p.term, p.heard, p.heardAt = u.Term, true, now
	}
	switch {
	case u.Restored:
		p.replace(u.State)
	case u.Delta != nil:
		p.append(now, u)
	default:
		return
	}
	for _, s := range p.order {
		p.reconsider(now, s)
	}
}

func (p *Publisher) append(now time.Duration, u Update) {
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
	p.merging, p.published = false, p.position.Revision
}

// reconsider looks at a stream after the state has changed.
func (p *Publisher) reconsider(now time.Duration, s *stream) {
	switch s.phase {
	case phaseAhead, phaseLive:
		if s.phase == phaseAhead && s.at.Compare(p.position) > 0 {
			return
		}
		if s.phase == phaseAhead || s.at.Epoch != p.position.Epoch || s.at.Revision > p.position.Revision {
			p.place(now, s, false)
		}
	}
}

// Open adds a stream. It is writable from the start. It fails where there are too many.
func (p *Publisher) Open(now time.Duration, id StreamID) error {
	p.begin(now)
	if len(p.streams) >= p.settings.MaxStreams {
		return fmt.Errorf("distribution: %d streams are open, no more are taken", len(p.streams))
	}
	s := &stream{id: id, writable: true}
	p.streams[id] = s
	at, _ := slices.BinarySearchFunc(p.order, s, compareStreams)
	p.order = slices.Insert(p.order, at, s)
	return nil
}

func compareStreams(a, b *stream) int { return cmp.Compare(a.id, b.id) }

// Close forgets a stream.
func (p *Publisher) Close(id StreamID) {
	s := p.streams[id]
	if s == nil {
		return
	}
	delete(p.streams, id)
	at, _ := slices.BinarySearchFunc(p.order, s, compareStreams)
	p.order = slices.Delete(p.order, at, at+1)
	p.admission.leave(id)
}

// Sent tells that a stream takes the next message.
func (p *Publisher) Sent(id StreamID) {
	if s := p.streams[id]; s != nil {
		s.writable = true
	}
}

// Received takes in what a replica said. After an error the stream is to be ended with it, and closed.
func (p *Publisher) Received(now time.Duration, id StreamID, m *distributionpb.WatchRequest) error {
	p.begin(now)
	s := p.streams[id]
	if s == nil {
		return nil // it was closed
	}
	switch r := m.GetRequest().(type) {
	case *distributionpb.WatchRequest_Resume:
		return p.resume(now, s, r.Resume)
	case *distributionpb.WatchRequest_Fetch:
		return p.fetch(s, r.Fetch)
	case *distributionpb.WatchRequest_Acknowledge:
		if r.Acknowledge.Epoch == s.at.Epoch {
			s.acknowledged = r.Acknowledge.Revision
		}
		return nil
	}
	return &InvalidMessageError{"request", "it is empty"}
}

func (p *Publisher) resume(now time.Duration, s *stream, m *distributionpb.Resume) error {
	if m.Fleet != p.settings.Fleet {
		return &WrongFleetError{Want: p.settings.Fleet, Got: m.Fleet}
	}
	at, err := PositionFromProto(m.Position)
	if err != nil {
		return err
	}
	if s.phase == phaseRetrying && now < s.retryAt {
		s.control = []*Message{retryMessage(uint64(s.retryAt - now))} // it keeps its place, and comes no sooner
		return nil
	}
	p.admission.leave(s.id)
	s.replica, s.at, s.acknowledged = m.Replica, at, at.Revision
	s.control, s.beat = nil, true
	p.place(now, s, m.Repair)
	return nil
}

// place decides how a stream at a position goes on.
func (p *Publisher) place(now time.Duration, s *stream, repair bool) {
	s.pin, s.buckets, s.digests = nil, nil, 0
	if s.at.Compare(p.position) > 0 {
		s.phase = phaseAhead
		s.control = []*Message{behindMessage(p.position)}
		p.counts.BehindEvents++
		return
	}
	known, inLog := p.log.At(s.at.Revision)
	switch {
	case repair || s.at.Epoch != p.position.Epoch || !inLog:
		p.admit(now, s)
	case known.Digest != s.at.Digest:
		p.counts.Divergences++
		p.admit(now, s)
	default:
		s.phase = phaseLive
	}
}

// admit begins a resync, or has the replica come back.
func (p *Publisher) admit(now time.Duration, s *stream) {
	if after, ok := p.admission.enter(now, s.id, p.resyncBytes(s), p.random); !ok {
		s.phase, s.retryAt = phaseRetrying, now+after
		s.control = []*Message{retryMessage(uint64(after))}
		p.counts.Retries++
		return
	}
	p.counts.Resyncs++
	if p.pin == nil || p.pin.position != p.position {
		p.pin = &pin{state: p.state, position: p.position}
	}
	s.phase, s.pin, s.digests = phaseDigests, p.pin, 0
}

// resyncBytes is about what a resync sends: everything to a replica that has nothing.
func (p *Publisher) resyncBytes(s *stream) int {
	if s.at.Epoch == 0 {
		return p.state.Bytes()
	}
	return BucketCount*DigestBytes + p.state.Bytes()/typicalGap
}

// typicalGap is the part of a state that a replica which has something is taken to lack: one in so many records.
const typicalGap = 16

func (p *Publisher) fetch(s *stream, m *distributionpb.FetchBuckets) error {
	at, err := PositionFromProto(m.Position)
	if err != nil {
		return err
	}
	if s.phase != phaseFetching || at != s.pin.position {
		return nil // of a resync that was given up since
	}
	for i, index := range m.Buckets {
		if index >= BucketCount || i > 0 && index <= m.Buckets[i-1] {
			return &InvalidMessageError{"fetch", fmt.Sprintf("bucket %d is none, or out of order", index)}
		}
	}
	s.buckets, s.phase = m.Buckets, phaseBuckets
	if len(s.buckets) == 0 {
		p.resynced(s)
	}
	return nil
}

// resynced ends a resync: the stream has what was pinned.
func (p *Publisher) resynced(s *stream) {
	s.at, s.pin, s.buckets, s.phase = s.pin.position, nil, nil, phaseLive
	p.admission.leave(s.id)
}

// begin sets the clocks by the first event.
func (p *Publisher) begin(now time.Duration) {
	if !p.begun {
		p.begun, p.beatAt = true, now+p.settings.HeartbeatEvery
		p.admission.begin(now)
	}
}

// Tick takes in that time has passed.
func (p *Publisher) Tick(now time.Duration) {
	p.begin(now)
	if p.merging && now >= p.mergeAt {
		p.publish()
	}
	if now < p.beatAt {
		return
	}
	p.beatAt = now + p.settings.HeartbeatEvery
	for _, s := range p.order {
		s.beat = s.phase != phaseOpened
	}
}

// Wake is when Tick is to be called next, if nothing happens before.
func (p *Publisher) Wake(now time.Duration) time.Duration {
	p.begin(now)
	wake := p.beatAt
	if p.merging {
		wake = min(wake, p.mergeAt)
	}
	if p.bulkWaits() {
		wake = min(wake, p.admission.tokensAt(now))
	}
	return max(wake, now)
}

// bulkWaits tells whether a stream would take buckets or digests.
func (p *Publisher) bulkWaits() bool {
	return slices.ContainsFunc(p.order, func(s *stream) bool { return s.writable && s.bulk() })
}

func (s *stream) bulk() bool { return s.phase == phaseDigests || s.phase == phaseBuckets }

// Take gives what can be sent now. Changes and small messages of all streams go before any digests and buckets.
func (p *Publisher) Take(now time.Duration) []Send {
	p.begin(now)
	var sends []Send
	var beat *Message
	for _, s := range p.order {
		if !s.writable {
			continue
		}
		if s.beat && beat == nil {
			beat = p.heartbeat(now)
		}
		sends = s.send(sends, p.next(now, s, beat))
	}
	return p.takeBulk(now, sends)
}

func (s *stream) send(sends []Send, m *Message) []Send {
	if m == nil {
		return sends
	}
	s.writable = false
	return append(sends, Send{s.id, m})
}

func (p *Publisher) heartbeat(now time.Duration) *Message {
	m := &distributionpb.Heartbeat{Fleet: p.settings.Fleet, Position: p.position.Proto(), Term: p.term}
	if p.heard {
		m.SourceAgeNs = uint64(now - p.heardAt)
	} else {
		m.SourceAgeNs = uint64(now) // since the clock's beginning: it was never heard
	}
	return heartbeatMessage(m)
}

// next is a stream's next small message, or its next delta.
func (p *Publisher) next(now time.Duration, s *stream, beat *Message) *Message {
	if s.beat {
		s.beat = false
		return beat
	}
	if len(s.control) > 0 {
		m := s.control[0]
		s.control = s.control[1:]
		return m
	}
	if s.phase == phaseLive && s.at.Epoch != p.position.Epoch {
		p.place(now, s, false)
		return p.next(now, s, beat)
	}
	if s.phase != phaseLive || s.at.Revision >= p.published {
		return nil
	}
	delta := p.delta(s.at.Revision)
	if delta == nil {
		p.admit(now, s) // the log was compacted past the reader
		return p.next(now, s, beat)
	}
	s.at = p.position
	p.counts.Deltas++
	p.counts.DeltaBytes += uint64(len(delta.Bytes))
	return delta
}

// delta gives the changes since a revision, encoded once for all streams; nil where the log was compacted past it.
func (p *Publisher) delta(from uint64) *Message {
	if m := p.deltas[from]; m != nil {
		return m
	}
	d, ok := p.log.Since(from)
	if !ok {
		return nil
	}
	p.counts.Encoded++
	m := deltaMessage(d)
	p.deltas[from] = m
	return m
}

// takeBulk gives digests and buckets as far as the rate allows, one message a stream.
func (p *Publisher) takeBulk(now time.Duration, sends []Send) []Send {
	for _, s := range p.order {
		if !s.writable || !s.bulk() {
			continue
		}
		if !p.admission.tokens(now) {
			return sends
		}
		m := p.bulkMessage(s)
		p.admission.spend(len(m.Bytes))
		p.counts.BulkBytes += uint64(len(m.Bytes))
		sends = s.send(sends, m)
	}
	return sends
}

func (p *Publisher) bulkMessage(s *stream) *Message {
	if s.phase == phaseDigests {
		return p.digestsPart(s)
	}
	var buckets []*distributionpb.Bucket
	for size := 0; len(s.buckets) > 0; s.buckets = s.buckets[1:] {
		b := s.pin.state.buckets[s.buckets[0]]
		if size += b.bytes; len(buckets) > 0 && size > p.settings.BulkMessageBytes {
			break
		}
		m := &distributionpb.Bucket{Index: s.buckets[0], Records: appendRecords(nil, b.records)}
		buckets = append(buckets, m)
	}
	p.counts.Buckets += uint64(len(buckets))
	m := bucketsMessage(s.pin.position, buckets, len(s.buckets) == 0)
	if len(s.buckets) == 0 {
		p.resynced(s)
	}
	return m
}

// digestsPart is the next message of digests of a stream's resync.
func (p *Publisher) digestsPart(s *stream) *Message {
	if s.pin.digests == nil {
		sums := s.pin.state.Sums()
		part := max(1, p.settings.BulkMessageBytes/DigestBytes)
		for first := 0; first < len(sums); first += part {
			m := digestsMessage(s.pin.position, first, sums[first:min(first+part, len(sums))])
			s.pin.digests = append(s.pin.digests, m)
		}
	}
	m := s.pin.digests[s.digests]
	if s.digests++; s.digests == len(s.pin.digests) {
		s.phase = phaseFetching
	}
	return m
}

// Streams gives the ids of all streams, ascending.
func (p *Publisher) Streams() []StreamID { return slices.Sorted(maps.Keys(p.streams)) }
