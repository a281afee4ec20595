package lab

import (
	"encoding/json"
	"slices"
	"time"
)

// Figures is what a run comes to; its JSON is a lab command's last line.
type Figures struct {
	Command string         `json:"command"`
	Seed    uint64         `json:"seed"`
	Seconds float64        `json:"seconds"`
	Broken  map[Rule]int   `json:"broken"`
	Why     []string       `json:"why,omitempty"` // the first breaches, and promises not kept
	OK      bool           `json:"ok"`
	Asked   int            `json:"asked"` // first tries
	InTime  int            `json:"served_in_time"`
	Late    int            `json:"served_late"`
	Refused int            `json:"refused"` // first tries that ended so, after all retries
	Failed  int            `json:"failed"`
	P50     float64        `json:"p50_ms"` // of those served, from when they were asked
	P99     float64        `json:"p99_ms"`
	Service float64        `json:"service"` // worth served in time / worth asked, inside the quotas
	Taken   int            `json:"taken"`
	Once    int            `json:"answered_once"`
	Killed  int            `json:"killed_unanswered"`
	Crossed int            `json:"crossed"`
	Over    float64        `json:"over_quota_units"`
	Extra   map[string]any `json:"-"` // a command's own figures; they stand beside the others
}

// Figure audits a record and sums it up.
func Figure(command string, seed uint64, s *Site, rec *Record) *Figures {
	v := Audit(s, rec)
	f := &Figures{Command: command, Seed: seed, Seconds: rec.Now().Seconds(), Broken: v.Broken, OK: v.OK(),
		Taken: v.Taken, Once: v.AnsweredOnce, Killed: v.KilledUnanswered, Crossed: v.Crossed, Over: v.OverQuota, Extra: map[string]any{}}
	for _, b := range v.Breaches[:min(len(v.Breaches), 8)] {
		f.Why = append(f.Why, string(b.Rule)+" at "+b.At.Round(time.Millisecond).String()+": "+b.What)
	}
	if v.AttemptsOver > 0 {
		f.miss("tries with more attempts than a request may have")
	}
	var times []time.Duration
	all := outcomes(s, rec)
	for _, o := range all {
		f.Asked++
		switch {
		case o.kind == Served && o.took <= s.Classes[o.try.Class].Aim:
			f.InTime++
		case o.kind == Served:
			f.Late++
		case o.kind == Refused:
			f.Refused++
		default:
			f.Failed++
		}
		if o.kind == Served {
			times = append(times, o.took)
		}
	}
	f.Service = service(s, all)
	f.P50, f.P99 = quantile(times, 0.5), quantile(times, 0.99)
	return f
}

// percentile is a quantile of the time to be served, in milliseconds.
func percentile(s *Site, rec *Record, p float64) float64 {
	var times []time.Duration
	for _, o := range outcomes(s, rec) {
		if o.kind == Served {
			times = append(times, o.took)
		}
	}
	return quantile(times, p)
}

// quantile sorts times and gives one of them, in milliseconds.
func quantile(times []time.Duration, p float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return float64(times[min(len(times)-1, int(p*float64(len(times))))].Microseconds()) / 1000
}

// miss takes note of a promise that was not kept.
func (f *Figures) miss(why string) {
	f.OK = false
	f.Why = append(f.Why, why)
}

// MarshalJSON puts a command's own figures beside those that all have.
func (f *Figures) MarshalJSON() ([]byte, error) {
	type plain Figures
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

// Broke is the figures of a run that could not be played.
func Broke(command string, seed uint64, why error) *Figures {
	f := &Figures{Command: command, Seed: seed, Broken: map[Rule]int{}}
	for _, r := range Rules {
		f.Broken[r] = 0
	}
	f.miss(why.Error())
	return f
}

// Line is the figures as one line of JSON.
func (f *Figures) Line() string {
	b, err := json.Marshal(f)
	if err != nil {
		panic(err) // nothing in it can't be written
	}
	return string(b)
}

// outcome is how a first try ended, with the retries folded into it.
type outcome struct {
	try    *Try
	kind   Kind
	took   time.Duration
	inside bool // its customer's quota held it when it was asked
}

func outcomes(s *Site, rec *Record) []outcome {
	last := map[string]*Try{}
	var firsts []*Try
	for i := range rec.Tries {
		t := &rec.Tries[i]
		if t.ID == t.First {
			firsts = append(firsts, t)
		}
		if l := last[t.First]; l == nil || t.Kind == Served || l.Kind != Served && t.Sent > l.Sent {
			last[t.First] = t
		}
	}
	slices.SortFunc(firsts, func(a, b *Try) int { return int(a.Asked - b.Asked) })
	quotas := map[string]*store{}
	var all []outcome
	for _, t := range firsts {
		p := &s.Plans[t.Plan]
		q := quotas[t.Customer]
		if q == nil {
			q = &store{p.Burst, p.Rate, p.Burst, 0}
			quotas[t.Customer] = q
		}
		o := outcome{try: t, kind: last[t.First].Kind, took: last[t.First].Answered - t.Asked}
		if q.fill(t.Asked); q.level >= t.Units {
			q.level -= t.Units
			o.inside = true
		}
		all = append(all, o)
	}
	return all
}

// service is the worth served in time over the worth asked, inside the quotas.
func service(s *Site, all []outcome) float64 {
	got, asked := 0.0, 0.0
	for _, o := range all {
		if !o.inside {
			continue
		}
		worth := s.Classes[o.try.Class].Worth * s.Plans[o.try.Plan].Price * o.try.Units
		asked += worth
		if o.kind == Served && o.took <= s.Classes[o.try.Class].Aim {
			got += worth
		}
	}
	if asked == 0 {
		return 1
	}
	return got / asked
}
