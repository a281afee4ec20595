package gateway

import (
	"time"

	"mothcleat/internal/dataplane/policy"
)

// arrivalLog records when the data arrived that a client's reader has left in the socket while it
// paused. A command's time runs from its arrival, not from when it is read. Only the reader uses
// it.
type arrivalLog struct {
	received  int64 // bytes read from the connection
	consumed  int64 // those of them that belong to commands whose arrival was asked for
	checkedAt policy.Time
	marks     []arrivalMark // by rising position
}

// arrivalMark says that the data up to a position of the stream arrived after a time, or at it.
type arrivalMark struct {
	position int64
	at       policy.Time
}

// beginPause records that the reader pauses. unread is the size of the data in the socket.
func (l *arrivalLog) beginPause(unread int, now policy.Time) {
	l.checkedAt = now
	l.observe(unread, now)
}

// observe records the size of the data in the socket during a pause. What has come since the last
// call may have arrived right after it.
func (l *arrivalLog) observe(unread int, now policy.Time) {
	position := l.received + int64(unread)
	if n := len(l.marks); n == 0 || l.marks[n-1].position < position {
		l.marks = append(l.marks, arrivalMark{position, l.checkedAt})
	}
	l.checkedAt = now
}

// begin records the data that had come when the reader started: unread bytes, the latest of them
// for the given time.
func (l *arrivalLog) begin(unread int, age time.Duration, now policy.Time) {
	if unread > 0 {
		l.marks = append(l.marks, arrivalMark{int64(unread), now - age.Microseconds()})
	}
}

// arrivedBy returns the earliest time at which the data read so far, without the last buffered
// bytes, can have arrived: now, unless it came in a pause.
func (l *arrivalLog) arrivedBy(buffered int, now policy.Time) policy.Time {
	l.consumed = l.received - int64(buffered)
	for len(l.marks) > 0 && l.marks[0].position < l.consumed {
		l.marks = l.marks[1:]
	}
	if len(l.marks) == 0 {
		l.marks = nil
		return now
	}
	return l.marks[0].at
}

// behind reports whether data that came in a pause is still unread.
func (l *arrivalLog) behind() bool {
	n := len(l.marks)
	return n > 0 && l.marks[n-1].position > l.consumed
}
