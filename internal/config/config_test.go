package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestShippedFileStatesTheDefaults checks that the shipped file sets every setting to its default.
func TestShippedFileStatesTheDefaults(t *testing.T) {
	path := filepath.Join("..", "..", "deploy", "operators.toml")
	s, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s, Defaults()) {
		t.Errorf("the shipped file sets %+v, want the defaults %+v", s, Defaults())
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{
		"file", "every", "oldest", "on", "pid_file", "ready_within", "url", "classes", "plans",
		"pass_unknown", "budget", "timeout", "allow_for", "allow_most", "deny_for", "stale_for",
		"most_calls", "most_waiting", "most_kept", "fails", "open_for", "open_most", "headers",
		"secret_header", "secret_file", "tokens_file", "ca_file", "source", "agents", "tls",
		"token_file", "service", "datacenter", "namespace", "filter", "mode", "wait",
		"catalogue", "warning_serves", "hold", "reset_after", "skew", "refusals",
	} {
		if !strings.Contains(string(raw), "\n"+key+" = ") {
			t.Errorf("%s is not in the shipped file", key)
		}
	}
}

func TestParse(t *testing.T) {
	s, err := Parse([]byte(
		"[state]\nfile = \"/x/state\"\nevery = \"250ms\"\n" +
			"[handover]\non = true\npid_file = \"/x/pid\"\n",
	))
	if err != nil {
		t.Fatal(err)
	}
	want := Defaults()
	want.State.File, want.State.SaveInterval = "/x/state", Duration(250*time.Millisecond)
	want.HotRestart.Enabled, want.HotRestart.PIDFile = true, "/x/pid"
	if !reflect.DeepEqual(s, want) {
		t.Errorf("%+v", s)
	}
	if s, err := Parse(nil); err != nil || !reflect.DeepEqual(s, Defaults()) {
		t.Errorf("empty file: got %+v, %v, want the defaults", s, err)
	}
}

const fleetHead = "[fleet]\non = true\nname = \"f\"\nlisten = \"127.0.0.1:0\"\n"

// TestInvalidFiles checks that each error is one line with line number, key and reason.
func TestInvalidFiles(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[state]\n\nfil = \"x\"\n", "3: state.fil: no such setting"},
		{"[stat]\n", "1: stat: no such setting"},
		{"state.every = 1\n", "1: state.every:"},
		{"[state]\nevery = \"soon\"\n", "2: state.every:"},
		{"[state]\nfile = \"x\"\nevery = \"1ms\"\n", "3: state.every: 1ms: must be between 50ms"},
		{"[state]\nevery = \"30s\"\noldest = \"2s\"\n", "3: state.oldest: must be at least state.every"},
		{"[handover]\non = \"yes\"\n", "2: handover.on:"},
		{"[handover]\npid_file = \"p\"\n", "2: handover.pid_file: must be empty unless"},
		{"[handover]\nready_within = \"0s\"\n", "2: handover.ready_within: 0s"},
		{"[auth]\nurl = \"http://127.0.0.1:1/\"\n", "1: auth.classes: must not be empty"},
		{"[auth]\nmost_calls = 0\n", "2: auth.most_calls: 0: must be between 1"},
		{"[auth]\nsecret_file = \"x\"\n", "2: auth.secret_file: must be set together with"},
		{"[register]\nsource = \"etcd\"\n", "2: register.source: \"etcd\": must be one of"},
		{"[register]\nsource = \"consul\"\n", "1: register.service: must be set"},
		{"[register]\nmode = \"fast\"\n", "2: register.mode: \"fast\""},
		{"[register]\nwait = \"1ms\"\n", "2: register.wait: 1ms"},
		{"[fleet]\non = true\n", "1: fleet.name: must be set"},
		{fleetHead + "voters = []\n", "5: fleet.voters: must not be empty"},
		{
			fleetHead +
				"voters = [{ name = \"a\", address = \"h:1\" }, " +
				"{ name = \"b\", address = \"h:2\" }]\n",
			"5: fleet.voters: 2: must be 1, 3, 5 or 7",
		},
		{
			fleetHead + "voters = [{ name = \"a\", address = \"h\" }]\n",
			"5: fleet.voters: a: address \"h\"",
		},
		{
			fleetHead + "voters = [{ name = \"a\", address = \"h:1\", weight = 3 }]\n",
			"5: fleet.weight: no such setting",
		},
		{
			fleetHead + "voters = [{ name = \"a\", address = \"h:1\" }]\nwatch = true\n",
			"6: fleet.watch: must be false unless",
		},
		{"[fleet]\nspan = \"1ms\"\n", "2: fleet.span: 1ms: must be between"},
		{"[fleet]\nmargin = -0.1\n", "2: fleet.margin: -0.1"},
		{"[fleet]\nmargin = nan\n", "2: fleet.margin: NaN"},
		{"[state\n", "1:"},
		{"[state]\nevery = \"1s\"\nevery = \"1s\"\n", "3:"},
		{"\n\n= 1", "3:"},
	} {
		_, err := Parse([]byte(c.text))
		if err == nil || !strings.HasPrefix(err.Error(), c.want) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want %q", c.text, err, c.want)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no error for a missing file")
	}
}

func TestRestartRequired(t *testing.T) {
	a, b := Defaults(), Defaults()
	b.State.SaveInterval = Duration(2 * time.Second)
	if got := a.RestartRequired(&b); len(got) > 0 {
		t.Errorf("%v", got)
	}
	b.Registry.Agents = []string{"127.0.0.1:1"} // applies without a restart
	if got := a.RestartRequired(&b); len(got) > 0 {
		t.Errorf("%v", got)
	}
	b.State.File, b.HotRestart.Enabled, b.Registry.Source = "x", true, "consul"
	if got := a.RestartRequired(&b); len(got) != 3 {
		t.Errorf("%v", got)
	}
}
