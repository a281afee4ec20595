// Package rollout is a process's side of the staged rollout of configuration versions. An Agent
// renews the version leases of this process, fetches contents by digest from other processes,
// passes them to the items that apply them, and reports what is in force. In one process of the
// fleet it is also the rollout controller, which moves rollouts from stage to stage. Package
// configversion makes the decisions.
package rollout

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/configstate"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/monotonic"
)

// Timeouts of calls, and the periods at which the agent's loops run.
const (
	queryTimeout   = 2 * time.Second
	commandTimeout = 2 * time.Second
	fetchTimeout   = 5 * time.Second // for one content from one process
	fetchInterval  = 100 * time.Millisecond
	// Short, as earlier sources are kept without an answer.
	sourceQueryTimeout    = 500 * time.Millisecond
	sourceRefreshInterval = 3 * time.Second
	headReportInterval    = 3 * time.Second
	cleanupInterval       = 10 * time.Minute
)

// Item is one kind of configuration, implemented by the package that applies it.
type Item interface {
	configstate.Codec
	// Check returns an error that says why this process can't apply the content, or nil if it can.
	Check(content *configstate.Version) error
	// Use applies a content that was checked. The terms of overlapping versions bind as well. nil
	// stands for what this process's own configuration has. order grows with each call that changes
	// anything. Use calls done, on the goroutine that makes the decisions, as soon as these are by
	// the new content.
	Use(target *configstate.Version, overlapping []*configstate.Version, order uint64, done func())
}

// Agent is one process's side of the rollout of versions. Start it with Run; its other methods may
// be called from any goroutine. Current and Expired wait for nothing but a mutex that is held
// briefly.
type Agent struct {
	config   configversion.Config
	client   *controlrpc.Client
	contents *Contents
	versions *versionCache
	items    map[string]Item // constant after New
	log      *slog.Logger

	// applying serialises apply, so that contents reach an Item in their order. It is locked before
	// mu.
	applying sync.Mutex

	mu                 sync.Mutex
	holder             *configversion.Holder
	applied            map[string]appliedRefs // what was last passed to Item.Use, by item
	reported           map[string]uint64      // newest number reported as in force, by item
	reportedRejections map[string]bool        // digests whose rejection was reported
	endedIncarnations  []uint64               // of this process's id
	mustEnrol          bool
	generation         uint64 // counts the changes of what is in force
	fenced             bool   // as last logged

	fetched    fetchCounters
	sourceSet  atomic.Pointer[sourceSet]       // nil until first asked for
	onChange   func(inForce map[string]uint64) // set by OnChange, may be nil
	recordHead func() *auditlog.Head           // set by SetHeadSource, may be nil
}

// New returns an agent without leases. items maps the names of items to what applies them.
func New(r configversion.Config, client *controlrpc.Client, contents *Contents,
	items map[string]Item,
	log *slog.Logger) *Agent {
	return &Agent{
		config:             r,
		client:             client,
		contents:           contents,
		versions:           newVersionCache(contents),
		items:              items,
		log:                log,
		holder:             configversion.NewHolder(r),
		applied:            map[string]appliedRefs{},
		reported:           map[string]uint64{},
		reportedRejections: map[string]bool{},
		mustEnrol:          true,
		fenced:             true,
	}
}

// SetEndedIncarnations sets the incarnations of this process's id that have ended: nothing has to
// wait for their leases to expire.
func (a *Agent) SetEndedIncarnations(incarnations []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endedIncarnations = incarnations
}

// OnChange sets a function that is called, with the agent's mutex held, after each change of what
// is in force. Call it before Run.
func (a *Agent) OnChange(changed func(inForce map[string]uint64)) { a.onChange = changed }

// SetHeadSource sets the function that returns the head of this process's audit log, which the
// agent reports to the fleet. Call it before Run.
func (a *Agent) SetHeadSource(head func() *auditlog.Head) { a.recordHead = head }

// Run runs the agent's loops until the context ends. It returns when all of them have ended.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		a.refreshSources, // once, so that contents can be fetched later without a leader
		a.renewLeases, a.fetchContents, a.reportVersions, a.reportHead, a.cleanUp,
	} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Leave tells the fleet that this process holds no leases any more.
func (a *Agent) Leave(ctx context.Context) {
	if err := a.execute(ctx, configversion.Command{Kind: configversion.KindLeave}); err != nil {
		a.log.Debug("fleet: versions: leaving was not committed", "error", err)
	}
}

// fetchCounters counts the contents that were fetched.
type fetchCounters struct{ full, deltas, repairs atomic.Int64 }

// FetchStats counts how contents came to a process: in full, by the records that changed, or by the
// buckets of records that differ.
type FetchStats struct {
	Full    int64 `json:"whole"`
	Deltas  int64 `json:"deltas"`
	Repairs int64 `json:"repairs"`
}

// Status describes what this process operates under.
type Status struct {
	Member  lease.Member      `json:"member"`
	InForce map[string]uint64 `json:"in_force"` // version numbers, by item
	// Remaining time of its lease; 0 if it is fenced.
	Until       time.Duration `json:"until"`
	Why         string        `json:"why,omitempty"` // reason for being fenced
	FencedCount uint64        `json:"outs"`          // how often it was fenced
	Fetched     FetchStats    `json:"fetched"`       // since the process started
}

// Status returns what this process operates under now.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := monotonic.Now()
	h := Status{
		Member:      a.client.Me(),
		InForce:     a.holder.InForce(),
		Why:         a.holder.FencedReason(now),
		FencedCount: a.holder.FencedCount(),
		Fetched: FetchStats{a.fetched.full.Load(), a.fetched.deltas.Load(),
			a.fetched.repairs.Load()},
	}
	if until := a.holder.LeasedUntil(now); until != 0 {
		h.Until = until - now
	}
	return h
}

// repeat calls f at once and then at every interval, until the context ends.
func repeat(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
