package election

import (
	"testing"
	"time"
)

// Seven voters and 300 clients amid faults, in virtual time; a search plays smaller ones, many more.
func TestThreeHundredClients(t *testing.T) {
	for _, voters := range []int{3, 7} {
		r := Play(Options{Seed: uint64(voters), Voters: voters, Members: 300, For: 5 * time.Second})
		if r.Breach != nil {
			t.Errorf("%d voters: %+v", voters, r.Breach)
		}
		if r.Leaders == 0 || r.Effects == 0 {
			t.Errorf("%d voters: %+v: nothing was shown", voters, r)
		}
	}
}
