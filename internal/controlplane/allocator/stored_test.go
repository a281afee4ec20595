package allocator

import (
	"encoding/json"
	"testing"

	"mothcleat/internal/testing/fixture"
)

// The incarnations that ended are read as an earlier build wrote them, and this one is added.
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
