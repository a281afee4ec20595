package authz

import (
	"container/heap"
	"math/rand/v2"
)

// budgetShare is the part of its client's time that a request may wait.
const budgetShare = 4

// entry is what is known of a key. It stands in the cache, in the order of last use.
type entry struct {
	key        Key
	verdict    Verdict
	until      Time // it holds
	stale      Time // an allowance may serve until then, while it is asked again
	prev, next *entry
}

// call is a question that is out.
type call struct {
	number  uint64
	key     Key
	trial   bool // the one that finds out whether the authenticator is back
	old     bool // asked of another authenticator: its answer is not kept
	waiting []*waiter
}

// waiter is a request that waits for a call.
type waiter struct {
	id    uint64
	class int
	until Time
	call  *call
	index int // in the heap; -1: it has its verdict
}

// Gate decides for one gateway.
type Gate struct {
	set  Settings
	do   Actions
	rand *rand.Rand
	now  Time

	cache map[Key]*entry
	used  entry // head of the ring of entries, the one used last behind it
	calls map[uint64]*call
	byKey map[Key]*call
	next  uint64

	waiters map[uint64]*waiter
	due     dueHeap
	timer   Time // 0: none is set

	fails   int
	openFor Time // 0: the breaker is closed
	openTil Time
	trial   bool // a trial is out
}

// New makes a gate that knows nothing but its settings.
func New(set Settings, seed uint64, do Actions) (*Gate, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	g := &Gate{set: set, do: do, rand: rand.New(rand.NewPCG(seed, seed>>32)),
		cache: map[Key]*entry{}, calls: map[uint64]*call{}, byKey: map[Key]*call{}, waiters: map[uint64]*waiter{}}
	g.used.prev, g.used.next = &g.used, &g.used
	return g, nil
}

// Set takes in new settings. Elsewhere: the authenticator is another one; what
// the old one said holds for those who wait for it, and for nobody after.
func (g *Gate) Set(now Time, set Settings, elsewhere bool) error {
	if err := set.check(); err != nil {
		return err
	}
	g.now = max(g.now, now)
	g.set = set
	if elsewhere {
		clear(g.cache)
		g.used.prev, g.used.next = &g.used, &g.used
		for _, c := range g.calls {
			c.old = true
		}
		clear(g.byKey)
		g.fails, g.openFor, g.trial = 0, 0, false
	}
	for len(g.cache) > g.set.MostKept {
		g.drop(g.used.prev)
	}
	return nil
}

// asks tells whether a question is to be asked at all.
func (g *Gate) asks(q *Question) bool {
	return q.Class >= 0 && q.Class < len(g.set.Ask) && g.set.Ask[q.Class] &&
		q.Plan >= 0 && q.Plan < len(g.set.Plans) && g.set.Plans[q.Plan]
}

// Request decides on a request: at once, or with Wait by Decide later. After
// tells, with Later, when to come back.
func (g *Gate) Request(now Time, q Question) (v Verdict, after Time) {
	g.now = max(g.now, now)
	if !g.asks(&q) {
		return Pass, 0
	}
	e := g.cache[q.Key]
	if e != nil {
		g.touch(e)
		switch {
		case g.now < e.until:
			return e.verdict, g.advice(e)
		case e.verdict == Pass && g.now < e.stale:
			if g.byKey[q.Key] == nil {
				g.ask(q.Key) // if it can be asked; the old word serves in any case
			}
			return Pass, 0
		}
	}
	until := g.now + min(g.set.Budget, q.Grace/budgetShare)
	if until <= g.now || len(g.waiters) >= g.set.MostWaiting {
		return g.unknown(q.Class), 0
	}
	c := g.byKey[q.Key]
	if c == nil {
		if c = g.ask(q.Key); c == nil {
			return g.unknown(q.Class), 0
		}
	}
	w := &waiter{id: q.ID, class: q.Class, until: until, call: c}
	c.waiting = append(c.waiting, w)
	g.waiters[q.ID] = w
	heap.Push(&g.due, w)
	g.arm()
	return Wait, 0
}

// advice is when to come back, of an answer that says so.
func (g *Gate) advice(e *entry) Time {
	if e.verdict == Later {
		return e.until - g.now
	}
	return 0
}

// unknown is what a class gets where no verdict can be had.
func (g *Gate) unknown(class int) Verdict {
	if g.set.PassUnknown[class] {
		return Pass
	}
	return Unknown
}

// ask begins a call, if there is room for one and the breaker lets it through.
func (g *Gate) ask(key Key) *call {
	if len(g.calls) >= g.set.MostOut {
		return nil
	}
	trial := false
	if g.openFor > 0 {
		if g.trial || g.now < g.openTil {
			return nil
		}
		trial, g.trial = true, true
	}
	g.next++
	c := &call{number: g.next, key: key, trial: trial}
	g.calls[c.number], g.byKey[key] = c, c
	g.do.Call(c.number, key)
	return c
}

// Answered takes in how a call ended. A second answer, or one to no call, is
// passed over.
func (g *Gate) Answered(now Time, number uint64, a Answer) {
	g.now = max(g.now, now)
	c := g.calls[number]
	if c == nil {
		return
	}
	delete(g.calls, number)
	if !c.old {
		delete(g.byKey, c.key)
		g.health(c, a.Verdict)
		g.keep(c.key, a)
	}
	for _, w := range c.waiting {
		if w.index < 0 {
			continue
		}
		g.leave(w)
		if a.Verdict == Unknown {
			g.do.Decide(w.id, g.unknown(w.class), 0)
		} else {
			g.do.Decide(w.id, a.Verdict, a.After)
		}
	}
	g.arm()
}

// health has the breaker learn from a call. Only the trial speaks for an open one: what was asked
// before it opened tells nothing new.
func (g *Gate) health(c *call, v Verdict) {
	switch {
	case c.trial && v == Unknown:
		g.trial = false
		g.open(min(2*g.openFor, g.set.OpenMost))
	case c.trial || v != Unknown && g.openFor == 0:
		g.fails, g.openFor = 0, 0
		g.trial = g.trial && !c.trial
	case v == Unknown && g.openFor == 0:
		if g.fails++; g.fails >= g.set.Fails {
			g.open(g.set.OpenFor)
		}
	}
}

// open opens the breaker for a time drawn below it: of many gateways not all try
// at the same moment.
func (g *Gate) open(for_ Time) {
	g.openFor = for_
	g.openTil = g.now + for_/2 + g.rand.Int64N(for_/2+1)
}

// Open tells whether the breaker keeps questions back.
func (g *Gate) Open() bool { return g.openFor > 0 }

// keep puts an answer into the cache, for as long as it may be kept.
func (g *Gate) keep(key Key, a Answer) {
	var last, stale Time
	switch a.Verdict {
	case Pass:
		last = g.set.AllowFor
		if a.MaxAge >= 0 {
			last = a.MaxAge
		}
		last, stale = min(last, g.set.AllowCap), g.set.StaleFor
		if a.MaxAge == 0 {
			stale = 0 // it is not to be kept at all
		}
	case Deny:
		last = g.set.DenyFor
		if a.MaxAge >= 0 {
			last = min(last, a.MaxAge)
		}
	case Later:
		last = min(a.After, g.set.AllowCap)
	default:
		return // what was known before still serves as far as it may
	}
	e := g.cache[key]
	if last+stale <= 0 {
		if e != nil {
			g.drop(e)
		}
		return
	}
	if e == nil {
		for len(g.cache) >= g.set.MostKept {
			g.drop(g.used.prev)
		}
		e = &entry{key: key}
		g.cache[key] = e
		g.link(e)
	}
	e.verdict, e.until, e.stale = a.Verdict, g.now+last, g.now+last+stale
}

func (g *Gate) link(e *entry) {
	e.prev, e.next = &g.used, g.used.next
	e.prev.next, e.next.prev = e, e
}

func (e *entry) unlink() { e.prev.next, e.next.prev = e.next, e.prev }

// touch makes an entry the one used last.
func (g *Gate) touch(e *entry) {
	if g.used.next != e {
		e.unlink()
		g.link(e)
	}
}

func (g *Gate) drop(e *entry) {
	e.unlink()
	delete(g.cache, e.key)
}

// Gone takes in that a request needs no verdict any more.
func (g *Gate) Gone(now Time, id uint64) {
	g.now = max(g.now, now)
	if w := g.waiters[id]; w != nil {
		g.leave(w)
		g.arm()
	}
}

// leave takes a request from those that wait.
func (g *Gate) leave(w *waiter) {
	delete(g.waiters, w.id)
	heap.Remove(&g.due, w.index)
}

// Timer gives up the requests whose budget is spent. Their calls go on: an answer
// is of use to those who ask next.
func (g *Gate) Timer(now Time) {
	g.now = max(g.now, now)
	g.timer = 0
	for len(g.due) > 0 && g.due[0].until <= g.now {
		w := g.due[0]
		g.leave(w)
		g.do.Decide(w.id, g.unknown(w.class), 0)
	}
	g.arm()
}

// PassAll has all that wait go on: nothing is asked any more.
func (g *Gate) PassAll(now Time) {
	g.now = max(g.now, now)
	for len(g.due) > 0 {
		w := g.due[0]
		g.leave(w)
		g.do.Decide(w.id, Pass, 0)
	}
}

// arm sets the timer for the request that is to be given up first.
func (g *Gate) arm() {
	if len(g.due) > 0 && (g.timer == 0 || g.due[0].until < g.timer) {
		g.timer = g.due[0].until
		g.do.SetTimer(g.timer)
	}
}

// dueHeap holds those that wait, the one to be given up first on top.
type dueHeap []*waiter

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].until < h[j].until }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *dueHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *dueHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
