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
	watchResponseSlack = time.Second           // for an answer after the watch's wait is over
	listTimeout        = 2 * time.Second       // for the complete list, which comes at once
	dialTimeout        = 2 * time.Second       // a dial outlives the call that it was made for
	minWatchDuration   = 50 * time.Millisecond // for a watch without changes
	maxListBytes       = 8 << 20
	maxConcurrentCalls = 8
	maxHeaderBytes     = 16 << 10

	// What follows a list, such as a line break, is read up to this so that the connection can
	// be used again.
	maxTrailingBytes = 64
)

// Errors of calls.
var (
	// errRejected says that discovery has no capacity for a call. Earlier answers still hold.
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
		// Only the addresses of the configuration are called.
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

// cancelOnResend cancels a call where the transport would send it once more, as it does with a GET
// when a reused connection breaks. The answer might come from another process, to which the version
// of the first one means nothing.
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

// request makes one call: a watch from a version on, which may wait, or one for the complete list.
// It returns errRejected, errConnectionBroken, errAbandoned or context.DeadlineExceeded, wrapped,
// for what these say.
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
	// A list that is cut off or has no end must not pass for a short one.
	err = json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&list)
	if err != nil {
		return list, fmt.Errorf("discovery list: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxTrailingBytes))
	return list, nil
}
