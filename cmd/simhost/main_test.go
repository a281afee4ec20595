package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"mothcleat/internal/dataplane/policy"
	"mothcleat/internal/dataplane/simprotocol"
)

func batch(index, count uint32, body string) string {
	b := binary.LittleEndian.AppendUint32(nil, index)
	b = binary.LittleEndian.AppendUint32(b, count)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	return string(binary.LittleEndian.AppendUint64(b, 1e6)) + body
}

func startRecord(settings string) string {
	head := "\x05\x01\x00" + strings.Repeat("\x07", 8)
	return head + string(binary.LittleEndian.AppendUint32(nil, uint32(len(settings)))) + settings
}

const validSettings = "balancers=1\nrequest-classes.count=1\nrequest-classes.0.promise-us=600000\n" +
	"tariffs.count=1\ntariffs.0.rate=1\ntariffs.0.burst=5\n"

func TestRun(t *testing.T) {
	const emptyReply = "\x01\x00\x00\x00\x00\x00\x00\x00"
	for _, c := range []struct {
		name     string
		in       string
		fails    bool
		contains string
	}{
		{"empty batch", batch(1, 0, ""), false, emptyReply},
		{"valid settings", batch(1, 1, startRecord(validSettings)), false, emptyReply},
		{"malformed setting", batch(1, 1, startRecord(validSettings+"balancers=no\n")), false,
			"setting balancers"},
		{"invalid settings", batch(1, 1, startRecord(validSettings+"balancers=0\n")), false,
			"gateways"},
		{"event for an unknown instance", batch(1, 1, "\x04\x09\x00\x00\x00\x00\x00"), false, emptyReply},
		{"truncated frame", batch(1, 1, "\x06\x01\x00")[:21], true, ""},
		{"unknown event", batch(1, 1, "\x63\x01\x00"), true, ""},
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(c.in), &out)
		if (err != nil) != c.fails || !strings.Contains(out.String(), c.contains) {
			t.Errorf("%s: %q, %v", c.name, out.String(), err)
		}
	}
}

func TestPanicFailsTheInstance(t *testing.T) {
	h := newHost()
	h.balancers[4] = &policy.Balancer{} // not made by New
	h.reply.Begin(1)
	h.handle(1, &simprotocol.Event{Kind: simprotocol.TimerFired, Instance: 4})
	if got := string(h.reply.Bytes()); !strings.Contains(got, "panic") {
		t.Errorf("%q", got)
	}
}
