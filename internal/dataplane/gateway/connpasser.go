package gateway

import (
	"errors"
	"sync"
	"time"

	"mothcleat/internal/dataplane/hotrestart"
)

// receiptTimeout is how long a process that ends waits for the successor to receive the last
// connections.
const receiptTimeout = time.Second

// connPasser passes clients' connections to a successor. It keeps each until the successor has
// received it, so that none is lost with a successor that dies: what was not received is read here
// again. pass and finish belong to the event loop.
type connPasser struct {
	gateway     *Gateway
	successor   *hotrestart.Successor
	queue       chan hotrestart.ClientConn // sends never block
	written     chan struct{}              // closed once all of queue is written or returned
	receiptsEnd chan struct{}              // closed once no more receipts are read

	mu         sync.Mutex
	unreceived []hotrestart.ClientConn // written, in their order
	ended      bool                    // the successor takes no more
}

// newConnPasser starts to pass connections to a successor that has taken over.
func newConnPasser(g *Gateway, successor *hotrestart.Successor) *connPasser {
	p := &connPasser{
		gateway:     g,
		successor:   successor,
		queue:       make(chan hotrestart.ClientConn, cap(g.clients.slots)+1),
		written:     make(chan struct{}),
		receiptsEnd: make(chan struct{}),
	}
	go p.writeAll()
	go p.readReceipts()
	return p
}

// pass passes a connection on.
func (p *connPasser) pass(c hotrestart.ClientConn) { p.queue <- c }

// finish waits until all connections have been received, as far as the successor still receives.
func (p *connPasser) finish() {
	close(p.queue)
	select {
	case <-p.written:
	case <-time.After(receiptTimeout):
		return
	}
	for end := time.Now().Add(receiptTimeout); time.Now().Before(end); {
		p.mu.Lock()
		done := len(p.unreceived) == 0
		p.mu.Unlock()
		if done {
			return
		}
		select {
		case <-p.receiptsEnd:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// writeAll writes connections until the queue is closed. It runs on a goroutine of its own.
func (p *connPasser) writeAll() {
	defer close(p.written)
	for c := range p.queue {
		if !p.keep(c) {
			p.gateway.returnConn(c)
			continue
		}
		err := p.successor.PassClient(c)
		if err != nil {
			p.writeFailed(err)
		} else if !p.successor.SendsReceipts() {
			p.closeOldestUnreceived()
		}
	}
}

// keep keeps a connection until it is received. It returns false if the successor takes no more.
func (p *connPasser) keep(c hotrestart.ClientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	p.unreceived = append(p.unreceived, c)
	return true
}

// closeOldestUnreceived closes this process's side of the oldest connection that is kept.
func (p *connPasser) closeOldestUnreceived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unreceived) == 0 {
		return
	}
	_ = p.unreceived[0].Conn.Close()
	p.unreceived = p.unreceived[1:]
}

// readReceipts takes in which connections the successor has received, until it takes no more. It
// runs on a goroutine of its own.
func (p *connPasser) readReceipts() {
	defer close(p.receiptsEnd)
	for {
		if err := p.successor.AwaitReceipt(); err != nil {
			p.end(err)
			return
		}
		p.closeOldestUnreceived()
	}
}

// writeFailed ends the passing after an error of PassClient. Whether the successor has died is what
// AwaitReceipt says; a successor that does not read is taken for alive.
func (p *connPasser) writeFailed(err error) {
	select {
	case <-p.receiptsEnd:
	case <-time.After(receiptTimeout):
		p.end(err)
		p.successor.Close()
	}
}

// end returns the connections that the successor has not received, and tells the event loop.
func (p *connPasser) end(err error) {
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		return
	}
	p.ended = true
	unreceived := p.unreceived
	p.unreceived = nil
	p.mu.Unlock()
	successorExited := errors.Is(err, hotrestart.ErrSuccessorDied)
	p.gateway.postUrgent(passingEnded{p, successorExited, err})
	for _, c := range unreceived {
		if successorExited || errors.Is(err, hotrestart.ErrSuccessorLeft) {
			p.gateway.returnConn(c)
		} else {
			_ = c.Conn.Close() // the successor may have it
		}
	}
}

// returnConn posts a connection that no successor has received, once there is a place for it.
func (g *Gateway) returnConn(c hotrestart.ClientConn) {
	g.clients.slots <- struct{}{}
	g.post(connReturned{c})
}

// connReturned is a client's connection that no successor has received.
type connReturned struct{ from hotrestart.ClientConn }

func (e connReturned) handle(g *Gateway) { g.restartReader(e.from) }

// restartReader reads from a connection whose reader has ended. Its place is taken already.
func (g *Gateway) restartReader(from hotrestart.ClientConn) {
	_ = from.Conn.SetReadDeadline(time.Time{})
	g.startClient(clientFrom(&from, g.now()))
}

// passingEnded tells that the successor takes no more connections, and whether it has died.
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
	h.keepsDetached = true
	if e.successorExited {
		g.log.Error("handover: the successor has died; this process serves again",
			"open", g.requests.open, "connections", len(g.clients.conns))
		g.resumeAfterSuccessorExit()
	} else {
		g.log.Warn("handover: the successor takes no more connections", "error", e.err)
	}
	g.admitHeld()
	for c := range g.clients.conns {
		g.passToSuccessor(c)
	}
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
