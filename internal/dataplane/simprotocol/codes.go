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
	1: policy.OK, 2: policy.Failed, 3: policy.Full, 4: policy.TimedOut,
	5: policy.ConnectFailed, 6: policy.Reset, 7: policy.Cancelled, 8: policy.Moot,
}

var news = map[uint8]policy.News{
	0: policy.Whole, 1: policy.Cached, 2: policy.Changed, 3: policy.Unheard,
}

var states = map[uint8]policy.State{0: policy.Left, 1: policy.Ready, 2: policy.Draining}

var effects = map[string]policy.Effect{
	"retryable": policy.Safe, "dedup": policy.Keyed, "fragile": policy.Unsafe,
}

var groups = map[string]policy.Group{
	"all": policy.GroupAll, "zone": policy.GroupZone, "cell": policy.GroupCell,
}

// metrics are the report values that decisions use; others are passed over.
var metrics = map[string]policy.Metric{"busy_reqs": policy.Busy, "pending": policy.Waiting}
