// Package calibrate runs the same site, seed and faults with real processes and in the emulator,
// and reports how closely the emulator's results match.
package calibrate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/lab"
	"mothcleat/sim"
)

// Pairing is one world that both rigs run.
type Pairing struct {
	Name     string
	Gateways int
	Load     float64
	NoteLoss float64 // fraction of lost peer messages; below 0: the site's
	Faults   func(length time.Duration) []harness.Fault
}

// Pairings returns the worlds that are compared.
func Pairings() []Pairing {
	noFaults := func(time.Duration) []harness.Fault { return nil }
	at := func(length time.Duration, part float64) time.Duration {
		return time.Duration(part * float64(length))
	}
	return []Pairing{
		{"calm, 3 gateways", 3, 0.55, -1, noFaults},
		{"calm, 24 gateways", 24, 0.55, -1, noFaults},
		{"calm, 40 gateways", 40, 0.55, -1, noFaults},
		{"loaded, 8 gateways", 8, 0.85, -1, noFaults},
		{"three in ten notes lost, 8 gateways", 8, 0.55, 0.3, noFaults},
		{"gateways killed, 8", 8, 0.55, -1, func(length time.Duration) (all []harness.Fault) {
			for i := range 6 {
				all = append(
					all,
					harness.Fault{
						At:   at(length, 0.1+0.13*float64(i)),
						For:  500 * time.Millisecond,
						Kind: harness.Kill,
						N:    i,
					},
				)
			}
			return all
		}},
		{"cold servers, 8 gateways", 8, 0.55, -1, func(length time.Duration) (all []harness.Fault) {
			for i := range 3 {
				all = append(
					all,
					harness.Fault{
						At:   at(length, 0.1+0.25*float64(i)),
						For:  1500 * time.Millisecond,
						Kind: harness.Down,
						N:    3 * i,
					},
				)
			}
			return all
		}},
		{
			"register silent and a server down, 8 gateways",
			8,
			0.55,
			-1,
			func(length time.Duration) []harness.Fault {
				return []harness.Fault{{
					At:   at(length, 0.1),
					For:  at(length, 0.5),
					Kind: harness.RegistrySilent,
				},
					{At: at(length, 0.2), For: 1500 * time.Millisecond, Kind: harness.Down, N: 2}}
			},
		},
	}
}

// Row is the result of a pairing.
type Row struct {
	Name    string     `json:"name"`
	Service [2]float64 `json:"service"` // real, emulated
	Refused [2]float64 `json:"refused"` // fraction of the first tries
	P50     [2]float64 `json:"p50_ms"`
	Beyond  [2]float64 `json:"over_quota_share"`
	Gap     float64    `json:"service_gap"`
	// Within is set if the services differ by at most 0.02, the fractions of refused tries by at
	// most 15% or 0.01, and the p50s by at most 15%.
	Within   bool `json:"within"`
	Breaches int  `json:"broken"`
}

const (
	maxServiceDifference  = 0.02
	maxRelativeDifference = 0.15
	minRefusedShare       = 0.01 // fraction of the first tries; smaller differences are ignored
	maxParallel           = 3    // real worlds that run at once on one machine
)

// Run runs all pairings. A broken rule in either rig is a failure. Differences between the rigs are
// only reported.
func Run(
	ctx context.Context, seed uint64, length time.Duration, progress io.Writer,
) (*harness.Summary, error) {
	bin, remove, err := lab.BuildInTempDir(ctx)
	if err != nil {
		return nil, err
	}
	defer remove()
	pairings := Pairings()
	rows, errs := make([]Row, len(pairings)), make([]error, len(pairings))
	f := harness.NewSummary("calibrate", seed)
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, maxParallel)
	for i, p := range pairings {
		wg.Add(1)
		go func() {
			defer wg.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			real, model, err := play(ctx, p, seed, length, bin)
			if errs[i] = err; err != nil {
				return
			}
			rows[i] = compare(p.Name, real, model)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintf(
				progress,
				"%-46s service %.3f, emulated %.3f; refused %.3f, %.3f; "+
					"p50 %.0f, %.0f ms; within %t\n",
				p.Name,
				rows[i].Service[0],
				rows[i].Service[1],
				rows[i].Refused[0],
				rows[i].Refused[1],
				rows[i].P50[0],
				rows[i].P50[1],
				rows[i].Within,
			)
			for k, side := range []*harness.Summary{real, model} {
				for rule, n := range side.Broken {
					f.Broken[rule] += n
				}
				if !side.OK {
					f.AddFailure(fmt.Sprintf("%s, %s: %v", p.Name,
						[2]string{"real", "emulated"}[k], side.Why))
				}
			}
		}()
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	worst, within := 0.0, 0
	for _, r := range rows {
		worst = max(worst, math.Abs(r.Gap))
		if r.Within {
			within++
		}
	}
	f.Seconds = time.Since(began).Seconds()
	f.Extra["pairings"] = rows
	f.Extra["within"] = within
	f.Extra["of"] = len(rows)
	f.Extra["service_gap_most"] = worst
	return f, nil
}

const servers = 12

func play(
	ctx context.Context, p Pairing, seed uint64, length time.Duration, bin string,
) (real, model *harness.Summary, err error) {
	faults := p.Faults(length)
	real, err = lab.Play(
		ctx,
		lab.PlayOptions{
			Seed:        seed,
			Gateways:    p.Gateways,
			Servers:     servers,
			Load:        p.Load,
			For:         length,
			MessageLoss: p.NoteLoss,
			Faults:      faults,
			Bin:         bin,
		},
	)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	model, err = sim.RunSummary(
		sim.Options{
			Seed:        seed,
			Gateways:    p.Gateways,
			Servers:     servers,
			Load:        p.Load,
			Duration:    length,
			MessageLoss: p.NoteLoss,
			Faults:      faults,
		},
	)
	return real, model, err
}

func compare(name string, real, model *harness.Summary) Row {
	r := Row{Name: name}
	for i, f := range []*harness.Summary{real, model} {
		r.Service[i], r.P50[i] = f.Service, f.P50
		r.Refused[i] = float64(f.Refused) / float64(max(1, f.Requests))
		if sent, ok := f.Extra["sent_units"].(float64); ok && sent > 0 {
			r.Beyond[i] = f.Over / sent
		}
		for _, n := range f.Broken {
			r.Breaches += n
		}
	}
	near := func(x [2]float64, least float64) bool {
		d := math.Abs(x[0] - x[1])
		return d <= least || d <= maxRelativeDifference*max(x[0], x[1])
	}
	r.Gap = r.Service[0] - r.Service[1]
	r.Within = math.Abs(r.Gap) <= maxServiceDifference && near(r.Refused, minRefusedShare) &&
		near(r.P50, 0)
	return r
}
