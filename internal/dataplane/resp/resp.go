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

// ReadCommand reads an array of bulk strings, which belong to the caller. Empty arrays are skipped.
// Its error wraps ErrTooLarge or ErrProtocol where these apply.
func (r *Reader) ReadCommand() ([][]byte, error) {
	for {
		head, err := r.readLine()
		if err != nil {
			return nil, err
		}
		if len(head) == 0 || head[0] != '*' {
			return nil, malformed("expected an array")
		}
		n, err := parseLength(head[1:], 0, maxSkippedArgs)
		if err != nil {
			return nil, err
		}
		if n > 0 {
			return r.readValues(n)
		}
	}
}

// readValues reads the bulk strings of a command into one buffer. A command that is too large is
// read to its end without being held.
func (r *Reader) readValues(n int) ([][]byte, error) {
	tooLarge := n > MaxArgs
	var ends [MaxArgs]int
	buf := make([]byte, 0, commandBytes)
	for i := range n {
		head, err := r.readLine()
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if len(head) == 0 || head[0] != '$' {
			return nil, malformed("expected a bulk string")
		}
		size, err := parseLength(head[1:], 0, maxSkippedValue)
		if err != nil {
			return nil, err
		}
		tooLarge = tooLarge || size > MaxValue || len(buf)+size > MaxCommand
		if tooLarge {
			buf = nil
			_, err = r.in.Discard(size)
		} else {
			ends[i] = len(buf) + size
			buf, err = r.readBytes(buf, size)
		}
		if err == nil {
			err = r.readCRLF()
		}
		if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	if tooLarge {
		return nil, ErrTooLarge
	}
	args := make([][]byte, n)
	start := 0
	for i := range args {
		args[i] = buf[start:ends[i]:ends[i]]
		start = ends[i]
	}
	return args, nil
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

// Reply is the answer to a command.
type Reply struct {
	Kind  byte   // '+', '-', ':', '$' or '*'
	Null  bool   // a null string or array
	Text  []byte // of all but arrays
	Items []Reply
}

// ReadReply reads one reply: at most an array of plain values. With an error it returns what was
// read completely of an array before it.
func (r *Reader) ReadReply() (Reply, error) { return r.readReply(true, nil) }

// LongValue is a value of over MaxValue bytes that is the first of an array. It has not been read:
// Copy reads it, and SkipTail what follows.
type LongValue struct {
	Size         int // bytes; 0: there is no such value
	valuesBehind int // values behind it
}

// ReadReplyHead is ReadReply except for a long value: of that it reads up to the value's first
// byte, which it waits for.
func (r *Reader) ReadReplyHead() (re Reply, long LongValue, err error) {
	re, err = r.readReply(true, &long)
	if err == nil && long.Size > 0 {
		err = unexpectedEOF(r.Await())
	}
	return re, long, err
}

// Copy streams a long value through a buffer, which bounds what is held of it. Before each read and
// write it calls beforeStep, which may set deadlines.
func (r *Reader) Copy(to io.Writer, long LongValue, buf []byte, beforeStep func()) error {
	for left := long.Size; left > 0; {
		beforeStep()
		n, err := r.in.Read(buf[:min(len(buf), left)])
		if n > 0 {
			left -= n
			if _, err := to.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil && left > 0 {
			return unexpectedEOF(err)
		}
	}
	return nil
}

// SkipTail reads past what follows a long value: the other values of its array.
func (r *Reader) SkipTail(long LongValue) error {
	if err := r.readCRLF(); err != nil {
		return unexpectedEOF(err)
	}
	for range long.valuesBehind {
		if _, err := r.readReply(false, nil); err != nil {
			return unexpectedEOF(err)
		}
	}
	return nil
}

// readReply reads one reply, an array only where one is allowed. If long is not nil, the first
// value of an array may be a long one, which is left unread and described there.
func (r *Reader) readReply(arrayAllowed bool, long *LongValue) (Reply, error) {
	head, err := r.readLine()
	if err != nil {
		return Reply{}, err
	}
	if len(head) == 0 {
		return Reply{}, malformed("empty line")
	}
	reply := Reply{Kind: head[0]}
	switch reply.Kind {
	case '+', '-', ':':
		reply.Text = bytes.Clone(head[1:])
		return reply, nil
	case '$':
		if arrayAllowed {
			long = nil // it is no value of an array
		}
		err := r.readBulk(&reply, head[1:], long)
		return reply, err
	case '*':
		n, err := parseLength(head[1:], -1, MaxArgs)
		if err != nil || !arrayAllowed {
			return reply, malformed("unexpected array")
		}
		reply.Null = n < 0
		err = r.readItems(&reply, n, long)
		return reply, err
	}
	return reply, malformed("unknown kind of reply")
}

// readBulk reads a bulk string whose length is given as text. If long is not nil, a long value is
// left unread.
func (r *Reader) readBulk(reply *Reply, length []byte, long *LongValue) error {
	limit := MaxValue
	if long != nil {
		limit = MaxStreamedValue
	}
	size, err := parseLength(length, -1, limit)
	if err != nil {
		return err
	}
	if size > MaxValue {
		long.Size = size
		return nil
	}
	if size < 0 {
		reply.Null = true
		return nil
	}
	if reply.Text, err = r.readBytes(nil, size); err == nil {
		err = r.readCRLF()
	}
	return unexpectedEOF(err)
}

// readItems reads the values of an array, up to a long value that is its first.
func (r *Reader) readItems(reply *Reply, n int, long *LongValue) error {
	for i := range n {
		if i > 0 {
			long = nil
		}
		item, err := r.readReply(false, long)
		if err != nil {
			return unexpectedEOF(err)
		}
		reply.Items = append(reply.Items, item)
		if long != nil && long.Size > 0 {
			long.valuesBehind = n - 1
			break
		}
	}
	return nil
}

// AppendArray appends the head of an array of n values.
func AppendArray(b []byte, n int) []byte { return appendHead(b, '*', n) }

// AppendBulk appends a bulk string.
func AppendBulk(b, value []byte) []byte {
	b = append(appendHead(b, '$', len(value)), value...)
	return append(b, '\r', '\n')
}

func appendHead(b []byte, kind byte, n int) []byte {
	b = strconv.AppendInt(append(b, kind), int64(n), 10)
	return append(b, '\r', '\n')
}
