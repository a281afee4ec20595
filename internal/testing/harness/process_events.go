package harness

import (
	"fmt"
	"time"
)

// killedDuring reports whether a gateway was being killed within a period. A kill lasts from the
// signal until the process has exited. On a busy machine this takes a while, during which the
// system still accepts connections for the process.
func killedDuring(rec *Record, gateway int, from, to time.Duration) bool {
	killed := time.Duration(-1)
	for _, l := range rec.ProcessEvents {
		switch {
		case l.Gateway != gateway:
		case l.Event == Killed:
			if l.At >= from-OnSockets && l.At <= to+OnSockets {
				return true
			}
			killed = l.At
		case killed >= 0 && (l.Event == Exited || l.Event == Started):
			if killed <= to+OnSockets && l.At >= from-OnSockets {
				return true
			}
			killed = -1
		}
	}
	return false
}

// resumeGracePeriod is how long after a suspension late operations of the gateway are still
// attributed to it.
const resumeGracePeriod = time.Second

// pausedDuring reports whether a gateway was suspended within a period or shortly before it.
func pausedDuring(rec *Record, gateway int, from, to time.Duration) bool {
	paused := time.Duration(-1)
	for _, l := range rec.ProcessEvents {
		if l.Gateway != gateway {
			continue
		}
		switch {
		case l.Event == Paused:
			paused = l.At
		case paused < 0:
			continue
		case l.Event == Resumed || l.Event == Killed || l.Event == Exited:
			if paused <= to+OnSockets && l.At+resumeGracePeriod >= from {
				return true
			}
			paused = -1
		}
	}
	return paused >= 0 && paused <= to+OnSockets
}

// recentEvents describes the events of a gateway's process in the 10 s up to before.
func recentEvents(rec *Record, gateway int, before time.Duration) string {
	names := [...]string{
		"started",
		"ready",
		"told to stop",
		"reloaded",
		"handed over",
		"killed",
		"ended",
		"crashed",
		"paused",
		"woken",
	}
	text := "gateway"
	for _, l := range rec.ProcessEvents {
		if l.Gateway == gateway && l.At <= before && l.At > before-10*time.Second {
			text += fmt.Sprintf(" %s at %v,", names[l.Event], l.At.Round(time.Millisecond))
		}
	}
	return text
}
