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
	id       uint64
	client   *client
	args     [][]byte
	wait     [2]int // where the value of d stands in the list of fields
	deadline policy.Time
	attempts int        // made so far
	out      []*attempt // of those, without an outcome
	answered bool
	long     *longValue // is its answer, in place of a reply; nil: none
	reply    []byte     // waits in the client's line for its turn
	known    bool       // it could be read: its class is known
	class    int
	customer uint64
	units    float64
	counted  bool          // it was sent on, and its units with it
	use      time.Duration // until when what it was decided by may be used, by the clock of Config.Rights; 0: no end
	until    time.Duration // until when it may be acted on, and by what; see Permit
	stamp    uint64
	name     uint64          // the id that the client gave
	asks     *policy.Request // it waits for a verdict on whether it may go on; nil: not so
	backstop *timer
}

// The answers that are the gateway's own.
var (
	pong   = []byte("+PONG\r\n")
	failed = []byte("-ERR failed\r\n")
)

// busy is a refusal with the time after which to come again.
func busy(after policy.Time) []byte {
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
	r.tell(l.metrics, reply)
	l.held += len(reply)
	l.close(r)
	r.client.flush(l)
	l.forget(r)
}

// close takes note that a request has its final answer, or needs none any more: what of it has not
// reached a backend by now stays here.
func (l *Loop) close(r *request) {
	r.answered = true
	l.open--
	l.settled(r)
	for _, a := range r.out {
		l.backends.withdraw(l, a)
	}
}

// settled takes note that nothing is to be done for a request's answer any more.
func (l *Loop) settled(r *request) {
	l.unasked(r)
	l.cancel(r.backstop)
	r.backstop = nil
	if l.names[r.name] == r {
		delete(l.names, r.name)
	}
}

// forget drops a request that nothing waits for any more.
func (l *Loop) forget(r *request) {
	if r.answered && len(r.out) == 0 && r.long == nil && l.requests[r.id] == r {
		delete(l.requests, r.id)
		l.held -= size(r.args)
	}
}

func size(args [][]byte) int {
	n := 0
	for _, a := range args {
		n += len(a)
	}
	return n
}

// backstop fails a request that is still open just before its client stops
// waiting, whatever went wrong: no request may be lost.
type backstop struct{ r *request }

func (b backstop) due(l *Loop) {
	if b.r.answered {
		return
	}
	l.log.Warn("request was open at its deadline", "id", string(b.r.args[2]))
	l.answer(b.r, failed)
	l.module.ClientGone(l.now(), b.r.id)
}

// outcome ends an attempt: exactly one for each Send.
type outcome struct {
	a      *attempt
	result policy.Result
	value  []byte
	load   []float32
	took   policy.Time
}

func (o outcome) handle(l *Loop) {
	r := o.a.r
	if r == nil {
		l.module.ReceiveProbeResult(l.now(), o.a.backend, o.result, o.load)
		return
	}
	r.out = slices.DeleteFunc(r.out, func(a *attempt) bool { return a == o.a })
	if o.result == policy.OK && !r.answered {
		l.answer(r, resp.AppendBulk(make([]byte, 0, len(o.value)+16), o.value))
	}
	l.module.Outcome(l.now(), policy.Outcome{
		ID: r.id, Attempt: o.a.number, Backend: o.a.backend, Result: o.result,
		Duration: o.took, RequestDone: r.answered, Load: o.load,
	})
	l.forget(r)
}
