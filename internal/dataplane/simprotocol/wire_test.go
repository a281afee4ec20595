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

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		name, bytes string
		want        Event
	}{
		{"request", "03 0300 c4913a5d7f250800 01 00000040 80a90300 0100 00004040 0200 0000803f 640ad2557c3bf091",
			Event{Kind: RequestReceived, Instance: 3, Request: policy.Request{ID: 0x8257f5d3a91c4, Units: 2, Timeout: 240000,
				Plan: 1, Spread: 3, Class: 2, First: 1, Customer: 0x91f03b7c55d20a64}}},
		{"timer", "04 0300 4d000000", Event{Kind: TimerFired, Instance: 3, TimerToken: 77}},
		{"gone", "09 0500 192b6f0e23e80e00", Event{Kind: ClientGone, Instance: 5,
			Outcome: policy.Outcome{ID: 0x0ee8230e6f2b19}}},
		{"outcome", "07 0300 c4913a5d7f250800 0100 074a1203 03 44480000 01 5600 0300 01 0000803f",
			Event{Kind: AttemptEnded, Instance: 3, Outcome: policy.Outcome{ID: 0x8257f5d3a91c4, Attempt: 1, Backend: 0x03124a07,
				Result: policy.Rejected, Duration: 18500, RequestDone: true, MeteredUse: 86, TrueUnits: 3, Load: []float32{1}}}},
		{"members", "08 0300 01 2900000000000000 02000000 " +
			"074a1203 0000 00 0000 01 0000803f 0000000000000000 f211902c 0100 01 0300 02 0000c03f 20145d0000000000",
			Event{Kind: EndpointsChanged, Instance: 3, ListKind: policy.CompleteCached, Endpoints: []policy.Endpoint{
				{Backend: 0x03124a07, Weight: 1},
				{Backend: 0x2c9011f2, Zone: 1, Cell: 3, State: policy.Draining, Weight: 1.5, StartedAt: 0x5d1420}}}},
		{"count", "0b 0300 00001842 01 90f6890000000000 66080000",
			Event{Kind: CounterAnswered, Instance: 3, CounterTotal: 38, Result: policy.OK, CounterName: 0x89f690}},
		{"probe", "02 0100 09000000 04 01000000 00", Event{Kind: ProbeEnded, Instance: 1, Backend: 9, Result: policy.TimedOut}},
		{"note", "01 0200 0100 0300 616263", Event{Kind: PeerMessageReceived, Instance: 2, From: 1, Message: []byte("abc")}},
		{"stream", "0a 0100 0500000000000000 09000000 0100 02000000",
			Event{Kind: ResponseStarted, Instance: 1, Outcome: policy.Outcome{ID: 5, Backend: 9, Attempt: 1, Duration: 2}}},
		{"start", "05 0100 0700000000000000 03000000 613d31",
			Event{Kind: InstanceStarted, Instance: 1, Seed: 7, Settings: []byte("a=1")}},
		{"stop", "06 0100", Event{Kind: InstanceStopped, Instance: 1}},
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
				t.Errorf("%s cut to %d bytes was taken", c.name, n)
			}
		}
	}
}

func TestBadFrames(t *testing.T) {
	if _, err := ReadBatch(strings.NewReader(""), nil); !errors.Is(err, io.EOF) {
		t.Errorf("end of input: %v", err)
	}
	for name, b := range map[string][]byte{
		"cut header": {1, 2, 3},
		"cut body":   frame(1, 1, 1, []byte{4, 0, 0, 0})[:22],
		"huge":       append(unhex(t, "01000000 01000000 ffffffff 0000000000000000"), 4),
	} {
		if _, err := ReadBatch(bytes.NewReader(b), nil); err == nil || err == io.EOF {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, b := range map[string]Batch{
		"unknown event":    {Count: 1, Body: []byte{99, 0, 0}},
		"bytes left over":  {Count: 1, Body: unhex(t, "06 0100 00")},
		"too long a list":  {Count: 1, Body: unhex(t, "08 0300 01 2900000000000000 ffffffff 0000")},
		"unknown outcome":  {Count: 1, Body: unhex(t, "02 0100 09000000 63 01000000 00")},
		"too long a note":  {Count: 1, Body: unhex(t, "01 0200 0100 ffff 61")},
		"too many records": {Count: 2, Body: unhex(t, "06 0100")},
	} {
		if err := b.Decode(func(*Event) {}); err == nil {
			t.Errorf("%s was taken", name)
		}
	}
}

func TestActions(t *testing.T) {
	for want, act := range map[string]func(*Reply){
		"41 0300 c4913a5d7f250800 da94810000000000 074a1203": func(r *Reply) { r.Send(0x8257f5d3a91c4, 0x03124a07, 0x8194da) },
		"42 0300 0500000000000000 e8030000":                  func(r *Reply) { r.Reject(5, 1000) },
		"43 0300 0500000000000000":                           func(r *Reply) { r.Fail(5) },
		"45 0300 7afd870000000000 4d000000":                  func(r *Reply) { r.SetTimer(0x87fd7a, 77) },
		"46 0300 09000000":                                   func(r *Reply) { r.Probe(9) },
		"48 0300 0100 0400 68692037":                         func(r *Reply) { r.SendToPeer(1, []byte("hi 7")) },
		"49 0300 1100 74776f2073657276657273206b6e6f776e":    func(r *Reply) { r.Log("two servers known") },
		"4a 0300 0200 6e6f":                                  func(r *Reply) { r.InstanceFailed("no") },
		"4b 0300 01":                                         func(r *Reply) { r.WatchEndpoints() },
		"4d 0300 90f6890000000000 00008040 c0c62d00":         func(r *Reply) { r.AddToCounter(0x89f690, 4, 3000000) },
	} {
		var r Reply
		r.Begin(12)
		r.SetInstance(3)
		act(&r)
		body := unhex(t, want)
		head := binary.LittleEndian.AppendUint32([]byte{12, 0, 0, 0}, uint32(len(body)))
		if got := r.Bytes(); !bytes.Equal(got, append(head, body...)) {
			t.Errorf("got %x, want %s", got, want)
		}
	}
}

const profile = `balancers=2
self-index=1
unknown.key=7
report.names=served_ps,pending
membership-mode=on_request
guarantees.cold-from=0.16
request-classes.count=1
request-classes.0.promise-us=600000
request-classes.0.repeat=dedup
request-classes.0.group=cell
tariffs.count=1
tariffs.0.rate=1.5
tariffs.0.burst=6
`

func TestSettings(t *testing.T) {
	got, err := ParseSettings([]byte(profile))
	want := policy.Settings{Self: 1, Gateways: 2, PollEndpoints: true, SlowStartMinFraction: 0.16,
		Report:  []policy.Metric{policy.Unused, policy.Waiting},
		Classes: []policy.Class{{LatencyObjective: 600000, Idempotency: policy.WithIdempotencyKey, DeduplicationScope: policy.ScopeCell}},
		Plans:   []policy.Plan{{Rate: 1.5, Burst: 6, Price: 1}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, err)
	}
	for key, bad := range map[string]string{
		"balancers":                "balancers=two",
		"request-classes.0.repeat": "request-classes.0.repeat=perhaps",
		"request-classes.count":    "request-classes.count=1000000000",
		"tariffs.0.rate":           "tariffs.0.rate=",
	} {
		if _, err := ParseSettings([]byte(profile + bad + "\n")); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(uint32(1), unhex(f, "04 0300 4d000000"))
	f.Add(uint32(1), unhex(f, "08 0300 01 2900000000000000 ffffffff 0000"))
	f.Add(uint32(2), unhex(f, "01 0200 0100 0300 616263 06 0100"))
	f.Fuzz(func(t *testing.T, count uint32, body []byte) {
		b := Batch{Count: count, Body: body}
		taken := 0
		err := b.Decode(func(*Event) { taken++ })
		if err == nil && uint32(taken) != count {
			t.Errorf("%d of %d records taken without an error", taken, count)
		}
	})
}
