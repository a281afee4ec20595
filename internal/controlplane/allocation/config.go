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
	const multiplier = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio spreads ids evenly
	return int((budget * multiplier) >> 33 % uint64(max(1, shards)))
}

// Config says how budgets are divided, and for how long allocations hold. It is the same for all
// processes of a fleet.
type Config struct {
	TTL         time.Duration // of an allocation without renewal
	ReservedTTL time.Duration // of a reserved minimum without renewal

	// UseTimeout is within what time an on-demand grant has to be used, counted from its request,
	// and units taken of an allocation, counted from when they were taken.
	UseTimeout time.Duration

	// ClockDrift is by what fraction one process's clock may run faster than another's.
	ClockDrift float64

	// ReservedFraction is the fraction of a limit that is set aside as reserved minimums, the same
	// for each member.
	ReservedFraction float64

	// PoolFraction is the fraction of the rest that stays with the leader for on-demand grants.
	PoolFraction float64

	// MinBurstRequests is how many of a member's largest request the burst of an allocation has to
	// hold, beyond the reserved minimum, for the allocation to be made.
	MinBurstRequests float64

	// ChangeThreshold is by what fraction of the limit an allocation has to differ from its
	// division before it is changed.
	ChangeThreshold float64

	RenewInterval time.Duration // between two renewals of a member

	// StartFull lets the first leader ever start with a full pool, as nobody can have used anything
	// before.
	StartFull bool

	// IdleTimeout is after what time without demand a member gives back its reserved minimum too.
	IdleTimeout time.Duration
}

// DefaultConfig returns the configuration whose reasons docs/budgets.md gives.
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

// withDrift returns for how long to wait by one clock so that d has passed by every other one.
func (c *Config) withDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.ClockDrift)
}

// ReservedMin returns the reserved minimum of each of so many members.
func (c *Config) ReservedMin(limit Share, members int) Share {
	return limit.times(c.ReservedFraction / float64(max(1, members)))
}
