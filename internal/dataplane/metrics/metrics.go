// Package metrics counts a gateway's events since its process started, and formats the counts as
// text for monitoring.
package metrics

import (
	"strconv"
	"sync/atomic"
)

// Outcome is the way in which a request ended.
type Outcome uint8

// The outcomes. The text has their older names: answered, deferred and errored.
const (
	Answered Outcome = iota
	Rejected
	Failed
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"answered", "deferred", "errored"}

// Counters holds the counts. CountRequest and Append must be called from one goroutine; the atomic
// fields may be used from any goroutine.
type Counters struct {
	classes []string
	ended   [][outcomeCount]int64 // by class

	Sends         atomic.Int64 // attempts that were written completely to backends
	ConfigLoads   atomic.Int64 // configurations that took effect, including the first
	ConfigErrors  atomic.Int64 // configurations that could not be read
	ConnsReceived atomic.Int64 // client connections received from the predecessor
	ConnsPassed   atomic.Int64 // client connections passed to the successor
}

// New returns counters for the classes with these names.
func New(classes []string) *Counters {
	return &Counters{classes: classes, ended: make([][outcomeCount]int64, len(classes))}
}

// CountRequest counts a request of a class that has ended.
func (c *Counters) CountRequest(class int, how Outcome) { c.ended[class][how]++ }

// Gauges are current values.
type Gauges struct {
	OpenRequests      int // admitted but not yet answered
	Backends          int // in the endpoint list
	UnhealthyBackends int // the ejected and unhealthy ones among Backends
}

// Append appends all metrics to b, one per line, in the form gateway.NAME=NUMBER.
func (c *Counters) Append(b []byte, gauges Gauges) []byte {
	line := func(name, class string, n int64) {
		b = append(append(b, "gateway."...), name...)
		if class != "" {
			b = append(append(b, '.'), class...)
		}
		b = append(strconv.AppendInt(append(b, '='), n, 10), '\n')
	}
	for outcome, name := range outcomeNames {
		for i, class := range c.classes {
			line(name, class, c.ended[i][outcome])
		}
	}
	line("sends", "", c.Sends.Load())
	line("current", "", int64(gauges.OpenRequests))
	line("cluster_size", "", int64(gauges.Backends))
	line("cluster_unhealthy", "", int64(gauges.UnhealthyBackends))
	line("conf_loaded", "", c.ConfigLoads.Load())
	line("conf_invalid", "", c.ConfigErrors.Load())
	line("passed_in", "", c.ConnsReceived.Load())
	line("passed_on", "", c.ConnsPassed.Load())
	return b
}
