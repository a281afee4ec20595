// Package election plays voters and members of a fleet in virtual time. It runs the real packages
// consensus, lease and checkpoint. Links lose, delay and duplicate messages and are cut; processes
// are suspended, killed and restarted; disks lose data that was not synced; and clocks run at
// different paces. The same seed always gives the same history.
package election

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
)

const (
	ms = time.Millisecond

	tickInterval  = 40 * ms
	electionTicks = 10
	roleName      = "duty"

	// rigSeed is the second half of each play's seed.
	rigSeed = 0x0114e5
	// minDelay and maxDelay bound the delay of a message, without World.extraDelay.
	minDelay = 200 * time.Microsecond
	maxDelay = minDelay + 2*ms
)

// World is one play.
type World struct {
	options   Options
	now       time.Duration
	random    *rand.Rand
	events    eventQueue
	processes []*process // voters, then members
	result    Result

	// Faults of the links.
	cutLinks   map[link]bool
	lossRate   float64
	extraDelay time.Duration // added to maxDelay
	// noFaultsBefore is the time before which no fault is injected.
	noFaultsBefore time.Duration

	checker checker
}

// link is one direction of the connection between two processes, by their indexes.
type link struct{ from, to int }

// Play plays a world. A panic during the play is a breach of RuleNoPanic.
func Play(options Options) (result Result) {
	if options.KeepEntries == 0 {
		options.KeepEntries = defaultKeepEntries
	}
	w := &World{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, rigSeed)),
		cutLinks: map[link]bool{},
		checker:  newChecker(),
		result:   Result{Faults: map[string]int{}},
	}
	w.addProcesses()
	for _, p := range w.processes {
		p.start()
	}
	if !options.NoFaults {
		w.scheduleFaults()
	}
	defer func() {
		if cause := recover(); cause != nil {
			w.breach(RuleNoPanic, "%v", cause)
			result = w.result
		}
	}()
	w.run()
	if w.result.Breach == nil {
		w.checkAcknowledged()
	}
	w.result.Acknowledged = len(w.checker.acknowledged)
	w.result.Leaders = len(w.checker.logLeaders)
	return w.result
}

// addProcesses adds the voters, with bootstrapped storage, and the members.
func (w *World) addProcesses() {
	var voters []*controlpb.Voter
	for i := range w.options.Voters {
		voters = append(voters,
			&controlpb.Voter{Number: uint64(i + 1), Name: fmt.Sprintf("v%d", i)})
	}
	for i := range w.options.Voters + w.options.Members {
		p := &process{
			world: w,
			index: i,
			// The paces of any two clocks differ by no more than the clock-drift bound.
			clockPace:   0.945 + 0.115*w.random.Float64(),
			clockOffset: time.Duration(w.random.Int64N(int64(time.Hour))),
		}
		w.processes = append(w.processes, p)
		if i >= w.options.Voters {
			p.member = &member{process: p, id: fmt.Sprintf("m%d", i)}
			continue
		}
		state, err := consensus.BootstrapState("sim", voters)
		if err != nil {
			panic(err)
		}
		p.voter = &voter{process: p, number: uint64(i + 1), disk: disk{synced: state}}
	}
}

// voters returns the processes that vote.
func (w *World) voters() []*process { return w.processes[:w.options.Voters] }

// members returns the other processes.
func (w *World) members() []*process { return w.processes[w.options.Voters:] }

// run runs events until the play is over, or a rule is broken.
func (w *World) run() {
	for len(w.events.heap) > 0 && w.result.Breach == nil {
		e := w.events.pop()
		if e.at > w.options.Duration {
			return
		}
		w.now = e.at
		w.result.Events++
		e.run()
		w.checkHolders()
	}
}

// schedule calls run after a delay in virtual time.
func (w *World) schedule(after time.Duration, run func()) { w.events.push(w.now+after, run) }

// send calls run at another process after a delay, unless the link loses the message. Some messages
// arrive twice.
func (w *World) send(from, to *process, run func()) {
	path := link{from.index, to.index}
	if w.cutLinks[path] || w.random.Float64() < w.lossRate {
		return
	}
	copies := 1
	if w.random.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		incarnation := to.incarnation
		delay := minDelay + time.Duration(w.random.Int64N(int64(maxDelay-minDelay+w.extraDelay)))
		w.schedule(delay, func() {
			// A link that is cut when a message is due loses the message.
			if !w.cutLinks[path] {
				to.run(incarnation, run)
			}
		})
	}
}

// breach records a broken rule. Only the first one is kept.
func (w *World) breach(rule, format string, arguments ...any) {
	if w.result.Breach == nil {
		w.result.Breach = &Breach{rule, fmt.Sprintf(format, arguments...), w.now.String()}
	}
}

// event is a call at a point in virtual time.
type event struct {
	at    time.Duration
	order uint64 // orders events at the same time
	run   func()
}

// eventQueue has the scheduled events in order of time.
type eventQueue struct {
	heap      eventHeap
	lastOrder uint64
}

func (q *eventQueue) push(at time.Duration, run func()) {
	q.lastOrder++
	heap.Push(&q.heap, event{at, q.lastOrder, run})
}

func (q *eventQueue) pop() event { return heap.Pop(&q.heap).(event) }

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
