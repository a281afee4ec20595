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

// Settings say where the service is registered and how it is read.
type Settings struct {
	Agents       []string // HOST:PORT, tried in turn
	TLS          bool
	CAFile       string // PEM; "": the system's authorities
	TokenFile    string // an ACL token on one line; "": none
	Service      string
	Datacenter   string
	Namespace    string
	Filter       string // an expression as Consul's filter parameter takes it
	Consistency  string // "": Consul's default, or "stale" or "consistent"
	Wait         time.Duration
	WatchCatalog bool // the catalog is watched as well
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

// check returns the first setting that can't be used; nil: there is none.
func (s *Settings) check() error {
	switch {
	case len(s.Agents) == 0:
		return errors.New("register.agents: none")
	case s.Service == "":
		return errors.New("register.service: missing")
	case s.Consistency != "" && s.Consistency != "stale" && s.Consistency != "consistent":
		return fmt.Errorf("register.mode: %q: default, stale or consistent wanted", s.Consistency)
	case s.Wait < minWait || s.Wait > maxWait:
		return fmt.Errorf("register.wait: %v: from 100ms to 10m wanted", s.Wait)
	}
	for _, a := range s.Agents {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return fmt.Errorf("register.agents: %w", err)
		}
	}
	return nil
}

// readToken reads the ACL token; "": none is configured. Its errors never hold a token.
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
		return "", errors.New("register.token_file: no token in one line")
	}
	return token, nil
}

// newClient makes the client for calls to agents.
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
			return nil, errors.New("register.ca_file: no certificate in it")
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
