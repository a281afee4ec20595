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
	supportTimeout       = 250 * time.Millisecond // for one voter to answer
	supportRetryInterval = time.Second
)

// voterSupport tells whether the voters know of the distribution. A voter of an older program takes
// no part any more once it meets an entry of it in the log: two of three would leave no majority.
type voterSupport struct {
	link        *controlrpc.Client
	log         *slog.Logger
	supported   bool      // no voter that answered was older, once
	lastProbe   time.Time // last
	warnedVoter string    // the voter that was named in the log
}

// ready reports whether entries may be proposed. It asks the voters now and then until a majority
// knows of the distribution, and none that answers doesn't. One that doesn't answer is not waited
// for: it holds up nobody but itself.
func (s *voterSupport) ready(ctx context.Context) bool {
	if s.supported || time.Since(s.lastProbe) < supportRetryInterval {
		return s.supported
	}
	s.lastProbe = time.Now()
	voters := s.link.Voters()
	supporting, older := 0, ""
	for _, voter := range voters {
		switch probeVoter(ctx, s.link, voter.Address) {
		case supportPresent:
			supporting++
		case supportMissing:
			older = voter.Name
		}
	}
	s.supported = older == "" && supporting > len(voters)/2
	s.warn(older)
	return s.supported
}

// warn names an older voter in the log, once.
func (s *voterSupport) warn(older string) {
	if older != "" && older != s.warnedVoter {
		s.log.Warn("fleet: the list of servers is not distributed: a voter runs an older program",
			"voter", older)
	}
	s.warnedVoter = older
}

// voterSupportStatus is what a voter answers when it is asked for the distribution.
type voterSupportStatus int

const (
	supportUnknown voterSupportStatus = iota
	supportPresent                    // it serves it
	supportMissing                    // it answers, and has no such service
)

// probeVoter opens a stream of the distribution and ends it at once.
func probeVoter(ctx context.Context, link *controlrpc.Client, address string) voterSupportStatus {
	ctx, cancel := context.WithTimeout(ctx, supportTimeout)
	defer cancel()
	connection, err := link.Connection(address)
	if err != nil {
		return supportUnknown
	}
	stream, err := distributionpb.NewDistributionClient(connection).Watch(ctx)
	if err == nil {
		if err = stream.CloseSend(); err == nil {
			_, err = stream.Recv()
		}
	}
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return supportPresent
	case status.Code(err) == codes.Unimplemented:
		return supportMissing
	}
	return supportUnknown
}
