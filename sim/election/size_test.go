package election

import (
	"testing"
	"time"
)

// Up to seven voters and 300 clients with faults, in virtual time. A search plays many smaller
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
