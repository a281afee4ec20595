//go:build !faults

package faultpoint

import "time"

// Built tells whether this program has faults.
const Built = false

// At passes a named point.
func At(string) {}

// Clock bends the time.
func Clock(now time.Duration) time.Duration { return now }

// Denied tells whether something is to fail: never.
func Denied(string) bool { return false }
