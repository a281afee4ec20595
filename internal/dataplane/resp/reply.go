package resp

import (
	"bytes"
	"io"
)

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
