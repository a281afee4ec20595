package registry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"mothcleat/internal/dataplane/membership"
)

// Platform follows the platform's discovery: HTTP watches at one address. Run and the methods that
// it calls run on one goroutine; Follow and Move may be called from another.
type Platform struct {
	address string
	moved   chan string // addresses of new configurations: the last one only
	client  *client
	pacer   *membership.Pacer
	log     *slog.Logger

	polled          bool          // discovery tells only callers
	followed        chan struct{} // closed when the list is to be followed
	followRequested bool
}

// NewPlatform makes a source at an address. polled: discovery tells only callers, so it is called
// only after Follow. The pacer is the source's from now on.
func NewPlatform(
	address string, polled bool, pacer *membership.Pacer, log *slog.Logger,
) *Platform {
	d := &Platform{
		address:  address,
		moved:    make(chan string, 1),
		client:   newClient(),
		pacer:    pacer,
		log:      log,
		polled:   polled,
		followed: make(chan struct{}),
	}
	if !polled {
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
	case <-d.moved: // a newer configuration came before this one was applied
	default:
	}
	d.moved <- address
}

// Run follows the list, and moves to another address as soon as there is one: the watch at the old
// one ends, and its updates come before any of the new one.
func (d *Platform) Run(ctx context.Context, notify func(Update)) {
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
			d.watch(watching, notify, url)
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

func duration(t membership.Time) time.Duration { return time.Duration(t) * time.Microsecond }

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// watch announces changes until the context ends; at first and after a failure, the complete list.
func (d *Platform) watch(ctx context.Context, notify func(Update), url string) {
	version := "" // of the list that was announced; "": none
	for ctx.Err() == nil {
		called := time.Now()
		list, err := d.fetch(ctx, url, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// After a rejection the watch can go on from the same version, which costs
			// discovery less than a complete list.
			rejected := errors.Is(err, errRejected)
			if !rejected {
				version = ""
			}
			retryDelay := duration(d.pacer.Failed(rejected, time.Since(called).Microseconds()))
			d.log.Warn("discovery", "error", err, "again_ms", retryDelay.Milliseconds())
			if d.polled {
				notify(Update{Kind: Unavailable})
			}
			sleep(ctx, retryDelay)
			continue
		}
		if version != "" && len(list.Members) == 0 && time.Since(called) < minWatchDuration {
			sleep(ctx, minWatchDuration) // a watch that does not wait must not become a busy loop
		}
		version = fmt.Sprint(list.Revision)
		kind := Delta
		if list.Complete {
			kind = CompleteList
		}
		notify(Update{kind, list.Members})
		if interval := d.pacer.Succeeded(); interval > 0 {
			sleep(ctx, duration(interval))
		}
	}
}

// answer is how a call ended.
type answer struct {
	list List
	err  error
}

// parallelCalls are the calls of one fetch. It belongs to one goroutine.
type parallelCalls struct {
	client      *client
	url         string
	answers     chan answer
	outstanding []context.CancelCauseFunc // oldest first
}

// start makes a call on a goroutine of its own. The oldest call is abandoned where there would be
// more than maxConcurrentCalls.
func (p *parallelCalls) start(ctx context.Context, version string, wait time.Duration) {
	callCtx, abandon := context.WithCancelCause(ctx)
	p.outstanding = append(p.outstanding, abandon)
	if len(p.outstanding) > maxConcurrentCalls {
		p.outstanding[0](errAbandoned)
		p.outstanding = p.outstanding[1:]
	}
	go func() {
		defer abandon(nil)
		list, err := p.client.request(callCtx, p.url, version, wait)
		select {
		case p.answers <- answer{list, err}:
		case <-callCtx.Done():
		}
	}()
}

// fetch makes one call and, as long as it is silent, further ones for the complete list beside it:
// discovery that was down, or lost a call, may answer only later calls, and these at once. The
// first answer counts.
func (d *Platform) fetch(ctx context.Context, url, version string) (List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	calls := parallelCalls{client: d.client, url: url, answers: make(chan answer)}
	wait := time.Duration(0)
	if version != "" {
		wait = duration(d.pacer.WatchTimeout())
	}
	calls.start(ctx, version, wait)
	silenceTimeout := duration(d.pacer.SilenceTimeout())
	timer := time.NewTimer(wait + silenceTimeout)
	defer timer.Stop()
	silent := timer.C
	if silenceTimeout == 0 {
		silent = nil // silence is waited out
	}
	for repeated := 0; ; {
		select {
		case a := <-calls.answers:
			givenUp := errors.Is(a.err, context.DeadlineExceeded) ||
				errors.Is(a.err, errAbandoned)
			if silenceTimeout == 0 || !givenUp {
				return a.list, a.err
			}
		case <-silent:
			repeated++
			if repeated == 1 {
				d.log.Warn("discovery is silent: calling again beside", "version", version)
			}
			calls.start(ctx, "", 0)
			timer.Reset(silenceTimeout)
		case <-ctx.Done():
			return List{}, ctx.Err()
		}
	}
}
