// Package harness is what every rig shares that plays gateways against a world: the
// site that a seed draws and its traffic, the record of all that clients and servers
// saw, and the auditor that judges it by the five rules and sums it up. The lab plays
// real processes in real time, the emulator real decisions in virtual time; a verdict
// means the same in both.
//
// Nothing here knows how a gateway decides.
package harness

import (
	"sync"
	"time"
)

// Kind tells what a client got for a try.
type Kind uint8

// What a try can end with. Ended: the connection ended without an answer.
// Unsent: no gateway took it, as no connection could be made. Silent: nothing
// came until the client stopped waiting.
const (
	Unsent Kind = iota
	Served
	Refused
	Failed
	Ended
	Silent
	Left // its client went away before an answer, at the time of that name
)

// Try is one request of a client as the client saw it. Times are lengths since
// the start of the record; a zero Answered means that no answer came.
type Try struct {
	ID       string
	First    string // the ID of the first try that this one repeats; its own if none
	Customer string
	Plan     int
	Class    int
	Units    float64
	Key      string
	Gateway  int
	Asked    time.Duration // when the client wanted it, first tries only
	Sent     time.Duration // its last byte was written
	Wait     time.Duration // how long the client waits from then on
	Answered time.Duration
	Kind     Kind
	Answers  int           // whole answers that came
	Value    string        // of a served one
	After    time.Duration // the advice that came with a refusal
	Why      string        // the gateway's reason for it, where it tells
	// its first connection ended without a byte of an answer, then; it was sent once more
	Closed time.Duration
	Reset  bool // a connection was reset, not closed
	// its client closed the connection of its own accord, waiting for the answer; 0: it did not
	Left   time.Duration
	NoPort time.Duration // when nothing listened at the gateway's address; 0: something did
}

// Attempt is one request as a quote server saw it.
type Attempt struct {
	ID      string
	Key     string
	Server  string
	Gateway int
	Class   int
	Work    time.Duration // of one core at speed 1
	First   time.Duration // its first byte came
	Whole   time.Duration // its last byte came
	Ran     bool          // its work was begun
	Effect  bool          // and it was no repeat that the server dropped
	Turned  bool          // it was turned away unseen
	Replied time.Duration // its answer was about to be written; 0: there was none
}

// Told is the register's word about a server, as written to a gateway.
type Told struct {
	Gateway int
	Server  string
	Stop    bool // it drains or is gone
	At      time.Duration
}

// Life is a change in the life of a gateway's process.
type Life struct {
	Gateway int
	Event   Event
	At      time.Duration
}

// Event is what happened to a gateway.
type Event uint8

// The events. Crashed is an end that nobody asked for.
const (
	Started Event = iota
	Ready
	Stopping // told to stop
	Reloaded // told to reload
	Handed   // told to hand over to a new process
	Killed
	Exited
	Crashed
	Paused // stopped as it was, by the rig
	Woken  // and going on again
)

// Boot is a start of a quote server's process.
type Boot struct {
	Server string
	Cores  float64
	Speed  float64
	Cold   bool // it starts cold; else it has been up for long
	At     time.Duration
	Fell   time.Duration // when it was overrun; 0: it was not
	// a third and more of that by gateways that had not been told of its start: no breach
	Untold bool
}

// Record is all that was seen in one run. The Add methods may be called
// concurrently; the slices only once all that adds has ended.
type Record struct {
	mu       sync.Mutex
	began    time.Time
	Tries    []Try
	Attempts []Attempt
	Told     []Told
	Lives    []Life
	Boots    []Boot
}

// NewRecord begins a record.
func NewRecord() *Record { return &Record{began: time.Now()} }

// Began is when the record began.
func (r *Record) Began() time.Time { return r.began }

// Now is the time since the record began.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// AddTry adds a try that has ended.
func (r *Record) AddTry(t Try) { r.add(func() { r.Tries = append(r.Tries, t) }) }

// AddAttempt adds an attempt when it is whole and returns its place, for Ran.
func (r *Record) AddAttempt(a Attempt) (n int) {
	r.add(func() { r.Attempts = append(r.Attempts, a); n = len(r.Attempts) - 1 })
	return n
}

// Ran takes note that an attempt was begun, and whether it had its effect.
func (r *Record) Ran(n int, effect bool) {
	r.add(func() { r.Attempts[n].Ran, r.Attempts[n].Effect = true, effect })
}

// Replied takes note that an attempt's answer is written.
func (r *Record) Replied(n int) {
	r.add(func() { r.Attempts[n].Replied = r.Now() })
}

// Turned takes note that an attempt was turned away unseen.
func (r *Record) Turned(n int) { r.add(func() { r.Attempts[n].Turned = true }) }

// AddTold adds a word of the register.
func (r *Record) AddTold(t Told) { r.add(func() { r.Told = append(r.Told, t) }) }

// AddLife adds a change in a gateway's life.
func (r *Record) AddLife(gateway int, e Event) {
	r.add(func() { r.Lives = append(r.Lives, Life{gateway, e, r.Now()}) })
}

// AddBoot adds a start of a server and returns its place, for Fell.
func (r *Record) AddBoot(b Boot) (n int) {
	r.add(func() { r.Boots = append(r.Boots, b); n = len(r.Boots) - 1 })
	return n
}

// Fell takes note that a server fell over.
func (r *Record) Fell(n int) { r.add(func() { r.Boots[n].Fell = r.Now() }) }

// Look has f look at the record while nobody adds to it.
func (r *Record) Look(f func()) { r.add(f) }

func (r *Record) add(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}
