package gateway

import (
	"fmt"
	"slices"
	"time"

	"mothcleat/internal/dataplane/metrics"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// answerMargin is how long before its client stops waiting a request times out: the answer has to
// reach the client, and this process may be kept from running for a moment.
const answerMargin policy.Time = 25_000

// request is a client's request. It stays in the request table until it is answered and all of its
// attempts have ended. It belongs to the event loop.
type request struct {
	id           uint64 // this gateway's own number; 0: it never reached the request table
	clientID     uint64 // the id that the client gave
	client       *client
	args         [][]byte
	timeoutField [2]int // the bounds of the value of field d in args[3]
	deadline     policy.Time

	classKnown bool // the command could be parsed, so that class is set
	class      int
	customer   uint64
	units      float64

	attemptsMade int
	outstanding  []*attempt // those without an outcome
	sent         bool       // an attempt was written to a backend, and the units were counted

	answered      bool
	reply         []byte         // waits in the client's pipeline for its turn
	streamed      *streamedValue // replaces reply for a long value; nil: none
	deadlineTimer *timer

	// allocationUntil is when the allocation that admitted the request expires, by the clock of
	// Config.Allocations; 0: never.
	allocationUntil time.Duration
	// leaseUntil and leaseStamp are of the version lease that admitted the request; see
	// VersionLease.
	leaseUntil time.Duration
	leaseStamp uint64
	// awaitingAuth is what goes to the balancer once the authenticator allows it; nil: nothing
	// waits for a verdict.
	awaitingAuth *policy.Request
}

// requestTable holds the requests that the gateway has accepted and not finished with. It belongs
// to the event loop.
type requestTable struct {
	byID       map[uint64]*request
	byClientID map[uint64]*request // those without a final answer, by the client's id
	lastID     uint64
	open       int // commands without a final answer, also those that never reach the balancer
	heldBytes  int // of requests in the table and of answers that wait for their turn
}

func newRequestTable() requestTable {
	return requestTable{byID: map[uint64]*request{}, byClientID: map[uint64]*request{}}
}

// add gives a request its number and enters it.
func (t *requestTable) add(r *request) {
	t.lastID++
	r.id = t.lastID
	t.byID[r.id] = r
	t.byClientID[r.clientID] = r
	t.heldBytes += argBytes(r.args)
}

// removeFinished drops a request that nothing waits for any more.
func (t *requestTable) removeFinished(r *request) {
	finished := r.answered && len(r.outstanding) == 0 && r.streamed == nil
	if finished && t.byID[r.id] == r {
		delete(t.byID, r.id)
		t.heldBytes -= argBytes(r.args)
	}
}

// freeClientID lets the client's id be used again.
func (t *requestTable) freeClientID(r *request) {
	if t.byClientID[r.clientID] == r {
		delete(t.byClientID, r.clientID)
	}
}

func argBytes(args [][]byte) int {
	n := 0
	for _, a := range args {
		n += len(a)
	}
	return n
}

// The gateway's own answers.
var (
	pongReply   = []byte("+PONG\r\n")
	failedReply = []byte("-ERR failed\r\n")
)

// busyReply tells a client that its request was not executed and when to retry: after a time in
// microseconds, rounded up to milliseconds; 0 or less: no advice.
func busyReply(retryAfter policy.Time) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	return fmt.Appendf(nil, "-BUSY %d\r\n", (retryAfter+999)/1000)
}

// retryLaterReply is busyReply with the advice that the settings allow.
func (g *Gateway) retryLaterReply(retryAfter policy.Time) []byte {
	if !g.cfg.Settings.RetryAfter {
		retryAfter = 0
	}
	return busyReply(min(retryAfter, g.cfg.Settings.MaxRetryAfter))
}

// answer gives a request its final answer. Only the first call counts; later answers never reach
// the client.
func (g *Gateway) answer(r *request, reply []byte) {
	if r.answered {
		return
	}
	r.reply = reply
	r.countOutcome(g.metrics, reply)
	g.requests.heldBytes += len(reply)
	g.closeRequest(r)
	r.client.flushAnswers(g)
	g.requests.removeFinished(r)
}

// closeRequest records that a request needs no further answer. Attempts that have not reached a
// backend completely are withdrawn.
func (g *Gateway) closeRequest(r *request) {
	r.answered = true
	g.requests.open--
	g.cancelPending(r)
	for _, a := range r.outstanding {
		g.backends.withdraw(g, a)
	}
}

// cancelPending ends what was still to be done to find an answer: the authenticator's verdict, the
// deadline's timer, the reservation of the client's id.
func (g *Gateway) cancelPending(r *request) {
	g.cancelAuthorization(r)
	g.cancel(r.deadlineTimer)
	r.deadlineTimer = nil
	g.requests.freeClientID(r)
}

// countOutcome counts how a request ended, by the beginning of its answer.
func (r *request) countOutcome(counters *metrics.Counters, reply []byte) {
	switch {
	case !r.classKnown:
	case len(reply) > 4 && string(reply[:5]) == "-BUSY":
		counters.CountRequest(r.class, metrics.Rejected)
	case len(reply) > 0 && reply[0] == '-':
		counters.CountRequest(r.class, metrics.Failed)
	default:
		counters.CountRequest(r.class, metrics.Answered)
	}
}

// submit enters a request in the table and has it authorised, where the settings ask for that, and
// then decided on by the balancer. arrived is when its command came.
func (g *Gateway) submit(r *request, policyReq policy.Request, arrived policy.Time) {
	now := g.now()
	g.requests.add(r)
	margin := min(answerMargin, policyReq.Timeout/4)
	r.deadline = arrived + policyReq.Timeout - margin
	r.client.lastSeenOpen = max(r.client.lastSeenOpen, arrived)
	r.deadlineTimer = g.schedule(r.deadline+margin/2, deadlineBackstop{r})
	policyReq.ID = r.id
	policyReq.Timeout = max(0, r.deadline-now)
	if g.pastDeadline(r) {
		g.answer(r, g.retryLaterReply(overloadRetryAfter)) // it arrived during a suspension
		return
	}
	if g.auth.Enabled() {
		g.authorize(r, policyReq)
		return
	}
	if g.acquireVersionLease(r) {
		g.applyAssignedPlan(&policyReq)
		g.balancer.Request(now, policyReq)
	}
}

// deadlineBackstop fails a request that is still open shortly before its client stops waiting,
// whatever went wrong: no request may stay unanswered.
type deadlineBackstop struct{ request *request }

func (b deadlineBackstop) due(g *Gateway) {
	r := b.request
	if r.answered {
		return
	}
	g.log.Warn("request was open at its deadline", "id", string(r.args[2]))
	g.answer(r, failedReply)
	g.balancer.ClientGone(g.now(), r.id)
}

// attemptOutcome is how an attempt ended. There is exactly one for each Send, and one for each
// Probe.
type attemptOutcome struct {
	attempt  *attempt
	result   policy.Result
	value    []byte
	load     []float32 // the backend's load report; nil: none
	duration policy.Time
}

func (o attemptOutcome) handle(g *Gateway) {
	r := o.attempt.request
	if r == nil {
		g.balancer.ReceiveProbeResult(g.now(), o.attempt.backend, o.result, o.load)
		return
	}
	r.outstanding = slices.DeleteFunc(r.outstanding, func(a *attempt) bool {
		return a == o.attempt
	})
	if o.result == policy.OK && !r.answered {
		g.answer(r, resp.AppendBulk(make([]byte, 0, len(o.value)+16), o.value))
	}
	g.balancer.Outcome(g.now(), policy.Outcome{
		ID:          r.id,
		Attempt:     o.attempt.number,
		Backend:     o.attempt.backend,
		Result:      o.result,
		Duration:    o.duration,
		RequestDone: r.answered,
		Load:        o.load,
	})
	g.requests.removeFinished(r)
}
