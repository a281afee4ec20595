package configversion

import (
	"time"

	"mothcleat/internal/controlplane/configversion"
)

// befall ends a fault of a member, or begins one.
func (w *World) befall(m *member) {
	switch {
	case m.dead:
		if w.noFaults || w.r.IntN(100) == 0 {
			w.start(m)
		}
	case m.stopped:
		if w.now >= m.wakes || w.noFaults {
			m.stopped = false
		}
	case w.chance("stopped", 600):
		m.stopped, m.wakes = true, w.now+time.Duration(w.r.Int64N(int64(3*w.rules.TTL)))
	case w.chance("killed", 1500):
		m.dead = true
	case w.chance("left", 3000):
		w.apply(m, configversion.Command{Kind: configversion.KindLeave}, nil)
		m.dead = true
	case m.cut <= w.now && w.chance("cut", 800):
		m.cut = w.now + time.Duration(w.r.Int64N(int64(3*w.rules.TTL)))
	}
	if w.noFaults {
		m.cut = 0
	}
}
