// Package wire speaks the dune-e1ca dialect of the simulator: frames, records
// and settings. Every code and key name of the dialect stands in this package.
package wire

import "mothcleat/decide"

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

var results = map[uint8]decide.Result{
	1: decide.OK, 2: decide.Failed, 3: decide.Full, 4: decide.TimedOut,
	5: decide.ConnectFailed, 6: decide.Reset, 7: decide.Cancelled, 8: decide.Moot,
}

var news = map[uint8]decide.News{
	0: decide.Whole, 1: decide.Cached, 2: decide.Changed, 3: decide.Unheard,
}

var states = map[uint8]decide.State{0: decide.Left, 1: decide.Ready, 2: decide.Draining}

var effects = map[string]decide.Effect{
	"retryable": decide.Safe, "dedup": decide.Keyed, "fragile": decide.Unsafe,
}

var groups = map[string]decide.Group{
	"all": decide.GroupAll, "zone": decide.GroupZone, "cell": decide.GroupCell,
}

// metrics are the report values that decisions use; others are passed over.
var metrics = map[string]decide.Metric{"busy_reqs": decide.Busy, "pending": decide.Waiting}
