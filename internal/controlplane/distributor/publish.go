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
	// publishTimeoutPerByte extends the timeout of a command by its size: a complete list of 7,300
	// servers is half a megabyte.
	publishTimeoutPerByte = 4 * time.Microsecond
	// maxPublishDelay bounds the delay after a command that was not committed, which doubles with
	// each failure.
	maxPublishDelay = 4 * time.Second
	// maxBaseRefusals is how often a term may begin with a difference that is rejected. Then it
	// begins with the complete list.
	maxBaseRefusals = 3
)

// errRefused is returned for a command that was committed but rejected by the state machine.
var errRefused = errors.New("refused")

// registryPublisher watches the registry on behalf of the fleet and proposes its changes to the
// replicated log.
type registryPublisher struct {
	direct *directSources
	link   *controlrpc.Client
	// replica returns the state of this process's replica; nil if it has none.
	replica func() *distribution.State
	// heartbeatInterval is the time between two commands while nothing changes.
	heartbeatInterval time.Duration
	log               *slog.Logger
}

// Work publishes for as long as the context lasts. It is an election.Work.
func (p *registryPublisher) Work(ctx context.Context, tenure *election.Tenure) {
	source, closed, err := p.direct.open()
	if err != nil {
		p.log.Error("fleet: the register can't be watched", "error", err)
		return
	}
	defer closed()
	updates := make(chan registry.Update)
	go source.Run(ctx, func(n registry.Update) {
		select {
		case updates <- n:
		case <-ctx.Done():
		}
	})
	beat := time.NewTicker(p.heartbeatInterval)
	defer beat.Stop()
	pending := newPendingChanges(p.log)
	support := voterSupport{link: p.link, log: p.log}
	delay := publishDelay{minDelay: p.heartbeatInterval}
	registryHeard := false
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-updates:
			registryHeard = n.Kind != registry.Unavailable
			pending.update(n)
		case <-beat.C:
		}
		// Without news of the registry there is no heartbeat either, so that the other processes
		// watch the registry themselves.
		if registryHeard && delay.elapsed(time.Now()) && support.ready(ctx) && tenure.Holds() {
			err := p.publish(ctx, pending.command(tenure.Term, p.replica()))
			pending.record(err)
			delay.record(time.Now(), err)
		}
	}
}

// publishDelay is the backoff after a command that was not committed. The command may still be in
// flight to lagging voters, which should not get more.
type publishDelay struct {
	minDelay time.Duration
	// nextDelay is the delay after the next failure; 0 for minDelay.
	nextDelay time.Duration
	until     time.Time
}

func (d *publishDelay) elapsed(now time.Time) bool { return !now.Before(d.until) }

func (d *publishDelay) record(now time.Time, err error) {
	if err == nil || errors.Is(err, errRefused) {
		d.nextDelay, d.until = 0, now
		return
	}
	d.nextDelay = min(max(d.nextDelay, d.minDelay), maxPublishDelay)
	d.until = now.Add(d.nextDelay)
	d.nextDelay *= 2
}

// publish proposes a command and waits until it is committed.
func (p *registryPublisher) publish(ctx context.Context, command *distributionpb.Command) error {
	body, err := proto.Marshal(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx,
		publishTimeout+publishTimeoutPerByte*time.Duration(len(body)))
	defer cancel()
	refusal, err := p.link.Propose(ctx, distribution.MachineName, body)
	if err == nil && len(refusal) > 0 {
		err = fmt.Errorf("%w: %s", errRefused, refusal)
	}
	if err != nil && ctx.Err() == nil {
		p.log.Warn("fleet: the list of servers was not taken", "term", command.Term, "error", err)
	}
	return err
}

// pendingChanges is the list of servers in the registry, and which part of it is not committed yet.
type pendingChanges struct {
	log   *slog.Logger
	epoch uint64
	// values are the records by server id.
	values map[string][]byte
	// changed are the ids of servers whose record differs from the committed one.
	changed map[string]bool

	// firstOfTerm is set until the first command of a term is committed. Until then the committed
	// state is unknown, as a command without an answer may have been applied. So each further
	// command has all records that an earlier one had, with their current values.
	firstOfTerm bool
	// proposedComplete is set if such a command had the complete list.
	proposedComplete bool
	// proposed are the ids that such a command had.
	proposed map[string]bool
	refusals int
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
func (p *pendingChanges) update(n registry.Update) {
	switch n.Kind {
	case registry.Unavailable:
		return
	case registry.CompleteList:
		p.deleteUnlisted(n.Members)
	}
	for _, m := range n.Members {
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

// command returns the next command: the changes, or a heartbeat. The first command of a term has
// the differences from this process's replica, or the complete list if there is no replica to
// compare with.
func (p *pendingChanges) command(term uint64, replica *distribution.State) *distributionpb.Command {
	command := &distributionpb.Command{Term: term, Epoch: p.epoch}
	switch {
	case !p.firstOfTerm:
		command.Changes = p.changesFor(maps.Keys(p.changed))
	case p.proposedComplete || replica == nil || replica.Empty() || p.refusals >= maxBaseRefusals:
		p.proposedComplete, command.Complete = true, true
		command.Changes = p.changesFor(maps.Keys(p.values))
	default:
		p.addDifference(replica)
		command.Base = replica.Position().Proto()
		command.Changes = p.changesFor(maps.Keys(p.proposed))
	}
	return command
}

// addDifference adds the ids of all servers whose record in a state differs from the registry.
func (p *pendingChanges) addDifference(state *distribution.State) {
	state.Range(distribution.KindServer, func(r distribution.Record) bool {
		if value, there := p.values[r.ID]; !there || !bytes.Equal(value, r.Value) {
			p.proposed[r.ID] = true
		}
		return true
	})
	for id := range p.values {
		if _, there := state.Get(distribution.KindServer, id); !there {
			p.proposed[id] = true
		}
	}
}

// changesFor returns the changes that set some ids to their value in the registry.
func (p *pendingChanges) changesFor(ids iter.Seq[string]) []*distributionpb.Change {
	var changes []*distributionpb.Change
	for _, id := range slices.Sorted(ids) {
		value, there := p.values[id]
		changes = append(changes, &distributionpb.Change{
			Kind: distribution.KindServer, Id: id, Value: value, Deleted: !there,
		})
	}
	return changes
}

// record handles the outcome of the last command.
func (p *pendingChanges) record(err error) {
	switch {
	case err == nil:
		clear(p.changed)
		clear(p.proposed)
		p.firstOfTerm, p.refusals = false, 0
	case errors.Is(err, errRefused):
		p.refusals++
	}
}
