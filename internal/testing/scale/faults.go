package scale

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Fault is a failure that a run injects.
type Fault string

// The faults. Undisturbed names the stretch of a run before the first.
const (
	Undisturbed   Fault = "undisturbed"
	FaultStop     Fault = "stop"     // a control process that does not lead the log is stopped for stopLength
	FaultKill     Fault = "kill"     // one that does not lead is killed, and started again after downLength
	FaultLeader   Fault = "leader"   // the one that leads is killed, and started again
	FaultGateways Fault = "gateways" // one process of hollow gateways is stopped for stopLength
)

const (
	stopLength = 4 * time.Second
	downLength = 2 * time.Second
	// minStretch is how long each stretch of a run has to be: a fault, and what comes after it.
	minInterval  = 6 * time.Second
	startTimeout = 20 * time.Second // for a process that was killed
)

var knownFaults = []Fault{FaultStop, FaultKill, FaultLeader, FaultGateways}

// ParseFaults reads a list of faults, parted by commas; empty: none.
func ParseFaults(list string) (all []Fault, err error) {
	if list == "" {
		return nil, nil
	}
	for word := range strings.SplitSeq(list, ",") {
		if !slices.Contains(knownFaults, Fault(word)) {
			return nil, fmt.Errorf("--faults %q: some of stop, kill, leader, gateways wanted", word)
		}
		all = append(all, Fault(word))
	}
	return all, nil
}

// Stretch is a part of a run: from a fault until the next, with the changes that were made in it.
type Interval struct {
	Fault        Fault  `json:"fault"`
	Target       string `json:"target,omitempty"`    // the process that it befell
	BeganMS      int64  `json:"began_ms"`            // since the run began
	InForce      Delays `json:"in_force"`            // of servers' changes
	Draining     Delays `json:"draining"`            // of those, drains
	PlansInForce Delays `json:"plans_in_force"`      // of versions of the plans
	Failed       string `json:"failed,omitempty"`    // why the fault was not injected
	Recovered    bool   `json:"recovered,omitempty"` // the process serves again
	began        time.Time
}

// injectFaults injects the faults of a run, one in each stretch, and notes when each stretch began.
// It returns when the context ends and each process that a fault befell runs again.
func (f *fleetRun) injectFaults(ctx context.Context) {
	began := time.Now()
	f.intervals = []Interval{{Fault: Undisturbed, began: began}}
	length := f.options.For / time.Duration(len(f.options.Faults)+1)
	for i, fault := range f.options.Faults {
		if !sleep(ctx, time.Until(began.Add(length*time.Duration(i+1)))) {
			return
		}
		s := Interval{Fault: fault, began: time.Now(), BeganMS: time.Since(began).Milliseconds()}
		fmt.Fprintf(f.log, "fault %s after %v\n", fault, time.Since(began).Round(time.Millisecond))
		target, err := f.inject(ctx, fault)
		s.Target, s.Recovered = target, err == nil
		if err != nil {
			s.Failed = err.Error()
			fmt.Fprintln(f.log, "fault", fault, "failed:", err)
		}
		f.intervals = append(f.intervals, s)
	}
}

// inject injects a fault, waits for its length and ends it. It returns the name of the process that
// it befell.
func (f *fleetRun) inject(ctx context.Context, fault Fault) (target string, err error) {
	if fault == FaultGateways {
		return "the first process of hollow gateways", f.children[0].pause(ctx)
	}
	leader := f.control.leader()
	if leader < 0 {
		return "", errors.New("no control process says that it leads")
	}
	at := leader
	if fault != FaultLeader {
		at = (leader + 1) % f.options.Control
	}
	if fault == FaultStop {
		return controlName(at), f.control.pause(ctx, at)
	}
	return controlName(at), f.control.restart(ctx, at)
}

// pause stops a control process for stopLength.
func (c *control) pause(ctx context.Context, at int) error {
	g := c.world.Gateways[at]
	if err := g.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleep(ctx, stopLength)
	return g.Signal(syscall.SIGCONT)
}

// restart kills a control process and starts it again after downLength, whatever becomes of the
// context.
func (c *control) restart(ctx context.Context, at int) error {
	g := c.world.Gateways[at]
	if err := g.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	starting, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	defer cancel()
	if err := g.WaitForExit(starting); err != nil {
		return err
	}
	sleep(ctx, downLength)
	return c.world.Start(starting, g)
}

// pause stops a process of hollow gateways for stopLength.
func (c *child) pause(ctx context.Context) error {
	if err := c.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleep(ctx, stopLength)
	return c.command.Process.Signal(syscall.SIGCONT)
}

// stretchOf is the stretch in which a change was made; nil where the run has none.
func (f *fleetRun) intervalOf(at time.Time) *Interval {
	for i := range slices.Backward(f.intervals) {
		if !at.Before(f.intervals[i].began) {
			return &f.intervals[i]
		}
	}
	return nil
}
