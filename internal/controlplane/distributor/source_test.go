package distributor

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributionpb"
	"mothcleat/internal/dataplane/registry"
)

// fakeRegistry is a registry.Source that watches no registry. It delivers one list.
type fakeRegistry struct {
	mu     sync.Mutex
	runs   int
	ended  int
	moves  []string
	silent bool // Run delivers nothing
}

func (f *fakeRegistry) Follow() {}

func (f *fakeRegistry) Move(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moves = append(f.moves, address)
}

func (f *fakeRegistry) Run(ctx context.Context, notify func(registry.Update)) {
	f.count(&f.runs)
	if !f.silent {
		notify(registry.Update{
			Kind:    registry.CompleteList,
			Members: []registry.Member{newMember("own", registry.Ready)},
		})
	}
	<-ctx.Done()
	f.count(&f.ended)
}

func (f *fakeRegistry) count(n *int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*n++
}

func (f *fakeRegistry) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs - f.ended
}

// updateRecorder records what a source has delivered.
type updateRecorder struct {
	mu      sync.Mutex
	updates []string
}

func (r *updateRecorder) record(update registry.Update) {
	var text []string
	if update.Kind == registry.CompleteList {
		text = append(text, "whole")
	}
	for _, m := range update.Members {
		text = append(text, fmt.Sprintf("%s=%s", m.ID, m.Phase))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updates = append(r.updates, strings.Join(text, " "))
}

// expect waits until as many updates as wanted were delivered, and compares them.
func (r *updateRecorder) expect(t *testing.T, want ...string) {
	t.Helper()
	eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.updates) >= len(want)
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Equal(r.updates, want) {
		t.Fatalf("the updates are %q, want %q", r.updates, want)
	}
}

// expectAfter waits until the updates after the first skip ones consist of a complete list and the
// changes after it, and together have the wanted members.
func (r *updateRecorder) expectAfter(t *testing.T, skip int, want string) {
	t.Helper()
	eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if len(r.updates) <= skip {
			return false
		}
		rest, whole := strings.CutPrefix(strings.Join(r.updates[skip:], " "), "whole ")
		if !whole || strings.Contains(rest, "whole") {
			t.Fatalf("the updates are %q, want one complete list after the first %d", r.updates, skip)
		}
		return rest == want
	})
}

// deleteServer returns a change that deletes a server's record.
func deleteServer(id string) *distributionpb.Change {
	return &distributionpb.Change{Kind: distributionpb.Kind_KIND_SERVER, Id: id, Deleted: true}
}

// newTestSource starts a source that uses direct for its own watch of the registry.
func newTestSource(
	t *testing.T, direct *fakeRegistry, sourceTimeout time.Duration, file string, s *testServer,
) (*Source, *updateRecorder) {
	t.Helper()
	o := clientOptions("gateway", file, sourceTimeout, discardLog, s)
	source := NewSource(SourceOptions{
		Direct:        func() (registry.Source, error) { return direct, nil },
		Client:        o,
		SourceTimeout: sourceTimeout,
	})
	list := &updateRecorder{}
	var running sync.WaitGroup
	running.Go(func() { source.Run(context.Background(), list.record) })
	t.Cleanup(func() {
		source.Close()
		running.Wait()
		o.Link.Close()
	})
	return source, list
}

// longSourceTimeout is longer than any wait in a test, so that no source starts its own watch because
// the machine is busy.
const longSourceTimeout = time.Minute

// The list is delivered completely once. After that, only changes are delivered, deletions first.
func TestSourceNotifiesOfChanges(t *testing.T) {
	s := newTestServer(t, nil)
	s.apply(setServer("a", "127.0.0.1:1"), setServer("b", "127.0.0.1:2"))
	direct := &fakeRegistry{}
	_, list := newTestSource(t, direct, longSourceTimeout, "", s)
	list.expect(t, "whole a=Ready b=Ready")
	s.apply(setServer("b", "127.0.0.1:3"), setServer("c", "127.0.0.1:2"), deleteServer("a"))
	list.expect(t, "whole a=Ready b=Ready", "a=Gone b=Ready c=Ready")
	if direct.running() > 0 {
		t.Error("the registry is watched directly though the fleet's list is received")
	}
}

// A process without a sign of the source watches the registry itself. Once the source is active
// again, the fleet's list is delivered completely. Move applies to the running direct watch and to
// later ones.
func TestSourceFallsBackToDirectWatch(t *testing.T) {
	const sourceTimeout = 400 * time.Millisecond
	s := newTestServer(t, func(settings *distribution.PublisherSettings) {
		settings.HeartbeatInterval = 20 * time.Millisecond
	})
	direct := &fakeRegistry{}
	source, list := newTestSource(t, direct, sourceTimeout, "", s)
	list.expect(t, "whole own=Ready")
	source.Move("elsewhere")
	if direct.moves[0] != "elsewhere" {
		t.Errorf("moved to %q", direct.moves)
	}
	s.apply(setServer("a", "127.0.0.1:1"))
	s.startHeartbeats()
	list.expect(t, "whole own=Ready", "whole a=Ready")
	eventually(t, func() bool { return direct.running() == 0 })
	s.setSourceSilent(true)
	list.expect(t, "whole own=Ready", "whole a=Ready", "whole own=Ready")
	if len(direct.moves) != 2 || direct.running() != 1 {
		t.Errorf("moved to %q; %d direct watches are running", direct.moves, direct.running())
	}
	s.apply(setServer("b", "127.0.0.1:1")) // also shows that the source is active
	s.setSourceSilent(false)
	list.expectAfter(t, 3, "a=Ready b=Ready") // in one list, or with b in a later change
	eventually(t, func() bool { return direct.running() == 0 })
}

// After a direct watch that delivered nothing, the receiver still has the fleet's list. So only the
// changes since are delivered when the source is active again.
func TestSilentDirectWatchChangesNothing(t *testing.T) {
	const sourceTimeout = 400 * time.Millisecond
	s := newTestServer(t, func(settings *distribution.PublisherSettings) {
		settings.HeartbeatInterval = 20 * time.Millisecond
	})
	direct := &fakeRegistry{silent: true}
	_, list := newTestSource(t, direct, sourceTimeout, "", s)
	s.apply(setServer("a", "127.0.0.1:1"))
	s.startHeartbeats()
	list.expect(t, "whole a=Ready")
	s.setSourceSilent(true)
	eventually(t, func() bool { return direct.running() == 1 })
	s.apply(setServer("b", "127.0.0.1:2"))
	s.setSourceSilent(false)
	eventually(t, func() bool { return direct.running() == 0 })
	list.expect(t, "whole a=Ready", "b=Ready")
}

// The list on disk is delivered once a server has confirmed that it is current.
func TestSourceStartsFromDisk(t *testing.T) {
	s := newTestServer(t, nil)
	s.apply(setServer("a", "127.0.0.1:1"))
	path := t.TempDir() + "/state"
	r := newReplica(t, "gateway", path, discardLog, s)
	r.waitFor(s)
	r.stop()
	_, list := newTestSource(t, &fakeRegistry{}, longSourceTimeout, path, s)
	list.expect(t, "whole a=Ready")
}
