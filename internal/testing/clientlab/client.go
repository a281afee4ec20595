package clientlab

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mothcleat/internal/dataplane/resp"
)

const (
	dialTimeout = 2 * time.Second
	// lateAnswer is how long after its time an answer only earns nothing.
	lateAnswer = 550 * time.Millisecond
)

// idSource gives requests their ids.
type idSource struct{ last atomic.Uint64 }

func (s *idSource) next() string { return fmt.Sprintf("%016x", s.last.Add(1)) }

// client is a client's connection to the gateway.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (w *world) dial() (*client, error) {
	c, err := net.DialTimeout("tcp", w.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// request is a client's request.
type request struct {
	id       string
	customer int
	class    string
	wait     time.Duration
	plan     string // "": the large one
	body     string // "": none
}

// args returns the words of the request's command.
func (r *request) args() []string {
	name := "API.WRITE"
	plan := cmp.Or(r.plan, "team")
	fields := fmt.Sprintf("c=%s,t=%s,d=%d,units=1,spread=1,first=0",
		r.class, plan, r.wait.Milliseconds())
	switch r.class {
	case lookupClass:
		name = "API.READ"
	case alertClass:
		fields += ",k=" + r.id
	}
	args := []string{name, fmt.Sprintf("%016x", r.customer), r.id, fields}
	if r.body != "" {
		args = append(args, r.body)
	}
	return args
}

// encode returns a command in its RESP2 encoding.
func encode(args []string) []byte {
	b := resp.AppendArray(nil, len(args))
	for _, a := range args {
		b = resp.AppendBulk(b, []byte(a))
	}
	return b
}

// do sends a command and returns the first line of its answer, or its value.
func (c *client) do(args []string, wait time.Duration) (string, error) {
	_ = c.SetDeadline(time.Now().Add(wait))
	if _, err := c.Write(encode(args)); err != nil {
		return "", err
	}
	return c.readAnswer()
}

var errAnswer = errors.New("malformed answer")

func (c *client) readAnswer() (string, error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if !strings.HasPrefix(line, "$") {
		return line, nil
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return "", errAnswer
	}
	value := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(c.in, value); err != nil {
		return "", err
	}
	return "$" + string(value[:size]), nil
}

// outcomes counts what sound clients got.
type outcomes struct {
	mu      sync.Mutex
	served  int
	refused int
	failed  int
	late    int // whatever the answer, after its time
	lost    int // no answer until lateAnswer after its time, or the connection ended
	slowest time.Duration
}

func (o *outcomes) add(answer string, err error, took, wait time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slowest = max(o.slowest, took)
	switch {
	case err != nil:
		o.lost++
	case took > wait:
		o.late++
	case strings.HasPrefix(answer, "$"):
		o.served++
	case strings.HasPrefix(answer, "-BUSY"):
		o.refused++
	default:
		o.failed++
	}
}

func (o *outcomes) figures() map[string]any {
	o.mu.Lock()
	defer o.mu.Unlock()
	return map[string]any{
		"served": o.served, "refused": o.refused, "failed": o.failed, "late": o.late,
		"lost": o.lost, "slowest_ms": o.slowest.Milliseconds(),
	}
}

// soundClients sends lookups at a steady rate until end is closed, and waits for their answers.
// Half of the clients keep their connections, the others open one for each request.
func (w *world) soundClients(end <-chan struct{}, wait time.Duration) *outcomes {
	const (
		clients = 20
		pause   = 200 * time.Millisecond // of each client between two requests
	)
	o := &outcomes{}
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			time.Sleep(pause * time.Duration(i) / clients)
			s := soundClient{world: w, customer: 1 + i, keeps: i%2 == 0, wait: wait}
			defer s.close()
			for ended := false; !ended; {
				began := time.Now()
				answer, err := s.ask()
				o.add(answer, err, time.Since(began), wait)
				select {
				case <-end:
					ended = true
				case <-time.After(pause):
				}
			}
		})
	}
	all.Wait()
	return o
}

// soundClient is a client that behaves as it should.
type soundClient struct {
	world    *world
	conn     *client // nil: none is open
	customer int
	keeps    bool // it keeps its connection for the next request
	wait     time.Duration
}

// ask sends a lookup. Where the gateway has closed the kept connection meanwhile, it is sent once
// more on a new one.
func (s *soundClient) ask() (answer string, err error) {
	kept := s.conn != nil
	r := request{
		id: s.world.ids.next(), customer: s.customer, class: lookupClass, wait: s.wait,
	}
	answer, err = s.send(&r)
	if err != nil && kept && !errors.Is(err, os.ErrDeadlineExceeded) {
		answer, err = s.send(&r)
	}
	return answer, err
}

func (s *soundClient) send(r *request) (answer string, err error) {
	if s.conn == nil {
		if s.conn, err = s.world.dial(); err != nil {
			return "", err
		}
	}
	answer, err = s.conn.do(r.args(), s.wait+lateAnswer)
	if err != nil || !s.keeps {
		s.close()
	}
	return answer, err
}

func (s *soundClient) close() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}
