// Package exporter is the work of the duty that exports the fleet's use: it collects the gateways' closed
// periods, writes them to files, and has the fleet agree that they count.
package exporter

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

	"mothcleat/agree"
	"mothcleat/exports"
	"mothcleat/internal/election"
	"mothcleat/internal/failpoint"
	"mothcleat/internal/fleetlink"
	"mothcleat/internal/fleetpb"
)

// Exporter exports one shard.
type Exporter struct {
	Dir    string // of the files, the same for all who may hold the duty
	Shard  int
	Shards int
	Every  time.Duration
	Client *fleetlink.Client
	Log    *slog.Logger
}

const (
	askWithin     = 3 * time.Second
	collectWithin = 2 * time.Second // from one gateway
	mostRows      = 200_000         // of a file; what is left comes with the next
)

// Work does the duty until its context ends.
func (e *Exporter) Work(ctx context.Context, t *election.Tenure) {
	tick := time.NewTicker(e.Every)
	defer tick.Stop()
	tidied := false
	members := e.Client.Members(agree.MembershipQuery{Scope: agree.ScopeMembers, Retired: true})
	for {
		err := e.round(ctx, t, members, &tidied)
		if err != nil && (ctx.Err() == nil || errors.Is(err, errRefused)) {
			e.Log.Warn("fleet: export", "duty", t.Duty, "term", t.Term, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

var errRefused = errors.New("refused")

// round collects and writes once.
func (e *Exporter) round(ctx context.Context, t *election.Tenure, members *fleetlink.Members, tidied *bool) error {
	ctx, cancel := context.WithTimeout(ctx, max(e.Every, askWithin))
	defer cancel()
	var done exports.View
	if err := ask(ctx, e.Client, exports.MachineName, &done); err != nil {
		return err
	}
	all, err := listOf(ctx, members)
	if err != nil {
		return err
	}
	if !*tidied {
		if err := e.tidy(t, &done); err != nil {
			return err
		}
		*tidied = true
	}
	b := newBook(&done)
	for _, m := range all {
		if m.Address == "" || exports.ShardOf(m.ID, e.Shards) != e.Shard || b.rows > mostRows {
			continue
		}
		b.note(m.ID, append(slices.Clone(m.Retired), m.Boot))
		if err := e.collect(ctx, m, b); err != nil {
			e.Log.Debug("fleet: export: not heard", "gateway", m.ID, "error", err)
		}
	}
	failpoint.At("export-collected")
	if b.rows == 0 && len(b.spans) == 0 && len(b.gaps) == 0 && len(b.seen) == 0 {
		return nil
	}
	if !t.Holds() {
		return nil // what was collected is collected by the next owner
	}
	op := exports.Op{Shards: e.Shards, Gaps: b.gaps, Seen: b.seen, Duty: t.Duty, Term: t.Term}
	if len(b.spans) > 0 {
		f, err := e.write(t, b)
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
	// Not bound to the duty: what becomes of the file is to be known also by an owner that is one no more.
	word, stop := context.WithTimeout(context.WithoutCancel(ctx), askWithin)
	defer stop()
	if raw, err = e.Client.Do(word, exports.MachineName, raw); err != nil {
		return err // the file counts or does not: the next round's marks tell, and a later owner tidies
	}
	failpoint.At("export-after-agree")
	var res exports.Result
	if err := json.Unmarshal(raw, &res); err != nil {
		return err
	}
	if !res.OK {
		if op.File != nil {
			_ = os.Remove(filepath.Join(e.Dir, op.File.Name)) // it never counts
		}
		return fmt.Errorf("%w: %s", errRefused, res.Why)
	}
	return nil
}

// listOf gives the members as they are agreed now.
func listOf(ctx context.Context, members *fleetlink.Members) ([]agree.MemberAt, error) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	return members.List(ctx)
}

func ask(ctx context.Context, c *fleetlink.Client, machine string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	raw, err := c.Ask(ctx, machine, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

// book is what one round has collected.
type book struct {
	marks map[string]map[string]exports.Mark // by id and boot
	text  bytes.Buffer
	csv   *csv.Writer
	rows  int
	units float64
	spans []exports.Span
	gaps  []exports.Gap
	seen  []exports.Boot
}

func newBook(done *exports.View) *book {
	b := &book{marks: map[string]map[string]exports.Mark{}}
	for _, m := range done.Marks {
		if b.marks[m.ID] == nil {
			b.marks[m.ID] = map[string]exports.Mark{}
		}
		b.marks[m.ID][m.Boot] = m
	}
	b.csv = csv.NewWriter(&b.text)
	_ = b.csv.Write([]string{"gateway", "boot", "period", "begun_us", "ended_us", "customer", "units"})
	return b
}

// note puts boots of a gateway on record that are not yet.
func (b *book) note(id string, boots []uint64) {
	for _, boot := range boots {
		text := exports.BootText(boot)
		if _, ok := b.marks[id][text]; ok {
			continue
		}
		if b.marks[id] == nil {
			b.marks[id] = map[string]exports.Mark{}
		}
		b.marks[id][text] = exports.Mark{ID: id, Boot: text}
		b.seen = append(b.seen, exports.Boot{ID: id, Boot: text})
	}
}

// collect asks one gateway for its closed periods.
func (e *Exporter) collect(ctx context.Context, m agree.MemberAt, b *book) error {
	ctx, cancel := context.WithTimeout(ctx, collectWithin)
	defer cancel()
	had := map[uint64]uint64{}
	for boot, mark := range b.marks[m.ID] {
		if n, err := strconv.ParseUint(boot, 16, 64); err == nil {
			had[n] = mark.Period
		}
	}
	heard := map[string]bool{}
	err := e.Client.Collect(ctx, m.ID, m.Address, had, func(p *fleetpb.Part) error {
		if p.Id != m.ID {
			return fmt.Errorf("%s answers for %s", p.Id, m.ID)
		}
		heard[exports.BootText(p.Boot)] = true
		return b.add(p)
	})
	if !errors.Is(err, io.EOF) {
		return err // what came is whole, period by period
	}
	// A boot that is over, and that its own folder knows nothing more of: the folder was lost.
	for boot, mark := range b.marks[m.ID] {
		if !mark.Last && mark.Gap == "" && !heard[boot] && boot != exports.BootText(m.Boot) {
			b.gaps = append(b.gaps, exports.Gap{ID: m.ID, Boot: boot, After: mark.Period,
				Why: "the gateway has come back without its counts of that boot"})
		}
	}
	return nil
}

// add takes a part in, if it is the next one of its boot.
func (b *book) add(p *fleetpb.Part) error {
	boot := exports.BootText(p.Boot)
	last := b.marks[p.Id][boot].Period
	i := slices.IndexFunc(b.spans, func(s exports.Span) bool { return s.ID == p.Id && s.Boot == boot })
	if i >= 0 {
		last = b.spans[i].To
	}
	if p.Period <= last {
		return nil
	}
	if p.Period != last+1 {
		return fmt.Errorf("%s/%s: period %d comes after %d", p.Id, boot, p.Period, last)
	}
	if i < 0 {
		b.spans = append(b.spans, exports.Span{ID: p.Id, Boot: boot, From: p.Period})
		i = len(b.spans) - 1
	}
	b.spans[i].To, b.spans[i].Last = p.Period, p.Last
	for _, u := range p.Units {
		b.rows++
		b.units += u.Units
		if err := b.csv.Write([]string{p.Id, boot, strconv.FormatUint(p.Period, 10), strconv.FormatInt(p.Begun, 10), strconv.FormatInt(p.Ended, 10),
			fmt.Sprintf("%016x", u.Customer), strconv.FormatFloat(u.Units, 'g', -1, 64)}); err != nil {
			return err
		}
	}
	return nil
}

// prefix begins the names of a shard's files.
func (e *Exporter) prefix() string { return fmt.Sprintf("use-%03d-", e.Shard) }

// write puts a round's rows into a file that does not count yet. Its name holds term and digest: no two owners
// write the same one.
func (e *Exporter) write(t *election.Tenure, b *book) (*exports.File, error) {
	b.csv.Flush()
	sum := sha256.Sum256(b.text.Bytes())
	f := &exports.File{Duty: t.Duty, Term: t.Term, SHA256: hex.EncodeToString(sum[:]), Rows: b.rows, Units: b.units, Spans: b.spans}
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

// tidy removes what earlier owners wrote that never came to count. Under this term nobody else can make it count any
// more, and what counts is known from after the term began.
func (e *Exporter) tidy(t *election.Tenure, done *exports.View) error {
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
		oldest = done.Files[0].Term // older ones are not listed any more
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

// Verify holds the files of a folder against what was agreed: those that count have to be there as they were agreed. It
// gives the sums of what counts by customer, and the files that are there and do not count.
func Verify(dir string, agreed *exports.View) (units map[uint64]float64, loose []string, err error) {
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
