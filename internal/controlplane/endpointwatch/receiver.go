package endpointwatch

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/dataplane/registry"
)

// startTimeout replaces Source.SilenceTimeout at startup: the time for which a gateway that starts
// waits for the replicated list. It is shorter than Source.SilenceTimeout.
const startTimeout = 100 * time.Millisecond

// receiver receives the replicated list and delivers it to one gateway. Only the goroutine of
// Source.Run uses it.
type receiver struct {
	source  *Source
	deliver func(registry.Update)

	// gate rejects heads of former leaders. It need not be stored, because the effects of the list
	// end with the process.
	gate         lease.Gate
	last         endpointlist.Head          // the last head that was accepted
	delivered    map[string]json.RawMessage // the replicated list as delivered; nil if none was
	lastReceived time.Time

	ownUpdates chan registry.Update // updates of this gateway's own watch
	cancelOwn  context.CancelFunc   // ends this gateway's own watch; nil if there is none
}

// watchHeads sends each head of the list to the channel, which has to have a buffer of one. A head
// that still waits there is replaced by a newer one.
func (s *Source) watchHeads(ctx context.Context, heads chan endpointlist.Head) {
	s.Client.Watch(ctx, endpointlist.MachineName, func(state []byte) {
		var head endpointlist.Head
		if json.Unmarshal(state, &head) != nil || head.Term == 0 {
			return
		}
		select {
		case <-heads:
		default:
		}
		heads <- head
	})
}

// receiveHead handles a head, and fetches the list if it has changed or the gateway does not have
// the replicated list.
func (r *receiver) receiveHead(ctx context.Context, head endpointlist.Head) {
	if _, err := r.gate.Admit(endpointlist.Role, head.Term, head.Leader); err != nil {
		r.source.Log.Debug("fleet: ignored a former leader's list of servers", "error", err)
		return
	}
	if head.Heartbeats <= r.last.Heartbeats {
		return // from a voter that lags, or a repetition
	}
	if head.Version != r.last.Version || r.delivered == nil || r.cancelOwn != nil {
		list, ok := r.fetch(ctx)
		if !ok {
			return // the head counts as not received
		}
		r.stopOwnWatch()
		r.deliverChanges(list)
		head = list.Head
	}
	r.last, r.lastReceived = head, time.Now()
}

// fetch reads the list. It returns false if the list can't be read or is a former leader's.
func (r *receiver) fetch(ctx context.Context) (*endpointlist.List, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := r.source.Client.Read(ctx, endpointlist.MachineName, []byte("list"))
	if err != nil {
		return nil, false
	}
	var list endpointlist.List
	if json.Unmarshal(raw, &list) != nil {
		return nil, false
	}
	_, err = r.gate.Admit(endpointlist.Role, list.Term, list.Leader)
	return &list, err == nil
}

// deliverChanges delivers the differences from the replicated list that was delivered before, or
// the complete list if there was none.
func (r *receiver) deliverChanges(list *endpointlist.List) {
	update := registry.Update{Kind: registry.Delta}
	if r.delivered == nil {
		update.Kind = registry.CompleteList
	}
	for id, raw := range list.Servers {
		before, known := r.delivered[id]
		if known && bytes.Equal(before, raw) {
			continue
		}
		var member registry.Member
		if json.Unmarshal(raw, &member) == nil {
			update.Members = append(update.Members, member)
		}
	}
	for id, raw := range r.delivered {
		if _, listed := list.Servers[id]; listed {
			continue
		}
		var member registry.Member
		if json.Unmarshal(raw, &member) == nil {
			member.Phase = registry.Gone
			update.Members = append(update.Members, member)
		}
	}
	slices.SortFunc(update.Members, removedFirst)
	r.delivered = list.Servers
	if update.Kind == registry.CompleteList || len(update.Members) > 0 {
		r.deliver(update)
	}
}

// removedFirst orders removed members before others, because an address may have passed from one id
// to another. Members of the same kind are ordered by id.
func removedFirst(a, b registry.Member) int {
	aRemoved, bRemoved := a.Phase == registry.Gone, b.Phase == registry.Gone
	if aRemoved != bRemoved {
		if aRemoved {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.ID, b.ID)
}

// startOwnWatch starts this gateway's own watch of the registry, unless there is one already.
func (r *receiver) startOwnWatch(ctx context.Context) {
	if r.cancelOwn != nil {
		return
	}
	source, release, err := r.source.openDirect()
	if err != nil {
		return
	}
	silentFor := time.Since(r.lastReceived).Round(time.Millisecond).String()
	r.source.Log.Warn(
		"fleet: the list of servers is not received: this gateway watches the register itself",
		"silent_for", silentFor)
	ctx, r.cancelOwn = context.WithCancel(ctx)
	r.delivered = nil // the next replicated list has to be delivered completely
	updates := r.ownUpdates
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

// stopOwnWatch ends this gateway's own watch, if there is one.
func (r *receiver) stopOwnWatch() {
	if r.cancelOwn == nil {
		return
	}
	r.cancelOwn()
	r.cancelOwn = nil
	r.source.Log.Info("fleet: the list of servers is heard again")
}
