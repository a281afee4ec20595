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

// The faults. Undisturbed names the interval of a run before the first fault.
const (
	Undisturbed Fault = "undisturbed"
	// FaultStop stops a control process that is not the leader of the log for stopLength.
	FaultStop Fault = "stop"
	// FaultKill kills a control process that is not the leader, and restarts it after downLength.
	FaultKill Fault = "kill"
	// FaultLeader kills the leader, and restarts it after downLength.
	FaultLeader Fault = "leader"
	// FaultGateways stops one process of simulated gateways for stopLength.
	FaultGateways Fault = "gateways"
)

const (
	stopLength = 4 * time.Second
	downLength = 2 * time.Second
	// minInterval is the minimum length of each interval of a run: a fault and its aftermath.
	minInterval  = 6 * time.Second
	startTimeout = 20 * time.Second // for a killed process to restart
)

var knownFaults = []Fault{FaultStop, FaultKill, FaultLeader, FaultGateways}

// ParseFaults parses a comma-separated list of faults; empty: none.
func ParseFaults(list string) (all []Fault, err error) {
	if list == "" {
		return nil, nil
	}
	for word := range strings.SplitSeq(list, ",") {
		if !slices.Contains(knownFaults, Fault(word)) {
			return nil, fmt.Errorf("--faults %q: must be one of stop, kill, leader, gateways", word)
		}
		all = append(all, Fault(word))
	}
	return all, nil
}

// Interval is the part of a run from one fault until the next, with the changes made in it.
type Interval struct {
	Fault        Fault  `json:"fault"`
	Target       string `json:"target,omitempty"`    // the affected process
	BeganMS      int64  `json:"began_ms"`            // since the start of the run
	InForce      Delays `json:"in_force"`            // delays of changes of servers
	Draining     Delays `json:"draining"`            // the drains among them
	PlansInForce Delays `json:"plans_in_force"`      // delays of versions of the plans
	Failed       string `json:"failed,omitempty"`    // why the fault was not injected
	Recovered    bool   `json:"recovered,omitempty"` // the process runs again
	began        time.Time
}

// injectFaults injects the faults of a run, one in each interval, and records the start of each
// interval. It returns after the last fault or when the context ends, once each affected process
// runs again.
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

// inject injects a fault, waits for its length and ends it. It returns the name of the affected
// process.
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

// restart kills a control process and starts it again after downLength, or at once when the context
// ends. The start does not depend on the context.
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

// pause stops a process of simulated gateways for stopLength.
func (c *child) pause(ctx context.Context) error {
	if err := c.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleep(ctx, stopLength)
	return c.command.Process.Signal(syscall.SIGCONT)
}

// intervalOf returns the interval in which a change was made, or nil if the run has no intervals.
func (f *fleetRun) intervalOf(at time.Time) *Interval {
	for i := range slices.Backward(f.intervals) {
		if !at.Before(f.intervals[i].began) {
			return &f.intervals[i]
		}
	}
	return nil
}
