package main

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// The traffic of the case, and the disruption: the pages say that a second answer may come some
// milliseconds late.
const (
	secondAnswerAfter = 8 * time.Millisecond
	secondAnswerShare = 0.02 // of the answers
	secondAnswerRate  = 80   // requests a second
	secondAnswerFor   = 45 * time.Second
)

// secondAnswer sends calm traffic. One of fifty answers of servers comes twice. Each client must
// get the value that a server made for its own request.
func secondAnswer(rec *record, trouble bool) (verdict, error) {
	w, err := newWorld(deployment{gateways: 2, servers: 9}, rec)
	if err != nil {
		return didNotRun, err
	}
	defer w.end()
	var second atomic.Int64
	for _, s := range w.servers {
		s.work = func(args []string) time.Duration {
			if args[0] == "API.WRITE" {
				return time.Duration(150+rand.IntN(150)) * time.Millisecond
			}
			return time.Duration(60+rand.IntN(100)) * time.Millisecond
		}
		s.second = func() time.Duration {
			if trouble && rand.Float64() < secondAnswerShare {
				second.Add(1)
				return secondAnswerAfter
			}
			return 0
		}
	}
	if err := w.start(); err != nil {
		return didNotRun, err
	}

	var pools []*pool
	for _, address := range w.addresses {
		pools = append(pools, &pool{address: address})
	}
	var own, foreign, refused, failed, silent atomic.Int64
	var clients sync.WaitGroup
	send := func(r request, p *pool) {
		defer clients.Done()
		rec.add("client asks %s as %s of customer %016x at %s",
			r.id, r.class, r.customer, p.address)
		answer, err := p.do(r.command(w.gateways), r.wait)
		if err != nil {
			silent.Add(1)
			rec.add("client has no answer to %s: %v", r.id, err)
			return
		}
		rec.add("client gets to %s: %s %s", r.id, answer.outcome(), answer.value)
		switch answer.outcome() {
		case "refused":
			refused.Add(1)
		case "failed":
			failed.Add(1)
		default:
			if answer.value == "value-for-"+r.id {
				own.Add(1)
				return
			}
			say := rec.add
			if foreign.Add(1) <= 5 {
				say = rec.say
			}
			say("FOREIGN: the client asked %s and got %q", r.id, answer.value)
		}
	}
	tick := time.NewTicker(time.Second / secondAnswerRate)
	defer tick.Stop()
	for end := time.Now().Add(secondAnswerFor); time.Now().Before(end); {
		<-tick.C
		r := request{
			id: newID(), customer: uint64(1 + rand.IntN(120)), plan: "profissional",
			class: "cotacao", units: 1, wait: 3 * time.Second,
		}
		if rand.Float64() < 0.24 {
			r.class = "alerta"
			r.wait = 15 * time.Second
			r.body = "alert"
		}
		clients.Add(1)
		go send(r, pools[rand.IntN(len(pools))])
	}
	clients.Wait()
	rec.say("%d answers were sent a second time", second.Load())
	rec.say("served with the own value %d, with a foreign one %d, refused %d, failed %d, silent %d",
		own.Load(), foreign.Load(), refused.Load(), failed.Load(), silent.Load())
	if own.Load() < 1000 {
		return didNotRun, errTooLittle
	}
	if foreign.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
