package mustjson

import (
	"math"
	"testing"
)

func TestMarshal(t *testing.T) {
	if got := string(Marshal(map[string]int{"b": 2, "a": 1})); got != `{"a":1,"b":2}` {
		t.Errorf("keys are not in order: %s", got)
	}
}

func TestMarshalPanicsOnWhatJSONCannotRepresent(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("no panic")
		}
	}()
	Marshal(math.NaN())
}
