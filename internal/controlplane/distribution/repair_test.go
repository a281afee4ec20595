package distribution

import (
	"errors"
	"maps"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/mustproto"
)

// bucketMessage returns a bucket as a server sends it.
func bucketMessage(s *State, index uint32) *distributionpb.Bucket {
	return &distributionpb.Bucket{Index: index, Records: appendRecords(nil, s.Bucket(index))}
}

// TestRepairFetchesOnlyWhatDiffers checks that a repair leads from any state to a later one or to
// one of another lineage by fetching only the buckets that differ.
func TestRepairFetchesOnlyWhatDiffers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewState()
		source.advance(testEpoch, drawChanges(t))
		behind := source.Clone()
		changed := map[uint32]bool{}
		for range rapid.IntRange(0, 4).Draw(t, "steps") {
			if d := source.advance(0, drawChanges(t)); d != nil {
				for _, c := range d.Changes {
					changed[bucketIndex(c.Kind, c.ID)] = true
				}
			}
		}
		if rapid.Bool().Draw(t, "other lineage") {
			behind.epoch, behind.revision = testEpoch-1, 1000
		}
		before := recordsByKey(behind)
		repair := NewRepair(behind, source.Position(), source.Sums())
		for _, index := range repair.Missing() {
			if !changed[index] {
				t.Fatalf("bucket %d is missing but has not changed", index)
			}
			if err := repair.Put(bucketMessage(source, index)); err != nil {
				t.Fatal(err)
			}
		}
		got, err := repair.Finish()
		if err != nil {
			t.Fatal(err)
		}
		if got.Position() != source.Position() ||
			!maps.Equal(recordsByKey(got), recordsByKey(source)) || got.Bytes() != source.Bytes() {
			t.Fatalf("the repaired state is at %v, want %v", got.Position(), source.Position())
		}
		if !maps.Equal(recordsByKey(behind), before) {
			t.Fatal("the repair modified its base")
		}
	})
}

// TestRepairRejectsInvalidBuckets checks the error types for invalid buckets, and that Finish
// rejects an incomplete repair and a wrong digest.
func TestRepairRejectsInvalidBuckets(t *testing.T) {
	source := NewState()
	source.advance(testEpoch, []Change{ready("a", 1), ready("b", 1)})
	index, otherIndex := bucketIndex(KindServer, "a"), bucketIndex(KindServer, "b")
	if index == otherIndex {
		t.Fatal("the keys must be of two buckets")
	}
	repair := NewRepair(NewState(), source.Position(), source.Sums())
	if _, err := repair.Finish(); err == nil {
		t.Error("Finish accepts a repair with missing buckets")
	}
	var wrongSum *DigestMismatchError
	var record *InvalidRecordError
	var message *InvalidMessageError
	a := bucketMessage(source, index)
	for _, test := range []struct {
		name   string
		bucket *distributionpb.Bucket
		want   any
	}{
		{"a bucket without its record", &distributionpb.Bucket{Index: index}, &wrongSum},
		{
			"a bucket that was not requested",
			&distributionpb.Bucket{Index: (index + 1) % BucketCount},
			&message,
		},
		{"an index out of range", &distributionpb.Bucket{Index: BucketCount}, &message},
		{
			"a record of another bucket",
			&distributionpb.Bucket{
				Index:   index,
				Records: bucketMessage(source, otherIndex).Records,
			},
			&message,
		},
		{
			"a record twice",
			&distributionpb.Bucket{Index: index, Records: append(a.Records, a.Records...)},
			&message,
		},
		{
			"an unreadable record",
			&distributionpb.Bucket{
				Index:   index,
				Records: []*distributionpb.Record{{Kind: KindServer, Id: "a", Value: []byte{0xff}}},
			},
			&record,
		},
	} {
		if err := repair.Put(test.bucket); !errors.As(err, test.want) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	for _, b := range []uint32{index, otherIndex} {
		if err := repair.Put(bucketMessage(source, b)); err != nil {
			t.Error(err)
		}
	}
	if got, err := repair.Finish(); err != nil || got.Position() != source.Position() {
		t.Error(err)
	}
	target := source.Position()
	target.Revision++
	if _, err := NewRepair(source, target, source.Sums()).Finish(); !errors.As(err, &wrongSum) {
		t.Errorf("matching buckets and a wrong digest: %v", err)
	}
}

// TestSumsRoundTrip checks that encoded sums can be decoded and that invalid lengths are rejected.
func TestSumsRoundTrip(t *testing.T) {
	s := NewState()
	s.advance(testEpoch, []Change{ready("a", 1)})
	sums, err := DecodeSums(s.Sums().Encode())
	if err != nil || len(sums) != BucketCount {
		t.Fatal(err)
	}
	for _, length := range []int{0, 1, DigestBytes + 1, (BucketCount + 1) * DigestBytes} {
		if _, err := DecodeSums(make([]byte, length)); err == nil {
			t.Errorf("%d bytes were accepted", length)
		}
	}
}

// TestStateFile checks that an encoded state file can be decoded, that the file of another fleet is
// rejected, and that a damaged file is rejected or has the same state.
func TestStateFile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		for range rapid.IntRange(0, 4).Draw(t, "steps") {
			s.advance(testEpoch, drawChanges(t))
		}
		raw := EncodeStateFile("blue", s)
		got, err := DecodeStateFile("blue", raw)
		if err != nil || got.Position() != s.Position() ||
			!maps.Equal(recordsByKey(got), recordsByKey(s)) {
			t.Fatalf("decoded %v: %v", got, err)
		}
		var fleet *WrongFleetError
		if _, err := DecodeStateFile("green", raw); !errors.As(err, &fleet) {
			t.Fatal(err)
		}
		at := rapid.IntRange(0, len(raw)-1).Draw(t, "at")
		raw[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		if got, err = DecodeStateFile("blue", raw); err != nil {
			requirePackageError(t, err)
		} else if got.Position() != s.Position() ||
			!maps.Equal(recordsByKey(got), recordsByKey(s)) {
			t.Fatal("a damaged file was decoded to another state")
		}
	})
}

// TestStateFileOfAnotherFormat checks that a file of another format is rejected.
func TestStateFileOfAnotherFormat(t *testing.T) {
	raw := mustproto.Marshal(&distributionpb.StateFile{Format: stateFileFormat + 1, Fleet: "blue"})
	if _, err := DecodeStateFile("blue", raw); err == nil {
		t.Error("a file of another format was accepted")
	}
}

// FuzzDecode checks that any bytes from a disk or a stream are rejected with an error of this
// package, or are decoded to a valid delta or state.
func FuzzDecode(f *testing.F) {
	s := NewState()
	first := s.advance(testEpoch,
		[]Change{ready("a", 1), {Record: Record{KindPlan, "p", []byte("x")}}})
	f.Add(first.Encode())
	f.Add(s.advance(0, []Change{draining("a"), deleted("b")}).Encode())
	f.Add(EncodeStateFile("blue", s))
	f.Add(mustproto.Marshal(bucketMessage(s, bucketIndex(KindServer, "a"))))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if d, err := DecodeDelta(raw); err != nil {
			requirePackageError(t, err)
		} else if again, err := DecodeDelta(d.Encode()); err != nil ||
			again.Position() != d.Position() {
			t.Errorf("the delta does not round trip: %v", err)
		}
		if got, err := DecodeStateFile("blue", raw); err != nil {
			requirePackageError(t, err)
		} else if again, err := DecodeStateFile("blue",
			EncodeStateFile("blue", got)); err != nil || again.Position() != got.Position() {
			t.Errorf("the state file does not round trip: %v", err)
		}
		var b distributionpb.Bucket
		if proto.Unmarshal(raw, &b) == nil {
			if _, err := bucketFromProto(&b); err != nil {
				requirePackageError(t, err)
			}
		}
		if _, err := DecodeSums(raw); err != nil {
			requirePackageError(t, err)
		}
		m, _, _ := newTestMachine()
		m.Apply(0, 0, testLeader, raw)
		if err := m.Restore(raw); err != nil {
			requirePackageError(t, err)
		}
	})
}
