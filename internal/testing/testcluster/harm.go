package testcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"mothcleat/internal/testing/harness"
)

// Harm injects faults into a fleet's processes and links, drawn from a seed, and counts them. It
// keeps the majority of the voters unharmed. Its methods may be called concurrently.
type Harm struct {
	Fleet  *Fleet
	Seed   uint64
	Voters int // the number of voters, which are the first gateways
	// Likely, if set, returns a gateway, such as a leader, that one fault in three affects on
	// average. A negative number means any gateway.
	Likely func(*rand.Rand) int
	// Stops is the longest time for which a process is suspended.
	Stops time.Duration
	// Killed, if set, is called by Kill and has to kill gateway i. It should return before
	// restartAt, when the gateway is to be started again.
	Killed   func(ctx context.Context, i int, restartAt time.Time)
	Progress io.Writer

	mu     sync.Mutex
	counts map[string]int
	busy   map[int]bool // gateways with a fault in progress
	done   []harmPeriod
	errs   []error
}

// harmPeriod is the period of one fault of a gateway.
type harmPeriod struct {
	gateway  int
	from, to time.Duration
}

// Befell reports whether a fault of a gateway overlapped a period.
func (h *Harm) Befell(i int, from, to time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(
		h.done,
		func(d harmPeriod) bool { return d.gateway == i && d.from < to && d.to > from },
	)
}

// Kind injects one kind of fault into gateway i. It returns when the fault has ended.
type Kind func(ctx context.Context, r *rand.Rand, i int)

// Count adds one to the count of a fault or an event.
func (h *Harm) Count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts == nil {
		h.counts = map[string]int{}
	}
	h.counts[what]++
}

// Did returns the count of a fault or an event.
func (h *Harm) Did(what string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[what]
}

// Fail records an error for Err. It ignores nil.
func (h *Harm) Fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.errs = append(h.errs, err)
	}
}

// Err returns all recorded errors, joined.
func (h *Harm) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return errors.Join(h.errs...)
}

// Logf writes a line to Progress, with the time since the start of the record.
func (h *Harm) Logf(format string, args ...any) {
	fmt.Fprintf(
		h.Progress,
		"  %6.2fs "+format+"\n",
		append([]any{h.Fleet.Record.Now().Seconds()}, args...)...)
}

// Run runs the tracks concurrently until the context ends, and then heals all links and resumes or
// restarts all gateways. Each track repeats its kinds in random order, with 1 to 3 s between them.
func (h *Harm) Run(ctx context.Context, tracks ...[]Kind) {
	h.busy = map[int]bool{}
	defer func() {
		h.Fleet.Heal()
		for i, g := range h.Fleet.Gateways {
			if h.Fleet.Stopped(i) {
				h.Fail(h.Fleet.Wake(i))
			}
			if !g.Running() {
				h.Fail(h.Fleet.Begin(i))
			}
		}
	}()
	var wg sync.WaitGroup
	for k, kinds := range tracks {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := rand.New(rand.NewPCG(h.Seed, 0xb1+uint64(k)))
			for {
				r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
				for _, kind := range kinds {
					if !Pass(ctx, randomDuration(r, 1, 3)) {
						return
					}
					if i := h.pick(r); i >= 0 {
						began := h.Fleet.Record.Now()
						kind(ctx, r, i)
						h.free(i, began)
					}
				}
			}
		}()
	}
	wg.Wait()
}

func randomDuration(r *rand.Rand, minimum, maximum float64) time.Duration {
	return time.Duration(harness.Between(r, minimum, maximum) * float64(time.Second))
}

// pick draws a gateway and marks it as busy. It returns -1 if the gateway is busy, or if it is a
// voter while another voter is busy.
func (h *Harm) pick(r *rand.Rand) int {
	i := r.IntN(len(h.Fleet.Gateways))
	if r.IntN(3) == 0 && h.Likely != nil {
		if likely := h.Likely(r); likely >= 0 {
			i = likely
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for j := range h.Voters {
		if h.busy[i] || i < h.Voters && h.busy[j] {
			return -1
		}
	}
	h.busy[i] = true
	return i
}

func (h *Harm) free(i int, began time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.done = append(h.done, harmPeriod{i, began, h.Fleet.Record.Now()})
	h.busy[i] = false
}

// Kill kills a gateway and starts it again after 0.1 to 5 s.
func (h *Harm) Kill(ctx context.Context, r *rand.Rand, i int) {
	h.Logf("kill %s", Name(i))
	h.Count("kills")
	restartAt := time.Now().Add(randomDuration(r, 0.1, 5))
	if h.Killed != nil {
		h.Killed(ctx, i, restartAt)
	} else {
		h.Fail(h.Fleet.End(i, syscall.SIGKILL))
	}
	Pass(ctx, time.Until(restartAt))
	h.Fail(h.Fleet.Begin(i))
	h.Count("joins")
}

// Terminate ends a gateway with SIGTERM and starts it again after 0.1 to 4 s.
func (h *Harm) Terminate(ctx context.Context, r *rand.Rand, i int) {
	h.Logf("terminate %s", Name(i))
	h.Count("leaves")
	h.Fail(h.Fleet.End(i, syscall.SIGTERM))
	Pass(ctx, randomDuration(r, 0.1, 4))
	h.Fail(h.Fleet.Begin(i))
	h.Count("joins")
}

// Stop suspends a gateway's process for 0.5 s to Stops.
func (h *Harm) Stop(ctx context.Context, r *rand.Rand, i int) {
	d := randomDuration(r, 0.5, h.Stops.Seconds())
	h.Logf("suspend %s for %v", Name(i), d.Round(time.Millisecond))
	if err := h.Fleet.Stop(i); err != nil {
		h.Fail(err)
		return
	}
	h.Count("stops")
	Pass(ctx, d)
	h.Fail(h.Fleet.Wake(i))
}

// Isolate cuts a gateway off from all others for 0.5 to 8 s.
func (h *Harm) Isolate(ctx context.Context, r *rand.Rand, i int) {
	d := randomDuration(r, 0.5, 8)
	h.Logf("isolate %s for %v", Name(i), d.Round(time.Millisecond))
	h.Count("cuts")
	h.Fleet.Isolate(i, true, true, true)
	Pass(ctx, d)
	h.Fleet.Isolate(i, true, true, false)
}

// OneWay cuts either what a gateway sends to the others or what it receives, for 0.5 to 5 s.
func (h *Harm) OneWay(ctx context.Context, r *rand.Rand, i int) {
	to := r.IntN(2) == 0
	h.Logf("isolate %s in one direction", Name(i))
	h.Count("cuts")
	h.Fleet.Isolate(i, to, !to, true)
	Pass(ctx, randomDuration(r, 0.5, 5))
	h.Fleet.Isolate(i, to, !to, false)
}
