package forwardauth

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"
)

const (
	maxHeaderBytes = 16 << 10 // of an answer
	idleTimeout    = 30 * time.Second
	customerDigits = 16
)

// Settings say which authenticator is asked, and how. The zero value asks none.
type Settings struct {
	URL        string            // "": off
	Headers    map[string]string // sent with each call
	SecretName string            // the header that carries the content of SecretFile
	SecretFile string            // "": none
	TokensFile string            // lines of a customer and its token; "": none
	CAFile     string            // PEM; "": the system's authorities
	Timeout    time.Duration     // of a call
	MaxConns   int
}

// parseURL checks the authenticator's address.
func (s *Settings) parseURL() (*url.URL, error) {
	u, err := url.Parse(s.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, errors.New("auth.url: http://HOST:PORT/PATH or https://… wanted")
	}
	if u.User != nil || u.Fragment != "" {
		return nil, errors.New("auth.url: holds credentials or a fragment")
	}
	return u, nil
}

// header returns the headers that go with each call, the secret among them.
func (s *Settings) header() (http.Header, error) {
	header := http.Header{}
	for name, value := range s.Headers {
		if !validHeaderName(name) || !validHeaderValue(value) || reservedHeader(name) {
			return nil, fmt.Errorf("auth.headers: %q can't be set", name)
		}
		header.Set(name, value)
	}
	if s.SecretFile == "" {
		return header, nil
	}
	raw, err := os.ReadFile(s.SecretFile)
	if err != nil {
		return nil, fmt.Errorf("auth.secret_file: %w", err)
	}
	secret := strings.TrimSpace(string(raw))
	validSecret := secret != "" && validHeaderValue(secret)
	if !validSecret || !validHeaderName(s.SecretName) || reservedHeader(s.SecretName) {
		return nil, fmt.Errorf(
			"auth.secret_file: no secret in one line, or no header %q to put it in", s.SecretName)
	}
	header.Set(s.SecretName, secret)
	return header, nil
}

// newTransport makes the transport for calls.
func (s *Settings) newTransport(https bool) (*http.Transport, error) {
	transport := &http.Transport{
		Proxy:                  nil,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		MaxConnsPerHost:        s.MaxConns,
		MaxIdleConnsPerHost:    s.MaxConns,
		IdleConnTimeout:        idleTimeout,
		DialContext:            (&net.Dialer{Timeout: s.Timeout}).DialContext,
		TLSHandshakeTimeout:    s.Timeout,
		ForceAttemptHTTP2:      https,
	}
	if s.CAFile == "" {
		return transport, nil
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, fmt.Errorf("auth.ca_file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("auth.ca_file: no certificate in it")
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// readTokens reads the tokens of customers. Its errors name the line, never what it holds.
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
		if len(fields) != 2 || len(fields[0]) != customerDigits || tokens[fields[0]] != nil {
			return nil, fmt.Errorf("auth.tokens_file: %s:%d: a customer of 16 hex digits "+
				"and its token wanted, each customer once", path, i+1)
		}
		c, err := NewCredential("", fields[1], false)
		if err != nil {
			return nil, fmt.Errorf("auth.tokens_file: %s:%d: %w", path, i+1, err)
		}
		tokens[fields[0]] = c
	}
	return tokens, nil
}
