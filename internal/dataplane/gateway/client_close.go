package gateway

import (
	"mothcleat/internal/dataplane/policy"
)

const (
	lingerTimeout    policy.Time = 500_000 // for the client to close first after its last answer
	lingerAfterError policy.Time = 200_000 // the same, after an error that ends the connection
	maxLingers                   = 30      // number of extensions for a client that reads slowly
)

// closeAfterAnswers closes a connection once all commands that were read from it are answered.
// While connections are passed to a successor, the connection is passed instead.
func (c *client) closeAfterAnswers(g *Gateway) {
	if c.closeWhenIdle || c.closed {
		return
	}
	c.closeWhenIdle = true
	g.settleConn(c)
}

// readerHalted reports that a reader has posted everything it has read and waits to be resumed.
type readerHalted struct{ client *client }

func (e readerHalted) handle(g *Gateway) {
	c := e.client
	if c.closed {
		return
	}
	c.reading.halted = true
	g.settleConn(c)
}

// resumeReader resumes a halted reader. It has no effect on others.
func (c *client) resumeReader() {
	if !c.reading.halted {
		return
	}
	c.reading.halted = false
	c.reading.resume(c.conn)
	c.resumeReading <- struct{}{}
}

// finish shuts down the write side and gives the client time to close first. Closing a connection
// with unread data would reset it and could lose the last answer.
func (c *client) finish(g *Gateway) {
	if c.writeEnded {
		return
	}
	c.writeEnded = true
	c.out.closeWrite()
	c.resumeReader() // what the client still sends is read, because a close with unread data resets
	wait := lingerTimeout
	if c.ignoreInput.Load() {
		wait = lingerAfterError
	}
	g.schedule(g.now()+wait, lingerTimer{client: c})
}

// lingerTimer closes a connection that the client has not closed in time.
type lingerTimer struct {
	client     *client
	extensions int
}

func (t lingerTimer) due(g *Gateway) {
	if !t.client.out.delivered() && t.extensions < maxLingers {
		g.schedule(g.now()+lingerTimeout, lingerTimer{t.client, t.extensions + 1})
		return
	}
	t.client.drop(g)
}

// drop closes a connection immediately.
func (c *client) drop(g *Gateway) { clientDisconnected{c}.handle(g) }

// clientDisconnected reports that a connection has ended. Its open requests no longer need an
// answer.
type clientDisconnected struct{ client *client }

func (e clientDisconnected) handle(g *Gateway) {
	c := e.client
	if c.closed {
		return
	}
	c.endReader()
	g.releaseHeld(c)
	_ = c.conn.Close()
	g.clients.remove(c)
	now := g.now()
	for _, r := range c.pipeline {
		c.abandonRequest(g, r, now)
	}
	c.pipeline = nil
	if g.lifecycle.Stopping() {
		g.shutdown.endIfDone(g)
	}
}

// endReader marks a connection as closed and ends its reader.
func (c *client) endReader() {
	c.closed = true
	close(c.done)
}

// abandonRequest ends a request whose client has disconnected.
func (c *client) abandonRequest(g *Gateway, r *request, now policy.Time) {
	g.requests.heldBytes -= len(r.reply)
	c.heldReplyBytes.Add(-int64(len(r.reply)))
	if r.sent && !g.repeatable(r) {
		g.requests.executed.add(r.clientID, now)
	}
	if r.streamed != nil {
		r.streamed.abandon(g)
		r.streamed = nil
		g.requests.removeFinished(r)
	}
	if !r.answered {
		g.closeRequest(r)
		g.balancer.ClientGone(now, r.id)
		g.requests.removeFinished(r)
	}
}
