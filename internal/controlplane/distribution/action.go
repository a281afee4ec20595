package distribution

import (
	"fmt"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// Action is what a Replica wants done: one of the types below.
type Action interface{ action() }

// Connect opens a stream to a server. What happens on it is told with the attempt's number; no other stream is open.
type Connect struct {
	Attempt uint64
	Server  Server
}

// SendRequest sends a request on the open stream.
type SendRequest struct{ Request *distributionpb.WatchRequest }

// Leave ends the stream of the last Connect, or the attempt to open it.
type Leave struct {
	Server Server
	Reason error
}

// Deliver has the gateway act on changes: those that lead from the last state delivered to the one at Position.
type Deliver struct {
	Changes  []Change
	Position Position
}

// Persist has the state written to disk. State is never changed afterwards.
type Persist struct{ State *State }

// Report has an error logged that did not end the stream: something was refused, and the old state kept.
type Report struct{ Err error }

func (Connect) action()     {}
func (SendRequest) action() {}
func (Leave) action()       {}
func (Deliver) action()     {}
func (Persist) action()     {}
func (Report) action()      {}

// LeaveReason says why a server was left.
type LeaveReason string

// The reasons for which a server is left. A WrongFleetError, or an error of a message that could not be
// repaired, is a reason as well.
const (
	LeftUnreached    LeaveReason = "it could not be reached in time"
	LeftDisconnected LeaveReason = "the stream has ended"
	LeftSilent       LeaveReason = "it was silent"
	LeftBehind       LeaveReason = "it is behind"
	LeftSourceSilent LeaveReason = "it has not heard of the source"
	LeftNoProgress   LeaveReason = "resuming did not help"
	LeftForNearer    LeaveReason = "another one is to be preferred"
	LeftRemoved      LeaveReason = "it serves no more"
)

// LeaveError is the Reason of a Leave.
type LeaveError struct {
	Server string
	Why    LeaveReason
	After  time.Duration // since something was heard of it
	Cause  error         // may be nil
}

func (e *LeaveError) Error() string {
	text := fmt.Sprintf("distribution: server %s: %s", e.Server, e.Why)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap gives the cause.
func (e *LeaveError) Unwrap() error { return e.Cause }
