package rollout

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/stats"

	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/planconfig"
	"mothcleat/internal/plans"
)

const testFleet = "fleet"

// payloadCounter is a stats handler that counts the bytes of all messages that a server sends.
type payloadCounter struct{ sent atomic.Int64 }

func (p *payloadCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}
func (p *payloadCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}
func (p *payloadCounter) HandleConn(context.Context, stats.ConnStats) {}
func (p *payloadCounter) HandleRPC(_ context.Context, event stats.RPCStats) {
	if out, ok := event.(*stats.OutPayload); ok {
		p.sent.Add(int64(out.WireLength))
	}
}

// acceptingTerms accepts all plans and applies none.
type acceptingTerms struct{}

func (acceptingTerms) CheckCatalog(*plans.Catalog) error { return nil }
func (acceptingTerms) UseCatalogs(_ *plans.Catalog, _ []*plans.Catalog, _ uint64, done func()) {
	done()
}

// testAgent is an agent without a control plane. Tests call its fetch methods directly.
type testAgent struct {
	*Agent
	dir    string
	source consensus.MemberInfo // its identity and address as a source
	bytes  *payloadCounter
}

// newTestAgent starts an agent that stores contents in a folder and serves them.
func newTestAgent(t *testing.T, id, dir string) *testAgent {
	t.Helper()
	quiet := slog.New(slog.DiscardHandler)
	client := controlrpc.NewClient(testFleet, lease.Member{ID: id, Incarnation: 1}, "",
		nil, nil, quiet)
	contents := NewContents(dir)
	if err := contents.Create(); err != nil {
		t.Fatal(err)
	}
	items := map[string]Item{planconfig.ItemName: planconfig.New(acceptingTerms{})}
	a := &testAgent{
		Agent: New(configversion.DefaultConfig(), client, contents, items, quiet),
		dir:   dir,
		bytes: &payloadCounter{},
	}
	observer := &controlrpc.Observer{Stats: a.bytes, Wrap: func(c net.Conn) net.Conn { return c }}
	server := controlrpc.NewServer(context.Background(), testFleet, nil, nil,
		observer.ServerOptions()...)
	server.Contents = a.Agent
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		client.Close()
		server.Stop()
		running.Wait()
	})
	a.source = consensus.MemberInfo{
		Member:  lease.Member{ID: id, Incarnation: 1},
		Address: listener.Addr().String(),
	}
	return a
}

// add stores a content as if it had been proposed at this agent.
func (a *testAgent) add(t *testing.T, raw []byte) configversion.Ref {
	t.Helper()
	digest, err := a.contents.Add(raw)
	if err != nil {
		t.Fatal(err)
	}
	return configversion.Ref{Digest: digest, Size: int64(len(raw))}
}

// mustFetch fetches a content from another agent, and returns how many bytes that agent sent.
func (a *testAgent) mustFetch(t *testing.T, ref configversion.Ref, from *testAgent) int64 {
	t.Helper()
	before := from.bytes.sent.Load()
	if err := a.fetchFrom(t.Context(), contentRequest{planconfig.ItemName, ref, a.contents},
		from.source); err != nil {
		t.Fatal(err)
	}
	if _, err := a.contents.Read(ref.Digest); err != nil {
		t.Fatal(err)
	}
	return from.bytes.sent.Load() - before
}

func (a *testAgent) expectFetched(t *testing.T, want FetchStats) {
	t.Helper()
	if got := a.Status().Fetched; got != want {
		t.Errorf("fetched %+v, want %+v", got, want)
	}
}

const testTenants = 5000

// plansFile returns a canonical content in which the first tenants, large in number, have the large
// plan and the others the small one.
func plansFile(t *testing.T, large int) []byte {
	t.Helper()
	return plansFileFrom(t, 0, large)
}

// plansFileFrom is like plansFile, but the tenants are numbered from first.
func plansFileFrom(t *testing.T, first, large int) []byte {
	t.Helper()
	var text strings.Builder
	text.WriteString(
		"[[plan]]\nname = \"large\"\nrate = 2\nburst = 2\n[[plan]]\nname = \"small\"\nrate = 1\nburst = 1\n",
	)
	for i := range testTenants {
		plan := "small"
		if i < large {
			plan = "large"
		}
		fmt.Fprintf(&text, "[[customer]]\nid = \"%016x\"\nplan = %q\n", first+i, plan)
	}
	_, raw, err := configstate.Canonical(planconfig.New(acceptingTerms{}), []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// An agent without contents fetches a content in full. An agent that has the previous version
// fetches only the tenants that changed, also after a restart, and by buckets if the source does
// not have that version.
func TestContentIsFetchedAsDifference(t *testing.T) {
	server := newTestAgent(t, "server", t.TempDir())
	dir := t.TempDir()
	replica := newTestAgent(t, "replica", dir)
	first := server.add(t, plansFile(t, 0))
	if n := replica.mustFetch(t, first, server); n < first.Size {
		t.Errorf("the full content took only %d bytes", n)
	}
	replica.expectFetched(t, FetchStats{Full: 1})
	if n := replica.mustFetch(t, server.add(t, plansFile(t, 1)), server); n > 400 {
		t.Errorf("the delta of one tenant took %d bytes", n)
	}
	replica.expectFetched(t, FetchStats{Full: 1, Deltas: 1})

	restarted := newTestAgent(t, "restarted", dir)
	if n := restarted.mustFetch(t, server.add(t, plansFile(t, 3)), server); n > 600 {
		t.Errorf("the delta of two tenants after a restart took %d bytes", n)
	}
	restarted.expectFetched(t, FetchStats{Deltas: 1})

	otherServer := newTestAgent(t, "other", t.TempDir()) // it never had the replica's contents
	if n := restarted.mustFetch(t, otherServer.add(t, plansFile(t, 4)), otherServer); n > 64<<10 {
		t.Errorf("the buckets took %d bytes", n)
	}
	restarted.expectFetched(t, FetchStats{Deltas: 1, Repairs: 1})
}

// A source that does not have a content answers ErrNoContent. A content with other tenants, one
// that is not in canonical form, and one of an unknown item are fetched in full.
func TestContentIsFetchedInFull(t *testing.T) {
	server, replica := newTestAgent(t, "server",
		t.TempDir()), newTestAgent(t, "replica", t.TempDir())
	replica.add(t, plansFile(t, 0))
	absent := configversion.Ref{Digest: strings.Repeat("0", 64), Size: 3}
	err := replica.fetchFrom(t.Context(),
		contentRequest{planconfig.ItemName, absent, replica.contents}, server.source)
	if !errors.Is(err, controlrpc.ErrNoContent) {
		t.Errorf("a content that the source does not have: %v", err)
	}
	server.add(t, plansFile(t, 0))
	replica.mustFetch(t, server.add(t, plansFileFrom(t, testTenants, 0)), server)
	replica.expectFetched(t, FetchStats{Full: 1})
	replica.mustFetch(t, server.add(t, append([]byte("# by hand\n"), plansFile(t, 1)...)), server)
	replica.expectFetched(t, FetchStats{Full: 2})
	unknown := contentRequest{"unknown", server.add(t, plansFile(t, 2)), replica.contents}
	if err := replica.fetchFrom(t.Context(), unknown, server.source); err != nil {
		t.Errorf("a content of an unknown item: %v", err)
	}
	replica.expectFetched(t, FetchStats{Full: 3})
}

// A damaged base is removed instead of used, and the content is fetched in full.
func TestDamagedBaseIsNotUsed(t *testing.T) {
	server := newTestAgent(t, "server", t.TempDir())
	dir := t.TempDir()
	first := server.add(t, plansFile(t, 0))
	newTestAgent(t, "before", dir).mustFetch(t, first, server)
	path := filepath.Join(dir, first.Digest)
	if err := os.WriteFile(path, plansFile(t, 9), 0o600); err != nil {
		t.Fatal(err)
	}
	replica := newTestAgent(t, "replica", dir)
	replica.mustFetch(t, server.add(t, plansFile(t, 1)), server)
	replica.expectFetched(t, FetchStats{Full: 1})
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("stat of the damaged file: %v", err)
	}
}

// wrongDeltaContents serves deltas that don't lead to the requested content.
type wrongDeltaContents struct {
	*Agent
	delta *controlpb.ContentDelta
}

func (l wrongDeltaContents) Delta(
	*controlpb.ContentDeltaRequest,
) (*controlpb.ContentDeltaResponse, error) {
	return &controlpb.ContentDeltaResponse{Delta: l.delta}, nil
}

// A delta that does not lead to the committed digest is discarded, and the full content is fetched
// from the same source.
func TestWrongDeltaIsDiscarded(t *testing.T) {
	faulty := newTestAgent(t, "faulty", t.TempDir())
	replica := newTestAgent(t, "replica", t.TempDir())
	base := replica.add(t, plansFile(t, 0))
	target := faulty.add(t, plansFile(t, 2))
	server := controlrpc.NewServer(context.Background(), testFleet, nil, nil)
	server.Contents = wrongDeltaContents{
		faulty.Agent, &controlpb.ContentDelta{Base: base.Digest, Digest: target.Digest},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	defer running.Wait()
	defer server.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	source := consensus.MemberInfo{
		Member:  lease.Member{ID: "faulty", Incarnation: 2},
		Address: listener.Addr().String(),
	}
	if err := replica.fetchFrom(
		ctx, contentRequest{planconfig.ItemName, target, replica.contents.Unsynced()}, source,
	); err != nil {
		t.Fatal(err)
	}
	replica.expectFetched(t, FetchStats{Full: 1})
	if _, err := replica.contents.Read(target.Digest); err != nil {
		t.Error(err)
	}
}
