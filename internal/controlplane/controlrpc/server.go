package controlrpc

import (
	"context"
	"net"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/replica"
)

// defaultCallTimeout is the deadline of a call that has none of its own.
const defaultCallTimeout = 5 * time.Second

// Settings of the connections' keepalive.
const (
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
	minKeepaliveTime = 5 * time.Second // of clients
)

var errOtherFleet = status.Error(codes.PermissionDenied, "another fleet")

// Server answers the calls of other processes of the fleet. Its methods are safe for concurrent
// use.
type Server struct {
	controlpb.UnimplementedFleetServer
	fleet     string
	grpc      *grpc.Server
	transport *transport
	usage     UsageSource // nil: usage is not counted in this process

	// Budgets answers the calls for allocations; nil: this process answers none. It must be set
	// before Serve.
	Budgets Budgets
	// Contents answers the calls for contents of versions; nil: this process answers none. It must
	// be set before Serve.
	Contents Contents

	mu      sync.Mutex
	replica *replica.Replica                  // nil: this process has none
	updates map[string]*controlpb.StateUpdate // newest state, by name of the state machine
	updated chan struct{}                     // closed at the next update
}

// NewServer returns a server of a fleet. Additional options are passed to gRPC, such as those of an
// Observer. When the context ends, the server stops sending messages to other voters.
func NewServer(
	ctx context.Context, fleet string, overrides Addresses, usage UsageSource,
	options ...grpc.ServerOption,
) *Server {
	s := &Server{
		fleet:   fleet,
		usage:   usage,
		updates: map[string]*controlpb.StateUpdate{},
		updated: make(chan struct{}),
	}
	s.grpc = grpc.NewServer(append(defaultServerOptions(), options...)...)
	controlpb.RegisterFleetServer(s.grpc, s)
	s.transport = &transport{
		ctx:               ctx,
		fleet:             fleet,
		overrides:         overrides,
		peers:             map[peerKey]*peer{},
		reportUnreachable: s.reportUnreachable,
		reportSnapshot:    s.reportSnapshot,
	}
	return s
}

func defaultServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		serverCodec(),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minKeepaliveTime,
			PermitWithoutStream: true,
		}),
	}
}

func (s *Server) reportUnreachable(voter uint64) {
	if r := s.Replica(); r != nil {
		r.ReportUnreachable(voter)
	}
}

func (s *Server) reportSnapshot(voter uint64, ok bool) {
	if r := s.Replica(); r != nil {
		r.ReportSnapshot(voter, ok)
	}
}

// StartReplica starts a replica, which answers this server's calls from then on. The replica ends
// with the context.
func (s *Server) StartReplica(ctx context.Context, options replica.Options) error {
	options.OnChange = s.publish
	started, err := replica.Run(ctx, options, s.transport)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica = started
	return nil
}

// Replica returns the replica that answers this server's calls; nil: there is none.
func (s *Server) Replica() *replica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica
}

// Register registers further services with the server. It must be called before Serve.
func (s *Server) Register(register func(grpc.ServiceRegistrar)) { register(s.grpc) }

// Serve accepts connections from a listener and answers their calls until Stop is called.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop ends all calls and closes all connections.
func (s *Server) Stop() {
	s.grpc.Stop()
	s.transport.conns.close()
}

// withDefaultTimeout adds the default deadline to a context that has none.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultCallTimeout)
}

// Pass receives another voter's messages.
func (s *Server) Pass(
	stream grpc.ClientStreamingServer[controlpb.Packet, controlpb.Empty],
) error {
	for {
		packet, err := stream.Recv()
		if err != nil {
			return err
		}
		if packet.Fleet != s.fleet {
			return errOtherFleet
		}
		messages, err := decodePacket(packet)
		if err != nil {
			return err
		}
		if r := s.Replica(); r != nil {
			r.Step(packet.From, messages)
		}
	}
}

// decodePacket returns the messages of a packet. It returns an error if a message is malformed or
// is not from the sender of the packet.
func decodePacket(packet *controlpb.Packet) ([]*raftpb.Message, error) {
	messages := make([]*raftpb.Message, 0, len(packet.Messages))
	for _, raw := range packet.Messages {
		m := &raftpb.Message{}
		err := proto.Unmarshal(raw, m)
		if err != nil || m.GetFrom() != packet.From.GetNumber() {
			return nil, status.Error(codes.InvalidArgument, "a message that can't be read")
		}
		messages = append(messages, m)
	}
	return messages, nil
}

// Prove answers the verification request of a voter that starts: it returns what that voter has
// promised to this process's replica.
func (s *Server) Prove(
	ctx context.Context, position *controlpb.Position,
) (*controlpb.VerificationReply, error) {
	if position.Fleet != s.fleet {
		return nil, errOtherFleet
	}
	r := s.Replica()
	if r == nil {
		return nil, status.Error(codes.Unavailable, "no voter")
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	if reply := r.AnswerVerification(ctx, position); reply != nil {
		return reply, nil
	}
	return nil, status.Error(codes.Unavailable, "this voter can't say now")
}

// Do proposes a command.
func (s *Server) Do(ctx context.Context, c *controlpb.Command) (*controlpb.Answer, error) {
	return s.callReplica(ctx, c.Fleet, func(
		ctx context.Context, r *replica.Replica,
	) *controlpb.Answer {
		return r.Propose(ctx, c)
	})
}

// Ask reads a state machine.
func (s *Server) Ask(ctx context.Context, q *controlpb.Query) (*controlpb.Answer, error) {
	return s.callReplica(ctx, q.Fleet, func(
		ctx context.Context, r *replica.Replica,
	) *controlpb.Answer {
		return r.Read(ctx, q)
	})
}

// Alter proposes a change of voters.
func (s *Server) Alter(ctx context.Context, c *controlpb.VoterChange) (*controlpb.Answer, error) {
	return s.callReplica(ctx, c.Fleet, func(
		ctx context.Context, r *replica.Replica,
	) *controlpb.Answer {
		return r.ChangeVoter(ctx, c)
	})
}

// callReplica passes a request to this process's replica, if there is one. It rejects requests of
// other fleets.
func (s *Server) callReplica(
	ctx context.Context, fleet string,
	call func(ctx context.Context, r *replica.Replica) *controlpb.Answer,
) (*controlpb.Answer, error) {
	if fleet != s.fleet {
		return nil, errOtherFleet
	}
	r := s.Replica()
	if r == nil {
		return &controlpb.Answer{
			Code:   controlpb.Code_NOT_LEADER,
			Reason: "this process is no voter",
		}, nil
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	return call(ctx, r), nil
}
