package distributor

import (
	"context"
	"fmt"
	"testing"
	"unsafe"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
)

// Each delta is encoded once, however many replicas it is sent to.
func TestADeltaIsEncodedOnce(t *testing.T) {
	const replicas, deltas = 20, 10
	s := newTestServer(t, nil)
	s.apply(setServer("s0", "127.0.0.1:1"))
	var all []*testReplica
	for i := range replicas {
		r := newReplica(t, fmt.Sprintf("r%d", i), "", discardLog, s)
		r.waitFor(s)
		all = append(all, r)
	}
	before := s.Status().Counts
	for i := range deltas {
		s.apply(setServer("s0", fmt.Sprintf("127.0.0.1:%d", 2+i)))
		for _, r := range all {
			r.waitFor(s)
		}
	}
	counts := s.Status().Counts
	sent := counts.Deltas - before.Deltas
	encoded := counts.Encoded - before.Encoded
	if sent != replicas*deltas || encoded != deltas {
		t.Errorf("%d deltas were sent and %d encoded, for %d changes to %d replicas",
			sent, encoded, deltas, replicas)
	}
	if n := s.Status().Replicas; n != replicas {
		t.Errorf("%d replicas are served, not %d", n, replicas)
	}
}

// recordingStream records the messages that are sent on it.
type recordingStream struct {
	grpc.ServerStream
	sent []controlrpc.Encoded
}

func (s *recordingStream) SendMsg(m any) error {
	s.sent = append(s.sent, m.(controlrpc.Encoded))
	return nil
}

func (s *recordingStream) Context() context.Context     { return context.Background() }
func (s *recordingStream) SetHeader(metadata.MD) error  { return nil }
func (s *recordingStream) SendHeader(metadata.MD) error { return nil }

// Streams that send the same message share its bytes.
func TestBytesAreShared(t *testing.T) {
	message := &distribution.Message{
		Response: &distributionpb.WatchResponse{},
		Bytes:    []byte("encoded"),
	}
	stream := &recordingStream{}
	for range 2 {
		if err := send(stream, message); err != nil {
			t.Fatal(err)
		}
	}
	for _, raw := range stream.sent {
		if unsafe.SliceData([]byte(raw)) != unsafe.SliceData(message.Bytes) {
			t.Error("the bytes were copied")
		}
	}
}

// openStream opens a stream without a Client.
func openStream(t *testing.T, address string) watchStream {
	t.Helper()
	connection, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	stream, err := distributionpb.NewDistributionClient(connection).Watch(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// resumeRequest returns the first request of a replica that has no state.
func resumeRequest(fleet string) *distributionpb.WatchRequest {
	return &distributionpb.WatchRequest{Request: &distributionpb.WatchRequest_Resume{
		Resume: &distributionpb.Resume{Fleet: fleet, Replica: "by-hand"},
	}}
}

// A request of another fleet's replica and an empty request end the stream with InvalidArgument.
func TestInvalidRequestsAreRejected(t *testing.T) {
	s := newTestServer(t, nil)
	for _, request := range []*distributionpb.WatchRequest{resumeRequest("other"), {}} {
		stream := openStream(t, s.address)
		if err := stream.Send(request); err != nil {
			t.Fatal(err)
		}
		_, err := stream.Recv()
		if status.Code(err) != codes.InvalidArgument {
			t.Errorf("%v: %v", request, err)
		}
	}
	eventually(t, func() bool { return s.Status().Replicas == 0 })
}

// A process without a voter rejects streams as Unavailable.
func TestOpenWithoutVoterIsUnavailable(t *testing.T) {
	s := NewServer(NewPublisherSettings(testFleet, DefaultSourceTimeout, 0), discardLog)
	if _, _, err := s.open(); status.Code(err) != codes.Unavailable {
		t.Errorf("%v", err)
	}
}

// startDeltas makes the server send deltas on a stream, by a resync that fetches no buckets. It
// returns the position at which the deltas begin.
func startDeltas(t *testing.T, stream watchStream) *distributionpb.Position {
	t.Helper()
	if err := stream.Send(resumeRequest(testFleet)); err != nil {
		t.Fatal(err)
	}
	for got := 0; ; {
		response, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		digests := response.GetDigests()
		if got += len(digests.GetSums()); got < distribution.BucketCount*distribution.DigestBytes {
			continue
		}
		fetch := &distributionpb.FetchBuckets{Position: digests.Position}
		request := &distributionpb.WatchRequest{
			Request: &distributionpb.WatchRequest_Fetch{Fetch: fetch},
		}
		if err := stream.Send(request); err != nil {
			t.Fatal(err)
		}
		return digests.Position
	}
}

// A stream that is not read for a while delays no other stream. When it is read again, its deltas
// follow without a gap until the server's log no longer reaches back to the stream's position, and
// the server starts a resync by sending digests.
func TestPausedReaderGetsMergedChanges(t *testing.T) {
	// The changes are more than the flow-control window of a stream holds.
	const changes, addressBytes, logged = 600, 32 << 10, 8
	s := newTestServer(t, func(settings *distribution.PublisherSettings) {
		settings.Log.Entries, settings.MergeWindow = logged, 0
	})
	s.apply(setServer("s0", "127.0.0.1:1"))
	stream := openStream(t, s.address)
	at := startDeltas(t, stream).Revision
	before := s.Status().Counts.Resyncs
	r := newReplica(t, "reads", "", discardLog, s)
	r.waitFor(s)
	for i := range changes {
		s.apply(setServer(fmt.Sprintf("s%d", i%7), fmt.Sprintf("%0*d", addressBytes, i)))
		if i%logged == 0 {
			r.waitFor(s)
		}
	}
	r.waitFor(s)
	for last := s.machine.State().Position().Revision; at < last; {
		response, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if delta := response.GetDelta(); delta != nil {
			if delta.From != at {
				t.Fatalf("a delta begins at revision %d, not at %d", delta.From, at)
			}
			at = delta.To
		}
		if response.GetDigests() != nil {
			break
		}
	}
	if at == 1 || s.Status().Counts.Resyncs == before {
		t.Errorf("no delta or no resync: at revision %d, %+v", at, s.Status().Counts)
	}
}

// Updates beyond the capacity of the queue are merged into one that has the complete state.
func TestUpdateQueueIsBounded(t *testing.T) {
	q := updateQueue{ready: make(chan struct{}, 1)}
	machine := distribution.NewMachine(permissiveFence{})
	machine.Updated = q.put
	s := &testServer{t: t, machine: machine}
	for i := range maxQueuedUpdates + 10 {
		s.apply(setServer("s0", fmt.Sprintf("127.0.0.1:%d", 1+i)))
	}
	updates := q.take()
	if len(updates) > maxQueuedUpdates || !updates[0].Restored {
		t.Errorf("%d updates are queued, the first one is %+v", len(updates), updates[0])
	}
	if last := updates[len(updates)-1]; last.State.Position() != machine.State().Position() {
		t.Errorf("the last update is at %s, not %s", last.State.Position(), machine.State().Position())
	}
}
