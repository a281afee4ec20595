// Package admin is a listener for operators: each connection carries one line, and
// gets one answer. It answers whatever the rest of the program is busy with, and what
// callers hold open costs little: their number, their lines and their time are bounded.
package admin

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
	maxLineBytes  = 512             // bytes of a call
	maxOpenCalls  = 24              // callers at once; the one that has been silent longest makes room
	readTimeout   = 5 * time.Second // for a call to come whole
	writeTimeout  = 2 * time.Second // for its answer to be taken
	answerTimeout = 900 * time.Millisecond

	closeTimeout      = 500 * time.Millisecond // for the caller to close after its answer
	maxDiscardedBytes = 64 << 10               // bytes behind a call that are passed over
)

// Handler answers a call: the whole answer with its last line break. The context ends
// when an answer would be of no use any more. It is called concurrently.
type Handler func(ctx context.Context, name, argument string) string

// Server answers operators' calls. Make it with Listen.
type Server struct {
	listener net.Listener
	handle   Handler
	log      *slog.Logger

	mu           sync.Mutex
	awaitingLine []net.Conn // callers without a whole line yet, the oldest first
	open         int
	closed       bool
	pending      sync.WaitGroup
}

// Listen listens at an address and answers calls from then on, until Close.
func Listen(address string, handle Handler, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, handle: handle, log: log}
	go s.accept()
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close ends it: callers that have a call under way get their answer first.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for _, c := range s.awaitingLine {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.pending.Wait()
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as a shortage of descriptors
			s.log.Warn("admin interface", "error", err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			_ = conn.Close()
			return
		}
		if s.open >= maxOpenCalls && len(s.awaitingLine) > 0 {
			_ = s.awaitingLine[0].Close()
			s.awaitingLine = s.awaitingLine[1:]
		}
		s.open++
		s.awaitingLine = append(s.awaitingLine, conn)
		s.pending.Add(1)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers one caller.
func (s *Server) serve(conn net.Conn) {
	defer s.pending.Done()
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	line, err := bufio.NewReaderSize(io.LimitReader(conn, maxLineBytes), maxLineBytes).ReadString('\n')
	s.mu.Lock()
	for i, c := range s.awaitingLine {
		if c == conn {
			s.awaitingLine = append(s.awaitingLine[:i:i], s.awaitingLine[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	if err == nil {
		name, argument, _ := strings.Cut(strings.TrimSpace(line), " ")
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		answer := s.handle(ctx, name, strings.TrimSpace(argument))
		cancel()
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(conn, answer)
	} else if len(line) == maxLineBytes {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(conn, "fail line too long\n")
	}
	// To close with something unread would reset the connection, and the answer with it.
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(closeTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxDiscardedBytes)
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}
