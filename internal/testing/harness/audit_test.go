package harness

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// good returns a record that breaks no rule. It has n tries of a customer under a ceiling, each
// forwarded once to a warm server and answered.
func good(s *Site, n int) *Record {
	rec := &Record{began: time.Now()}
	rec.ServerStarts = []ServerStart{
		{Server: "a", Cores: 2, Speed: 1}, {Server: "b", Cores: 2, Speed: 1},
	}
	for g := range 2 {
		rec.ProcessEvents = append(rec.ProcessEvents, ProcessEvent{g, Started, 0},
			ProcessEvent{g, Ready, 10 * ms})
	}
	for i := range n {
		at := time.Duration(i+1) * time.Second
		id := fmt.Sprintf("%016x", i)
		t := Try{
			ID:          id,
			First:       id,
			Customer:    "c",
			Plan:        2,
			Class:       i % 2,
			Units:       2,
			RequestedAt: at,
			SentAt:      at,
			Wait:        2 * time.Second,
			AnsweredAt:  at + 200*ms,
			Kind:        Served,
			Answers:     1,
			Value:       ValueOf(id, "a"),
		}
		a := Attempt{
			ID:          id,
			Server:      "a",
			Class:       t.Class,
			Work:        100 * ms,
			FirstByteAt: at + 5*ms,
			ReceivedAt:  at + 5*ms,
			Ran:         true,
			Effect:      true,
		}
		if s.Classes[t.Class].Keyed {
			t.Key, a.Key = "k"+id, "k"+id
		}
		rec.Tries, rec.Attempts = append(rec.Tries, t), append(rec.Attempts, a)
	}
	return rec
}

// again adds a copy of a try's attempt, on a server and later by after.
func again(rec *Record, try int, server string, after time.Duration) *Attempt {
	a := rec.Attempts[try]
	a.Server, a.FirstByteAt, a.ReceivedAt = server, a.FirstByteAt+after, a.ReceivedAt+after
	rec.Attempts = append(rec.Attempts, a)
	return &rec.Attempts[len(rec.Attempts)-1]
}

func TestAuditorPassesAllowedRecords(t *testing.T) {
	s := NewSite(1, 2, 4, 0.5)
	for name, change := range map[string]func(*Record){
		"no change":                             func(*Record) {},
		"an idempotent request forwarded twice": func(r *Record) { again(r, 0, "b", 50*ms) },
		"a keyed request forwarded twice in its window": func(r *Record) {
			again(r, 1, "b", 50*ms).Effect = false
		},
		"forwarded to a draining server within the drain timeout": func(r *Record) {
			r.EndpointUpdates = []EndpointUpdate{
				{0, "a", true, r.Attempts[9].FirstByteAt - 1900*ms},
			}
		},
		"client left while a server ran the request": func(r *Record) {
			x := &r.Tries[3]
			x.Kind, x.Answers, x.AnsweredAt = ClientLeft, 0, 0
			x.ClientLeftAt = r.Attempts[3].ReceivedAt + ms
		},
		"client left just before it was forwarded": func(r *Record) {
			x := &r.Tries[3]
			x.Kind, x.Answers, x.AnsweredAt = ClientLeft, 0, 0
			x.ClientLeftAt = r.Attempts[3].FirstByteAt - 149*ms
		},
		"drained and ready again": func(r *Record) {
			r.EndpointUpdates = []EndpointUpdate{
				{0, "a", true, 100 * ms}, {0, "a", false, 200 * ms},
			}
		},
		"another gateway was notified": func(r *Record) {
			r.EndpointUpdates = []EndpointUpdate{{1, "a", true, 0}}
		},
		"gateway killed during a request": func(r *Record) {
			x := &r.Tries[3]
			x.Kind, x.Answers, x.AnsweredAt, x.Reset = Ended, 0, 0, true
			r.ProcessEvents = append(r.ProcessEvents, ProcessEvent{0, Killed, x.SentAt + 100*ms})
		},
		"gateway killed before, and exited after the try was sent": func(r *Record) {
			x := &r.Tries[3]
			x.Kind, x.Answers, x.AnsweredAt, x.Reset = Ended, 0, 0, true
			r.ProcessEvents = append(r.ProcessEvents, ProcessEvent{0, Killed, x.SentAt - 80*ms},
				ProcessEvent{0, Exited, x.SentAt + ms})
		},
		"connection closed between requests": func(r *Record) {
			x := &r.Tries[3]
			x.Kind, x.Answers, x.AnsweredAt, x.ClosedAt = Ended, 0, 0, x.SentAt+ms
			r.Attempts = slices.Delete(r.Attempts, 3, 4)
		},
		"rejected": func(r *Record) { r.Tries[3].Kind = Refused },
		"announced wait exceeds the time that is left by less than the tolerance": func(r *Record) {
			x, a := &r.Tries[3], &r.Attempts[3]
			a.ToldWait = x.SentAt + x.Wait - a.FirstByteAt + 199*ms
		},
	} {
		rec := good(s, 10)
		change(rec)
		if v := Audit(s, rec); !v.OK() {
			t.Errorf("%s: %v", name, v.Breaches)
		}
	}
}

// Each case breaks one rule on purpose, and the auditor must report this rule and no other.
func TestAuditorCatchesEachRule(t *testing.T) {
	for _, c := range []struct {
		name   string
		rule   Rule
		change func(*Site, *Record)
	}{
		{
			"no answer",
			Lost,
			func(_ *Site, r *Record) {
				x := &r.Tries[3]
				x.Kind, x.Answers, x.AnsweredAt = NoAnswer, 0, 0
			},
		},
		{"two answers", Lost, func(_ *Site, r *Record) { r.Tries[3].Answers = 2 }},
		{
			"answered too late",
			Lost,
			func(_ *Site, r *Record) { x := &r.Tries[3]; x.AnsweredAt = x.SentAt + x.Wait + 60*ms },
		},
		{
			"connection ended",
			Lost,
			func(_ *Site, r *Record) {
				x := &r.Tries[3]
				x.Kind, x.Answers, x.Reset = Ended, 0, true
			},
		},
		{
			"connection closed after the gateway read the request",
			Lost,
			func(_ *Site, r *Record) { x := &r.Tries[3]; x.ClosedAt = x.SentAt + 100*ms },
		},
		{"value made by no server", Lost, func(_ *Site, r *Record) { r.Tries[3].Value = "quote" }},
		{
			"value made for another try",
			Lost,
			func(_ *Site, r *Record) { r.Tries[3].Value = r.Tries[4].Value },
		},
		{"forwarded after the answer", Lost, func(_ *Site, r *Record) { again(r, 2, "b", 400*ms) }},
		{
			"gateway crashed",
			Lost,
			func(_ *Site, r *Record) {
				r.ProcessEvents = append(r.ProcessEvents, ProcessEvent{1, Crashed, time.Second})
			},
		},
		{"another gateway was killed", Lost, func(_ *Site, r *Record) {
			x := &r.Tries[3]
			x.Kind, x.Answers, x.Reset = Ended, 0, true
			r.ProcessEvents = append(r.ProcessEvents, ProcessEvent{1, Killed, x.SentAt + 100*ms})
		}},
		{"gateway killed, and exited long before the try", Lost, func(_ *Site, r *Record) {
			x := &r.Tries[3]
			x.Kind, x.Answers, x.Reset = Ended, 0, true
			r.ProcessEvents = append(r.ProcessEvents, ProcessEvent{0, Killed, x.SentAt - 200*ms},
				ProcessEvent{0, Exited, x.SentAt - 100*ms})
		}},
		{"gateway killed again, only after the try", Lost, func(_ *Site, r *Record) {
			x := &r.Tries[3]
			x.Kind, x.Answers, x.Reset = Ended, 0, true
			r.ProcessEvents = append(r.ProcessEvents, ProcessEvent{
				0, Killed, x.SentAt - 200*ms,
			}, ProcessEvent{0, Exited, x.SentAt - 150*ms},
				ProcessEvent{0, Started, x.SentAt - 100*ms},
				ProcessEvent{0, Killed, x.SentAt + x.Wait + 100*ms})
		}},
		{"forwarded after its client had left", Lost, func(_ *Site, r *Record) {
			x := &r.Tries[3]
			x.Kind, x.Answers, x.AnsweredAt = ClientLeft, 0, 0
			x.ClientLeftAt = r.Attempts[3].FirstByteAt - 151*ms
		}},
		{"forwarded again after its client had left", Lost, func(_ *Site, r *Record) {
			x := &r.Tries[3]
			x.Kind, x.Answers, x.AnsweredAt = ClientLeft, 0, 0
			x.ClientLeftAt = r.Attempts[3].ReceivedAt + ms
			further := r.Attempts[3]
			further.FirstByteAt = x.ClientLeftAt + 151*ms
			further.ReceivedAt = further.FirstByteAt
			further.Rejected, further.Effect = true, false
			r.Attempts = append(r.Attempts, further)
		}},
		{"announced wait exceeds the time that is left", Lost, func(_ *Site, r *Record) {
			x, a := &r.Tries[3], &r.Attempts[3]
			a.ToldWait = x.SentAt + x.Wait - a.FirstByteAt + 201*ms
		}},
		{"effect happened twice", Twice, func(_ *Site, r *Record) { again(r, 1, "b", 50*ms) }},
		{"keyed request forwarded again after its window", Twice, func(s *Site, r *Record) {
			s.Classes[1].DeduplicationWindow = 100 * ms
			again(r, 1, "b", 170*ms).Effect = false
		}},
		{"unsafe request forwarded twice", Twice, func(s *Site, r *Record) {
			s.Classes[0].Unsafe = true
			again(r, 0, "b", 50*ms)
		}},
		{
			"unsafe request rejected after it ran",
			Twice,
			func(s *Site, r *Record) { s.Classes[0].Unsafe, r.Tries[0].Kind = true, Refused },
		},
		{"forwarded to a drained server", Drain, func(_ *Site, r *Record) {
			r.EndpointUpdates = []EndpointUpdate{
				{0, "a", true, r.Attempts[9].FirstByteAt - 2100*ms},
			}
		}},
		{"notified twice of a drain: the first counts", Drain, func(_ *Site, r *Record) {
			r.EndpointUpdates = []EndpointUpdate{
				{0, "a", true, r.Attempts[9].FirstByteAt - 2100*ms},
				{0, "a", true, r.Attempts[9].FirstByteAt - 500*ms},
			}
		}},
		{"server sent too much work", SlowStartOverload, func(_ *Site, r *Record) {
			r.ServerStarts[0].SlowStart = true
			for i := range 30 {
				again(r, 0, "a", time.Duration(i)*ms)
			}
			for i := range r.Attempts {
				r.Attempts[i].Work = 300 * ms
			}
		}},
		{
			"server overloaded",
			SlowStartOverload,
			func(_ *Site, r *Record) { r.ServerStarts[0].OverloadedAt = time.Second },
		},
		{"forwarded over the ceiling", Ceiling, func(_ *Site, r *Record) {
			for i := range r.Tries {
				r.Tries[i].Units = 1000
			}
		}},
	} {
		s := NewSite(1, 2, 4, 0.5)
		rec := good(s, 10)
		c.change(s, rec)
		v := Audit(s, rec)
		for _, r := range Rules {
			if (v.Broken[r] > 0) != (r == c.rule) {
				t.Errorf("%s: broken %v, want %s alone: %v", c.name, v.Broken, c.rule, v.Breaches)
				break
			}
		}
	}
}

// Units that are forwarded beyond a quota are counted.
func TestAuditorCountsUnitsBeyondQuotas(t *testing.T) {
	s := NewSite(1, 2, 4, 0.5)
	rec := good(s, 10)
	s.Plans[2] = Plan{Rate: 1, Burst: 4}
	for i := range rec.Attempts {
		rec.Attempts[i].ReceivedAt = time.Duration(i) * ms
	}
	if v := Audit(s, rec); v.OverQuota != 16 || !v.OK() {
		t.Errorf("%g units beyond the quotas, want 16 of the 20 sent at once; broken rules: %v",
			v.OverQuota, v.Broken)
	}
}

// A summary counts a client's retries as part of the first try.
func TestSummaryFoldsRetries(t *testing.T) {
	s := NewSite(1, 2, 4, 0.5)
	rec := good(s, 2)
	retry := rec.Tries[0]
	rec.Tries[0].Kind, rec.Tries[0].Value = Refused, ""
	retry.ID, retry.SentAt, retry.AnsweredAt = "r", retry.SentAt+500*ms, retry.AnsweredAt+500*ms
	a := rec.Attempts[0]
	a.ID = "r"
	retry.Value = ValueOf("r", "a")
	rec.Tries, rec.Attempts = append(rec.Tries, retry), append(rec.Attempts, a)
	f := Summarize("x", 1, s, rec)
	if !f.OK || f.Requests != 2 || f.InTime != 2 || f.Service != 1 || f.P99 != 700 {
		t.Errorf("unexpected summary: %s", f.Line())
	}
	if !strings.Contains(f.Line(), `"broken":{"ceiling":0,"cold":0,"drain":0,"lost":0,"twice":0}`) {
		t.Errorf("the summary does not list all five rules: %s", f.Line())
	}
}

// The forwarded units are compared with the smaller of requested and bought units, by groups of
// customers. Units forwarded beyond a quota do not count.
func TestGivenOfBought(t *testing.T) {
	s := &Site{Gateways: 3, Classes: NewSite(1, 1, 2, 0.5).Classes, Plans: []Plan{
		{Rate: 1, Burst: 4},
	},
		Customers: []Customer{
			{ID: "a", Use: 0.5, Spread: 2},
			{ID: "b", Use: 0.9, Spread: 3},
			{ID: "c", Use: 2, Spread: 3},
		}}
	rec := &Record{}
	request := func(customer string, at time.Duration, units float64, forwarded bool) {
		id := fmt.Sprint(len(rec.Tries))
		rec.Tries = append(rec.Tries,
			Try{ID: id, First: id, Customer: customer, Units: units, RequestedAt: at, SentAt: at})
		if forwarded {
			rec.Attempts = append(rec.Attempts, Attempt{ID: id, ReceivedAt: at})
		}
	}
	request("a", 0, 2, true)
	request("b", 0, 2, true)
	request("b", time.Second, 2, false)
	for range 4 {
		request("c", 0, 2, true) // two of them beyond the burst of 4
	}
	request("a", 6*time.Second, 2, true) // ends the period: 10 units bought
	got := GivenOfBought(s, rec)
	for group, want := range map[string]Share{UnderQuota: {
		Customers: 1,
		Bought:    4,
		Given:     4,
		Of:        1,
	}, NearQuota: {Customers: 1, Bought: 4, Given: 2, Of: 0.5},
		OverQuota: {Customers: 1, Bought: 8, Given: 4, Of: 0.5}} {
		g := got[group]
		if g.Customers != want.Customers || g.Bought != want.Bought || g.Given != want.Given ||
			g.Of != want.Of {
			t.Errorf("%s: %+v, want %+v", group, *g, want)
		}
	}
	if of := got[NearQuota].BySpread[3].Of; of != 0.5 {
		t.Errorf("group %s, customers of three gateways: share %g, want 0.5", NearQuota, of)
	}
}

// A request inside its quota that was not served in time counts as lost for the reason of its last
// rejection, unless the customer's complete quota lacked the units by then.
func TestLossesHaveACause(t *testing.T) {
	classes := NewSite(1, 1, 2, 0.5).Classes
	s := &Site{
		Gateways:  2,
		Classes:   classes,
		Plans:     []Plan{{Rate: 0.001, Burst: 4, Price: 1}},
		Customers: []Customer{{ID: "c"}},
	}
	for _, c := range []struct {
		name string
		want string
		set  func(rec *Record, t *Try)
	}{
		{"slice", "slice", func(rec *Record, t *Try) { t.RejectReason = "slice" }},
		{"no reason", LossUnexplained, func(rec *Record, t *Try) {}},
		{"load", "load", func(rec *Record, t *Try) { t.RejectReason = "load" }},
		{"spent", LossSpent, func(rec *Record, t *Try) {
			t.RejectReason = "slice"
			rec.Tries = append(rec.Tries,
				Try{ID: "x", First: "w", Customer: "c", Units: 3, SentAt: 10 * ms, Kind: Served})
			rec.Attempts = append(rec.Attempts, Attempt{ID: "x", ReceivedAt: 10 * ms})
		}},
		{"failed", LossFailed, func(rec *Record, t *Try) { t.Kind = Failed }},
		{"killed", LossKilled, func(rec *Record, t *Try) { t.Kind = Ended }},
		{"no port", LossNoPort, func(rec *Record, t *Try) { t.Kind = Unsent }},
		{
			"late",
			LossLate,
			func(rec *Record, t *Try) { t.Kind, t.AnsweredAt = Served, 3*time.Second },
		},
		{"silent", LossNoAnswer, func(rec *Record, t *Try) { t.Kind = NoAnswer }},
	} {
		rec := &Record{
			Tries: []Try{
				{
					ID:         "1",
					First:      "1",
					Customer:   "c",
					Units:      2,
					SentAt:     20 * ms,
					AnsweredAt: 30 * ms,
					Kind:       Refused,
				},
			},
		}
		c.set(rec, &rec.Tries[0])
		got := Losses(s, rec)
		if len(got) != 1 || got[c.want] != 1 {
			t.Errorf("%s: %v, want the whole loss under %q", c.name, got, c.want)
		}
	}
}
