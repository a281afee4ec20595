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

// longText returns a value that is too long to be buffered, another one for each seed.
func longText(seed uint64, size int) []byte {
	r := rand.NewChaCha8([32]byte{byte(seed)})
	b := make([]byte, size)
	_, _ = r.Read(b)
	return b
}

// begin answers a command with the head of a value and a part of it.
func (c *backendCall) begin(t testing.TB, size int, part []byte) {
	t.Helper()
	c.answer(t, fmt.Sprintf("*3\r\n$%d\r\n", size))
	c.answer(t, string(part))
}

// A value of 4 MiB is streamed unaltered, and the answers behind it follow.
func TestLongValueIsStreamed(t *testing.T) {
	b := newBackend(t)
	r := managed(t, newFakeDiscovery(t, b.entry("s-1", "Ready")))
	c := r.client(t)
	value := longText(1, 4<<20)
	c.lookup(1, "60000")
	call := b.next(t)
	call.begin(t, len(value), value[:100])
	c.want(fmt.Sprintf("$%d", len(value)))
	first := make([]byte, 100)
	if _, err := io.ReadFull(c.in, first); err != nil || !bytes.Equal(first, value[:100]) {
		t.Fatalf("the first bytes did not come by themselves: %v", err)
	}
	if n := vars(t, r)["current"]; n != 1 {
		t.Errorf("%d requests are open amid a value, want 1", n)
	}
	c.send("PING") // behind it
	go func() {
		for rest := value[100:]; len(rest) > 0; {
			n := min(len(rest), 100_000)
			call.answer(t, string(rest[:n]))
			rest = rest[n:]
		}
		call.answer(t, "\r\n$-1\r\n$-1\r\n")
	}()
	rest := make([]byte, len(value)-100)
	if _, err := io.ReadFull(c.in, rest); err != nil || !bytes.Equal(rest, value[100:]) {
		t.Fatalf("the rest came altered: %v", err)
	}
	c.want("")
	c.want("+PONG")
	c.lookup(2, "60000") // by the same connection, or another
	b.next(t).serve(t, "short")
	c.value("short")
	if got := vars(t, r); got["answered.lookup"] != 2 || got["current"] != 0 || got["sends"] != 2 {
		t.Errorf("figures %v", got)
	}
}

// A value that its backend breaks off is broken off for its client, who can tell, and for nobody
// else.
func TestTruncatedLongValue(t *testing.T) {
	b := newBackend(t)
	r := managed(t, newFakeDiscovery(t, b.entry("s-1", "Ready")))
	c, other := r.client(t), r.client(t)
	c.lookup(1, "60000")
	call := b.next(t)
	call.begin(t, 1<<20, make([]byte, 200_000))
	c.want(fmt.Sprintf("$%d", 1<<20))
	call.conn.Close()
	if got, _ := io.ReadAll(c.in); len(got) > 200_000 {
		t.Errorf("%d bytes came of 200000", len(got))
	}
	other.lookup(2, "60000")
	b.next(t).serve(t, "fine")
	other.value("fine")
	if got := vars(
		t,
		r,
	); got["errored.lookup"] != 1 || got["answered.lookup"] != 1 ||
		got["current"] != 0 {
		t.Errorf("figures %v", got)
	}
}

// A client that disconnects in the middle of a value, or before its turn, leaves no state behind.
func TestDisconnectDuringLongValue(t *testing.T) {
	b := newBackend(t)
	r := managed(t, newFakeDiscovery(t, b.entry("s-1", "Ready")))
	amid, behind := r.client(t), r.client(t)
	amid.lookup(1, "60000")
	call := b.next(t)
	call.begin(t, 1<<20, make([]byte, 100_000))
	amid.want(fmt.Sprintf("$%d", 1<<20))
	behind.lookup(2, "60000")
	b.nextOf(t, 2) // is never answered
	behind.lookup(3, "60000")
	b.nextOf(t, 3).begin(t, 1<<20, make([]byte, 1000))
	amid.conn.Close()
	behind.conn.Close()
	for range 2 {
		wait(t, b.ended, "the end of a backend's connection")
	}
	other := r.client(t)
	other.lookup(4, "60000")
	b.nextOf(t, 4).serve(t, "fine")
	other.value("fine")
	for vars(t, r)["current"] != 0 {
		runtime.Gosched()
	}
}

// Many long values at once, to clients that read nothing until all have begun, are not buffered:
// together they are far more than what the process grows by.
func TestLongValuesAreNotBuffered(t *testing.T) {
	const many, size = 24, 4 << 20
	b := newBackend(t)
	r := managed(t, newFakeDiscovery(t, b.entry("s-1", "Ready"), b.entry("s-2", "Ready")))
	var before, amid runtime.MemStats
	value := longText(2, size)
	text := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", size, value)
	clients := make([]*testClient, many)
	runtime.GC()
	runtime.ReadMemStats(&before)
	var sent sync.WaitGroup
	for i := range clients {
		clients[i] = r.client(t)
		clients[i].lookup(i+1, "60000")
		call := b.nextOf(t, i+1)
		sent.Go(func() { _, _ = io.WriteString(call.conn, text) })
		clients[i].want(fmt.Sprintf("$%d", size))
	}
	runtime.GC() // only live memory counts
	runtime.ReadMemStats(&amid)
	if grown := int64(amid.HeapAlloc) - int64(before.HeapAlloc); grown > many*size/4 {
		t.Errorf("the heap grew by %d MB for %d MB of values under way", grown>>20, many*size>>20)
	}
	for i, c := range clients {
		got := make([]byte, size+2)
		if _, err := io.ReadFull(c.in, got); err != nil || !bytes.Equal(got[:size], value) {
			t.Fatalf("value %d came altered: %v", i, err)
		}
	}
	sent.Wait()
	if n := vars(t, r)["answered.lookup"]; n != many {
		t.Errorf("%d requests answered, want %d", n, many)
	}
}

// An answer with an impossible length fails the request.
func TestValueOverAnyLimit(t *testing.T) {
	b := newBackend(t)
	r := managed(t, newFakeDiscovery(t, b.entry("s-1", "Ready")))
	c := r.client(t)
	c.send(
		"API.WRITE",
		"0000000000000007",
		"0000000000000001",
		"c=once,t=team,d=60000,units=1,spread=1,first=0",
		"x",
	)
	b.next(t).answer(t, fmt.Sprintf("*3\r\n$%d\r\n", resp.MaxStreamedValue+1))
	c.want("-ERR failed")
}
