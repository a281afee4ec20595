// Package simprotocol speaks the dune-e1ca dialect of the simulator: frames, records
// and settings. Every code and key name of the dialect stands in this package.
package simprotocol

import "mothcleat/internal/dataplane/policy"

// EventKind is the kind of an event.
type EventKind uint8

// The events, by their codes.
const (
	PeerMessageReceived EventKind = 1
	ProbeEnded          EventKind = 2
	RequestReceived     EventKind = 3
	TimerFired          EventKind = 4
	InstanceStarted     EventKind = 5
	InstanceStopped     EventKind = 6
	AttemptEnded        EventKind = 7
	EndpointsChanged    EventKind = 8
	ClientGone          EventKind = 9
	ResponseStarted     EventKind = 10
	CounterAnswered     EventKind = 11
)

// The actions, by their codes.
const (
	sendAction           = 65
	rejectAction         = 66
	failAction           = 67
	setTimerAction       = 69
	probeAction          = 70
	sendToPeerAction     = 72
	logAction            = 73
	instanceFailedAction = 74
	watchEndpointsAction = 75
	addToCounterAction   = 77
)

const (
	maxPeerMessageSize = 256
	endpointSize       = 22
)

var results = map[uint8]policy.Result{
	1: policy.OK, 2: policy.Failed, 3: policy.Rejected, 4: policy.TimedOut,
	5: policy.ConnectFailed, 6: policy.Reset, 7: policy.Cancelled, 8: policy.Superseded,
}

var listKinds = map[uint8]policy.ListKind{
	0: policy.Complete, 1: policy.CompleteCached, 2: policy.Delta, 3: policy.Unavailable,
}

var endpointStates = map[uint8]policy.EndpointState{0: policy.Removed, 1: policy.Ready, 2: policy.Draining}

var idempotencies = map[string]policy.Idempotency{
	"retryable": policy.Idempotent, "dedup": policy.WithIdempotencyKey, "fragile": policy.NotIdempotent,
}

var deduplicationScopes = map[string]policy.DeduplicationScope{
	"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell,
}

// metrics are the report values that decisions use; others are passed over.
var metrics = map[string]policy.Metric{"busy_reqs": policy.Busy, "pending": policy.Waiting}
