package gateway

import (
	"bufio"
	"io"

	"mothcleat/internal/dataplane/policy"
)

// refusals writes down why each request was refused, for people and rigs that look for
// the cause of a loss: a line with the request's id and the reason.
type refusals struct{ out *bufio.Writer }

// recordRefusals begins the record; nil: none is kept, and it costs nothing.
func (l *Loop) recordRefusals(w io.Writer) {
	if w == nil {
		return
	}
	l.refusals = &refusals{bufio.NewWriter(w)}
	l.module.OnReject(func(id uint64, why policy.RejectReason) {
		r := l.requests[id]
		if r == nil || r.answered {
			return
		}
		_, _ = l.refusals.out.Write(r.args[2])
		_, _ = l.refusals.out.WriteString(" " + why.String() + "\n")
	})
}

// flush writes what is recorded so far. A record that can't be written ends, told.
func (r *refusals) flush(l *Loop) {
	if r == nil {
		return
	}
	if err := r.out.Flush(); err != nil {
		l.log.Error("record of refusals: ended", "error", err)
		l.module.OnReject(nil)
		l.refusals = nil
	}
}
