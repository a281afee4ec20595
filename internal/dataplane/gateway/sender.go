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

	mu   sync.Mutex
	rest []byte
	busy bool   // a goroutine is writing
	then func() // writes what comes next by itself, after the rest

	whole *atomic.Int64 // counts what was written whole with it, of what send could not; nil: nobody counts
	fin   bool          // ends the sending after the rest
}

func newSender(conn *net.TCPConn) *sender {
	raw, _ := conn.SyscallConn() // fails only for a closed connection: so does try
	return &sender{conn: conn, raw: raw}
}

// try writes what the socket takes at once.
func (s *sender) try(b []byte) (n int, err error) {
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

// quiet tells whether the connection is open and nothing waits to be read from it.
func (s *sender) quiet() bool {
	_, err := s.peek()
	return err == syscall.EAGAIN || err == syscall.EINTR
}

// hungUp tells whether the other side has closed the connection, also behind what waits to be read.
func (s *sender) hungUp() bool {
	n, err := s.peek()
	if n > 0 {
		return s.closedBehind()
	}
	return err != syscall.EAGAIN && err != syscall.EINTR
}

// closedBehind tells whether the other side has closed the connection, as far as the system has taken in all that came
// before the close.
func (s *sender) closedBehind() bool {
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
	if s.busy {
		s.rest = append(s.rest, b...)
		return len(s.rest) <= most
	}
	n, err := s.try(b)
	if err == nil && n < len(b) {
		s.rest, s.busy = append(s.rest, b[n:]...), true
		go s.write()
	} else if err == nil && s.whole != nil {
		s.whole.Add(1)
	}
	return true // a broken connection is the reader's to find
}

func (s *sender) write() {
	for {
		s.mu.Lock()
		b := s.rest
		s.rest = nil
		if f := s.then; len(b) == 0 && f != nil {
			s.then = nil
			s.mu.Unlock()
			f()
			continue
		}
		if len(b) == 0 {
			s.busy = false
			if s.fin {
				_ = s.conn.CloseWrite()
			}
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if _, err := s.conn.Write(b); err == nil && s.whole != nil {
			s.whole.Add(1)
		}
	}
}

// stream has f write to the connection by itself, once all before is written, from another
// goroutine. What is sent meanwhile waits for its end.
func (s *sender) stream(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.then = f
	if !s.busy {
		s.busy = true
		go s.write()
	}
}

// end ends the sending after what was sent. The reading goes on until the other
// side has closed, so that no answer is lost with a reset.
func (s *sender) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fin = true
	if !s.busy {
		_ = s.conn.CloseWrite()
	}
}

// idle tells whether all that was sent is written.
func (s *sender) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.busy
}
