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

const testFleet = "test"

var (
	discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))
	testSource = lease.Member{ID: "source", Incarnation: 1}
)

// permissiveFence accepts every command.
type permissiveFence struct{}

func (permissiveFence) Fence(string, uint64, lease.Member) error { return nil }

// testServer is a server with a state machine that a test applies commands to.
type testServer struct {
	*Server
	t       *testing.T
	machine *distribution.Machine
	address string

	mu           sync.Mutex // guards machine and the fields below
	hasList      bool       // a complete list was applied
	sourceSilent bool       // startHeartbeats applies no heartbeats
}

func newTestServer(t *testing.T, change func(*distribution.PublisherSettings)) *testServer {
	t.Helper()
	settings := NewPublisherSettings(testFleet, DefaultSourceTimeout, 0)
	if change != nil {
		change(&settings)
	}
	s := &testServer{
		Server:  NewServer(settings, discardLog),
		t:       t,
		machine: distribution.NewMachine(permissiveFence{}),
	}
	s.Attach(s.machine)
	ctx, cancel := context.WithCancel(context.Background())
	link := controlrpc.NewServer(ctx, testFleet, nil, nil)
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

// apply applies a command of the source with the given changes; without changes it is a heartbeat.
// The first command has the complete list.
func (s *testServer) apply(changes ...*distributionpb.Change) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	command := &distributionpb.Command{Term: 1, Epoch: 1, Complete: !s.hasList, Changes: changes}
	s.hasList = true
	raw, err := proto.Marshal(command)
	if err != nil {
		s.t.Fatal(err)
	}
	if rejection := s.machine.Apply(0, 0, testSource, raw); len(rejection) > 0 {
		s.t.Fatal(string(rejection))
	}
}

// position returns the state machine's position.
func (s *testServer) position() distribution.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.State().Position()
}

// startHeartbeats applies heartbeats of the source until the test ends, except while the source is
// set to silent.
func (s *testServer) startHeartbeats() {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			s.mu.Lock()
			silent := s.sourceSilent
			s.mu.Unlock()
			if !silent {
				s.apply()
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

func (s *testServer) setSourceSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sourceSilent = silent
}

// setServer returns a change that sets a server's record.
func setServer(id, address string) *distributionpb.Change {
	value, err := proto.Marshal(&distributionpb.ServerRecord{
		Address: address,
		Phase:   distributionpb.Phase_PHASE_READY,
	})
	if err != nil {
		panic(err)
	}
	return &distributionpb.Change{Kind: distribution.KindServer, Id: id, Value: value}
}

// testReplica is a client that records what it applied.
type testReplica struct {
	*Client
	t    *testing.T
	stop func() // ends the client, and returns when its state is written

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

// received returns the newest state and the number of changes applied so far.
func (r *testReplica) received() (state *distribution.State, changes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state, r.changes
}

// clientOptions returns the options of a client whose voters are the given servers, named a, b and
// so on.
func clientOptions(
	id, file string, sourceTimeout time.Duration, log *slog.Logger, servers ...*testServer,
) ClientOptions {
	var voters []*controlpb.Voter
	for i, s := range servers {
		voters = append(voters, &controlpb.Voter{Name: string(rune('a' + i)), Address: s.address})
	}
	me := lease.Member{ID: id, Incarnation: 1}
	return ClientOptions{
		Link:     controlrpc.NewClient(testFleet, me, "", voters, nil, log),
		Settings: NewReplicaSettings(testFleet, id, me.Incarnation, distribution.Place{}, sourceTimeout),
		File:     file,
		Log:      log,
	}
}

// newReplica starts a client whose voters are the given servers.
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

// waitFor waits until the replica is at the position that the server has now.
func (r *testReplica) waitFor(s *testServer) {
	r.t.Helper()
	want := s.position()
	eventually(r.t, func() bool {
		state, _ := r.received()
		return state != nil && state.Position() == want
	})
}

// eventually waits until a condition holds, and fails the test after 30 seconds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not in time")
		}
	}
}
