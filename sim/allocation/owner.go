package allocation

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// owner is a process's tenure.
type owner struct {
	clock
	me      lease.Member
	term    uint64
	owner   *allocation.Leader
	until   time.Duration // it holds the duty till then, by its clock
	stopped bool
	round   *controlpb.Round // proposed, without an answer
	body    []byte
	answer  []byte // of the log; nil: not agreed yet
	cut     bool   // it can't renew its holding, nor have anything agreed
}

// takeOver makes a process the owner under the next term. The former owner's holding has ended by then by its
// own clock; it may not know that yet, or be stopped.
func (w *World) takeOver(i int) {
	p := w.members[i]
	for _, o := range w.owners {
		if o.at(w.now) < o.until {
			// As lease has it: the span of the one before is over on its clock first.
			left := time.Duration(float64(o.until-o.at(w.now))/o.pace) + ms
			w.advance(left)
		}
	}
	w.term++
	w.leader = lease.Member{ID: p.me.ID, Incarnation: p.me.Incarnation}
	o := &owner{clock: p.clock, me: p.me, term: w.term}
	o.until = o.at(w.now) + time.Second
	w.owners = append(w.owners, o)
	if len(w.owners) > 3 {
		w.owners = w.owners[1:]
	}
	var books controlpb.Ledger
	if err := proto.Unmarshal(w.log.Query(0, []byte(allocation.RoleOfShard(0))), &books); err != nil {
		panic(err)
	}
	own, err := allocation.NewLeader(o.at(w.now), w.rules, allocation.RoleOfShard(0), o.term, &books)
	if err != nil {
		panic(err)
	}
	o.owner = own
}

// owner returns the owner under the newest term.
func (w *World) owner() *owner { return w.owners[len(w.owners)-1] }

// plan has an owner propose a round, unless one is proposed already.
func (w *World) plan(o *owner) {
	if o.stopped || o.round != nil || o.at(w.now) >= o.until {
		return
	}
	if o.round = o.owner.Plan(o.at(w.now)); o.round != nil {
		o.body, o.answer = encode(o.round), nil
		w.res.Rounds++
	}
}

// agree has the log take an owner's round.
func (w *World) agree(o *owner) {
	if o.round == nil || o.answer != nil || o.cut && w.often(2) {
		return // one that is cut may have had its word on the way
	}
	o.answer = w.log.Apply(w.now, 0, o.me, o.body)
	var r allocation.Result
	if err := json.Unmarshal(o.answer, &r); err != nil {
		panic(err)
	}
	if !r.OK && o.term == w.term {
		w.breach("refused_round", "term %d: %s", o.term, r.Why)
	}
}

// learn tells an owner the result of its round.
func (w *World) learn(o *owner) {
	if o.stopped || o.round == nil || o.answer == nil {
		return
	}
	var r allocation.Result
	if err := json.Unmarshal(o.answer, &r); err != nil {
		panic(err)
	}
	if r.OK {
		o.owner.Committed(o.at(w.now))
	} else {
		o.owner.Rejected(o.at(w.now))
	}
	o.round = nil
}
