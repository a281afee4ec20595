package simprotocol

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func frame(index, count uint32, now uint64, body []byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, index)
	b = binary.LittleEndian.AppendUint32(b, count)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint64(b, now), body...)
}

func TestDecodeEvents(t *testing.T) {
	for _, c := range []struct {
		name, bytes string
		want        Event
	}{
		{"request", "03 0300 c4913a5d7f250800 01 00000040 80a90300 0100 00004040 0200 " +
			"0000803f 640ad2557c3bf091",
			Event{Kind: RequestReceived, Instance: 3, Request: policy.Request{
				ID: 0x8257f5d3a91c4, Units: 2, Timeout: 240000,
				Plan: 1, Spread: 3, Class: 2, First: 1, Customer: 0x91f03b7c55d20a64}}},
		{"timer", "04 0300 4d000000", Event{Kind: TimerFired, Instance: 3, TimerToken: 77}},
		{"client gone", "09 0500 192b6f0e23e80e00", Event{Kind: ClientGone, Instance: 5,
			Outcome: policy.Outcome{ID: 0x0ee8230e6f2b19}}},
		{"attempt ended", "07 0300 c4913a5d7f250800 0100 074a1203 03 44480000 " +
			"01 5600 0300 01 0000803f",
			Event{Kind: AttemptEnded, Instance: 3, Outcome: policy.Outcome{
				ID: 0x8257f5d3a91c4, Attempt: 1, Backend: 0x03124a07,
				Result: policy.Rejected, Duration: 18500, RequestDone: true,
				MeteredUse: 86, ActualUnits: 3, Load: []float32{1}}}},
		{"endpoints", "08 0300 01 2900000000000000 02000000 " +
			"074a1203 0000 00 0000 01 0000803f 0000000000000000 " +
			"f211902c 0100 01 0300 02 0000c03f 20145d0000000000",
			Event{Kind: EndpointsChanged, Instance: 3, ListKind: policy.CompleteCached,
				Endpoints: []policy.Endpoint{
					{Backend: 0x03124a07, Weight: 1},
					{Backend: 0x2c9011f2, Zone: 1, Cell: 3, State: policy.Draining, Weight: 1.5,
						StartedAt: 0x5d1420}}}},
		{"counter", "0b 0300 00001842 01 90f6890000000000 66080000",
			Event{Kind: CounterAnswered, Instance: 3, CounterTotal: 38, Result: policy.OK,
				CounterName: 0x89f690}},
		{"probe", "02 0100 09000000 04 01000000 00",
			Event{Kind: ProbeEnded, Instance: 1, Backend: 9, Result: policy.TimedOut}},
		{"peer message", "01 0200 0100 0300 616263",
			Event{Kind: PeerMessageReceived, Instance: 2, From: 1, Message: []byte("abc")}},
		{"response started", "0a 0100 0500000000000000 09000000 0100 02000000",
			Event{Kind: ResponseStarted, Instance: 1,
				Outcome: policy.Outcome{ID: 5, Backend: 9, Attempt: 1, Duration: 2}}},
		{"instance started", "05 0100 0700000000000000 03000000 613d31",
			Event{Kind: InstanceStarted, Instance: 1, Seed: 7, Settings: []byte("a=1")}},
		{"instance stopped", "06 0100", Event{Kind: InstanceStopped, Instance: 1}},
	} {
		body := unhex(t, c.bytes)
		b, err := ReadBatch(bytes.NewReader(frame(12, 1, 99, body)), nil)
		if err != nil || b.Index != 12 || b.Now != 99 {
			t.Fatalf("%s: batch %+v: %v", c.name, b, err)
		}
		var got Event
		if err := b.Decode(func(e *Event) { got = *e }); err != nil {
			t.Errorf("%s: %v", c.name, err)
		} else if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s:\n%+v, want\n%+v", c.name, got, c.want)
		}
		for n := range body {
			short := Batch{Count: 1, Body: body[:n]}
			if err := short.Decode(func(*Event) {}); err == nil {
				t.Errorf("%s truncated to %d bytes was accepted", c.name, n)
			}
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	if _, err := ReadBatch(strings.NewReader(""), nil); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
	for name, b := range map[string][]byte{
		"truncated header": {1, 2, 3},
		"truncated body":   frame(1, 1, 1, []byte{4, 0, 0, 0})[:22],
		"huge":             append(unhex(t, "01000000 01000000 ffffffff 0000000000000000"), 4),
	} {
		if _, err := ReadBatch(bytes.NewReader(b), nil); err == nil || err == io.EOF {
			t.Errorf("%s: %v", name, err)
		}
	}
	longList := unhex(t, "08 0300 01 2900000000000000 ffffffff 0000")
	for name, b := range map[string]Batch{
		"unknown event":         {Count: 1, Body: []byte{99, 0, 0}},
		"bytes left over":       {Count: 1, Body: unhex(t, "06 0100 00")},
		"list too long":         {Count: 1, Body: longList},
		"unknown outcome":       {Count: 1, Body: unhex(t, "02 0100 09000000 63 01000000 00")},
		"peer message too long": {Count: 1, Body: unhex(t, "01 0200 0100 ffff 61")},
		"too many records":      {Count: 2, Body: unhex(t, "06 0100")},
	} {
		if err := b.Decode(func(*Event) {}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v, want ErrMalformed", name, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(uint32(1), unhex(f, "04 0300 4d000000"))
	f.Add(uint32(1), unhex(f, "08 0300 01 2900000000000000 ffffffff 0000"))
	f.Add(uint32(2), unhex(f, "01 0200 0100 0300 616263 06 0100"))
	f.Fuzz(func(t *testing.T, count uint32, body []byte) {
		b := Batch{Count: count, Body: body}
		handled := 0
		err := b.Decode(func(*Event) { handled++ })
		if err == nil && uint32(handled) != count {
			t.Errorf("no error, but %d of %d records handled", handled, count)
		}
	})
}
