package gateway

import (
	"fmt"
	"slices"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// request is a client's request that this gateway has taken. It stays in the
// table until it is answered and none of its attempts is out.
type request struct {
	id              uint64
	client          *client
	args            [][]byte
	timeoutField    [2]int // where the value of d stands in the list of fields
	deadline        policy.Time
	attemptsMade    int        // made so far
	outstanding     []*attempt // of those, without an outcome
	answered        bool
	streamed        *streamedValue // is its answer, in place of a reply; nil: none
	reply           []byte         // waits in the client's line for its turn
	classKnown      bool           // it could be read: its class is known
	class           int
	customer        uint64
	units           float64
	sentOn          bool          // it was sent on, and its units with it
	allocationUntil time.Duration // until when what it was decided by may be used, by the clock of Config.Rights; 0: no end
	leaseUntil      time.Duration // until when it may be acted on, and by what; see Permit
	leaseStamp      uint64
	clientID        uint64          // the id that the client gave
	awaitingAuth    *policy.Request // it waits for a verdict on whether it may go on; nil: not so
	deadlineTimer   *timer
}

// The answers that are the gateway's own.
var (
	pongReply   = []byte("+PONG\r\n")
	failedReply = []byte("-ERR failed\r\n")
)

// busyReply is a refusal with the time after which to come again.
func busyReply(after policy.Time) []byte {
	if after <= 0 {
		return []byte("-BUSY\r\n")
	}
	return fmt.Appendf(nil, "-BUSY %d\r\n", (after+999)/1000)
}

// answer gives a request its final answer. The first one counts; what comes
// later never reaches the client.
func (l *Loop) answer(r *request, reply []byte) {
	if r.answered {
		return
	}
	r.reply = reply
	r.countOutcome(l.metrics, reply)
	l.heldBytes += len(reply)
	l.closeRequest(r)
	r.client.flushAnswers(l)
	l.forget(r)
}

// closeRequest takes note that a request has its final answer, or needs none any more: what of it has not
// reached a backend by now stays here.
func (l *Loop) closeRequest(r *request) {
	r.answered = true
	l.open--
	l.settle(r)
	for _, a := range r.outstanding {
		l.backends.withdraw(l, a)
	}
}

// settle takes note that nothing is to be done for a request's answer any more.
func (l *Loop) settle(r *request) {
	l.cancelAuthorization(r)
	l.cancel(r.deadlineTimer)
	r.deadlineTimer = nil
	if l.byClientID[r.clientID] == r {
		delete(l.byClientID, r.clientID)
	}
}

// forget drops a request that nothing waits for any more.
func (l *Loop) forget(r *request) {
	if r.answered && len(r.outstanding) == 0 && r.streamed == nil && l.requests[r.id] == r {
		delete(l.requests, r.id)
		l.heldBytes -= argBytes(r.args)
	}
}

func argBytes(args [][]byte) int {
	n := 0
	for _, a := range args {
		n += len(a)
	}
	return n
}

// deadlineBackstop fails a request that is still open just before its client stops
// waiting, whatever went wrong: no request may be lost.
type deadlineBackstop struct{ request *request }

func (b deadlineBackstop) due(l *Loop) {
	if b.request.answered {
		return
	}
	l.log.Warn("request was open at its deadline", "id", string(b.request.args[2]))
	l.answer(b.request, failedReply)
	l.balancer.ClientGone(l.now(), b.request.id)
}

// attemptOutcome ends an attempt: exactly one for each Send.
type attemptOutcome struct {
	attempt  *attempt
	result   policy.Result
	value    []byte
	load     []float32
	duration policy.Time
}

func (o attemptOutcome) handle(l *Loop) {
	r := o.attempt.request
	if r == nil {
		l.balancer.ReceiveProbeResult(l.now(), o.attempt.backend, o.result, o.load)
		return
	}
	r.outstanding = slices.DeleteFunc(r.outstanding, func(a *attempt) bool { return a == o.attempt })
	if o.result == policy.OK && !r.answered {
		l.answer(r, resp.AppendBulk(make([]byte, 0, len(o.value)+16), o.value))
	}
	l.balancer.Outcome(l.now(), policy.Outcome{
		ID: r.id, Attempt: o.attempt.number, Backend: o.attempt.backend, Result: o.result,
		Duration: o.duration, RequestDone: r.answered, Load: o.load,
	})
	l.forget(r)
}
