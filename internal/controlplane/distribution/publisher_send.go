package distribution

import (
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// Take returns the messages that can be sent now, at most one for each stream. The deltas and
// control messages of all streams come before any digests and buckets.
func (p *Publisher) Take(now time.Duration) []Send {
	p.start(now)
	var sends []Send
	var heartbeat *Message
	for _, s := range p.sortedStreams {
		if !s.writable {
			continue
		}
		if s.heartbeatDue && heartbeat == nil {
			heartbeat = p.heartbeat(now)
		}
		sends = s.send(sends, p.nextMessage(now, s, heartbeat))
	}
	return p.takeBulk(now, sends)
}

func (p *Publisher) heartbeat(now time.Duration) *Message {
	m := &distributionpb.Heartbeat{
		Fleet:    p.settings.Fleet,
		Position: p.position.Proto(),
		Term:     p.term,
	}
	if p.sourceCommandSeen {
		m.SourceAgeNs = uint64(now - p.sourceCommandAt)
	} else {
		m.SourceAgeNs = uint64(now) // no command of the source since the clock's start
	}
	return heartbeatMessage(m)
}

// nextMessage returns a stream's next heartbeat, control message or delta, or nil if there is none.
func (p *Publisher) nextMessage(now time.Duration, s *stream, heartbeat *Message) *Message {
	if s.heartbeatDue {
		s.heartbeatDue = false
		return heartbeat
	}
	if len(s.controlQueue) > 0 {
		m := s.controlQueue[0]
		s.controlQueue = s.controlQueue[1:]
		return m
	}
	if s.phase == phaseLive && s.position.Epoch != p.position.Epoch {
		p.assignPhase(now, s, false)
		return p.nextMessage(now, s, heartbeat)
	}
	if s.phase != phaseLive || s.position.Revision >= p.publishedRevision {
		return nil
	}
	delta := p.deltaSince(s.position.Revision)
	if delta == nil {
		p.startResync(now, s) // the log was compacted past the replica's position
		return p.nextMessage(now, s, heartbeat)
	}
	s.position = p.position
	p.counts.Deltas++
	p.counts.DeltaBytes += uint64(len(delta.Bytes))
	return delta
}

// deltaSince returns the changes since a revision as one delta, encoded once for all streams. It
// returns nil if the log was compacted past the revision.
func (p *Publisher) deltaSince(from uint64) *Message {
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

// takeBulk appends digests and buckets as far as the rate limit allows, one message for each
// stream.
func (p *Publisher) takeBulk(now time.Duration, sends []Send) []Send {
	for _, s := range p.sortedStreams {
		if !s.writable || !s.needsBulk() {
			continue
		}
		if !p.admission.available(now) {
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
		return p.nextDigests(s)
	}
	var buckets []*distributionpb.Bucket
	for size := 0; len(s.pendingBuckets) > 0; s.pendingBuckets = s.pendingBuckets[1:] {
		b := s.pinned.state.buckets[s.pendingBuckets[0]]
		if size += b.bytes; len(buckets) > 0 && size > p.settings.BulkMessageBytes {
			break
		}
		buckets = append(buckets, bucketToProto(s.pendingBuckets[0], b))
	}
	p.counts.Buckets += uint64(len(buckets))
	m := bucketsMessage(s.pinned.position, buckets, len(s.pendingBuckets) == 0)
	if len(s.pendingBuckets) == 0 {
		p.finishResync(s)
	}
	return m
}

// nextDigests returns the next message of digests of a stream's resync. The messages are encoded
// once for all streams that resync from the same pinned state.
func (p *Publisher) nextDigests(s *stream) *Message {
	if s.pinned.digests == nil {
		sums := s.pinned.state.Sums()
		perMessage := max(1, p.settings.BulkMessageBytes/DigestBytes)
		for first := 0; first < len(sums); first += perMessage {
			m := digestsMessage(s.pinned.position, first,
				sums[first:min(first+perMessage, len(sums))])
			s.pinned.digests = append(s.pinned.digests, m)
		}
	}
	m := s.pinned.digests[s.digestsSent]
	if s.digestsSent++; s.digestsSent == len(s.pinned.digests) {
		s.phase = phaseFetching
	}
	return m
}
