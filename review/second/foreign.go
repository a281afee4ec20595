package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	foreignTime    = 45 * time.Second
	foreignWork    = 100 * time.Millisecond
	foreignClients = 16
	longValue      = 100 << 10
	secondAfter    = 12 * time.Millisecond // the second answer, after the first one
)

// playForeign has some values run long, and half of the long answers come a second time some
// milliseconds late. No client may get a value that was made for another request.
func playForeign(w *world) ([]string, error) {
	var mu sync.Mutex
	var broken []string
	settings := wireSettings(2, basico, profissional, corporativo)
	reply := func(b *backend, args []string) ([]byte, []byte, time.Duration) {
		if rand.IntN(4) > 0 {
			return valueReply(valueOf(args[2], b, 0)), nil, 0
		}
		reply := valueReply(valueOf(args[2], b, longValue))
		if w.trouble && rand.IntN(2) == 0 {
			return reply, reply, secondAfter
		}
		return reply, nil, 0
	}
	err := w.playTraffic(settings, reply, false, func(r *request, a answer) {
		mu.Lock()
		defer mu.Unlock()
		if !strings.HasPrefix(a.value, r.id+" ") {
			broken = append(broken, fmt.Sprintf(
				"%s was answered with a value of %d bytes made for %.16s",
				r.id, len(a.value), a.value))
		}
	})
	return broken, err
}

// playTraffic plays clients against backends that answer with reply, and calls served for each
// answer that is a value.
func (w *world) playTraffic(
	settings map[string]any,
	reply func(b *backend, args []string) ([]byte, []byte, time.Duration),
	write bool, served func(r *request, a answer),
) error {
	err := w.small(2, foreignWork, 1024, settings, func(b *backend) { b.reply = reply })
	if err != nil {
		return err
	}
	var count atomic.Int64
	clients := sync.WaitGroup{}
	end := time.Now().Add(foreignTime)
	for i := range foreignClients {
		clients.Go(func() {
			var c *connection
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				if c == nil {
					var err error
					if c, err = dial(w.gateways[i%2]); err != nil {
						return
					}
				}
				r := &request{
					customer: uint64(0x1000 + rand.IntN(200)), plan: "profissional",
					wait: 3 * time.Second, units: 1, spread: 2, write: write,
				}
				a, err := c.do(w, r)
				if err != nil {
					c.Close()
					c = nil
				} else if a.served() {
					count.Add(1)
					served(r, a)
				}
			}
			if c != nil {
				c.Close()
			}
		})
	}
	clients.Wait()
	w.note("served %d, run %d", count.Load(), requestsRun.Load())
	if count.Load() < 500 {
		return fmt.Errorf("only %d requests were served", count.Load())
	}
	return nil
}
