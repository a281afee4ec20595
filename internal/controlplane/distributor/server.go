package distributor

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
)

// Server implements the Distribution service. It sends the state of the state machine of this
// process's voter, whether or not that voter is the leader. Its methods are safe for concurrent
// use.
type Server struct {
	distributionpb.UnimplementedDistributionServer
	log     *slog.Logger
	clock   clock
	updates updateQueue

	mu        sync.Mutex
	publisher *distribution.Publisher
	streams   map[distribution.StreamID]*serverStream
	lastID    distribution.StreamID
	// attached is set once Attach was called, and stays unset in a process without a voter.
	attached bool
	// nextTickAt is when Run's timer expires.
	nextTickAt time.Duration
	// rearm signals that Run has to tick before nextTickAt.
	rearm chan struct{}
}

// serverStream is an open stream. The Publisher has at most one message in flight on each stream,
// so sending to out never blocks.
type serverStream struct {
	out chan *distribution.Message
}

// NewServer returns a server without a state. It serves replicas once Attach was called and Run is
// running.
func NewServer(settings distribution.PublisherSettings, log *slog.Logger) *Server {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Server{
		log: log, clock: newClock(), updates: updateQueue{ready: make(chan struct{}, 1)},
		publisher: distribution.NewPublisher(settings, distribution.NewState(), random),
		streams:   map[distribution.StreamID]*serverStream{}, rearm: make(chan struct{}, 1),
	}
}

// Register registers the service with a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	distributionpb.RegisterDistributionServer(r, s)
}

// Attach makes the server publish a state machine's updates. It must be called before the state
// machine is used.
func (s *Server) Attach(machine *distribution.Machine) {
	s.mu.Lock()
	s.attached = true
	s.mu.Unlock()
	machine.Updated = s.updates.put
}

// Run publishes updates and handles timers until the context ends.
func (s *Server) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.rearm:
		case <-s.updates.ready:
		}
		timer.Reset(s.step())
	}
}

// step handles the queued updates and returns the time until the next tick.
func (s *Server) step() time.Duration {
	updates := s.updates.take()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	for _, u := range updates {
		s.publisher.Update(now, u)
	}
	s.publisher.Tick(now)
	s.dispatch(now)
	s.nextTickAt = s.publisher.NextTick(now)
	return s.nextTickAt - now
}

// dispatch passes the messages that can be sent now to their streams. It has to be called after
// each event, with the lock held.
func (s *Server) dispatch(now time.Duration) {
	for _, send := range s.publisher.Take(now) {
		s.streams[send.Stream].out <- send.Message
	}
	if s.publisher.NextTick(now) < s.nextTickAt {
		select {
		case s.rearm <- struct{}{}:
		default:
		}
	}
}

// Watch serves one replica until the stream ends.
func (s *Server) Watch(
	stream grpc.BidiStreamingServer[distributionpb.WatchRequest, distributionpb.WatchResponse],
) error {
	id, out, err := s.open()
	if err != nil {
		return err
	}
	defer s.close(id)
	receiveEnded := make(chan error, 1)
	go func() { receiveEnded <- s.receive(id, stream) }()
	for {
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case err := <-receiveEnded:
			return err
		case message := <-out:
			if err := send(stream, message); err != nil {
				return err
			}
			s.messageSent(id)
		}
	}
}

// open adds a stream. It returns a gRPC status error if this process is not a voter or too many
// streams are open.
func (s *Server) open() (distribution.StreamID, <-chan *distribution.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.attached {
		return 0, nil, status.Error(codes.Unavailable, "this process is no voter")
	}
	s.lastID++
	if err := s.publisher.Open(s.clock.now(), s.lastID); err != nil {
		return 0, nil, status.Error(codes.ResourceExhausted, err.Error())
	}
	out := make(chan *distribution.Message, 1)
	s.streams[s.lastID] = &serverStream{out}
	return s.lastID, out, nil
}

func (s *Server) close(id distribution.StreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, id)
	s.publisher.Close(id)
	s.dispatch(s.clock.now())
}

// receive handles the replica's requests until the stream ends or a request is rejected.
func (s *Server) receive(
	id distribution.StreamID,
	stream grpc.BidiStreamingServer[distributionpb.WatchRequest, distributionpb.WatchResponse],
) error {
	for {
		request, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil // the replica has closed its side, which ends the stream
		}
		if err != nil {
			return err
		}
		if err := s.handleRequest(id, request); err != nil {
			s.log.Warn("fleet: rejected a replica's request", "error", err)
			return status.Error(codes.InvalidArgument, err.Error())
		}
	}
}

func (s *Server) handleRequest(
	id distribution.StreamID, request *distributionpb.WatchRequest,
) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.now()
	err := s.publisher.Received(now, id, request)
	s.dispatch(now)
	return err
}

// messageSent notifies the publisher that a stream can take its next message.
func (s *Server) messageSent(id distribution.StreamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher.Sent(id)
	s.dispatch(s.clock.now())
}

// send sends a message. Streams that send the same message share its bytes.
func send(stream grpc.ServerStream, message *distribution.Message) error {
	return stream.SendMsg(controlrpc.Encoded(bytesToSend(message)))
}
