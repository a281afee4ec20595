package distributor

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distributionpb"
)

const (
	supportTimeout = 250 * time.Millisecond // for one voter to answer
	supportRetry   = time.Second
)

// voterSupport tells whether the voters know of the distribution. A voter of an older program takes no part any more once
// it meets an entry of it in the log: two of three would leave no majority.
type voterSupport struct {
	link   *controlrpc.Client
	log    *slog.Logger
	known  bool      // no voter that answered was older, once
	asked  time.Time // last
	warned string    // the voter that was named in the log
}

// ready tells whether entries may be proposed. It asks the voters now and then until a majority knows of the distribution,
// and none that answers doesn't. One that doesn't answer is not waited for: it holds up nobody but itself.
func (s *voterSupport) ready(ctx context.Context) bool {
	if s.known || time.Since(s.asked) < supportRetry {
		return s.known
	}
	s.asked = time.Now()
	voters := s.link.Voters()
	supporting, older := 0, ""
	for _, voter := range voters {
		switch askVoter(ctx, s.link, voter.Address) {
		case answerSupports:
			supporting++
		case answerOlder:
			older = voter.Name
		}
	}
	s.known = older == "" && supporting > len(voters)/2
	s.warn(older)
	return s.known
}

// warn names an older voter in the log, once.
func (s *voterSupport) warn(older string) {
	if older != "" && older != s.warned {
		s.log.Warn("fleet: the list of servers is not distributed: a voter runs an older program", "voter", older)
	}
	s.warned = older
}

// voterAnswer is what a voter answers when it is asked for the distribution.
type voterAnswer int

const (
	answerNone     voterAnswer = iota
	answerSupports             // it serves it
	answerOlder                // it answers, and has no such service
)

// askVoter opens a stream of the distribution and ends it at once.
func askVoter(ctx context.Context, link *controlrpc.Client, address string) voterAnswer {
	ctx, cancel := context.WithTimeout(ctx, supportTimeout)
	defer cancel()
	connection, err := link.Connection(address)
	if err != nil {
		return answerNone
	}
	stream, err := distributionpb.NewDistributionClient(connection).Watch(ctx)
	if err == nil {
		if err = stream.CloseSend(); err == nil {
			_, err = stream.Recv()
		}
	}
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return answerSupports
	case status.Code(err) == codes.Unimplemented:
		return answerOlder
	}
	return answerNone
}
