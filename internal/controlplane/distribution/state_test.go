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

// server returns the change that sets a server's record. Records differ by the time of the start,
// in ms.
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

// drawChanges draws changes, one for each key, of few keys, so that changes often have a common
// key.
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

// recordsByKey returns the values of a state's records by kind and id.
func recordsByKey(s *State) map[string]string {
	all := map[string]string{}
	for i := range uint32(BucketCount) {
		for _, r := range s.Bucket(i) {
			all[fmt.Sprint(int32(r.Kind), "/", r.ID)] = string(r.Value)
		}
	}
	return all
}

// rebuildState returns a state of the same records at the same position, built in random order.
func rebuildState(s *State, random *rand.Rand) *State {
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

// TestStateMatchesMapModel checks that a state has the same content as a map with the same changes,
// and that its digest and counts depend only on its content and position.
func TestStateMatchesMapModel(t *testing.T) {
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
		if got := recordsByKey(s); !maps.Equal(got, model) {
			t.Fatalf("the records differ: the state has %d, the model %d", len(got), len(model))
		}
		fresh := rebuildState(s, testRandom())
		if s.Position() != fresh.Position() || s.Len() != fresh.Len() ||
			s.Bytes() != fresh.Bytes() || s.Len() != len(model) {
			t.Fatalf("the state is at %v with %d records, the rebuilt one at %v with %d",
				s.Position(), s.Len(), fresh.Position(), fresh.Len())
		}
		if !slices.Equal(s.Sums(), fresh.Sums()) {
			t.Fatal("the sums of the buckets depend on the order of changes")
		}
	})
}

// TestDeltaIsAppliedAtomically checks that a delta leads a copy to the same position and content,
// and that a delta with a damaged byte either does the same or is rejected and changes nothing.
func TestDeltaIsAppliedAtomically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		s.advance(testEpoch, drawChanges(t))
		copied := s.Clone()
		d := s.advance(0, drawChanges(t))
		if d == nil {
			return // the changes have no effect
		}
		raw := d.Encode()
		if rapid.Bool().Draw(t, "damaged") {
			damaged := bytes.Clone(raw)
			at := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
			damaged[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
			before, records := copied.Position(), recordsByKey(copied)
			broken, err := DecodeDelta(damaged)
			if err == nil {
				err = copied.Apply(broken)
			}
			if err != nil {
				requirePackageError(t, err)
				if copied.Position() != before || !maps.Equal(recordsByKey(copied), records) {
					t.Fatalf("a rejected delta changed the state: %v", err)
				}
				return
			}
			// The damage has no effect: it changed the order or a field that is not read.
		} else if decoded, err := DecodeDelta(raw); err != nil {
			t.Fatal(err)
		} else if err := copied.Apply(decoded); err != nil {
			t.Fatal(err)
		}
		if copied.Position() != s.Position() || !maps.Equal(recordsByKey(copied), recordsByKey(s)) {
			t.Fatalf("the copy is at %v, want %v", copied.Position(), s.Position())
		}
	})
}

// fatalReporter is implemented by testing.T and rapid.T.
type fatalReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// requirePackageError fails the test if the error has none of the package's error types.
func requirePackageError(t fatalReporter, err error) {
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
	t.Fatalf("%T is not an error type of the package: %v", err, err)
}

// TestRejectedDeltas checks the error for each reason for which a delta is rejected.
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
		{"a later target", func(d *Delta) { d.To = 3 }, &DigestMismatchError{}, "instead of 7/3"},
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
				t.Fatalf("the error is %v, want a %T", err, test.want)
			}
			if !bytes.Contains([]byte(err.Error()), []byte(test.text)) {
				t.Errorf("the error is %q, want it to contain %q", err, test.text)
			}
			if s.Position() != before {
				t.Error("the rejected delta changed the state")
			}
		})
	}
	if err := s.Apply(good); err != nil || s.Position() != next.Position() {
		t.Errorf("error %v, the state is at %v", err, s.Position())
	}
}

// TestDigestIsStable guards against changes of the digest and of the bucket index, which are part
// of the protocol and of state files.
func TestDigestIsStable(t *testing.T) {
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
		t.Errorf("the digest is %s, want %s", got, want)
	}
	if got, want := bucketIndex(KindServer, "server-1"), uint32(722); got != want {
		t.Errorf("the bucket index is %d, want %d", got, want)
	}
}

// TestRecordHashSeparatesKeyAndValue checks that moving bytes between key and value changes the
// hash of a record.
func TestRecordHashSeparatesKeyAndValue(t *testing.T) {
	seen := map[Digest]Record{}
	for _, r := range []Record{
		{KindPlan, "ab", []byte("c")},
		{KindPlan, "a", []byte("bc")},
		{KindPlan, "abc", nil},
		{KindTenant, "ab", []byte("c")},
	} {
		h := recordHash(&r)
		if other, ok := seen[h]; ok {
			t.Errorf("%v and %v have the same hash", r, other)
		}
		seen[h] = r
	}
}

// TestDifferenceLeadsToOtherState checks that the changes of Difference lead from any state to any
// other.
func TestDifferenceLeadsToOtherState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewState(), NewState()
		for range rapid.IntRange(0, 5).Draw(t, "a") {
			a.advance(testEpoch, drawChanges(t))
		}
		for range rapid.IntRange(0, 5).Draw(t, "b") {
			b.advance(testEpoch, drawChanges(t))
		}
		a.advance(testEpoch, a.Difference(b))
		if !maps.Equal(recordsByKey(a), recordsByKey(b)) {
			t.Fatalf("the records are %v, want %v", recordsByKey(a), recordsByKey(b))
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
		t.Errorf("the order is %v, want %v", order, want)
	}
	if !d.Urgent() {
		t.Error("a delta with a deletion is not urgent")
	}
	if d := s.advance(0, []Change{ready("a", 2)}); d.Urgent() {
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
	if c.Position() != at || c.Digest() != rebuildState(c, testRandom()).Digest() {
		t.Error("a change of the original changed the clone")
	}
	if _, found := c.Get(KindServer, "a"); !found {
		t.Error("the clone lost a record")
	}
}

// TestRange checks that Range yields the records of one kind and stops when yield returns false.
func TestRange(t *testing.T) {
	s := NewState()
	s.advance(testEpoch,
		[]Change{ready("a", 1), ready("b", 1), {Record: Record{KindPlan, "p", nil}}})
	count := 0
	s.Range(KindServer, func(r Record) bool {
		count++
		if r.Kind != KindServer {
			t.Errorf("Range yields %v", r)
		}
		return true
	})
	if count != 2 {
		t.Errorf("Range yields %d servers, want 2", count)
	}
	s.Range(KindServer, func(Record) bool { count++; return false })
	if count != 3 {
		t.Errorf("Range continued after yield returned false")
	}
}
