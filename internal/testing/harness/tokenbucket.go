package harness

import "time"

// tokenBucket has units: full at first, refilled at a rate.
type tokenBucket struct {
	level, rate, burst float64
	at                 time.Duration
}

func (b *tokenBucket) fill(now time.Duration) {
	if now > b.at {
		b.level, b.at = min(b.burst, b.level+b.rate*(now-b.at).Seconds()), now
	}
}

// tokenBuckets are the complete quotas of a site's customers, as an observer of everything would
// count them.
type tokenBuckets struct {
	site *Site
	of   map[string]*tokenBucket
}

func (s *Site) newTokenBuckets() *tokenBuckets {
	return &tokenBuckets{s, map[string]*tokenBucket{}}
}

func (q *tokenBuckets) at(t *Try, at time.Duration) *tokenBucket {
	p := &q.site.Plans[t.Plan]
	st := q.of[t.Customer]
	if st == nil {
		st = &tokenBucket{p.Burst, p.Rate, p.Burst, 0}
		q.of[t.Customer] = st
	}
	st.fill(at)
	return st
}

// take takes a try's units if the bucket has them, and otherwise nothing.
func (q *tokenBuckets) take(t *Try, at time.Duration) bool {
	st := q.at(t, at)
	if st.level < t.Units {
		return false
	}
	st.level -= t.Units
	return true
}
