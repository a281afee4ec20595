package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Counter is the stand-in for the central counter: named totals, each of which expires when the TTL
// that its first call set has passed.
type Counter struct {
	Address string
	server  *http.Server

	mu    sync.Mutex
	rand  *rand.Rand
	names map[string]*count
	down  bool
	calls int
}

type count struct {
	total float64
	until time.Time
}

// NewCounter starts a counter on a free loopback port.
func NewCounter(seed uint64) (*Counter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("counter: %w", err)
	}
	c := &Counter{
		Address: l.Addr().String(),
		names:   map[string]*count{},
		rand:    rand.New(rand.NewPCG(seed, 0xc0)),
	}
	c.server = &http.Server{
		Handler:           c,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       10 * time.Second,
	}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// Close stops the counter's server.
func (c *Counter) Close() { _ = c.server.Close() }

// Forget deletes a random part of the totals; part is the probability for each.
func (c *Counter) Forget(part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.names {
		if c.rand.Float64() < part {
			delete(c.names, name)
		}
	}
}

// SetDown makes the counter reject all calls with status 503, or accept them again.
func (c *Counter) SetDown(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = on
}

// Calls returns the number of calls that were counted so far.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *Counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := strings.CutPrefix(r.URL.EscapedPath(), "/v1/count/")
	if !ok || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	add, err := strconv.ParseFloat(r.URL.Query().Get("add"), 64)
	ttl, err2 := strconv.Atoi(r.URL.Query().Get("ttl_ms"))
	if err != nil || err2 != nil || ttl < 1 || !(add >= -1e9 && add <= 1e9) || name == "" ||
		len(name) > 64 {
		http.Error(w, "bad call", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		http.Error(w, "turned away", http.StatusServiceUnavailable)
		return
	}
	now := time.Now()
	n := c.names[name]
	if n == nil || now.After(n.until) {
		n = &count{until: now.Add(time.Duration(min(ttl, 60000)) * time.Millisecond)}
		c.names[name] = n
	}
	n.total += add
	c.calls++
	fmt.Fprint(w, strconv.FormatFloat(n.total, 'g', 7, 64))
}
