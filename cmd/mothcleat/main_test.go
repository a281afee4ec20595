package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// SIGHUP once ended the program, and with it all that it had taken.
func TestHangUpAsksForReload(t *testing.T) {
	control := signals()
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

// Each reading takes the file as it is then; one that is broken is an error.
func TestConfigurationIsReadAnew(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("RELAY_CONFIG", path)
	const head = `{"listen":"127.0.0.1:0","seed":"01","settings":{"self-index":0,"balancers":1,
		"request-classes":[{"name":"c","promise-us":1}],"tariffs":[{"name":"t"}]},"discovery":`
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
