package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// playTwice has a class that is unsafe to repeat. One request in ten is turned away, and one in
// eight fails; with the disruption the value of such a one comes as a second answer some
// milliseconds late. No request may run a second time.
func playTwice(w *world) ([]string, error) {
	var mu sync.Mutex
	var broken []string
	ran := map[string]string{} // by id, the backend that has run it
	settings := wireSettings(2, basico, profissional, corporativo)
	settings["request-classes"].([]any)[0].(map[string]any)["repeat"] = "fragile"
	reply := func(b *backend, args []string) ([]byte, []byte, time.Duration) {
		id := args[2]
		draw := rand.IntN(40)
		if draw < 4 {
			w.write("turn %s away at %s", id, b.id)
			return []byte("-BUSY\r\n"), nil, 0
		}
		mu.Lock()
		if first := ran[id]; first != "" {
			broken = append(broken, fmt.Sprintf("%s ran at %s and at %s", id, first, b.id))
		}
		ran[id] = b.id
		mu.Unlock()
		value := valueReply(valueOf(id, b, 0))
		if draw >= 9 {
			return value, nil, 0
		}
		failed := []byte("-ERR failed\r\n")
		if w.trouble {
			return failed, value, secondAfter
		}
		return failed, nil, 0
	}
	err := w.playTraffic(settings, reply, true, func(*request, answer) {})
	mu.Lock()
	defer mu.Unlock()
	return broken, err
}
