package main

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The traffic of the case, and the disruption: a crowd of clients that write slowly and halt half
// way, and half the descriptors.
const (
	crowdClients   = 300
	crowdWrites    = 2 * time.Second // a head may take a client 2 s
	crowdStays     = 5 * time.Second
	crowdSockets   = 512
	soundClients   = 40
	shortWait      = 1500 * time.Millisecond // half of the 3 s of the class
	longWait       = 3 * time.Second
	toldSlack      = 150 * time.Millisecond
	soundAfter     = 200 * time.Millisecond
	soundEvery     = 5 * time.Millisecond
	stillInTime    = 550 * time.Millisecond // half a second, and 50 ms as on sockets
	crowdFreeBytes = 10                     // of the command, which are never written
)

// crowd has a crowd fill a gateway's places for clients. Clients that come then, each with a whole
// request on a new connection, must get an answer in time, or see their connection shut. Every
// second one waits for 3 s, the others for 1.5 s.
func crowd(rec *record, trouble bool) (verdict, error) {
	w, err := newWorld(deployment{gateways: 2, servers: 9}, rec)
	if err != nil {
		return didNotRun, err
	}
	defer w.end()
	for _, cfg := range w.configs {
		cfg["limits"] = map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": crowdSockets}
	}
	var mu sync.Mutex
	ends := map[string]time.Time{} // when the client of a request gives up
	tooLong := 0
	for _, s := range w.servers {
		s.work = func([]string) time.Duration { return 60 * time.Millisecond }
		s.arrived = func(args []string) {
			told := toldTime(args[3])
			mu.Lock()
			defer mu.Unlock()
			if end, sound := ends[args[2]]; sound && told > time.Until(end)+toldSlack {
				tooLong++
				rec.add("TOLD TOO LONG: server %s is told %v for %s, which has %v left",
					s.name, told, args[2], time.Until(end).Round(time.Millisecond))
			}
		}
	}
	if err := w.start(); err != nil {
		return didNotRun, err
	}
	if trouble {
		for i := range crowdClients {
			go w.crowdClient(i)
		}
	}
	time.Sleep(soundAfter)
	count := map[string]int{}
	var clients sync.WaitGroup
	for i := range soundClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			outcome := w.soundClient(i, func(id string, end time.Time) {
				mu.Lock()
				defer mu.Unlock()
				ends[id] = end
			})
			mu.Lock()
			defer mu.Unlock()
			count[outcome]++
		}()
		time.Sleep(soundEvery)
	}
	clients.Wait()
	rec.say("%d sound clients: %v; attempts that told their server over 0.15 s too much: %d; "+
		"the gateway runs: %v", soundClients, count, tooLong, w.processes[0].running())
	switch {
	case count["lost"] > 0:
		return broken, nil
	case count["served"] < soundClients/2:
		return didNotRun, errTooLittle
	}
	return held, nil
}

// crowdClient writes a command slowly, and halts before its end.
func (w *world) crowdClient(i int) {
	c, err := net.DialTimeout("tcp", w.addresses[0], 2*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	r := request{
		id: newID(), customer: uint64(1000 + i), plan: "basico", class: "cotacao", units: 1,
		wait: 3 * time.Second,
	}
	command := r.command(w.gateways)
	command = command[:len(command)-crowdFreeBytes]
	if err := writeSlowly(c, command, crowdWrites); err != nil {
		w.record.add("crowd %d: cut: %v", i, err)
		return
	}
	w.record.add("crowd %d halts", i)
	_ = c.SetReadDeadline(time.Now().Add(crowdStays))
	rest, err := io.ReadAll(c)
	w.record.add("crowd %d: ends with %q %v", i, rest, err)
}

// toldTime returns how long a command says that the gateway waits.
func toldTime(fields string) time.Duration {
	_, after, _ := strings.Cut(fields, ",d=")
	millis, _, _ := strings.Cut(after, ",")
	n, _ := strconv.Atoi(millis)
	return time.Duration(n) * time.Millisecond
}

// soundClient sends a request on a new connection and returns what comes of it. It calls sent
// with the request's id and the time at which it gives up.
func (w *world) soundClient(i int, sent func(id string, end time.Time)) string {
	c, err := dialGateway(w.addresses[0])
	if err != nil {
		w.record.add("client %d: no connection: %v", i, err)
		return "no connection"
	}
	defer c.Close()
	r := request{
		id: newID(), customer: uint64(100 + i), plan: "profissional", class: "cotacao", units: 1,
		wait: shortWait,
	}
	if i%2 == 1 {
		r.wait = longWait
	}
	sent(r.id, time.Now().Add(r.wait))
	_, err = c.Write(r.command(w.gateways))
	started := time.Now() // a request's time counts from its last byte
	if err != nil {
		w.record.add("client %d: can't write: %v", i, err)
		return "shut"
	}
	w.record.add("client %d has written %s whole", i, r.id)
	_ = c.SetDeadline(started.Add(r.wait + stillInTime))
	answer, err := readReply(c.in)
	after := fmt.Sprint(time.Since(started).Round(time.Millisecond))
	var network net.Error
	if err != nil {
		if e, ok := err.(net.Error); ok {
			network = e
		}
		if network == nil || !network.Timeout() {
			w.record.add("client %d: its connection was shut after %s: %v", i, after, err)
			return "shut"
		}
		w.record.say("LOST: client %d has no answer to %s after %s", i, r.id, after)
		return "lost"
	}
	w.record.add("client %d gets to %s after %s: %s", i, r.id, after, answer.outcome())
	return answer.outcome()
}
