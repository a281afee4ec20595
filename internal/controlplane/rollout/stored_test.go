package rollout

import (
	"testing"

	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/planconfig"
	"mothcleat/internal/testing/fixture"
)

// A content that an earlier build stored can be read by its digest, and its canonical form has the
// same bytes.
func TestStoredContentIsRead(t *testing.T) {
	contents := NewContents("testdata/stored")
	digests, err := contents.Newest(2)
	if err != nil || len(digests) != 1 {
		t.Fatal(digests, err)
	}
	raw, err := contents.Read(digests[0])
	if err != nil {
		t.Fatal(err)
	}
	version, canonical, err := configstate.Canonical(planconfig.New(nil), raw)
	if err != nil {
		t.Fatal(err)
	}
	fixture.Equal(t, "testdata/stored/"+digests[0], canonical)
	if version.Digest != digests[0] {
		t.Errorf("digest is %s, want %s", version.Digest, digests[0])
	}
}
