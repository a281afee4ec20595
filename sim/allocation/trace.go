package allocation

import (
	"fmt"
	"maps"
	"slices"
)

// tracef writes an event with its time.
func (w *World) tracef(format string, args ...any) {
	if w.trace == nil {
		return
	}
	fmt.Fprintf(w.trace, "%v %s\n", w.now, fmt.Sprintf(format, args...))
}

// traceState writes how many units of each budget the pool and the members store, and how many the
// limit still allows. If they store more, more units than the limit can be used from then on.
func (w *World) traceState() {
	if w.trace == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.limits)) {
		tenure := w.currentTenure()
		free, pool := tenure.leader.Pool(tenure.at(w.now), id)
		stored := pool
		line := fmt.Sprintf("pool %.4f of %v", pool, free)
		for _, p := range w.members {
			now := p.at(w.now)
			level := 0.0
			if !p.killed && !p.shutDown {
				level = p.holder.Available(now, id)
			}
			stored += level
			line += fmt.Sprintf(", %v %.4f of %v", p.me, level, p.holder.Usable(now, id))
		}
		allowed := w.meters[id].levelAt(w.now, w.limits[id])
		if stored > allowed+1e-6 {
			line += fmt.Sprintf(": EXCESS of %.4f", stored-allowed)
		}
		w.tracef("budget %d: the limit allows %.4f; %s", id, allowed, line)
	}
}
