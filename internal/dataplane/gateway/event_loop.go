package gateway

import (
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"mothcleat/internal/dataplane/admin"
	"mothcleat/internal/dataplane/forwardauth"
	"mothcleat/internal/dataplane/lifecycle"
	"mothcleat/internal/dataplane/metrics"
	"mothcleat/internal/dataplane/policy"
)

// answerMargin is how long before the client stops waiting a request is ended: its
// answer has to reach the client, and this process may be kept from running.
const answerMargin = 25_000

// clock gives the time in microseconds since 1970 as of the start, monotonic
// from then on.
type clock struct {
	wall  policy.Time
	start time.Time
}

func newClock() clock {
	now := time.Now()
	return clock{now.UnixMicro(), now}
}

func (c clock) now() policy.Time { return c.wall + time.Since(c.start).Microseconds() }

// event is something that happened, posted by a socket's goroutine.
type event interface {
	handle(l *Loop)
}

// timerTask is something to be done at a time.
type timerTask interface {
	due(l *Loop)
}

// Loop owns the module and the table of open requests. Only its goroutine
// touches either; all else reaches it as an event.
type Loop struct {
	cfg      Config
	log      *slog.Logger
	clock    clock
	lastNow  policy.Time
	balancer *policy.Balancer

	events   chan event
	urgent   chan event // discovery's news: ahead of all queued work
	queue    []event    // what follows from the module's own actions
	timers   timerHeap
	timer    *time.Timer
	armedFor policy.Time

	requests      map[uint64]*request
	byClientID    map[uint64]*request // those without a final answer, by the id that the client gave
	nextID        uint64
	open          int          // requests without a final answer
	heldBytes     int          // bytes of requests and of answers that wait their turn
	incomingBytes atomic.Int64 // bytes of requests that were read and wait for the loop

	clients      *clients
	backends     *backendPool
	peers        *peerLink
	counter      *counterClient
	endpoints    endpointSource
	snapshots    snapshotter
	rejections   *rejectionLog     // nil: no record is kept
	auth         *forwardauth.Step // nil: nobody was ever asked
	authEnabled  atomic.Bool       // for those who read commands
	authContext  context.Context   // of the calls that it makes
	cancelAuth   context.CancelFunc
	lifecycle    *lifecycle.Process
	shutdown     shutdown
	handover     handovers
	metrics      *metrics.Counters
	admin        *admin.Server // nil: no address is given
	serviceBegun bool
	done         bool
	suspend      suspendDetector
	assignedPlan func(customer uint64) int // see replanned; nil: requests name the plan
}

// post hands an event to the loop.
func (l *Loop) post(e event) { l.events <- e }

// postUrgent hands an event to the loop ahead of all queued work.
func (l *Loop) postUrgent(e event) { l.urgent <- e }

// enqueue has an event handled right after the one at hand. Actions use it: they
// must not call the module while it is deciding.
func (l *Loop) enqueue(e event) { l.queue = append(l.queue, e) }

// now is the time, never going back.
func (l *Loop) now() policy.Time {
	l.lastNow = max(l.lastNow, l.clock.now())
	return l.lastNow
}

// run handles events until the gateway has ended.
func (l *Loop) run() {
	for !l.done {
		l.fireTimers()
		// Discovery first: work queued before a drain was told must not be sent
		// on after its grace.
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
			l.recordTurn()
		}
	}
}

func (l *Loop) handle(e event) {
	l.recordTurn()
	e.handle(l)
	l.runQueued()
	l.storeSnapshotIfDue()
}

// runQueued handles what the actions left behind.
func (l *Loop) runQueued() {
	for i := 0; i < len(l.queue); i++ {
		l.queue[i].handle(l)
	}
	clear(l.queue)
	l.queue = l.queue[:0]
}

// schedule has something done at a time.
func (l *Loop) schedule(when policy.Time, d timerTask) *timer {
	t := &timer{at: when, task: d}
	heap.Push(&l.timers, t)
	return t
}

// cancel drops a timer that is not wanted any more: until due it would keep all
// that it is about.
func (l *Loop) cancel(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// fireTimers does all that is due and arms the timer for the next.
func (l *Loop) fireTimers() {
	for len(l.timers) > 0 {
		next, now := l.timers[0].at, l.now()
		if next > now {
			if l.armedFor == 0 || next < l.armedFor {
				l.timer.Reset(time.Duration(next-now) * time.Microsecond)
				l.armedFor = next
			}
			return
		}
		t := heap.Pop(&l.timers).(*timer)
		t.task.due(l)
		l.runQueued()
	}
}

type timer struct {
	at    policy.Time
	task  timerTask
	index int // in the heap; -1: in it no more
}

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

// policyTimer is a timer that the module has set.
type policyTimer uint32

func (a policyTimer) due(l *Loop) { l.balancer.Timer(l.now(), uint32(a)) }

// The module's actions.

// Send starts the next attempt of a request.
func (l *Loop) Send(id uint64, backend uint32, until policy.Time) {
	r := l.requests[id]
	if r == nil {
		panic(fmt.Sprintf("send for request %d, which is not open", id))
	}
	if until == 0 || until > r.deadline {
		until = r.deadline
	}
	l.recordAllocation(r)
	a := &attempt{request: r, number: r.attemptsMade, startedAt: l.now(), deadline: until}
	r.attemptsMade++
	r.outstanding = append(r.outstanding, a)
	l.backends.startAttempt(l, a, backend)
}

// Reject gives the final answer that trying again is harmless.
func (l *Loop) Reject(id uint64, after policy.Time) {
	if r := l.requests[id]; r != nil {
		l.answer(r, busyReply(after))
		if l.cfg.Operations != nil {
			l.cfg.Operations.Rejected(false)
		}
	}
}

// Fail gives the final answer that promises nothing.
func (l *Loop) Fail(id uint64) {
	if r := l.requests[id]; r != nil {
		l.answer(r, failedReply)
	}
}

// SetTimer has the module called at the time.
func (l *Loop) SetTimer(at policy.Time, token uint32) { l.schedule(at, policyTimer(token)) }

// Probe asks a backend whether it lives.
func (l *Loop) Probe(backend uint32) {
	now := l.now()
	a := &attempt{startedAt: now, deadline: now + l.cfg.Host.DialTimeout}
	l.backends.startAttempt(l, a, backend)
}

// SendToPeer sends a note to a peer.
func (l *Loop) SendToPeer(peer int, note []byte) { l.peers.send(peer, note) }

// AddToCounter adds to a number that all gateways share.
func (l *Loop) AddToCounter(name uint64, add float64, life policy.Time) {
	l.counter.add(l, name, add, life)
}

// WatchEndpoints asks discovery for the list and its changes from now on.
func (l *Loop) WatchEndpoints() { l.endpoints.Follow() }

// Log writes a line for the people on call.
func (l *Loop) Log(line string) { l.log.Info(line) }
