package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mothcleat/internal/testing/lab"
)

// TestSIGHUPRequestsReload guards against a SIGHUP that ends the program, and with it all accepted
// requests, because nothing handles the signal.
func TestSIGHUPRequestsReload(t *testing.T) {
	control := notifySignals()
	for range 2 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-control.Reload:
		case <-time.After(30 * time.Second):
			t.Fatal("no reload")
		}
	}
}

const head = `{"listen":"127.0.0.1:0","seed":"01","settings":{"self-index":0,"balancers":1,
	"request-classes":[{"name":"c","promise-us":1}],"tariffs":[{"name":"t"}]},"discovery":`

// write writes a temporary file and returns its path.
func write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestConfigurationIsReadAnew checks that each call reads the current file, and that an invalid
// file is an error.
func TestConfigurationIsReadAnew(t *testing.T) {
	path := write(t, "config.json", "")
	t.Setenv("RELAY_CONFIG", path)
	for _, c := range []struct{ text, discovery string }{
		{head + `"127.0.0.1:1"}`, "127.0.0.1:1"},
		{head + `"127.0.0.1:2"}`, "127.0.0.1:2"},
		{head + `"nowhere"}`, ""},
		{head, ""},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := configuration()
		if (err == nil) != (c.discovery != "") || err == nil && cfg.Discovery != c.discovery {
			t.Errorf("discovery %q, error %v, want %q", cfg.Discovery, err, c.discovery)
		}
	}
}

// TestReloadReadsTheOperatorsFileToo checks that a reload applies the operators' file, and that an
// invalid one is an error.
func TestReloadReadsTheOperatorsFileToo(t *testing.T) {
	t.Setenv("RELAY_CONFIG", write(t, "config.json", head+`"127.0.0.1:1"}`))
	path := write(t, "operators.toml", "[state]\nevery = \"2s\"\n")
	p := &program{operatorsFile: path, log: quietLog()}
	cfg, err := p.readConfiguration()
	if err != nil || cfg.Restart.SnapshotInterval != 2*time.Second {
		t.Errorf("snapshot interval %v, error %v", cfg.Restart.SnapshotInterval, err)
	}
	if err := os.WriteFile(path, []byte("[state]\nevry = \"2s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := p.readConfiguration(); err == nil ||
		!strings.Contains(err.Error(), path+":2: state.evry: no such setting") {
		t.Errorf("error %v", err)
	}
}

// TestCommandLine checks what each command prints, and its exit code.
func TestCommandLine(t *testing.T) {
	config := write(t, "config.json", head+`"127.0.0.1:1"}`)
	good := write(t, "good.toml", "[state]\nfile = \""+filepath.Join(t.TempDir(), "state")+"\"\n")
	nowhere := write(t, "nowhere.toml", "[state]\nfile = \"/nowhere/at/all/state\"\n")
	bad := write(t, "bad.toml", "[state]\nevery = 3\n")
	c, err := lab.NewConsul(1)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.Register("q-1", "quotes", "127.0.0.1:7000", nil, nil); err != nil {
		t.Fatal(err)
	}
	consul := write(
		t,
		"consul.toml",
		"[register]\nsource = \"consul\"\nservice = \"quotes\"\nagents = [\"127.0.0.1:1\", \""+c.Address+"\"]\n",
	)
	gone := write(
		t,
		"gone.toml",
		"[register]\nsource = \"consul\"\nservice = \"quotes\"\nagents = [\"127.0.0.1:1\"]\n",
	)
	for _, c := range []struct {
		config    string
		args      []string
		code      int
		out, errs string
	}{
		{"", []string{"--help"}, 0, "usage: mothcleat", ""},
		{"", []string{"--version"}, 0, "mothcleat ", ""},
		{"", []string{"--operator", "x"}, 2, "", "unknown flag: --operator"},
		{"", []string{"start"}, 2, "", `"start" is no command`},
		{"", []string{"check"}, 1, "", "neither RELAY_CONFIG nor --operators"},
		{"", nil, 1, "", "RELAY_CONFIG is not set"},
		{config, []string{"check", "--operators", good}, 0, "none yet", ""},
		{config, []string{"check"}, 0, "good for gateway", ""},
		{config, []string{"check", "--operators", consul}, 0, "1 instances of quotes", ""},
		{config, []string{"check", "--operators", gone}, 1, "", "register: agent 127.0.0.1:1: "},
		{config, []string{"check", "--operators", nowhere}, 1, "", "state: "},
		{config, []string{"check", "--operators", bad}, 1, "", bad + ":2: state.every:"},
		{config, []string{"--operators", bad}, 1, "", bad + ":2: state.every:"},
		{config, []string{"--operators", bad + "x"}, 1, "", "no such file"},
		{bad, []string{"check"}, 1, "", "configuration: "},
	} {
		t.Setenv("RELAY_CONFIG", c.config)
		var out, errs bytes.Buffer
		code := execute(c.args, &out, &errs)
		if code != c.code || !strings.Contains(out.String(), c.out) ||
			!strings.Contains(errs.String(), c.errs) {
			t.Errorf("%q: exit code %d, stdout %q, stderr %q", c.args, code, out.String(), errs.String())
		}
		if c.code != 0 && strings.Count(errs.String(), "\n") != 1 {
			t.Errorf("%q: stderr %q is not one line", c.args, errs.String())
		}
	}
}

// TestSignalWhileHotRestartIsOff checks that a signal for a hot restart only writes a log line if
// hot restart is off.
func TestSignalWhileHotRestartIsOff(t *testing.T) {
	var lines bytes.Buffer
	p := &program{log: logTo(&lines)}
	signals, handedOver := make(chan os.Signal, 1), make(chan struct{})
	signals <- syscall.SIGUSR2
	close(signals)
	p.serveHotRestarts(signals, handedOver)
	select {
	case <-handedOver:
		t.Error("the process handed over although hot restart is off")
	default:
	}
	if !strings.Contains(lines.String(), "it is off") {
		t.Errorf("log %q, want a line with \"it is off\"", lines.String())
	}
}
