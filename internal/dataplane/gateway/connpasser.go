package gateway

import (
	"errors"
	"sync"
	"time"

	"mothcleat/internal/dataplane/hotrestart"
)

const (
	// receiptTimeout is how long the passing waits, after a failed write, for the successor's exit
	// to show.
	receiptTimeout = time.Second
	// exitTimeout is how long an exiting process waits for the successor to receive the last
	// connections. It is less than the time from the latest end of the event loop to SIGKILL.
	exitTimeout = 50 * time.Millisecond
)

// connPasser passes client connections to a successor. It keeps each connection until the successor
// has received it, so that none is lost if the successor exits: this process resumes reading from
// the connections that were not received. pass and finish must be called on the event loop's
// goroutine.
type connPasser struct {
	gateway     *Gateway
	successor   *hotrestart.Successor
	queue       chan queuedConn // sends never block
	written     chan struct{}   // closed once all of queue is written or returned
	receiptsEnd chan struct{}   // closed once no more receipts are read

	mu         sync.Mutex
	unreceived []hotrestart.ClientConn // written or being written, in order
	writing    bool                    // the last of unreceived is being written
	ended      bool                    // the successor accepts no more
	noneTaken  bool                    // ended, and the successor uses none of unreceived
}

// queuedConn is a connection to be passed, and the sender that may still write to it.
type queuedConn struct {
	hotrestart.ClientConn
	out *sender
}

// newConnPasser returns a connPasser for a successor that has taken over, and starts its
// goroutines.
func newConnPasser(g *Gateway, successor *hotrestart.Successor) *connPasser {
	p := &connPasser{
		gateway:     g,
		successor:   successor,
		queue:       make(chan queuedConn, cap(g.clients.slots)+1),
		written:     make(chan struct{}),
		receiptsEnd: make(chan struct{}),
	}
	go p.writeAll()
	go p.readReceipts()
	return p
}

// pass queues a connection to be passed.
func (p *connPasser) pass(c queuedConn) { p.queue <- c }

// finish ends the passing, and waits up to exitTimeout until the successor has received all
// connections or accepts no more.
func (p *connPasser) finish() {
	close(p.queue)
	timeout := time.After(exitTimeout)
	select {
	case <-p.written:
	case <-timeout:
		return
	}
	for p.gateway.handover.inTransit.Load() > 0 {
		select {
		case <-p.receiptsEnd:
			return
		case <-timeout:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// writeAll writes connections until the queue is closed. It runs on its own goroutine.
func (p *connPasser) writeAll() {
	defer close(p.written)
	for c := range p.queue {
		c.Unsent = c.out.takeUnsent()
		if !p.keep(c.ClientConn) {
			p.gateway.returnConn(c.ClientConn)
			continue
		}
		err := p.successor.PassClient(c.ClientConn)
		unused := p.endWrite(c.ClientConn, err)
		switch {
		case err != nil:
			p.writeFailed(err)
		case !p.successor.SendsReceipts():
			p.closeOldestUnreceived() // the sweep notices that all are passed
		}
		if unused {
			p.gateway.returnConn(c.ClientConn)
		}
	}
}

// keep records a connection as being written. It returns false if the successor accepts no more.
func (p *connPasser) keep(c hotrestart.ClientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	p.unreceived = append(p.unreceived, c)
	p.writing = true
	return true
}

// endWrite records that the write of a connection has ended, and reports whether the successor will
// surely not use the connection. After an error it has received it incompletely or not at all.
func (p *connPasser) endWrite(c hotrestart.ClientConn, err error) (unused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.writing {
		return false // its receipt has come
	}
	p.writing = false
	switch {
	case err != nil && !p.ended:
		p.unreceived = p.unreceived[:len(p.unreceived)-1]
		return true
	case !p.ended:
		return false
	case err != nil || p.noneTaken:
		return true
	}
	p.close(c) // the successor may have received it
	return false
}

// close closes this process's descriptor of a connection that is the successor's.
func (p *connPasser) close(c hotrestart.ClientConn) {
	_ = c.Conn.Close()
	p.gateway.handover.inTransit.Add(-1)
}

// closeOldestUnreceived closes this process's descriptor of the oldest unreceived connection, which
// the successor has now received.
func (p *connPasser) closeOldestUnreceived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unreceived) == 0 {
		return
	}
	p.close(p.unreceived[0])
	p.unreceived = p.unreceived[1:]
	if len(p.unreceived) == 0 {
		p.writing = false
	}
}

// readReceipts handles the successor's receipts until it accepts no more connections. It runs on
// its own goroutine.
func (p *connPasser) readReceipts() {
	defer close(p.receiptsEnd)
	for {
		if err := p.successor.AwaitReceipt(); err != nil {
			p.end(err)
			return
		}
		p.closeOldestUnreceived()
		if p.gateway.handover.inTransit.Load() == 0 {
			p.gateway.post(allPassed{})
		}
	}
}

// allPassed reports that the successor has received all connections that were passed so far.
type allPassed struct{}

func (allPassed) handle(g *Gateway) {
	if g.lifecycle.Stopping() {
		g.shutdown.endIfDone(g)
	}
}

// writeFailed ends the passing after an error of PassClient. AwaitReceipt determines whether the
// successor has exited; a successor that has merely stopped reading counts as running.
func (p *connPasser) writeFailed(err error) {
	select {
	case <-p.receiptsEnd:
	case <-time.After(receiptTimeout):
		p.end(err)
		p.successor.Close()
	}
}

// end returns the connections that the successor has not received and notifies the event loop.
func (p *connPasser) end(err error) {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return
	}
	successorExited := errors.Is(err, hotrestart.ErrSuccessorExited)
	p.ended = true
	p.noneTaken = successorExited || errors.Is(err, hotrestart.ErrSuccessorLeft)
	unreceived := p.unreceived
	if p.writing {
		unreceived = unreceived[:len(unreceived)-1] // left to endWrite
	}
	p.unreceived = nil
	p.mu.Unlock()
	p.gateway.postUrgent(passingEnded{p, successorExited, err})
	for _, c := range unreceived {
		if p.noneTaken {
			p.gateway.returnConn(c)
		} else {
			p.close(c) // the successor may have received it
		}
	}
}

// returnConn posts a connection that no successor has received, once a slot is free.
func (g *Gateway) returnConn(c hotrestart.ClientConn) {
	g.clients.slots <- struct{}{}
	g.post(connReturned{c})
}

// connReturned is a client connection that no successor has received.
type connReturned struct{ from hotrestart.ClientConn }

func (e connReturned) handle(g *Gateway) {
	g.handover.inTransit.Add(-1)
	_ = e.from.Conn.SetReadDeadline(time.Time{})
	g.startClient(clientFrom(&e.from, g.now()))
}

// passingEnded reports that the successor accepts no more connections, and whether it has exited.
type passingEnded struct {
	passer          *connPasser
	successorExited bool
	err             error
}

func (e passingEnded) handle(g *Gateway) {
	h := &g.handover
	if h.passer != e.passer {
		return
	}
	close(h.passer.queue)
	h.passer = nil
	h.successor = nil
	g.lifecycle.StopPassing()
	if e.successorExited {
		g.log.Error("handover: the successor has exited; this process resumes serving",
			"open", g.requests.open, "connections", len(g.clients.conns))
		g.resumeAfterSuccessorExit()
	} else {
		g.log.Warn("handover: the successor accepts no more connections", "error", e.err)
	}
	g.settleConns()
}

// resumeAfterSuccessorExit resumes service after the successor has exited. The buckets start empty,
// because the units that the successor has consumed are unknown.
func (g *Gateway) resumeAfterSuccessorExit() {
	g.lifecycle.TakeBack()
	g.balancer.ForgetUnits(g.now())
	g.resumeAccepting()
	if g.cfg.Settings.Peers {
		go g.bindPeerSocket()
	}
	if g.handover.listener != nil {
		g.handover.listener.Close()
		g.listenForSuccessor()
	}
	if g.snapshots.Store != nil {
		g.snapshots.stopped = false
		g.beginSnapshots()
	}
}
