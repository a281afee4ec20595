package gateway

import (
	"mothcleat/internal/dataplane/policy"
)

// end lets a connection end: between requests now, else after its last answer.
func (c *client) end(l *Loop) {
	if c.ending || c.gone {
		return
	}
	c.ending = true
	if len(c.line) == 0 {
		c.retire(l)
	}
}

// retire has a connection that waits for no answer end as soon as its reader stands between two commands: what was read of
// it, if only by the reader, is answered first.
func (c *client) retire(l *Loop) {
	if c.barred.Load() || c.share.parted { // it is read no more
		c.finish(l)
		return
	}
	c.share.halt(c.conn)
}

// halts tells that the reader of a connection that is to end has read nothing that it has not posted, and reads no more
// until it may.
type halts struct{ client *client }

func (e halts) handle(l *Loop) {
	c := e.client
	if c.gone {
		return
	}
	if c.ending && len(c.line) == 0 {
		c.finish(l)
	}
	c.share.resume(c.conn)
	c.resume <- struct{}{}
}

// finish ends the sending and gives the other side some time to close first: to
// close with something unread would reset the connection, and with it an answer
// that is still on its way.
func (c *client) finish(l *Loop) {
	if c.ended {
		return
	}
	c.ended = true
	c.out.end()
	wait := policy.Time(lingerFor)
	if c.barred.Load() {
		wait = lingerLost
	}
	l.at(l.now()+wait, linger{c, 0})
}

// linger closes a connection that the other side leaves open.
type linger struct {
	c     *client
	again int
}

func (e linger) due(l *Loop) {
	if !e.c.out.idle() && e.again < lingerMost {
		l.at(l.now()+lingerFor, linger{e.c, e.again + 1})
		return
	}
	e.c.drop(l)
}

// drop closes a connection at once.
func (c *client) drop(l *Loop) { left{c}.handle(l) }

// left tells that a client has closed its connection: it has gone away from all
// it still waited for.
type left struct{ client *client }

func (e left) handle(l *Loop) {
	c := e.client
	if c.gone {
		return
	}
	c.gone = true
	close(c.done)
	_ = c.conn.Close()
	delete(l.clients.conns, c)
	<-l.clients.room
	now := l.now()
	for _, r := range c.line {
		l.held -= len(r.reply)
		if r.long != nil {
			r.long.abandon(l)
			r.long = nil
			l.forget(r)
		}
		if !r.answered {
			l.close(r)
			l.module.ClientGone(now, r.id)
			l.forget(r)
		}
	}
	c.line = nil
	if l.life.Stopping() {
		l.over()
	}
}
