package config

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// problem is a setting that can't be used, and why.
type problem struct{ key, reason string }

// check returns the first setting that can't be used, nil if all can.
func (s *Settings) check() *problem {
	for _, p := range slices.Concat(s.gatewayRanges(), s.fleetRanges()) {
		if p.reason != "" {
			return &p
		}
	}
	if s.Fleet.Enabled && s.Fleet.SharedWatch && s.Registry.Source != "consul" {
		return &problem{"fleet.watch", "set though register.source is not consul"}
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

// gatewayRanges returns the bounded settings of a gateway by itself, without a reason if they are
// within their bounds.
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

// fleetRanges returns the bounded settings of the fleet, without a reason if they are within their
// bounds.
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

// durationIn returns why a duration is out of range, nothing if it is not.
func durationIn(d Duration, low, high time.Duration) string {
	if time.Duration(d) < low || time.Duration(d) > high {
		return fmt.Sprintf("%v: from %v to %v wanted", time.Duration(d), low, high)
	}
	return ""
}

// countIn returns why a number is out of range, nothing if it is not.
func countIn(n, low, high int) string {
	if n < low || n > high {
		return fmt.Sprintf("%d: from %d to %d wanted", n, low, high)
	}
	return ""
}

// fractionIn returns why a number is not from 0 to 1, nothing if it is.
func fractionIn(x float64) string {
	if !(x >= 0 && x <= 1) {
		return fmt.Sprintf("%v: from 0 to 1 wanted", x)
	}
	return ""
}

// checkBudgets checks the budgets, and what depends on the fleet.
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
		return &problem{"budgets.on", "set though fleet.on is false"}
	case s.Versions.Enabled && !s.Fleet.Enabled:
		return &problem{"versions.on", "set though fleet.on is false"}
	}
	return nil
}

// check checks the source of the list of servers.
func (r *Registry) check() *problem {
	switch {
	case !slices.Contains(Sources, r.Source):
		wanted := strings.Join(Sources, ", ")
		return &problem{"register.source", fmt.Sprintf("%q: one of %s wanted", r.Source, wanted)}
	case !slices.Contains([]string{"default", "stale", "consistent"}, r.Consistency):
		reason := fmt.Sprintf("%q: default, stale or consistent wanted", r.Consistency)
		return &problem{"register.mode", reason}
	case r.Source != "platform" && r.Service == "":
		return &problem{"register.service", "missing, though register.source names Consul"}
	case r.Source != "platform" && len(r.Agents) == 0:
		return &problem{"register.agents", "none, though register.source names Consul"}
	}
	return nil
}

// checkAuth checks the settings of the authorization service.
func (s *Settings) checkAuth() *problem {
	switch {
	case s.Auth.URL != "" && len(s.Auth.Classes) == 0:
		reason := "none, though auth.url is set: nothing would ever be asked"
		return &problem{"auth.classes", reason}
	case (s.Auth.SecretFile == "") != (s.Auth.SecretHeader == ""):
		return &problem{"auth.secret_file", "goes with auth.secret_header: both or neither"}
	}
	return nil
}

// checkFiles checks the files of state, record and hot restart against one another.
func (s *Settings) checkFiles() *problem {
	stateName := filepath.Base(s.State.File)
	record := s.Record.RejectionsFile
	pidFile := s.HotRestart.PIDFile
	switch {
	case s.State.File != "" && stateName != strings.TrimSpace(stateName):
		return &problem{"state.file", "a name that ends in a space"}
	case record != "" && (record == s.State.File || record == pidFile):
		return &problem{"record.refusals", "the same file as another setting's"}
	case s.State.MaxAge < s.State.SaveInterval:
		reason := "less than state.every: no state would ever be used"
		return &problem{"state.oldest", reason}
	case pidFile != "" && !s.HotRestart.Enabled:
		return &problem{"handover.pid_file", "set though handover.on is false"}
	case pidFile != "" && pidFile == s.State.File:
		return &problem{"handover.pid_file", "the same file as state.file"}
	}
	return nil
}

// maxVoters is the largest number of voters.
const maxVoters = 7

// check checks the settings of a fleet. Most count only if it is enabled.
func (f *Fleet) check() *problem {
	if reason := fractionIn(f.ClockDriftBound); reason != "" {
		return &problem{"fleet.margin", reason}
	}
	if !f.Enabled {
		return nil
	}
	switch {
	case f.Name == "":
		return &problem{"fleet.name", "missing, though fleet.on is true"}
	case f.Dir == "":
		return &problem{"fleet.folder", "missing, though fleet.on is true"}
	case len(f.Voters) == 0:
		return &problem{"fleet.voters", "none, though fleet.on is true"}
	case len(f.Voters)%2 == 0 || len(f.Voters) > maxVoters:
		reason := fmt.Sprintf("%d: 1, 3, 5 or 7 wanted", len(f.Voters))
		return &problem{"fleet.voters", reason}
	}
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return &problem{"fleet.listen", fmt.Sprintf("%q: HOST:PORT wanted", f.Listen)}
	}
	return f.checkVoters()
}

// checkVoters checks the name and address of each voter.
func (f *Fleet) checkVoters() *problem {
	seen := map[string]bool{}
	for _, v := range f.Voters {
		_, _, err := net.SplitHostPort(v.Address)
		reason := ""
		switch {
		case v.Name == "" || strings.ContainsAny(v.Name, " \t\n"):
			reason = fmt.Sprintf("name %q: a gateway's name wanted", v.Name)
		case seen[v.Name]:
			reason = fmt.Sprintf("%s twice", v.Name)
		case err != nil:
			reason = fmt.Sprintf("%s: address %q: HOST:PORT wanted", v.Name, v.Address)
		}
		if reason != "" {
			return &problem{"fleet.voters", reason}
		}
		seen[v.Name] = true
	}
	return nil
}
