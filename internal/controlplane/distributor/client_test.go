package distributor

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"mothcleat/internal/controlplane/distribution"
)

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(raw []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(raw)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func logTo(b *logBuffer) *slog.Logger { return slog.New(slog.NewTextHandler(b, nil)) }

// A replica that starts from its state on disk receives only the changes since.
func TestRestartNeedsADelta(t *testing.T) {
	s := newTestServer(t, nil)
	for i := range 100 {
		s.apply(setServer(fmt.Sprintf("s%d", i), "127.0.0.1:1"))
	}
	path := filepath.Join(t.TempDir(), "distribution", "state")
	r := newReplica(t, "r", path, discardLog, s)
	r.waitFor(s)
	r.stop()
	s.apply(setServer("s7", "127.0.0.1:2"))
	r = newReplica(t, "r", path, discardLog, s)
	r.waitFor(s)
	if _, changes := r.received(); changes != 1 {
		t.Errorf("received %d changes, want only the one since the restart", changes)
	}
	if counts := r.Status().Counts; counts.Repairs != 0 {
		t.Errorf("the state was fetched by a repair: %+v", counts)
	}
}

// The first state is written immediately, so that a process that is killed soon leaves a state.
func TestFirstStateIsWritten(t *testing.T) {
	s := newTestServer(t, nil)
	s.apply(setServer("s0", "127.0.0.1:1"))
	f := stateFile{filepath.Join(t.TempDir(), "state"), testFleet}
	r := newReplica(t, "r", f.path, discardLog, s)
	r.waitFor(s)
	eventually(t, func() bool {
		state, err := f.load()
		return err == nil && state != nil && state.Position() == s.position()
	})
}

// A state file that is damaged at any byte, belongs to another fleet or can't be decoded is rejected
// with one log line that names it. The replica then fetches the state and replaces the file.
func TestDamagedFilesAreRefused(t *testing.T) {
	s := newTestServer(t, nil)
	s.apply(setServer("s0", "127.0.0.1:1"), setServer("s1", "127.0.0.1:1"))
	whole := distribution.EncodeStateFile(testFleet, s.machine.State())
	files := map[string][]byte{
		"empty":         {},
		"cut":           whole[:len(whole)-3],
		"other fleet":   distribution.EncodeStateFile("other", s.machine.State()),
		"no state file": []byte("something else"),
	}
	for at := range whole {
		damaged := bytes.Clone(whole)
		damaged[at] ^= 1
		files[fmt.Sprintf("byte %d", at)] = damaged
	}
	for name, raw := range files {
		path := filepath.Join(t.TempDir(), "state")
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := stateFile{path, testFleet}.load()
		if err == nil || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", name, err)
		}
	}
	path := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(path, files["cut"], 0o600); err != nil {
		t.Fatal(err)
	}
	var log logBuffer
	r := newReplica(t, "r", path, logTo(&log), s)
	r.waitFor(s)
	if n := strings.Count(log.String(), path); n != 1 {
		t.Errorf("the log names the file %d times, want once:\n%s", n, log.String())
	}
	r.stop()
	state, err := stateFile{path, testFleet}.load()
	if err != nil || state.Position() != s.machine.State().Position() {
		t.Errorf("the file was not replaced: %v", err)
	}
}

// Saving replaces the file and leaves no temporary file behind.
func TestSaveLeavesOneFile(t *testing.T) {
	s := &testServer{t: t, machine: distribution.NewMachine(permissiveFence{})}
	f := stateFile{filepath.Join(t.TempDir(), "distribution", "state"), testFleet}
	for i := range 3 {
		s.apply(setServer("s0", fmt.Sprintf("127.0.0.1:%d", 1+i)))
		if err := f.save(s.machine.State()); err != nil {
			t.Fatal(err)
		}
	}
	state, err := f.load()
	if err != nil || state.Position() != s.machine.State().Position() {
		t.Fatalf("the file does not have the last state: %v", err)
	}
	files, err := os.ReadDir(filepath.Dir(f.path))
	if err != nil || len(files) != 1 {
		t.Errorf("files %v, want one: %v", files, err)
	}
}

// Many replicas that start without a state at the same time are admitted to a resync a few at a
// time, and all receive the state.
func TestManyReplicasStartWithoutState(t *testing.T) {
	const replicas = 100
	s := newTestServer(t, func(settings *distribution.PublisherSettings) {
		settings.MaxResyncs = 2
	})
	for i := range 200 {
		s.apply(setServer(fmt.Sprintf("s%d", i), "127.0.0.1:1"))
	}
	var all []*testReplica
	for i := range replicas {
		all = append(all, newReplica(t, fmt.Sprintf("r%d", i), "", discardLog, s))
	}
	for _, r := range all {
		r.waitFor(s)
	}
	if counts := s.Status().Counts; counts.Resyncs < replicas || counts.Retries == 0 {
		t.Errorf("want at least %d resyncs and some retries: %+v", replicas, counts)
	}
}
