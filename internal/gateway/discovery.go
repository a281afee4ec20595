package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"mothcleat/decide"
)

// memberList is the list of members, or what changed of it, in discovery's form.
type memberList struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

func (m *member) state() decide.State {
	switch m.Phase {
	case "Ready":
		if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
			return decide.Draining // there is no way to it
		}
		return decide.Ready
	case "Gone":
		return decide.Left
	}
	return decide.Draining // a phase not known is none to send to
}

const (
	watchWait  = 2 * time.Second        // short: a watch that hangs hides all news until it is given up
	watchSlack = time.Second            // for an answer after the wait is over
	listWait   = 2 * time.Second        // for the whole list, which comes at once
	retryAfter = 100 * time.Millisecond // after a call that failed
	tooSoon    = 50 * time.Millisecond  // for a watch that tells nothing
	mostList   = 8 << 20                // bytes
)

// stay follows no redirect: only the addresses of the configuration are called,
// and a call to the counter must not be made twice.
func stay(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

const mostHeader = 16 << 10 // bytes of an answer's header

// discovery follows the list of members.
type discovery struct {
	address string
	moved   chan string // addresses of new configurations: the last one only
	client  *http.Client
	asks    bool          // discovery tells only who asks
	start   chan struct{} // closed when the list is to be followed
	once    bool
	heard   bool     // it has told a list; the loop's
	zones   []string // by number, this gateway's own first
}

func newDiscovery(cfg *Config) *discovery {
	d := &discovery{
		address: cfg.Discovery, moved: make(chan string, 1),
		client: &http.Client{CheckRedirect: stay, Transport: &http.Transport{
			MaxConnsPerHost: 1, MaxIdleConns: 1, DisableCompression: true, MaxResponseHeaderBytes: mostHeader,
		}},
		asks: cfg.Settings.AskMembers, start: make(chan struct{}), zones: cfg.Host.Zones,
	}
	if !d.asks {
		d.follow()
	}
	return d
}

// follow has the list followed from now on.
func (d *discovery) follow() {
	if !d.once {
		d.once = true
		close(d.start)
	}
}

// zone gives a zone's number.
func (d *discovery) zone(name string) int {
	if i := slices.Index(d.zones, name); i >= 0 {
		return i
	}
	d.zones = append(d.zones, name)
	return len(d.zones) - 1
}

// news is what discovery has told.
type news struct {
	kind decide.News
	list memberList
}

func (n news) handle(l *Loop) {
	if n.kind == decide.Unheard {
		l.module.Members(l.now(), n.kind, nil)
		return
	}
	l.discovery.heard = true
	l.backends.members(l, n.kind, n.list.Members)
	l.ready()
}

// move has the list followed at another address. Only the loop calls it.
func (d *discovery) move(address string) {
	select {
	case <-d.moved: // a newer configuration came before this one was acted on
	default:
	}
	d.moved <- address
}

// run follows the list, at another address as soon as there is one: a watch that
// is under way at the old one ends, and its news come before any of the new one.
func (d *discovery) run(ctx context.Context, l *Loop) {
	select {
	case <-d.start:
	case <-ctx.Done():
		return
	}
	for address := d.address; ctx.Err() == nil; {
		watching, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			d.watch(watching, l, "http://"+address+"/catalog/members")
		}()
		select {
		case address = <-d.moved:
		case <-ctx.Done():
		}
		cancel()
		<-ended
		d.client.CloseIdleConnections()
	}
}

// watch watches for changes; at first and after a break it takes the whole list.
func (d *discovery) watch(ctx context.Context, l *Loop, url string) {
	version := ""
	pause := func(wait time.Duration) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	tell := func(n news) {
		select {
		case l.urgents <- n:
		case <-ctx.Done():
		}
	}
	for ctx.Err() == nil {
		called := time.Now()
		list, err := d.get(ctx, url, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			version = ""
			l.log.Warn("discovery", "error", err)
			if d.asks {
				tell(news{kind: decide.Unheard})
			}
			pause(retryAfter)
			continue
		}
		if version != "" && len(list.Members) == 0 && time.Since(called) < tooSoon {
			pause(tooSoon) // a watch that does not wait must not become a busy loop
		}
		version = fmt.Sprint(list.Revision)
		kind := decide.Changed
		if list.Complete {
			kind = decide.Whole
		}
		tell(news{kind, list})
	}
}

// sentOnce has a call end where the transport would send it once more: it does so
// by itself for a GET on a kept connection that broke. What answers then may be
// another process, to which the version of the old one means nothing.
func sentOnce(cancel func()) *httptrace.ClientTrace {
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

// get makes one call: a watch from a version on, or one for the whole list.
func (d *discovery) get(ctx context.Context, url, version string) (list memberList, err error) {
	wait := listWait
	if version != "" {
		url += fmt.Sprintf("?index=%s&wait=%d", version, watchWait.Milliseconds())
		wait = watchWait + watchSlack
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, sentOnce(cancel))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, fmt.Errorf("discovery call: %w", err)
	}
	res, err := d.client.Do(req)
	if err != nil {
		return list, fmt.Errorf("discovery call: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery call: status %s", res.Status)
	}
	// A list that is cut or has no end must not pass for a short one.
	if err := json.NewDecoder(io.LimitReader(res.Body, mostList)).Decode(&list); err != nil {
		return list, fmt.Errorf("discovery list: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 64)) // so that the connection is kept
	return list, nil
}
