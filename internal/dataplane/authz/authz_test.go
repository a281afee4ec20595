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

// harness runs a gate and records its actions.
type harness struct {
	*Gate
	t           testing.TB
	at          Time
	next        uint64
	outstanding []startedCall      // unanswered calls
	decided     map[uint64]Verdict // through Decide
	retryAfter  map[uint64]Time
	decidedAt   map[uint64]Time
	timerAt     Time
}

type startedCall struct {
	number uint64
	key    Key
}

func (r *harness) Call(number uint64, key Key) {
	r.outstanding = append(r.outstanding, startedCall{number, key})
}

func (r *harness) Decide(id uint64, v Verdict, retryAfter Time) {
	if _, twice := r.decided[id]; twice {
		r.t.Fatalf("request %d got a second verdict", id)
	}
	r.decided[id], r.retryAfter[id], r.decidedAt[id] = v, retryAfter, r.at
}

func (r *harness) SetTimer(at Time) { r.timerAt = at }

func newHarness(t testing.TB, set Settings) *harness {
	r := &harness{
		t:          t,
		at:         100 * second,
		decided:    map[uint64]Verdict{},
		retryAfter: map[uint64]Time{},
		decidedAt:  map[uint64]Time{},
	}
	g, err := New(set, 7, r)
	if err != nil {
		t.Fatal(err)
	}
	r.Gate = g
	return r
}

func key(n int) Key { return Key{byte(n), byte(n >> 8), byte(n >> 16)} }

// request makes a request with a key and returns its id and its verdict so far.
func (r *harness) request(k, class int) (uint64, Verdict) {
	r.next++
	v, _ := r.Request(r.at, Question{ID: r.next, Key: key(k), Class: class, Timeout: 3 * second})
	return r.next, v
}

// answer answers the oldest outstanding call.
func (r *harness) answer(v Verdict, maxAge Time) {
	r.t.Helper()
	if len(r.outstanding) == 0 {
		r.t.Fatal("no call is outstanding")
	}
	c := r.outstanding[0]
	r.outstanding = r.outstanding[1:]
	r.HandleAnswer(r.at, c.number, Answer{Verdict: v, MaxAge: maxAge, RetryAfter: second})
}

func (r *harness) want(what string, got, want Verdict) {
	r.t.Helper()
	if got != want {
		r.t.Errorf("%s: verdict %d, want %d", what, got, want)
	}
}

// Equal questions share one call. Its answer decides all of them and is then cached.
func TestEqualQuestionsShareACall(t *testing.T) {
	r := newHarness(t, settings())
	var ids []uint64
	for range 5 {
		id, v := r.request(1, 0)
		r.want("not cached", v, Pending)
		ids = append(ids, id)
	}
	if len(r.outstanding) != 1 {
		t.Fatalf("%d calls, want 1", len(r.outstanding))
	}
	r.answer(Allow, -1)
	for _, id := range ids {
		r.want("answered", r.decided[id], Allow)
	}
	_, v := r.request(1, 0)
	r.want("cached", v, Allow)
	_, v = r.request(9, 2)
	r.want("a class without authorization", v, Allow)
	if len(r.outstanding) != 0 {
		t.Error("a cached or unchecked request caused another call")
	}
}

// An expired Allow is used for a limited time while it is revalidated.
func TestStaleWhileRevalidate(t *testing.T) {
	r := newHarness(t, settings())
	r.request(1, 0)
	r.answer(Allow, 2*second)
	r.at += 3 * second
	_, v := r.request(1, 0)
	r.want("stale", v, Allow)
	_, v = r.request(1, 0)
	if r.want("stale, revalidation outstanding", v, Allow); len(r.outstanding) != 1 {
		t.Errorf("%d calls, want 1", len(r.outstanding))
	}
	r.answer(Unknown, -1)
	_, v = r.request(1, 0)
	r.want("stale, after a failed revalidation", v, Allow)
	r.answer(Deny, -1)
	_, v = r.request(1, 0)
	r.want("after a revalidation that denied", v, Deny)
	r.at += 3 * second
	if _, v = r.request(1, 0); v != Pending {
		t.Errorf("a Deny was used after its TTL: verdict %d", v)
	}
	r.answer(Allow, 0)
	if _, v = r.request(1, 0); v != Pending {
		t.Errorf("an answer that must not be cached was used: verdict %d", v)
	}
}

// An authenticator that does not answer delays a request by no more than the smaller of the
// maximum wait and a quarter of the client's timeout.
func TestMaxWait(t *testing.T) {
	r := newHarness(t, settings())
	id, _ := r.request(1, 0)
	failsOpen, _ := r.request(1, 1)
	if r.timerAt != r.at+200*ms {
		t.Errorf("timer in %d µs", r.timerAt-r.at)
	}
	v, _ := r.Request(r.at, Question{ID: 99, Key: key(1), Timeout: 400 * ms})
	if r.want("short timeout", v, Pending); r.timerAt != r.at+100*ms {
		t.Errorf("timer in %d µs for a client with a timeout of 400 ms", r.timerAt-r.at)
	}
	r.at += 200 * ms
	r.Timer(r.at)
	r.want("maximum wait expired", r.decided[id], Unknown)
	r.want("maximum wait expired, class that fails open", r.decided[failsOpen], Allow)
	r.want("short timeout", r.decided[99], Unknown)
	r.answer(Allow, -1) // too late for the request; only fills the cache
	_, v = r.request(1, 0)
	r.want("after a late answer", v, Allow)
	if v, _ := r.Request(r.at, Question{ID: 100, Key: key(2), Timeout: 0}); v != Unknown {
		t.Errorf("timeout 0: verdict %d", v)
	}
}

// Consecutive failures open the breaker, which stops all calls. After the open time it allows one
// probe at a time, and an answered probe closes it.
func TestBreaker(t *testing.T) {
	r := newHarness(t, settings())
	for k := range 3 {
		r.request(k, 0)
		r.answer(Unknown, -1)
	}
	_, v := r.request(9, 0)
	r.want("open", v, Unknown)
	_, v = r.request(9, 1)
	r.want("open, class that fails open", v, Allow)
	for _, wait := range []Time{second, 2 * second, 4 * second, 8 * second, 8 * second} {
		r.at += wait
		probe, v := r.request(10, 0)
		r.want("probe", v, Pending)
		_, v = r.request(11, 0)
		r.want("during the probe", v, Unknown)
		r.answer(Unknown, -1)
		r.want("probe", r.decided[probe], Unknown)
	}
	r.at += 8 * second
	r.request(10, 0)
	r.answer(Deny, -1)
	if _, v = r.request(11, 0); v != Pending || r.BreakerOpen() {
		t.Errorf("after an answered probe: verdict %d, want Pending and a closed breaker", v)
	}
}

// Calls and waiting requests are limited. Beyond the limits a request is decided at once.
func TestBounds(t *testing.T) {
	set := settings()
	set.MaxWaiting = 6
	r := newHarness(t, set)
	for k := range 4 {
		_, v := r.request(k, 0)
		r.want("within the limits", v, Pending)
	}
	_, v := r.request(4, 0)
	r.want("limit of calls reached", v, Unknown)
	for range 2 {
		_, v = r.request(0, 0)
		r.want("shares a call", v, Pending)
	}
	_, v = r.request(0, 0)
	r.want("limit of waiting requests reached", v, Unknown)
	for k := range 1000 { // a new key each time
		r.outstanding = nil
		r.HandleAnswer(r.at, r.Gate.lastCall, Answer{Verdict: Allow, MaxAge: -1})
		r.request(100+k, 0)
	}
	if len(r.cache.entries) > set.MaxCached {
		t.Errorf("%d answers cached", len(r.cache.entries))
	}
}

// Answers of a previous authenticator are not cached, but decide the requests that wait for them.
func TestMovedAuthenticator(t *testing.T) {
	r := newHarness(t, settings())
	id, _ := r.request(1, 0)
	if err := r.Update(r.at, settings(), true); err != nil {
		t.Fatal(err)
	}
	again, v := r.request(1, 0)
	if r.want("after the move", v, Pending); len(r.outstanding) != 2 {
		t.Fatalf("%d calls, want 2", len(r.outstanding))
	}
	r.answer(Allow, -1)
	r.want("waiting for the old authenticator", r.decided[id], Allow)
	if _, there := r.decided[again]; there {
		t.Error("the old authenticator's answer decided a question to the new one")
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
			t.Errorf("settings %d were accepted", i)
		}
		r := newHarness(t, settings())
		if err := r.Update(
			r.at,
			set,
			false,
		); err == nil ||
			r.settings.MaxWait != settings().MaxWait {
			t.Errorf("settings %d were accepted at a reload", i)
		}
	}
}

// The model records, for each key, the authenticator's last answer and its time. Under random
// events a gate must never allow more than that answer permits, delay a request beyond its maximum
// wait, or leave a request without exactly one verdict.
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
		r := newHarness(t, set)
		type lastAnswer struct {
			verdict Verdict
			at, ttl Time
		}
		answers := map[Key]lastAnswer{}
		type request struct {
			q  Question
			at Time
		}
		var all []*request
		open := map[uint64]*request{}
		unknowns := 0 // consecutive failures that the model has seen
		check := func(a *request, v Verdict, at Time) {
			last, there := answers[a.q.Key]
			switch {
			case v == Allow && (a.q.Class == 2 || set.FailOpen[a.q.Class]):
			case v == Allow && there && last.verdict == Allow && at <= last.at+last.ttl+set.StaleTTL:
			case v == Deny && there && last.verdict == Deny && at <= last.at+set.MaxDenyTTL:
			case v == RetryLater && there && last.verdict == RetryLater && at <= last.at+second:
			case v == Unknown && !set.FailOpen[a.q.Class]:
			default:
				t.Fatalf(
					"seed %d: verdict %d for key %v at %d, last answer %+v",
					seed,
					v,
					a.q.Key[0],
					at,
					last,
				)
			}
		}
		settle := func() {
			for id, v := range r.decided {
				a := open[id]
				if a == nil {
					t.Fatalf("seed %d: a verdict for request %d, which is not waiting", seed, id)
				}
				if limit := a.at + min(set.MaxWait, a.q.Timeout/4); r.decidedAt[id] > limit {
					t.Fatalf("seed %d: request %d was decided %d µs late", seed, id, r.decidedAt[id]-limit)
				}
				check(a, v, r.decidedAt[id])
				delete(open, id)
				delete(r.decided, id)
			}
		}
		for range 300 {
			step := Time(rng.ExpFloat64() * float64(30*ms))
			if rng.IntN(40) == 0 {
				step = Time(rng.Float64() * 8 * float64(second))
			}
			for end := r.at + step; ; { // timers that are due fire first, at their set time
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
				a := &request{
					q: Question{ID: uint64(len(all) + 1), Key: key(rng.IntN(8)), Class: rng.IntN(3),
						Timeout: Time(rng.Float64() * 3 * float64(second))},
					at: r.at,
				}
				all = append(all, a)
				before := len(r.outstanding)
				v, _ := r.Request(r.at, a.q)
				if v == Pending {
					open[a.q.ID] = a
				} else {
					check(a, v, r.at)
				}
				if len(r.outstanding) > set.MaxCalls || len(r.outstanding) > before+1 {
					t.Fatalf("seed %d: %d calls outstanding", seed, len(r.outstanding))
				}
				for i, c := range r.outstanding {
					for _, d := range r.outstanding[:i] {
						if c.key == d.key {
							t.Fatalf("seed %d: two calls outstanding for one question", seed)
						}
					}
				}
				if len(r.outstanding) > before && unknowns >= set.BreakerFailures && len(r.outstanding) > 1 &&
					r.breaker.probing &&
					!r.calls[r.outstanding[len(r.outstanding)-1].number].probe {
					t.Fatalf("seed %d: a call during a probe", seed)
				}
			case x < 9 && len(r.outstanding) > 0:
				i := rng.IntN(len(r.outstanding))
				c := r.outstanding[i]
				r.outstanding = append(r.outstanding[:i:i], r.outstanding[i+1:]...)
				a := Answer{
					Verdict:    Allow + Verdict(rng.IntN(4)),
					MaxAge:     Time(rng.IntN(4)-1) * second,
					RetryAfter: second,
				}
				if a.Verdict == Unknown {
					unknowns++
				} else {
					unknowns = 0
					ttl := set.AllowTTL
					if a.MaxAge >= 0 {
						ttl = a.MaxAge
					}
					answers[c.key] = lastAnswer{a.Verdict, r.at, ttl}
				}
				r.HandleAnswer(r.at, c.number, a)
				r.HandleAnswer(
					r.at,
					c.number,
					Answer{Verdict: Allow},
				) // a second answer is ignored
				for id, waiting := range open {
					if _, decided := r.decided[id]; waiting.q.Key == c.key && !decided {
						t.Fatalf(
							"seed %d: request %d still waits after its question was answered",
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
					"seed %d: %d answers cached, %d requests waiting, want %d waiting",
					seed,
					len(r.cache.entries),
					len(r.waiters),
					len(open),
				)
			}
		}
		r.at += 10 * second
		r.timerAt = 0
		for range open { // the Timer call below must leave no request waiting
			r.decidedAt = map[uint64]Time{}
		}
		r.Timer(r.at)
		if len(r.waiters) > 0 {
			t.Fatalf("seed %d: %d requests were never decided", seed, len(r.waiters))
		}
	}
}

func BenchmarkCached(b *testing.B) {
	r := newHarness(b, settings())
	r.request(1, 0)
	r.answer(Allow, -1)
	q := Question{Key: key(1), Timeout: second}
	b.ReportAllocs()
	for b.Loop() {
		r.Request(r.at, q)
	}
}

func BenchmarkUncached(b *testing.B) {
	r := newHarness(b, settings())
	r.settings.MaxCached = 1000
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		v, _ := r.Request(r.at, Question{ID: uint64(i), Key: key(i), Timeout: second})
		if v == Pending {
			r.HandleAnswer(r.at, r.Gate.lastCall, Answer{Verdict: Allow, MaxAge: -1})
			clear(r.decided)
			r.outstanding = r.outstanding[:0]
		}
	}
}

// BenchmarkCachedAnswerMemory measures the heap memory per cached answer.
func BenchmarkCachedAnswerMemory(b *testing.B) {
	const many = 100_000
	for b.Loop() {
		r := newHarness(b, settings())
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
