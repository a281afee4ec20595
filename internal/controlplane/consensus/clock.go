package consensus

import "time"

// fleetClock gives the fleet's time.
type fleetClock struct {
	at    time.Duration // of the last entry applied, or stamped by this leader
	since time.Duration // on this voter's clock
}

// now is the fleet's time by this voter's clock.
func (c *fleetClock) now(local time.Duration) time.Duration {
	return c.at + max(0, local-c.since)
}

// saw takes in the stamp of an entry applied now. A stamp that this clock has passed already moves
// nothing: what it has counted since an earlier entry is no more than what has passed.
func (c *fleetClock) saw(at, local time.Duration) {
	if at > c.now(local) {
		c.at, c.since = at, local
	}
}

// lead sets the clock back to the last stamp: a leader counts from the newest entry alone.
func (c *fleetClock) lead(at, appliedAt time.Duration) { c.at, c.since = at, appliedAt }
