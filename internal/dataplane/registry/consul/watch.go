package consul

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"mothcleat/internal/dataplane/membership"
)

const (
	answerTimeoutSlack = time.Second            // time for the answer after the wait is over
	minRetryDelay      = 100 * time.Millisecond // doubled with each failure in a row
	maxRetryDelay      = 3 * time.Second
	minCallInterval    = 100 * time.Millisecond // between the starts of two calls without changes
	maxStaleness       = 10 * time.Second       // of a follower's answer
	maxErrorBodyBytes  = 200
)

// Errors of calls.
var (
	errStatus   = errors.New("call: status")
	errNoLeader = errors.New("call: the agent knows no leader")
	errStale    = errors.New("call: the follower's answer is too old")
)

// viewUpdate is a list that a watch has read.
type viewUpdate struct {
	list       membership.List
	generation int // of the watch group when the watch was started
}

// watchGroup runs the watches of all views. It is not safe for concurrent use.
type watchGroup struct {
	source     *Source
	updates    chan viewUpdate
	generation int // number of calls of start
	cancel     context.CancelFunc
	running    int
	ended      chan struct{}
}

// start starts a watch for each view.
func (w *watchGroup) start(ctx context.Context, agents []string) {
	views := []membership.View{membership.HealthView}
	if w.source.settings.WatchCatalog {
		views = append(views, membership.CatalogView)
	}
	w.generation++
	watching, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	w.running = len(views)
	w.ended = make(chan struct{}, len(views))
	ended := w.ended
	for _, view := range views {
		go func(generation int) {
			w.source.watch(watching, view, agents, generation, w.updates)
			ended <- struct{}{}
		}(w.generation)
	}
}

// stop cancels the watches and waits until they have ended.
func (w *watchGroup) stop() {
	w.cancel()
	for range w.running {
		<-w.ended
	}
	w.source.client.CloseIdleConnections()
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// watch reads one view repeatedly until the context ends. After a failure it continues with the
// next agent.
func (s *Source) watch(
	ctx context.Context, view membership.View, agents []string, generation int,
	updates chan<- viewUpdate,
) {
	var index uint64
	retryDelay := minRetryDelay
	current := rand.IntN(len(agents))
	for ctx.Err() == nil {
		called := time.Now()
		instances, header, err := s.fetch(ctx, view, agents[current], index)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.log.Warn("register", "agent", agents[current], "error", err)
			// Another agent uses the same indexes, but may be behind this one. Without an
			// index it answers at once with its current list.
			index = 0
			current = (current + 1) % len(agents)
			sleep(ctx, retryDelay/2+rand.N(retryDelay/2+1))
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
		list := membership.List{View: view, Index: header.index, Instances: instances}
		select {
		case updates <- viewUpdate{list, generation}:
		case <-ctx.Done():
			return
		}
		unchanged := header.index == index
		index = nextIndex(index, header.index)
		spent := time.Since(called)
		if spent < minCallInterval && (unchanged || index == 0) {
			sleep(ctx, minCallInterval-spent) // the agent does not wait for changes
		}
	}
}

// nextIndex returns the index for the next call. If the index has decreased, it returns 0, which
// requests an immediate answer. Otherwise it returns the index of the answer, but at least 1,
// because a blocking call needs an index above 0.
func nextIndex(index, answered uint64) uint64 {
	if answered < index {
		return 0
	}
	return max(1, answered)
}

// fetch makes one call: a blocking call that waits for changes after an index, or, for index 0, a
// call that is answered at once.
func (s *Source) fetch(
	ctx context.Context, view membership.View, agent string, index uint64,
) ([]membership.Instance, answerHeader, error) {
	// Consul adds up to a sixteenth to the wait.
	timeout := s.settings.Wait + s.settings.Wait/16 + answerTimeoutSlack
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url(view, agent, index), nil)
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
		text, _ := io.ReadAll(io.LimitReader(res.Body, maxErrorBodyBytes))
		return nil, answerHeader{}, fmt.Errorf("%w %s: %.200q", errStatus, res.Status, text)
	}
	header, err := parseHeader(res.Header)
	switch {
	case err != nil:
		return nil, header, fmt.Errorf("call: %w", err)
	case !header.leader && s.settings.Consistency != "stale":
		return nil, header, errNoLeader
	case header.lastContact > maxStaleness:
		return nil, header, fmt.Errorf("%w: %v", errStale, header.lastContact)
	}
	var list []membership.Instance
	if view == membership.CatalogView {
		list, err = decodeCatalog(res.Body)
	} else {
		list, err = decodeHealth(res.Body)
	}
	return list, header, err
}

// url returns the URL of a call.
func (s *Source) url(view membership.View, agent string, index uint64) string {
	query := url.Values{}
	if index > 0 {
		query.Set("index", fmt.Sprint(index))
		query.Set("wait", fmt.Sprintf("%dms", s.settings.Wait.Milliseconds()))
	}
	parameters := map[string]string{
		"dc":     s.settings.Datacenter,
		"ns":     s.settings.Namespace,
		"filter": s.settings.Filter,
	}
	for name, value := range parameters {
		if value != "" {
			query.Set(name, value)
		}
	}
	if s.settings.Consistency != "" {
		query.Set(s.settings.Consistency, "")
	}
	path := "/v1/health/service/"
	if view == membership.CatalogView {
		path = "/v1/catalog/service/"
	}
	scheme := "http"
	if s.settings.TLS {
		scheme = "https"
	}
	u := url.URL{
		Scheme:   scheme,
		Host:     agent,
		Path:     path + s.settings.Service,
		RawQuery: query.Encode(),
	}
	return u.String()
}
