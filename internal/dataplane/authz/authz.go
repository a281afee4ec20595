package authz

import (
	"container/heap"
	"math/rand/v2"
)

// maxWaitDivisor limits a request's wait: its client's timeout divided by this number.
const maxWaitDivisor = 4

// call is an outstanding call to the authenticator.
type call struct {
	number   uint64
	key      Key
	probe    bool // it tests whether the authenticator has recovered
	outdated bool // it was sent to a previous authenticator, so its answer is not cached
	waiting  []*waiter
}

// waiter is a request that waits for a call's answer.
type waiter struct {
	id       uint64
	class    int
	deadline Time
	call     *call
	index    int // in the heap; -1: no longer waiting
}

// Gate decides on the requests of one gateway. It is not safe for concurrent use.
type Gate struct {
	settings Settings
	actions  Actions
	now      Time

	cache    *cache
	breaker  breaker
	calls    map[uint64]*call
	byKey    map[Key]*call // only calls that are not outdated
	lastCall uint64

	waiters    map[uint64]*waiter // by request id
	byDeadline deadlineHeap
	timer      Time // 0: not set
}

// New creates a gate with an empty cache. It returns an error for invalid settings.
func New(settings Settings, seed uint64, actions Actions) (*Gate, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	return &Gate{
		settings: settings,
		actions:  actions,
		cache:    newCache(),
		breaker:  breaker{rand: rand.New(rand.NewPCG(seed, seed>>32))},
		calls:    map[uint64]*call{},
		byKey:    map[Key]*call{},
		waiters:  map[uint64]*waiter{},
	}, nil
}

// Update applies new settings. If moved is true, the authenticator was replaced by another one;
// answers of the old one apply only to requests that already wait for them. Update returns an error
// and changes nothing if the settings are invalid.
func (g *Gate) Update(now Time, settings Settings, moved bool) error {
	if err := settings.check(); err != nil {
		return err
	}
	g.now = max(g.now, now)
	g.settings = settings
	if moved {
		g.cache.clear()
		for _, c := range g.calls {
			c.outdated = true
		}
		clear(g.byKey)
		g.breaker.close()
	}
	g.cache.shrink(g.settings.MaxCached)
	return nil
}

// applies reports whether a request needs a verdict of the authenticator at all.
func (g *Gate) applies(q *Question) bool {
	s := &g.settings
	if q.Class < 0 || q.Class >= len(s.Classes) || q.Plan < 0 || q.Plan >= len(s.Plans) {
		return false
	}
	return s.Classes[q.Class] && s.Plans[q.Plan]
}

// Request decides on a request. It returns the verdict at once, or Pending if Decide will give the
// verdict later. retryAfter applies to RetryLater only.
func (g *Gate) Request(now Time, q Question) (v Verdict, retryAfter Time) {
	g.now = max(g.now, now)
	if !g.applies(&q) {
		return Allow, 0
	}
	if v, retryAfter, ok := g.cached(q.Key); ok {
		return v, retryAfter
	}
	deadline := g.now + min(g.settings.MaxWait, q.Timeout/maxWaitDivisor)
	if deadline <= g.now || len(g.waiters) >= g.settings.MaxWaiting {
		return g.undecided(q.Class), 0
	}
	c := g.byKey[q.Key]
	if c == nil {
		c = g.startCall(q.Key)
	}
	if c == nil {
		return g.undecided(q.Class), 0
	}
	w := &waiter{id: q.ID, class: q.Class, deadline: deadline, call: c}
	c.waiting = append(c.waiting, w)
	g.waiters[q.ID] = w
	heap.Push(&g.byDeadline, w)
	g.arm()
	return Pending, 0
}

// cached returns the verdict in the cache; ok is false if there is none. A stale Allow is used
// while it is revalidated, even if no call can be made to revalidate it.
func (g *Gate) cached(key Key) (v Verdict, retryAfter Time, ok bool) {
	e := g.cache.get(key)
	if e == nil {
		return 0, 0, false
	}
	if g.now < e.expires {
		if e.verdict == RetryLater {
			retryAfter = e.expires - g.now
		}
		return e.verdict, retryAfter, true
	}
	if e.verdict == Allow && g.now < e.staleUntil {
		if g.byKey[key] == nil {
			g.startCall(key)
		}
		return Allow, 0, true
	}
	return 0, 0, false
}

// undecided returns the verdict for a request of a class if the authenticator gave none.
func (g *Gate) undecided(class int) Verdict {
	if g.settings.FailOpen[class] {
		return Allow
	}
	return Unknown
}

// startCall starts a call. It returns nil if the limit of calls or the breaker does not allow one.
func (g *Gate) startCall(key Key) *call {
	if len(g.calls) >= g.settings.MaxCalls {
		return nil
	}
	ok, probe := g.breaker.allow(g.now)
	if !ok {
		return nil
	}
	g.lastCall++
	c := &call{number: g.lastCall, key: key, probe: probe}
	g.calls[c.number] = c
	g.byKey[key] = c
	g.actions.Call(c.number, key)
	return c
}

// HandleAnswer applies the answer to a call. It ignores a second answer to a call and an answer to
// an unknown call.
func (g *Gate) HandleAnswer(now Time, number uint64, a Answer) {
	g.now = max(g.now, now)
	c := g.calls[number]
	if c == nil {
		return
	}
	delete(g.calls, number)
	if !c.outdated {
		delete(g.byKey, c.key)
		g.breaker.record(g.now, &g.settings, c.probe, a.Verdict == Unknown)
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

// BreakerOpen reports whether the circuit breaker is open.
func (g *Gate) BreakerOpen() bool { return g.breaker.open() }

// store caches an answer for as long as it may be cached. An answer without a verdict leaves the
// cache unchanged.
func (g *Gate) store(key Key, a Answer) {
	if a.Verdict == Unknown || a.Verdict == Pending {
		return
	}
	ttl, staleTTL := g.ttl(a)
	if ttl+staleTTL <= 0 {
		g.cache.remove(key)
		return
	}
	e := g.cache.put(key, g.settings.MaxCached)
	e.verdict = a.Verdict
	e.expires = g.now + ttl
	e.staleUntil = e.expires + staleTTL
}

// ttl returns how long an answer may be cached, and for how much longer it may be used when stale.
func (g *Gate) ttl(a Answer) (ttl, staleTTL Time) {
	s := &g.settings
	switch a.Verdict {
	case Allow:
		ttl = s.AllowTTL
		staleTTL = s.StaleTTL
		if a.MaxAge >= 0 {
			ttl = a.MaxAge
		}
		if a.MaxAge == 0 {
			staleTTL = 0 // it must not be cached at all
		}
		ttl = min(ttl, s.MaxAllowTTL)
	case Deny:
		ttl = s.MaxDenyTTL
		if a.MaxAge >= 0 {
			ttl = min(ttl, a.MaxAge)
		}
	case RetryLater:
		ttl = min(a.RetryAfter, s.MaxAllowTTL)
	}
	return ttl, staleTTL
}

// Cancel records that a request no longer needs a verdict.
func (g *Gate) Cancel(now Time, id uint64) {
	g.now = max(g.now, now)
	if w := g.waiters[id]; w != nil {
		g.removeWaiter(w)
		g.arm()
	}
}

func (g *Gate) removeWaiter(w *waiter) {
	delete(g.waiters, w.id)
	heap.Remove(&g.byDeadline, w.index)
}

// Timer decides on the requests whose wait has expired. Their calls continue, because an answer can
// serve later requests.
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

// AllowAll allows all waiting requests. It is used when the authenticator is switched off.
func (g *Gate) AllowAll(now Time) {
	g.now = max(g.now, now)
	for len(g.byDeadline) > 0 {
		w := g.byDeadline[0]
		g.removeWaiter(w)
		g.actions.Decide(w.id, Allow, 0)
	}
}

// arm sets the timer for the next deadline, unless the timer already fires no later than that.
func (g *Gate) arm() {
	if len(g.byDeadline) == 0 {
		return
	}
	next := g.byDeadline[0].deadline
	if g.timer == 0 || next < g.timer {
		g.timer = next
		g.actions.SetTimer(next)
	}
}

// deadlineHeap orders waiters by their deadlines; it implements heap.Interface.
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
