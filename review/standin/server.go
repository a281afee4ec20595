package main

import (
	"bufio"
	"net"
	"strings"
	"time"
)

// server stands in for a quote server. It runs each request for a while and answers it.
type server struct {
	name     string
	listener net.Listener
	record   *record
	work     func(args []string) time.Duration
	value    func(args []string) string
	// second returns after how long an answer is sent a second time; 0: it is not.
	second func() time.Duration
	// arrived is called when a request has come whole; nil: nothing is called.
	arrived func(args []string)
}

func newServer(name string, rec *record) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &server{
		name:     name,
		listener: listener,
		record:   rec,
		work:     func([]string) time.Duration { return 100 * time.Millisecond },
		value:    func(args []string) string { return "value-for-" + args[2] },
		second:   func() time.Duration { return 0 },
	}, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// serve accepts connections until the listener is closed.
func (s *server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

// serveConn begins each request when it has come whole, and answers in the order of the requests.
func (s *server) serveConn(conn net.Conn) {
	defer conn.Close()
	answers := make(chan func() error, 1024)
	defer close(answers)
	go func() {
		for answer := range answers {
			if answer() != nil {
				_ = conn.Close()
			}
		}
	}()
	in := bufio.NewReader(conn)
	for {
		args, err := readCommand(in)
		if err != nil {
			return
		}
		answers <- s.begin(conn, args)
	}
}

// begin begins a command, and returns the function that waits for its end and answers it.
func (s *server) begin(conn net.Conn, args []string) func() error {
	line := func(text string) func() error {
		return func() error {
			_, err := conn.Write([]byte(text + "\r\n"))
			return err
		}
	}
	switch strings.ToUpper(args[0]) {
	case "API.READ", "API.WRITE":
	case "PING":
		return line("+PONG")
	case "CLIENT", "SELECT":
		return line("+OK")
	default:
		return line("-ERR unknown")
	}
	from := conn.RemoteAddr()
	s.record.add("server %s %v got %s %s %s %s", s.name, from, args[0], args[1], args[2], args[3])
	if s.arrived != nil {
		s.arrived(args)
	}
	done := time.After(s.work(args))
	return func() error {
		<-done
		value := s.value(args)
		s.record.add("server %s %v answers %s: %.40s (%d bytes)",
			s.name, from, args[2], value, len(value))
		answer := served(value)
		if _, err := conn.Write(answer); err != nil {
			return err
		}
		if after := s.second(); after > 0 {
			time.AfterFunc(after, func() {
				s.record.add("server %s %v answers %s a second time", s.name, from, args[2])
				_, _ = conn.Write(answer)
			})
		}
		return nil
	}
}
