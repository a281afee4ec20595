// Package consul follows a service in Consul's catalogue and health API, by blocking
// queries, as a registry.Source.
package consul

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"mothcleat/internal/dataplane/membership"
	"mothcleat/internal/dataplane/registry"
)

// Settings say where the service is and how it is read.
type Settings struct {
	Agents       []string // HOST:PORT, tried in turn
	TLS          bool
	CAFile       string // PEM; "": the system's authorities
	TokenFile    string // an ACL token in one line; "": none
	Service      string
	Datacenter   string
	Namespace    string
	Filter       string // an expression as Consul's filter parameter takes it
	Consistency  string // "": the default consistency, "stale" or "consistent"
	Wait         time.Duration
	WatchCatalog bool // the catalogue is followed besides
	Membership   membership.Settings
}

const (
	answerTimeoutSlack = time.Second            // for an answer after the wait is over
	minRetryDelay      = 100 * time.Millisecond // after a call that failed,
	maxRetryDelay      = 3 * time.Second        // and at most
	minCallInterval    = 100 * time.Millisecond // the least time between two calls that tell nothing new
	maxStaleness       = 10 * time.Second       // a follower's word that is older is none
	maxHeaderBytes     = 16 << 10
	tickInterval       = time.Second
)

// Source follows one service. It implements registry.Source.
type Source struct {
	settings Settings
	token    string
	client   *http.Client
	table    *membership.Table
	log      *slog.Logger
	moved    chan []string
	now      func() membership.Time
}

// New makes a source. It reads the files that the settings name; an error tells
// which setting can't be used, and never what a token is.
func New(set Settings, log *slog.Logger) (*Source, error) {
	switch {
	case len(set.Agents) == 0:
		return nil, errors.New("register.agents: none")
	case set.Service == "":
		return nil, errors.New("register.service: missing")
	case set.Consistency != "" && set.Consistency != "stale" && set.Consistency != "consistent":
		return nil, fmt.Errorf("register.mode: %q: default, stale or consistent wanted", set.Consistency)
	case set.Wait < 100*time.Millisecond || set.Wait > 10*time.Minute:
		return nil, fmt.Errorf("register.wait: %v: from 100ms to 10m wanted", set.Wait)
	}
	for _, a := range set.Agents {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return nil, fmt.Errorf("register.agents: %w", err)
		}
	}
	table, err := membership.New(set.Membership)
	if err != nil {
		return nil, err
	}
	s := &Source{settings: set, table: table, log: log, moved: make(chan []string, 1),
		now: func() membership.Time { return time.Now().UnixMicro() }}
	if set.TokenFile != "" {
		raw, err := os.ReadFile(set.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("register.token_file: %w", err)
		}
		s.token = strings.TrimSpace(string(raw))
		if s.token == "" || strings.ContainsAny(s.token, " \t\r\n") {
			return nil, errors.New("register.token_file: no token in one line")
		}
	}
	transport := &http.Transport{Proxy: nil, MaxConnsPerHost: 2, MaxIdleConnsPerHost: 2, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, TLSHandshakeTimeout: 2 * time.Second}
	if set.CAFile != "" {
		pem, err := os.ReadFile(set.CAFile)
		if err != nil {
			return nil, fmt.Errorf("register.ca_file: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.New("register.ca_file: no certificate in it")
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	s.client = &http.Client{Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	return s, nil
}

// Check makes one call that does not wait, to each agent in turn until one answers, and
// tells how many instances there are.
func (s *Source) Check(ctx context.Context) (n int, err error) {
	for _, agent := range s.settings.Agents {
		list, _, e := s.fetch(ctx, membership.HealthView, agent, 0)
		if e == nil {
			return len(list), nil
		}
		err = fmt.Errorf("register: agent %s: %w", agent, e)
	}
	return 0, err
}

// Follow does nothing: Consul answers whoever asks.
func (s *Source) Follow() {}

// Move has the service followed at other agents, HOST:PORT with commas between.
func (s *Source) Move(agents string) {
	select {
	case <-s.moved:
	default:
	}
	s.moved <- strings.Split(agents, ",")
}

// viewUpdate is a list that a watch has read.
type viewUpdate struct {
	list       membership.List
	generation int // of the watches that read it
}

// Run follows the service until the context ends.
func (s *Source) Run(ctx context.Context, tell func(registry.Update)) {
	answers := make(chan viewUpdate)
	life, whole := 0, true
	agents := s.settings.Agents
	begin := func() (stop func()) {
		watching, cancel := context.WithCancel(ctx)
		done := make(chan struct{}, viewCount)
		n := 1
		go func(life int, agents []string) {
			s.watch(watching, membership.HealthView, agents, life, answers)
			done <- struct{}{}
		}(life, agents)
		if s.settings.WatchCatalog {
			n++
			go func(life int, agents []string) {
				s.watch(watching, membership.CatalogView, agents, life, answers)
				done <- struct{}{}
			}(life, agents)
		}
		return func() {
			cancel()
			for range n {
				<-done
			}
			s.client.CloseIdleConnections()
		}
	}
	stop := begin()
	defer func() { stop() }()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	held := false
	for {
		var changed []membership.Server
		heard := false
		select {
		case <-ctx.Done():
			return
		case agents = <-s.moved:
			stop()
			life++
			stop = begin()
			continue
		case <-tick.C:
			changed = s.table.Tick(s.now())
		case a := <-answers:
			if a.generation != life {
				continue
			}
			changed = s.table.Apply(s.now(), a.list)
			heard = a.list.View == membership.HealthView
		}
		if _, holds := s.table.Holding(); holds != held {
			if held = holds; holds {
				s.log.Warn("register: the list is empty all at once; the servers stay", "for", time.Duration(s.settings.Membership.EmptyListHold)*time.Microsecond)
			} else {
				s.log.Info("register: the list is believed again")
			}
		}
		switch {
		case whole && heard:
			whole = false
			tell(registry.Update{Kind: registry.CompleteList, Members: members(s.table.Servers())})
		case len(changed) > 0 && !whole:
			tell(registry.Update{Kind: registry.Delta, Members: members(changed)})
		}
	}
}

const viewCount = 2

// members puts servers into the platform's form.
func members(servers []membership.Server) []registry.Member {
	list := make([]registry.Member, 0, len(servers))
	for _, s := range servers {
		phase := [...]string{registry.Ready, registry.Terminating, registry.Gone}[s.Phase]
		list = append(list, registry.Member{ID: s.Name, HostPort: s.Address, Locality: s.Zone, Cell: s.Cell, Phase: phase, Size: s.Size,
			UpSince: s.Started / 1000})
	}
	return list
}

// watch reads one view over and over. An agent that fails makes room for the next.
func (s *Source) watch(ctx context.Context, view membership.View, agents []string, life int, to chan<- viewUpdate) {
	var index uint64
	retry, at := minRetryDelay, rand.IntN(len(agents))
	pause := func(wait time.Duration) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	for ctx.Err() == nil {
		called := time.Now()
		l, h, err := s.fetch(ctx, view, agents[at], index)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.log.Warn("register", "agent", agents[at], "error", err)
			// Another agent counts as this one does, but may be behind it: without an
			// index it answers at once with what it has.
			index, at = 0, (at+1)%len(agents)
			pause(retry/2 + rand.N(retry/2+1))
			retry = min(2*retry, maxRetryDelay)
			continue
		}
		retry = minRetryDelay
		select {
		case to <- viewUpdate{membership.List{View: view, Index: h.index, Instances: l}, life}:
		case <-ctx.Done():
			return
		}
		same := h.index == index
		switch {
		case h.index < index: // it has gone back: begin anew
			index = 0
		default:
			index = max(1, h.index) // never 0 in a blocking call
		}
		if spent := time.Since(called); spent < minCallInterval && (same || index == 0) {
			pause(minCallInterval - spent) // an agent that answers at once for ever
		}
	}
}

// fetch makes one call: a blocking one from an index on, or one that answers at once.
func (s *Source) fetch(ctx context.Context, view membership.View, agent string, index uint64) ([]membership.Instance, answerHeader, error) {
	q := url.Values{}
	if index > 0 {
		q.Set("index", fmt.Sprint(index))
		q.Set("wait", fmt.Sprintf("%dms", s.settings.Wait.Milliseconds()))
	}
	for name, value := range map[string]string{"dc": s.settings.Datacenter, "ns": s.settings.Namespace, "filter": s.settings.Filter} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if s.settings.Consistency != "" {
		q.Set(s.settings.Consistency, "")
	}
	path, scheme := "/v1/health/service/", "http"
	if view == membership.CatalogView {
		path = "/v1/catalog/service/"
	}
	if s.settings.TLS {
		scheme = "https"
	}
	// Consul adds up to a sixteenth to the wait.
	limit := s.settings.Wait + s.settings.Wait/16 + answerTimeoutSlack
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	u := url.URL{Scheme: scheme, Host: agent, Path: path + s.settings.Service, RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, answerHeader{}, fmt.Errorf("call: %w", err)
	}
	if s.token != "" {
		req.Header.Set("X-Consul-Token", s.token)
	}
	res, err := s.client.Do(req)
	if err != nil {
		return nil, answerHeader{}, fmt.Errorf("call: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 200))
		return nil, answerHeader{}, fmt.Errorf("call: status %s: %.200q", res.Status, text)
	}
	h, err := parseHeader(res.Header)
	switch {
	case err != nil:
		return nil, h, fmt.Errorf("call: %w", err)
	case !h.leader && s.settings.Consistency != "stale":
		return nil, h, errors.New("call: the agent knows no leader")
	case h.lastContact > maxStaleness:
		return nil, h, fmt.Errorf("call: a follower's word, %v old", h.lastContact)
	}
	var list []membership.Instance
	if view == membership.CatalogView {
		list, err = decodeCatalog(res.Body)
	} else {
		list, err = decodeHealth(res.Body)
	}
	return list, h, err
}
