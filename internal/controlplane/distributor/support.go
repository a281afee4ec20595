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
	// supportTimeout bounds the probe of one voter.
	supportTimeout       = 250 * time.Millisecond
	supportRetryInterval = time.Second
)

// voterSupport determines whether the voters support the distribution. A voter that runs an older
// build stops when it reaches an entry of the distribution in the log, so two such voters of three
// would leave no majority.
type voterSupport struct {
	link *controlrpc.Client
	log  *slog.Logger
	// supported is set once a probe found that a majority of the voters supports the distribution
	// and that no voter that answered lacks it. It is never reset.
	supported bool
	// lastProbe is when the voters were last probed.
	lastProbe time.Time
	// warnedVoter is the voter that the last probe found without support; empty if there was none.
	warnedVoter string
}

// ready reports whether entries of the distribution may be proposed. Until they may, it probes the
// voters, at most once per supportRetryInterval. A voter that does not answer does not prevent the
// proposals.
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

// warn logs the name of an older voter, unless the probe before found the same one.
func (s *voterSupport) warn(older string) {
	if older != "" && older != s.warnedVoter {
		s.log.Warn("fleet: the list of servers is not distributed: a voter runs an older program",
			"voter", older)
	}
	s.warnedVoter = older
}

// voterSupportStatus is the result of probing one voter.
type voterSupportStatus int

const (
	supportUnknown voterSupportStatus = iota // the probe failed otherwise or timed out
	supportPresent                           // the voter serves the distribution
	supportMissing                           // the voter answered that it has no such service
)

// probeVoter opens a stream of the Distribution service and closes it immediately.
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
