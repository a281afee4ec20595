package resp

import (
	"bytes"
	"io"
)

// Reply is the answer to a command.
type Reply struct {
	Kind  byte   // '+', '-', ':', '$' or '*'
	Null  bool   // a null string or array
	Text  []byte // set for all kinds but arrays
	Items []Reply
}

// ReadReply reads one reply, which may be an array but not a nested one. If an error occurs within
// an array, ReadReply returns the values that were read completely together with the error.
func (r *Reader) ReadReply() (Reply, error) { return r.readReply(true, nil) }

// LongValue describes a value of more than MaxValue bytes that is the first one of an array. The
// value has not been read: Copy reads it, and SkipTail reads the rest of the array.
type LongValue struct {
	Size        int // bytes; 0: there is no such value
	valuesAfter int // number of values after it in the array
}

// ReadReplyHead is like ReadReply, but leaves a long value unread. It then waits until the first
// byte of the value has arrived.
func (r *Reader) ReadReplyHead() (re Reply, long LongValue, err error) {
	re, err = r.readReply(true, &long)
	if err == nil && long.Size > 0 {
		err = unexpectedEOF(r.Await())
	}
	return re, long, err
}

// Copy streams a long value to a writer through buf, which limits how much of it is in memory.
// Before each read and the write that follows, it calls beforeStep, which may set deadlines.
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

// SkipTail reads and drops the other values of the array after a long value.
func (r *Reader) SkipTail(long LongValue) error {
	if _, err := r.readCRLF(); err != nil {
		return unexpectedEOF(err)
	}
	for range long.valuesAfter {
		if _, err := r.readReply(false, nil); err != nil {
			return unexpectedEOF(err)
		}
	}
	return nil
}

// readReply reads one reply. An array is an error unless arrayAllowed is true. If long is not nil,
// the first value of an array may be a long value: it is left unread and described in long.
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
			long = nil // this value is not in an array
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

// readBulk reads a bulk string, whose length is given as text, into reply. If long is not nil, a
// long value is left unread and described in long.
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
		_, err = r.readCRLF()
	}
	return unexpectedEOF(err)
}

// readItems reads the n values of an array into reply. If long is not nil and the first value is a
// long one, it leaves this value and those after it unread.
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
			long.valuesAfter = n - 1
			break
		}
	}
	return nil
}
