package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// customer is what this gateway knows of one customer.
type customer struct {
	id            uint64
	plan          int
	first, spread int
	window        Time      // the demand window
	store         bank      // what is left of the whole quota, as far as heard; alone: of the slice
	ceiling       bank      // this gateway's safe part of the ceiling
	taken, told   float64   // units taken here, and those of them told
	asked         float64   // units asked here
	askedTold     float64   // those of them told
	lastAsk       float64   // units of the last request
	most          float64   // units of the largest one
	use, others   fading    // units asked here, and elsewhere, lately
	heard         []heard   // what each gateway of the set told, where they tell this one
	grant         float64   // wide sets: the part of what is asked that may be taken
	slice         float64   // a member's bank under a grant below 1
	granted       float64   // at home: the grant last told to the whole set
	grantAt       Time      // and when it may be told again
	asks          byte      // how often the home was asked, counted round
	tellAt        Time      // when it is told again at the latest: a member under a grant, a calm store
	waits         Time      // since when an urgent note waits for room; 0: none does
	calls         []float64 // counter calls without an answer
	total         float64   // the counter's last total
	metered       fading    // units asked here over the meter's period
	part          float64   // from the meter; 0: no reading yet
	open          int       // attempts out
	kept          bool      // its store is a former life's, and no peer has told of it since
	tell          int       // how often its use is still to be told
	spent         float64   // units that have gone from its banks, in all
	leased        float64   // up to how many the state kept last allows for,
	leasing       float64   // and the one given out last
}

// heard is what a gateway last told of a customer.
type heard struct {
	known bool
	boot  uint32
	taken uint16
	asked uint16
}

// Balancer decides for one gateway. It is not safe for concurrent use.
type Balancer struct {
	set           Settings
	bought        []Plan // the settings' own, before any Replan
	print         uint64 // of the settings
	do            Actions
	explain       func(id uint64, why RejectReason) // nil: nobody asks why
	rand          *rand.Rand
	now           Time
	awake, still  Time // the time less that during which this gateway stood still, and that
	timerAt, woke Time // when the next timer is due; when it last woke from standing still
	born          Time // 0: no event yet
	lived         Time // since when ceilings have counted, over restored lives

	saved                Time                    // when the last state was given out
	keeps, urgent, doubt bool                    // states are kept; one is due; a former life may have taken more than its state tells
	kept                 map[uint32]BackendState // of a former life, until the backend is listed

	lend      bank      // bank 0
	idleSpill []float64 // of each plan: rate at which dropped banks spill
	customers map[uint64]*customer
	order     []*customer // all of them, oldest first
	swept     Time

	rights  Allocations // nil: quotas go by notes, or the counter
	pooled  bool        // gateways hear of each other's use
	boot    uint32
	period  Time // between notes
	boots   []uint32
	heardAt []Time
	telling []*customer
	notes   [][]byte
	rooms   []bank // for notes to each peer that are sent at once
	wait    mean   // for that room
	lead    Time   // how much later than thought they are heard

	backends []*backend
	byID     map[uint32]*backend
	meanSize float64 // of those that are ready, by the list; 0: it tells none
	asked    Time
	follows  bool

	requests                      map[uint64]*request
	due                           [][]*attempt // of each class, oldest first: those not yet past their aim
	inTime                        fading       // answers within their aim, over a second
	peers, peersHeld, peersInTime fading       // peers heard of late, what they hold, their answers in time
	pace                          fading       // sends to each warm backend, over paceTime
	alive, warm                   int          // sound backends, and those of them that are warm
	grace                         [][]mean     // how long clients wait, by plan and class
	news                          []told       // words of trouble not yet told often enough
	late                          mean         // part of late answers that came after their aim
	waiting                       []*request   // for an answer of the customer's home, oldest first
	again                         float64      // further attempts allowed
	shortAim                      Time
	mean                          mean   // mean time an answer takes
	base                          []mean // the same of each class
	worth                         mean   // mean worth for work
}

// backend is one server as this gateway sees it.
type backend struct {
	Endpoint
	listed  bool
	out     int     // attempts out
	overdue int     // those of them past their aim
	quiet   Time    // since when it has had attempts out and answered none
	slow    float64 // time its answers take, over the usual; 0: not known
	slowAt  Time
	errs    float64 // part of late answers that were errors
	down    bool    // left out until a trial succeeds
	silent  bool    // down for answering nothing, or for resets alone: its process runs on
	left    Time    // when it was last left out
	sentAt  Time    // when it was last sent something; 0: never
	wait    Time    // before the next trial
	trialAt Time
	queue   float64 // as reported
	queueAt Time
	breaks  fading   // connections that broke of late
	words   []fading // of trouble, by class and then by plan
	turned  int      // how often in a row it has turned an attempt away,
	backOff Time     // and until when it is sent nothing for that
	cold    bank     // what it may still be sent while cold
	unsure  bool     // it may have started anew: only an old list names it, or a connection failed
	opens   Time     // when an unsure one may be tried
}

// told is a word and how often it is still to be told.
type told struct {
	word
	left int
}

// attempt is one send of a request.
type attempt struct {
	b       *backend
	at      Time
	pending bool
	late    bool // pending past its aim
	blind   bool // this gateway stood still while it was out
	mayRun  bool // pending, or ended in a way that does not prove it never ran
}

// request is a client's try that this gateway has taken.
type request struct {
	Request
	ask      byte // the number of the ask to the customer's home
	by       Time // when it is decided without an answer to that
	until    Time
	c        *customer
	attempts []*attempt
	over     bool
	denied   bool // by its home
	paid     bool // its home is to take it from its part of the ceiling, or has
	borrows  bool // it waits for units that are to be lent
	lent     float64
	own      float64 // taken of this gateway's part until then
	after    Time    // in what time there may be as many, by who did not lend them
}

func (r *request) tried(b *backend) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.b == b })
}

func (r *request) pending() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.pending })
}

// in tells whether a gateway is of the customer's set.
func (g *Balancer) in(c *customer, gateway int) bool {
	n := g.set.Gateways
	return (gateway-c.first+n)%n < c.spread
}

// sameGroup tells whether two backends drop each other's repeats.
func (c *Class) sameGroup(a, b *backend) bool {
	switch c.DeduplicationScope {
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Cell == b.Cell
	}
	return true
}

// backend finds or makes the record of a member.
func (g *Balancer) backend(m Endpoint) *backend {
	b := g.byID[m.Backend]
	if b == nil {
		b = &backend{Endpoint: m, cold: g.coldBank(), words: make([]fading, len(g.set.Classes)+len(g.set.Plans))}
		g.recall(b)
		g.byID[m.Backend] = b
		g.backends = append(g.backends, b)
	}
	return b
}

// prune forgets backends that are no longer listed and hold nothing.
func (g *Balancer) prune() {
	g.backends = slices.DeleteFunc(g.backends, func(b *backend) bool {
		gone := !b.listed && b.out == 0
		if gone {
			delete(g.byID, b.Backend)
		}
		return gone
	})
}

// newGateway makes a gateway's empty state.
func newGateway(set Settings, seed uint64, do Actions) *Balancer {
	g := &Balancer{
		set: set, bought: set.Plans, print: set.print(), do: do, rand: rand.New(rand.NewPCG(seed, seed>>32)), boot: uint32(seed>>32) ^ uint32(seed),
		idleSpill: make([]float64, len(set.Plans)), customers: map[uint64]*customer{},
		boots: make([]uint32, set.Gateways), heardAt: make([]Time, set.Gateways),
		notes: make([][]byte, set.Gateways), rooms: make([]bank, set.Gateways), pooled: set.Gateways > 1 && (set.Peers || set.Counter),
		byID: map[uint32]*backend{}, requests: map[uint64]*request{},
		base: make([]mean, len(set.Classes)), due: make([][]*attempt, len(set.Classes)),
	}
	for range set.Plans {
		g.grace = append(g.grace, make([]mean, len(set.Classes)))
	}
	g.shortAim = set.Classes[0].LatencyObjective
	for _, c := range set.Classes {
		g.shortAim = min(g.shortAim, c.LatencyObjective)
	}
	for _, p := range set.Plans {
		if p.soft() {
			g.lend.cap = math.Max(g.lend.cap, p.Burst)
		}
	}
	return g
}

// rouse sets the next timer.
func (g *Balancer) rouse() {
	g.timerAt = g.now + g.period
	g.do.SetTimer(g.timerAt, noteToken)
}

// near tells whether a gateway greets another when it starts.
func (g *Balancer) near(from, to int) bool {
	n := g.set.Gateways
	return g.set.Peers && from != to && (to-from+n)%n <= fewPeers
}

// member tells whether this gateway knows of a customer's use only by its home.
func (g *Balancer) member(c *customer) bool { return g.wide(c) && g.home(c) != g.set.Self }

// begun is the note to a peer, begun if need be.
func (g *Balancer) begun(peer int) []byte {
	if len(g.notes[peer]) == 0 {
		return g.noteHead()
	}
	return g.notes[peer]
}

// noteHead begins a note: which life of this gateway, and its view of the back end.
func (g *Balancer) noteHead() []byte {
	held, inTime, n := g.view()
	note := noteHead(g.boot, held/n, inTime/n)
	kept := g.news[:0]
	for _, w := range g.news {
		note = w.put(note)
		if w.left--; w.left > 0 {
			kept = append(kept, w)
		}
	}
	g.news = kept
	return note
}

// lateAfter has the attempts of a class that are out for longer fill no room.
func (g *Balancer) lateAfter(class int, age Time) {
	due := g.due[class]
	for ; len(due) > 0 && g.now-due[0].at > age; due = due[1:] {
		if a := due[0]; a.pending {
			a.late = true
			a.b.overdue++
		}
	}
	g.due[class] = due
}

// loaded takes in a load report.
func (g *Balancer) loaded(b *backend, load []float32) {
	for i, v := range load {
		if i < len(g.set.Report) && g.set.Report[i] != Unused {
			b.queue, b.queueAt = float64(v), g.now
		}
	}
}

// tellGrant adds a customer's grant to the next note to a peer, sent at once if full.
func (g *Balancer) tellGrant(peer int, c *customer) {
	if len(g.notes[peer])+grantSize > noteMost {
		g.do.SendToPeer(peer, g.notes[peer])
		g.notes[peer] = nil
	}
	g.notes[peer] = grant{id: c.id, part: c.grant}.put(g.begun(peer))
}

// ResponseStarted takes in that a streamed answer has begun: it is the client's now.
func (g *Balancer) ResponseStarted(now Time, id uint64) {
	g.begin(now)
	if r := g.requests[id]; r != nil {
		r.over = true
	}
}

// ClientGone takes in that a client left or its time ran out.
func (g *Balancer) ClientGone(now Time, id uint64) {
	g.ResponseStarted(now, id)
	if r := g.requests[id]; r != nil && !r.pending() {
		delete(g.requests, id)
	}
}

// follow asks discovery to tell of changes.
func (g *Balancer) follow() {
	g.asked = g.now
	g.do.WatchEndpoints()
}

// entry is what this gateway has to tell of a customer.
func (g *Balancer) entry(c *customer) entry {
	left := c.store.level / math.Max(c.store.cap, 1e-9)
	if g.wide(c) {
		left = c.grant
	}
	return entry{id: c.id, plan: c.plan, first: c.first, spread: c.spread, taken: counted(c.taken),
		asked: counted(c.asked), fresh: counted(c.asked - c.askedTold), left: left}
}

// note adds a customer to the notes for those it is told to, if all have room.
func (g *Balancer) note(c *customer) bool {
	first, n := g.audience(c)
	for i := range n {
		if len(g.notes[(first+i)%g.set.Gateways])+entrySize > noteMost {
			return false
		}
	}
	e := g.entry(c)
	for i := range n {
		if peer := (first + i) % g.set.Gateways; peer != g.set.Self {
			g.notes[peer] = e.put(g.begun(peer))
		}
	}
	return true
}

// greet has the neighbours know that this gateway knows nothing.
func (g *Balancer) greet() {
	for peer := range g.notes {
		g.heardAt[peer] = g.now
		if g.near(g.set.Self, peer) {
			g.do.SendToPeer(peer, g.noteHead())
		}
	}
}

// audience is to how many gateways, from which on, a customer's use is told.
func (g *Balancer) audience(c *customer) (first, n int) {
	if g.wide(c) {
		return g.home(c), 1
	}
	return c.first, c.spread
}

// wide tells whether a customer's set is too large for each to tell all others.
func (g *Balancer) wide(c *customer) bool {
	return g.set.Peers && c.spread > fewPeers && g.rights == nil
}

// home is the gateway that a wide set tells its use.
func (g *Balancer) home(c *customer) int {
	const mix = 0x9E3779B97F4A7C15 // spreads ids evenly over the set
	return (c.first + int((c.id*mix)>>33)%c.spread) % g.set.Gateways
}

// mark has a customer's use told with the next notes.
func (g *Balancer) mark(c *customer) {
	if c.spread == 1 || !g.pooled || g.member(c) && g.consults(c) {
		c.told = c.taken
		return
	}
	if c.tell == 0 {
		g.telling = append(g.telling, c)
	}
	c.tell = repeats
}

// refuse refuses with advice within what is allowed.
func (g *Balancer) refuse(id uint64, after Time, why RejectReason) {
	if g.explain != nil {
		g.explain(id, why)
	}
	if !g.set.RetryAfter {
		after = 0
	}
	g.do.Reject(id, max(0, min(after, g.set.MaxRetryAfter)))
}

// flush sends the notes begun.
func (g *Balancer) flush() {
	for peer, note := range g.notes {
		if len(note) > 0 {
			g.sendNote(peer)
		}
	}
}

// sendNote sends the note begun to a peer. It takes from the room for those sent at once.
func (g *Balancer) sendNote(peer int) {
	g.room(peer).level--
	g.do.SendToPeer(peer, g.notes[peer])
	g.notes[peer] = g.notes[peer][:0]
}

// pool adds a peer's view of the back end to what is known of all. However often a
// peer tells of it, it counts as one.
func (g *Balancer) pool(from int, n note) {
	weight := math.Min(1, float64(g.awake-g.heardAt[from])/float64(second))
	g.peers.add(g.awake, second, weight)
	g.peersHeld.add(g.awake, second, weight*n.held)
	g.peersInTime.add(g.awake, second, weight*n.inTime)
	g.heardAt[from] = g.awake
}

// showView has notes with this gateway's view go to some others, drawn each time.
func (g *Balancer) showView(n int) {
	for range n {
		if peer := g.rand.IntN(g.set.Gateways); g.set.Peers && peer != g.set.Self {
			g.notes[peer] = g.begun(peer)
		}
	}
}

// idle tells whether nothing is lost when a customer's record is dropped.
func (c *customer) idle(now Time) bool {
	const nothing = 0.01 // units: a fading sum never quite ends
	return c.use.get(now, c.window) < nothing && c.others.get(now, c.window) < nothing &&
		c.open == 0 && c.tell == 0 && len(c.calls) == 0 && c.grant == 1 && c.granted == 1 &&
		c.store.level >= c.store.cap && c.ceiling.level >= c.ceiling.cap
}

// heardOf is what a gateway of the set told of a customer.
func (g *Balancer) heardOf(c *customer, from int) *heard {
	if c.heard == nil {
		c.heard = make([]heard, c.spread)
	}
	return &c.heard[(from-c.first+g.set.Gateways)%g.set.Gateways]
}

// broke takes in that a connection to a backend could not be made or broke, and tells
// whether the backend is down. One reset tells of one connection; even of many the process
// may go on, and warm: that it has ended, and will be cold, is told by what can't connect.
func (g *Balancer) broke(b *backend, r Result) bool {
	b.breaks.add(g.now, breakTime, 1)
	if r == Reset && b.breaks.sum < breaksMost {
		return false
	}
	b.silent = r == Reset && (b.silent || !b.down)
	if !b.down || g.now >= b.trialAt {
		b.down = true
		g.leaveOut(b, "connections break")
	}
	return true
}

// share is the part of its capacity that a backend has at least.
func (g *Balancer) share(b *backend) float64 {
	if b.StartedAt == 0 || g.set.SlowStartDuration == 0 {
		return 1
	}
	age := math.Max(0, float64(g.now-b.StartedAt)/float64(g.set.SlowStartDuration))
	return math.Min(1, g.set.SlowStartMinFraction+(1-g.set.SlowStartMinFraction)*age)
}

// slowness is how slow the backend is, faded towards the usual.
func (b *backend) slowness(now Time) float64 {
	if b.slow == 0 {
		return 1
	}
	return 1 + (b.slow-1)*math.Exp2(-float64(now-b.slowAt)/float64(healTime))
}

// word adds a word of trouble, to be told with the next notes.
func (g *Balancer) word(b *backend, about int) {
	b.words[about].add(g.now, wordTime, 1)
	g.news = append(g.news[max(0, len(g.news)-wordsMost+1):], told{word{b.Backend, byte(about)}, wordNotes})
}

// coldBank is what a cold backend may be sent at first: less than one, drawn, so that
// of many gateways neither all nor none send at once.
func (g *Balancer) coldBank() bank { return bank{level: g.rand.Float64(), at: g.now} }
