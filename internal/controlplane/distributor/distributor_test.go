package distributor

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/controlplane/lease"
)

const fleet = "test"

var (
	quiet  = slog.New(slog.NewTextHandler(io.Discard, nil))
	source = lease.Member{ID: "source", Incarnation: 1}
)

// openFence lets everybody through.
type openFence struct{}

func (openFence) Fence(string, uint64, lease.Member) error { return nil }

// testServer is a server with a machine that a test writes to.
type testServer struct {
	*Server
	t       *testing.T
	machine *distribution.Machine
	address string

	mu      sync.Mutex // of the machine
	begun   bool
	silence bool // the source says nothing by itself
}

func newTestServer(t *testing.T, change func(*distribution.PublisherSettings)) *testServer {
	t.Helper()
	settings := NewPublisherSettings(fleet, DefaultSourceTimeout, 0)
	if change != nil {
		change(&settings)
	}
	s := &testServer{
		Server:  NewServer(settings, quiet),
		t:       t,
		machine: distribution.NewMachine(openFence{}),
	}
	s.Attach(s.machine)
	ctx, cancel := context.WithCancel(context.Background())
	link := controlrpc.NewServer(ctx, fleet, nil, nil)
	link.Register(s.Server.Register)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	running.Go(func() { _ = link.Serve(listener) })
	t.Cleanup(func() {
		cancel()
		link.Stop()
		running.Wait()
	})
	return s
}

// agree has the machine take a command.
func (s *testServer) agree(changes ...*distributionpb.Change) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	command := &distributionpb.Command{Term: 1, Epoch: 1, Complete: !s.begun, Changes: changes}
	s.begun = true
	raw, err := proto.Marshal(command)
	if err != nil {
		s.t.Fatal(err)
	}
	if refusal := s.machine.Apply(0, 0, source, raw); len(refusal) > 0 {
		s.t.Fatal(string(refusal))
	}
}

// position is where the machine is.
func (s *testServer) position() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.State().Position()
}

// beat has the source say that it lives until the test ends, but for times of silence.
func (s *testServer) beat() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			s.mu.Lock()
			silence := s.silence
			s.mu.Unlock()
			if !silence {
				s.agree()
			}
			select {
			case <-ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	s.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

func (s *testServer) beSilent(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silence = yes
}

func set(id, address string) *distributionpb.Change {
	value, err := proto.Marshal(&distributionpb.ServerRecord{
		Address: address,
		Phase:   distributionpb.Phase_PHASE_READY,
	})
	if err != nil {
		panic(err)
	}
	return &distributionpb.Change{Kind: distribution.KindServer, Id: id, Value: value}
}

// testReplica is a client with what it was told.
type testReplica struct {
	*Client
	t    *testing.T
	stop func() // ends it, and returns when its state is written

	mu      sync.Mutex
	state   *distribution.State
	changes int
}

func (r *testReplica) Applied(changes []distribution.Change, state *distribution.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.changes += len(changes)
}

func (r *testReplica) HeartbeatReceived(time.Duration, bool) {}

func (r *testReplica) seen() (state *distribution.State, changes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.changes
}

// clientOptions are of a replica of servers, named by their place in the list.
func clientOptions(
	id, file string, silent time.Duration, log *slog.Logger, servers ...*testServer,
) ClientOptions {
	var voters []*controlpb.Voter
	for i, s := range servers {
		voters = append(voters, &controlpb.Voter{Name: string(rune('a' + i)), Address: s.address})
	}
	me := lease.Member{ID: id, Incarnation: 1}
	return ClientOptions{
		Link:     controlrpc.NewClient(fleet, me, "", voters, nil, log),
		Settings: NewReplicaSettings(fleet, id, me.Incarnation, distribution.Place{}, silent),
		File:     file,
		Log:      log,
	}
}

// newReplica starts a replica of servers.
func newReplica(
	t *testing.T, id, file string, log *slog.Logger, servers ...*testServer,
) *testReplica {
	t.Helper()
	o := clientOptions(id, file, DefaultSourceTimeout, log, servers...)
	r := &testReplica{Client: NewClient(o), t: t}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.Run(ctx, r)
	}()
	r.stop = sync.OnceFunc(func() {
		cancel()
		<-ended
		o.Link.Close()
	})
	t.Cleanup(r.stop)
	return r
}

// reaches waits until the replica has what a server has.
func (r *testReplica) reaches(s *testServer) {
	r.t.Helper()
	want := s.position()
	eventually(r.t, func() bool {
		state, _ := r.seen()
		return state != nil && state.Position() == want
	})
}

func eventually(t *testing.T, is func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not in time")
		}
	}
}
