// Package door is a listener for operators: each connection carries one line, and
// gets one answer. It answers whatever the rest of the program is busy with, and what
// callers hold open costs little: their number, their lines and their time are bounded.
package door

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	lineMost   = 512             // bytes of a call
	mostOpen   = 24              // callers at once; the one that has been silent longest makes room
	lineWithin = 5 * time.Second // for a call to come whole
	sendWithin = 2 * time.Second // for its answer to be taken
	answerIn   = 900 * time.Millisecond

	closeWithin = 500 * time.Millisecond // for the caller to close after its answer
	dropMost    = 64 << 10               // bytes behind a call that are passed over
)

// Handler answers a call: the whole answer with its last line break. The context ends
// when an answer would be of no use any more. It is called concurrently.
type Handler func(ctx context.Context, name, argument string) string

// Door is an open door. Make it with Open.
type Door struct {
	listener net.Listener
	handle   Handler
	log      *slog.Logger

	mu      sync.Mutex
	silent  []net.Conn // callers without a whole line yet, the oldest first
	open    int
	closed  bool
	pending sync.WaitGroup
}

// Open listens at an address and answers calls from then on, until Close.
func Open(address string, handle Handler, log *slog.Logger) (*Door, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Door{listener: l, handle: handle, log: log}
	go d.accept()
	return d, nil
}

// Addr is where it listens.
func (d *Door) Addr() net.Addr { return d.listener.Addr() }

// Close ends it: callers that have a call under way get their answer first.
func (d *Door) Close() {
	_ = d.listener.Close()
	d.mu.Lock()
	d.closed = true
	for _, c := range d.silent {
		_ = c.Close()
	}
	d.mu.Unlock()
	d.pending.Wait()
}

func (d *Door) accept() {
	for {
		conn, err := d.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as a shortage of descriptors
			d.log.Warn("door", "error", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		d.mu.Lock()
		if d.closed {
			d.mu.Unlock()
			_ = conn.Close()
			return
		}
		if d.open >= mostOpen && len(d.silent) > 0 {
			_ = d.silent[0].Close()
			d.silent = d.silent[1:]
		}
		d.open++
		d.silent = append(d.silent, conn)
		d.pending.Add(1)
		d.mu.Unlock()
		go d.serve(conn)
	}
}

// serve answers one caller.
func (d *Door) serve(conn net.Conn) {
	defer d.pending.Done()
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(lineWithin))
	line, err := bufio.NewReaderSize(io.LimitReader(conn, lineMost), lineMost).ReadString('\n')
	d.mu.Lock()
	for i, c := range d.silent {
		if c == conn {
			d.silent = append(d.silent[:i:i], d.silent[i+1:]...)
			break
		}
	}
	d.mu.Unlock()
	if err == nil {
		name, argument, _ := strings.Cut(strings.TrimSpace(line), " ")
		ctx, cancel := context.WithTimeout(context.Background(), answerIn)
		answer := d.handle(ctx, name, strings.TrimSpace(argument))
		cancel()
		_ = conn.SetWriteDeadline(time.Now().Add(sendWithin))
		_, _ = io.WriteString(conn, answer)
	} else if len(line) == lineMost {
		_ = conn.SetWriteDeadline(time.Now().Add(sendWithin))
		_, _ = io.WriteString(conn, "fail line too long\n")
	}
	// To close with something unread would reset the connection, and the answer with it.
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(closeWithin))
	_, _ = io.CopyN(io.Discard, conn, dropMost)
	d.mu.Lock()
	d.open--
	d.mu.Unlock()
}
