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

// open opens a session and gives its number.
func (a *singleVoter) open(id string, boot uint64) uint64 {
	a.t.Helper()
	answer := a.propose(&controlpb.Command{Member: &controlpb.Member{Id: id, Incarnation: boot, Address: "at-" + id}})
	if answer.Code != controlpb.Code_OK {
		a.t.Fatalf("opening %s/%d: %v", id, boot, answer)
	}
	return answer.Session
}

// keepAlive has a session say that its process is there.
func (a *singleVoter) keepAlive(session, seq uint64) {
	a.t.Helper()
	if answer := a.propose(&controlpb.Command{Session: session, Seq: seq, AckedSeq: seq - 1, Member: &controlpb.Member{}}); answer.Code != controlpb.Code_OK {
		a.t.Fatalf("session %d: %v", session, answer)
	}
}

// read reads who belongs to the fleet.
func (a *singleVoter) read(body []byte) *controlpb.Answer {
	a.t.Helper()
	tag := new(int)
	a.node.Read(MembershipName, body, tag)
	a.advance(0)
	for _, d := range a.node.Completions() {
		if d.Tag == tag {
			return d.Answer
		}
	}
	a.t.Fatal("no answer")
	return nil
}

// refresh brings a cache up to date and gives the size of the answer.
func (a *singleVoter) refresh(c *MemberCache) int {
	a.t.Helper()
	answer := a.read(c.Query())
	if answer.Code != controlpb.Code_OK {
		a.t.Fatal(answer)
	}
	if err := c.Update(answer.Body); err != nil {
		a.t.Fatal(err)
	}
	return len(answer.Body)
}

// restart opens the voter anew from a snapshot of its state.
func (a *singleVoter) restart() {
	a.t.Helper()
	if err := a.node.CreateSnapshot(); err != nil {
		a.t.Fatal(err)
	}
	w, ok := a.node.SnapshotSince(0)
	if !ok {
		a.t.Fatal("no snapshot")
	}
	a.start(nil, StoredState{HardState: w.HardState, Snapshot: w.Snapshot})
}

func describeMembers(all []MemberInfo) (names []string) {
	for _, m := range all {
		name := m.Member.String() + "@" + m.Address
		if m.Unresponsive {
			name += "?"
		}
		names = append(names, name)
	}
	return names
}

// The revision changes when a session begins or ends, and by nothing else.
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
	expect(false, "a session was heard of")
	if again := a.open("a", 1); again != one {
		t.Fatalf("session %d, not %d", again, one)
	}
	expect(false, "the same process asked for a session again")
	two := a.open("a", 2)
	expect(true, "another process took the id")
	if answer := a.propose(&controlpb.Command{Member: &controlpb.Member{Id: "a", Incarnation: 1}}); answer.Code != controlpb.Code_SUPERSEDED {
		t.Fatal(answer)
	}
	expect(false, "the earlier process was refused")
	a.advance(SessionTTL / 2)
	a.keepAlive(two, 1)
	expect(false, "time passed")
	a.node.ChangeVoter(true, &controlpb.Voter{Number: 7, Name: "v"}, new(int)) // it is one
	a.advance(0)
	expect(false, "no voter more")
	a.advance(2 * SessionTTL)
	expect(false, "a session that ran out is still there")
	a.open("b", 1)
	expect(true, "one session ran out, another began")
	if got := describeMembers(a.node.sessions.memberAnswer(&MembershipQuery{}, 0).Members); !slices.Equal(got, []string{lease.Member{ID: "b", Incarnation: 1}.String() + "@at-b"}) {
		t.Fatal(got)
	}
}

// Who has the newest list gets an empty answer, over restarts of the voter from a snapshot too; who
// has an earlier one gets what changed.
func TestAnswersHoldOnlyWhatChanged(t *testing.T) {
	a := newSingleVoter(t, nil)
	for i := range 50 {
		a.open(fmt.Sprintf("gateway-%02d", i), 1)
	}
	all := NewMemberCache(MembershipQuery{Scope: ScopeMembers})
	some := NewMemberCache(MembershipQuery{Scope: ScopeMembers, IDs: []string{"gateway-07", "gateway-03", "nobody"}})
	voters := NewMemberCache(MembershipQuery{Scope: ScopeVoters})
	caches := map[string]*MemberCache{"all": all, "some": some, "voters": voters}
	for name, c := range caches {
		if whole, again := a.refresh(c), a.refresh(c); whole == 0 || again != 0 {
			t.Errorf("%s: %d bytes at first, %d where nothing has changed", name, whole, again)
		}
	}
	if n := len(all.Members()); n != 50 {
		t.Fatalf("%d members", n)
	}
	if v := voters.Voters(); len(v) != 1 || v[0].Name != "v" {
		t.Fatal(v)
	}
	whole := len(a.read(NewMemberCache(MembershipQuery{Scope: ScopeMembers}).Query()).Body)
	a.open("gateway-03", 2)
	if delta := a.refresh(all); delta == 0 || delta > whole/10 {
		t.Errorf("%d bytes of a change, %d of the whole", delta, whole)
	}
	if a.refresh(some) == 0 || a.refresh(voters) != 0 {
		t.Error("a change of a member is one of some members, and none of the voters")
	}
	if got := describeMembers(some.Members()); !slices.Equal(got, []string{
		lease.Member{ID: "gateway-03", Incarnation: 2}.String() + "@at-gateway-03", lease.Member{ID: "gateway-07", Incarnation: 1}.String() + "@at-gateway-07"}) {
		t.Error(got)
	}
	before := a.node.sessions.log.current()
	a.restart()
	if after := a.node.sessions.log.current(); after != (Revision{a.node.snapshotIndex, before.Digest}) {
		t.Errorf("revision %v before, %v restored from a snapshot of entry %d", before, after, a.node.snapshotIndex)
	}
	if a.refresh(some) != 0 || a.refresh(voters) != 0 {
		t.Error("a restart changed parts of the list")
	}
	a.refresh(all)
	if again := a.refresh(all); again != 0 {
		t.Errorf("%d bytes where nothing has changed since the restart", again)
	}
}

// A member that nothing is heard of is told as silent, without a change of the revision, and as
// heard of again.
func TestSilentMembersAreTold(t *testing.T) {
	a := newSingleVoter(t, nil)
	heard, unheard := a.open("heard", 1), a.open("unheard", 1)
	seq := uint64(0)
	touch := func(session uint64) {
		seq++
		a.keepAlive(session, seq)
	}
	for name, query := range map[string]MembershipQuery{
		"all":  {Scope: ScopeMembers},
		"some": {Scope: ScopeMembers, IDs: []string{"heard", "unheard"}},
	} {
		c := NewMemberCache(query)
		a.refresh(c)
		silent := func() (ids []string) {
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
		if ids := silent(); ids != nil {
			t.Fatal(name, ids)
		}
		a.advance(unresponsiveAfter)
		touch(heard)
		told, err := ParseMembershipAnswer(a.read(c.Query()).Body)
		if err != nil || told.Members != nil || told.Revision != c.revision {
			t.Fatalf("%s: %+v, %v: more than who is silent", name, told, err)
		}
		if a.refresh(c); !slices.Equal(silent(), []string{"unheard"}) {
			t.Fatal(name, silent())
		}
		if again := a.refresh(c); again != 0 {
			t.Fatalf("%s: %d bytes where nothing has changed", name, again)
		}
		touch(unheard)
		if a.refresh(c); silent() != nil {
			t.Fatal(name, silent())
		}
		touch(heard)
	}
}

// A change of voters changes the answer for voters.
func TestVotersAreToldAnew(t *testing.T) {
	a := newSingleVoter(t, nil)
	c := NewMemberCache(MembershipQuery{Scope: ScopeVoters})
	a.refresh(c)
	a.node.voters[8] = &controlpb.Voter{Number: 8, Name: "w", Address: "there"} // a second real voter would have to answer
	if a.refresh(c) == 0 {
		t.Fatal("no change")
	}
	if v := c.Voters(); len(v) != 2 || v[1] != (VoterInfo{"w", "0000000000000008", "there"}) {
		t.Fatal(v)
	}
}

// A sample is as large as asked, of active members, with those that vote.
func TestSampleIsOfActiveMembersAndVoters(t *testing.T) {
	a := newSingleVoter(t, nil)
	a.open("silent", 1)
	a.advance(unresponsiveAfter)
	for _, id := range []string{"v", "a", "b", "c", "d", "e"} {
		a.open(id, 1)
	}
	a.propose(&controlpb.Command{Member: &controlpb.Member{Id: "nowhere", Incarnation: 1}})
	drawn := map[string]bool{}
	for seed := range uint64(40) {
		answer, err := ParseMembershipAnswer(a.read((&MembershipQuery{Scope: ScopeSample, Sample: 2, Seed: seed}).Encode()).Body)
		if err != nil {
			t.Fatal(err)
		}
		if len(answer.Members) != 3 || len(answer.Voters) != 1 || !slices.ContainsFunc(answer.Members, func(m MemberInfo) bool { return m.ID == "v" }) {
			t.Fatalf("%+v", answer)
		}
		for _, m := range answer.Members {
			drawn[m.ID] = true
		}
	}
	if got := slices.Sorted(maps.Keys(drawn)); !slices.Equal(got, []string{"a", "b", "c", "d", "e", "v"}) {
		t.Error(got)
	}
}

// Queries that can't be answered are refused with what is wrong; one without a body gets the whole
// list, as ever.
func TestQueriesOfOtherVersions(t *testing.T) {
	a := newSingleVoter(t, nil)
	a.open("a", 1)
	a.open("a", 2)
	for body, why := range map[string]string{
		"{":                              "can't be read",
		`{"scope":"all"}`:                `scope "all"`,
		`{"scope":"sample","sample":65}`: "65 members",
	} {
		if answer := a.read([]byte(body)); answer.Code != controlpb.Code_REFUSED || !strings.Contains(answer.Reason, why) {
			t.Errorf("%s: %v", body, answer)
		}
	}
	raw := a.read(nil).Body
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(raw, &keys); err != nil {
		t.Fatal(err)
	}
	if got := slices.Sorted(maps.Keys(keys)); !slices.Equal(got, []string{"applied", "at", "first", "fleet", "leader", "members", "retired", "term", "voters"}) {
		t.Error(got)
	}
	// A voter of an older version answers so whatever is asked.
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
		if m := c.Members(); len(m) != 1 || m[0].Incarnation != 2 || !m[0].Active() || !slices.Equal(m[0].Retired, []uint64{1}) {
			t.Errorf("%+v: %+v", query, m)
		}
		if v := c.Voters(); len(v) != 1 || v[0].Name != "v" {
			t.Errorf("%+v: %+v", query, v)
		}
		if size := a.refresh(c); size == 0 { // and then a newer one leads
			t.Error("it was told that nothing has changed")
		}
	}
}

// A cache takes no answer that does not lead on from what it holds, and asks for the whole then.
func TestCacheRefusesWhatDoesNotLeadOn(t *testing.T) {
	c := NewMemberCache(MembershipQuery{Scope: ScopeMembers})
	change := []byte(`{"revision":{"index":5,"digest":1},"delta":true}`)
	if err := c.Update(change); !errors.Is(err, ErrCacheMismatch) {
		t.Error(err)
	}
	whole := fmt.Appendf(nil, `{"revision":{"index":4,"digest":%d},"members":[{"id":"a","boot":1}]}`, emptyDigest^memberDigest(lease.Member{ID: "a", Incarnation: 1}, ""))
	if err := c.Update(whole); err != nil {
		t.Fatal(err)
	}
	if err := c.Update(change); !errors.Is(err, ErrCacheMismatch) {
		t.Error(err)
	}
	if string(c.Query()) != `{"scope":"members"}` || len(c.Members()) != 0 {
		t.Errorf("%s: %v", c.Query(), c.Members())
	}
	if err := c.Update(nil); err == nil {
		t.Error("an empty answer, where nothing was known")
	}
}

// replicas are the sessions of several voters that apply the same entries.
type replicas struct {
	t     *testing.T
	r     *rand.Rand
	all   []*sessions
	index uint64
	at    time.Duration
	boots uint64
}

// step applies one entry at all voters; now and then one restores a snapshot of the state.
func (w *replicas) step() {
	w.index++
	w.at += time.Duration(w.r.Int64N(int64(time.Second)))
	id, kind, heard := fmt.Sprintf("g%d", w.r.IntN(40)), w.r.IntN(10), w.r.IntN(40)
	w.boots++
	for i, s := range w.all {
		in := s.byID[id]
		switch {
		case kind < 3:
			s.expire(w.at)
			s.open(w.index, lease.Member{ID: id, Incarnation: w.boots}, "at", w.at)
		case kind < 4 && in != nil:
			s.open(w.index, in.member, in.address, w.at)
		default:
			if in := s.byID[fmt.Sprintf("g%d", heard)]; in != nil {
				in.lastSeen = w.at
			}
		}
		s.log.commit(w.index)
		if w.r.IntN(50) == 0 {
			var snapshot controlpb.Snapshot
			s.writeTo(&snapshot)
			w.all[i] = readSessions(&snapshot)
			w.all[i].log.reset(w.index)
		}
	}
}

// Whoever of the voters answers, restored from a snapshot or not, a cache that takes changes holds
// what the whole list is; and no revision is told for two contents.
func TestChangesMakeTheWholeList(t *testing.T) {
	for seed := range uint64(8) {
		w := &replicas{t: t, r: rand.New(rand.NewPCG(seed, 1)), all: []*sessions{newSessions(), newSessions(), newSessions()}}
		for _, s := range w.all {
			s.log.reset(0)
		}
		var caches []*MemberCache
		for range 4 {
			caches = append(caches, NewMemberCache(MembershipQuery{Scope: ScopeMembers, Retired: true}))
		}
		caches = append(caches, NewMemberCache(MembershipQuery{Scope: ScopeMembers, IDs: []string{"g1", "g2", "g3"}}))
		contents := map[Revision]string{}
		deltas := 0
		for range 1200 {
			w.step()
			if w.r.IntN(4) != 0 {
				continue
			}
			c, s := caches[w.r.IntN(len(caches))], w.all[w.r.IntN(len(w.all))]
			deltas += w.compare(c, s)
			if len(c.query.IDs) == 0 {
				content := fmt.Sprint(describeMembers(s.memberAnswer(&MembershipQuery{}, 0).Members))
				if had, told := contents[c.revision]; told && had != content {
					t.Fatalf("seed %d: revision %v of %s and of %s", seed, c.revision, had, content)
				}
				contents[c.revision] = content
			}
		}
		if deltas < 100 {
			t.Errorf("seed %d: %d answers by changes", seed, deltas)
		}
	}
}

// compare brings a cache up to date from a voter, and compares it with the voter's members. It
// returns 1 for an answer that leads on from what was known.
func (w *replicas) compare(c *MemberCache, s *sessions) (delta int) {
	w.t.Helper()
	q, err := parseMembershipQuery(c.Query())
	if err != nil {
		w.t.Fatal(err)
	}
	var raw []byte
	a := s.memberAnswer(q, w.at)
	if a != nil {
		if raw, err = json.Marshal(a); err != nil {
			w.t.Fatal(err)
		}
	}
	if err := c.Update(raw); err != nil {
		w.t.Fatal(err)
	}
	var wanted []string
	for _, m := range s.members() {
		if len(c.query.IDs) > 0 && !slices.Contains(c.query.IDs, m.ID) {
			continue
		}
		name := m.Member.String() + "@" + m.Address
		if w.at-m.LastSeen >= SessionTTL/2 {
			name += "?"
		}
		wanted = append(wanted, name)
	}
	if got := describeMembers(c.Members()); !slices.Equal(got, wanted) {
		w.t.Fatalf("entry %d: %v, not %v", w.index, got, wanted)
	}
	for _, m := range c.Members() {
		if c.query.Retired && !slices.Equal(m.Retired, s.retired[m.ID]) {
			w.t.Fatalf("entry %d: %s had %v before, not %v", w.index, m.ID, m.Retired, s.retired[m.ID])
		}
	}
	if a == nil || a.Delta {
		return 1
	}
	return 0
}

// A fleet that was founded again, or whose folders were put back, has the same indexes for other
// members: nobody's list is led on from those that were.
func TestSameIndexOfAnotherHistory(t *testing.T) {
	first, second := newSessions(), newSessions()
	for i, s := range []*sessions{first, second} {
		s.log.reset(0)
		for index := range uint64(10) {
			s.open(index+1, lease.Member{ID: fmt.Sprintf("g%d", index), Incarnation: uint64(i) + 1}, "", 0)
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
			t.Error("no answer by changes where there were none")
		}
	}
}

// A voter keeps a bounded number of changes; who is further behind gets the whole list.
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
		t.Error("an answer by changes over those that are not kept")
	}
	if w.compare(c, s) != 1 {
		t.Error("no answer by changes")
	}
}
