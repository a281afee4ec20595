package gateway

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"

	"mothcleat/internal/dataplane/resp"
)

// longValue returns a value of size bytes, which differs for each seed.
func longValue(seed uint64, size int) []byte {
	r := rand.NewChaCha8([32]byte{byte(seed)})
	b := make([]byte, size)
	_, _ = r.Read(b)
	return b
}

// replyPartly sends the header of a value of size bytes, and part of the value.
func (c *backendCall) replyPartly(t testing.TB, size int, part []byte) {
	t.Helper()
	c.reply(t, fmt.Sprintf("*3\r\n$%d\r\n", size))
	c.reply(t, string(part))
}

// A value of 4 MiB is streamed unaltered, and the replies to later commands follow it.
func TestLongValueIsStreamed(t *testing.T) {
	b := newFakeBackend(t)
	r := startGatewayWithAdmin(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := r.dialClient(t)
	value := longValue(1, 4<<20)
	c.sendLookup(1, "60000")
	call := b.nextCommand(t)
	call.replyPartly(t, len(value), value[:100])
	c.wantLine(fmt.Sprintf("$%d", len(value)))
	first := make([]byte, 100)
	if _, err := io.ReadFull(c.in, first); err != nil || !bytes.Equal(first, value[:100]) {
		t.Fatalf("the first bytes were not streamed before the rest: %v", err)
	}
	if n := readMetrics(t, r)["current"]; n != 1 {
		t.Errorf("%d requests are open in the middle of a value, want 1", n)
	}
	c.send("PING") // its reply comes after the value
	go func() {
		for rest := value[100:]; len(rest) > 0; {
			n := min(len(rest), 100_000)
			call.reply(t, string(rest[:n]))
			rest = rest[n:]
		}
		call.reply(t, "\r\n$-1\r\n$-1\r\n")
	}()
	rest := make([]byte, len(value)-100)
	if _, err := io.ReadFull(c.in, rest); err != nil || !bytes.Equal(rest, value[100:]) {
		t.Fatalf("the rest of the value was altered: %v", err)
	}
	c.wantLine("")
	c.wantLine("+PONG")
	c.sendLookup(2, "60000") // on the same connection to the backend or another one
	b.nextCommand(t).replyValue(t, "short")
	c.wantValue("short")
	if got := readMetrics(t, r); got["answered.lookup"] != 2 || got["current"] != 0 || got["sends"] != 2 {
		t.Errorf("metrics %v", got)
	}
}

// If a backend closes the connection in the middle of a value, the gateway closes the connection of
// that client, which can then tell that the value is incomplete. Other clients are not affected.
func TestTruncatedLongValue(t *testing.T) {
	b := newFakeBackend(t)
	r := startGatewayWithAdmin(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c, other := r.dialClient(t), r.dialClient(t)
	c.sendLookup(1, "60000")
	call := b.nextCommand(t)
	call.replyPartly(t, 1<<20, make([]byte, 200_000))
	c.wantLine(fmt.Sprintf("$%d", 1<<20))
	call.conn.Close()
	if got, _ := io.ReadAll(c.in); len(got) > 200_000 {
		t.Errorf("%d bytes were received, but the backend sent only 200000", len(got))
	}
	other.sendLookup(2, "60000")
	b.nextCommand(t).replyValue(t, "fine")
	other.wantValue("fine")
	if got := readMetrics(
		t,
		r,
	); got["errored.lookup"] != 1 || got["answered.lookup"] != 1 ||
		got["current"] != 0 {
		t.Errorf("metrics %v", got)
	}
}

// A client that disconnects in the middle of a value, or while the value waits behind an earlier
// reply, leaves no state in the gateway.
func TestDisconnectDuringLongValue(t *testing.T) {
	b := newFakeBackend(t)
	r := startGatewayWithAdmin(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	streaming, queued := r.dialClient(t), r.dialClient(t)
	streaming.sendLookup(1, "60000")
	call := b.nextCommand(t)
	call.replyPartly(t, 1<<20, make([]byte, 100_000))
	streaming.wantLine(fmt.Sprintf("$%d", 1<<20))
	queued.sendLookup(2, "60000")
	b.commandWithID(t, 2) // never answered
	queued.sendLookup(3, "60000")
	b.commandWithID(t, 3).replyPartly(t, 1<<20, make([]byte, 1000))
	streaming.conn.Close()
	queued.conn.Close()
	for range 2 {
		wait(t, b.disconnects, "the end of a backend's connection")
	}
	other := r.dialClient(t)
	other.sendLookup(4, "60000")
	b.commandWithID(t, 4).replyValue(t, "fine")
	other.wantValue("fine")
	for readMetrics(t, r)["current"] != 0 {
		runtime.Gosched()
	}
}

// Many long values at once are not buffered, even if their clients read only the headers until all
// values have started: the heap grows by much less than the values' total size.
func TestLongValuesAreNotBuffered(t *testing.T) {
	const many, size = 24, 4 << 20
	b := newFakeBackend(t)
	r := startGatewayWithAdmin(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready"), b.memberJSON("s-2", "Ready")))
	var before, during runtime.MemStats
	value := longValue(2, size)
	text := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", size, value)
	clients := make([]*testClient, many)
	runtime.GC()
	runtime.ReadMemStats(&before)
	var sent sync.WaitGroup
	for i := range clients {
		clients[i] = r.dialClient(t)
		clients[i].sendLookup(i+1, "60000")
		call := b.commandWithID(t, i+1)
		sent.Go(func() { _, _ = io.WriteString(call.conn, text) })
		clients[i].wantLine(fmt.Sprintf("$%d", size))
	}
	runtime.GC() // only live memory counts
	runtime.ReadMemStats(&during)
	if grown := int64(during.HeapAlloc) - int64(before.HeapAlloc); grown > many*size/4 {
		t.Errorf("the heap grew by %d MiB for %d MiB of streamed values", grown>>20, many*size>>20)
	}
	for i, c := range clients {
		got := make([]byte, size+2)
		if _, err := io.ReadFull(c.in, got); err != nil || !bytes.Equal(got[:size], value) {
			t.Fatalf("value %d was altered: %v", i, err)
		}
	}
	sent.Wait()
	if n := readMetrics(t, r)["answered.lookup"]; n != many {
		t.Errorf("%d requests answered, want %d", n, many)
	}
}

// An answer whose length is over the limit for streamed values fails the request.
func TestValueOverAnyLimit(t *testing.T) {
	b := newFakeBackend(t)
	r := startGatewayWithAdmin(t, newFakeDiscovery(t, b.memberJSON("s-1", "Ready")))
	c := r.dialClient(t)
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000001",
		"c=once,t=team,d=60000,units=1,spread=1,first=0",
		"x",
	)
	b.nextCommand(t).reply(t, fmt.Sprintf("*3\r\n$%d\r\n", resp.MaxStreamedValue+1))
	c.wantLine("-ERR failed")
}
