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

// expiredDeadline is a read deadline in the past: it ends a read that waits.
var expiredDeadline = time.Unix(1, 0)

// readControl lets the event loop stop a client's reader between two commands: to close the
// connection (halt) or to pass it on to a successor (part). The event loop and the reader share
// what the mutex guards; what follows it belongs to the event loop, but for arrivalTime.
type readControl struct {
	mu              sync.Mutex
	inCommand       bool // the reader is reading a command
	detachRequested bool // the reader ends between two commands
	haltRequested   bool // the reader halts there, once it has posted all that it has read
	// firstDeadline is by when the first command must have come; zero: it has.
	firstDeadline time.Time

	detached bool          // the reader has ended
	unread   []byte        // what it had read beyond the last command
	held     []commandRead // commands that wait to know which process answers them

	// A connection from a predecessor came with inheritedCommands complete commands in unread,
	// the first of which was inheritedAge old at inheritedAt.
	inheritedCommands int
	inheritedAge      policy.Time
	inheritedAt       policy.Time
}

// beginCommand is called by the reader when its wait for a command has ended, with the error of
// that wait. It returns false if the reader is to end.
func (rc *readControl) beginCommand(conn net.Conn, err error) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.inCommand = !rc.detachRequested && err == nil
	if rc.inCommand && rc.haltRequested {
		_ = conn.SetReadDeadline(rc.firstDeadline) // the command came before the halt
	}
	return !rc.detachRequested
}

// haltedBy reports whether the wait for a command has ended, with err, because of a halt.
func (rc *readControl) haltedBy(err error) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.haltRequested && errors.Is(err, os.ErrDeadlineExceeded)
}

// endCommand is called by the reader when it has read a command. spoken: a valid one has come on
// this connection, so that no deadline applies to the wait for the next.
func (rc *readControl) endCommand(conn net.Conn, validCommandRead bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.inCommand = false
	if validCommandRead {
		rc.firstDeadline = time.Time{}
	}
	if rc.detachRequested || rc.haltRequested {
		_ = conn.SetReadDeadline(expiredDeadline)
	} else if validCommandRead {
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// setFirstDeadline sets by when the first command must have come.
func (rc *readControl) setFirstDeadline(conn net.Conn, deadline time.Time) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.firstDeadline = deadline
	if !rc.detachRequested && !rc.haltRequested {
		_ = conn.SetReadDeadline(deadline)
	}
}

// requestHalt has the reader halt when it is between two commands; readerHalted follows.
func (rc *readControl) requestHalt(conn net.Conn) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.haltRequested = true
	if !rc.inCommand {
		_ = conn.SetReadDeadline(expiredDeadline)
	}
}

// resume withdraws a halt.
func (rc *readControl) resume(conn net.Conn) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.haltRequested = false
	if !rc.detachRequested {
		_ = conn.SetReadDeadline(rc.firstDeadline)
	}
}

// requestDetach ends the reader: at once, or after the command that it is reading; readerDetached
// follows. It can't be withdrawn.
func (rc *readControl) requestDetach(conn net.Conn) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.detachRequested = true
	if !rc.inCommand {
		_ = conn.SetReadDeadline(expiredDeadline)
	}
}

// arrivalTime returns when the command that was just read arrived; now, unless it came with the
// connection from a predecessor. Only the reader calls it.
func (rc *readControl) arrivalTime(now policy.Time) policy.Time {
	if rc.inheritedCommands == 0 {
		return now
	}
	rc.inheritedCommands--
	return rc.inheritedAt - rc.inheritedAge
}

// activityReader records when something comes from a client.
type activityReader struct {
	from   io.Reader
	client *client
	clock  clock
}

func (r *activityReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	if n > 0 {
		r.client.lastByte.Store(r.clock.now())
	}
	return n, err
}

// commandSource returns what a client's commands are read from: first what a predecessor had read,
// then the connection.
func (c *client) commandSource() io.Reader {
	if len(c.reading.unread) == 0 {
		return c.conn
	}
	unread := c.reading.unread
	c.reading.unread = nil
	return io.MultiReader(bytes.NewReader(unread), c.conn)
}

// appendEncoded appends a command to b in the form in which it can be read again.
func (e *commandRead) appendEncoded(b []byte) []byte {
	args := e.rawArgs
	if args == nil { // it could not be read: the successor answers an unknown command with an error
		args = [][]byte{[]byte("UNREADABLE")}
	}
	b = resp.AppendArray(b, len(args))
	for _, a := range args {
		b = resp.AppendBulk(b, a)
	}
	return b
}
