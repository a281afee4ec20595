package policy

import "math"

// sendPaceWindow is the time over which the pace of sends to a warm backend is measured.
const sendPaceWindow = 4 * second

// warmFraction returns the part of its capacity that a backend has at least, 1 after slow start.
func (lb *Balancer) warmFraction(b *backend) float64 {
	if b.StartedAt == 0 || lb.settings.SlowStartDuration == 0 {
		return 1
	}
	minFraction := lb.settings.SlowStartMinFraction
	age := math.Max(0, float64(lb.now-b.StartedAt)/float64(lb.settings.SlowStartDuration))
	return math.Min(1, minFraction+(1-minFraction)*age)
}

// newSlowStartBucket returns the sends that a backend may get at the start of its slow start: less
// than one, drawn, so that of many gateways neither all nor none send at once.
func (lb *Balancer) newSlowStartBucket() tokenBucket {
	return tokenBucket{level: lb.rand.Float64(), at: lb.now}
}

// slowStartAllows reports whether a backend may be sent one more request. In slow start it gets its
// warm fraction of what this gateway sends a warm backend, saved up for half of the window over
// which overload is measured: through all gateways it is used no more than the warm ones are.
func (lb *Balancer) slowStartAllows(b *backend) bool {
	warm := lb.warmFraction(b)
	if warm == 1 {
		return true
	}
	window := float64(lb.settings.SlowStartOverloadWindow) / float64(second)
	pace := lb.sendPace.get(lb.now, sendPaceWindow) * float64(second) / float64(sendPaceWindow)
	// Through all gateways it gets one send in a window at least.
	minRate := 1 / math.Max(window, 1) / float64(lb.settings.Gateways)
	b.slowStart.rate = math.Max(pace, minRate) * warm
	b.slowStart.capacity = math.Max(1, b.slowStart.rate*window/2)
	b.slowStart.refill(lb.now)
	return b.slowStart.level >= 1
}

// recordSendPace counts an answer from a warm backend towards the pace of sends to each of them.
func (lb *Balancer) recordSendPace(b *backend) {
	if lb.warmFraction(b) == 1 {
		lb.sendPace.add(lb.now, sendPaceWindow, 1/float64(max(1, lb.warmCount)))
	}
}
