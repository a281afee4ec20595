package allocation

import "time"

// fault ends the faults that have lasted long enough, and now and then begins one.
func (w *World) fault() {
	i := w.choose(len(w.members))
	p, o := w.members[i], w.owners[w.choose(len(w.owners))]
	if p.stopped && w.often(40) {
		p.stopped = false
	}
	if p.cut && w.now >= p.cutTill {
		p.cut = false
	}
	if o.stopped && w.often(20) {
		o.stopped = false
	}
	if w.owner().at(w.now) > w.owner().until+300*ms {
		w.takeOver(i)
		w.res.Faults["owner changed"]++
	}
	if !w.often(25 * w.mild) {
		return
	}
	switch w.choose(9) {
	case 0:
		p.stopped = true
		w.res.Faults["stopped"]++
	case 1:
		p.cut, p.cutTill = true, w.now+[]time.Duration{300 * ms, 2 * time.Second, 6 * time.Second, 12 * time.Second}[w.choose(4)]
		w.res.Faults["cut"]++
	case 2, 3:
		w.end(i, p)
	case 4:
		o.stopped = true
		w.res.Faults["owner stopped"]++
	case 5:
		own := w.owner()
		own.cut = true // from the voters: members hear it still
		w.res.Faults["owner cut"]++
	case 6:
		// Handed on in order, or the next is quick: the one before learns it late.
		w.takeOver(i)
		w.res.Faults["owner changed"]++
	case 7:
		w.advance([]time.Duration{300 * ms, 3 * time.Second, 4 * time.Second, 8 * time.Second}[w.choose(4)]) // all stood still
	case 8:
		for i, p := range w.members {
			if (p.dead || p.left) && len(p.hands) == 0 {
				w.end(i, p)
			}
		}
	}
}

// end ends a process in one of several ways, or starts another under its name.
func (w *World) end(i int, p *process) {
	switch {
	case p.dead || p.left && len(p.hands) == 0:
		boot := p.me.Incarnation
		w.boot(i, p)
		w.res.Faults["started"]++
		if w.often(2) {
			// By the lock on the folder it knows that the one before runs no more.
			now := p.at(w.now)
			ask := p.holder.RenewRequest(now, 0)
			ask.EndedIncarnations = []uint64{boot}
			w.send(i, now, ask)
		}
	case p.left:
	case w.often(2) && !p.stopped:
		w.res.Faults["left"]++
		now := p.at(w.now)
		ask := p.holder.ReleaseAll(now)[0]
		w.send(i, now, ask)
		p.left = true
	default:
		p.dead = true
		w.res.Faults["killed"]++
	}
}
