//go:build !faults

package failpoint

import "time"

// Built reports whether this program was built with failpoints.
const Built = false

// At marks a named point in the code. It does nothing without failpoints.
func At(string) {}

// Clock returns the time unchanged, because there are no clock faults without failpoints.
func Clock(now time.Duration) time.Duration { return now }

// Denied reports whether the named operation has to fail. It returns false without failpoints.
func Denied(string) bool { return false }
