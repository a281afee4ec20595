// Package monotonic reads a clock that is never set, and that continues while the process is
// stopped and while the machine is suspended. The expiry of leases is measured with it.
package monotonic

import (
	"time"

	"golang.org/x/sys/unix"

	"mothcleat/internal/failpoint"
)

// Now returns the time since a fixed moment in the past, which is the same for all processes of a
// machine. It reads CLOCK_BOOTTIME because CLOCK_MONOTONIC stops while the machine is suspended.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every system that this program is built for has CLOCK_BOOTTIME
	}
	return failpoint.Clock(time.Duration(t.Nano()))
}
