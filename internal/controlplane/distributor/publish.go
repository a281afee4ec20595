package distributor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"iter"
	"log/slog"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/dataplane/registry"
)

const (
	publishTimeout = 2 * time.Second
	// publishTimeoutPerByte extends publishTimeout by the size of the command: a complete list of
	// 7,300 servers is half a megabyte.
	publishTimeoutPerByte = 4 * time.Microsecond
	// maxPublishDelay bounds the delay after a command that was not committed. The delay doubles
	// with each failure in a row.
	maxPublishDelay = 4 * time.Second
	// maxBaseRejections is how many times the state machine may reject the first command of a term
	// before that command contains the complete list instead of differences.
	maxBaseRejections = 3
)

// errRejected is wrapped by the error for a command that was committed but rejected by the state
// machine.
var errRejected = errors.New("refused")

// registryPublisher watches the registry on behalf of the fleet and proposes its changes to the
// replicated log.
type registryPublisher struct {
	direct *directSources
	link   *controlrpc.Client
	// replica returns the state of this process's replica, or nil if there is none yet.
	replica func() *distribution.State
	// heartbeatInterval is the time between two commands while nothing changes.
	heartbeatInterval time.Duration
	log               *slog.Logger
}

// Work publishes the registry's changes until the context ends. It is an election.Work.
func (p *registryPublisher) Work(ctx context.Context, tenure *election.Tenure) {
	source, release, err := p.direct.open()
	if err != nil {
		p.log.Error("fleet: the register can't be watched", "error", err)
		return
	}
	defer release()
	updates := make(chan registry.Update)
	go source.Run(ctx, func(update registry.Update) {
		select {
		case updates <- update:
		case <-ctx.Done():
		}
	})
	heartbeat := time.NewTicker(p.heartbeatInterval)
	defer heartbeat.Stop()
	pending := newPendingChanges(p.log)
	support := voterSupport{link: p.link, log: p.log}
	delay := publishDelay{minDelay: p.heartbeatInterval}
	registryAvailable := false
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-updates:
			registryAvailable = update.Kind != registry.Unavailable
			pending.update(update)
		case <-heartbeat.C:
		}
		// While the registry is unavailable there are no heartbeats either, so that the other
		// processes start to watch the registry themselves.
		if registryAvailable && delay.elapsed(time.Now()) && support.ready(ctx) && tenure.Holds() {
			err := p.publish(ctx, pending.command(tenure.Term, p.replica()))
			pending.recordOutcome(err)
			delay.recordOutcome(time.Now(), err)
		}
	}
}

// publishDelay is the backoff after a command whose commit failed or is unknown. The command may
// still be on its way to lagging voters, which should not be sent more meanwhile.
type publishDelay struct {
	minDelay time.Duration
	// nextDelay is the delay after the next failure; 0 for minDelay.
	nextDelay time.Duration
	// retryAt is when the next command may be proposed.
	retryAt time.Time
}

// elapsed reports whether the next command may be proposed.
func (d *publishDelay) elapsed(now time.Time) bool { return !now.Before(d.retryAt) }

// recordOutcome starts a delay, or ends it if the last command was committed. A command that the
// state machine rejected was committed, too.
func (d *publishDelay) recordOutcome(now time.Time, err error) {
	if err == nil || errors.Is(err, errRejected) {
		d.nextDelay, d.retryAt = 0, now
		return
	}
	d.nextDelay = min(max(d.nextDelay, d.minDelay), maxPublishDelay)
	d.retryAt = now.Add(d.nextDelay)
	d.nextDelay *= 2
}

// publish proposes a command and waits until it is committed. It returns an error that wraps
// errRejected if the state machine rejected the command.
func (p *registryPublisher) publish(ctx context.Context, command *distributionpb.Command) error {
	body, err := proto.Marshal(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx,
		publishTimeout+publishTimeoutPerByte*time.Duration(len(body)))
	defer cancel()
	rejection, err := p.link.Propose(ctx, distribution.MachineName, body)
	if err == nil && len(rejection) > 0 {
		err = fmt.Errorf("%w: %s", errRejected, rejection)
	}
	if err != nil && ctx.Err() == nil {
		p.log.Warn("fleet: could not publish the list of servers",
			"term", command.Term, "error", err)
	}
	return err
}

// pendingChanges is the list of servers in the registry, and the set of its changes that are not
// committed yet.
type pendingChanges struct {
	log *slog.Logger
	// epoch is the epoch of the state if this list becomes the fleet's first one.
	epoch uint64
	// values are the encoded records by server id.
	values map[string][]byte
	// changed are the ids of servers whose record differs from the committed one.
	changed map[string]bool

	// firstOfTerm is set until the first command of a term is applied. Until then the committed
	// state is unknown, because a command without an answer may have been applied. Therefore each
	// retry contains all ids that an earlier command contained, with their current records.
	firstOfTerm bool
	// proposedComplete is set if such a command contained the complete list.
	proposedComplete bool
	// proposed are the ids that such a command contained.
	proposed map[string]bool
	// rejections counts the rejected commands since the last one that was applied.
	rejections int
}

func newPendingChanges(log *slog.Logger) *pendingChanges {
	return &pendingChanges{
		log:         log,
		epoch:       uint64(time.Now().UnixNano()),
		values:      map[string][]byte{},
		changed:     map[string]bool{},
		firstOfTerm: true,
		proposed:    map[string]bool{},
	}
}

// update applies an update of the registry.
func (p *pendingChanges) update(update registry.Update) {
	switch update.Kind {
	case registry.Unavailable:
		return
	case registry.CompleteList:
		p.deleteUnlisted(update.Members)
	}
	for _, m := range update.Members {
		if m.Phase == registry.Gone {
			p.delete(m.ID)
			continue
		}
		value, err := encodeServer(m)
		if err != nil {
			p.log.Error("fleet: a server of the register is passed over", "error", err)
			continue
		}
		p.set(m.ID, value)
	}
}

func (p *pendingChanges) deleteUnlisted(members []registry.Member) {
	listed := map[string]bool{}
	for _, m := range members {
		listed[m.ID] = true
	}
	for id := range p.values {
		if !listed[id] {
			p.delete(id)
		}
	}
}

func (p *pendingChanges) set(id string, value []byte) {
	if old, ok := p.values[id]; ok && bytes.Equal(old, value) {
		return
	}
	p.values[id] = value
	p.changed[id] = true
}

func (p *pendingChanges) delete(id string) {
	if _, ok := p.values[id]; ok {
		delete(p.values, id)
		p.changed[id] = true
	}
}

// command returns the next command. It contains the pending changes; without changes it is a
// heartbeat. The first command of a term contains the differences from this process's replica, or
// the complete list if there is no replica to compare with or maxBaseRejections is reached.
func (p *pendingChanges) command(term uint64, replica *distribution.State) *distributionpb.Command {
	command := &distributionpb.Command{Term: term, Epoch: p.epoch}
	switch {
	case !p.firstOfTerm:
		command.Changes = p.changesFor(maps.Keys(p.changed))
	case p.proposedComplete || replica == nil || replica.Empty() ||
		p.rejections >= maxBaseRejections:
		p.proposedComplete, command.Complete = true, true
		command.Changes = p.changesFor(maps.Keys(p.values))
	default:
		p.addDifference(replica)
		command.Base = replica.Position().Proto()
		command.Changes = p.changesFor(maps.Keys(p.proposed))
	}
	return command
}

// addDifference adds to proposed the ids of all servers whose record in a state differs from the
// registry.
func (p *pendingChanges) addDifference(state *distribution.State) {
	state.Range(distribution.KindServer, func(r distribution.Record) bool {
		if value, listed := p.values[r.ID]; !listed || !bytes.Equal(value, r.Value) {
			p.proposed[r.ID] = true
		}
		return true
	})
	for id := range p.values {
		if _, ok := state.Get(distribution.KindServer, id); !ok {
			p.proposed[id] = true
		}
	}
}

// changesFor returns the changes, sorted by id, that set the records of some ids to those in the
// registry.
func (p *pendingChanges) changesFor(ids iter.Seq[string]) []*distributionpb.Change {
	var changes []*distributionpb.Change
	for _, id := range slices.Sorted(ids) {
		value, listed := p.values[id]
		changes = append(changes, &distributionpb.Change{
			Kind: distribution.KindServer, Id: id, Value: value, Deleted: !listed,
		})
	}
	return changes
}

// recordOutcome handles the outcome of the last command.
func (p *pendingChanges) recordOutcome(err error) {
	switch {
	case err == nil:
		clear(p.changed)
		clear(p.proposed)
		p.firstOfTerm, p.rejections = false, 0
	case errors.Is(err, errRejected):
		p.rejections++
	}
}
