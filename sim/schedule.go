package sim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mothcleat/decide"
	"mothcleat/internal/trial"
)

// plan has a fault happen at its time.
func (w *World) plan(f trial.Fault) {
	w.after(f.At.Microseconds(), func() { w.fault(f) })
}

func (w *World) fault(f trial.Fault) {
	span := f.For.Microseconds()
	switch {
	case slices.Contains(trial.GatewayFaults, f.Kind):
		w.gatewayFault(w.gateways[f.N%len(w.gateways)], f, span)
	case slices.Contains(trial.ServerFaults, f.Kind):
		w.serverFault(w.servers[f.N%len(w.servers)], f, span)
	case f.Kind == trial.SilentAt:
		w.register.silent = max(w.register.silent, w.now+span)
	case f.Kind == trial.Cut:
		w.notes.cut, w.notes.cutAt = max(w.notes.cut, w.now+span), 1+f.N%max(1, len(w.gateways)-1)
	case f.Kind == trial.LateBy:
		w.notes.slow, w.notes.slowBy = max(w.notes.slow, w.now+span), int64(f.X*1e6)
	}
}

func (w *World) gatewayFault(g *gateway, f trial.Fault, span int64) {
	if f.Kind == trial.Freeze {
		g.frozen = max(g.frozen, w.now+span)
		return
	}
	if !g.up {
		return
	}
	g.kill()
	var kept *decide.Snapshot
	if f.Kind == trial.Restart {
		kept = g.kept
	}
	w.after(span, func() {
		if f.Kind == trial.ClockOff {
			g.skew = int64(f.X * 1e6)
		}
		if err := g.start(kept); err != nil {
			panic(err) // its settings were good before
		}
	})
}

func (w *World) serverFault(sv *server, f trial.Fault, span int64) {
	if !sv.up {
		return
	}
	life := sv.life
	until := func(undo func()) {
		w.after(span, func() {
			if life == sv.life {
				undo()
			}
		})
	}
	switch f.Kind {
	case trial.Down:
		sv.kill()
		w.register.tell(sv, decide.Left)
		w.after(span, func() {
			sv.start(true)
			w.register.tell(sv, decide.Ready)
		})
	case trial.Drained:
		w.register.tell(sv, decide.Draining)
		until(func() { w.register.tell(sv, decide.Ready) })
	case trial.Slow:
		sv.slow = f.X
		until(func() { sv.slow = 1 })
	case trial.Errors:
		sv.errs = f.X
		until(func() { sv.errs = 0 })
	case trial.Hang:
		sv.hangs = true
		until(func() { sv.hangs = false; sv.pull() })
	case trial.Resets:
		sv.resets = f.X
		until(func() { sv.resets = 0 })
	}
}

// Schedule is a world with all that goes wrong in it.
type Schedule struct {
	Options
}

// ParseSchedule reads a schedule that was written down.
func ParseSchedule(raw []byte) (Schedule, error) {
	var s Schedule
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, fmt.Errorf("schedule: %w", err)
	}
	return s, s.Check()
}

// String is the schedule as one line of JSON.
func (s Schedule) String() string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // nothing in it can't be written
	}
	return string(b)
}

// RandomSchedule draws a small world with a few faults.
func RandomSchedule(r *rand.Rand) Schedule {
	s := Schedule{Options{Seed: r.Uint64() >> 16, Gateways: 2 + r.IntN(4), Servers: 3 + r.IntN(4),
		Load: trial.Between(r, 0.3, 1.1), For: time.Duration(4+r.IntN(6)) * time.Second, NoteLoss: 0.06,
		Shift: time.Duration(1+r.IntN(8)) * time.Second, State: r.IntN(2) == 0, Unsafe: r.IntN(3) == 0}}
	if r.IntN(4) == 0 { // a wide set, with a home
		s.Gateways = 9 + r.IntN(4)
		s.Spread = s.Gateways
	}
	if r.IntN(3) == 0 {
		s.NoteLoss, s.NoteTwice = 0.5*r.Float64(), 0.5*r.Float64()
	}
	if r.IntN(3) == 0 {
		s.Window = time.Duration(trial.Between(r, 1.5, 4) * float64(time.Second))
	}
	s.Tight = r.IntN(2) == 0
	if r.IntN(2) == 0 {
		s.Surge = 2 + 6*r.Float64()
	}
	for range 1 + r.IntN(8) {
		f := randomFault(r, s.For)
		if s.State && f.Kind == trial.Kill {
			f.Kind = trial.Restart
		}
		s.Faults = append(s.Faults, f)
	}
	return s
}

func randomFault(r *rand.Rand, within time.Duration) trial.Fault {
	kinds := slices.Concat(trial.GatewayFaults, trial.ServerFaults, trial.ServerFaults, trial.OtherFaults)
	f := trial.Fault{At: time.Duration(r.Float64() * float64(within)), Kind: kinds[r.IntN(len(kinds))], N: r.IntN(1000)}
	span := func(least, most float64) { f.For = time.Duration(trial.Between(r, least, most) * float64(time.Second)) }
	switch f.Kind {
	case trial.Freeze:
		span(0.005, 0.04)
	case trial.Kill, trial.Restart, trial.ClockOff:
		span(0.05, 1.5)
		f.X = trial.Between(r, -2, 2)
	case trial.Down:
		span(1, 3) // long enough for who sends to it to notice
	case trial.Slow:
		span(0.5, 4)
		f.X = trial.Between(r, 2, 8)
	case trial.Errors, trial.Resets:
		span(0.5, 4)
		f.X = trial.Between(r, 0.2, 1)
	case trial.LateBy:
		span(0.5, 4)
		f.X = trial.Between(r, 0.02, 2)
	default:
		span(0.5, 4)
	}
	return f
}

// Mutate gives a schedule that differs a little.
func (s Schedule) Mutate(r *rand.Rand) Schedule {
	s.Faults = slices.Clone(s.Faults)
	for range 1 + r.IntN(3) {
		switch n := len(s.Faults); {
		case n == 0 || r.IntN(4) == 0:
			s.Faults = append(s.Faults, randomFault(r, s.For))
		case r.IntN(3) == 0:
			i := r.IntN(n)
			s.Faults = slices.Delete(s.Faults, i, i+1)
		case r.IntN(3) == 0:
			s.Seed = r.Uint64() >> 16
		default:
			f := &s.Faults[r.IntN(n)]
			f.At = time.Duration(r.Float64() * float64(s.For))
		}
	}
	return s
}
