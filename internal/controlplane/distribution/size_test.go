package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
)

// At the size of two years from now one server's change is a small message, and a repair costs the
// sums of all buckets and those that differ.
func TestBytesAtSize(t *testing.T) {
	full := sizeState(sizeServers, sizeTenants)
	t.Logf("%d servers and %d tenants: a file of %d bytes",
		sizeServers, sizeTenants, len(EncodeStateFile(testFleet, full)))
	t.Logf("%d servers: a file of %d bytes",
		sizeServers, len(EncodeStateFile(testFleet, sizeState(sizeServers, 0))))
	changed := full.Clone()
	if bytes := len(deltaMessage(changed.advance(0, drainOne(17))).Bytes); bytes >= 400 {
		t.Errorf("one change is %d bytes", bytes)
	} else {
		t.Logf("one change is %d bytes", bytes)
	}
	for lacks, most := range map[int]int{1: 40_000, 10: 50_000, 100: 120_000, 1_000: 600_000} {
		t.Run(fmt.Sprintf("lacks=%d", lacks), func(t *testing.T) {
			newest := full.Clone()
			random := rand.New(rand.NewPCG(1, 1))
			for range lacks {
				newest.advance(0, drainOne(random.IntN(sizeServers)))
			}
			bytes := len(newest.Sums().Encode())
			missing := NewRepair(full, newest.Position(), newest.Sums()).Missing()
			for _, index := range missing {
				bytes += proto.Size(bucketMessage(newest, index))
			}
			if bytes > most {
				t.Errorf("a repair is %d bytes, at most %d wanted", bytes, most)
			}
			t.Logf("a repair is %d bytes, %d buckets", bytes, len(missing))
		})
	}
}
