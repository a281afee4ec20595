package allocation

import (
	"fmt"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// clock is a process's own.
type clock struct {
	pace   float64
	offset time.Duration
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.pace)
}

// process is a gateway's process.
type process struct {
	clock
	me       lease.Member
	holder   *allocation.Holder
	stopped  bool
	cut      bool // nothing that it says or is told arrives
	cutTill  time.Duration
	busy     bool // it is asked often
	asked    int  // askings for units, and which were answered
	answered map[int]bool
	dead     bool
	left     bool
	// What it has taken or was lent, and has not used yet: a stop may lie between.
	hands []loan
}

type loan struct {
	budget uint64
	units  float64
	by     time.Duration // by its clock
	at     time.Duration // when it was taken, or asked for
}

// boot starts a process anew, with a clock at nine tenths of the true pace to the full one.
func (w *World) boot(i int, p *process) {
	w.boots++
	*p = process{clock: clock{0.9 + 0.1*float64(w.choose(5))/4, time.Duration(w.choose(100)) * time.Second},
		me: lease.Member{ID: fmt.Sprintf("n%d", i), Incarnation: w.boots}}
	p.answered = map[int]bool{}
	p.holder = allocation.NewHolder(w.rules, p.me, 1)
}

// ask has a client ask a process for units. The process takes them from its part, or asks the owner to lend
// them.
func (w *World) ask(i int) {
	p := w.members[i]
	if p.stopped || p.dead || p.left {
		return
	}
	id, units := uint64(1+w.choose(len(w.wholes))), float64(1+w.choose(4))
	now := p.at(w.now)
	p.holder.RecordDemand(now, id, w.wholes[id], len(w.members), units)
	level := p.holder.Available(now, id)
	if level >= units {
		p.holder.Consume(now, id, units)
		p.hands = append(p.hands, loan{id, units, p.holder.UseBy(now, id), now})
		w.use(id, units) // its use may come Rules.LoanSpan later, which is the stated slack
		return
	}
	p.asked++
	w.post(message{to: -1, term: w.term, from: i, boot: p.me.Incarnation, sent: now, loan: p.asked, lends: &controlpb.OnDemandRequest{Role: allocation.RoleOfShard(0),
		Member: &controlpb.Member{Id: p.me.ID, Incarnation: p.me.Incarnation}, Budget: id, Units: units, MaxMembers: uint32(len(w.members)),
		Limit: &controlpb.Share{Rate: w.wholes[id].Rate, Burst: w.wholes[id].Burst}}})
}

// act has a process use what it has taken first, after a last look at its clock.
func (w *World) act(i int) {
	p := w.members[i]
	if p.stopped || p.dead || len(p.hands) == 0 {
		return
	}
	h := p.hands[0]
	p.hands = p.hands[1:]
	if now := p.at(w.now); now < h.by && h.by > h.at+w.rules.UseTimeout {
		w.breach("late_use", "taken at %v, and used at %v", h.at, now)
	}
}

// renew has a process renew its part.
func (w *World) renew(i int) {
	p := w.members[i]
	if p.stopped || p.dead || p.left {
		return
	}
	now := p.at(w.now)
	ask := p.holder.RenewRequest(now, 0)
	w.send(i, now, ask)
}
