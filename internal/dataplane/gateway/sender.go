package gateway

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// sender writes to a connection without ever making the loop wait: what the
// socket takes at once is written at once, the rest by a goroutine of its own.
type sender struct {
	conn *net.TCPConn
	raw  syscall.RawConn

	mu         sync.Mutex
	pending    []byte
	writing    bool   // a goroutine is writing
	streamNext func() // writes what comes next by itself, after the rest

	fullyWritten *atomic.Int64 // counts what was written whole with it, of what send could not; nil: nobody counts
	closeAfter   bool          // ends the sending after the rest
}

func newSender(conn *net.TCPConn) *sender {
	raw, _ := conn.SyscallConn() // fails only for a closed connection: so does try
	return &sender{conn: conn, raw: raw}
}

// writeNow writes what the socket takes at once.
func (s *sender) writeNow(b []byte) (n int, err error) {
	if s.raw == nil {
		return 0, net.ErrClosed
	}
	var werr error
	err = s.raw.Write(func(fd uintptr) bool {
		for {
			n, werr = syscall.Write(int(fd), b)
			if werr != syscall.EINTR {
				return true
			}
		}
	})
	n = max(n, 0)
	if err == nil && werr != syscall.EAGAIN {
		err = werr
	}
	return n, err
}

// nothingToRead tells whether the connection is open and nothing waits to be read from it.
func (s *sender) nothingToRead() bool {
	_, err := s.peek()
	return err == syscall.EAGAIN || err == syscall.EINTR
}

// hungUp tells whether the other side has closed the connection, also behind what waits to be read.
func (s *sender) hungUp() bool {
	n, err := s.peek()
	if n > 0 {
		return s.peerClosedWrite()
	}
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// peerClosedWrite tells whether the other side has closed the connection, as far as the system has taken in all that came
// before the close.
func (s *sender) peerClosedWrite() bool {
	closed := false
	err := s.raw.Control(func(fd uintptr) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(look, 0)
		closed = n == 1 && err == nil && look[0].Revents&unix.POLLRDHUP != 0
	})
	return err != nil || closed
}

// peek looks for what waits to be read, of which it takes nothing. 0 without an error is the end.
func (s *sender) peek() (n int, err error) {
	if s.raw == nil {
		return 0, net.ErrClosed
	}
	if cerr := s.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); cerr != nil {
		return 0, cerr
	}
	return max(n, 0), err
}

// send writes b, which is the sender's from then on. It tells whether there was
// room: at most so many bytes are kept for a reader that takes nothing.
func (s *sender) send(b []byte, most int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writing {
		s.pending = append(s.pending, b...)
		return len(s.pending) <= most
	}
	n, err := s.writeNow(b)
	if err == nil && n < len(b) {
		s.pending, s.writing = append(s.pending, b[n:]...), true
		go s.writePending()
	} else if err == nil && s.fullyWritten != nil {
		s.fullyWritten.Add(1)
	}
	return true // a broken connection is the reader's to find
}

func (s *sender) writePending() {
	for {
		s.mu.Lock()
		b := s.pending
		s.pending = nil
		if f := s.streamNext; len(b) == 0 && f != nil {
			s.streamNext = nil
			s.mu.Unlock()
			f()
			continue
		}
		if len(b) == 0 {
			s.writing = false
			if s.closeAfter {
				_ = s.conn.CloseWrite()
			}
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if _, err := s.conn.Write(b); err == nil && s.fullyWritten != nil {
			s.fullyWritten.Add(1)
		}
	}
}

// stream has f write to the connection by itself, once all before is written, from another
// goroutine. What is sent meanwhile waits for its end.
func (s *sender) stream(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamNext = f
	if !s.writing {
		s.writing = true
		go s.writePending()
	}
}

// closeWrite ends the sending after what was sent. The reading goes on until the other
// side has closed, so that no answer is lost with a reset.
func (s *sender) closeWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeAfter = true
	if !s.writing {
		_ = s.conn.CloseWrite()
	}
}

// drained tells whether all that was sent is written.
func (s *sender) drained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.writing
}
