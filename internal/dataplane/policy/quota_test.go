package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// What a gateway takes of a store that is nearly empty is told at once to the whole set,
// what it takes of a full one with later notes.
func TestANearlyEmptyStoreIsToldOfAtOnce(t *testing.T) {
	a, b := pair(t)
	a.at, b.at = a.at+second, b.at+second
	a.serve(0, 1, 9, 1)
	if n := a.fake.count("tell"); n > 1 { // the greeting of its start
		t.Fatalf("a full store is told of at once: %d notes", n)
	}
	a.done = nil
	for range 18 {
		a.serve(0, 1, 9, 1)
	}
	if n := a.fake.count("tell 1"); n == 0 {
		t.Fatal("nothing is told of a store that is nearly empty")
	}
	carry(a, b)
	whole, _, known := b.RemainingQuota(9)
	own, _, _ := a.RemainingQuota(9)
	if !known || math.Abs(whole-own) > 0.5 {
		t.Errorf("the other holds %g (known %t), the one that took holds %g", whole, known, own)
	}
}

// Notes at once stay within the peer's limit: what finds no room goes with the next notes.
func TestNotesAtOnceStayWithinTheLimit(t *testing.T) {
	set := settings()
	set.Plans[0] = Plan{Rate: 400, Burst: 100, Price: 1}
	r := newRig(t, set)
	r.done = nil
	const seconds = 5
	for r.at = start + 2*second; r.at < start+(2+seconds)*second; r.at += second / 500 {
		r.serve(0, 0, 9, 1)
		if r.at%(second/10) == 0 {
			r.Timer(r.at, 0)
		}
	}
	most := int(urgentMessageFraction*set.MaxPeerMessagesPerSecond*seconds+urgentBurst) + 10*seconds
	if n := r.fake.count("tell"); n == 0 || n > most {
		t.Errorf("%d notes in %d s, at most %d wanted", n, seconds, most)
	}
}

// A gateway that has just started holds an even slice, and does not tell it as the whole
// store: that stays what it is for the others.
func TestAStartHalvesNobodysBurst(t *testing.T) {
	a := newRig(t, settings())
	a.Balancer.startedAt, a.Balancer.stateSince = a.at, a.at // it starts now
	if id, sent := a.ask(0, 0, 9, 4); !sent {
		t.Fatalf("request %d within an even slice was not sent", id)
	}
	if a.serve(0, 0, 9, 1) {
		t.Error("more than an even slice was sent before peers were heard")
	}
	whole, _, _ := a.RemainingQuota(9)
	near(t, "the whole store", whole, 4)
	a.at += second
	if !a.serve(0, 0, 9, 4) {
		t.Error("the store is not all there once peers would have been heard")
	}
}

// Where notes prove late or lost more is left to the others, and again less once they
// prove in time.
func TestTheLeadIsLearnt(t *testing.T) {
	a, b := pair(t)
	a.serve(0, 0, 9, 1)
	tellAll(a, b) // each knows what the other has taken so far
	b.serve(0, 0, 9, 1)
	tellAll(b, a)
	a.at, b.at = a.at+5*second, b.at+5*second
	for range 4 {
		a.serve(0, 0, 9, 2)
		b.serve(0, 0, 9, 2) // both have given the burst away
	}
	a.done = nil
	tellAll(a, b)
	tellAll(a, b)
	if b.learnedDelay == 0 {
		t.Fatal("nothing learnt though both took the same units")
	}
	before := b.learnedDelay
	for range 5 {
		a.at += 2 * second
		b.at = a.at
		a.serve(0, 0, 9, 2)
		tellAll(a, b)
	}
	if b.learnedDelay >= before {
		t.Errorf("lead %d, %d before notes were in time", b.learnedDelay, before)
	}
}

// A home gives of its part of the ceiling to a member whose own is spent, takes it off
// first, and a doubled answer is of no use.
func TestAHomeGivesOfItsCeiling(t *testing.T) {
	set := settings()
	set.Gateways = 12
	set.Plans[2] = Plan{Rate: 40, Burst: 80, CeilingRate: 80, CeilingBurst: 160, CeilingSlack: 4, Price: 1}
	const customer, spread = 9, 12
	home := newRig(t, set)
	homeAt := home.homeOf(home.findOrAddCustomer(customer, 2, 0, spread))
	set.Self = homeAt
	home = newRig(t, set)
	set.Self = (homeAt + 1) % 12
	member := newRig(t, set)
	home.at, member.at = start+20*second, start+20*second
	home.Timer(home.at, gossipTimer)
	member.Timer(member.at, gossipTimer)
	home.findOrAddCustomer(customer, 2, 0, spread)
	ask := func(id uint64) {
		member.Request(member.at, Request{ID: id, Class: 2, Plan: 2, Customer: customer, Units: 4, Timeout: 2 * second, Spread: spread})
	}
	member.findOrAddCustomer(customer, 2, 0, spread).ceilingBucket.level = 1 // its own part is spent
	before := home.customers[customer].ceilingBucket.level
	member.done = nil
	ask(1)
	if member.fake.count("send") > 0 || member.fake.count("refuse") > 0 {
		t.Fatalf("decided without its home: %v", member.done)
	}
	carry(member, home)
	near(t, "the home's part", home.customers[customer].ceilingBucket.level, before-4)
	answers := append([]string(nil), home.done...)
	carry(home, member)
	if member.fake.count("send 1 ") != 1 {
		t.Fatalf("not sent on the home's word: %v", member.done)
	}
	near(t, "the member's own part", member.customers[customer].ceilingBucket.level, 1)
	home.done = answers // the same once more
	carry(home, member)
	if n := member.fake.count("send"); n != 1 {
		t.Errorf("%d sends after a doubled answer", n)
	}
	// A home that does not answer: decided by the own part, which is spent.
	ask(2)
	member.at += second
	member.Timer(member.at, decisionTimer)
	if member.fake.count("refuse 2") != 1 {
		t.Errorf("not refused with its home silent: %v", member.done)
	}
}

// Over random exchanges, with notes lost, doubled and late and gateways that start anew,
// what all send on for a customer stays under its ceiling; and when all has been quiet
// for as long as a burst takes to fill, nothing is held to be missing anywhere.
func TestCeilingsHoldOverRandomExchanges(t *testing.T) {
	for seed := range uint64(30) {
		for _, spread := range []int{2, 4, 9, 12} {
			exchange(t, seed, spread)
		}
	}
}

func exchange(t *testing.T, seed uint64, spread int) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, uint64(spread)))
	set := settings()
	set.Gateways = 12
	set.Plans[2].Rate, set.Plans[2].Burst = 30, 60 // the ceiling binds before the quota does
	rigs := make([]*rig, set.Gateways)
	begin := func(i int, at Time) {
		f := &fake{}
		set.Self = i
		g, err := New(set, r.Uint64(), f)
		if err != nil {
			t.Fatal(err)
		}
		rigs[i] = &rig{Balancer: g, fake: f, t: t, at: at}
		g.UpdateEndpoints(at, CompleteCached, members(4))
	}
	for i := range rigs {
		begin(i, start)
	}
	type mail struct {
		at       Time
		from, to int
		note     []byte
	}
	var post []mail
	const plan, customer = 2, 77
	p := &set.Plans[plan]
	loss, twice, late := 0.4*r.Float64(), 0.3*r.Float64(), Time(r.Float64()*float64(second))
	truth := tokenBucket{p.CeilingBurst, p.CeilingRate, p.CeilingBurst, start}
	id := uint64(0)
	now := start
	tick := func(asks bool) {
		now += second / 200
		kept := post[:0]
		for _, m := range post {
			if m.at > now {
				kept = append(kept, m)
			} else {
				rigs[m.to].ReceivePeerMessage(now, m.from, m.note)
			}
		}
		post = kept
		for i, g := range rigs {
			if g.nextTimer <= now {
				g.Timer(now, gossipTimer)
			}
			g.Timer(now, decisionTimer)
			if asks && i < spread && r.Float64() < 0.03 {
				id++
				g.at = now
				g.Request(now, Request{ID: id, Class: 0, Plan: plan, Customer: customer, Units: float64(1 + r.IntN(4)), Timeout: second, Spread: spread})
			}
			done := g.done
			g.done = nil
			for _, line := range done {
				var to int
				var note []byte
				var request, backend uint64
				if n, _ := fmt.Sscanf(line, "tell %d %x", &to, &note); n == 2 {
					for range 1 + int(indicator(r.Float64() < twice)) {
						if r.Float64() >= loss {
							post = append(post, mail{now + 2000 + r.Int64N(late+1), i, to, note})
						}
					}
				} else if n, _ := fmt.Sscanf(line, "send %d to %d", &request, &backend); n == 2 {
					truth.refill(now)
					truth.level -= g.requests[request].Units
					if truth.level < -p.CeilingSlack-1e-6 {
						t.Fatalf("seed %d, spread %d: the ceiling's store is at %g after %v s", seed, spread, truth.level, float64(now-start)/float64(second))
					}
					g.Outcome(now, Outcome{ID: request, Backend: uint32(backend), Duration: second / 20, RequestDone: true})
				}
			}
		}
	}
	for range 200 * 8 {
		tick(true)
		if r.Float64() < 0.004 {
			begin(r.IntN(len(rigs)), now)
		}
	}
	if id == 0 {
		t.Fatal("nothing was asked")
	}
	for quiet := now + Time((p.Burst/p.Rate+3)*float64(second)); now < quiet; {
		tick(false)
	}
	for i, g := range rigs[:spread] {
		if whole, _, known := g.RemainingQuota(customer); known && whole < p.Burst-1e-6 && !g.isRemote(g.customers[customer]) {
			t.Errorf("seed %d, spread %d: gateway %d holds %g of %g though all has been quiet", seed, spread, i, whole, p.Burst)
		}
	}
}

// A gateway that was restored from a state holds a lease less than there is; a peer that
// has lived all along tells it, and is not made to hold less itself.
func TestAPeerKnowsBetterThanAState(t *testing.T) {
	a, b := pair(t)
	a.serve(0, 0, 9, 2)
	tellAll(a, b)
	b.serve(0, 0, 9, 1)
	tellAll(b, a)
	s := a.TakeSnapshot(a.at, false)
	set := settings()
	f := &fake{}
	g, err := New(set, 99, f)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{Balancer: g, fake: f, t: t, at: a.at + second/10}
	if err := g.Restore(r.at, 10*second, &s); err != nil {
		t.Fatal(err)
	}
	g.UpdateEndpoints(r.at, CompleteCached, members(4))
	whole, _, _ := b.RemainingQuota(9)
	if low, _, _ := g.RemainingQuota(9); low > whole-1 {
		t.Fatalf("the restored gateway holds %g, the one that lived %g: no lease is taken off", low, whole)
	}
	tellAll(r, b)
	b.refill(b.customers[9])
	if after, _, _ := b.RemainingQuota(9); after < whole-1e-6 {
		t.Errorf("the one that lived holds %g, %g before the other started anew", after, whole)
	}
	b.serve(0, 0, 9, 1)
	tellAll(b, r)
	now, _, _ := b.RemainingQuota(9)
	if got, _, _ := g.RemainingQuota(9); math.Abs(got-now) > 0.3 {
		t.Errorf("the restored gateway holds %g once it has heard, the other %g", got, now)
	}
}

// Gateways that hear nothing of one another go by slices. One of a small burst holds less than a request: it saves up for the
// largest that was asked, at its rate, and the customer is not shut out.
func TestASliceThatHoldsNoRequestSavesUp(t *testing.T) {
	for _, metered := range []bool{false, true} {
		set := settings()
		set.Peers, set.Gateways = false, 4
		if metered {
			set.MeterPeriod = second
		}
		set.Plans = []Plan{{Rate: 2, Burst: 4, Price: 1, BeyondCosts: 1}}
		r := newRig(t, set)
		const seconds, units, slice = 120, 2, 0.5 // a request's units; those a second, and one at once, of the slice
		passed := 0.0
		for range 2 * seconds {
			r.at += second / 2
			r.next++
			before := r.fake.count("send")
			r.Request(r.at, Request{ID: r.next, Customer: 9, Units: units, Timeout: 2 * second, Spread: 4})
			if r.fake.count("send") > before {
				passed += units
				r.end(r.next, OK, true)
			}
		}
		if passed < 0.9*slice*seconds || passed > slice*seconds+units {
			t.Errorf("metered %t: %g units passed, the slice gives %g", metered, passed, slice*seconds)
		}
	}
}
