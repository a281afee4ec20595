package consensus

import (
	"strconv"
	"time"

	"go.etcd.io/raft/v3"

	"mothcleat/internal/controlplane/controlpb"
)

// read is a linearizable read in flight.
type read struct {
	tag     any
	machine string
	body    []byte
	members *MembershipQuery // for MembershipName; nil: requests a Membership
}

// readRound is a batch of reads that one exchange of messages with a quorum confirms. An exchange
// costs two messages with each voter, however many reads it confirms. Reads that arrive during an
// exchange wait for the next one, because a read must be confirmed after its arrival.
type readRound struct {
	id    uint64
	reads []*read
	index uint64 // the reads are answered once the entry with this index is applied
}

// reads are the linearizable reads of a leader.
type reads struct {
	waiting   []*read      // for the next round
	round     *readRound   // in flight; nil: none
	confirmed []*readRound // the oldest first
	lastRound uint64       // id of the last round started
}

// Read starts a linearizable read of a state machine: it sees the effects of every command that was
// answered before. Its result is a Completion with the tag.
func (n *Node) Read(machine string, body []byte, tag any) {
	if !n.acceptsRequests(tag) {
		return
	}
	if n.config.StateMachines[machine] == nil && machine != MembershipName {
		n.rejectUnknownMachine(tag, machine)
		return
	}
	r := &read{tag: tag, machine: machine, body: body}
	if machine == MembershipName {
		var err error
		if r.members, err = parseMembershipQuery(body); err != nil {
			n.reject(tag, controlpb.Code_REFUSED, err.Error())
			return
		}
	}
	n.reads.waiting = append(n.reads.waiting, r)
	n.startReadRound()
}

// startReadRound starts a round for the waiting reads unless one is in flight. If the messages of a
// round are lost, the leader's heartbeats repeat it.
func (n *Node) startReadRound() {
	if n.reads.round != nil || len(n.reads.waiting) == 0 {
		return
	}
	n.reads.lastRound++
	n.reads.round = &readRound{id: n.reads.lastRound, reads: n.reads.waiting}
	n.reads.waiting = nil
	n.rawNode.ReadIndex(strconv.AppendUint(nil, n.reads.lastRound, 10))
}

// confirmReads records the index at which the reads of a confirmed round may be answered.
func (n *Node) confirmReads(states []raft.ReadState) {
	for _, state := range states {
		id, err := strconv.ParseUint(string(state.RequestCtx), 10, 64)
		round := n.reads.round
		if err != nil || round == nil || round.id != id {
			continue // of an earlier leadership
		}
		round.index = state.Index
		n.reads.confirmed = append(n.reads.confirmed, round)
		n.reads.round = nil
	}
}

// answerReads answers the confirmed reads whose round's index is applied.
func (n *Node) answerReads(now time.Duration) {
	for len(n.reads.confirmed) > 0 && n.reads.confirmed[0].index <= n.appliedIndex {
		for _, r := range n.reads.confirmed[0].reads {
			n.complete(r.tag, n.readAnswer(r, n.clock.now(now)))
		}
		n.reads.confirmed = n.reads.confirmed[1:]
	}
}

// readAnswer returns the answer to a read; now is the fleet's time.
func (n *Node) readAnswer(r *read, now time.Duration) []byte {
	if r.machine != MembershipName {
		return n.config.StateMachines[r.machine].Query(now, r.body)
	}
	if r.members != nil {
		return n.membershipAnswer(r.members, now)
	}
	return n.encodedMembership(now)
}

// drop removes all reads and returns their tags in the order of their arrival.
func (r *reads) drop() (tags []any) {
	rounds := r.confirmed
	if r.round != nil {
		rounds = append(rounds, r.round)
	}
	rounds = append(rounds, &readRound{reads: r.waiting})
	for _, round := range rounds {
		for _, one := range round.reads {
			tags = append(tags, one.tag)
		}
	}
	r.confirmed = nil
	r.round = nil
	r.waiting = nil
	return tags
}
