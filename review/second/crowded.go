package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crowdedWork    = 50 * time.Millisecond
	crowdedQuiet   = 3 * time.Second
	crowdedTime    = 7 * time.Second // for which discovery turns all calls away
	crowdedDrains  = 3               // of nine backends
	crowdedStep    = 200 * time.Millisecond
	crowdedAfter   = 14 * time.Second
	crowdedClients = 16
	// drainGrace is the settings' grace of 2 s, and 50 ms.
	drainGrace = 2050 * time.Millisecond
)

// playCrowded has discovery turn calls away for some seconds. After it answers all gateways again,
// backends begin to drain, one shortly after another. Nothing new may be sent to them past the
// grace.
func playCrowded(w *world) ([]string, error) {
	var mu sync.Mutex
	var broken []string
	var d *discovery
	backends, err := w.addBackends(crowdedWork, func(b *backend) {
		b.arrived = func(args []string, first time.Time) {
			if past := d.drainsFor(b.id, first); past > drainGrace {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("%s was sent to %s %d ms after it was told",
					args[2], b.id, past.Milliseconds()))
			}
		}
	})
	if err != nil {
		return nil, err
	}
	if d, err = newDiscovery(backends); err != nil {
		return nil, err
	}
	var answered atomic.Int64 // calls, since discovery answers again
	d.seen = func(query string, refused bool) {
		w.write("call of discovery %q, turned away: %v", query, refused)
		if !refused {
			answered.Add(1)
		}
	}
	counter, err := newCounter()
	if err != nil {
		return nil, err
	}
	settings := wireSettings(2, basico, profissional, corporativo)
	if err := w.addGateways(2, site{settings, 1024, d, counter}); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range crowdedClients {
		clients.Go(func() { w.ask(w.gateways[i%2], stop) })
	}
	time.Sleep(crowdedQuiet)
	w.note("discovery turns calls away: %v", w.trouble)
	d.refuse(w.trouble)
	time.Sleep(crowdedTime)
	d.refuse(false)
	answered.Store(0)
	for end := time.Now().Add(6 * time.Second); answered.Load() < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	w.note("discovery has answered both gateways again")
	time.Sleep(crowdedStep)
	for i := range crowdedDrains {
		d.drain(backends[i].id)
		w.note("%s drains", backends[i].id)
		time.Sleep(crowdedStep)
	}
	time.Sleep(crowdedAfter)
	close(stop)
	clients.Wait()
	w.note("run %d", requestsRun.Load())
	if requestsRun.Load() < 500 {
		return nil, fmt.Errorf("only %d requests were run", requestsRun.Load())
	}
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

// ask sends requests of many customers through a gateway, one after another.
func (w *world) ask(g *gateway, stop <-chan struct{}) {
	var c *connection
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.IntN(200)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(g); err != nil {
				c = nil
				continue
			}
		}
		_, err := c.do(w, &request{
			customer: uint64(0x1000 + rand.IntN(200)), plan: "profissional",
			wait: 3 * time.Second, units: 1, spread: 2,
		})
		if err != nil {
			c.Close()
			c = nil
		}
	}
}
