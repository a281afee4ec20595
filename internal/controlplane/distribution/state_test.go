package distribution

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mothcleat/internal/controlplane/distributionpb"
)

const testEpoch = 7

// server is a server's record. A newer one has another start.
func server(id string, phase distributionpb.Phase, started int64) Change {
	raw, err := proto.Marshal(&distributionpb.ServerRecord{
		Address:   "10.0.0.1:6379",
		Zone:      "south-1",
		Phase:     phase,
		Size:      1,
		StartedMs: started,
		Service:   "cart",
		Region:    "south",
	})
	if err != nil {
		panic(err)
	}
	return Change{Record: Record{KindServer, id, raw}}
}

func ready(id string, started int64) Change {
	return server(id, distributionpb.Phase_PHASE_READY, started)
}

func draining(id string) Change { return server(id, distributionpb.Phase_PHASE_DRAINING, 1) }

func deleted(id string) Change {
	return Change{Record: Record{Kind: KindServer, ID: id}, Deleted: true}
}

// drawChanges draws changes, one a key, of few keys, so that they meet.
func drawChanges(t *rapid.T) []Change {
	ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 1, 6, rapid.ID).Draw(t, "ids")
	changes := make([]Change, len(ids))
	for i, id := range ids {
		name := fmt.Sprintf("server-%d", id)
		switch rapid.IntRange(0, 4).Draw(t, "what") {
		case 0:
			changes[i] = deleted(name)
		case 1:
			changes[i] = draining(name)
		case 2:
			value := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "value")
			changes[i] = Change{Record: Record{KindTenant, name, value}}
		default:
			changes[i] = ready(name, rapid.Int64Range(1, 3).Draw(t, "started"))
		}
	}
	return changes
}

// content is a state's records by key.
func content(s *State) map[string]string {
	all := map[string]string{}
	for i := range uint32(BucketCount) {
		for _, r := range s.Bucket(i) {
			all[fmt.Sprint(int32(r.Kind), "/", r.ID)] = string(r.Value)
		}
	}
	return all
}

// rebuilt is a state of the same records at the same position, put together in another order.
func rebuilt(s *State, random *rand.Rand) *State {
	var changes []Change
	for i := range uint32(BucketCount) {
		for _, r := range s.Bucket(i) {
			changes = append(changes, Change{Record: r})
		}
	}
	random.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
	fresh := NewState()
	fresh.commit(fresh.stage(changes), s.epoch, s.revision)
	return fresh
}

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestStateIsAMapWithADigest checks a state against a map, and that its digest and counts depend on
// its content and position alone.
func TestStateIsAMapWithADigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, model := NewState(), map[string]string{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			changes := drawChanges(t)
			s.advance(testEpoch, changes)
			for _, c := range changes {
				if key := fmt.Sprint(int32(c.Kind), "/", c.ID); c.Deleted {
					delete(model, key)
				} else {
					model[key] = string(c.Value)
				}
			}
		}
		if got := content(s); !maps.Equal(got, model) {
			t.Fatalf("the state has %d records, the model %d", len(got), len(model))
		}
		fresh := rebuilt(s, testRandom())
		if s.Position() != fresh.Position() || s.Len() != fresh.Len() ||
			s.Bytes() != fresh.Bytes() || s.Len() != len(model) {
			t.Fatalf("%v with %d records, rebuilt %v with %d",
				s.Position(), s.Len(), fresh.Position(), fresh.Len())
		}
		if !slices.Equal(s.Sums(), fresh.Sums()) {
			t.Fatal("the buckets' sums depend on the order of changes")
		}
	})
}

// TestDeltaIsAppliedAtomically checks that a delta leads a copy to the same position, and that
// one damaged in any place is rejected and changes nothing.
func TestDeltaIsAppliedAtomically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.advance(testEpoch, drawChanges(t))
		copied := s.Clone()
		d := s.advance(0, drawChanges(t))
		if d == nil {
			return // they changed nothing
		}
		raw := d.Encode()
		if rapid.Bool().Draw(t, "damaged") {
			damaged := bytes.Clone(raw)
			at := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
			damaged[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
			before, had := copied.Position(), content(copied)
			broken, err := DecodeDelta(damaged)
			if err == nil {
				err = copied.Apply(broken)
			}
			if err != nil {
				requireTyped(t, err)
				if copied.Position() != before || !maps.Equal(content(copied), had) {
					t.Fatalf("a refused delta changed the state: %v", err)
				}
				return
			}
			// The damage hit what means nothing: an order, or a field that nobody reads.
		} else if decoded, err := DecodeDelta(raw); err != nil {
			t.Fatal(err)
		} else if err := copied.Apply(decoded); err != nil {
			t.Fatal(err)
		}
		if copied.Position() != s.Position() || !maps.Equal(content(copied), content(s)) {
			t.Fatalf("%v instead of %v", copied.Position(), s.Position())
		}
	})
}

// fataler is a testing.T or a rapid.T.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// requireTyped fails for an error that is none of the package's.
func requireTyped(t fataler, err error) {
	t.Helper()
	var epoch *WrongEpochError
	var revision *WrongRevisionError
	var digest *DigestMismatchError
	var record *InvalidRecordError
	var message *InvalidMessageError
	var fleet *WrongFleetError
	for _, target := range []any{&epoch, &revision, &digest, &record, &message, &fleet} {
		if errors.As(err, target) {
			return
		}
	}
	t.Fatalf("an error without a type: %v", err)
}

// TestRejectedDeltas checks the error for each reason to reject a delta.
func TestRejectedDeltas(t *testing.T) {
	s := NewState()
	s.advance(testEpoch, []Change{ready("a", 1), ready("b", 1)})
	next := s.Clone()
	good := next.advance(0, []Change{draining("a")})
	for _, test := range []struct {
		name string
		edit func(*Delta)
		want error
		text string
	}{
		{
			"another epoch",
			func(d *Delta) { d.Epoch = 8 },
			&WrongEpochError{7, 8},
			"epoch 8 instead of 7",
		},
		{
			"an earlier revision",
			func(d *Delta) { d.From = 0 },
			&WrongRevisionError{1, 0, 2},
			"from revision 0 to 2 does not fit a state at 1",
		},
		{
			"a later revision",
			func(d *Delta) { d.From, d.To = 2, 3 },
			&WrongRevisionError{1, 2, 3},
			"from revision 2 to 3",
		},
		{"a further target", func(d *Delta) { d.To = 3 }, &DigestMismatchError{}, "instead of 7/3"},
		{
			"another record",
			func(d *Delta) { d.Changes = []Change{draining("b")} },
			&DigestMismatchError{},
			"instead of 7/2",
		},
		{"no change", func(d *Delta) { d.Changes = nil }, &DigestMismatchError{}, "instead of 7/2"},
		{
			"no kind",
			func(d *Delta) { d.Changes = []Change{{Record: Record{ID: "x"}}} },
			&InvalidRecordError{},
			`"x": it has no kind`,
		},
		{
			"no id",
			func(d *Delta) { d.Changes = []Change{{Record: Record{Kind: KindPlan}}} },
			&InvalidRecordError{},
			`it has no id`,
		},
		{
			"an unreadable server",
			func(d *Delta) {
				d.Changes = []Change{{Record: Record{KindServer, "x", []byte{0xff}}}}
			},
			&InvalidRecordError{},
			`"x"`,
		},
		{
			"a deleted value",
			func(d *Delta) { d.Changes = []Change{{Record{KindPlan, "x", []byte{1}}, true}} },
			&InvalidRecordError{},
			"deleted and has a value",
		},
		{"a long id", func(d *Delta) {
			d.Changes = []Change{
				{Record: Record{KindPlan, string(make([]byte, MaxIDBytes+1)), nil}},
			}
		}, &InvalidRecordError{}, "513 bytes"},
		{
			"a long value",
			func(d *Delta) {
				d.Changes = []Change{{Record: Record{KindPlan, "x", make([]byte, MaxValueBytes+1)}}}
			},
			&InvalidRecordError{},
			"65537 bytes",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := *good
			test.edit(&d)
			before := s.Position()
			err := s.Apply(&d)
			if reflect.TypeOf(err) != reflect.TypeOf(test.want) {
				t.Fatalf("%v, want a %T", err, test.want)
			}
			if !bytes.Contains([]byte(err.Error()), []byte(test.text)) {
				t.Errorf("%q does not say %q", err, test.text)
			}
			if s.Position() != before {
				t.Error("the state has changed")
			}
		})
	}
	if err := s.Apply(good); err != nil || s.Position() != next.Position() {
		t.Errorf("%v, %v", err, s.Position())
	}
}

// TestDigestIsPinned checks that the digest, which is part of the protocol and of files, does not
// change.
func TestDigestIsPinned(t *testing.T) {
	s := NewState()
	s.advance(
		testEpoch,
		[]Change{
			{Record: Record{KindPlan, "gold", []byte("1000")}},
			{Record: Record{KindTenant, "acme", nil}},
		},
	)
	const want = "c07eab816a2f835e64659d02e281f0d7"
	if got := s.Digest().String(); got != want {
		t.Errorf("the digest is %s, and was %s", got, want)
	}
	if got, want := bucketIndex(KindServer, "server-1"), uint32(722); got != want {
		t.Errorf("the bucket is %d, and was %d", got, want)
	}
}

// TestHashesTellKeysFromValues checks that moving bytes between key and value changes the hash.
func TestHashesTellKeysFromValues(t *testing.T) {
	seen := map[Digest]Record{}
	for _, r := range []Record{
		{KindPlan, "ab", []byte("c")},
		{KindPlan, "a", []byte("bc")},
		{KindPlan, "abc", nil},
		{KindTenant, "ab", []byte("c")},
	} {
		h := recordHash(&r)
		if other, ok := seen[h]; ok {
			t.Errorf("%v and %v have one hash", r, other)
		}
		seen[h] = r
	}
}

// TestDifferenceLeadsToTheOther checks that Difference leads from any state to any other.
func TestDifferenceLeadsToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewState(), NewState()
		for range rapid.IntRange(0, 5).Draw(t, "a") {
			a.advance(testEpoch, drawChanges(t))
		}
		for range rapid.IntRange(0, 5).Draw(t, "b") {
			b.advance(testEpoch, drawChanges(t))
		}
		a.advance(testEpoch, a.Difference(b))
		if !maps.Equal(content(a), content(b)) {
			t.Fatalf("%v instead of %v", content(a), content(b))
		}
	})
}

// TestUrgentChangesComeFirst checks that deletions come first in a delta, then draining servers.
func TestUrgentChangesComeFirst(t *testing.T) {
	s := NewState()
	s.advance(testEpoch, []Change{ready("z-gone", 1)})
	d := s.advance(
		0,
		[]Change{
			ready("a", 1), draining("c"), {Record: Record{KindTenant, "b", nil}}, deleted("z-gone"),
		},
	)
	var order []string
	for _, c := range d.Changes {
		order = append(order, c.ID)
	}
	if want := []string{"z-gone", "c", "a", "b"}; !slices.Equal(order, want) {
		t.Errorf("%v, want %v", order, want)
	}
	if !d.Urgent() {
		t.Error("the delta is not urgent")
	}
	if quiet := s.advance(0, []Change{ready("a", 2)}); quiet.Urgent() {
		t.Error("a delta without deletions and draining servers is urgent")
	}
}

// TestCloneIsIndependent checks that a clone and its original change independently.
func TestCloneIsIndependent(t *testing.T) {
	s := NewState()
	s.advance(testEpoch, []Change{ready("a", 1)})
	c := s.Clone()
	at := c.Position()
	s.advance(0, []Change{deleted("a"), ready("b", 1)})
	if c.Position() != at || c.Digest() != rebuilt(c, testRandom()).Digest() {
		t.Error("the clone has changed")
	}
	if _, there := c.Get(KindServer, "a"); !there {
		t.Error("the clone has lost a record")
	}
}

// TestRange checks that Range returns the records of one kind and stops when asked to.
func TestRange(t *testing.T) {
	s := NewState()
	s.advance(testEpoch,
		[]Change{ready("a", 1), ready("b", 1), {Record: Record{KindPlan, "p", nil}}})
	count := 0
	s.Range(KindServer, func(r Record) bool {
		count++
		if r.Kind != KindServer {
			t.Errorf("%v", r)
		}
		return true
	})
	if count != 2 {
		t.Errorf("%d servers", count)
	}
	s.Range(KindServer, func(Record) bool { count++; return false })
	if count != 3 {
		t.Errorf("it went on after false")
	}
}
