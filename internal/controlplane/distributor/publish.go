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
	// publishTimeoutPerByte is what a command is given beside for its size: a whole list is half a
	// megabyte at 7,300 servers.
	publishTimeoutPerByte = 4 * time.Microsecond
	// maxPublishDelay bounds what is waited after a command that was not agreed on, twice as long
	// after each.
	maxPublishDelay = 4 * time.Second
	// maxBaseRefusals is how often a term may begin with a difference that is refused; then it
	// begins with the whole list.
	maxBaseRefusals = 3
)

// errRefused is returned for a command that was agreed on and changed nothing.
var errRefused = errors.New("refused")

// registerPublisher watches the register on behalf of the fleet and has what changed of it agreed
// on.
type registerPublisher struct {
	direct            *directSources
	link              *controlrpc.Client
	replica           func() *distribution.State // of this process
	heartbeatInterval time.Duration              // between two commands where nothing changes
	log               *slog.Logger
}

// Work is the work of the role: it lasts for as long as the context does.
func (p *registerPublisher) Work(ctx context.Context, tenure *election.Tenure) {
	source, closed, err := p.direct.open()
	if err != nil {
		p.log.Error("fleet: the register can't be watched", "error", err)
		return
	}
	defer closed()
	news := make(chan registry.Update)
	go source.Run(ctx, func(n registry.Update) {
		select {
		case news <- n:
		case <-ctx.Done():
		}
	})
	beat := time.NewTicker(p.heartbeatInterval)
	defer beat.Stop()
	pending := newPendingChanges(p.log)
	support := voterSupport{link: p.link, log: p.log}
	delay := publishDelay{minDelay: p.heartbeatInterval}
	heard := false
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-news:
			heard = n.Kind != registry.Unavailable
			pending.update(n)
		case <-beat.C:
		}
		// Without news of the register there is no heartbeat either: the others look for
		// themselves.
		if heard && delay.elapsed(time.Now()) && support.ready(ctx) && tenure.Holds() {
			err := p.publish(ctx, pending.command(tenure.Term, p.replica()))
			pending.record(err)
			delay.record(time.Now(), err)
		}
	}
}

// publishDelay is how long nothing is proposed after a command that was not agreed on. That it may
// be under way yet, on voters that are late, is no reason to give them more.
type publishDelay struct {
	minDelay  time.Duration
	nextDelay time.Duration // after the next failure; 0: least
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

// publish has the fleet agree on a command.
func (p *registerPublisher) publish(ctx context.Context, command *distributionpb.Command) error {
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

// pendingChanges is the list of servers as the register has it, and what of it is not agreed yet.
type pendingChanges struct {
	log     *slog.Logger
	epoch   uint64
	values  map[string][]byte // by id
	changed map[string]bool   // ids whose record is not agreed as it is

	// Until the first command of a term is agreed on it is not known what the state is: a command
	// without an answer may have been carried out. So each further one has all records that an
	// earlier one had, as they are now.
	firstOfTerm      bool
	proposedComplete bool            // such a command had the whole list
	proposed         map[string]bool // ids that such a command had
	refusals         int
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

// update takes in what the register told.
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

// command is what is to be agreed on: what changed, or a heartbeat. The first one of a term has
// what is other than the replica of this process, or the whole list where there is nothing to tell
// that from.
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

// addDifference adds the ids of all servers that a state has otherwise than the register.
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

// changesFor are the changes that make some ids what the register has.
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

// record takes in how the last command ended.
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
