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

// A value over resp.MaxValue is streamed to the client as it arrives, because buffering all values
// in flight would need too much memory. The balancer counts the request as answered when the first
// byte has arrived. From then on the gateway aborts the copy only if one side makes no progress for
// copyProgressTimeout.
const (
	copyBufferBytes     = 32 << 10
	copyProgressTimeout = 15 * time.Second // each side must make progress within it
)

var (
	copyBuffers   = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}
	errNoReceiver = errors.New("no client waits for the value")
	lineBreak     = []byte("\r\n")
)

// streamedValue is an answer that is streamed to the client. It belongs to the event loop, except
// that copy runs on the client's writer goroutine. Meanwhile the connection's reader waits on
// conn.copyResult, which receives exactly one result for each value.
type streamedValue struct {
	request *request
	conn    *backendConn
	header  resp.LongValue
	started bool // all earlier answers of the client's pipeline are written
	ended   bool
}

// receiveStreamed offers a long value to the event loop and waits until it is copied. It runs on
// the connection's reader goroutine and reports whether the reader can continue on the connection.
func (c *backendConn) receiveStreamed(g *Gateway, header resp.LongValue) bool {
	g.post(streamOffered{c, header})
	err := <-c.copyResult
	e := streamFinished{conn: c, err: err}
	if err == nil {
		g.post(streamCopied{c.streamed})
		_ = c.conn.SetReadDeadline(time.Now().Add(replyTimeout))
		e.err = c.reader.SkipTail(header)
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	e.bytesConsumed = c.bytesRead.Load() - int64(c.reader.Buffered())
	e.extraBytes = c.reader.Buffered() > 0
	g.post(e)
	return e.err == nil && !e.extraBytes
}

// streamOffered is the header of a long value read from a backend's connection.
type streamOffered struct {
	conn   *backendConn
	header resp.LongValue
}

func (e streamOffered) handle(g *Gateway) {
	c := e.conn
	a := c.attempt
	c.attempt = nil
	c.duplicates.held = nil // it was a duplicate of an earlier answer
	if c.closed || a == nil || a.request == nil {
		c.copyResult <- errNoReceiver
		g.backends.close(c)
		if a != nil {
			g.finishAttempt(a, policy.Failed, nil)
		}
		return
	}
	r := a.request
	if r.answered {
		// Another attempt was answered first, so the rest of this value is not needed.
		c.copyResult <- errNoReceiver
		g.backends.close(c)
		g.backends.dialForWaiting(g, c.backend)
	} else {
		r.streamed = &streamedValue{request: r, conn: c, header: e.header}
		c.streamed = r.streamed
		r.answered = true
		g.cancelPending(r)
		r.client.flushAnswers(g)
	}
	g.finishAttempt(a, policy.OK, nil)
}

// start starts to copy the value once all earlier answers are written.
func (v *streamedValue) start(to *client) {
	if v.started || v.ended {
		return
	}
	v.started = true
	to.out.stream(func() { v.conn.copyResult <- v.copy(to) })
}

// copy writes the value to the client as it arrives.
func (v *streamedValue) copy(to *client) error {
	buf := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	extendDeadlines := func() {
		deadline := time.Now().Add(copyProgressTimeout)
		_ = v.conn.conn.SetReadDeadline(deadline)
		_ = to.conn.SetWriteDeadline(deadline)
	}
	defer func() {
		_ = v.conn.conn.SetReadDeadline(time.Time{})
		_ = to.conn.SetWriteDeadline(time.Time{})
	}()
	extendDeadlines()
	head := append(strconv.AppendInt([]byte{'$'}, int64(v.header.Size), 10), lineBreak...)
	if _, err := to.conn.Write(head); err != nil {
		return err
	}
	if err := v.conn.reader.Copy(to.conn, v.header, buf[:], extendDeadlines); err != nil {
		return err
	}
	_, err := to.conn.Write(lineBreak)
	return err
}

// abandon ends the value after its client has disconnected.
func (v *streamedValue) abandon(g *Gateway) {
	if !v.started && !v.ended {
		v.conn.copyResult <- errNoReceiver
	}
	v.end(g)
}

// end marks the request as no longer open. Only the first call has an effect.
func (v *streamedValue) end(g *Gateway) {
	if !v.ended {
		v.ended = true
		g.requests.open--
	}
}

// streamCopied reports that a value has been written completely to its client.
type streamCopied struct{ value *streamedValue }

func (e streamCopied) handle(g *Gateway) {
	r := e.value.request
	if e.value.ended {
		return // its client has disconnected
	}
	e.value.end(g)
	r.streamed = nil
	g.metrics.CountRequest(r.class, metrics.Answered)
	g.requests.removeFinished(r)
	r.client.flushAnswers(g)
}

// streamFinished reports that a connection has finished with a long value. The connection can be
// reused unless err or extraBytes is set.
type streamFinished struct {
	conn          *backendConn
	err           error
	bytesConsumed int64
	extraBytes    bool
}

func (e streamFinished) handle(g *Gateway) {
	c := e.conn
	v := c.streamed
	c.streamed = nil
	c.bytesConsumed = e.bytesConsumed
	c.cooldownUntil = g.now() + g.backends.cooldown
	if v != nil && !v.ended {
		// The copy failed midway. Closing the connection shows the client that the value is
		// incomplete.
		v.end(g)
		g.metrics.CountRequest(v.request.class, metrics.Failed)
		v.request.client.drop(g)
		g.requests.removeFinished(v.request)
	}
	if c.closed {
		return
	}
	if e.err != nil || e.extraBytes {
		g.backends.close(c)
		g.backends.dialForWaiting(g, c.backend)
		return
	}
	if !c.duplicates.awaitsMarker {
		g.backends.release(g, c)
	}
}
