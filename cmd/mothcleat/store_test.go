package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mothcleat/internal/storage/store"
)

func TestStoreCommands(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	s, err := store.Open(dir, store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	var b store.Batch
	b.Put([]byte("key"), []byte("a\x00value"))
	if err := s.Commit(&b, store.Durable); err != nil {
		t.Fatal(err)
	}
	run := func(code int, want string, args ...string) {
		t.Helper()
		var out, errs strings.Builder
		if got := execute(
			append([]string{"store"}, args...),
			&out,
			&errs,
		); got != code ||
			!strings.Contains(out.String()+errs.String(), want) {
			t.Errorf("%v: exit code %d, stdout %q, stderr %q", args, got, out.String(), errs.String())
		}
	}
	run(1, "in use", "check", dir)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	run(0, "good: 1 keys", "check", dir)
	run(0, `"key"	"a\x00value"`, "dump", dir)
	run(2, "usage", "check")
	run(2, "usage", "mend", dir)
	run(1, "no such file", "dump", filepath.Join(dir, "nowhere"))
	log := filepath.Join(dir, "0000000000000001.log")
	raw, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)-1] ^= 1
	if err := os.WriteFile(log, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	run(1, "0000000000000001.log: offset 32", "check", dir)
	run(1, "given up", "repair", dir)
	run(0, "good: 0 keys", "check", dir)
	run(1, ".damaged.damaged", "repair", "--from-logs", dir+".damaged")
}
