package gateway

import (
	"container/heap"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// clock returns the time in microseconds since the Unix epoch. It reads the wall clock once, when
// it is created, and is monotonic from then on. It is safe for concurrent use.
type clock struct {
	wall  policy.Time
	start time.Time
}

func newClock() clock {
	now := time.Now()
	return clock{wall: now.UnixMicro(), start: now}
}

func (c clock) now() policy.Time { return c.wall + time.Since(c.start).Microseconds() }

// event is a unit of work for the event loop. Goroutines that read sockets post events. handle runs
// on the event loop's goroutine and must not block.
type event interface {
	handle(g *Gateway)
}

// timerTask is a task scheduled for a given time. due runs on the event loop's goroutine and must
// not block.
type timerTask interface {
	due(g *Gateway)
}

// eventLoop serialises all changes of the gateway's state: one goroutine handles events and timers
// one at a time. post, postUrgent and clock are safe for concurrent use; everything else belongs to
// the event loop's goroutine.
type eventLoop struct {
	gateway *Gateway
	clock   clock
	lastNow policy.Time

	events chan event
	urgent chan event // endpoint updates and admin calls: handled before all events in events
	queue  []event    // events enqueued by the event being handled

	timers   timerHeap
	timer    *time.Timer
	armedFor policy.Time // when timer fires; 0: timer is not armed

	done bool // makes run return
}

func newEventLoop(g *Gateway) eventLoop {
	e := eventLoop{
		gateway: g,
		clock:   newClock(),
		events:  make(chan event, eventQueueLength),
		urgent:  make(chan event, urgentQueueLength),
		timer:   time.NewTimer(time.Hour),
	}
	e.timer.Stop()
	return e
}

const (
	eventQueueLength  = 1024
	urgentQueueLength = 16
)

// post sends an event to the loop. It blocks while the queue is full.
func (l *eventLoop) post(e event) { l.events <- e }

// postUrgent sends an event to the loop ahead of all queued events. It blocks while the urgent
// queue is full.
func (l *eventLoop) postUrgent(e event) { l.urgent <- e }

// enqueue appends an event that the loop handles right after the current one. The balancer's
// actions use it, because they must not call the balancer while it is deciding.
func (l *eventLoop) enqueue(e event) { l.queue = append(l.queue, e) }

// now returns the current time, which never decreases.
func (l *eventLoop) now() policy.Time {
	l.lastNow = max(l.lastNow, l.clock.now())
	return l.lastNow
}

// run handles events and timers until the gateway is done.
func (l *eventLoop) run() {
	for !l.done {
		l.fireTimers()
		// Endpoint updates go first: a request that was queued before a drain was announced
		// must not reach the draining backend after its grace period.
		select {
		case e := <-l.urgent:
			l.handle(e)
			continue
		default:
		}
		select {
		case e := <-l.urgent:
			l.handle(e)
		case e := <-l.events:
			l.handle(e)
		case <-l.timer.C:
			l.armedFor = 0
			l.gateway.recordIteration()
		}
	}
}

// handle handles an event and all events that it enqueues.
func (l *eventLoop) handle(e event) {
	l.gateway.recordIteration()
	e.handle(l.gateway)
	l.runQueued()
	l.gateway.storeSnapshotIfDue()
}

// runQueued handles all enqueued events, including those enqueued while it runs.
func (l *eventLoop) runQueued() {
	for i := 0; i < len(l.queue); i++ {
		l.queue[i].handle(l.gateway)
	}
	clear(l.queue)
	l.queue = l.queue[:0]
}

// schedule runs a task at the given time. A task whose time has passed runs in the loop's next
// iteration.
func (l *eventLoop) schedule(when policy.Time, task timerTask) *timer {
	t := &timer{at: when, task: task}
	heap.Push(&l.timers, t)
	return t
}

// cancel removes a timer; it ignores nil and a timer that has fired. A timer that is not cancelled
// keeps everything its task refers to in memory until it fires.
func (l *eventLoop) cancel(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// fireTimers runs all due tasks and arms the timer for the next one.
func (l *eventLoop) fireTimers() {
	for len(l.timers) > 0 {
		next := l.timers[0].at
		now := l.now()
		if next > now {
			l.arm(next, now)
			return
		}
		t := heap.Pop(&l.timers).(*timer)
		t.task.due(l.gateway)
		l.runQueued()
	}
}

// arm sets the timer to fire at next, unless it already fires earlier.
func (l *eventLoop) arm(next, now policy.Time) {
	if l.armedFor != 0 && next >= l.armedFor {
		return
	}
	l.timer.Reset(time.Duration(next-now) * time.Microsecond)
	l.armedFor = next
}

type timer struct {
	at    policy.Time
	task  timerTask
	index int // position in the heap; -1: the timer has fired or was cancelled
}

// timerHeap orders timers by time. It implements heap.Interface.
type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
