// Package monotonic reads a clock that nobody sets, and that goes on while the process is stopped
// and while the machine is suspended. Leases are timed by it.
package monotonic

import (
	"time"

	"golang.org/x/sys/unix"

	"mothcleat/internal/failpoint"
)

// Now returns the time since a moment in the past that is the same for all processes of a machine.
// It reads CLOCK_BOOTTIME, in place of CLOCK_MONOTONIC, which stands still during suspend.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every system that this program is built for has it
	}
	return failpoint.Clock(time.Duration(t.Nano()))
}
