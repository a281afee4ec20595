package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	drainedWork    = 50 * time.Millisecond
	drainedAlerta  = 3900 * time.Millisecond // within the 4 s that it is wanted in
	drainedClients = 5
	drainedEvery   = 100 * time.Millisecond
	drainedUse     = 4 * time.Second // for which clients go on using their connections
	drainedWait    = 1500 * time.Millisecond
)

// playDrained has an operator empty a gateway while clients have an alerta open and send cotacao
// requests behind it on the same connection. Every request has to get its final answer.
func playDrained(w *world) ([]string, error) {
	settings := wireSettings(2, basico, profissional, corporativo)
	err := w.small(2, drainedWork, 1024, settings, func(b *backend) {
		b.reply = func(b *backend, args []string) ([]byte, []byte, time.Duration) {
			if args[0] == "API.WRITE" {
				time.Sleep(drainedAlerta - drainedWork)
			}
			return valueReply(valueOf(args[2], b, 0)), nil, 0
		}
	})
	if err != nil {
		return nil, err
	}
	g := w.gateways[0]
	var mu sync.Mutex
	var broken []string
	var clients sync.WaitGroup
	failed := make(chan error, drainedClients)
	for i := range drainedClients {
		clients.Go(func() {
			lost, err := w.useDraining(g, i)
			if err != nil {
				failed <- err
			}
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, lost...)
		})
	}
	time.Sleep(drainedEvery / 2)
	if w.trouble {
		answer, err := g.operate("drain-on")
		if err != nil {
			return nil, err
		}
		w.note("drain-on: %s", answer)
	}
	clients.Wait()
	select {
	case err := <-failed:
		return nil, err
	default:
		return broken, nil
	}
}

// operate makes an operator's call.
func (g *gateway) operate(call string) (string, error) {
	c, err := net.DialTimeout("tcp", g.manage, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintln(c, call); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line), err
}

// useDraining plays a client's connection to a gateway. It returns the requests that have no answer
// when the connection ends, and whose time was over before: their client can't send them again.
func (w *world) useDraining(g *gateway, i int) (lost []string, err error) {
	c, err := dial(g)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	alerta := newID()
	list := fmt.Sprintf("c=alerta,t=profissional,d=15000,k=%s,units=1,spread=2,first=0", alerta)
	customer := uint64(0x1000 + i)
	b := command("API.WRITE", fmt.Sprintf("%016x", customer), alerta, list, "alert")
	if _, err := c.Write(b); err != nil {
		return nil, err
	}
	w.write("send %s, an alerta, on connection %d", alerta, i)
	answered := make(chan int, 1) // how many answers came before the end
	var first answer
	var ended time.Time
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(12 * time.Second))
		n := 0
		for ; ; n++ {
			a, err := readAnswer(c.in)
			if err != nil {
				w.write("connection %d ends after %d answers: %v", i, n, err)
				break
			}
			if n == 0 {
				first = a
			}
			w.write("answer %d on connection %d: %.40q", n+1, i, a.line+a.value)
		}
		ended = time.Now()
		answered <- n
	}()
	var sent []*request
	began := time.Now()
	n := -1
	for n < 0 && time.Since(began) < drainedUse {
		r := &request{
			customer: customer, plan: "profissional", wait: drainedWait, units: 1, spread: 2,
		}
		b := r.encode()
		if _, err := c.Write(b); err != nil {
			break
		}
		r.sent = time.Now()
		w.write("send %s on connection %d", r.id, i)
		sent = append(sent, r)
		select {
		case n = <-answered:
		case <-time.After(drainedEvery):
		}
	}
	if n < 0 {
		n = <-answered
	}
	if !first.served() {
		return nil, fmt.Errorf("the alerta on connection %d was answered %q", i, first.line)
	}
	for _, r := range sent[min(max(n-1, 0), len(sent)):] {
		if waited := ended.Sub(r.sent); waited > r.wait+lateSlack {
			lost = append(lost, fmt.Sprintf(
				"%s, sent %d ms before the end of its connection with d=%d, has no answer",
				r.id, waited.Milliseconds(), r.wait.Milliseconds()))
		}
	}
	return lost, nil
}
