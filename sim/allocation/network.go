package allocation

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
)

// message is a message on its way between a process and an owner.
type message struct {
	to    int // process; -1: the owner of the term
	term  uint64
	from  int
	boot  uint64
	sent  time.Duration // by the asker's clock
	asks  *controlpb.RenewRequest
	ask   []byte
	tells []byte
	lends *controlpb.OnDemandRequest
	lent  *controlpb.OnDemandResponse
	loan  int           // which asking for units it is about: a request takes one answer
	at    time.Duration // when it arrives, true time
}

// send sends a renewal to the owner.
func (w *World) send(i int, now time.Duration, ask *controlpb.RenewRequest) {
	p := w.members[i]
	w.post(message{to: -1, term: w.term, from: i, boot: p.me.Incarnation, sent: now, ask: encode(ask), asks: ask})
}

// post sends a message: most arrive within a few ticks, some are lost, doubled or late.
func (w *World) post(m message) {
	from := m.from
	if m.to >= 0 {
		from = m.to
	}
	if w.members[from].cut || w.quiet == 0 && w.often(12*w.mild) {
		w.res.Faults["lost"]++
		return
	}
	for {
		m.at = w.now + time.Duration(w.choose(30))*ms
		if w.quiet == 0 && w.often(15*w.mild) {
			m.at += []time.Duration{100 * ms, time.Second, 4 * time.Second, 9 * time.Second}[w.choose(4)]
			w.res.Faults["late"]++
		}
		w.net = append(w.net, m)
		if w.quiet > 0 || !w.often(15*w.mild) {
			return
		}
		w.res.Faults["doubled"]++
	}
}

func encode(m proto.Message) []byte {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return raw
}

// deliverDue delivers the messages whose time has come, but for those to a stopped process.
func (w *World) deliverDue() {
	for n := 0; n < len(w.net); {
		if w.net[n].at > w.now || w.waits(&w.net[n]) {
			n++
			continue
		}
		w.deliver(n)
	}
}

// deliver takes one message from the network and passes it to its receiver.
func (w *World) deliver(n int) {
	m := w.net[n]
	w.net = slices.Delete(w.net, n, n+1)
	if m.to < 0 {
		w.deliverToOwner(m)
		return
	}
	p := w.members[m.to]
	if p.me.Incarnation != m.boot || p.stopped || p.dead || p.left {
		return
	}
	if m.tells != nil {
		w.deliverRights(p, m)
	} else {
		w.deliverLoan(p, m)
	}
}

func (w *World) deliverToOwner(m message) {
	for _, o := range w.owners {
		if o.term == m.term && !o.stopped && o.at(w.now) < o.until {
			w.serve(o, m)
		}
	}
}

// deliverRights passes the answer to a renewal to its process.
func (w *World) deliverRights(p *process, m message) {
	var a controlpb.RenewResponse
	if err := proto.Unmarshal(m.tells, &a); err != nil {
		panic(err)
	}
	if p.holder.HandleRenewal(p.at(w.now), m.sent, 0, m.asks, &a) {
		w.renew(m.to)
	}
}

// deliverLoan passes lent units to their process, which uses them later or gives them back.
func (w *World) deliverLoan(p *process, m message) {
	if p.answered[m.loan] {
		return
	}
	p.answered[m.loan] = true
	now := p.at(w.now)
	by := m.sent + w.rules.UseTimeout
	if !m.lent.Granted || now >= by {
		return
	}
	if w.quiet == 0 && w.often(8) {
		p.holder.Release(now, m.lends.Budget, m.lends.Units)
		w.use(m.lends.Budget, -m.lends.Units)
		return
	}
	p.hands = append(p.hands, loan{m.lends.Budget, m.lends.Units, by, m.sent})
}

// serve has an owner answer a message.
func (w *World) serve(o *owner, m message) {
	back := message{to: m.from, boot: m.boot, sent: m.sent, asks: m.asks, lends: m.lends, loan: m.loan}
	if m.lends != nil {
		if back.lent = o.owner.GrantOnDemand(o.at(w.now), m.lends); back.lent.Granted {
			w.use(m.lends.Budget, m.lends.Units) // its use may come Rules.LoanSpan later
		}
	} else {
		var ask controlpb.RenewRequest
		if err := proto.Unmarshal(m.ask, &ask); err != nil {
			panic(err)
		}
		back.tells = encode(o.owner.Renew(o.at(w.now), &ask))
	}
	w.post(back)
}

// waits reports whether the receiver of a message is stopped.
func (w *World) waits(m *message) bool {
	if m.to >= 0 {
		return w.members[m.to].stopped
	}
	for _, o := range w.owners {
		if o.term == m.term {
			return o.stopped
		}
	}
	return false
}
