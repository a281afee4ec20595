package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mothcleat/internal/dataplane/policy"
)

const (
	counterConns       = 4  // each handles its own share of the names
	counterQueueLength = 64 // calls waiting for one connection
	counterIdleTimeout = 4 * time.Second
	maxHeaderBytes     = 16 << 10
	maxTotalBytes      = 256 // limit on the body of a response
)

// counterClient calls the central counter. Calls for one name are made in order, because the
// balancer expects their totals in order. add and setAddress belong to the event loop; runQueue
// runs on one goroutine for each connection.
type counterClient struct {
	url     string
	client  *http.Client
	timeout time.Duration
	queues  [counterConns]chan counterCall
	enabled bool
}

type counterCall struct {
	url      string // URL of the counter when the call was added
	name     uint64
	amount   float64
	ttl      policy.Time // of a new name
	deadline time.Time
}

func newCounterClient(cfg *Config) *counterClient {
	c := &counterClient{
		url:     counterURL(cfg.Counter),
		timeout: time.Duration(cfg.Host.CounterTimeout) * time.Microsecond,
		enabled: cfg.Settings.Counter && cfg.Counter != "",
		client: &http.Client{
			CheckRedirect: noRedirect,
			Transport: &http.Transport{
				MaxConnsPerHost:        counterConns,
				MaxIdleConnsPerHost:    counterConns,
				IdleConnTimeout:        counterIdleTimeout,
				DisableCompression:     true,
				MaxResponseHeaderBytes: maxHeaderBytes,
			},
		},
	}
	for i := range c.queues {
		c.queues[i] = make(chan counterCall, counterQueueLength)
	}
	return c
}

// noRedirect makes the client follow no redirects, because a call to the counter must not be made
// twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func counterURL(address string) string { return "http://" + address + "/v1/count/" }

// setAddress changes the address for later calls. Queued and running calls still use the old
// address, because each call must have exactly one result.
func (c *counterClient) setAddress(address string) {
	c.url = counterURL(address)
	c.client.CloseIdleConnections()
}

// add queues a call that adds an amount to a name. Exactly one counterReplied follows.
func (c *counterClient) add(g *Gateway, name uint64, amount float64, ttl policy.Time) {
	call := counterCall{
		url:      c.url,
		name:     name,
		amount:   amount,
		ttl:      ttl,
		deadline: time.Now().Add(c.timeout),
	}
	if c.enabled {
		select {
		case c.queues[name%counterConns] <- call:
			return
		default:
		}
	}
	g.enqueue(counterReplied{name: name, result: policy.Rejected})
}

// runQueue makes the calls of one queue one after another until the context ends.
func (c *counterClient) runQueue(ctx context.Context, g *Gateway, queue <-chan counterCall) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-queue:
			total, result := c.call(ctx, call)
			g.post(counterReplied{call.name, result, total})
		}
	}
}

// counterReplied is the result of a call.
type counterReplied struct {
	name   uint64
	result policy.Result
	total  float64
}

func (e counterReplied) handle(g *Gateway) {
	g.balancer.ReceiveCounterTotal(g.now(), e.name, e.result, e.total)
}

// call makes one call. Rejected and ConnectFailed mean that nothing was added. With TimedOut and
// Reset the amount may have been added or may still be added.
func (c *counterClient) call(ctx context.Context, call counterCall) (float64, policy.Result) {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, call.requestURL(), nil)
	if err != nil {
		return 0, policy.ConnectFailed
	}
	var body []byte
	res, err := c.client.Do(req)
	if err == nil {
		defer res.Body.Close()
		body, err = io.ReadAll(io.LimitReader(res.Body, maxTotalBytes))
	}
	switch {
	case err != nil && !written.Load():
		return 0, policy.ConnectFailed
	case err != nil && ctx.Err() != nil:
		return 0, policy.TimedOut
	case err != nil:
		return 0, policy.Reset
	case res.StatusCode == http.StatusServiceUnavailable:
		return 0, policy.Rejected
	case res.StatusCode != http.StatusOK:
		return 0, policy.Failed
	}
	total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
	if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
		// The amount was added, but later data on this connection can't be trusted.
		c.client.CloseIdleConnections()
		return 0, policy.Failed
	}
	return total, policy.OK
}

// requestURL returns the URL that the counter's protocol prescribes. Its ttl_ms is at least 1.
func (call *counterCall) requestURL() string {
	name := strconv.FormatUint(call.name, 16)
	amount := strconv.FormatFloat(call.amount, 'f', -1, 64)
	return call.url + name + fmt.Sprintf("?add=%s&ttl_ms=%d", amount, max(1, call.ttl/1000))
}
