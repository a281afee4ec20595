package election

import (
	"fmt"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
)

const (
	writeTime = 50 * time.Microsecond  // of a voter's disk
	syncTime  = 300 * time.Microsecond // of a voter's disk, with the write
)

// voter is one voter: the node and its driver. Package replica has the driver for a real disk.
type voter struct {
	process       *process
	number        uint64
	disk          disk
	olderCopy     *consensus.StoredState // copy of the disk; nil: none was made
	node          *consensus.Node
	stateMachines map[string]consensus.StateMachine
	verification  *consensus.Verification
	started       bool
	rejection     string // why it must not vote; "": it was not rejected

	storedSnapshotIndex uint64
	extraSyncTime       time.Duration // added by a fault of the disk
	slowSync            bool          // a sync with that fault is in progress
}

// start opens the node with the stored state, and begins the verification.
func (v *voter) start() {
	w := v.process.world
	v.stateMachines = newStateMachines(v)
	node, err := consensus.Open(v.process.clock(), consensus.Config{
		Number:         v.number,
		StateMachines:  v.stateMachines,
		Random:         rand.New(rand.NewPCG(w.random.Uint64(), 1)),
		ElectionTicks:  electionTicks,
		HeartbeatTicks: 2,
		KeepEntries:    w.options.KeepEntries,
		Logger:         discardLogger{},
	}, cloneState(v.disk.synced))
	if err != nil {
		w.breach(RuleNothingLost, "voter %d can't open its storage: %v", v.number, err)
		return
	}
	v.node = node
	v.started = false
	v.rejection = ""
	v.slowSync = false
	v.storedSnapshotIndex = v.disk.synced.Snapshot.Metadata.GetIndex()
	v.verification = consensus.NewVerification(node.Position(), w.options.Voters-1)
	v.process.after(tickInterval, v.tick)
	v.verify()
}

// verify queries the promises that the other voters have from this one.
func (v *voter) verify() {
	w := v.process.world
	for _, other := range w.voters() {
		if other == v.process {
			continue
		}
		w.send(v.process, other, func() {
			if other.voter.node == nil || other.voter.rejection != "" {
				return
			}
			reply := other.voter.node.AnswerVerification(v.number)
			w.send(other, v.process, func() {
				if !v.started {
					v.verification.Receive(other.voter.number, reply)
				}
			})
		})
	}
}

// tick runs at each tick of the voter's clock. It ticks the node, or continues the verification until
// the node may start.
func (v *voter) tick() {
	v.process.after(tickInterval, v.tick)
	if v.started {
		v.node.Tick(v.process.clock())
		return
	}
	passed, minTerm, rejection := v.verification.Result()
	switch {
	case rejection != "":
		v.rejection = rejection
	case passed:
		if err := v.node.Start(minTerm); err != nil {
			v.process.world.breach(RuleNothingLost, "voter %d can't start: %v", v.number, err)
		}
		v.started = true
	default:
		v.verify()
	}
}

// processReady writes the state that the node has ready, and continues when the write has ended.
func (v *voter) processReady() {
	p := v.process
	if v.node == nil || !v.started || p.writing {
		return
	}
	ready, ok := v.node.Ready(p.clock())
	if !ok {
		if snapshot, ok := v.node.SnapshotSince(v.storedSnapshotIndex); ok {
			v.storedSnapshotIndex = snapshot.Snapshot.Metadata.GetIndex()
			v.disk.write(snapshot)
		}
		v.deliverCompletions()
		return
	}
	diskTime := writeTime
	if ready.MustSync {
		diskTime = syncTime + v.extraSyncTime
		v.slowSync = v.extraSyncTime > 0
	}
	p.writing = true
	incarnation := p.incarnation
	p.world.schedule(diskTime, func() {
		if !p.up || p.incarnation != incarnation {
			return
		}
		written := func() { v.written(ready) }
		if p.suspended {
			p.inbox = append([]func(){written}, p.inbox...)
			p.writing = false // the process now waits because it is suspended
			return
		}
		written()
	})
}

// written continues after a write of the node's ready state.
func (v *voter) written(ready consensus.Ready) {
	p := v.process
	p.writing = false
	v.slowSync = false
	v.disk.write(ready)
	messages, err := v.node.Advance(p.clock())
	if err != nil {
		p.world.breach(RuleNothingLost, "voter %d: %v", v.number, err)
		return
	}
	for _, m := range messages {
		v.send(m)
	}
	if leadership := v.node.Leadership(); leadership.IsLeader {
		p.world.checker.logLeaders[leadership.Term] = true
	}
	v.deliverCompletions()
	p.processReady()
	p.runInbox()
}

// send sends a message to another voter.
func (v *voter) send(m *raftpb.Message) {
	w := v.process.world
	index := int(m.GetTo()) - 1
	if index < 0 || index >= w.options.Voters {
		return
	}
	w.result.Messages++
	w.result.Bytes += len(m.String()) / 2 // approximates the length on the wire
	to := w.processes[index]
	w.send(v.process, to, func() {
		if to.voter.started {
			to.voter.node.Step(m)
		}
	})
}

// deliverCompletions answers the requests that the node has completed.
func (v *voter) deliverCompletions() {
	for _, completion := range v.node.Completions() {
		completion.Tag.(func(*controlpb.Answer))(completion.Answer)
	}
}

// discardLogger discards what the raft library logs.
type discardLogger struct{}

var _ raft.Logger = discardLogger{}

func (discardLogger) Debug(...any)                   {}
func (discardLogger) Debugf(string, ...any)          {}
func (discardLogger) Info(...any)                    {}
func (discardLogger) Infof(string, ...any)           {}
func (discardLogger) Warning(...any)                 {}
func (discardLogger) Warningf(string, ...any)        {}
func (discardLogger) Error(...any)                   {}
func (discardLogger) Errorf(string, ...any)          {}
func (discardLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (discardLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
