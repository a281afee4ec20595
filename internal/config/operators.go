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
	State    State    `toml:"state"`
	HandOver HandOver `toml:"handover"`
	Auth     Auth     `toml:"auth"`
	Register Register `toml:"register"`
	Record   Record   `toml:"record"`
	Fleet    Fleet    `toml:"fleet"`
	Budgets  Budgets  `toml:"budgets"`
	Versions Versions `toml:"versions"`
}

// Versions is how the fleet agrees on what its gateways act on.
type Versions struct {
	On       bool     `toml:"on"`
	Span     Duration `toml:"span"`
	Every    Duration `toml:"every"`
	Settle   Duration `toml:"settle"`
	Patience Duration `toml:"patience"`
}

// Budgets is how the fleet divides customers' quotas among its gateways.
type Budgets struct {
	On        bool     `toml:"on"`
	Shards    int      `toml:"shards"`
	Span      Duration `toml:"span"`
	FloorSpan Duration `toml:"floor_span"`
	Floor     float64  `toml:"floor"`
	Reserve   float64  `toml:"reserve"`
	Every     Duration `toml:"every"`
	BeginFull bool     `toml:"begin_full"`
	Record    string   `toml:"record"` // a file; "": none
}

// Fleet is what the gateways agree on among themselves, and who does work on behalf of them all.
type Fleet struct {
	On        bool              `toml:"on"`
	Name      string            `toml:"name"`
	Listen    string            `toml:"listen"`
	Address   string            `toml:"address"` // "": Listen
	Folder    string            `toml:"folder"`
	Voters    []Voter           `toml:"voters"`
	Addresses map[string]string `toml:"addresses"`
	Span      Duration          `toml:"span"`
	Margin    float64           `toml:"margin"`
	Offer     Duration          `toml:"offer"`
	Tick      Duration          `toml:"tick"`
	Keep      int               `toml:"keep"`
	Exports   string            `toml:"exports"` // "": no use is counted
	Shards    int               `toml:"shards"`
	Period    Duration          `toml:"period"`
	Watch     bool              `toml:"watch"` // one gateway watches Consul for all
	// not heard for so long, a gateway watches by itself
	Silent    Duration `toml:"silent"`
	Zone      string   `toml:"zone"` // where this gateway runs; "": near to no voter
	Region    string   `toml:"region"`
	ChangeLog int      `toml:"change_log"` // changes that a voter keeps for replicas
	// gateways that may hold duties, by name; empty: all
	Owners []string `toml:"owners"`
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
	Refusals string `toml:"refusals"` // a file; "": none
}

// State is where a gateway keeps what its next process is to know.
type State struct {
	File   string   `toml:"file"` // "": nowhere
	Every  Duration `toml:"every"`
	Oldest Duration `toml:"oldest"`
}

// HandOver is how a process is replaced by a new one that takes its sockets over.
type HandOver struct {
	On          bool     `toml:"on"`
	PIDFile     string   `toml:"pid_file"` // "": none is written
	ReadyWithin Duration `toml:"ready_within"`
}

// Auth is whom to ask by HTTP before a request goes on. Lists of names are of the
// platform's configuration; a plan list that is empty means all of them.
type Auth struct {
	URL          string            `toml:"url"` // "": off
	Classes      []string          `toml:"classes"`
	Plans        []string          `toml:"plans"`
	PassUnknown  []string          `toml:"pass_unknown"`
	Budget       Duration          `toml:"budget"`
	Timeout      Duration          `toml:"timeout"`
	AllowFor     Duration          `toml:"allow_for"`
	AllowMost    Duration          `toml:"allow_most"`
	DenyFor      Duration          `toml:"deny_for"`
	StaleFor     Duration          `toml:"stale_for"`
	MostCalls    int               `toml:"most_calls"`
	MostWaiting  int               `toml:"most_waiting"`
	MostKept     int               `toml:"most_kept"`
	Fails        int               `toml:"fails"`
	OpenFor      Duration          `toml:"open_for"`
	OpenMost     Duration          `toml:"open_most"`
	Headers      map[string]string `toml:"headers"`
	SecretHeader string            `toml:"secret_header"`
	SecretFile   string            `toml:"secret_file"`
	TokensFile   string            `toml:"tokens_file"`
	CAFile       string            `toml:"ca_file"`
}

// Register is where the list of servers comes from.
type Register struct {
	// platform, consul, consul+platform or platform+consul: the first one wins
	Source        string   `toml:"source"`
	Agents        []string `toml:"agents"`
	TLS           bool     `toml:"tls"`
	CAFile        string   `toml:"ca_file"`
	TokenFile     string   `toml:"token_file"`
	Service       string   `toml:"service"`
	Datacenter    string   `toml:"datacenter"`
	Namespace     string   `toml:"namespace"`
	Filter        string   `toml:"filter"`
	Mode          string   `toml:"mode"`
	Wait          Duration `toml:"wait"`
	Catalogue     bool     `toml:"catalogue"`
	WarningServes bool     `toml:"warning_serves"`
	Hold          Duration `toml:"hold"`
	ResetAfter    int      `toml:"reset_after"`
	Skew          Duration `toml:"skew"`
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
		State:    State{Every: Duration(time.Second), Oldest: Duration(time.Minute)},
		HandOver: HandOver{ReadyWithin: Duration(10 * time.Second)},
		Auth: Auth{Classes: []string{},
			Plans:       []string{},
			PassUnknown: []string{},
			Headers:     map[string]string{},
			Budget:      Duration(200 * time.Millisecond),
			Timeout:     Duration(2 * time.Second),
			AllowFor:    Duration(10 * time.Second),
			AllowMost:   Duration(5 * time.Minute),
			DenyFor:     Duration(2 * time.Second),
			StaleFor:    Duration(5 * time.Second),
			MostCalls:   32,
			MostWaiting: 2000,
			MostKept:    10000,
			Fails:       5,
			OpenFor:     Duration(time.Second),
			OpenMost:    Duration(30 * time.Second)},
		Register: Register{Source: "platform",
			Agents: []string{
				"127.0.0.1:8500",
			},
			Mode:       "default",
			Wait:       Duration(5 * time.Second),
			Catalogue:  true,
			Hold:       Duration(5 * time.Minute),
			ResetAfter: 3,
			Skew:       Duration(5 * time.Second)},
		Fleet: Fleet{Folder: "fleet",
			Voters:    []Voter{},
			Addresses: map[string]string{},
			Owners:    []string{},
			Span:      Duration(time.Second),
			Margin:    0.125,
			Offer:     Duration(500 * time.Millisecond),
			Tick:      Duration(40 * time.Millisecond),
			Keep:      4096,
			Shards:    1,
			Period:    Duration(5 * time.Second),
			Silent:    Duration(time.Second),
			ChangeLog: 100_000},
		Budgets: Budgets{
			Shards:    1,
			Span:      Duration(3 * time.Second),
			FloorSpan: Duration(time.Minute),
			Floor:     0.3,
			Reserve:   0.5,
			Every:     Duration(200 * time.Millisecond),
		},
		Versions: Versions{
			Span:     Duration(10 * time.Second),
			Every:    Duration(500 * time.Millisecond),
			Settle:   Duration(time.Second),
			Patience: Duration(15 * time.Second),
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
		return Settings{}, fmt.Errorf("%d: %s: %s", lineOf(raw, key), key, why)
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
		{"state.every", within(s.State.Every, 50*time.Millisecond, time.Minute)},
		{"state.oldest", within(s.State.Oldest, time.Second, time.Hour)},
		{
			"handover.ready_within",
			within(s.HandOver.ReadyWithin, 100*time.Millisecond, 10*time.Minute),
		},
		{"auth.budget", within(s.Auth.Budget, time.Millisecond, 10*time.Second)},
		{"auth.timeout", within(s.Auth.Timeout, 10*time.Millisecond, time.Minute)},
		{"auth.allow_for", within(s.Auth.AllowFor, 0, 24*time.Hour)},
		{"auth.allow_most", within(s.Auth.AllowMost, 0, 24*time.Hour)},
		{"auth.deny_for", within(s.Auth.DenyFor, 0, time.Hour)},
		{"auth.stale_for", within(s.Auth.StaleFor, 0, time.Hour)},
		{"auth.open_for", within(s.Auth.OpenFor, 10*time.Millisecond, time.Hour)},
		{"auth.open_most", within(s.Auth.OpenMost, time.Duration(s.Auth.OpenFor), 24*time.Hour)},
		{"auth.most_calls", count(s.Auth.MostCalls, 1, 1000)},
		{"auth.most_waiting", count(s.Auth.MostWaiting, 1, 1000_000)},
		{"auth.most_kept", count(s.Auth.MostKept, 1, 10_000_000)},
		{"register.wait", within(s.Register.Wait, 100*time.Millisecond, 10*time.Minute)},
		{"register.hold", within(s.Register.Hold, 0, 24*time.Hour)},
		{"register.skew", within(s.Register.Skew, 0, time.Minute)},
		{"register.reset_after", count(s.Register.ResetAfter, 1, 1000)},
		{"auth.fails", count(s.Auth.Fails, 1, 1000_000)},
		{"fleet.span", within(s.Fleet.Span, 200*time.Millisecond, 10*time.Minute)},
		{"fleet.offer", within(s.Fleet.Offer, 50*time.Millisecond, time.Minute)},
		{"fleet.tick", within(s.Fleet.Tick, 5*time.Millisecond, 5*time.Second)},
		{"fleet.period", within(s.Fleet.Period, 100*time.Millisecond, 24*time.Hour)},
		{"fleet.keep", count(s.Fleet.Keep, 16, 1000_000)},
		{"fleet.silent", within(s.Fleet.Silent, 200*time.Millisecond, time.Minute)},
		{"fleet.change_log", count(s.Fleet.ChangeLog, 1, 10_000_000)},
		{"fleet.shards", count(s.Fleet.Shards, 1, 256)},
		{"budgets.shards", count(s.Budgets.Shards, 1, 256)},
		{"budgets.span", within(s.Budgets.Span, time.Second, 10*time.Minute)},
		{
			"budgets.floor_span",
			within(s.Budgets.FloorSpan, time.Duration(s.Budgets.Span), 24*time.Hour),
		},
		{"versions.span", within(s.Versions.Span, time.Second, 10*time.Minute)},
		{
			"versions.every",
			within(s.Versions.Every, 10*time.Millisecond, time.Duration(s.Versions.Span)/4),
		},
		{"versions.settle", within(s.Versions.Settle, 0, 24*time.Hour)},
		{"versions.patience", within(s.Versions.Patience, time.Second, 24*time.Hour)},
		{
			"budgets.every",
			within(s.Budgets.Every, 10*time.Millisecond, time.Duration(s.Budgets.Span)/4),
		},
	} {
		if c.why != "" {
			return c.key, c.why
		}
	}
	if s.Fleet.On && s.Fleet.Watch && s.Register.Source != "consul" {
		return "fleet.watch", "set though register.source is not consul"
	}
	if key, why := s.Fleet.check(); why != "" {
		return key, why
	}
	switch b := &s.Budgets; {
	case !(b.Floor >= 0 && b.Floor <= 1):
		return "budgets.floor", fmt.Sprintf("%v: from 0 to 1 wanted", b.Floor)
	case !(b.Reserve >= 0 && b.Reserve <= 1):
		return "budgets.reserve", fmt.Sprintf("%v: from 0 to 1 wanted", b.Reserve)
	case b.On && !s.Fleet.On:
		return "budgets.on", "set though fleet.on is false"
	case s.Versions.On && !s.Fleet.On:
		return "versions.on", "set though fleet.on is false"
	}
	switch r := &s.Register; {
	case !slices.Contains(Sources, r.Source):
		return "register.source", fmt.Sprintf("%q: one of %s wanted",
			r.Source, strings.Join(Sources, ", "))
	case !slices.Contains([]string{"default", "stale", "consistent"}, r.Mode):
		return "register.mode", fmt.Sprintf("%q: default, stale or consistent wanted", r.Mode)
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
	case s.Record.Refusals != "" &&
		(s.Record.Refusals == s.State.File || s.Record.Refusals == s.HandOver.PIDFile):
		return "record.refusals", "the same file as another setting's"
	case s.State.Oldest < s.State.Every:
		return "state.oldest", "less than state.every: no state would ever be used"
	case s.HandOver.PIDFile != "" && !s.HandOver.On:
		return "handover.pid_file", "set though handover.on is false"
	case s.HandOver.PIDFile != "" && s.HandOver.PIDFile == s.State.File:
		return "handover.pid_file", "the same file as state.file"
	}
	return "", ""
}

// check tells which setting of a fleet that is on can't be used.
func (f *Fleet) check() (key, why string) {
	if !(f.Margin >= 0 && f.Margin <= 1) {
		return "fleet.margin", fmt.Sprintf("%v: from 0 to 1 wanted", f.Margin)
	}
	if !f.On {
		return "", ""
	}
	switch {
	case f.Name == "":
		return "fleet.name", "missing, though fleet.on is true"
	case f.Folder == "":
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

// sameButAgents tells whether only the agents differ: those can be changed at any time.
func (r Register) sameButAgents(other *Register) bool {
	r.Agents = other.Agents
	return reflect.DeepEqual(&r, other)
}

func count(n, least, most int) string {
	if n < least || n > most {
		return fmt.Sprintf("%d: from %d to %d wanted", n, least, most)
	}
	return ""
}

// lineOf finds the line on which a key stands; 1 where it is left to its default.
func lineOf(raw []byte, key string) int {
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

// Fixed names the settings that differ from another's and that only a new
// process can take in.
func (s *Settings) Fixed(other *Settings) (names []string) {
	for _, c := range []struct {
		name    string
		changed bool
	}{
		{"state.file", s.State.File != other.State.File},
		{"state.oldest", false}, // only a start uses it
		{"handover", s.HandOver != other.HandOver},
		{"register", !s.Register.sameButAgents(&other.Register)},
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
