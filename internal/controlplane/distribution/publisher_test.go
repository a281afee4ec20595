package distribution

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// publisherTest is a publisher under test with the state that it publishes.
type publisherTest struct {
	*testing.T
	state     *State
	publisher *Publisher
	now       time.Duration
}

func newPublisherTest(
	t *testing.T, configure func(*PublisherSettings), changes ...Change,
) *publisherTest {
	settings := DefaultPublisherSettings(testFleet)
	if configure != nil {
		configure(&settings)
	}
	state := stateOf(changes...)
	return &publisherTest{
		T:         t,
		state:     state,
		publisher: NewPublisher(settings, state.Clone(), testRandom()),
	}
}

// change applies changes to the state and passes the update to the publisher.
func (s *publisherTest) change(changes ...Change) *Delta {
	s.Helper()
	d := s.state.advance(0, changes)
	if d == nil {
		s.Fatal("the changes have no effect")
	}
	s.publisher.Update(s.now, Update{State: s.state.Clone(), Delta: d, Term: 1})
	return d
}

// open opens a stream and receives a Resume on it.
func (s *publisherTest) open(id StreamID, at Position, repair bool) {
	s.Helper()
	if err := s.publisher.Open(s.now, id); err != nil {
		s.Fatal(err)
	}
	s.resume(id, at, repair)
}

func (s *publisherTest) resume(id StreamID, at Position, repair bool) {
	s.Helper()
	err := s.receive(
		id,
		resumeRequest(&distributionpb.Resume{
			Fleet:    testFleet,
			Replica:  fmt.Sprint(id),
			Position: at.Proto(),
			Repair:   repair,
		}),
	)
	if err != nil {
		s.Fatal(err)
	}
}

func (s *publisherTest) receive(id StreamID, m *distributionpb.WatchRequest) error {
	return s.publisher.Received(s.now, id, m)
}

// take returns the messages that Take returns and reports them as sent.
func (s *publisherTest) take() []Send {
	sends := s.publisher.Take(s.now)
	for _, send := range sends {
		s.publisher.Sent(send.Stream)
	}
	return sends
}

// drain returns all messages that can be sent now, except heartbeats.
func (s *publisherTest) drain() []Send {
	var all []Send
	for {
		sends := s.take()
		if len(sends) == 0 {
			return all
		}
		for _, send := range sends {
			if send.Message.Response.GetHeartbeat() == nil {
				all = append(all, send)
			}
		}
	}
}

func (s *publisherTest) wait(span time.Duration) {
	s.now += span
	s.publisher.Tick(s.now)
}

// TestPublisherEncodesOnce checks that a delta is encoded once and that all streams are sent the
// same message.
func TestPublisherEncodesOnce(t *testing.T) {
	s := newPublisherTest(t, nil, ready("a", 1))
	for id := range StreamID(50) {
		s.open(id, s.state.Position(), false)
	}
	s.drain()
	s.change(draining("a"))
	sends := s.drain()
	if len(sends) != 50 || s.publisher.Counts().Encoded != 1 {
		t.Fatalf("%d messages, %d encoded", len(sends), s.publisher.Counts().Encoded)
	}
	for _, send := range sends {
		if send.Message != sends[0].Message {
			t.Fatal("the streams were sent different messages")
		}
	}
}

// TestPublisherMerges checks that changes within the merge window are merged, and that an urgent
// change ends the window.
func TestPublisherMerges(t *testing.T) {
	s := newPublisherTest(t, nil, ready("a", 1), ready("b", 1))
	s.open(1, s.state.Position(), false)
	s.drain()
	s.change(ready("a", 2))
	s.change(ready("a", 3))
	if sends := s.drain(); len(sends) > 0 {
		t.Fatalf("%v was sent before the merge window ended", sends)
	}
	if next := s.publisher.NextTick(s.now); next != s.publisher.settings.MergeWindow {
		t.Errorf("NextTick returns %v, want the end of the merge window", next)
	}
	s.wait(s.publisher.settings.MergeWindow)
	sends := s.drain()
	if len(sends) != 1 || len(sends[0].Message.Response.GetDelta().Changes) != 1 {
		t.Fatalf("%v was sent, want one delta of one change", sends)
	}
	s.change(ready("a", 4))
	s.change(draining("b"))
	sends = s.drain()
	if len(sends) != 1 {
		t.Fatal("an urgent change was not sent immediately")
	}
	if d := sends[0].Message.Response.GetDelta(); len(d.Changes) != 2 || d.Changes[0].Id != "b" ||
		d.To != 5 {
		t.Errorf("the delta is %v, want the changes of b and a up to revision 5", d)
	}
}

// TestPublisherMergesForSlowReader checks that a slow reader is sent all changes in one delta when
// it reads again, or digests if the log was compacted past its position.
func TestPublisherMergesForSlowReader(t *testing.T) {
	s := newPublisherTest(t, func(p *PublisherSettings) { p.Log.Entries = 10 }, ready("a", 1))
	from := s.state.Position()
	s.open(1, from, false)
	s.drain()
	s.change(draining("a"))
	s.publisher.Take(s.now) // in flight until Sent is called
	for n := range 8 {
		s.change(deleted("a"))
		s.change(ready("a", int64(n)))
	}
	for n := range 8 {
		s.change(draining(fmt.Sprint("b-", n)))
	}
	if sends := s.publisher.Take(s.now); len(sends) > 0 {
		t.Fatal("a stream that is not writable was sent a message")
	}
	s.publisher.Sent(1)
	if sends := s.drain(); len(sends) == 0 || sends[0].Message.Response.GetDigests() == nil {
		t.Fatalf("%v was sent, want digests", sends)
	}
	s.open(2, s.state.Position(), false)
	s.drain()
	s.change(draining("c"))
	s.publisher.Take(s.now)
	for n := range 5 {
		s.change(draining(fmt.Sprint("d-", n)))
	}
	s.publisher.Sent(2)
	sends := s.drain()
	if d := sends[len(sends)-1].Message.Response.GetDelta(); d == nil || len(d.Changes) != 5 {
		t.Errorf("%v was sent, want one delta of 5 changes last", sends)
	}
}

// TestPublisherAnswersResumes checks that a Resume is answered with digests if it asks for a
// repair, if its position was compacted, or if it has another epoch or digest, and otherwise with
// the changes since its position.
func TestPublisherAnswersResumes(t *testing.T) {
	s := newPublisherTest(t, func(p *PublisherSettings) { p.Log.Entries, p.MaxResyncs = 2, 100 },
		ready("a", 1))
	var positions []Position
	for n := range 5 {
		positions = append(positions, s.state.Position())
		s.change(draining(fmt.Sprint("b-", n)))
	}
	diverged, earlierEpoch := positions[4], positions[4]
	diverged.Digest.Low++
	earlierEpoch.Epoch--
	for i, test := range []struct {
		name    string
		at      Position
		repair  bool
		digests bool
		deltas  int
	}{
		{"compacted", positions[2], false, true, 0},
		{"within the log", positions[3], false, false, 1},
		{"the newest", s.state.Position(), false, false, 0},
		{"a repair", positions[4], true, true, 0},
		{"another digest", diverged, false, true, 0},
		{"an earlier epoch", earlierEpoch, false, true, 0},
		{"no state", NewState().Position(), false, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			id := StreamID(i)
			s.open(id, test.at, test.repair)
			digests, deltas := 0, 0
			for _, send := range s.drain() {
				if send.Message.Response.GetDigests() != nil {
					digests++
				}
				if send.Message.Response.GetDelta() != nil {
					deltas++
				}
			}
			if digests > 0 != test.digests || deltas != test.deltas {
				t.Errorf("%d messages of digests, want some: %t; %d deltas, want %d",
					digests, test.digests, deltas, test.deltas)
			}
		})
	}
}

// TestPublisherNotifiesReplicaAhead checks that a replica that is ahead of the server is sent a
// Behind message, and deltas once the server has caught up.
func TestPublisherNotifiesReplicaAhead(t *testing.T) {
	s := newPublisherTest(t, nil, ready("a", 1))
	ahead := s.state.Clone()
	delta := ahead.advance(0, []Change{draining("a")})
	s.open(1, ahead.Position(), false)
	if sends := s.drain(); len(sends) != 1 || sends[0].Message.Response.GetBehind() == nil {
		t.Fatalf("%v was sent, want one Behind", sends)
	}
	s.state.Apply(delta)
	s.publisher.Update(s.now, Update{State: s.state.Clone(), Delta: delta, Term: 1})
	if sends := s.drain(); len(sends) > 0 {
		t.Fatalf("%v was sent for a delta that the replica has", sends)
	}
	s.change(deleted("a"))
	if sends := s.drain(); len(sends) != 1 ||
		sends[0].Message.Response.GetDelta().GetFrom() != ahead.revision {
		t.Errorf("%v was sent, want one delta from revision %d", sends, ahead.revision)
	}
}

// TestPublisherLimitsResyncs checks that at most MaxResyncs resyncs run at a time, that the others
// get bounded retry delays, and that a stream that retries too early keeps its slot.
func TestPublisherLimitsResyncs(t *testing.T) {
	s := newPublisherTest(t, func(p *PublisherSettings) { p.MaxResyncs = 3 }, ready("a", 1))
	var last time.Duration
	for id := range StreamID(40) {
		s.open(id, NewState().Position(), false)
	}
	for _, send := range s.publisher.Take(s.now) {
		s.publisher.Sent(send.Stream)
	}
	retries := 0
	for _, send := range s.publisher.Take(s.now) {
		if r := send.Message.Response.GetRetry(); r != nil {
			retries++
			after := time.Duration(r.AfterNs)
			if after < s.publisher.settings.MinRetryDelay ||
				after > s.publisher.settings.MaxRetryDelay {
				t.Errorf("the retry delay is %v", after)
			}
			last = max(last, after)
		}
	}
	if retries != 37 || s.publisher.Counts().Resyncs != 3 {
		t.Fatalf("%d retries, want 37; %+v", retries, s.publisher.Counts())
	}
	before := s.publisher.streams[39].retryAt
	s.resume(39, NewState().Position(), false)
	if s.publisher.streams[39].retryAt != before || s.publisher.Counts().Retries != 37 {
		t.Error("a stream that retried too early was given another slot")
	}
	s.publisher.Close(0)
	s.wait(s.publisher.settings.MaxRetryDelay)
	s.resume(39, NewState().Position(), false)
	if s.publisher.Counts().Resyncs != 4 {
		t.Error("the slot of a closed stream was not given to another")
	}
}

// TestPublisherFreesSlotsOfSlowReaders checks that a slow reader holds its resync slot for at most
// ResyncSlotTimeout.
func TestPublisherFreesSlotsOfSlowReaders(t *testing.T) {
	s := newPublisherTest(t, func(p *PublisherSettings) { p.MaxResyncs = 1 }, ready("a", 1))
	s.open(1, NewState().Position(), false)
	s.wait(s.publisher.settings.ResyncSlotTimeout)
	s.open(2, NewState().Position(), false)
	if got := s.publisher.Counts().Resyncs; got != 2 {
		t.Errorf("%d resyncs were admitted, want 2", got)
	}
}

// TestPublisherLimitsBulkRate checks that digests and buckets are rate limited and that deltas are
// sent before them.
func TestPublisherLimitsBulkRate(t *testing.T) {
	const rate, burst = 50_000, 10_000
	s := newPublisherTest(t, func(p *PublisherSettings) {
		p.BulkBytesPerSecond, p.BulkBurstBytes, p.MaxResyncs = rate, burst, 100
	}, ready("a", 1))
	s.open(99, s.state.Position(), false)
	for id := range StreamID(10) {
		s.open(id, NewState().Position(), false)
	}
	for s.now < 3*time.Second {
		s.drain()
		allowed := float64(burst) + s.now.Seconds()*rate +
			float64(s.publisher.settings.BulkMessageBytes+100)
		if sent := s.publisher.Counts().BulkBytes; float64(sent) > allowed {
			t.Fatalf("%d bytes of digests and buckets were sent in %v", sent, s.now)
		}
		d := s.change(draining(fmt.Sprint(s.now)))
		sends := s.publisher.Take(s.now)
		if len(sends) == 0 || sends[0].Stream != 99 && sends[0].Message.Response.GetDelta() == nil {
			t.Fatalf("revision %d was not sent before digests and buckets", d.To)
		}
		for _, send := range sends {
			s.publisher.Sent(send.Stream)
		}
		next := s.publisher.NextTick(s.now)
		if next < s.now || next > s.now+s.publisher.settings.HeartbeatInterval {
			t.Fatalf("at %v NextTick returns %v", s.now, next)
		}
		s.wait(50 * time.Millisecond)
	}
	if sent := s.publisher.Counts().BulkBytes; float64(sent) < 0.9*3*rate {
		t.Errorf("only %d bytes of digests and buckets were sent", sent)
	}
}

// TestPublisherHeartbeats checks that a heartbeat is sent after HeartbeatInterval, is encoded once
// for all streams, and carries the age of the source's last command.
func TestPublisherHeartbeats(t *testing.T) {
	s := newPublisherTest(t, nil, ready("a", 1))
	s.open(1, s.state.Position(), false)
	s.open(2, s.state.Position(), false)
	s.drain()
	s.publisher.Update(s.now, Update{State: s.state.Clone(), Term: 4})
	s.wait(s.publisher.settings.HeartbeatInterval)
	sends := s.take()
	if len(sends) != 2 || sends[0].Message != sends[1].Message {
		t.Fatalf("%v was sent, want the same message on both streams", sends)
	}
	h := sends[0].Message.Response.GetHeartbeat()
	if h.Term != 4 || time.Duration(h.SourceAgeNs) != s.publisher.settings.HeartbeatInterval ||
		h.Fleet != testFleet {
		t.Errorf("the heartbeat is %v", h)
	}
}

// TestPublisherResyncsAfterSnapshot checks that a stream at another position than that of a
// restored snapshot is resynced.
func TestPublisherResyncsAfterSnapshot(t *testing.T) {
	s := newPublisherTest(t, nil, ready("a", 1))
	s.open(1, s.state.Position(), false)
	s.drain()
	s.state.advance(0, []Change{draining("a")})
	s.publisher.Update(s.now, Update{State: s.state.Clone(), Restored: true})
	if sends := s.drain(); len(sends) == 0 || sends[0].Message.Response.GetDigests() == nil {
		t.Errorf("%v was sent, want digests", sends)
	}
}

// TestPublisherRejectsInvalidRequests checks the error types for invalid requests, and that a
// request on a closed stream is ignored.
func TestPublisherRejectsInvalidRequests(t *testing.T) {
	s := newPublisherTest(t, func(p *PublisherSettings) { p.MaxStreams = 1 }, ready("a", 1))
	s.open(1, NewState().Position(), false)
	s.drain()
	at := s.state.Position()
	var fleet *WrongFleetError
	var message *InvalidMessageError
	for _, test := range []struct {
		name    string
		request *distributionpb.WatchRequest
		want    any
	}{
		{"another fleet", resumeRequest(&distributionpb.Resume{Fleet: "green"}), &fleet},
		{"an empty request", &distributionpb.WatchRequest{}, &message},
		{
			"a short digest",
			resumeRequest(&distributionpb.Resume{
				Fleet:    testFleet,
				Position: &distributionpb.Position{Epoch: 1},
			}),
			&message,
		},
		{
			"a revision without epoch",
			resumeRequest(&distributionpb.Resume{
				Fleet:    testFleet,
				Position: &distributionpb.Position{Revision: 1},
			}),
			&message,
		},
		{"no such bucket", fetchRequest(at, []uint32{BucketCount}), &message},
		{"a bucket twice", fetchRequest(at, []uint32{1, 1}), &message},
	} {
		if err := s.receive(1, test.request); !errors.As(err, test.want) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	if err := s.publisher.Open(s.now, 2); err == nil {
		t.Error("more than MaxStreams streams were opened")
	}
	if err := s.receive(7, &distributionpb.WatchRequest{}); err != nil {
		t.Errorf("a request on a closed stream: %v", err)
	}
}

// TestPublisherIgnoresOutdatedFetch checks that a FetchBuckets for an earlier resync is ignored.
func TestPublisherIgnoresOutdatedFetch(t *testing.T) {
	s := newPublisherTest(t, nil, ready("a", 1))
	old := s.state.Position()
	s.open(1, NewState().Position(), false)
	s.drain()
	s.change(draining("a"))
	s.resume(1, NewState().Position(), true)
	s.drain()
	if err := s.receive(1, fetchRequest(old, nil)); err != nil {
		t.Fatal(err)
	}
	if sends := s.drain(); len(sends) > 0 {
		t.Errorf("%v was sent", sends)
	}
}

// TestPublisherAcknowledged checks that Acknowledged returns the earliest revision acknowledged by
// a live stream.
func TestPublisherAcknowledged(t *testing.T) {
	s := newPublisherTest(t, nil, ready("a", 1))
	s.open(1, s.state.Position(), false)
	s.open(2, s.state.Position(), false)
	s.drain()
	s.change(draining("a"))
	s.drain()
	if err := s.receive(1, acknowledgeRequest(s.state.Position())); err != nil {
		t.Fatal(err)
	}
	if got := s.publisher.Acknowledged(); got != 1 {
		t.Errorf("revision %d is acknowledged, want 1", got)
	}
	if err := s.receive(2, acknowledgeRequest(s.state.Position())); err != nil {
		t.Fatal(err)
	}
	if got := s.publisher.Acknowledged(); got != 2 {
		t.Errorf("revision %d is acknowledged, want 2", got)
	}
}
