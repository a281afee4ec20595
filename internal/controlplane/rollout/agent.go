// Package rollout implements the part of staged configuration rollouts that runs in each process.
// An Agent renews the version leases of its process, fetches contents by digest from other
// processes, passes them to the items that apply them, and reports which versions are in force. In
// one process of the fleet it also runs the rollout controller, which advances rollouts from stage
// to stage. Package configversion makes the decisions.
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

// Timeouts of calls, and the intervals at which the loops of the agent run.
const (
	queryTimeout   = 2 * time.Second
	commandTimeout = 2 * time.Second
	fetchTimeout   = 5 * time.Second // for one content from one process
	fetchInterval  = 100 * time.Millisecond
	// sourceQueryTimeout is short because earlier sources are kept if the query fails.
	sourceQueryTimeout    = 500 * time.Millisecond
	sourceRefreshInterval = 3 * time.Second
	headReportInterval    = 3 * time.Second
	cleanupInterval       = 10 * time.Minute
)

// Item is one kind of configuration. The package that applies it implements this interface.
type Item interface {
	configstate.Codec
	// Check returns why this process can't apply the content, or nil if it can.
	Check(content *configstate.Version) error
	// Use applies a content that was checked. The terms of the overlapping versions apply as well.
	// nil stands for this process's own configuration. order grows with each call that changes
	// anything. Use calls done on the goroutine that makes the decisions, as soon as decisions
	// follow the new content.
	Use(target *configstate.Version, overlapping []*configstate.Version, order uint64, done func())
}

// Agent takes part in the rollout of versions on behalf of one process. Start it with Run. Its
// other methods may be called from any goroutine. Current and Expired block only on a mutex that is
// held briefly.
type Agent struct {
	config   configversion.Config
	client   *controlrpc.Client
	contents *Contents
	versions *versionCache
	items    map[string]Item // constant after New
	log      *slog.Logger

	// applying serialises apply, so that contents reach an Item in order. It is locked before mu.
	applying sync.Mutex

	mu                 sync.Mutex
	holder             *configversion.Holder
	applied            map[string]appliedRefs // what Item.Use was last called with, by item
	reported           map[string]uint64      // newest version number reported as in force, by item
	reportedRejections map[string]bool        // digests whose rejection was reported
	endedIncarnations  []uint64               // of this process's id
	mustEnrol          bool
	generation         uint64 // number of changes of the versions in force
	fenced             bool   // the fencing state that was last logged

	fetched    fetchCounters
	sourceSet  atomic.Pointer[sourceSet]       // nil until the first successful query
	onChange   func(inForce map[string]uint64) // set by OnChange, may be nil
	headSource func() *auditlog.Head           // set by SetHeadSource, may be nil
}

// New returns an agent without leases. items maps names to items.
func New(config configversion.Config, client *controlrpc.Client, contents *Contents,
	items map[string]Item, log *slog.Logger) *Agent {
	return &Agent{
		config:             config,
		client:             client,
		contents:           contents,
		versions:           newVersionCache(contents),
		items:              items,
		log:                log,
		holder:             configversion.NewHolder(config),
		applied:            map[string]appliedRefs{},
		reported:           map[string]uint64{},
		reportedRejections: map[string]bool{},
		mustEnrol:          true,
		fenced:             true,
	}
}

// SetEndedIncarnations sets the incarnations of this process's id that have ended, so that the
// fleet need not wait for their leases to expire.
func (a *Agent) SetEndedIncarnations(incarnations []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endedIncarnations = incarnations
}

// OnChange sets a function that is called, with the agent's mutex held, after each change of the
// versions in force. Call it before Run.
func (a *Agent) OnChange(changed func(inForce map[string]uint64)) { a.onChange = changed }

// SetHeadSource sets the function that returns the head of this process's audit log, which the
// agent reports to the fleet. Call it before Run.
func (a *Agent) SetHeadSource(head func() *auditlog.Head) { a.headSource = head }

// Run runs the agent's loops until the context ends. It returns after all loops have ended.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){
		a.refreshSources, // once, so that contents can later be fetched without a leader
		a.renewLeases, a.fetchContents, a.reportVersions, a.reportHead, a.cleanUp,
	} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}

// Leave notifies the fleet that this process no longer holds leases.
func (a *Agent) Leave(ctx context.Context) {
	if err := a.execute(ctx, configversion.Command{Kind: configversion.KindLeave}); err != nil {
		a.log.Debug("fleet: versions: the leave command was not committed", "error", err)
	}
}

// fetchCounters counts the contents that were fetched; see FetchStats.
type fetchCounters struct{ full, deltas, repairs atomic.Int64 }

// FetchStats counts the contents that a process fetched, by how they were transferred: in full, as
// the records that changed, or as the buckets of records that differ.
type FetchStats struct {
	Full    int64 `json:"whole"`
	Deltas  int64 `json:"deltas"`
	Repairs int64 `json:"repairs"`
}

// Status describes the versions that a process operates under.
type Status struct {
	Member  lease.Member      `json:"member"`
	InForce map[string]uint64 `json:"in_force"` // version numbers, by item
	// Until is the remaining time of its lease, 0 if it is fenced.
	Until       time.Duration `json:"until"`
	Why         string        `json:"why,omitempty"` // why it is fenced
	FencedCount uint64        `json:"outs"`          // how often it was fenced
	Fetched     FetchStats    `json:"fetched"`       // since the process started
}

// Status returns the current status of this process.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := monotonic.Now()
	status := Status{
		Member:      a.client.Me(),
		InForce:     a.holder.InForce(),
		Why:         a.holder.FencedReason(now),
		FencedCount: a.holder.FencedCount(),
		Fetched: FetchStats{a.fetched.full.Load(), a.fetched.deltas.Load(),
			a.fetched.repairs.Load()},
	}
	if until := a.holder.LeasedUntil(now); until != 0 {
		status.Until = until - now
	}
	return status
}

// repeat calls f at once and then once per interval, until the context ends.
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
