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
	// SourceTimeout is the time without a sign of the fleet's source after which this process
	// watches the registry itself.
	SourceTimeout time.Duration
}

// Source provides the fleet's list of servers. It is a registry.Source for the gateway's event
// loop, and it does the work of the role that watches the registry on behalf of the fleet. A
// process that has had no sign of the fleet's source for SourceTimeout watches the registry itself
// until there is one.
type Source struct {
	options SourceOptions
	direct  *directSources
	client  *Client
	// closing is closed by Close, which ends Run.
	closing chan struct{}
	// running counts the calls of Run.
	running sync.WaitGroup
}

var _ registry.Source = (*Source)(nil)

const (
	closeTimeout = time.Second
	// startupSourceTimeout replaces SourceTimeout until the first sign of the source, so that a
	// process that starts does not wait for longer.
	startupSourceTimeout   = 100 * time.Millisecond
	minCheckInterval       = 20 * time.Millisecond
	checksPerSourceTimeout = 10
)

// NewSource returns a source. It does nothing until Run is called.
func NewSource(o SourceOptions) *Source {
	return &Source{
		options: o,
		direct:  &directSources{newSource: o.Direct},
		client:  NewClient(o.Client),
		closing: make(chan struct{}),
	}
}

// Close ends Run and waits until it has written the state, at most for closeTimeout. It must be
// called at most once.
func (s *Source) Close() {
	close(s.closing)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.running.Wait()
	}()
	select {
	case <-done:
	case <-time.After(closeTimeout):
		s.log().Warn("fleet: the control state could not be written to disk in time")
	}
}

// Client returns the client that maintains the replica.
func (s *Source) Client() *Client { return s.client }

// Follow does nothing, since Run follows the list from the start.
func (s *Source) Follow() {}

// Move sets the address of the registry for all of this process's direct watches.
func (s *Source) Move(address string) { s.direct.move(address) }

// Work watches the registry on behalf of the fleet until the context ends. It is an election.Work.
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

// Run delivers the fleet's list, or the list of this process's own watch while there is no sign of
// the fleet's source. It returns after the context or Close has ended it and the state is written.
func (s *Source) Run(ctx context.Context, notify func(registry.Update)) {
	s.running.Add(1)
	defer s.running.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := replicaObserver{
		source: s, notify: notify, events: make(chan observerEvent, maxQueuedEvents), ctx: ctx,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.client.Run(ctx, &o)
	}()
	defer func() {
		cancel()
		<-done
	}()
	sourceCheck := time.NewTicker(
		max(minCheckInterval, s.options.SourceTimeout/checksPerSourceTimeout))
	defer sourceCheck.Stop()
	o.sourceActiveAt = time.Now().Add(startupSourceTimeout - s.options.SourceTimeout)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.closing:
			return
		case event := <-o.events:
			event(&o)
		case update := <-o.directUpdates:
			// The receiver no longer has the fleet's list, so that one has to be delivered
			// completely next time.
			o.fleetListDelivered = false
			notify(update)
		case <-sourceCheck.C:
			if time.Since(o.sourceActiveAt) > s.options.SourceTimeout {
				o.startDirectWatch(ctx)
			}
		}
	}
}

// maxQueuedEvents is how many events may wait for a slow receiver. When the queue is full, the
// client waits as well.
const maxQueuedEvents = 16

// observerEvent is an event of the client. Run's goroutine calls it.
type observerEvent func(*replicaObserver)

// replicaObserver is the client's Observer. It turns changes of the replica into updates of the
// list of servers.
type replicaObserver struct {
	source *Source
	notify func(registry.Update)
	events chan observerEvent
	ctx    context.Context

	// state is the newest state; nil before the first. It and the fields below belong to Run's
	// goroutine.
	state *distribution.State
	// fleetListDelivered is set while the receiver has the fleet's list.
	fleetListDelivered bool
	// sourceActiveAt is the latest time at which the source is known to have been active.
	sourceActiveAt time.Time
	// cancelDirectWatch ends this process's own watch; nil if there is none.
	cancelDirectWatch context.CancelFunc
	// directUpdates has the updates of that watch. Each watch has its own channel, so that late
	// updates of an earlier watch are discarded.
	directUpdates <-chan registry.Update
}

// queue passes an event to Run's goroutine. It blocks while the queue is full.
func (o *replicaObserver) queue(event observerEvent) {
	select {
	case o.events <- event:
	case <-o.ctx.Done():
	}
}

// Applied queues changes of the replica for Run's goroutine.
func (o *replicaObserver) Applied(changes []distribution.Change, state *distribution.State) {
	o.queue(func(o *replicaObserver) { o.handleApplied(changes, state) })
}

// HeartbeatReceived queues the time at which the source was last active for Run's goroutine.
func (o *replicaObserver) HeartbeatReceived(sourceAge time.Duration, current bool) {
	at := time.Now().Add(-sourceAge)
	o.queue(func(o *replicaObserver) { o.handleHeartbeat(at, current) })
}

// handleApplied stores the new state. It delivers the changes if the receiver has the state before
// them.
func (o *replicaObserver) handleApplied(changes []distribution.Change, state *distribution.State) {
	o.state = state
	if o.fleetListDelivered {
		o.notifyChanges(changes)
	}
}

// handleHeartbeat switches to the fleet's list if the replica is current and the source was active
// within SourceTimeout.
func (o *replicaObserver) handleHeartbeat(at time.Time, current bool) {
	if !current || time.Since(at) > o.source.options.SourceTimeout {
		return
	}
	if at.After(o.sourceActiveAt) {
		o.sourceActiveAt = at
	}
	o.stopDirectWatch()
	if !o.fleetListDelivered {
		o.fleetListDelivered = true
		o.notifyComplete()
	}
}

// notifyComplete delivers the fleet's complete list, sorted by id.
func (o *replicaObserver) notifyComplete() {
	update := registry.Update{Kind: registry.CompleteList}
	if o.state != nil {
		o.state.Range(distribution.KindServer, func(r distribution.Record) bool {
			update.Members = o.appendMember(update.Members, &distribution.Change{Record: r})
			return true
		})
	}
	slices.SortFunc(update.Members, func(a, b registry.Member) int {
		return cmp.Compare(a.ID, b.ID)
	})
	o.notify(update)
}

// notifyChanges delivers changes in their order. The replica puts deletions first, because an
// address may have passed from one id to another.
func (o *replicaObserver) notifyChanges(changes []distribution.Change) {
	update := registry.Update{Kind: registry.Delta}
	for i := range changes {
		update.Members = o.appendMember(update.Members, &changes[i])
	}
	if len(update.Members) > 0 {
		o.notify(update)
	}
}

// appendMember appends the member that a change is about. It skips records of other kinds, and
// records that can't be decoded.
func (o *replicaObserver) appendMember(
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
		o.source.log().Error("fleet: a server of the list is passed over", "error", err)
		return to
	}
	return append(to, member)
}

// startDirectWatch starts this process's own watch of the registry, unless there is one already.
func (o *replicaObserver) startDirectWatch(ctx context.Context) {
	if o.cancelDirectWatch != nil {
		return
	}
	source, release, err := o.source.direct.open()
	if err != nil {
		return
	}
	o.source.log().Warn(
		"fleet: the list of servers is not received: this gateway watches the register itself",
		"silent_for", time.Since(o.sourceActiveAt).Round(time.Millisecond).String())
	ctx, o.cancelDirectWatch = context.WithCancel(ctx)
	updates := make(chan registry.Update)
	o.directUpdates = updates
	go func() {
		defer release()
		source.Run(ctx, func(update registry.Update) {
			select {
			case updates <- update:
			case <-ctx.Done():
			}
		})
	}()
}

// stopDirectWatch ends this process's own watch, if there is one.
func (o *replicaObserver) stopDirectWatch() {
	if o.cancelDirectWatch != nil {
		o.cancelDirectWatch()
		o.cancelDirectWatch, o.directUpdates = nil, nil
		o.source.log().Info("fleet: the list of servers is heard again")
	}
}
