package policy

import "slices"

// attempt is one send of a request to a backend.
type attempt struct {
	backend         *backend
	zone            int // of the backend when the attempt was sent
	cell            int
	sentAt          Time
	pending         bool
	overdue         bool // pending past the latency objective
	spansSuspension bool // this gateway was suspended while it was in flight
	mayHaveRun      bool // pending, or ended without proof that nothing was executed
}

// request is a client's request that this gateway has not rejected.
type request struct {
	Request
	customer *customer
	deadline Time // when the client stops waiting
	attempts []*attempt
	done     bool // the client has its final answer, or has gone
	homeQuery
	allocationHold
}

// homeQuery is a request's query to its customer's home.
type homeQuery struct {
	queryNumber        byte
	decideBy           Time // when the request is decided without an answer
	deniedByHome       bool
	chargesHomeCeiling bool // the units are charged to the home's part of the ceiling
}

// attemptTable holds the requests in flight and the budget for their retries.
type attemptTable struct {
	requests       map[uint64]*request
	awaitingUnits  []*request // from a home or on demand, oldest first
	retries        retryBudget
	sendPace       decayingSum     // sends to each warm backend
	clientTimeouts [][]runningMean // microseconds, by plan and class
	meanValue      runningMean     // value of a request relative to the work that it takes
}

func newAttemptTable(settings *Settings) attemptTable {
	t := attemptTable{
		requests: map[uint64]*request{},
		retries:  retryBudget{attempts: maxRetryBudget},
	}
	for range settings.Plans {
		t.clientTimeouts = append(t.clientTimeouts, make([]runningMean, len(settings.Classes)))
	}
	return t
}

// tried reports whether the request has been sent to a backend.
func (r *request) tried(b *backend) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.backend == b })
}

// pending reports whether an attempt is in flight.
func (r *request) pending() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.pending })
}

// sendAttempt sends a request to a backend.
func (lb *Balancer) sendAttempt(r *request, b *backend) {
	a := &attempt{
		backend: b, zone: b.Zone, cell: b.Cell, sentAt: lb.now, pending: true, mayHaveRun: true,
	}
	r.attempts = append(r.attempts, a)
	lb.withinObjective[r.Class] = append(lb.withinObjective[r.Class], a)
	if b.inFlight == 0 {
		b.unansweredSince = lb.activeTime
	}
	b.inFlight++
	b.lastSend = lb.now
	r.customer.inFlight++
	if lb.warmFraction(b) < 1 {
		b.slowStart.level--
	}
	lb.actions.Send(r.ID, b.Backend, lb.hedgeAt(r))
}

// Outcome handles the end of an attempt: the request is done, gets a further attempt, or gets its
// final answer.
func (lb *Balancer) Outcome(now Time, o Outcome) {
	lb.advanceClock(now)
	r := lb.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].pending {
		return
	}
	a := r.attempts[o.Attempt]
	a.pending = false
	a.mayHaveRun = o.Result != Rejected && o.Result != ConnectFailed && o.Result != Superseded
	lb.settleAttempt(r, a, &o)
	r.done = r.done || o.RequestDone
	if r.pending() {
		return
	}
	if r.done {
		delete(lb.requests, o.ID)
		return
	}
	lb.retryOrAnswer(r, a)
}

// settleAttempt records the end of an attempt for its backend and its customer.
func (lb *Balancer) settleAttempt(r *request, a *attempt, o *Outcome) {
	b := a.backend
	b.inFlight--
	if a.overdue {
		b.overdue--
	}
	r.customer.inFlight--
	lb.recordLateness(r, a, o)
	if o.Result == OK || o.Result == Failed || o.Result == Rejected {
		b.unansweredSince = lb.activeTime
	}
	if o.Result == OK {
		lb.recordSendPace(b)
	}
	lb.recordLoadReport(b, o.Load)
	lb.recordOutcome(a, r.Class, o.Result, float64(o.Duration))
	if o.Result == Rejected {
		lb.backOffRejecting(b)
		lb.reportFault(b, lb.planSubject(r.Plan))
	} else if o.Result == Failed || o.Result == TimedOut && !a.spansSuspension {
		lb.reportFault(b, lb.classSubject(r.Class))
	}
	lb.applyMeterReading(r.customer, o.MeteredUse)
	lb.settleUnits(r, o)
}

// settleUnits corrects a request's consumption by the units that its answer reports.
func (lb *Balancer) settleUnits(r *request, o *Outcome) {
	if !lb.settings.ReportsActualUnits || o.Result != OK || o.ActualUnits <= 0 {
		return
	}
	c := r.customer
	more := o.ActualUnits - r.Units
	lb.refill(c)
	lb.consume(c, more)
	if lb.usesAllocations(c) {
		lb.allocations.Consume(lb.now, r.ID, lb.sharedQuota(c), more)
	}
}

// ResponseStarted records that a streamed answer has begun, which is then the client's final one.
func (lb *Balancer) ResponseStarted(now Time, id uint64) {
	lb.advanceClock(now)
	if r := lb.requests[id]; r != nil {
		r.done = true
	}
}

// ClientGone records that a client has left, or that its timeout has passed.
func (lb *Balancer) ClientGone(now Time, id uint64) {
	lb.ResponseStarted(now, id)
	if r := lb.requests[id]; r != nil && !r.pending() {
		delete(lb.requests, id)
	}
}
