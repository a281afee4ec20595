package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// A cache stays up to date across changes of the leader and voters that restore snapshots, and a
// revision in one leader's answer identifies the same members at the next leader.
func TestRevisionsOverLeaders(t *testing.T) {
	for seed := range uint64(4) {
		w := newThreeVoters(t, seed)
		cache := NewMemberCache(MembershipQuery{Scope: ScopeMembers})
		contents, leaders := map[Revision]string{}, map[uint64]bool{}
		for step := range uint64(150) {
			number, n := w.leader()
			leaders[number] = true
			if w.random.IntN(2) == 0 {
				id := fmt.Sprintf("g%d", w.random.IntN(10))
				member := &controlpb.Member{Id: id, Incarnation: step + 1, Address: "at"}
				n.Propose(w.now, &controlpb.Command{Member: member}, member)
				w.completed(n, member)
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

// compare compares a cache's content with the leader's members, and with the members that had the
// same revision earlier.
func (w *threeVoters) compare(cache *MemberCache, leader *Node, contents map[Revision]string) {
	w.t.Helper()
	var committed, cached []lease.Member
	for _, m := range leader.Members() {
		committed = append(committed, m.Member)
	}
	for _, m := range cache.Members() {
		cached = append(cached, m.Member)
	}
	if !slices.Equal(committed, cached) {
		w.t.Fatalf("committed members %v, cached members %v", committed, cached)
	}
	content := fmt.Sprint(cached)
	if earlier, known := contents[cache.revision]; known && earlier != content {
		w.t.Fatalf("revision %v identifies both %s and %s", cache.revision, content, earlier)
	}
	contents[cache.revision] = content
}
