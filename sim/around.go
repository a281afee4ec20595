package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/testing/harness"
)

// peerNetwork carries what gateways tell one another: late, some twice, some not at all.
type peerNetwork struct {
	w                  *World
	rand               *rand.Rand
	receivedThisSecond []int // taken in by each gateway in the present second
	second             []int64
	// until when no note passes between the gateways below cutAt and the others
	partitionedUntil int64
	partitionAt      int
	delayedUntil     int64 // until when notes come later, by slowBy
	extraDelay       int64
}

func (n *peerNetwork) deliver(from, to int, note []byte) {
	w := n.w
	w.PeerMessages.Sent++
	w.PeerMessages.Bytes += len(note)
	lost, late := n.rand.Float64() < w.Site.MessageLoss, 1300+n.rand.Int64N(9700)
	twice := w.options.MessageDuplication > 0 && n.rand.Float64() < w.options.MessageDuplication
	cut := w.now < n.partitionedUntil && (from < n.partitionAt) != (to < n.partitionAt)
	if lost || cut || to < 0 || to >= len(w.gateways) {
		w.PeerMessages.Lost++
		return
	}
	copied := append([]byte(nil), note...)
	arrive := func() {
		g := w.gateways[to]
		if s := w.now / 1e6; s != n.second[to] {
			n.second[to], n.receivedThisSecond[to] = s, 0
		}
		if n.receivedThisSecond[to]++; n.receivedThisSecond[to] > 60 {
			w.PeerMessages.Lost++ // more than a gateway takes in
			return
		}
		w.PeerMessages.MaxReceivedPerSecond = max(w.PeerMessages.MaxReceivedPerSecond,
			n.receivedThisSecond[to])
		g.deliver(g.incarnation, func() { g.module.ReceivePeerMessage(g.now(), from, copied) })
	}
	late += w.options.MessageDelay.Microseconds()
	if w.now < n.delayedUntil {
		late += n.extraDelay
	}
	w.after(late, arrive)
	if twice {
		w.after(late+n.rand.Int64N(1_000_000), arrive)
	}
}

// registry tells gateways of the servers, some time after it happened.
type registry struct {
	w     *World
	rand  *rand.Rand
	known [][]policy.Endpoint // by gateway
	// when a gateway hears what was told last of a server: news keep their order
	lastDelivery map[[2]int]int64
	silentUntil  int64 // it tells nothing until then
}

func (r *registry) start(gateways int) {
	for range gateways {
		var list []policy.Endpoint
		for _, sv := range r.w.servers {
			list = append(list,
				policy.Endpoint{Backend: sv.number, Cell: 1, State: policy.Ready, Weight: 1})
		}
		r.known = append(r.known, list)
	}
}

func (r *registry) list(gateway int) []policy.Endpoint {
	return append([]policy.Endpoint(nil), r.known[gateway]...)
}

// announce has all gateways hear of a server's state.
func (r *registry) announce(sv *server, state policy.EndpointState) {
	w := r.w
	m := policy.Endpoint{Backend: sv.number, Cell: 1, State: state, Weight: 1}
	if boot := w.Record.ServerStarts[sv.startIndex]; boot.SlowStart {
		m.StartedAt = epoch + boot.At.Microseconds()
	}
	if r.lastDelivery == nil {
		r.lastDelivery = map[[2]int]int64{}
	}
	for i := range w.gateways {
		key := [2]int{i, int(sv.number)}
		at := max(w.now+int64(r.rand.Float64()*float64(w.Site.RegisterLag.Microseconds())),
			r.lastDelivery[key])
		r.lastDelivery[key] = at
		w.after(at-w.now, func() { r.arrive(i, sv, m) })
	}
}

// arrive has one gateway hear of a server, once the register is not silent.
func (r *registry) arrive(i int, sv *server, m policy.Endpoint) {
	w, g := r.w, r.w.gateways[i]
	if w.now < r.silentUntil {
		w.after(r.silentUntil-w.now, func() { r.arrive(i, sv, m) })
		return
	}
	r.known[i][sv.number-1] = m
	g.deliver(g.incarnation, func() {
		w.Record.EndpointUpdates = append(w.Record.EndpointUpdates,
			harness.EndpointUpdate{
				Gateway: i,
				Server:  sv.id,
				Stop:    m.State != policy.Ready,
				At:      w.at(),
			})
		g.module.UpdateEndpoints(g.now(), policy.Delta, []policy.Endpoint{m})
	})
}

// knowsStart reports whether a gateway has been told of a server's present start.
func (r *registry) knowsStart(gateway int, sv *server) bool {
	boot := &r.w.Record.ServerStarts[sv.startIndex]
	return !boot.SlowStart ||
		r.known[gateway][sv.number-1].StartedAt >= epoch+boot.At.Microseconds()
}

// frontEntry is one gateway as the front sees it: one that has died is noticed
// only after some time.
type frontEntry struct {
	down           bool
	failingSince   int64 // since when nothing listens there; 0: something does
	detectionDelay int64
}

func (w *World) frontUp(g int) bool {
	e := &w.gateways[g].front
	if e.down && w.gateways[g].up {
		e.down, e.failingSince = false, 0
	}
	return !e.down
}

func (w *World) connectionRefused(g int) {
	e := &w.gateways[g].front
	if e.failingSince == 0 {
		e.failingSince = w.now
		e.detectionDelay = 1_000_000 + w.rand.Int64N(2_900_000)
	} else if w.now-e.failingSince >= e.detectionDelay {
		e.down = true
	}
}

// client asks for one customer, whatever comes back.
type client struct {
	w       *World
	number  int
	traffic *harness.Traffic
}

func (c *client) sendNext() {
	w := c.w
	if w.now >= w.endAt {
		return
	}
	t, r := c.traffic.Request(w.at())
	q := &clientRequest{
		c:           c,
		first:       t,
		rand:        r,
		wait:        w.Site.ClientTimeout(t.Class, r),
		lastGateway: -1,
	}
	q.send()
	w.after(c.pause(), c.sendNext)
}

// pause is the time until the customer's next request: less in a surge of its plan.
func (c *client) pause() int64 {
	pause, w := float64(c.traffic.Pause().Microseconds()), c.w
	if w.options.Surge > 0 && w.now > w.endAt/3 && w.now < w.endAt*2/3 &&
		w.Site.Customers[c.number].Plan == int(w.options.Seed%uint64(len(w.Site.Plans))) {
		pause /= w.options.Surge
	}
	return int64(pause)
}

// clientRequest is one request of a client with its tries.
type clientRequest struct {
	c           *client
	first       harness.Try
	rand        *rand.Rand
	wait        time.Duration
	tries       int
	lastGateway int
	startedAt   int64 // when the first try was sent
}

func (q *clientRequest) send() {
	w := q.c.w
	who := &w.Site.Customers[q.c.number]
	w.nextTry++
	t := q.first
	t.ID, t.Wait, t.RejectReason = harness.Hex16(w.nextTry), q.wait, ""
	if q.tries == 0 {
		q.first.First, q.startedAt = t.ID, w.now
		t.First = t.ID
	} else {
		t.RequestedAt = 0
	}
	t.Gateway = w.Site.PickGateway(who, q.lastGateway, w.at(), w.frontUp, q.rand)
	q.lastGateway = t.Gateway
	g := w.gateways[t.Gateway]
	if !g.up {
		t.PortClosedAt = w.at()
		w.connectionRefused(t.Gateway)
		q.end(&t, harness.Unsent, 0)
		return
	}
	g.front.failingSince = 0
	t.SentAt = w.at()
	w.waiting++
	w.after(w.clientNet(), func() {
		w.waiting--
		if !g.up {
			t.Reset = true
			q.end(&t, harness.Ended, 0)
			return
		}
		t.SentAt = w.at()
		life := g.incarnation
		g.deliver(life, func() {
			g.accept(&t, who, func(k harness.Kind, after int64) { q.end(&t, k, after) })
		})
		if w.now < g.frozenUntil { // a process that ends before it has read
			w.after(g.frozenUntil-w.now, func() {
				if life != g.incarnation {
					t.Reset = true
					q.end(&t, harness.Ended, 0)
				}
			})
		}
	})
}

// end takes in how a try ended, and sends the next one.
func (q *clientRequest) end(t *harness.Try, k harness.Kind, after int64) {
	w := q.c.w
	t.Kind, t.RetryAfter = k, time.Duration(after)*time.Microsecond
	w.Record.Tries = append(w.Record.Tries, *t)
	fmt.Fprintf(w.digest, "%d %s %d %d %s\n", w.now, t.ID, t.Gateway, k, t.RejectReason)
	if q.tries++; k == harness.Served || q.tries > w.Site.Retries {
		return
	}
	pause := harness.Backoff(q.tries-1, t.RetryAfter, q.rand)
	// What may have run is not asked for again; what carries a key only while servers
	// would know it again, whatever the answer said.
	c := &w.Site.Classes[t.Class]
	if c.Unsafe && k != harness.Refused && k != harness.Unsent ||
		c.Keyed &&
			w.now+(pause+q.wait).Microseconds() > q.startedAt+c.DeduplicationWindow.Microseconds() {
		return
	}
	w.waiting++
	w.after(pause.Microseconds(), func() {
		w.waiting--
		q.send()
	})
}
