package allocationtest

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/allocator"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/testing/harness"
	"mothcleat/internal/testing/testcluster"
)

const recordName = "rights"

// allocationPeriod is the period in which a process could use one share of a budget, according to
// the process's own record.
type allocationPeriod struct {
	from, to time.Duration
	who      lease.Member
	share    allocation.Share
}

// Allocations are the joined allocation records of all processes of a fleet.
type Allocations struct {
	Terms   map[uint64][]allocationPeriod // periods by budget
	Changes int                           // number of changed allocations
	Began   map[lease.Member]time.Duration
	First   map[lease.Member]time.Duration // when it first held an allocation
}

// ReadAllocations reads and joins the records of a fleet's gateways.
func ReadAllocations(f *testcluster.Fleet) (*Allocations, error) {
	r := &Allocations{
		Terms: map[uint64][]allocationPeriod{},
		Began: map[lease.Member]time.Duration{},
		First: map[lease.Member]time.Duration{},
	}
	var errs []error
	for _, g := range f.Gateways {
		lines, err := readLines(filepath.Join(g.Dir(), recordName))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			errs = append(errs, err)
		}
		r.join(lines)
	}
	return r, errors.Join(errs...)
}

func readLines(path string) (all []allocator.RecordLine, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, 16<<20)
	for in.Scan() {
		var l allocator.RecordLine
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			return all, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, l)
	}
	return all, in.Err()
}

// join adds the lines of one gateway, whose processes ran one after another.
func (r *Allocations) join(lines []allocator.RecordLine) {
	type key struct {
		who   lease.Member
		shard int
	}
	last := map[key]allocator.RecordLine{}
	held := map[key]map[string]allocation.Allocation{}
	close := func(k key, to time.Duration) {
		l := last[k]
		for id, h := range held[k] {
			n, err := strconv.ParseUint(id, 16, 64)
			if err != nil {
				continue
			}
			add := func(from, end time.Duration, s allocation.Share) {
				if end = min(end, to); end > from && s.Burst > 0 {
					r.Terms[n] = append(r.Terms[n], allocationPeriod{from, end, k.who, s})
				}
			}
			add(l.At, l.Until, h.Total)
			add(max(l.At, l.Until), l.ReservedUntil, h.ReservedMin)
		}
	}
	for _, l := range lines {
		k := key{l.Member, l.Shard}
		if _, ok := r.Began[l.Member]; !ok {
			r.Began[l.Member] = l.At
			// The lock on the folder ensures that the processes before it have exited.
			for other := range last {
				if other.who != l.Member {
					close(other, l.At)
					delete(last, other)
				}
			}
		}
		if _, ok := last[k]; ok {
			close(k, l.At)
		}
		last[k] = l
		if l.Changed {
			for id, h := range l.Allocations {
				if held[k][id] != h {
					r.Changes++
				}
			}
			held[k] = l.Allocations
		}
		if _, ok := r.First[l.Member]; !ok && len(held[k]) > 0 {
			r.First[l.Member] = l.At
		}
	}
	for k := range last {
		close(k, 1<<62)
	}
}

// Sum is by how much the allocations of a budget exceeded it at the worst time.
type Sum struct {
	Budget uint64
	Over   allocation.Share // beyond the budget; at most 0 if never
	At     time.Duration
}

// Sums compares each budget with the shares that all processes together could use at one time. The
// worst sum comes first.
func (r *Allocations) Sums(s *harness.Site) (all []Sum) {
	limits := map[uint64]allocation.Share{}
	for _, c := range s.Customers {
		if id, err := strconv.ParseUint(c.ID, 16, 64); err == nil {
			limits[id] = allocation.Share{Rate: s.Plans[c.Plan].Rate, Burst: s.Plans[c.Plan].Burst}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.Terms)) {
		type edge struct {
			at    time.Duration
			share allocation.Share
			sign  float64
		}
		var edges []edge
		for _, t := range r.Terms[id] {
			edges = append(edges, edge{t.from, t.share, 1}, edge{t.to, t.share, -1})
		}
		slices.SortFunc(
			edges,
			func(a, b edge) int {
				return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sign, b.sign))
			},
		)
		var now, highest Sum
		for _, e := range edges {
			now.Over.Rate += e.sign * e.share.Rate
			now.Over.Burst += e.sign * e.share.Burst
			if now.Over.Burst > highest.Over.Burst || now.Over.Rate > highest.Over.Rate {
				highest.Over, highest.At = allocation.Share{
					Rate:  max(now.Over.Rate, highest.Over.Rate),
					Burst: max(now.Over.Burst, highest.Over.Burst),
				}, e.at
			}
		}
		limit := limits[id]
		highest.Budget = id
		highest.Over.Rate -= limit.Rate
		highest.Over.Burst -= limit.Burst
		all = append(all, highest)
	}
	slices.SortFunc(all, func(a, b Sum) int { return cmp.Compare(b.Over.Burst, a.Over.Burst) })
	return all
}
