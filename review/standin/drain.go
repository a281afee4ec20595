package main

import (
	"time"
)

// The figures of the probe.
const (
	drainSendsEvery = 50 * time.Millisecond
	drainBegins     = time.Second
	drainJudged     = 4 * time.Second // after the call
	drainLastUse    = 2 * time.Second // before drainJudged
)

// drain has operators drain a gateway while a client sends commands on one connection without
// waiting for answers. Four seconds later no connection with a request of the last two may be open.
func drain(rec *record, trouble bool) (verdict, error) {
	w, err := newWorld(deployment{gateways: 2, servers: 9}, rec)
	if err != nil {
		return didNotRun, err
	}
	defer w.end()
	if err := w.start(); err != nil {
		return didNotRun, err
	}
	c, err := dialGateway(w.addresses[0])
	if err != nil {
		return didNotRun, err
	}
	defer c.Close()
	go func() {
		for i := 0; ; i++ {
			r := request{
				id: newID(), customer: uint64(100 + i%100), plan: "profissional",
				class: "cotacao", units: 1, wait: 3 * time.Second,
			}
			if _, err := c.Write(r.command(w.gateways)); err != nil {
				return
			}
			time.Sleep(drainSendsEvery)
		}
	}()
	answers := make(chan reply, 1024)
	go func() {
		defer close(answers)
		for {
			r, err := readReply(c.in)
			if err != nil {
				rec.say("the connection ends: %v", err)
				return
			}
			rec.add("client gets %s %s", r.outcome(), r.value)
			answers <- r
		}
	}()
	time.Sleep(drainBegins)
	if trouble {
		rec.say("drain-on: %s", call(w.configs[0]["management"].(string), "drain-on"))
	}
	time.Sleep(drainJudged - drainLastUse)
	for len(answers) > 0 {
		<-answers
	}
	time.Sleep(drainLastUse)
	open, late := true, 0
	for open && len(answers) > 0 {
		if _, open = <-answers; open {
			late++
		}
	}
	rec.say("%v after that: %d answers in the last %v", drainJudged, late, drainLastUse)
	switch {
	case trouble && late > 0:
		return broken, nil
	case !trouble && late == 0:
		return didNotRun, errTooLittle
	}
	return held, nil
}
