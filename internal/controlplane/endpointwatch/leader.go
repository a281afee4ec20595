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

// Work watches the register and writes the list to the replicated state, as the leader of the role,
// until its context ends.
func (s *Source) Work(ctx context.Context, tenure *election.Tenure) {
	source, closed, err := s.openDirect()
	if err != nil {
		s.Log.Error("fleet: the register can't be watched", "error", err)
		return
	}
	defer closed()
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
		// While the register is unavailable there is no heartbeat: the others look for themselves.
		if !available || !tenure.Holds() {
			continue
		}
		if s.write(ctx, list.op(tenure.Term)) == nil {
			list.written()
		}
	}
}

// pendingList is the list as the register has it, with what is not written yet.
type pendingList struct {
	servers  map[string]json.RawMessage // by id
	changed  map[string]json.RawMessage // since the last write; null: removed
	complete bool                       // the next write has to be the complete list
}

func newPendingList() *pendingList {
	return &pendingList{
		servers:  map[string]json.RawMessage{},
		changed:  map[string]json.RawMessage{},
		complete: true,
	}
}

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

// op returns the command that writes what is pending.
func (l *pendingList) op(term uint64) endpointlist.Op {
	if l.complete {
		return endpointlist.Op{Term: term, Complete: true, Changed: l.servers}
	}
	return endpointlist.Op{Term: term, Changed: l.changed}
}

// written takes note that the last command was applied.
func (l *pendingList) written() {
	clear(l.changed)
	l.complete = false
}

// write proposes a command and returns why it was not applied.
func (s *Source) write(ctx context.Context, op endpointlist.Op) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	why, err := s.Client.Propose(ctx, endpointlist.MachineName, mustjson.Marshal(op))
	if err == nil && len(why) > 0 {
		err = errors.New(string(why))
	}
	if err != nil && ctx.Err() == nil {
		s.Log.Warn("fleet: the list of servers was not taken", "term", op.Term, "error", err)
	}
	return err
}
