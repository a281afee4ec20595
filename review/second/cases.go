package main

import (
	"fmt"
	"time"
)

// cases are the cases by name.
var cases = map[string]play{
	"foreign":  playForeign,
	"twice":    playTwice,
	"unread":   playUnread,
	"drained":  playDrained,
	"restarts": playRestarts,
	"crowded":  playCrowded,
}

const (
	serverCount = 9 // as at today's scale

	// lateSlack is how long after its time a request is only worth nothing, with the slack of all
	// time limits on sockets.
	lateSlack = 550 * time.Millisecond
)

// small starts a small deployment: the given number of gateways, and nine backends that answer with
// the request's id and their own.
func (w *world) small(
	gateways int, work time.Duration, sockets int, settings map[string]any,
	prepare func(*backend),
) error {
	all, err := w.addBackends(work, prepare)
	if err != nil {
		return err
	}
	d, err := newDiscovery(all)
	if err != nil {
		return err
	}
	counter, err := newCounter()
	if err != nil {
		return err
	}
	return w.addGateways(gateways, site{settings, sockets, d, counter})
}

// addBackends starts nine backends.
func (w *world) addBackends(work time.Duration, prepare func(*backend)) ([]*backend, error) {
	var all []*backend
	for i := range serverCount {
		b, err := w.addBackend(i, work)
		if err != nil {
			return nil, err
		}
		b.reply = func(b *backend, args []string) ([]byte, []byte, time.Duration) {
			return valueReply(valueOf(args[2], b, 0)), nil, 0
		}
		if prepare != nil {
			prepare(b)
		}
		all = append(all, b)
	}
	return all, nil
}

// valueOf returns a backend's value for a request, filled up to a size.
func valueOf(id string, b *backend, size int) string {
	value := fmt.Sprintf("%s %s", id, b.id)
	for len(value) < size {
		value += " " + value
	}
	return value[:max(size, len(id)+1+len(b.id))]
}
