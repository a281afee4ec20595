// Package admin implements the admin interface for operators: each connection carries one line and
// receives one answer. It answers however busy the rest of the program is. The number of open
// connections, the length of their lines and their duration are limited.
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
	// If there are more connections than this, the oldest one without a complete line is closed.
	maxOpenCalls     = 24
	readTimeout      = 5 * time.Second // for reading the line
	writeTimeout     = 2 * time.Second // for writing the answer
	answerTimeout    = 900 * time.Millisecond
	acceptRetryDelay = 20 * time.Millisecond // after an error, such as a lack of descriptors

	closeTimeout      = 500 * time.Millisecond // for the caller to close after the answer
	maxDiscardedBytes = 64 << 10               // of data after the line
)

// Handler returns the complete answer to a call, including the final line break. The context ends
// when an answer is no longer of use. A handler is called concurrently.
type Handler func(ctx context.Context, name, argument string) string

// Server answers operators' calls. Use Listen to create one. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	handle   Handler
	log      *slog.Logger

	mu           sync.Mutex
	awaitingLine []net.Conn // connections without a complete line, oldest first
	open         int
	closed       bool
	pending      sync.WaitGroup
}

// Listen listens at a TCP address and answers calls until Close.
func Listen(address string, handle Handler, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, handle: handle, log: log}
	go s.accept()
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Close stops listening, closes connections without a complete line, and waits until the calls
// under way are answered.
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

// admit registers a connection. If there are too many, it closes the oldest one without a complete
// line. It returns false after Close.
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

// lineEnded records that a connection's line was read or that reading it failed.
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

// answer splits a line into a name and an argument, and returns the handler's answer.
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
