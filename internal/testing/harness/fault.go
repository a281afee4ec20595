package harness

import (
	"fmt"
	"time"
)

// FaultKind is something that goes wrong.
type FaultKind string

// The kinds of faults. N is a gateway for kill, restart, freeze and clock, a server for
// down, drain, slow, errors, hang and reset, and the first of the second half for cut.
const (
	Kill FaultKind = "kill" // ends outright, and comes back knowing nothing
	// the same, and comes back from its kept state, if states are kept
	Restart FaultKind = "restart"
	Freeze  FaultKind = "freeze" // stands still for a moment
	// is killed, and its next process has a clock that is off by X seconds
	ClockOff       FaultKind = "clock"
	Down           FaultKind = "down"   // a server ends, and comes back cold
	Drained        FaultKind = "drain"  // a server is said to drain, and then to be ready again
	Slow           FaultKind = "slow"   // its work takes X times as long
	Errors         FaultKind = "errors" // a part X of its requests fail at once
	Hang           FaultKind = "hang"   // it takes requests and answers none
	Resets         FaultKind = "reset"  // a part X of its answers end with a reset connection
	RegistrySilent FaultKind = "silent" // the register tells nothing
	Cut            FaultKind = "cut"    // no note passes between two halves of the gateways
	LateBy         FaultKind = "late"   // notes come X seconds later
)

// The kinds by whom they befall.
var (
	GatewayFaults = []FaultKind{Kill, Restart, Freeze, ClockOff}
	ServerFaults  = []FaultKind{Down, Drained, Slow, Errors, Hang, Resets}
	OtherFaults   = []FaultKind{RegistrySilent, Cut, LateBy}
)

// Fault is one thing that goes wrong, as data: it can be written down, changed, and
// played again by any rig.
type Fault struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Kind FaultKind     `json:"kind"`
	N    int           `json:"n"`
	X    float64       `json:"x,omitempty"`
}

// String is a fault as a person reads it.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s %d for %v, %.2f",
		f.At.Round(time.Millisecond), f.Kind, f.N, f.For.Round(time.Millisecond), f.X)
}
