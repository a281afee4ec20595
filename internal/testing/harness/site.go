package harness

import (
	"fmt"
	"sync"
	"time"
)

// ServerIdle is how long a connection may be idle before a server closes it.
const ServerIdle = 10 * time.Second

// Class is a class of requests as the operators describe it.
type Class struct {
	Name  string
	Share float64
	// Work is the mean work on one core at speed 1.
	Work time.Duration
	// LatencyTarget is the latency up to which an answer has its full value.
	LatencyTarget time.Duration
	// GiveUp is the longest time for which a client waits.
	GiveUp time.Duration
	Value  float64
	// Keyed is set if requests carry an idempotency key. Otherwise they are idempotent.
	Keyed bool
	// DeduplicationWindow is how long servers drop duplicates of a key.
	DeduplicationWindow time.Duration
	// Unsafe is set if requests must never run twice. No class of a drawn site is unsafe.
	Unsafe bool
	// MinUnits and MaxUnits bound the units of a request.
	MinUnits float64
	MaxUnits float64
	Command  string
}

// Plan is what a customer buys. Rates are in units a second.
type Plan struct {
	Name string
	// Share is the fraction of the use inside quotas.
	Share       float64
	Rate, Burst float64
	Price       float64
	BeyondEarns float64
	// CeilingRate is 0 for no ceiling.
	CeilingRate  float64
	CeilingBurst float64
	CeilingSlack float64
}

// Customer is a customer. Its requests come through Spread gateways, from number First on.
type Customer struct {
	ID            string
	Plan          int
	First, Spread int
	// Use is the average use as a fraction of the rate.
	Use float64
}

// LateAnswerTime returns how long after a client stopped waiting an answer still counts as in
// time.
func (s *Site) LateAnswerTime() time.Duration { return max(OnSockets, s.LateAnswers) }

// Site has a value for each parameter that the operators' published ranges leave open.
type Site struct {
	// LateAnswers is how long after the client's wait an answer earns nothing but breaks no rule,
	// as in the operators' standing test. Below OnSockets, OnSockets applies. Rigs that suspend
	// gateways set it.
	LateAnswers time.Duration
	Classes     []Class
	Plans       []Plan
	Customers   []Customer
	Servers     int
	Gateways    int
	// PerSecond is the rate of requests inside quotas.
	PerSecond float64

	SlowStartMinFraction float64
	SlowStartDuration    time.Duration
	OverloadMultiple     float64
	OverloadWindow       time.Duration
	DrainTimeout         time.Duration
	MessageLoss          float64
	RegisterLag          time.Duration // maximum
	Retries              int
	// Shift is how often the busiest gateway of a customer changes.
	Shift       time.Duration
	MaxAttempts int
	// Counter is set if gateways use the counter instead of peer messages.
	Counter bool

	// AbandonFraction is the fraction of tries whose client leaves before an answer; 0 unless a rig
	// sets it.
	AbandonFraction float64

	keys keyRegistry
}

// keyRegistry has the idempotency keys that all servers share, and when each was last seen as new.
type keyRegistry struct {
	mu   sync.Mutex
	seen map[string]time.Duration
}

// Remember reports whether a key is new within the window, and stores it if so. It is safe for
// concurrent use.
func (s *Site) Remember(key string, now, window time.Duration) bool {
	k := &s.keys
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seen == nil {
		k.seen = map[string]time.Duration{}
	}
	if at, ok := k.seen[key]; ok && now-at <= window {
		return false
	}
	k.seen[key] = now
	return true
}

// SpreadAll sets the number of gateways that every customer sends through. 0 keeps the drawn
// numbers.
func (s *Site) SpreadAll(gateways int) {
	for i := range s.Customers {
		if gateways > 0 {
			s.Customers[i].Spread = min(gateways, s.Gateways)
		}
	}
}

// totals returns the mean work of a request in core seconds, its mean units, and the capacity of
// all servers in cores of speed 1.
func (s *Site) totals() (work, units, capacity float64) {
	for _, c := range s.Classes {
		work += c.Share * c.Work.Seconds()
		units += c.Share * (c.MinUnits + c.MaxUnits) / 2
	}
	for i := range s.Servers {
		cores, speed := s.Machine(i)
		capacity += cores * speed
	}
	return work, units, capacity
}

// Machine returns the number of cores of server i and their speed.
func (s *Site) Machine(i int) (cores, speed float64) {
	if i%2 == 0 {
		return 2, 1.3 + 0.4*float64(i%5)/4
	}
	return 2, 0.85 + 0.25*float64(i%5)/4
}

// ValueOf returns the value that a server makes for a request. It contains both names, so that the
// auditor can tell whether the right server made it for the right request.
func ValueOf(id, server string) string { return "quote " + id + " by " + server }

// Hex16 returns a number as 16 hexadecimal digits, as customers and requests are named.
func Hex16(n uint64) string { return fmt.Sprintf("%016x", n) }
