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
	copyBufferBytes     = 32 << 10
	copyProgressTimeout = 15 * time.Second // in which each side must take or give something
)

var (
	copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}
	errUnwanted = errors.New("nobody waits for the value")
	lineBreak   = []byte("\r\n")
)

// streamedValue is an answer that is passed on as it comes.
type streamedValue struct {
	request *request
	conn    *backendConn
	header  resp.Long
	started bool // its turn has come
	ended   bool
}

// receiveStreamed has the loop say who gets a long value, and waits until it is copied. It tells
// whether the connection can be read on.
func (c *backendConn) receiveStreamed(l *Loop, what resp.Long) bool {
	l.post(streamOffered{c, what})
	err := <-c.copyResult
	e := streamFinished{conn: c, err: err}
	if err == nil {
		l.post(streamCopied{c.streamed})
		_ = c.conn.SetReadDeadline(time.Now().Add(replyTimeout))
		e.err = c.reader.Tail(what)
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	e.bytesConsumed, e.extraBytes = c.bytesRead.Load()-int64(c.reader.Buffered()), c.reader.Buffered() > 0
	l.post(e)
	return e.err == nil && !e.extraBytes
}

// streamOffered is the begin of a long value on a backend's connection.
type streamOffered struct {
	conn   *backendConn
	header resp.Long
}

func (e streamOffered) handle(l *Loop) {
	c, a := e.conn, e.conn.attempt
	if c.closed || a == nil || a.request == nil {
		c.copyResult <- errUnwanted
		l.backends.close(c)
		if c.attempt = nil; a != nil {
			l.finishAttempt(a, policy.Failed, nil)
		}
		return
	}
	c.attempt = nil
	r := a.request
	if r.answered {
		// Another attempt was first: to read this one to its end would be in vain.
		c.copyResult <- errUnwanted
		l.backends.close(c)
		l.backends.dialForWaiting(l, c.backend)
	} else {
		r.streamed = &streamedValue{request: r, conn: c, header: e.header}
		c.streamed = r.streamed
		r.answered = true
		l.settle(r)
		r.client.flushAnswers(l)
	}
	l.finishAttempt(a, policy.OK, nil)
}

// start has a value copied, once all before it is answered.
func (v *streamedValue) start(to *client) {
	if v.started || v.ended {
		return
	}
	v.started = true
	to.out.stream(func() { v.conn.copyResult <- v.copy(to) })
}

// copy writes the value to the client as it comes.
func (v *streamedValue) copy(to *client) error {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	onward := func() {
		until := time.Now().Add(copyProgressTimeout)
		_ = v.conn.conn.SetReadDeadline(until)
		_ = to.conn.SetWriteDeadline(until)
	}
	defer func() {
		_ = v.conn.conn.SetReadDeadline(time.Time{})
		_ = to.conn.SetWriteDeadline(time.Time{})
	}()
	onward()
	head := append(strconv.AppendInt([]byte{'$'}, int64(v.header.Size), 10), lineBreak...)
	if _, err := to.conn.Write(head); err != nil {
		return err
	}
	if err := v.conn.reader.Copy(to.conn, v.header, buf[:], onward); err != nil {
		return err
	}
	_, err := to.conn.Write(lineBreak)
	return err
}

// abandon takes note that the client has gone.
func (v *streamedValue) abandon(l *Loop) {
	if !v.started && !v.ended {
		v.conn.copyResult <- errUnwanted
	}
	v.end(l)
}

// end takes note that the request is over.
func (v *streamedValue) end(l *Loop) {
	if !v.ended {
		v.ended = true
		l.open--
	}
}

// streamCopied tells that a value has gone whole to its client.
type streamCopied struct{ value *streamedValue }

func (e streamCopied) handle(l *Loop) {
	r := e.value.request
	if e.value.ended {
		return // its client has gone
	}
	e.value.end(l)
	r.streamed = nil
	l.metrics.End(r.class, metrics.Answered)
	l.forget(r)
	r.client.flushAnswers(l)
}

// streamFinished tells that a connection that has carried a long value is free, or of no more use.
type streamFinished struct {
	conn          *backendConn
	err           error
	bytesConsumed int64
	extraBytes    bool
}

func (e streamFinished) handle(l *Loop) {
	c := e.conn
	v := c.streamed
	c.streamed, c.bytesConsumed, c.restsUntil = nil, e.bytesConsumed, l.now()+l.backends.restDuration
	if v != nil && !v.ended {
		// It could not be copied to its end: the client must be able to tell.
		v.end(l)
		l.metrics.End(v.request.class, metrics.Errored)
		v.request.client.drop(l)
		l.forget(v.request)
	}
	if c.closed {
		return
	}
	if e.err != nil || e.extraBytes {
		l.backends.close(c)
		l.backends.dialForWaiting(l, c.backend)
		return
	}
	l.backends.release(l, c)
}
