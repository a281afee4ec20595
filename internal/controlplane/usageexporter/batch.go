package usageexporter

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"slices"
	"strconv"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/usageexport"
)

// csvHeader has the names of the columns of an exported file. Consumers of the files rely on them.
var csvHeader = []string{"gateway", "boot", "period", "begun_us", "ended_us", "customer", "units"}

// batch is the usage that one round has collected.
type batch struct {
	progress map[string]map[string]usageexport.Progress // by gateway id and incarnation
	text     bytes.Buffer                               // the content of the file
	csv      *csv.Writer                                // writes to text
	rows     int
	units    float64
	ranges   []usageexport.PeriodRange // the collected periods
	gaps     []usageexport.Gap
	seen     []usageexport.Incarnation // incarnations that the committed state does not list yet
}

// newBatch returns an empty batch that starts from the progress in the committed state.
func newBatch(view *usageexport.View) *batch {
	b := &batch{progress: map[string]map[string]usageexport.Progress{}}
	for _, p := range view.Progress {
		if b.progress[p.ID] == nil {
			b.progress[p.ID] = map[string]usageexport.Progress{}
		}
		b.progress[p.ID][p.Incarnation] = p
	}
	b.csv = csv.NewWriter(&b.text)
	_ = b.csv.Write(csvHeader) // writing to a buffer can't fail
	return b
}

// empty reports whether there is nothing to commit.
func (b *batch) empty() bool {
	return b.rows == 0 && len(b.ranges) == 0 && len(b.gaps) == 0 && len(b.seen) == 0
}

// recordIncarnations adds to seen those of a gateway's incarnations that the committed state does
// not list.
func (b *batch) recordIncarnations(id string, incarnations []uint64) {
	for _, incarnation := range incarnations {
		text := usageexport.IncarnationText(incarnation)
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

// exportedPeriods returns the last exported period of each incarnation of a gateway.
func (b *batch) exportedPeriods(id string) map[uint64]uint64 {
	periods := map[uint64]uint64{}
	for text, progress := range b.progress[id] {
		if incarnation, err := strconv.ParseUint(text, 16, 64); err == nil {
			periods[incarnation] = progress.Period
		}
	}
	return periods
}

// recordGaps adds a gap for each incarnation of a gateway whose last period is not exported and of
// which nothing was received.
func (b *batch) recordGaps(id string, received map[string]bool) {
	for incarnation, progress := range b.progress[id] {
		if progress.Last || progress.Gap != "" || received[incarnation] {
			continue
		}
		b.gaps = append(b.gaps, usageexport.Gap{
			ID:          id,
			Incarnation: incarnation,
			After:       progress.Period,
			Reason:      "the gateway has come back without its counts of that incarnation",
		})
	}
}

// add adds a period. It ignores a period that was exported or added before, and returns an error if
// an earlier period is missing.
func (b *batch) add(p *controlpb.UsagePeriod) error {
	incarnation := usageexport.IncarnationText(p.Incarnation)
	last := b.progress[p.Id][incarnation].Period
	i := slices.IndexFunc(b.ranges, func(r usageexport.PeriodRange) bool {
		return r.ID == p.Id && r.Incarnation == incarnation
	})
	if i >= 0 {
		last = b.ranges[i].To
	}
	if p.Period <= last {
		return nil
	}
	if p.Period != last+1 {
		return fmt.Errorf("%s/%s: received period %d directly after %d",
			p.Id, incarnation, p.Period, last)
	}
	if i < 0 {
		added := usageexport.PeriodRange{ID: p.Id, Incarnation: incarnation, From: p.Period}
		b.ranges = append(b.ranges, added)
		i = len(b.ranges) - 1
	}
	b.ranges[i].To = p.Period
	b.ranges[i].Last = p.Last
	return b.addRows(incarnation, p)
}

// addRows adds one row for each tenant.
func (b *batch) addRows(incarnation string, p *controlpb.UsagePeriod) error {
	for _, u := range p.Units {
		b.rows++
		b.units += u.Units
		err := b.csv.Write([]string{
			p.Id,
			incarnation,
			strconv.FormatUint(p.Period, 10),
			strconv.FormatInt(p.StartedAt, 10),
			strconv.FormatInt(p.EndedAt, 10),
			fmt.Sprintf("%016x", u.Customer),
			strconv.FormatFloat(u.Units, 'g', -1, 64),
		})
		if err != nil {
			return err
		}
	}
	return nil
}
