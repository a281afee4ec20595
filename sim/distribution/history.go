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

// lineage is what a fleet has agreed on since it was founded.
type lineage struct {
	epoch  uint64
	log    []entry
	term   uint64
	owner  lease.Member
	states []records // by revision: the model
}

// records is the model's state: the values by id.
type records map[string]string

// entry is one of the log: a command, or that the source has another owner.
type entry struct {
	who     lease.Member
	term    uint64
	command []byte // empty: the term begins
}

// newLineage has the fleet begin at revision 0 of an epoch.
func (w *World) newLineage(epoch uint64) {
	w.lineage = &lineage{epoch: epoch, states: []records{{}}}
	w.lineages[epoch] = w.lineage
}

// newest is the last revision.
func (l *lineage) newest() uint64 { return uint64(len(l.states) - 1) }

// startTerm has another owner.
func (l *lineage) startTerm(who lease.Member) {
	l.term++
	l.owner = who
	l.log = append(l.log, entry{who: who, term: l.term})
}

// publish appends a command, and has the model take it in if its term is the newest. A change
// without value is a deletion.
func (l *lineage) publish(who lease.Member, term uint64, whole bool, changes records) {
	l.command(who, &distributionpb.Command{Term: term, Epoch: l.epoch, Complete: whole}, changes)
	if term == l.term && who == l.owner {
		l.model(whole, changes)
	}
}

// publishDifference appends the first command of a term as the difference to a revision. It counts
// where that is still the newest.
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

func (l *lineage) model(whole bool, changes records) {
	last := l.states[len(l.states)-1]
	next := maps.Clone(last)
	if whole {
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

// registry is the list of servers as it really is, and who watches it.
type registry struct {
	servers     records
	phases      map[string]distributionpb.Phase
	watcher     lease.Member
	term        uint64
	completeDue bool // the watcher has not said it yet
	next        int
	pending     records // changes that the watcher has not said yet
}

// Between how many servers the list has, but at the beginning: enough for several messages of
// buckets.
const (
	minServers = 30
	maxServers = 80
)

// change draws one change of the list, and gives its id.
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

// pick is one of the servers, the same for the same randomness.
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
		panic(err) // plain data
	}
	r.servers[id], r.phases[id] = string(raw), phase
}

// createFleet begins the fleet.
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

// newWatcher has another gateway watch the register. What the last one had not said is in its whole
// list.
func (w *World) newWatcher() {
	w.lineage.startTerm(lease.Member{ID: "watcher", Incarnation: w.random.Uint64()})
	w.registry.watcher, w.registry.term, w.registry.completeDue = w.lineage.owner, w.lineage.term, true
}

// changeRegister changes the list, now and then in bursts, and has the watcher say so, a little
// later.
func (w *World) changeRegister() {
	if w.quiet {
		return // so that what a link has lost just before has to be missed without a further change
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
	w.after(pause, w.changeRegister)
}

// heartbeat has the watcher say something regularly.
func (w *World) heartbeat() {
	w.publishChanges()
	w.after(time.Second, w.heartbeat)
}

// publishChanges has the watcher say what has changed; or, late and under a term that has ended,
// what nobody is to take in.
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

// publishDifference has a new watcher say the difference to what some gateway has, which may be
// older than what is agreed.
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

// recreateFleet wipes all servers and founds another fleet of the same name. One old server may go
// on for a while.
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
