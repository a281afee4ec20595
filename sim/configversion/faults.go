package configversion

import (
	"time"

	"mothcleat/internal/controlplane/configversion"
)

// injectFault ends a fault of a member, or occasionally begins one.
func (w *World) injectFault(m *member) {
	switch {
	case m.down:
		if w.noFaults || w.r.IntN(100) == 0 {
			w.start(m)
		}
	case m.stopped:
		if w.now >= m.stoppedUntil || w.noFaults {
			m.stopped = false
		}
	case w.chance("stopped", 600):
		m.stopped, m.stoppedUntil = true, w.now+time.Duration(w.r.Int64N(int64(3*w.rules.TTL)))
	case w.chance("killed", 1500):
		m.down = true
	case w.chance("left", 3000):
		w.apply(m, configversion.Command{Kind: configversion.KindLeave}, nil)
		m.down = true
	case m.cutUntil <= w.now && w.chance("cut", 800):
		m.cutUntil = w.now + time.Duration(w.r.Int64N(int64(3*w.rules.TTL)))
	}
	if w.noFaults {
		m.cutUntil = 0
	}
}
