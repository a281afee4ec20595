// Package resp reads and writes RESP2 with bounded memory: no input makes it hold more than a few
// values of MaxValue bytes.
//
// It replaces a library's parser because two of them lack what the gateway needs: redcon v1.6.4
// panics on a bulk length of -2 and lets a command grow without bound, and redigo allocates
// whatever length it is told.
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

// Limits of what is read, in bytes or values.
const (
	MaxValue         = 64 << 10        // bytes of a value
	MaxCommand       = MaxValue + 4096 // bytes of all values of a command
	MaxArgs          = 16              // values of a command or an array
	MaxStreamedValue = 16 << 20        // bytes of a value that Copy streams

	maxSkippedArgs  = 1024    // values of a command that is dropped for its size
	maxSkippedValue = 1 << 20 // bytes of a value that is dropped
	growBytes       = 4096    // by which a buffer grows at least ahead of what has come
	readerBytes     = 2048    // of the connection's buffer
	commandBytes    = 192     // first allocated for a command
)

// ErrTooLarge says that a well-formed command was read past and dropped. The next one can be read.
var ErrTooLarge = errors.New("command too large")

// ErrProtocol says that the framing is lost: nothing more can be read.
var ErrProtocol = errors.New("protocol error")

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrProtocol, what) }

// Reader reads commands or replies from a connection. It is not safe for concurrent use.
type Reader struct {
	in *bufio.Reader
}

// NewReader makes a reader.
func NewReader(in io.Reader) *Reader { return &Reader{bufio.NewReaderSize(in, readerBytes)} }

// readLine reads a line and returns it without its end. It is valid until the next read.
func (r *Reader) readLine() ([]byte, error) {
	b, err := r.in.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, malformed("line too long")
	case err != nil:
		return nil, err
	case len(b) < 2 || b[len(b)-2] != '\r':
		return nil, malformed("line does not end in CRLF")
	}
	return b[:len(b)-2], nil
}

// parseLength parses the number after a kind byte.
func parseLength(b []byte, lowest, highest int) (int, error) {
	n, err := strconv.Atoi(string(b))
	if err != nil || n < lowest || n > highest {
		return 0, malformed("invalid length")
	}
	return n, nil
}

// readBytes appends size bytes to buf. It allocates as the bytes come: clients that announce much
// and send little must not cost what they announce.
func (r *Reader) readBytes(buf []byte, size int) ([]byte, error) {
	for size > 0 {
		n := min(size, max(growBytes, len(buf)))
		start := len(buf)
		buf = slices.Grow(buf, n)[:start+n]
		if _, err := io.ReadFull(r.in, buf[start:]); err != nil {
			return buf, err
		}
		size -= n
	}
	return buf, nil
}

func (r *Reader) readCRLF() error {
	var end [2]byte
	for i := range end {
		c, err := r.in.ReadByte()
		if err != nil {
			return err
		}
		end[i] = c
	}
	if end != [2]byte{'\r', '\n'} {
		return malformed("value does not end in CRLF")
	}
	return nil
}

// unexpectedEOF replaces io.EOF, for an end within a message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Await waits for the first byte of the next message.
func (r *Reader) Await() error {
	_, err := r.in.Peek(1)
	return err
}

// Buffered returns how many bytes were read that belong to no message yet.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// Unread returns a copy of the bytes that were read and belong to no message yet.
func (r *Reader) Unread() []byte {
	b, _ := r.in.Peek(r.in.Buffered())
	return bytes.Clone(b)
}
