package snapshot

import (
	"testing"

	"mothcleat/internal/testing/fixture"
)

// A snapshot that an earlier build stored, or encoded as text, is read with the same values.
func TestStoredStateIsRead(t *testing.T) {
	const path = "testdata/stored/state.txt"
	file, err := Open(fixture.Copy(t, "testdata/stored/state"))
	if err != nil {
		t.Fatal(err)
	}
	fromStore, err := file.Load()
	if err != nil {
		t.Fatal(err)
	}
	fromText, err := Decode(fixture.Read(t, path))
	if err != nil {
		t.Fatal(err)
	}
	if len(fromText.Customers) != 8 || len(fromText.Backends) != 4 || !fromText.Last {
		t.Errorf(
			"%d customers, %d backends, last %t",
			len(fromText.Customers),
			len(fromText.Backends),
			fromText.Last,
		)
	}
	for _, state := range []struct {
		from string
		raw  func() ([]byte, error)
	}{
		{"store", func() ([]byte, error) { return Encode(fromStore) }},
		{"text", func() ([]byte, error) { return Encode(fromText) }},
	} {
		raw, err := state.raw()
		if err != nil {
			t.Fatal(state.from, err)
		}
		fixture.Equal(t, path, raw)
	}
}
