package gateway

import (
	"fmt"
	"slices"
	"time"

	"mothcleat/internal/dataplane/metrics"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// answerMargin is how long before the end of its client's wait a request times out. It leaves time
// for the answer to reach the client and for a short scheduling delay of this process.
const answerMargin policy.Time = 25_000

// request is a client's request. It stays in the request table until it has been answered and all
// its attempts have ended. It belongs to the event loop.
type request struct {
	id           uint64 // assigned by this gateway; 0: the request never entered the request table
	clientID     uint64 // the id that the client sent
	client       *client
	hasSlot      bool // it holds a slot of the client's pipeline
	args         [][]byte
	timeoutField [2]int // start and end of the value of field d in args[3]
	deadline     policy.Time

	classKnown bool // the command was parsed, and class is set
	class      int
	customer   uint64
	units      float64

	attemptsMade int
	outstanding  []*attempt // attempts without an outcome yet
	sent         bool       // an attempt was written to a backend and the units were counted

	answered      bool
	reply         []byte         // held until all earlier answers of the connection are written
	streamed      *streamedValue // replaces reply for a long value; nil: not streamed
	deadlineTimer *timer

	// allocationUntil is the expiry of the allocation that admitted the request, on the clock of
	// Config.Allocations; 0: it does not expire.
	allocationUntil time.Duration
	// leaseUntil and leaseStamp are the expiry and the stamp of the version lease that admitted the
	// request; see VersionLease.
	leaseUntil time.Duration
	leaseStamp uint64
	// awaitingAuth is passed to the balancer once the authenticator allows the request; nil: the
	// request does not wait for a verdict.
	awaitingAuth *policy.Request
}

// requestTable holds the requests that the gateway has accepted and not yet finished. It belongs to
// the event loop.
type requestTable struct {
	byID       map[uint64]*request
	byClientID map[uint64]*request // requests without a final answer, by the client's id
	executed   executedIDs
	lastID     uint64
	open       int // commands without a final answer, including those that never reach the balancer
	heldBytes  int // size of the requests in the table and of the unwritten answers
}

func newRequestTable() requestTable {
	return requestTable{
		byID:       map[uint64]*request{},
		byClientID: map[uint64]*request{},
		executed:   newExecutedIDs(),
	}
}

// add assigns a request its id and adds it to the table.
func (t *requestTable) add(r *request) {
	t.lastID++
	r.id = t.lastID
	t.byID[r.id] = r
	t.byClientID[r.clientID] = r
	t.heldBytes += argBytes(r.args)
}

// removeFinished removes a request that is answered, has no outstanding attempt and is not being
// streamed.
func (t *requestTable) removeFinished(r *request) {
	finished := r.answered && len(r.outstanding) == 0 && r.streamed == nil
	if finished && t.byID[r.id] == r {
		delete(t.byID, r.id)
		t.heldBytes -= argBytes(r.args)
	}
}

// freeClientID makes the client's id available for another request.
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

// Answers that the gateway itself generates.
var (
	pongReply   = []byte("+PONG\r\n")
	failedReply = []byte("-ERR failed\r\n")
)

// busyReply returns the answer that a request was not executed and may be retried after retryAfter.
// The advice is rounded up to milliseconds; it is omitted if retryAfter is not positive.
func busyReply(retryAfter policy.Time) []byte {
	if retryAfter <= 0 {
		return []byte("-BUSY\r\n")
	}
	return fmt.Appendf(nil, "-BUSY %d\r\n", (retryAfter+999)/1000)
}

// retryLaterReply returns busyReply with the retry advice limited by the settings.
func (g *Gateway) retryLaterReply(retryAfter policy.Time) []byte {
	if !g.cfg.Settings.RetryAfter {
		retryAfter = 0
	}
	return busyReply(min(retryAfter, g.cfg.Settings.MaxRetryAfter))
}

// answer sets a request's final answer. Only the first call has an effect; later answers are
// discarded.
func (g *Gateway) answer(r *request, reply []byte) {
	if r.answered {
		return
	}
	r.reply = reply
	r.countOutcome(g.metrics, reply)
	g.requests.heldBytes += len(reply)
	r.client.heldReplyBytes.Add(int64(len(reply)))
	g.closeRequest(r)
	r.client.flushAnswers(g)
	g.requests.removeFinished(r)
}

// answerValue answers a request with a backend's value, or with an error if there is no memory to
// keep the value until the client reads it.
func (g *Gateway) answerValue(r *request, value []byte) {
	if !g.answerFits(r, len(value)) {
		g.answer(r, failedReply)
		return
	}
	g.answer(r, resp.AppendBulk(make([]byte, 0, len(value)+16), value))
}

// closeRequest marks a request as answered and withdraws the attempts that are not completely
// written to a backend.
func (g *Gateway) closeRequest(r *request) {
	r.answered = true
	g.requests.open--
	g.cancelPending(r)
	for _, a := range r.outstanding {
		g.backends.withdraw(g, a)
	}
}

// cancelPending cancels the pending authorization and the deadline timer of a request, and releases
// the client's id.
func (g *Gateway) cancelPending(r *request) {
	g.cancelAuthorization(r)
	g.cancel(r.deadlineTimer)
	r.deadlineTimer = nil
	g.requests.freeClientID(r)
}

// countOutcome counts a request as rejected, failed or answered, according to the prefix of its
// answer.
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

// submit adds a request to the table and passes it to the balancer, after the authenticator has
// allowed it if one is enabled. arrived is the time at which the command arrived.
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
// whatever the cause, because no request may stay unanswered.
type deadlineBackstop struct{ request *request }

func (b deadlineBackstop) due(g *Gateway) {
	r := b.request
	if r.answered {
		return
	}
	g.log.Warn("request was still unanswered at its deadline", "id", string(r.args[2]))
	g.answer(r, failedReply)
	g.balancer.ClientGone(g.now(), r.id)
}

// attemptOutcome is the result of an attempt. Each Send and each Probe produces exactly one.
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
		g.answerValue(r, o.value)
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
