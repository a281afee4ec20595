package authz

import (
	"container/heap"
	"math/rand/v2"
)

// maxWaitDivisor is the part of its client's time that a request may wait.
const maxWaitDivisor = 4

// entry is what is known of a key. It stands in the cache, in the order of last use.
type entry struct {
	key        Key
	verdict    Verdict
	expires    Time // it holds
	staleUntil Time // an allowance may serve until then, while it is asked again
	prev, next *entry
}

// call is a question that is out.
type call struct {
	number   uint64
	key      Key
	probe    bool // the one that finds out whether the authenticator is back
	outdated bool // asked of another authenticator: its answer is not kept
	waiting  []*waiter
}

// waiter is a request that waits for a call.
type waiter struct {
	id       uint64
	class    int
	deadline Time
	call     *call
	index    int // in the heap; -1: it has its verdict
}

// Gate decides for one gateway.
type Gate struct {
	settings Settings
	actions  Actions
	rand     *rand.Rand
	now      Time

	cache    map[Key]*entry
	lru      entry // head of the ring of entries, the one used last behind it
	calls    map[uint64]*call
	byKey    map[Key]*call
	lastCall uint64

	waiters    map[uint64]*waiter
	byDeadline deadlineHeap
	timer      Time // 0: none is set

	failures     int
	breakerOpen  Time // 0: the breaker is closed
	breakerUntil Time
	probing      bool // a trial is out
}

// New makes a gate that knows nothing but its settings.
func New(set Settings, seed uint64, do Actions) (*Gate, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	g := &Gate{settings: set, actions: do, rand: rand.New(rand.NewPCG(seed, seed>>32)),
		cache: map[Key]*entry{}, calls: map[uint64]*call{}, byKey: map[Key]*call{}, waiters: map[uint64]*waiter{}}
	g.lru.prev, g.lru.next = &g.lru, &g.lru
	return g, nil
}

// Update takes in new settings. Elsewhere: the authenticator is another one; what
// the old one said holds for those who wait for it, and for nobody after.
func (g *Gate) Update(now Time, set Settings, elsewhere bool) error {
	if err := set.check(); err != nil {
		return err
	}
	g.now = max(g.now, now)
	g.settings = set
	if elsewhere {
		clear(g.cache)
		g.lru.prev, g.lru.next = &g.lru, &g.lru
		for _, c := range g.calls {
			c.outdated = true
		}
		clear(g.byKey)
		g.failures, g.breakerOpen, g.probing = 0, 0, false
	}
	for len(g.cache) > g.settings.MaxCached {
		g.evict(g.lru.prev)
	}
	return nil
}

// applies tells whether a question is to be asked at all.
func (g *Gate) applies(q *Question) bool {
	return q.Class >= 0 && q.Class < len(g.settings.Classes) && g.settings.Classes[q.Class] &&
		q.Plan >= 0 && q.Plan < len(g.settings.Plans) && g.settings.Plans[q.Plan]
}

// Request decides on a request: at once, or with Wait by Decide later. After
// tells, with Later, when to come back.
func (g *Gate) Request(now Time, q Question) (v Verdict, after Time) {
	g.now = max(g.now, now)
	if !g.applies(&q) {
		return Allow, 0
	}
	e := g.cache[q.Key]
	if e != nil {
		g.touch(e)
		switch {
		case g.now < e.expires:
			return e.verdict, g.retryAfter(e)
		case e.verdict == Allow && g.now < e.staleUntil:
			if g.byKey[q.Key] == nil {
				g.startCall(q.Key) // if it can be asked; the old word serves in any case
			}
			return Allow, 0
		}
	}
	until := g.now + min(g.settings.MaxWait, q.Timeout/maxWaitDivisor)
	if until <= g.now || len(g.waiters) >= g.settings.MaxWaiting {
		return g.undecided(q.Class), 0
	}
	c := g.byKey[q.Key]
	if c == nil {
		if c = g.startCall(q.Key); c == nil {
			return g.undecided(q.Class), 0
		}
	}
	w := &waiter{id: q.ID, class: q.Class, deadline: until, call: c}
	c.waiting = append(c.waiting, w)
	g.waiters[q.ID] = w
	heap.Push(&g.byDeadline, w)
	g.arm()
	return Pending, 0
}

// retryAfter is when to come back, of an answer that says so.
func (g *Gate) retryAfter(e *entry) Time {
	if e.verdict == RetryLater {
		return e.expires - g.now
	}
	return 0
}

// undecided is what a class gets where no verdict can be had.
func (g *Gate) undecided(class int) Verdict {
	if g.settings.FailOpen[class] {
		return Allow
	}
	return Unknown
}

// startCall begins a call, if there is room for one and the breaker lets it through.
func (g *Gate) startCall(key Key) *call {
	if len(g.calls) >= g.settings.MaxCalls {
		return nil
	}
	trial := false
	if g.breakerOpen > 0 {
		if g.probing || g.now < g.breakerUntil {
			return nil
		}
		trial, g.probing = true, true
	}
	g.lastCall++
	c := &call{number: g.lastCall, key: key, probe: trial}
	g.calls[c.number], g.byKey[key] = c, c
	g.actions.Call(c.number, key)
	return c
}

// HandleAnswer takes in how a call ended. A second answer, or one to no call, is
// passed over.
func (g *Gate) HandleAnswer(now Time, number uint64, a Answer) {
	g.now = max(g.now, now)
	c := g.calls[number]
	if c == nil {
		return
	}
	delete(g.calls, number)
	if !c.outdated {
		delete(g.byKey, c.key)
		g.recordResult(c, a.Verdict)
		g.store(c.key, a)
	}
	for _, w := range c.waiting {
		if w.index < 0 {
			continue
		}
		g.removeWaiter(w)
		if a.Verdict == Unknown {
			g.actions.Decide(w.id, g.undecided(w.class), 0)
		} else {
			g.actions.Decide(w.id, a.Verdict, a.RetryAfter)
		}
	}
	g.arm()
}

// recordResult has the breaker learn from a call. Only the trial speaks for an open one: what was asked
// before it opened tells nothing new.
func (g *Gate) recordResult(c *call, v Verdict) {
	switch {
	case c.probe && v == Unknown:
		g.probing = false
		g.openBreaker(min(2*g.breakerOpen, g.settings.BreakerMaxOpen))
	case c.probe || v != Unknown && g.breakerOpen == 0:
		g.failures, g.breakerOpen = 0, 0
		g.probing = g.probing && !c.probe
	case v == Unknown && g.breakerOpen == 0:
		if g.failures++; g.failures >= g.settings.BreakerFailures {
			g.openBreaker(g.settings.BreakerMinOpen)
		}
	}
}

// openBreaker opens the breaker for a time drawn below it: of many gateways not all try
// at the same moment.
func (g *Gate) openBreaker(for_ Time) {
	g.breakerOpen = for_
	g.breakerUntil = g.now + for_/2 + g.rand.Int64N(for_/2+1)
}

// BreakerOpen tells whether the breaker keeps questions back.
func (g *Gate) BreakerOpen() bool { return g.breakerOpen > 0 }

// store puts an answer into the cache, for as long as it may be kept.
func (g *Gate) store(key Key, a Answer) {
	var last, stale Time
	switch a.Verdict {
	case Allow:
		last = g.settings.AllowTTL
		if a.MaxAge >= 0 {
			last = a.MaxAge
		}
		last, stale = min(last, g.settings.MaxAllowTTL), g.settings.StaleTTL
		if a.MaxAge == 0 {
			stale = 0 // it is not to be kept at all
		}
	case Deny:
		last = g.settings.MaxDenyTTL
		if a.MaxAge >= 0 {
			last = min(last, a.MaxAge)
		}
	case RetryLater:
		last = min(a.RetryAfter, g.settings.MaxAllowTTL)
	default:
		return // what was known before still serves as far as it may
	}
	e := g.cache[key]
	if last+stale <= 0 {
		if e != nil {
			g.evict(e)
		}
		return
	}
	if e == nil {
		for len(g.cache) >= g.settings.MaxCached {
			g.evict(g.lru.prev)
		}
		e = &entry{key: key}
		g.cache[key] = e
		g.link(e)
	}
	e.verdict, e.expires, e.staleUntil = a.Verdict, g.now+last, g.now+last+stale
}

func (g *Gate) link(e *entry) {
	e.prev, e.next = &g.lru, g.lru.next
	e.prev.next, e.next.prev = e, e
}

func (e *entry) unlink() { e.prev.next, e.next.prev = e.next, e.prev }

// touch makes an entry the one used last.
func (g *Gate) touch(e *entry) {
	if g.lru.next != e {
		e.unlink()
		g.link(e)
	}
}

func (g *Gate) evict(e *entry) {
	e.unlink()
	delete(g.cache, e.key)
}

// Cancel takes in that a request needs no verdict any more.
func (g *Gate) Cancel(now Time, id uint64) {
	g.now = max(g.now, now)
	if w := g.waiters[id]; w != nil {
		g.removeWaiter(w)
		g.arm()
	}
}

// removeWaiter takes a request from those that wait.
func (g *Gate) removeWaiter(w *waiter) {
	delete(g.waiters, w.id)
	heap.Remove(&g.byDeadline, w.index)
}

// Timer gives up the requests whose budget is spent. Their calls go on: an answer
// is of use to those who ask next.
func (g *Gate) Timer(now Time) {
	g.now = max(g.now, now)
	g.timer = 0
	for len(g.byDeadline) > 0 && g.byDeadline[0].deadline <= g.now {
		w := g.byDeadline[0]
		g.removeWaiter(w)
		g.actions.Decide(w.id, g.undecided(w.class), 0)
	}
	g.arm()
}

// AllowAll has all that wait go on: nothing is asked any more.
func (g *Gate) AllowAll(now Time) {
	g.now = max(g.now, now)
	for len(g.byDeadline) > 0 {
		w := g.byDeadline[0]
		g.removeWaiter(w)
		g.actions.Decide(w.id, Allow, 0)
	}
}

// arm sets the timer for the request that is to be given up first.
func (g *Gate) arm() {
	if len(g.byDeadline) > 0 && (g.timer == 0 || g.byDeadline[0].deadline < g.timer) {
		g.timer = g.byDeadline[0].deadline
		g.actions.SetTimer(g.timer)
	}
}

// deadlineHeap holds those that wait, the one to be given up first on top.
type deadlineHeap []*waiter

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *deadlineHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
