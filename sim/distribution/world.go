// Package distribution plays the distribution of control state in virtual time: the real machines,
// publishers and replicas of internal/controlplane/distribution over one history. Links lose,
// duplicate, damage and delay messages, are slow or cut. Servers are suspended, killed and
// restarted, also from an older state. Gateways restart with, without and with a damaged state
// file. The source changes its term during bursts, and the fleet is created anew. A model that is a
// plain map checks everything that a gateway receives against what was committed.
package distribution

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/distribution"
)

const (
	fleetName = "emulated"
	// quietPeriod is the time without faults at the end of a play.
	quietPeriod = 60 * time.Second
	// urgentTimeout is how long an urgent change may take on an undisturbed stream.
	urgentTimeout = 750 * time.Millisecond
)

// Rule is a guarantee that a play checks.
type Rule string

// The rules.
const (
	// Diverged is broken if a gateway at a position does not have the records that were committed
	// there.
	Diverged Rule = "diverged"
	// StaleOperations is broken if a gateway goes back to an earlier position, so that a drain is
	// undone.
	StaleOperations Rule = "stale_operations"
	// LostChanges is broken if a gateway does not have the newest state after a quiet period.
	LostChanges Rule = "lost_changes"
	// LateUrgent is broken if a drain or deletion takes longer than urgentTimeout on an undisturbed
	// stream.
	LateUrgent Rule = "late_urgent"
	// EarlyResume is broken if a replica resumes before the time that the server set for it.
	EarlyResume Rule = "early_resume"
)

// Breach is a guarantee that was broken.
type Breach struct {
	Rule   Rule   `json:"what"`
	Detail string `json:"how"`
	At     string `json:"at"`
}

// Size is the size of a play.
type Size struct {
	Servers  int `json:"servers"`
	Replicas int `json:"replicas"`
}

// Result is the result of a play.
type Result struct {
	Breach    *Breach
	Faults    map[string]int
	Revisions int
	// Delivered counts deliveries to gateways.
	Delivered int
	Repairs   uint64
	Resumes   uint64
	Retries   uint64
	// Refused counts rejected messages by type of error.
	Refused map[string]int
}

// World is one play.
type World struct {
	random   *rand.Rand
	now      time.Duration
	events   events
	sequence uint64
	quiet    bool

	lineage *lineage // the fleet's current lineage
	// lineages are the current and all former lineages, by epoch.
	lineages          map[uint64]*lineage
	registry          registry
	servers           []*server
	replicas          []*replica
	streams           distribution.StreamID
	publisherSettings distribution.PublisherSettings
	result            Result
}

// event is scheduled for a time. Events at the same time run in the order in which they were
// scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// at schedules an event. A time in the past means now.
func (w *World) at(when time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{max(when, w.now), w.sequence, do})
}

func (w *World) after(delay time.Duration, do func()) { w.at(w.now+delay, do) }

// between draws a duration from low to high, both included.
func (w *World) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

// chance is true once in n calls on average, and never in the quiet period. It counts the fault.
func (w *World) chance(fault string, n int) bool {
	if w.quiet || w.random.IntN(n) != 0 {
		return false
	}
	w.result.Faults[fault]++
	return true
}

func (w *World) breach(rule Rule, format string, args ...any) {
	if w.result.Breach == nil {
		w.result.Breach = &Breach{rule, fmt.Sprintf(format, args...), w.now.String()}
	}
}

// publisherSettings returns tight settings: the log is short, and resyncs wait for free slots.
func publisherSettings() distribution.PublisherSettings {
	s := distribution.DefaultPublisherSettings(fleetName)
	s.Log = distribution.LogBounds{Entries: 24, Bytes: 64 << 10}
	s.MaxResyncs, s.BulkBytesPerSecond, s.BulkBurstBytes = 2, 40<<10, 8<<10
	s.ResyncSlotTimeout, s.BulkMessageBytes = 2*time.Second, 1<<10
	return s
}

// replicaSettings returns the real settings, with a state file that is written more often.
func replicaSettings(id string, incarnation uint64, zone string) distribution.ReplicaSettings {
	s := distribution.DefaultReplicaSettings(fleetName, id)
	s.Incarnation, s.Place = incarnation, distribution.Place{Zone: zone, Region: "south"}
	s.PersistInterval, s.ReturnInterval = 2*time.Second, 20*time.Second
	return s
}

// Play plays one schedule of faults that lasts length, and then a quiet period.
func Play(seed uint64, size Size, length time.Duration) Result {
	w := &World{random: rand.New(rand.NewPCG(seed, 46)), publisherSettings: publisherSettings()}
	w.lineages = map[uint64]*lineage{}
	w.result = Result{Faults: map[string]int{}, Refused: map[string]int{}}
	w.createFleet(size)
	w.after(0, w.changeRegistry)
	w.after(w.between(time.Second, 3*time.Second), w.injectFault)
	w.at(length, w.endFaults)
	w.at(length+quietPeriod, w.checkConverged)
	for len(w.events) > 0 && w.result.Breach == nil && w.now < length+quietPeriod {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.do()
	}
	for _, r := range w.replicas {
		counts := r.client.Counts()
		w.result.Repairs += counts.Repairs
		w.result.Resumes += counts.Resumes
	}
	return w.result
}

// endFaults ends all faults.
func (w *World) endFaults() {
	w.quiet = true
	for _, s := range w.servers {
		if s.lineage != w.lineage {
			w.restart(s, w.lineage, 0)
		} else if !s.up {
			w.restart(s, w.lineage, s.applied)
		}
		s.cutUntil = 0
	}
	for _, r := range w.replicas {
		if !r.up {
			w.startReplica(r)
		}
		r.slow = false
	}
}

// checkConverged checks that every replica has the newest state.
func (w *World) checkConverged() {
	newest := w.lineage.newest()
	for _, r := range w.replicas {
		at := r.client.Position()
		if at.Epoch != w.lineage.epoch || at.Revision != newest {
			w.breach(LostChanges, "%s is at %v after %v of quiet, and not at %d/%d", r.id, at,
				quietPeriod, w.lineage.epoch, newest)
		}
	}
}
