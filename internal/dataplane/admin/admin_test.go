package admin

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

const patience = 30 * time.Second

func open(t *testing.T, h Handler) *Server {
	t.Helper()
	d, err := Listen("127.0.0.1:0", h, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func dial(t *testing.T, d *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return c
}

func call(t *testing.T, d *Server, text string) string {
	t.Helper()
	c := dial(t, d)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func echo(_ context.Context, name, argument string) string {
	return fmt.Sprintf("ok %s(%s)\n", name, argument)
}

func TestOneLineOneAnswer(t *testing.T) {
	d := open(t, echo)
	for text, want := range map[string]string{
		"check\n":                 "ok check()\n",
		"check\r\n":               "ok check()\n",
		"  vars  a b \nignored\n": "ok vars(a b)\n",
		strings.Repeat("x", 4000): "fail line too long\n",
	} {
		if got := call(t, d, text); got != want {
			t.Errorf("%.20q: answer %q, want %q", text, got, want)
		}
	}
}

// Even if far more connections than the server keeps open send nothing or half a line, each complete
// call is answered.
func TestSilentConnectionsBlockNothing(t *testing.T) {
	d := open(t, echo)
	for i := range 4 * maxOpenCalls {
		c := dial(t, d)
		if i%2 == 0 {
			_, _ = io.WriteString(c, "che")
		}
		if i%5 == 0 {
			if got := call(t, d, "check\n"); got != "ok check()\n" {
				t.Fatalf("call after %d silent connections: %q", i+1, got)
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.awaitingLine) > maxOpenCalls {
		t.Errorf("%d silent connections are open, want at most %d", len(d.awaitingLine), maxOpenCalls)
	}
}

// Close waits until a call under way is answered.
func TestCloseAnswersCallsUnderWay(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	d := open(t, func(context.Context, string, string) string {
		close(begun)
		<-proceed
		return "ok\n"
	})
	c := dial(t, d)
	_, _ = io.WriteString(c, "check\n")
	<-begun
	closed := make(chan struct{})
	go func() { d.Close(); close(closed) }()
	close(proceed)
	if b, err := io.ReadAll(c); err != nil || string(b) != "ok\n" {
		t.Errorf("answer %q, %v", b, err)
	}
	<-closed
}
