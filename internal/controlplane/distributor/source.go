package distributor

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/dataplane/registry"
)

// SourceOptions configure a Source.
type SourceOptions struct {
	// Direct creates a source that watches the registry directly. Several may run at once.
	Direct func() (registry.Source, error)
	Client ClientOptions
	// SourceTimeout is the time without news of the fleet's list after which the process watches
	// the registry itself.
	SourceTimeout time.Duration
}

// Source provides the fleet's list of servers: a registry.Source for the gateway's event loop, and
// the work of the role that watches the registry for all. A process that has not heard of the
// fleet's list for a while watches the registry itself until it hears again.
type Source struct {
	options SourceOptions
	direct  *directSources
	client  *Client
	// closing ends Run.
	closing chan struct{}
	// running counts the calls of Run.
	running sync.WaitGroup
}

var _ registry.Source = (*Source)(nil)

const (
	closeTimeout = time.Second
	// startupSourceTimeout is the source timeout at startup: a process that starts does not wait
	// for longer.
	startupSourceTimeout   = 100 * time.Millisecond
	minCheckInterval       = 20 * time.Millisecond
	checksPerSourceTimeout = 10
)

// NewSource returns a source. It does nothing until Run is called.
func NewSource(o SourceOptions) *Source {
	return &Source{
		options: o,
		direct:  &directSources{make: o.Direct},
		client:  NewClient(o.Client),
		closing: make(chan struct{}),
	}
}

// Close ends Run, and returns when the state is written or the disk has taken too long. It must be
// called once.
func (s *Source) Close() {
	close(s.closing)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.running.Wait()
	}()
	select {
	case <-ended:
	case <-time.After(closeTimeout):
		s.log().Warn("fleet: the control state could not be written to disk in time")
	}
}

// Client returns the client of the replica that the list is read from.
func (s *Source) Client() *Client { return s.client }

// Follow does nothing: the registry needs no request to start.
func (s *Source) Follow() {}

// Move changes the address of the registry for all of this process's direct watches.
func (s *Source) Move(address string) { s.direct.move(address) }

// Work watches the registry on behalf of the fleet.
func (s *Source) Work(ctx context.Context, tenure *election.Tenure) {
	p := registryPublisher{
		direct:            s.direct,
		link:              s.options.Client.Link,
		replica:           s.client.State,
		heartbeatInterval: heartbeatInterval(s.options.SourceTimeout),
		log:               s.log(),
	}
	p.Work(ctx, tenure)
}

func (s *Source) log() *slog.Logger { return s.options.Client.Log }

// Run delivers the fleet's list, or this process's own if the fleet's is not heard of. It returns
// after the context has ended and the state is written.
func (s *Source) Run(ctx context.Context, tell func(registry.Update)) {
	s.running.Add(1)
	defer s.running.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := listener{source: s, notify: tell, events: make(chan listEvent, maxQueuedEvents), ctx: ctx}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.client.Run(ctx, &l)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	check := time.NewTicker(max(minCheckInterval, s.options.SourceTimeout/checksPerSourceTimeout))
	defer check.Stop()
	l.sourceHeardAt = time.Now().Add(startupSourceTimeout - s.options.SourceTimeout)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.closing:
			return
		case event := <-l.events:
			event(&l)
		case n := <-l.directUpdates:
			// The receiver now has another list: the fleet's is delivered completely next time.
			l.fleetListDelivered = false
			tell(n)
		case <-check.C:
			if time.Since(l.sourceHeardAt) > s.options.SourceTimeout {
				l.startDirectWatch(ctx)
			}
		}
	}
}

// maxQueuedEvents is how many events may wait for a slow receiver. After that the replica waits
// too.
const maxQueuedEvents = 16

// listEvent is an event of the client for Run's goroutine.
type listEvent func(*listener)

// listener turns changes of the replica into updates of the list of servers.
type listener struct {
	source *Source
	notify func(registry.Update)
	events chan listEvent
	ctx    context.Context

	// state is the newest state; nil before the first. It and the fields below belong to Run's
	// goroutine.
	state *distribution.State
	// fleetListDelivered is set if the receiver has the fleet's list.
	fleetListDelivered bool
	// sourceHeardAt is when the source was last heard of.
	sourceHeardAt time.Time
	// stopDirectWatch ends this process's own watch; nil if there is none.
	stopDirectWatch context.CancelFunc
	// directUpdates are the updates of that watch. Late updates of an earlier one are dropped with
	// its channel.
	directUpdates <-chan registry.Update
}

func (l *listener) queue(event listEvent) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// Applied queues changes of the replica.
func (l *listener) Applied(changes []distribution.Change, state *distribution.State) {
	l.queue(func(l *listener) { l.applied(changes, state) })
}

// HeartbeatReceived queues the age of the replica's state.
func (l *listener) HeartbeatReceived(sourceAge time.Duration, current bool) {
	at := time.Now().Add(-sourceAge)
	l.queue(func(l *listener) { l.sourceHeard(at, current) })
}

func (l *listener) applied(changes []distribution.Change, state *distribution.State) {
	l.state = state
	if l.fleetListDelivered {
		l.notifyChanges(changes)
	}
}

// sourceHeard handles when the source was last heard of. If that is recent, the fleet's list is
// used.
func (l *listener) sourceHeard(at time.Time, current bool) {
	if !current || time.Since(at) > l.source.options.SourceTimeout {
		return
	}
	if at.After(l.sourceHeardAt) {
		l.sourceHeardAt = at
	}
	l.endDirectWatch()
	if !l.fleetListDelivered {
		l.fleetListDelivered = true
		l.notifyComplete()
	}
}

// notifyComplete delivers the complete list.
func (l *listener) notifyComplete() {
	n := registry.Update{Kind: registry.CompleteList}
	if l.state != nil {
		l.state.Range(distribution.KindServer, func(r distribution.Record) bool {
			n.Members = l.appendMember(n.Members, &distribution.Change{Record: r})
			return true
		})
	}
	slices.SortFunc(n.Members, func(a, b registry.Member) int { return cmp.Compare(a.ID, b.ID) })
	l.notify(n)
}

// notifyChanges delivers changes. Deletions come first, because an address may have passed from one
// id to another.
func (l *listener) notifyChanges(changes []distribution.Change) {
	n := registry.Update{Kind: registry.Delta}
	for i := range changes {
		n.Members = l.appendMember(n.Members, &changes[i])
	}
	if len(n.Members) > 0 {
		l.notify(n)
	}
}

// appendMember appends the member that a change is of. Records of other kinds are skipped.
func (l *listener) appendMember(
	to []registry.Member, change *distribution.Change,
) []registry.Member {
	switch {
	case change.Kind != distribution.KindServer:
		return to
	case change.Deleted:
		return append(to, registry.Member{ID: change.ID, Phase: registry.Gone})
	}
	member, err := decodeServer(change.ID, change.Value)
	if err != nil {
		l.source.log().Error("fleet: a server of the list is passed over", "error", err)
		return to
	}
	return append(to, member)
}

// startDirectWatch starts this process's own watch of the registry.
func (l *listener) startDirectWatch(ctx context.Context) {
	if l.stopDirectWatch != nil {
		return
	}
	source, closed, err := l.source.direct.open()
	if err != nil {
		return
	}
	l.source.log().Warn(
		"fleet: the list of servers is not heard: this gateway watches the register itself",
		"silent_for", time.Since(l.sourceHeardAt).Round(time.Millisecond).String())
	ctx, l.stopDirectWatch = context.WithCancel(ctx)
	updates := make(chan registry.Update)
	l.directUpdates = updates
	go func() {
		defer closed()
		source.Run(ctx, func(n registry.Update) {
			select {
			case updates <- n:
			case <-ctx.Done():
			}
		})
	}()
}

// endDirectWatch ends this process's own watch.
func (l *listener) endDirectWatch() {
	if l.stopDirectWatch != nil {
		l.stopDirectWatch()
		l.stopDirectWatch, l.directUpdates = nil, nil
		l.source.log().Info("fleet: the list of servers is heard again")
	}
}
