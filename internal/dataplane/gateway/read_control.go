package gateway

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// expiredDeadline is a deadline in the past. Setting it interrupts a blocked read or accept.
var expiredDeadline = time.Unix(1, 0)

// readControl lets the event loop stop a client's reader: between two commands to close the
// connection (halt), or anywhere to pass it to a successor (detach). The event loop and the reader
// share the fields that mu guards, up to waitingSince. The others belong to the event loop, except
// in arrivalTime.
type readControl struct {
	mu              sync.Mutex
	inCommand       bool // the reader is reading a command
	detachRequested bool // the reader is to end between two commands
	haltRequested   bool // the reader is to halt there, after posting all it has read
	// firstDeadline is the read deadline of the first command; zero: the command has arrived.
	firstDeadline time.Time
	detachSignal  chan struct{} // closed by the first requestDetach
	// waitingSince is since when the client has been sending its current command, or its first one;
	// zero: it is between two commands.
	waitingSince time.Time

	halted   bool          // the reader waits to be resumed
	detached bool          // the reader has ended
	unread   []byte        // data read beyond the last complete command
	held     []commandRead // commands waiting until it is known which process answers them
	// framingLost is set once a command is held after which nothing can be parsed.
	framingLost bool

	// inheritedArrivals are the times at which the complete commands at the start of unread
	// arrived. The reader that was before this one has read them.
	inheritedArrivals []policy.Time
}

// beginCommand is called by the reader at the end of its wait for a command, with the error of the
// wait. It returns false if the reader is to end.
func (rc *readControl) beginCommand(conn net.Conn, err error) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.inCommand = !rc.detachRequested && err == nil
	if !rc.inCommand {
		return !rc.detachRequested
	}
	if rc.waitingSince.IsZero() {
		rc.waitingSince = time.Now()
	}
	deadline := rc.firstDeadline
	if deadline.IsZero() {
		deadline = rc.waitingSince.Add(commandTimeout)
	}
	_ = conn.SetReadDeadline(deadline)
	return true
}

// interruptedBy reports whether a detach has interrupted the reading of a command. err is the error
// of the read.
func (rc *readControl) interruptedBy(err error) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.detachRequested && errors.Is(err, os.ErrDeadlineExceeded)
}

// haltedBy reports whether a halt has ended the wait for a command. err is the error of the wait.
func (rc *readControl) haltedBy(err error) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.haltRequested && errors.Is(err, os.ErrDeadlineExceeded)
}

// halting reports whether a halt was requested.
func (rc *readControl) halting() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.haltRequested
}

// readOn is called by a reader that is to halt, but has not read all that came while it paused.
func (rc *readControl) readOn(conn net.Conn) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !rc.detachRequested {
		_ = conn.SetReadDeadline(rc.firstDeadline)
	}
}

// endCommand is called by the reader after it has read a command. validCommandRead: a valid command
// was read on this connection, so the wait for the next one has no deadline. behind: a halt waits
// until more is read.
func (rc *readControl) endCommand(conn net.Conn, validCommandRead, behind bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.inCommand = false
	if validCommandRead {
		rc.firstDeadline = time.Time{}
		rc.waitingSince = time.Time{}
	}
	if rc.detachRequested || rc.haltRequested && !behind {
		_ = conn.SetReadDeadline(expiredDeadline)
	} else if validCommandRead {
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// awaitFirstCommand sets the read deadline of the first command.
func (rc *readControl) awaitFirstCommand(conn net.Conn) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.waitingSince.IsZero() {
		rc.waitingSince = time.Now()
	}
	rc.firstDeadline = rc.waitingSince.Add(firstCommandTimeout)
	if !rc.detachRequested && !rc.haltRequested {
		_ = conn.SetReadDeadline(rc.firstDeadline)
	}
}

// requestHalt makes the reader halt between two commands and then post readerHalted.
func (rc *readControl) requestHalt(conn net.Conn) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.haltRequested = true
	if !rc.inCommand {
		_ = conn.SetReadDeadline(expiredDeadline)
	}
}

// resume cancels a halt.
func (rc *readControl) resume(conn net.Conn) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.haltRequested = false
	if !rc.detachRequested {
		_ = conn.SetReadDeadline(rc.firstDeadline)
	}
}

// requestDetach ends the reader immediately, also in the middle of a command. The reader then posts
// readerDetached with what it had read. A detach can't be cancelled.
func (rc *readControl) requestDetach(conn net.Conn) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if !rc.detachRequested {
		rc.detachRequested = true
		close(rc.detachSignal)
	}
	_ = conn.SetReadDeadline(expiredDeadline)
}

// waited returns for how long the client has been sending its current command, or its first one; 0
// if it is between two commands. It must not be called before the reader has ended.
func (rc *readControl) waited() time.Duration {
	if rc.waitingSince.IsZero() {
		return 0
	}
	return time.Since(rc.waitingSince)
}

// arrivalTime returns when the command that was just read arrived: now, unless an earlier reader of
// the connection had read it. Only the reader calls it.
func (rc *readControl) arrivalTime(now policy.Time) policy.Time {
	if len(rc.inheritedArrivals) == 0 {
		return now
	}
	arrived := rc.inheritedArrivals[0]
	rc.inheritedArrivals = rc.inheritedArrivals[1:]
	return arrived
}

// activityReader records the time at which data was last read from a client, and how much was.
type activityReader struct {
	from   io.Reader
	client *client
	clock  clock
}

func (r *activityReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	r.client.arrivals.received += int64(n)
	if n > 0 {
		r.client.lastByte.Store(r.clock.now())
	}
	return n, err
}

// commandSource returns the reader of a client's commands: first the data that a predecessor had
// read, then the connection.
func (c *client) commandSource() io.Reader {
	if len(c.reading.unread) == 0 {
		return c.conn
	}
	unread := c.reading.unread
	c.reading.unread = nil
	return io.MultiReader(bytes.NewReader(unread), c.conn)
}

// appendEncoded appends the command to b in its RESP2 encoding.
func (e *commandRead) appendEncoded(b []byte) []byte {
	args := e.rawArgs
	if args == nil { // not readable: the successor answers the unknown command with an error
		args = [][]byte{[]byte("UNREADABLE")}
	}
	b = resp.AppendArray(b, len(args))
	for _, a := range args {
		b = resp.AppendBulk(b, a)
	}
	return b
}
