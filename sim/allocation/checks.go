package allocation

import (
	"math"
	"time"

	"mothcleat/internal/controlplane/allocation"
)

// meter is a token bucket that never rejects: where it is overdrawn, some window is over its limit.
type meter struct {
	level float64
	at    time.Duration
}

// levelAt returns the units that the meter allows at a time.
func (m *meter) levelAt(now time.Duration, limit allocation.Share) float64 {
	return math.Min(limit.Burst, m.level+limit.Rate*(now-m.at).Seconds())
}

// use counts units that reach a server, and checks that no window is over its limit.
func (w *World) use(id uint64, units float64) {
	m, limit := w.meters[id], w.limits[id]
	m.level = m.levelAt(w.now, limit) - units
	m.at = w.now
	w.tracef("use %v of budget %d: %.4f left of the limit", units, id, m.level)
	w.res.Taken += units
	if m.level < -1e-6 {
		w.breach("window_over_whole", "budget %d of %v: %.4f units beyond", id, limit, -m.level)
	}
}

// check checks that the shares that members may use now and the leader's pool sum up to no more
// than the limit.
func (w *World) check() {
	for id := uint64(1); id <= uint64(len(w.limits)); id++ {
		limit := w.limits[id]
		var sum allocation.Share
		for _, p := range w.members {
			if p.killed || p.shutDown {
				continue
			}
			held := p.holder.Usable(p.at(w.now), id)
			sum.Rate += held.Rate
			sum.Burst += held.Burst
		}
		o := w.currentTenure()
		free, _ := o.leader.Pool(o.at(w.now), id)
		sum.Rate += free.Rate
		sum.Burst += free.Burst
		if sum.Rate > limit.Rate+1e-6 || sum.Burst > limit.Burst+1e-6 {
			w.breach("sum_over_whole", "budget %d: %v may be used of %v", id, sum, limit)
		}
	}
}

// measuredTime is how long the use after the last fault is measured.
const measuredTime = 20 * time.Second

// recover ends all faults. Once the allocations have settled it checks that members with unlimited
// demand get most of the limit.
func (w *World) recover() {
	for _, p := range w.members {
		p.stopped, p.partitioned = false, false
	}
	w.faultless = 1
	w.electLeader(0)
	w.inFlight = nil
	reservedTTL := float64(w.config.ReservedTTL) * (1 + w.config.ClockDrift) / 0.9
	settle := time.Duration(reservedTTL) + 5*time.Second
	before, started := 0.0, false
	step := 400 * ms
	for at := time.Duration(0); at < settle+measuredTime && w.res.Breach == nil; at += step {
		if at >= settle {
			step = 100 * ms
		}
		w.advance(step - 90*ms)
		o := w.currentTenure()
		o.leaseUntil = o.at(w.now) + time.Second
		if at >= settle && !started {
			before, started = w.res.Taken, true
		}
		w.recoveryStep(o, step > 100*ms || at%(200*ms) < step)
	}
	w.checkUse(w.res.Taken-before, settle)
}

// recoveryStep plays 90 ms in which every member has more demand than the limit.
func (w *World) recoveryStep(o *tenure, renews bool) {
	for i, p := range w.members {
		if p.killed || p.shutDown {
			continue
		}
		for range 6 {
			w.request(i)
		}
		if renews {
			w.renew(i)
		}
		for len(p.taken) > 0 {
			w.useTaken(i)
		}
	}
	for range 3 {
		w.advance(30 * ms)
		w.deliverDue()
	}
	for i, p := range w.members {
		for !p.killed && len(p.taken) > 0 {
			w.useTaken(i)
		}
	}
	w.proposeRound(o)
	w.commitRound(o)
	w.learnOutcome(o)
	w.check()
	w.traceState()
}

// checkUse checks that at least 75% of the units that the limits allow in measuredTime were used.
// Clocks that run at nine tenths of the true pace allow nine tenths of the use.
func (w *World) checkUse(used float64, settle time.Duration) {
	alive := 0
	for _, p := range w.members {
		if !p.killed && !p.shutDown {
			alive++
		}
	}
	want := 0.0
	for _, limit := range w.limits {
		want += limit.Rate * measuredTime.Seconds()
	}
	if alive > 0 && w.res.Breach == nil && used < 0.75*want {
		w.breach("unused", "%.1f units of %.1f used by %d members %v after the last fault", used,
			want, alive, settle)
	}
}
