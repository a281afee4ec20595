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

// logBuffer is a log that several goroutines write to.
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

// A replica that starts with its state on disk needs only what changed since.
func TestRestartNeedsADelta(t *testing.T) {
	s := newTestServer(t, nil)
	for i := range 100 {
		s.agree(set(fmt.Sprintf("s%d", i), "127.0.0.1:1"))
	}
	path := filepath.Join(t.TempDir(), "distribution", "state")
	r := newReplica(t, "r", path, quiet, s)
	r.reaches(s)
	r.stop()
	s.agree(set("s7", "127.0.0.1:2"))
	r = newReplica(t, "r", path, quiet, s)
	r.reaches(s)
	if _, changes := r.seen(); changes != 1 {
		t.Errorf("%d changes were told, not the one since", changes)
	}
	if counts := r.Status().Counts; counts.Repairs != 0 {
		t.Errorf("the state was fetched: %+v", counts)
	}
}

// The first state is written at once, for a process that may be killed soon.
func TestFirstStateIsWritten(t *testing.T) {
	s := newTestServer(t, nil)
	s.agree(set("s0", "127.0.0.1:1"))
	f := stateFile{filepath.Join(t.TempDir(), "state"), fleet}
	r := newReplica(t, "r", f.path, quiet, s)
	r.reaches(s)
	eventually(t, func() bool {
		state, err := f.load()
		return err == nil && state != nil && state.Position() == s.position()
	})
}

// A file that is damaged anywhere, of another fleet, or that can't be read is refused with one line
// that names it, and the state is taken anew.
func TestDamagedFilesAreRefused(t *testing.T) {
	s := newTestServer(t, nil)
	s.agree(set("s0", "127.0.0.1:1"), set("s1", "127.0.0.1:1"))
	whole := distribution.EncodeStateFile(fleet, s.machine.State())
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
		_, err := stateFile{path, fleet}.load()
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
	r.reaches(s)
	if n := strings.Count(log.String(), path); n != 1 {
		t.Errorf("the file is named %d times:\n%s", n, log.String())
	}
	r.stop()
	state, err := stateFile{path, fleet}.load()
	if err != nil || state.Position() != s.machine.State().Position() {
		t.Errorf("the file was not replaced: %v", err)
	}
}

// A file is replaced as a whole, and nothing is left beside it.
func TestSaveLeavesOneFile(t *testing.T) {
	s := &testServer{t: t, machine: distribution.NewMachine(openFence{})}
	f := stateFile{filepath.Join(t.TempDir(), "distribution", "state"), fleet}
	for i := range 3 {
		s.agree(set("s0", fmt.Sprintf("127.0.0.1:%d", 1+i)))
		if err := f.save(s.machine.State()); err != nil {
			t.Fatal(err)
		}
	}
	state, err := f.load()
	if err != nil || state.Position() != s.machine.State().Position() {
		t.Fatalf("%v", err)
	}
	files, err := os.ReadDir(filepath.Dir(f.path))
	if err != nil || len(files) != 1 {
		t.Errorf("%v %v", files, err)
	}
}

// Many replicas that come from nothing at once are let in a few at a time, and all get the state.
func TestManyReplicasStartWithoutState(t *testing.T) {
	const replicas = 100
	s := newTestServer(t, func(settings *distribution.PublisherSettings) {
		settings.MaxResyncs = 2
	})
	for i := range 200 {
		s.agree(set(fmt.Sprintf("s%d", i), "127.0.0.1:1"))
	}
	var all []*testReplica
	for i := range replicas {
		all = append(all, newReplica(t, fmt.Sprintf("r%d", i), "", quiet, s))
	}
	for _, r := range all {
		r.reaches(s)
	}
	if counts := s.Status().Counts; counts.Resyncs < replicas || counts.Retries == 0 {
		t.Errorf("%+v", counts)
	}
}
