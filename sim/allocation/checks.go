package allocation

import (
	"math"
	"time"

	"mothcleat/internal/controlplane/allocation"
)

// meter is a token bucket that never refuses: where it is overdrawn, some window is over.
type meter struct {
	level float64
	at    time.Duration
}

// use counts units that reach a server, and checks that no window is over.
func (w *World) use(id uint64, units float64) {
	m, whole := w.uses[id], w.wholes[id]
	m.level = math.Min(whole.Burst, m.level+whole.Rate*(w.now-m.at).Seconds()) - units
	m.at = w.now
	w.res.Taken += units
	if m.level < -1e-6 {
		w.breach("window_over_whole", "budget %d of %v: %.4f units beyond", id, whole, -m.level)
	}
}

// check checks that what all may use now is no more than the whole.
func (w *World) check() {
	for id := uint64(1); id <= uint64(len(w.wholes)); id++ {
		whole := w.wholes[id]
		var sum allocation.Share
		for _, p := range w.members {
			if p.dead || p.left {
				continue
			}
			held := p.holder.Usable(p.at(w.now), id)
			sum.Rate += held.Rate
			sum.Burst += held.Burst
		}
		o := w.owner()
		free, _ := o.owner.Pool(o.at(w.now), id)
		sum.Rate += free.Rate
		sum.Burst += free.Burst
		if sum.Rate > whole.Rate+1e-6 || sum.Burst > whole.Burst+1e-6 {
			w.breach("sum_over_whole", "budget %d: %v may be used of %v", id, sum, whole)
		}
	}
}

// calmLength is how long the use after the last fault is measured.
const calmLength = 20 * time.Second

// calm ends all faults. Once the parts have settled it checks that members which ask for everything get
// nearly the whole.
func (w *World) calm() {
	for _, p := range w.members {
		p.stopped, p.cut = false, false
	}
	w.quiet = 1
	w.takeOver(0)
	w.net = nil
	settle := time.Duration(float64(w.rules.ReservedTTL)*(1+w.rules.ClockDrift)/0.9) + 5*time.Second
	before, begun := 0.0, false
	step := 400 * ms
	for at := time.Duration(0); at < settle+calmLength && w.res.Breach == nil; at += step {
		if at >= settle {
			step = 100 * ms
		}
		w.advance(step - 90*ms)
		o := w.owner()
		o.until = o.at(w.now) + time.Second
		if at >= settle && !begun {
			before, begun = w.res.Taken, true
		}
		w.calmStep(o, step > 100*ms || at%(200*ms) < step)
	}
	w.checkUse(w.res.Taken-before, settle)
}

// calmStep has every member ask for more than the whole, and lasts 90 ms.
func (w *World) calmStep(o *owner, renews bool) {
	for i, p := range w.members {
		if p.dead || p.left {
			continue
		}
		for range 6 {
			w.ask(i)
		}
		if renews {
			w.renew(i)
		}
		for len(p.hands) > 0 {
			w.act(i)
		}
	}
	for range 3 {
		w.advance(30 * ms)
		w.deliverDue()
	}
	for i, p := range w.members {
		for !p.dead && len(p.hands) > 0 {
			w.act(i)
		}
	}
	w.plan(o)
	w.agree(o)
	w.learn(o)
	w.check()
}

// checkUse holds the units that were used in calmLength against what the budgets allow. Clocks at nine
// tenths of the true pace give nine tenths.
func (w *World) checkUse(used float64, settle time.Duration) {
	alive := 0
	for _, p := range w.members {
		if !p.dead && !p.left {
			alive++
		}
	}
	want := 0.0
	for _, whole := range w.wholes {
		want += whole.Rate * calmLength.Seconds()
	}
	if alive > 0 && w.res.Breach == nil && used < 0.75*want {
		w.breach("unused", "%.1f units of %.1f used by %d members %v after the last fault", used, want, alive, settle)
	}
}
