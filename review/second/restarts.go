package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	restartsWork     = 50 * time.Millisecond
	restartsGateways = 4
	restartsFill     = 28 * time.Second // until the gateways' parts of the ceiling are full
	restartsDrain    = 6 * time.Second  // until they are used up
	restartsRolls    = 4
	restartsKilled   = 3 // gateways of each roll, one at a time
	restartsEvery    = 4500 * time.Millisecond
	restartsDown     = 650 * time.Millisecond
	restartsPresser  = 0x7000 // the customer that presses against its ceiling
)

// capped is a plan whose store holds four of the largest requests, of 4 units, and whose slack is
// one of them.
var capped = plan{
	name: "corporativo", rate: 0.6, burst: 16, ceilingRate: 1.02, ceilingHold: 27.2, slack: 4,
	factor: 1.8, earns: 0.3,
}

// ceiling is the second store of a customer, as all first attempts take from it.
type ceiling struct {
	mu     sync.Mutex
	level  float64
	at     time.Time
	lowest float64
	seen   map[string]bool
	units  float64
}

func (s *ceiling) take(id string, units float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.level = min(capped.ceilingHold, s.level+capped.ceilingRate*now.Sub(s.at).Seconds())
	s.at = now
	if !s.seen[id] {
		s.seen[id] = true
		s.level -= units
		s.units += units
	}
	s.lowest = min(s.lowest, s.level)
	return s.level
}

// state returns the level and the lowest one so far.
func (s *ceiling) state() (level, lowest float64) {
	level = s.take("", 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	return level, s.lowest
}

// playRestarts has a customer press against its ceiling through a set of two gateways while three
// of the four gateways are killed in turn, in four rolls. All gateways together may not send on
// more than the ceiling holds.
func playRestarts(w *world) ([]string, error) {
	store := &ceiling{
		level: capped.ceilingHold, lowest: capped.ceilingHold, at: time.Now(),
		seen: map[string]bool{},
	}
	presser := fmt.Sprintf("%016x", restartsPresser)
	settings := wireSettings(4, basico, profissional, capped)
	err := w.small(restartsGateways, restartsWork, 1024, settings, func(b *backend) {
		b.arrived = func(args []string, _ time.Time) {
			if args[1] == presser {
				units, _ := strconv.ParseFloat(fieldOf(args[3], "units"), 64)
				w.write("store %.2f", store.take(args[2], units))
			}
		}
	})
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 20 {
		clients.Go(func() { w.useLittle(uint64(0x8000+i), stop) })
	}
	time.Sleep(restartsFill)
	w.note("the customer presses; store %.2f", store.take("", 0))
	var served [restartsGateways]atomic.Int64
	for i := range 2 {
		clients.Go(func() { w.press(i, &served[i], stop) })
	}
	time.Sleep(restartsDrain)
	for roll := range restartsRolls {
		for i := range restartsKilled {
			began := time.Now()
			if w.trouble {
				awaitServed(&served[i], 2*time.Second)
				if err := w.gateways[i].restart(); err != nil {
					return nil, err
				}
			}
			time.Sleep(time.Until(began.Add(restartsEvery)))
		}
		level, lowest := store.state()
		w.note("roll %d: store %.2f, lowest %.2f", roll+1, level, lowest)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	_, lowest := store.state()
	w.note("sent on for the customer: %.0f units; lowest %.2f", store.units, lowest)
	if lowest > 8 {
		return nil, fmt.Errorf("the customer did not come near its ceiling")
	}
	bound := -capped.slack - 0.15*capped.ceilingRate
	if lowest < bound {
		return []string{fmt.Sprintf("the store fell to %.2f, %.2f is allowed",
			lowest, bound)}, nil
	}
	return nil, nil
}

// awaitServed waits until one more request was served, for limit at most.
func awaitServed(served *atomic.Int64, limit time.Duration) {
	before := served.Load()
	for end := time.Now().Add(limit); served.Load() == before && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
}

// restart kills the gateway's process and starts the next one.
func (g *gateway) restart() error {
	g.kill()
	time.Sleep(restartsDown)
	if err := g.startProcess(); err != nil {
		return err
	}
	return g.awaitReady(5 * time.Second)
}

// useLittle plays a customer that stays well under its quota.
func (w *world) useLittle(customer uint64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(700+rand.IntN(600)) * time.Millisecond):
		}
		c, err := dial(w.gateways[rand.IntN(2)])
		if err != nil {
			continue
		}
		_, _ = c.do(w, &request{
			customer: customer, plan: "profissional", wait: 3 * time.Second, units: 1, spread: 2,
		})
		c.Close()
	}
}

// press sends requests of one customer through a gateway, one after another.
func (w *world) press(i int, served *atomic.Int64, stop <-chan struct{}) {
	var c *connection
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(w.gateways[i]); err != nil {
				c = nil
				continue
			}
		}
		a, err := c.do(w, &request{
			customer: restartsPresser, plan: "corporativo", wait: 3 * time.Second, units: 1,
			spread: 2,
		})
		if err != nil {
			c.Close()
			c = nil
			continue
		}
		if a.served() {
			served.Add(1)
		}
	}
}
