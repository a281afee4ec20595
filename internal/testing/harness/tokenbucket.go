package harness

import "time"

// tokenBucket is a token bucket that is full at first. rate is in units a second.
type tokenBucket struct {
	level, rate, burst float64
	at                 time.Duration
}

func (b *tokenBucket) fill(now time.Duration) {
	if now > b.at {
		b.level, b.at = min(b.burst, b.level+b.rate*(now-b.at).Seconds()), now
	}
}

// tokenBuckets has the complete quotas of a site's customers, counted over all gateways.
type tokenBuckets struct {
	site       *Site
	byCustomer map[string]*tokenBucket
}

func (s *Site) newTokenBuckets() *tokenBuckets {
	return &tokenBuckets{s, map[string]*tokenBucket{}}
}

// at returns the bucket of a try's customer, refilled up to a time.
func (q *tokenBuckets) at(t *Try, at time.Duration) *tokenBucket {
	p := &q.site.Plans[t.Plan]
	bucket := q.byCustomer[t.Customer]
	if bucket == nil {
		bucket = &tokenBucket{p.Burst, p.Rate, p.Burst, 0}
		q.byCustomer[t.Customer] = bucket
	}
	bucket.fill(at)
	return bucket
}

// take takes a try's units from its customer's bucket and returns true. If the bucket lacks them,
// it takes nothing and returns false.
func (q *tokenBuckets) take(t *Try, at time.Duration) bool {
	bucket := q.at(t, at)
	if bucket.level < t.Units {
		return false
	}
	bucket.level -= t.Units
	return true
}
