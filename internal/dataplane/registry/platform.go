package registry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"mothcleat/internal/dataplane/membership"
)

// Platform follows the platform's discovery by HTTP watches at one address. Follow and Move may be
// called while Run is running, from one other goroutine.
type Platform struct {
	address string
	moved   chan string // holds the address of the newest Move until Run applies it
	client  *client
	pacer   *membership.Pacer
	log     *slog.Logger

	polled          bool          // discovery notifies only gateways that call it
	followed        chan struct{} // closed by Follow
	followRequested bool
}

// NewPlatform returns a source that follows discovery at an address. If polled is true, discovery
// notifies only gateways that call it, and it is called only after Follow. The source takes
// ownership of the pacer.
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

// Follow makes the source follow the list from now on.
func (d *Platform) Follow() {
	if !d.followRequested {
		d.followRequested = true
		close(d.followed)
	}
}

// Move makes the source follow the list at another address.
func (d *Platform) Move(address string) {
	select {
	case <-d.moved: // drops an earlier address that has not been applied
	default:
	}
	d.moved <- address
}

// Run follows the list until the context ends. After a Move, the watch at the old address ends
// before the one at the new address begins, so all updates of the old one come first.
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

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// watch announces the complete list at first and after each failure, and its changes otherwise,
// until the context ends.
func (d *Platform) watch(ctx context.Context, notify func(Update), url string) {
	version := "" // of the list that was announced; "": fetch the complete list
	for ctx.Err() == nil {
		called := time.Now()
		list, err := d.fetch(ctx, url, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			// After a rejection the watch can continue from the same version, which costs
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
			sleep(ctx, minWatchDuration) // prevents a busy loop if discovery does not wait
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

// answer is the result of a call.
type answer struct {
	list List
	err  error
}

// parallelCalls are the calls of one fetch. It is not safe for concurrent use.
type parallelCalls struct {
	client      *client
	url         string
	answers     chan answer
	outstanding []context.CancelCauseFunc // oldest first
}

// start makes a call on its own goroutine. If there would be more than maxConcurrentCalls, it
// abandons the oldest call.
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

// fetch makes one call and, as long as that remains unanswered, further calls for the complete list
// in parallel: if discovery was down or has lost a call, it may answer only later calls, but those
// at once. The first answer counts.
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
		silent = nil // no parallel calls are made
	}
	for repeated := 0; ; {
		select {
		case a := <-calls.answers:
			unanswered := errors.Is(a.err, context.DeadlineExceeded) ||
				errors.Is(a.err, errAbandoned)
			if silenceTimeout == 0 || !unanswered {
				return a.list, a.err
			}
		case <-silent:
			repeated++
			if repeated == 1 {
				d.log.Warn("discovery does not answer: making parallel calls", "version", version)
			}
			calls.start(ctx, "", 0)
			timer.Reset(silenceTimeout)
		case <-ctx.Done():
			return List{}, ctx.Err()
		}
	}
}
