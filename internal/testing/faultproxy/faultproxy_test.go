package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"
)

// echo starts a server that returns what it receives, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

// link returns a proxy in front of an echo server, and a connection through it.
func link(t *testing.T) (*Link, net.Conn) {
	t.Helper()
	k, err := New("127.0.0.1:0", echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	c, err := net.Dial("tcp", k.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	send(t, c, "hello")
	receive(t, c, "hello")
	return k, c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("received %q, %v, want %q", got, err, text)
	}
}

// expectNothing fails the test if a byte or the end of the connection arrives within 100 ms.
func expectNothing(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == io.EOF {
		t.Fatalf("received %d bytes, %v, over a cut link", n, err)
	}
}

func TestACutIsSilentEachWay(t *testing.T) {
	for _, d := range []Direction{Upstream, Downstream} {
		k, c := link(t)
		k.Set(d, Conditions{Cut: true})
		send(t, c, "word")
		expectNothing(t, c)
		if _, held := k.Forwarded(d); held == 0 {
			t.Error("the cut link held nothing back")
		}
		if _, held := k.Forwarded(1 - d); held != 0 {
			t.Error("the other direction was cut, too")
		}
		k.Set(d, Conditions{})
		receive(t, c, "word") // the bytes arrive late but complete
	}
}

func TestNoConnectionThroughACut(t *testing.T) {
	k, _ := link(t)
	k.Cut(true)
	c, err := net.Dial("tcp", k.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	send(t, c, "anybody")
	expectNothing(t, c)
	k.Cut(false)
	receive(t, c, "anybody")
}

func TestResetAndHalfOpen(t *testing.T) {
	k, c := link(t)
	k.Reset()
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection was not reset")
	}
	k, c = link(t)
	k.Set(Downstream, Conditions{Cut: true}) // so that the client is not notified
	k.HalfOpen()
	send(t, c, "lost")
	expectNothing(t, c)
}

func TestDelayAndTrickle(t *testing.T) {
	k, c := link(t)
	k.Set(
		Upstream,
		Conditions{
			Delay:          50 * time.Millisecond,
			Jitter:         10 * time.Millisecond,
			BytesPerSecond: 200,
		},
	)
	began := time.Now()
	send(t, c, "0123456789012345678901234567890123456789")
	receive(t, c, "0123456789012345678901234567890123456789")
	if d := time.Since(began); d < 200*time.Millisecond {
		t.Errorf("40 bytes at 200 a second, delayed by 50 ms, took %v, want at least 200ms", d)
	}
}
