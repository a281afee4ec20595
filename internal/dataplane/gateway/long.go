package gateway

import (
	"errors"
	"strconv"
	"sync"
	"time"

	"mothcleat/internal/dataplane/metrics"
	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// A value over resp.MaxValue is passed on as it comes: of all that are under way together
// more than a few buffers would not fit into memory. Its request is answered, as far as
// the decisions go, when the first byte is here. From then on nothing of the gateway's cuts
// it off but a side that does nothing at all for long.
const (
	copyPiece  = 32 << 10
	onwardTime = 15 * time.Second // in which each side must take or give something
)

var (
	copyBuffers = sync.Pool{New: func() any { return new([copyPiece]byte) }}
	errUnwanted = errors.New("nobody waits for the value")
	lineBreak   = []byte("\r\n")
)

// longValue is an answer that is passed on as it comes.
type longValue struct {
	r     *request
	c     *backendConn
	what  resp.Long
	begun bool // its turn has come
	ended bool
}

// receiveLong has the loop say who gets a long value, and waits until it is copied. It tells
// whether the connection can be read on.
func (c *backendConn) receiveLong(l *Loop, what resp.Long) bool {
	l.post(longReply{c, what})
	err := <-c.copied
	e := longDone{c: c, err: err}
	if err == nil {
		l.post(longCopied{c.long})
		_ = c.conn.SetReadDeadline(time.Now().Add(wholeWithin))
		e.err = c.in.Tail(what)
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	e.used, e.more = c.read.Load()-int64(c.in.Buffered()), c.in.Buffered() > 0
	l.post(e)
	return e.err == nil && !e.more
}

// longReply is the begin of a long value on a backend's connection.
type longReply struct {
	c    *backendConn
	what resp.Long
}

func (e longReply) handle(l *Loop) {
	c, a := e.c, e.c.a
	if c.closed || a == nil || a.r == nil {
		c.copied <- errUnwanted
		l.backends.close(c)
		if c.a = nil; a != nil {
			l.finish(a, policy.Failed, nil)
		}
		return
	}
	c.a = nil
	r := a.r
	if r.answered {
		// Another attempt was first: to read this one to its end would be in vain.
		c.copied <- errUnwanted
		l.backends.close(c)
		l.backends.connect(l, c.b)
	} else {
		r.long = &longValue{r: r, c: c, what: e.what}
		c.long = r.long
		r.answered = true
		l.settled(r)
		r.client.flush(l)
	}
	l.finish(a, policy.OK, nil)
}

// begin has a value copied, once all before it is answered.
func (v *longValue) begin(to *client) {
	if v.begun || v.ended {
		return
	}
	v.begun = true
	to.out.stream(func() { v.c.copied <- v.copy(to) })
}

// copy writes the value to the client as it comes.
func (v *longValue) copy(to *client) error {
	buf := copyBuffers.Get().(*[copyPiece]byte)
	defer copyBuffers.Put(buf)
	onward := func() {
		until := time.Now().Add(onwardTime)
		_ = v.c.conn.SetReadDeadline(until)
		_ = to.conn.SetWriteDeadline(until)
	}
	defer func() {
		_ = v.c.conn.SetReadDeadline(time.Time{})
		_ = to.conn.SetWriteDeadline(time.Time{})
	}()
	onward()
	head := append(strconv.AppendInt([]byte{'$'}, int64(v.what.Size), 10), lineBreak...)
	if _, err := to.conn.Write(head); err != nil {
		return err
	}
	if err := v.c.in.Copy(to.conn, v.what, buf[:], onward); err != nil {
		return err
	}
	_, err := to.conn.Write(lineBreak)
	return err
}

// abandon takes note that the client has gone.
func (v *longValue) abandon(l *Loop) {
	if !v.begun && !v.ended {
		v.c.copied <- errUnwanted
	}
	v.end(l)
}

// end takes note that the request is over.
func (v *longValue) end(l *Loop) {
	if !v.ended {
		v.ended = true
		l.open--
	}
}

// longCopied tells that a value has gone whole to its client.
type longCopied struct{ v *longValue }

func (e longCopied) handle(l *Loop) {
	r := e.v.r
	if e.v.ended {
		return // its client has gone
	}
	e.v.end(l)
	r.long = nil
	l.metrics.End(r.class, metrics.Answered)
	l.forget(r)
	r.client.flush(l)
}

// longDone tells that a connection that has carried a long value is free, or of no more use.
type longDone struct {
	c    *backendConn
	err  error
	used int64
	more bool
}

func (e longDone) handle(l *Loop) {
	c := e.c
	v := c.long
	c.long, c.used, c.rests = nil, e.used, l.now()+l.backends.rest
	if v != nil && !v.ended {
		// It could not be copied to its end: the client must be able to tell.
		v.end(l)
		l.metrics.End(v.r.class, metrics.Errored)
		v.r.client.drop(l)
		l.forget(v.r)
	}
	if c.closed {
		return
	}
	if e.err != nil || e.more {
		l.backends.close(c)
		l.backends.connect(l, c.b)
		return
	}
	l.backends.free(l, c)
}
