package config

import "reflect"

// RestartRequired returns the names of the settings that differ from other's and that only a new
// process can apply.
func (s *Settings) RestartRequired(other *Settings) (names []string) {
	for _, c := range []struct {
		name    string
		changed bool
	}{
		{"state.file", s.State.File != other.State.File},
		{"state.oldest", false}, // only a start uses it
		{"handover", s.HotRestart != other.HotRestart},
		{"register", !s.Registry.equalExceptAgents(&other.Registry)},
		{"record", s.Record != other.Record},
		{"fleet", !reflect.DeepEqual(&s.Fleet, &other.Fleet)},
		{"budgets", s.Budgets != other.Budgets},
		{"versions", s.Versions != other.Versions},
	} {
		if c.changed {
			names = append(names, c.name)
		}
	}
	return names
}

// equalExceptAgents reports whether at most the agents differ, which can be changed at any time.
func (r Registry) equalExceptAgents(other *Registry) bool {
	r.Agents = other.Agents
	return reflect.DeepEqual(&r, other)
}
