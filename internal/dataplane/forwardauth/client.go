// Package forwardauth asks an HTTP authenticator whether a request may go on, in
// the way that reverse proxies ask: a GET with X-Forwarded headers, answered 2xx
// to allow, 401 or 403 to deny, 429 with Retry-After to have it come back later. All
// else, and no answer, is no verdict.
//
// Client makes the calls; it may be used by several goroutines. Step joins it to
// the decisions of package authz on the goroutine of its host.
package forwardauth

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"mothcleat/internal/dataplane/authz"
)

const (
	maxHeaderBytes    = 16 << 10 // bytes of an answer's header
	maxBodyBytes      = 4 << 10  // bytes of its body that are read so that the connection is kept
	maxRetryAfter     = time.Hour
	defaultRetryAfter = time.Second // where a 429 does not say when
)

// Settings say whom to ask, and how. The zero value asks nobody.
type Settings struct {
	URL        string            // "": off
	Headers    map[string]string // sent with each call
	SecretName string            // the header that carries what SecretFile holds
	SecretFile string
	TokensFile string        // lines of a customer and its token; "": none
	CAFile     string        // PEM; "": the system's authorities
	Timeout    time.Duration // of a call
	MaxConns   int           // connections
}

// Client asks one authenticator.
type Client struct {
	url     string
	header  http.Header
	http    *http.Client
	timeout time.Duration
	tokens  map[string]*Credential // by customer
}

// NewClient makes a client. It reads the files that the settings name; an error
// tells which setting can't be used, and never what a secret is.
func NewClient(s Settings) (*Client, error) {
	u, err := url.Parse(s.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, errors.New("auth.url: http://HOST:PORT/PATH or https://… wanted")
	}
	if u.User != nil || u.Fragment != "" {
		return nil, errors.New("auth.url: holds credentials or a fragment")
	}
	c := &Client{url: s.URL, header: http.Header{}, timeout: s.Timeout}
	for name, value := range s.Headers {
		if !validHeaderName(name) || !validHeaderValue(value) || reservedHeader(name) {
			return nil, fmt.Errorf("auth.headers: %q can't be set", name)
		}
		c.header.Set(name, value)
	}
	if s.SecretFile != "" {
		raw, err := os.ReadFile(s.SecretFile)
		if err != nil {
			return nil, fmt.Errorf("auth.secret_file: %w", err)
		}
		secret := strings.TrimSpace(string(raw))
		if secret == "" || !validHeaderValue(secret) || !validHeaderName(s.SecretName) || reservedHeader(s.SecretName) {
			return nil, fmt.Errorf("auth.secret_file: no secret in one line, or no header %q to put it in", s.SecretName)
		}
		c.header.Set(s.SecretName, secret)
	}
	if s.TokensFile != "" {
		if c.tokens, err = readTokens(s.TokensFile); err != nil {
			return nil, err
		}
	}
	transport := &http.Transport{
		Proxy: nil, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		MaxConnsPerHost: s.MaxConns, MaxIdleConnsPerHost: s.MaxConns, IdleConnTimeout: 30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: s.Timeout}).DialContext,
		TLSHandshakeTimeout: s.Timeout, ForceAttemptHTTP2: u.Scheme == "https",
	}
	if s.CAFile != "" {
		pem, err := os.ReadFile(s.CAFile)
		if err != nil {
			return nil, fmt.Errorf("auth.ca_file: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.New("auth.ca_file: no certificate in it")
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c.http = &http.Client{Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return c, nil
}

// readTokens reads the tokens of customers. An error names the line, never what it holds.
func readTokens(path string) (map[string]*Credential, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("auth.tokens_file: %w", err)
	}
	tokens := map[string]*Credential{}
	for i, line := range strings.Split(string(raw), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 || len(fields[0]) != 16 || tokens[fields[0]] != nil {
			return nil, fmt.Errorf("auth.tokens_file: %s:%d: a customer of 16 hex digits and its token wanted, each customer once", path, i+1)
		}
		c, err := NewCredential("", fields[1], false)
		if err != nil {
			return nil, fmt.Errorf("auth.tokens_file: %s:%d: %w", path, i+1, err)
		}
		tokens[fields[0]] = c
	}
	return tokens, nil
}

// Close ends the connections that are kept. Calls under way go on.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Credential is what a client gave with AUTH: a token, or a user with a password.
type Credential struct {
	User, Secret string
	Named        bool // there is a user
}

const maxCredentialBytes = 8 << 10 // bytes

// NewCredential checks what a client gave: it must fit a header.
func NewCredential(user, secret string, named bool) (*Credential, error) {
	switch {
	case len(user)+len(secret) > maxCredentialBytes:
		return nil, errors.New("credential: too long")
	case secret == "" || !validHeaderValue(user) || !validHeaderValue(secret) || strings.Contains(user, ":"):
		return nil, errors.New("credential: characters that no header may hold")
	}
	return &Credential{user, secret, named}, nil
}

// authorization is the header that carries it.
func (c *Credential) authorization() string {
	if c.Named {
		return "Basic " + base64.StdEncoding.EncodeToString([]byte(c.User+":"+c.Secret))
	}
	return "Bearer " + c.Secret
}

// Question is all that the authenticator is told of a request.
type Question struct {
	Credential            *Credential // nil: none was given
	Customer, Plan, Class string
	Units                 float64
	Write                 bool
	ClientAddress         string // the address of the client's connection
}

// Key is the question in short: all that a verdict may depend on but the address.
func (q *Question) Key() (k authz.Key) {
	var room [512]byte
	b := room[:0]
	part := func(text string) { // with its length: parts can't run into one another
		b = strconv.AppendInt(b, int64(len(text)), 10)
		b = append(b, ':')
		b = append(b, text...)
	}
	if c := q.Credential; c != nil {
		part(c.User)
		part(c.Secret)
		b = strconv.AppendBool(b, c.Named)
	}
	part(q.Customer)
	part(q.Plan)
	part(q.Class)
	b = strconv.AppendFloat(b, q.Units, 'g', -1, 64)
	sum := sha256.Sum256(b)
	copy(k[:], sum[:])
	return k
}

// Authorize makes one call and tells how it ended. No error text leaves it: it might
// hold a token.
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
	// A verdict is in the head: a body that drips or has no end holds nobody up.
	answer := parseAnswer(res.StatusCode, res.Header, time.Now())
	if res.ContentLength >= 0 && res.ContentLength <= maxBodyBytes {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxBodyBytes))
	}
	return answer
}

// setHeaders writes the headers that tell of a request.
func (q *Question) setHeaders(h http.Header) {
	method := http.MethodGet
	if q.Write {
		method = http.MethodPost
	}
	h.Set("X-Forwarded-Method", method)
	h.Set("X-Forwarded-Proto", "redis")
	h.Set("X-Forwarded-Host", "mothcleat")
	h.Set("X-Forwarded-Uri", "/"+url.PathEscape(q.Class))
	if host, _, err := net.SplitHostPort(q.ClientAddress); err == nil {
		h.Set("X-Forwarded-For", host)
	}
	h.Set("X-Mothcleat-Customer", q.Customer)
	h.Set("X-Mothcleat-Plan", q.Plan)
	h.Set("X-Mothcleat-Class", q.Class)
	h.Set("X-Mothcleat-Units", strconv.FormatFloat(q.Units, 'g', -1, 64))
	h.Set("User-Agent", "mothcleat")
	if q.Credential != nil {
		h.Set("Authorization", q.Credential.authorization())
	}
}

// parseAnswer reads the verdict from an answer's head.
func parseAnswer(status int, h http.Header, now time.Time) authz.Answer {
	switch {
	case status >= 200 && status < 300:
		return authz.Answer{Verdict: authz.Allow, MaxAge: maxAge(h)}
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return authz.Answer{Verdict: authz.Deny, MaxAge: maxAge(h)}
	case status == http.StatusTooManyRequests:
		return authz.Answer{Verdict: authz.RetryLater, MaxAge: -1, RetryAfter: retryAfter(h, now).Microseconds()}
	}
	return authz.Answer{Verdict: authz.Unknown, MaxAge: -1}
}

// maxAge is how long an answer may be kept; -1 where it does not say.
func maxAge(h http.Header) authz.Time {
	age := authz.Time(-1)
	for _, line := range h.Values("Cache-Control") {
		for part := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.ToLower(strings.TrimSpace(part)), "=")
			switch name {
			case "no-store", "no-cache":
				return 0
			case "max-age":
				s, err := strconv.ParseInt(strings.Trim(value, `"`), 10, 64)
				if err != nil || s < 0 {
					return 0 // what can't be read allows nothing
				}
				s = min(s, int64(24*3600))
				if age < 0 || s*1e6 < age {
					age = s * 1e6
				}
			}
		}
	}
	return age
}

// retryAfter is when to come back, at least 1 ms from now.
func retryAfter(h http.Header, now time.Time) time.Duration {
	value := strings.TrimSpace(h.Get("Retry-After"))
	after := defaultRetryAfter
	if s, err := strconv.ParseInt(value, 10, 64); err == nil {
		after = time.Duration(min(max(s, 0), int64(maxRetryAfter/time.Second))) * time.Second
	} else if at, err := http.ParseTime(value); err == nil {
		after = at.Sub(now)
	}
	return min(max(after, time.Millisecond), maxRetryAfter)
}

// validHeaderValue tells whether a text can stand in a header's value.
func validHeaderValue(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] >= 0x7f {
			return false
		}
	}
	return strings.TrimSpace(s) == s
}

// validHeaderName tells whether a text can be a header's name.
func validHeaderName(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// reservedHeader tells whether a header is the program's own to set.
func reservedHeader(name string) bool {
	switch name = http.CanonicalHeaderKey(name); name {
	case "Authorization", "Host", "Content-Length", "Transfer-Encoding", "Connection", "Upgrade", "Te", "Trailer":
		return true
	}
	return strings.HasPrefix(name, "X-Forwarded-") || strings.HasPrefix(name, "X-Mothcleat-")
}
