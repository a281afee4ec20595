package distribution

import (
	"maps"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mothcleat/internal/controlplane/distributionpb"
)

// together is a publisher and a replica with a stream between them that carries messages when it is
// told to.
type together struct {
	*rapid.T
	state     *State
	publisher *Publisher
	replica   *Replica
	now       time.Duration
	stream    StreamID
	attempt   uint64
	down      []*distributionpb.WatchResponse
	up        []*distributionpb.WatchRequest
	delivered map[string]string
	at        Position
}

func (w *together) act() {
	for _, action := range w.replica.Take() {
		switch a := action.(type) {
		case Connect:
			w.stream, w.attempt, w.down, w.up = w.stream+1, a.Attempt, nil, nil
			if err := w.publisher.Open(w.now, w.stream); err != nil {
				w.Fatal(err)
			}
			w.replica.Connected(w.now, a.Attempt)
			w.act()
		case Disconnect:
			w.publisher.Close(w.stream)
		case SendRequest:
			w.up = append(w.up, a.Request)
		case Deliver:
			w.deliver(a)
		}
	}
	for _, send := range w.publisher.Take(w.now) {
		w.down = append(w.down, send.Message.Response)
	}
}

func (w *together) deliver(d Deliver) {
	if d.Position.Compare(w.at) < 0 {
		w.Fatalf("back from %v to %v", w.at, d.Position)
	}
	w.at = d.Position
	for _, c := range d.Changes {
		if key := c.Kind.String() + c.ID; c.Deleted {
			delete(w.delivered, key)
		} else {
			w.delivered[key] = string(c.Value)
		}
	}
}

// carry brings one message each way.
func (w *together) carry() {
	if len(w.up) > 0 {
		m := w.up[0]
		w.up = w.up[1:]
		if err := w.publisher.Received(w.now, w.stream, m); err != nil {
			w.Fatal(err)
		}
	}
	if len(w.down) > 0 {
		m := w.down[0]
		w.down = w.down[1:]
		w.publisher.Sent(w.stream)
		w.replica.Received(w.now, w.attempt, m)
	}
	w.act()
}

// lose drops the next message down, or damages the delta in it.
func (w *together) lose(damage bool) {
	if len(w.down) == 0 {
		return
	}
	if d := w.down[0].GetDelta(); damage && d != nil && len(d.Changes) > 0 {
		damaged := proto.Clone(w.down[0]).(*distributionpb.WatchResponse)
		damaged.GetDelta().Changes = damaged.GetDelta().Changes[1:]
		w.down[0] = damaged
		return
	}
	w.down = w.down[1:]
	w.publisher.Sent(w.stream)
}

func (w *together) change(changes []Change) {
	if d := w.state.advance(0, changes); d != nil {
		w.publisher.Update(w.now, Update{State: w.state.Clone(), Delta: d, Term: 1})
	}
}

func (w *together) tick(span time.Duration) {
	w.now += span
	w.publisher.Tick(w.now)
	w.replica.Tick(w.now)
	w.act()
}

// TestAnyInterleavingConverges checks that any interleaving of changes, messages, losses,
// damage, resumes, compactions and restarts converges to the same digest, and that the gateway was
// delivered the same content.
func TestAnyInterleavingConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultPublisherSettings(testFleet)
		settings.Log.Entries = rapid.IntRange(1, 10).Draw(t, "log")
		w := &together{T: t, state: NewState(), delivered: map[string]string{}}
		w.state.advance(testEpoch, drawChanges(t))
		w.publisher = NewPublisher(settings, w.state.Clone(), testRandom())
		w.replica = NewReplica(DefaultReplicaSettings(testFleet, "g"), NewState(), testRandom())
		w.replica.SetServers(w.now, []Server{{ID: "a"}})
		w.act()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2:
				w.change(drawChanges(t))
			case 3, 4, 5, 6:
				w.carry()
			case 7:
				w.tick(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			case 8:
				w.lose(rapid.Bool().Draw(t, "damaged"))
			case 9:
				w.restart(t, settings)
			}
			w.act()
		}
		for range 800 {
			w.carry()
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

// restart begins the server or the replica anew, or compacts the server's log.
func (w *together) restart(t *rapid.T, settings PublisherSettings) {
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
