package consensus

import (
	"strconv"
	"time"

	"go.etcd.io/raft/v3"

	"mothcleat/internal/controlplane/controlpb"
)

// read is a linearizable read under way.
type read struct {
	tag     any
	machine string
	body    []byte
	members *MembershipQuery // of a read of FleetName; nil: the whole list
}

// readRound is the reads that one exchange of messages with a quorum confirms. An exchange costs two messages with each
// voter, whatever it confirms, so reads that arrive during one wait for the next: they are confirmed after their arrival.
type readRound struct {
	id    uint64
	reads []*read
	index uint64 // they are answered once it is applied
}

// reads is the linearizable reads of a node that leads.
type reads struct {
	waiting   []*read      // for the next round
	round     *readRound   // under way; nil: none
	confirmed []*readRound // in their order
	lastRound uint64
}

// Read asks a machine for what it has, after all that was answered before: it is a linearizable read. It
// ends in a Done with the tag.
func (n *Node) Read(machine string, body []byte, tag any) {
	if !n.able(tag) {
		return
	}
	if n.cfg.StateMachines[machine] == nil && machine != MembershipName {
		n.refuseUnknown(tag, machine)
		return
	}
	r := &read{tag: tag, machine: machine, body: body}
	if machine == MembershipName {
		var err error
		if r.members, err = parseMembershipQuery(body); err != nil {
			n.refuse(tag, controlpb.Code_REFUSED, err.Error())
			return
		}
	}
	n.reads.waiting = append(n.reads.waiting, r)
	n.startReadRound()
}

// startReadRound has a quorum confirm the reads that wait, unless it is confirming others. A round whose messages are lost
// goes out again with the leader's heartbeats.
func (n *Node) startReadRound() {
	if n.reads.round != nil || len(n.reads.waiting) == 0 {
		return
	}
	n.reads.lastRound++
	n.reads.round = &readRound{id: n.reads.lastRound, reads: n.reads.waiting}
	n.reads.waiting = nil
	n.rn.ReadIndex(strconv.AppendUint(nil, n.reads.lastRound, 10))
}

// confirmReads takes in from which index on a round's reads may be answered.
func (n *Node) confirmReads(states []raft.ReadState) {
	for _, s := range states {
		id, err := strconv.ParseUint(string(s.RequestCtx), 10, 64)
		if round := n.reads.round; err == nil && round != nil && round.id == id {
			round.index = s.Index
			n.reads.confirmed = append(n.reads.confirmed, round)
			n.reads.round = nil
		}
	}
}

// answerReads answers the confirmed reads whose index is applied.
func (n *Node) answerReads(now time.Duration) {
	for len(n.reads.confirmed) > 0 && n.reads.confirmed[0].index <= n.applied {
		for _, r := range n.reads.confirmed[0].reads {
			n.answer(r.tag, n.queried(r, n.clock.now(now)))
		}
		n.reads.confirmed = n.reads.confirmed[1:]
	}
}

// queried is the answer to a read at a time of the fleet.
func (n *Node) queried(r *read, at time.Duration) []byte {
	switch {
	case r.machine != MembershipName:
		return n.cfg.StateMachines[r.machine].Query(at, r.body)
	case r.members != nil:
		return n.membershipAnswer(r.members, at)
	}
	return n.list(at)
}

// drop removes all reads and returns their tags in the order of their arrival.
func (r *reads) drop() (tags []any) {
	rounds := r.confirmed
	if r.round != nil {
		rounds = append(rounds, r.round)
	}
	for _, round := range append(rounds, &readRound{reads: r.waiting}) {
		for _, one := range round.reads {
			tags = append(tags, one.tag)
		}
	}
	r.confirmed, r.round, r.waiting = nil, nil, nil
	return tags
}
