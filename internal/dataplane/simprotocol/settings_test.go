package simprotocol

import (
	"reflect"
	"strings"
	"testing"

	"mothcleat/internal/dataplane/policy"
)

const validSettings = `balancers=2
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

func TestParseSettings(t *testing.T) {
	got, err := ParseSettings([]byte(validSettings))
	want := policy.Settings{Self: 1, Gateways: 2, PollEndpoints: true, SlowStartMinFraction: 0.16,
		LoadReportMetrics: []policy.Metric{policy.Unused, policy.QueuedRequests},
		Classes: []policy.Class{{LatencyObjective: 600000, Idempotency: policy.WithIdempotencyKey,
			DeduplicationScope: policy.ScopeCell}},
		Plans: []policy.Plan{{Rate: 1.5, Burst: 6, Price: 1}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v", got, err)
	}
	for key, bad := range map[string]string{
		"balancers":                "balancers=two",
		"request-classes.0.repeat": "request-classes.0.repeat=perhaps",
		"request-classes.count":    "request-classes.count=1000000000",
		"tariffs.0.rate":           "tariffs.0.rate=",
	} {
		_, err := ParseSettings([]byte(validSettings + bad + "\n"))
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}
