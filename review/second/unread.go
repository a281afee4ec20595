package main

import (
	"net"
	"sync"
	"time"
)

const (
	unreadWork   = 20 * time.Millisecond
	unreadValue  = 60 << 10
	unreadBurst  = 20 // commands that are sent at once
	unreadEvery  = 100 * time.Millisecond
	unreadBursts = 25
	unreadPause  = 2 * time.Second // for which the client reads nothing
)

// playUnread has a client send many commands at once on one connection and spend some seconds
// before it reads the answers. Every request has to get its final answer.
func playUnread(w *world) ([]string, error) {
	var run sync.Map // ids of the requests that have come to a backend
	err := w.small(2, unreadWork, 1024, wireSettings(2, basico, profissional, corporativo),
		func(b *backend) {
			b.arrived = func(args []string, _ time.Time) { run.Store(args[2], true) }
			b.reply = func(b *backend, args []string) ([]byte, []byte, time.Duration) {
				return valueReply(valueOf(args[2], b, unreadValue)), nil, 0
			}
		})
	if err != nil {
		return nil, err
	}
	var broken []string
	for round := range 3 {
		lost, err := unreadRound(w, uint64(0x10000*(round+1)))
		if err != nil {
			return nil, err
		}
		for _, id := range lost {
			// A request that the gateway had not read when it closed is the client's to send again.
			if _, forwarded := run.Load(id); forwarded {
				broken = append(broken, id+" was run at a backend and has no answer")
			}
		}
	}
	return broken, nil
}

// unreadRound plays one client's connection, and returns the ids of the requests that have no
// answer when the connection has ended.
func unreadRound(w *world, customers uint64) (lost []string, err error) {
	c, err := dial(w.gateways[0])
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var sent []*request
	written := make(chan error, 1)
	go func() {
		next := customers
		for range unreadBursts {
			var b []byte
			for range unreadBurst {
				next++
				r := &request{
					customer: next, plan: "profissional", wait: 3 * time.Second, units: 1,
					spread: 2, sent: time.Now(),
				}
				b = append(b, r.encode()...)
				w.write("send %s for %x", r.id, r.customer)
				mu.Lock()
				sent = append(sent, r)
				mu.Unlock()
			}
			if _, err := c.Write(b); err != nil {
				written <- err
				return
			}
			time.Sleep(unreadEvery)
		}
		written <- nil
	}()
	if w.trouble {
		time.Sleep(unreadPause)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	served := 0
	for answered := 0; answered < unreadBursts*unreadBurst; answered++ {
		a, err := readAnswer(c.in)
		mu.Lock()
		waiting := sent[min(answered, len(sent)):]
		if err != nil {
			w.note("after %d answers (%d of them served): %v", answered, served, err)
			for _, r := range waiting {
				lost = append(lost, r.id)
				w.write("no answer to %s: %v", r.id, err)
			}
			mu.Unlock()
			return lost, nil
		}
		if a.served() {
			served++
		}
		w.write("answer to %s: %.40q", sent[answered].id, a.line+a.value)
		mu.Unlock()
	}
	w.note("all %d answered, %d of them served", unreadBursts*unreadBurst, served)
	return nil, <-written
}
