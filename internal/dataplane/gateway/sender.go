package gateway

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// sender writes to a connection without blocking its caller: it writes immediately what the socket
// accepts and leaves the rest to a separate goroutine. Its methods are safe for concurrent use.
type sender struct {
	conn *net.TCPConn
	raw  syscall.RawConn // nil: the connection was closed before newSender

	mu         sync.Mutex
	pending    [][]byte      // messages that are queued behind the one being written
	writing    bool          // writePending runs
	streamNext func()        // function that writes to the connection after pending; nil: none
	closeAfter bool          // shut down the write side after pending
	stopped    bool          // nothing more is written; see takeUnsent
	writerDone chan struct{} // closed when writePending returns; nil: it does not run
	queued     int           // bytes that were sent and that the socket has not accepted yet

	// progress has a value after the socket has accepted queued bytes or the queue has ended. Only
	// one goroutine may receive from it.
	progress chan struct{}
	// onStall is called when the peer has read nothing for stallTimeout while bytes are queued;
	// nil: the sender waits without a limit.
	onStall      func()
	stallTimeout time.Duration
	// queuedTotal is the size of the queues of several senders together; nil: it is not counted.
	queuedTotal *atomic.Int64

	// fullyWritten counts the messages that send has written completely; nil: they are not counted.
	// It may be set only while writePending is not running.
	fullyWritten *atomic.Int64
}

func newSender(conn *net.TCPConn) *sender {
	raw, _ := conn.SyscallConn() // fails only for a closed connection, and then writeNow fails too
	return &sender{conn: conn, raw: raw, progress: make(chan struct{}, 1)}
}

// writeNow writes as much as the socket accepts without blocking. A full socket buffer is not an
// error.
func (s *sender) writeNow(b []byte) (n int, err error) {
	if s.raw == nil {
		return 0, net.ErrClosed
	}
	var writeErr error
	err = s.raw.Write(func(fd uintptr) bool {
		for {
			n, writeErr = syscall.Write(int(fd), b)
			if writeErr != syscall.EINTR {
				return true
			}
		}
	})
	n = max(n, 0)
	if err == nil && writeErr != syscall.EAGAIN {
		err = writeErr
	}
	return n, err
}

// nothingToRead reports whether the connection is open and has no unread data.
func (s *sender) nothingToRead() bool {
	_, err := s.peek()
	return wouldBlock(err)
}

func wouldBlock(err error) bool { return err == syscall.EAGAIN || err == syscall.EINTR }

// hungUp reports whether the peer has closed the connection, even if unread data precedes the
// close.
func (s *sender) hungUp() bool {
	n, err := s.peek()
	if n > 0 {
		return s.peerClosedWrite()
	}
	return !wouldBlock(err)
}

// peerClosedWrite reports whether the peer has closed its write side after unread data. The kernel
// learns of the close only once it has received all data before it.
func (s *sender) peerClosedWrite() bool {
	closed := false
	err := s.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		closed = n == 1 && err == nil && poll[0].Revents&unix.POLLRDHUP != 0
	})
	return err != nil || closed
}

// peek returns the number of readable bytes, at most 1, without consuming them. 0 without an error
// means the end of the stream.
func (s *sender) peek() (n int, err error) {
	if s.raw == nil {
		return 0, net.ErrClosed
	}
	controlErr := s.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return max(n, 0), err
}

// send writes b and takes ownership of it. What the socket does not accept now is queued. It does
// not report a broken connection: the connection's reader detects that.
func (s *sender) send(b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing {
		s.pending = append(s.pending, b)
		s.addQueued(len(b))
		return
	}
	n, err := s.writeNow(b)
	switch {
	case err != nil:
	case n < len(b):
		s.pending = append(s.pending, b[n:])
		s.addQueued(len(b) - n)
		s.startWriter()
	case s.fullyWritten != nil:
		s.fullyWritten.Add(1)
	}
}

// addQueued changes the number of queued bytes. The caller holds mu.
func (s *sender) addQueued(n int) {
	s.queued += n
	if s.queuedTotal != nil {
		s.queuedTotal.Add(int64(n))
	}
}

// watch has the sender count its queue in total, and call onStall once the peer has read nothing
// for stallTimeout.
func (s *sender) watch(total *atomic.Int64, stallTimeout time.Duration, onStall func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stallTimeout = stallTimeout
	s.onStall = onStall
	if s.queuedTotal == nil {
		s.queuedTotal = total
		total.Add(int64(s.queued))
	}
}

// queuedBytes returns the number of bytes that were sent and that the socket has not accepted yet.
func (s *sender) queuedBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued
}

// startWriter starts writePending. The caller holds mu.
func (s *sender) startWriter() {
	s.writing = true
	s.writerDone = make(chan struct{})
	go s.writePending(s.writerDone)
}

// takeUnsent stops the sender and returns what it has not written. It interrupts a write and waits
// for its end, which does not depend on the peer. It must not be called while a stream function
// runs or is pending, and nothing may be sent afterwards.
func (s *sender) takeUnsent() []byte {
	s.mu.Lock()
	s.stopped = true
	writing, done := s.writing, s.writerDone
	s.mu.Unlock()
	if writing {
		_ = s.conn.SetWriteDeadline(expiredDeadline)
		<-done
		_ = s.conn.SetWriteDeadline(time.Time{})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	unsent := slices.Concat(s.pending...)
	s.pending = nil
	s.addQueued(-s.queued)
	return unsent
}

// writePending writes the pending bytes and runs the stream functions until none are left or the
// sender is stopped. It runs on its own goroutine.
func (s *sender) writePending(done chan struct{}) {
	defer close(done)
	for {
		b, stream, more := s.takePending()
		if !more {
			return
		}
		if stream != nil {
			stream()
			continue
		}
		n, err := s.writeBlocking(b)
		if err == nil && s.fullyWritten != nil {
			s.fullyWritten.Add(1)
		}
		if n < len(b) {
			s.putBack(b[n:])
		}
	}
}

// writeChunkBytes is the size of the pieces in which queued bytes are written, so that progress
// shows before all are written.
const writeChunkBytes = 16 << 10

// writeBlocking writes b and waits until the socket has accepted all of it, the connection breaks,
// the peer stalls, or takeUnsent interrupts it.
func (s *sender) writeBlocking(b []byte) (written int, err error) {
	for written < len(b) {
		chunk := b[written:min(len(b), written+writeChunkBytes)]
		onStall := s.extendWriteDeadline()
		n, err := s.conn.Write(chunk)
		written += n
		s.accepted(n)
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil || timedOut && n > 0 && !s.isStopped():
		case timedOut && onStall != nil && !s.isStopped():
			onStall()
			return written, err
		default:
			return written, err
		}
	}
	return written, nil
}

// extendWriteDeadline gives the peer the whole stallTimeout for the next write, unless the
// sender was stopped. It returns the function to call when that time has passed.
func (s *sender) extendWriteDeadline() (onStall func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onStall != nil && !s.stopped {
		_ = s.conn.SetWriteDeadline(time.Now().Add(s.stallTimeout))
	}
	return s.onStall
}

func (s *sender) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// accepted records that the socket has accepted n queued bytes.
func (s *sender) accepted(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addQueued(-n)
	s.signalProgress()
}

func (s *sender) signalProgress() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// putBack puts the rest of an interrupted write before the pending bytes. Without takeUnsent, a
// write ends early only because the connection is broken, and its rest is dropped.
func (s *sender) putBack(rest []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		s.pending = slices.Insert(s.pending, 0, rest)
		return
	}
	s.addQueued(-len(rest))
}

// takePending returns what to write next: bytes or a stream function. more is false if there is
// neither; writePending must then return.
func (s *sender) takePending() (b []byte, stream func(), more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		s.writing = false
		return nil, nil, false
	}
	if len(s.pending) > 0 {
		b = s.pending[0]
		s.pending[0] = nil
		s.pending = s.pending[1:]
		return b, nil, true
	}
	s.pending = nil
	if s.streamNext != nil {
		stream = s.streamNext
		s.streamNext = nil
		return nil, stream, true
	}
	s.writing = false
	if s.onStall != nil {
		_ = s.conn.SetWriteDeadline(time.Time{})
	}
	s.signalProgress()
	if s.closeAfter {
		_ = s.conn.CloseWrite()
	}
	return nil, nil, false
}

// stream runs f on another goroutine once everything sent before has been written. f writes to the
// connection directly. Data sent in the meantime is queued until f returns.
func (s *sender) stream(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamNext = f
	if !s.writing {
		s.startWriter()
	}
}

// closeWrite shuts down the write side once everything sent has been written. The connection stays
// readable until the peer closes it, because an earlier close could reset the connection and lose
// an answer.
func (s *sender) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeAfter = true
	if !s.writing {
		_ = s.conn.CloseWrite()
	}
}

// unreadBytes returns the number of bytes that the connection's system has received and that were
// not read yet.
func (s *sender) unreadBytes() int {
	if s.raw == nil {
		return 0
	}
	unread := 0
	_ = s.raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		if err == nil {
			unread = n
		}
	})
	return unread
}

// sinceLastData returns how long ago the system has received the connection's latest data, or 0 if
// that is not known.
func (s *sender) sinceLastData() time.Duration {
	if s.raw == nil {
		return 0
	}
	age := time.Duration(0)
	_ = s.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// delivered reports whether the peer's system has received everything sent. Closing the connection
// earlier could reset it, and lose what the system still holds.
func (s *sender) delivered() bool {
	if !s.drained() {
		return false
	}
	if s.raw == nil {
		return true
	}
	unacknowledged := 0
	err := s.raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if err == nil {
			unacknowledged = n
		}
	})
	return err != nil || unacknowledged == 0
}

// drained reports whether everything sent has been written.
func (s *sender) drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.writing
}
