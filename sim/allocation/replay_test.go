package allocation

import (
	"io"
	"testing"
)

// checkReplay plays one schedule that a search found, and fails if it breaks a rule.
func checkReplay(t *testing.T, seed uint64, members, budgets int) {
	t.Helper()
	if r := Replay(seed, members, budgets, io.Discard); r.Breach != nil {
		t.Errorf("lab budgetplay --seed %d --members %d --budgets %d: %+v", seed, members, budgets,
			*r.Breach)
	}
}

// Guards against units that had overflowed a full bucket before a reduction, and were nevertheless
// returned with it.
func TestOverflowBeforeReductionIsNotReturnedWithIt(t *testing.T) {
	checkReplay(t, 7015577, 2, 1)
}

// Guards against units of a grant that never arrived and were added to the next grant after the
// first had expired.
func TestUnitsOfAnExpiredGrantDoNotArriveLater(t *testing.T) {
	checkReplay(t, 4242013922, 2, 1)
}
