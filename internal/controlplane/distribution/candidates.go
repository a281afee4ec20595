package distribution

import (
	"math/rand/v2"
	"time"
)

// candidates holds the servers that a replica may watch, in its order of preference, and the
// backoff of each.
type candidates struct {
	settings *ReplicaSettings
	random   *rand.Rand
	ranked   []Server
	backoffs map[string]backoff // by server id
}

// backoff counts a server's consecutive failures and holds the time before which it is not retried.
type backoff struct {
	failures int
	until    time.Duration
}

// maxFailures bounds the exponent of the backoff. MaxBackoff is reached long before that.
const maxFailures = 30

// set replaces the list of servers. Servers that remain in the list keep their backoff.
func (c *candidates) set(servers []Server) {
	c.ranked = Rank(c.settings.ID, c.settings.Place, servers)
	kept := map[string]backoff{}
	for _, s := range c.ranked {
		if b, ok := c.backoffs[s.ID]; ok {
			kept[s.ID] = b
		}
	}
	c.backoffs = kept
}

// contains reports whether a server is in the list, at the same address.
func (c *candidates) contains(server Server) bool {
	for _, s := range c.ranked {
		if s.ID == server.ID {
			return s.Address == server.Address
		}
	}
	return false
}

// best returns the most preferred server that is not backed off from. If there is none, ok is false
// and retryAt is when the first backoff ends.
func (c *candidates) best(now time.Duration) (server Server, retryAt time.Duration, ok bool) {
	retryAt = never
	for _, s := range c.ranked {
		until := c.backoffs[s.ID].until
		if until <= now {
			return s, now, true
		}
		retryAt = min(retryAt, until)
	}
	return Server{}, retryAt, false
}

// hasAlternative reports whether a server other than the given one could be tried now.
func (c *candidates) hasAlternative(now time.Duration, server string) bool {
	for _, s := range c.ranked {
		if s.ID != server && c.backoffs[s.ID].until <= now {
			return true
		}
	}
	return false
}

// recordFailure backs off from a server. The delay doubles with each consecutive failure.
func (c *candidates) recordFailure(now time.Duration, server string) {
	c.backOff(now, server, backoffDelay(c.settings, c.backoffs[server].failures))
}

// backoffDelay returns the backoff after the given number of failures, without jitter.
func backoffDelay(settings *ReplicaSettings, failures int) time.Duration {
	if failures >= maxFailures {
		return settings.MaxBackoff
	}
	return min(settings.MaxBackoff, settings.MinBackoff<<failures)
}

// jittered returns a random duration between half of a delay and the delay.
func jittered(delay time.Duration, random *rand.Rand) time.Duration {
	return delay/2 + time.Duration(random.Int64N(int64(delay/2)+1))
}

// backOff backs off from a server for a random time between half of a delay and the delay.
func (c *candidates) backOff(now time.Duration, server string, delay time.Duration) {
	b := c.backoffs[server]
	b.failures = min(b.failures+1, maxFailures)
	b.until = now + jittered(delay, c.random)
	c.backoffs[server] = b
}

// recordSuccess resets a server's failures and backoff.
func (c *candidates) recordSuccess(server string) { delete(c.backoffs, server) }
