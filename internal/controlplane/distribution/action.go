package distribution

import (
	"fmt"
	"time"

	"mothcleat/internal/controlplane/distributionpb"
)

// Action is one step that a Replica wants its caller to carry out: one of the types below.
type Action interface{ action() }

// Connect opens a stream to a server. Its events are passed to the Replica with the attempt's
// number. No other stream is open at that time.
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

// Deliver passes changes to the gateway: those that lead from the state delivered last to the one
// at Position.
type Deliver struct {
	Changes  []Change
	Position Position
}

// Persist writes the state to disk. State is never modified afterwards.
type Persist struct{ State *State }

// ReportError logs an error that did not end the stream: a message was rejected, and the replica
// kept its state.
type ReportError struct{ Err error }

func (Connect) action()     {}
func (SendRequest) action() {}
func (Disconnect) action()  {}
func (Deliver) action()     {}
func (Persist) action()     {}
func (ReportError) action() {}

// DisconnectReason says why a replica left a server.
type DisconnectReason string

// The reasons for which a replica leaves a server. The cause may be a WrongFleetError, or the error
// of a message that could not be repaired.
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

// DisconnectError is the Reason of a Disconnect.
type DisconnectError struct {
	Server string
	Reason DisconnectReason
	// SilentFor is the time since the last message of the server.
	SilentFor time.Duration
	// Cause may be nil.
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
