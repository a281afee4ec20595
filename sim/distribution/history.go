package distribution

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustproto"
)

// lineage is what a fleet has committed since it was created.
type lineage struct {
	epoch uint64
	log   []entry
	term  uint64
	owner lease.Member
	// states are the model's states by revision.
	states []records
}

// records are the model's values by id.
type records map[string]string

// entry is an entry of the log: a command, or a new leader of the source.
type entry struct {
	who  lease.Member
	term uint64
	// command is empty if the term begins.
	command []byte
}

// newLineage starts the lineage of an epoch at revision 0.
func (w *World) newLineage(epoch uint64) {
	w.lineage = &lineage{epoch: epoch, states: []records{{}}}
	w.lineages[epoch] = w.lineage
}

// newest returns the last revision.
func (l *lineage) newest() uint64 { return uint64(len(l.states) - 1) }

// startTerm begins the term of another leader.
func (l *lineage) startTerm(who lease.Member) {
	l.term++
	l.owner = who
	l.log = append(l.log, entry{who: who, term: l.term})
}

// publish appends a command, and applies it to the model if its term is the newest. A change
// without a value is a deletion.
func (l *lineage) publish(who lease.Member, term uint64, complete bool, changes records) {
	l.command(who, &distributionpb.Command{Term: term, Epoch: l.epoch, Complete: complete}, changes)
	if term == l.term && who == l.owner {
		l.model(complete, changes)
	}
}

// publishDifference appends the first command of a term as the difference from a position. The
// command is accepted if that position is still the newest.
func (l *lineage) publishDifference(base distribution.Position, changes records) (taken bool) {
	l.command(l.owner,
		&distributionpb.Command{Term: l.term, Epoch: l.epoch, Base: base.Proto()}, changes)
	if base.Epoch != l.epoch || base.Revision != l.newest() {
		return false
	}
	l.model(false, changes)
	return true
}

// command appends a command to the log.
func (l *lineage) command(who lease.Member, command *distributionpb.Command, changes records) {
	for id, value := range changes {
		command.Changes = append(command.Changes, &distributionpb.Change{
			Kind:    distributionpb.Kind_KIND_SERVER,
			Id:      id,
			Value:   []byte(value),
			Deleted: value == "",
		})
	}
	l.log = append(l.log, entry{who, command.Term, mustproto.Marshal(command)})
}

// model applies a command to the model.
func (l *lineage) model(complete bool, changes records) {
	last := l.states[len(l.states)-1]
	next := maps.Clone(last)
	if complete {
		clear(next)
	}
	for id, value := range changes {
		if value == "" {
			delete(next, id)
		} else {
			next[id] = value
		}
	}
	if len(l.states) == 1 || !maps.Equal(last, next) {
		l.states = append(l.states, next)
	}
}

// registry is the true list of servers, and the leader that watches it.
type registry struct {
	servers records
	phases  map[string]distributionpb.Phase
	watcher lease.Member
	term    uint64
	// completeDue is set if the watcher has not published the complete list yet.
	completeDue bool
	next        int
	// pending are changes that the watcher has not published yet.
	pending records
}

// The bounds of the list's size. The list exceeds several messages of buckets.
const (
	minServers = 30
	maxServers = 80
)

// change draws one change of the list, and returns its id.
func (r *registry) change(random *rand.Rand, now time.Duration) string {
	what := random.IntN(10)
	if len(r.servers) < minServers || what < 2 && len(r.servers) < maxServers {
		r.next++
		id := fmt.Sprintf("server-%d", r.next)
		r.set(id, distributionpb.Phase_PHASE_READY, now)
		return id
	}
	id := r.pick(random)
	switch {
	case what < 4:
		delete(r.servers, id)
		delete(r.phases, id)
	case what < 7:
		r.set(id, distributionpb.Phase_PHASE_DRAINING, now)
	default:
		r.set(id, distributionpb.Phase_PHASE_READY, now)
	}
	return id
}

// pick draws one of the servers.
func (r *registry) pick(random *rand.Rand) string {
	for {
		id := fmt.Sprintf("server-%d", 1+random.IntN(r.next))
		if _, there := r.servers[id]; there {
			return id
		}
	}
}

func (r *registry) set(id string, phase distributionpb.Phase, now time.Duration) {
	raw, err := proto.Marshal(&distributionpb.ServerRecord{
		Address:   "10.0.0.1:" + id,
		Phase:     phase,
		StartedMs: now.Milliseconds(),
	})
	if err != nil {
		panic(err) // can't happen with plain data
	}
	r.servers[id], r.phases[id] = string(raw), phase
}

// createFleet creates the fleet.
func (w *World) createFleet(size Size) {
	w.registry = registry{
		servers: records{},
		phases:  map[string]distributionpb.Phase{},
		pending: records{},
	}
	w.newLineage(1_000)
	w.newWatcher()
	for i := range size.Servers {
		s := &server{id: fmt.Sprintf("control-%d", i), zone: fmt.Sprintf("zone-%d", i%3)}
		w.servers = append(w.servers, s)
		w.restart(s, w.lineage, 0)
	}
	for i := range size.Replicas {
		r := &replica{id: fmt.Sprintf("gateway-%d", i), zone: fmt.Sprintf("zone-%d", i%3)}
		w.replicas = append(w.replicas, r)
		w.startReplica(r)
	}
	w.after(0, w.heartbeat)
}

// newWatcher makes another gateway watch the registry. Its complete list contains the changes that
// the former watcher had not published.
func (w *World) newWatcher() {
	w.lineage.startTerm(lease.Member{ID: "watcher", Incarnation: w.random.Uint64()})
	w.registry.watcher = w.lineage.owner
	w.registry.term = w.lineage.term
	w.registry.completeDue = true
}

// changeRegistry changes the list, sometimes in bursts, and has the watcher publish the changes up
// to 20 ms later.
func (w *World) changeRegistry() {
	if w.quiet {
		return // replicas must notice that the last delta was lost without a further change
	}
	burst := 1
	if w.random.IntN(10) == 0 {
		burst = 2 + w.random.IntN(12)
	}
	for range burst {
		id := w.registry.change(w.random, w.now)
		w.registry.pending[id] = w.registry.servers[id]
	}
	w.after(w.between(0, 20*time.Millisecond), w.publishChanges)
	pause := w.between(20*time.Millisecond, 800*time.Millisecond)
	if w.random.IntN(30) == 0 {
		pause = w.between(2*time.Second, 6*time.Second)
	}
	w.after(pause, w.changeRegistry)
}

// heartbeat has the watcher publish every second.
func (w *World) heartbeat() {
	w.publishChanges()
	w.after(time.Second, w.heartbeat)
}

// publishChanges has the watcher publish its pending changes. It sometimes adds a late command
// before them, under a term that has ended. That command must be rejected.
func (w *World) publishChanges() {
	r := &w.registry
	if w.chance("late command", 60) {
		w.lineage.publish(lease.Member{ID: "watcher", Incarnation: 1}, r.term-1, true,
			records{"server-1": string(r.servers["server-1"])})
	}
	switch {
	case r.completeDue && w.random.IntN(2) == 0 && w.publishDifference():
	case r.completeDue:
		w.lineage.publish(r.watcher, r.term, true, maps.Clone(r.servers))
	default:
		w.lineage.publish(r.watcher, r.term, false, maps.Clone(r.pending))
	}
	r.completeDue = false
	clear(r.pending)
	w.result.Revisions = int(w.lineage.newest())
	for _, s := range w.servers {
		w.pull(s)
	}
}

// publishDifference has a new watcher publish the difference from some gateway's state, which may
// be older than the committed one.
func (w *World) publishDifference() (taken bool) {
	state := w.replicas[w.random.IntN(len(w.replicas))].client.State()
	if state.Empty() {
		return false
	}
	changes := maps.Clone(w.registry.servers)
	state.Range(distribution.KindServer, func(r distribution.Record) bool {
		value, there := w.registry.servers[r.ID]
		switch {
		case !there:
			changes[r.ID] = ""
		case value == string(r.Value):
			delete(changes, r.ID)
		}
		return true
	})
	if taken = w.lineage.publishDifference(state.Position(), changes); taken {
		w.result.Faults["term from a difference"]++
	} else {
		w.result.Faults["old difference refused"]++
	}
	return taken
}

// recreateFleet wipes all servers and creates another fleet of the same name. One server of the
// former fleet may continue to run for up to 10 seconds.
func (w *World) recreateFleet() {
	w.newLineage(w.lineage.epoch + 1 + uint64(w.random.IntN(5)))
	w.newWatcher()
	w.publishChanges()
	for i, s := range w.servers {
		if i == 0 && w.random.IntN(2) == 0 {
			w.result.Faults["old server"]++
			w.after(w.between(time.Second, 10*time.Second), func() {
				if s.lineage != w.lineage {
					w.restart(s, w.lineage, 0)
				}
			})
			continue
		}
		w.restart(s, w.lineage, 0)
	}
}
