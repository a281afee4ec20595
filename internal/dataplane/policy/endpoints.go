package policy

import "slices"

// backend is one server as this gateway sees it.
type backend struct {
	Endpoint
	listed          bool
	inFlight        int  // attempts
	overdue         int  // attempts in flight that are past their latency objective
	unansweredSince Time // in active time: its last answer, or when it became busy
	lastSend        Time // 0: never
	reportedQueue   float64
	queueReportedAt Time
	slowStart       tokenBucket   // sends
	faultReports    []decayingSum // by class, then by plan
	outlierState
	latencyState
	trialState
}

// endpointTable holds the backends that discovery lists, and those that it no longer lists while
// they have attempts in flight.
type endpointTable struct {
	backends    []*backend
	backendByID map[uint32]*backend
	meanWeight  float64 // of the ready backends that have a weight; 0: none has
	lastWatch   Time
	watching    bool // discovery reports changes
}

// UpdateEndpoints handles a watch event. Backends that it reports as draining or removed get no
// further attempts.
func (lb *Balancer) UpdateEndpoints(now Time, kind ListKind, list []Endpoint) {
	lb.advanceClock(now)
	if kind == Unavailable {
		lb.watching = false
		return
	}
	if kind != CompleteCached && kind != StaleBootstrap {
		lb.watching = true
	}
	for _, b := range lb.backends {
		b.listed = b.listed && kind == Delta
	}
	for _, endpoint := range list {
		lb.updateEndpoint(kind, endpoint)
	}
	lb.endpointTable.prune()
	lb.updateMeanWeight()
}

// updateEndpoint applies one entry of a list. A new process at a backend is in slow start.
func (lb *Balancer) updateEndpoint(kind ListKind, endpoint Endpoint) {
	b := lb.findOrAddBackend(endpoint)
	if endpoint.StartedAt > b.StartedAt {
		b.latencyRatio = 0
		b.errorRate = 0
		b.slowStart = lb.newSlowStartBucket()
	}
	endpoint.StartedAt = max(endpoint.StartedAt, b.StartedAt)
	b.Endpoint = endpoint
	b.listed = endpoint.State != Removed
	b.maybeRestarted = kind == StaleBootstrap
	if b.maybeRestarted {
		lb.scheduleTrial(b)
	}
}

// findOrAddBackend returns the record of an endpoint's backend, which it adds if there is none.
func (lb *Balancer) findOrAddBackend(endpoint Endpoint) *backend {
	b := lb.backendByID[endpoint.Backend]
	if b == nil {
		b = &backend{
			Endpoint:     endpoint,
			slowStart:    lb.newSlowStartBucket(),
			faultReports: make([]decayingSum, len(lb.settings.Classes)+len(lb.settings.Plans)),
		}
		lb.restoreBackend(b)
		lb.endpointTable.add(b)
	}
	return b
}

// add adds a backend's record.
func (t *endpointTable) add(b *backend) {
	t.backendByID[b.Backend] = b
	t.backends = append(t.backends, b)
}

// prune drops the backends that are not listed and have no attempts in flight.
func (t *endpointTable) prune() {
	t.backends = slices.DeleteFunc(t.backends, func(b *backend) bool {
		unused := !b.listed && b.inFlight == 0
		if unused {
			delete(t.backendByID, b.Backend)
		}
		return unused
	})
}

// updateMeanWeight computes the mean weight of the backends that are ready and have one.
func (t *endpointTable) updateMeanWeight() {
	sum := 0.0
	n := 0.0
	for _, b := range t.backends {
		if b.State == Ready && b.listed && b.Weight > 0 {
			sum += b.Weight
			n++
		}
	}
	t.meanWeight = sum / max(n, 1)
}

// watchEndpoints requests the list and its changes from discovery.
func (lb *Balancer) watchEndpoints() {
	lb.lastWatch = lb.now
	lb.actions.WatchEndpoints()
}

// pollEndpoints requests the list again if discovery must be polled and reports no changes.
func (lb *Balancer) pollEndpoints() {
	if !lb.settings.PollEndpoints || lb.watching {
		return
	}
	if lb.now-lb.lastWatch >= lb.settings.PollInterval/4 {
		lb.watchEndpoints()
	}
}
