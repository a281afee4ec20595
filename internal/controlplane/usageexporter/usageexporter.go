// Package usageexporter is the work of the leader that exports usage: it collects the closed
// periods of the gateways, writes them to files, and commits to the replicated state (package
// usageexport) that they count.
package usageexporter

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/controlrpc"
	"mothcleat/internal/controlplane/election"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/failpoint"
)

// Exporter exports one shard. Its fields must not be changed once Work was called.
type Exporter struct {
	Dir      string // folder of the files, the same for all who may lead
	Shard    int
	Shards   int
	Interval time.Duration
	Client   *controlrpc.Client
	Log      *slog.Logger
}

const (
	requestTimeout = 3 * time.Second
	collectTimeout = 2 * time.Second // for one gateway
	maxRows        = 200_000         // of a file; further rows go into the next
)

// Work exports every e.Every until its context ends. It is an election.Work.
func (e *Exporter) Work(ctx context.Context, t *election.Tenure) {
	tick := time.NewTicker(e.Interval)
	defer tick.Stop()
	tidied := false
	members := e.Client.Members(consensus.MembershipQuery{
		Scope:   consensus.ScopeMembers,
		Retired: true,
	})
	for {
		err := e.exportOnce(ctx, t, members, &tidied)
		if err != nil && (ctx.Err() == nil || errors.Is(err, errRefused)) {
			e.Log.Warn("fleet: export", "duty", t.Role, "term", t.Term, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

var errRefused = errors.New("refused")

// exportOnce collects, writes and commits once.
func (e *Exporter) exportOnce(
	ctx context.Context, t *election.Tenure, members *controlrpc.Members, tidied *bool,
) error {
	ctx, cancel := context.WithTimeout(ctx, max(e.Interval, requestTimeout))
	defer cancel()
	var done usageexport.View
	if err := queryState(ctx, e.Client, usageexport.MachineName, &done); err != nil {
		return err
	}
	all, err := listMembers(ctx, members)
	if err != nil {
		return err
	}
	if !*tidied {
		if err := e.removeAbandoned(t, &done); err != nil {
			return err
		}
		*tidied = true
	}
	b := newBatch(&done)
	for _, m := range all {
		if m.Address == "" || usageexport.ShardOf(m.ID, e.Shards) != e.Shard || b.rows > maxRows {
			continue
		}
		b.recordIncarnations(m.ID, append(slices.Clone(m.Retired), m.Incarnation))
		if err := e.collect(ctx, m, b); err != nil {
			e.Log.Debug("fleet: export: not heard", "gateway", m.ID, "error", err)
		}
	}
	failpoint.At("export-collected")
	if b.rows == 0 && len(b.ranges) == 0 && len(b.gaps) == 0 && len(b.seen) == 0 {
		return nil
	}
	if !t.Holds() {
		return nil // the next leader collects it again
	}
	op := usageexport.Command{
		Shards: e.Shards,
		Gaps:   b.gaps,
		Seen:   b.seen,
		Role:   t.Role,
		Term:   t.Term,
	}
	if len(b.ranges) > 0 {
		f, err := e.writeFile(t, b)
		if err != nil {
			return err
		}
		op.File = f
	}
	failpoint.At("export-before-agree")
	raw, err := json.Marshal(op)
	if err != nil {
		return err
	}
	// Not bound to the leadership: a former leader, too, has to learn whether its file counts.
	word, stop := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer stop()
	if raw, err = e.Client.Propose(word, usageexport.MachineName, raw); err != nil {
		// the file may count or not: the next round's marks tell, and a later leader tidies
		return err
	}
	failpoint.At("export-after-agree")
	var res usageexport.Result
	if err := json.Unmarshal(raw, &res); err != nil {
		return err
	}
	if !res.OK {
		if op.File != nil {
			_ = os.Remove(filepath.Join(e.Dir, op.File.Name)) // it never counts
		}
		return fmt.Errorf("%w: %s", errRefused, res.Reason)
	}
	return nil
}

// listMembers returns the members as committed now.
func listMembers(ctx context.Context, members *controlrpc.Members) ([]consensus.MemberInfo, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return members.List(ctx)
}

// queryState reads the state of a machine by a linearizable read.
func queryState(ctx context.Context, c *controlrpc.Client, machine string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	raw, err := c.Read(ctx, machine, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// batch is what one round collected.
type batch struct {
	progress map[string]map[string]usageexport.Progress // by id and boot
	text     bytes.Buffer
	csv      *csv.Writer
	rows     int
	units    float64
	ranges   []usageexport.PeriodRange
	gaps     []usageexport.Gap
	seen     []usageexport.Incarnation
}

func newBatch(done *usageexport.View) *batch {
	b := &batch{progress: map[string]map[string]usageexport.Progress{}}
	for _, m := range done.Progress {
		if b.progress[m.ID] == nil {
			b.progress[m.ID] = map[string]usageexport.Progress{}
		}
		b.progress[m.ID][m.Incarnation] = m
	}
	b.csv = csv.NewWriter(&b.text)
	_ = b.csv.Write([]string{
		"gateway", "boot", "period", "begun_us", "ended_us", "customer", "units",
	})
	return b
}

// recordIncarnations lists incarnations of a gateway that have no mark yet.
func (b *batch) recordIncarnations(id string, boots []uint64) {
	for _, boot := range boots {
		text := usageexport.IncarnationText(boot)
		if _, ok := b.progress[id][text]; ok {
			continue
		}
		if b.progress[id] == nil {
			b.progress[id] = map[string]usageexport.Progress{}
		}
		b.progress[id][text] = usageexport.Progress{ID: id, Incarnation: text}
		b.seen = append(b.seen, usageexport.Incarnation{ID: id, Incarnation: text})
	}
}

// collect asks one gateway for its closed periods.
func (e *Exporter) collect(ctx context.Context, m consensus.MemberInfo, b *batch) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	had := map[uint64]uint64{}
	for boot, mark := range b.progress[m.ID] {
		if n, err := strconv.ParseUint(boot, 16, 64); err == nil {
			had[n] = mark.Period
		}
	}
	heard := map[string]bool{}
	err := e.Client.Collect(ctx, m.ID, m.Address, had, func(p *controlpb.Part) error {
		if p.Id != m.ID {
			return fmt.Errorf("%s answers for %s", p.Id, m.ID)
		}
		heard[usageexport.IncarnationText(p.Incarnation)] = true
		return b.add(p)
	})
	if !errors.Is(err, io.EOF) {
		return err // the periods received so far are complete
	}
	// An incarnation that ended, and of which the folder of its gateway has nothing: the folder was
	// lost.
	for boot, mark := range b.progress[m.ID] {
		if !mark.Last && mark.Gap == "" && !heard[boot] &&
			boot != usageexport.IncarnationText(m.Incarnation) {
			b.gaps = append(b.gaps, usageexport.Gap{ID: m.ID, Incarnation: boot, After: mark.Period,
				Reason: "the gateway has come back without its counts of that boot"})
		}
	}
	return nil
}

// add adds a period, if it is the next one of its incarnation.
func (b *batch) add(p *controlpb.Part) error {
	boot := usageexport.IncarnationText(p.Incarnation)
	last := b.progress[p.Id][boot].Period
	i := slices.IndexFunc(b.ranges, func(s usageexport.PeriodRange) bool {
		return s.ID == p.Id && s.Incarnation == boot
	})
	if i >= 0 {
		last = b.ranges[i].To
	}
	if p.Period <= last {
		return nil
	}
	if p.Period != last+1 {
		return fmt.Errorf("%s/%s: period %d comes after %d", p.Id, boot, p.Period, last)
	}
	if i < 0 {
		b.ranges = append(b.ranges,
			usageexport.PeriodRange{ID: p.Id, Incarnation: boot, From: p.Period})
		i = len(b.ranges) - 1
	}
	b.ranges[i].To, b.ranges[i].Last = p.Period, p.Last
	for _, u := range p.Units {
		b.rows++
		b.units += u.Units
		if err := b.csv.Write([]string{p.Id, boot, strconv.FormatUint(p.Period, 10), strconv.FormatInt(p.Begun, 10), strconv.FormatInt(p.Ended, 10),
			fmt.Sprintf("%016x", u.Customer),
			strconv.FormatFloat(u.Units, 'g', -1, 64)}); err != nil {
			return err
		}
	}
	return nil
}

// prefix returns the prefix of the names of the shard's files.
func (e *Exporter) prefix() string { return fmt.Sprintf("use-%03d-", e.Shard) }

// writeFile writes the rows of a round to a file that does not count yet. Its name has the term and
// the digest, so that no two leaders write the same file.
func (e *Exporter) writeFile(t *election.Tenure, b *batch) (*usageexport.File, error) {
	b.csv.Flush()
	sum := sha256.Sum256(b.text.Bytes())
	f := &usageexport.File{
		Role:   t.Role,
		Term:   t.Term,
		SHA256: hex.EncodeToString(sum[:]),
		Rows:   b.rows,
		Units:  b.units,
		Ranges: b.ranges,
	}
	f.Name = fmt.Sprintf("%s%010d-%s.csv", e.prefix(), t.Term, f.SHA256[:16])
	path := filepath.Join(e.Dir, f.Name)
	out, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	_, err = out.Write(b.text.Bytes())
	failpoint.At("export-amid-write")
	if err := errors.Join(err, out.Sync(), out.Close()); err != nil {
		_ = os.Remove(path + ".new")
		return nil, err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return nil, err
	}
	dir, err := os.Open(e.Dir)
	if err != nil {
		return nil, err
	}
	return f, errors.Join(dir.Sync(), dir.Close())
}

// removeAbandoned removes files of former leaders that never came to count. Under this term no
// other process can make them count any more, and the view of those that count was read after the
// term began.
func (e *Exporter) removeAbandoned(t *election.Tenure, done *usageexport.View) error {
	counts := map[string]bool{}
	for _, f := range done.Files {
		counts[f.Name] = true
	}
	entries, err := os.ReadDir(e.Dir)
	if err != nil {
		return err
	}
	oldest := uint64(0)
	if len(done.Files) > 0 && uint64(len(done.Files)) < done.Count {
		oldest = done.Files[0].Term // older files are no longer listed
	}
	for _, entry := range entries {
		rest, ok := strings.CutPrefix(entry.Name(), e.prefix())
		term, _, cut := strings.Cut(rest, "-")
		n, err := strconv.ParseUint(term, 10, 64)
		if !ok || !cut || err != nil || counts[entry.Name()] || n >= t.Term || n <= oldest {
			continue
		}
		if err := os.Remove(filepath.Join(e.Dir, entry.Name())); err != nil {
			return err
		}
	}
	return nil
}

// Verify checks the files of a folder against the committed view: those that count have to be there
// with their digests. It returns the units by tenant of the files that count, and the names of
// files that do not.
func Verify(
	dir string, agreed *usageexport.View,
) (units map[uint64]float64, loose []string, err error) {
	units = map[uint64]float64{}
	counts := map[string]bool{}
	for _, f := range agreed.Files {
		counts[f.Name] = true
		raw, err := os.ReadFile(filepath.Join(dir, f.Name))
		if err != nil {
			return nil, nil, err
		}
		if sum := sha256.Sum256(raw); hex.EncodeToString(sum[:]) != f.SHA256 {
			return nil, nil, fmt.Errorf("%s: not as it was agreed", f.Name)
		}
		rows, err := csv.NewReader(bytes.NewReader(raw)).ReadAll()
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", f.Name, err)
		}
		for _, row := range rows[1:] {
			customer, err1 := strconv.ParseUint(row[5], 16, 64)
			n, err2 := strconv.ParseFloat(row[6], 64)
			if err := errors.Join(err1, err2); err != nil {
				return nil, nil, fmt.Errorf("%s: %w", f.Name, err)
			}
			units[customer] += n
		}
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, err
	}
	for _, e := range entries {
		if !counts[e.Name()] {
			loose = append(loose, e.Name())
		}
	}
	return units, loose, nil
}
