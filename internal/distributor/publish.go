package distributor

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/distribution"
	"mothcleat/internal/distributionpb"
	"mothcleat/internal/duties"
	"mothcleat/internal/fleetlink"
	"mothcleat/internal/registry"
)

const publishTimeout = 2 * time.Second

// registerPublisher watches the register on behalf of the fleet and has what changed of it agreed on.
type registerPublisher struct {
	direct *directSources
	link   *fleetlink.Client
	beat   time.Duration // between two commands where nothing changes
	log    *slog.Logger
}

// Work is the work of the role: it lasts for as long as the context does.
func (p *registerPublisher) Work(ctx context.Context, tenure *duties.Tenure) {
	source, closed, err := p.direct.open()
	if err != nil {
		p.log.Error("fleet: the register can't be watched", "error", err)
		return
	}
	defer closed()
	news := make(chan registry.News)
	go source.Run(ctx, func(n registry.News) {
		select {
		case news <- n:
		case <-ctx.Done():
		}
	})
	beat := time.NewTicker(p.beat)
	defer beat.Stop()
	pending := newPendingChanges(p.log)
	support := voterSupport{link: p.link, log: p.log}
	heard := false
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-news:
			heard = n.Kind != registry.Unheard
			pending.take(n)
		case <-beat.C:
		}
		// Without news of the register there is no heartbeat either: the others look for themselves.
		if heard && support.ready(ctx) && tenure.Holds() && p.publish(ctx, pending.command(tenure.Term)) == nil {
			pending.agreed()
		}
	}
}

// publish has the fleet agree on a command.
func (p *registerPublisher) publish(ctx context.Context, command *distributionpb.Command) error {
	body, err := proto.Marshal(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	refusal, err := p.link.Do(ctx, distribution.MachineName, body)
	if err == nil && len(refusal) > 0 {
		err = errors.New(string(refusal))
	}
	if err != nil && ctx.Err() == nil {
		p.log.Warn("fleet: the list of servers was not taken", "term", command.Term, "error", err)
	}
	return err
}

// pendingChanges is the list of servers as the register has it, and what of it is not agreed yet. A command whose
// outcome is not known stays pending: setting a record twice does no harm.
type pendingChanges struct {
	log     *slog.Logger
	epoch   uint64
	values  map[string][]byte // by id
	changed map[string]bool   // ids whose record is not agreed as it is
	whole   bool              // nothing was agreed under this term yet
}

func newPendingChanges(log *slog.Logger) *pendingChanges {
	return &pendingChanges{
		log: log, epoch: uint64(time.Now().UnixNano()), values: map[string][]byte{}, changed: map[string]bool{}, whole: true,
	}
}

// take takes in what the register told.
func (p *pendingChanges) take(n registry.News) {
	switch n.Kind {
	case registry.Unheard:
		return
	case registry.Whole:
		p.deleteAllBut(n.Members)
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

func (p *pendingChanges) deleteAllBut(members []registry.Member) {
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

// command is what is to be agreed on: what changed, or a heartbeat. The first one of a term has the whole list.
func (p *pendingChanges) command(term uint64) *distributionpb.Command {
	command := &distributionpb.Command{Term: term, Epoch: p.epoch, Whole: p.whole}
	ids := maps.Keys(p.changed)
	if p.whole {
		ids = maps.Keys(p.values)
	}
	for _, id := range slices.Sorted(ids) {
		value, there := p.values[id]
		command.Changes = append(command.Changes, &distributionpb.Change{
			Kind: distributionpb.Kind_KIND_SERVER, Id: id, Value: value, Deleted: !there,
		})
	}
	return command
}

// agreed takes in that the last command is agreed.
func (p *pendingChanges) agreed() {
	clear(p.changed)
	p.whole = false
}
