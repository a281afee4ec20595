package election

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// voter is one voter: the node and its driver, as internal/controlplane/replica has them on a real disk.
type voter struct {
	p        *proc
	number   uint64
	disk     disk
	older    *consensus.StoredState // a copy of the folder
	node     *consensus.Node
	machines map[string]consensus.StateMachine
	proof    *consensus.Verification
	begun    bool
	refused  string // why it takes no part
	kept     uint64
	slow     time.Duration
	stuck    bool // its disk is slow at something
}

func (p *proc) start() {
	p.up, p.stopped, p.busy, p.inbox = true, false, false, nil
	p.life++
	if p.voter != nil {
		p.voter.start()
	} else {
		p.member.start()
	}
}

func (v *voter) start() {
	d := lease.NewMachine(lease.DefaultConfig())
	v.machines = map[string]consensus.StateMachine{lease.MachineName: d, checkpoint.MachineName: witnessed{checkpoint.NewMachine(d), v},
		"ledger": &ledger{v: v, has: map[string]bool{}}}
	w := v.p.w
	node, err := consensus.Open(v.p.clock(), consensus.Config{Number: v.number, StateMachines: v.machines, Random: rand.New(rand.NewPCG(w.r.Uint64(), 1)),
		ElectionTicks: election, HeartbeatTicks: 2, KeepEntries: w.o.Keep, Logger: silent{}}, copyOf(v.disk.saved))
	if err != nil {
		w.breach("lost_acked", "voter %d can't open its folder: %v", v.number, err)
		return
	}
	v.node, v.begun, v.refused, v.stuck, v.kept = node, false, "", false, v.disk.saved.Snapshot.Metadata.GetIndex()
	v.proof = consensus.NewVerification(node.Position(), w.o.Voters-1)
	v.p.on(tick, v.tick)
	v.prove()
}

// prove asks the others what was promised to them.
func (v *voter) prove() {
	for _, o := range v.p.w.procs[:v.p.w.o.Voters] {
		if o == v.p {
			continue
		}
		v.p.w.send(v.p, o, func() {
			if o.voter.node == nil || o.voter.refused != "" {
				return
			}
			word := o.voter.node.AnswerVerification(v.number)
			v.p.w.send(o, v.p, func() {
				if !v.begun {
					v.proof.Receive(o.voter.number, word)
				}
			})
		})
	}
}

func (v *voter) tick() {
	v.p.on(tick, v.tick)
	if v.begun {
		v.node.Tick(v.p.clock())
		return
	}
	good, floor, old := v.proof.Result()
	switch {
	case old != "":
		v.refused = old
	case good:
		if err := v.node.Start(floor); err != nil {
			v.p.w.breach("lost_acked", "voter %d can't begin: %v", v.number, err)
		}
		v.begun = true
	default:
		v.prove()
	}
}

// work does what follows from an event: a voter saves, and waits for its disk.
func (p *proc) work() {
	v := p.voter
	if v == nil || v.node == nil || !v.begun || p.busy {
		return
	}
	w := p.w
	work, ok := v.node.Ready(p.clock())
	if !ok {
		if c, ok := v.node.SnapshotSince(v.kept); ok {
			v.kept = c.Snapshot.Metadata.GetIndex()
			v.disk.write(c)
		}
		v.answer()
		return
	}
	wait := 50 * time.Microsecond
	if work.MustSync {
		wait = 300*time.Microsecond + v.slow
		v.stuck = v.slow > 0
	}
	p.busy = true
	life := p.life
	w.at(wait, func() {
		if !p.up || p.life != life {
			return
		}
		done := func() {
			p.busy, v.stuck = false, false
			v.disk.write(work)
			messages, err := v.node.Advance(p.clock())
			if err != nil {
				w.breach("lost_acked", "voter %d: %v", v.number, err)
				return
			}
			for _, m := range messages {
				v.send(m)
			}
			if role := v.node.Leadership(); role.IsLeader {
				w.leaders[role.Term] = true
			}
			v.answer()
			p.work()
			p.wake()
		}
		if p.stopped {
			p.inbox = append([]func(){done}, p.inbox...)
			p.busy = false // it is the stop that holds it up now
			return
		}
		done()
	})
}

func (v *voter) send(m *raftpb.Message) {
	w := v.p.w
	to := int(m.GetTo()) - 1
	if to < 0 || to >= w.o.Voters {
		return
	}
	w.res.Messages++
	w.res.Bytes += len(m.String()) / 2 // about as long as it is on the wire
	o := w.procs[to]
	w.send(v.p, o, func() {
		if o.voter.begun {
			o.voter.node.Step(m)
		}
	})
}

func (v *voter) answer() {
	for _, d := range v.node.Completions() {
		d.Tag.(func(*controlpb.Answer))(d.Answer)
	}
}

// member is a process with a session and a holder.
type member struct {
	p      *proc
	id     string
	me     lease.Member
	holder *lease.Claimant
	target int

	session uint64
	opening bool
	seq     uint64
	out     map[uint64]bool
	words   int
}

func (m *member) start() {
	w := m.p.w
	m.me = lease.Member{ID: m.id, Incarnation: w.r.Uint64()}
	m.holder = lease.NewClaimant(lease.DefaultConfig(), duty, m.me)
	m.session, m.opening, m.seq, m.out, m.target = 0, false, 0, map[uint64]bool{}, w.r.IntN(w.o.Voters)
	m.p.on(time.Duration(w.r.IntN(100))*ms, m.loop)
	m.p.on(time.Duration(w.r.IntN(300))*ms, m.write)
}

// loop asks for the duty when that is due.
func (m *member) loop() {
	now := m.p.clock()
	ask, at := m.holder.Due(now)
	if !ask {
		m.p.on(max(ms, min(at-now, 50*ms)), m.loop)
		return
	}
	m.holder.Sent(now)
	body := lease.Op{Action: lease.ActionAcquire, Role: duty, Term: m.holder.KnownTerm()}.Encode()
	m.do(lease.MachineName, body, func(answer []byte, ok bool) {
		var res lease.Result
		switch {
		case !ok:
			m.holder.Failed(m.p.clock(), now, 100*ms)
		case json.Unmarshal(answer, &res) != nil || !res.OK:
			m.holder.Rejected(m.p.clock(), now, min(500*ms, max(10*ms, res.Remaining)), res.Reason)
		case m.holder.GaveUp(res.Lease.Term):
			m.holder.Failed(m.p.clock(), now, 100*ms)
			m.do(lease.MachineName, lease.Op{Action: lease.ActionRelease, Role: duty, Term: res.Lease.Term}.Encode(), func([]byte, bool) {})
		default:
			m.holder.Granted(m.p.clock(), now, res.Lease.Term, res.TTL)
		}
	})
	m.p.on(20*ms, m.loop)
}

// write does a little of each kind: words, reads, effects under the duty, and now and then gives the duty up.
func (m *member) write() {
	w := m.p.w
	m.p.on(time.Duration(20+w.r.IntN(250))*ms, m.write)
	switch w.r.IntN(6) {
	case 0, 1:
		m.words++
		word := fmt.Sprintf("%s.%x.%d", m.id, m.me.Incarnation, m.words)
		m.do("ledger", []byte(word), func(answer []byte, ok bool) {
			if ok {
				w.acked[word] = true
			}
		})
	case 2:
		m.read()
	}
	term, ok := m.holder.Holds(m.p.clock())
	if !ok {
		return
	}
	if w.r.IntN(25) == 0 {
		op := lease.Op{Action: lease.ActionRelease, Role: duty, Term: term}
		if to := w.procs[w.o.Voters+w.r.IntN(w.o.Members)].member; to != m && w.r.IntN(2) == 0 {
			op.Action, op.To = lease.ActionTransfer, to.me
		}
		m.holder.GiveUp(m.p.clock(), 300*ms, "given up")
		m.do(lease.MachineName, op.Encode(), func([]byte, bool) {})
		return
	}
	w.res.Effects++
	// An effect that is agreed, and one at a receiver outside with a gate of its own.
	body, err := json.Marshal(checkpoint.Op{Key: "effect", Value: strconv.Itoa(w.res.Effects), Role: duty, Term: term})
	if err != nil {
		panic(err)
	}
	m.do(checkpoint.MachineName, body, func([]byte, bool) {})
	me := m.me
	w.at(time.Duration(w.r.Int64N(int64(800*ms))), func() {
		if _, err := w.gate.Admit(duty, term, me); err == nil {
			if term < w.admitted {
				w.breach("late_effects", "a receiver took term %d after term %d", term, w.admitted)
			}
			w.admitted = max(w.admitted, term)
		}
	})
}

// read reads how many words there are: no fewer than were acknowledged before.
func (m *member) read() {
	w := m.p.w
	before := len(w.acked)
	to := w.procs[w.r.IntN(w.o.Voters)]
	w.send(m.p, to, func() {
		if to.voter.node == nil || !to.voter.begun {
			return
		}
		to.voter.node.Read("ledger", nil, func(a *controlpb.Answer) {
			if n, err := strconv.Atoi(string(a.Body)); a.Code == controlpb.Code_OK && err == nil && n < before {
				w.breach("stale_read", "a read shows %d words, %d were acknowledged before it was asked", n, before)
			}
		})
	})
}

// do has a command applied, and asks again in its session until there is an answer or it is given up.
func (m *member) do(machine string, body []byte, end func(answer []byte, ok bool)) {
	if m.session == 0 {
		m.open()
		end(nil, false)
		return
	}
	m.seq++
	seq, session := m.seq, m.session
	m.out[seq] = true
	over := false
	finish := func(answer []byte, ok bool) {
		if !over {
			over = true
			delete(m.out, seq)
			end(answer, ok)
		}
	}
	var try func(n int)
	try = func(n int) {
		if over {
			return
		}
		if n == 30 {
			finish(nil, false)
			return
		}
		m.ask(&controlpb.Command{Session: session, Seq: seq, AckedSeq: m.floor(), Machine: machine, Body: body, Member: m.member()}, func(a *controlpb.Answer) {
			switch a.Code {
			case controlpb.Code_OK:
				finish(a.Body, true)
			case controlpb.Code_NO_SESSION:
				if m.session == session {
					m.session = 0
				}
				finish(nil, false)
			case controlpb.Code_NOT_LEADER, controlpb.Code_NOT_READY:
				m.target = m.p.w.r.IntN(m.p.w.o.Voters)
			}
		})
		m.p.on(time.Duration(60+m.p.w.r.IntN(200))*ms, func() { try(n + 1) })
	}
	try(0)
}

func (m *member) floor() uint64 {
	floor := m.seq
	for seq := range m.out {
		floor = min(floor, seq-1)
	}
	return floor
}

func (m *member) member() *controlpb.Member {
	return &controlpb.Member{Id: m.me.ID, Incarnation: m.me.Incarnation}
}

// ask sends a command to a voter; the answer may never come.
func (m *member) ask(c *controlpb.Command, answer func(*controlpb.Answer)) {
	w := m.p.w
	to := w.procs[m.target]
	life := m.p.life
	w.send(m.p, to, func() {
		if to.voter.node == nil || !to.voter.begun {
			return
		}
		to.voter.node.Propose(to.clock(), c, func(a *controlpb.Answer) {
			w.send(to, m.p, func() {
				if m.p.life == life {
					answer(a)
				}
			})
		})
	})
	if w.r.IntN(6) == 0 {
		m.target = w.r.IntN(w.o.Voters)
	}
}

func (m *member) open() {
	if m.opening {
		return
	}
	m.opening = true
	m.ask(&controlpb.Command{Member: m.member()}, func(a *controlpb.Answer) {
		if a.Code == controlpb.Code_OK {
			m.session = a.Session
		}
		m.target = m.p.w.r.IntN(m.p.w.o.Voters)
	})
	m.p.on(150*ms, func() { m.opening = false })
}
