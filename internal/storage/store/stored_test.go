package store

import (
	"fmt"
	"strings"
	"testing"

	"mothcleat/internal/testing/fixture"
)

// TestStoredFormatIsRead opens a store with several segments and a run that an earlier build wrote,
// and checks that all keys and values are still read.
func TestStoredFormatIsRead(t *testing.T) {
	dir := fixture.Copy(t, "testdata/stored")
	if _, err := Check(dir, Options{}); err != nil {
		t.Fatal(err)
	}
	s, err := Open(dir, Options{Verify: true})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	view, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	defer view.Close()
	var text strings.Builder
	for item, err := range view.Range(nil, nil) {
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%q = %q\n", item.Key, item.Value)
	}
	fixture.Equal(t, "testdata/stored.txt", []byte(text.String()))
}
