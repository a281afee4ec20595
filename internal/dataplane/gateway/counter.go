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
	counterConns       = 4  // connections, each with its own share of the names
	counterQueueLength = 64 // calls that wait on one
)

// counterClient calls the central counter. Calls for one name go out in order, as the
// module takes their totals in order.
type counterClient struct {
	url     string
	client  *http.Client
	timeout time.Duration
	queues  [counterConns]chan counterCall
	enabled bool
}

type counterCall struct {
	url      string // of the counter, when the call was made
	name     uint64
	add      float64
	ttl      policy.Time
	deadline time.Time
}

func newCounter(cfg *Config) *counterClient {
	c := &counterClient{
		url:     counterURL(cfg.Counter),
		timeout: time.Duration(cfg.Host.CounterTimeout) * time.Microsecond,
		enabled: cfg.Settings.Counter && cfg.Counter != "",
		client: &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
			MaxConnsPerHost: counterConns, MaxIdleConnsPerHost: counterConns,
			IdleConnTimeout: 4 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		}},
	}
	for i := range c.queues {
		c.queues[i] = make(chan counterCall, counterQueueLength)
	}
	return c
}

func counterURL(address string) string { return "http://" + address + "/v1/count/" }

// setAddress has calls made at another address from now on. Those under way end where
// they were begun: each has its one answer.
func (c *counterClient) setAddress(address string) {
	c.url = counterURL(address)
	c.client.CloseIdleConnections()
}

// add has a call made. Its one answer comes as an event.
func (c *counterClient) add(l *Loop, name uint64, add float64, life policy.Time) {
	call := counterCall{c.url, name, add, life, time.Now().Add(c.timeout)}
	if c.enabled {
		select {
		case c.queues[name%counterConns] <- call:
			return
		default:
		}
	}
	l.enqueue(counterReplied{name: name, result: policy.Rejected})
}

// runQueue makes the calls of one line, one after another.
func (c *counterClient) runQueue(ctx context.Context, l *Loop, line <-chan counterCall) {
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-line:
			total, result := c.call(ctx, call)
			l.post(counterReplied{call.name, result, total})
		}
	}
}

// counterReplied is how a call ended.
type counterReplied struct {
	name   uint64
	result policy.Result
	total  float64
}

func (e counterReplied) handle(l *Loop) {
	l.balancer.ReceiveCounterTotal(l.now(), e.name, e.result, e.total)
}

// call makes one call. Full and ConnectFailed tell that nothing was added; with
// TimedOut and Reset it may have been, or may yet be.
func (c *counterClient) call(ctx context.Context, call counterCall) (float64, policy.Result) {
	ctx, cancel := context.WithDeadline(ctx, call.deadline)
	defer cancel()
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	})
	url := call.url + strconv.FormatUint(call.name, 16) +
		fmt.Sprintf("?add=%s&ttl_ms=%d", strconv.FormatFloat(call.add, 'f', -1, 64), max(1, call.ttl/1000))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return 0, policy.ConnectFailed
	}
	var body []byte
	res, err := c.client.Do(req)
	if err == nil {
		defer res.Body.Close()
		body, err = io.ReadAll(io.LimitReader(res.Body, 256))
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
		// The amount was added, but nothing more on this connection can be believed.
		c.client.CloseIdleConnections()
		return 0, policy.Failed
	}
	return total, policy.OK
}
