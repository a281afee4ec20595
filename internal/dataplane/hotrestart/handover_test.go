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

// waitTimeout bounds every wait for an event.
const waitTimeout = 30 * time.Second

// startHandover starts a handover on both sides and returns the successor's side. Once the test
// calls TakeState on it, serve is called with the predecessor's side.
func startHandover(t *testing.T, serve func(*Successor)) *Predecessor {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s")
	listener, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(listener.Close)
	go listener.Serve(serve)
	predecessor, err := FindPredecessor(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(predecessor.Close)
	return predecessor
}

// newConnPair returns both ends of a TCP connection.
func newConnPair(t *testing.T) (*net.TCPConn, net.Conn) {
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
	_ = there.SetDeadline(time.Now().Add(waitTimeout))
	return here.(*net.TCPConn), there
}

// A snapshot, the socket for peer messages and client connections with their unread data arrive at
// the successor unchanged and in order, and the connections still work.
func TestStateAndConnections(t *testing.T) {
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 3))
		snapshot := make([]byte, r.IntN(5*maxChunkBytes))
		unread := make([][]byte, 20)
		unsent := make([][]byte, len(unread))
		for i := range snapshot {
			snapshot[i] = byte(r.Uint32())
		}
		peerSocket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer peerSocket.Close()
		var clientSides []net.Conn
		var gatewaySides []*net.TCPConn
		for i := range unread {
			unread[i] = bytes.Repeat([]byte{byte(i + 1)}, r.IntN(3)*r.IntN(3*maxChunkBytes))
			unsent[i] = bytes.Repeat([]byte{byte(i + 2)}, r.IntN(3)*r.IntN(3*maxChunkBytes))
			here, there := newConnPair(t)
			gatewaySides, clientSides = append(gatewaySides, here), append(clientSides, there)
		}
		predecessor := startHandover(t, func(successor *Successor) {
			if err := successor.SendState(State{Snapshot: snapshot, PeerSocket: peerSocket}); err != nil {
				t.Error(err)
				return
			}
			for i, c := range gatewaySides {
				if err := successor.PassClient(
					ClientConn{
						Conn:   c,
						State:  ConnState{Commands: i, User: "u", HasCredential: true},
						Unread: unread[i],
						Unsent: unsent[i],
					},
				); err != nil {
					t.Error(err)
				}
				c.Close()
			}
			successor.Close()
		})
		state, err := predecessor.TakeState()
		if err != nil || !bytes.Equal(state.Snapshot, snapshot) ||
			state.PeerSocket.LocalAddr().String() != peerSocket.LocalAddr().String() {
			t.Fatalf(
				"seed %d: received a snapshot of %d bytes, want %d; peer socket %v, error %v",
				seed,
				len(state.Snapshot),
				len(snapshot),
				state.PeerSocket,
				err,
			)
		}
		if err := predecessor.Confirm(); err != nil {
			t.Fatal(err)
		}
		n := 0
		if err := predecessor.ReceiveClients(func(c ClientConn) {
			if c.State.Commands != n || !bytes.Equal(c.Unread, unread[n]) ||
				!bytes.Equal(c.Unsent, unsent[n]) || c.State.User != "u" {
				t.Errorf(
					"seed %d: connection %d: state %+v, %d unread bytes, want %d; %d unsent, want %d",
					seed,
					n,
					c.State,
					len(c.Unread),
					len(unread[n]),
					len(c.Unsent),
					len(unsent[n]),
				)
			}
			if _, err := c.Conn.Write([]byte{byte(n)}); err != nil {
				t.Error(err)
			}
			c.Conn.Close()
			got, err := io.ReadAll(clientSides[n])
			if err != nil || len(got) != 1 || got[0] != byte(n) {
				t.Errorf("seed %d: the client of connection %d received %v, %v", seed, n, got, err)
			}
			n++
		}); err != nil {
			t.Fatal(err)
		}
		if n != len(unread) {
			t.Fatalf("seed %d: %d connections were received, want %d", seed, n, len(unread))
		}
		state.PeerSocket.Close()
	}
}

// TestLongestCredential passes a connection with a credential of the maximum length, whose bytes
// JSON escapes as six bytes each: its message must not exceed maxMessageBytes.
func TestLongestCredential(t *testing.T) {
	here, _ := newConnPair(t)
	secret := strings.Repeat("<", 8<<10)
	predecessor := startHandover(t, func(successor *Successor) {
		_ = successor.write('E', nil, nil)
		if err := successor.PassClient(
			ClientConn{
				Conn:   here,
				State:  ConnState{HasCredential: true, Secret: secret},
				Unread: []byte("rest"),
			},
		); err != nil {
			t.Error(err)
		}
		successor.Close()
	})
	if _, err := predecessor.TakeState(); err != nil {
		t.Fatal(err)
	}
	n := 0
	err := predecessor.ReceiveClients(func(c ClientConn) {
		n++
		if c.State.Secret != secret || string(c.Unread) != "rest" {
			t.Errorf("received a secret of %d bytes and unread data %q", len(c.State.Secret), c.Unread)
		}
		c.Conn.Close()
	})
	if err != nil || n != 1 {
		t.Errorf("%d connections were received, want 1; error %v", n, err)
	}
}

// TestNoHandoverWithoutConfirmation lets the successor exit, or send another message, in place of
// the confirmation: the predecessor must get an error, so that it continues to serve.
func TestNoHandoverWithoutConfirmation(t *testing.T) {
	for name, end := range map[string]func(*Predecessor){
		"exit":          func(p *Predecessor) { p.Close() },
		"wrong message": func(p *Predecessor) { _ = p.write('Z', nil, nil) },
	} {
		sent := make(chan error, 1)
		predecessor := startHandover(t, func(successor *Successor) {
			sent <- successor.SendState(State{Snapshot: []byte("x")})
		})
		if _, err := predecessor.TakeState(); err != nil {
			t.Fatal(name, err)
		}
		end(predecessor)
		select {
		case err := <-sent:
			if err == nil {
				t.Errorf("%s: SendState returned no error", name)
			}
		case <-time.After(waitTimeout):
			t.Fatal(name, ": timed out waiting for SendState to return")
		}
	}
}

// TestNoPredecessor looks for a predecessor at a path where no process has listened, where the
// newer of two listens, and where both have exited. It does so with a short and with a long path.
func TestNoPredecessor(t *testing.T) {
	wantNoPredecessor(t, filepath.Join(t.TempDir(), "s"))
	deep := filepath.Join(
		t.TempDir(),
		strings.Repeat("deep/", 40),
	) // longer than a socket address
	if err := os.MkdirAll(deep, 0o700); err != nil {
		t.Fatal(err)
	}
	wantNoPredecessor(t, SocketPath(deep, strings.Repeat("name", 100)))
}

// wantNoPredecessor checks the results of FindPredecessor at a path before, during and after the
// lives of two processes.
func wantNoPredecessor(t *testing.T, path string) {
	t.Helper()
	if _, err := FindPredecessor(path); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("before any process: error %v, want ErrNoPredecessor", err)
	}
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	second, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	first.Close() // the end of the older process must not hide the newer one
	predecessor, err := FindPredecessor(path)
	if err != nil {
		t.Fatal("the second process is not found: ", err)
	}
	predecessor.Close()
	second.Close()
	if _, err := FindPredecessor(path); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("after both processes: error %v, want ErrNoPredecessor", err)
	}
}

// TestForeignMessages sends a successor messages that violate the protocol: it must return an
// error.
func TestForeignMessages(t *testing.T) {
	_, there := newConnPair(t)
	for name, send := range map[string]func(*Successor){
		"a client connection before the end of the state": func(s *Successor) { _ = s.write('C', []byte("{}"), nil) },
		"a close before the state":                        func(s *Successor) { s.Close() },
		"a descriptor of another type":                    func(s *Successor) { _ = s.write('E', nil, there.(syscall.Conn)) },
	} {
		predecessor := startHandover(t, send)
		if state, err := predecessor.TakeState(); err == nil {
			t.Errorf("%s: accepted as the state %+v", name, state)
		}
	}
	for name, connState := range map[string]string{"no JSON": "{", "too long": `{"length":99999999}`, "negative": `{"length":-1}`} {
		here, _ := newConnPair(t)
		predecessor := startHandover(t, func(s *Successor) {
			_ = s.write('E', nil, nil)
			_ = s.write('C', []byte(connState), here)
			s.Close()
		})
		if _, err := predecessor.TakeState(); err != nil {
			t.Fatal(name, err)
		}
		if err := predecessor.ReceiveClients(
			func(c ClientConn) { t.Errorf("%s: received a connection %+v", name, c.State) },
		); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
