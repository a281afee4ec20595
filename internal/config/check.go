package config

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// problem is an invalid setting with the reason why it is invalid. The reason is empty if the
// setting is valid.
type problem struct{ key, reason string }

// check returns the first invalid setting, or nil if all are valid.
func (s *Settings) check() *problem {
	for _, p := range slices.Concat(s.gatewayRanges(), s.fleetRanges()) {
		if p.reason != "" {
			return &p
		}
	}
	if s.Fleet.Enabled && s.Fleet.SharedWatch && s.Registry.Source != "consul" {
		return &problem{"fleet.watch", "must be false unless register.source is consul"}
	}
	checks := []func() *problem{
		s.Fleet.check, s.checkBudgets, s.Registry.check, s.checkAuth, s.checkFiles,
	}
	for _, check := range checks {
		if p := check(); p != nil {
			return p
		}
	}
	return nil
}

// gatewayRanges checks the settings of a single gateway that have a range. It returns one problem
// for each; its reason is empty if the value is in range.
func (s *Settings) gatewayRanges() []problem {
	return []problem{
		{"state.every", durationIn(s.State.SaveInterval, 50*time.Millisecond, time.Minute)},
		{"state.oldest", durationIn(s.State.MaxAge, time.Second, time.Hour)},
		{
			"handover.ready_within",
			durationIn(s.HotRestart.ReadyTimeout, 100*time.Millisecond, 10*time.Minute),
		},
		{"auth.budget", durationIn(s.Auth.WaitTimeout, time.Millisecond, 10*time.Second)},
		{"auth.timeout", durationIn(s.Auth.CallTimeout, 10*time.Millisecond, time.Minute)},
		{"auth.allow_for", durationIn(s.Auth.AllowTTL, 0, 24*time.Hour)},
		{"auth.allow_most", durationIn(s.Auth.MaxAllowTTL, 0, 24*time.Hour)},
		{"auth.deny_for", durationIn(s.Auth.DenyTTL, 0, time.Hour)},
		{"auth.stale_for", durationIn(s.Auth.StaleTTL, 0, time.Hour)},
		{"auth.open_for", durationIn(s.Auth.OpenDuration, 10*time.Millisecond, time.Hour)},
		{
			"auth.open_most",
			durationIn(s.Auth.MaxOpenDuration, time.Duration(s.Auth.OpenDuration), 24*time.Hour),
		},
		{"auth.most_calls", countIn(s.Auth.MaxConcurrentCalls, 1, 1000)},
		{"auth.most_waiting", countIn(s.Auth.MaxWaiting, 1, 1000_000)},
		{"auth.most_kept", countIn(s.Auth.MaxCacheEntries, 1, 10_000_000)},
		{"register.wait", durationIn(s.Registry.WaitTime, 100*time.Millisecond, 10*time.Minute)},
		{"register.hold", durationIn(s.Registry.EmptyListGrace, 0, 24*time.Hour)},
		{"register.skew", durationIn(s.Registry.MaxClockSkew, 0, time.Minute)},
		{"register.reset_after", countIn(s.Registry.IndexResetAnswers, 1, 1000)},
		{"auth.fails", countIn(s.Auth.FailureThreshold, 1, 1000_000)},
	}
}

// fleetRanges checks the settings of the fleet that have a range. It returns one problem for each;
// its reason is empty if the value is in range.
func (s *Settings) fleetRanges() []problem {
	return []problem{
		{"fleet.span", durationIn(s.Fleet.LeaseTTL, 200*time.Millisecond, 10*time.Minute)},
		{"fleet.offer", durationIn(s.Fleet.TransferTimeout, 50*time.Millisecond, time.Minute)},
		{"fleet.tick", durationIn(s.Fleet.RaftTick, 5*time.Millisecond, 5*time.Second)},
		{"fleet.period", durationIn(s.Fleet.MeteringPeriod, 100*time.Millisecond, 24*time.Hour)},
		{"fleet.keep", countIn(s.Fleet.RetainedLogEntries, 16, 1000_000)},
		{"fleet.silent", durationIn(s.Fleet.SourceTimeout, 200*time.Millisecond, time.Minute)},
		{"fleet.change_log", countIn(s.Fleet.ChangeLogEntries, 1, 10_000_000)},
		{"fleet.shards", countIn(s.Fleet.ExportShards, 1, 256)},
		{"budgets.shards", countIn(s.Budgets.Shards, 1, 256)},
		{"budgets.span", durationIn(s.Budgets.TTL, time.Second, 10*time.Minute)},
		{
			"budgets.floor_span",
			durationIn(s.Budgets.ReservedMinimumTTL, time.Duration(s.Budgets.TTL), 24*time.Hour),
		},
		{"versions.span", durationIn(s.Versions.LeaseTTL, time.Second, 10*time.Minute)},
		{
			"versions.every",
			durationIn(s.Versions.PollInterval, 10*time.Millisecond,
				time.Duration(s.Versions.LeaseTTL)/4),
		},
		{"versions.settle", durationIn(s.Versions.StageDuration, 0, 24*time.Hour)},
		{"versions.patience", durationIn(s.Versions.StageTimeout, time.Second, 24*time.Hour)},
		{
			"budgets.every",
			durationIn(s.Budgets.RenewInterval, 10*time.Millisecond,
				time.Duration(s.Budgets.TTL)/4),
		},
	}
}

// durationIn returns a reason if d is not between low and high, and an empty string otherwise.
func durationIn(d Duration, low, high time.Duration) string {
	if time.Duration(d) < low || time.Duration(d) > high {
		return fmt.Sprintf("%v: must be between %v and %v", time.Duration(d), low, high)
	}
	return ""
}

// countIn returns a reason if n is not between low and high, and an empty string otherwise.
func countIn(n, low, high int) string {
	if n < low || n > high {
		return fmt.Sprintf("%d: must be between %d and %d", n, low, high)
	}
	return ""
}

// fractionIn returns a reason if x is not between 0 and 1 or is NaN, and an empty string otherwise.
func fractionIn(x float64) string {
	if !(x >= 0 && x <= 1) {
		return fmt.Sprintf("%v: must be between 0 and 1", x)
	}
	return ""
}

// checkBudgets checks the fractions of the budgets, and that budgets and versions are enabled only
// together with the fleet.
func (s *Settings) checkBudgets() *problem {
	b := &s.Budgets
	if reason := fractionIn(b.ReservedMinimumFraction); reason != "" {
		return &problem{"budgets.floor", reason}
	}
	if reason := fractionIn(b.OnDemandFraction); reason != "" {
		return &problem{"budgets.reserve", reason}
	}
	switch {
	case b.Enabled && !s.Fleet.Enabled:
		return &problem{"budgets.on", "must be false unless fleet.on is true"}
	case s.Versions.Enabled && !s.Fleet.Enabled:
		return &problem{"versions.on", "must be false unless fleet.on is true"}
	}
	return nil
}

// check checks the source of the list of servers.
func (r *Registry) check() *problem {
	switch {
	case !slices.Contains(Sources, r.Source):
		sources := strings.Join(Sources, ", ")
		return &problem{"register.source", fmt.Sprintf("%q: must be one of %s", r.Source, sources)}
	case !slices.Contains([]string{"default", "stale", "consistent"}, r.Consistency):
		reason := fmt.Sprintf("%q: must be one of default, stale, consistent", r.Consistency)
		return &problem{"register.mode", reason}
	case r.Source != "platform" && r.Service == "":
		return &problem{"register.service", "must be set if register.source includes consul"}
	case r.Source != "platform" && len(r.Agents) == 0:
		return &problem{"register.agents", "must not be empty if register.source includes consul"}
	}
	return nil
}

// checkAuth checks the settings of the authorization service.
func (s *Settings) checkAuth() *problem {
	switch {
	case s.Auth.URL != "" && len(s.Auth.Classes) == 0:
		reason := "must not be empty if auth.url is set: no request would be checked"
		return &problem{"auth.classes", reason}
	case (s.Auth.SecretFile == "") != (s.Auth.SecretHeader == ""):
		return &problem{"auth.secret_file", "must be set together with auth.secret_header"}
	}
	return nil
}

// checkFiles checks that the files of the state, the record and the hot restart differ. It also
// checks the other settings of state and hot restart that depend on one another.
func (s *Settings) checkFiles() *problem {
	stateName := filepath.Base(s.State.File)
	record := s.Record.RejectionsFile
	pidFile := s.HotRestart.PIDFile
	switch {
	case s.State.File != "" && stateName != strings.TrimSpace(stateName):
		return &problem{"state.file", "the file name must not begin or end with white space"}
	case record != "" && (record == s.State.File || record == pidFile):
		reason := "must not be the same file as state.file or handover.pid_file"
		return &problem{"record.refusals", reason}
	case s.State.MaxAge < s.State.SaveInterval:
		reason := "must be at least state.every: otherwise no stored state is used"
		return &problem{"state.oldest", reason}
	case pidFile != "" && !s.HotRestart.Enabled:
		return &problem{"handover.pid_file", "must be empty unless handover.on is true"}
	case pidFile != "" && pidFile == s.State.File:
		return &problem{"handover.pid_file", "must not be the same file as state.file"}
	}
	return nil
}

// maxVoters is the largest number of voters.
const maxVoters = 7

// check checks the settings of the fleet. Except for the clock drift bound, they are checked only
// if the fleet is enabled.
func (f *Fleet) check() *problem {
	if reason := fractionIn(f.ClockDriftBound); reason != "" {
		return &problem{"fleet.margin", reason}
	}
	if !f.Enabled {
		return nil
	}
	switch {
	case f.Name == "":
		return &problem{"fleet.name", "must be set if fleet.on is true"}
	case f.Dir == "":
		return &problem{"fleet.folder", "must be set if fleet.on is true"}
	case len(f.Voters) == 0:
		return &problem{"fleet.voters", "must not be empty if fleet.on is true"}
	case len(f.Voters)%2 == 0 || len(f.Voters) > maxVoters:
		reason := fmt.Sprintf("%d: must be 1, 3, 5 or 7 voters", len(f.Voters))
		return &problem{"fleet.voters", reason}
	}
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return &problem{"fleet.listen", fmt.Sprintf("%q: must be HOST:PORT", f.Listen)}
	}
	return f.checkVoters()
}

// checkVoters checks the name and the address of each voter.
func (f *Fleet) checkVoters() *problem {
	seen := map[string]bool{}
	for _, v := range f.Voters {
		_, _, err := net.SplitHostPort(v.Address)
		reason := ""
		switch {
		case v.Name == "" || strings.ContainsAny(v.Name, " \t\n"):
			reason = fmt.Sprintf("name %q: must not be empty or contain white space", v.Name)
		case seen[v.Name]:
			reason = fmt.Sprintf("%s: listed twice", v.Name)
		case err != nil:
			reason = fmt.Sprintf("%s: address %q: must be HOST:PORT", v.Name, v.Address)
		}
		if reason != "" {
			return &problem{"fleet.voters", reason}
		}
		seen[v.Name] = true
	}
	return nil
}
