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

// Each delta is encoded once, however many replicas get it.
func TestADeltaIsEncodedOnce(t *testing.T) {
	const replicas, deltas = 20, 10
	s := newTestServer(t, nil)
	s.agree(set("s0", "127.0.0.1:1"))
	var all []*testReplica
	for i := range replicas {
		r := newReplica(t, fmt.Sprintf("r%d", i), "", quiet, s)
		r.reaches(s)
		all = append(all, r)
	}
	before := s.Status().Counts
	for i := range deltas {
		s.agree(set("s0", fmt.Sprintf("127.0.0.1:%d", 2+i)))
		for _, r := range all {
			r.reaches(s)
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

// recordingStream takes note of the bytes that it is given.
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

// A message's bytes go to all streams as they are, without a copy.
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

// watch opens a stream by hand.
func watch(t *testing.T, address string) watchStream {
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

func resume(fleet string) *distributionpb.WatchRequest {
	return &distributionpb.WatchRequest{Request: &distributionpb.WatchRequest_Resume{
		Resume: &distributionpb.Resume{Fleet: fleet, Replica: "by-hand"},
	}}
}

// A replica of another fleet, and a request that is none, end the stream with a line that says why.
func TestInvalidRequestsAreRejected(t *testing.T) {
	s := newTestServer(t, nil)
	for _, request := range []*distributionpb.WatchRequest{resume("other"), {}} {
		stream := watch(t, s.address)
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

// A process without a voter says so.
func TestWithoutAVoter(t *testing.T) {
	s := NewServer(NewPublisherSettings(fleet, DefaultSourceTimeout, 0), quiet)
	if _, _, err := s.open(); status.Code(err) != codes.Unavailable {
		t.Errorf("%v", err)
	}
}

// live has a stream go on to deltas, by a resync that fetches nothing. It gives the position from
// which they come.
func live(t *testing.T, stream watchStream) *distributionpb.Position {
	t.Helper()
	if err := stream.Send(resume(fleet)); err != nil {
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

// A stream that is not read for a while holds up nobody else. What it gets then follows without a
// gap, up to where the server no longer has what lies between, and sends digests.
func TestPausedReaderGetsMergedChanges(t *testing.T) {
	// More than a stream's window ever holds.
	const changes, addressBytes, logged = 600, 32 << 10, 8
	s := newTestServer(t, func(settings *distribution.PublisherSettings) {
		settings.Log.Entries, settings.MergeWindow = logged, 0
	})
	s.agree(set("s0", "127.0.0.1:1"))
	stream := watch(t, s.address)
	at := live(t, stream).Revision
	before := s.Status().Counts.Resyncs
	r := newReplica(t, "reads", "", quiet, s)
	r.reaches(s)
	for i := range changes {
		s.agree(set(fmt.Sprintf("s%d", i%7), fmt.Sprintf("%0*d", addressBytes, i)))
		if i%logged == 0 {
			r.reaches(s)
		}
	}
	r.reaches(s)
	for last := s.machine.State().Position().Revision; at < last; {
		response, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if delta := response.GetDelta(); delta != nil {
			if delta.From != at {
				t.Fatalf("a delta begins at %d, not at %d", delta.From, at)
			}
			at = delta.To
		}
		if response.GetDigests() != nil {
			break
		}
	}
	if at == 1 || s.Status().Counts.Resyncs == before {
		t.Errorf("at %d, %+v", at, s.Status().Counts)
	}
}

// More updates than the queue holds are told as one.
func TestUpdateQueueIsBounded(t *testing.T) {
	q := updateQueue{ready: make(chan struct{}, 1)}
	machine := distribution.NewMachine(openFence{})
	machine.Updated = q.put
	s := &testServer{t: t, machine: machine}
	for i := range maxQueuedUpdates + 10 {
		s.agree(set("s0", fmt.Sprintf("127.0.0.1:%d", 1+i)))
	}
	updates := q.take()
	if len(updates) > maxQueuedUpdates || !updates[0].Restored {
		t.Errorf("%d updates wait, the first %+v", len(updates), updates[0])
	}
	if last := updates[len(updates)-1]; last.State.Position() != machine.State().Position() {
		t.Errorf("the last is at %s, not %s", last.State.Position(), machine.State().Position())
	}
}
