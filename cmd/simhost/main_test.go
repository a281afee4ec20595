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

func provision(profile string) string {
	head := "\x05\x01\x00" + strings.Repeat("\x07", 8)
	return head + string(binary.LittleEndian.AppendUint32(nil, uint32(len(profile)))) + profile
}

const profile = "balancers=1\nrequest-classes.count=1\nrequest-classes.0.promise-us=600000\n" +
	"tariffs.count=1\ntariffs.0.rate=1\ntariffs.0.burst=5\n"

func TestRun(t *testing.T) {
	for _, c := range []struct {
		name, in string
		fails    bool
		holds    string
	}{
		{"empty batch", batch(1, 0, ""), false, "\x01\x00\x00\x00\x00\x00\x00\x00"},
		{"served settings", batch(1, 1, provision(profile)), false, "\x01\x00\x00\x00\x00\x00\x00\x00"},
		{"bad setting", batch(1, 1, provision(profile+"balancers=no\n")), false, "setting balancers"},
		{"settings not to be served", batch(1, 1, provision(profile+"balancers=0\n")), false, "gateways"},
		{"event of no instance", batch(1, 1, "\x04\x09\x00\x00\x00\x00\x00"), false, "\x01\x00\x00\x00\x00\x00\x00\x00"},
		{"cut frame", batch(1, 1, "\x06\x01\x00")[:21], true, ""},
		{"unknown event", batch(1, 1, "\x63\x01\x00"), true, ""},
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(c.in), &out)
		if (err != nil) != c.fails || !strings.Contains(out.String(), c.holds) {
			t.Errorf("%s: %q, %v", c.name, out.String(), err)
		}
	}
}

func TestPanicIsToldAsBroken(t *testing.T) {
	h := &host{gateways: map[uint16]*policy.Balancer{4: {}}} // one that New did not make
	h.reply.Begin(1)
	h.take(1, &simprotocol.Event{Kind: simprotocol.TimerFired, Instance: 4})
	if got := string(h.reply.Bytes()); !strings.Contains(got, "panic") {
		t.Errorf("%q", got)
	}
}
