package authz

import (
	"math/rand/v2"
	"runtime"
	"testing"
)

const ms, second = Time(1000), Time(1000_000)

func settings() Settings {
	return Settings{
		Classes: []bool{
			true,
			true,
			false,
		},
		Plans:           []bool{true, true},
		FailOpen:        []bool{false, true, false},
		MaxWait:         200 * ms,
		AllowTTL:        10 * second,
		MaxAllowTTL:     60 * second,
		MaxDenyTTL:      2 * second,
		StaleTTL:        5 * second,
		MaxCalls:        4,
		MaxWaiting:      50,
		MaxCached:       20,
		BreakerFailures: 3,
		BreakerMinOpen:  second,
		BreakerMaxOpen:  8 * second,
	}
}

// rig records what a gate has had done.
type rig struct {
	*Gate
	t       testing.TB
	at      Time
	next    uint64
	out     []call1            // calls without an answer
	decided map[uint64]Verdict // by Decide
	after   map[uint64]Time
	when    map[uint64]Time
	timerAt Time
}

type call1 struct {
	number uint64
	key    Key
}

func (r *rig) Call(number uint64, key Key) { r.out = append(r.out, call1{number, key}) }

func (r *rig) Decide(id uint64, v Verdict, after Time) {
	if _, twice := r.decided[id]; twice {
		r.t.Fatalf("request %d has two verdicts", id)
	}
	r.decided[id], r.after[id], r.when[id] = v, after, r.at
}

func (r *rig) SetTimer(at Time) { r.timerAt = at }

func newRig(t testing.TB, set Settings) *rig {
	r := &rig{
		t:       t,
		at:      100 * second,
		decided: map[uint64]Verdict{},
		after:   map[uint64]Time{},
		when:    map[uint64]Time{},
	}
	g, err := New(set, 7, r)
	if err != nil {
		t.Fatal(err)
	}
	r.Gate = g
	return r
}

func key(n int) Key { return Key{byte(n), byte(n >> 8), byte(n >> 16)} }

// ask asks for a key and returns the request's id and its verdict so far.
func (r *rig) ask(k, class int) (uint64, Verdict) {
	r.next++
	v, _ := r.Request(r.at, Question{ID: r.next, Key: key(k), Class: class, Timeout: 3 * second})
	return r.next, v
}

// answer ends the oldest call.
func (r *rig) answer(v Verdict, maxAge Time) {
	r.t.Helper()
	if len(r.out) == 0 {
		r.t.Fatal("no call is out")
	}
	c := r.out[0]
	r.out = r.out[1:]
	r.HandleAnswer(r.at, c.number, Answer{Verdict: v, MaxAge: maxAge, RetryAfter: second})
}

func (r *rig) want(what string, got, want Verdict) {
	r.t.Helper()
	if got != want {
		r.t.Errorf("%s: verdict %d, want %d", what, got, want)
	}
}

// Equal questions share a call; its answer serves all of them, and then the cache.
func TestEqualQuestionsShareACall(t *testing.T) {
	r := newRig(t, settings())
	var ids []uint64
	for range 5 {
		id, v := r.ask(1, 0)
		r.want("asked", v, Pending)
		ids = append(ids, id)
	}
	if len(r.out) != 1 {
		t.Fatalf("%d calls", len(r.out))
	}
	r.answer(Allow, -1)
	for _, id := range ids {
		r.want("answered", r.decided[id], Allow)
	}
	_, v := r.ask(1, 0)
	r.want("cached", v, Allow)
	_, v = r.ask(9, 2)
	r.want("a class that is not asked about", v, Allow)
	if len(r.out) != 0 {
		t.Error("asked again")
	}
}

// An expired allowance serves while it is revalidated, for a limited time.
func TestStaleWhileRevalidate(t *testing.T) {
	r := newRig(t, settings())
	r.ask(1, 0)
	r.answer(Allow, 2*second)
	r.at += 3 * second
	_, v := r.ask(1, 0)
	r.want("stale", v, Allow)
	_, v = r.ask(1, 0)
	if r.want("stale, asked already", v, Allow); len(r.out) != 1 {
		t.Errorf("%d calls", len(r.out))
	}
	r.answer(Unknown, -1)
	_, v = r.ask(1, 0)
	r.want("the authenticator fails, the old word still holds", v, Allow)
	r.answer(Deny, -1)
	_, v = r.ask(1, 0)
	r.want("denied since", v, Deny)
	r.at += 3 * second
	if _, v = r.ask(1, 0); v != Pending {
		t.Errorf("a denial outlived its time: %d", v)
	}
	r.answer(Allow, 0)
	if _, v = r.ask(1, 0); v != Pending {
		t.Errorf("an answer that must not be kept was: %d", v)
	}
}

// A hung authenticator delays a request for the longest wait and no longer, at most a quarter of
// the client's timeout.
func TestMaxWait(t *testing.T) {
	r := newRig(t, settings())
	id, _ := r.ask(1, 0)
	pass, _ := r.ask(1, 1)
	if r.timerAt != r.at+200*ms {
		t.Errorf("timer in %d", r.timerAt-r.at)
	}
	v, _ := r.Request(r.at, Question{ID: 99, Key: key(1), Timeout: 400 * ms})
	if r.want("short", v, Pending); r.timerAt != r.at+100*ms {
		t.Errorf("timer in %d for a client that waits 400 ms", r.timerAt-r.at)
	}
	r.at += 200 * ms
	r.Timer(r.at)
	r.want("given up", r.decided[id], Unknown)
	r.want("its class passes", r.decided[pass], Allow)
	r.want("short", r.decided[99], Unknown)
	r.answer(Allow, -1) // too late for the request: for the cache only
	_, v = r.ask(1, 0)
	r.want("after a late answer", v, Allow)
	if v, _ := r.Request(r.at, Question{ID: 100, Key: key(2), Timeout: 0}); v != Unknown {
		t.Errorf("no time at all: %d", v)
	}
}

// After failures in a row there are no calls; then one probe at a time, and an answer closes the
// breaker.
func TestBreaker(t *testing.T) {
	r := newRig(t, settings())
	for k := range 3 {
		r.ask(k, 0)
		r.answer(Unknown, -1)
	}
	_, v := r.ask(9, 0)
	r.want("open", v, Unknown)
	_, v = r.ask(9, 1)
	r.want("open, a class that passes", v, Allow)
	for _, wait := range []Time{second, 2 * second, 4 * second, 8 * second, 8 * second} {
		r.at += wait
		trial, v := r.ask(10, 0)
		r.want("trial", v, Pending)
		_, v = r.ask(11, 0)
		r.want("beside the trial", v, Unknown)
		r.answer(Unknown, -1)
		r.want("trial", r.decided[trial], Unknown)
	}
	r.at += 8 * second
	r.ask(10, 0)
	r.answer(Deny, -1)
	if _, v = r.ask(11, 0); v != Pending || r.BreakerOpen() {
		t.Errorf("closed again: %d", v)
	}
}

// Calls and waiting requests are bounded: beyond the bounds a request is decided at once.
func TestBounds(t *testing.T) {
	set := settings()
	set.MaxWaiting = 6
	r := newRig(t, set)
	for k := range 4 {
		_, v := r.ask(k, 0)
		r.want("room", v, Pending)
	}
	_, v := r.ask(4, 0)
	r.want("no call left", v, Unknown)
	for range 2 {
		_, v = r.ask(0, 0)
		r.want("joins", v, Pending)
	}
	_, v = r.ask(0, 0)
	r.want("too many wait", v, Unknown)
	for k := range 1000 { // new tokens all the time
		r.out = nil
		r.HandleAnswer(r.at, r.Gate.lastCall, Answer{Verdict: Allow, MaxAge: -1})
		r.ask(100+k, 0)
	}
	if len(r.cache.entries) > set.MaxCached {
		t.Errorf("%d answers kept", len(r.cache.entries))
	}
}

// Answers of an earlier authenticator are not cached; requests that wait for them are answered.
func TestMovedAuthenticator(t *testing.T) {
	r := newRig(t, settings())
	id, _ := r.ask(1, 0)
	if err := r.Update(r.at, settings(), true); err != nil {
		t.Fatal(err)
	}
	again, v := r.ask(1, 0)
	if r.want("new", v, Pending); len(r.out) != 2 {
		t.Fatalf("%d calls", len(r.out))
	}
	r.answer(Allow, -1)
	r.want("the old one's", r.decided[id], Allow)
	if _, there := r.decided[again]; there {
		t.Error("the old one's answer served a question to the new one")
	}
	r.AllowAll(r.at)
	r.want("switched off", r.decided[again], Allow)
	r.answer(Deny, -1)
	r.Cancel(r.at, again)
}

func TestBadSettings(t *testing.T) {
	for i, change := range []func(*Settings){
		func(s *Settings) { s.MaxWait = 0 }, func(s *Settings) { s.MaxCalls = 0 }, func(s *Settings) { s.FailOpen = nil },
		func(s *Settings) { s.MaxDenyTTL = -1 }, func(s *Settings) { s.BreakerMaxOpen = s.BreakerMinOpen - 1 },
	} {
		set := settings()
		change(&set)
		if _, err := New(set, 1, nil); err == nil {
			t.Errorf("settings %d were taken", i)
		}
		r := newRig(t, settings())
		if err := r.Update(
			r.at,
			set,
			false,
		); err == nil ||
			r.settings.MaxWait != settings().MaxWait {
			t.Errorf("settings %d were taken at a reload", i)
		}
	}
}

// The model knows, for each key, what the authenticator last said and when. Random events must
// never make a gate allow more than that, delay a request beyond its longest wait, or leave one
// without its one verdict.
func TestModel(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 2))
		set := settings()
		set.MaxCalls, set.MaxCached, set.BreakerFailures = 1+rng.IntN(
			5,
		), 1+rng.IntN(
			10,
		), 1+rng.IntN(
			4,
		)
		r := newRig(t, set)
		type word struct {
			verdict  Verdict
			at, last Time
		}
		said := map[Key]word{}
		type asked struct {
			q  Question
			at Time
		}
		var all []*asked
		open := map[uint64]*asked{}
		unknowns := 0 // failures in a row that the model has seen
		check := func(a *asked, v Verdict, at Time) {
			w, there := said[a.q.Key]
			switch {
			case v == Allow && (a.q.Class == 2 || set.FailOpen[a.q.Class]):
			case v == Allow && there && w.verdict == Allow && at <= w.at+w.last+set.StaleTTL:
			case v == Deny && there && w.verdict == Deny && at <= w.at+set.MaxDenyTTL:
			case v == RetryLater && there && w.verdict == RetryLater && at <= w.at+second:
			case v == Unknown && !set.FailOpen[a.q.Class]:
			default:
				t.Fatalf(
					"seed %d: verdict %d for key %v at %d, said %+v",
					seed,
					v,
					a.q.Key[0],
					at,
					w,
				)
			}
		}
		settle := func() {
			for id, v := range r.decided {
				a := open[id]
				if a == nil {
					t.Fatalf("seed %d: a verdict for request %d, which does not wait", seed, id)
				}
				if limit := a.at + min(set.MaxWait, a.q.Timeout/4); r.when[id] > limit {
					t.Fatalf("seed %d: request %d was decided %d late", seed, id, r.when[id]-limit)
				}
				check(a, v, r.when[id])
				delete(open, id)
				delete(r.decided, id)
			}
		}
		for range 300 {
			step := Time(rng.ExpFloat64() * float64(30*ms))
			if rng.IntN(40) == 0 {
				step = Time(rng.Float64() * 8 * float64(second))
			}
			for end := r.at + step; ; { // due timers fire first, at their time
				if r.timerAt == 0 || r.timerAt > end {
					r.at = end
					break
				}
				r.at = max(r.at, r.timerAt)
				r.timerAt = 0
				r.Timer(r.at)
				settle()
			}
			switch x := rng.IntN(10); {
			case x < 6:
				a := &asked{
					q: Question{ID: uint64(len(all) + 1), Key: key(rng.IntN(8)), Class: rng.IntN(3),
						Timeout: Time(rng.Float64() * 3 * float64(second))},
					at: r.at,
				}
				all = append(all, a)
				before := len(r.out)
				v, _ := r.Request(r.at, a.q)
				if v == Pending {
					open[a.q.ID] = a
				} else {
					check(a, v, r.at)
				}
				if len(r.out) > set.MaxCalls || len(r.out) > before+1 {
					t.Fatalf("seed %d: %d calls out", seed, len(r.out))
				}
				for i, c := range r.out {
					for _, d := range r.out[:i] {
						if c.key == d.key {
							t.Fatalf("seed %d: one question out twice", seed)
						}
					}
				}
				if len(r.out) > before && unknowns >= set.BreakerFailures && len(r.out) > 1 &&
					r.breaker.probing &&
					!r.calls[r.out[len(r.out)-1].number].probe {
					t.Fatalf("seed %d: a call beside a trial", seed)
				}
			case x < 9 && len(r.out) > 0:
				i := rng.IntN(len(r.out))
				c := r.out[i]
				r.out = append(r.out[:i:i], r.out[i+1:]...)
				a := Answer{
					Verdict:    Allow + Verdict(rng.IntN(4)),
					MaxAge:     Time(rng.IntN(4)-1) * second,
					RetryAfter: second,
				}
				if a.Verdict == Unknown {
					unknowns++
				} else {
					unknowns = 0
					last := set.AllowTTL
					if a.MaxAge >= 0 {
						last = a.MaxAge
					}
					said[c.key] = word{a.Verdict, r.at, last}
				}
				r.HandleAnswer(r.at, c.number, a)
				r.HandleAnswer(
					r.at,
					c.number,
					Answer{Verdict: Allow},
				) // a second answer is ignored
				for id, waits := range open {
					if _, decided := r.decided[id]; waits.q.Key == c.key && !decided {
						t.Fatalf(
							"seed %d: request %d still waits though its question was answered",
							seed,
							id,
						)
					}
				}
			case len(open) > 0 && x == 9:
				for id := range open {
					r.Cancel(r.at, id)
					delete(open, id)
					break
				}
			}
			settle()
			if len(r.cache.entries) > set.MaxCached || len(r.waiters) != len(open) {
				t.Fatalf(
					"seed %d: %d kept, %d wait, %d should",
					seed,
					len(r.cache.entries),
					len(r.waiters),
					len(open),
				)
			}
		}
		r.at += 10 * second
		r.timerAt = 0
		for range open { // no request is left waiting
			r.when = map[uint64]Time{}
		}
		r.Timer(r.at)
		if len(r.waiters) > 0 {
			t.Fatalf("seed %d: %d wait for ever", seed, len(r.waiters))
		}
	}
}

func BenchmarkCached(b *testing.B) {
	r := newRig(b, settings())
	r.ask(1, 0)
	r.answer(Allow, -1)
	q := Question{Key: key(1), Timeout: second}
	b.ReportAllocs()
	for b.Loop() {
		r.Request(r.at, q)
	}
}

func BenchmarkUncached(b *testing.B) {
	r := newRig(b, settings())
	r.settings.MaxCached = 1000
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		v, _ := r.Request(r.at, Question{ID: uint64(i), Key: key(i), Timeout: second})
		if v == Pending {
			r.HandleAnswer(r.at, r.Gate.lastCall, Answer{Verdict: Allow, MaxAge: -1})
			clear(r.decided)
			r.out = r.out[:0]
		}
	}
}

// BenchmarkCachedAnswerMemory measures the memory of a cached answer.
func BenchmarkCachedAnswerMemory(b *testing.B) {
	const many = 100_000
	for b.Loop() {
		r := newRig(b, settings())
		r.settings.MaxCached = many
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range many {
			r.store(key(i), Answer{Verdict: Allow, MaxAge: -1})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/many, "bytes/answer")
		runtime.KeepAlive(r)
	}
}
