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
	maxHeaderBytes = 16 << 10 // of a response
	idleTimeout    = 30 * time.Second
	customerDigits = 16
)

// Settings configure which authenticator is called, and how. The zero value
// disables authorization.
type Settings struct {
	URL        string            // "": off
	Headers    map[string]string // sent with each call
	SecretName string            // the header that carries the content of SecretFile
	SecretFile string            // "": none
	TokensFile string            // each line holds a customer and its token; "": none
	CAFile     string            // PEM; "": the system's authorities
	Timeout    time.Duration     // of a call
	MaxConns   int
}

// parseURL checks the authenticator's address.
func (s *Settings) parseURL() (*url.URL, error) {
	u, err := url.Parse(s.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, errors.New("auth.url: must be http://HOST:PORT/PATH or https://HOST:PORT/PATH")
	}
	if u.User != nil || u.Fragment != "" {
		return nil, errors.New("auth.url: must not contain credentials or a fragment")
	}
	return u, nil
}

// header returns the headers that are sent with each call, including the secret.
func (s *Settings) header() (http.Header, error) {
	header := http.Header{}
	for name, value := range s.Headers {
		if !validHeaderName(name) || !validHeaderValue(value) || reservedHeader(name) {
			return nil, fmt.Errorf(
				"auth.headers: %q is reserved, or its name or value is invalid", name)
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
			"auth.secret_file: must contain the secret in one line, and %q must be a valid header "+
				"that is not reserved", s.SecretName)
	}
	header.Set(s.SecretName, secret)
	return header, nil
}

// newTransport creates the HTTP transport for calls.
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
		return nil, errors.New("auth.ca_file: contains no certificate")
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// readTokens reads the file of customers' tokens. Its errors name a line's number, but never
// contain its text.
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
			return nil, fmt.Errorf("auth.tokens_file: %s:%d: must be a customer of 16 hex "+
				"digits and its token, and each customer may occur once", path, i+1)
		}
		c, err := NewCredential("", fields[1], false)
		if err != nil {
			return nil, fmt.Errorf("auth.tokens_file: %s:%d: %w", path, i+1, err)
		}
		tokens[fields[0]] = c
	}
	return tokens, nil
}
