package sim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothcleat/decide"
	"mothcleat/internal/trial"
)

// notes carries what gateways tell one another: late, some twice, some not at all.
type notes struct {
	w      *World
	rand   *rand.Rand
	in     []int // taken in by each gateway in the present second
	second []int64
}

func (n *notes) carry(from, to int, note []byte) {
	w := n.w
	w.Notes.Sent++
	w.Notes.Bytes += len(note)
	lost, late := n.rand.Float64() < w.Site.NoteLoss, 1300+n.rand.Int64N(9700)
	twice := w.o.NoteTwice > 0 && n.rand.Float64() < w.o.NoteTwice
	if lost || to < 0 || to >= len(w.gateways) {
		w.Notes.Lost++
		return
	}
	copied := append([]byte(nil), note...)
	arrive := func() {
		g := w.gateways[to]
		if s := w.now / 1e6; s != n.second[to] {
			n.second[to], n.in[to] = s, 0
		}
		if n.in[to]++; n.in[to] > 60 {
			w.Notes.Lost++ // more than a gateway takes in
			return
		}
		w.Notes.MostIn = max(w.Notes.MostIn, n.in[to])
		if g.up {
			g.module.Peer(g.now(), from, copied)
		}
	}
	late += w.o.NoteLate.Microseconds()
	w.after(late, arrive)
	if twice {
		w.after(late+n.rand.Int64N(1_000_000), arrive)
	}
}

// register tells gateways of the servers, some time after it happened.
type register struct {
	w       *World
	rand    *rand.Rand
	known   [][]decide.Member // by gateway
	waiting int               // tries of clients that pause before the next
}

func (r *register) begin(gateways int) {
	for range gateways {
		var list []decide.Member
		for _, sv := range r.w.servers {
			list = append(list, decide.Member{Backend: sv.number, Cell: 1, State: decide.Ready, Hint: 1})
		}
		r.known = append(r.known, list)
	}
}

func (r *register) list(gateway int) []decide.Member {
	return append([]decide.Member(nil), r.known[gateway]...)
}

// tell has all gateways hear of a server's state.
func (r *register) tell(sv *server, state decide.State) {
	w := r.w
	m := decide.Member{Backend: sv.number, Cell: 1, State: state, Hint: 1}
	if boot := w.Record.Boots[sv.boot]; boot.Cold {
		m.Started = epoch + boot.At.Microseconds()
	}
	for i, g := range w.gateways {
		w.after(int64(r.rand.Float64()*float64(w.Site.RegisterLag.Microseconds())), func() {
			r.known[i][sv.number-1] = m
			if g.up {
				w.Record.Told = append(w.Record.Told, trial.Told{Gateway: i, Server: sv.id, Stop: state != decide.Ready, At: w.at()})
				g.module.Members(g.now(), decide.Changed, []decide.Member{m})
			}
		})
	}
}

// frontEntry is one gateway as the front sees it: one that has died is noticed
// only after some time.
type frontEntry struct {
	down    bool
	failing int64 // since when nothing listens there; 0: something does
	notice  int64
}

func (w *World) frontUp(g int) bool {
	e := &w.gateways[g].front
	if e.down && w.gateways[g].up {
		e.down, e.failing = false, 0
	}
	return !e.down
}

func (w *World) noPort(g int) {
	e := &w.gateways[g].front
	if e.failing == 0 {
		e.failing = w.now
		e.notice = 1_000_000 + w.rand.Int64N(2_900_000)
	} else if w.now-e.failing >= e.notice {
		e.down = true
	}
}

// client asks for one customer, whatever comes back.
type client struct {
	w       *World
	number  int
	traffic *trial.Traffic
}

func (c *client) ask() {
	w := c.w
	if w.now >= w.ends {
		return
	}
	t, r := c.traffic.Request(w.at())
	q := &asked{c: c, first: t, rand: r, wait: w.Site.Patience(t.Class, r), last: -1}
	q.send()
	w.after(c.traffic.Pause().Microseconds(), c.ask)
}

// asked is one request of a client with its tries.
type asked struct {
	c     *client
	first trial.Try
	rand  *rand.Rand
	wait  time.Duration
	n     int
	last  int
}

func (q *asked) send() {
	w := q.c.w
	who := &w.Site.Customers[q.c.number]
	w.nextTry++
	t := q.first
	t.ID, t.Wait, t.Why = trial.Hex16(w.nextTry), q.wait, ""
	if q.n == 0 {
		q.first.First = t.ID
		t.First = t.ID
	} else {
		t.Asked = 0
	}
	t.Gateway = w.Site.Choose(who, q.last, w.at(), w.frontUp, q.rand)
	q.last = t.Gateway
	g := w.gateways[t.Gateway]
	if !g.up {
		t.NoPort = w.at()
		w.noPort(t.Gateway)
		q.end(&t, trial.Unsent, 0)
		return
	}
	g.front.failing = 0
	t.Sent = w.at()
	w.register.waiting++
	w.after(w.clientNet(), func() {
		w.register.waiting--
		if !g.up {
			t.Reset = true
			q.end(&t, trial.Ended, 0)
			return
		}
		t.Sent = w.at()
		g.take(&t, who, func(k trial.Kind, after int64) { q.end(&t, k, after) })
	})
}

// end takes in how a try ended, and sends the next one.
func (q *asked) end(t *trial.Try, k trial.Kind, after int64) {
	w := q.c.w
	t.Kind, t.After = k, time.Duration(after)*time.Microsecond
	w.Record.Tries = append(w.Record.Tries, *t)
	fmt.Fprintf(w.digest, "%d %s %d %d %s\n", w.now, t.ID, t.Gateway, k, t.Why)
	if q.n++; k == trial.Served || q.n > w.Site.Retries {
		return
	}
	w.register.waiting++
	w.after(trial.Backoff(q.n-1, t.After, q.rand).Microseconds(), func() {
		w.register.waiting--
		q.send()
	})
}
