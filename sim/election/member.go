package election

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/mustjson"
)

const (
	leaseRetryDelay = 100 * ms // after a request without an answer
	// minRejectedDelay and maxRejectedDelay bound the pause after a request that was rejected.
	minRejectedDelay = 10 * ms
	maxRejectedDelay = 500 * ms
	resignDelay      = 300 * ms // after a member gave the lease up, until it requests the lease again
	openRetryDelay   = 150 * ms // between two requests for a session

	maxAttempts = 30 // of a command
)

// member is a process with a session, which competes for the role and sends commands of all kinds.
type member struct {
	process     *process
	id          string
	self        lease.Member
	claimant    *lease.Claimant
	targetVoter int // index of the voter that commands are sent to

	session   uint64 // 0: none is open
	opening   bool   // a request for one is in flight
	lastSeq   uint64 // of the newest command
	inFlight  map[uint64]bool
	wordCount int // number of words that it has written
}

// start starts a new incarnation.
func (m *member) start() {
	w := m.process.world
	m.self = lease.Member{ID: m.id, Incarnation: w.random.Uint64()}
	m.claimant = lease.NewClaimant(lease.DefaultConfig(), roleName, m.self)
	m.session = 0
	m.opening = false
	m.lastSeq = 0
	m.inFlight = map[uint64]bool{}
	m.targetVoter = w.random.IntN(w.options.Voters)
	m.process.after(time.Duration(w.random.IntN(100))*ms, m.requestLease)
	m.process.after(time.Duration(w.random.IntN(300))*ms, m.act)
}

// requestLease requests the lease of the role, or its renewal, when the request is due.
func (m *member) requestLease() {
	const checkInterval, maxCheckInterval = 20 * ms, 50 * ms
	now := m.process.clock()
	due, at := m.claimant.Due(now)
	if !due {
		m.process.after(max(ms, min(at-now, maxCheckInterval)), m.requestLease)
		return
	}
	m.claimant.Sent(now)
	command := lease.Command{
		Action: lease.ActionAcquire,
		Role:   roleName,
		Term:   m.claimant.KnownTerm(),
	}
	m.propose(lease.MachineName, command.Encode(), func(answer []byte, ok bool) {
		m.leaseAnswered(now, answer, ok)
	})
	m.process.after(checkInterval, m.requestLease)
}

// leaseAnswered processes the answer to the request for the lease that was sent at sentAt.
func (m *member) leaseAnswered(sentAt time.Duration, answer []byte, ok bool) {
	now := m.process.clock()
	var result lease.Result
	switch {
	case !ok:
		m.claimant.Failed(now, sentAt, leaseRetryDelay)
	case json.Unmarshal(answer, &result) != nil || !result.OK:
		delay := min(maxRejectedDelay, max(minRejectedDelay, result.Remaining))
		m.claimant.Rejected(now, sentAt, delay, result.Reason)
	case m.claimant.GaveUp(result.Lease.Term):
		m.claimant.Failed(now, sentAt, leaseRetryDelay)
		m.changeLease(lease.Command{Action: lease.ActionRelease, Term: result.Lease.Term})
	default:
		m.claimant.Granted(now, sentAt, result.Lease.Term, result.TTL)
	}
}

// changeLease releases or transfers the lease, without waiting for the answer.
func (m *member) changeLease(command lease.Command) {
	command.Role = roleName
	m.propose(lease.MachineName, command.Encode(), func([]byte, bool) {})
}

// act performs random operations at random intervals: it writes, reads, has effects as the leader of
// the role, and sometimes gives the lease up.
func (m *member) act() {
	w := m.process.world
	m.process.after(time.Duration(20+w.random.IntN(250))*ms, m.act)
	switch w.random.IntN(6) {
	case 0, 1:
		m.writeWord()
	case 2:
		m.readWordCount()
	}
	term, ok := m.claimant.Holds(m.process.clock())
	if !ok {
		return
	}
	if w.random.IntN(25) == 0 {
		m.giveLeaseUp(term)
		return
	}
	m.haveEffects(term)
}

// writeWord writes a new word that is unique in the play.
func (m *member) writeWord() {
	m.wordCount++
	word := fmt.Sprintf("%s.%x.%d", m.id, m.self.Incarnation, m.wordCount)
	m.propose(wordListName, []byte(word), func(_ []byte, ok bool) {
		if ok {
			m.process.world.checker.acknowledged[word] = true
		}
	})
}

// readWordCount checks that a read shows at least as many words as were acknowledged before it.
func (m *member) readWordCount() {
	w := m.process.world
	before := len(w.checker.acknowledged)
	to := w.processes[w.random.IntN(w.options.Voters)]
	w.send(m.process, to, func() {
		if to.voter.node == nil || !to.voter.started {
			return
		}
		to.voter.node.Read(wordListName, nil, func(answer *controlpb.Answer) {
			if answer.Code != controlpb.Code_OK {
				return
			}
			count, err := strconv.Atoi(string(answer.Body))
			if err == nil && count < before {
				w.breach(RuleNoStaleRead,
					"a read shows %d words, %d were acknowledged before it was sent", count, before)
			}
		})
	})
}

// giveLeaseUp releases the lease, or transfers it to another member.
func (m *member) giveLeaseUp(term uint64) {
	w := m.process.world
	command := lease.Command{Action: lease.ActionRelease, Term: term}
	to := w.members()[w.random.IntN(w.options.Members)].member
	if to != m && w.random.IntN(2) == 0 {
		command.Action = lease.ActionTransfer
		command.To = to.self
	}
	m.claimant.GiveUp(m.process.clock(), resignDelay, "given up")
	m.changeLease(command)
}

// haveEffects has one effect that is a command, and one at a receiver outside the log, which
// receives it after a delay of up to maxReceiverDelay.
func (m *member) haveEffects(term uint64) {
	const maxReceiverDelay = 800 * ms
	w := m.process.world
	w.result.Effects++
	command := checkpoint.Command{
		Key:   "effect",
		Value: strconv.Itoa(w.result.Effects),
		Role:  roleName,
		Term:  term,
	}
	m.propose(checkpoint.MachineName, mustjson.Marshal(command), func([]byte, bool) {})
	self := m.self
	delay := time.Duration(w.random.Int64N(int64(maxReceiverDelay)))
	w.schedule(delay, func() { w.receive(term, self) })
}

// pendingCommand is a command that is sent until it has a final answer or maxAttempts were made.
type pendingCommand struct {
	member   *member
	message  *controlpb.Command
	done     func(answer []byte, ok bool)
	finished bool
}

// propose sends a command to be applied. It calls done once. If there is no answer, ok is false, and
// the command may have been applied or not.
func (m *member) propose(machine string, body []byte, done func(answer []byte, ok bool)) {
	if m.session == 0 {
		m.openSession()
		done(nil, false)
		return
	}
	m.lastSeq++
	m.inFlight[m.lastSeq] = true
	c := &pendingCommand{member: m, done: done, message: &controlpb.Command{
		Session: m.session,
		Seq:     m.lastSeq,
		Machine: machine,
		Body:    body,
		Member:  m.message(),
	}}
	c.attempt(0)
}

// attempt sends the command for the nth time, and again later if there is no answer.
func (c *pendingCommand) attempt(n int) {
	if c.finished {
		return
	}
	if n == maxAttempts {
		c.finish(nil, false)
		return
	}
	m := c.member
	message := &controlpb.Command{
		Session:  c.message.Session,
		Seq:      c.message.Seq,
		AckedSeq: m.ackedSeq(),
		Machine:  c.message.Machine,
		Body:     c.message.Body,
		Member:   c.message.Member,
	}
	m.send(message, c.answered)
	delay := time.Duration(60+m.process.world.random.IntN(200)) * ms
	m.process.after(delay, func() { c.attempt(n + 1) })
}

// answered processes the answer to one attempt.
func (c *pendingCommand) answered(answer *controlpb.Answer) {
	switch answer.Code {
	case controlpb.Code_OK:
		c.finish(answer.Body, true)
	case controlpb.Code_NO_SESSION:
		if c.member.session == c.message.Session {
			c.member.session = 0
		}
		c.finish(nil, false)
	case controlpb.Code_NOT_LEADER, controlpb.Code_NOT_READY:
		c.member.tryAnotherVoter()
	}
}

func (c *pendingCommand) finish(answer []byte, ok bool) {
	if c.finished {
		return
	}
	c.finished = true
	delete(c.member.inFlight, c.message.Seq)
	c.done(answer, ok)
}

// ackedSeq returns the highest number up to which all commands have ended.
func (m *member) ackedSeq() uint64 {
	acked := m.lastSeq
	for seq := range m.inFlight {
		acked = min(acked, seq-1)
	}
	return acked
}

func (m *member) message() *controlpb.Member {
	return &controlpb.Member{Id: m.self.ID, Incarnation: m.self.Incarnation}
}

func (m *member) tryAnotherVoter() {
	w := m.process.world
	m.targetVoter = w.random.IntN(w.options.Voters)
}

// send sends a command to a voter. The command or its answer may be lost.
func (m *member) send(message *controlpb.Command, answered func(*controlpb.Answer)) {
	w := m.process.world
	to := w.processes[m.targetVoter]
	incarnation := m.process.incarnation
	w.send(m.process, to, func() {
		if to.voter.node == nil || !to.voter.started {
			return
		}
		to.voter.node.Propose(to.clock(), message, func(answer *controlpb.Answer) {
			w.send(to, m.process, func() {
				if m.process.incarnation == incarnation {
					answered(answer)
				}
			})
		})
	})
	if w.random.IntN(6) == 0 {
		m.tryAnotherVoter()
	}
}

// openSession requests a session, unless a request is in flight.
func (m *member) openSession() {
	if m.opening {
		return
	}
	m.opening = true
	m.send(&controlpb.Command{Member: m.message()}, func(answer *controlpb.Answer) {
		if answer.Code == controlpb.Code_OK {
			m.session = answer.Session
		}
		m.tryAnotherVoter()
	})
	m.process.after(openRetryDelay, func() { m.opening = false })
}
