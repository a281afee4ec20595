package distribution

import (
	"fmt"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// Action is one step that the caller of a Replica has to carry out: a Connect, SendRequest,
// Disconnect, Deliver, Persist or ReportError.
type Action interface{ action() }

// Connect opens a stream to a server. The caller passes the stream's events to the Replica with the
// number of the attempt. No other stream is open at that time.
type Connect struct {
	Attempt uint64
	Server  Server
}

// SendRequest sends a request on the open stream.
type SendRequest struct{ Request *distributionpb.WatchRequest }

// Disconnect closes the stream of the last Connect, or cancels the attempt to open it.
type Disconnect struct {
	Server Server
	Reason error
}

// Deliver passes changes to the gateway. They lead from the state delivered last to the state at
// Position.
type Deliver struct {
	Changes  []Change
	Position Position
}

// Persist writes the state to disk. State is never modified afterwards.
type Persist struct{ State *State }

// ReportError logs an error that did not end the stream. A message was rejected, and the replica
// kept its state.
type ReportError struct{ Err error }

func (Connect) action()     {}
func (SendRequest) action() {}
func (Disconnect) action()  {}
func (Deliver) action()     {}
func (Persist) action()     {}
func (ReportError) action() {}

// DisconnectReason is the reason why a replica left a server.
type DisconnectReason string

// Reasons for leaving a server.
const (
	ReasonUnreachable     DisconnectReason = "it could not be reached in time"
	ReasonStreamEnded     DisconnectReason = "the stream has ended"
	ReasonUnresponsive    DisconnectReason = "it was silent"
	ReasonBehind          DisconnectReason = "it is behind"
	ReasonSourceSilent    DisconnectReason = "it has not heard of the source"
	ReasonNoProgress      DisconnectReason = "resuming made no progress"
	ReasonPreferredServer DisconnectReason = "a preferred server is available"
	ReasonServerRemoved   DisconnectReason = "it was removed from the list of servers"
)

// DisconnectError is the Reason of a Disconnect.
type DisconnectError struct {
	Server string
	Reason DisconnectReason
	// SilentFor is the time since the server's last message.
	SilentFor time.Duration
	// Cause is the error of the stream, a WrongFleetError, or nil.
	Cause error
}

// Error returns the server, the reason and the cause.
func (e *DisconnectError) Error() string {
	text := fmt.Sprintf("distribution: server %s: %s", e.Server, e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *DisconnectError) Unwrap() error { return e.Cause }
