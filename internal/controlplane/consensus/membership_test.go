package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// describeMembers returns members with their addresses. A question mark marks an unresponsive
// member.
func describeMembers(all []MemberInfo) (descriptions []string) {
	for _, m := range all {
		description := describe(m.Member, m.Address)
		if m.Unresponsive {
			description += "?"
		}
		descriptions = append(descriptions, description)
	}
	return descriptions
}

func describe(member lease.Member, address string) string { return member.String() + "@" + address }

// The revision changes when a session begins or ends, and at no other time.
func TestRevisionChangesOnlyWithTheMembers(t *testing.T) {
	a := newSingleVoter(t, nil)
	last := a.node.sessions.log.current()
	expect := func(changed bool, what string) {
		t.Helper()
		now := a.node.sessions.log.current()
		if (now != last) != changed {
			t.Fatalf("%s: revision %v, %v before", what, now, last)
		}
		last = now
	}
	one := a.open("a", 1)
	expect(true, "a session began")
	a.keepAlive(one, 1)
	expect(false, "a session was kept alive")
	if again := a.open("a", 1); again != one {
		t.Fatalf("got session %d, want %d", again, one)
	}
	expect(false, "the same process requested a session again")
	two := a.open("a", 2)
	expect(true, "another process took the id")
	earlier := &controlpb.Member{Id: "a", Incarnation: 1}
	answer := a.propose(&controlpb.Command{Member: earlier})
	if answer.Code != controlpb.Code_SUPERSEDED {
		t.Fatal(answer)
	}
	expect(false, "the earlier process was rejected")
	a.advance(SessionTTL / 2)
	a.keepAlive(two, 1)
	expect(false, "time passed")
	existing := &controlpb.Voter{Number: 7, Name: "v"}
	a.node.ChangeVoter(true, existing, new(int))
	a.advance(0)
	expect(false, "no voter was added")
	a.advance(2 * SessionTTL)
	expect(false, "an expired session is still there")
	a.open("b", 1)
	expect(true, "one session expired, another began")
	got := describeMembers(a.node.sessions.memberAnswer(&MembershipQuery{}, 0).Members)
	want := []string{describe(lease.Member{ID: "b", Incarnation: 1}, "at-b")}
	if !slices.Equal(got, want) {
		t.Fatal(got)
	}
}

// A client that has the newest list gets an empty answer, also after the voter has restarted from a
// snapshot. A client that has an earlier list gets the changes.
func TestAnswersHoldOnlyWhatChanged(t *testing.T) {
	a := newSingleVoter(t, nil)
	for i := range 50 {
		a.open(fmt.Sprintf("gateway-%02d", i), 1)
	}
	all := NewMemberCache(MembershipQuery{Scope: ScopeMembers})
	some := NewMemberCache(MembershipQuery{
		Scope: ScopeMembers, IDs: []string{"gateway-07", "gateway-03", "nobody"},
	})
	voters := NewMemberCache(MembershipQuery{Scope: ScopeVoters})
	caches := map[string]*MemberCache{"all": all, "some": some, "voters": voters}
	for name, c := range caches {
		first := a.refresh(c)
		second := a.refresh(c)
		if first == 0 || second != 0 {
			t.Errorf("%s: the first answer has %d bytes, the one without a change %d",
				name, first, second)
		}
	}
	if n := len(all.Members()); n != 50 {
		t.Fatalf("got %d members", n)
	}
	if v := voters.Voters(); len(v) != 1 || v[0].Name != "v" {
		t.Fatal(v)
	}
	complete := len(a.read(NewMemberCache(MembershipQuery{Scope: ScopeMembers}).Query()).Body)
	a.open("gateway-03", 2)
	if delta := a.refresh(all); delta == 0 || delta > complete/10 {
		t.Errorf("a change has %d bytes, the complete list %d", delta, complete)
	}
	if a.refresh(some) == 0 || a.refresh(voters) != 0 {
		t.Error("a changed member must change the answer for some members, but not that for voters")
	}
	want := []string{
		describe(lease.Member{ID: "gateway-03", Incarnation: 2}, "at-gateway-03"),
		describe(lease.Member{ID: "gateway-07", Incarnation: 1}, "at-gateway-07"),
	}
	if got := describeMembers(some.Members()); !slices.Equal(got, want) {
		t.Error(got)
	}
	before := a.node.sessions.log.current()
	a.restart()
	after := a.node.sessions.log.current()
	if after != (Revision{a.node.snapshotIndex, before.Digest}) {
		t.Errorf("revision %v before, %v restored from a snapshot of entry %d",
			before, after, a.node.snapshotIndex)
	}
	if a.refresh(some) != 0 || a.refresh(voters) != 0 {
		t.Error("a restart changed parts of the list")
	}
	a.refresh(all)
	if size := a.refresh(all); size != 0 {
		t.Errorf("the answer has %d bytes although nothing has changed since the restart", size)
	}
}

// A member that sends no command is reported as unresponsive without a change of the revision. It
// is reported as responsive again after its next command.
func TestUnresponsiveMembersAreReported(t *testing.T) {
	a := newSingleVoter(t, nil)
	responsive, unresponsive := a.open("responsive", 1), a.open("unresponsive", 1)
	seq := uint64(0)
	keepAlive := func(session uint64) {
		seq++
		a.keepAlive(session, seq)
	}
	for name, query := range map[string]MembershipQuery{
		"all":  {Scope: ScopeMembers},
		"some": {Scope: ScopeMembers, IDs: []string{"responsive", "unresponsive"}},
	} {
		c := NewMemberCache(query)
		a.refresh(c)
		reported := func() (ids []string) {
			for _, m := range c.Members() {
				if m.Unresponsive == m.Active() {
					t.Fatalf("%s: %+v", name, m)
				}
				if m.Unresponsive {
					ids = append(ids, m.ID)
				}
			}
			return ids
		}
		if ids := reported(); ids != nil {
			t.Fatal(name, ids)
		}
		a.advance(unresponsiveAfter)
		keepAlive(responsive)
		answer, err := ParseMembershipAnswer(a.read(c.Query()).Body)
		if err != nil || answer.Members != nil || answer.Revision != c.revision {
			t.Fatalf("%s: %+v, %v: the answer lists more than the unresponsive members",
				name, answer, err)
		}
		if a.refresh(c); !slices.Equal(reported(), []string{"unresponsive"}) {
			t.Fatal(name, reported())
		}
		if size := a.refresh(c); size != 0 {
			t.Fatalf("%s: the answer has %d bytes although nothing has changed", name, size)
		}
		keepAlive(unresponsive)
		if a.refresh(c); reported() != nil {
			t.Fatal(name, reported())
		}
		keepAlive(responsive)
	}
}

// A change of voters changes the answer for voters.
func TestChangeOfVotersChangesTheAnswer(t *testing.T) {
	a := newSingleVoter(t, nil)
	c := NewMemberCache(MembershipQuery{Scope: ScopeVoters})
	a.refresh(c)
	// The second voter is added only to the list: a real one would have to confirm reads.
	a.node.voters[8] = &controlpb.Voter{Number: 8, Name: "w", Address: "there"}
	if a.refresh(c) == 0 {
		t.Fatal("the answer reports no change")
	}
	if v := c.Voters(); len(v) != 2 || v[1] != (VoterInfo{"w", "0000000000000008", "there"}) {
		t.Fatal(v)
	}
}

// A sample has as many active members as requested, in addition to those that vote.
func TestSampleIsOfActiveMembersAndVoters(t *testing.T) {
	a := newSingleVoter(t, nil)
	a.open("unresponsive", 1)
	a.advance(unresponsiveAfter)
	for _, id := range []string{"v", "a", "b", "c", "d", "e"} {
		a.open(id, 1)
	}
	a.propose(&controlpb.Command{Member: &controlpb.Member{Id: "nowhere", Incarnation: 1}})
	drawn := map[string]bool{}
	for seed := range uint64(40) {
		query := MembershipQuery{Scope: ScopeSample, Sample: 2, Seed: seed}
		answer, err := ParseMembershipAnswer(a.read(query.Encode()).Body)
		if err != nil {
			t.Fatal(err)
		}
		isVoter := func(m MemberInfo) bool { return m.ID == "v" }
		if len(answer.Members) != 3 || len(answer.Voters) != 1 ||
			!slices.ContainsFunc(answer.Members, isVoter) {
			t.Fatalf("%+v", answer)
		}
		for _, m := range answer.Members {
			drawn[m.ID] = true
		}
	}
	want := []string{"a", "b", "c", "d", "e", "v"}
	if got := slices.Sorted(maps.Keys(drawn)); !slices.Equal(got, want) {
		t.Error(got)
	}
}

// Queries that can't be answered are rejected with a reason. A query without a body, as older
// versions send it, gets the complete membership.
func TestQueriesOfOtherVersions(t *testing.T) {
	a := newSingleVoter(t, nil)
	a.open("a", 1)
	a.open("a", 2)
	for body, reason := range map[string]string{
		"{":                              "can't be read",
		`{"scope":"all"}`:                `scope "all"`,
		`{"scope":"sample","sample":65}`: "65 members",
	} {
		answer := a.read([]byte(body))
		if answer.Code != controlpb.Code_REFUSED || !strings.Contains(answer.Reason, reason) {
			t.Errorf("%s: %v", body, answer)
		}
	}
	raw := a.read(nil).Body
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(raw, &keys); err != nil {
		t.Fatal(err)
	}
	want := []string{
		"applied", "at", "first", "fleet", "leader", "members", "retired", "term", "voters",
	}
	if got := slices.Sorted(maps.Keys(keys)); !slices.Equal(got, want) {
		t.Error(got)
	}
	// A voter of an older version answers every query with a Membership.
	for _, query := range []MembershipQuery{
		{Scope: ScopeMembers, Retired: true},
		{Scope: ScopeMembers, IDs: []string{"a"}},
		{Scope: ScopeVoters},
	} {
		c := NewMemberCache(query)
		for range 2 {
			if err := c.Update(raw); err != nil {
				t.Fatal(err)
			}
		}
		if m := c.Members(); len(m) != 1 || m[0].Incarnation != 2 || !m[0].Active() ||
			!slices.Equal(m[0].Retired, []uint64{1}) {
			t.Errorf("%+v: %+v", query, m)
		}
		if v := c.Voters(); len(v) != 1 || v[0].Name != "v" {
			t.Errorf("%+v: %+v", query, v)
		}
		if size := a.refresh(c); size == 0 { // a voter of a newer version leads now
			t.Error("the newer voter answers that nothing has changed")
		}
	}
}

// A cache rejects an answer that does not follow from its content, and then requests the complete
// list.
func TestCacheRejectsWhatDoesNotLeadOn(t *testing.T) {
	c := NewMemberCache(MembershipQuery{Scope: ScopeMembers})
	change := []byte(`{"revision":{"index":5,"digest":1},"delta":true}`)
	if err := c.Update(change); !errors.Is(err, ErrCacheMismatch) {
		t.Error(err)
	}
	complete := fmt.Appendf(nil,
		`{"revision":{"index":4,"digest":%d},"members":[{"id":"a","boot":1}]}`,
		emptyDigest^memberDigest(lease.Member{ID: "a", Incarnation: 1}, ""))
	if err := c.Update(complete); err != nil {
		t.Fatal(err)
	}
	if err := c.Update(change); !errors.Is(err, ErrCacheMismatch) {
		t.Error(err)
	}
	if string(c.Query()) != `{"scope":"members"}` || len(c.Members()) != 0 {
		t.Errorf("%s: %v", c.Query(), c.Members())
	}
	if err := c.Update(nil); err == nil {
		t.Error("an empty answer is accepted although nothing was cached")
	}
}

// replicas are the sessions of several voters that apply the same entries.
type replicas struct {
	t               *testing.T
	random          *rand.Rand
	all             []*sessions
	index           uint64
	now             time.Duration
	lastIncarnation uint64
}

// step applies one entry at all voters; sometimes one of them restores a snapshot of the state.
func (w *replicas) step() {
	w.index++
	w.now += time.Duration(w.random.Int64N(int64(time.Second)))
	id := fmt.Sprintf("g%d", w.random.IntN(40))
	kind := w.random.IntN(10)
	seenID := fmt.Sprintf("g%d", w.random.IntN(40))
	w.lastIncarnation++
	for i, s := range w.all {
		current := s.byID[id]
		switch {
		case kind < 3:
			s.expire(w.now)
			s.open(w.index, lease.Member{ID: id, Incarnation: w.lastIncarnation}, "at", w.now)
		case kind < 4 && current != nil:
			s.open(w.index, current.member, current.address, w.now)
		default:
			if seen := s.byID[seenID]; seen != nil {
				seen.lastSeen = w.now
			}
		}
		s.log.commit(w.index)
		if w.random.IntN(50) == 0 {
			var snapshot controlpb.Snapshot
			s.writeTo(&snapshot)
			w.all[i] = readSessions(&snapshot)
			w.all[i].log.reset(w.index)
		}
	}
}

// A cache that applies changes holds the complete list, whichever voter answers and whether or not
// that voter was restored from a snapshot. No revision identifies two different lists.
func TestChangesLeadToTheCompleteList(t *testing.T) {
	for seed := range uint64(8) {
		w := &replicas{
			t:      t,
			random: rand.New(rand.NewPCG(seed, 1)),
			all:    []*sessions{newSessions(), newSessions(), newSessions()},
		}
		for _, s := range w.all {
			s.log.reset(0)
		}
		queryAll := MembershipQuery{Scope: ScopeMembers, Retired: true}
		querySome := MembershipQuery{Scope: ScopeMembers, IDs: []string{"g1", "g2", "g3"}}
		var caches []*MemberCache
		for range 4 {
			caches = append(caches, NewMemberCache(queryAll))
		}
		caches = append(caches, NewMemberCache(querySome))
		contents := map[Revision]string{}
		deltas := 0
		for range 1200 {
			w.step()
			if w.random.IntN(4) != 0 {
				continue
			}
			c, s := caches[w.random.IntN(len(caches))], w.all[w.random.IntN(len(w.all))]
			deltas += w.compare(c, s)
			if len(c.query.IDs) > 0 {
				continue
			}
			answer := s.memberAnswer(&MembershipQuery{}, 0)
			content := fmt.Sprint(describeMembers(answer.Members))
			if earlier, known := contents[c.revision]; known && earlier != content {
				t.Fatalf("seed %d: revision %v identifies both %s and %s",
					seed, c.revision, earlier, content)
			}
			contents[c.revision] = content
		}
		if deltas < 100 {
			t.Errorf("seed %d: only %d answers list changes", seed, deltas)
		}
	}
}

// compare updates a cache from a voter, and compares it with the voter's members. It returns 1 if
// the answer was empty or listed only changes.
func (w *replicas) compare(c *MemberCache, s *sessions) (delta int) {
	w.t.Helper()
	q, err := parseMembershipQuery(c.Query())
	if err != nil {
		w.t.Fatal(err)
	}
	var raw []byte
	a := s.memberAnswer(q, w.now)
	if a != nil {
		if raw, err = json.Marshal(a); err != nil {
			w.t.Fatal(err)
		}
	}
	if err := c.Update(raw); err != nil {
		w.t.Fatal(err)
	}
	var want []string
	for _, m := range s.members() {
		if len(c.query.IDs) > 0 && !slices.Contains(c.query.IDs, m.ID) {
			continue
		}
		description := describe(m.Member, m.Address)
		if w.now-m.LastSeen >= SessionTTL/2 {
			description += "?"
		}
		want = append(want, description)
	}
	if got := describeMembers(c.Members()); !slices.Equal(got, want) {
		w.t.Fatalf("entry %d: got %v, want %v", w.index, got, want)
	}
	for _, m := range c.Members() {
		if c.query.Retired && !slices.Equal(m.Retired, s.retired[m.ID]) {
			w.t.Fatalf("entry %d: %s has retired incarnations %v, want %v",
				w.index, m.ID, m.Retired, s.retired[m.ID])
		}
	}
	if a == nil || a.Delta {
		return 1
	}
	return 0
}

// A fleet that was bootstrapped again or restored from older copies has the same indexes for other
// members. Changes of one history must not be applied to a list cached from another.
func TestSameIndexOfAnotherHistory(t *testing.T) {
	first, second := newSessions(), newSessions()
	for i, s := range []*sessions{first, second} {
		s.log.reset(0)
		for index := range uint64(10) {
			member := lease.Member{ID: fmt.Sprintf("g%d", index), Incarnation: uint64(i) + 1}
			s.open(index+1, member, "", 0)
			s.log.commit(index + 1)
		}
	}
	w := &replicas{t: t}
	restored := func(s *sessions) *sessions {
		var snapshot controlpb.Snapshot
		s.writeTo(&snapshot)
		again := readSessions(&snapshot)
		again.log.reset(10)
		return again
	}
	for _, s := range []*sessions{first, second, restored(first), restored(second)} {
		c := NewMemberCache(MembershipQuery{Scope: ScopeMembers})
		w.compare(c, first)
		w.compare(c, s)
		if w.compare(c, s) != 1 {
			t.Error("the answer is no delta although nothing has changed")
		}
	}
}

// A voter keeps a bounded number of changes. A client whose revision is older gets the complete
// list.
func TestChangesKeptAreBounded(t *testing.T) {
	s := newSessions()
	s.log.reset(0)
	c := NewMemberCache(MembershipQuery{Scope: ScopeMembers})
	w := &replicas{t: t}
	w.compare(c, s)
	for index := range uint64(4 * maxMembershipChanges) {
		s.open(index+1, lease.Member{ID: fmt.Sprintf("g%d", index), Incarnation: 1}, "", 0)
		s.log.commit(index + 1)
		if s.log.changedIDs > maxMembershipChanges || len(s.log.changes) > maxMembershipChanges {
			t.Fatalf("%d changes of %d ids are kept", len(s.log.changes), s.log.changedIDs)
		}
	}
	if w.compare(c, s) != 0 {
		t.Error("the answer is a delta although the changes are not kept")
	}
	if w.compare(c, s) != 1 {
		t.Error("the answer is no delta although the changes are kept")
	}
}
