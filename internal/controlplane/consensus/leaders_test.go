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
	"mothcleat/internal/controlplane/lease"
)

// threeVoters is three voters in virtual time whose messages all arrive at once.
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
		voters = append(voters, &controlpb.Voter{Number: number + 1, Name: fmt.Sprintf("v%d", number+1)})
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

// open opens a voter from what its folder holds.
func (w *threeVoters) open(number uint64, from StoredState) {
	w.t.Helper()
	n, err := Open(w.now, testConfig(number, nil), from)
	if err == nil {
		err = n.Start(0)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	w.nodes[number] = n
}

// advance has time go by at all voters, and their messages arrive.
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
				if to := w.nodes[m.GetTo()]; to != nil { // nil: nothing reaches it
					to.Step(m)
				}
				if m.GetType() == raftpb.MsgSnap {
					n.ReportSnapshot(m.GetTo(), true)
				}
			}
		}
	}
}

// leader has time go by until a voter leads.
func (w *threeVoters) leader() (number uint64, n *Node) {
	w.t.Helper()
	for until := w.now + time.Minute; w.now < until; w.advance(40 * time.Millisecond) {
		for _, number = range slices.Sorted(maps.Keys(w.nodes)) {
			if n = w.nodes[number]; n.Leadership().IsLeader {
				return number, n
			}
		}
	}
	w.t.Fatal("no voter leads")
	return 0, nil
}

// completed is the answer to a request at a voter.
func (w *threeVoters) completed(n *Node, tag any) *controlpb.Answer {
	w.t.Helper()
	w.advance(40 * time.Millisecond)
	w.advance(40 * time.Millisecond)
	for _, d := range n.Completions() {
		if d.Tag == tag && d.Answer.Code == controlpb.Code_OK {
			return d.Answer
		}
	}
	w.t.Fatal("no answer")
	return nil
}

// restart opens a voter that does not lead anew, from a snapshot of all that it has.
func (w *threeVoters) restart(leader uint64) {
	w.t.Helper()
	number := leader%3 + 1
	n := w.nodes[number]
	if last, _ := n.storage.LastIndex(); last != n.appliedIndex || n.appliedIndex == n.snapshotIndex {
		return // its snapshot would not hold all that it has, or there is one already
	}
	if err := n.CreateSnapshot(); err != nil {
		w.t.Fatal(err)
	}
	compacted, _ := n.SnapshotSince(0)
	w.open(number, StoredState{HardState: compacted.HardState, Snapshot: compacted.Snapshot})
}

// A cache follows the members over changes of the leader and voters that restored snapshots, and a revision that one leader
// told names the same members at the next.
func TestRevisionsOverLeaders(t *testing.T) {
	for seed := range uint64(4) {
		w := newThreeVoters(t, seed)
		cache := NewMemberCache(MembershipQuery{Scope: ScopeMembers})
		contents, leaders := map[Revision]string{}, map[uint64]bool{}
		for step := range uint64(150) {
			number, n := w.leader()
			leaders[number] = true
			if w.random.IntN(2) == 0 {
				who := &controlpb.Member{Id: fmt.Sprintf("g%d", w.random.IntN(10)), Incarnation: step + 1, Address: "at"}
				n.Propose(w.now, &controlpb.Command{Member: who}, who)
				w.completed(n, who)
			}
			switch w.random.IntN(6) {
			case 0:
				n.TransferLeader(number%3 + 1)
				w.advance(40 * time.Millisecond)
				_, n = w.leader()
			case 1:
				w.restart(number)
			}
			tag := new(int)
			n.Read(MembershipName, cache.Query(), tag)
			if err := cache.Update(w.completed(n, tag).Body); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
			w.compare(cache, n, contents)
		}
		if len(leaders) != 3 || len(contents) < 40 {
			t.Errorf("seed %d: %d leaders, %d revisions", seed, len(leaders), len(contents))
		}
	}
}

// compare compares what a cache holds with the leader's members, and with what had its revision before.
func (w *threeVoters) compare(cache *MemberCache, leader *Node, contents map[Revision]string) {
	w.t.Helper()
	var agreed, known []lease.Member
	for _, m := range leader.Members() {
		agreed = append(agreed, m.Member)
	}
	for _, m := range cache.Members() {
		known = append(known, m.Member)
	}
	if !slices.Equal(agreed, known) {
		w.t.Fatalf("%v are agreed, %v known", agreed, known)
	}
	if had, told := contents[cache.revision]; told && had != fmt.Sprint(known) {
		w.t.Fatalf("revision %v of %v and of %s", cache.revision, known, had)
	}
	contents[cache.revision] = fmt.Sprint(known)
}
