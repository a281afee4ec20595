// Package endpointwatch has one gateway watch the register for the whole fleet. The others hear each version
// through the agreed state; a gateway that has heard nothing for a while watches by itself until it hears again.
package endpointwatch

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/dataplane/registry"
)

// Watch is a gateway's part in it: a registry.Source for its loop, and the work of the duty.
type Watch struct {
	// Direct makes a source that asks the register itself. Several may run at once.
	Direct func() (registry.Source, error)
	Client *controlrpc.Client
	Silent time.Duration // heard nothing for so long: it watches by itself
	Log    *slog.Logger

	mu     sync.Mutex
	direct []registry.Source // that run now: they move together
	moved  string            // the last address; "": none was told
}

const (
	askWithin   = 2 * time.Second
	firstWithin = 100 * time.Millisecond
)

// open makes a direct source that moves with the others.
func (w *Watch) open() (registry.Source, func(), error) {
	s, err := w.Direct()
	if err != nil {
		return nil, nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.moved != "" {
		s.Move(w.moved)
	}
	w.direct = append(w.direct, s)
	return s, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.direct = slices.DeleteFunc(w.direct, func(o registry.Source) bool { return o == s })
	}, nil
}

// Follow does nothing: the register answers whoever asks.
func (w *Watch) Follow() {}

// Move has the register followed at another address, by whoever of this process asks it.
func (w *Watch) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moved = address
	for _, s := range w.direct {
		s.Move(address)
	}
}

// Work watches the register on behalf of the fleet.
func (w *Watch) Work(ctx context.Context, t *election.Tenure) {
	source, closed, err := w.open()
	if err != nil {
		w.Log.Error("fleet: the register can't be watched", "error", err)
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
	beat := time.NewTicker(max(50*time.Millisecond, w.Silent/4))
	defer beat.Stop()
	list := map[string]json.RawMessage{}  // as the register has it; null: gone, to be told
	waits := map[string]json.RawMessage{} // what was not told yet
	whole, heard := true, false           // the first word is the whole list
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-news:
			if heard = n.Kind != registry.Unavailable; !heard {
				continue // no beat until it is heard again: the others look for themselves
			}
			if n.Kind == registry.CompleteList {
				clear(list)
				clear(waits)
				whole = true
			}
			for _, m := range n.Members {
				raw, err := json.Marshal(m)
				if err != nil {
					panic(err) // plain data
				}
				if m.Phase == registry.Gone {
					delete(list, m.ID)
					raw = []byte("null")
				} else {
					list[m.ID] = raw
				}
				waits[m.ID] = raw
			}
		case <-beat.C:
		}
		if !heard || !t.Holds() {
			continue
		}
		op := endpointlist.Op{Term: t.Term, Whole: whole, Changed: waits}
		if whole {
			op.Changed = list
		}
		if w.say(ctx, op) == nil {
			clear(waits)
			whole = false
		}
	}
}

// say has the fleet agree on a word.
func (w *Watch) say(ctx context.Context, op endpointlist.Op) error {
	raw, err := json.Marshal(op)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	why, err := w.Client.Propose(ctx, endpointlist.MachineName, raw)
	if err == nil && len(why) > 0 {
		err = errors.New(string(why))
	}
	if err != nil && ctx.Err() == nil {
		w.Log.Warn("fleet: the list of servers was not taken", "term", op.Term, "error", err)
	}
	return err
}

// Run brings the list: the fleet's, or this gateway's own where the fleet's is not heard.
func (w *Watch) Run(ctx context.Context, tell func(registry.Update)) {
	heads := make(chan endpointlist.Head, 1)
	go w.Client.Watch(ctx, endpointlist.MachineName, func(state []byte) {
		var h endpointlist.Head
		if json.Unmarshal(state, &h) != nil || h.Term == 0 {
			return
		}
		select {
		case <-heads: // only the newest counts
		default:
		}
		heads <- h
	})
	r := receiver{w: w, tell: tell, news: make(chan registry.Update)}
	defer r.stop()
	look := time.NewTicker(max(20*time.Millisecond, w.Silent/10))
	defer look.Stop()
	r.heard = time.Now().Add(firstWithin - w.Silent) // a start does not wait for long
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-heads:
			r.head(ctx, h)
		case n := <-r.news:
			tell(n)
		case <-look.C:
			if time.Since(r.heard) > w.Silent {
				r.start(ctx)
			}
		}
	}
}

// receiver is one gateway's hearing.
type receiver struct {
	w     *Watch
	tell  func(registry.Update)
	gate  lease.Gate // the list's effects end with the process, and so may the gate
	last  endpointlist.Head
	have  map[string]json.RawMessage // as it was told
	heard time.Time
	news  chan registry.Update // of its own watch
	own   context.CancelFunc   // nil: it has none
}

// head takes in that the fleet's watcher said something.
func (r *receiver) head(ctx context.Context, h endpointlist.Head) {
	if _, err := r.gate.Admit(endpointlist.Role, h.Term, h.Owner); err != nil {
		r.w.Log.Debug("fleet: list of servers", "error", err)
		return
	}
	if h.Beat <= r.last.Beat {
		return // a voter that is behind, or one that repeats itself
	}
	if h.Version != r.last.Version || r.have == nil || r.own != nil {
		one, cancel := context.WithTimeout(ctx, askWithin)
		raw, err := r.w.Client.Read(one, endpointlist.MachineName, []byte("list"))
		cancel()
		var l endpointlist.List
		if err != nil || json.Unmarshal(raw, &l) != nil {
			return // it is not heard, then
		}
		if _, err := r.gate.Admit(endpointlist.Role, l.Term, l.Owner); err != nil {
			return
		}
		r.stop()
		r.say(&l)
		h = l.Head
	}
	r.last, r.heard = h, time.Now()
}

// say tells the loop what is other than it was told.
func (r *receiver) say(l *endpointlist.List) {
	n := registry.Update{Kind: registry.Delta}
	if r.have == nil {
		n.Kind = registry.CompleteList
	}
	for id, raw := range l.Servers {
		if was, ok := r.have[id]; ok && bytes.Equal(was, raw) {
			continue
		}
		var m registry.Member
		if json.Unmarshal(raw, &m) == nil {
			n.Members = append(n.Members, m)
		}
	}
	for id, raw := range r.have {
		if _, there := l.Servers[id]; !there {
			var m registry.Member
			if json.Unmarshal(raw, &m) == nil {
				m.Phase = registry.Gone
				n.Members = append(n.Members, m)
			}
		}
	}
	// What is gone comes first: an address may have passed from one id to another.
	slices.SortFunc(n.Members, func(a, b registry.Member) int {
		gone := func(m registry.Member) int { return map[bool]int{true: 0, false: 1}[m.Phase == registry.Gone] }
		return cmp.Or(cmp.Compare(gone(a), gone(b)), cmp.Compare(a.ID, b.ID))
	})
	if r.have = l.Servers; n.Kind == registry.CompleteList || len(n.Members) > 0 {
		r.tell(n)
	}
}

// start has this gateway watch by itself.
func (r *receiver) start(ctx context.Context) {
	if r.own != nil {
		return
	}
	source, closed, err := r.w.open()
	if err != nil {
		return
	}
	r.w.Log.Warn("fleet: the list of servers is not heard: this gateway watches the register itself", "silent_for", time.Since(r.heard).Round(time.Millisecond).String())
	ctx, r.own = context.WithCancel(ctx)
	r.have = nil // what it told is from elsewhere now: the fleet's list comes whole again
	news := r.news
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

// stop ends this gateway's own watch.
func (r *receiver) stop() {
	if r.own != nil {
		r.own()
		r.own = nil
		r.w.Log.Info("fleet: the list of servers is heard again")
	}
}
