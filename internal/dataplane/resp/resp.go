// Package resp reads and writes RESP2 with bounded memory: whatever the input, it holds no more
// than a few values of MaxValue bytes.
//
// It is used in place of a library because two libraries do not meet the gateway's needs: redcon
// v1.6.4 panics on a bulk length of -2 and does not limit the size of a command, and redigo
// allocates any length that a peer announces.
package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
)

// Limits for reading.
const (
	MaxValue         = 64 << 10        // bytes of a value
	MaxCommand       = MaxValue + 4096 // bytes of all values of a command
	MaxArgs          = 16              // values of a command or an array
	MaxStreamedValue = 16 << 20        // bytes of a value that Copy streams

	maxSkippedArgs  = 1024    // values of a command that is dropped because of its size
	maxSkippedValue = 1 << 20 // bytes of a value that is dropped
	growBytes       = 4096    // minimum bytes by which a buffer grows before they are received
	readerBytes     = 2048    // size of a connection's read buffer
	commandBytes    = 192     // initial size of a command's buffer
)

// ErrTooLarge means that a well-formed command exceeded a limit and was skipped. The next command
// can be read.
var ErrTooLarge = errors.New("command too large")

// ErrProtocol means that the input violates the protocol, so that the start of the next message is
// unknown and nothing more can be read.
var ErrProtocol = errors.New("protocol error")

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrProtocol, what) }

// Reader reads commands or replies from a connection. It is not safe for concurrent use.
type Reader struct {
	in      *bufio.Reader
	partial partialCommand // what ReadCommand had consumed when an error of the stream ended it
}

// NewReader returns a reader of the messages in a stream.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readerBytes)}
}

// readLine reads a line and returns it without its CRLF. The line is valid until the next read. An
// error of the stream comes with the part of the line that was consumed.
func (r *Reader) readLine() ([]byte, error) {
	b, err := r.in.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, malformed("line too long")
	case err != nil:
		return b, err
	case len(b) < 2 || b[len(b)-2] != '\r':
		return nil, malformed("line does not end in CRLF")
	}
	return b[:len(b)-2], nil
}

// parseLength parses the length after a kind byte, which must be between lowest and highest.
func parseLength(b []byte, lowest, highest int) (int, error) {
	n, err := strconv.Atoi(string(b))
	if err != nil || n < lowest || n > highest {
		return 0, malformed("invalid length")
	}
	return n, nil
}

// readBytes reads size bytes and appends them to buf. It allocates memory step by step as the bytes
// arrive, so that a client that announces a large value but sends little does not occupy the
// announced size. After an error, buf ends with the bytes that have arrived.
func (r *Reader) readBytes(buf []byte, size int) ([]byte, error) {
	for size > 0 {
		n := min(size, max(growBytes, len(buf)))
		start := len(buf)
		buf = slices.Grow(buf, n)[:start+n]
		if arrived, err := io.ReadFull(r.in, buf[start:]); err != nil {
			return buf[:start+arrived], err
		}
		size -= n
	}
	return buf, nil
}

// readCRLF reads the end of a value. consumed is how many of its bytes were read.
func (r *Reader) readCRLF() (consumed int, err error) {
	for i, want := range []byte("\r\n") {
		c, err := r.in.ReadByte()
		if err != nil {
			return i, err
		}
		if c != want {
			return i + 1, malformed("value does not end in CRLF")
		}
	}
	return len("\r\n"), nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, for errors within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Await waits until the first byte of the next message has arrived. It does not consume the byte.
func (r *Reader) Await() error {
	_, err := r.in.Peek(1)
	return err
}

// Buffered returns the number of bytes that were received but are not part of a returned message.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// Unread returns a copy of the bytes that were received but are not part of a returned message,
// including those of a command in which an error of the stream ended ReadCommand. It returns false
// if part of such a command is lost, because it is too large and was being skipped.
func (r *Reader) Unread() ([]byte, bool) {
	b, _ := r.in.Peek(r.in.Buffered())
	return append(bytes.Clone(r.partial.encoded), b...), !r.partial.lost
}
