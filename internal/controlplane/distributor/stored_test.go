package distributor

import (
	"testing"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/testing/fixture"
)

// A state file of an earlier build is read and its digest verified, and it is written with the same
// bytes.
func TestStoredStateIsRead(t *testing.T) {
	const path = "testdata/stored/state"
	state, err := stateFile{path: path, fleet: "rig"}.load()
	if err != nil || state == nil {
		t.Fatal(state, err)
	}
	fixture.Equal(t, path, distribution.EncodeStateFile("rig", state))
}
