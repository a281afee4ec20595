package allocation

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlpb"
)

// message is a message in flight between a process and a leader.
type message struct {
	to              int // index of a process; -1: the leader of the term
	term            uint64
	from            int
	incarnation     uint64
	sentAt          time.Duration // by the requester's clock
	renewal         *controlpb.RenewRequest
	encodedRenewal  []byte
	encodedResponse []byte
	onDemand        *controlpb.OnDemandRequest
	grant           *controlpb.OnDemandResponse
	requestNumber   int           // of an on-demand request, which takes one response
	arrivesAt       time.Duration // when it arrives, true time
}

// sendRenewal sends a renewal to the leader.
func (w *World) sendRenewal(i int, now time.Duration, request *controlpb.RenewRequest) {
	p := w.members[i]
	w.transmit(message{to: -1, term: w.term, from: i, incarnation: p.me.Incarnation, sentAt: now,
		encodedRenewal: encode(request), renewal: request})
}

// transmit sends a message: most arrive within a few ticks, some are lost, duplicated or late.
func (w *World) transmit(m message) {
	from := m.from
	if m.to >= 0 {
		from = m.to
	}
	if w.members[from].partitioned || w.faultless == 0 && w.oneIn(12*w.faultRarity) {
		w.res.Faults["lost"]++
		return
	}
	for {
		m.arrivesAt = w.now + time.Duration(w.draw(30))*ms
		if w.faultless == 0 && w.oneIn(15*w.faultRarity) {
			m.arrivesAt += []time.Duration{100 * ms, time.Second, 4 * time.Second,
				9 * time.Second}[w.draw(4)]
			w.res.Faults["late"]++
		}
		w.inFlight = append(w.inFlight, m)
		if w.faultless > 0 || !w.oneIn(15*w.faultRarity) {
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

// deliverDue delivers the messages that arrive by now, except those to a stopped process.
func (w *World) deliverDue() {
	for n := 0; n < len(w.inFlight); {
		if w.inFlight[n].arrivesAt > w.now || w.receiverStopped(&w.inFlight[n]) {
			n++
			continue
		}
		w.deliver(n)
	}
}

// deliver takes one message from the network and passes it to its receiver.
func (w *World) deliver(n int) {
	m := w.inFlight[n]
	w.inFlight = slices.Delete(w.inFlight, n, n+1)
	if m.to < 0 {
		w.deliverToLeader(m)
		return
	}
	p := w.members[m.to]
	if p.me.Incarnation != m.incarnation || p.stopped || p.killed || p.shutDown {
		return
	}
	if m.encodedResponse != nil {
		w.deliverRenewal(p, m)
	} else {
		w.deliverGrant(p, m)
	}
}

func (w *World) deliverToLeader(m message) {
	for _, o := range w.tenures {
		if o.term == m.term && !o.stopped && o.at(w.now) < o.leaseUntil {
			w.handle(o, m)
		}
	}
}

// deliverRenewal passes the response to a renewal to its process.
func (w *World) deliverRenewal(p *process, m message) {
	var a controlpb.RenewResponse
	if err := proto.Unmarshal(m.encodedResponse, &a); err != nil {
		panic(err)
	}
	w.tracef("%v receives %v of the renewal sent at %v", p.me, &a, m.sentAt)
	if p.holder.HandleRenewal(p.at(w.now), m.sentAt, 0, m.renewal, &a) {
		w.renew(m.to)
	}
}

// deliverGrant passes units granted on demand to their process, which uses them later or returns
// them.
func (w *World) deliverGrant(p *process, m message) {
	if p.answered[m.requestNumber] {
		return
	}
	p.answered[m.requestNumber] = true
	w.tracef("%v receives %v to its request for %v units", p.me, m.grant, m.onDemand.Units)
	now := p.at(w.now)
	by := m.sentAt + w.config.UseTimeout
	if !m.grant.Granted || now >= by {
		return
	}
	if w.faultless == 0 && w.oneIn(8) {
		p.holder.Release(now, m.onDemand.Budget, m.onDemand.Units)
		w.use(m.onDemand.Budget, -m.onDemand.Units)
		return
	}
	p.taken = append(p.taken, takenUnits{m.onDemand.Budget, m.onDemand.Units, by, m.sentAt})
}

// handle lets a leader respond to a message.
func (w *World) handle(o *tenure, m message) {
	back := message{to: m.from, incarnation: m.incarnation, sentAt: m.sentAt, renewal: m.renewal,
		onDemand: m.onDemand, requestNumber: m.requestNumber}
	if m.onDemand != nil {
		if back.grant = o.leader.GrantOnDemand(o.at(w.now), m.onDemand); back.grant.Granted {
			w.use(m.onDemand.Budget, m.onDemand.Units) // its use may come Config.UseTimeout later
		}
	} else {
		var request controlpb.RenewRequest
		if err := proto.Unmarshal(m.encodedRenewal, &request); err != nil {
			panic(err)
		}
		w.tracef("the leader of term %d receives %v", o.term, &request)
		back.encodedResponse = encode(o.leader.Renew(o.at(w.now), &request))
	}
	w.transmit(back)
}

// receiverStopped reports whether the receiver of a message is stopped.
func (w *World) receiverStopped(m *message) bool {
	if m.to >= 0 {
		return w.members[m.to].stopped
	}
	for _, o := range w.tenures {
		if o.term == m.term {
			return o.stopped
		}
	}
	return false
}
