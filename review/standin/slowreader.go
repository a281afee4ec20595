package main

import (
	"strings"
	"sync"
	"time"
)

// The traffic of the case, and the disruption: a peer spends seconds reading.
const (
	pipelinedRequests = 200
	pipelinedEvery    = 15 * time.Millisecond
	pipelinedValue    = 60 << 10 // bytes; values hold at most 64 KiB
	pipelinedWait     = 15 * time.Second
	readerPause       = 3 * time.Second
)

// slowReader has a client send commands of many customers on one connection without waiting for
// the answers. For some seconds it does not read, then it reads everything. All requests must get a
// whole answer before the client gives up.
func slowReader(rec *record, trouble bool) (verdict, error) {
	w, err := newWorld(deployment{gateways: 2, servers: 9}, rec)
	if err != nil {
		return didNotRun, err
	}
	defer w.end()
	var mu sync.Mutex
	ran := map[string]bool{} // ids of requests that a server has got
	for _, s := range w.servers {
		s.arrived = func(args []string) {
			mu.Lock()
			defer mu.Unlock()
			ran[args[2]] = true
		}
		s.value = func(args []string) string {
			return "value-for-" + args[2] + strings.Repeat(".", pipelinedValue-26)
		}
	}
	if err := w.start(); err != nil {
		return didNotRun, err
	}
	c, err := dialGateway(w.addresses[0])
	if err != nil {
		return didNotRun, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * pipelinedWait))

	var sent []request
	var sentAt []time.Time
	started := time.Now()
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		for i := range pipelinedRequests {
			r := request{
				id: newID(), customer: uint64(100 + i), plan: "profissional",
				class: "alerta", units: 1, wait: pipelinedWait, body: "alert",
			}
			mu.Lock()
			sent = append(sent, r)
			sentAt = append(sentAt, time.Now())
			mu.Unlock()
			rec.add("client asks %s", r.id)
			if _, err := c.Write(r.command(w.gateways)); err != nil {
				rec.add("client can't write %s: %v", r.id, err)
				return
			}
			time.Sleep(pipelinedEvery)
		}
	}()
	if trouble {
		time.Sleep(readerPause)
		rec.say("client begins to read after %v", readerPause)
	}
	count := map[string]int{}
	for i := range pipelinedRequests {
		answer, err := readReply(c.in)
		if err != nil {
			rec.say("the connection ended before the whole answer to number %d: %v", i+1, err)
			break
		}
		mu.Lock()
		r, at := sent[i], sentAt[i]
		mu.Unlock()
		rec.add("client gets to %s after %v: %s %.40s (%d bytes)",
			r.id, time.Since(at).Round(time.Millisecond), answer.outcome(),
			answer.value, len(answer.value))
		count[answer.outcome()]++
	}
	<-writer
	whole := count["served"] + count["refused"] + count["failed"]
	lost, unread := 0, 0
	mu.Lock()
	for _, r := range sent[whole:] {
		if ran[r.id] {
			lost++
			rec.add("LOST: client has no answer to %s, which a server has got", r.id)
			continue
		}
		unread++
		rec.add("client has no answer to %s, which no server has got", r.id)
	}
	mu.Unlock()
	rec.say("after %v: sent %d, served %d, refused %d, failed %d; without an answer: %d that a "+
		"server has got, %d others; the gateway runs: %v",
		time.Since(started).Round(time.Millisecond), len(sent), count["served"],
		count["refused"], count["failed"], lost, unread, w.processes[0].running())
	switch {
	case lost > 0:
		return broken, nil
	case count["served"] < pipelinedRequests/2:
		return didNotRun, errTooLittle
	}
	return held, nil
}
