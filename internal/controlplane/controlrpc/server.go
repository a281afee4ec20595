// Package controlrpc carries what the gateways of a fleet say to one another about their agreed
// state: between voters, and between every gateway and the voters. It decides nothing.
//
// It is gRPC without encryption or sign-in, for loopback and for operators' private networks only.
package controlrpc

import (
	"context"
	"errors"
	"io/fs"
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

const (
	mostBytes   = 64 << 20 // of a message: a snapshot is one
	packetBytes = 256 << 10
	askWithin   = 5 * time.Second // for a call without a deadline of its own
	newsEvery   = 5 * time.Second // a watcher hears at least so often, so that it knows that it hears
)

// UsageSource gives the parts of this gateway's use that were not collected yet.
type UsageSource func(had map[uint64]uint64, give func(*controlpb.Part) error) error

// Budgets divides what the fleet shares, in the process that owns a shard of it.
type Budgets interface {
	Renew(ask *controlpb.RenewRequest) *controlpb.RenewResponse
	GrantOnDemand(ask *controlpb.OnDemandRequest) *controlpb.OnDemandResponse
}

// Contents has the contents of versions.
type Contents interface {
	// Give sends a content from a place on; fs.ErrNotExist if it is not here.
	Give(digest string, from int64, send func([]byte) error) error
	// Keep fetches a content from the process that asks for that.
	Keep(ctx context.Context, ask *controlpb.KeepAsk) error
	// Delta gives what leads to a content from one that the asker has; fs.ErrNotExist if the content is not here.
	Delta(request *controlpb.ContentDeltaRequest) (*controlpb.ContentDeltaResponse, error)
	// Buckets gives some buckets of a content's records; fs.ErrNotExist if the content is not here.
	Buckets(request *controlpb.ContentBucketsRequest) (*controlpb.ContentBucketsResponse, error)
}

// Server answers other processes of the fleet.
type Server struct {
	controlpb.UnimplementedFleetServer
	fleet string
	grpc  *grpc.Server
	peers *peers
	parts UsageSource

	// Budgets answers who uses budgets; nil: nobody does here. It is to be set before Serve.
	Budgets Budgets
	// Contents answers who fetches; nil: there are none here. It is to be set before Serve.
	Contents Contents

	mu    sync.Mutex
	voter *replica.Replica // nil: this process has none
	news  map[string]*controlpb.StateUpdate
	woken chan struct{} // closed when there is news
}

// NewServer makes a server of a fleet, with further options of the library's; see Observer. Serve has it answer.
func NewServer(ctx context.Context, fleet string, addresses Addresses, parts UsageSource, more ...grpc.ServerOption) *Server {
	s := &Server{fleet: fleet, parts: parts, news: map[string]*controlpb.StateUpdate{}, woken: make(chan struct{})}
	options := append([]grpc.ServerOption{serverCodec(), grpc.MaxRecvMsgSize(mostBytes), grpc.MaxSendMsgSize(mostBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 5 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true})}, more...)
	s.grpc = grpc.NewServer(options...)
	controlpb.RegisterFleetServer(s.grpc, s)
	s.peers = &peers{ctx: ctx, fleet: fleet, addresses: addresses, to: map[route]*peer{},
		lost: func(n uint64) {
			if v := s.Replica(); v != nil {
				v.ReportUnreachable(n)
			}
		},
		passed: func(n uint64, ok bool) {
			if v := s.Replica(); v != nil {
				v.ReportSnapshot(n, ok)
			}
		}}
	return s
}

// StartReplica has a voter answer here from now on.
func (s *Server) StartReplica(ctx context.Context, opt replica.Options) error {
	opt.OnChange = s.tell
	v, err := replica.Run(ctx, opt, s.peers)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.voter = v
	s.mu.Unlock()
	return nil
}

// Replica is the voter that answers here; nil: none.
func (s *Server) Replica() *replica.Replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.voter
}

// Register has this server answer further services beside its own. It is to be called before Serve.
func (s *Server) Register(register func(grpc.ServiceRegistrar)) { register(s.grpc) }

// Serve answers at a listener until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop ends all calls and connections.
func (s *Server) Stop() {
	s.grpc.Stop()
	s.peers.conns.close()
}

// tell keeps the newest state of a machine for those who watch.
func (s *Server) tell(machine string, index uint64, state []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.news[machine] = &controlpb.StateUpdate{Index: index, Body: state}
	close(s.woken)
	s.woken = make(chan struct{})
}

var errOtherFleet = status.Error(codes.PermissionDenied, "another fleet")

// Pass takes in another voter's messages.
func (s *Server) Pass(in grpc.ClientStreamingServer[controlpb.Packet, controlpb.Empty]) error {
	for {
		p, err := in.Recv()
		if err != nil {
			return err
		}
		if p.Fleet != s.fleet {
			return errOtherFleet
		}
		messages := make([]*raftpb.Message, 0, len(p.Messages))
		for _, raw := range p.Messages {
			m := &raftpb.Message{}
			if err := proto.Unmarshal(raw, m); err != nil || m.GetFrom() != p.From.GetNumber() {
				return status.Error(codes.InvalidArgument, "a message that can't be read")
			}
			messages = append(messages, m)
		}
		if v := s.Replica(); v != nil {
			v.Step(p.From, messages)
		}
	}
}

// within gives a call without a deadline one.
func within(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, askWithin)
}

// voting finds the voter, or why there is none.
func (s *Server) voting(fleet string) (*replica.Replica, *controlpb.Answer, error) {
	if fleet != s.fleet {
		return nil, nil, errOtherFleet
	}
	if v := s.Replica(); v != nil {
		return v, nil, nil
	}
	return nil, &controlpb.Answer{Code: controlpb.Code_NOT_LEADER, Reason: "this process is no voter"}, nil
}

// Prove tells a voter that starts what it has promised.
func (s *Server) Prove(ctx context.Context, p *controlpb.Position) (*controlpb.VerificationReply, error) {
	v, _, err := s.voting(p.Fleet)
	if err != nil {
		return nil, err
	}
	if v == nil {
		return nil, status.Error(codes.Unavailable, "no voter")
	}
	ctx, cancel := within(ctx)
	defer cancel()
	if w := v.AnswerVerification(ctx, p); w != nil {
		return w, nil
	}
	return nil, status.Error(codes.Unavailable, "this voter can't say now")
}

// Do proposes a command.
func (s *Server) Do(ctx context.Context, c *controlpb.Command) (*controlpb.Answer, error) {
	v, no, err := s.voting(c.Fleet)
	if v == nil {
		return no, err
	}
	ctx, cancel := within(ctx)
	defer cancel()
	return v.Propose(ctx, c), nil
}

// Ask reads what is agreed.
func (s *Server) Ask(ctx context.Context, q *controlpb.Query) (*controlpb.Answer, error) {
	v, no, err := s.voting(q.Fleet)
	if v == nil {
		return no, err
	}
	ctx, cancel := within(ctx)
	defer cancel()
	return v.Read(ctx, q), nil
}

// Alter proposes a change of voters.
func (s *Server) Alter(ctx context.Context, c *controlpb.VoterChange) (*controlpb.Answer, error) {
	v, no, err := s.voting(c.Fleet)
	if v == nil {
		return no, err
	}
	ctx, cancel := within(ctx)
	defer cancel()
	return v.ChangeVoter(ctx, c), nil
}

// Watch tells of a machine's changes: the state as it is, and again when it has changed. What a watcher has
// not taken yet is passed over for what is newer.
func (s *Server) Watch(ask *controlpb.WatchRequest, out grpc.ServerStreamingServer[controlpb.StateUpdate]) error {
	if ask.Fleet != s.fleet {
		return errOtherFleet
	}
	if s.Replica() == nil {
		return status.Error(codes.Unavailable, "no voter")
	}
	var told *controlpb.StateUpdate
	still := time.NewTicker(newsEvery)
	defer still.Stop()
	for {
		s.mu.Lock()
		news, woken := s.news[ask.Machine], s.woken
		s.mu.Unlock()
		if news != nil && news != told {
			if err := out.Send(news); err != nil {
				return err
			}
			told = news
		}
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case <-woken:
		case <-still.C:
			if told != nil {
				if err := out.Send(told); err != nil {
					return err
				}
			}
		}
	}
}

// Collect gives this gateway's use.
func (s *Server) Collect(ask *controlpb.CollectRequest, out grpc.ServerStreamingServer[controlpb.Part]) error {
	if ask.Fleet != s.fleet {
		return errOtherFleet
	}
	if s.parts == nil {
		return status.Error(codes.Unimplemented, "this process counts no use")
	}
	had := map[uint64]uint64{}
	for _, c := range ask.Collected {
		had[c.Incarnation] = c.Period
	}
	return s.parts(had, out.Send)
}

// Renew renews a process's rights, if the budgets are divided here.
func (s *Server) Renew(_ context.Context, ask *controlpb.RenewRequest) (*controlpb.RenewResponse, error) {
	switch {
	case ask.Fleet != s.fleet:
		return nil, errOtherFleet
	case s.Budgets == nil:
		return &controlpb.RenewResponse{Code: controlpb.Code_NOT_LEADER, Why: "this process divides nothing"}, nil
	}
	return s.Budgets.Renew(ask), nil
}

// Borrow lends units, if the budget is divided here.
func (s *Server) Borrow(_ context.Context, ask *controlpb.OnDemandRequest) (*controlpb.OnDemandResponse, error) {
	switch {
	case ask.Fleet != s.fleet:
		return nil, errOtherFleet
	case s.Budgets == nil:
		return &controlpb.OnDemandResponse{Code: controlpb.Code_NOT_LEADER, Why: "this process divides nothing"}, nil
	}
	return s.Budgets.GrantOnDemand(ask), nil
}

// Content gives the content of a version, if it is here.
func (s *Server) Content(ask *controlpb.ContentAsk, out grpc.ServerStreamingServer[controlpb.Piece]) error {
	if err := s.checkContents(ask.Fleet); err != nil {
		return err
	}
	return contentError(s.Contents.Give(ask.Digest, ask.From, func(data []byte) error {
		return out.Send(&controlpb.Piece{Data: data})
	}))
}

// contentError has a missing content told as such.
func contentError(err error) error {
	if errors.Is(err, fs.ErrNotExist) {
		return status.Error(codes.NotFound, "it is not here")
	}
	return err
}

// ContentDelta gives what leads to the content of a version from one that the asker has.
func (s *Server) ContentDelta(_ context.Context, request *controlpb.ContentDeltaRequest) (*controlpb.ContentDeltaResponse, error) {
	if err := s.checkContents(request.Fleet); err != nil {
		return nil, err
	}
	answer, err := s.Contents.Delta(request)
	return answer, contentError(err)
}

// ContentBuckets gives some buckets of a content's records.
func (s *Server) ContentBuckets(_ context.Context, request *controlpb.ContentBucketsRequest) (*controlpb.ContentBucketsResponse, error) {
	if err := s.checkContents(request.Fleet); err != nil {
		return nil, err
	}
	answer, err := s.Contents.Buckets(request)
	return answer, contentError(err)
}

// checkContents refuses a request for contents of another fleet, or where none are kept.
func (s *Server) checkContents(fleet string) error {
	switch {
	case fleet != s.fleet:
		return errOtherFleet
	case s.Contents == nil:
		return status.Error(codes.Unimplemented, "this process keeps no contents")
	}
	return nil
}

// Keep fetches a content from the process that asks for that.
func (s *Server) Keep(ctx context.Context, ask *controlpb.KeepAsk) (*controlpb.Answer, error) {
	switch {
	case ask.Fleet != s.fleet:
		return nil, errOtherFleet
	case s.Contents == nil:
		return &controlpb.Answer{Code: controlpb.Code_REFUSED, Reason: "this process keeps no contents"}, nil
	}
	ctx, cancel := within(ctx)
	defer cancel()
	if err := s.Contents.Keep(ctx, ask); err != nil {
		return &controlpb.Answer{Code: controlpb.Code_REFUSED, Reason: err.Error()}, nil
	}
	return &controlpb.Answer{}, nil
}
