// Package metrics counts what a gateway did since its process started, and writes it
// down for those who watch it.
package metrics

import (
	"strconv"
	"sync/atomic"
)

// Outcome is how a request ended.
type Outcome uint8

// The outcomes: served, refused, failed.
const (
	Answered Outcome = iota
	Rejected
	Failed
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"answered", "deferred", "errored"}

// Counters hold what was counted. End and Append belong to one goroutine; the atomic fields are
// anybody's.
type Counters struct {
	classes []string
	ended   [][outcomeCount]int64 // by class

	Sends         atomic.Int64 // attempts written whole to backends
	ConfigLoads   atomic.Int64 // configurations taken in
	ConfigErrors  atomic.Int64 // and those that could not be
	ConnsReceived atomic.Int64 // clients' connections had from the process before
	ConnsPassed   atomic.Int64 // and given to the one after
}

// New makes counters for classes of these names.
func New(classes []string) *Counters {
	return &Counters{classes: classes, ended: make([][outcomeCount]int64, len(classes))}
}

// CountRequest counts a request of a class that has ended.
func (c *Counters) CountRequest(class int, how Outcome) { c.ended[class][how]++ }

// Gauges are what the gateway has at the moment.
type Gauges struct {
	OpenRequests      int // requests taken and not ended
	Backends          int // backends listed
	UnhealthyBackends int // of those, the ones that it avoids
}

// Append appends all metrics, a line each: gateway.NAME=NUMBER.
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
