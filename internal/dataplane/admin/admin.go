// Package admin is a listener for operators: each connection carries one line and gets one answer.
// It answers however busy the rest of the program is. The number of open connections, the length of
// their lines and their time are bounded.
package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxLineBytes = 512
	// Beyond so many connections the one that has been silent longest is closed.
	maxOpenCalls     = 24
	readTimeout      = 5 * time.Second // for the line
	writeTimeout     = 2 * time.Second // for the answer
	answerTimeout    = 900 * time.Millisecond
	acceptRetryDelay = 20 * time.Millisecond // after an error, such as a lack of descriptors

	closeTimeout      = 500 * time.Millisecond // for the caller to close after its answer
	maxDiscardedBytes = 64 << 10               // behind the line
)

// Handler answers a call with the complete answer, its last line break included. The context ends
// when an answer is of no use any more. It is called concurrently.
type Handler func(ctx context.Context, name, argument string) string

// Server answers operators' calls. Make it with Listen. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	handle   Handler
	log      *slog.Logger

	mu           sync.Mutex
	awaitingLine []net.Conn // connections without a complete line, the oldest first
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

// Addr returns the address that it listens at.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close stops listening and waits until calls under way are answered.
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

// accept serves connections until Close.
func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("admin interface", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admit(conn) {
			_ = conn.Close()
			return
		}
		go s.serve(conn)
	}
}

// admit counts a connection, and closes the one that has been silent longest where there are too
// many. It returns false after Close.
func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.open >= maxOpenCalls && len(s.awaitingLine) > 0 {
		_ = s.awaitingLine[0].Close()
		s.awaitingLine = s.awaitingLine[1:]
	}
	s.open++
	s.awaitingLine = append(s.awaitingLine, conn)
	s.pending.Add(1)
	return true
}

// lineEnded records that a connection's line is read, or will not come.
func (s *Server) lineEnded(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.awaitingLine, conn)
	if i >= 0 {
		s.awaitingLine = append(s.awaitingLine[:i:i], s.awaitingLine[i+1:]...)
	}
}

// left records that a connection has ended.
func (s *Server) left() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// serve answers one call.
func (s *Server) serve(conn net.Conn) {
	defer s.pending.Done()
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	in := bufio.NewReaderSize(io.LimitReader(conn, maxLineBytes), maxLineBytes)
	line, err := in.ReadString('\n')
	s.lineEnded(conn)
	switch {
	case err == nil:
		s.write(conn, s.answer(line))
	case len(line) == maxLineBytes:
		s.write(conn, "fail line too long\n")
	}
	// Closing with unread data would reset the connection, and the answer could be lost.
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(closeTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxDiscardedBytes)
	s.left()
}

// answer has a line answered by the handler.
func (s *Server) answer(line string) string {
	name, argument, _ := strings.Cut(strings.TrimSpace(line), " ")
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	return s.handle(ctx, name, strings.TrimSpace(argument))
}

func (s *Server) write(conn net.Conn, answer string) {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = io.WriteString(conn, answer)
}
