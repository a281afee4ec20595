package distribution

import (
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

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
		buckets = append(buckets, bucketToProto(s.buckets[0], b))
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
