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

// Harm does things to a fleet's processes and links, by a seed, and counts what was done. The
// voters keep their majority. Its methods may be called concurrently.
type Harm struct {
	Fleet  *Fleet
	Seed   uint64
	Voters int // the first so many gateways
	// Likely, if set, returns the gateway that every third fault strikes, such as a leader. Below 0
	// means any.
	Likely func(*rand.Rand) int
	// Stops is the longest time for which a process is suspended.
	Stops time.Duration
	// Killed, if set, is called while a killed gateway is down, until restartAt.
	Killed   func(ctx context.Context, i int, restartAt time.Time)
	Progress io.Writer

	mu   sync.Mutex
	did  map[string]int
	busy map[int]bool
	done []harmed
	errs []error
}

// harmed is when something was done to a gateway.
type harmed struct {
	gateway  int
	from, to time.Duration
}

// Befell tells whether something was done to a gateway in a time.
func (h *Harm) Befell(i int, from, to time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(
		h.done,
		func(d harmed) bool { return d.gateway == i && d.from < to && d.to > from },
	)
}

// Kind is one thing that is done to a gateway, from beginning to end.
type Kind func(ctx context.Context, r *rand.Rand, i int)

// Count counts something that was done.
func (h *Harm) Count(what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.did == nil {
		h.did = map[string]int{}
	}
	h.did[what]++
}

// Did is how often something was done.
func (h *Harm) Did(what string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.did[what]
}

// Fail takes note of an error, if it is one.
func (h *Harm) Fail(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.errs = append(h.errs, err)
	}
}

// Err is all that went wrong.
func (h *Harm) Err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return errors.Join(h.errs...)
}

// Logf tells of something, with the time.
func (h *Harm) Logf(format string, args ...any) {
	fmt.Fprintf(
		h.Progress,
		"  %6.2fs "+format+"\n",
		append([]any{h.Fleet.Record.Now().Seconds()}, args...)...)
}

// Run plays tracks beside one another until the context ends, and then has all be well again. Each
// does its kinds in an order of chance, again and again, with one to three seconds between them.
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

// pick draws a gateway that nothing is done to.
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
	h.done = append(h.done, harmed{i, began, h.Fleet.Record.Now()})
	h.busy[i] = false
}

// Kill kills a gateway and starts it anew.
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

// Terminate has a gateway leave in order, and starts it anew.
func (h *Harm) Terminate(ctx context.Context, r *rand.Rand, i int) {
	h.Logf("%s leaves", Name(i))
	h.Count("leaves")
	h.Fail(h.Fleet.End(i, syscall.SIGTERM))
	Pass(ctx, randomDuration(r, 0.1, 4))
	h.Fail(h.Fleet.Begin(i))
	h.Count("joins")
}

// Stop stops a gateway's process for a while.
func (h *Harm) Stop(ctx context.Context, r *rand.Rand, i int) {
	d := randomDuration(r, 0.5, h.Stops.Seconds())
	h.Logf("stop %s for %v", Name(i), d.Round(time.Millisecond))
	if err := h.Fleet.Stop(i); err != nil {
		h.Fail(err)
		return
	}
	h.Count("stops")
	Pass(ctx, d)
	h.Fail(h.Fleet.Wake(i))
}

// Isolate cuts a gateway off from all others for a while.
func (h *Harm) Isolate(ctx context.Context, r *rand.Rand, i int) {
	d := randomDuration(r, 0.5, 8)
	h.Logf("cut %s off for %v", Name(i), d.Round(time.Millisecond))
	h.Count("cuts")
	h.Fleet.Isolate(i, true, true, true)
	Pass(ctx, d)
	h.Fleet.Isolate(i, true, true, false)
}

// OneWay cuts what a gateway says, or what it hears, for a while.
func (h *Harm) OneWay(ctx context.Context, r *rand.Rand, i int) {
	to := r.IntN(2) == 0
	h.Logf("cut %s off one way", Name(i))
	h.Count("cuts")
	h.Fleet.Isolate(i, to, !to, true)
	Pass(ctx, randomDuration(r, 0.5, 5))
	h.Fleet.Isolate(i, to, !to, false)
}
