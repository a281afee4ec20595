package distribution

import (
	"math/rand/v2"
	"time"
)

// candidates are the servers that a replica may watch, in its order of preference, and which of
// them it avoids for now.
type candidates struct {
	settings *ReplicaSettings
	random   *rand.Rand
	ranked   []Server
	backoffs map[string]backoff // by server
}

type backoff struct {
	failures int
	until    time.Duration
}

// maxFailures bounds the doubling; MaxBackoff is reached long before.
const maxFailures = 30

// set takes in which servers there are. What is known of those that stay is kept.
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

// contains tells whether a server is one of them, at the same address.
func (c *candidates) contains(server Server) bool {
	for _, s := range c.ranked {
		if s.ID == server.ID {
			return s.Address == server.Address
		}
	}
	return false
}

// best is the first that is not avoided; otherwise when the first of them may be tried.
func (c *candidates) best(now time.Duration) (server Server, at time.Duration, ok bool) {
	at = never
	for _, s := range c.ranked {
		until := c.backoffs[s.ID].until
		if until <= now {
			return s, now, true
		}
		at = min(at, until)
	}
	return Server{}, at, false
}

// hasAlternative tells whether another server could be tried now.
func (c *candidates) hasAlternative(now time.Duration, server string) bool {
	for _, s := range c.ranked {
		if s.ID != server && c.backoffs[s.ID].until <= now {
			return true
		}
	}
	return false
}

// recordFailure avoids a server for longer and longer.
func (c *candidates) recordFailure(now time.Duration, server string) {
	c.avoid(now, server, backoffDelay(c.settings, c.backoffs[server].failures))
}

// backoffDelay is the span after so many failures.
func backoffDelay(settings *ReplicaSettings, failures int) time.Duration {
	if failures >= maxFailures {
		return settings.MaxBackoff
	}
	return min(settings.MaxBackoff, settings.MinBackoff<<failures)
}

// jittered is between half of a span and all of it.
func jittered(span time.Duration, random *rand.Rand) time.Duration {
	return span/2 + time.Duration(random.Int64N(int64(span/2)+1))
}

// avoid avoids a server for between half of a span and all of it.
func (c *candidates) avoid(now time.Duration, server string, span time.Duration) {
	b := c.backoffs[server]
	b.failures = min(b.failures+1, maxFailures)
	b.until = now + jittered(span, c.random)
	c.backoffs[server] = b
}

// recordSuccess forgets a server's failures.
func (c *candidates) recordSuccess(server string) { delete(c.backoffs, server) }
