package policy

import (
	"encoding/hex"
	"fmt"
	"reflect"
	"testing"

	"mothcleat/internal/testing/fixture"
)

// Peers of earlier builds send and read messages in this format.
func TestPeerMessageFormat(t *testing.T) {
	usage := usageEntry{
		id: 0x1122334455, plan: 2, first: 300, spread: 5, consumed: 1000, requested: 1100,
		newlyRequested: 77, queryHalves: 6, queryNumber: 9, queriesCeiling: true,
		remaining: unpackFraction(130),
	}
	granted := grantEntry{
		id: 0x66778899aa, fraction: unpackFraction(200), queryNumber: 9, granted: true,
	}
	fault := faultReport{backend: 0xdeadbeef, subject: 3}
	raw := messageHeader(0x01020304, 12.5, 99.125)
	raw = usage.appendTo(raw)
	raw = granted.appendTo(raw)
	raw = fault.appendTo(raw)
	fixture.Equal(t, "testdata/peer-message.hex", []byte(hex.EncodeToString(raw)))

	fromFile, err := hex.DecodeString(string(fixture.Read(t, "testdata/peer-message.hex")))
	if err != nil {
		t.Fatal(err)
	}
	got, ok := parsePeerMessage(fromFile)
	want := peerMessage{
		incarnation: 0x01020304, inFlight: 12.5, onTime: 99.125,
		entries: []usageEntry{usage}, grants: []grantEntry{granted}, faults: []faultReport{fault},
	}
	if !ok || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %t, %+v, want %+v", ok, got, want)
	}
}

// Stored snapshots contain this checksum of the settings, so it must not change between builds.
func TestSettingsSum(t *testing.T) {
	settings := Settings{
		Self: 1, Gateways: 3, Peers: true, Counter: true,
		Classes: []Class{
			{
				LatencyObjective: 1, DeduplicationWindow: 2, PriorityWeight: 3.5,
				Idempotency: Idempotent, DeduplicationScope: ScopeAll,
			},
			{
				LatencyObjective: 4, DeduplicationWindow: 5, PriorityWeight: 6.5,
				Idempotency: WithIdempotencyKey, DeduplicationScope: ScopeZone,
			},
			{
				LatencyObjective: 7, DeduplicationWindow: 8, PriorityWeight: 9.5,
				Idempotency: NotIdempotent, DeduplicationScope: ScopeCell,
			},
		},
		Plans: []Plan{
			{
				Rate: 1.5, Burst: 2.5, ConcurrencyLimit: 3,
				CeilingRate: 4.5, CeilingBurst: 5.5, CeilingSlack: 6.5,
				Price: 9.5, OverQuotaRevenue: 7.5, OverQuotaCost: 8.5,
			},
		},
	}
	fixture.Equal(t, "testdata/settings-sum.txt", fmt.Appendf(nil, "%016x", settings.checksum()))
}
