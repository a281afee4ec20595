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
	// supportTimeout bounds the time for one voter to answer.
	supportTimeout       = 250 * time.Millisecond
	supportRetryInterval = time.Second
)

// voterSupport finds out whether the voters support the distribution. A voter of an older program
// stops when it meets an entry of the distribution in the log, and two of three such voters would
// leave no majority.
type voterSupport struct {
	link *controlrpc.Client
	log  *slog.Logger
	// supported is set once a majority supports the distribution and no voter that answered is
	// older.
	supported bool
	// lastProbe is when the voters were last probed.
	lastProbe time.Time
	// warnedVoter is the voter that was last named in the log.
	warnedVoter string
}

// ready reports whether entries may be proposed. It probes the voters at intervals until a majority
// supports the distribution and none that answers is older. It does not wait for voters that do not
// answer.
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

// voterSupportStatus is the result of a probe.
type voterSupportStatus int

const (
	supportUnknown voterSupportStatus = iota
	supportPresent                    // the voter serves the distribution
	supportMissing                    // the voter answers and has no such service
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
		err = stream.CloseSend()
	}
	if err == nil {
		_, err = stream.Recv()
	}
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return supportPresent
	case status.Code(err) == codes.Unimplemented:
		return supportMissing
	}
	return supportUnknown
}
