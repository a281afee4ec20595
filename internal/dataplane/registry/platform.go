package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"mothcleat/internal/dataplane/membership"
)

const (
	watchResponseSlack = time.Second           // for an answer after the wait is over
	listTimeout        = 2 * time.Second       // for the whole list, which comes at once
	dialTimeout        = 2 * time.Second       // for a connection: a dial outlives the call that it was made for
	minWatchDuration   = 50 * time.Millisecond // for a watch that tells nothing
	maxListBytes       = 8 << 20               // bytes
	maxConcurrentCalls = 8                     // that are out at once
)

const maxHeaderBytes = 16 << 10 // bytes of an answer's header

// Platform is the platform's discovery: HTTP watches at one address.
type Platform struct {
	address         string
	moved           chan string // addresses of new configurations: the last one only
	client          *http.Client
	dialer          net.Dialer
	polled          bool          // discovery tells only who asks
	followed        chan struct{} // closed when the list is to be followed
	followRequested bool
	pacer           *membership.Pacer
	log             *slog.Logger
}

// NewPlatform makes a source at an address. Asks: discovery tells only who asks,
// so it is followed only after Follow. The pace is the source's own.
func NewPlatform(address string, asks bool, pace *membership.Pacer, log *slog.Logger) *Platform {
	d := &Platform{
		address: address, moved: make(chan string, 1), log: log, pacer: pace,
		dialer: net.Dialer{Timeout: dialTimeout},
		polled: asks, followed: make(chan struct{}),
	}
	d.client = &http.Client{
		// No redirect is followed: only the addresses of the configuration are called.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return d.dialer.DialContext(ctx, network, address)
			},
			MaxConnsPerHost: maxConcurrentCalls, MaxIdleConns: 1, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
	if !asks {
		d.Follow()
	}
	return d
}

// Follow has the list followed from now on.
func (d *Platform) Follow() {
	if !d.followRequested {
		d.followRequested = true
		close(d.followed)
	}
}

// Move has the list followed at another address.
func (d *Platform) Move(address string) {
	select {
	case <-d.moved: // a newer configuration came before this one was acted on
	default:
	}
	d.moved <- address
}

// Run follows the list, at another address as soon as there is one: a watch that
// is under way at the old one ends, and its news come before any of the new one.
func (d *Platform) Run(ctx context.Context, tell func(Update)) {
	select {
	case <-d.followed:
	case <-ctx.Done():
		return
	}
	for address := d.address; ctx.Err() == nil; {
		watching, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func(url string) {
			defer close(ended)
			d.watch(watching, tell, url)
		}("http://" + address + "/catalog/members")
		select {
		case address = <-d.moved:
		case <-ctx.Done():
		}
		cancel()
		<-ended
		d.client.CloseIdleConnections()
	}
}

// errRejected tells that discovery has no room for a call: what was heard of it still
// counts, and the watch can go on from there, which costs it less than a whole list.
var errRejected = errors.New("turned away")

func micros(t membership.Time) time.Duration { return time.Duration(t) * time.Microsecond }

// watch watches for changes; at first and after a break it takes the whole list.
func (d *Platform) watch(ctx context.Context, tell func(Update), url string) {
	version := ""
	pause := func(wait time.Duration) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	for ctx.Err() == nil {
		called := time.Now()
		list, err := d.fetch(ctx, url, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !errors.Is(err, errRejected) {
				version = ""
			}
			again := micros(d.pacer.Failed(errors.Is(err, errRejected), time.Since(called).Microseconds()))
			d.log.Warn("discovery", "error", err, "again_ms", again.Milliseconds())
			if d.polled {
				tell(Update{Kind: Unavailable})
			}
			pause(again)
			continue
		}
		if version != "" && len(list.Members) == 0 && time.Since(called) < minWatchDuration {
			pause(minWatchDuration) // a watch that does not wait must not become a busy loop
		}
		version = fmt.Sprint(list.Revision)
		kind := Delta
		if list.Complete {
			kind = CompleteList
		}
		tell(Update{kind, list.Members})
		if gap := d.pacer.Succeeded(); gap > 0 {
			pause(micros(gap))
		}
	}
}

// The causes of calls that end.
var (
	errConnectionBroken = errors.New("the connection broke")
	errAbandoned        = errors.New("given up")
)

// fetch makes one call, and as long as it is silent further ones for the whole list beside it: a discovery that was
// down, or lost a call, may answer only calls that are made later, and at once. The first answer counts.
func (d *Platform) fetch(ctx context.Context, url, version string) (List, error) {
	type answer struct {
		list List
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer)
	var out []context.CancelCauseFunc // oldest first
	call := func(version string, wait time.Duration) {
		ctx, giveUp := context.WithCancelCause(ctx)
		if out = append(out, giveUp); len(out) > maxConcurrentCalls {
			out[0](errAbandoned)
			out = out[1:]
		}
		go func() {
			defer giveUp(nil)
			list, err := d.request(ctx, url, version, wait)
			select {
			case answers <- answer{list, err}:
			case <-ctx.Done():
			}
		}()
	}
	wait := time.Duration(0)
	if version != "" {
		wait = micros(d.pacer.WatchTimeout())
	}
	call(version, wait)
	patience := micros(d.pacer.SilenceTimeout())
	again := time.NewTimer(wait + patience)
	defer again.Stop()
	late := again.C
	if patience == 0 {
		late = nil // silence is waited out
	}
	for asked := 0; ; {
		select {
		case a := <-answers:
			if patience == 0 || !errors.Is(a.err, context.DeadlineExceeded) && !errors.Is(a.err, errAbandoned) {
				return a.list, a.err
			}
		case <-late:
			if asked++; asked == 1 {
				d.log.Warn("discovery is silent: asking again beside", "version", version)
			}
			call("", 0)
			again.Reset(patience)
		case <-ctx.Done():
			return List{}, ctx.Err()
		}
	}
}

// cancelOnResend has a call end where the transport would send it once more: it does so
// by itself for a GET on a kept connection that broke. What answers then may be
// another process, to which the version of the old one means nothing.
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

// request makes one call: a watch from a version on, which may wait, or one for the whole list.
func (d *Platform) request(ctx context.Context, url, version string, wait time.Duration) (list List, err error) {
	most := listTimeout
	if version != "" {
		url += fmt.Sprintf("?index=%s&wait=%d", version, wait.Milliseconds())
		most = wait + watchResponseSlack
	}
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	ctx, broke := context.WithCancelCause(ctx)
	defer broke(nil)
	defer func() {
		if err != nil && ctx.Err() != nil {
			err = fmt.Errorf("discovery call: %w", context.Cause(ctx))
		}
	}()
	ctx = httptrace.WithClientTrace(ctx, cancelOnResend(func() { broke(errConnectionBroken) }))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return list, fmt.Errorf("discovery call: %w", err)
	}
	res, err := d.client.Do(req)
	if err != nil {
		return list, fmt.Errorf("discovery call: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusServiceUnavailable {
		return list, fmt.Errorf("discovery call: %w", errRejected)
	}
	if res.StatusCode != http.StatusOK {
		return list, fmt.Errorf("discovery call: status %s", res.Status)
	}
	// A list that is cut or has no end must not pass for a short one.
	if err := json.NewDecoder(io.LimitReader(res.Body, maxListBytes)).Decode(&list); err != nil {
		return list, fmt.Errorf("discovery list: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 64)) // so that the connection is kept
	return list, nil
}
