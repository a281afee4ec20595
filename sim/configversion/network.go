package configversion

import (
	"encoding/json"
	"time"

	"mothcleat/internal/controlplane/configversion"
)

// message is a message in flight. Its arrival calls do.
type message struct {
	at time.Duration
	to *member // nil: the state machine
	do func()
}

// send calls do at the state machine or a member after a short delay. Messages may be lost,
// duplicated or late.
func (w *World) send(from, to *member, do func()) {
	w.messages++
	if from.cutUntil > w.now || w.chance("lost", 12) {
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

// apply sends a command to the state machine, which applies it once, however often it arrives. It
// passes the result to then.
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
		w.checkLog()
		if then != nil {
			w.send(m, m, func() { then(r) })
		}
	})
}

// deliverDue delivers the messages that are due, except those to a stopped member.
func (w *World) deliverDue() {
	due := w.net
	w.net = nil
	for _, m := range due {
		switch {
		case m.at > w.now || m.to != nil && m.to.stopped:
			w.net = append(w.net, m)
		case m.to == nil || !m.to.down && m.to.cutUntil <= w.now:
			m.do()
		}
	}
}
