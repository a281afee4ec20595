package harness

// checkCeilings judges the fifth rule, and counts the units that were forwarded beyond the quotas.
// A try consumes its units when a server receives its first attempt.
func (v *Verdict) checkCeilings(s *Site, rec *Record) {
	quotas, ceilings, low := s.newTokenBuckets(), map[string]*tokenBucket{}, map[string]bool{}
	for _, e := range forwardedTries(rec) {
		p := &s.Plans[e.try.Plan]
		if !quotas.take(e.try, e.at) {
			v.OverQuota += e.try.Units
		}
		if p.CeilingRate == 0 {
			continue
		}
		c := ceilings[e.try.Customer]
		if c == nil {
			c = &tokenBucket{p.CeilingBurst, p.CeilingRate, p.CeilingBurst, 0}
			ceilings[e.try.Customer] = c
		}
		c.fill(e.at)
		c.level -= e.try.Units
		under := c.level < -p.CeilingSlack-p.CeilingRate*ceilingTolerance.Seconds()
		if under && !low[e.try.Customer] {
			v.breach(Ceiling, e.at, "customer %s is %.1f units below its ceiling's store",
				e.try.Customer, -c.level)
		}
		low[e.try.Customer] = under
	}
}
