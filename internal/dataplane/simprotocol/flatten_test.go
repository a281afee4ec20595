package simprotocol

import (
	"reflect"
	"strings"
	"testing"
)

// Nested JSON and the simulator's paths give the same settings.
func TestParseJSONMatchesParseSettings(t *testing.T) {
	const nested = `{
		"balancers":3,
		"ceilings":{"peers":true,"max-open":20000},
		"localities":["a","b"],
		"report":{"names":["busy_reqs","other"],"via":"pull"},
		"prices":{"cross-zone":0.5},
		"not-known":[{"x":null}],
		"request-classes":[
			{"name":"lookup","promise-us":1000000,"repeat":"dedup","group":"zone"}],
		"tariffs":[
			{"name":"team","rate":1.25,"burst":7.0},
			{"name":"other","rate":2.0,"burst":8.0}]}`
	const flat = "balancers=3\nceilings.peers=true\nceilings.max-open=20000\nlocalities=a,b\n" +
		"report.names=busy_reqs,other\nreport.via=pull\nprices.cross-zone=0.5\n" +
		"request-classes.count=1\nrequest-classes.0.name=lookup\n" +
		"request-classes.0.promise-us=1000000\n" +
		"request-classes.0.repeat=dedup\nrequest-classes.0.group=zone\n" +
		"tariffs.count=2\ntariffs.0.rate=1.25\ntariffs.0.burst=7.0\n" +
		"tariffs.1.rate=2.0\ntariffs.1.burst=8.0\n"
	want, err := ParseSettings([]byte(flat))
	if err != nil {
		t.Fatal(err)
	}
	got, host, err := ParseJSON([]byte(nested))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("settings %+v, %v; want %+v", got, err, want)
	}
	if !reflect.DeepEqual(host.Classes, []string{"lookup"}) ||
		!reflect.DeepEqual(host.Plans, []string{"team", "other"}) ||
		!reflect.DeepEqual(host.Zones, []string{"a", "b"}) ||
		host.MaxOpenRequests != 20000 || host.ReportVia != "pull" {
		t.Errorf("host %+v", host)
	}
	malformed := strings.Replace(nested, `"balancers":3`, `"balancers":true`, 1)
	if _, _, err := ParseJSON([]byte(malformed)); err == nil {
		t.Error("a malformed value was accepted")
	}
}
