package endpointwatch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/dataplane/registry"
	"mothcleat/internal/mustjson"
)

// Work watches the registry as the leader of the role and writes the list to the replicated state
// until the context ends. It is an election.Work.
func (s *Source) Work(ctx context.Context, tenure *election.Tenure) {
	source, release, err := s.openDirect()
	if err != nil {
		s.Log.Error("fleet: the register can't be watched", "error", err)
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
	heartbeat := time.NewTicker(max(50*time.Millisecond, s.SilenceTimeout/4))
	defer heartbeat.Stop()
	list := newPendingList()
	available := false
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-updates:
			available = update.Kind != registry.Unavailable
			if available {
				list.apply(update)
			}
		case <-heartbeat.C:
		}
		// While the registry is unavailable there are no heartbeats, so that the other gateways
		// start to watch it themselves.
		if !available || !tenure.Holds() {
			continue
		}
		if s.write(ctx, list.op(tenure.Term)) == nil {
			list.markWritten()
		}
	}
}

// pendingList is the list of servers in the registry, and the set of its changes that are not
// written yet.
type pendingList struct {
	servers  map[string]json.RawMessage // by id
	changed  map[string]json.RawMessage // by id, since the last write; null for a removed server
	complete bool                       // the next write has to be the complete list
}

func newPendingList() *pendingList {
	return &pendingList{
		servers:  map[string]json.RawMessage{},
		changed:  map[string]json.RawMessage{},
		complete: true,
	}
}

// apply applies an update of the registry.
func (l *pendingList) apply(update registry.Update) {
	if update.Kind == registry.CompleteList {
		clear(l.servers)
		clear(l.changed)
		l.complete = true
	}
	for _, member := range update.Members {
		if member.Phase == registry.Gone {
			delete(l.servers, member.ID)
			l.changed[member.ID] = json.RawMessage("null")
			continue
		}
		raw := mustjson.Marshal(member)
		l.servers[member.ID] = raw
		l.changed[member.ID] = raw
	}
}

// op returns the command that writes the pending changes. Without changes it is a heartbeat.
func (l *pendingList) op(term uint64) endpointlist.Op {
	if l.complete {
		return endpointlist.Op{Term: term, Complete: true, Changed: l.servers}
	}
	return endpointlist.Op{Term: term, Changed: l.changed}
}

// markWritten records that the last command was applied.
func (l *pendingList) markWritten() {
	clear(l.changed)
	l.complete = false
}

// write proposes a command and waits until it is applied. The error says why it was not applied.
func (s *Source) write(ctx context.Context, op endpointlist.Op) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rejection, err := s.Client.Propose(ctx, endpointlist.MachineName, mustjson.Marshal(op))
	if err == nil && len(rejection) > 0 {
		err = errors.New(string(rejection))
	}
	if err != nil && ctx.Err() == nil {
		s.Log.Warn("fleet: could not write the list of servers", "term", op.Term, "error", err)
	}
	return err
}
