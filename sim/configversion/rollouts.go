package configversion

import (
	"fmt"
	"time"

	"mothcleat/internal/controlplane/configversion"
)

// controlRollouts lets the rollout controller send its next commands. They may arrive when another
// member has the role.
func (w *World) controlRollouts() {
	for _, m := range w.members {
		if m.me() != w.leader || m.down || m.stopped {
			continue
		}
		v := w.log.View(w.fleet)
		for _, op := range configversion.NextCommands(w.rules, w.term, &v) {
			w.apply(m, op, nil)
		}
		return
	}
}

// propose lets an operator propose or withdraw a version at some gateway.
func (w *World) propose() {
	m := w.members[w.r.IntN(len(w.members))]
	if m.down || m.stopped {
		return
	}
	item := names[w.r.IntN(items)]
	last := w.newest(item)
	if last != nil && last.State != configversion.StateWithdrawn && last.Number > 1 &&
		w.r.IntN(3) == 0 {
		w.apply(
			m,
			configversion.Command{
				Kind:   configversion.KindWithdraw,
				Item:   item,
				Number: last.Number,
				Why:    "drawn",
			},
			func(r configversion.Result) {
				if r.OK {
					w.res.Withdrawn++
				}
			},
		)
		return
	}
	op := configversion.Command{
		Kind:   configversion.KindPropose,
		Item:   item,
		Digest: fmt.Sprintf("%016x%048x", w.r.Uint64(), 1),
		Size:   1,
		Stage:  configversion.StageAll,
	}
	if last != nil {
		op.Number = last.Number
	}
	if w.r.IntN(2) == 0 {
		op.Lead = time.Duration(w.r.Int64N(int64(3 * time.Second)))
	}
	if w.r.IntN(2) == 0 {
		op.Stage = configversion.StageOne
		op.Pilots = configversion.Pilots(item, op.Number+1, configversion.StageOne, w.ids())
	}
	m.content[op.Digest] = true
	for k := range voters { // most voters store it before it is proposed
		if k != w.r.IntN(voters) {
			w.members[k].content[op.Digest] = true
		}
	}
	w.rates[op.Digest] = float64(1 + w.r.IntN(100))
	w.apply(m, op, func(r configversion.Result) {
		if r.OK {
			w.res.RollOuts++
		}
	})
}

// newest returns an item's newest version, or nil if there is none.
func (w *World) newest(item string) (last *configversion.Version) {
	v := w.log.View(w.fleet)
	for i := range v.Versions {
		if v.Versions[i].Item == item {
			last = &v.Versions[i]
		}
	}
	return last
}

func (w *World) ids() (all []string) {
	for _, m := range w.members {
		all = append(all, m.id)
	}
	return all
}
