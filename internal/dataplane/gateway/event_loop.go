package gateway

import (
	"container/heap"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// clock gives the time in microseconds since 1970. It reads the wall clock once, at its making,
// and is monotonic from then on. It may be read from any goroutine.
type clock struct {
	wall  policy.Time
	start time.Time
}

func newClock() clock {
	now := time.Now()
	return clock{wall: now.UnixMicro(), start: now}
}

func (c clock) now() policy.Time { return c.wall + time.Since(c.start).Microseconds() }

// event is something that happened. Goroutines that read sockets post events; handle runs on the
// event loop's goroutine and must not block.
type event interface {
	handle(g *Gateway)
}

// timerTask is work to be done at a given time. due runs on the event loop's goroutine and must
// not block.
type timerTask interface {
	due(g *Gateway)
}

// eventLoop serialises all that changes the gateway's state: one goroutine handles events and
// timers, one at a time. post, postUrgent and clock may be used from any goroutine; everything
// else belongs to the loop's own.
type eventLoop struct {
	gateway *Gateway
	clock   clock
	lastNow policy.Time

	events chan event
	urgent chan event // endpoint updates and operators' calls: handled before all queued events
	queue  []event    // follow-ups of the event being handled

	timers   timerHeap
	timer    *time.Timer
	armedFor policy.Time // when timer fires; 0: it is not armed

	done bool // run returns
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

// post hands an event to the loop. It waits while the queue is full.
func (l *eventLoop) post(e event) { l.events <- e }

// postUrgent hands an event to the loop ahead of all queued events. It waits while the urgent
// queue is full.
func (l *eventLoop) postUrgent(e event) { l.urgent <- e }

// enqueue has an event handled right after the current one. The balancer's actions use it, as they
// must not call the balancer while it is deciding.
func (l *eventLoop) enqueue(e event) { l.queue = append(l.queue, e) }

// now returns the current time, which never goes back.
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

// handle handles an event and what follows from it.
func (l *eventLoop) handle(e event) {
	l.gateway.recordIteration()
	e.handle(l.gateway)
	l.runQueued()
	l.gateway.storeSnapshotIfDue()
}

// runQueued handles the events that were enqueued, also those that they enqueue in turn.
func (l *eventLoop) runQueued() {
	for i := 0; i < len(l.queue); i++ {
		l.queue[i].handle(l.gateway)
	}
	clear(l.queue)
	l.queue = l.queue[:0]
}

// schedule has a task run at a time; one in the past runs at the next turn of the loop.
func (l *eventLoop) schedule(when policy.Time, task timerTask) *timer {
	t := &timer{at: when, task: task}
	heap.Push(&l.timers, t)
	return t
}

// cancel drops a timer; nil, or one that has fired, is ignored. A timer that is left to fire keeps
// all that its task refers to in memory until then.
func (l *eventLoop) cancel(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// fireTimers runs all tasks that are due and arms the timer for the next one.
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

// arm has the timer fire at next, unless it fires before that anyway.
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
	index int // its place in the heap; -1: it has fired or was cancelled
}

// timerHeap orders timers by their time; it implements heap.Interface.
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
