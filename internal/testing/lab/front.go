package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mothcleat/internal/dataplane/resp"
	"mothcleat/internal/testing/harness"
)

// front deals requests out among the gateways. It keeps connections, opens more
// when all are busy, takes a gateway in once it answers PING, and notices only
// after some seconds that one has died.
type loadBalancer struct {
	gateways []*Gateway
	rec      *harness.Record
	entries  []*entryPoint
	wg       sync.WaitGroup // polls for gateways that were down
}

// entryPoint is one gateway as the front sees it.
type entryPoint struct {
	mu      sync.Mutex
	idle    []*clientConn
	down    bool
	drained bool      // operators empty it: it is dealt nothing, but on connections that stay open
	failing time.Time // since when nothing answers there; zero: it does
	notice  time.Duration
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

// open tells whether a kept connection was not ended by the other side, as a front
// that watches its connections knows. To write to one that was would be the front's
// own fault, and a process that has exited since answers with a reset.
func (c *clientConn) open() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EINTR
	})
	return err == nil && open
}

func newLoadBalancer(rec *harness.Record, gateways []*Gateway) *loadBalancer {
	f := &loadBalancer{gateways: gateways, rec: rec}
	for range gateways {
		f.entries = append(f.entries, &entryPoint{})
	}
	return f
}

// up tells whether the front deals out to a gateway.
func (f *loadBalancer) up(g int) bool {
	e := f.entries[g]
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.down && !e.drained
}

// empty takes note that a gateway is being drained, or is back.
func (f *loadBalancer) setDrained(g int, on bool) {
	e := f.entries[g]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drained = on
}

// open is how many kept connections to a gateway it has not ended.
func (f *loadBalancer) open(g int) (n int) {
	e := f.entries[g]
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.idle {
		if c.open() {
			n++
		}
	}
	return n
}

// refused takes note that nothing listens at a gateway: it is seen as down some
// time later, and asked from then on whether it is back.
func (f *loadBalancer) refused(ctx context.Context, g int) {
	e := f.entries[g]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failing.IsZero() {
		e.failing = time.Now()
		e.notice = time.Duration(
			harness.Between(rand.New(rand.NewPCG(uint64(g), uint64(e.failing.UnixNano()))), 1,
				3.9) * float64(time.Second),
		)
		return
	}
	if e.down || time.Since(e.failing) < e.notice {
		return
	}
	e.down = true
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		for !f.gateways[g].ping() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
		f.answered(g)
	}()
}

func (f *loadBalancer) answered(g int) {
	e := f.entries[g]
	e.mu.Lock()
	e.down, e.failing = false, time.Time{}
	e.mu.Unlock()
}

// take gives an idle connection to a gateway, or makes one.
func (f *loadBalancer) acquire(g int, newConnection bool) (*clientConn, error) {
	e := f.entries[g]
	if !newConnection {
		e.mu.Lock()
		for n := len(e.idle); n > 0; n = len(e.idle) {
			c := e.idle[n-1]
			e.idle = e.idle[:n-1]
			if c.open() {
				e.mu.Unlock()
				return c, nil
			}
			c.Close() // its end was told before this request: none was taken there
		}
		e.mu.Unlock()
	}
	c, err := net.DialTimeout("tcp", f.gateways[g].Address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, in: bufio.NewReaderSize(c, 512)}, nil
}

func (f *loadBalancer) keep(g int, c *clientConn) {
	e := f.entries[g]
	e.mu.Lock()
	defer e.mu.Unlock()
	c.used = true
	e.idle = append(e.idle, c)
}

func (f *loadBalancer) close() {
	f.wg.Wait()
	for _, e := range f.entries {
		e.mu.Lock()
		for _, c := range e.idle {
			c.Close()
		}
		e.idle = nil
		e.mu.Unlock()
	}
}

// connections is where a client's connections come from, and where they are kept.
type connections interface {
	acquire(gateway int, newConnection bool) (*clientConn, error)
	keep(gateway int, c *clientConn)
}

// send sends a try to its gateway and waits for the answer. A kept connection
// that the gateway closed, unread, has it sent once more on a new one.
// A client that loses patience closes the connection so long after the request; 0: it waits.
func (f *loadBalancer) send(
	ctx context.Context,
	s *harness.Site,
	c *harness.Customer,
	t *harness.Try,
	abandonAfter time.Duration,
) {
	f.sendOn(ctx, f, s, c, t, abandonAfter)
}

// sendOn does the same on certain connections.
func (f *loadBalancer) sendOn(
	ctx context.Context,
	conns connections,
	s *harness.Site,
	c *harness.Customer,
	t *harness.Try,
	abandonAfter time.Duration,
) {
	deadline := time.Now().Add(t.Wait)
	for retry := false; ; retry = true {
		conn, err := conns.acquire(t.Gateway, retry)
		if err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				t.PortClosedAt = f.rec.Now()
			}
			f.refused(ctx, t.Gateway)
			return // what a former connection ended with stands
		}
		now := f.rec.Now()
		if !retry {
			t.SentAt = now
		}
		cmd := command(s, c, t, max(time.Millisecond, time.Until(deadline)))
		until := deadline.Add(s.LateAnswerTime())
		if abandonAfter > 0 {
			until = time.Now().Add(abandonAfter)
		}
		_ = conn.SetDeadline(until)
		if _, err = conn.Write(cmd); err == nil {
			if !retry {
				t.SentAt = f.rec.Now()
			}
			err = readAnswer(t, conn.in, f.rec)
		}
		if err == nil {
			f.answered(t.Gateway)
			conns.keep(t.Gateway, conn)
			return
		}
		used := conn.used
		conn.Close()
		if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
			if t.Kind = harness.NoAnswer; abandonAfter > 0 {
				t.Kind, t.ClientLeftAt = harness.ClientLeft, f.rec.Now()
			}
			return
		}
		t.Kind = harness.Ended
		t.Reset = t.Reset || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
		if retry || !used && !errors.Is(err, io.EOF) {
			return
		}
		t.ClosedAt = f.rec.Now()
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

func command(s *harness.Site, c *harness.Customer, t *harness.Try, wait time.Duration) []byte {
	class := &s.Classes[t.Class]
	fields := fmt.Sprintf("c=%s,t=%s,d=%d", class.Name, s.Plans[t.Plan].Name, wait.Milliseconds())
	if t.Key != "" {
		fields += ",k=" + t.Key
	}
	fields += fmt.Sprintf(",units=%s,spread=%d,first=%d",
		strconv.FormatFloat(t.Units, 'g', -1, 64), c.Spread, c.First)
	args := []string{class.Command, c.ID, t.ID, fields}
	if class.Command == "API.WRITE" {
		args = append(args, "BODY")
	}
	b := resp.AppendArray(nil, len(args))
	for _, a := range args {
		b = resp.AppendBulk(b, []byte(a))
	}
	return b
}

// readAnswer reads the answer to a try.
func readAnswer(t *harness.Try, in *bufio.Reader, rec *harness.Record) error {
	line, err := in.ReadString('\n')
	if err != nil {
		if line != "" && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	line = strings.TrimSuffix(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		t.Kind = harness.Refused
		ms, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "-BUSY")))
		t.RetryAfter = time.Duration(ms) * time.Millisecond
	case strings.HasPrefix(line, "$") && line != "$-1":
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 || n > resp.MaxValue {
			return fmt.Errorf("answer %q", line)
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return err
		}
		t.Kind, t.Value = harness.Served, string(b[:n])
	default:
		t.Kind = harness.Failed
	}
	t.Answers++
	t.AnsweredAt = rec.Now()
	if in.Buffered() > 0 { // nothing else was asked for
		t.Answers++
	}
	return nil
}

// Clients send what a site's customers ask for, whatever comes back, and try
// again through another gateway as clients do.
type Clients struct {
	site     *harness.Site
	rec      *harness.Record
	balancer *loadBalancer
	wg       sync.WaitGroup
	ids      atomic.Uint64
	seed     uint64
	runs     uint64 // added to the seed

	sent, served, open atomic.Int64
}

// NewClients makes the clients of a site.
func NewClients(s *harness.Site, rec *harness.Record, gateways []*Gateway, seed uint64) *Clients {
	c := &Clients{site: s, rec: rec, balancer: newLoadBalancer(rec, gateways), seed: seed}
	c.ids.Store(seed << 32)
	return c
}

// Run asks until the context ends, then waits for all that is out.
func (c *Clients) Run(ctx context.Context) {
	// What is out when the asking ends still has its time.
	tries, cancel := context.WithCancel(context.Background())
	// Clients that are run once more ask for other things: the same keys again, after their time,
	// would be other effects.
	seed := c.seed + c.runs
	c.runs += 1 << 32
	for i := range c.site.Customers {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.runCustomer(ctx, tries, seed, i)
		}()
	}
	c.wg.Wait()
	cancel()
	c.balancer.close()
}

// runCustomer sends one customer's requests.
func (c *Clients) runCustomer(ctx, tries context.Context, seed uint64, number int) {
	traffic := c.site.Traffic(seed, number)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(traffic.Pause()):
		}
		t, r := traffic.Request(c.rec.Now())
		c.wg.Add(1)
		c.sent.Add(1)
		c.open.Add(1)
		go func() {
			defer c.wg.Done()
			defer c.open.Add(-1)
			c.request(tries, &c.site.Customers[number], t, r)
		}()
	}
}

// request sends a request until it is served or the client gives up.
func (c *Clients) request(
	ctx context.Context, who *harness.Customer, first harness.Try, r *rand.Rand,
) {
	wait, abandonAfter := c.site.ClientTimeout(first.Class, r), c.site.AbandonDelay(r)
	last := -1
	for n := 0; n <= c.site.Retries; n++ {
		t := first
		t.ID, t.Wait = harness.Hex16(c.ids.Add(1)), wait
		if n == 0 {
			first.First, first.Gateway = t.ID, 0
			t.First = t.ID
		} else {
			t.RequestedAt = 0
		}
		t.Gateway = c.site.PickGateway(who, last, c.rec.Now(), c.balancer.up, r)
		last = t.Gateway
		c.balancer.send(ctx, c.site, who, &t, abandonAfter)
		c.rec.AddTry(t)
		if t.Kind == harness.Served {
			c.served.Add(1)
			return
		}
		if t.Kind == harness.ClientLeft {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(harness.Backoff(n, t.RetryAfter, r)):
		}
	}
}
