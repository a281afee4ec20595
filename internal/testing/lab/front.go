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

// loadBalancer distributes requests among the gateways. It reuses connections and opens more when all
// are busy. It notices only after some seconds that a gateway is down, and uses the gateway again
// once that answers PING.
type loadBalancer struct {
	gateways []*Gateway
	rec      *harness.Record
	entries  []*entryPoint
	wg       sync.WaitGroup // goroutines that poll gateways that are down
}

// entryPoint is the load balancer's view of one gateway.
type entryPoint struct {
	mu      sync.Mutex
	idle    []*clientConn
	down    bool
	drained bool      // being drained: it gets no requests except on connections that stay open
	failing time.Time // since when connections fail; zero: they do not
	notice  time.Duration
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	used bool
}

// open reports whether the gateway has not closed an idle connection, which a load balancer that
// watches its connections knows. A write to a closed one would be the load balancer's fault, and
// would be answered with a reset if the process has exited since.
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

// up reports whether the load balancer sends requests to a gateway.
func (f *loadBalancer) up(g int) bool {
	e := f.entries[g]
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.down && !e.drained
}

// setDrained records that a gateway is being drained, or no longer.
func (f *loadBalancer) setDrained(g int, on bool) {
	e := f.entries[g]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drained = on
}

// open returns the number of idle connections to a gateway that the gateway has not closed.
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

// refused records that a connection to a gateway failed. The gateway counts as down after a delay, and
// from then on the load balancer polls it until it answers.
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

// acquire returns an idle connection to a gateway, or opens one.
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
			c.Close() // closed before this request, so it has not carried the request
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

// connections is a source of connections, to which they are returned after use.
type connections interface {
	acquire(gateway int, newConnection bool) (*clientConn, error)
	keep(gateway int, c *clientConn)
}

// send sends a try to its gateway and waits for the answer. If a reused connection
// fails, or the gateway closes any connection before an answer, send repeats the try once on a new
// connection. abandonAfter is how long after the
// request an impatient client closes the connection; 0: the client waits.
func (f *loadBalancer) send(
	ctx context.Context,
	s *harness.Site,
	c *harness.Customer,
	t *harness.Try,
	abandonAfter time.Duration,
) {
	f.sendOn(ctx, f, s, c, t, abandonAfter)
}

// sendOn does the same as send, on connections from conns.
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
			return // keeps the outcome of the previous connection
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
	if in.Buffered() > 0 { // nothing else was requested
		t.Answers++
	}
	return nil
}

// Clients sends the requests of a site's customers at their rate, whatever the answers are, and
// retries failed requests through another gateway.
type Clients struct {
	site     *harness.Site
	rec      *harness.Record
	balancer *loadBalancer
	wg       sync.WaitGroup
	ids      atomic.Uint64
	seed     uint64
	runs     uint64 // offset of the seed: 1<<32 times the number of runs

	sent, served, open atomic.Int64
}

// NewClients returns the clients of a site, which send nothing before Run.
func NewClients(s *harness.Site, rec *harness.Record, gateways []*Gateway, seed uint64) *Clients {
	c := &Clients{site: s, rec: rec, balancer: newLoadBalancer(rec, gateways), seed: seed}
	c.ids.Store(seed << 32)
	return c
}

// Run sends requests until the context ends, then waits for all open requests.
func (c *Clients) Run(ctx context.Context) {
	// Requests that are open when the context ends still have all their time.
	tries, cancel := context.WithCancel(context.Background())
	// A repeated run has to use other keys: the same keys, after their deduplication window, would
	// count as further effects.
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
