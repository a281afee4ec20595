package allocator

import (
	"encoding/json"
	"testing"

	"mothcleat/internal/testing/fixture"
)

// OpenIncarnationFile reads the incarnations that an earlier build stored, and adds its own.
func TestStoredIncarnationsAreRead(t *testing.T) {
	dir := fixture.Copy(t, "testdata/stored")
	file, err := OpenIncarnationFile(dir, 12345)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	ended, err := json.Marshal(file.Ended)
	if err != nil {
		t.Fatal(err)
	}
	fixture.Equal(t, "testdata/gone.json", ended)
	fixture.Equal(t, "testdata/boots-after.json", fixture.Read(t, dir+"/boots.json"))
}
