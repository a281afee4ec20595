package distribution

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mothcleat/internal/controlplane/distributionpb"
)

const testFleet = "blue"

// client is a replica under test: what it wants done is kept by kind.
type client struct {
	*testing.T
	replica   *Replica
	now       time.Duration
	attempt   uint64
	connects  []Server
	resumes   []*distributionpb.Resume
	fetches   []*distributionpb.FetchBuckets
	acks      []*distributionpb.Acknowledge
	delivered []Deliver
	left      []*DisconnectError
	reports   []error
	persisted []*State
}

func newClient(t *testing.T, state *State) *client {
	settings := DefaultReplicaSettings(testFleet, "gateway-1")
	c := &client{T: t, replica: NewReplica(settings, state, testRandom())}
	c.replica.SetServers(c.now, []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	c.take()
	return c
}

// liveClient is one that has a state, and is on a server's stream.
func liveClient(t *testing.T, state *State) *client {
	c := newClient(t, state)
	c.connected()
	c.heartbeat(state.Position())
	if !c.replica.Live() {
		t.Fatal("it is not live")
	}
	return c
}

func (c *client) take() {
	for _, action := range c.replica.Take() {
		switch a := action.(type) {
		case Connect:
			c.attempt = a.Attempt
			c.connects = append(c.connects, a.Server)
		case SendRequest:
			c.sent(a.Request)
		case Disconnect:
			c.left = append(c.left, a.Reason.(*DisconnectError))
		case Deliver:
			c.delivered = append(c.delivered, a)
		case ReportError:
			c.reports = append(c.reports, a.Err)
		case Persist:
			c.persisted = append(c.persisted, a.State)
		}
	}
}

func (c *client) sent(m *distributionpb.WatchRequest) {
	switch r := m.Request.(type) {
	case *distributionpb.WatchRequest_Resume:
		c.resumes = append(c.resumes, r.Resume)
	case *distributionpb.WatchRequest_Fetch:
		c.fetches = append(c.fetches, r.Fetch)
	case *distributionpb.WatchRequest_Acknowledge:
		c.acks = append(c.acks, r.Acknowledge)
	}
}

func (c *client) connected() {
	c.replica.Connected(c.now, c.attempt)
	c.take()
}

func (c *client) disconnected() {
	c.replica.Disconnected(c.now, c.attempt, errors.New("gone"))
	c.take()
}

func (c *client) receive(m *Message) {
	c.replica.Received(c.now, c.attempt, m.Response)
	c.take()
}

func (c *client) heartbeat(at Position) {
	c.receive(heartbeatMessage(&distributionpb.Heartbeat{
		Fleet:    testFleet,
		Position: at.Proto(),
		Term:     1,
	}))
}

func (c *client) wait(span time.Duration) {
	c.now += span
	c.replica.Tick(c.now)
	c.take()
}

// repairFrom answers a Resume by digests, and a fetch by buckets.
func (c *client) digestsOf(s *State) {
	c.receive(digestsMessage(s.Position(), 0, s.Sums()))
}

func (c *client) bucketsOf(s *State, indexes []uint32, last bool) {
	var buckets []*distributionpb.Bucket
	for _, index := range indexes {
		buckets = append(buckets, bucketMessage(s, index))
	}
	c.receive(bucketsMessage(s.Position(), buckets, last))
}

func (c *client) lastFetch() *distributionpb.FetchBuckets {
	c.Helper()
	if len(c.fetches) == 0 {
		c.Fatal("nothing was fetched")
	}
	return c.fetches[len(c.fetches)-1]
}

func (c *client) requireLeft(why DisconnectReason) {
	c.Helper()
	if len(c.left) == 0 || c.left[len(c.left)-1].Reason != why {
		c.Fatalf("left %v, and not because %s", c.left, why)
	}
}

func (c *client) requireAt(want Position) {
	c.Helper()
	if got := c.replica.Position(); got != want {
		c.Fatalf("it is at %v instead of %v", got, want)
	}
}

func stateOf(changes ...Change) *State {
	s := NewState()
	s.advance(testEpoch, changes)
	return s
}

// TestReplicaFollows checks that a replica resumes from its state and applies deltas.
func TestReplicaFollows(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := liveClient(t, s)
	if len(c.connects) != 1 || len(c.resumes) != 1 || c.resumes[0].Position.Revision != 1 ||
		c.resumes[0].Repair {
		t.Fatalf("%v %v", c.connects, c.resumes)
	}
	c.receive(deltaMessage(s.advance(0, []Change{draining("a")})))
	c.requireAt(s.Position())
	if len(c.delivered) != 1 || len(c.acks) != 1 || c.acks[0].Revision != 2 ||
		c.delivered[0].Position != s.Position() {
		t.Errorf("%v %v", c.delivered, c.acks)
	}
	if age, ok := c.replica.SourceAge(c.now + time.Second); !ok || age != time.Second {
		t.Errorf("the source was heard %v ago (%t)", age, ok)
	}
}

// TestReplicaStartsWithoutState checks that a replica without a state gets everything by buckets.
func TestReplicaStartsWithoutState(t *testing.T) {
	s := stateOf(ready("a", 1), ready("b", 1))
	c := newClient(t, NewState())
	c.connected()
	c.heartbeat(s.Position())
	sums := s.Sums()
	c.receive(digestsMessage(s.Position(), 0, sums[:BucketCount/2]))
	if len(c.fetches) > 0 {
		t.Fatal("it fetches before it has all digests")
	}
	c.receive(digestsMessage(s.Position(), BucketCount/2, sums[BucketCount/2:]))
	c.bucketsOf(s, c.lastFetch().Buckets, true)
	c.requireAt(s.Position())
	if len(c.delivered) != 1 || len(c.delivered[0].Changes) != 2 || !c.replica.Live() {
		t.Errorf("%v", c.delivered)
	}
}

// TestReplicaRejectsInvalidMessages checks that an invalid message is reported with its type and
// leaves the state unchanged, and that it leads to a repair if the content is wrong, or to a resume
// if a delta is missing.
func TestReplicaRejectsInvalidMessages(t *testing.T) {
	for _, test := range []struct {
		name   string
		edit   func(*Delta)
		want   any
		repair bool
	}{
		{"a gap", func(d *Delta) { d.From++; d.To++ }, new(*WrongRevisionError), false},
		{"another epoch", func(d *Delta) { d.Epoch++ }, new(*WrongEpochError), false},
		{"another digest", func(d *Delta) { d.Digest.Low++ }, new(*DigestMismatchError), true},
		{
			"another record",
			func(d *Delta) { d.Changes = []Change{deleted("a")} },
			new(*DigestMismatchError),
			true,
		},
		{
			"an unreadable record",
			func(d *Delta) {
				d.Changes = []Change{{Record: Record{KindServer, "a", []byte{0xff}}}}
			},
			new(*InvalidRecordError),
			true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := stateOf(ready("a", 1))
			before := s.Position()
			c := liveClient(t, s)
			d := *s.advance(0, []Change{draining("a")})
			test.edit(&d)
			c.receive(deltaMessage(&d))
			if len(c.reports) != 1 || !errors.As(c.reports[0], test.want) {
				t.Fatalf("reported %v", c.reports)
			}
			c.requireAt(before)
			if len(c.resumes) != 2 || c.resumes[1].Repair != test.repair || len(c.delivered) > 0 {
				t.Errorf("%v", c.resumes)
			}
		})
	}
}

// TestReplicaLeavesServerWithoutProgress checks that resuming without progress ends, with a backoff
// from the server.
func TestReplicaLeavesServerWithoutProgress(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := liveClient(t, s)
	bad := *s.Clone().advance(0, []Change{draining("a")})
	bad.Digest.Low++
	for range c.replica.settings.MaxResumes + 1 {
		c.heartbeatOf(s, 1) // the stream goes on
		c.replica.phase = replicaLive
		c.receive(deltaMessage(&bad))
	}
	c.requireLeft(ReasonNoProgress)
	if len(c.connects) != 2 || c.connects[0] == c.connects[1] {
		t.Errorf("%v", c.connects)
	}
}

// heartbeatOf tells of a position that is some revisions ahead of a state's.
func (c *client) heartbeatOf(s *State, ahead uint64) {
	at := s.Position()
	at.Revision += ahead
	c.heartbeat(at)
}

// TestReplicaHonoursRetryLater checks that the time to come back is honoured, with jitter.
func TestReplicaHonoursRetryLater(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newClient(t, NewState())
	c.connected()
	c.receive(retryMessage(uint64(time.Second)))
	c.heartbeat(s.Position())
	bad := heartbeatMessage(&distributionpb.Heartbeat{
		Fleet:    testFleet,
		Position: &distributionpb.Position{Epoch: 1},
	})
	c.receive(bad) // what can't be read is no reason to come back earlier
	for range 99 {
		c.wait(10 * time.Millisecond)
		c.heartbeat(s.Position())
	}
	if len(c.resumes) != 1 {
		t.Fatalf("it came back too early: %v", c.resumes)
	}
	c.wait(260 * time.Millisecond)
	if len(c.resumes) != 2 {
		t.Error("it did not come back")
	}
	c.receive(retryMessage(1 << 63))
	if wake := c.replica.retryAt - c.now; wake < c.replica.settings.MaxRetryDelay ||
		wake > c.replica.settings.MaxRetryDelay*5/4 {
		t.Errorf("it waits %v", wake)
	}
}

// TestReplicaLeavesUnresponsiveServer checks that a silent server is left, another one resumed
// from, and messages of the old stream ignored.
func TestReplicaLeavesUnresponsiveServer(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := liveClient(t, s)
	old := c.attempt
	c.wait(c.replica.settings.SilenceTimeout)
	c.requireLeft(ReasonUnresponsive)
	if len(c.connects) != 2 || c.connects[1] == c.connects[0] {
		t.Fatalf("%v", c.connects)
	}
	before := s.Position()
	c.replica.Received(c.now, old, deltaMessage(s.advance(0, []Change{draining("a")})).Response)
	c.take()
	c.requireAt(before)
	c.wait(c.replica.settings.ConnectTimeout)
	c.requireLeft(ReasonUnreachable)
}

// TestReplicaNeverGoesBack checks that a server that stays behind is left, and that the replica
// does not go back.
func TestReplicaNeverGoesBack(t *testing.T) {
	s := stateOf(ready("a", 1))
	older := s.Clone()
	s.advance(0, []Change{draining("a")})
	c := liveClient(t, s)
	c.replica.resume(c.now, true)
	c.take()
	c.digestsOf(older)
	if len(c.fetches) > 0 {
		t.Fatal("it fetches what is older")
	}
	c.receive(behindMessage(older.Position()))
	c.heartbeat(older.Position())
	if len(c.left) > 0 {
		t.Fatal("it was left at once")
	}
	c.wait(c.replica.settings.BehindTimeout)
	c.heartbeat(older.Position())
	c.requireLeft(ReasonBehind)
	c.requireAt(s.Position())
}

// TestReplicaWaitsForServerToCatchUp checks that a server that catches up in time is kept.
func TestReplicaWaitsForServerToCatchUp(t *testing.T) {
	s := stateOf(ready("a", 1))
	older := s.Clone()
	s.advance(0, []Change{draining("a")})
	c := liveClient(t, s)
	c.heartbeat(older.Position())
	c.wait(c.replica.settings.BehindTimeout / 2)
	c.heartbeat(s.Position())
	c.wait(c.replica.settings.BehindTimeout)
	c.heartbeat(older.Position())
	if len(c.left) > 0 {
		t.Errorf("%v", c.left)
	}
}

// TestReplicaAndEpochs checks that a later epoch is accepted by the buckets that differ, and an
// earlier one rejected.
func TestReplicaAndEpochs(t *testing.T) {
	s := stateOf(ready("a", 1), ready("b", 1))
	c := liveClient(t, s)
	anew := NewState()
	anew.advance(testEpoch+1, []Change{ready("a", 1), ready("c", 1)})
	c.heartbeat(anew.Position())
	c.heartbeat(anew.Position())
	if len(c.resumes) != 2 {
		t.Fatal("it does not ask")
	}
	c.digestsOf(anew)
	if n := len(c.lastFetch().Buckets); n != 2 {
		t.Errorf("%d buckets are fetched, 2 differ", n)
	}
	c.bucketsOf(anew, c.lastFetch().Buckets, true)
	c.requireAt(anew.Position())
	if changes := c.delivered[0].Changes; len(changes) != 2 || !changes[0].Deleted {
		t.Errorf("%v", changes)
	}
	for range 9 {
		s.advance(0, []Change{ready("a", int64(s.revision))})
	}
	c.heartbeat(s.Position())
	c.digestsOf(s)
	c.requireAt(anew.Position())
}

// TestReplicaRepairsADivergence checks that two digests at one revision are reported and repaired.
func TestReplicaRepairsADivergence(t *testing.T) {
	s := stateOf(ready("a", 1), ready("b", 1))
	diverged := stateOf(ready("a", 1), ready("b", 2))
	c := liveClient(t, diverged)
	c.heartbeat(s.Position())
	var divergence *DivergenceError
	if len(c.reports) != 1 || !errors.As(c.reports[0], &divergence) ||
		divergence.Mine != diverged.Position() {
		t.Fatalf("%v", c.reports)
	}
	if !c.resumes[1].Repair {
		t.Error("it does not ask for digests")
	}
	c.digestsOf(s)
	if n := len(c.lastFetch().Buckets); n != 1 {
		t.Errorf("%d buckets are fetched", n)
	}
	c.bucketsOf(s, c.lastFetch().Buckets, true)
	c.requireAt(s.Position())
}

// TestReplicaResumesAfterLostDelta checks that a delta that a heartbeat announced and that does not
// arrive is requested.
func TestReplicaResumesAfterLostDelta(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := liveClient(t, s)
	c.heartbeatOf(s, 1)
	if len(c.resumes) != 1 {
		t.Fatal("it asks before the delta had time")
	}
	c.heartbeatOf(s, 2)
	if len(c.resumes) != 2 || c.resumes[1].Repair {
		t.Errorf("%v", c.resumes)
	}
}

// TestReplicaKeepsPartialRepair checks that buckets fetched before a stream ended are not fetched
// again.
func TestReplicaKeepsPartialRepair(t *testing.T) {
	var all []Change
	for n := range 40 {
		all = append(all, ready(fmt.Sprintf("server-%d", n), 1))
	}
	s := stateOf(all...)
	c := newClient(t, NewState())
	c.connected()
	c.digestsOf(s)
	wanted := c.lastFetch().Buckets
	c.bucketsOf(s, wanted[:30], false)
	c.disconnected()
	if c.replica.Position() != NewState().Position() || len(c.delivered) > 0 {
		t.Fatal("half a repair is in force")
	}
	s.advance(0, []Change{deleted("server-1")})
	c.connected()
	c.digestsOf(s)
	if again := len(c.lastFetch().Buckets); again > len(wanted)-30+1 {
		t.Errorf("%d buckets are fetched again", again)
	}
	c.bucketsOf(s, c.lastFetch().Buckets, true)
	c.requireAt(s.Position())
}

// TestReplicaRejectsInvalidBucket checks that an invalid bucket is rejected and fetched again.
func TestReplicaRejectsInvalidBucket(t *testing.T) {
	s := stateOf(ready("a", 1), ready("b", 1))
	c := newClient(t, NewState())
	c.connected()
	c.digestsOf(s)
	wanted := c.lastFetch().Buckets
	c.receive(bucketsMessage(s.Position(), []*distributionpb.Bucket{{Index: wanted[0]}}, true))
	var mismatch *DigestMismatchError
	if len(c.reports) != 1 || !errors.As(c.reports[0], &mismatch) || !mismatch.OfBuckets {
		t.Fatalf("%v", c.reports)
	}
	c.digestsOf(s)
	c.bucketsOf(s, c.lastFetch().Buckets, true)
	c.requireAt(s.Position())
}

// TestReplicaLeavesAnotherFleet checks that another fleet's server is left with a WrongFleetError.
func TestReplicaLeavesAnotherFleet(t *testing.T) {
	c := newClient(t, NewState())
	c.connected()
	c.receive(heartbeatMessage(&distributionpb.Heartbeat{
		Fleet:    "green",
		Position: NewState().Position().Proto(),
	}))
	var fleet *WrongFleetError
	if len(c.left) != 1 || !errors.As(c.left[0], &fleet) || fleet.Got != "green" {
		t.Fatalf("%v", c.left)
	}
}

// TestReplicaBacksOff checks that servers that all fail are tried at a falling, bounded rate.
func TestReplicaBacksOff(t *testing.T) {
	c := newClient(t, NewState())
	tried := 0
	for c.now < 10*time.Minute {
		if _, busy := c.replica.Server(); busy {
			tried++
			c.disconnected()
		}
		wake := c.replica.Wake()
		if wake < c.now || wake > c.now+c.replica.settings.MaxBackoff {
			t.Fatalf("at %v it wants to be woken at %v", c.now, wake)
		}
		c.wait(wake - c.now)
	}
	// Three servers, each after 5 to 10 s at the longest, and a few times more often at first.
	if most := 3 * (10*60/5 + 10); tried > most || tried < 3*10*60/10 {
		t.Errorf("it tried %d times", tried)
	}
}

// TestReplicaLeavesAServerWithoutSource checks that a server without news of the source is left
// only while there is an alternative.
func TestReplicaLeavesAServerWithoutSource(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := liveClient(t, s)
	silent := heartbeatMessage(&distributionpb.Heartbeat{
		Fleet: testFleet, Position: s.Position().Proto(), Term: 1, SourceAgeNs: uint64(time.Minute),
	})
	for n := range 2 {
		c.receive(silent)
		if len(c.left) != n+1 || c.left[n].Reason != ReasonSourceSilent {
			t.Fatalf("%v", c.left)
		}
		c.connected()
		c.wait(200 * time.Millisecond)
	}
	c.receive(silent)
	if len(c.left) != 2 {
		t.Errorf("it left the last one too: %v", c.left)
	}
	for c.now < 10*time.Minute {
		c.wait(500 * time.Millisecond)
		c.connected()
		c.receive(silent)
	}
	if most := int(10*time.Minute/(c.replica.settings.MaxBackoff/2)) +
		10; len(c.left) > most || len(c.left) < 10 {
		t.Errorf("it left %d servers, at most %d wanted", len(c.left), most)
	}
}

// TestReplicaPersists checks that the state is written at intervals, not at each change.
func TestReplicaPersists(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := liveClient(t, s)
	span := c.replica.settings.PersistInterval
	for n := range 60 {
		c.now += span / 20
		c.receive(deltaMessage(s.advance(0, []Change{ready("a", int64(n+2))})))
		c.wait(0)
	}
	if len(c.persisted) != 3 {
		t.Errorf("%d times", len(c.persisted))
	}
	if last := c.persisted[len(c.persisted)-1].Position(); last != s.Position() {
		t.Errorf("%v was written last", last)
	}
}

// TestReplicaReturnsToPreferredServer checks that a replica returns to its preferred server after a
// while.
func TestReplicaReturnsToPreferredServer(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newClient(t, s)
	c.disconnected()
	c.connected()
	for c.now < 2*c.replica.settings.ReturnInterval && len(c.left) == 1 {
		c.heartbeat(s.Position())
		c.wait(time.Second)
	}
	c.requireLeft(ReasonPreferredServer)
	if c.now < c.replica.settings.ReturnInterval/2 || c.connects[2] != c.connects[0] {
		t.Errorf("after %v to %v", c.now, c.connects)
	}
}

// TestReplicaLeavesARemovedServer checks that a server that was removed from the list is left.
func TestReplicaLeavesARemovedServer(t *testing.T) {
	c := newClient(t, NewState())
	c.connected()
	c.replica.SetServers(c.now, []Server{{ID: "other"}})
	c.take()
	c.requireLeft(ReasonServerRemoved)
	if c.connects[1].ID != "other" {
		t.Errorf("%v", c.connects)
	}
}

// TestReplicaLeavesServerThatDoesNotAnswer checks that a server that sends heartbeats but never
// answers a Resume is left.
func TestReplicaLeavesServerThatDoesNotAnswer(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newClient(t, NewState())
	c.connected()
	for c.now < c.replica.settings.ProgressTimeout {
		c.heartbeat(s.Position())
		c.wait(time.Second)
	}
	c.requireLeft(ReasonNoProgress)
}

// FuzzReceived checks that whatever a server sends, the replica's state matches its position and
// never goes back.
func FuzzReceived(f *testing.F) {
	s := stateOf(ready("a", 1), ready("b", 1))
	next := s.Clone()
	for _, m := range []*Message{
		deltaMessage(next.advance(0, []Change{draining("a")})),
		retryMessage(1),
		behindMessage(s.Position()),
		digestsMessage(next.Position(), 0, next.Sums()), bucketsMessage(next.Position(), nil, true),
		heartbeatMessage(&distributionpb.Heartbeat{
			Fleet:    testFleet,
			Position: next.Position().Proto(),
		}),
	} {
		f.Add(m.Bytes)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m distributionpb.WatchResponse
		if proto.Unmarshal(raw, &m) != nil {
			return
		}
		c := liveClient(t, s.Clone())
		for range 3 {
			before := c.replica.Position()
			c.replica.Received(c.now, c.attempt, &m)
			c.take()
			at := c.replica.Position()
			if at.Compare(before) < 0 || rebuilt(c.replica.State(), testRandom()).Position() != at {
				t.Errorf("from %v to %v", before, at)
			}
			if c.replica.Wake() <= 0 {
				t.Errorf("it wants to be woken at %v", c.replica.Wake())
			}
			c.wait(time.Second)
		}
	})
}

// TestPositionOrder checks that positions are ordered by epoch first.
func TestPositionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Position {
			return Position{
				Epoch:    rapid.Uint64Range(1, 3).Draw(t, name),
				Revision: rapid.Uint64Range(0, 3).Draw(t, name),
			}
		}
		a, b := draw("a"), draw("b")
		want := a.Epoch < b.Epoch || a.Epoch == b.Epoch && a.Revision < b.Revision
		if got := a.Compare(b) < 0; got != want || a.Compare(b) != -b.Compare(a) {
			t.Fatalf("%v and %v: %d", a, b, a.Compare(b))
		}
	})
}
