package usageexporter

import (
	"encoding/json"
	"testing"

	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/testing/fixture"
)

// Files exported by an earlier build are verified against the state that its fleet committed.
func TestStoredExportsAreVerified(t *testing.T) {
	var view usageexport.View
	if err := json.Unmarshal(fixture.Read(t, "testdata/exports.state"), &view); err != nil {
		t.Fatal(err)
	}
	units, loose, err := Verify("testdata/stored", &view)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.MarshalIndent(map[string]any{"units": units, "loose": loose}, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	fixture.Equal(t, "testdata/verified.json", text)
}
