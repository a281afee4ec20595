// Package resp reads and writes RESP2, bounded: no input makes it hold more
// than a few values of MaxValue bytes.
//
// It stands in for a library's parser because two of them lose what the gateway
// needs: redcon v1.6.4 panics on a bulk length of -2 and lets a command grow
// without bound, redigo allocates whatever length it is told.
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

// Limits of what is read.
const (
	MaxValue         = 64 << 10        // bytes in one value
	MaxCommand       = MaxValue + 4096 // bytes in all values of a command
	MaxArgs          = 16              // values in one command or array that are kept
	maxSkippedArgs   = 1024            // values in one that is passed over for its size
	MaxStreamedValue = 16 << 20        // bytes in a value that is passed on as it comes
	maxSkippedValue  = 1 << 20         // bytes in a value that is passed over
	growBytes        = 4096            // bytes that a buffer is taken ahead of what has come
)

// ErrTooLarge tells that a well-framed command was read past and dropped. The
// next one can be read.
var ErrTooLarge = errors.New("command too large")

// ErrProtocol tells that the framing is lost: nothing more can be read.
var ErrProtocol = errors.New("protocol error")

func malformed(what string) error { return fmt.Errorf("%w: %s", ErrProtocol, what) }

// Reader reads commands or replies from a connection.
type Reader struct {
	in *bufio.Reader
}

// NewReader makes a reader.
func NewReader(in io.Reader) *Reader { return &Reader{bufio.NewReaderSize(in, 2048)} }

// readLine reads up to the end of a line, which is left out. It is valid until the
// next read.
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

// parseLength reads the number after a kind byte.
func parseLength(b []byte, least, most int) (int, error) {
	n, err := strconv.Atoi(string(b))
	if err != nil || n < least || n > most {
		return 0, malformed("invalid length")
	}
	return n, nil
}

// ReadCommand reads an array of bulk strings. The values are the caller's. An
// empty array is passed over.
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

// readValues reads the bulk strings of a command into one buffer.
func (r *Reader) readValues(n int) ([][]byte, error) {
	tooLarge := n > MaxArgs
	var ends [MaxArgs]int
	buf := make([]byte, 0, 192)
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
	args, start := make([][]byte, n), 0
	for i := range args {
		args[i] = buf[start:ends[i]:ends[i]]
		start = ends[i]
	}
	return args, nil
}

// readBytes reads size bytes more behind buf. It takes room as the bytes come: many
// that announce much and send little must not cost what they announce.
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

// unexpectedEOF tells an end within a message from one between two.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Await waits for the first byte of what comes next.
func (r *Reader) Await() error {
	_, err := r.in.Peek(1)
	return err
}

// Buffered is how many bytes were read that belong to no message yet.
func (r *Reader) Buffered() int { return r.in.Buffered() }

// Unread is a copy of the bytes that were read and belong to no message yet.
func (r *Reader) Unread() []byte {
	b, _ := r.in.Peek(r.in.Buffered())
	return bytes.Clone(b)
}

// Reply is what came back for a command.
type Reply struct {
	Kind  byte   // '+', '-', ':', '$' or '*'
	Null  bool   // a null string or array
	Text  []byte // of all but arrays
	Items []Reply
}

// ReadReply reads one reply: at most an array of plain values. With an error
// comes what was read whole of an array before it.
func (r *Reader) ReadReply() (Reply, error) { return r.readReply(true, nil) }

// LongValue is a value of over MaxValue bytes that stands first in an array. It has not been
// read: Copy does it, and then Tail.
type LongValue struct {
	Size         int // bytes; 0: there is no such value
	valuesBehind int // values behind it
}

// ReadReplyHead is ReadReply but for a long value: it reads up to the value's first byte, and
// waits for that one.
func (r *Reader) ReadReplyHead() (re Reply, long LongValue, err error) {
	re, err = r.readReply(true, &long)
	if err == nil && long.Size > 0 {
		err = unexpectedEOF(r.Await())
	}
	return re, long, err
}

// Copy passes a long value on as it comes, through a buffer, which bounds what is held of
// it. Before each write and read it calls onward, which may set deadlines.
func (r *Reader) Copy(to io.Writer, long LongValue, buf []byte, onward func()) error {
	for left := long.Size; left > 0; {
		onward()
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

// SkipTail reads past what stands behind a long value: the other values of its array.
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

func (r *Reader) readReply(arrays bool, long *LongValue) (Reply, error) {
	head, err := r.readLine()
	if err != nil {
		return Reply{}, err
	}
	if len(head) == 0 {
		return Reply{}, malformed("empty line")
	}
	re := Reply{Kind: head[0]}
	switch re.Kind {
	case '+', '-', ':':
		re.Text = bytes.Clone(head[1:])
		return re, nil
	case '$':
		most := MaxValue
		if long != nil && !arrays {
			most = MaxStreamedValue
		}
		size, err := parseLength(head[1:], -1, most)
		if err != nil {
			return re, err
		}
		if size > MaxValue {
			long.Size = size
			return re, nil
		}
		if size < 0 {
			re.Null = true
			return re, nil
		}
		if re.Text, err = r.readBytes(nil, size); err == nil {
			err = r.readCRLF()
		}
		return re, unexpectedEOF(err)
	case '*':
		n, err := parseLength(head[1:], -1, MaxArgs)
		if err != nil || !arrays {
			return re, malformed("unexpected array")
		}
		re.Null = n < 0
		for i := range n {
			first := long
			if i > 0 {
				first = nil
			}
			item, err := r.readReply(false, first)
			if err != nil {
				return re, unexpectedEOF(err)
			}
			re.Items = append(re.Items, item)
			if first != nil && first.Size > 0 {
				first.valuesBehind = n - 1
				break
			}
		}
		return re, nil
	}
	return re, malformed("unknown kind of reply")
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
