package distribution

import (
	"fmt"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// Action is what a Replica wants done: one of the types below.
type Action interface{ action() }

// Connect opens a stream to a server. What happens on it is told with the attempt's number; no
// other stream is open.
type Connect struct {
	Attempt uint64
	Server  Server
}

// SendRequest sends a request on the open stream.
type SendRequest struct{ Request *distributionpb.WatchRequest }

// Disconnect ends the stream of the last Connect, or the attempt to open it.
type Disconnect struct {
	Server Server
	Reason error
}

// Deliver has the gateway act on changes: those that lead from the last state delivered to the one
// at Position.
type Deliver struct {
	Changes  []Change
	Position Position
}

// Persist has the state written to disk. State is never changed afterwards.
type Persist struct{ State *State }

// ReportError has an error logged that did not end the stream: something was refused, and the old
// state kept.
type ReportError struct{ Err error }

func (Connect) action()     {}
func (SendRequest) action() {}
func (Disconnect) action()  {}
func (Deliver) action()     {}
func (Persist) action()     {}
func (ReportError) action() {}

// DisconnectReason says why a server was left.
type DisconnectReason string

// The reasons for which a server is left. A WrongFleetError, or an error of a message that could
// not be repaired, is a reason as well.
const (
	ReasonUnreachable     DisconnectReason = "it could not be reached in time"
	ReasonStreamEnded     DisconnectReason = "the stream has ended"
	ReasonUnresponsive    DisconnectReason = "it was silent"
	ReasonBehind          DisconnectReason = "it is behind"
	ReasonSourceSilent    DisconnectReason = "it has not heard of the source"
	ReasonNoProgress      DisconnectReason = "resuming did not help"
	ReasonPreferredServer DisconnectReason = "another one is to be preferred"
	ReasonServerRemoved   DisconnectReason = "it serves no more"
)

// DisconnectError is the Reason of a Leave.
type DisconnectError struct {
	Server    string
	Reason    DisconnectReason
	SilentFor time.Duration // since something was heard of it
	Cause     error         // may be nil
}

func (e *DisconnectError) Error() string {
	text := fmt.Sprintf("distribution: server %s: %s", e.Server, e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap gives the cause.
func (e *DisconnectError) Unwrap() error { return e.Cause }
