package gateway

import (
	"mothcleat/internal/dataplane/policy"
)

// closeAfterAnswers lets a connection end: between requests now, else after its last answer.
func (c *client) closeAfterAnswers(l *Loop) {
	if c.closeWhenIdle || c.closed {
		return
	}
	c.closeWhenIdle = true
	if len(c.pipeline) == 0 {
		c.haltThenFinish(l)
	}
}

// haltThenFinish has a connection that waits for no answer end as soon as its reader stands between two commands: what was read of
// it, if only by the reader, is answered first.
func (c *client) haltThenFinish(l *Loop) {
	if c.ignoreInput.Load() || c.reading.parted { // it is read no more
		c.finish(l)
		return
	}
	c.reading.requestHalt(c.conn)
}

// readingHalted tells that the reader of a connection that is to end has read nothing that it has not posted, and reads no more
// until it may.
type readingHalted struct{ client *client }

func (e readingHalted) handle(l *Loop) {
	c := e.client
	if c.closed {
		return
	}
	if c.closeWhenIdle && len(c.pipeline) == 0 {
		c.finish(l)
	}
	c.reading.resume(c.conn)
	c.resumeReading <- struct{}{}
}

// finish ends the sending and gives the other side some time to close first: to
// close with something unread would reset the connection, and with it an answer
// that is still on its way.
func (c *client) finish(l *Loop) {
	if c.writeEnded {
		return
	}
	c.writeEnded = true
	c.out.closeWrite()
	wait := policy.Time(lingerTimeout)
	if c.ignoreInput.Load() {
		wait = lingerAfterError
	}
	l.schedule(l.now()+wait, lingerTimer{c, 0})
}

// lingerTimer closes a connection that the other side leaves open.
type lingerTimer struct {
	client     *client
	extensions int
}

func (e lingerTimer) due(l *Loop) {
	if !e.client.out.drained() && e.extensions < maxLingers {
		l.schedule(l.now()+lingerTimeout, lingerTimer{e.client, e.extensions + 1})
		return
	}
	e.client.drop(l)
}

// drop closes a connection at once.
func (c *client) drop(l *Loop) { clientLeft{c}.handle(l) }

// clientLeft tells that a client has closed its connection: it has gone away from all
// it still waited for.
type clientLeft struct{ client *client }

func (e clientLeft) handle(l *Loop) {
	c := e.client
	if c.closed {
		return
	}
	c.closed = true
	close(c.done)
	_ = c.conn.Close()
	delete(l.clients.conns, c)
	<-l.clients.slots
	now := l.now()
	for _, r := range c.pipeline {
		l.heldBytes -= len(r.reply)
		if r.streamed != nil {
			r.streamed.abandon(l)
			r.streamed = nil
			l.forget(r)
		}
		if !r.answered {
			l.closeRequest(r)
			l.balancer.ClientGone(now, r.id)
			l.forget(r)
		}
	}
	c.pipeline = nil
	if l.lifecycle.Stopping() {
		l.endIfDone()
	}
}
