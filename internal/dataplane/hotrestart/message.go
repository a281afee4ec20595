package hotrestart

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	maxChunkBytes   = 32 << 10 // of a snapshot or of unread data in one message
	maxMessageBytes = 96 << 10 // a connection's state may hold a long credential, escaped as JSON
	maxStateBytes   = 64 << 20
	maxUnreadBytes  = 24 << 20 // of one connection
	maxUnsentBytes  = 24 << 20 // of one connection
	stepTimeout     = 2 * time.Second

	// maxPassedFDs is how many descriptors of one message are received. All but the first are
	// closed.
	maxPassedFDs = 4
	fdBytes      = 4
)

// The kinds of messages.
const (
	messageTake       = 'T' // the successor is able to serve and requests the state
	messageStateChunk = 'S'
	messageStateEnd   = 'E' // with the socket for peer messages, if there is one
	messageConfirm    = 'K' // the successor has restored the state
	messageClient     = 'C' // a client connection, with its ConnState as JSON
	messageUnread     = 'M' // data that was read from this connection
	messageUnsent     = 'U' // data that is to be written to it before anything else
	messageReceived   = 'R' // the successor has received the next connection and its unread data
	messageLeaving    = 'X' // the successor accepts no more connections, but keeps running
)

// receiptsSupported is the body of messageStateEnd if the predecessor reads messageReceived and
// messageLeaving, and then the body of messageConfirm if the successor sends them. Earlier builds
// send these messages without a body, and ignore a body.
const receiptsSupported = "receipts"

// unsentSupported is the body of messageTake if the successor reads messageUnsent. Earlier builds
// send messageTake without a body, and ignore a body.
const unsentSupported = "unsent"

// Errors of both sides.
var (
	// ErrNoPredecessor means that no other process serves.
	ErrNoPredecessor = errors.New("handover: no other process serves")
	// ErrUnexpectedMessage means that the other side violated the protocol.
	ErrUnexpectedMessage = errors.New("unexpected message")
	// ErrSuccessorExited means that the successor's process has exited.
	ErrSuccessorExited = errors.New("the successor has exited")
	// ErrSuccessorLeft means that the successor accepts no more connections, but keeps running.
	ErrSuccessorLeft = errors.New("the successor accepts no more connections")
	// ErrSocketKind means that the passed descriptor is not a socket of the expected type.
	ErrSocketKind = errors.New("unexpected type of socket")
)

func unexpected(kind byte, context string) error {
	return fmt.Errorf("%w %q %s", ErrUnexpectedMessage, kind, context)
}

// SocketPath returns the path of the socket in dir by which the processes of the gateway with the
// given name find each other.
func SocketPath(dir, name string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a gateway's name may be longer than a file name
	return filepath.Join(dir, fmt.Sprintf("mothcleat-%016x.sock", h.Sum64()))
}

// maxAddressBytes is the longest path that is used as a socket address. Paths in temporary
// directories may be longer.
const maxAddressBytes = 100

// socketAddress returns the socket address for a path. If the path is too long, the address refers
// to the directory by an open descriptor, which release closes.
func socketAddress(path string) (address *net.UnixAddr, release func(), err error) {
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

// State is the part of a process's state that is handed over once, before the client connections.
type State struct {
	Snapshot   []byte       // of the balancer
	PeerSocket *net.UDPConn // for peer messages; nil: there is none
}

// ClientConn is a client connection between two requests.
type ClientConn struct {
	Conn   *net.TCPConn
	State  ConnState
	Unread []byte // data read from Conn that belongs to no admitted request
	Unsent []byte // answers that are to be written to Conn before any other
}

// ConnState is what the successor needs to know about a connection.
type ConnState struct {
	Commands     int   `json:"asked"`            // valid commands so far
	HeldCommands int   `json:"kept,omitempty"`   // complete commands in Unread
	AgeUS        int64 `json:"age_us,omitempty"` // age of the first of them, in microseconds
	UnreadLength int   `json:"length,omitempty"` // length of Unread in bytes

	// The credential of the last AUTH command. Earlier builds have the fields in the same order.
	User          string `json:"user,omitempty"`
	Secret        string `json:"secret,omitempty"`
	Named         bool   `json:"named,omitempty"` // the AUTH command named a user
	HasCredential bool   `json:"known,omitempty"` // there was an AUTH command

	// HeldAgesUS are the ages of the HeldCommands, in microseconds. Earlier builds send and read
	// only AgeUS.
	HeldAgesUS []int64 `json:"ages_us,omitempty"`
	// WaitedUS is for how long the client has been sending the command that Unread ends in, or its
	// first one, in microseconds; 0: it is between two commands.
	WaitedUS     int64 `json:"waited_us,omitempty"`
	UnsentLength int   `json:"unsent,omitempty"` // length of Unsent in bytes
}

// messageLink is one side of the socket. It must be used by only one goroutine at a time.
type messageLink struct {
	conn       *net.UnixConn
	readBuffer []byte // holds the last message read
}

// write sends a message, and with it the descriptor of passed if that is not nil.
func (l *messageLink) write(kind byte, body []byte, passed syscall.Conn) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(stepTimeout))
	message := append([]byte{kind}, body...)
	if passed == nil {
		_, err := l.conn.Write(message)
		return err
	}
	raw, err := passed.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	err = raw.Control(func(fd uintptr) {
		_, _, sendErr = l.conn.WriteMsgUnix(message, syscall.UnixRights(int(fd)), nil)
	})
	if err != nil {
		return err
	}
	return sendErr
}

// writeChunks sends data in messages of the given kind, of at most maxChunkBytes each.
func (l *messageLink) writeChunks(kind byte, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), maxChunkBytes)
		if err := l.write(kind, data[:n], nil); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// read reads a message. The caller must close the descriptor that was passed with it, if there is
// one. The body is valid until the next read. The error is io.EOF once the other side has closed.
func (l *messageLink) read() (kind byte, body []byte, passed *os.File, err error) {
	if l.readBuffer == nil {
		l.readBuffer = make([]byte, maxMessageBytes)
	}
	oob := make([]byte, syscall.CmsgSpace(maxPassedFDs*fdBytes))
	n, oobn, _, _, err := l.conn.ReadMsgUnix(l.readBuffer, oob)
	if err != nil {
		return 0, nil, nil, err
	}
	if n == 0 {
		return 0, nil, nil, io.EOF
	}
	if oobn > 0 {
		if passed, err = firstDescriptor(oob[:oobn]); err != nil {
			return 0, nil, nil, err
		}
	}
	return l.readBuffer[0], l.readBuffer[1:n], passed, nil
}

// firstDescriptor returns the first descriptor in a control message and closes all others. It
// returns nil if there is none.
func firstDescriptor(oob []byte) (first *os.File, err error) {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			if first != nil {
				_ = syscall.Close(fd)
				continue
			}
			first = os.NewFile(uintptr(fd), "carried")
		}
	}
	return first, nil
}
