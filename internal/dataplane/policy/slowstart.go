package policy

import "math"

// sendPaceWindow is the time over which the rate of sends to a warm backend is measured.
const sendPaceWindow = 4 * second

// warmFraction returns the fraction of its capacity that a backend has at least, 1 after slow
// start.
func (lb *Balancer) warmFraction(b *backend) float64 {
	if b.StartedAt == 0 || lb.settings.SlowStartDuration == 0 {
		return 1
	}
	minFraction := lb.settings.SlowStartMinFraction
	age := math.Max(0, float64(lb.now-b.StartedAt)/float64(lb.settings.SlowStartDuration))
	return math.Min(1, minFraction+(1-minFraction)*age)
}

// newSlowStartBucket returns the bucket of sends for a backend that enters slow start. It holds a
// random part of one send, so that of many gateways neither all nor none send at once.
func (lb *Balancer) newSlowStartBucket() tokenBucket {
	return tokenBucket{level: lb.rand.Float64(), at: lb.now}
}

// slowStartAllows reports whether one more request may be sent to a backend. A backend in slow
// start gets its warm fraction of the sends that this gateway makes to a warm one. Unused sends
// accumulate over half of the window over which overload is measured. All gateways together thus
// use the backend no more than the warm ones.
func (lb *Balancer) slowStartAllows(b *backend) bool {
	warm := lb.warmFraction(b)
	if warm == 1 {
		return true
	}
	window := float64(lb.settings.SlowStartOverloadWindow) / float64(second)
	pace := lb.sendPace.get(lb.now, sendPaceWindow) * float64(second) / float64(sendPaceWindow)
	// All gateways together may send it at least one request in a window.
	minRate := 1 / math.Max(window, 1) / float64(lb.settings.Gateways)
	b.slowStart.rate = math.Max(pace, minRate) * warm
	b.slowStart.capacity = math.Max(1, b.slowStart.rate*window/2)
	b.slowStart.refill(lb.now)
	return b.slowStart.level >= 1
}

// recordSendPace counts an answer from a warm backend towards the rate of sends to each of them.
func (lb *Balancer) recordSendPace(b *backend) {
	if lb.warmFraction(b) == 1 {
		lb.sendPace.add(lb.now, sendPaceWindow, 1/float64(max(1, lb.warmCount)))
	}
}
