package consul

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"mothcleat/internal/dataplane/membership"
)

// Settings say where a service is registered and how its list is read.
type Settings struct {
	Agents       []string // HOST:PORT, tried in turn
	TLS          bool
	CAFile       string // PEM file; "": use the system's certificate authorities
	TokenFile    string // file with an ACL token on one line; "": no token
	Service      string
	Datacenter   string
	Namespace    string
	Filter       string        // expression for Consul's filter parameter
	Consistency  string        // "" (Consul's default), "stale" or "consistent"
	Wait         time.Duration // of a blocking query
	WatchCatalog bool          // watch the catalog in addition to the health view
	Membership   membership.Settings
}

const (
	minWait = 100 * time.Millisecond
	maxWait = 10 * time.Minute

	dialTimeout         = time.Second
	tlsHandshakeTimeout = 2 * time.Second
	maxConnsPerAgent    = 2
	maxHeaderBytes      = 16 << 10
)

// check returns an error for the first invalid setting, or nil.
func (s *Settings) check() error {
	switch {
	case len(s.Agents) == 0:
		return errors.New("register.agents: must name at least one agent")
	case s.Service == "":
		return errors.New("register.service: missing")
	case s.Consistency != "" && s.Consistency != "stale" && s.Consistency != "consistent":
		return fmt.Errorf("register.mode: %q: must be default, stale or consistent", s.Consistency)
	case s.Wait < minWait || s.Wait > maxWait:
		return fmt.Errorf("register.wait: %v: must be between 100ms and 10m", s.Wait)
	}
	for _, a := range s.Agents {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("register.agents: %w", err)
		}
	}
	return nil
}

// readToken reads the ACL token, or returns "" if none is configured. Its errors never contain a
// token.
func (s *Settings) readToken() (string, error) {
	if s.TokenFile == "" {
		return "", nil
	}
	raw, err := os.ReadFile(s.TokenFile)
	if err != nil {
		return "", fmt.Errorf("register.token_file: %w", err)
	}
	token := strings.TrimSpace(string(raw))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return "", errors.New("register.token_file: must contain one token on one line")
	}
	return token, nil
}

// newClient returns the HTTP client for calls to agents.
func (s *Settings) newClient() (*http.Client, error) {
	transport := &http.Transport{
		Proxy:                  nil,
		MaxConnsPerHost:        maxConnsPerAgent,
		MaxIdleConnsPerHost:    maxConnsPerAgent,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout:    tlsHandshakeTimeout,
	}
	if s.CAFile != "" {
		pem, err := os.ReadFile(s.CAFile)
		if err != nil {
			return nil, fmt.Errorf("register.ca_file: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.New("register.ca_file: contains no certificate")
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	client := &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return client, nil
}
