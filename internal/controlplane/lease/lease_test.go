package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestTable(t *testing.T) {
	table := NewTable(Config{TTL: 100 * ms, ClockDriftBound: 0.1, OfferTTL: 20 * ms})
	a, b := Member{"a", 1}, Member{"b", 1}
	restarted := Member{"a", 2}
	if l, err := table.Acquire(0, "d", a, 0); err != nil || l.Term != 1 || l.ExpiresAt != 110*ms {
		t.Fatalf("%+v, %v", l, err)
	}
	// Another incarnation of the same id is another member.
	for _, who := range []Member{b, restarted} {
		if _, err := table.Acquire(110*ms, "d", who, 0); !errors.Is(err, ErrHeld) {
			t.Errorf("%v: %v", who, err)
		}
	}
	if l, err := table.Acquire(50*ms, "d", a, 1); err != nil ||
		l.Term != 1 || l.ExpiresAt != 160*ms {
		t.Errorf("renewed: %+v, %v", l, err)
	}
	if l, err := table.Acquire(161*ms, "d", b, 0); err != nil || l.Term != 2 || l.Cause != Expired {
		t.Errorf("expired: %+v, %v", l, err)
	}
	if err := table.Fence("d", 1, a); !errors.Is(err, ErrStaleTerm) {
		t.Errorf("an old term: %v", err)
	}
	if err := table.Fence("d", 2, a); !errors.Is(err, ErrStaleTerm) {
		t.Errorf("another's term: %v", err)
	}
	if err := table.Transfer(170*ms, "d", 2, b, restarted); err != nil {
		t.Fatal(err)
	}
	if err := table.Fence("d", 2, b); !errors.Is(err, ErrStaleTerm) {
		t.Errorf("after the transfer: %v", err)
	}
	// A lease that was transferred and is not confirmed is free soon.
	if _, err := table.Acquire(190*ms, "d", b, 0); !errors.Is(err, ErrHeld) {
		t.Errorf("before the offer has expired: %v", err)
	}
	if l, err := table.Acquire(193*ms, "d", b, 0); err != nil || l.Term != 4 {
		t.Errorf("after the offer has expired: %+v, %v", l, err)
	}
	if err := table.Fence("d", 2, b); !errors.Is(err, ErrStaleTerm) {
		t.Errorf("a holder's own older term: %v", err)
	}
	if err := table.Release(194*ms, "d", 4, b); err != nil {
		t.Fatal(err)
	}
	if l, err := table.Acquire(194*ms, "d", a, 0); err != nil ||
		l.Term != 6 || l.Cause != Acquired {
		t.Errorf("after the release: %+v, %v", l, err)
	}
	if n := len(table.History("d")); n != 6 {
		t.Errorf("%d changes of holder", n)
	}
	if err := table.RequestTransfer("d", "b"); err != nil {
		t.Fatal(err)
	}
	restored := NewTable(table.config)
	err := restored.Restore(table.Snapshot())
	if err != nil || string(restored.Snapshot()) != string(table.Snapshot()) {
		t.Errorf("%v: %s, %s", err, restored.Snapshot(), table.Snapshot())
	}
	if _, err := table.Acquire(400*ms, "d", b, 0); err != nil ||
		table.Leases()[0].TransferTo != "" {
		t.Errorf("a requested transfer outlived its term: %+v, %v", table.Leases(), err)
	}
}

func TestGate(t *testing.T) {
	var g Gate
	a, b := Member{"a", 1}, Member{"b", 1}
	for i, c := range []struct {
		term    uint64
		who     Member
		changed bool
		ok      bool
	}{
		{3, a, true, true},
		{3, a, false, true},
		{3, b, false, false},
		{3, Member{"a", 2}, false, false},
		{2, a, false, false},
		{4, b, true, true},
		{3, a, false, false},
	} {
		changed, err := g.Admit("d", c.term, c.who)
		if changed != c.changed || (err == nil) != c.ok {
			t.Errorf("%d: %v, %v", i, changed, err)
		}
		var restored Gate
		if err := restored.Restore(g.Snapshot()); err != nil {
			t.Fatal(err)
		}
		g = restored // a restart changes nothing
	}
}

// process is a claimant with a clock of its own.
type process struct {
	claimant *Claimant
	self     Member
	pace     float64
	shift    time.Duration
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.shift + time.Duration(float64(now)*p.pace)
}

// message is a request or its answer in flight.
type message struct {
	process   int
	isRequest bool
	sentAt    time.Duration // by the process's clock
	knownTerm uint64
	ttl       time.Duration
	lease     Lease
	err       error
}

// However long messages take, whether they are lost, duplicated or reordered, and at whatever pace
// within the clock-drift bound the clocks go: no two members hold the lease at one moment, and
// terms only grow.
func TestNoTwoHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{TTL: 1000 * ms, ClockDriftBound: 0.125, OfferTTL: 200 * ms}
		table := NewTable(config)
		var processes []*process
		for i := range rapid.IntRange(2, 4).Draw(t, "processes") {
			p := &process{
				self: Member{fmt.Sprint(i), 1},
				// The table's clock may be the fast one: it goes at 1, the slowest at 1/1.125.
				pace:  rapid.Float64Range(1/1.125+0.001, 1.2).Draw(t, "pace"),
				shift: time.Duration(rapid.IntRange(0, 30_000).Draw(t, "shift")) * ms,
			}
			p.claimant = NewClaimant(config, "d", p.self)
			processes = append(processes, p)
		}
		var inFlight []message
		now := time.Duration(0)
		var newestTerm uint64
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "passes")) * ms
			who := rapid.IntRange(0, len(processes)-1).Draw(t, "who")
			p := processes[who]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				if due, _ := p.claimant.Due(p.clock(now)); due {
					p.claimant.Sent(p.clock(now))
					inFlight = append(inFlight, message{
						process: who, isRequest: true, sentAt: p.clock(now),
						knownTerm: p.claimant.KnownTerm(),
					})
				}
			case 2, 3:
				if len(inFlight) == 0 {
					break
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				m := inFlight[i]
				if rapid.IntRange(0, 4).Draw(t, "doubled") > 0 {
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
				}
				to := processes[m.process]
				if m.isRequest {
					m.isRequest = false
					m.lease, m.err = table.Acquire(now, "d", to.self, m.knownTerm)
					m.ttl = table.RemainingTTL(now, &m.lease)
					if m.err == nil && m.lease.Term < newestTerm {
						t.Fatalf("term %d after %d", m.lease.Term, newestTerm)
					}
					newestTerm = max(newestTerm, m.lease.Term)
					inFlight = append(inFlight, m)
				} else if m.err != nil {
					to.claimant.Rejected(to.clock(now), m.sentAt, 10*ms, "held")
				} else {
					to.claimant.Granted(to.clock(now), m.sentAt, m.lease.Term, m.ttl)
				}
			case 4:
				if len(inFlight) > 0 { // lost
					inFlight = inFlight[1:]
				}
			case 5:
				if term, ok := p.claimant.Holds(p.clock(now)); ok {
					to := processes[rapid.IntRange(0, len(processes)-1).Draw(t, "to")]
					if rapid.Bool().Draw(t, "release") {
						if table.Release(now, "d", term, p.self) == nil {
							p.claimant.GiveUp(p.clock(now), 50*ms, "given up")
						}
					} else if to != p {
						// The work has ended before the lease is transferred.
						p.claimant.GiveUp(p.clock(now), 50*ms, "transferred")
						_ = table.Transfer(now, "d", term, p.self, to.self)
					}
				}
			}
			holders := 0
			for _, p := range processes {
				if _, ok := p.claimant.Holds(p.clock(now)); ok {
					holders++
				}
			}
			if holders > 1 {
				t.Fatalf("%d hold at %v", holders, now)
			}
		}
	})
}

// A claimant that was suspended past its TTL knows so by its clock alone.
func TestClaimantStopsByItself(t *testing.T) {
	c := NewClaimant(Config{TTL: 100 * ms}, "d", Member{"a", 1})
	c.Sent(10 * ms)
	if !c.Granted(60*ms, 10*ms, 1, 100*ms) {
		t.Fatal("not held")
	}
	if _, ok := c.Holds(109 * ms); !ok {
		t.Error("ended early")
	}
	if _, ok := c.Holds(110 * ms); ok {
		t.Error("holds past its TTL, counted from the sending")
	}
	c.Sent(200 * ms)
	if c.Granted(300*ms, 200*ms, 2, 100*ms) {
		t.Error("an answer that came after its TTL is accepted")
	}
}

// A member whose requests arrive but that receives no answer does not keep a lease, and is not
// granted it again at once.
func TestMemberThatDoesNotConfirmIsExcluded(t *testing.T) {
	table := NewTable(Config{TTL: 100 * ms, ClockDriftBound: 0.1, OfferTTL: 20 * ms})
	unconfirming, other := Member{"unconfirming", 1}, Member{"other", 1}
	for at := time.Duration(0); at < 110*ms; at += 10 * ms {
		l, err := table.Acquire(at, "d", unconfirming, 0)
		if err != nil || l.Term != 1 || l.ExpiresAt != 110*ms {
			t.Fatalf("%+v, %v", l, err)
		}
	}
	if _, err := table.Acquire(111*ms, "d", unconfirming, 0); !errors.Is(err, ErrExcluded) {
		t.Errorf("granted again: %v", err)
	}
	if l, err := table.Acquire(112*ms, "d", other, 0); err != nil || l.Term != 2 {
		t.Errorf("%+v, %v", l, err)
	}
	if l, err := table.Acquire(150*ms, "d", other, 2); err != nil ||
		l.Unconfirmed || l.ExpiresAt != 260*ms {
		t.Errorf("renewed: %+v, %v", l, err)
	}
}

// A term that was given up is never held again, whatever answers are still in flight.
func TestGivenUpTermIsNotHeldAgain(t *testing.T) {
	c := NewClaimant(Config{TTL: 100 * ms}, "d", Member{"a", 1})
	c.Sent(0)
	c.Granted(10*ms, 0, 3, 100*ms)
	c.Sent(30 * ms)
	c.GiveUp(40*ms, 0, "transferred")
	if c.Granted(50*ms, 30*ms, 3, 100*ms) {
		t.Error("held again by a late renewal")
	}
	if !c.GaveUp(3) || c.GaveUp(4) {
		t.Error("GaveUp is wrong about what was given up")
	}
	if !c.Granted(60*ms, 55*ms, 4, 100*ms) {
		t.Error("the next term is not held")
	}
}

// Roles are spread evenly, and when a member leaves only its own roles move.
func TestRank(t *testing.T) {
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = fmt.Sprintf("n%d", i)
	}
	first := func(role string, ids []string) string {
		for _, id := range ids {
			if Rank(role, id, ids) == 0 {
				return id
			}
		}
		t.Fatalf("nobody is first for %s", role)
		return ""
	}
	count := map[string]int{}
	for i := range 2000 {
		role := fmt.Sprintf("use/%d", i)
		was := first(role, ids)
		count[was]++
		if now := first(role, ids[1:]); was != ids[0] && now != was {
			t.Fatalf("%s moved from %s to %s", role, was, now)
		}
	}
	for id, n := range count {
		if n < 50 || n > 170 {
			t.Errorf("%s is first for %d of 2000", id, n)
		}
	}
}
