package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// playTwice has a class that is unsafe to repeat. All servers are sound; with the disruption one
// answer in eight is followed by a second one some milliseconds late, which turns the request away
// that is over. No request may run a second time.
func playTwice(w *world) ([]string, error) {
	var mu sync.Mutex
	var broken []string
	ran := map[string]string{} // by id, the backend that has run it
	settings := wireSettings(2, basico, profissional, corporativo)
	settings["request-classes"].([]any)[0].(map[string]any)["repeat"] = "fragile"
	reply := func(b *backend, args []string) ([]byte, []byte, time.Duration) {
		id := args[2]
		mu.Lock()
		if first := ran[id]; first != "" {
			broken = append(broken, fmt.Sprintf("%s ran at %s and at %s", id, first, b.id))
		}
		ran[id] = b.id
		mu.Unlock()
		value := valueReply(valueOf(id, b, 0))
		if w.trouble && rand.IntN(8) == 0 {
			return value, []byte("-BUSY\r\n"), secondAfter
		}
		return value, nil, 0
	}
	err := w.playTraffic(settings, reply, true, func(*request, answer) {})
	mu.Lock()
	defer mu.Unlock()
	return broken, err
}
