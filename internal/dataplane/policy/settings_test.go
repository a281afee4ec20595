package policy

import (
	"errors"
	"strings"
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"gateways":       func(s *Settings) { s.Gateways = 0 },
		"self":           func(s *Settings) { s.Self = 2 },
		"classes":        func(s *Settings) { s.Classes = nil },
		"plans":          func(s *Settings) { s.Plans = nil },
		"classes[1].aim": func(s *Settings) { s.Classes[1].LatencyObjective = 0 },
		"plans[0]":       func(s *Settings) { s.Plans[0].Burst = 0 },
	} {
		set := testSettings()
		spoil(&set)
		_, err := New(set, 1, &actionRecorder{})
		var invalid *SettingsError
		if !errors.As(err, &invalid) || invalid.Field != field ||
			!strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}
