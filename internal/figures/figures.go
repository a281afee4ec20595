// Package figures counts what a gateway did since its process started, and writes it
// down for those who watch it.
package figures

import (
	"strconv"
	"sync/atomic"
)

// End is how a request ended.
type End uint8

// The ends: served, refused, failed.
const (
	Answered End = iota
	Deferred
	Errored
	ends
)

var endNames = [ends]string{"answered", "deferred", "errored"}

// Tally counts. End and Append belong to one goroutine; the atomic fields are anybody's.
type Tally struct {
	classes []string
	ended   [][ends]int64 // by class

	Sends    atomic.Int64 // attempts written whole to backends
	Loaded   atomic.Int64 // configurations taken in
	Invalid  atomic.Int64 // and those that could not be
	PassedIn atomic.Int64 // clients' connections had from the process before
	PassedOn atomic.Int64 // and given to the one after
}

// New makes a tally for classes of these names.
func New(classes []string) *Tally {
	return &Tally{classes: classes, ended: make([][ends]int64, len(classes))}
}

// End counts a request of a class that has ended.
func (t *Tally) End(class int, how End) { t.ended[class][how]++ }

// Now is what the gateway has at the moment.
type Now struct {
	Current   int // requests taken and not ended
	Size      int // backends listed
	Unhealthy int // of those, the ones that it avoids
}

// Append appends all figures, a line each: gateway.NAME=NUMBER.
func (t *Tally) Append(b []byte, now Now) []byte {
	line := func(name, class string, n int64) {
		b = append(append(b, "gateway."...), name...)
		if class != "" {
			b = append(append(b, '.'), class...)
		}
		b = append(strconv.AppendInt(append(b, '='), n, 10), '\n')
	}
	for end, name := range endNames {
		for i, class := range t.classes {
			line(name, class, t.ended[i][end])
		}
	}
	line("sends", "", t.Sends.Load())
	line("current", "", int64(now.Current))
	line("cluster_size", "", int64(now.Size))
	line("cluster_unhealthy", "", int64(now.Unhealthy))
	line("conf_loaded", "", t.Loaded.Load())
	line("conf_invalid", "", t.Invalid.Load())
	line("passed_in", "", t.PassedIn.Load())
	line("passed_on", "", t.PassedOn.Load())
	return b
}
