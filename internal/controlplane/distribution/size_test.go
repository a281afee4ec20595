package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
)

// TestBytesAtSize checks that with the number of records expected in two years a change of one
// server is a small message, and that a repair sends the sums of all buckets and only the buckets
// that differ.
func TestBytesAtSize(t *testing.T) {
	full := expectedState(expectedServers, expectedTenants)
	t.Logf("%d servers and %d tenants: the state file has %d bytes",
		expectedServers, expectedTenants, len(EncodeStateFile(testFleet, full)))
	t.Logf("%d servers: the state file has %d bytes",
		expectedServers, len(EncodeStateFile(testFleet, expectedState(expectedServers, 0))))
	changed := full.Clone()
	if bytes := len(deltaMessage(changed.advance(0, drainOne(17))).Bytes); bytes >= 400 {
		t.Errorf("the delta of one change has %d bytes, want less than 400", bytes)
	} else {
		t.Logf("the delta of one change has %d bytes", bytes)
	}
	for lacks, most := range map[int]int{1: 40_000, 10: 50_000, 100: 120_000, 1_000: 600_000} {
		t.Run(fmt.Sprintf("lacks=%d", lacks), func(t *testing.T) {
			newest := full.Clone()
			random := rand.New(rand.NewPCG(1, 1))
			for range lacks {
				newest.advance(0, drainOne(random.IntN(expectedServers)))
			}
			bytes := len(newest.Sums().Encode())
			missing := NewRepair(full, newest.Position(), newest.Sums()).Missing()
			for _, index := range missing {
				bytes += proto.Size(bucketMessage(newest, index))
			}
			if bytes > most {
				t.Errorf("a repair sends %d bytes, want at most %d", bytes, most)
			}
			t.Logf("a repair sends %d bytes in %d buckets", bytes, len(missing))
		})
	}
}
