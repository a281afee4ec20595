package configversion

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"mothcleat/internal/controlplane/lease"
)

type anyTerm struct{}

func (anyTerm) Fence(string, uint64, lease.Member) error { return nil }

var (
	a, b = lease.Member{ID: "a", Incarnation: 1}, lease.Member{ID: "b", Incarnation: 2}
	one  = strings.Repeat("1", 64)
	two  = strings.Repeat("2", 64)
)

func do(t *testing.T, m *Machine, at time.Duration, who lease.Member, op Command) Result {
	t.Helper()
	var r Result
	if err := json.Unmarshal(m.Apply(at, 1, who, op.Encode()), &r); err != nil {
		t.Fatal(err)
	}
	return r
}

func must(t *testing.T, r Result) uint64 {
	t.Helper()
	if !r.OK {
		t.Fatal(r.Why)
	}
	return r.Number
}

// A version goes from one gateway to all; what came before ends when all say so, or after the span; a withdrawal brings back what was
// there, under a new number.
func TestARollOut(t *testing.T) {
	r := DefaultConfig()
	m := NewMachine(r, anyTerm{})
	for _, who := range []lease.Member{a, b} {
		must(t, do(t, m, 0, who, Command{Kind: "here"}))
	}
	n := must(t, do(t, m, 1*time.Second, a, Command{Kind: "propose", Item: "plans", Digest: one, Size: 3, Stage: StageOne, Pilots: []string{"a"}}))
	if n != 2 {
		t.Fatalf("number %d", n) // 1 is what each has by its own configuration
	}
	if got := m.LeaseFor(1*time.Second, b).Targets[0]; got.Number != 1 || len(got.Overlapping) != 0 {
		t.Errorf("one that does not try it is told %+v", got)
	}
	if got := m.LeaseFor(1*time.Second, a).Targets[0]; got.Number != 2 || len(got.Leases) != 2 || len(got.Overlapping) != 1 || got.Overlapping[0].Number != 1 {
		t.Errorf("the one that tries it is told %+v", got)
	}
	if r := do(t, m, 1*time.Second, b, Command{Kind: "propose", Item: "plans", Digest: two, Stage: StageAll, Number: 2}); r.OK {
		t.Error("two roll-outs at once")
	}
	view := m.View(2 * time.Second)
	if ops := NextCommands(r, 1, &view); len(ops) != 0 {
		t.Errorf("it goes on before anybody has it: %+v", ops)
	}
	must(t, do(t, m, 2*time.Second, a, Command{Kind: "report", Item: "plans", Number: 2}))
	view = m.View(4 * time.Second)
	ops := NextCommands(r, 1, &view)
	if len(ops) != 1 || ops[0].Kind != "go-on" || ops[0].Stage != StageAll {
		t.Fatalf("%+v", ops)
	}
	must(t, do(t, m, 4*time.Second, a, ops[0]))
	if got := m.LeaseFor(4*time.Second, b).Targets[0]; got.Number != 2 || got.Leases[1] != r.TTL {
		t.Errorf("one that has to catch up is told %+v", got)
	}
	if s := LaggingReplicas(ptr(m.View(5 * time.Second))); len(s) != 1 || s[0].Member != b || s[0].Target != 2 {
		t.Errorf("%+v", s)
	}
	must(t, do(t, m, 5*time.Second, b, Command{Kind: "report", Item: "plans", Number: 2}))
	if got := m.LeaseFor(5*time.Second, b).Targets[0]; len(got.Overlapping) != 0 || len(got.Leases) != 1 {
		t.Errorf("all have it, and it is told %+v", got)
	}
	n = must(t, do(t, m, 6*time.Second, b, Command{Kind: "withdraw", Item: "plans", Number: 2, Why: "wrong"}))
	got := m.LeaseFor(6*time.Second, a).Targets[0]
	if n != 3 || got.Number != 3 || got.Digest != "" || got.Leases[2] != 0 {
		t.Errorf("after it was withdrawn %+v", got)
	}
	if r := do(t, m, 7*time.Second, a, Command{Kind: "go-on", Item: "plans", Number: 2, Stage: StageAll}); r.OK {
		t.Error("a withdrawn version went on")
	}
}

func ptr[T any](v T) *T { return &v }

// A version that a gateway can't act on is held, and goes on only by a person's word.
func TestARefusalHolds(t *testing.T) {
	r := DefaultConfig()
	m := NewMachine(r, anyTerm{})
	must(t, do(t, m, 0, a, Command{Kind: "here"}))
	must(t, do(t, m, 0, a, Command{Kind: "propose", Item: "plans", Digest: one, Stage: StageOne, Pilots: []string{"a"}}))
	must(t, do(t, m, 1, a, Command{Kind: "report", Item: "plans", Number: 2, Rejected: true, Why: "no such plan"}))
	// It says that it acts on what is for all: that takes nothing back.
	must(t, do(t, m, 1, a, Command{Kind: "report", Item: "plans", Number: 1}))
	view := m.View(2)
	ops := NextCommands(r, 1, &view)
	if len(ops) != 1 || ops[0].Kind != "hold" || !strings.Contains(ops[0].Why, "no such plan") {
		t.Fatalf("%+v", ops)
	}
	must(t, do(t, m, 3, a, ops[0]))
	if got := m.LeaseFor(3, a).Targets[0]; got.Number != 1 {
		t.Errorf("one that can't act on it is to act on %d", got.Number)
	}
	if r := do(t, m, 4, a, Command{Kind: "go-on", Item: "plans", Number: 2, Stage: StageAll, Term: 1}); r.OK {
		t.Error("the guide let a held version go on")
	}
	must(t, do(t, m, 4, a, Command{Kind: "go-on", Item: "plans", Number: 2, Stage: StageAll}))
}

// No permit is given for longer than a process is enrolled: after that nobody waits for its word.
func TestAPermitEndsWithTheEnrolment(t *testing.T) {
	r := DefaultConfig()
	m := NewMachine(r, anyTerm{})
	must(t, do(t, m, 0, a, Command{Kind: "here"}))
	must(t, do(t, m, 0, b, Command{Kind: "here"}))
	must(t, do(t, m, 0, b, Command{Kind: "propose", Item: "plans", Digest: one, Stage: StageAll}))
	late := r.EnrolmentTTL - time.Second
	told := m.LeaseFor(late, a)
	if !told.MustEnrol {
		t.Error("one whose enrolment ends is not told so")
	}
	for number, span := range told.Targets[0].Leases {
		if late+r.withDrift(span) > r.EnrolmentTTL {
			t.Errorf("%d is permitted for %v, %v before the enrolment ends", number, span, r.EnrolmentTTL-late)
		}
	}
	if told := m.LeaseFor(r.EnrolmentTTL, a); told.FencedReason == "" || len(told.Targets) > 0 {
		t.Errorf("one that is not enrolled any more is told %+v", told)
	}
}

// Without any item a gateway acts for as long as it hears the fleet, and not before.
func TestActsForASpan(t *testing.T) {
	r := DefaultConfig()
	h := NewHolder(r)
	if h.LeasedUntil(0) != 0 {
		t.Error("it acts before it has heard anything")
	}
	h.HandleLease(2*time.Second, time.Second, &LeaseResponse{Seq: 1})
	if got := h.LeasedUntil(2 * time.Second); got != time.Second+r.TTL {
		t.Errorf("it acts until %v", got)
	}
	if h.LeasedUntil(time.Second+r.TTL) != 0 {
		t.Error("it acts when its permit is over")
	}
	h.HandleLease(12*time.Second, 12*time.Second, &LeaseResponse{Seq: 2, FencedReason: "by hand"})
	if h.LeasedUntil(12*time.Second) != 0 || !strings.Contains(h.FencedReason(12*time.Second), "by hand") {
		t.Error("it acts though it was shut out")
	}
}

// One that flaps stays out longer each time.
func TestFlappingIsDamped(t *testing.T) {
	r := DefaultConfig()
	h := NewHolder(r)
	now := time.Second
	var waits []time.Duration
	for range 5 {
		h.HandleLease(now, now, &LeaseResponse{Seq: 1})
		began := now
		for ; h.LeasedUntil(now) == 0; now += 10 * time.Millisecond {
			h.HandleLease(now, now, &LeaseResponse{Seq: 1})
		}
		waits = append(waits, now-began)
		h.HandleLease(now, now, &LeaseResponse{Seq: 1, FencedReason: "not enrolled"})
		now += time.Second
	}
	for i := 3; i < len(waits); i++ {
		if waits[i] <= waits[i-1] {
			t.Errorf("it waited %v", waits)
		}
	}
	if waits[1] != 0 || waits[2] != r.ReadmissionDelay || h.FencedCount() != 5 {
		t.Errorf("it waited %v, and was out %d times", waits, h.FencedCount())
	}
}
