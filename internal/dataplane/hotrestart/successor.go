package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Listener accepts connections of successors of this process.
type Listener struct{ listener *net.UnixListener }

// Listen makes this process the one that successors find at path, in place of any earlier process.
func Listen(path string) (*Listener, error) {
	l, err := listen(path)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return l, nil
}

func listen(path string) (*Listener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(temporary)
	address, release, err := socketAddress(temporary)
	if err != nil {
		return nil, err
	}
	defer release()
	l, err := net.ListenUnix("unixpacket", address)
	if err != nil {
		return nil, err
	}
	l.SetUnlinkOnClose(false) // by then the path may be a successor's
	if err := os.Rename(temporary, path); err != nil {
		_ = l.Close()
		_ = os.Remove(temporary)
		return nil, err
	}
	return &Listener{l}, nil
}

// Close stops accepting successors. It does not remove the socket's path.
func (l *Listener) Close() { _ = l.listener.Close() }

// Serve calls take for each successor that is able to serve, on a goroutine of its own. It returns
// after Close.
func (l *Listener) Serve(take func(*Successor)) {
	for {
		conn, err := l.listener.AcceptUnix()
		if err != nil {
			return
		}
		go func() {
			s := &Successor{messageLink: messageLink{conn: conn}}
			if s.awaitTake() {
				take(s)
				return
			}
			_ = conn.Close()
		}()
	}
}

// Successor is this process's connection to the process that replaces it. Close is safe for
// concurrent use, and AwaitReceipt may run concurrently with PassClient.
type Successor struct {
	messageLink
	once     sync.Once
	receipts bool // the successor sends messageReceived and messageLeaving
	unsent   bool // the successor reads messageUnsent
}

// awaitTake waits until the successor says that it is able to serve. It returns false if the
// successor sends anything else or closes.
func (s *Successor) awaitTake() bool {
	kind, body, passed, err := s.read()
	if passed != nil {
		_ = passed.Close()
	}
	s.unsent = string(body) == unsentSupported
	return err == nil && kind == messageTake
}

// SendState sends the state and waits for the confirmation that it was restored. After an error the
// successor has not taken over, and its connection is closed.
func (s *Successor) SendState(state State) error {
	if err := s.sendState(state); err != nil {
		s.Close()
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func (s *Successor) sendState(state State) error {
	if err := s.writeChunks(messageStateChunk, state.Snapshot); err != nil {
		return err
	}
	var passed syscall.Conn
	if state.PeerSocket != nil {
		passed = state.PeerSocket
	}
	if err := s.write(messageStateEnd, []byte(receiptsSupported), passed); err != nil {
		return err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	kind, body, _, err := s.read()
	if err != nil {
		return err
	}
	if kind != messageConfirm {
		return unexpected(kind, "instead of the confirmation")
	}
	s.receipts = string(body) == receiptsSupported
	return s.conn.SetReadDeadline(time.Time{})
}

// SendsReceipts reports whether AwaitReceipt returns for each connection that is received, and
// recognizes that the successor has exited. A successor of an earlier build sends no receipts.
func (s *Successor) SendsReceipts() bool { return s.receipts }

// TakesUnsent reports whether a connection may be passed with answers that are not yet written. A
// successor of an earlier build does not know of them.
func (s *Successor) TakesUnsent() bool { return s.unsent }

// AwaitReceipt waits until the successor has received the next connection. The error wraps
// ErrSuccessorExited or ErrSuccessorLeft if one of them is known to be the cause. The successor has
// then received none of the remaining connections.
func (s *Successor) AwaitReceipt() error {
	kind, _, passed, err := s.read()
	if passed != nil {
		_ = passed.Close()
	}
	switch {
	case s.receipts && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)):
		return fmt.Errorf("handover: %w", ErrSuccessorExited)
	case err != nil:
		return fmt.Errorf("handover: %w", err)
	case kind == messageLeaving:
		return fmt.Errorf("handover: %w", ErrSuccessorLeft)
	case kind != messageReceived:
		return fmt.Errorf("handover: %w", unexpected(kind, "instead of a receipt"))
	}
	return nil
}

// PassClient passes a connection to the successor. The connection stays open in this process until
// the caller closes it.
func (s *Successor) PassClient(c ClientConn) error {
	if err := s.passClient(c); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

func (s *Successor) passClient(c ClientConn) error {
	c.State.UnreadLength = len(c.Unread)
	c.State.UnsentLength = len(c.Unsent)
	state, err := json.Marshal(c.State)
	if err != nil {
		return err
	}
	if err := s.write(messageClient, state, c.Conn); err != nil {
		return err
	}
	if err := s.writeChunks(messageUnread, c.Unread); err != nil {
		return err
	}
	return s.writeChunks(messageUnsent, c.Unsent)
}

// Close closes the link: no more connections are passed.
func (s *Successor) Close() { s.once.Do(func() { _ = s.conn.Close() }) }
