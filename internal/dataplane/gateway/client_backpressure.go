package gateway

import (
	"time"

	"mothcleat/internal/dataplane/resp"
)

const (
	// minOwedBytes and maxOwedBytes limit what a connection may owe a client that reads late.
	minOwedBytes = resp.MaxValue
	maxOwedBytes = 4 * resp.MaxValue

	// clientReadTimeout ends the connection of a client that reads nothing while answers are
	// queued.
	clientReadTimeout = 15 * time.Second
)

// owedBytesLimit returns how many bytes of answers may be queued for a client before the next
// command is read from its connection, so that an eighth of the memory is enough for maxServed
// clients that read nothing.
func owedBytesLimit(memoryMB, maxServed int) int {
	share := memoryMB << 20 / 8 / max(1, maxServed)
	return min(max(share, minOwedBytes), maxOwedBytes)
}

// owesTooMuch reports whether no further command may be admitted on a connection, because its
// client does not read the answers that it has. It is safe for concurrent use.
func (c *client) owesTooMuch(cs *clients) bool {
	if cs.readsAll.Load() || c.out.drained() {
		return false
	}
	return c.out.queuedBytes()+int(c.heldReplyBytes.Load()) > cs.owedBytesLimit
}

// slotResult is how a wait for a free slot in the pipeline ended.
type slotResult int

const (
	slotTaken        slotResult = iota
	slotDetached                // the reader is to end: the successor reads on
	slotDisconnected            // the client has disconnected
)

// catchUpWindow is the number of unanswered commands of a connection while those are read that came
// in a pause. All of them at once would be a burst that the back end has no capacity for.
const catchUpWindow = 8

// mayAdmit reports whether the client has read enough of its answers for another command. Only the
// reader calls it.
func (c *client) mayAdmit(cs *clients) bool {
	if c.owesTooMuch(cs) {
		c.catchingUp = true
		return false
	}
	c.catchingUp = c.catchingUp && c.arrivals.behind()
	return !c.catchingUp || len(c.pipelineSlots) < catchUpWindow || cs.readsAll.Load()
}

// waitForSlot waits until the client has read enough of its answers and the pipeline has a free
// slot. It polls for a disconnect, because no read reports one while the reader waits here.
func (c *client) waitForSlot(g *Gateway) slotResult {
	if c.mayAdmit(g.clients) {
		select {
		case c.pipelineSlots <- struct{}{}:
			return slotTaken
		default:
		}
	}
	if !c.reading.halting() {
		c.arrivals.beginPause(c.out.unreadBytes(), g.clock.now())
	}
	check := time.NewTicker(hangUpCheckInterval)
	defer check.Stop()
	for {
		slots := c.pipelineSlots
		if !c.mayAdmit(g.clients) {
			slots = nil // never ready
		}
		select {
		case slots <- struct{}{}:
			return slotTaken
		case <-c.out.progress:
		case <-c.reading.detachSignal:
			return slotDetached
		case <-c.done:
			return slotDisconnected
		case <-check.C:
			if !c.reading.halting() {
				c.arrivals.observe(c.out.unreadBytes(), g.clock.now())
			}
			if c.out.hungUp() {
				return slotDisconnected
			}
		}
	}
}

// outgoingBytes returns the size of the commands in progress and of all answers that are not
// written yet.
func (g *Gateway) outgoingBytes() int {
	return g.requests.heldBytes + int(g.clients.queuedBytes.Load())
}

// memoryForAnswers returns the size of outgoingBytes at which new requests are rejected.
func (g *Gateway) memoryForAnswers() int { return g.cfg.MemoryMB << 20 / 4 }

// answerFits reports whether there is memory to keep an answer until its client reads. Requests
// that were admitted before the memory was full may still bring values.
func (g *Gateway) answerFits(r *request, size int) bool {
	waits := r.client.pipeline[0] != r || !r.client.out.drained()
	return !waits || g.outgoingBytes()+size < g.cfg.MemoryMB<<20/3
}
