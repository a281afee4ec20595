package lab

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"mothcleat/internal/testing/harness"
)

// PlayOptions describes the world that Play runs and the faults in it.
type PlayOptions struct {
	Seed              uint64
	Gateways, Servers int
	Load              float64
	For               time.Duration
	MessageLoss       float64 // probability of loss between gateways; below 0: the site's
	Faults            []harness.Fault
	Bin               string // path of the gateway's binary; "": it is built
}

// Play runs one world of real processes with a list of faults. Only the emulator supports wrong
// clocks, truncated messages between gateways and restarts from saved state.
func Play(ctx context.Context, o PlayOptions) (*harness.Summary, error) {
	w, err := NewWorld(
		ctx,
		Options{Seed: o.Seed, Gateways: o.Gateways, Servers: o.Servers, Load: o.Load, Bin: o.Bin,
			Operators: recordText, Log: io.Discard, Change: func(s *harness.Site) {
				if o.MessageLoss >= 0 {
					s.MessageLoss = o.MessageLoss
				}
			}},
	)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	trafficContext, cancel := context.WithTimeout(ctx, o.For)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var errs error
	for _, f := range o.Faults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !sleep(trafficContext, f.At) {
				return
			}
			if err := w.injectFault(f); err != nil {
				mu.Lock()
				errs = errors.Join(errs, fmt.Errorf("%v: %w", f, err))
				mu.Unlock()
			}
		}()
	}
	w.Clients.Run(trafficContext)
	wg.Wait()
	stop, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	if err := errors.Join(errs, w.Stop(stop)); err != nil {
		return nil, err
	}
	f := w.summarize("play")
	f.Extra["sent_units"] = harness.SentUnits(w.Record)
	return f, nil
}

// injectFault causes a fault and waits until it is over, even after the end of the traffic.
func (w *World) injectFault(f harness.Fault) error {
	g, sv := w.Gateways[f.N%len(w.Gateways)], w.Servers[f.N%len(w.Servers)]
	over := func() { time.Sleep(f.For) }
	switch f.Kind {
	case harness.Kill:
		if err := g.Signal(syscall.SIGKILL); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
		defer cancel()
		if err := g.WaitForExit(ctx); err != nil {
			return err
		}
		over()
		return w.start(ctx, g)
	case harness.Down:
		w.KillServer(sv)
		over()
		return w.StartServer(sv)
	case harness.Drained:
		w.DrainServer(sv)
		over()
		w.notify(sv, phaseReady, w.upSince(sv), false)
	case harness.RegistrySilent:
		w.Register.Silence(true)
		over()
		w.Register.Silence(false)
	case harness.Slow, harness.Errors, harness.Hang, harness.Resets:
		sv.SetFault(map[harness.FaultKind]Fault{harness.Slow: {
			Slow: f.X,
		}, harness.Errors: {Errors: f.X},
			harness.Hang: {Hang: true}, harness.Resets: {Reset: f.X}}[f.Kind])
		over()
		sv.SetFault(Fault{})
	default:
		return errors.New("this rig does not support the fault")
	}
	return nil
}
