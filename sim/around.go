package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/testing/harness"
)

// peerNetwork delivers peer messages between gateways. It delays all of them, and loses or
// duplicates some.
type peerNetwork struct {
	w    *World
	rand *rand.Rand
	// receivedThisSecond counts the messages received by each gateway in its current second.
	receivedThisSecond []int
	// second is that second, by gateway.
	second []int64
	// partitionedUntil is the end of a partition, in microseconds. Until then no message passes
	// between the gateways below partitionAt and the others.
	partitionedUntil int64
	partitionAt      int
	// delayedUntil is the time until which messages are delayed by extraDelay, in microseconds.
	delayedUntil int64
	extraDelay   int64
}

func (n *peerNetwork) deliver(from, to int, message []byte) {
	w := n.w
	w.PeerMessages.Sent++
	w.PeerMessages.Bytes += len(message)
	lost, delay := n.rand.Float64() < w.Site.MessageLoss, 1300+n.rand.Int64N(9700)
	duplicate := w.options.MessageDuplication > 0 && n.rand.Float64() < w.options.MessageDuplication
	partitioned := w.now < n.partitionedUntil && (from < n.partitionAt) != (to < n.partitionAt)
	if lost || partitioned || to < 0 || to >= len(w.gateways) {
		w.PeerMessages.Lost++
		return
	}
	copied := append([]byte(nil), message...)
	arrive := func() {
		g := w.gateways[to]
		if s := w.now / 1e6; s != n.second[to] {
			n.second[to], n.receivedThisSecond[to] = s, 0
		}
		if n.receivedThisSecond[to]++; n.receivedThisSecond[to] > 60 {
			w.PeerMessages.Lost++ // above the rate that a gateway accepts
			return
		}
		w.PeerMessages.MaxReceivedPerSecond = max(w.PeerMessages.MaxReceivedPerSecond,
			n.receivedThisSecond[to])
		g.deliver(g.incarnation, func() { g.module.ReceivePeerMessage(g.now(), from, copied) })
	}
	delay += w.options.MessageDelay.Microseconds()
	if w.now < n.delayedUntil {
		delay += n.extraDelay
	}
	w.after(delay, arrive)
	if duplicate {
		w.after(delay+n.rand.Int64N(1_000_000), arrive)
	}
}

// registry notifies gateways of changes of the servers, some time after they happened.
type registry struct {
	w    *World
	rand *rand.Rand
	// known is the list of servers that a gateway has received, by gateway.
	known [][]policy.Endpoint
	// lastDelivery is when a gateway receives the last update about a server. Updates about one
	// server keep their order.
	lastDelivery map[[2]int]int64
	// silentUntil is the time until which the registry sends nothing, in microseconds.
	silentUntil int64
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

// announce notifies all gateways of a server's state.
func (r *registry) announce(sv *server, state policy.EndpointState) {
	w := r.w
	m := policy.Endpoint{Backend: sv.number, Cell: 1, State: state, Weight: 1}
	if start := w.Record.ServerStarts[sv.startIndex]; start.SlowStart {
		m.StartedAt = epoch + start.At.Microseconds()
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

// arrive delivers an update to one gateway, once the registry is not silent.
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

// knowsStart reports whether a gateway was notified of a server's current start.
func (r *registry) knowsStart(gateway int, sv *server) bool {
	start := &r.w.Record.ServerStarts[sv.startIndex]
	return !start.SlowStart ||
		r.known[gateway][sv.number-1].StartedAt >= epoch+start.At.Microseconds()
}

// frontEntry is the front's state of one gateway. The front detects that a gateway is down only
// after some time.
type frontEntry struct {
	down bool
	// failingSince is when a connection was first refused, in microseconds; 0 if none was refused
	// since the last success.
	failingSince   int64
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

// client makes one customer's requests, independently of the answers.
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

// pause returns the time until the customer's next request in microseconds. It is shorter in a
// surge of its plan.
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
	// startedAt is when the first try was sent.
	startedAt int64
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
		incarnation := g.incarnation
		g.deliver(incarnation, func() {
			g.accept(&t, who, func(k harness.Kind, after int64) { q.end(&t, k, after) })
		})
		if w.now < g.frozenUntil { // the process may end before it reads the request
			w.after(g.frozenUntil-w.now, func() {
				if incarnation != g.incarnation {
					t.Reset = true
					q.end(&t, harness.Ended, 0)
				}
			})
		}
	})
}

// end records how a try ended, and schedules the next one.
func (q *clientRequest) end(t *harness.Try, k harness.Kind, after int64) {
	w := q.c.w
	t.Kind, t.RetryAfter = k, time.Duration(after)*time.Microsecond
	w.Record.Tries = append(w.Record.Tries, *t)
	fmt.Fprintf(w.digest, "%d %s %d %d %s\n", w.now, t.ID, t.Gateway, k, t.RejectReason)
	if q.tries++; k == harness.Served || q.tries > w.Site.Retries {
		return
	}
	pause := harness.Backoff(q.tries-1, t.RetryAfter, q.rand)
	// A request of an unsafe class is not retried if it may have run. A request with a key is
	// retried, whatever the answer was, only while servers drop duplicates of the key.
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
