//go:build !faults

package failpoint

import "time"

// Built reports whether this program was built with failpoints.
const Built = false

// At marks a named point in the code, and injects the faults that are set for it.
func At(string) {}

// Clock returns the time that a process with the set clock faults would read.
func Clock(now time.Duration) time.Duration { return now }

// Denied reports whether the named operation has to fail, which is never so without failpoints.
func Denied(string) bool { return false }
