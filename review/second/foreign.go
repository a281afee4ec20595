package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
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
	return w.playSeconds(func(b *backend, args []string) ([]byte, []byte, time.Duration) {
		if rand.IntN(4) > 0 {
			return valueReply(valueOf(args[2], b, 0)), nil, 0
		}
		reply := valueReply(valueOf(args[2], b, longValue))
		if w.trouble && rand.IntN(2) == 0 {
			return reply, reply, secondAfter
		}
		return reply, nil, 0
	})
}

// playAfterError has one request in eight fail; the value comes as a second answer some
// milliseconds late. No client may get a value that was made for another request.
func playAfterError(w *world) ([]string, error) {
	return w.playSeconds(func(b *backend, args []string) ([]byte, []byte, time.Duration) {
		reply := valueReply(valueOf(args[2], b, 0))
		if rand.IntN(8) > 0 {
			return reply, nil, 0
		}
		failed := []byte("-ERR failed\r\n")
		if w.trouble {
			return failed, reply, secondAfter
		}
		return failed, nil, 0
	})
}

// playSeconds plays clients against backends that answer with reply, and returns the values that
// were made for other requests.
func (w *world) playSeconds(
	reply func(b *backend, args []string) ([]byte, []byte, time.Duration),
) ([]string, error) {
	settings := wireSettings(2, basico, profissional, corporativo)
	err := w.small(2, foreignWork, 1024, settings, func(b *backend) { b.reply = reply })
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	served := 0
	clients := sync.WaitGroup{}
	end := time.Now().Add(foreignTime)
	for i := range foreignClients {
		clients.Go(func() {
			var c *connection
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				if c == nil {
					if c, err = dial(w.gateways[i%2]); err != nil {
						return
					}
				}
				r := &request{
					customer: uint64(0x1000 + rand.IntN(200)), plan: "profissional",
					wait: 3 * time.Second, units: 1, spread: 2,
				}
				a, err := c.do(w, r)
				if err != nil {
					c.Close()
					c = nil
					continue
				}
				if !a.served() {
					continue
				}
				mu.Lock()
				served++
				if !strings.HasPrefix(a.value, r.id+" ") {
					broken = append(broken, fmt.Sprintf(
						"%s was answered with a value of %d bytes made for %.16s",
						r.id, len(a.value), a.value))
				}
				mu.Unlock()
			}
			if c != nil {
				c.Close()
			}
		})
	}
	clients.Wait()
	w.note("served %d, run %d", served, requestsRun.Load())
	if served < 500 {
		return nil, fmt.Errorf("only %d requests were served", served)
	}
	return broken, nil
}
