package gateway

import (
	"fmt"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

// An answer that a backend writes slowly is served as long as its client waits. It is neither cut
// off after a fixed time nor given up for another attempt.
func TestSlowlyWrittenAnswerIsServed(t *testing.T) {
	t.Parallel()
	r, b, _ := startWithOneBackend(t, nil)
	c := r.dialClient(t)
	const quick = 5 // their latency makes the gateway give up slow attempts
	for id := range quick {
		c.sendLookup(1+id, "10000")
		b.nextCommand(t).replyValue(t, fmt.Sprint("quick ", id))
		c.wantValue(fmt.Sprint("quick ", id))
	}
	c.sendLookup(1+quick, "10000")
	call := b.nextCommand(t)
	const (
		value                 = "slowly"
		pieceTime policy.Time = 300_000
	)
	call.reply(t, "*3\r\n$6\r\n")
	for i := range value {
		r.awaitClock(t, pieceTime)
		call.reply(t, value[i:i+1])
	}
	call.reply(t, "\r\n$-1\r\n$-1\r\n")
	c.wantValue(value)
	if len(b.commands) > 0 {
		t.Error("another attempt was made while the answer was coming")
	}
}
