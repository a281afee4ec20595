// Package simprotocol implements the simulator's protocol in its dialect dune-e1ca: frames, records
// and settings. It is the only package that maps the protocol's codes and key names to the terms of
// package policy.
package simprotocol

import "mothcleat/internal/dataplane/policy"

// EventKind is the kind of an event. Its values are the protocol's codes.
type EventKind uint8

// The kinds of events.
const (
	PeerMessageReceived EventKind = 1
	ProbeEnded          EventKind = 2
	RequestReceived     EventKind = 3
	TimerFired          EventKind = 4
	InstanceStarted     EventKind = 5
	InstanceStopped     EventKind = 6 // like a crash: the instance can take no further action
	AttemptEnded        EventKind = 7
	EndpointsChanged    EventKind = 8
	ClientGone          EventKind = 9
	ResponseStarted     EventKind = 10
	CounterAnswered     EventKind = 11
)

// The protocol's codes of actions.
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

// The protocol's codes of results, list kinds and endpoint states.
var (
	results = map[uint8]policy.Result{
		1: policy.OK,
		2: policy.Failed,
		3: policy.Rejected,
		4: policy.TimedOut,
		5: policy.ConnectFailed,
		6: policy.Reset,
		7: policy.Cancelled,
		8: policy.Superseded,
	}
	listKinds = map[uint8]policy.ListKind{
		0: policy.Complete,
		1: policy.CompleteCached,
		2: policy.Delta,
		3: policy.Unavailable,
	}
	endpointStates = map[uint8]policy.EndpointState{
		0: policy.Removed,
		1: policy.Ready,
		2: policy.Draining,
	}
)

// The words that the protocol's settings use as values.
var (
	idempotencies = map[string]policy.Idempotency{
		"retryable": policy.Idempotent,
		"dedup":     policy.WithIdempotencyKey,
		"fragile":   policy.NotIdempotent,
	}
	deduplicationScopes = map[string]policy.DeduplicationScope{
		"all":  policy.ScopeAll,
		"zone": policy.ScopeZone,
		"cell": policy.ScopeCell,
	}
	// metrics are the values of a load report that decisions use. Other values map to
	// policy.Unused.
	metrics = map[string]policy.Metric{
		"busy_reqs": policy.BusyRequests,
		"pending":   policy.QueuedRequests,
	}
	// membershipModes maps to whether endpoints are polled.
	membershipModes = map[string]bool{"pushed": false, "on_request": true}
	// weightKinds maps to whether weights are comparable.
	weightKinds = map[string]bool{
		"silent":  false,
		"nominal": true,
		"rough":   true,
		"live":    true,
	}
)
