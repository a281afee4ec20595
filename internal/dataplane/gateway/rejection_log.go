package gateway

import (
	"bufio"
	"io"

	"mothcleat/internal/dataplane/policy"
)

// rejectionLog writes down why each request was refused, for people and rigs that look for
// the cause of a loss: a line with the request's id and the reason.
type rejectionLog struct{ out *bufio.Writer }

// openRejectionLog begins the record; nil: none is kept, and it costs nothing.
func (l *Loop) openRejectionLog(w io.Writer) {
	if w == nil {
		return
	}
	l.rejections = &rejectionLog{bufio.NewWriter(w)}
	l.balancer.OnReject(func(id uint64, why policy.RejectReason) {
		r := l.requests[id]
		if r == nil || r.answered {
			return
		}
		_, _ = l.rejections.out.Write(r.args[2])
		_, _ = l.rejections.out.WriteString(" " + why.String() + "\n")
	})
}

// flush writes what is recorded so far. A record that can't be written ends, told.
func (r *rejectionLog) flush(l *Loop) {
	if r == nil {
		return
	}
	if err := r.out.Flush(); err != nil {
		l.log.Error("record of refusals: ended", "error", err)
		l.balancer.OnReject(nil)
		l.rejections = nil
	}
}
