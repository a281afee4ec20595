package allocation

import (
	"fmt"
	"time"
)

// MachineName is the name of the state machine in the replicated state. It is part of stored data.
const MachineName = "budgets"

// RoleOfShard returns the name of the role that the leader of a shard holds. It is part of stored
// data.
func RoleOfShard(shard int) string { return fmt.Sprintf("budgets/%d", shard) }

// ShardOf returns the shard of a budget, from 0 to shards-1.
func ShardOf(budget uint64, shards int) int {
	const multiplier = 0x9E3779B97F4A7C15 // 2^64 / golden ratio, which spreads ids evenly
	return int((budget * multiplier) >> 33 % uint64(max(1, shards)))
}

// Config configures how budgets are divided and how long allocations are valid. All processes of a
// fleet must use the same values.
type Config struct {
	TTL         time.Duration // validity of an allocation without renewal
	ReservedTTL time.Duration // validity of a reserved minimum without renewal

	// UseTimeout is the time within which units have to be used: the units of an on-demand grant
	// from when they were requested, and those of an allocation from when they were taken.
	UseTimeout time.Duration

	// ClockDrift is the fraction by which one process's clock may run faster than another's.
	ClockDrift float64

	// ReservedFraction is the fraction of a limit that is set aside for reserved minimums, which
	// are the same for each member.
	ReservedFraction float64

	// PoolFraction is the fraction of the rest that stays with the leader for on-demand grants.
	PoolFraction float64

	// MinBurstRequests is the least burst of an allocation that exceeds its reserved minimum, as a
	// multiple of the member's largest request.
	MinBurstRequests float64

	// ChangeThreshold is the fraction of the limit by which an allocation has to differ from the
	// result of a division before it is changed.
	ChangeThreshold float64

	RenewInterval time.Duration // between two renewals of a member

	// StartFull lets the leader of term 1 start with a full pool, because no units can have been
	// used before it.
	StartFull bool

	// IdleTimeout is the time without demand after which a member returns its reserved minimum too.
	IdleTimeout time.Duration
}

// DefaultConfig returns the default configuration. docs/budgets.md gives the reasons for its
// values.
func DefaultConfig() Config {
	return Config{
		TTL:              3 * time.Second,
		ReservedTTL:      time.Minute,
		UseTimeout:       250 * time.Millisecond,
		ClockDrift:       0.125,
		ReservedFraction: 0.3,
		PoolFraction:     0.5,
		MinBurstRequests: 0.7,
		ChangeThreshold:  0.15,
		RenewInterval:    200 * time.Millisecond,
		IdleTimeout:      time.Minute,
	}
}

// withDrift returns how long to wait by one clock until d has passed by every other clock.
func (c *Config) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDrift)
}

// ReservedMin returns the reserved minimum of each member where the given number of members share a
// limit.
func (c *Config) ReservedMin(limit Share, members int) Share {
	return limit.times(c.ReservedFraction / float64(max(1, members)))
}
