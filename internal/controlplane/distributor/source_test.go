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

// directRegister is a registry that is asked directly.
type directRegister struct {
	mu    sync.Mutex
	runs  int
	ended int
	moves []string
	mute  bool // it tells nothing
}

func (d *directRegister) Follow() {}

func (d *directRegister) Move(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.moves = append(d.moves, address)
}

func (d *directRegister) Run(ctx context.Context, tell func(registry.Update)) {
	d.count(&d.runs)
	if !d.mute {
		tell(registry.Update{
			Kind:    registry.CompleteList,
			Members: []registry.Member{member("own", registry.Ready)},
		})
	}
	<-ctx.Done()
	d.count(&d.ended)
}

func (d *directRegister) count(n *int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*n++
}

func (d *directRegister) running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.runs - d.ended
}

// updateRecorder records what a source has delivered.
type updateRecorder struct {
	mu      sync.Mutex
	updates []string
}

func (l *updateRecorder) tell(n registry.Update) {
	var text []string
	if n.Kind == registry.CompleteList {
		text = append(text, "whole")
	}
	for _, m := range n.Members {
		text = append(text, fmt.Sprintf("%s=%s", m.ID, m.Phase))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updates = append(l.updates, strings.Join(text, " "))
}

// expect waits until exactly some updates were delivered.
func (l *updateRecorder) expect(t *testing.T, want ...string) {
	t.Helper()
	eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.updates) >= len(want)
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(l.updates, want) {
		t.Fatalf("%q was told instead of %q", l.updates, want)
	}
}

// expectAfter waits until what was delivered after some updates begins with a whole list and comes to some
// members.
func (l *updateRecorder) expectAfter(t *testing.T, skip int, want string) {
	t.Helper()
	eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.updates) <= skip {
			return false
		}
		rest, whole := strings.CutPrefix(strings.Join(l.updates[skip:], " "), "whole ")
		if !whole || strings.Contains(rest, "whole") {
			t.Fatalf("%q was told", l.updates)
		}
		return rest == want
	})
}

func deleted(id string) *distributionpb.Change {
	return &distributionpb.Change{Kind: distributionpb.Kind_KIND_SERVER, Id: id, Deleted: true}
}

// newTestSource starts a source whose registry is asked directly where the fleet's list is not
// heard.
func newTestSource(
	t *testing.T, direct *directRegister, silent time.Duration, file string, s *testServer,
) (*Source, *updateRecorder) {
	t.Helper()
	o := clientOptions("gateway", file, silent, quiet, s)
	source := NewSource(SourceOptions{
		Direct:        func() (registry.Source, error) { return direct, nil },
		Client:        o,
		SourceTimeout: silent,
	})
	list := &updateRecorder{}
	var running sync.WaitGroup
	running.Go(func() { source.Run(context.Background(), list.tell) })
	t.Cleanup(func() {
		source.Close()
		running.Wait()
		o.Link.Close()
	})
	return source, list
}

// silentLong is longer than any wait in a test: nobody watches by itself because the machine is
// busy.
const silentLong = time.Minute

// The list is delivered completely once, and then only what changed, deletions first.
func TestSourceNotifiesOfChanges(t *testing.T) {
	s := newTestServer(t, nil)
	s.agree(set("a", "127.0.0.1:1"), set("b", "127.0.0.1:2"))
	direct := &directRegister{}
	_, list := newTestSource(t, direct, silentLong, "", s)
	list.expect(t, "whole a=Ready b=Ready")
	s.agree(set("b", "127.0.0.1:3"), set("c", "127.0.0.1:2"), deleted("a"))
	list.expect(t, "whole a=Ready b=Ready", "a=Gone b=Ready c=Ready")
	if direct.running() > 0 {
		t.Error("the register is watched though the fleet's list is heard")
	}
}

// A process that hears nothing of the source watches the registry itself, and has the fleet's list
// whole again once it hears; what moves, moves then and later.
func TestSourceFallsBackToDirectWatch(t *testing.T) {
	const silent = 400 * time.Millisecond
	s := newTestServer(t, func(settings *distribution.PublisherSettings) {
		settings.HeartbeatInterval = 20 * time.Millisecond
	})
	direct := &directRegister{}
	source, list := newTestSource(t, direct, silent, "", s)
	list.expect(t, "whole own=Ready")
	source.Move("elsewhere")
	if direct.moves[0] != "elsewhere" {
		t.Errorf("moved to %q", direct.moves)
	}
	s.agree(set("a", "127.0.0.1:1"))
	s.beat()
	list.expect(t, "whole own=Ready", "whole a=Ready")
	eventually(t, func() bool { return direct.running() == 0 })
	s.beSilent(true)
	list.expect(t, "whole own=Ready", "whole a=Ready", "whole own=Ready")
	if len(direct.moves) != 2 || direct.running() != 1 {
		t.Errorf("moved to %q, %d run", direct.moves, direct.running())
	}
	s.agree(set("b", "127.0.0.1:1")) // tells that the source lives, too
	s.beSilent(false)
	list.expectAfter(t, 3, "a=Ready b=Ready") // in one piece, or the change a moment later
	eventually(t, func() bool { return direct.running() == 0 })
}

// A watch of the registry that delivered nothing changes nothing: when the fleet's list is heard again,
// only what has changed meanwhile is delivered.
func TestSilentDirectWatchChangesNothing(t *testing.T) {
	const silent = 400 * time.Millisecond
	s := newTestServer(t, func(settings *distribution.PublisherSettings) {
		settings.HeartbeatInterval = 20 * time.Millisecond
	})
	direct := &directRegister{mute: true}
	_, list := newTestSource(t, direct, silent, "", s)
	s.agree(set("a", "127.0.0.1:1"))
	s.beat()
	list.expect(t, "whole a=Ready")
	s.beSilent(true)
	eventually(t, func() bool { return direct.running() == 1 })
	s.agree(set("b", "127.0.0.1:2"))
	s.beSilent(false)
	eventually(t, func() bool { return direct.running() == 0 })
	list.expect(t, "whole a=Ready", "b=Ready")
}

// What lies on disk counts once a server has said that it is current.
func TestSourceStartsFromDisk(t *testing.T) {
	s := newTestServer(t, nil)
	s.agree(set("a", "127.0.0.1:1"))
	path := t.TempDir() + "/state"
	r := newReplica(t, "gateway", path, quiet, s)
	r.reaches(s)
	r.stop()
	_, list := newTestSource(t, &directRegister{}, silentLong, path, s)
	list.expect(t, "whole a=Ready")
}
