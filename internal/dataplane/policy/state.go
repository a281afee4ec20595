package policy

import (
	"math"
	"math/rand/v2"
	"slices"
)

// customer is what this gateway knows of one customer.
type customer struct {
	id                          uint64
	plan                        int
	first, spread               int
	demandWindow                Time         // the demand window
	bucket                      tokenBucket  // what is left of the whole quota, as far as heard; alone: of the slice
	ceilingBucket               tokenBucket  // this gateway's safe part of the ceiling
	consumed, announcedConsumed float64      // units taken here, and those of them told
	requested                   float64      // units asked here
	announcedRequested          float64      // those of them told
	lastUnits                   float64      // units of the last request
	maxUnits                    float64      // units of the largest one
	localDemand, peerUsage      decayingSum  // units asked here, and elsewhere, lately
	peerTotals                  []peerTotals // what each gateway of the set told, where they tell this one
	grantFraction               float64      // wide sets: the part of what is asked that may be taken
	localShare                  float64      // a member's bank under a grant below 1
	announcedGrant              float64      // at home: the grant last told to the whole set
	nextGrantAnnouncement       Time         // and when it may be told again
	homeQueries                 byte         // how often the home was asked, counted round
	nextAnnouncement            Time         // when it is told again at the latest: a member under a grant, a calm store
	urgentSince                 Time         // since when an urgent note waits for room; 0: none does
	counterCalls                []float64    // counter calls without an answer
	counterTotal                float64      // the counter's last total
	meteredDemand               decayingSum  // units asked here over the meter's period
	shareFraction               float64      // from the meter; 0: no reading yet
	inFlight                    int          // attempts out
	restored                    bool         // its store is a former life's, and no peer has told of it since
	pendingAnnouncements        int          // how often its use is still to be told
	spent                       float64      // units that have gone from its banks, in all
	storedAllowance             float64      // up to how many the state kept last allows for,
	snapshotAllowance           float64      // and the one given out last
}

// peerTotals is what a gateway last told of a customer.
type peerTotals struct {
	known       bool
	incarnation uint32
	consumed    uint16
	requested   uint16
}

// Balancer decides for one gateway. It is not safe for concurrent use.
type Balancer struct {
	settings                 Settings
	configuredPlans          []Plan // the settings' own, before any Replan
	settingsSum              uint64 // of the settings
	actions                  Actions
	onReject                 func(id uint64, why RejectReason) // nil: nobody asks why
	rand                     *rand.Rand
	now                      Time
	activeTime, suspendedFor Time // the time less that during which this gateway stood still, and that
	nextTimer, resumedAt     Time // when the next timer is due; when it last woke from standing still
	startedAt                Time // 0: no event yet
	stateSince               Time // since when ceilings have counted, over restored lives

	lastSnapshot                                 Time                    // when the last state was given out
	snapshotsStored, snapshotDue, uncleanRestore bool                    // states are kept; one is due; a former life may have taken more than its state tells
	restoredBackends                             map[uint32]BackendState // of a former life, until the backend is listed

	sharedBucket  tokenBucket // bank 0
	idleRefill    []float64   // of each plan: rate at which dropped banks spill
	customers     map[uint64]*customer
	customerOrder []*customer // all of them, oldest first
	lastSweep     Time

	allocations      Allocations // nil: quotas go by notes, or the counter
	sharesUsage      bool        // gateways hear of each other's use
	incarnation      uint32
	gossipInterval   Time // between notes
	peerIncarnations []uint32
	peerHeardAt      []Time
	pendingGossip    []*customer
	outgoing         [][]byte
	urgentBuckets    []tokenBucket // for notes to each peer that are sent at once
	urgentDelay      runningMean   // for that room
	learnedDelay     Time          // how much later than thought they are heard

	backends    []*backend
	backendByID map[uint32]*backend
	meanWeight  float64 // of those that are ready, by the list; 0: it tells none
	lastWatch   Time
	watching    bool

	requests                               map[uint64]*request
	withinObjective                        [][]*attempt    // of each class, oldest first: those not yet past their aim
	onTime                                 decayingSum     // answers within their aim, over a second
	peersHeard, peersInFlight, peersOnTime decayingSum     // peers heard of late, what they hold, their answers in time
	sendPace                               decayingSum     // sends to each warm backend, over paceTime
	healthyCount, warmCount                int             // sound backends, and those of them that are warm
	clientTimeouts                         [][]runningMean // how long clients wait, by plan and class
	pendingFaults                          []pendingFault  // words of trouble not yet told often enough
	lateFraction                           runningMean     // part of late answers that came after their aim
	awaitingUnits                          []*request      // for an answer of the customer's home, oldest first
	retryBudget                            float64         // further attempts allowed
	minObjective                           Time
	meanLatency                            runningMean   // mean time an answer takes
	classLatencies                         []runningMean // the same of each class
	meanValue                              runningMean   // mean worth for work
}

// backend is one server as this gateway sees it.
type backend struct {
	Endpoint
	listed                bool
	inFlight              int     // attempts out
	overdue               int     // those of them past their aim
	unansweredSince       Time    // since when it has had attempts out and answered none
	latencyRatio          float64 // time its answers take, over the usual; 0: not known
	latencyRatioAt        Time
	errorRate             float64 // part of late answers that were errors
	unhealthy             bool    // left out until a trial succeeds
	unresponsive          bool    // down for answering nothing, or for resets alone: its process runs on
	ejectedAt             Time    // when it was last left out
	lastSend              Time    // when it was last sent something; 0: never
	probeBackoff          Time    // before the next trial
	nextProbe             Time
	reportedQueue         float64 // as reported
	queueReportedAt       Time
	connectionFaults      decayingSum   // connections that broke of late
	faultReports          []decayingSum // of trouble, by class and then by plan
	consecutiveRejections int           // how often in a row it has turned an attempt away,
	backoffUntil          Time          // and until when it is sent nothing for that
	slowStart             tokenBucket   // what it may still be sent while cold
	maybeRestarted        bool          // it may have started anew: only an old list names it, or a connection failed
	notBefore             Time          // when an unsure one may be tried
}

// pendingFault is a word and how often it is still to be told.
type pendingFault struct {
	faultReport
	remaining int
}

// attempt is one send of a request.
type attempt struct {
	backend         *backend
	sentAt          Time
	pending         bool
	overdue         bool // pending past its aim
	spansSuspension bool // this gateway stood still while it was out
	mayHaveRun      bool // pending, or ended in a way that does not prove it never ran
}

// request is a client's try that this gateway has taken.
type request struct {
	Request
	queryNumber     byte // the number of the ask to the customer's home
	decideBy        Time // when it is decided without an answer to that
	deadline        Time
	customer        *customer
	attempts        []*attempt
	done            bool
	deniedByHome    bool // by its home
	homePaysCeiling bool // its home is to take it from its part of the ceiling, or has
	awaitsOnDemand  bool // it waits for units that are to be lent
	onDemandUnits   float64
	reservedUnits   float64 // taken of this gateway's part until then
	retryAfter      Time    // in what time there may be as many, by who did not lend them
}

func (r *request) tried(b *backend) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.backend == b })
}

func (r *request) pending() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.pending })
}

// inSet tells whether a gateway is of the customer's set.
func (g *Balancer) inSet(c *customer, gateway int) bool {
	n := g.settings.Gateways
	return (gateway-c.first+n)%n < c.spread
}

// sameScope tells whether two backends drop each other's repeats.
func (c *Class) sameScope(a, b *backend) bool {
	switch c.DeduplicationScope {
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Cell == b.Cell
	}
	return true
}

// findOrAddBackend finds or makes the record of a member.
func (g *Balancer) findOrAddBackend(m Endpoint) *backend {
	b := g.backendByID[m.Backend]
	if b == nil {
		b = &backend{Endpoint: m, slowStart: g.newSlowStartBucket(), faultReports: make([]decayingSum, len(g.settings.Classes)+len(g.settings.Plans))}
		g.restoreBackend(b)
		g.backendByID[m.Backend] = b
		g.backends = append(g.backends, b)
	}
	return b
}

// pruneBackends forgets backends that are no longer listed and hold nothing.
func (g *Balancer) pruneBackends() {
	g.backends = slices.DeleteFunc(g.backends, func(b *backend) bool {
		gone := !b.listed && b.inFlight == 0
		if gone {
			delete(g.backendByID, b.Backend)
		}
		return gone
	})
}

// newGateway makes a gateway's empty state.
func newGateway(set Settings, seed uint64, do Actions) *Balancer {
	g := &Balancer{
		settings: set, configuredPlans: set.Plans, settingsSum: set.checksum(), actions: do, rand: rand.New(rand.NewPCG(seed, seed>>32)), incarnation: uint32(seed>>32) ^ uint32(seed),
		idleRefill: make([]float64, len(set.Plans)), customers: map[uint64]*customer{},
		peerIncarnations: make([]uint32, set.Gateways), peerHeardAt: make([]Time, set.Gateways),
		outgoing: make([][]byte, set.Gateways), urgentBuckets: make([]tokenBucket, set.Gateways), sharesUsage: set.Gateways > 1 && (set.Peers || set.Counter),
		backendByID: map[uint32]*backend{}, requests: map[uint64]*request{},
		classLatencies: make([]runningMean, len(set.Classes)), withinObjective: make([][]*attempt, len(set.Classes)),
	}
	for range set.Plans {
		g.clientTimeouts = append(g.clientTimeouts, make([]runningMean, len(set.Classes)))
	}
	g.minObjective = set.Classes[0].LatencyObjective
	for _, c := range set.Classes {
		g.minObjective = min(g.minObjective, c.LatencyObjective)
	}
	for _, p := range set.Plans {
		if p.mayExceedQuota() {
			g.sharedBucket.capacity = math.Max(g.sharedBucket.capacity, p.Burst)
		}
	}
	return g
}

// scheduleTimer sets the next timer.
func (g *Balancer) scheduleTimer() {
	g.nextTimer = g.now + g.gossipInterval
	g.actions.SetTimer(g.nextTimer, gossipTimer)
}

// announcesTo tells whether a gateway greets another when it starts.
func (g *Balancer) announcesTo(from, to int) bool {
	n := g.settings.Gateways
	return g.settings.Peers && from != to && (to-from+n)%n <= maxDirectPeers
}

// isRemote tells whether this gateway knows of a customer's use only by its home.
func (g *Balancer) isRemote(c *customer) bool { return g.hasHome(c) && g.homeOf(c) != g.settings.Self }

// messageTo is the note to a peer, begun if need be.
func (g *Balancer) messageTo(peer int) []byte {
	if len(g.outgoing[peer]) == 0 {
		return g.newPeerMessage()
	}
	return g.outgoing[peer]
}

// newPeerMessage begins a note: which life of this gateway, and its view of the back end.
func (g *Balancer) newPeerMessage() []byte {
	held, inTime, n := g.loadView()
	note := messageHeader(g.incarnation, held/n, inTime/n)
	kept := g.pendingFaults[:0]
	for _, w := range g.pendingFaults {
		note = w.appendTo(note)
		if w.remaining--; w.remaining > 0 {
			kept = append(kept, w)
		}
	}
	g.pendingFaults = kept
	return note
}

// markOverdue has the attempts of a class that are out for longer fill no room.
func (g *Balancer) markOverdue(class int, age Time) {
	due := g.withinObjective[class]
	for ; len(due) > 0 && g.now-due[0].sentAt > age; due = due[1:] {
		if a := due[0]; a.pending {
			a.overdue = true
			a.backend.overdue++
		}
	}
	g.withinObjective[class] = due
}

// recordLoadReport takes in a load report.
func (g *Balancer) recordLoadReport(b *backend, load []float32) {
	for i, v := range load {
		if i < len(g.settings.Report) && g.settings.Report[i] != Unused {
			b.reportedQueue, b.queueReportedAt = float64(v), g.now
		}
	}
}

// queueGrant adds a customer's grant to the next note to a peer, sent at once if full.
func (g *Balancer) queueGrant(peer int, c *customer) {
	if len(g.outgoing[peer])+grantSize > maxMessageSize {
		g.actions.SendToPeer(peer, g.outgoing[peer])
		g.outgoing[peer] = nil
	}
	g.outgoing[peer] = grantEntry{id: c.id, fraction: c.grantFraction}.appendTo(g.messageTo(peer))
}

// ResponseStarted takes in that a streamed answer has begun: it is the client's now.
func (g *Balancer) ResponseStarted(now Time, id uint64) {
	g.advanceClock(now)
	if r := g.requests[id]; r != nil {
		r.done = true
	}
}

// ClientGone takes in that a client left or its time ran out.
func (g *Balancer) ClientGone(now Time, id uint64) {
	g.ResponseStarted(now, id)
	if r := g.requests[id]; r != nil && !r.pending() {
		delete(g.requests, id)
	}
}

// watchEndpoints asks discovery to tell of changes.
func (g *Balancer) watchEndpoints() {
	g.lastWatch = g.now
	g.actions.WatchEndpoints()
}

// usageEntryOf is what this gateway has to tell of a customer.
func (g *Balancer) usageEntryOf(c *customer) usageEntry {
	left := c.bucket.level / math.Max(c.bucket.capacity, 1e-9)
	if g.hasHome(c) {
		left = c.grantFraction
	}
	return usageEntry{id: c.id, plan: c.plan, first: c.first, spread: c.spread, consumed: toWireUnits(c.consumed),
		requested: toWireUnits(c.requested), newlyRequested: toWireUnits(c.requested - c.announcedRequested), remaining: left}
}

// queueUsage adds a customer to the notes for those it is told to, if all have room.
func (g *Balancer) queueUsage(c *customer) bool {
	first, n := g.gossipTargets(c)
	for i := range n {
		if len(g.outgoing[(first+i)%g.settings.Gateways])+entrySize > maxMessageSize {
			return false
		}
	}
	e := g.usageEntryOf(c)
	for i := range n {
		if peer := (first + i) % g.settings.Gateways; peer != g.settings.Self {
			g.outgoing[peer] = e.appendTo(g.messageTo(peer))
		}
	}
	return true
}

// announce has the neighbours know that this gateway knows nothing.
func (g *Balancer) announce() {
	for peer := range g.outgoing {
		g.peerHeardAt[peer] = g.now
		if g.announcesTo(g.settings.Self, peer) {
			g.actions.SendToPeer(peer, g.newPeerMessage())
		}
	}
}

// gossipTargets is to how many gateways, from which on, a customer's use is told.
func (g *Balancer) gossipTargets(c *customer) (first, n int) {
	if g.hasHome(c) {
		return g.homeOf(c), 1
	}
	return c.first, c.spread
}

// hasHome tells whether a customer's set is too large for each to tell all others.
func (g *Balancer) hasHome(c *customer) bool {
	return g.settings.Peers && c.spread > maxDirectPeers && g.allocations == nil
}

// homeOf is the gateway that a wide set tells its use.
func (g *Balancer) homeOf(c *customer) int {
	const mix = 0x9E3779B97F4A7C15 // spreads ids evenly over the set
	return (c.first + int((c.id*mix)>>33)%c.spread) % g.settings.Gateways
}

// markChanged has a customer's use told with the next notes.
func (g *Balancer) markChanged(c *customer) {
	if c.spread == 1 || !g.sharesUsage || g.isRemote(c) && g.consultsHome(c) {
		c.announcedConsumed = c.consumed
		return
	}
	if c.pendingAnnouncements == 0 {
		g.pendingGossip = append(g.pendingGossip, c)
	}
	c.pendingAnnouncements = announcementRepeats
}

// reject refuses with advice within what is allowed.
func (g *Balancer) reject(id uint64, after Time, why RejectReason) {
	if g.onReject != nil {
		g.onReject(id, why)
	}
	if !g.settings.RetryAfter {
		after = 0
	}
	g.actions.Reject(id, max(0, min(after, g.settings.MaxRetryAfter)))
}

// flushMessages sends the notes begun.
func (g *Balancer) flushMessages() {
	for peer, note := range g.outgoing {
		if len(note) > 0 {
			g.sendMessage(peer)
		}
	}
}

// sendMessage sends the note begun to a peer. It takes from the room for those sent at once.
func (g *Balancer) sendMessage(peer int) {
	g.urgentBucket(peer).level--
	g.actions.SendToPeer(peer, g.outgoing[peer])
	g.outgoing[peer] = g.outgoing[peer][:0]
}

// mergePeerLoad adds a peer's view of the back end to what is known of all. However often a
// peer tells of it, it counts as one.
func (g *Balancer) mergePeerLoad(from int, n peerMessage) {
	weight := math.Min(1, float64(g.activeTime-g.peerHeardAt[from])/float64(second))
	g.peersHeard.add(g.activeTime, second, weight)
	g.peersInFlight.add(g.activeTime, second, weight*n.inFlight)
	g.peersOnTime.add(g.activeTime, second, weight*n.onTime)
	g.peerHeardAt[from] = g.activeTime
}

// shareLoadView has notes with this gateway's view go to some others, drawn each time.
func (g *Balancer) shareLoadView(n int) {
	for range n {
		if peer := g.rand.IntN(g.settings.Gateways); g.settings.Peers && peer != g.settings.Self {
			g.outgoing[peer] = g.messageTo(peer)
		}
	}
}

// idle tells whether nothing is lost when a customer's record is dropped.
func (c *customer) idle(now Time) bool {
	const nothing = 0.01 // units: a fading sum never quite ends
	return c.localDemand.get(now, c.demandWindow) < nothing && c.peerUsage.get(now, c.demandWindow) < nothing &&
		c.inFlight == 0 && c.pendingAnnouncements == 0 && len(c.counterCalls) == 0 && c.grantFraction == 1 && c.announcedGrant == 1 &&
		c.bucket.level >= c.bucket.capacity && c.ceilingBucket.level >= c.ceilingBucket.capacity
}

// peerTotalsOf is what a gateway of the set told of a customer.
func (g *Balancer) peerTotalsOf(c *customer, from int) *peerTotals {
	if c.peerTotals == nil {
		c.peerTotals = make([]peerTotals, c.spread)
	}
	return &c.peerTotals[(from-c.first+g.settings.Gateways)%g.settings.Gateways]
}

// recordConnectionFault takes in that a connection to a backend could not be made or broke, and tells
// whether the backend is down. One reset tells of one connection; even of many the process
// may go on, and warm: that it has ended, and will be cold, is told by what can't connect.
func (g *Balancer) recordConnectionFault(b *backend, r Result) bool {
	b.connectionFaults.add(g.now, connectionFaultDecay, 1)
	if r == Reset && b.connectionFaults.sum < maxRecentResets {
		return false
	}
	b.unresponsive = r == Reset && (b.unresponsive || !b.unhealthy)
	if !b.unhealthy || g.now >= b.nextProbe {
		b.unhealthy = true
		g.eject(b, "connections break")
	}
	return true
}

// warmFraction is the part of its capacity that a backend has at least.
func (g *Balancer) warmFraction(b *backend) float64 {
	if b.StartedAt == 0 || g.settings.SlowStartDuration == 0 {
		return 1
	}
	age := math.Max(0, float64(g.now-b.StartedAt)/float64(g.settings.SlowStartDuration))
	return math.Min(1, g.settings.SlowStartMinFraction+(1-g.settings.SlowStartMinFraction)*age)
}

// currentLatencyRatio is how slow the backend is, faded towards the usual.
func (b *backend) currentLatencyRatio(now Time) float64 {
	if b.latencyRatio == 0 {
		return 1
	}
	return 1 + (b.latencyRatio-1)*math.Exp2(-float64(now-b.latencyRatioAt)/float64(maxProbeBackoff))
}

// reportFault adds a word of trouble, to be told with the next notes.
func (g *Balancer) reportFault(b *backend, about int) {
	b.faultReports[about].add(g.now, faultReportDecay, 1)
	g.pendingFaults = append(g.pendingFaults[max(0, len(g.pendingFaults)-maxFaultReports+1):], pendingFault{faultReport{b.Backend, byte(about)}, faultReportRepeats})
}

// newSlowStartBucket is what a cold backend may be sent at first: less than one, drawn, so that
// of many gateways neither all nor none send at once.
func (g *Balancer) newSlowStartBucket() tokenBucket {
	return tokenBucket{level: g.rand.Float64(), at: g.now}
}
