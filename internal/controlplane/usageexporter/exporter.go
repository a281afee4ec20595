// Package usageexporter does the work of the leader that exports usage. It collects the closed
// periods of the gateways, writes them to files, and commits to the replicated state (package
// usageexport) that the files count.
package usageexporter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/failpoint"
)

// Exporter exports the usage of one shard. Its fields must not be changed after Work was called.
type Exporter struct {
	// Dir is the directory of the files. All processes that may lead have to share it.
	Dir string
	// Shard is the index of the shard, from 0.
	Shard int
	// Shards is the number of shards.
	Shards int
	// Interval is the time between two exports.
	Interval time.Duration
	Client   *controlrpc.Client
	Log      *slog.Logger
}

const (
	requestTimeout = 3 * time.Second
	collectTimeout = 2 * time.Second // for each gateway
	// maxRows is the number of rows after which no further gateway is added to a file.
	maxRows = 200_000
)

// errRejected is wrapped by the error for a command that was committed but rejected by the state
// machine.
var errRejected = errors.New("refused")

// Work exports once per e.Interval until the context ends. It is an election.Work.
func (e *Exporter) Work(ctx context.Context, t *election.Tenure) {
	tick := time.NewTicker(e.Interval)
	defer tick.Stop()
	members := e.Client.Members(consensus.MembershipQuery{
		Scope:   consensus.ScopeMembers,
		Retired: true,
	})
	cleanedUp := false
	for {
		err := e.exportOnce(ctx, t, members, &cleanedUp)
		if err != nil && (ctx.Err() == nil || errors.Is(err, errRejected)) {
			e.Log.Warn("fleet: export failed", "duty", t.Role, "term", t.Term, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// exportOnce collects, writes and commits once. If cleanedUp is not set, it first removes the
// abandoned files of former leaders and then sets it.
func (e *Exporter) exportOnce(
	ctx context.Context, t *election.Tenure, members *controlrpc.Members, cleanedUp *bool,
) error {
	ctx, cancel := context.WithTimeout(ctx, max(e.Interval, requestTimeout))
	defer cancel()
	view, err := e.readView(ctx)
	if err != nil {
		return err
	}
	all, err := listMembers(ctx, members)
	if err != nil {
		return err
	}
	if !*cleanedUp {
		if err := e.removeAbandoned(t, view); err != nil {
			return err
		}
		*cleanedUp = true
	}
	b := e.collectAll(ctx, all, view)
	failpoint.At("export-collected")
	if b.empty() {
		return nil
	}
	if !t.Holds() {
		return nil // the next leader collects the same periods again
	}
	command := usageexport.Command{
		Shards: e.Shards,
		Gaps:   b.gaps,
		Seen:   b.seen,
		Role:   t.Role,
		Term:   t.Term,
	}
	if len(b.ranges) > 0 {
		command.File, err = e.writeFile(t, b)
		if err != nil {
			return err
		}
	}
	return e.commit(ctx, &command)
}

// readView returns the committed state of usage exports by a linearizable read.
func (e *Exporter) readView(ctx context.Context) (*usageexport.View, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	raw, err := e.Client.Read(ctx, usageexport.MachineName, nil)
	if err != nil {
		return nil, err
	}
	view := &usageexport.View{}
	return view, json.Unmarshal(raw, view)
}

// listMembers returns the committed members.
func listMembers(ctx context.Context, members *controlrpc.Members) ([]consensus.MemberInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return members.List(ctx)
}

// collectAll collects the closed periods of the shard's gateways. It skips the remaining gateways
// once there are more than maxRows rows.
func (e *Exporter) collectAll(
	ctx context.Context, members []consensus.MemberInfo, view *usageexport.View,
) *batch {
	b := newBatch(view)
	for _, m := range members {
		ofShard := usageexport.ShardOf(m.ID, e.Shards) == e.Shard
		if m.Address == "" || !ofShard || b.rows > maxRows {
			continue
		}
		b.recordIncarnations(m.ID, append(slices.Clone(m.Retired), m.Incarnation))
		if err := e.collect(ctx, m, b); err != nil {
			e.Log.Debug("fleet: could not collect a gateway's usage",
				"gateway", m.ID, "error", err)
		}
	}
	return b
}

// collect requests the closed periods of one gateway. If all were received, it records a gap for
// each ended incarnation of which the gateway has nothing, because the directory with the counts of
// that incarnation was lost.
func (e *Exporter) collect(ctx context.Context, m consensus.MemberInfo, b *batch) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	received := map[string]bool{} // by incarnation
	add := func(p *controlpb.UsagePeriod) error {
		if p.Id != m.ID {
			return fmt.Errorf("received a period of gateway %s from %s", p.Id, m.ID)
		}
		received[usageexport.IncarnationText(p.Incarnation)] = true
		return b.add(p)
	}
	err := e.Client.Collect(ctx, m.ID, m.Address, b.exportedPeriods(m.ID), add)
	if !errors.Is(err, io.EOF) {
		return err // the batch keeps the periods received so far, which have no gaps
	}
	received[usageexport.IncarnationText(m.Incarnation)] = true // this incarnation has not ended
	b.recordGaps(m.ID, received)
	return nil
}

// commit proposes a command and waits until it is committed. If the command is rejected, it removes
// the command's file and returns an error that wraps errRejected.
func (e *Exporter) commit(ctx context.Context, command *usageexport.Command) error {
	failpoint.At("export-before-agree")
	raw, err := json.Marshal(command)
	if err != nil {
		return err
	}
	// The call continues when the leadership ends, because a former leader, too, has to learn
	// whether its file counts.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	raw, err = e.Client.Propose(ctx, usageexport.MachineName, raw)
	if err != nil {
		// It is unknown whether the file counts. The next round reads this from the state, and a
		// later leader removes the file if it does not count.
		return err
	}
	failpoint.At("export-after-agree")
	var result usageexport.Result
	if err := json.Unmarshal(raw, &result); err != nil {
		return err
	}
	if result.OK {
		return nil
	}
	if command.File != nil {
		_ = os.Remove(filepath.Join(e.Dir, command.File.Name)) // it will never count
	}
	return fmt.Errorf("%w: %s", errRejected, result.Reason)
}
