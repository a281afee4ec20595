package distributor

import (
	"testing"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/testing/fixture"
)

// The state that an earlier build's replica left on disk is read, with its digest, and is written
// the same.
func TestStoredStateIsRead(t *testing.T) {
	const path = "testdata/stored/state"
	state, err := stateFile{path: path, fleet: "rig"}.load()
	if err != nil || state == nil {
		t.Fatal(state, err)
	}
	fixture.Equal(t, path, distribution.EncodeStateFile("rig", state))
}
