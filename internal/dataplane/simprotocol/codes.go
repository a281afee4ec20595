// Package simprotocol speaks the dune-e1ca dialect of the simulator: frames, records
// and settings. Every code and key name of the dialect stands in this package.
package simprotocol

import "mothcleat/internal/dataplane/policy"

// Kind is the kind of an event.
type Kind uint8

// The events, by their codes.
const (
	Heard     Kind = 1
	Sampled   Kind = 2
	Ingress   Kind = 3
	Wake      Kind = 4
	Provision Kind = 5
	CrashNow  Kind = 6
	Done      Kind = 7
	Backends  Kind = 8
	Dropped   Kind = 9
	First     Kind = 10
	Ledger    Kind = 11
)

// The actions, by their codes.
const (
	actAssign   = 65
	actPushBack = 66
	actLose     = 67
	actSetAlarm = 69
	actSoundOut = 70
	actWrite    = 72
	actRecord   = 73
	actBroken   = 74
	actFollow   = 75
	actCount    = 77
)

const (
	noteLimit = 256
	entrySize = 22
)

var results = map[uint8]policy.Result{
	1: policy.OK, 2: policy.Failed, 3: policy.Rejected, 4: policy.TimedOut,
	5: policy.ConnectFailed, 6: policy.Reset, 7: policy.Cancelled, 8: policy.Superseded,
}

var news = map[uint8]policy.ListKind{
	0: policy.Complete, 1: policy.CompleteCached, 2: policy.Delta, 3: policy.Unavailable,
}

var states = map[uint8]policy.EndpointState{0: policy.Removed, 1: policy.Ready, 2: policy.Draining}

var effects = map[string]policy.Idempotency{
	"retryable": policy.Idempotent, "dedup": policy.WithIdempotencyKey, "fragile": policy.NotIdempotent,
}

var groups = map[string]policy.DeduplicationScope{
	"all": policy.ScopeAll, "zone": policy.ScopeZone, "cell": policy.ScopeCell,
}

// metrics are the report values that decisions use; others are passed over.
var metrics = map[string]policy.Metric{"busy_reqs": policy.Busy, "pending": policy.Waiting}
