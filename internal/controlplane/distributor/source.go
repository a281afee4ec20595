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

// SourceOptions say how a process has the list of servers.
type SourceOptions struct {
	// Direct makes a source that asks the register itself. Several may run at once.
	Direct func() (registry.Source, error)
	Client ClientOptions
	// the fleet's list was not heard of for so long: the process watches the register by itself
	SourceTimeout time.Duration
}

// Source is the list of servers as the fleet has it: a registry.Source for the gateway's loop, and
// the work of the role that watches the register for all. A process that has not heard of the
// fleet's list for a while watches the register itself until it hears again.
type Source struct {
	options SourceOptions
	direct  *directSources
	client  *Client
	closing chan struct{}  // Run is to end
	running sync.WaitGroup // of Run
}

var _ registry.Source = (*Source)(nil)

const (
	closeTimeout           = time.Second
	startupTimeout         = 100 * time.Millisecond // a start does not wait for longer
	minCheckInterval       = 20 * time.Millisecond
	checksPerSourceTimeout = 10
)

// NewSource makes a source. Run has it begin.
func NewSource(o SourceOptions) *Source {
	return &Source{
		options: o,
		direct:  &directSources{make: o.Direct},
		client:  NewClient(o.Client),
		closing: make(chan struct{}),
	}
}

// Close ends Run, and returns when the replica is written down, or its disk has taken too long. It
// is called once.
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

// Client is the replica that the list is read from.
func (s *Source) Client() *Client { return s.client }

// Follow does nothing: the register answers whoever asks.
func (s *Source) Follow() {}

// Move has the register followed at another address, by whoever of this process asks it.
func (s *Source) Move(address string) { s.direct.move(address) }

// Work watches the register on behalf of the fleet.
func (s *Source) Work(ctx context.Context, tenure *election.Tenure) {
	p := registerPublisher{
		direct:            s.direct,
		link:              s.options.Client.Link,
		replica:           s.client.State,
		heartbeatInterval: heartbeatInterval(s.options.SourceTimeout),
		log:               s.log(),
	}
	p.Work(ctx, tenure)
}

func (s *Source) log() *slog.Logger { return s.options.Client.Log }

// Run brings the list: the fleet's, or this process's own where the fleet's is not heard of. It
// returns after the context ends and the replica is written down.
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
	defer func() { cancel(); <-ended }()
	look := time.NewTicker(max(minCheckInterval, s.options.SourceTimeout/checksPerSourceTimeout))
	defer look.Stop()
	l.sourceHeardAt = time.Now().Add(startupTimeout - s.options.SourceTimeout)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.closing:
			return
		case event := <-l.events:
			event(&l)
		case n := <-l.directUpdates:
			// what the receiver has is from elsewhere now: the fleet's list comes whole again
			l.fleetListDelivered = false
			tell(n)
		case <-look.C:
			if time.Since(l.sourceHeardAt) > s.options.SourceTimeout {
				l.startDirectWatch(ctx)
			}
		}
	}
}

// maxQueuedEvents is how many events wait for a receiver that takes none; then the replica waits,
// too.
const maxQueuedEvents = 16

// listEvent is something that the client told, for Run's goroutine.
type listEvent func(*listener)

// listener turns what the replica takes in into news of the servers.
type listener struct {
	source *Source
	notify func(registry.Update)
	events chan listEvent
	ctx    context.Context

	// Of Run's goroutine alone.
	state              *distribution.State // the newest; nil: nothing was taken in yet
	fleetListDelivered bool                // the receiver has the fleet's list
	sourceHeardAt      time.Time           // of the source
	stopDirectWatch    context.CancelFunc  // ends this process's own watch; nil: it has none
	// of that watch: what comes late of an earlier one goes nowhere
	directUpdates <-chan registry.Update
}

func (l *listener) queue(event listEvent) {
	select {
	case l.events <- event:
	case <-l.ctx.Done():
	}
}

// Applied takes in what the replica has in force now.
func (l *listener) Applied(changes []distribution.Change, state *distribution.State) {
	l.queue(func(l *listener) { l.applied(changes, state) })
}

// SourceHeard takes in how fresh that is.
func (l *listener) SourceHeard(sourceAge time.Duration, current bool) {
	at := time.Now().Add(-sourceAge)
	l.queue(func(l *listener) { l.sourceHeard(at, current) })
}

func (l *listener) applied(changes []distribution.Change, state *distribution.State) {
	l.state = state
	if l.fleetListDelivered {
		l.notifyChanges(changes)
	}
}

// sourceHeard takes in when the source was last heard of. Once that is recent, the fleet's list
// counts.
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

// notifyComplete tells the whole list.
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

// notifyChanges tells what is other than before. Deletions come first: an address may have passed
// from one id to another.
func (l *listener) notifyChanges(changes []distribution.Change) {
	n := registry.Update{Kind: registry.Delta}
	for i := range changes {
		n.Members = l.appendMember(n.Members, &changes[i])
	}
	if len(n.Members) > 0 {
		l.notify(n)
	}
}

// appendMember adds the member that a change is of; other kinds of records are none.
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

// startDirectWatch has this process watch the register by itself.
func (l *listener) startDirectWatch(ctx context.Context) {
	if l.stopDirectWatch != nil {
		return
	}
	source, closed, err := l.source.direct.open()
	if err != nil {
		return
	}
	l.source.log().Warn("fleet: the list of servers is not heard: this gateway watches the register itself",
		"silent_for", time.Since(l.sourceHeardAt).Round(time.Millisecond).String())
	ctx, l.stopDirectWatch = context.WithCancel(ctx)
	news := make(chan registry.Update)
	l.directUpdates = news
	go func() {
		defer closed()
		source.Run(ctx, func(n registry.Update) {
			select {
			case news <- n:
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
