package auditrecorder

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/testing/fixture"
)

// An audit log that an earlier build's killed process left is read as it was written, and its
// counts that were not written yet become its last entry.
func TestStoredAuditLogIsRead(t *testing.T) {
	dir := fixture.Copy(t, "testdata/stored")
	entries, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	equalEntries(t, "testdata/entries.json", entries)

	recorder, err := Open(dir, "n2", 12345, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	defer recorder.Close()
	if entries, err = recorder.Entries(0); err != nil {
		t.Fatal(err)
	}
	equalEntries(t, "testdata/entries-recovered.json", entries)
	if _, damage := auditlog.Verify(entries, nil); len(damage) > 0 {
		t.Errorf("damage %v", damage)
	}
}

func equalEntries(t *testing.T, path string, entries []auditlog.Entry) {
	t.Helper()
	text, err := json.MarshalIndent(entries, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	fixture.Equal(t, path, text)
}
