package allocation

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// tenure is the time in which one process leads the shard under one term.
type tenure struct {
	clock
	me          lease.Member
	term        uint64
	leader      *allocation.Leader
	leaseUntil  time.Duration // by its clock
	stopped     bool
	round       *controlpb.Round // proposed, with an outcome that it does not know yet
	body        []byte
	response    []byte // of the state machine; nil: not committed yet
	partitioned bool   // it can neither renew its lease nor commit
}

// electLeader makes a process the leader under the next term. The lease of the former leader has
// expired by its own clock; it may not know that yet, or be stopped.
func (w *World) electLeader(i int) {
	p := w.members[i]
	for _, o := range w.tenures {
		if o.at(w.now) < o.leaseUntil {
			// As in package lease: the former lease expires first by its holder's clock.
			remaining := time.Duration(float64(o.leaseUntil-o.at(w.now))/o.pace) + ms
			w.advance(remaining)
		}
	}
	w.term++
	w.leader = lease.Member{ID: p.me.ID, Incarnation: p.me.Incarnation}
	w.tracef("%v leads term %d", p.me, w.term)
	o := &tenure{clock: p.clock, me: p.me, term: w.term}
	o.leaseUntil = o.at(w.now) + time.Second
	w.tenures = append(w.tenures, o)
	if len(w.tenures) > 3 {
		w.tenures = w.tenures[1:]
	}
	role := allocation.RoleOfShard(0)
	var ledger controlpb.Ledger
	if err := proto.Unmarshal(w.machine.Query(0, []byte(role)), &ledger); err != nil {
		panic(err)
	}
	leader, err := allocation.NewLeader(o.at(w.now), w.config, role, o.term, &ledger)
	if err != nil {
		panic(err)
	}
	o.leader = leader
}

// currentTenure returns the tenure under the newest term.
func (w *World) currentTenure() *tenure { return w.tenures[len(w.tenures)-1] }

// proposeRound lets a leader propose a round, unless one is under way.
func (w *World) proposeRound(o *tenure) {
	if o.stopped || o.round != nil || o.at(w.now) >= o.leaseUntil {
		return
	}
	o.round = o.leader.Plan(o.at(w.now))
	if o.round == nil {
		return
	}
	o.body = encode(o.round)
	o.response = nil
	w.res.Rounds++
	w.tracef("the leader of term %d proposes %v", o.term, o.round)
}

// commitRound applies a leader's round to the state machine. The round of a partitioned leader may
// still be committed, because it may have been in flight.
func (w *World) commitRound(o *tenure) {
	if o.round == nil || o.response != nil || o.partitioned && w.oneIn(2) {
		return
	}
	o.response = w.machine.Apply(w.now, 0, o.me, o.body)
	var r allocation.Result
	if err := json.Unmarshal(o.response, &r); err != nil {
		panic(err)
	}
	if !r.OK && o.term == w.term {
		w.breach("refused_round", "term %d: %s", o.term, r.Why)
	}
}

// learnOutcome lets a leader know the outcome of its round.
func (w *World) learnOutcome(o *tenure) {
	if o.stopped || o.round == nil || o.response == nil {
		return
	}
	var r allocation.Result
	if err := json.Unmarshal(o.response, &r); err != nil {
		panic(err)
	}
	if r.OK {
		w.tracef("the leader of term %d learns that %v is committed", o.term, o.round)
		o.leader.Committed(o.at(w.now))
	} else {
		w.tracef("the leader of term %d learns that %v is rejected", o.term, o.round)
		o.leader.Rejected(o.at(w.now))
	}
	o.round = nil
}
