package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// sender writes to a connection without ever blocking its caller: what the socket takes at once is
// written at once, the rest by a goroutine of its own. Its methods are safe for concurrent use.
type sender struct {
	conn *net.TCPConn
	raw  syscall.RawConn // nil: the connection was closed before

	mu         sync.Mutex
	pending    []byte
	writing    bool   // a goroutine writes pending
	streamNext func() // writes to the connection by itself, after pending; nil: none
	closeAfter bool   // the sending ends after pending

	// fullyWritten counts the messages that send has completed; nil: nobody counts. It is set
	// only while no goroutine writes.
	fullyWritten *atomic.Int64
}

func newSender(conn *net.TCPConn) *sender {
	raw, _ := conn.SyscallConn() // fails only for a closed connection, for which writeNow fails
	return &sender{conn: conn, raw: raw}
}

// writeNow writes what the socket takes at once. A full socket is no error.
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

// nothingToRead reports whether the connection is open and nothing waits to be read from it.
func (s *sender) nothingToRead() bool {
	_, err := s.peek()
	return wouldBlock(err)
}

func wouldBlock(err error) bool { return err == syscall.EAGAIN || err == syscall.EINTR }

// hungUp reports whether the other side has closed the connection, also behind unread data.
func (s *sender) hungUp() bool {
	n, err := s.peek()
	if n > 0 {
		return s.peerClosedWrite()
	}
	return !wouldBlock(err)
}

// peerClosedWrite reports whether the other side has closed the connection behind unread data. The
// kernel does not know of a close before it has received all data in front of it.
func (s *sender) peerClosedWrite() bool {
	closed := false
	err := s.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		closed = n == 1 && err == nil && poll[0].Revents&unix.POLLRDHUP != 0
	})
	return err != nil || closed
}

// peek returns how much waits to be read, at most 1, and takes nothing of it. 0 without an error is
// the end of the connection.
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

// send writes b, which is the sender's from then on. It returns false if more than maxPending bytes
// wait for a peer that reads too slowly. A broken connection is left for its reader to find.
func (s *sender) send(b []byte, maxPending int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing {
		s.pending = append(s.pending, b...)
		return len(s.pending) <= maxPending
	}
	n, err := s.writeNow(b)
	switch {
	case err != nil:
	case n < len(b):
		s.pending = append(s.pending, b[n:]...)
		s.writing = true
		go s.writePending()
	case s.fullyWritten != nil:
		s.fullyWritten.Add(1)
	}
	return true
}

// writePending writes what is pending, and runs what is to be streamed, until nothing is left. It
// runs on a goroutine of its own.
func (s *sender) writePending() {
	for {
		b, stream, more := s.takePending()
		if !more {
			return
		}
		if stream != nil {
			stream()
			continue
		}
		if _, err := s.conn.Write(b); err == nil && s.fullyWritten != nil {
			s.fullyWritten.Add(1)
		}
	}
}

// takePending returns what is to be written next: bytes, or a function that writes. more is false
// if there is nothing; the writing has then ended.
func (s *sender) takePending() (b []byte, stream func(), more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b = s.pending
	s.pending = nil
	if len(b) > 0 {
		return b, nil, true
	}
	if s.streamNext != nil {
		stream = s.streamNext
		s.streamNext = nil
		return nil, stream, true
	}
	s.writing = false
	if s.closeAfter {
		_ = s.conn.CloseWrite()
	}
	return nil, nil, false
}

// stream has f write to the connection by itself, from another goroutine, once all that was sent
// before is written. What is sent meanwhile waits until f returns.
func (s *sender) stream(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamNext = f
	if !s.writing {
		s.writing = true
		go s.writePending()
	}
}

// closeWrite ends the sending after all that was sent. The reading goes on until the other side
// has closed, so that no answer is lost with a reset.
func (s *sender) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeAfter = true
	if !s.writing {
		_ = s.conn.CloseWrite()
	}
}

// drained reports whether all that was sent is written.
func (s *sender) drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.writing
}
