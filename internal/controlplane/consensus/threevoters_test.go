package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"mothcleat/internal/controlplane/controlpb"
)

// threeVoters is a fleet of three voters in virtual time. Their messages arrive without delay.
type threeVoters struct {
	t      *testing.T
	random *rand.Rand
	nodes  map[uint64]*Node
	now    time.Duration
}

func newThreeVoters(t *testing.T, seed uint64) *threeVoters {
	t.Helper()
	w := &threeVoters{t: t, random: rand.New(rand.NewPCG(seed, 2)), nodes: map[uint64]*Node{}}
	var voters []*controlpb.Voter
	for number := range uint64(3) {
		name := fmt.Sprintf("v%d", number+1)
		voters = append(voters, &controlpb.Voter{Number: number + 1, Name: name})
	}
	for _, v := range voters {
		saved, err := BootstrapState("test", voters)
		if err != nil {
			t.Fatal(err)
		}
		w.open(v.Number, saved)
	}
	return w
}

// open opens a voter with a stored state.
func (w *threeVoters) open(number uint64, stored StoredState) {
	w.t.Helper()
	n, err := Open(w.now, testConfig(number, nil), stored)
	if err == nil {
		err = n.Start(0)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	w.nodes[number] = n
}

// advance advances the clock of all voters, and delivers their messages.
func (w *threeVoters) advance(d time.Duration) {
	w.t.Helper()
	w.now += d
	numbers := slices.Sorted(maps.Keys(w.nodes))
	for _, number := range numbers {
		w.nodes[number].Tick(w.now)
	}
	for busy := true; busy; {
		busy = false
		for _, number := range numbers {
			n := w.nodes[number]
			if _, ok := n.Ready(w.now); !ok {
				continue
			}
			busy = true
			messages, err := n.Advance(w.now)
			if err != nil {
				w.t.Fatal(err)
			}
			for _, m := range messages {
				if to := w.nodes[m.GetTo()]; to != nil { // nil: the voter is unreachable
					to.Step(m)
				}
				if m.GetType() == raftpb.MsgSnap {
					n.ReportSnapshot(m.GetTo(), true)
				}
			}
		}
	}
}

// leader advances the clock until a voter leads.
func (w *threeVoters) leader() (number uint64, n *Node) {
	w.t.Helper()
	for until := w.now + time.Minute; w.now < until; w.advance(40 * time.Millisecond) {
		for _, number = range slices.Sorted(maps.Keys(w.nodes)) {
			if n = w.nodes[number]; n.Leadership().IsLeader {
				return number, n
			}
		}
	}
	w.t.Fatal("no voter becomes the leader")
	return 0, nil
}

// completed returns the answer to a request at a voter.
func (w *threeVoters) completed(n *Node, tag any) *controlpb.Answer {
	w.t.Helper()
	w.advance(40 * time.Millisecond)
	w.advance(40 * time.Millisecond)
	for _, completion := range n.Completions() {
		if completion.Tag == tag && completion.Answer.Code == controlpb.Code_OK {
			return completion.Answer
		}
	}
	w.t.Fatal("no answer")
	return nil
}

// restart closes a voter other than the leader and opens it again with a snapshot of its state.
func (w *threeVoters) restart(leader uint64) {
	w.t.Helper()
	number := leader%3 + 1
	n := w.nodes[number]
	last, _ := n.storage.LastIndex()
	if last != n.appliedIndex || n.appliedIndex == n.snapshotIndex {
		return // a snapshot would not hold all entries of the log, or would not be new
	}
	if err := n.CreateSnapshot(); err != nil {
		w.t.Fatal(err)
	}
	ready, _ := n.SnapshotSince(0)
	w.open(number, StoredState{HardState: ready.HardState, Snapshot: ready.Snapshot})
}

// process stores and applies what is ready at a voter, and returns the messages that it sends.
func (w *threeVoters) process(n *Node) (messages []*raftpb.Message) {
	w.t.Helper()
	for {
		if _, ok := n.Ready(w.now); !ok {
			return messages
		}
		sent, err := n.Advance(w.now)
		if err != nil {
			w.t.Fatal(err)
		}
		messages = append(messages, sent...)
	}
}

// deliver delivers messages, and returns those that the voters send in return.
func (w *threeVoters) deliver(messages []*raftpb.Message) (returned []*raftpb.Message) {
	w.t.Helper()
	for _, m := range messages {
		w.nodes[m.GetTo()].Step(m)
	}
	for _, number := range slices.Sorted(maps.Keys(w.nodes)) {
		returned = append(returned, w.process(w.nodes[number])...)
	}
	return returned
}

// completedTags returns the tags of the requests that a voter has answered.
func completedTags(n *Node) (tags []any) {
	for _, completion := range n.Completions() {
		if completion.Answer.Code == controlpb.Code_OK {
			tags = append(tags, completion.Tag)
		}
	}
	return tags
}
