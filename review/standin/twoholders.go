package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of the probe.
const (
	holdersCustomer  = 7
	holdersRuns      = 30 * time.Second
	holdersUpgrade   = 12 * time.Second
	holdersOverlap   = 5900 * time.Millisecond // SIGTERM comes within 6 s of the yes
	holdersMoreSlack = 0.150                   // seconds of the ceiling's rate, on sockets
)

// ceilingStore follows a customer's ceiling by the first attempts that servers get.
type ceilingStore struct {
	mu     sync.Mutex
	record *record
	plan   plan
	level  float64
	lowest float64
	at     time.Time
	seen   map[string]bool
}

func (s *ceilingStore) arrived(args []string) {
	if args[1] != fmt.Sprintf("%016x", holdersCustomer) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen[args[2]] {
		return
	}
	s.seen[args[2]] = true
	now := time.Now()
	filled := s.level + s.plan.ceiling*now.Sub(s.at).Seconds()
	_, after, _ := strings.Cut(args[3], "units=")
	text, _, _ := strings.Cut(after, ",")
	units, _ := strconv.ParseFloat(text, 64)
	s.level = min(s.plan.ceilingBurst, filled) - units
	s.at = now
	if s.level < s.lowest {
		s.lowest = s.level
		s.record.add("the ceiling's store is at %.1f", s.level)
	}
}

// twoHolders replaces a gateway's process while the old one does not run for 2 s. Meanwhile a
// customer presses against its hard ceiling.
func twoHolders(rec *record, trouble bool) (verdict, error) {
	w, err := newWorld(deployment{gateways: 2, servers: 9}, rec)
	if err != nil {
		return didNotRun, err
	}
	defer w.end()
	p := plans[2]
	store := &ceilingStore{
		record: rec, plan: p, level: p.ceilingBurst, lowest: p.ceilingBurst, at: time.Now(),
		seen: map[string]bool{},
	}
	for _, s := range w.servers {
		s.work = func([]string) time.Duration { return 60 * time.Millisecond }
		s.arrived = store.arrived
	}
	w.holdSockets = true
	if err := w.start(); err != nil {
		return didNotRun, err
	}
	var pools []*pool
	for _, address := range w.addresses {
		pools = append(pools, &pool{address: address})
	}
	stop := time.Now().Add(holdersRuns)
	send := func(every time.Duration, next func() request) {
		for time.Now().Before(stop) {
			time.Sleep(every)
			r := next()
			r.id = newID()
			go func() { _, _ = pools[rand.IntN(2)].do(r.command(w.gateways), r.wait) }()
		}
	}
	go send(70*time.Millisecond, func() request {
		return request{
			customer: uint64(100 + rand.IntN(60)), plan: "profissional",
			class: "cotacao", units: 1, wait: 3 * time.Second,
		}
	})
	go send(40*time.Millisecond, func() request {
		return request{
			customer: holdersCustomer, plan: p.name,
			class: "cotacao", units: 4, wait: 3 * time.Second,
		}
	})
	if trouble {
		time.Sleep(holdersUpgrade)
		if err := w.replaceHung(); err != nil {
			return didNotRun, err
		}
	}
	time.Sleep(time.Until(stop) + time.Second)
	store.mu.Lock()
	defer store.mu.Unlock()
	bound := -(p.slack + p.ceiling*holdersMoreSlack)
	rec.say("the ceiling's store was at %.1f at the lowest; allowed is %.1f", store.lowest, bound)
	if store.lowest < bound {
		return broken, nil
	}
	return held, nil
}

// replaceHung starts another process of gateway 0 while the old one is stopped until the new one
// says yes, and ends the old one after the longest overlap.
func (w *world) replaceHung() error {
	old := w.processes[0]
	management, err := freeAddress("tcp", "127.0.50.1")
	if err != nil {
		return err
	}
	w.configs[0]["management"] = management
	w.record.say("the old process is stopped, a new one starts")
	old.signal(syscall.SIGSTOP)
	if err := w.startGateway(0, "n0-new"); err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); call(management, "check") != "ok"; {
		if time.Now().After(end) {
			old.signal(syscall.SIGCONT)
			return errTooLittle
		}
		time.Sleep(10 * time.Millisecond)
	}
	old.signal(syscall.SIGCONT)
	w.record.say("the new process says yes; the old one goes on")
	time.Sleep(holdersOverlap)
	w.record.say("SIGTERM to the old process")
	old.signal(syscall.SIGTERM)
	return nil
}
