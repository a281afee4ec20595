package distribution

import (
	"maps"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mothcleat/internal/controlplane/distributionpb"
)

// streamTest connects a publisher and a replica by a stream whose messages the test delivers one at
// a time.
type streamTest struct {
	*rapid.T
	state     *State
	publisher *Publisher
	replica   *Replica
	now       time.Duration
	stream    StreamID
	attempt   uint64
	// responses and requests are the messages in flight.
	responses []*distributionpb.WatchResponse
	requests  []*distributionpb.WatchRequest
	// delivered has the records that the gateway was delivered, by kind and id.
	delivered         map[string]string
	deliveredPosition Position
}

// runActions carries out the replica's actions and takes the publisher's messages.
func (w *streamTest) runActions() {
	for _, action := range w.replica.Take() {
		switch a := action.(type) {
		case Connect:
			w.stream, w.attempt, w.responses, w.requests = w.stream+1, a.Attempt, nil, nil
			if err := w.publisher.Open(w.now, w.stream); err != nil {
				w.Fatal(err)
			}
			w.replica.Connected(w.now, a.Attempt)
			w.runActions()
		case Disconnect:
			w.publisher.Close(w.stream)
		case SendRequest:
			w.requests = append(w.requests, a.Request)
		case Deliver:
			w.deliver(a)
		}
	}
	for _, send := range w.publisher.Take(w.now) {
		w.responses = append(w.responses, send.Message.Response)
	}
}

func (w *streamTest) deliver(d Deliver) {
	if d.Position.Compare(w.deliveredPosition) < 0 {
		w.Fatalf("the delivered position went back from %v to %v", w.deliveredPosition, d.Position)
	}
	w.deliveredPosition = d.Position
	for _, c := range d.Changes {
		if key := c.Kind.String() + c.ID; c.Deleted {
			delete(w.delivered, key)
		} else {
			w.delivered[key] = string(c.Value)
		}
	}
}

// carryMessages delivers one message in each direction.
func (w *streamTest) carryMessages() {
	if len(w.requests) > 0 {
		m := w.requests[0]
		w.requests = w.requests[1:]
		if err := w.publisher.Received(w.now, w.stream, m); err != nil {
			w.Fatal(err)
		}
	}
	if len(w.responses) > 0 {
		m := w.responses[0]
		w.responses = w.responses[1:]
		w.publisher.Sent(w.stream)
		w.replica.Received(w.now, w.attempt, m)
	}
	w.runActions()
}

// loseMessage drops the next response. If damage is set and the response is a delta with changes,
// it removes the first change instead.
func (w *streamTest) loseMessage(damage bool) {
	if len(w.responses) == 0 {
		return
	}
	if d := w.responses[0].GetDelta(); damage && d != nil && len(d.Changes) > 0 {
		damaged := proto.Clone(w.responses[0]).(*distributionpb.WatchResponse)
		damaged.GetDelta().Changes = damaged.GetDelta().Changes[1:]
		w.responses[0] = damaged
		return
	}
	w.responses = w.responses[1:]
	w.publisher.Sent(w.stream)
}

func (w *streamTest) change(changes []Change) {
	if d := w.state.advance(0, changes); d != nil {
		w.publisher.Update(w.now, Update{State: w.state.Clone(), Delta: d, Term: 1})
	}
}

func (w *streamTest) tick(span time.Duration) {
	w.now += span
	w.publisher.Tick(w.now)
	w.replica.Tick(w.now)
	w.runActions()
}

// TestAnyInterleavingConverges checks that after any interleaving of changes, messages, losses,
// damage, resumes, compactions and restarts the replica converges to the server's position and
// digest, and that the gateway was delivered the same content.
func TestAnyInterleavingConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultPublisherSettings(testFleet)
		settings.Log.Entries = rapid.IntRange(1, 10).Draw(t, "log")
		w := &streamTest{T: t, state: NewState(), delivered: map[string]string{}}
		w.state.advance(testEpoch, drawChanges(t))
		w.publisher = NewPublisher(settings, w.state.Clone(), testRandom())
		w.replica = NewReplica(DefaultReplicaSettings(testFleet, "g"), NewState(), testRandom())
		w.replica.SetServers(w.now, []Server{{ID: "a"}})
		w.runActions()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				w.change(drawChanges(t))
			case 3, 4, 5, 6:
				w.carryMessages()
			case 7:
				w.tick(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			case 8:
				w.loseMessage(rapid.Bool().Draw(t, "damaged"))
			case 9:
				w.restart(t, settings)
			}
			w.runActions()
		}
		for range 800 {
			w.carryMessages()
			w.tick(20 * time.Millisecond)
		}
		if got := w.replica.Position(); got != w.state.Position() {
			t.Fatalf("the replica is at %v, the server at %v", got, w.state.Position())
		}
		want := map[string]string{}
		for i := range uint32(BucketCount) {
			for _, r := range w.state.Bucket(i) {
				want[r.Kind.String()+r.ID] = string(r.Value)
			}
		}
		if !maps.Equal(w.delivered, want) {
			t.Fatalf("the gateway was delivered %v instead of %v", w.delivered, want)
		}
	})
}

// restart restarts the server, restarts the replica from its state file, or compacts the server's
// log.
func (w *streamTest) restart(t *rapid.T, settings PublisherSettings) {
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		w.publisher = NewPublisher(settings, w.state.Clone(), testRandom())
		w.replica.Disconnected(w.now, w.attempt, nil)
	case 1:
		w.publisher.Close(w.stream)
		state, err := DecodeStateFile(testFleet, EncodeStateFile(testFleet, w.replica.State()))
		if err != nil {
			t.Fatal(err)
		}
		w.replica = NewReplica(w.replica.settings, state, testRandom())
		w.replica.SetServers(w.now, []Server{{ID: "a"}})
	case 2:
		w.publisher.log.Compact(w.state.revision - 1)
	}
}
