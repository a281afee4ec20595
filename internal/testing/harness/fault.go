package harness

import (
	"fmt"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults. Fault.N is a gateway for kill, restart, freeze and clock, a server for down,
// drain, slow, errors, hang and reset, and the first gateway of the second half for cut.
const (
	// Kill ends a gateway's process. The next one starts without stored state.
	Kill FaultKind = "kill"
	// Restart ends a gateway's process. The next one restores the stored state if states are
	// stored.
	Restart FaultKind = "restart"
	// Freeze suspends a gateway for a moment.
	Freeze FaultKind = "freeze"
	// ClockOff ends a gateway's process. The clock of the next one is off by X seconds.
	ClockOff FaultKind = "clock"
	// Down ends a server, which starts again and warms up.
	Down FaultKind = "down"
	// Drained announces that a server is draining, and later that it is ready again.
	Drained FaultKind = "drain"
	// Slow makes a server's work take X times as long.
	Slow FaultKind = "slow"
	// Errors makes a fraction X of a server's requests fail at once.
	Errors FaultKind = "errors"
	// Hang makes a server accept requests and answer none.
	Hang FaultKind = "hang"
	// Resets makes a fraction X of a server's answers end with a reset connection.
	Resets FaultKind = "reset"
	// RegistrySilent stops all updates of the registry.
	RegistrySilent FaultKind = "silent"
	// Cut stops all peer messages between two halves of the gateways.
	Cut FaultKind = "cut"
	// LateBy delays peer messages by X seconds.
	LateBy FaultKind = "late"
)

// The kinds of faults by what they affect.
var (
	GatewayFaults = []FaultKind{Kill, Restart, Freeze, ClockOff}
	ServerFaults  = []FaultKind{Down, Drained, Slow, Errors, Hang, Resets}
	OtherFaults   = []FaultKind{RegistrySilent, Cut, LateBy}
)

// Fault is one fault as data, which can be stored, changed and replayed by any rig.
type Fault struct {
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Kind FaultKind     `json:"kind"`
	N    int           `json:"n"`
	X    float64       `json:"x,omitempty"`
}

// String returns the fault in readable form.
func (f Fault) String() string {
	return fmt.Sprintf("%v %s %d for %v, %.2f",
		f.At.Round(time.Millisecond), f.Kind, f.N, f.For.Round(time.Millisecond), f.X)
}
