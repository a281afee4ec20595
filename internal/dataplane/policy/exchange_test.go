package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// In random exchanges, with messages that are lost, repeated or late and gateways that restart, all
// gateways together keep to a customer's ceiling. After a pause that fills the burst, every gateway
// has a full bucket.
func TestCeilingsHoldOverRandomExchanges(t *testing.T) {
	for seed := range uint64(30) {
		for _, spread := range []int{2, 4, 9, 12} {
			e := newRandomExchange(t, seed, spread)
			e.run()
			e.checkBucketsAfterPause()
		}
	}
}

// The one customer of an exchange and its plan.
const (
	exchangeCustomer = 77
	exchangePlan     = 2
)

// randomExchange is a fleet of gateways that serve one customer over a network that loses, repeats
// and delays messages.
type randomExchange struct {
	t        *testing.T
	seed     uint64
	spread   int
	rand     *rand.Rand
	settings Settings
	gateways []*testBalancer
	now      Time
	requests uint64
	ceiling  tokenBucket // for all gateways together

	pending    []delivery
	loss       float64 // fraction of messages that are lost
	repetition float64 // fraction of messages that are sent twice
	delay      Time    // the largest
}

// delivery is a message in transit.
type delivery struct {
	at       Time
	from, to int
	message  []byte
}

func newRandomExchange(t *testing.T, seed uint64, spread int) *randomExchange {
	t.Helper()
	e := &randomExchange{t: t, seed: seed, spread: spread, now: start}
	e.rand = rand.New(rand.NewPCG(seed, uint64(spread)))
	e.settings = testSettings()
	e.settings.Gateways = 12
	p := e.plan()
	p.Rate, p.Burst = 30, 60 // the ceiling binds before the quota does
	e.gateways = make([]*testBalancer, e.settings.Gateways)
	for i := range e.gateways {
		e.startGateway(i)
	}
	e.loss = 0.4 * e.rand.Float64()
	e.repetition = 0.3 * e.rand.Float64()
	e.delay = Time(e.rand.Float64() * float64(second))
	e.ceiling = tokenBucket{p.CeilingBurst, p.CeilingRate, p.CeilingBurst, start}
	return e
}

func (e *randomExchange) plan() *Plan { return &e.settings.Plans[exchangePlan] }

// startGateway starts a gateway, or restarts it without its state.
func (e *randomExchange) startGateway(i int) {
	e.t.Helper()
	set := e.settings
	set.Self = i
	lb, err := New(set, e.rand.Uint64(), &actionRecorder{})
	if err != nil {
		e.t.Fatal(err)
	}
	e.gateways[i] = wrapBalancer(e.t, lb, e.now)
	lb.UpdateEndpoints(e.now, CompleteCached, endpointList(4))
}

// run simulates eight seconds with requests and restarts.
func (e *randomExchange) run() {
	e.t.Helper()
	for range 200 * 8 {
		e.tick(true)
		if e.rand.Float64() < 0.004 {
			e.startGateway(e.rand.IntN(len(e.gateways)))
		}
	}
	if e.requests == 0 {
		e.t.Fatal("no request was made")
	}
}

// checkBucketsAfterPause lets the burst fill, and checks that each gateway has all of it.
func (e *randomExchange) checkBucketsAfterPause() {
	e.t.Helper()
	p := e.plan()
	end := e.now + Time((p.Burst/p.Rate+3)*float64(second))
	for e.now < end {
		e.tick(false)
	}
	for i, g := range e.gateways[:e.spread] {
		whole, _, known := g.RemainingQuota(exchangeCustomer)
		if known && whole < p.Burst-1e-6 && !g.isRemote(g.customers[exchangeCustomer]) {
			e.t.Errorf("seed %d, spread %d: gateway %d has %g of %g after the pause",
				e.seed, e.spread, i, whole, p.Burst)
		}
	}
}

// tick advances the time by 5 ms.
func (e *randomExchange) tick(requests bool) {
	e.t.Helper()
	e.now += second / 200
	e.deliver()
	for i, g := range e.gateways {
		if g.nextTimer <= e.now {
			g.Timer(e.now, gossipTimer)
		}
		g.Timer(e.now, decisionTimer)
		if requests && i < e.spread && e.rand.Float64() < 0.03 {
			e.request(g)
		}
		actions := g.recorded
		g.recorded = nil
		for _, line := range actions {
			e.carryOut(i, line)
		}
	}
}

// deliver delivers the messages that are due.
func (e *randomExchange) deliver() {
	kept := e.pending[:0]
	for _, d := range e.pending {
		if d.at > e.now {
			kept = append(kept, d)
			continue
		}
		e.gateways[d.to].ReceivePeerMessage(e.now, d.from, d.message)
	}
	e.pending = kept
}

func (e *randomExchange) request(g *testBalancer) {
	e.requests++
	g.time = e.now
	g.Request(e.now, Request{
		ID: e.requests, Class: 0, Plan: exchangePlan, Customer: exchangeCustomer,
		Units: float64(1 + e.rand.IntN(4)), Timeout: second, Spread: e.spread,
	})
}

// carryOut carries out a recorded action of a gateway.
func (e *randomExchange) carryOut(gateway int, line string) {
	e.t.Helper()
	var peer int
	var message []byte
	var request, backend uint64
	if n, _ := fmt.Sscanf(line, "peer %d %x", &peer, &message); n == 2 {
		e.post(gateway, peer, message)
	} else if n, _ := fmt.Sscanf(line, "send %d to %d", &request, &backend); n == 2 {
		e.answer(e.gateways[gateway], request, uint32(backend))
	}
}

// post sends a message, which may be lost, sent twice or late.
func (e *randomExchange) post(from, to int, message []byte) {
	copies := 1 + int(indicator(e.rand.Float64() < e.repetition))
	for range copies {
		if e.rand.Float64() >= e.loss {
			at := e.now + 2000 + e.rand.Int64N(e.delay+1)
			e.pending = append(e.pending, delivery{at, from, to, message})
		}
	}
}

// answer checks that a request that was sent is under the ceiling, and answers it.
func (e *randomExchange) answer(g *testBalancer, request uint64, backend uint32) {
	e.t.Helper()
	e.ceiling.refill(e.now)
	e.ceiling.level -= g.requests[request].Units
	if e.ceiling.level < -e.plan().CeilingSlack-1e-6 {
		e.t.Fatalf("seed %d, spread %d: the level of the ceiling is %g after %v s",
			e.seed, e.spread, e.ceiling.level, float64(e.now-start)/float64(second))
	}
	g.Outcome(e.now, Outcome{
		ID: request, Backend: backend, Duration: second / 20, RequestDone: true,
	})
}
