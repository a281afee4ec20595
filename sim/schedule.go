package sim

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/testing/harness"
)

// scheduleFault schedules a fault.
func (w *World) scheduleFault(f harness.Fault) {
	w.after(f.At.Microseconds(), func() { w.injectFault(f) })
}

// injectFault starts a fault now.
func (w *World) injectFault(f harness.Fault) {
	micros := f.For.Microseconds()
	end := w.now + micros
	switch {
	case slices.Contains(harness.GatewayFaults, f.Kind):
		w.gatewayFault(w.gateways[f.N%len(w.gateways)], f, micros)
	case slices.Contains(harness.ServerFaults, f.Kind):
		w.serverFault(w.servers[f.N%len(w.servers)], f, micros)
	case f.Kind == harness.RegistrySilent:
		w.registry.silentUntil = max(w.registry.silentUntil, end)
	case f.Kind == harness.Cut:
		w.peers.partitionedUntil = max(w.peers.partitionedUntil, end)
		w.peers.partitionAt = 1 + f.N%max(1, len(w.gateways)-1)
	case f.Kind == harness.LateBy:
		w.peers.delayedUntil = max(w.peers.delayedUntil, end)
		w.peers.extraDelay = int64(f.X * 1e6)
	}
}

func (w *World) gatewayFault(g *gateway, f harness.Fault, micros int64) {
	if f.Kind == harness.Freeze {
		g.frozenUntil = max(g.frozenUntil, w.now+micros)
		return
	}
	if !g.up {
		return
	}
	g.kill()
	var kept *policy.Snapshot
	if f.Kind == harness.Restart {
		kept = g.snapshot
	}
	w.after(micros, func() {
		if f.Kind == harness.ClockOff {
			g.skew = int64(f.X * 1e6)
		}
		if err := g.start(kept); err != nil {
			panic(err) // these settings were valid at an earlier start
		}
	})
}

func (w *World) serverFault(sv *server, f harness.Fault, micros int64) {
	if !sv.up {
		return
	}
	incarnation := sv.incarnation
	until := func(undo func()) {
		w.after(micros, func() {
			if incarnation == sv.incarnation {
				undo()
			}
		})
	}
	switch f.Kind {
	case harness.Down:
		sv.kill()
		w.registry.announce(sv, policy.Removed)
		w.after(micros, func() {
			sv.start(true)
			w.registry.announce(sv, policy.Ready)
		})
	case harness.Drained:
		w.registry.announce(sv, policy.Draining)
		until(func() { w.registry.announce(sv, policy.Ready) })
	case harness.Slow:
		sv.slowdown = f.X
		until(func() { sv.slowdown = 1 })
	case harness.Errors:
		sv.errorFraction = f.X
		until(func() { sv.errorFraction = 0 })
	case harness.Hang:
		sv.hanging = true
		until(func() {
			sv.hanging = false
			sv.startQueued()
		})
	case harness.Resets:
		sv.resetFraction = f.X
		until(func() { sv.resetFraction = 0 })
	}
}

// Schedule has the options of a world with all its faults.
type Schedule struct {
	Options
}

// ParseSchedule reads a schedule from JSON.
func ParseSchedule(raw []byte) (Schedule, error) {
	var s Schedule
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, fmt.Errorf("schedule: %w", err)
	}
	return s, s.Check()
}

// String returns the schedule as one line of JSON.
func (s Schedule) String() string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // every schedule can be marshaled
	}
	return string(b)
}

// RandomSchedule draws a small world with a few faults.
func RandomSchedule(r *rand.Rand) Schedule {
	s := Schedule{Options{Seed: r.Uint64() >> 16,
		Gateways:    2 + r.IntN(4),
		Servers:     3 + r.IntN(4),
		Load:        harness.Between(r, 0.3, 1.1),
		Duration:    time.Duration(4+r.IntN(6)) * time.Second,
		MessageLoss: 0.06,
		Shift:       time.Duration(1+r.IntN(8)) * time.Second,
		Snapshots:   r.IntN(2) == 0,
		Unsafe:      r.IntN(3) == 0}}
	if r.IntN(4) == 0 { // sets of gateways large enough for a home gateway
		s.Gateways = 9 + r.IntN(4)
		s.Spread = s.Gateways
	}
	if r.IntN(3) == 0 {
		s.MessageLoss, s.MessageDuplication = 0.5*r.Float64(), 0.5*r.Float64()
	}
	if r.IntN(3) == 0 {
		s.Window = time.Duration(harness.Between(r, 1.5, 4) * float64(time.Second))
	}
	s.TightCeilings = r.IntN(2) == 0
	if r.IntN(2) == 0 {
		s.Surge = 2 + 6*r.Float64()
	}
	for range 1 + r.IntN(8) {
		f := randomFault(r, s.Duration)
		if s.Snapshots && f.Kind == harness.Kill {
			f.Kind = harness.Restart
		}
		s.Faults = append(s.Faults, f)
	}
	return s
}

func randomFault(r *rand.Rand, duration time.Duration) harness.Fault {
	kinds := slices.Concat(harness.GatewayFaults, harness.ServerFaults, harness.ServerFaults,
		harness.OtherFaults)
	f := harness.Fault{
		At:   time.Duration(r.Float64() * float64(duration)),
		Kind: kinds[r.IntN(len(kinds))],
		N:    r.IntN(1000),
	}
	lasts := func(low, high float64) { // in seconds
		f.For = time.Duration(harness.Between(r, low, high) * float64(time.Second))
	}
	switch f.Kind {
	case harness.Freeze:
		lasts(0.005, 0.04)
	case harness.Kill, harness.Restart, harness.ClockOff:
		lasts(0.05, 1.5)
		f.X = harness.Between(r, -2, 2)
	case harness.Down:
		lasts(1, 3) // long enough for its senders to notice
	case harness.Slow:
		lasts(0.5, 4)
		f.X = harness.Between(r, 2, 8)
	case harness.Errors, harness.Resets:
		lasts(0.5, 4)
		f.X = harness.Between(r, 0.2, 1)
	case harness.LateBy:
		lasts(0.5, 4)
		f.X = harness.Between(r, 0.02, 2)
	default:
		lasts(0.5, 4)
	}
	return f
}

// Mutate returns a copy of the schedule with one to three small changes.
func (s Schedule) Mutate(r *rand.Rand) Schedule {
	s.Faults = slices.Clone(s.Faults)
	for range 1 + r.IntN(3) {
		switch n := len(s.Faults); {
		case n == 0 || r.IntN(4) == 0:
			s.Faults = append(s.Faults, randomFault(r, s.Duration))
		case r.IntN(3) == 0:
			i := r.IntN(n)
			s.Faults = slices.Delete(s.Faults, i, i+1)
		case r.IntN(3) == 0:
			s.Seed = r.Uint64() >> 16
		default:
			f := &s.Faults[r.IntN(n)]
			f.At = time.Duration(r.Float64() * float64(s.Duration))
		}
	}
	return s
}
