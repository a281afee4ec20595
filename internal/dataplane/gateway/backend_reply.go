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

// replyTimeout is how soon an answer must have come whole after its first byte:
// its length may be spoilt and promise more than ever comes.
const replyTimeout = time.Second

// readReplies posts what a backend answers until the connection ends or its answers
// can't be told apart any more.
func (c *backendConn) readReplies(l *Loop) {
	in := resp.NewReader(c)
	c.reader = in
	for {
		e := replyRead{conn: c}
		var long resp.Long
		if e.err = in.Await(); e.err == nil {
			_ = c.conn.SetReadDeadline(time.Now().Add(replyTimeout))
			e.reply, long, e.err = in.ReadReplyHead()
			_ = c.conn.SetReadDeadline(time.Time{})
			if e.err == nil && long.Size > 0 {
				if !c.receiveStreamed(l, long) {
					return
				}
				continue
			}
			e.malformed = errors.Is(e.err, resp.ErrProtocol) || errors.Is(e.err, os.ErrDeadlineExceeded)
		}
		e.bytesConsumed, e.extraBytes = c.bytesRead.Load()-int64(in.Buffered()), in.Buffered() > 0
		l.post(e)
		if e.err != nil || e.extraBytes {
			return
		}
	}
}

// replyRead is an answer on a backend's connection, or its end.
type replyRead struct {
	conn          *backendConn
	reply         resp.Reply
	err           error
	malformed     bool  // an answer has come that can't be read
	bytesConsumed int64 // bytes that have come with it and before
	extraBytes    bool  // and others behind it
}

func (e replyRead) handle(l *Loop) {
	c, a := e.conn, e.conn.attempt
	if c.closed {
		return
	}
	kept := c.bytesConsumed > 0 // it has carried an answer before this one
	c.bytesConsumed, c.restsUntil = e.bytesConsumed, l.now()+l.backends.restDuration
	if a == nil || e.err != nil && !e.malformed {
		l.backends.close(c)
		if c.attempt = nil; a != nil {
			// Its last byte was written, or may have been: it may have run. Where a
			// connection was kept and proved dead when used, those that have been
			// kept for longer are most likely dead too, though nothing shows it.
			if kept && l.now()-a.writtenAt < deadConnDetectionTime {
				l.backends.idleTrust.connBroken(l.now(), a.connIdle)
			}
			for kept && len(c.backend.idle) > 0 && c.backend.idle[0].idleSince <= c.idleSince {
				l.backends.close(c.backend.idle[0])
			}
			l.finishAttempt(a, policy.Reset, nil)
		}
		l.backends.dialForWaiting(l, c.backend) // somebody may have waited for it to have rested
		return
	}
	result, value, load, fine := classifyReply(e.reply, a.request == nil)
	if e.malformed && value == nil {
		result = policy.Failed
	}
	c.attempt = nil
	if !fine || e.malformed || e.extraBytes {
		// What comes next on this connection may belong to nothing. That tells
		// only of it: the others to the backend go on.
		l.backends.close(c)
		l.backends.dialForWaiting(l, c.backend)
	}
	l.finishAttemptWithReply(a, result, value, l.parseLoadReport(load))
	if !c.closed {
		l.backends.release(l, c)
	}
}

// classifyReply tells what an answer means, and whether it is in the form agreed on:
// an array with the value first, or an error. What follows the value, such as a
// load report that can't be read, does not spoil it.
func classifyReply(re resp.Reply, probe bool) (result policy.Result, value []byte, load string, fine bool) {
	switch {
	case re.Kind == '-':
		word, rest, _ := strings.Cut(string(re.Text), " ")
		if word == "BUSY" {
			return policy.Rejected, nil, rest, true
		}
		return policy.Failed, nil, rest[strings.LastIndexByte(rest, ' ')+1:], true
	case probe:
		return policy.OK, nil, string(re.Text), re.Kind == '+' || re.Kind == '$'
	case re.Kind == '*' && len(re.Items) > 0 && re.Items[0].Kind == '$' && !re.Items[0].Null:
		if len(re.Items) > 2 {
			load = string(re.Items[2].Text)
		}
		return policy.OK, re.Items[0].Text, load, true
	}
	return policy.Failed, nil, "", false // no value: it may have run
}

// parseLoadReport reads a load report, in the order of the settings; nil if it is none.
// One that is not whole, or holds what no load can be, must not reach the
// decisions: it would draw all requests to its backend, or none.
func (l *Loop) parseLoadReport(text string) []float32 {
	names := l.cfg.Host.Report
	if len(l.cfg.Settings.Report) == 0 || !strings.Contains(text, "=") {
		return nil
	}
	load, told := make([]float32, len(names)), 0
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(value, 32)
		i := slices.Index(names, name)
		if i < 0 {
			continue
		}
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			return nil
		}
		load[i], told = float32(v), told|1<<i
	}
	if told != 1<<len(names)-1 {
		return nil
	}
	return load
}
