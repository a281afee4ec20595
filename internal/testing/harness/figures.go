package harness

import (
	"encoding/json"
	"slices"
	"time"
)

// Summary is what a run comes to; its JSON is a lab command's last line.
type Summary struct {
	Command  string       `json:"command"`
	Seed     uint64       `json:"seed"`
	Seconds  float64      `json:"seconds"`
	Broken   map[Rule]int `json:"broken"`
	Why      []string     `json:"why,omitempty"` // the first breaches, and promises not kept
	OK       bool         `json:"ok"`
	Requests int          `json:"asked"` // first tries
	InTime   int          `json:"served_in_time"`
	Late     int          `json:"served_late"`
	Refused  int          `json:"refused"` // first tries that ended so, after all retries
	Failed   int          `json:"failed"`
	P50      float64      `json:"p50_ms"` // of those served, from when they were asked
	P99      float64      `json:"p99_ms"`
	// worth served in time / worth asked, inside the quotas
	Service float64            `json:"service"`
	Taken   int                `json:"taken"`
	Once    int                `json:"answered_once"`
	Killed  int                `json:"killed_unanswered"`
	Crossed int                `json:"crossed"`
	Over    float64            `json:"over_quota_units"`
	Losses  map[string]float64 `json:"losses"` // of the worth asked inside the quotas, by cause
	// a command's own figures; they stand beside the others
	Extra map[string]any `json:"-"`
}

// Summarize audits a record and sums it up.
func Summarize(command string, seed uint64, s *Site, rec *Record) *Summary {
	v := Audit(s, rec)
	f := &Summary{Command: command,
		Seed:    seed,
		Seconds: rec.Now().Seconds(),
		Broken:  v.Broken,
		OK:      v.OK(),
		Taken:   v.Taken,
		Once:    v.AnsweredOnce,
		Killed:  v.KilledUnanswered,
		Crossed: v.Crossed,
		Over:    v.OverQuota,
		Extra:   map[string]any{}}
	for _, b := range v.Breaches[:min(len(v.Breaches), 8)] {
		f.Why = append(f.Why,
			string(b.Rule)+" at "+b.At.Round(time.Millisecond).String()+": "+b.What)
	}
	if v.AttemptsOver > 0 {
		f.AddFailure("tries with more attempts than a request may have")
	}
	var times []time.Duration
	all := Outcomes(s, rec)
	for _, o := range all {
		f.Requests++
		switch {
		case o.Kind == Served && o.Took <= s.Classes[o.Try.Class].LatencyTarget:
			f.InTime++
		case o.Kind == Served:
			f.Late++
		case o.Kind == Refused:
			f.Refused++
		default:
			f.Failed++
		}
		if o.Kind == Served {
			times = append(times, o.Took)
		}
	}
	if v.AbandonedWaiting > 0 {
		f.Extra["left_waiting"], f.Extra["left_sent_on"] = v.AbandonedWaiting, v.AbandonedForwarded
	}
	if v.PausedUnanswered+v.PausedLateOperations > 0 {
		f.Extra["paused_unanswered"], f.Extra["paused_late"] = v.PausedUnanswered, v.PausedLateOperations
	}
	f.Service = Service(s, all)
	f.Losses = Losses(s, rec)
	f.P50, f.P99 = Quantile(times, 0.5), Quantile(times, 0.99)
	return f
}

// Percentile is a quantile of the time to be served, in milliseconds.
func Percentile(s *Site, rec *Record, p float64) float64 {
	var times []time.Duration
	for _, o := range Outcomes(s, rec) {
		if o.Kind == Served {
			times = append(times, o.Took)
		}
	}
	return Quantile(times, p)
}

// Quantile sorts times and gives one of them, in milliseconds.
func Quantile(times []time.Duration, p float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[min(len(times)-1, int(p*float64(len(times))))].Microseconds()) / 1000
}

// AddFailure takes note of a promise that was not kept.
func (f *Summary) AddFailure(why string) {
	f.OK = false
	f.Why = append(f.Why, why)
}

// MarshalJSON puts a command's own figures beside those that all have.
func (f *Summary) MarshalJSON() ([]byte, error) {
	type plain Summary
	b, err := json.Marshal((*plain)(f))
	if err != nil || len(f.Extra) == 0 {
		return b, err
	}
	extra, err := json.Marshal(f.Extra)
	if err != nil {
		return nil, err
	}
	return append(append(b[:len(b)-1], ','), extra[1:]...), nil
}

// NewSummary is the figures of a command that plays no single world: nothing is broken yet.
func NewSummary(command string, seed uint64) *Summary {
	f := &Summary{
		Command: command,
		Seed:    seed,
		Broken:  map[Rule]int{},
		OK:      true,
		Extra:   map[string]any{},
	}
	for _, r := range Rules {
		f.Broken[r] = 0
	}
	return f
}

// FailedRun is the figures of a run that could not be played.
func FailedRun(command string, seed uint64, why error) *Summary {
	f := NewSummary(command, seed)
	f.AddFailure(why.Error())
	return f
}

// Line is the figures as one line of JSON.
func (f *Summary) Line() string {
	b, err := json.Marshal(f)
	if err != nil {
		panic(err) // nothing in it can't be written
	}
	return string(b)
}

// Outcome is how a first try ended, with the retries folded into it.
type Outcome struct {
	Try    *Try
	Kind   Kind
	Took   time.Duration
	Inside bool // its customer's quota held it when it was asked
}

// Outcomes are the first tries in the order of their asking.
func Outcomes(s *Site, rec *Record) []Outcome {
	last := map[string]*Try{}
	var firsts []*Try
	for i := range rec.Tries {
		t := &rec.Tries[i]
		if t.ID == t.First {
			firsts = append(firsts, t)
		}
		if l := last[t.First]; l == nil || t.Kind == Served ||
			l.Kind != Served && t.SentAt > l.SentAt {
			last[t.First] = t
		}
	}
	slices.SortFunc(firsts, func(a, b *Try) int { return int(a.RequestedAt - b.RequestedAt) })
	quotas := s.newTokenBuckets()
	var all []Outcome
	for _, t := range firsts {
		l := last[t.First]
		o := Outcome{
			Try:    t,
			Kind:   l.Kind,
			Took:   l.AnsweredAt - t.RequestedAt,
			Inside: quotas.take(t, t.RequestedAt),
		}
		all = append(all, o)
	}
	return all
}

// Service is the worth served in time over the worth asked, inside the quotas.
func Service(s *Site, all []Outcome) float64 {
	got, asked := 0.0, 0.0
	for _, o := range all {
		if !o.Inside {
			continue
		}
		worth := s.Classes[o.Try.Class].Value * s.Plans[o.Try.Plan].Price * o.Try.Units
		asked += worth
		if o.Kind == Served && o.Took <= s.Classes[o.Try.Class].LatencyTarget {
			got += worth
		}
	}
	if asked == 0 {
		return 1
	}
	return got / asked
}

// SentUnits is how many units were sent on, inside the quotas or beyond them.
func SentUnits(rec *Record) (units float64) {
	whole := map[string]bool{}
	for _, a := range rec.Attempts {
		whole[a.ID] = true
	}
	for _, t := range rec.Tries {
		if whole[t.ID] {
			units += t.Units
		}
	}
	return units
}
