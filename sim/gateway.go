package sim

import (
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/testing/harness"
)

// deadlineMargin is how long before its client's timeout a request ends, in microseconds, as in a
// gateway on sockets.
const deadlineMargin = 25_000

const (
	resultOK       = policy.OK
	resultFailed   = policy.Failed
	resultRejected = policy.Rejected
	resultTimeout  = policy.TimedOut
	resultConnect  = policy.ConnectFailed
	resultReset    = policy.Reset
)

// gateway hosts one decision module and fulfils the host's contract: it delivers one event at a
// time, with times that never go back, and one Outcome for each Send.
type gateway struct {
	w      *World
	number int
	module *policy.Balancer
	// incarnation counts the gateway's processes. Events scheduled for an earlier one are dropped.
	incarnation int
	up          bool
	open        map[uint64]*request
	// order has the ids of requests in the order of arrival. A kill ends them in this order.
	order  []uint64
	nextID uint64
	// skew is the offset of its clock in microseconds.
	skew int64
	// frozenUntil is until when the process is suspended, in microseconds.
	frozenUntil int64
	snapshot    *policy.Snapshot

	front frontEntry
}

// request is a client's try that a gateway has accepted.
type request struct {
	gateway     *gateway
	incarnation int
	id          uint64
	try         *harness.Try
	// deadline is the client's deadline less the margin, in microseconds.
	deadline int64
	answered bool
	attempts []*attempt
	// done notifies the client, with the retry delay in microseconds.
	done func(harness.Kind, int64)
}

// attempt is one send of a request.
type attempt struct {
	q           *request
	number      int
	server      *server
	sent        int64
	ended       bool
	recordIndex int
	work        float64
	// send counts all sends of the world.
	send uint64
}

func (g *gateway) now() policy.Time { return epoch + g.w.now + g.skew }

// deliver delivers an event to a process, unless the process has ended. The event waits while
// the process is suspended. A snapshot that is due after the event is stored at once.
func (g *gateway) deliver(incarnation int, do func()) {
	switch {
	case incarnation != g.incarnation || !g.up:
	case g.w.now < g.frozenUntil:
		g.w.after(g.frozenUntil-g.w.now, func() { g.deliver(incarnation, do) })
	default:
		do()
		if g.w.options.Snapshots && g.module.SnapshotDue() {
			g.saveSnapshot()
		}
	}
}

// saveSnapshot stores the state, which each later start can restore.
func (g *gateway) saveSnapshot() {
	s := g.module.TakeSnapshot(g.now(), false)
	g.snapshot = &s
	g.module.SnapshotStored(s.At)
}

// saveEverySecond stores the state each second.
func (g *gateway) saveEverySecond(incarnation int) {
	g.deliver(incarnation, g.saveSnapshot)
	if incarnation == g.incarnation {
		g.w.after(1_000_000, func() { g.saveEverySecond(incarnation) })
	}
}

// start starts a process, from a snapshot or without one.
func (g *gateway) start(s *policy.Snapshot) error {
	g.incarnation++
	g.open, g.order = map[uint64]*request{}, nil
	var err error
	seed := g.w.rand.Uint64()
	if g.module, err = policy.New(g.w.settings[g.number], seed,
		&actions{g, g.incarnation}); err != nil {
		return err
	}
	g.module.OnReject(func(id uint64, why policy.RejectReason) {
		if q := g.open[id]; q != nil {
			q.try.RejectReason = why.String()
		}
	})
	g.up = true
	if s != nil {
		if err := g.module.Restore(g.now(), 60e6, s); err != nil {
			g.w.digestLine(g.number, err.Error())
		}
	}
	g.w.Record.ProcessEvents = append(g.w.Record.ProcessEvents, harness.ProcessEvent{
		Gateway: g.number,
		Event:   harness.Started,
		At:      g.w.at(),
	},
		harness.ProcessEvent{Gateway: g.number, Event: harness.Ready, At: g.w.at()})
	if g.w.now < g.w.registry.silentUntil {
		g.module.UpdateEndpoints(g.now(), policy.StaleBootstrap, g.w.registry.list(g.number))
	} else {
		g.module.UpdateEndpoints(g.now(), policy.Complete, g.w.registry.list(g.number))
	}
	if g.w.options.Snapshots {
		g.saveEverySecond(g.incarnation)
	}
	return nil
}

// kill ends the process: its clients see their connections end.
func (g *gateway) kill() {
	g.up = false
	g.incarnation++
	g.w.Record.ProcessEvents = append(g.w.Record.ProcessEvents,
		harness.ProcessEvent{Gateway: g.number, Event: harness.Killed, At: g.w.at()})
	for _, id := range g.order {
		q := g.open[id]
		if q == nil {
			continue
		}
		for _, a := range q.attempts {
			a.ended = true
		}
		if !q.answered {
			q.answered = true
			q.try.Reset = true
			q.done(harness.Ended, 0)
		}
	}
}

// accept accepts a try from the front.
func (g *gateway) accept(t *harness.Try, who *harness.Customer, done func(harness.Kind, int64)) {
	g.nextID++
	wait := t.Wait.Microseconds()
	timeout := wait - min(deadlineMargin, wait/4)
	q := &request{
		gateway:     g,
		incarnation: g.incarnation,
		id:          g.nextID,
		try:         t,
		deadline:    g.w.now + timeout,
		done:        done,
	}
	g.open[q.id] = q
	g.order = append(g.order, q.id)
	if len(g.order) > 2*len(g.open)+64 {
		kept := g.order[:0]
		for _, id := range g.order {
			if g.open[id] != nil {
				kept = append(kept, id)
			}
		}
		g.order = kept
	}
	// All attempts end by the deadline, so the module must have answered right after it.
	g.w.after(timeout+1, func() {
		g.deliver(q.incarnation, func() {
			if !q.answered {
				g.w.recordBreach("gateway %d: request %s has no answer at its deadline",
					g.number, q.try.ID)
				q.answer(harness.Failed, 0)
			}
		})
	})
	g.module.Request(g.now(), policy.Request{
		ID:       q.id,
		Class:    t.Class,
		Plan:     t.Plan,
		Customer: customerNumber(who.ID),
		Units:    t.Units,
		Timeout:  timeout,
		First:    who.First,
		Spread:   who.Spread,
	})
	g.forget(q)
}

// forget removes a request that is answered and has no open attempt.
func (g *gateway) forget(q *request) {
	if !q.answered {
		return
	}
	for _, a := range q.attempts {
		if !a.ended {
			return
		}
	}
	delete(g.open, q.id)
}

// answer sends the final answer of a request. Only the first one counts.
func (q *request) answer(k harness.Kind, after int64) {
	if q.answered {
		return
	}
	q.answered = true
	w := q.gateway.w
	w.after(w.clientNet(), func() {
		q.try.Answers++
		q.try.AnsweredAt = w.at()
		q.done(k, after)
	})
}

// end ends an attempt with exactly one Outcome.
func (a *attempt) end(r policy.Result) {
	g := a.q.gateway
	g.deliver(a.q.incarnation, func() { a.finish(r) })
}

func (a *attempt) finish(r policy.Result) {
	g := a.q.gateway
	if a.ended {
		return
	}
	a.ended = true
	g.w.untrackInFlight(a)
	if r == resultOK && !a.q.answered {
		a.q.try.Value = harness.ValueOf(a.q.try.ID, a.server.id)
		a.q.answer(harness.Served, 0)
	}
	g.module.Outcome(g.now(), policy.Outcome{
		ID:          a.q.id,
		Attempt:     a.number,
		Backend:     a.server.number,
		Result:      r,
		Duration:    g.w.now - a.sent,
		RequestDone: a.q.answered,
	})
	g.forget(a.q)
}

// actions executes the decisions of a module. It never calls back into the module.
type actions struct {
	g           *gateway
	incarnation int
}

func (x *actions) Send(id uint64, backend uint32, until policy.Time) {
	g := x.g
	q := g.open[id]
	if q == nil || q.answered {
		g.w.recordBreach("gateway %d: request %d is sent on, but is not open", g.number, id)
		return
	}
	sv := g.w.servers[backend-1]
	a := &attempt{q: q, number: len(q.attempts), server: sv, sent: g.w.now}
	q.attempts = append(q.attempts, a)
	g.w.trackInFlight(a)
	end := q.deadline
	if until != 0 {
		end = min(end, until-epoch-g.skew)
	}
	g.w.after(g.w.net(), func() {
		if !a.ended && q.incarnation == g.incarnation {
			sv.arrive(a)
		}
	})
	g.w.after(end-g.w.now, func() { a.end(resultTimeout) })
}

func (x *actions) Reject(id uint64, after policy.Time) {
	if q := x.g.open[id]; q != nil {
		q.answer(harness.Refused, after)
		x.g.forget(q)
	}
}

func (x *actions) Fail(id uint64) {
	if q := x.g.open[id]; q != nil {
		q.answer(harness.Failed, 0)
		x.g.forget(q)
	}
}

func (x *actions) SetTimer(at policy.Time, token uint32) {
	g := x.g
	g.w.after(at-g.now(), func() {
		g.deliver(x.incarnation, func() { g.module.Timer(g.now(), token) })
	})
}

func (x *actions) SendToPeer(peer int, message []byte) {
	x.g.w.peers.deliver(x.g.number, peer, message)
}
func (x *actions) Probe(uint32)                              {}
func (x *actions) AddToCounter(uint64, float64, policy.Time) {}
func (x *actions) WatchEndpoints()                           {}
func (x *actions) Log(line string)                           { x.g.w.digestLine(x.g.number, line) }
