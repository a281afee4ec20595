package policy

import (
	"fmt"
	"math"
)

const (
	// restoredRateDecay is the time in which restored rates fade to 1/e: those of the last second
	// before the snapshot are the best estimates for the next one.
	restoredRateDecay = 10 * second

	// roundingTolerance is the fraction by which a level may exceed its capacity.
	roundingTolerance = 1e-9
)

// SnapshotError reports why a snapshot cannot be restored.
type SnapshotError struct{ Problem string }

// Error says what is wrong with the snapshot.
func (e *SnapshotError) Error() string { return "snapshot: " + e.Problem }

func snapshotErrorf(format string, args ...any) error {
	return &SnapshotError{Problem: fmt.Sprintf(format, args...)}
}

// Restore restores the state of an earlier incarnation, which must not be older than maxAge. It
// must be called before the first request and peer message; endpoints may have been updated. If it
// returns an error, a *SnapshotError, the Balancer is unchanged.
func (lb *Balancer) Restore(now, maxAge Time, s *Snapshot) error {
	if len(lb.customers) > 0 || len(lb.requests) > 0 {
		return snapshotErrorf("the gateway already has customers or requests")
	}
	if err := s.validateOrigin(now, maxAge, lb.settingsSum); err != nil {
		return err
	}
	if err := s.validate(&lb.settings); err != nil {
		return err
	}
	lb.now = max(lb.now, now)
	lb.activeTime = lb.now - lb.suspendedFor
	lb.stateSince = s.StateSince
	lb.uncleanRestore = !s.Last
	age := now - s.At
	lb.restoreMeans(s)
	lb.onTime = decayingSum{s.OnTimeAnswers * decay(age, restoredRateDecay), lb.activeTime}
	lb.sendPace = decayingSum{s.SendPace * decay(age, restoredRateDecay), now}
	for i := range s.Customers {
		lb.restoreCustomer(&s.Customers[i], age)
	}
	lb.restoredBackends = make(map[uint32]BackendState, len(s.Backends))
	for _, b := range s.Backends {
		lb.restoredBackends[b.Backend] = b
	}
	for _, b := range lb.backends {
		lb.restoreBackend(b)
	}
	return nil
}

// ForgetUnits makes the Balancer continue like one that has just started, because another process
// may have consumed the units in its buckets.
func (lb *Balancer) ForgetUnits(now Time) {
	lb.advanceClock(now)
	lb.stateSince = lb.now
	for _, c := range lb.customerOrder {
		lb.refill(c)
		c.bucket.level = math.Min(0, c.bucket.level)
		c.ceilingBucket.level = math.Min(0, c.ceilingBucket.level)
		c.localShare = math.Min(0, c.localShare)
	}
	lb.refillShared()
	lb.sharedBucket.level = math.Min(0, lb.sharedBucket.level)
}

func (lb *Balancer) restoreMeans(s *Snapshot) {
	lb.meanLatency = s.MeanLatency.runningMean()
	lb.meanValue = s.MeanValue.runningMean()
	lb.lateFraction = s.LateFraction.runningMean()
	for class := range lb.classLatencies {
		lb.classLatencies[class] = s.ClassLatencies[class].runningMean()
	}
	for plan, timeouts := range lb.clientTimeouts {
		for class := range timeouts {
			timeouts[class] = s.ClientTimeouts[plan][class].runningMean()
		}
	}
}

func (e Estimate) runningMean() runningMean { return runningMean{e.Value, e.Samples} }

// restoreCustomer restores a customer's record. What peers consumed meanwhile is not known, so a
// bucket that they share is assumed not to have filled; one that only this gateway uses has filled.
func (lb *Balancer) restoreCustomer(stored *CustomerState, age Time) {
	c := lb.findOrAddCustomer(stored.ID, stored.Plan, stored.First, stored.Spread)
	p := &lb.settings.Plans[c.plan]
	reserve := 0.0 // the allowance that the snapshot deducted
	if lb.uncleanRestore {
		reserve = p.allowance(2*stored.LocalDemand, c.demandWindow)
	}
	c.localDemand = decayingSum{stored.LocalDemand, lb.now - age}
	c.peerUsage = decayingSum{stored.PeerUsage, lb.now - age}
	c.shareFraction = stored.ShareFraction
	c.grantFraction = stored.GrantFraction
	c.localShare = stored.LocalShare
	rate := p.Rate
	if !lb.sharesUsage {
		fraction := lb.quotaFraction(c)
		rate *= fraction
		c.bucket.capacity = fraction * p.Burst
	} else if c.spread > 1 {
		rate = 0
	}
	c.bucket.restore(stored.BucketLevel+reserve, rate, age)
	c.bucket.level -= reserve
	if stored.BucketLevel+reserve >= 0 {
		c.bucket.level = math.Max(0, c.bucket.level) // it was not overdrawn
	}
	ceiling := &c.ceilingBucket
	ceiling.restore(stored.CeilingLevel+reserve, ceiling.rate, age)
	ceiling.level = math.Max(0, ceiling.level-reserve)
	c.bucket.at = lb.now
	ceiling.at = lb.now
	c.restored = lb.sharesUsage && c.spread > 1
	lb.markChanged(c) // as after a start without a snapshot
}

// restore sets the level to a stored level and the refill since it was measured.
func (b *tokenBucket) restore(level, rate float64, age Time) {
	b.level = levelAfter(level, rate, b.capacity, age)
}

// possiblySpent returns the units that an earlier incarnation may have granted, after its last
// snapshot, to a customer that the snapshot does not contain, less the refill since the start.
func (lb *Balancer) possiblySpent(c *customer, rate float64) float64 {
	if !lb.uncleanRestore {
		return 0
	}
	sinceStart := Time(0)
	if lb.startedAt != 0 {
		sinceStart = lb.now - max(1, lb.startedAt)
	}
	burst := lb.settings.Plans[c.plan].Burst
	refilled := rate * float64(sinceStart) / float64(second)
	return math.Max(0, snapshotAllowanceFraction*burst-refilled)
}

// restoreBackend restores the stored state of a backend if it is still the same process.
func (lb *Balancer) restoreBackend(b *backend) {
	stored, ok := lb.restoredBackends[b.Backend]
	delete(lb.restoredBackends, b.Backend)
	if !ok || b.StartedAt > stored.StartedAt {
		return
	}
	b.StartedAt = stored.StartedAt
	b.latencyRatio = stored.LatencyRatio
	b.latencyRatioAt = stored.LatencyRatioAt
	b.errorRate = stored.ErrorRate
	b.unhealthy = stored.Unhealthy
	b.unresponsive = stored.Unresponsive
	b.ejectedAt = stored.EjectedAt
	b.probeBackoff = stored.ProbeBackoff
	b.nextProbe = stored.NextProbe
}

// validateOrigin returns an error if this gateway may not restore the snapshot now.
func (s *Snapshot) validateOrigin(now, maxAge Time, settingsSum uint64) error {
	age := now - s.At
	seconds := float64(age) / float64(second)
	switch {
	case s.Version != SnapshotVersion:
		return snapshotErrorf("is of version %d, must be %d", s.Version, SnapshotVersion)
	case s.Settings != settingsSum:
		return snapshotErrorf("was taken under other settings")
	case age < 0:
		return snapshotErrorf("is %.3f s ahead of the clock", -seconds)
	case age > maxAge:
		maxSeconds := float64(maxAge) / float64(second)
		return snapshotErrorf("is %.3f s old, must be at most %.3f s", seconds, maxSeconds)
	}
	return nil
}

// validate returns an error for the first value that is impossible under the settings.
func (s *Snapshot) validate(settings *Settings) error {
	if err := s.validateMeans(settings); err != nil {
		return err
	}
	seen := make(map[uint64]bool, len(s.Customers))
	for i := range s.Customers {
		c := &s.Customers[i]
		if err := c.validate(i, settings, seen[c.ID]); err != nil {
			return err
		}
		seen[c.ID] = true
	}
	for i := range s.Backends {
		if err := s.Backends[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshot) validateMeans(settings *Settings) error {
	if len(s.ClassLatencies) != len(settings.Classes) ||
		len(s.ClientTimeouts) != len(settings.Plans) {
		return snapshotErrorf("has %d classes and %d plans, unlike the settings",
			len(s.ClassLatencies), len(s.ClientTimeouts))
	}
	means := []Estimate{s.MeanLatency, s.MeanValue, s.LateFraction}
	for _, row := range append([][]Estimate{s.ClassLatencies}, s.ClientTimeouts...) {
		if len(row) != len(settings.Classes) {
			return snapshotErrorf("has a row of %d classes, unlike the settings", len(row))
		}
		means = append(means, row...)
	}
	for _, mean := range means {
		if err := validateFigures(mean.Value, mean.Samples); err != nil {
			return err
		}
	}
	return validateFigures(s.OnTimeAnswers, s.SendPace)
}

func (c *CustomerState) validate(i int, settings *Settings, repeated bool) error {
	if c.Plan < 0 || c.Plan >= len(settings.Plans) ||
		c.Spread < 1 || c.Spread > settings.Gateways ||
		c.First < 0 || c.First >= settings.Gateways || repeated {
		return snapshotErrorf(
			"customers[%d]: plan %d or gateways %d from %d are invalid, or it is listed twice",
			i, c.Plan, c.Spread, c.First)
	}
	p := &settings.Plans[c.Plan]
	if c.BucketLevel > p.Burst*(1+roundingTolerance) ||
		p.CeilingRate > 0 && c.CeilingLevel > p.CeilingBurst*(1+roundingTolerance) {
		return snapshotErrorf("customers[%d]: more left than the plan holds", i)
	}
	if !finite(c.BucketLevel) || !finite(c.CeilingLevel) {
		return snapshotErrorf("customers[%d]: levels %g and %g must be finite",
			i, c.BucketLevel, c.CeilingLevel)
	}
	return validateFigures(
		c.LocalDemand, c.PeerUsage, c.ShareFraction, c.GrantFraction, c.LocalShare,
	)
}

func (b *BackendState) validate(i int) error {
	if b.ProbeBackoff < 0 || b.ProbeBackoff > maxProbeBackoff {
		return snapshotErrorf("backends[%d]: waits for %d us, must be between 0 and %d us",
			i, b.ProbeBackoff, Time(maxProbeBackoff))
	}
	return validateFigures(b.LatencyRatio, b.ErrorRate)
}

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// validateFigures returns an error for the first figure that is negative or not finite.
func validateFigures(figures ...float64) error {
	for _, x := range figures {
		if !finite(x) || x < 0 {
			return snapshotErrorf("has a figure of %g, must be finite and at least 0", x)
		}
	}
	return nil
}
