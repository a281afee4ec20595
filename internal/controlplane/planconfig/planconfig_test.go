package planconfig

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/mustproto"
	"mothcleat/internal/plans"
)

// unknownKind is a kind of record that no program knows.
const unknownKind = 77

// appliedCatalogs are the arguments of one call of UseCatalogs.
type appliedCatalogs struct {
	target      *plans.Catalog
	overlapping []*plans.Catalog
	order       uint64
}

// fakeTerms records the catalogs that it is given to apply.
type fakeTerms struct {
	checkErr error
	applied  []appliedCatalogs
}

func (f *fakeTerms) CheckCatalog(*plans.Catalog) error { return f.checkErr }

func (f *fakeTerms) UseCatalogs(
	target *plans.Catalog, overlapping []*plans.Catalog, order uint64, done func(),
) {
	f.applied = append(f.applied, appliedCatalogs{target, overlapping, order})
	done()
}

// randomFile draws a file of plans with up to a number of tenants.
func randomFile(r *rand.Rand, tenants int) []byte {
	var text strings.Builder
	count := 1 + r.IntN(4)
	for i := range count {
		fmt.Fprintf(&text, "[[plan]]\nname = \"plan-%d\"\nrate = %d\nburst = %d\n", i,
			1+r.IntN(3), 1+r.IntN(3))
	}
	for i := range tenants {
		if r.IntN(10) > 0 {
			fmt.Fprintf(&text, "[[customer]]\nid = \"%016x\"\nplan = \"plan-%d\"\n", i*7919,
				r.IntN(count))
		}
	}
	return []byte(text.String())
}

func canonical(t *testing.T, item *Item, raw []byte) (*configstate.Version, []byte) {
	t.Helper()
	v, text, err := configstate.Canonical(item, raw)
	if err != nil {
		t.Fatal(err)
	}
	return v, text
}

// TestAnyContentFromAnyOther checks that a replica can build any content from any other one, by a
// delta and by buckets, with exactly the committed bytes.
func TestAnyContentFromAnyOther(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 5))
	for range 60 {
		server, replica := New(&fakeTerms{}), New(&fakeTerms{})
		oldRaw, newRaw := randomFile(r, 200), randomFile(r, 200)
		target, want := canonical(t, server, newRaw)
		base, err := configstate.Read(replica, oldRaw)
		if err != nil {
			t.Fatal(err)
		}
		serverBase, err := configstate.Read(server, oldRaw)
		if err != nil {
			t.Fatal(err)
		}
		delta := &controlpb.ContentDelta{Base: base.Digest, Digest: target.Digest,
			Changes: distribution.ChangesProto(serverBase.State.Difference(target.State))}
		got, raw, err := configstate.ApplyDelta(replica, base, target.Digest, delta)
		if err != nil || got.Digest != target.Digest || !bytes.Equal(raw, want) {
			t.Fatalf("by delta: error %v, or a different content", err)
		}
		got, raw = repaired(t, replica, base, target)
		if got.Digest != target.Digest || !bytes.Equal(raw, want) {
			t.Fatal("by buckets: a different content")
		}
	}
}

// repaired builds the target from a base by fetching the buckets that differ.
func repaired(
	t *testing.T, replica *Item, base, target *configstate.Version,
) (*configstate.Version, []byte) {
	t.Helper()
	none := func(string) *configstate.Version { return nil }
	answer := configstate.DeltaResponse(target, []string{base.Digest}, none)
	repair, err := configstate.NewRepair(base, target.Digest, answer.Sums)
	if err != nil {
		t.Fatal(err)
	}
	for {
		indexes, ok := repair.Next()
		if !ok {
			t.Fatal("the repair gave up: too much differs")
		}
		if len(indexes) == 0 {
			break
		}
		if err := repair.Put(configstate.BucketsResponse(target, indexes)); err != nil {
			t.Fatal(err)
		}
	}
	v, raw, err := repair.Finish(replica)
	if err != nil {
		t.Fatal(err)
	}
	return v, raw
}

// TestOneTenantMakesASmallDelta checks that the change of one tenant's plan makes a delta of one or
// two hundred bytes regardless of the number of tenants, and that by buckets only one bucket of a
// few kilobytes is fetched in addition to the sums.
func TestOneTenantMakesASmallDelta(t *testing.T) {
	server := New(&fakeTerms{})
	var text strings.Builder
	text.WriteString(
		"[[plan]]\nname = \"small\"\nrate = 1\nburst = 1\n[[plan]]\nname = \"large\"\nrate = 2\nburst = 2\n",
	)
	for i := range 20_000 {
		fmt.Fprintf(&text, "[[customer]]\nid = \"%016x\"\nplan = \"small\"\n", i)
	}
	oldVersion, old := canonical(t, server, []byte(text.String()))
	changed := strings.Replace(string(old), "id = \"0000000000000007\"\nplan = \"small\"",
		"id = \"0000000000000007\"\nplan = \"large\"", 1)
	newVersion, _ := canonical(t, server, []byte(changed))
	find := func(digest string) *configstate.Version {
		if digest == oldVersion.Digest {
			return oldVersion
		}
		return nil
	}
	answer := configstate.DeltaResponse(newVersion, []string{"unknown", oldVersion.Digest}, find)
	if answer.Delta == nil || len(answer.Delta.Changes) != 1 {
		t.Fatalf("the response is %v", answer)
	}
	t.Logf("%d bytes of delta for a content of %d", len(mustproto.Marshal(answer)), newVersion.Size)
	if size := len(mustproto.Marshal(answer)); size > 256 {
		t.Errorf("the response has %d bytes", size)
	}
	repair, err := configstate.NewRepair(oldVersion, newVersion.Digest,
		configstate.DeltaResponse(newVersion, []string{"unknown"}, find).Sums)
	if err != nil {
		t.Fatal(err)
	}
	if indexes, ok := repair.Next(); !ok || len(indexes) != 1 {
		t.Errorf("buckets to fetch: %v", indexes)
	}
}

// TestOtherContentIsRejected checks that a delta that does not lead to the committed content is
// rejected. Each case stands for a fault of a server, a link or a program.
func TestOtherContentIsRejected(t *testing.T) {
	r := rand.New(rand.NewPCG(11, 2))
	item := New(&fakeTerms{})
	base, _ := canonical(t, item, randomFile(r, 300))
	other, _ := canonical(t, item, randomFile(r, 300))
	target, _ := canonical(t, item, randomFile(r, 300))
	good := func() *controlpb.ContentDelta {
		return &controlpb.ContentDelta{Base: base.Digest, Digest: target.Digest,
			Changes: distribution.ChangesProto(base.State.Difference(target.State))}
	}
	var wrongBase *configstate.WrongBaseError
	var mismatch *configstate.DigestMismatchError
	var invalid *distribution.InvalidRecordError
	for name, c := range map[string]struct {
		base    *configstate.Version
		corrupt func(*controlpb.ContentDelta)
		target  any
	}{
		"for another base": {other, func(*controlpb.ContentDelta) {}, &wrongBase},
		"of another base, renamed": {
			other, func(d *controlpb.ContentDelta) { d.Base = other.Digest }, &mismatch,
		},
		"for another content": {
			base, func(d *controlpb.ContentDelta) { d.Digest = other.Digest }, &wrongBase,
		},
		"a lost change": {
			base, func(d *controlpb.ContentDelta) { d.Changes = d.Changes[1:] }, &mismatch,
		},
		"an inverted deletion": {
			base,
			func(d *controlpb.ContentDelta) { d.Changes[0].Deleted = !d.Changes[0].Deleted },
			nil,
		},
		"a record without a kind": {
			base, func(d *controlpb.ContentDelta) { d.Changes[0].Kind = 0 }, &invalid,
		},
		"a record of an unknown kind": {
			base,
			func(d *controlpb.ContentDelta) { d.Changes[len(d.Changes)-1].Kind = unknownKind },
			&invalid,
		},
		"a tenant id that is not hexadecimal": {
			base, func(d *controlpb.ContentDelta) { d.Changes[0].Id = "tenant" }, nil,
		},
		"a value that can't be decoded": {
			base,
			func(d *controlpb.ContentDelta) { d.Changes[len(d.Changes)-1].Value = []byte{255} },
			&invalid,
		},
	} {
		d := good()
		c.corrupt(d)
		v, _, err := configstate.ApplyDelta(item, c.base, target.Digest, d)
		if err == nil || v != nil {
			t.Errorf("%s: accepted", name)
		}
		if c.target != nil && !errors.As(err, c.target) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if v, _, err := configstate.ApplyDelta(item, base, target.Digest,
		good()); err != nil || v.Digest != target.Digest {
		t.Errorf("the correct delta: %v", err)
	}
}

// TestWrongBucketsAreRejected checks that buckets of another content are rejected, whether or not
// the sums are of the committed content.
func TestWrongBucketsAreRejected(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	item := New(&fakeTerms{})
	base, _ := canonical(t, item, randomFile(r, 300))
	target, _ := canonical(t, item, randomFile(r, 300))
	other, _ := canonical(t, item, randomFile(r, 300))
	none := func(string) *configstate.Version { return nil }
	sums := configstate.DeltaResponse(target, []string{base.Digest}, none).Sums
	var wrong *configstate.WrongBaseError
	if _, err := configstate.NewRepair(base, other.Digest, sums); !errors.As(err, &wrong) {
		t.Errorf("sums of another content: %v", err)
	}
	short := &controlpb.ContentSums{Digest: sums.Digest, State: sums.State, Sums: sums.Sums[:160]}
	if _, err := configstate.NewRepair(base, target.Digest, short); err == nil {
		t.Error("the sums of only ten buckets were accepted")
	}
	repair, err := configstate.NewRepair(base, target.Digest, sums)
	if err != nil {
		t.Fatal(err)
	}
	indexes, _ := repair.Next()
	if err := repair.Put(configstate.BucketsResponse(other, indexes)); err == nil {
		t.Error("buckets of another content were accepted")
	}
	if err := repair.Put(&controlpb.ContentBucketsResponse{}); err == nil {
		t.Error("a response without buckets was accepted")
	}
	if _, _, err := repair.Finish(item); err == nil {
		t.Error("the repair finished although buckets are missing")
	}
	// The sums and buckets match each other, but are those of another content under the wanted
	// digest.
	mismatched := configstate.DeltaResponse(other, []string{base.Digest}, none).Sums
	mismatched.Digest = target.Digest
	if repair, err = configstate.NewRepair(base, target.Digest, mismatched); err != nil {
		t.Fatal(err)
	}
	for {
		indexes, _ := repair.Next()
		if len(indexes) == 0 {
			break
		}
		if err := repair.Put(configstate.BucketsResponse(other, indexes)); err != nil {
			t.Fatal(err)
		}
	}
	var mismatch *configstate.DigestMismatchError
	if _, _, err := repair.Finish(item); !errors.As(err, &mismatch) {
		t.Errorf("another content under the wanted digest: %v", err)
	}
}

// TestHandWrittenContent checks that a hand-written content can be a base, but is never served as a
// difference, because its bytes can't be rebuilt from records.
func TestHandWrittenContent(t *testing.T) {
	item := New(&fakeTerms{})
	written := []byte("# by hand\n[[plan]]\nrate = 1.0\nburst = 2\nname = 'one'\n")
	v, err := configstate.Read(item, written)
	if err != nil || v.Canonical {
		t.Fatalf("Read returns %+v, %v", v, err)
	}
	next, _ := canonical(t, item, []byte("[[plan]]\nname = 'one'\nrate = 2\nburst = 2\n"))
	find := func(string) *configstate.Version { return next }
	if a := configstate.DeltaResponse(v, []string{next.Digest},
		find); a.Delta != nil || a.Sums != nil {
		t.Errorf("the response is %v", a)
	}
	d := &controlpb.ContentDelta{
		Base:    v.Digest,
		Digest:  next.Digest,
		Changes: distribution.ChangesProto(v.State.Difference(next.State)),
	}
	if _, _, err := configstate.ApplyDelta(item, v, next.Digest, d); err != nil {
		t.Error(err)
	}
	if _, err := configstate.Read(item,
		[]byte("[[plan]]\nname = 1\n")); err == nil || !strings.Contains(err.Error(), "line 2") {
		t.Errorf("an invalid file of plans: %v", err)
	}
}

// TestUse checks that the catalog of the version is applied, regardless of the catalog that it was
// derived from, and that nil stands for the process's own configuration.
func TestUse(t *testing.T) {
	r := rand.New(rand.NewPCG(8, 1))
	terms := &fakeTerms{}
	item := New(terms)
	var all []*configstate.Version
	for range 8 {
		v, _ := canonical(t, item, randomFile(r, 50))
		all = append(all, v)
	}
	done := 0
	item.Use(all[7], []*configstate.Version{all[0], nil}, 9, func() { done++ })
	item.Use(nil, nil, 11, func() { done++ })
	if done != 2 || len(terms.applied) != 2 || terms.applied[0].order != 9 ||
		len(terms.applied[0].overlapping) != 2 {
		t.Fatalf("done was called %d times, applied are %+v", done, terms.applied)
	}
	for got, want := range map[*plans.Catalog]*configstate.Version{
		terms.applied[0].target:         all[7],
		terms.applied[0].overlapping[0]: all[0],
	} {
		if configstate.Digest(plans.Render(got)) != want.Digest {
			t.Error("the applied catalog is not that of the version")
		}
	}
	if len(terms.applied[0].overlapping[1].PlanNames()) != 0 ||
		len(terms.applied[1].target.PlanNames()) != 0 {
		t.Error("the process's own configuration is not empty")
	}
	terms.checkErr = errors.New("not here")
	if err := item.Check(all[3]); !errors.Is(err, terms.checkErr) {
		t.Error(err)
	}
}
