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
	tb := NewTable(Config{TTL: 100 * ms, ClockDriftBound: 0.1, OfferTTL: 20 * ms})
	a, b := Member{"a", 1}, Member{"b", 1}
	again := Member{"a", 2}
	if h, err := tb.Acquire(0, "d", a, 0); err != nil || h.Term != 1 || h.ExpiresAt != 110*ms {
		t.Fatalf("%+v, %v", h, err)
	}
	// Another boot of the same id is another holder.
	for _, who := range []Member{b, again} {
		if _, err := tb.Acquire(110*ms, "d", who, 0); !errors.Is(err, ErrHeld) {
			t.Errorf("%v: %v", who, err)
		}
	}
	if h, err := tb.Acquire(50*ms, "d", a, 1); err != nil || h.Term != 1 || h.ExpiresAt != 160*ms {
		t.Errorf("renewed: %+v, %v", h, err)
	}
	if h, err := tb.Acquire(161*ms, "d", b, 0); err != nil || h.Term != 2 || h.Cause != Expired {
		t.Errorf("lapsed: %+v, %v", h, err)
	}
	if err := tb.Fence("d", 1, a); !errors.Is(err, ErrStaleTerm) {
		t.Errorf("an old term: %v", err)
	}
	if err := tb.Fence("d", 2, a); !errors.Is(err, ErrStaleTerm) {
		t.Errorf("another's term: %v", err)
	}
	if err := tb.Transfer(170*ms, "d", 2, b, again); err != nil {
		t.Fatal(err)
	}
	if err := tb.Fence("d", 2, b); !errors.Is(err, ErrStaleTerm) {
		t.Errorf("after handing on: %v", err)
	}
	// An offer that is not taken up is free soon.
	if _, err := tb.Acquire(190*ms, "d", b, 0); !errors.Is(err, ErrHeld) {
		t.Errorf("amid the offer: %v", err)
	}
	if h, err := tb.Acquire(193*ms, "d", b, 0); err != nil || h.Term != 4 {
		t.Errorf("after the offer: %+v, %v", h, err)
	}
	if err := tb.Fence("d", 2, b); !errors.Is(err, ErrStaleTerm) {
		t.Errorf("an owner's own older term: %v", err)
	}
	if err := tb.Release(194*ms, "d", 4, b); err != nil {
		t.Fatal(err)
	}
	if h, err := tb.Acquire(194*ms, "d", a, 0); err != nil || h.Term != 6 || h.Cause != Acquired {
		t.Errorf("after the release: %+v, %v", h, err)
	}
	if n := len(tb.History("d")); n != 6 {
		t.Errorf("%d changes of hands", n)
	}
	if err := tb.RequestTransfer("d", "b"); err != nil {
		t.Fatal(err)
	}
	copied := NewTable(tb.rules)
	if err := copied.Restore(tb.Snapshot()); err != nil || string(copied.Snapshot()) != string(tb.Snapshot()) {
		t.Errorf("%v: %s, %s", err, copied.Snapshot(), tb.Snapshot())
	}
	if _, err := tb.Acquire(400*ms, "d", b, 0); err != nil || tb.Leases()[0].TransferTo != "" {
		t.Errorf("a wish outlived its term: %+v, %v", tb.Leases(), err)
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
	}{{3, a, true, true}, {3, a, false, true}, {3, b, false, false}, {3, Member{"a", 2}, false, false}, {2, a, false, false}, {4, b, true, true}, {3, a, false, false}} {
		changed, err := g.Admit("d", c.term, c.who)
		if changed != c.changed || (err == nil) != c.ok {
			t.Errorf("%d: %v, %v", i, changed, err)
		}
		var kept Gate
		if err := kept.Restore(g.Snapshot()); err != nil {
			t.Fatal(err)
		}
		g = kept // a restart changes nothing
	}
}

// process is a holder with a clock of its own.
type process struct {
	h     *Claimant
	me    Member
	pace  float64
	shift time.Duration
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.shift + time.Duration(float64(now)*p.pace)
}

// message is an asking or its answer under way.
type message struct {
	to     int // process
	asking bool
	sent   time.Duration // by its clock
	knows  uint64
	span   time.Duration
	h      Lease
	err    error
}

// Whatever messages take, are lost, doubled or overtaken, and at whatever pace within the margin the clocks go: no two
// holders hold at one moment, and terms go up.
func TestNoTwoHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := Config{TTL: 1000 * ms, ClockDriftBound: 0.125, OfferTTL: 200 * ms}
		tb := NewTable(rules)
		var ps []*process
		for i := range rapid.IntRange(2, 4).Draw(t, "processes") {
			// The table's clock may be the fast one: it goes at 1, the slowest at 1/1.125.
			p := &process{me: Member{fmt.Sprint(i), 1}, pace: rapid.Float64Range(1/1.125+0.001, 1.2).Draw(t, "pace"),
				shift: time.Duration(rapid.IntRange(0, 30_000).Draw(t, "shift")) * ms}
			p.h = NewClaimant(rules, "d", p.me)
			ps = append(ps, p)
		}
		var out []message
		now := time.Duration(0)
		var newest uint64
		held := 0
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "passes")) * ms
			p := ps[rapid.IntRange(0, len(ps)-1).Draw(t, "who")]
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				if ask, _ := p.h.Due(p.clock(now)); ask {
					p.h.Sent(p.clock(now))
					out = append(out, message{to: int(p.me.ID[0] - '0'), asking: true, sent: p.clock(now), knows: p.h.KnownTerm()})
				}
			case 2, 3:
				if len(out) == 0 {
					break
				}
				i := rapid.IntRange(0, len(out)-1).Draw(t, "message")
				m := out[i]
				if rapid.IntRange(0, 4).Draw(t, "doubled") > 0 {
					out = append(out[:i], out[i+1:]...)
				}
				to := ps[m.to]
				if m.asking {
					m.asking = false
					m.h, m.err = tb.Acquire(now, "d", to.me, m.knows)
					m.span = tb.RemainingTTL(now, &m.h)
					if m.err == nil && m.h.Term < newest {
						t.Fatalf("term %d after %d", m.h.Term, newest)
					}
					newest = max(newest, m.h.Term)
					out = append(out, m)
				} else if m.err != nil {
					to.h.Rejected(to.clock(now), m.sent, 10*ms, "held")
				} else {
					to.h.Granted(to.clock(now), m.sent, m.h.Term, m.span, "")
				}
			case 4:
				if len(out) > 0 { // lost
					out = out[1:]
				}
			case 5:
				if term, ok := p.h.Holds(p.clock(now)); ok {
					to := ps[rapid.IntRange(0, len(ps)-1).Draw(t, "to")]
					if rapid.Bool().Draw(t, "release") {
						if tb.Release(now, "d", term, p.me) == nil {
							p.h.GiveUp(p.clock(now), 50*ms, "given up")
						}
					} else if to != p {
						// the work has ended before it is handed on
						p.h.GiveUp(p.clock(now), 50*ms, "handed on")
						_ = tb.Transfer(now, "d", term, p.me, to.me)
					}
				}
			}
			holders := 0
			for _, p := range ps {
				if _, ok := p.h.Holds(p.clock(now)); ok {
					holders++
				}
			}
			held = max(held, holders)
			if holders > 1 {
				t.Fatalf("%d hold at %v", holders, now)
			}
		}
	})
}

// A holder that was stopped past its span knows so by its clock alone.
func TestAHolderEndsByItself(t *testing.T) {
	h := NewClaimant(Config{TTL: 100 * ms}, "d", Member{"a", 1})
	h.Sent(10 * ms)
	if !h.Granted(60*ms, 10*ms, 1, 100*ms, "") {
		t.Fatal("not held")
	}
	if _, ok := h.Holds(109 * ms); !ok {
		t.Error("ended early")
	}
	if _, ok := h.Holds(110 * ms); ok {
		t.Error("holds past its span, counted from the sending")
	}
	h.Sent(200 * ms)
	if h.Granted(300*ms, 200*ms, 2, 100*ms, "") {
		t.Error("an answer that came after its span is taken")
	}
}

// One that is heard and hears nobody does not keep a duty, and does not get it again at once.
func TestADeafMemberDoesNotKeepADuty(t *testing.T) {
	tb := NewTable(Config{TTL: 100 * ms, ClockDriftBound: 0.1, OfferTTL: 20 * ms})
	deaf, other := Member{"deaf", 1}, Member{"other", 1}
	for at := time.Duration(0); at < 110*ms; at += 10 * ms {
		h, err := tb.Acquire(at, "d", deaf, 0)
		if err != nil || h.Term != 1 || h.ExpiresAt != 110*ms {
			t.Fatalf("%+v, %v", h, err)
		}
	}
	if _, err := tb.Acquire(111*ms, "d", deaf, 0); !errors.Is(err, ErrExcluded) {
		t.Errorf("given again: %v", err)
	}
	if h, err := tb.Acquire(112*ms, "d", other, 0); err != nil || h.Term != 2 {
		t.Errorf("%+v, %v", h, err)
	}
	if h, err := tb.Acquire(150*ms, "d", other, 2); err != nil || h.Unconfirmed || h.ExpiresAt != 260*ms {
		t.Errorf("renewed: %+v, %v", h, err)
	}
}

// A term that was given up is never held again, whatever answers are still on their way.
func TestAGivenUpTermStaysSo(t *testing.T) {
	h := NewClaimant(Config{TTL: 100 * ms}, "d", Member{"a", 1})
	h.Sent(0)
	h.Granted(10*ms, 0, 3, 100*ms, "")
	h.Sent(30 * ms)
	h.GiveUp(40*ms, 0, "handed on")
	if h.Granted(50*ms, 30*ms, 3, 100*ms, "") {
		t.Error("held again by a late renewal")
	}
	if !h.GaveUp(3) || h.GaveUp(4) {
		t.Error("what was given up")
	}
	if !h.Granted(60*ms, 55*ms, 4, 100*ms, "") {
		t.Error("the next term is not held")
	}
}

// Duties are spread evenly, and a member that goes moves its own alone.
func TestRank(t *testing.T) {
	ids := make([]string, 20)
	for i := range ids {
		ids[i] = fmt.Sprintf("n%d", i)
	}
	first := func(duty string, ids []string) string {
		for _, id := range ids {
			if Rank(duty, id, ids) == 0 {
				return id
			}
		}
		t.Fatalf("nobody is first for %s", duty)
		return ""
	}
	count := map[string]int{}
	for i := range 2000 {
		duty := fmt.Sprintf("use/%d", i)
		was := first(duty, ids)
		count[was]++
		if now := first(duty, ids[1:]); was != ids[0] && now != was {
			t.Fatalf("%s moved from %s to %s", duty, was, now)
		}
	}
	for id, n := range count {
		if n < 50 || n > 170 {
			t.Errorf("%s is first for %d of 2000", id, n)
		}
	}
}
