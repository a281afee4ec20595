package allocation

import "time"

// fault ends faults that have lasted long enough, and occasionally begins one.
func (w *World) fault() {
	i := w.draw(len(w.members))
	p, o := w.members[i], w.tenures[w.draw(len(w.tenures))]
	if p.stopped && w.oneIn(40) {
		p.stopped = false
	}
	if p.partitioned && w.now >= p.partitionedUntil {
		p.partitioned = false
	}
	if o.stopped && w.oneIn(20) {
		o.stopped = false
	}
	if w.currentTenure().at(w.now) > w.currentTenure().leaseUntil+300*ms {
		w.electLeader(i)
		w.res.Faults["owner changed"]++
	}
	if !w.oneIn(25 * w.faultRarity) {
		return
	}
	switch w.draw(9) {
	case 0:
		p.stopped = true
		w.res.Faults["stopped"]++
	case 1:
		p.partitioned, p.partitionedUntil = true, w.now+[]time.Duration{300 * ms, 2 * time.Second,
			6 * time.Second, 12 * time.Second}[w.draw(4)]
		w.res.Faults["cut"]++
	case 2, 3:
		w.end(i, p)
	case 4:
		o.stopped = true
		w.res.Faults["owner stopped"]++
	case 5:
		current := w.currentTenure()
		current.partitioned = true // from the voters, but not from members
		w.res.Faults["owner cut"]++
	case 6:
		// A leadership transfer or a quick election: the former leader learns of it late.
		w.electLeader(i)
		w.res.Faults["owner changed"]++
	case 7:
		// All processes are stopped.
		w.advance([]time.Duration{300 * ms, 3 * time.Second, 4 * time.Second,
			8 * time.Second}[w.draw(4)])
	case 8:
		for i, p := range w.members {
			if (p.killed || p.shutDown) && len(p.taken) == 0 {
				w.end(i, p)
			}
		}
	}
}

// end ends a process in one of several ways, or starts another under its name.
func (w *World) end(i int, p *process) {
	switch {
	case p.killed || p.shutDown && len(p.taken) == 0:
		incarnation := p.me.Incarnation
		w.start(i, p)
		w.res.Faults["started"]++
		if w.oneIn(2) {
			// It holds the lock on the folder, and thus knows that its predecessor has ended.
			now := p.at(w.now)
			request := p.holder.RenewRequest(now, 0)
			request.EndedIncarnations = []uint64{incarnation}
			w.sendRenewal(i, now, request)
		}
	case p.shutDown:
	case w.oneIn(2) && !p.stopped:
		w.res.Faults["left"]++
		now := p.at(w.now)
		request := p.holder.ReleaseAll(now)[0]
		w.sendRenewal(i, now, request)
		p.shutDown = true
	default:
		p.killed = true
		w.res.Faults["killed"]++
	}
}
