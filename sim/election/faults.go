package election

import (
	"time"
)

// Kinds are the faults that a search has to have met.
var Kinds = []string{"stops", "kills", "cuts", "slow disks", "folders put back"}

// schedule has things go wrong, a little apart and for a while each, as the seed draws.
func (w *World) schedule() {
	// Where a folder is put back, no other voter dies: that those who know its promises forget them at the same
	// time is more than is promised.
	rollback := w.r.IntN(2) == 0
	var next func()
	next = func() {
		w.at(time.Duration(100+w.r.IntN(1500))*ms, func() {
			w.fault(rollback)
			next()
		})
	}
	w.at(800*ms, next)
	if w.r.IntN(3) == 0 {
		w.loss = 0.1 * w.r.Float64()
	}
	if w.r.IntN(3) == 0 {
		w.late = time.Duration(w.r.IntN(60)) * ms
	}
}

func (w *World) fault(rollback bool) {
	if w.now < w.calm {
		return
	}
	lasts := time.Duration(50+w.r.IntN(4000)) * ms
	voter, any := w.procs[w.r.IntN(w.o.Voters)], w.procs[w.r.IntN(len(w.procs))]
	holder := any
	for _, p := range w.procs[w.o.Voters:] {
		if _, ok := p.member.holder.Holds(p.clock()); ok && p.up {
			holder = p
		}
	}
	leader := voter
	for _, p := range w.procs[:w.o.Voters] {
		if p.up && p.voter.begun && p.voter.node.Leadership().IsLeader {
			leader = p
		}
	}
	target := []*proc{voter, any, holder, leader}[w.r.IntN(4)]
	switch w.r.IntN(9) {
	case 0, 1:
		w.stop(target, lasts)
	case 2:
		if !rollback || target.voter == nil {
			w.kill(target, lasts, w.r.IntN(2) == 0, nil)
		}
	case 3:
		if !rollback || !voter.up {
			return
		}
		if voter.voter.older == nil {
			c := copyOf(voter.voter.disk.saved)
			voter.voter.older = &c
		}
		w.at(3*time.Second, func() { w.putBack(voter, lasts) })
	case 4: // heard by nobody, or hearing nobody
		w.did("cuts")
		says := w.r.IntN(2) == 0
		for _, o := range w.procs {
			w.cutFor(target, o, says, !says, lasts)
		}
	case 5:
		w.did("cuts")
		for _, o := range w.procs {
			if w.r.IntN(2) == 0 {
				w.cutFor(target, o, true, true, lasts)
			}
		}
	case 6:
		w.did("cuts")
		w.cutFor(target, any, true, true, lasts)
	case 7:
		if target.voter != nil {
			w.did("slow disks")
			v := target.voter
			v.slow = time.Duration(w.r.IntN(3000)) * ms
			w.at(lasts, func() { v.slow = 0 })
		}
	case 8: // all voters at once
		if !rollback && w.r.IntN(4) == 0 {
			for _, p := range w.procs[:w.o.Voters] {
				w.kill(p, lasts/4, true, nil)
			}
		}
	}
}

func (w *World) did(what string) { w.res.Faults[what]++ }

func (w *World) cutFor(a, b *proc, there, back bool, lasts time.Duration) {
	if a == b {
		return
	}
	if there {
		w.cut[[2]int{a.n, b.n}] = true
	}
	if back {
		w.cut[[2]int{b.n, a.n}] = true
	}
	w.at(lasts, func() {
		delete(w.cut, [2]int{a.n, b.n})
		delete(w.cut, [2]int{b.n, a.n})
	})
}

func (w *World) stop(p *proc, lasts time.Duration) {
	if !p.up || p.stopped {
		return
	}
	w.did("stops")
	p.stopped = true
	life := p.life
	w.at(lasts, func() {
		if p.life == life && p.stopped {
			p.stopped = false
			p.wake()
			p.work()
		}
	})
}

// kill ends a process; power: what its disk had not synced is gone, too.
func (w *World) kill(p *proc, lasts time.Duration, power bool, then func()) {
	if !p.up {
		return
	}
	w.did("kills")
	p.up, p.inbox, p.busy = false, nil, false
	if v := p.voter; v != nil {
		v.node, v.begun = nil, false
		if !power {
			v.disk.sync()
		}
		v.disk.waiting = nil
	}
	if then != nil {
		then()
	}
	w.at(lasts, func() {
		if !p.up {
			p.start()
		}
	})
}

// putBack kills a voter and puts an older copy of its folder in place; the others run and are heard.
func (w *World) putBack(p *proc, lasts time.Duration) {
	v := p.voter
	if !p.up || p.stopped || !v.begun {
		return
	}
	if w.res.Faults["folders put back"] > 0 {
		return // one a play: two of three folders lost is more than is promised
	}
	// What is promised is that it shows while those who know are heard.
	if len(w.cut) > 0 || w.loss > 0 {
		return
	}
	for _, o := range w.procs[:w.o.Voters] {
		if !o.up || o.stopped || o.voter.slow > 0 || o.voter.stuck || !o.voter.begun {
			return
		}
	}
	w.calm = w.now + 4*time.Second
	older := *v.older
	w.kill(p, lasts/4, false, func() {
		w.did("folders put back")
		v.disk.saved = older
	})
}
