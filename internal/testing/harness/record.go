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
	NoAnswer
	ClientLeft // its client went away before an answer, at the time of that name
)

// Try is one request of a client as the client saw it. Times are lengths since
// the start of the record; a zero Answered means that no answer came.
type Try struct {
	ID           string
	First        string // the ID of the first try that this one repeats; its own if none
	Customer     string
	Plan         int
	Class        int
	Units        float64
	Key          string
	Gateway      int
	RequestedAt  time.Duration // when the client wanted it, first tries only
	SentAt       time.Duration // its last byte was written
	Wait         time.Duration // how long the client waits from then on
	AnsweredAt   time.Duration
	Kind         Kind
	Answers      int           // whole answers that came
	Value        string        // of a served one
	RetryAfter   time.Duration // the advice that came with a refusal
	RejectReason string        // the gateway's reason for it, where it tells
	// its first connection ended without a byte of an answer, then; it was sent once more
	ClosedAt time.Duration
	Reset    bool // a connection was reset, not closed
	// its client closed the connection of its own accord, waiting for the answer; 0: it did not
	ClientLeftAt time.Duration
	PortClosedAt time.Duration // when nothing listened at the gateway's address; 0: something did
}

// Attempt is one request as a quote server saw it.
type Attempt struct {
	ID          string
	Key         string
	Server      string
	Gateway     int
	Class       int
	Work        time.Duration // of one core at speed 1
	FirstByteAt time.Duration // its first byte came
	ReceivedAt  time.Duration // its last byte came
	Ran         bool          // its work was begun
	Effect      bool          // and it was no repeat that the server dropped
	Rejected    bool          // it was turned away unseen
	RepliedAt   time.Duration // its answer was about to be written; 0: there was none
}

// EndpointUpdate is the register's word about a server, as written to a gateway.
type EndpointUpdate struct {
	Gateway int
	Server  string
	Stop    bool // it drains or is gone
	At      time.Duration
}

// ProcessEvent is a change in the life of a gateway's process.
type ProcessEvent struct {
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
	Paused  // stopped as it was, by the rig
	Resumed // and going on again
)

// ServerStart is a start of a quote server's process.
type ServerStart struct {
	Server       string
	Cores        float64
	Speed        float64
	SlowStart    bool // it starts cold; else it has been up for long
	At           time.Duration
	OverloadedAt time.Duration // when it was overrun; 0: it was not
	// a third and more of that by gateways that had not been told of its start: no breach
	BeforeNotified bool
}

// Record is all that was seen in one run. The Add methods may be called
// concurrently; the slices only once all that adds has ended.
type Record struct {
	mu              sync.Mutex
	began           time.Time
	Tries           []Try
	Attempts        []Attempt
	EndpointUpdates []EndpointUpdate
	ProcessEvents   []ProcessEvent
	ServerStarts    []ServerStart
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

// MarkRun takes note that an attempt was begun, and whether it had its effect.
func (r *Record) MarkRun(n int, effect bool) {
	r.add(func() { r.Attempts[n].Ran, r.Attempts[n].Effect = true, effect })
}

// MarkReplied takes note that an attempt's answer is written.
func (r *Record) MarkReplied(n int) {
	r.add(func() { r.Attempts[n].RepliedAt = r.Now() })
}

// MarkRejected takes note that an attempt was turned away unseen.
func (r *Record) MarkRejected(n int) { r.add(func() { r.Attempts[n].Rejected = true }) }

// AddEndpointUpdate adds a word of the register.
func (r *Record) AddEndpointUpdate(t EndpointUpdate) {
	r.add(func() { r.EndpointUpdates = append(r.EndpointUpdates, t) })
}

// AddProcessEvent adds a change in a gateway's life.
func (r *Record) AddProcessEvent(gateway int, e Event) {
	r.add(func() { r.ProcessEvents = append(r.ProcessEvents, ProcessEvent{gateway, e, r.Now()}) })
}

// AddServerStart adds a start of a server and returns its place, for Fell.
func (r *Record) AddServerStart(b ServerStart) (n int) {
	r.add(func() { r.ServerStarts = append(r.ServerStarts, b); n = len(r.ServerStarts) - 1 })
	return n
}

// MarkOverloaded takes note that a server fell over.
func (r *Record) MarkOverloaded(n int) {
	r.add(func() { r.ServerStarts[n].OverloadedAt = r.Now() })
}

// Read has f look at the record while nobody adds to it.
func (r *Record) Read(f func()) { r.add(f) }

func (r *Record) add(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}
