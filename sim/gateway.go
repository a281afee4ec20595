package sim

import (
	"mothcleat/decide"
	"mothcleat/internal/trial"
)

// margin is how long before its client stops waiting a request is ended, as by the
// gateway on sockets.
const margin = 25_000

const (
	resultOK      = decide.OK
	resultFailed  = decide.Failed
	resultFull    = decide.Full
	resultTimeout = decide.TimedOut
	resultConnect = decide.ConnectFailed
	resultReset   = decide.Reset
)

// gateway hosts one decision module and keeps a host's promises to it: one event
// at a time, times that never go back, one Outcome for each Send.
type gateway struct {
	w      *World
	number int
	module *decide.Gateway
	life   int // counts its processes: what was planned for an earlier one is void
	up     bool
	open   map[uint64]*request
	order  []uint64 // ids in the order they came, for a kill to end them in
	nextID uint64
	skew   int64 // of its clock, in microseconds

	front frontEntry
}

// request is a client's try that a gateway holds.
type request struct {
	gateway  *gateway
	life     int
	id       uint64
	try      *trial.Try
	deadline int64 // of the client, less the margin
	answered bool
	attempts []*attempt
	done     func(trial.Kind, int64) // the client hears; with the advice
}

// attempt is one send of a request.
type attempt struct {
	q      *request
	number int
	server *server
	sent   int64
	over   bool
	place  int
	work   float64
}

func (g *gateway) now() decide.Time { return epoch + g.w.now + g.skew }

// start begins a process that knows nothing, or what a former one has kept.
func (g *gateway) start(s *decide.Snapshot) error {
	g.life++
	g.open, g.order = map[uint64]*request{}, nil
	var err error
	seed := g.w.rand.Uint64()
	if g.module, err = decide.New(g.w.settings[g.number], seed, &actions{g, g.life}); err != nil {
		return err
	}
	g.module.Explain(func(id uint64, why decide.Why) {
		if q := g.open[id]; q != nil {
			q.try.Why = why.String()
		}
	})
	g.up = true
	if s != nil {
		if err := g.module.Restore(g.now(), 60e6, s); err != nil {
			g.w.said(g.number, err.Error())
		}
	}
	g.w.Record.Lives = append(g.w.Record.Lives, trial.Life{Gateway: g.number, Event: trial.Started, At: g.w.at()},
		trial.Life{Gateway: g.number, Event: trial.Ready, At: g.w.at()})
	g.module.Members(g.now(), decide.Whole, g.w.register.list(g.number))
	return nil
}

// kill ends the process outright: its clients see their connections end.
func (g *gateway) kill() {
	g.up = false
	g.life++
	g.w.Record.Lives = append(g.w.Record.Lives, trial.Life{Gateway: g.number, Event: trial.Killed, At: g.w.at()})
	for _, id := range g.order {
		q := g.open[id]
		if q == nil {
			continue
		}
		for _, a := range q.attempts {
			a.over = true
		}
		if !q.answered {
			q.answered = true
			q.try.Reset = true
			q.done(trial.Ended, 0)
		}
	}
}

// take takes a try in from the front.
func (g *gateway) take(t *trial.Try, who *trial.Customer, done func(trial.Kind, int64)) {
	g.nextID++
	wait := t.Wait.Microseconds()
	grace := wait - min(margin, wait/4)
	q := &request{gateway: g, life: g.life, id: g.nextID, try: t, deadline: g.w.now + grace, done: done}
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
	g.w.after(grace, func() {
		if q.life == g.life && !q.answered {
			q.answer(trial.Failed, 0)
			g.module.Gone(g.now(), q.id)
			g.forget(q)
		}
	})
	g.module.Request(g.now(), decide.Request{ID: q.id, Class: t.Class, Plan: t.Plan, Customer: customerNumber(who.ID),
		Units: t.Units, Grace: grace, First: who.First, Spread: who.Spread})
	g.forget(q)
}

// forget drops a request that nothing waits for any more.
func (g *gateway) forget(q *request) {
	if !q.answered {
		return
	}
	for _, a := range q.attempts {
		if !a.over {
			return
		}
	}
	delete(g.open, q.id)
}

// answer gives a request its final answer; the first one counts.
func (q *request) answer(k trial.Kind, after int64) {
	if q.answered {
		return
	}
	q.answered = true
	w := q.gateway.w
	w.after(w.clientNet(), func() {
		q.try.Answers++
		q.try.Answered = w.at()
		q.done(k, after)
	})
}

// end ends an attempt: exactly one Outcome for each Send.
func (a *attempt) end(r decide.Result) {
	g := a.q.gateway
	if a.over || a.q.life != g.life {
		return
	}
	a.over = true
	g.w.settle(a)
	if r == resultOK && !a.q.answered {
		a.q.try.Value = trial.ValueOf(a.q.try.ID, a.server.id)
		a.q.answer(trial.Served, 0)
	}
	g.module.Outcome(g.now(), decide.Outcome{ID: a.q.id, Attempt: a.number, Backend: a.server.number, Result: r,
		Took: g.w.now - a.sent, Over: a.q.answered})
	g.forget(a.q)
}

// actions carries out what a module decides. Nothing calls back into it.
type actions struct {
	g    *gateway
	life int
}

func (x *actions) Send(id uint64, backend uint32, until decide.Time) {
	g := x.g
	q := g.open[id]
	sv := g.w.servers[backend-1]
	a := &attempt{q: q, number: len(q.attempts), server: sv, sent: g.w.now}
	q.attempts = append(q.attempts, a)
	g.w.hold(a)
	end := q.deadline
	if until != 0 {
		end = min(end, until-epoch-g.skew)
	}
	g.w.after(g.w.net(), func() {
		if !a.over && q.life == g.life {
			sv.arrive(a)
		}
	})
	g.w.after(end-g.w.now, func() { a.end(resultTimeout) })
}

func (x *actions) Refuse(id uint64, after decide.Time) {
	if q := x.g.open[id]; q != nil {
		q.answer(trial.Refused, after)
	}
}

func (x *actions) Fail(id uint64) {
	if q := x.g.open[id]; q != nil {
		q.answer(trial.Failed, 0)
	}
}

func (x *actions) SetTimer(at decide.Time, token uint32) {
	g := x.g
	g.w.after(at-g.now(), func() {
		if x.life == g.life {
			g.module.Timer(g.now(), token)
		}
	})
}

func (x *actions) Tell(peer int, note []byte)         { x.g.w.notes.carry(x.g.number, peer, note) }
func (x *actions) Probe(uint32)                       {}
func (x *actions) Count(uint64, float64, decide.Time) {}
func (x *actions) Follow()                            {}
func (x *actions) Log(line string)                    { x.g.w.said(x.g.number, line) }
