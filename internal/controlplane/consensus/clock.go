package consensus

import "time"

// fleetClock gives the fleet's time: the timestamp of an entry plus the time that has passed since
// by the voter's own clock.
type fleetClock struct {
	timestamp time.Duration // the fleet's time
	localTime time.Duration // the voter's clock at that timestamp
}

// now returns the fleet's time when the voter's clock shows localTime.
func (c *fleetClock) now(localTime time.Duration) time.Duration {
	return c.timestamp + max(0, localTime-c.localTime)
}

// observe advances the clock to the timestamp of an entry that is applied now. A timestamp that the
// clock has already passed changes nothing: the clock has counted no more than the time that has
// passed since an earlier entry.
func (c *fleetClock) observe(timestamp, localTime time.Duration) {
	if timestamp > c.now(localTime) {
		c.resetTo(timestamp, localTime)
	}
}

// resetTo sets the clock to a timestamp, which may be earlier than the clock's time: a leader
// counts only from the newest entry that it has applied.
func (c *fleetClock) resetTo(timestamp, localTime time.Duration) {
	c.timestamp = timestamp
	c.localTime = localTime
}
