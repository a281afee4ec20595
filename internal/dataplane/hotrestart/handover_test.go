package hotrestart

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const patience = 30 * time.Second

// meet returns both sides of a handover whose successor has called TakeState.
func meet(t *testing.T, give func(*Successor)) *Predecessor {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	line, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(line.Close)
	go line.Serve(give)
	b, err := FindPredecessor(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// connections returns both ends of a connection.
func connections(t *testing.T) (*net.TCPConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	there, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	here, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { here.Close(); there.Close() })
	_ = there.SetDeadline(time.Now().Add(patience))
	return here.(*net.TCPConn), there
}

func TestStateAndConnections(t *testing.T) {
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 3))
		state := make([]byte, r.IntN(5*chunkBytes))
		rests := make([][]byte, 20)
		for i := range state {
			state[i] = byte(r.Uint32())
		}
		notes, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer notes.Close()
		var theirs []net.Conn
		var mine []*net.TCPConn
		for i := range rests {
			rests[i] = bytes.Repeat([]byte{byte(i + 1)}, r.IntN(3)*r.IntN(3*chunkBytes))
			here, there := connections(t)
			mine, theirs = append(mine, here), append(theirs, there)
		}
		b := meet(t, func(a *Successor) {
			if err := a.SendState(State{Snapshot: state, PeerSocket: notes}); err != nil {
				t.Error(err)
				return
			}
			for i, c := range mine {
				if err := a.PassClient(
					ClientConn{
						Conn:   c,
						State:  ConnState{Commands: i, User: "u", HasCredential: true},
						Unread: rests[i],
					},
				); err != nil {
					t.Error(err)
				}
				c.Close()
			}
			a.Close()
		})
		e, err := b.TakeState()
		if err != nil || !bytes.Equal(e.Snapshot, state) ||
			e.PeerSocket.LocalAddr().String() != notes.LocalAddr().String() {
			t.Fatalf(
				"seed %d: state of %d bytes for %d, notes %v, %v",
				seed,
				len(e.Snapshot),
				len(state),
				e.PeerSocket,
				err,
			)
		}
		if err := b.Confirm(); err != nil {
			t.Fatal(err)
		}
		n := 0
		if err := b.ReceiveClients(func(c ClientConn) {
			if c.State.Commands != n || !bytes.Equal(c.Unread, rests[n]) || c.State.User != "u" {
				t.Errorf(
					"seed %d: connection %d: head %+v, %d bytes, %d wanted",
					seed,
					n,
					c.State,
					len(c.Unread),
					len(rests[n]),
				)
			}
			if _, err := c.Conn.Write([]byte{byte(n)}); err != nil {
				t.Error(err)
			}
			c.Conn.Close()
			got, err := io.ReadAll(theirs[n])
			if err != nil || len(got) != 1 || got[0] != byte(n) {
				t.Errorf("seed %d: connection %d carried %v, %v", seed, n, got, err)
			}
			n++
		}); err != nil {
			t.Fatal(err)
		}
		if n != len(rests) {
			t.Fatalf("seed %d: %d connections of %d", seed, n, len(rests))
		}
		e.PeerSocket.Close()
	}
}

// TestLongestCredential passes on a connection whose credential is as long as any may be, of bytes
// that JSON encodes with six each.
func TestLongestCredential(t *testing.T) {
	here, _ := connections(t)
	secret := strings.Repeat("<", 8<<10)
	b := meet(t, func(a *Successor) {
		_ = a.write('E', nil, nil)
		if err := a.PassClient(
			ClientConn{
				Conn:   here,
				State:  ConnState{HasCredential: true, Secret: secret},
				Unread: []byte("rest"),
			},
		); err != nil {
			t.Error(err)
		}
		a.Close()
	})
	if _, err := b.TakeState(); err != nil {
		t.Fatal(err)
	}
	n := 0
	err := b.ReceiveClients(func(c ClientConn) {
		n++
		if c.State.Secret != secret || string(c.Unread) != "rest" {
			t.Errorf("a secret of %d bytes and %q", len(c.State.Secret), c.Unread)
		}
		c.Conn.Close()
	})
	if err != nil || n != 1 {
		t.Errorf("%d connections, %v", n, err)
	}
}

// TestNoHandoverWithoutConfirmation has the successor end before its confirmation, or send another
// message: the predecessor must learn that it goes on serving.
func TestNoHandoverWithoutConfirmation(t *testing.T) {
	for name, end := range map[string]func(*Predecessor){
		"dies":     func(p *Predecessor) { p.Close() },
		"nonsense": func(p *Predecessor) { _ = p.write('Z', nil, nil) },
	} {
		given := make(chan error, 1)
		b := meet(t, func(a *Successor) { given <- a.SendState(State{Snapshot: []byte("x")}) })
		if _, err := b.TakeState(); err != nil {
			t.Fatal(name, err)
		}
		end(b)
		select {
		case err := <-given:
			if err == nil {
				t.Errorf("%s: taken for a handover", name)
			}
		case <-time.After(patience):
			t.Fatal(name, ": the process before waits on")
		}
	}
}

// TestNoPredecessor looks for a predecessor where none is, where one was, and where two were.
func TestNoPredecessor(t *testing.T) {
	nobodyBefore(t, filepath.Join(t.TempDir(), "s"))
	deep := filepath.Join(
		t.TempDir(),
		strings.Repeat("deep/", 40),
	) // longer than a socket's address
	if err := os.MkdirAll(deep, 0o700); err != nil {
		t.Fatal(err)
	}
	nobodyBefore(t, SocketPath(deep, strings.Repeat("name", 100)))
}

func nobodyBefore(t *testing.T, path string) {
	t.Helper()
	if _, err := FindPredecessor(path); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("an empty folder: %v", err)
	}
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	first.Close() // the older process ends later: the newer one must still be found
	b, err := FindPredecessor(path)
	if err != nil {
		t.Fatal("the second process is not found: ", err)
	}
	b.Close()
	second.Close()
	if _, err := FindPredecessor(path); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("a path left by a dead process: %v", err)
	}
}

// TestForeignMessages sends a successor what no predecessor sends.
func TestForeignMessages(t *testing.T) {
	_, there := connections(t)
	for name, talk := range map[string]func(*Successor){
		"a kind amid the state": func(a *Successor) { _ = a.write('C', []byte("{}"), nil) },
		"an end at once":        func(a *Successor) { a.Close() },
		"another descriptor":    func(a *Successor) { _ = a.write('E', nil, there.(syscall.Conn)) },
	} {
		b := meet(t, talk)
		if e, err := b.TakeState(); err == nil {
			t.Errorf("%s: taken for an estate %+v", name, e)
		}
	}
	for name, head := range map[string]string{"no JSON": "{", "too long": `{"length":99999999}`, "negative": `{"length":-1}`} {
		here, _ := connections(t)
		b := meet(t, func(a *Successor) {
			_ = a.write('E', nil, nil)
			_ = a.write('C', []byte(head), here)
			a.Close()
		})
		if _, err := b.TakeState(); err != nil {
			t.Fatal(name, err)
		}
		if err := b.ReceiveClients(
			func(c ClientConn) { t.Errorf("%s: a connection %+v", name, c.State) },
		); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
