package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Predecessor is a successor's connection to the process that it replaces. It is not safe for
// concurrent use.
type Predecessor struct {
	messageLink
	receipts bool // the predecessor reads messageReceived and messageLeaving
}

// FindPredecessor connects to the process that serves and listens at path. It returns
// ErrNoPredecessor if there is none, or if the connection fails for another reason.
func FindPredecessor(path string) (*Predecessor, error) {
	address, release, err := socketAddress(path)
	if err != nil {
		return nil, ErrNoPredecessor
	}
	defer release()
	conn, err := net.DialUnix("unixpacket", nil, address)
	if err != nil {
		return nil, ErrNoPredecessor
	}
	return &Predecessor{messageLink: messageLink{conn: conn}}, nil
}

// TakeState tells the predecessor that this process is able to serve, and receives its state. If
// this process ends before Confirm, the predecessor continues to serve.
func (p *Predecessor) TakeState() (State, error) {
	s, err := p.takeState()
	if err != nil {
		return s, fmt.Errorf("handover: %w", err)
	}
	return s, nil
}

func (p *Predecessor) takeState() (s State, err error) {
	if err := p.write(messageTake, []byte(unsentSupported), nil); err != nil {
		return s, err
	}
	_ = p.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	for {
		kind, body, passed, err := p.read()
		switch {
		case err != nil:
			return s, err
		case kind == messageStateChunk && len(s.Snapshot)+len(body) <= maxStateBytes:
			s.Snapshot = append(s.Snapshot, body...)
		case kind == messageStateEnd:
			p.receipts = string(body) == receiptsSupported
			s.PeerSocket, err = peerSocket(passed)
			return s, err
		default:
			return s, unexpected(kind, "in the middle of the state")
		}
	}
}

// peerSocket returns the socket for a descriptor and closes the descriptor. It returns nil if there
// is no descriptor.
func peerSocket(passed *os.File) (*net.UDPConn, error) {
	if passed == nil {
		return nil, nil
	}
	defer passed.Close()
	conn, err := net.FilePacketConn(passed)
	if err != nil {
		return nil, fmt.Errorf("socket for peer messages: %w", err)
	}
	socket, ok := conn.(*net.UDPConn)
	if !ok {
		_ = conn.Close()
		return nil, fmt.Errorf("socket for peer messages: %w", ErrSocketKind)
	}
	return socket, nil
}

// Confirm tells the predecessor that this process has restored the state and takes over.
func (p *Predecessor) Confirm() error {
	var body []byte
	if p.receipts {
		body = []byte(receiptsSupported)
	}
	return p.write(messageConfirm, body, nil)
}

// ReceiveClients calls receive for each connection that the predecessor passes, until it has passed
// all of them or has exited. Connections that can't be used are closed.
func (p *Predecessor) ReceiveClients(receive func(ClientConn)) error {
	defer p.Leave()
	_ = p.conn.SetReadDeadline(time.Time{})
	for {
		c, err := p.receiveClient()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		// The receipt is sent before the connection is used: a connection without a receipt was
		// not used here, and the predecessor can resume it.
		p.report(messageReceived)
		if c.Conn != nil {
			receive(c)
		}
	}
}

// Leave tells the predecessor that this process accepts no more connections but keeps running, and
// closes the link.
func (p *Predecessor) Leave() {
	p.report(messageLeaving)
	_ = p.conn.Close()
}

// report sends a message of a kind that only a predecessor with receipts reads. An error is
// ignored: a predecessor that has exited needs no message.
func (p *Predecessor) report(kind byte) {
	if p.receipts {
		_ = p.write(kind, nil, nil)
	}
}

// read reads a message. If the predecessor exits with unread receipts, the kernel reports
// ECONNRESET once, and then returns the messages that were sent before.
func (p *Predecessor) read() (kind byte, body []byte, passed *os.File, err error) {
	kind, body, passed, err = p.messageLink.read()
	if errors.Is(err, syscall.ECONNRESET) {
		return p.messageLink.read()
	}
	return kind, body, passed, err
}

// receiveClient receives one connection. Conn is nil if the connection broke while it was passed.
func (p *Predecessor) receiveClient() (c ClientConn, err error) {
	kind, body, passed, err := p.read()
	if err != nil {
		return c, err
	}
	if kind != messageClient || passed == nil {
		return c, unexpected(kind, "instead of a client connection")
	}
	defer passed.Close()
	if err := json.Unmarshal(body, &c.State); err != nil {
		return c, err
	}
	if c.State.HeldCommands < 0 {
		return c, fmt.Errorf("%w: %d held commands", ErrUnexpectedMessage, c.State.HeldCommands)
	}
	if c.Unread, err = p.readData(messageUnread, c.State.UnreadLength, maxUnreadBytes); err != nil {
		return c, err
	}
	if c.Unsent, err = p.readData(messageUnsent, c.State.UnsentLength, maxUnsentBytes); err != nil {
		return c, err
	}
	conn, err := net.FileConn(passed)
	if err != nil {
		return c, nil // the connection broke while it was passed; its client notices that
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return c, fmt.Errorf("client connection: %w", ErrSocketKind)
	}
	c.Conn = tcp
	return c, nil
}

// readData reads data of the given length in messages of the given kind.
func (p *Predecessor) readData(kind byte, length, limit int) ([]byte, error) {
	if length < 0 || length > limit {
		return nil, fmt.Errorf("%w: %d bytes of kind %q", ErrUnexpectedMessage, length, kind)
	}
	var data []byte
	for len(data) < length {
		received, chunk, passed, err := p.read()
		if passed != nil {
			_ = passed.Close()
		}
		if err != nil {
			return nil, err
		}
		if received != kind || len(data)+len(chunk) > length {
			return nil, unexpected(received, "in the middle of a connection's data")
		}
		data = append(data, chunk...)
	}
	return data, nil
}

// Close closes the link. If Confirm was not called, the predecessor continues to serve.
func (p *Predecessor) Close() { _ = p.conn.Close() }
