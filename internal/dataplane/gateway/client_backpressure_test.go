package gateway

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mothcleat/internal/dataplane/policy"
)

// dialLateReader connects a client and sends requests with large values, of which it reads none,
// until the gateway admits no more of them. It returns how many were sent.
func (r *testGateway) dialLateReader(t *testing.T, b *fakeBackend, value string) (*testClient, int) {
	t.Helper()
	c := r.dialClient(t)
	if err := c.conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	const most = 1000 // more than the systems' buffers hold
	for sent := 1; sent <= most; sent++ {
		c.sendLookup(sent, "60000")
		b.nextCommand(t).replyValue(t, value)
		owesTooMuch := false
		waitUntil(t, r.gateway, "the answer", func(g *Gateway) bool {
			conn := connOf(g, c)
			owesTooMuch = conn == nil || conn.owesTooMuch(g.clients)
			return owesTooMuch || g.requests.open == 0 && int(g.requests.lastID) == sent
		})
		if owesTooMuch {
			return c, sent
		}
	}
	t.Fatal("commands are admitted however much the connection owes")
	return nil, 0
}

// dialPausedReader is dialLateReader with more requests, which the gateway leaves unread. From then
// on the backend answers by itself. It returns how many requests were sent, and the value of each.
func (r *testGateway) dialPausedReader(
	t *testing.T, b *fakeBackend,
) (c *testClient, sent int, value string) {
	t.Helper()
	value = strings.Repeat("v", 60<<10)
	c, sent = r.dialLateReader(t, b, value)
	const more = 40
	for i := range more {
		c.sendLookup(sent+1+i, "60000")
	}
	b.replyInBackground(t, value)
	return c, sent + more, value
}

// replyInBackground has the backend answer all further commands with a value.
func (b *fakeBackend) replyInBackground(t *testing.T, value string) {
	t.Helper()
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	go func() {
		for {
			select {
			case call := <-b.commands:
				call.replyValue(t, value)
			case <-end:
				return
			}
		}
	}()
}

// wantAnswers reads complete answers: values, or rejections of a busy gateway.
func (c *testClient) wantAnswers(n int, value string) {
	c.t.Helper()
	for range n {
		line := c.readLine()
		if strings.HasPrefix(line, "-BUSY") {
			continue
		}
		if !strings.HasPrefix(line, "$") {
			c.t.Fatalf("reply %q, want a value or a rejection", line)
		}
		c.wantLine(value)
	}
}

// A client that sends many commands and reads late loses no answer: it is not disconnected, its
// further commands are left unread until it reads.
func TestLateReaderGetsEveryAnswer(t *testing.T) {
	t.Parallel()
	r, b, _ := startWithOneBackend(t, nil)
	c, sent, value := r.dialPausedReader(t, b)
	c.wantAnswers(sent, value)
}

// A client that has not read its answers yet is neither evicted nor disconnected as idle: that
// would lose them.
func TestLateReaderIsNotEvicted(t *testing.T) {
	t.Parallel()
	r, b, _ := startWithOneBackend(t, nil)
	value := strings.Repeat("v", 60<<10)
	c, sent := r.dialLateReader(t, b, value)
	onEventLoop(t, r.gateway, func(g *Gateway) bool {
		conn := connOf(g, c)
		conn.lastCommand -= 10 * clientIdleTimeout
		conn.lastByte.Store(conn.lastCommand)
		g.clients.closeIdle(g)
		if g.clients.evict(g, nil) || conn.closeWhenIdle || conn.closed {
			t.Error("the connection was closed although its client has not read its answers")
		}
		return true
	})
	c.wantAnswers(sent, value)
}

// At the time to fail all open requests, the commands of a late reader are read and answered too.
func TestShutdownAnswersCommandsBehindUnreadAnswers(t *testing.T) {
	t.Parallel()
	r, b, _ := startWithOneBackend(t, nil)
	c, sent, value := r.dialPausedReader(t, b)
	r.beginShutdown()
	waitUntil(t, r.gateway, "the end of the time to answer", func(g *Gateway) bool {
		return g.shutdown.requestsFailed && connOf(g, c).heldReplyBytes.Load() == 0
	})
	c.wantAnswers(sent, value)
	c.wantClosed()
}

// A value for which there is no memory, because clients read late, is answered with an error.
func TestValueWithoutMemoryIsFailed(t *testing.T) {
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	c.sendLookup(1, "60000")
	first := b.nextCommand(t)
	c.sendLookup(2, "60000")
	second := b.nextCommand(t)
	memory := onEventLoop(t, r.gateway, func(g *Gateway) int64 {
		return int64(g.cfg.MemoryMB) << 20
	})
	r.gateway.clients.queuedBytes.Add(memory)
	second.replyValue(t, "kept") // it has to wait for the first one
	waitUntil(t, r.gateway, "the second answer", func(g *Gateway) bool { return g.requests.open == 1 })
	first.replyValue(t, "written at once")
	c.wantValue("written at once")
	c.wantLine("-ERR failed")
	r.gateway.clients.queuedBytes.Add(-memory)
}

// A client that never reads again is detected by the sender, so that its connection ends.
func TestSenderDetectsStalledPeer(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s := newSender(conn.(*net.TCPConn))
	var total atomic.Int64
	stalled := make(chan struct{}, 1)
	s.watch(&total, 50*time.Millisecond, func() {
		conn.Close()
		stalled <- struct{}{}
	})
	s.send(make([]byte, 64<<20))
	s.send([]byte("behind"))
	wait(t, stalled, "the stall to be detected")
	wait(t, s.writerDone, "the end of the writer")
	if n := total.Load(); n != 0 || s.queuedBytes() != 0 {
		t.Errorf("%d bytes count as queued after the end of the connection", n)
	}
}

// The time of a command that was left in the socket runs from its arrival, not from its reading.
func TestArrivalLog(t *testing.T) {
	var l arrivalLog
	l.received = 100
	l.beginPause(50, 1000) // 150 bytes have come by now
	l.observe(50, 2000)
	l.observe(80, 3000) // 30 more, after 2000
	l.observe(90, 4000)
	l.received = 400 // all is read, and more
	for _, c := range []struct {
		buffered int
		want     policy.Time
	}{{310, 1000}, {250, 1000}, {249, 2000}, {220, 2000}, {210, 3000}, {209, 9000}, {0, 9000}} {
		if got := l.arrivedBy(c.buffered, 9000); got != c.want {
			t.Errorf("with %d bytes buffered: arrived at %d, want %d", c.buffered, got, c.want)
		}
	}
	if l.behind() {
		t.Error("all that came in the pause is read, but the log says that some is not")
	}
}
