package sim

import (
	"math"
	"math/rand/v2"
	"time"

	"mothcleat/internal/testing/harness"
)

const (
	slotsPerCore = 2
	queuePerCore = 8
)

// server is a model of a server with slots that share its cores, a queue, a slow start, and a
// failure when it is overloaded.
type server struct {
	w *World
	// number identifies the server in the gateways.
	number uint32
	id     string
	cores  int
	speed  float64
	rand   *rand.Rand

	up       bool
	draining bool
	// incarnation counts the server's processes. The work of an earlier process is lost.
	incarnation int
	// startIndex is the index of its current start in the record.
	startIndex    int
	errorFraction float64
	slowdown      float64
	hanging       bool
	// resetFraction is the fraction of its answers that end with a reset.
	resetFraction float64
	busy          int
	queue         []*attempt
	recent        []harness.Attempt
}

func newServer(w *World, i int) *server {
	cores, speed := w.Site.Machine(i)
	return &server{w: w, number: uint32(i + 1), id: serverName(i), cores: int(cores), speed: speed,
		rand: rand.New(rand.NewPCG(w.options.Seed, 0x5e0000+uint64(i)))}
}

func (sv *server) start(slowStart bool) {
	sv.up, sv.draining, sv.busy, sv.queue, sv.recent = true, false, 0, nil, nil
	sv.errorFraction, sv.slowdown, sv.hanging, sv.resetFraction = 0, 1, false, 0
	sv.incarnation++
	sv.startIndex = sv.w.Record.AddServerStart(harness.ServerStart{
		Server:    sv.id,
		Cores:     float64(sv.cores),
		Speed:     sv.speed,
		SlowStart: slowStart,
		At:        sv.w.at(),
	})
}

// kill ends the process: everything in flight is reset, and later connections are refused.
func (sv *server) kill() {
	sv.up = false
	sv.incarnation++
	held := sv.queue
	sv.queue = nil
	for _, a := range held {
		a.end(resultReset)
	}
	for _, a := range sv.w.takeInFlight(sv) {
		a.end(resultReset)
	}
}

// capacityShare returns the fraction of its full capacity that the server has now.
func (sv *server) capacityShare() float64 {
	return sv.w.Site.CapacityShare(&sv.w.Record.ServerStarts[sv.startIndex], sv.w.at())
}

// arrive handles an attempt that was received completely.
func (sv *server) arrive(a *attempt) {
	if !sv.up {
		a.end(resultConnect)
		return
	}
	w := sv.w
	class := &w.Site.Classes[a.q.try.Class]
	x := math.Exp(0.4*sv.rand.NormFloat64() - 0.08) // mean 1
	seen := harness.Attempt{
		ID:          a.q.try.ID,
		Key:         a.q.try.Key,
		Server:      sv.id,
		Gateway:     a.q.gateway.number,
		Class:       a.q.try.Class,
		Work:        time.Duration(x * float64(class.Work)),
		FirstByteAt: w.at(),
		ReceivedAt:  w.at(),
	}
	a.recordIndex = w.Record.AddAttempt(seen)
	a.work = seen.Work.Seconds()
	if over, notified := sv.overloaded(seen); over {
		start := &w.Record.ServerStarts[sv.startIndex]
		start.OverloadedAt = w.at()
		start.BeforeNotified = !notified
		sv.kill()
		a.end(resultReset)
		return
	}
	switch {
	case sv.draining || len(sv.queue) >= sv.cores*queuePerCore:
		w.Record.MarkRejected(a.recordIndex)
		w.after(w.net(), func() { a.end(resultRejected) })
		return
	case sv.rand.Float64() < sv.errorFraction:
		w.after(w.net(), func() { a.end(resultFailed) })
		return
	}
	sv.queue = append(sv.queue, a)
	sv.startQueued()
}

// overloaded reports whether the server received more work than it can handle during its slow
// start, and whether at least two thirds of that work came from gateways that were notified of the
// start.
func (sv *server) overloaded(a harness.Attempt) (over, notified bool) {
	s := sv.w.Site
	share := sv.capacityShare()
	if share == 1 {
		sv.recent = nil
		return false, false
	}
	sv.recent = append(sv.recent, a)
	for a.ReceivedAt-sv.recent[0].ReceivedAt > s.OverloadWindow {
		sv.recent = sv.recent[1:]
	}
	sum := 0.0         // core seconds
	sumNotified := 0.0 // of gateways that were notified
	for _, b := range sv.recent {
		sum += b.Work.Seconds()
		if sv.w.registry.knowsStart(b.Gateway, sv) {
			sumNotified += b.Work.Seconds()
		}
	}
	slack := 0.0
	for _, c := range s.Classes {
		slack = max(slack, c.Work.Seconds())
	}
	limit := s.OverloadMultiple * float64(sv.cores) * sv.speed * share * s.OverloadWindow.Seconds()
	return sum > limit+slack, sumNotified >= sum*2/3
}

// startQueued starts queued attempts while there are free slots.
func (sv *server) startQueued() {
	for sv.up && !sv.hanging && sv.busy < sv.cores*slotsPerCore && len(sv.queue) > 0 {
		a := sv.queue[0]
		sv.queue = sv.queue[1:]
		if a.ended {
			continue // the gateway has ended the attempt: queued work is dropped
		}
		sv.busy++
		class := &sv.w.Site.Classes[a.q.try.Class]
		effect := !class.Keyed || a.q.try.Key == "" ||
			sv.w.Site.Remember(a.q.try.Key, sv.w.Record.Attempts[a.recordIndex].ReceivedAt,
				class.DeduplicationWindow)
		sv.w.Record.MarkRun(a.recordIndex, effect)
		sv.spend(a, sv.incarnation,
			a.work/sv.speed*sv.slowdown*max(1, float64(sv.busy)/float64(sv.cores)))
	}
}

// spend spends a request's work in steps of at most 0.1 s. Within a step, the capacity of a slow
// start counts as constant.
func (sv *server) spend(a *attempt, incarnation int, need float64) {
	now := min(need, 0.1)
	sv.w.after(int64(now/sv.capacityShare()*1e6), func() {
		switch {
		case incarnation != sv.incarnation:
		case need > now+1e-9:
			sv.spend(a, incarnation, need-now)
		default:
			sv.busy--
			result := resultOK
			if sv.resetFraction > 0 && sv.rand.Float64() < sv.resetFraction {
				result = resultReset
			}
			sv.w.after(sv.w.net(), func() { a.end(result) })
			sv.startQueued()
		}
	})
}
