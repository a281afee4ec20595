// Package harness is shared by all rigs that run gateways against simulated clients and servers. It
// has the site that is drawn from a seed and its traffic, the record of everything that clients and
// servers saw, and the auditor that judges the record by the five rules and summarizes it. The lab
// runs real processes in real time, the emulator runs the real decisions in virtual time. A verdict
// means the same in both.
//
// The package does not depend on how a gateway decides.
package harness

import (
	"sync"
	"time"
)

// Kind is how a try ended for its client.
type Kind uint8

// How a try can end.
const (
	// Unsent is a try that no gateway took, because no connection could be made.
	Unsent Kind = iota
	Served
	Refused
	Failed
	// Ended is a try whose connection ended without an answer.
	Ended
	// NoAnswer is a try without an answer when its client stopped waiting.
	NoAnswer
	// ClientLeft is a try whose client closed the connection before an answer.
	ClientLeft
)

// Try is one request of a client as the client saw it. Times are since the start of the record. A
// zero AnsweredAt means that no answer came.
type Try struct {
	ID string
	// First is the ID of the first try that this one repeats, or its own.
	First    string
	Customer string
	Plan     int
	Class    int
	Units    float64
	Key      string
	Gateway  int
	// RequestedAt is when the client was due to send the request; only for first tries.
	RequestedAt time.Duration
	// SentAt is when the last byte was written.
	SentAt time.Duration
	// Wait is how long the client waits from SentAt on.
	Wait       time.Duration
	AnsweredAt time.Duration
	Kind       Kind
	// Answers counts complete answers.
	Answers int
	// Value is the value of a served try.
	Value string
	// RetryAfter is the delay that came with a rejection.
	RetryAfter time.Duration
	// RejectReason is the gateway's reason for a rejection, if the rig knows it.
	RejectReason string
	// ClosedAt is when the first connection ended without a byte of an answer. The try was then
	// sent once more.
	ClosedAt time.Duration
	// Reset is set if a connection was reset, not closed.
	Reset bool
	// ClientLeftAt is when the client closed the connection by itself while it waited; 0 if it did
	// not.
	ClientLeftAt time.Duration
	// PortClosedAt is when nothing listened at the gateway's address; 0 if something did.
	PortClosedAt time.Duration
}

// Attempt is one request as a server saw it.
type Attempt struct {
	ID      string
	Key     string
	Server  string
	Gateway int
	Class   int
	// Work is the request's work on one core at speed 1.
	Work time.Duration
	// ToldWait is how long the gateway announces that it will wait; 0 if it is not known.
	ToldWait time.Duration
	// FirstByteAt is when the server received the first byte.
	FirstByteAt time.Duration
	// ReceivedAt is when the server received the last byte.
	ReceivedAt time.Duration
	// Ran is set if the work was started.
	Ran bool
	// Effect is set if the work was started and the request was not a duplicate.
	Effect bool
	// Rejected is set if the server rejected the request without starting it.
	Rejected bool
	// RepliedAt is when the answer was about to be written; 0 if there was none.
	RepliedAt time.Duration
}

// EndpointUpdate is an update of the registry about a server, as it was sent to a gateway.
type EndpointUpdate struct {
	Gateway int
	Server  string
	// Stop is set if the server is draining or removed.
	Stop bool
	At   time.Duration
}

// ProcessEvent is something that happened to a gateway's process.
type ProcessEvent struct {
	Gateway int
	Event   Event
	At      time.Duration
}

// Event is the kind of a ProcessEvent.
type Event uint8

// The events.
const (
	Started Event = iota
	Ready
	// Stopping is a request to stop.
	Stopping
	// Reloaded is a request to reload.
	Reloaded
	// Handed is a request to hand over to a new process.
	Handed
	Killed
	Exited
	// Crashed is an exit that the rig did not request.
	Crashed
	// Paused is a suspension by the rig.
	Paused
	// Resumed is the end of a suspension.
	Resumed
)

// ServerStart is a start of a server's process.
type ServerStart struct {
	Server string
	Cores  float64
	Speed  float64
	// SlowStart is set if the server is warming up. Otherwise it has been running for long.
	SlowStart bool
	At        time.Duration
	// OverloadedAt is when the server was overloaded; 0 if it was not.
	OverloadedAt time.Duration
	// BeforeNotified is set if at least a third of the overload came from gateways that had not
	// been notified of the start, which is no breach.
	BeforeNotified bool
}

// Record is everything that clients, servers and the rig saw in one run. The Add and Mark methods
// are safe for concurrent use. The slices may be read only after all goroutines that add to them
// have ended, or within Read.
type Record struct {
	mu              sync.Mutex
	began           time.Time
	Tries           []Try
	Attempts        []Attempt
	EndpointUpdates []EndpointUpdate
	ProcessEvents   []ProcessEvent
	ServerStarts    []ServerStart
}

// NewRecord returns a record that starts now.
func NewRecord() *Record { return &Record{began: time.Now()} }

// Began returns when the record started.
func (r *Record) Began() time.Time { return r.began }

// Now returns the time since the record started.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// AddTry adds a try that has ended.
func (r *Record) AddTry(t Try) { r.add(func() { r.Tries = append(r.Tries, t) }) }

// AddAttempt adds an attempt that was received completely, and returns its index for the Mark
// methods.
func (r *Record) AddAttempt(a Attempt) (n int) {
	r.add(func() { r.Attempts = append(r.Attempts, a); n = len(r.Attempts) - 1 })
	return n
}

// MarkRun records that an attempt was started, and whether it had an effect.
func (r *Record) MarkRun(n int, effect bool) {
	r.add(func() { r.Attempts[n].Ran, r.Attempts[n].Effect = true, effect })
}

// MarkReplied records that an attempt's answer is about to be written.
func (r *Record) MarkReplied(n int) {
	r.add(func() { r.Attempts[n].RepliedAt = r.Now() })
}

// MarkRejected records that the server rejected an attempt without starting it.
func (r *Record) MarkRejected(n int) { r.add(func() { r.Attempts[n].Rejected = true }) }

// AddEndpointUpdate adds an update of the registry.
func (r *Record) AddEndpointUpdate(t EndpointUpdate) {
	r.add(func() { r.EndpointUpdates = append(r.EndpointUpdates, t) })
}

// AddProcessEvent adds an event of a gateway's process at the current time.
func (r *Record) AddProcessEvent(gateway int, e Event) {
	r.add(func() { r.ProcessEvents = append(r.ProcessEvents, ProcessEvent{gateway, e, r.Now()}) })
}

// AddServerStart adds a start of a server, and returns its index for MarkOverloaded.
func (r *Record) AddServerStart(b ServerStart) (n int) {
	r.add(func() { r.ServerStarts = append(r.ServerStarts, b); n = len(r.ServerStarts) - 1 })
	return n
}

// MarkOverloaded records that a server was overloaded.
func (r *Record) MarkOverloaded(n int) {
	r.add(func() { r.ServerStarts[n].OverloadedAt = r.Now() })
}

// Read calls f while nothing is added to the record.
func (r *Record) Read(f func()) { r.add(f) }

func (r *Record) add(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}
