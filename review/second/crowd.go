package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"
)

const (
	crowdWork    = 100 * time.Millisecond
	crowdSockets = 512 // half of the 1,024 descriptors
	crowdSize    = 2000
	crowdTime    = 2 * time.Second // in which the crowd connects
	crowdEvery   = 40 * time.Millisecond
	crowdLength  = 15 * time.Second
	// lateSlack is how long after its time a request is only worth nothing, with the slack of all
	// time limits on sockets.
	lateSlack = 550 * time.Millisecond
)

// playCrowd has a crowd connect to one gateway and halt half way in a command, while clients send
// each request on a new connection. Every request of theirs has to get its final answer.
func playCrowd(w *world) ([]string, error) {
	settings := wireSettings(2, basico, profissional, corporativo)
	if err := w.small(2, crowdWork, crowdSockets, settings, nil); err != nil {
		return nil, err
	}
	g := w.gateways[0]
	var mu sync.Mutex
	var broken []string
	served, shut := 0, 0
	all := sync.WaitGroup{}
	began := time.Now()
	crowd := &crowdOf{}
	for i := 0; time.Since(began) < crowdLength; i++ {
		if i == 50 && w.trouble {
			w.note("the crowd comes")
			all.Go(func() { crowd.come(g) })
		}
		all.Go(func() {
			r := &request{
				customer: uint64(0x1000 + i), plan: "profissional", units: 1, spread: 2,
				wait: time.Duration(1500+rand.IntN(1500)) * time.Millisecond,
			}
			a, closed, err := crowdRequest(w, g, r)
			mu.Lock()
			defer mu.Unlock()
			shut += closed
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded):
				broken = append(broken, fmt.Sprintf(
					"%s has no answer %d ms after it was sent with d=%d", r.id,
					time.Since(r.sent).Milliseconds(), r.wait.Milliseconds()))
			case err == nil && a.served():
				served++
			}
		})
		time.Sleep(crowdEvery)
	}
	all.Wait()
	crowd.leave()
	w.note("crowd: %d connected; served %d, connections shut unanswered %d, run %d",
		crowd.size(), served, shut, requestsRun.Load())
	if served < 100 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	return broken, nil
}

// crowdRequest sends a request on a new connection, and on another one if that is shut with no
// answer. Its error wraps os.ErrDeadlineExceeded if a connection that came up stays open with no
// answer after the request's time.
func crowdRequest(w *world, g *gateway, r *request) (a answer, closed int, err error) {
	b := r.encode()
	for range 2 {
		var c net.Conn
		if c, err = net.DialTimeout("tcp", g.listen, r.wait); err != nil {
			return a, closed, fmt.Errorf("not connected: %w", errNotUp)
		}
		if r.sent.IsZero() {
			r.sent = time.Now()
		}
		w.write("send %s", r.id)
		_ = c.SetDeadline(r.sent.Add(r.wait + lateSlack))
		if _, err = c.Write(b); err == nil {
			a, err = readAnswer((&connection{c, newReader(c)}).in)
		}
		c.Close()
		w.write("answer to %s: %.40q %v", r.id, a.line+a.value, err)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return a, closed, err
		}
		closed++
	}
	return a, closed, err
}

var errNotUp = errors.New("the connection never came up")

// crowdOf is a crowd of connections.
type crowdOf struct {
	mu    sync.Mutex
	conns []net.Conn
}

// come has the crowd connect, each of it with half a command.
func (c *crowdOf) come(g *gateway) {
	half := command("API.READ", "0000000000001000", newID())
	half[1] = '4'
	for range crowdSize {
		go func() {
			conn, err := net.DialTimeout("tcp", g.listen, 10*time.Second)
			if err != nil {
				return
			}
			_, _ = conn.Write(half)
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
		}()
		time.Sleep(crowdTime / crowdSize)
	}
}

func (c *crowdOf) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

func (c *crowdOf) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}
