package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of the probe.
const (
	unsentValue   = 1 << 20 // bytes
	unsentStops   = 300 * time.Millisecond
	unsentAsks    = 1500 * time.Millisecond // after SIGTERM
	unsentReads   = 200 * time.Millisecond  // after that
	unsentClients = 5
)

// unsent plans a restart while clients spend two seconds before they read two long values. They
// send a third command on the connection, which they see as open. The two values, which the gateway
// had from its servers before the restart, must come whole.
func unsent(rec *record, trouble bool) (verdict, error) {
	w, err := newWorld(deployment{gateways: 2, servers: 9}, rec)
	if err != nil {
		return didNotRun, err
	}
	defer w.end()
	for _, s := range w.servers {
		s.value = func(args []string) string {
			return "value-for-" + args[2] + strings.Repeat(".", unsentValue)
		}
	}
	if err := w.start(); err != nil {
		return didNotRun, err
	}
	var mu sync.Mutex
	whole, lost := 0, 0
	var clients sync.WaitGroup
	for i := range unsentClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			n := w.readLate(i)
			mu.Lock()
			defer mu.Unlock()
			whole += n
			lost += 2 - n
		}()
	}
	time.Sleep(unsentStops)
	if trouble {
		rec.say("SIGTERM")
		w.processes[0].signal(syscall.SIGTERM)
	}
	clients.Wait()
	rec.say("values that came whole %d, lost %d", whole, lost)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}

// readLate returns how many of the first two values come whole.
func (w *world) readLate(client int) int {
	c, err := dialGateway(w.addresses[0])
	if err != nil {
		w.record.add("client %d: %v", client, err)
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	ask := func(i int) {
		r := request{
			id: newID(), customer: uint64(300 + 10*client + i), plan: "profissional",
			class: "cotacao", units: 1, wait: 3 * time.Second,
		}
		_, err := c.Write(r.command(w.gateways))
		w.record.add("client %d asks %s: %v", client, r.id, err)
	}
	ask(0)
	ask(1)
	time.Sleep(unsentStops + unsentAsks)
	ask(2)
	time.Sleep(unsentReads)
	for i := range 2 {
		answer, err := readReply(c.in)
		w.record.add("client %d gets answer %d: %.30s (%d bytes) %v",
			client, i, answer.value, len(answer.value), err)
		if err != nil {
			return i
		}
	}
	return 2
}
