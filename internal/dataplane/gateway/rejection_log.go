package gateway

import (
	"bufio"
	"io"

	"mothcleat/internal/dataplane/policy"
)

// rejectionLog records why each request was rejected, for operators and test rigs that look for the
// cause of a loss. It writes a line with the request's id and the reason. It belongs to the event
// loop.
type rejectionLog struct{ out *bufio.Writer }

// openRejectionLog starts the log. If w is nil, no log is kept, at no cost.
func (g *Gateway) openRejectionLog(w io.Writer) {
	if w == nil {
		return
	}
	g.rejections = &rejectionLog{bufio.NewWriter(w)}
	g.balancer.OnReject(func(id uint64, reason policy.RejectReason) {
		r := g.requests.byID[id]
		if r == nil || r.answered {
			return
		}
		_, _ = g.rejections.out.Write(r.args[2])
		_, _ = g.rejections.out.WriteString(" " + reason.String() + "\n")
	})
}

// flush writes the recorded lines. If that fails, it reports the error and ends the log.
func (l *rejectionLog) flush(g *Gateway) {
	if l == nil {
		return
	}
	if err := l.out.Flush(); err != nil {
		g.log.Error("rejection log ended: it can't be written", "error", err)
		g.balancer.OnReject(nil)
		g.rejections = nil
	}
}
