// Package allocation decides who may use how much of what all gateways of a fleet share: a customer's
// quota, its ceiling, or whatever else has a rate and a burst for all of them together.
//
// # Invariant
//
// At every instant the parts that anyone may still be using, heard or unheard, alive, stalled or dead, and
// the reserve from which the owner lends, sum to no more than the whole: in rate, in burst, and in units that lie
// stored or are on their way. So over any window of length w the units taken through all gateways are at most
// burst + rate x w, but for what lies between a decision and its write (the rate over Rules.LoanSpan), what clocks
// differ by (Rules.Margin of the rate), and one request a stop of a process between its last look at the clock and its
// write.
//
// # How it is kept
//
// What members hold lies in the agreed state (Machine), which refuses whatever would pass the whole and whatever comes
// under an old term. One owner for a shard (Owner) divides it:
//
//   - Raised: the entry is agreed first, the member is told then.
//   - Lessened: the member is told first. Only when it has said that it acted on that, or its span is over by the owner's
//     clock and the margin, is the entry proposed that gives it to another.
//   - A part holds for Rules.Span from when its member sent its last renewal, the floor that is in it for Rules.FloorSpan. A
//     member that hears nobody falls from its part to its floor, and then to nothing.
//   - Units that lie stored go with what is moved: they are counted as given and as returned, each as a sum that
//     only grows under a term, so that a message that comes twice, late or never makes none.
//   - The rest, the reserve, is the owner's alone. It lends of it, without an entry, for a request that waits, but for what
//     is agreed to be kept: with that the next owner begins, and with nothing else.
//   - What was taken or lent is used within Rules.LoanSpan, or never.
//
// Nothing here does I/O, starts a goroutine or looks at a clock. No type may be used concurrently.
package allocation

import (
	"fmt"
	"math"
	"time"

	"mothcleat/internal/controlplane/controlpb"
	"mothcleat/internal/controlplane/lease"
)

// MachineName is what the agreed state calls the budgets.
const MachineName = "budgets"

// RoleOfShard is what the owner of a shard holds.
func RoleOfShard(shard int) string { return fmt.Sprintf("budgets/%d", shard) }

// ShardOf is the shard of a budget.
func ShardOf(budget uint64, shards int) int {
	const mix = 0x9E3779B97F4A7C15 // spreads ids evenly
	return int((budget * mix) >> 33 % uint64(max(1, shards)))
}

// Share is a budget or a part of one.
type Share struct {
	Rate  float64 `json:"rate"`  // units a second
	Burst float64 `json:"burst"` // units
}

func (s Share) plus(o Share) Share    { return Share{s.Rate + o.Rate, s.Burst + o.Burst} }
func (s Share) minus(o Share) Share   { return Share{s.Rate - o.Rate, s.Burst - o.Burst} }
func (s Share) times(f float64) Share { return Share{s.Rate * f, s.Burst * f} }
func (s Share) min(o Share) Share {
	return Share{math.Min(s.Rate, o.Rate), math.Min(s.Burst, o.Burst)}
}
func (s Share) max(o Share) Share {
	return Share{math.Max(s.Rate, o.Rate), math.Max(s.Burst, o.Burst)}
}
func (s Share) within(o Share) bool {
	return s.Rate <= o.Rate+roundingTolerance && s.Burst <= o.Burst+roundingTolerance
}
func (s Share) isZero() bool            { return s.Rate <= 0 && s.Burst <= 0 }
func (s Share) proto() *controlpb.Share { return &controlpb.Share{Rate: s.Rate, Burst: s.Burst} }
func shareOf(s *controlpb.Share) Share  { return Share{s.GetRate(), s.GetBurst()} }
func memberOf(m *controlpb.Member) lease.Member {
	return lease.Member{ID: m.GetId(), Incarnation: m.GetIncarnation()}
}

// roundingTolerance is what sums may be off by for being rounded.
const roundingTolerance = 1e-6

// valid tells whether a share can be anyone's.
func (s Share) valid() bool {
	return s.Rate >= 0 && s.Burst >= 0 && !math.IsInf(s.Rate, 0) && !math.IsInf(s.Burst, 0) // and neither is NaN
}

// Config are how budgets are divided, and how long what was given holds.
type Config struct {
	TTL              time.Duration // a part holds without renewal
	ReservedTTL      time.Duration // a floor does
	UseTimeout       time.Duration // a loan has to be used within, from its asking, and what is taken of a part, from then
	ClockDrift       float64       // by how much a clock may run faster than another, as a part
	ReservedFraction float64       // the part of the whole that is set aside as floors, evenly over the members
	PoolFraction     float64       // the part of the rest that stays with the owner, to be lent
	MinBurstRequests float64       // a part is given only where it holds so much of the member's largest request
	ChangeThreshold  float64       // by what part of the whole a part has to be off before it is changed
	RenewInterval    time.Duration // between two renewals
	StartFull        bool          // the first owner ever begins with full stores: nobody can have used anything before
	IdleTimeout      time.Duration // a member that wants nothing for so long gives back its floor, too
}

// DefaultConfig are rules that docs/budgets.md gives the reasons for.
func DefaultConfig() Config {
	return Config{TTL: 3 * time.Second, ReservedTTL: time.Minute, UseTimeout: 250 * time.Millisecond, ClockDrift: 0.125,
		ReservedFraction: 0.3, PoolFraction: 0.5, MinBurstRequests: 0.7, ChangeThreshold: 0.15, RenewInterval: 200 * time.Millisecond, IdleTimeout: time.Minute}
}

func (r *Config) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*r.ClockDrift)
}

// ReservedMin is the floor of each of so many members.
func (r *Config) ReservedMin(whole Share, spread int) Share {
	return whole.times(r.ReservedFraction / float64(max(1, spread)))
}

// tokenBucket is units that come at a rate and are stored up to a burst.
type tokenBucket struct {
	level float64
	at    time.Duration
}

// refill brings the bank to a time, and gives what did not find room.
func (b *tokenBucket) refill(now time.Duration, s Share) (over float64) {
	if now > b.at {
		b.level += s.Rate * (now - b.at).Seconds()
		b.at = now
	}
	if over = b.level - s.Burst; over <= 0 {
		return 0
	}
	b.level = s.Burst
	return over
}
