package policy

// Time is a point in time or a duration, in microseconds.
type Time = int64

const second Time = 1e6

// suspendedAfterTicks is how late a timer must be, in ticks, for the process to count as suspended.
const suspendedAfterTicks = 8

// clock holds the time of the current event and the time for which this gateway has been active.
type clock struct {
	now          Time // never decreases
	startedAt    Time // time of the first event; 0 before it
	nextTimer    Time // when the next gossip timer is due
	suspendedFor Time // total time of all suspensions
	activeTime   Time // now minus suspendedFor
	resumedAt    Time // end of the last suspension
}

// advanceClock sets the clock to an event's time. It comes first in every event.
func (lb *Balancer) advanceClock(now Time) {
	lb.now = max(lb.now, now)
	if lb.startedAt == 0 {
		lb.start(now)
		return
	}
	lb.detectSuspension(now)
	lb.activeTime = lb.now - lb.suspendedFor
}

// start handles the first event: it sets the first timer and announces this gateway to its peers.
func (lb *Balancer) start(now Time) {
	lb.startedAt = max(1, now)
	lb.lastSweep = now
	lb.sharedBucket.at = now
	lb.activeTime = now
	if lb.stateSince == 0 {
		lb.stateSince = lb.startedAt
	}
	lb.scheduleTimer()
	if lb.settings.PollEndpoints {
		lb.watchEndpoints()
	}
	lb.announceStart()
}

// detectSuspension detects by a late timer that this process did not run for a while. The durations
// of the attempts then in flight say nothing about their backends.
func (lb *Balancer) detectSuspension(now Time) {
	late := now - lb.nextTimer
	if late <= suspendedAfterTicks*lb.settings.Tick {
		return
	}
	lb.suspendedFor += late
	lb.nextTimer = now
	lb.resumedAt = now
	for class, attempts := range lb.withinObjective {
		for _, a := range attempts {
			a.spansSuspension = true
		}
		lb.markOverdue(class, -1)
	}
}

// scheduleTimer sets the next gossip timer.
func (lb *Balancer) scheduleTimer() {
	lb.nextTimer = lb.now + lb.gossipInterval
	lb.actions.SetTimer(lb.nextTimer, gossipTimer)
}
