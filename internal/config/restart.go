package config

import "reflect"

// RestartRequired returns the names of the settings, or of whole tables, that differ between s and
// other and that only a new process can apply.
func (s *Settings) RestartRequired(other *Settings) (names []string) {
	for _, c := range []struct {
		name    string
		changed bool
	}{
		{"state.file", s.State.File != other.State.File},
		{"state.oldest", false}, // used only at the start of a process
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

// equalExceptAgents reports whether r and other are equal apart from their agents. The agents can
// be changed without a restart.
func (r Registry) equalExceptAgents(other *Registry) bool {
	r.Agents = other.Agents
	return reflect.DeepEqual(&r, other)
}
