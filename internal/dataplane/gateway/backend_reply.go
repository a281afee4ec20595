package gateway

import (
	"errors"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/resp"
)

// replyTimeout is how long no byte may come in the middle of an answer. It ends the wait for an
// answer whose corrupt length announces more data than the backend sends. For an answer that comes
// slowly, the attempt's deadline is the limit.
const replyTimeout = time.Second

// readReplies posts a backend's answers until the connection ends or its framing is lost. It runs
// on the connection's reader goroutine.
func (c *backendConn) readReplies(g *Gateway) {
	in := resp.NewReader(c)
	c.reader = in
	for {
		e := replyRead{conn: c}
		var long resp.LongValue
		e.err = in.Await()
		if e.err == nil {
			c.inReply = true
			e.reply, long, e.err = in.ReadReplyHead()
			c.inReply = false
			_ = c.conn.SetReadDeadline(time.Time{})
			if e.err == nil && long.Size > 0 {
				if !c.receiveStreamed(g, long) {
					return
				}
				continue
			}
			timedOut := errors.Is(e.err, os.ErrDeadlineExceeded)
			e.malformed = errors.Is(e.err, resp.ErrProtocol) || timedOut
		}
		e.bytesConsumed = c.bytesRead.Load() - int64(in.Buffered())
		e.extraBytes = in.Buffered() > 0
		g.post(e)
		if e.err != nil || e.extraBytes {
			return
		}
	}
}

// replyRead is an answer read from a backend's connection, or the end of the connection.
type replyRead struct {
	conn          *backendConn
	reply         resp.Reply
	digest        uint64 // of reply; see replyDigest
	err           error
	malformed     bool  // an answer was received that can't be parsed
	bytesConsumed int64 // total bytes of this answer and all earlier ones
	extraBytes    bool  // more data follows the answer
}

func (e replyRead) handle(g *Gateway) {
	c := e.conn
	a := c.attempt
	if c.closed {
		return
	}
	reused := c.bytesConsumed > 0 // the connection carried an answer before this one
	c.bytesConsumed = e.bytesConsumed
	c.cooldownUntil = g.now() + g.backends.cooldown
	unsolicited := a == nil && !c.duplicates.awaitsMarker
	if unsolicited || e.err != nil && !e.malformed {
		g.backends.connEnded(g, c, reused)
		return
	}
	e.digest = replyDigest(e.reply)
	e, usable := g.filterDuplicate(e)
	if !usable {
		return
	}
	if a == nil {
		g.backends.connEnded(g, c, reused) // a second answer before the marker's reply
		return
	}
	c.duplicates.record(e.digest, g.now())
	result, value, load, wellFormed := classifyReply(e.reply, a.request == nil)
	if e.malformed && value == nil {
		result = policy.Failed
	}
	c.attempt = nil
	if !wellFormed || e.malformed || e.extraBytes {
		// Further data on this connection may not belong to any request. The backend's other
		// connections are not affected.
		g.backends.close(c)
		g.backends.dialForWaiting(g, c.backend)
	}
	g.finishAttemptWithReport(a, result, value, g.parseLoadReport(load))
	if !c.closed && !c.duplicates.awaitsMarker {
		g.backends.release(g, c)
	}
}

// connEnded closes a connection that the backend has closed or on which an unsolicited answer came.
// reused: the connection has carried answers before.
func (p *backendPool) connEnded(g *Gateway, c *backendConn, reused bool) {
	p.close(c)
	a := c.attempt
	c.attempt = nil
	if a != nil {
		// The attempt's last byte may have been written, so the attempt may have been executed. If
		// a reused connection turns out to be dead, those connections of the same backend that have
		// been idle for longer are most likely dead as well.
		if reused && g.now()-a.writtenAt < deadConnDetectionTime {
			p.idleLimiter.connBroken(g.now(), a.connIdle)
		}
		b := c.backend
		for reused && len(b.idle) > 0 && b.idle[0].idleSince <= c.idleSince {
			p.close(b.idle[0])
		}
		g.finishAttempt(a, policy.Reset, nil)
	}
	p.dialForWaiting(g, c.backend) // an attempt may have waited for the end of the cooldown
}

// classifyReply returns the result of an answer and whether the answer has an expected form: an
// array with the value first, or an error. Data after the value, such as a load report that can't
// be parsed, does not make an answer malformed.
func classifyReply(
	reply resp.Reply, probe bool,
) (result policy.Result, value []byte, load string, wellFormed bool) {
	switch {
	case reply.Kind == '-':
		word, rest, _ := strings.Cut(string(reply.Text), " ")
		if word == "BUSY" {
			return policy.Rejected, nil, rest, true
		}
		lastWord := rest[strings.LastIndexByte(rest, ' ')+1:]
		return policy.Failed, nil, lastWord, true
	case probe:
		wellFormed = reply.Kind == '+' || reply.Kind == '$'
		return policy.OK, nil, string(reply.Text), wellFormed
	case holdsValue(reply):
		if len(reply.Items) > 2 {
			load = string(reply.Items[2].Text)
		}
		return policy.OK, reply.Items[0].Text, load, true
	}
	return policy.Failed, nil, "", false // no value, but the request may have been executed
}

// holdsValue reports whether an answer is an array whose first item is a value.
func holdsValue(reply resp.Reply) bool {
	if reply.Kind != '*' || len(reply.Items) == 0 {
		return false
	}
	first := reply.Items[0]
	return first.Kind == '$' && !first.Null
}

// parseLoadReport parses a load report into the order of the settings. It returns nil if the text
// is not a load report. A report that is incomplete or contains an invalid load is ignored, because
// it would attract all requests to its backend, or none.
func (g *Gateway) parseLoadReport(text string) []float32 {
	names := g.cfg.Host.Report
	if len(g.cfg.Settings.LoadReportMetrics) == 0 || !strings.Contains(text, "=") {
		return nil
	}
	load := make([]float32, len(names))
	seen := 0 // one bit for each name
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		i := slices.Index(names, name)
		if i < 0 {
			continue
		}
		v, err := strconv.ParseFloat(value, 32)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) { // NaN is not >= 0
			return nil
		}
		load[i] = float32(v)
		seen |= 1 << i
	}
	if seen != 1<<len(names)-1 {
		return nil
	}
	return load
}
