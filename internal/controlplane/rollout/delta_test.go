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

// payloadBytes counts the bytes of all messages that a server sends.
type payloadBytes struct{ sent atomic.Int64 }

func (p *payloadBytes) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}
func (p *payloadBytes) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}
func (p *payloadBytes) HandleConn(context.Context, stats.ConnStats) {}
func (p *payloadBytes) HandleRPC(_ context.Context, event stats.RPCStats) {
	if out, ok := event.(*stats.OutPayload); ok {
		p.sent.Add(int64(out.WireLength))
	}
}

// anyTerms accepts all plans.
type anyTerms struct{}

func (anyTerms) CheckCatalog(*plans.Catalog) error { return nil }
func (anyTerms) UseCatalogs(_ *plans.Catalog, _ []*plans.Catalog, _ uint64, done func()) {
	done()
}

// testAgent is an agent without a control plane: tests call its methods to fetch.
type testAgent struct {
	*Agent
	dir    string
	source consensus.MemberInfo // where it serves
	bytes  *payloadBytes
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
	items := map[string]Item{planconfig.ItemName: planconfig.New(anyTerms{})}
	a := &testAgent{
		Agent: New(configversion.DefaultConfig(), client, contents, items, quiet),
		dir:   dir,
		bytes: &payloadBytes{},
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

// add stores a content at an agent, as one that was proposed there.
func (a *testAgent) add(t *testing.T, raw []byte) configversion.Ref {
	t.Helper()
	digest, err := a.contents.Add(raw)
	if err != nil {
		t.Fatal(err)
	}
	return configversion.Ref{Digest: digest, Size: int64(len(raw))}
}

// fetches lets an agent fetch a content from another one, and returns how many bytes were sent.
func (a *testAgent) fetches(t *testing.T, ref configversion.Ref, from *testAgent) int64 {
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

func (a *testAgent) wantFetched(t *testing.T, want FetchStats) {
	t.Helper()
	if got := a.Status().Fetched; got != want {
		t.Errorf("fetched %+v, want %+v", got, want)
	}
}

const testTenants = 5000

// planText is a canonical content in which the first tenants have the large plan, the others the
// small one.
func planText(t *testing.T, large int) []byte {
	t.Helper()
	return planTextFrom(t, 0, large)
}

// planTextFrom is planText with tenants that are numbered from a first one.
func planTextFrom(t *testing.T, first, large int) []byte {
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
	_, raw, err := configstate.Canonical(planconfig.New(anyTerms{}), []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A content is fetched in full by an agent that has none, as the tenants that changed by one that
// has the version before, also after a restart, and by buckets where the source has lost that one.
func TestAContentIsFetchedAsItsDifferences(t *testing.T) {
	server := newTestAgent(t, "server", t.TempDir())
	dir := t.TempDir()
	replica := newTestAgent(t, "replica", dir)
	first := server.add(t, planText(t, 0))
	if n := replica.fetches(t, first, server); n < first.Size {
		t.Errorf("in full: %d bytes", n)
	}
	replica.wantFetched(t, FetchStats{Full: 1})
	if n := replica.fetches(t, server.add(t, planText(t, 1)), server); n > 400 {
		t.Errorf("one tenant: %d bytes", n)
	}
	replica.wantFetched(t, FetchStats{Full: 1, Deltas: 1})

	restarted := newTestAgent(t, "restarted", dir)
	if n := restarted.fetches(t, server.add(t, planText(t, 3)), server); n > 600 {
		t.Errorf("two tenants after a restart: %d bytes", n)
	}
	restarted.wantFetched(t, FetchStats{Deltas: 1})

	other := newTestAgent(t, "other", t.TempDir()) // it never had what the replica has
	if n := restarted.fetches(t, other.add(t, planText(t, 4)), other); n > 64<<10 {
		t.Errorf("by buckets: %d bytes", n)
	}
	restarted.wantFetched(t, FetchStats{Deltas: 1, Repairs: 1})
}

// A content that a source does not have is fetched from another one. A content of other tenants, or
// one that is not in canonical form, is fetched in full.
func TestAContentIsFetchedInFullWhereItHasTo(t *testing.T) {
	server, replica := newTestAgent(t, "server",
		t.TempDir()), newTestAgent(t, "replica", t.TempDir())
	replica.add(t, planText(t, 0))
	absent := configversion.Ref{Digest: strings.Repeat("0", 64), Size: 3}
	err := replica.fetchFrom(t.Context(),
		contentRequest{planconfig.ItemName, absent, replica.contents}, server.source)
	if !errors.Is(err, controlrpc.ErrNoContent) {
		t.Errorf("a content that is not there: %v", err)
	}
	server.add(t, planText(t, 0))
	replica.fetches(t, server.add(t, planTextFrom(t, testTenants, 0)), server)
	replica.wantFetched(t, FetchStats{Full: 1})
	replica.fetches(t, server.add(t, append([]byte("# by hand\n"), planText(t, 1)...)), server)
	replica.wantFetched(t, FetchStats{Full: 2})
	unknown := contentRequest{"unknown", server.add(t, planText(t, 2)), replica.contents}
	if err := replica.fetchFrom(t.Context(), unknown, server.source); err != nil {
		t.Errorf("of an item that this program does not know: %v", err)
	}
	replica.wantFetched(t, FetchStats{Full: 3})
}

// A damaged base is removed and not used, and the content is fetched in full.
func TestADamagedBaseIsNotUsed(t *testing.T) {
	server := newTestAgent(t, "server", t.TempDir())
	dir := t.TempDir()
	first := server.add(t, planText(t, 0))
	newTestAgent(t, "before", dir).fetches(t, first, server)
	path := filepath.Join(dir, first.Digest)
	if err := os.WriteFile(path, planText(t, 9), 0o600); err != nil {
		t.Fatal(err)
	}
	replica := newTestAgent(t, "replica", dir)
	replica.fetches(t, server.add(t, planText(t, 1)), server)
	replica.wantFetched(t, FetchStats{Full: 1})
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the damaged file: %v", err)
	}
}

// lyingContents sends deltas that don't lead to the requested content.
type lyingContents struct {
	*Agent
	delta *controlpb.ContentDelta
}

func (l lyingContents) Delta(
	*controlpb.ContentDeltaRequest,
) (*controlpb.ContentDeltaResponse, error) {
	return &controlpb.ContentDeltaResponse{Delta: l.delta}, nil
}

// A delta that does not lead to the committed digest is dropped, and the full content is fetched
// from the same source.
func TestAWrongDeltaIsDropped(t *testing.T) {
	liar := newTestAgent(t, "liar", t.TempDir())
	replica := newTestAgent(t, "replica", t.TempDir())
	base := replica.add(t, planText(t, 0))
	target := liar.add(t, planText(t, 2))
	server := controlrpc.NewServer(context.Background(), testFleet, nil, nil)
	server.Contents = lyingContents{
		liar.Agent, &controlpb.ContentDelta{Base: base.Digest, Digest: target.Digest},
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
		Member:  lease.Member{ID: "liar", Incarnation: 2},
		Address: listener.Addr().String(),
	}
	if err := replica.fetchFrom(
		ctx, contentRequest{planconfig.ItemName, target, replica.contents.Unsynced()}, source,
	); err != nil {
		t.Fatal(err)
	}
	replica.wantFetched(t, FetchStats{Full: 1})
	if _, err := replica.contents.Read(target.Digest); err != nil {
		t.Error(err)
	}
}
