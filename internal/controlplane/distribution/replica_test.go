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

// replicaTest is a replica under test. It records the replica's actions by type.
type replicaTest struct {
	*testing.T
	replica     *Replica
	now         time.Duration
	attempt     uint64
	connects    []Server
	resumes     []*distributionpb.Resume
	fetches     []*distributionpb.FetchBuckets
	acks        []*distributionpb.Acknowledge
	delivered   []Deliver
	disconnects []*DisconnectError
	reports     []error
	persisted   []*State
}

func newReplicaTest(t *testing.T, state *State) *replicaTest {
	settings := DefaultReplicaSettings(testFleet, "gateway-1")
	c := &replicaTest{T: t, replica: NewReplica(settings, state, testRandom())}
	c.replica.SetServers(c.now, []Server{{ID: "a"}, {ID: "b"}, {ID: "c"}})
	c.recordActions()
	return c
}

// newLiveReplicaTest returns a test whose replica has the state and is live on a server's stream.
func newLiveReplicaTest(t *testing.T, state *State) *replicaTest {
	c := newReplicaTest(t, state)
	c.connected()
	c.heartbeat(state.Position())
	if !c.replica.Live() {
		t.Fatal("the replica is not live")
	}
	return c
}

func (c *replicaTest) recordActions() {
	for _, action := range c.replica.Take() {
		switch a := action.(type) {
		case Connect:
			c.attempt = a.Attempt
			c.connects = append(c.connects, a.Server)
		case SendRequest:
			c.recordRequest(a.Request)
		case Disconnect:
			c.disconnects = append(c.disconnects, a.Reason.(*DisconnectError))
		case Deliver:
			c.delivered = append(c.delivered, a)
		case ReportError:
			c.reports = append(c.reports, a.Err)
		case Persist:
			c.persisted = append(c.persisted, a.State)
		}
	}
}

func (c *replicaTest) recordRequest(m *distributionpb.WatchRequest) {
	switch r := m.Request.(type) {
	case *distributionpb.WatchRequest_Resume:
		c.resumes = append(c.resumes, r.Resume)
	case *distributionpb.WatchRequest_Fetch:
		c.fetches = append(c.fetches, r.Fetch)
	case *distributionpb.WatchRequest_Acknowledge:
		c.acks = append(c.acks, r.Acknowledge)
	}
}

func (c *replicaTest) connected() {
	c.replica.Connected(c.now, c.attempt)
	c.recordActions()
}

func (c *replicaTest) disconnected() {
	c.replica.Disconnected(c.now, c.attempt, errors.New("gone"))
	c.recordActions()
}

func (c *replicaTest) receive(m *Message) {
	c.replica.Received(c.now, c.attempt, m.Response)
	c.recordActions()
}

func (c *replicaTest) heartbeat(at Position) {
	c.receive(heartbeatMessage(&distributionpb.Heartbeat{
		Fleet:    testFleet,
		Position: at.Proto(),
		Term:     1,
	}))
}

func (c *replicaTest) wait(span time.Duration) {
	c.now += span
	c.replica.Tick(c.now)
	c.recordActions()
}

// receiveDigests passes the sums of all buckets of a state to the replica.
func (c *replicaTest) receiveDigests(s *State) {
	c.receive(digestsMessage(s.Position(), 0, s.Sums()))
}

// receiveBuckets passes buckets of a state to the replica.
func (c *replicaTest) receiveBuckets(s *State, indexes []uint32, last bool) {
	var buckets []*distributionpb.Bucket
	for _, index := range indexes {
		buckets = append(buckets, bucketMessage(s, index))
	}
	c.receive(bucketsMessage(s.Position(), buckets, last))
}

func (c *replicaTest) lastFetch() *distributionpb.FetchBuckets {
	c.Helper()
	if len(c.fetches) == 0 {
		c.Fatal("the replica requested no buckets")
	}
	return c.fetches[len(c.fetches)-1]
}

func (c *replicaTest) requireDisconnected(reason DisconnectReason) {
	c.Helper()
	if len(c.disconnects) == 0 || c.disconnects[len(c.disconnects)-1].Reason != reason {
		c.Fatalf("the disconnects are %v, want the last for the reason %q", c.disconnects, reason)
	}
}

func (c *replicaTest) requirePosition(want Position) {
	c.Helper()
	if got := c.replica.Position(); got != want {
		c.Fatalf("the replica is at %v, want %v", got, want)
	}
}

// stateOf returns a state with the changes applied as its first revision.
func stateOf(changes ...Change) *State {
	s := NewState()
	s.advance(testEpoch, changes)
	return s
}

// TestReplicaFollows checks that a replica resumes from its state and applies deltas.
func TestReplicaFollows(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newLiveReplicaTest(t, s)
	if len(c.connects) != 1 || len(c.resumes) != 1 || c.resumes[0].Position.Revision != 1 ||
		c.resumes[0].Repair {
		t.Fatalf("connects %v, Resumes %v", c.connects, c.resumes)
	}
	c.receive(deltaMessage(s.advance(0, []Change{draining("a")})))
	c.requirePosition(s.Position())
	if len(c.delivered) != 1 || len(c.acks) != 1 || c.acks[0].Revision != 2 ||
		c.delivered[0].Position != s.Position() {
		t.Errorf("delivered %v, acknowledged %v", c.delivered, c.acks)
	}
	if age, ok := c.replica.SourceAge(c.now + time.Second); !ok || age != time.Second {
		t.Errorf("SourceAge returns %v, %t", age, ok)
	}
}

// TestReplicaStartsWithoutState checks that a replica without a state fetches all records by
// buckets, once it has the digests of all buckets.
func TestReplicaStartsWithoutState(t *testing.T) {
	s := stateOf(ready("a", 1), ready("b", 1))
	c := newReplicaTest(t, NewState())
	c.connected()
	c.heartbeat(s.Position())
	sums := s.Sums()
	c.receive(digestsMessage(s.Position(), 0, sums[:BucketCount/2]))
	if len(c.fetches) > 0 {
		t.Fatal("the replica requested buckets before it had all digests")
	}
	c.receive(digestsMessage(s.Position(), BucketCount/2, sums[BucketCount/2:]))
	c.receiveBuckets(s, c.lastFetch().Buckets, true)
	c.requirePosition(s.Position())
	if len(c.delivered) != 1 || len(c.delivered[0].Changes) != 2 || !c.replica.Live() {
		t.Errorf("live %t, delivered %v", c.replica.Live(), c.delivered)
	}
}

// TestReplicaRejectsInvalidMessages checks that an invalid delta is reported with the right error
// type and leaves the state unchanged. A wrong content must lead to a repair, a missing delta or
// another epoch to a resume.
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
			c := newLiveReplicaTest(t, s)
			d := *s.advance(0, []Change{draining("a")})
			test.edit(&d)
			c.receive(deltaMessage(&d))
			if len(c.reports) != 1 || !errors.As(c.reports[0], test.want) {
				t.Fatalf("the reported errors are %v", c.reports)
			}
			c.requirePosition(before)
			if len(c.resumes) != 2 || c.resumes[1].Repair != test.repair || len(c.delivered) > 0 {
				t.Errorf("Resumes %v, delivered %v", c.resumes, c.delivered)
			}
		})
	}
}

// TestReplicaLeavesServerWithoutProgress checks that a replica leaves its server for another after
// MaxResumes without progress.
func TestReplicaLeavesServerWithoutProgress(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newLiveReplicaTest(t, s)
	bad := *s.Clone().advance(0, []Change{draining("a")})
	bad.Digest.Low++
	for range c.replica.settings.MaxResumes + 1 {
		c.heartbeatAhead(s, 1) // heartbeats continue without progress
		c.replica.phase = replicaLive
		c.receive(deltaMessage(&bad))
	}
	c.requireDisconnected(ReasonNoProgress)
	if len(c.connects) != 2 || c.connects[0] == c.connects[1] {
		t.Errorf("the connects are %v, want two different servers", c.connects)
	}
}

// heartbeatAhead passes a heartbeat whose position is the given number of revisions ahead of a
// state.
func (c *replicaTest) heartbeatAhead(s *State, ahead uint64) {
	at := s.Position()
	at.Revision += ahead
	c.heartbeat(at)
}

// TestReplicaHonoursRetryLater checks that a replica resumes only after the delay of a RetryLater,
// with jitter, also if it rejects a message before, and that the delay is bounded.
func TestReplicaHonoursRetryLater(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newReplicaTest(t, NewState())
	c.connected()
	c.receive(retryMessage(uint64(time.Second)))
	c.heartbeat(s.Position())
	bad := heartbeatMessage(&distributionpb.Heartbeat{
		Fleet:    testFleet,
		Position: &distributionpb.Position{Epoch: 1},
	})
	c.receive(bad) // an invalid message must not cause an earlier Resume
	for range 99 {
		c.wait(10 * time.Millisecond)
		c.heartbeat(s.Position())
	}
	if len(c.resumes) != 1 {
		t.Fatalf("the replica resumed too early: %v", c.resumes)
	}
	c.wait(260 * time.Millisecond)
	if len(c.resumes) != 2 {
		t.Error("the replica did not resume after the delay")
	}
	c.receive(retryMessage(1 << 63))
	if delay := c.replica.retryAt - c.now; delay < c.replica.settings.MaxRetryDelay ||
		delay > c.replica.settings.MaxRetryDelay*5/4 {
		t.Errorf("the replica waits for %v", delay)
	}
}

// TestReplicaLeavesUnresponsiveServer checks that a replica leaves a silent server for another one,
// ignores messages of the old stream, and leaves the other one if connecting takes too long.
func TestReplicaLeavesUnresponsiveServer(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newLiveReplicaTest(t, s)
	old := c.attempt
	c.wait(c.replica.settings.SilenceTimeout)
	c.requireDisconnected(ReasonUnresponsive)
	if len(c.connects) != 2 || c.connects[1] == c.connects[0] {
		t.Fatalf("the connects are %v, want two different servers", c.connects)
	}
	before := s.Position()
	c.replica.Received(c.now, old, deltaMessage(s.advance(0, []Change{draining("a")})).Response)
	c.recordActions()
	c.requirePosition(before)
	c.wait(c.replica.settings.ConnectTimeout)
	c.requireDisconnected(ReasonUnreachable)
}

// TestReplicaNeverGoesBack checks that a replica does not return to the earlier position of its
// server, and leaves the server if it stays behind for BehindTimeout.
func TestReplicaNeverGoesBack(t *testing.T) {
	s := stateOf(ready("a", 1))
	older := s.Clone()
	s.advance(0, []Change{draining("a")})
	c := newLiveReplicaTest(t, s)
	c.replica.resume(c.now, true)
	c.recordActions()
	c.receiveDigests(older)
	if len(c.fetches) > 0 {
		t.Fatal("the replica requested buckets of an earlier position")
	}
	c.receive(behindMessage(older.Position()))
	c.heartbeat(older.Position())
	if len(c.disconnects) > 0 {
		t.Fatal("the replica left the server immediately")
	}
	c.wait(c.replica.settings.BehindTimeout)
	c.heartbeat(older.Position())
	c.requireDisconnected(ReasonBehind)
	c.requirePosition(s.Position())
}

// TestReplicaWaitsForServerToCatchUp checks that a replica stays with a server that catches up in
// time.
func TestReplicaWaitsForServerToCatchUp(t *testing.T) {
	s := stateOf(ready("a", 1))
	older := s.Clone()
	s.advance(0, []Change{draining("a")})
	c := newLiveReplicaTest(t, s)
	c.heartbeat(older.Position())
	c.wait(c.replica.settings.BehindTimeout / 2)
	c.heartbeat(s.Position())
	c.wait(c.replica.settings.BehindTimeout)
	c.heartbeat(older.Position())
	if len(c.disconnects) > 0 {
		t.Errorf("the disconnects are %v, want none", c.disconnects)
	}
}

// TestReplicaAcceptsOnlyLaterEpochs checks that a replica moves to a later epoch by fetching the
// buckets that differ, and does not return to an earlier epoch, even at a later revision.
func TestReplicaAcceptsOnlyLaterEpochs(t *testing.T) {
	s := stateOf(ready("a", 1), ready("b", 1))
	c := newLiveReplicaTest(t, s)
	newFleet := NewState()
	newFleet.advance(testEpoch+1, []Change{ready("a", 1), ready("c", 1)})
	c.heartbeat(newFleet.Position())
	c.heartbeat(newFleet.Position())
	if len(c.resumes) != 2 {
		t.Fatal("the replica did not resume")
	}
	c.receiveDigests(newFleet)
	if n := len(c.lastFetch().Buckets); n != 2 {
		t.Errorf("%d buckets were requested, 2 differ", n)
	}
	c.receiveBuckets(newFleet, c.lastFetch().Buckets, true)
	c.requirePosition(newFleet.Position())
	if changes := c.delivered[0].Changes; len(changes) != 2 || !changes[0].Deleted {
		t.Errorf("the delivered changes are %v", changes)
	}
	for range 9 {
		s.advance(0, []Change{ready("a", int64(s.revision))})
	}
	c.heartbeat(s.Position())
	c.receiveDigests(s)
	c.requirePosition(newFleet.Position())
}

// TestReplicaRepairsADivergence checks that different digests at the same revision are reported as
// a DivergenceError and repaired from the server.
func TestReplicaRepairsADivergence(t *testing.T) {
	s := stateOf(ready("a", 1), ready("b", 1))
	diverged := stateOf(ready("a", 1), ready("b", 2))
	c := newLiveReplicaTest(t, diverged)
	c.heartbeat(s.Position())
	var divergence *DivergenceError
	if len(c.reports) != 1 || !errors.As(c.reports[0], &divergence) ||
		divergence.Mine != diverged.Position() {
		t.Fatalf("the reported errors are %v", c.reports)
	}
	if !c.resumes[1].Repair {
		t.Error("the Resume does not request a repair")
	}
	c.receiveDigests(s)
	if n := len(c.lastFetch().Buckets); n != 1 {
		t.Errorf("%d buckets were requested, 1 differs", n)
	}
	c.receiveBuckets(s, c.lastFetch().Buckets, true)
	c.requirePosition(s.Position())
}

// TestReplicaResumesAfterLostDelta checks that a replica resumes if a revision announced by a
// heartbeat has not arrived by the next heartbeat.
func TestReplicaResumesAfterLostDelta(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newLiveReplicaTest(t, s)
	c.heartbeatAhead(s, 1)
	if len(c.resumes) != 1 {
		t.Fatal("the replica resumed at the first heartbeat that announced the delta")
	}
	c.heartbeatAhead(s, 2)
	if len(c.resumes) != 2 || c.resumes[1].Repair {
		t.Errorf("the Resumes are %v, want two without repair", c.resumes)
	}
}

// TestReplicaKeepsPartialRepair checks that an interrupted repair does not change the state, and
// that the next repair does not fetch its buckets again.
func TestReplicaKeepsPartialRepair(t *testing.T) {
	var all []Change
	for n := range 40 {
		all = append(all, ready(fmt.Sprintf("server-%d", n), 1))
	}
	s := stateOf(all...)
	c := newReplicaTest(t, NewState())
	c.connected()
	c.receiveDigests(s)
	requested := c.lastFetch().Buckets
	c.receiveBuckets(s, requested[:30], false)
	c.disconnected()
	if c.replica.Position() != NewState().Position() || len(c.delivered) > 0 {
		t.Fatal("a partial repair was applied")
	}
	s.advance(0, []Change{deleted("server-1")})
	c.connected()
	c.receiveDigests(s)
	if again := len(c.lastFetch().Buckets); again > len(requested)-30+1 {
		t.Errorf("%d of %d buckets were requested after 30 had arrived", again, len(requested))
	}
	c.receiveBuckets(s, c.lastFetch().Buckets, true)
	c.requirePosition(s.Position())
}

// TestReplicaRejectsInvalidBucket checks that an invalid bucket is reported and fetched again.
func TestReplicaRejectsInvalidBucket(t *testing.T) {
	s := stateOf(ready("a", 1), ready("b", 1))
	c := newReplicaTest(t, NewState())
	c.connected()
	c.receiveDigests(s)
	requested := c.lastFetch().Buckets
	c.receive(bucketsMessage(s.Position(), []*distributionpb.Bucket{{Index: requested[0]}}, true))
	var mismatch *DigestMismatchError
	if len(c.reports) != 1 || !errors.As(c.reports[0], &mismatch) || !mismatch.OfBuckets {
		t.Fatalf("the reported errors are %v", c.reports)
	}
	c.receiveDigests(s)
	c.receiveBuckets(s, c.lastFetch().Buckets, true)
	c.requirePosition(s.Position())
}

// TestReplicaLeavesAnotherFleet checks that a replica leaves a server of another fleet with a
// WrongFleetError.
func TestReplicaLeavesAnotherFleet(t *testing.T) {
	c := newReplicaTest(t, NewState())
	c.connected()
	c.receive(heartbeatMessage(&distributionpb.Heartbeat{
		Fleet:    "green",
		Position: NewState().Position().Proto(),
	}))
	var fleet *WrongFleetError
	if len(c.disconnects) != 1 || !errors.As(c.disconnects[0], &fleet) || fleet.Got != "green" {
		t.Fatalf("the disconnects are %v", c.disconnects)
	}
}

// TestReplicaBacksOff checks that the rate of attempts falls to a bound if all servers fail.
func TestReplicaBacksOff(t *testing.T) {
	c := newReplicaTest(t, NewState())
	tried := 0
	for c.now < 10*time.Minute {
		if _, busy := c.replica.Server(); busy {
			tried++
			c.disconnected()
		}
		next := c.replica.NextTick()
		if next < c.now || next > c.now+c.replica.settings.MaxBackoff {
			t.Fatalf("at %v NextTick returns %v", c.now, next)
		}
		c.wait(next - c.now)
	}
	// Each of the three servers is tried every 5 to 10 s, and a few times more often at first.
	if most := 3 * (10*60/5 + 10); tried > most || tried < 3*10*60/10 {
		t.Errorf("%d attempts, want between %d and %d", tried, 3*10*60/10, most)
	}
}

// TestReplicaLeavesAServerWithoutSource checks that a replica leaves a server that does not receive
// the source's commands only if another server can be tried, and at a bounded rate if no server
// does.
func TestReplicaLeavesAServerWithoutSource(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newLiveReplicaTest(t, s)
	silent := heartbeatMessage(&distributionpb.Heartbeat{
		Fleet: testFleet, Position: s.Position().Proto(), Term: 1, SourceAgeNs: uint64(time.Minute),
	})
	for n := range 2 {
		c.receive(silent)
		if len(c.disconnects) != n+1 || c.disconnects[n].Reason != ReasonSourceSilent {
			t.Fatalf("the disconnects are %v", c.disconnects)
		}
		c.connected()
		c.wait(200 * time.Millisecond)
	}
	c.receive(silent)
	if len(c.disconnects) != 2 {
		t.Errorf("the replica left the last server too: %v", c.disconnects)
	}
	for c.now < 10*time.Minute {
		c.wait(500 * time.Millisecond)
		c.connected()
		c.receive(silent)
	}
	if most := int(10*time.Minute/(c.replica.settings.MaxBackoff/2)) +
		10; len(c.disconnects) > most || len(c.disconnects) < 10 {
		t.Errorf("%d disconnects, want between 10 and %d", len(c.disconnects), most)
	}
}

// TestReplicaPersists checks that a changing state is persisted once in each PersistInterval.
func TestReplicaPersists(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newLiveReplicaTest(t, s)
	span := c.replica.settings.PersistInterval
	for n := range 60 {
		c.now += span / 20
		c.receive(deltaMessage(s.advance(0, []Change{ready("a", int64(n+2))})))
		c.wait(0)
	}
	if len(c.persisted) != 3 {
		t.Errorf("the state was persisted %d times, want 3", len(c.persisted))
	}
	if last := c.persisted[len(c.persisted)-1].Position(); last != s.Position() {
		t.Errorf("the last persisted state is at %v, want %v", last, s.Position())
	}
}

// TestReplicaReturnsToPreferredServer checks that a replica returns to its preferred server after
// at least half of ReturnInterval.
func TestReplicaReturnsToPreferredServer(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newReplicaTest(t, s)
	c.disconnected()
	c.connected()
	for c.now < 2*c.replica.settings.ReturnInterval && len(c.disconnects) == 1 {
		c.heartbeat(s.Position())
		c.wait(time.Second)
	}
	c.requireDisconnected(ReasonPreferredServer)
	if c.now < c.replica.settings.ReturnInterval/2 || c.connects[2] != c.connects[0] {
		t.Errorf("the replica returned after %v; connects %v", c.now, c.connects)
	}
}

// TestReplicaLeavesARemovedServer checks that a replica leaves a server that is removed from the
// list.
func TestReplicaLeavesARemovedServer(t *testing.T) {
	c := newReplicaTest(t, NewState())
	c.connected()
	c.replica.SetServers(c.now, []Server{{ID: "other"}})
	c.recordActions()
	c.requireDisconnected(ReasonServerRemoved)
	if c.connects[1].ID != "other" {
		t.Errorf("the connects are %v", c.connects)
	}
}

// TestReplicaLeavesServerThatDoesNotAnswer checks that a replica leaves a server that sends
// heartbeats but does not answer a Resume within ProgressTimeout.
func TestReplicaLeavesServerThatDoesNotAnswer(t *testing.T) {
	s := stateOf(ready("a", 1))
	c := newReplicaTest(t, NewState())
	c.connected()
	for c.now < c.replica.settings.ProgressTimeout {
		c.heartbeat(s.Position())
		c.wait(time.Second)
	}
	c.requireDisconnected(ReasonNoProgress)
}

// FuzzReceived checks that whatever a server sends, the replica's state matches its position and
// never returns to an earlier one.
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
		c := newLiveReplicaTest(t, s.Clone())
		for range 3 {
			before := c.replica.Position()
			c.replica.Received(c.now, c.attempt, &m)
			c.recordActions()
			at := c.replica.Position()
			if at.Compare(before) < 0 ||
				rebuildState(c.replica.State(), testRandom()).Position() != at {
				t.Errorf("the replica went from %v to %v", before, at)
			}
			if c.replica.NextTick() <= 0 {
				t.Errorf("NextTick returns %v", c.replica.NextTick())
			}
			c.wait(time.Second)
		}
	})
}

// TestPositionOrder checks that positions are ordered by epoch, then by revision.
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
			t.Fatalf("comparing %v with %v returns %d", a, b, a.Compare(b))
		}
	})
}
