//go:build !nofleet

package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/replica"
	"mothcleat/internal/storage/store"
)

func TestFleetCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "fleet")
	table := "[fleet]\non = true\nname = \"f\"\nlisten = \"127.0.0.1:0\"\nfolder = \"" + dir + "\"\nvoters = [{ name = \"a\", address = \"127.0.0.1:1\" }]\n"
	good, off := write(
		t,
		"good.toml",
		table,
	), write(
		t,
		"off.toml",
		strings.Replace(table, "on = true", "on = false", 1),
	)
	t.Setenv("RELAY_CONFIG", "")
	run := func(code int, want string, args ...string) {
		t.Helper()
		var out, errs strings.Builder
		if got := execute(
			args,
			&out,
			&errs,
		); got != code ||
			!strings.Contains(out.String()+errs.String(), want) {
			t.Errorf("%v: exit code %d, stdout %q, stderr %q", args, got, out.String(), errs.String())
		}
	}
	run(2, "usage", "fleet")
	run(2, "usage", "fleet", "found")
	run(2, "--operators FILE", "fleet", "found", "a")
	run(1, "fleet.on is false", "fleet", "found", "a", "--operators", off)
	run(1, `does not name "b"`, "fleet", "found", "b", "--operators", good)
	run(0, "no voter's folder", "check", "--operators", good)
	run(0, "made, of voter a of f", "fleet", "found", "a", "--operators", good)
	run(1, "a voter's already", "fleet", "found", "a", "--operators", good)
	run(1, "a voter's already", "fleet", "join", "a", "--operators", good)
	run(0, "voter a of f", "check", "--operators", good)
	f, err := replica.OpenStorage(controlplane.LogDir(dir), store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	run(0, "in use", "check", "--operators", good)
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	copied := filepath.Join(filepath.Dir(dir), "copy")
	if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	run(
		1,
		"copied",
		"check",
		"--operators",
		write(t, "copy.toml", strings.Replace(table, dir, copied, 1)),
	)
	run(1, "RELAY_CONFIG is not set", "fleet", "status")
	run(1, "connection refused", "fleet", "status", "--door", "127.0.0.1:1")
	run(2, "at most one customer", "fleet", "budgets", "a", "b")
	var shown strings.Builder
	err = showBudgets(
		[]byte(
			`[{"budget":10,"whole":{"rate":4,"burst":9},"spare":2.5,"held":[{"member":{"id":"n1","boot":7},"part":{"rate":1,"burst":3},"floor":{"rate":0.5,"burst":1},"gone":true}]}]`,
		),
		&shown,
	)
	for _, want := range []string{"000000000000000a", "4.00/s, 9.0", "n1", "1.00/s, 3.0", "gone", "3.00/s, 6.0", "2.5 kept"} {
		if err != nil || !strings.Contains(shown.String(), want) {
			t.Errorf("%v, no %q in %q", err, want, shown.String())
		}
	}
	shown.Reset()
	err = showDistribution(
		[]byte(
			`{"gateway":"n1","server":{"position":{"epoch":3,"revision":41,"digest":"00ff00ff00ff00ff00ff"},"replicas":12,"lag":2},
		"replica":{"position":{"epoch":3,"revision":40,"digest":"11ee"},"records":7,"server":"n2","live":true,"source_age":300000000,"received_bytes":5000}}`,
		),
		&shown,
	)
	for _, want := range []string{"n1\treplica\t3\t40\t11ee", "current, from n2; the register was heard 0.3s ago", "n1\tvoter\t3\t41\t00ff00ff00ff00ff", "12 replicas, the last 2", "7 records, 5000 bytes"} {
		if err != nil || !strings.Contains(shown.String(), want) {
			t.Errorf("%v, no %q in %q", err, want, shown.String())
		}
	}
	run(1, "connection refused", "fleet", "distribution", "--door", "127.0.0.1:1")
	run(2, "unknown flag", "fleet", "status", "--dor", "x")
}
