// Package config reads the operators' file: the settings of everything that
// the platform does not offer. It is read strictly. What it leaves out keeps its
// default, with which each part is off.
package config

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings are all that the file holds. deploy/operators.toml tells what each is for.
type Settings struct {
	State      State      `toml:"state"`
	HotRestart HotRestart `toml:"handover"`
	Auth       Auth       `toml:"auth"`
	Registry   Registry   `toml:"register"`
	Record     Record     `toml:"record"`
	Fleet      Fleet      `toml:"fleet"`
	Budgets    Budgets    `toml:"budgets"`
	Versions   Versions   `toml:"versions"`
}

// Versions is how the fleet agrees on what its gateways act on.
type Versions struct {
	Enabled       bool     `toml:"on"`
	LeaseTTL      Duration `toml:"span"`
	PollInterval  Duration `toml:"every"`
	StageDuration Duration `toml:"settle"`
	StageTimeout  Duration `toml:"patience"`
}

// Budgets is how the fleet divides customers' quotas among its gateways.
type Budgets struct {
	Enabled                 bool     `toml:"on"`
	Shards                  int      `toml:"shards"`
	TTL                     Duration `toml:"span"`
	ReservedMinimumTTL      Duration `toml:"floor_span"`
	ReservedMinimumFraction float64  `toml:"floor"`
	OnDemandFraction        float64  `toml:"reserve"`
	RenewInterval           Duration `toml:"every"`
	StartFull               bool     `toml:"begin_full"`
	RecordFile              string   `toml:"record"` // a file; "": none
}

// Fleet is what the gateways agree on among themselves, and who does work on behalf of them all.
type Fleet struct {
	Enabled            bool              `toml:"on"`
	Name               string            `toml:"name"`
	Listen             string            `toml:"listen"`
	Address            string            `toml:"address"` // "": Listen
	Dir                string            `toml:"folder"`
	Voters             []Voter           `toml:"voters"`
	Addresses          map[string]string `toml:"addresses"`
	LeaseTTL           Duration          `toml:"span"`
	ClockDriftBound    float64           `toml:"margin"`
	TransferTimeout    Duration          `toml:"offer"`
	RaftTick           Duration          `toml:"tick"`
	RetainedLogEntries int               `toml:"keep"`
	ExportDir          string            `toml:"exports"` // "": no use is counted
	ExportShards       int               `toml:"shards"`
	MeteringPeriod     Duration          `toml:"period"`
	SharedWatch        bool              `toml:"watch"` // one gateway watches Consul for all
	// not heard for so long, a gateway watches by itself
	SourceTimeout    Duration `toml:"silent"`
	Zone             string   `toml:"zone"` // where this gateway runs; "": near to no voter
	Region           string   `toml:"region"`
	ChangeLogEntries int      `toml:"change_log"` // changes that a voter keeps for replicas
	// gateways that may hold duties, by name; empty: all
	LeaderCandidates []string `toml:"owners"`
}

// Voter is a gateway that votes on what is agreed.
type Voter struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"` // "": near to no gateway
	Region  string `toml:"region"`
}

// Record is what a gateway writes down for those who look for a cause.
type Record struct {
	RejectionsFile string `toml:"refusals"` // a file; "": none
}

// State is where a gateway keeps what its next process is to know.
type State struct {
	File         string   `toml:"file"` // "": nowhere
	SaveInterval Duration `toml:"every"`
	MaxAge       Duration `toml:"oldest"`
}

// HotRestart is how a process is replaced by a new one that takes its sockets over.
type HotRestart struct {
	Enabled      bool     `toml:"on"`
	PIDFile      string   `toml:"pid_file"` // "": none is written
	ReadyTimeout Duration `toml:"ready_within"`
}

// Auth is whom to ask by HTTP before a request goes on. Lists of names are of the
// platform's configuration; a plan list that is empty means all of them.
type Auth struct {
	URL                string            `toml:"url"` // "": off
	Classes            []string          `toml:"classes"`
	Plans              []string          `toml:"plans"`
	FailOpenClasses    []string          `toml:"pass_unknown"`
	WaitTimeout        Duration          `toml:"budget"`
	CallTimeout        Duration          `toml:"timeout"`
	AllowTTL           Duration          `toml:"allow_for"`
	MaxAllowTTL        Duration          `toml:"allow_most"`
	DenyTTL            Duration          `toml:"deny_for"`
	StaleTTL           Duration          `toml:"stale_for"`
	MaxConcurrentCalls int               `toml:"most_calls"`
	MaxWaiting         int               `toml:"most_waiting"`
	MaxCacheEntries    int               `toml:"most_kept"`
	FailureThreshold   int               `toml:"fails"`
	OpenDuration       Duration          `toml:"open_for"`
	MaxOpenDuration    Duration          `toml:"open_most"`
	Headers            map[string]string `toml:"headers"`
	SecretHeader       string            `toml:"secret_header"`
	SecretFile         string            `toml:"secret_file"`
	TokensFile         string            `toml:"tokens_file"`
	CAFile             string            `toml:"ca_file"`
}

// Registry is where the list of servers comes from.
type Registry struct {
	// platform, consul, consul+platform or platform+consul: the first one wins
	Source            string   `toml:"source"`
	Agents            []string `toml:"agents"`
	TLS               bool     `toml:"tls"`
	CAFile            string   `toml:"ca_file"`
	TokenFile         string   `toml:"token_file"`
	Service           string   `toml:"service"`
	Datacenter        string   `toml:"datacenter"`
	Namespace         string   `toml:"namespace"`
	Filter            string   `toml:"filter"`
	Consistency       string   `toml:"mode"`
	WaitTime          Duration `toml:"wait"`
	WatchCatalog      bool     `toml:"catalogue"`
	WarningServes     bool     `toml:"warning_serves"`
	EmptyListGrace    Duration `toml:"hold"`
	IndexResetAnswers int      `toml:"reset_after"`
	MaxClockSkew      Duration `toml:"skew"`
}

// Sources are the values of Register.Source.
var Sources = []string{"platform", "consul", "consul+platform", "platform+consul"}

// Duration is a length of time, written as 1s or 250ms.
type Duration time.Duration

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no length of time such as 250ms or 1s", text)
	}
	*d = Duration(v)
	return nil
}

// Defaults are the settings where there is no file.
func Defaults() Settings {
	return Settings{
		State:      State{SaveInterval: Duration(time.Second), MaxAge: Duration(time.Minute)},
		HotRestart: HotRestart{ReadyTimeout: Duration(10 * time.Second)},
		Auth: Auth{Classes: []string{},
			Plans:              []string{},
			FailOpenClasses:    []string{},
			Headers:            map[string]string{},
			WaitTimeout:        Duration(200 * time.Millisecond),
			CallTimeout:        Duration(2 * time.Second),
			AllowTTL:           Duration(10 * time.Second),
			MaxAllowTTL:        Duration(5 * time.Minute),
			DenyTTL:            Duration(2 * time.Second),
			StaleTTL:           Duration(5 * time.Second),
			MaxConcurrentCalls: 32,
			MaxWaiting:         2000,
			MaxCacheEntries:    10000,
			FailureThreshold:   5,
			OpenDuration:       Duration(time.Second),
			MaxOpenDuration:    Duration(30 * time.Second)},
		Registry: Registry{Source: "platform",
			Agents: []string{
				"127.0.0.1:8500",
			},
			Consistency:       "default",
			WaitTime:          Duration(5 * time.Second),
			WatchCatalog:      true,
			EmptyListGrace:    Duration(5 * time.Minute),
			IndexResetAnswers: 3,
			MaxClockSkew:      Duration(5 * time.Second)},
		Fleet: Fleet{Dir: "fleet",
			Voters:             []Voter{},
			Addresses:          map[string]string{},
			LeaderCandidates:   []string{},
			LeaseTTL:           Duration(time.Second),
			ClockDriftBound:    0.125,
			TransferTimeout:    Duration(500 * time.Millisecond),
			RaftTick:           Duration(40 * time.Millisecond),
			RetainedLogEntries: 4096,
			ExportShards:       1,
			MeteringPeriod:     Duration(5 * time.Second),
			SourceTimeout:      Duration(time.Second),
			ChangeLogEntries:   100_000},
		Budgets: Budgets{
			Shards:                  1,
			TTL:                     Duration(3 * time.Second),
			ReservedMinimumTTL:      Duration(time.Minute),
			ReservedMinimumFraction: 0.3,
			OnDemandFraction:        0.5,
			RenewInterval:           Duration(200 * time.Millisecond),
		},
		Versions: Versions{
			LeaseTTL:      Duration(10 * time.Second),
			PollInterval:  Duration(500 * time.Millisecond),
			StageDuration: Duration(time.Second),
			StageTimeout:  Duration(15 * time.Second),
		},
	}
}

// Load reads a file. An error is one line that names the file and, where it can
// be told, the line and the key.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("operators: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return s, fmt.Errorf("operators: %s:%w", path, err)
	}
	return s, nil
}

// Parse reads the text of a file. Its errors begin with the line.
func Parse(raw []byte) (Settings, error) {
	s := Defaults()
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&s)
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		row, _ := strict.Errors[0].Position()
		return Settings{}, fmt.Errorf("%d: %s: no such setting",
			row, strings.Join(strict.Errors[0].Key(), "."))
	case errors.As(err, &decode):
		row, _ := decode.Position()
		why := strings.TrimPrefix(decode.Error(), "toml: ")
		if key := strings.Join(decode.Key(), "."); key != "" {
			why = key + ": " + why
		}
		return Settings{}, fmt.Errorf("%d: %s", row, oneLine(why))
	case err != nil:
		return Settings{}, fmt.Errorf("0: %s", oneLine(err.Error()))
	}
	if key, why := s.check(); why != "" {
		return Settings{}, fmt.Errorf("%d: %s: %s", lineOfKey(raw, key), key, why)
	}
	return s, nil
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// check tells which setting can't be used, and why.
func (s *Settings) check() (key, why string) {
	within := func(d Duration, least, most time.Duration) string {
		if time.Duration(d) < least || time.Duration(d) > most {
			return fmt.Sprintf("%v: from %v to %v wanted", time.Duration(d), least, most)
		}
		return ""
	}
	for _, c := range []struct{ key, why string }{
		{"state.every", within(s.State.SaveInterval, 50*time.Millisecond, time.Minute)},
		{"state.oldest", within(s.State.MaxAge, time.Second, time.Hour)},
		{
			"handover.ready_within",
			within(s.HotRestart.ReadyTimeout, 100*time.Millisecond, 10*time.Minute),
		},
		{"auth.budget", within(s.Auth.WaitTimeout, time.Millisecond, 10*time.Second)},
		{"auth.timeout", within(s.Auth.CallTimeout, 10*time.Millisecond, time.Minute)},
		{"auth.allow_for", within(s.Auth.AllowTTL, 0, 24*time.Hour)},
		{"auth.allow_most", within(s.Auth.MaxAllowTTL, 0, 24*time.Hour)},
		{"auth.deny_for", within(s.Auth.DenyTTL, 0, time.Hour)},
		{"auth.stale_for", within(s.Auth.StaleTTL, 0, time.Hour)},
		{"auth.open_for", within(s.Auth.OpenDuration, 10*time.Millisecond, time.Hour)},
		{
			"auth.open_most",
			within(s.Auth.MaxOpenDuration, time.Duration(s.Auth.OpenDuration), 24*time.Hour),
		},
		{"auth.most_calls", count(s.Auth.MaxConcurrentCalls, 1, 1000)},
		{"auth.most_waiting", count(s.Auth.MaxWaiting, 1, 1000_000)},
		{"auth.most_kept", count(s.Auth.MaxCacheEntries, 1, 10_000_000)},
		{"register.wait", within(s.Registry.WaitTime, 100*time.Millisecond, 10*time.Minute)},
		{"register.hold", within(s.Registry.EmptyListGrace, 0, 24*time.Hour)},
		{"register.skew", within(s.Registry.MaxClockSkew, 0, time.Minute)},
		{"register.reset_after", count(s.Registry.IndexResetAnswers, 1, 1000)},
		{"auth.fails", count(s.Auth.FailureThreshold, 1, 1000_000)},
		{"fleet.span", within(s.Fleet.LeaseTTL, 200*time.Millisecond, 10*time.Minute)},
		{"fleet.offer", within(s.Fleet.TransferTimeout, 50*time.Millisecond, time.Minute)},
		{"fleet.tick", within(s.Fleet.RaftTick, 5*time.Millisecond, 5*time.Second)},
		{"fleet.period", within(s.Fleet.MeteringPeriod, 100*time.Millisecond, 24*time.Hour)},
		{"fleet.keep", count(s.Fleet.RetainedLogEntries, 16, 1000_000)},
		{"fleet.silent", within(s.Fleet.SourceTimeout, 200*time.Millisecond, time.Minute)},
		{"fleet.change_log", count(s.Fleet.ChangeLogEntries, 1, 10_000_000)},
		{"fleet.shards", count(s.Fleet.ExportShards, 1, 256)},
		{"budgets.shards", count(s.Budgets.Shards, 1, 256)},
		{"budgets.span", within(s.Budgets.TTL, time.Second, 10*time.Minute)},
		{
			"budgets.floor_span",
			within(s.Budgets.ReservedMinimumTTL, time.Duration(s.Budgets.TTL), 24*time.Hour),
		},
		{"versions.span", within(s.Versions.LeaseTTL, time.Second, 10*time.Minute)},
		{
			"versions.every",
			within(s.Versions.PollInterval, 10*time.Millisecond,
				time.Duration(s.Versions.LeaseTTL)/4),
		},
		{"versions.settle", within(s.Versions.StageDuration, 0, 24*time.Hour)},
		{"versions.patience", within(s.Versions.StageTimeout, time.Second, 24*time.Hour)},
		{
			"budgets.every",
			within(s.Budgets.RenewInterval, 10*time.Millisecond, time.Duration(s.Budgets.TTL)/4),
		},
	} {
		if c.why != "" {
			return c.key, c.why
		}
	}
	if s.Fleet.Enabled && s.Fleet.SharedWatch && s.Registry.Source != "consul" {
		return "fleet.watch", "set though register.source is not consul"
	}
	if key, why := s.Fleet.check(); why != "" {
		return key, why
	}
	switch b := &s.Budgets; {
	case !(b.ReservedMinimumFraction >= 0 && b.ReservedMinimumFraction <= 1):
		return "budgets.floor", fmt.Sprintf("%v: from 0 to 1 wanted", b.ReservedMinimumFraction)
	case !(b.OnDemandFraction >= 0 && b.OnDemandFraction <= 1):
		return "budgets.reserve", fmt.Sprintf("%v: from 0 to 1 wanted", b.OnDemandFraction)
	case b.Enabled && !s.Fleet.Enabled:
		return "budgets.on", "set though fleet.on is false"
	case s.Versions.Enabled && !s.Fleet.Enabled:
		return "versions.on", "set though fleet.on is false"
	}
	switch r := &s.Registry; {
	case !slices.Contains(Sources, r.Source):
		return "register.source", fmt.Sprintf("%q: one of %s wanted",
			r.Source, strings.Join(Sources, ", "))
	case !slices.Contains([]string{"default", "stale", "consistent"}, r.Consistency):
		return "register.mode", fmt.Sprintf("%q: default, stale or consistent wanted",
			r.Consistency)
	case r.Source != "platform" && r.Service == "":
		return "register.service", "missing, though register.source names Consul"
	case r.Source != "platform" && len(r.Agents) == 0:
		return "register.agents", "none, though register.source names Consul"
	case s.Auth.URL != "" && len(s.Auth.Classes) == 0:
		return "auth.classes", "none, though auth.url is set: nothing would ever be asked"
	case (s.Auth.SecretFile == "") != (s.Auth.SecretHeader == ""):
		return "auth.secret_file", "goes with auth.secret_header: both or neither"
	case s.State.File != "" &&
		filepath.Base(s.State.File) != strings.TrimSpace(filepath.Base(s.State.File)):
		return "state.file", "a name that ends in a space"
	case s.Record.RejectionsFile != "" &&
		(s.Record.RejectionsFile == s.State.File ||
			s.Record.RejectionsFile == s.HotRestart.PIDFile):
		return "record.refusals", "the same file as another setting's"
	case s.State.MaxAge < s.State.SaveInterval:
		return "state.oldest", "less than state.every: no state would ever be used"
	case s.HotRestart.PIDFile != "" && !s.HotRestart.Enabled:
		return "handover.pid_file", "set though handover.on is false"
	case s.HotRestart.PIDFile != "" && s.HotRestart.PIDFile == s.State.File:
		return "handover.pid_file", "the same file as state.file"
	}
	return "", ""
}

// check tells which setting of a fleet that is on can't be used.
func (f *Fleet) check() (key, why string) {
	if !(f.ClockDriftBound >= 0 && f.ClockDriftBound <= 1) {
		return "fleet.margin", fmt.Sprintf("%v: from 0 to 1 wanted", f.ClockDriftBound)
	}
	if !f.Enabled {
		return "", ""
	}
	switch {
	case f.Name == "":
		return "fleet.name", "missing, though fleet.on is true"
	case f.Dir == "":
		return "fleet.folder", "missing, though fleet.on is true"
	case len(f.Voters) == 0:
		return "fleet.voters", "none, though fleet.on is true"
	case len(f.Voters)%2 == 0 || len(f.Voters) > 7:
		return "fleet.voters", fmt.Sprintf("%d: 1, 3, 5 or 7 wanted", len(f.Voters))
	}
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return "fleet.listen", fmt.Sprintf("%q: HOST:PORT wanted", f.Listen)
	}
	seen := map[string]bool{}
	for _, v := range f.Voters {
		_, _, err := net.SplitHostPort(v.Address)
		switch {
		case v.Name == "" || strings.ContainsAny(v.Name, " \t\n"):
			return "fleet.voters", fmt.Sprintf("name %q: a gateway's name wanted", v.Name)
		case seen[v.Name]:
			return "fleet.voters", fmt.Sprintf("%s twice", v.Name)
		case err != nil:
			return "fleet.voters", fmt.Sprintf("%s: address %q: HOST:PORT wanted",
				v.Name, v.Address)
		}
		seen[v.Name] = true
	}
	return "", ""
}

// equalExceptAgents reports whether only the agents differ: those can be changed at any time.
func (r Registry) equalExceptAgents(other *Registry) bool {
	r.Agents = other.Agents
	return reflect.DeepEqual(&r, other)
}

func count(n, least, most int) string {
	if n < least || n > most {
		return fmt.Sprintf("%d: from %d to %d wanted", n, least, most)
	}
	return ""
}

// lineOfKey finds the line on which a key stands; 1 where it is left to its default.
func lineOfKey(raw []byte, key string) int {
	table, name, _ := strings.Cut(key, ".")
	in := ""
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			in = strings.Trim(line, "[] ")
		}
		left, _, ok := strings.Cut(line, "=")
		if left = strings.TrimSpace(left); ok &&
			(in == table && left == name || in == "" && left == key) {
			return i + 1
		}
	}
	return 1
}

// RestartRequired names the settings that differ from another's and that only a new
// process can take in.
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
