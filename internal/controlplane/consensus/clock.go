package consensus

import "time"

// fleetClock gives the fleet's time. It starts from a timestamp and adds what the voter's own clock
// has counted since.
type fleetClock struct {
	timestamp time.Duration // the fleet's time
	localTime time.Duration // when that was, by the voter's clock
}

// now returns the fleet's time at a time of the voter's clock.
func (c *fleetClock) now(localTime time.Duration) time.Duration {
	return c.timestamp + max(0, localTime-c.localTime)
}

// observe advances the clock to the timestamp of an entry that is applied now. A timestamp that the
// clock has passed already changes nothing: what it has counted since an earlier entry is no more
// than the time that has passed.
func (c *fleetClock) observe(timestamp, localTime time.Duration) {
	if timestamp > c.now(localTime) {
		c.resetTo(timestamp, localTime)
	}
}

// resetTo sets the clock to a timestamp, also backwards: a leader counts from the newest entry that
// it has applied alone.
func (c *fleetClock) resetTo(timestamp, localTime time.Duration) {
	c.timestamp = timestamp
	c.localTime = localTime
}
