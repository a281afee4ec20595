package policy

import "math"

const (
	saturationLatencyFraction = 0.35 // of the objective, the mean latency of a saturated back end
	minInFlight               = 3.0  // attempts that a healthy backend may always hold
	minInFlightWhenLate       = 1.0  // the same while all answers are late, so that it drains
	sufficientAnswerRate      = 8.0  // answers a second that count as much as all peers' load views
	minOwnInFlight            = 2.0  // attempts one gateway may always have in flight
	ownCapacityFactor         = 2.0  // even shares of the capacity that it may use beyond that
)

// saturationState estimates how much the back end can do, and how much of that is used.
type saturationState struct {
	withinObjective [][]*attempt  // of each class, oldest first: those not yet past their objective
	onTime          decayingSum   // answers within their objective, over a second
	lateFraction    runningMean   // of recent answers, those past their objective
	meanLatency     runningMean   // microseconds
	classLatencies  []runningMean // microseconds, of each class
	minObjective    Time          // the shortest latency objective
	healthyCount    int           // backends
	warmCount       int           // healthy backends that are not in slow start
	peerLoad
}

// peerLoad is what peers told of their load in the last second, each counted once.
type peerLoad struct {
	activePeers   decayingSum // peers
	peersInFlight decayingSum // attempts
	peersOnTime   decayingSum // answers a second
}

// add merges a peer's load. The weight is below 1 if the peer has told of its load less than a
// second ago, so that it counts as one however often it does.
func (p *peerLoad) add(now Time, weight, inFlight, onTime float64) {
	p.activePeers.add(now, second, weight)
	p.peersInFlight.add(now, second, weight*inFlight)
	p.peersOnTime.add(now, second, weight*onTime)
}

func newSaturationState(settings *Settings) saturationState {
	s := saturationState{
		withinObjective: make([][]*attempt, len(settings.Classes)),
		classLatencies:  make([]runningMean, len(settings.Classes)),
		minObjective:    settings.Classes[0].LatencyObjective,
	}
	for _, class := range settings.Classes {
		s.minObjective = min(s.minObjective, class.LatencyObjective)
	}
	return s
}

// saturated reports whether a part of the back end's capacity is used up. The capacity is the
// number of attempts that are answered within their objective in the time that an answer may take.
func (lb *Balancer) saturated(fraction float64) bool {
	lb.refreshHealth()
	inFlight, onTime, gateways := lb.loadView()
	perBackend := minInFlight - (minInFlight-minInFlightWhenLate)*lb.lateFraction.value
	minCapacity := perBackend * float64(lb.healthyCount) / float64(lb.settings.Gateways) * gateways
	answerTime := lb.saturationLatency(lb.settings.Classes)
	measuredCapacity := onTime * answerTime / float64(second) * saturationLatencyFraction
	capacity := math.Max(minCapacity, measuredCapacity)
	if inFlight >= capacity*fraction {
		return true
	}
	// Many gateways may start or see more demand at the same moment, so that one may use more than
	// an even share, yet not all of it.
	ownLimit := minOwnInFlight + ownCapacityFactor*capacity/gateways*fraction
	return lb.effectiveInFlight() >= ownLimit
}

// saturationLatency returns the latency that an answer may have, in microseconds. A loaded back end
// slows down all classes alike: the class with the tightest objective sets it.
func (s *saturationState) saturationLatency(classes []Class) float64 {
	allowed := math.Inf(1)
	for i, latency := range s.classLatencies {
		if latency.value > 0 {
			objective := float64(classes[i].LatencyObjective)
			allowed = math.Min(allowed, s.meanLatency.value/latency.value*objective)
		}
	}
	if math.IsInf(allowed, 1) {
		return float64(s.minObjective)
	}
	return allowed
}

// loadView returns the attempts in flight and the answers on time in a second, with those of the
// peers, and of how many gateways that is the load. On its own a gateway may see only a few answers
// a second; the more it sees, the less the peers' older figures count.
func (lb *Balancer) loadView() (inFlight, onTime, gateways float64) {
	weight := lb.peerWeight()
	inFlight = lb.effectiveInFlight() + weight*lb.peersInFlight.get(lb.activeTime, second)
	onTime = lb.onTime.get(lb.activeTime, second) + weight*lb.peersOnTime.get(lb.activeTime, second)
	gateways = 1 + weight*lb.activePeers.get(lb.activeTime, second)
	return inFlight, onTime, gateways
}

// peerWeight returns how much the peers' figures count, from 0 to 1.
func (lb *Balancer) peerWeight() float64 {
	own := lb.onTime.get(lb.activeTime, second)
	return sufficientAnswerRate / (sufficientAnswerRate + own)
}

// effectiveInFlight returns how many attempts the back end works on for this gateway. Overdue ones
// count as far as answers are late everywhere: lost or stuck at a few backends they would reject
// what the others can serve. Those at an unhealthy backend do not count, at a slow one they count
// less.
func (lb *Balancer) effectiveInFlight() float64 {
	total := 0.0
	for _, b := range lb.backends {
		if b.unhealthy || b.inFlight == 0 {
			continue
		}
		counted := float64(b.inFlight) - float64(b.overdue)*(1-lb.lateFraction.value)
		total += counted / math.Max(1, b.currentLatencyRatio(lb.now)/2)
	}
	return total
}

// refreshHealth brings overdue attempts and the health of the backends up to date.
func (lb *Balancer) refreshHealth() {
	for class := range lb.withinObjective {
		lb.markOverdue(class, lb.settings.Classes[class].LatencyObjective)
	}
	lb.healthyCount = 0
	lb.warmCount = 0
	for _, b := range lb.backends {
		lb.detectUnresponsive(b)
		if b.State != Ready || !b.listed || lb.ejected(b) {
			continue
		}
		lb.healthyCount++
		if lb.warmFraction(b) == 1 {
			lb.warmCount++
		}
	}
}

// markOverdue marks the attempts of a class that have been in flight for longer than an age.
func (lb *Balancer) markOverdue(class int, age Time) {
	attempts := lb.withinObjective[class]
	for len(attempts) > 0 && lb.now-attempts[0].sentAt > age {
		a := attempts[0]
		if a.pending {
			a.overdue = true
			a.backend.overdue++
		}
		attempts = attempts[1:]
	}
	lb.withinObjective[class] = attempts
}

// recordLateness counts an answer as late or on time. Other ends say nothing of the back end's
// capacity: a rejected attempt counted as on time would admit more of its kind.
func (lb *Balancer) recordLateness(r *request, a *attempt, o *Outcome) {
	late := o.Duration > lb.settings.Classes[r.Class].LatencyObjective
	if a.spansSuspension || o.Result != OK && !(o.Result == TimedOut && late) {
		return
	}
	lb.addAnswer(lb.activeTime, late)
}

// addAnswer counts an answer that came late or on time.
func (s *saturationState) addAnswer(now Time, late bool) {
	s.lateFraction.add(indicator(late), fastSampleWeight)
	s.onTime.add(now, second, indicator(!late))
}
