package forwardauth

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mothcleat/internal/dataplane/authz"
)

const (
	maxBodyBytes      = 4 << 10 // bodies up to this are read, so that the connection is reusable
	maxCacheAge       = 24 * time.Hour
	minRetryAfter     = time.Millisecond
	maxRetryAfter     = time.Hour
	defaultRetryAfter = time.Second // for a 429 without a valid Retry-After
)

// Client sends questions to one authenticator. It is safe for concurrent use.
type Client struct {
	url     string
	header  http.Header // sent with each call
	http    *http.Client
	timeout time.Duration
	tokens  map[string]*Credential // by customer
}

// NewClient creates a client. It reads the files that the settings name. Its error names the
// invalid setting and never contains a secret.
func NewClient(s Settings) (*Client, error) {
	u, err := s.parseURL()
	if err != nil {
		return nil, err
	}
	c := &Client{url: s.URL, timeout: s.Timeout}
	if c.header, err = s.header(); err != nil {
		return nil, err
	}
	if s.TokensFile != "" {
		if c.tokens, err = readTokens(s.TokensFile); err != nil {
			return nil, err
		}
	}
	transport, err := s.newTransport(u.Scheme == "https")
	if err != nil {
		return nil, err
	}
	c.http = &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return c, nil
}

// Close closes idle connections. Calls in progress continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Authorize makes one call and returns its result. It returns no error, because an error's text
// might contain a token.
func (c *Client) Authorize(ctx context.Context, q *Question) authz.Answer {
	unknown := authz.Answer{Verdict: authz.Unknown, MaxAge: -1}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return unknown
	}
	q.setHeaders(req.Header)
	for name, values := range c.header {
		req.Header[name] = values
	}
	res, err := c.http.Do(req)
	if err != nil {
		return unknown
	}
	defer res.Body.Close()
	// The status and the headers alone make the verdict, so a slow or endless body delays nothing.
	answer := parseAnswer(res.StatusCode, res.Header, time.Now())
	if res.ContentLength >= 0 && res.ContentLength <= maxBodyBytes {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxBodyBytes))
	}
	return answer
}

// parseAnswer derives an answer from a response's status and headers.
func parseAnswer(status int, h http.Header, now time.Time) authz.Answer {
	switch {
	case status >= 200 && status < 300:
		return authz.Answer{Verdict: authz.Allow, MaxAge: maxAge(h)}
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return authz.Answer{Verdict: authz.Deny, MaxAge: maxAge(h)}
	case status == http.StatusTooManyRequests:
		after := retryAfter(h, now).Microseconds()
		return authz.Answer{Verdict: authz.RetryLater, MaxAge: -1, RetryAfter: after}
	}
	return authz.Answer{Verdict: authz.Unknown, MaxAge: -1}
}

// maxAge returns how long an answer may be cached, in microseconds, or -1 if the headers do
// not specify it.
func maxAge(h http.Header) authz.Time {
	age := authz.Time(-1)
	for _, line := range h.Values("Cache-Control") {
		for directive := range strings.SplitSeq(line, ",") {
			directive = strings.ToLower(strings.TrimSpace(directive))
			name, value, _ := strings.Cut(directive, "=")
			switch name {
			case "no-store", "no-cache":
				return 0
			case "max-age":
				seconds, err := strconv.ParseInt(strings.Trim(value, `"`), 10, 64)
				if err != nil || seconds < 0 {
					return 0 // a malformed max-age allows no caching
				}
				seconds = min(seconds, int64(maxCacheAge/time.Second))
				if age < 0 || seconds*1e6 < age {
					age = seconds * 1e6
				}
			}
		}
	}
	return age
}

// retryAfter returns the delay after which the client may retry.
func retryAfter(h http.Header, now time.Time) time.Duration {
	value := strings.TrimSpace(h.Get("Retry-After"))
	after := defaultRetryAfter
	if seconds, err := strconv.ParseInt(value, 10, 64); err == nil {
		seconds = min(max(seconds, 0), int64(maxRetryAfter/time.Second))
		after = time.Duration(seconds) * time.Second
	} else if at, err := http.ParseTime(value); err == nil {
		after = at.Sub(now)
	}
	return min(max(after, minRetryAfter), maxRetryAfter)
}
