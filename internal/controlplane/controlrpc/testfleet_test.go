package controlrpc

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"testing"

	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/replica"
)

var discardLog = slog.New(slog.DiscardHandler)

// startVoters starts voters in this process, with TCP connections and storage on disk.
func startVoters(t testing.TB, count int) (voters []*controlpb.Voter, servers []*Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var listeners []net.Listener
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		name := fmt.Sprintf("v%d", i)
		voters = append(voters, &controlpb.Voter{
			Number:  replica.BootstrapNumber("test", name),
			Name:    name,
			Address: l.Addr().String(),
		})
	}
	for i, l := range listeners {
		servers = append(servers, startVoter(t, ctx, voters, i, l))
	}
	t.Cleanup(func() {
		cancel()
		for _, s := range servers {
			<-s.Replica().Done()
			s.Stop()
		}
	})
	return voters, servers
}

// startVoter starts one of the voters, which serves at a listener.
func startVoter(
	t testing.TB, ctx context.Context, voters []*controlpb.Voter, i int, l net.Listener,
) *Server {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "log")
	if err := replica.Bootstrap(dir, "test", voters[i].Name, voters); err != nil {
		t.Fatal(err)
	}
	s := NewServer(ctx, "test", nil, nil)
	err := s.StartReplica(ctx, replica.Options{
		Dir:              dir,
		Address:          voters[i].Address,
		Log:              discardLog,
		NewStateMachines: newStateMachines,
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	return s
}

func newStateMachines() map[string]consensus.StateMachine {
	leases := lease.NewMachine(lease.DefaultConfig())
	return map[string]consensus.StateMachine{
		lease.MachineName:      leases,
		checkpoint.MachineName: checkpoint.NewMachine(leases),
	}
}

// newTestClient returns a client of the voters, for a new incarnation of an id.
func newTestClient(t testing.TB, id string, voters []*controlpb.Voter) *Client {
	self := lease.Member{ID: id, Incarnation: rand.Uint64()}
	c := NewClient("test", self, "", voters, nil, discardLog)
	t.Cleanup(c.Close)
	return c
}
