package harness

import (
	"encoding/json"
	"slices"
	"time"
)

// Summary is the result of a run. Its JSON is the last line of a lab command's output.
type Summary struct {
	Command string       `json:"command"`
	Seed    uint64       `json:"seed"`
	Seconds float64      `json:"seconds"`
	Broken  map[Rule]int `json:"broken"`
	// Why are the first breaches and other failures.
	Why []string `json:"why,omitempty"`
	OK  bool     `json:"ok"`
	// Requests counts first tries.
	Requests int `json:"asked"`
	InTime   int `json:"served_in_time"`
	Late     int `json:"served_late"`
	// Refused counts first tries that were rejected after all retries.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// P50 is the median time to be served in milliseconds, from when the request was due.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// Service is the value served in time as a fraction of the value requested, inside quotas.
	Service float64 `json:"service"`
	Taken   int     `json:"taken"`
	Once    int     `json:"answered_once"`
	Killed  int     `json:"killed_unanswered"`
	Crossed int     `json:"crossed"`
	Over    float64 `json:"over_quota_units"`
	// Losses are fractions of the value requested inside quotas, by cause.
	Losses map[string]float64 `json:"losses"`
	// Extra has a command's own figures. They are written beside the fields above.
	Extra map[string]any `json:"-"`
}

// Summarize audits a record and summarizes it.
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
		f.Extra["left_waiting"] = v.AbandonedWaiting
		f.Extra["left_sent_on"] = v.AbandonedForwarded
	}
	if v.PausedUnanswered+v.PausedLateOperations > 0 {
		f.Extra["paused_unanswered"] = v.PausedUnanswered
		f.Extra["paused_late"] = v.PausedLateOperations
	}
	f.Service = Service(s, all)
	f.Losses = Losses(s, rec)
	f.P50 = Quantile(times, 0.5)
	f.P99 = Quantile(times, 0.99)
	return f
}

// Percentile returns a quantile p, from 0 to 1, of the time to be served, in milliseconds.
func Percentile(s *Site, rec *Record, p float64) float64 {
	var times []time.Duration
	for _, o := range Outcomes(s, rec) {
		if o.Kind == Served {
			times = append(times, o.Took)
		}
	}
	return Quantile(times, p)
}

// Quantile sorts times and returns a quantile in milliseconds.
func Quantile(times []time.Duration, p float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	index := min(len(times)-1, int(p*float64(len(times))))
	return float64(times[index].Microseconds()) / 1000
}

// AddFailure adds a failure that is not a breach of a rule.
func (f *Summary) AddFailure(why string) {
	f.OK = false
	f.Why = append(f.Why, why)
}

// MarshalJSON writes the command's own figures beside those that all commands have.
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

// NewSummary returns a summary without breaches, for a command that does not run a single world.
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

// FailedRun returns the summary of a run that could not be carried out.
func FailedRun(command string, seed uint64, why error) *Summary {
	f := NewSummary(command, seed)
	f.AddFailure(why.Error())
	return f
}

// Line returns the summary as one line of JSON.
func (f *Summary) Line() string {
	b, err := json.Marshal(f)
	if err != nil {
		panic(err) // can't happen: all values can be marshalled
	}
	return string(b)
}

// Outcome is how a first try ended, including its retries.
type Outcome struct {
	Try  *Try
	Kind Kind
	Took time.Duration
	// Inside is set if the customer's quota had the units when the try was due.
	Inside bool
}

// Outcomes returns the outcomes of first tries in the order in which they were due.
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

// Service returns the value served in time as a fraction of the value requested, inside quotas.
func Service(s *Site, all []Outcome) float64 {
	served, requested := 0.0, 0.0
	for _, o := range all {
		if !o.Inside {
			continue
		}
		value := s.Classes[o.Try.Class].Value * s.Plans[o.Try.Plan].Price * o.Try.Units
		requested += value
		if o.Kind == Served && o.Took <= s.Classes[o.Try.Class].LatencyTarget {
			served += value
		}
	}
	if requested == 0 {
		return 1
	}
	return served / requested
}

// SentUnits returns how many units were forwarded, inside quotas and beyond them.
func SentUnits(rec *Record) (units float64) {
	received := map[string]bool{}
	for _, a := range rec.Attempts {
		received[a.ID] = true
	}
	for _, t := range rec.Tries {
		if received[t.ID] {
			units += t.Units
		}
	}
	return units
}
