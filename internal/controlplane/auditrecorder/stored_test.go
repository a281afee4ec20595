package auditrecorder

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/testing/fixture"
)

// The audit log of a killed process of an earlier build can be read unchanged. Its counts that were
// not written yet become its last entry.
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
	if _, violations := auditlog.Verify(entries, nil); len(violations) > 0 {
		t.Errorf("violations %v", violations)
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
