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

// wholeWithin is how soon an answer must have come whole after its first byte:
// its length may be spoilt and promise more than ever comes.
const wholeWithin = time.Second

// receive posts what a backend answers until the connection ends or its answers
// can't be told apart any more.
func (c *backendConn) receive(l *Loop) {
	in := resp.NewReader(c)
	c.in = in
	for {
		e := replied{c: c}
		var long resp.Long
		if e.err = in.Await(); e.err == nil {
			_ = c.conn.SetReadDeadline(time.Now().Add(wholeWithin))
			e.reply, long, e.err = in.ReadReplyHead()
			_ = c.conn.SetReadDeadline(time.Time{})
			if e.err == nil && long.Size > 0 {
				if !c.receiveLong(l, long) {
					return
				}
				continue
			}
			e.spoilt = errors.Is(e.err, resp.ErrProtocol) || errors.Is(e.err, os.ErrDeadlineExceeded)
		}
		e.used, e.more = c.read.Load()-int64(in.Buffered()), in.Buffered() > 0
		l.post(e)
		if e.err != nil || e.more {
			return
		}
	}
}

// replied is an answer on a backend's connection, or its end.
type replied struct {
	c      *backendConn
	reply  resp.Reply
	err    error
	spoilt bool  // an answer has come that can't be read
	used   int64 // bytes that have come with it and before
	more   bool  // and others behind it
}

func (e replied) handle(l *Loop) {
	c, a := e.c, e.c.a
	if c.closed {
		return
	}
	kept := c.used > 0 // it has carried an answer before this one
	c.used, c.rests = e.used, l.now()+l.backends.rest
	if a == nil || e.err != nil && !e.spoilt {
		l.backends.close(c)
		if c.a = nil; a != nil {
			// Its last byte was written, or may have been: it may have run. Where a
			// connection was kept and proved dead when used, those that have been
			// kept for longer are most likely dead too, though nothing shows it.
			if kept && l.now()-a.wrote < atOnce {
				l.backends.keep.broke(l.now(), a.stood)
			}
			for kept && len(c.b.idle) > 0 && c.b.idle[0].since <= c.since {
				l.backends.close(c.b.idle[0])
			}
			l.finish(a, policy.Reset, nil)
		}
		l.backends.connect(l, c.b) // somebody may have waited for it to have rested
		return
	}
	result, value, load, fine := classify(e.reply, a.r == nil)
	if e.spoilt && value == nil {
		result = policy.Failed
	}
	c.a = nil
	if !fine || e.spoilt || e.more {
		// What comes next on this connection may belong to nothing. That tells
		// only of it: the others to the backend go on.
		l.backends.close(c)
		l.backends.connect(l, c.b)
	}
	l.finishWith(a, result, value, l.report(load))
	if !c.closed {
		l.backends.free(l, c)
	}
}

// classify tells what an answer means, and whether it is in the form agreed on:
// an array with the value first, or an error. What follows the value, such as a
// load report that can't be read, does not spoil it.
func classify(re resp.Reply, probe bool) (result policy.Result, value []byte, load string, fine bool) {
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

// report reads a load report, in the order of the settings; nil if it is none.
// One that is not whole, or holds what no load can be, must not reach the
// decisions: it would draw all requests to its backend, or none.
func (l *Loop) report(text string) []float32 {
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
