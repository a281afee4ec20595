package configversion

import (
	"encoding/json"
	"time"

	"mothcleat/internal/controlplane/configversion"
)

// message is a message on its way, as what is done when it arrives.
type message struct {
	at time.Duration
	to *member // nil: the log
	do func()
}

// send has something done at the log or a member after a short delay. Messages are lost, doubled
// and late.
func (w *World) send(from, to *member, do func()) {
	w.words++
	if from.cut > w.now || w.chance("lost", 12) {
		return
	}
	n := 1
	if w.chance("doubled", 25) {
		n = 2
	}
	for range n {
		at := w.now + time.Duration(1+w.r.IntN(30))*time.Millisecond
		if w.chance("late", 40) {
			at = w.now + time.Duration(w.r.Int64N(int64(2*w.rules.TTL)))
		}
		w.net = append(w.net, message{at, to, do})
	}
}

// apply has a command agreed. A session applies it once, however often it comes.
func (w *World) apply(m *member, op configversion.Command, then func(configversion.Result)) {
	who, done := m.me(), false
	w.send(m, nil, func() {
		if done {
			return
		}
		done = true
		w.index++
		var r configversion.Result
		if err := json.Unmarshal(w.log.Apply(w.fleet, w.index, who, op.Encode()), &r); err != nil {
			w.breach("unreadable", "%v", err)
		}
		if r.OK && op.Term != 0 && op.Term != w.term {
			w.breach(
				"two_guides",
				"%s %s %d under term %d, the newest is %d",
				op.Kind,
				op.Item,
				op.Number,
				op.Term,
				w.term,
			)
		}
		w.seen()
		if then != nil {
			w.send(m, m, func() { then(r) })
		}
	})
}

// deliverDue delivers the messages whose time has come, but for those to a stopped member.
func (w *World) deliverDue() {
	due := w.net
	w.net = nil
	for _, m := range due {
		switch {
		case m.at > w.now || m.to != nil && m.to.stopped:
			w.net = append(w.net, m)
		case m.to == nil || !m.to.dead && m.to.cut <= w.now:
			m.do()
		}
	}
}
