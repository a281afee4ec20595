package election

import (
	"testing"
	"time"
)

// Three and seven voters with 300 members break no rule under faults. A search plays many smaller
// fleets.
func TestThreeHundredClients(t *testing.T) {
	for _, voters := range []int{3, 7} {
		r := Play(Options{
			Seed: uint64(voters), Voters: voters, Members: 300, Duration: 5 * time.Second,
		})
		if r.Breach != nil {
			t.Errorf("%d voters: %+v", voters, r.Breach)
		}
		if r.Leaders == 0 || r.Effects == 0 {
			t.Errorf("%d voters: %+v: no effects", voters, r)
		}
	}
}
