package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	watchResponseSlack = time.Second           // time for the answer after a watch's wait is over
	listTimeout        = 2 * time.Second       // for the complete list, which is sent at once
	dialTimeout        = 2 * time.Second       // a dial outlives the call that started it
	minWatchDuration   = 50 * time.Millisecond // for a watch that returns no changes
	maxListBytes       = 8 << 20
	maxConcurrentCalls = 8
	maxHeaderBytes     = 16 << 10

	// Data after a list, such as a line break, is read up to this limit, so that the connection
	// can be reused.
	maxTrailingBytes = 64
)

// Errors of calls to discovery.
var (
	// errRejected means that discovery has no capacity for a call. Earlier answers remain valid.
	errRejected         = errors.New("turned away")
	errConnectionBroken = errors.New("the connection broke")
	errAbandoned        = errors.New("given up")
	errStatus           = errors.New("status")
)

// client makes calls to the platform's discovery. It is safe for concurrent use.
type client struct {
	*http.Client
	dialer net.Dialer
}

func newClient() *client {
	c := &client{dialer: net.Dialer{Timeout: dialTimeout}}
	c.Client = &http.Client{
		// Redirects are not followed: only configured addresses are called.
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return c.dialer.DialContext(ctx, network, address)
			},
			MaxConnsPerHost:        maxConcurrentCalls,
			MaxIdleConns:           1,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
	return c
}

// cancelOnResend returns a trace that cancels a call when the transport is about to send it again,
// as it does for a GET when a reused connection breaks. The second answer might come from another
// process, for which the version in the call is meaningless.
func cancelOnResend(cancel func()) *httptrace.ClientTrace {
	var sent atomic.Bool
	return &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) { sent.Store(info.Err == nil) },
		GotConn: func(httptrace.GotConnInfo) {
			if sent.Load() {
				cancel()
			}
		},
	}
}

// request makes one call: a watch for changes since a version, which may last up to wait, or, if
// version is empty, a call for the complete list. Its error wraps errRejected, errConnectionBroken,
// errAbandoned, errStatus or context.DeadlineExceeded where these apply.
func (c *client) request(
	ctx context.Context, url, version string, wait time.Duration,
) (list List, err error) {
	timeout := listTimeout
	if version != "" {
		url += fmt.Sprintf("?index=%s&wait=%d", version, wait.Milliseconds())
		timeout = wait + watchResponseSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	defer func() {
		if err != nil && ctx.Err() != nil {
			err = fmt.Errorf("discovery call: %w", context.Cause(ctx))
		}
	}()
	trace := cancelOnResend(func() { cancelCause(errConnectionBroken) })
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, fmt.Errorf("discovery call: %w", err)
	}
	res, err := c.Do(req)
	if err != nil {
		return list, fmt.Errorf("discovery call: %w", err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return list, fmt.Errorf("discovery call: %w", errRejected)
	default:
		return list, fmt.Errorf("discovery call: %w %s", errStatus, res.Status)
	}
	// A truncated or endless list must not be taken for a complete one.
	err = json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&list)
	if err != nil {
		return list, fmt.Errorf("discovery list: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxTrailingBytes))
	return list, nil
}
