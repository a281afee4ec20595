// Package hotrestart carries what a process leaves to the one that takes its place: what
// it knows, its socket for notes, and its clients' connections, over a Unix socket in a
// folder that both see.
//
// A process that starts calls Ask. Where one serves already, it waits until it could
// serve itself, and calls Take. The one before pauses, gives its state, and waits for the
// word that it was taken in. From that word on it takes nothing more, and passes its clients'
// connections on one by one, as they come to stand between two requests. If the word does
// not come it serves on as if nothing had been.
//
// The socket carries messages of a kind byte and a body: 'T' take, 'S' a piece of the
// state, 'E' its end with the socket for notes if there is one, 'K' taken in, 'C' a client's
// connection with a head as JSON, 'M' more of what was read from it. Descriptors
// travel with 'E' and 'C'.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	chunkBytes      = 32 << 10 // bytes of a state or of what was read in a message
	maxMessageBytes = 96 << 10 // and of any message: a head may hold a long credential, escaped
	maxStateBytes   = 64 << 20 // bytes of a state that is taken in
	maxUnreadBytes  = 24 << 20 // bytes read from one connection that are taken in
	stepTimeout     = 2 * time.Second
)

// ErrNoPredecessor tells that no process serves before this one.
var ErrNoPredecessor = errors.New("handover: no process before this one")

// SocketPath is where the processes of a gateway find each other in a folder.
func SocketPath(folder, name string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // names may be longer than a file's may be
	return filepath.Join(folder, fmt.Sprintf("mothcleat-%016x.sock", h.Sum64()))
}

// maxAddressBytes is how long a socket's address may be; the folder of temporary files may be deeper.
const maxAddressBytes = 100

// socketAddress gives a path as a socket's address that is short enough: by way of the folder's
// descriptor where it is not. done lets go of that.
func socketAddress(path string) (a *net.UnixAddr, done func(), err error) {
	if len(path) <= maxAddressBytes {
		return &net.UnixAddr{Name: path, Net: "unixpacket"}, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return nil, nil, err
	}
	short := fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return &net.UnixAddr{Name: short, Net: "unixpacket"}, func() { _ = dir.Close() }, nil
}

// State is what a process knows and holds once for all its clients.
type State struct {
	Snapshot   []byte       // of the decision state
	PeerSocket *net.UDPConn // nil: there is none
}

// ClientConn is a client's connection between two requests, or with some behind it that were
// read and not taken.
type ClientConn struct {
	Conn   *net.TCPConn
	State  ConnState
	Unread []byte // what was read from it and belongs to no request yet taken
}

// ConnState tells of a connection what its next holder can't see.
type ConnState struct {
	Commands     int   `json:"asked"`            // well-formed commands it has brought
	HeldCommands int   `json:"kept,omitempty"`   // commands that are whole in Rest,
	AgeUS        int64 `json:"age_us,omitempty"` // and how long ago the first of them came
	UnreadLength int   `json:"length,omitempty"` // of Rest

	User          string `json:"user,omitempty"` // of the last AUTH
	Secret        string `json:"secret,omitempty"`
	Named         bool   `json:"named,omitempty"`
	HasCredential bool   `json:"known,omitempty"` // there was one
}

// messageLink is one side of the socket.
type messageLink struct {
	conn *net.UnixConn
	buf  []byte
}

// write sends a message, with a descriptor if carry is not nil.
func (l *messageLink) write(kind byte, body []byte, carry syscall.Conn) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(stepTimeout))
	message := append([]byte{kind}, body...)
	if carry == nil {
		_, err := l.conn.Write(message)
		return err
	}
	raw, err := carry.SyscallConn()
	if err != nil {
		return err
	}
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = l.conn.WriteMsgUnix(message, syscall.UnixRights(int(fd)), nil)
	}); err != nil {
		return err
	}
	return sent
}

// read gets a message. The descriptor with it, if any, is the caller's; the body
// is valid until the next read.
func (l *messageLink) read() (kind byte, body []byte, carried *os.File, err error) {
	if l.buf == nil {
		l.buf = make([]byte, maxMessageBytes)
	}
	oob := make([]byte, syscall.CmsgSpace(4*4))
	n, oobn, _, _, err := l.conn.ReadMsgUnix(l.buf, oob)
	if err != nil {
		return 0, nil, nil, err
	}
	if n == 0 {
		return 0, nil, nil, io.EOF
	}
	if oobn > 0 {
		messages, err := syscall.ParseSocketControlMessage(oob[:oobn])
		if err != nil {
			return 0, nil, nil, err
		}
		for _, m := range messages {
			fds, err := syscall.ParseUnixRights(&m)
			if err != nil {
				continue
			}
			for _, fd := range fds {
				syscall.CloseOnExec(fd)
				if carried != nil {
					_ = syscall.Close(fd)
					continue
				}
				carried = os.NewFile(uintptr(fd), "carried")
			}
		}
	}
	return l.buf[0], l.buf[1:n], carried, nil
}

// Predecessor is the process that serves before this one. Its methods belong to one goroutine.
type Predecessor struct{ messageLink }

// FindPredecessor looks for the process before. ErrNone: there is none, or none that answers.
func FindPredecessor(path string) (*Predecessor, error) {
	to, done, err := socketAddress(path)
	if err != nil {
		return nil, ErrNoPredecessor
	}
	defer done()
	conn, err := net.DialUnix("unixpacket", nil, to)
	if err != nil {
		return nil, ErrNoPredecessor
	}
	return &Predecessor{messageLink{conn: conn}}, nil
}

// TakeState tells the process before that this one could serve, and gets what it leaves.
// Until Accepted it goes on if this process ends.
func (p *Predecessor) TakeState() (State, error) {
	var s State
	if err := p.write('T', nil, nil); err != nil {
		return s, fmt.Errorf("handover: %w", err)
	}
	_ = p.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	for {
		kind, body, carried, err := p.read()
		switch {
		case err != nil:
			return s, fmt.Errorf("handover: %w", err)
		case kind == 'S' && len(s.Snapshot)+len(body) <= maxStateBytes:
			s.Snapshot = append(s.Snapshot, body...)
		case kind == 'E':
			if carried == nil {
				return s, nil
			}
			defer carried.Close()
			conn, err := net.FilePacketConn(carried)
			if err != nil {
				return s, fmt.Errorf("handover: the socket for notes: %w", err)
			}
			notes, ok := conn.(*net.UDPConn)
			if !ok {
				_ = conn.Close()
				return s, errors.New("handover: the socket for notes is of another kind")
			}
			s.PeerSocket = notes
			return s, nil
		default:
			return s, fmt.Errorf("handover: a message %q amid the state", kind)
		}
	}
}

// Confirm gives the word that the state was taken in.
func (p *Predecessor) Confirm() error { return p.write('K', nil, nil) }

// ReceiveClients calls f for each connection that the process before passes on, until it has
// passed all, or has ended. What can't be used is closed.
func (p *Predecessor) ReceiveClients(f func(ClientConn)) error {
	defer p.conn.Close()
	_ = p.conn.SetReadDeadline(time.Time{})
	for {
		c, err := p.receiveClient()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		if c.Conn != nil {
			f(c)
		}
	}
}

func (p *Predecessor) receiveClient() (c ClientConn, err error) {
	kind, body, carried, err := p.read()
	if err != nil {
		return c, err
	}
	if kind != 'C' || carried == nil {
		return c, fmt.Errorf("a message %q where a connection was due", kind)
	}
	defer carried.Close()
	if err := json.Unmarshal(body, &c.State); err != nil {
		return c, err
	}
	if c.State.UnreadLength < 0 || c.State.UnreadLength > maxUnreadBytes || c.State.HeldCommands < 0 {
		return c, fmt.Errorf("%d bytes that were read", c.State.UnreadLength)
	}
	for len(c.Unread) < c.State.UnreadLength {
		kind, more, _, err := p.read()
		if err != nil {
			return c, err
		}
		if kind != 'M' || len(c.Unread)+len(more) > c.State.UnreadLength {
			return c, fmt.Errorf("a message %q amid what was read", kind)
		}
		c.Unread = append(c.Unread, more...)
	}
	conn, err := net.FileConn(carried)
	if err != nil {
		return c, nil // it broke on the way: its other side knows
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return c, errors.New("a connection of another kind")
	}
	c.Conn = tcp
	return c, nil
}

// Close gives up: the process before serves on if Accepted was not called.
func (p *Predecessor) Close() { _ = p.conn.Close() }

// Listener is where processes that come after this one ask.
type Listener struct{ listener *net.UnixListener }

// Listen has newer processes find this one at a path from now on, whoever was found
// there before.
func Listen(path string) (*Listener, error) {
	next := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(next)
	at, done, err := socketAddress(next)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer done()
	l, err := net.ListenUnix("unixpacket", at)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then a newer process may be found there
	if err := os.Rename(next, path); err != nil {
		_ = l.Close()
		_ = os.Remove(next)
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &Listener{l}, nil
}

// Close has nobody find this process any more.
func (l *Listener) Close() { _ = l.listener.Close() }

// Serve calls take for each newer process that could serve, from a goroutine of its
// own, until Close.
func (l *Listener) Serve(take func(*Successor)) {
	for {
		conn, err := l.listener.AcceptUnix()
		if err != nil {
			return
		}
		go func() {
			a := &Successor{messageLink: messageLink{conn: conn}}
			kind, _, carried, err := a.read()
			if carried != nil {
				_ = carried.Close()
			}
			if err != nil || kind != 'T' {
				_ = conn.Close()
				return
			}
			take(a)
		}()
	}
}

// Successor is the process that takes this one's place.
type Successor struct {
	messageLink
	once sync.Once
}

// SendState gives the state, and waits for the word that it was taken in. After an error the
// newer process has not taken over, and has been cut off.
func (s *Successor) SendState(left State) (err error) {
	defer func() {
		if err != nil {
			s.Close()
			err = fmt.Errorf("handover: %w", err)
		}
	}()
	for state := left.Snapshot; len(state) > 0; {
		n := min(len(state), chunkBytes)
		if err := s.write('S', state[:n], nil); err != nil {
			return err
		}
		state = state[n:]
	}
	var carry syscall.Conn
	if left.PeerSocket != nil {
		carry = left.PeerSocket
	}
	if err := s.write('E', nil, carry); err != nil {
		return err
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(stepTimeout))
	kind, _, _, err := s.read()
	if err == nil && kind != 'K' {
		err = fmt.Errorf("a message %q where the word was due", kind)
	}
	return err
}

// PassClient passes a connection on. It stays open here, too, until the caller closes it.
func (s *Successor) PassClient(c ClientConn) error {
	c.State.UnreadLength = len(c.Unread)
	head, err := json.Marshal(c.State)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := s.write('C', head, c.Conn); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	for rest := c.Unread; len(rest) > 0; {
		n := min(len(rest), chunkBytes)
		if err := s.write('M', rest[:n], nil); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		rest = rest[n:]
	}
	return nil
}

// Close ends the handover: nothing more is passed on.
func (s *Successor) Close() { s.once.Do(func() { _ = s.conn.Close() }) }
