// The decisions. The interface (settings, events, actions) is in api.go.
//
// A request takes its units from its customer's own bank, this gateway's slice of the quota;
// soft plans may then draw on bank 0, fed by what full banks spill; else it is refused at once
// (Berger and Whitt's multi-class throttle, docs/design.md). Top to bottom: banks and bank 0; slices
// and notes; ceiling; backend choice and health; cold and drain guards; attempts and answers.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

const second = Time(1e6)

// The timers: notes and all that goes with time; a home has not answered.
const (
	noteToken = iota
	askToken
)

// The tuned values; docs/design.md has the longer reasons and what happens at other values.
const (
	useWindow  = 0.5         // the demand window, as a part of the time in which a burst refills
	mailShare  = 0.5         // the part of a receiver's message limit that notes may fill
	fewPeers   = 8           // up to so many gateways tell one another all; a larger set tells its home
	grantStep  = 1.25        // by what factor a grant must move to be told to the whole set
	grantLeast = 0.01        // the least grant: no customer is shut out for good
	grantError = 0.1         // by what part a member's grant may be off before its home answers
	reserve    = 0.75        // the part of the burst that a home keeps for chance in what its set sends
	askRate    = 0.7         // the part of the notes a receiver takes in that asks for one customer may be
	homePart   = 0.5         // the part of a wide set's ceiling that its home holds
	askWait    = 0.1         // how long a home's answer is waited for, in shortest aims
	sliceMost  = 2.0         // how many requests' worth a slice under a grant saves up
	hearIn     = 2           // counter periods until what another takes now is heard
	flight     = second / 14 // and until a note sent at once is, with room for chance
	leadUp     = second / 50 // what is added to that when notes prove later, or lost,
	leadDown   = 500         // and goes again with each that is in time;
	leadMost   = second / 2  // at most so much
	calm       = 4           // note periods for which a store far from empty need not be told of
	urgentMail = 0.8         // the part of a receiver's message limit for notes sent at once,
	urgentMost = 8.0         // and how many of them may follow one another to one peer
	settleIn   = 4           // note periods until a new gateway has been told of all banks
	stillTicks = 8           // a timer late by so many ticks: this gateway stood still
	notePeriod = second / 30 // the least time between notes
	repeats    = 2           // how often a change is told: once more than needed, against loss
	countLife  = 60 * second // how long a name on the counter lives, the longest allowed
	sweepTime  = second      // how often idle banks are looked for
	aimShare   = 0.35        // the mean time of answers, in aims, at which the back end is full: times spread
	leastOut   = 3.0         // what a backend may always hold: a slow spell can't shut the gate for good
	leastLate  = 1.0         // and what, of that, when every answer is late: what is overdriven must drain
	enough     = 8.0         // answers a second that tell as much of the back end as all peers do
	viewPeers  = 6           // to how many others, drawn each sweep, a gateway's view is told in any case
	leastOwn   = 2.0         // what one gateway may hold of the room that it shares with those it hears of,
	ownMost    = 2.0         // and beyond that in parts of it: many may wake, or be asked more, at one moment
	lendShare  = 0.8         // the part of the room up to which bank 0 lends
	cheapShare = 0.5         // the part of the room open to all; the rest opens by worth for work
	worthMost  = 1.5         // the most that worth for work counts, in means of it
	againShare = 0.2         // further attempts that a first send allows
	againMost  = 10.0        // and the most saved up of them
	unrunPrice = 0.1         // the price of one after an attempt that never ran: it has cost next to nothing
	patience   = 10.0        // mean answer times after which a request goes elsewhere while there is time
	leastWait  = 0.05        // and in any case that part of the aim: a moment's pause is no fault
	wordTime   = 8 * second  // in which a word of trouble for one class or plan fades
	wordNotes  = 8           // notes with which each is told
	sickShare  = 0.25        // the part of answers that are errors from which a backend is left out
	breakTime  = second      // in which a broken connection is forgotten
	breaksMost = 2.5         // so many of late, and a backend is left out for it
	silentAims = 1.0         // the time without an answer, in shortest aims, after which a backend is down
	trialTime  = second / 2  // the first and the longest wait before a backend left out is tried again;
	healTime   = 4 * second  // a sign of slowness fades by half in the latter
	learn      = 0.02        // the weight of a sample in what is learnt of the whole fleet,
	learnOne   = 0.1         // and of one backend
	zoneWeight = 5.0         // turns the price of crossing zones into load
	paceTime   = 4 * second  // over which the pace of sends is taken
	keptFor    = 10 * second // after which a backend may have closed its idle connections
	freshPrice = 1.0         // a handshake as load, where no backend gets more than one request in that time
	fewTry     = 6           // so many may try a backend at once that an old list names, or that turned
	tryApart   = second / 30 // one away; of more gateways each adds so much to the time over which they begin
	surely     = 2.0         // an answer within so many mean times shows that it is warm
)

// New makes a gateway that knows nothing but its settings.
func New(set Settings, seed uint64, do Actions) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	g := newGateway(set, seed, do)
	g.again, g.period = againMost, notePeriod
	if set.MaxPeerMessagesPerSecond > 0 {
		g.period = max(g.period, g.mailTime(min(set.Gateways-1, fewPeers)))
	}
	return g, nil
}

// mailTime is the time in which a gateway can take in notes from so many others.
func (g *Balancer) mailTime(senders int) Time {
	return Time(float64(senders) / (mailShare * math.Max(g.set.MaxPeerMessagesPerSecond, 1)) * float64(second))
}

// begin brings the gateway to an event's time.
func (g *Balancer) begin(now Time) {
	g.now = max(g.now, now)
	if g.born != 0 {
		if late := now - g.timerAt; late > stillTicks*g.set.Tick {
			// This gateway stood still: how long what was out took tells nothing.
			g.still += late
			g.timerAt, g.woke = now, now
			for class := range g.due {
				for _, a := range g.due[class] {
					a.blind = true
				}
				g.lateAfter(class, -1)
			}
		}
		g.awake = g.now - g.still
		return
	}
	g.born, g.swept, g.lend.at, g.awake = max(1, now), now, now, now
	if g.lived == 0 {
		g.lived = g.born
	}
	g.rouse()
	if g.set.PollEndpoints {
		g.follow()
	}
	g.greet()
}

// soft tells whether use beyond the quota earns more than it costs.
func (p *Plan) soft() bool { return p.BeyondEarns > p.BeyondCosts }

// customer finds or makes the record of a customer, refilled up to now. A new
// one is full: peers tell of those that are not (level has what holds until they can
// have been heard, so that a restart hands out no second burst). Its part of the ceiling
// counts from this gateway's start, with half the slack: a former life may have the rest.
func (g *Balancer) customer(id uint64, plan, first, spread int) *customer {
	c := g.customers[id]
	if c == nil {
		p := &g.set.Plans[plan]
		spread = min(max(spread, 1), g.set.Gateways)
		even := float64(spread)
		first = (first%g.set.Gateways + g.set.Gateways) % g.set.Gateways
		c = &customer{id: id, plan: plan, first: first, spread: spread, window: second,
			store: bank{p.Burst, p.Rate, p.Burst, g.now}, grant: 1, granted: 1,
			ceiling: bank{level: p.CeilingSlack / even / 2, at: g.lived}}
		c.ceiling.rate, c.ceiling.cap = g.ceilingPart(c)
		if p.Rate > 0 {
			c.window = max(Time(useWindow*p.Burst/p.Rate*float64(second)), g.mailTime(spread))
		}
		if !g.pooled {
			c.store.level /= even
		}
		c.ceiling.refill(g.now)
		c.ceiling.level -= g.unsure(c, c.ceiling.rate)
		c.store.level = math.Max(0, c.store.level-g.unsure(c, c.store.rate))
		c.leased = leaseShare * p.Burst // what a state that does not name it allows for
		c.leasing = c.leased
		g.idleSpill[plan] = math.Max(0, g.idleSpill[plan]-p.Rate/even)
		g.customers[id] = c
		g.order = append(g.order, c)
	}
	g.refill(c)
	return c
}

// refill fills a customer's banks; what its full bank spills here feeds bank 0.
func (g *Balancer) refill(c *customer) {
	part := g.part(c)
	if !g.pooled {
		p := &g.set.Plans[c.plan]
		// A slice that holds no request would never let one pass: it saves up for one.
		c.store.rate, c.store.cap = part*p.Rate, math.Max(part*p.Burst, math.Min(c.most, p.Burst))
		part = 1
	}
	c.ceiling.refill(g.now)
	g.lend.level = math.Min(g.lend.cap, g.lend.level+part*c.store.refill(g.now))
}

// sweep lets full banks spill and drops the idle ones, whose spill goes on
// feeding bank 0 at its rate.
func (g *Balancer) sweep() {
	g.swept = g.now
	g.showView(viewPeers) // it is heard though this gateway sends nothing
	kept := g.order[:0]
	for _, c := range g.order {
		g.refill(c)
		g.settleGrant(c)
		if c.idle(g.now) {
			g.idleSpill[c.plan] += g.set.Plans[c.plan].Rate / float64(c.spread)
			delete(g.customers, c.id)
		} else {
			kept = append(kept, c)
		}
	}
	clear(g.order[len(kept):])
	g.order = kept
	g.lend.refill(g.now)
	g.lend.rate = total(g.idleSpill)
}

// part is this gateway's slice of a customer's quota: its part of recent use.
// Gateways not heard count as idle.
func (g *Balancer) part(c *customer) float64 {
	own := c.use.get(g.now, c.window)
	switch {
	case c.spread == 1:
		return 1
	case g.pooled && own > 0 && !g.member(c):
		return own / (own + c.others.get(g.now, c.window))
	case !g.pooled && c.part > 0:
		return c.part
	}
	return 1 / float64(c.spread)
}

// level is what this gateway's bank holds: its slice of the customer's whole store as
// of the last note, less what it has taken since, or, if more, what the others will not
// ask before they are heard again: a slice of a small burst may be less than a request.
// A gateway that has just started holds no more than an even slice.
func (g *Balancer) level(c *customer) float64 {
	switch {
	case g.limited(c):
		return g.rights.Available(g.now, g.budget(c))
	case g.member(c) && c.grant < 1:
		return c.slice
	case !g.pooled || g.wide(c):
		return c.store.level
	}
	if g.lived == g.born && !g.settled() {
		return math.Min(c.store.level, c.store.cap/float64(c.spread)-c.taken)
	}
	untold := c.taken - c.told
	soon := c.others.get(g.now, c.window) * float64(g.hears(c)) / float64(c.window)
	return math.Max(g.part(c)*(c.store.level+untold)-untold, c.store.level-soon)
}

// settled tells whether peers have had the time to tell of all banks that are not full.
func (g *Balancer) settled() bool { return g.now-g.born >= min(second/2, settleIn*g.period) }

// hears is how long it takes until what the others take of a customer is heard here: where
// all tell at once, the way of a note and its wait for room, which is taken to be as here.
func (g *Balancer) hears(c *customer) Time {
	switch {
	case !g.set.Peers:
		return hearIn * g.period
	case g.tight(c):
		return flight + g.lead + Time(g.wait.v)
	}
	return calm * g.period
}

// learnLead has more left to the others where they prove to have taken what this gateway
// had given away as well: notes are lost, or later than thought.
func (g *Balancer) learnLead(c *customer, taken float64) {
	switch {
	case taken == 0 || c.store.level >= taken+2*c.lastAsk || !g.set.Peers:
	case c.store.level < taken:
		g.lead = min(g.lead+leadUp, leadMost)
	default:
		g.lead = max(0, g.lead-leadDown)
	}
}

// tight tells whether so little of a customer's store is left that it may be empty before
// all have heard: its set then tells at once what it takes. All judge by the same store.
func (g *Balancer) tight(c *customer) bool {
	all := c.use.get(g.now, c.window) + c.others.get(g.now, c.window)
	return c.store.level < 2*c.lastAsk+all*float64(2*calm*g.period)/float64(c.window)
}

// tellNow tells a customer's set at once, if there is room for notes to all of it; else
// the next notes will.
func (g *Balancer) tellNow(c *customer) {
	if !g.set.Peers || c.spread == 1 || g.wide(c) || !g.tight(c) {
		return
	}
	set := make([]int, 0, fewPeers)
	for i := range c.spread {
		if peer := (c.first + i) % g.set.Gateways; peer != g.set.Self {
			set = append(set, peer)
		}
	}
	if slices.ContainsFunc(set, func(peer int) bool { return g.room(peer).level < 1 }) || !g.note(c) {
		c.waits = g.now
		return
	}
	g.wait.add(0, learnOne)
	c.told, c.askedTold, c.tellAt, c.tell = c.taken, c.asked, g.now+g.period, repeats-1
	for _, peer := range set {
		g.sendNote(peer)
	}
}

// room is how many notes a peer may be sent at once: its limit is shared by those that
// this gateway hears of, who are taken to be as many as that peer hears of.
func (g *Balancer) room(peer int) *bank {
	b := &g.rooms[peer]
	senders := math.Min(float64(g.set.Gateways-1), math.Max(1, g.peers.get(g.awake, second)))
	b.rate, b.cap = urgentMail*math.Max(g.set.MaxPeerMessagesPerSecond, 1)/senders, urgentMost
	b.refill(g.now)
	return b
}

// inside tells whether the customer's own bank and its part of the open limit have room.
func (g *Balancer) inside(c *customer, units float64) bool {
	return g.mayOpen(c) && (g.set.Plans[c.plan].Rate == 0 || g.level(c) >= units)
}

// mayOpen tells whether the open limit has room.
func (g *Balancer) mayOpen(c *customer) bool {
	limit := g.set.Plans[c.plan].OpenLimit
	return limit == 0 || float64(c.open) < math.Max(1, math.Round(g.part(c)*float64(limit)))
}

func (g *Balancer) take(c *customer, units float64) {
	c.store.level -= units
	c.slice = math.Max(0, c.slice-units)
	c.taken += units
	g.mark(c)
	g.tellNow(c)
}

// consults tells whether a wide set asks its home before it decides: its quota is so small
// that no slice holds a request, and the home can take in the asks.
func (g *Balancer) consults(c *customer) bool {
	return g.set.Plans[c.plan].Rate*float64(g.mailTime(1)) < askRate*float64(second)
}

// ceilingPart is this gateway's safe part of a customer's ceiling: an even one, so that no
// message has to arrive for the ceiling to hold. Of many even parts none holds a request:
// half of a wide set's is its home's, which gives of it to whoever asks. What it has given
// is used or lost in the time of an answer, in which its own part may fill again.
func (g *Balancer) ceilingPart(c *customer) (rate, burst float64) {
	p, part := &g.set.Plans[c.plan], 1/float64(c.spread)
	if !g.wide(c) {
		return part * p.CeilingRate, part * p.CeilingBurst
	}
	if g.member(c) {
		part = (1 - homePart) / float64(c.spread-1)
		return part * p.CeilingRate, part * p.CeilingBurst
	}
	rate = homePart * p.CeilingRate
	return rate, math.Max(0, homePart*p.CeilingBurst-rate*float64(g.askTime())/float64(second))
}

// askTime is how long a home's answer is waited for.
func (g *Balancer) askTime() Time { return Time(askWait * float64(g.shortAim)) }

// under tells whether this gateway's part of the customer's ceiling holds the units.
func (g *Balancer) under(c *customer, units float64) bool {
	return g.set.Plans[c.plan].CeilingRate == 0 || c.ceiling.level >= units
}

// consult asks the home for a request's units, and for those of the ceiling where this
// gateway's part lacks them, and keeps the request till it answers.
func (g *Balancer) consult(r *request) {
	c := r.c
	c.asks++
	r.paid = !g.under(c, r.Units)
	r.ask, r.by = max(1, c.asks), g.now+min(g.askTime(), r.Timeout/2)
	e := g.entry(c)
	e.want, e.ask, e.ceiling = byte(math.Ceil(2*r.Units)), r.ask, r.paid
	c.askedTold = c.asked
	g.do.SendToPeer(g.home(c), e.put(g.noteHead()))
	g.do.SetTimer(r.by, askToken)
	g.requests[r.ID] = r
	g.waiting = append(g.waiting, r)
}

// answered decides on what waits for a home's answer: this one, or all overdue ones,
// which the slice under the home's last grant then decides.
func (g *Balancer) answered(c *customer, a grant) {
	kept := g.waiting[:0]
	for _, r := range g.waiting {
		switch due := r.c == c && r.ask == a.ask; {
		case g.requests[r.ID] != r: // the client has left
			g.unhold(r)
		case due || g.now >= r.by:
			delete(g.requests, r.ID)
			r.borrows = false
			g.unhold(r)
			r.paid = r.paid && due && a.yes
			if !due {
				r.c.slice = math.Min(r.c.slice+r.c.grant*r.Units, sliceMost*r.Units)
			} else if r.denied = !a.yes; a.yes {
				r.c.slice += r.Units // to be taken at once
			}
			g.admit(r, due && a.yes || !due && g.inside(r.c, r.Units))
		default:
			kept = append(kept, r)
		}
	}
	g.waiting = kept
}

// ask counts what a customer asks for. Under a grant each ask brings its part of the units
// to the slice: a demand-following rate for a gateway that sees a customer now and then.
func (g *Balancer) ask(c *customer, units float64) {
	c.use.add(g.now, c.window, units)
	c.metered.add(g.now, max(1, g.set.MeterPeriod), units)
	c.asked, c.lastAsk, c.most = c.asked+units, units, math.Max(c.most, units)
	if !g.consults(c) {
		c.slice = math.Min(c.slice+c.grant*units, sliceMost*units)
	}
	g.mark(c)
}

// settleGrant has a home set the part of what is asked that it grants: the rate and what
// the store holds beyond the reserve, spent over the demand window, against all that was
// asked in it. When that has moved the whole set is told, where it does not ask anyway.
func (g *Balancer) settleGrant(c *customer) {
	rate := g.set.Plans[c.plan].Rate
	if !g.wide(c) || g.member(c) || rate == 0 {
		return
	}
	all := c.use.get(g.now, c.window) + c.others.get(g.now, c.window)
	may := rate*float64(c.window)/float64(second) + c.store.level - reserve*c.store.cap
	f := math.Min(1, math.Max(grantLeast, may/math.Max(all, 1e-9)))
	moved := f > c.granted*grantStep || f < c.granted/grantStep || f == 1 && c.granted < 1
	if c.grant = f; !moved || g.now < c.grantAt || g.consults(c) {
		return
	}
	c.granted, c.grantAt = f, g.now+c.window/4
	for i := range c.spread {
		if peer := (c.first + i) % g.set.Gateways; peer != g.set.Self {
			g.tellGrant(peer, c)
		}
	}
}

// meter sets the slice by the use through all gateways in the last period told.
func (g *Balancer) meter(c *customer, percent int) {
	rate := g.set.Plans[c.plan].Rate
	if g.set.MeterPeriod == 0 || percent == 0 || rate == 0 {
		return
	}
	all := float64(percent-1) / 100 * rate
	own := c.metered.get(g.now, g.set.MeterPeriod) * float64(second) / float64(g.set.MeterPeriod)
	c.part = own / math.Max(all, math.Max(own, 1e-9))
}

// talk tells peers, or else the counter, of every customer whose use changed,
// those that took most of their burst first.
func (g *Balancer) talk() {
	slices.SortStableFunc(g.telling, func(a, b *customer) int {
		return cmp.Compare((b.taken-b.told)*a.store.cap, (a.taken-a.told)*b.store.cap)
	})
	kept := g.telling[:0]
	for _, c := range g.telling {
		g.refill(c)
		g.settleGrant(c)
		switch {
		case g.now < c.tellAt && (g.member(c) && c.grant < 1 || g.set.Peers && !g.wide(c) && !g.tight(c)):
		case !g.set.Peers:
			if c.taken > c.told {
				g.do.AddToCounter(c.id, c.taken-c.told, countLife)
				c.calls = append(c.calls, c.taken-c.told)
			}
			c.told, c.tell = c.taken, 0
		case g.note(c):
			c.told, c.askedTold, c.tellAt = c.taken, c.asked, g.now+calm*g.period
			if c.tell--; g.wide(c) {
				c.tell, c.tellAt = 0, g.now+g.mailTime(c.spread)
			}
			if c.waits != 0 {
				g.wait.add(float64(g.now-c.waits), learnOne)
				c.waits = 0
			}
		}
		if c.tell > 0 {
			kept = append(kept, c)
		}
	}
	g.telling = kept
	g.flush()
}

// ReceivePeerMessage takes in another gateway's note. One that is malformed is passed over.
func (g *Balancer) ReceivePeerMessage(now Time, from int, note []byte) {
	g.begin(now)
	n, ok := readNote(note)
	if !ok || from < 0 || from >= g.set.Gateways || from == g.set.Self {
		return
	}
	g.pool(from, n)
	if g.boots[from] != n.boot {
		// A gateway that has just started knows of no bank: tell it of those not full.
		g.boots[from] = n.boot
		for _, c := range g.order {
			if g.refill(c); c.store.level < c.store.cap && !g.wide(c) && g.in(c, from) {
				g.mark(c)
				c.tellAt = 0
			}
		}
	}
	for _, e := range n.entries {
		if e.plan < len(g.set.Plans) && e.spread > 0 && e.spread <= g.set.Gateways {
			g.told(from, n.boot, e)
		}
	}
	for _, w := range n.words {
		if b := g.byID[w.backend]; b != nil && int(w.about) < len(b.words) {
			b.words[w.about].add(now, wordTime, 1)
		}
	}
	for _, r := range n.grants {
		if c := g.customers[r.id]; c != nil && g.member(c) {
			if c.grant == 1 && r.part < 1 {
				c.slice = g.rand.Float64() * c.lastAsk // so that not all are short or full at once
			}
			if c.grant = r.part; r.ask > 0 {
				g.answered(c, r)
			}
		}
	}
}

func (g *Balancer) told(from int, boot uint32, e entry) {
	c := g.customer(e.id, e.plan, e.first, e.spread)
	if !g.in(c, from) || g.member(c) {
		return
	}
	h, before := g.heardOf(c, from), c.store.level
	defer func() { g.spend(c, math.Max(0, before-c.store.level)) }()
	taken, asked := e.taken-h.taken, e.asked-h.asked
	switch {
	case !h.known || h.boot != boot:
		// No earlier figure to take off: what the peer thinks is left bounds it, and what
		// it took since it last told anybody is not yet known here.
		left, fresh := e.left*c.store.cap-(c.taken-c.told), c.store.level-units(min(e.taken, e.fresh))
		switch {
		case c.kept: // of a former life, less a lease: who has lived all along knows better
			c.kept, c.store.level = false, math.Max(left, c.store.level)
			left = math.Max(left, fresh)
		case h.known || g.wide(c) && e.left == 1: // it has started anew: what it holds to be left tells less
			left = fresh
		default:
			left = math.Min(left, fresh)
		}
		c.store.level = math.Max(0, math.Min(c.store.level, left))
		c.others.add(g.now, c.window, units(e.fresh))
	case asked > math.MaxUint16/2 || taken > math.MaxUint16/2 && e.want == 0:
		return // an older note that came late
	default:
		if taken > math.MaxUint16/2 {
			taken, e.taken = 0, h.taken // it did not take what it was granted
		}
		g.learnLead(c, units(taken))
		c.store.level = math.Max(0, c.store.level-units(taken))
		c.others.add(g.now, c.window, units(asked))
	}
	*h = heard{known: true, boot: boot, taken: e.taken, asked: e.asked}
	g.settleGrant(c)
	if a := (grant{id: c.id, part: c.grant, ask: e.ask}); e.ask > 0 {
		want := float64(e.want) / 2
		if a.yes = c.store.level >= want && (!e.ceiling || g.under(c, want)); a.yes {
			if c.store.level -= want; e.ceiling {
				c.ceiling.level -= want
			}
			h.taken += counted(want)
		}
		g.do.SendToPeer(from, a.put(g.noteHead()))
	} else if g.wide(c) && math.Abs(e.left-c.grant) > grantError*c.grant {
		g.tellGrant(from, c)
	}
}

// ReceiveCounterTotal takes in the total of a customer's use through all gateways, where there are no
// notes. What a failed call added all the same counts as another's: towards refusing.
func (g *Balancer) ReceiveCounterTotal(now Time, name uint64, r Result, total float64) {
	g.begin(now)
	c := g.customers[name]
	if c == nil || len(c.calls) == 0 {
		return
	}
	own := c.calls[0]
	if c.calls = c.calls[1:]; r != OK {
		return
	}
	g.refill(c)
	more := math.Max(0, total-c.total-own)
	c.total = total
	c.store.level = math.Max(0, c.store.level-more)
	c.others.add(now, c.window, more)
	g.spend(c, more)
}

func (b *backend) slowBy(now Time, x float64) {
	b.slow = b.slowness(now) + learnOne*(math.Min(x, 20)-b.slowness(now))
	b.slowAt = now
}

// sick tells whether a backend is left out. Probes, if allowed, are the trial of one that is
// down; else, and after errors, one request at a time is.
func (g *Balancer) sick(b *backend) bool {
	if b.down && g.set.Probes {
		return true
	}
	return (b.down || b.errs >= sickShare) && (g.now < b.trialAt || b.out > 0)
}

// leaveOut leaves a backend out, each time in a row for longer.
func (g *Balancer) leaveOut(b *backend, why string) {
	if g.now-b.left > 2*healTime {
		b.wait = 0
	}
	b.wait = min(max(trialTime, 2*b.wait), healTime)
	b.left, b.trialAt = g.now, g.now+b.wait
	g.do.Log(fmt.Sprintf("backend %d out: %s", b.Backend, why))
}

// up takes a backend in again. Where none could be made its process may have started
// anew: it is held for cold, told or not. One that was silent or only reset runs warm.
func (g *Balancer) up(b *backend) {
	if !b.down {
		return
	}
	b.down, b.slow, b.quiet = false, 0, g.awake
	if !b.silent {
		b.StartedAt = max(b.StartedAt, g.now)
		b.cold = g.coldBank()
	}
	g.do.Log(fmt.Sprintf("backend %d back", b.Backend))
}

// listen leaves a backend out that answers nothing: hung, or cut off with no connection
// broken. Only attempts past their own aim speak against it, one alone, perhaps lost on
// the way, with half the weight. A very slow one comes back by its own late answers.
func (g *Balancer) listen(b *backend) {
	owed := float64(g.awake-b.quiet) * g.share(b) * math.Min(1, float64(b.overdue)/2)
	if !b.down && owed > silentAims*float64(g.shortAim) {
		b.down, b.silent = true, true
		g.leaveOut(b, "silent")
	}
}

// judge learns from how an attempt ended.
func (g *Balancer) judge(a *attempt, class int, r Result, took float64) {
	b, bad := a.b, 0.0
	if r == OK {
		g.up(b)
		b.turned = 0
		usual := math.Max(g.base[class].v, aimShare*float64(g.set.Classes[class].LatencyObjective))
		b.unsure = b.unsure && took > surely*usual
	}
	switch r {
	case OK, TimedOut:
		share := g.share(b)
		if a.blind {
			return
		}
		if r == OK && share == 1 {
			g.mean.add(took, learn)
			g.base[class].add(took, learn)
		}
		if g.base[class].v > 0 {
			b.slowBy(g.now, took*share/g.base[class].v)
		}
	case Failed:
		bad = 1
	case ConnectFailed, Reset:
		b.unsure = true // its process may have ended, and start anew before anybody tells of that
		if g.broke(b, r) {
			return
		}
		bad = 1
	default:
		return
	}
	b.errs += learnOne * (bad - b.errs)
	if bad > 0 && b.errs >= sickShare && g.now >= b.trialAt {
		g.leaveOut(b, "errors")
	}
}

// ReceiveProbeResult takes in how a probe ended.
func (g *Balancer) ReceiveProbeResult(now Time, id uint32, r Result, load []float32) {
	g.begin(now)
	b := g.byID[id]
	switch {
	case b == nil:
	case r == OK:
		g.loaded(b, load)
		g.up(b)
	case b.down:
		b.silent = b.silent && r != ConnectFailed
		b.wait = min(2*b.wait, healTime)
		b.trialAt = now + b.wait
	}
}

// choose picks the least loaded usable backend, sound ones not tried yet first.
// A keyed request that may have run stays within its attempt's group.
func (g *Balancer) choose(r *request, within *attempt) *backend {
	for _, anyway := range []bool{false, true} {
		var best *backend
		bestCost, ties := math.Inf(1), 0.0
		for _, b := range g.backends {
			if b.State != Ready || !b.listed || !g.warmEnough(b) ||
				b.unsure && (b.out > 0 || g.now < b.opens) || g.now < b.backOff ||
				within != nil && !g.set.Classes[r.Class].sameGroup(within.b, b) ||
				!anyway && (g.sick(b) || r.tried(b)) {
				continue
			}
			cost := g.cost(b) * (1 + g.thin()*(b.words[r.Class].get(g.now, wordTime)+
				b.words[len(g.set.Classes)+r.Plan].get(g.now, wordTime)))
			if cost > bestCost {
				continue
			} else if cost < bestCost {
				ties = 0
			}
			size := g.size(b)
			if ties += size; g.rand.Float64()*ties < size {
				best, bestCost = b, cost
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// size is what a backend can do, in means of all, as far as the list tells.
func (g *Balancer) size(b *backend) float64 {
	if g.set.ComparableWeights && b.Weight > 0 && g.meanSize > 0 {
		return b.Weight / g.meanSize
	}
	return 1
}

// weigh takes the mean of the sizes that the list tells.
func (g *Balancer) weigh() {
	sum, n := 0.0, 0.0
	for _, b := range g.backends {
		if b.State == Ready && b.listed && b.Weight > 0 {
			sum, n = sum+b.Weight, n+1
		}
	}
	g.meanSize = sum / math.Max(n, 1)
}

// cost is how long a request may have to wait at a backend, compared with others. An idle one is
// no better for being larger: of many gateways each sees next to nothing out anywhere, and all would
// send to the largest alone. Idle ones alike in all else are chosen in proportion to their size.
func (g *Balancer) cost(b *backend) float64 {
	held := float64(b.out)
	if g.now-b.queueAt < second {
		held = math.Max(held, held/2+b.queue)
	}
	cost := (held/g.size(b) + 1) * b.slowness(g.now)
	if b.Zone != g.set.Zone {
		cost *= 1 + g.set.CrossZonePrice*zoneWeight
	}
	if g.set.Gateways > fewTry && (b.sentAt == 0 || g.now-b.sentAt > keptFor) && g.share(b) == 1 {
		// It needs a handshake, which costs it work. In a large fleet each gateway sends a
		// backend a request now and then only: nearly every one would pay for a handshake.
		each := g.pace.get(g.now, paceTime) * float64(keptFor) / float64(paceTime)
		cost *= 1 + freshPrice/(1+each)
	}
	return cost
}

// UpdateEndpoints takes in discovery's news of the backends. What it says is draining or
// gone gets nothing more from now on.
func (g *Balancer) UpdateEndpoints(now Time, news ListKind, list []Endpoint) {
	g.begin(now)
	if news == Unavailable {
		g.follows = false
		return
	}
	g.follows = g.follows || news != CompleteCached && news != StaleBootstrap
	for _, b := range g.backends {
		b.listed = b.listed && news == Delta
	}
	for _, m := range list {
		b := g.backend(m)
		if m.StartedAt > b.StartedAt {
			b.slow, b.errs, b.cold = 0, 0, g.coldBank()
		}
		m.StartedAt = max(m.StartedAt, b.StartedAt)
		b.Endpoint, b.listed = m, m.State != Removed
		if b.unsure = news == StaleBootstrap; b.unsure {
			apart := float64(tryApart * Time(max(0, g.set.Gateways-fewTry)))
			b.opens = g.now + Time(g.rand.Float64()*apart)
		}
	}
	g.prune()
	g.weigh()
}

// warmEnough tells whether a backend may be sent one more. A cold one is sent its share of
// what this gateway sends a warm one, saved up for half the span over which the rule counts:
// through all gateways no more of its capacity than the warm ones get of theirs.
func (g *Balancer) warmEnough(b *backend) bool {
	share := g.share(b)
	if share == 1 {
		return true
	}
	span := float64(g.set.SlowStartOverloadWindow) / float64(second)
	each := g.pace.get(g.now, paceTime) * float64(second) / float64(paceTime)
	least := 1 / math.Max(span, 1) / float64(g.set.Gateways) // one send in a span through all
	b.cold.rate = math.Max(each, least) * share
	b.cold.cap = math.Max(1, b.cold.rate*span/2)
	b.cold.refill(g.now)
	return b.cold.level >= 1
}

// may tells whether a request may be sent again, within which attempt's group (nil: anywhere),
// and whether it may be refused. A keyed window is closed a little early.
func (c *Class) may(out []*attempt, copies bool, now, early Time) (again bool, in *attempt, refuse bool) {
	again, refuse = true, true
	for _, a := range out {
		if a.pending && !copies {
			again = false
		}
		if !a.mayRun || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NotIdempotent {
			return false, nil, false
		}
		if in == nil {
			in = a
			again = again && now < a.at+c.DeduplicationWindow-early
			refuse = c.DeduplicationScope == ScopeAll
		}
	}
	return again, in, refuse
}

// sweepOverdue takes note of attempts that are past their aim, and silent backends.
func (g *Balancer) sweepOverdue() {
	for class := range g.due {
		g.lateAfter(class, g.set.Classes[class].LatencyObjective)
	}
	g.alive, g.warm = 0, 0
	for _, b := range g.backends {
		g.listen(b)
		if b.State == Ready && b.listed && !g.sick(b) {
			g.alive++
			if g.share(b) == 1 {
				g.warm++
			}
		}
	}
}

// held is how many attempts the back end holds for this gateway. Those past their aim count as
// far as answers come late everywhere: lost or stuck at a few backends they would shut the gate
// on what can be served. Those at one that is down don't count, at a slow one they count less.
func (g *Balancer) held() float64 {
	held := 0.0
	for _, b := range g.backends {
		if !b.down && b.out > 0 {
			held += (float64(b.out) - float64(b.overdue)*(1-g.late.v)) / math.Max(1, b.slowness(g.now)/2)
		}
	}
	return held
}

// view is what this gateway holds and what comes back in time a second, with that of n-1 others:
// alone it may be a few a second. The more it sees itself, the less their older figures count.
func (g *Balancer) view() (held, inTime, n float64) {
	return g.held() + g.thin()*g.peersHeld.get(g.awake, second),
		g.inTime.get(g.awake, second) + g.thin()*g.peersInTime.get(g.awake, second),
		1 + g.thin()*g.peers.get(g.awake, second)
}

// thin is how much others' word counts: the less, the more this gateway sees itself.
func (g *Balancer) thin() float64 { return enough / (enough + g.inTime.get(g.awake, second)) }

// full tells whether so large a part of the room at the back end is filled: as many attempts
// as come back within their aim in the time an answer may take.
func (g *Balancer) full(part float64) bool {
	g.sweepOverdue()
	// A loaded back end stretches all classes alike: the tightest sets the time.
	allowed := math.Inf(1)
	for class, base := range g.base {
		if base.v > 0 {
			allowed = math.Min(allowed, g.mean.v/base.v*float64(g.set.Classes[class].LatencyObjective))
		}
	}
	if math.IsInf(allowed, 1) {
		allowed = float64(g.shortAim)
	}
	held, inTime, n := g.view()
	least := (leastOut - (leastOut-leastLate)*g.late.v) * float64(g.alive) / float64(g.set.Gateways) * n
	room := math.Max(least, inTime*allowed/float64(second)*aimShare)
	return held >= room*part || g.held() >= leastOwn+ownMost*room/n*part
}

// Request decides on a client's try.
func (g *Balancer) Request(now Time, q Request) {
	g.begin(now)
	if q.Class < 0 || q.Class >= len(g.set.Classes) || q.Plan < 0 || q.Plan >= len(g.set.Plans) {
		g.do.Fail(q.ID)
		return
	}
	grace := &g.grace[q.Plan][q.Class]
	if g.now > g.woke {
		grace.add(float64(q.Timeout), learnOne)
	} else if grace.v-float64(q.Timeout)+g.base[q.Class].v > float64(g.set.Classes[q.Class].LatencyObjective) {
		g.refuse(q.ID, 0, ReasonTooLate) // it came while this gateway stood still: too late for any answer
		return
	}
	plan := &g.set.Plans[q.Plan]
	c := g.customer(q.Customer, q.Plan, q.First, q.Spread)
	g.ask(c, q.Units)
	r := &request{Request: q, until: now + q.Timeout, c: c}
	if g.full(g.open(&q, plan)) {
		g.refuse(q.ID, g.shortAim/2, ReasonOverload)
	} else if g.limited(c) {
		g.byRight(r)
	} else if g.member(c) && (g.consults(c) || !g.under(c, q.Units)) && 2*q.Units <= wantMost {
		g.consult(r)
	} else {
		g.admit(r, g.inside(c, q.Units))
	}
}

// admit sends a request on if its own bank holds its units, else if bank 0 lends them.
func (g *Balancer) admit(r *request, inside bool) {
	q, c, plan := &r.Request, r.c, &g.set.Plans[r.Plan]
	defer g.unused(r)
	if !inside {
		g.lend.refill(g.now)
		if !plan.soft() || g.lend.level < q.Units || g.full(lendShare) {
			g.refuse(q.ID, g.filledIn(r), g.whyEmpty(r))
			return
		}
	}
	if !r.paid && !g.under(c, q.Units) {
		g.refuse(q.ID, until(c.ceiling.level, c.ceiling.rate, q.Units), ReasonCeiling)
		return
	}
	b := g.choose(r, nil)
	if b == nil {
		g.refuse(q.ID, g.shortAim/2, ReasonNoBackend)
		return
	}
	if inside {
		g.take(c, q.Units)
		if g.limited(c) {
			g.rights.Consume(g.now, q.ID, g.budget(c), q.Units-r.lent-r.own)
			r.lent, r.own = 0, 0
		}
	} else {
		g.lend.level -= q.Units
	}
	if plan.CeilingRate > 0 && !r.paid {
		c.ceiling.level -= q.Units
	}
	g.spend(c, q.Units)
	g.again = math.Min(againMost, g.again+againShare)
	g.requests[q.ID] = r
	g.send(r, b)
}

// filledIn is how long it takes until a customer's own bank holds the units: where its
// set shares one store, that fills for all of them at once.
func (g *Balancer) filledIn(r *request) Time {
	c, units := r.c, r.Units
	if r.after > 0 {
		return r.after
	}
	rate := g.set.Plans[c.plan].Rate
	if g.limited(c) {
		rate = g.rights.RefillRate(g.now, g.budget(c))
	} else if !g.pooled || g.wide(c) {
		rate *= g.part(c)
	}
	return until(g.level(c), rate, units)
}

// open is the part of the room open to a request: more for more worth for work.
func (g *Balancer) open(q *Request, plan *Plan) float64 {
	base := g.base[q.Class].v
	if base == 0 {
		return 1
	}
	worth := g.set.Classes[q.Class].PriorityWeight * plan.Price * q.Units / base
	g.worth.add(worth, learn)
	return cheapShare + (1-cheapShare)*math.Min(worthMost, worth/math.Max(g.worth.v, 1e-12))
}

func (g *Balancer) send(r *request, b *backend) {
	a := &attempt{b: b, at: g.now, pending: true, mayRun: true}
	r.attempts = append(r.attempts, a)
	g.due[r.Class] = append(g.due[r.Class], a)
	if b.out == 0 {
		b.quiet = g.awake
	}
	b.out++
	b.sentAt = g.now
	r.c.open++
	if g.share(b) < 1 {
		b.cold.level--
	}
	class, base := &g.set.Classes[r.Class], Time(g.base[r.Class].v)
	until := g.now + max(Time(patience)*base, Time(leastWait*float64(class.LatencyObjective)))
	if class.Idempotency == NotIdempotent || g.again < 1 || len(r.attempts) == g.set.MaxAttempts || g.full(lendShare) ||
		base == 0 || until+base > r.attempts[0].at+class.LatencyObjective {
		until = 0
	}
	g.do.Send(r.ID, b.Backend, until)
}

// Outcome takes in how an attempt ended, and gives the final answer or starts a
// further attempt where one is owed.
func (g *Balancer) Outcome(now Time, o Outcome) {
	g.begin(now)
	r := g.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].pending {
		return
	}
	a, class := r.attempts[o.Attempt], &g.set.Classes[r.Class]
	a.pending = false
	a.mayRun = o.Result != Rejected && o.Result != ConnectFailed && o.Result != Superseded
	g.settle(r, a, &o)
	r.over = r.over || o.RequestDone
	if r.pending() {
		return
	}
	if r.over {
		delete(g.requests, o.ID)
		return
	}
	price := unrunPrice
	if a.mayRun {
		price = 1
	}
	again, within, refuse := class.may(r.attempts, g.set.Hedging, now, 4*g.set.Tick)
	if again && len(r.attempts) < g.set.MaxAttempts && g.again >= price && r.until-now > class.LatencyObjective/10 {
		if next := g.choose(r, within); next != nil {
			g.again -= price
			g.send(r, next)
			return
		}
	}
	delete(g.requests, o.ID)
	if refuse {
		g.refuse(o.ID, g.shortAim/2, ReasonAttemptLimit)
	} else {
		g.do.Fail(o.ID)
	}
}

// MayStillSend tells whether an attempt that was to be sent may be sent now: its host may have waited for a
// connection, and what drops repeats of a keyed request forgets it. It only looks: it may be asked amid Send.
func (g *Balancer) MayStillSend(now Time, id uint64, attempt int) bool {
	r := g.requests[id]
	if r == nil || attempt >= len(r.attempts) {
		return false
	}
	again, _, _ := g.set.Classes[r.Class].may(r.attempts[:attempt], g.set.Hedging, now, 4*g.set.Tick)
	return again
}

// turnedAway has nothing more sent to a backend for a while after it turned an attempt away. It
// holds nothing then and would look idle, and each gateway would send all that it has to it. The
// wait is drawn, and so long that many gateways together try it once in tryApart; it doubles while
// the backend goes on turning attempts away. No gateway has to hear of another for that.
func (g *Balancer) turnedAway(b *backend) {
	if g.now < b.backOff {
		return // sent before it was known
	}
	wait := float64(tryApart*Time(max(0, g.set.Gateways-fewTry))) * math.Exp2(float64(b.turned))
	b.turned++
	b.backOff = g.now + Time(math.Min(wait, float64(healTime))*(0.5+g.rand.Float64()/2))
}

// settle books an attempt's end on its backend and its customer.
func (g *Balancer) settle(r *request, a *attempt, o *Outcome) {
	b := a.b
	b.out--
	if a.late {
		b.overdue--
	}
	r.c.open--
	late := o.Duration > g.set.Classes[r.Class].LatencyObjective
	// One turned away is no answer: counted as one in time it would open the gate to more of its kind.
	if !a.blind && (o.Result == OK || o.Result == TimedOut && late) {
		g.late.add(step(late), learnOne)
		g.inTime.add(g.awake, second, step(!late))
	}
	if o.Result == OK || o.Result == Failed || o.Result == Rejected {
		b.quiet = g.awake
	}
	if o.Result == OK && g.share(b) == 1 {
		g.pace.add(g.now, paceTime, 1/float64(max(1, g.warm)))
	}
	g.loaded(b, o.Load)
	g.judge(a, r.Class, o.Result, float64(o.Duration))
	// Trouble for one plan or class, met once in many seconds at any one backend: all are told, and
	// prefer others till the word fades. It may hurt where one is avoided by all for too long.
	if o.Result == Rejected {
		g.turnedAway(b)
		g.word(b, len(g.set.Classes)+r.Plan)
	} else if o.Result == Failed || o.Result == TimedOut && !a.blind {
		g.word(b, r.Class)
	}
	g.meter(r.c, o.MeteredUse)
	if g.set.SettlesUnits && o.Result == OK && o.TrueUnits > 0 {
		g.refill(r.c)
		g.take(r.c, o.TrueUnits-r.Units)
		if g.limited(r.c) {
			g.rights.Consume(g.now, r.ID, g.budget(r.c), o.TrueUnits-r.Units)
		}
	}
}

// Timer takes in a timer that was set.
func (g *Balancer) Timer(now Time, token uint32) {
	g.begin(now)
	if token != noteToken {
		g.answered(nil, grant{})
		return
	}
	g.rouse()
	if now-g.swept >= sweepTime {
		g.sweep()
	}
	g.talk()
	for _, b := range g.backends {
		if g.set.Probes && b.down && b.listed && b.State == Ready && now >= b.trialAt {
			b.trialAt = now + healTime
			g.do.Probe(b.Backend)
		}
	}
	if g.set.PollEndpoints && !g.follows && now-g.asked >= g.set.PollInterval/4 {
		g.follow()
	}
}
