package policy

import "math"

const (
	saturationLatencyFraction = 0.35 // of the objective: mean latency of a saturated back end
	minInFlight               = 3.0  // attempts that a healthy backend may always hold
	minInFlightWhenLate       = 1.0  // the same while all answers are late, so that queues drain
	sufficientAnswerRate      = 8.0  // answers a second that count as much as all peers' load views
	minOwnInFlight            = 2.0  // attempts one gateway may always have in flight
	ownCapacityFactor         = 2.0  // even shares of the capacity that it may use in addition
)

// saturationState estimates the back end's capacity and how much of it is used.
type saturationState struct {
	withinObjective [][]*attempt  // of each class, oldest first: those not past their objective
	onTime          decayingSum   // answers within their objective, over a second
	lateFraction    runningMean   // fraction of recent answers that were past their objective
	meanLatency     runningMean   // microseconds
	classLatencies  []runningMean // microseconds, of each class
	minObjective    Time          // the shortest latency objective
	healthyCount    int           // backends
	warmCount       int           // healthy backends that are not in slow start
	peerLoad
}

// peerLoad is the load that peers reported in the last second, each peer counted once.
type peerLoad struct {
	activePeers   decayingSum // peers
	peersInFlight decayingSum // attempts
	peersOnTime   decayingSum // answers a second
}

// add merges a peer's load report. The weight is below 1 if the peer's previous report is less than
// a second old, so that a peer counts once however often it reports.
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

// saturated reports whether a fraction of the back end's capacity is used up. The capacity is the
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
	// Demand may rise at many gateways at the same moment, also when they all start. One gateway
	// may therefore use more than an even share of the capacity, but not all of it.
	ownLimit := minOwnInFlight + ownCapacityFactor*capacity/gateways*fraction
	return lb.effectiveInFlight() >= ownLimit
}

// saturationLatency returns the latency that an answer may have, in microseconds. A loaded back end
// slows down all classes alike, so the class with the tightest objective determines it.
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

// loadView returns the attempts in flight and the on-time answers a second, including those of the
// peers, and the number of gateways covered. A single gateway may see only a few answers a second;
// the more it sees, the less the peers' older figures count.
func (lb *Balancer) loadView() (inFlight, onTime, gateways float64) {
	weight := lb.peerWeight()
	inFlight = lb.effectiveInFlight() + weight*lb.peersInFlight.get(lb.activeTime, second)
	onTime = lb.onTime.get(lb.activeTime, second) + weight*lb.peersOnTime.get(lb.activeTime, second)
	gateways = 1 + weight*lb.activePeers.get(lb.activeTime, second)
	return inFlight, onTime, gateways
}

// peerWeight returns the weight of the peers' figures, from 0 to 1.
func (lb *Balancer) peerWeight() float64 {
	own := lb.onTime.get(lb.activeTime, second)
	return sufficientAnswerRate / (sufficientAnswerRate + own)
}

// effectiveInFlight returns how many attempts the back end is working on for this gateway. Overdue
// attempts count only to the extent that answers are late everywhere: otherwise those that are lost
// or stuck at a few backends would cause the rejection of requests that the others can serve.
// Attempts at an unhealthy backend do not count, and those at a slow one count less.
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

// refreshHealth updates the overdue attempts and the health of the backends.
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

// markOverdue marks as overdue the attempts of a class that have been in flight for longer than an
// age.
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

// recordLateness counts an answer as late or on time. Other outcomes say nothing about the back
// end's capacity: to count a rejected attempt as on time would admit more attempts of its kind.
func (lb *Balancer) recordLateness(r *request, a *attempt, o *Outcome) {
	late := o.Duration > lb.settings.Classes[r.Class].LatencyObjective
	if a.spansSuspension || o.Result != OK && !(o.Result == TimedOut && late) {
		return
	}
	lb.addAnswer(lb.activeTime, late)
}

// addAnswer counts an answer as late or on time.
func (s *saturationState) addAnswer(now Time, late bool) {
	s.lateFraction.add(indicator(late), fastSampleWeight)
	s.onTime.add(now, second, indicator(!late))
}
