package lab

import (
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/consul/api"
)

// The official Consul client works with the stand-in: it reads back what it registers, with checks,
// maintenance and weights, and blocking queries return on changes.
func TestOfficialClientReadsTheStandIn(t *testing.T) {
	c, err := NewConsul(1)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	client, err := api.NewClient(&api.Config{Address: c.Address})
	if err != nil {
		t.Fatal(err)
	}
	want := &api.AgentServiceRegistration{
		ID:      "q-1",
		Name:    "quotes",
		Address: "127.0.0.9",
		Port:    7001,
		Tags:    []string{"blue"},
		Meta:    map[string]string{"cell": "3"},
		Weights: &api.AgentWeights{Passing: 4, Warning: 2},
		Check:   &api.AgentServiceCheck{TTL: "10s", Status: api.HealthPassing},
	}
	if err := client.Agent().ServiceRegister(want); err != nil {
		t.Fatal(err)
	}
	list, meta, err := client.Health().Service("quotes", "", true, nil)
	if err != nil || len(list) != 1 {
		t.Fatalf("%d entries, %v", len(list), err)
	}
	got := list[0].Service
	if got.ID != want.ID || got.Address != want.Address || got.Port != want.Port || !reflect.DeepEqual(got.Tags, want.Tags) ||
		got.Meta["cell"] != "3" || got.Weights != *want.Weights ||
		got.CreateIndex == 0 ||
		list[0].Checks.AggregatedStatus() != api.HealthPassing {
		t.Errorf("read back %+v", got)
	}
	if !meta.KnownLeader || meta.LastIndex == 0 {
		t.Errorf("meta %+v", meta)
	}
	// A blocking query returns when the state changes.
	woken := make(chan uint64, 1)
	go func() {
		_, m, err := client.Health().
			Service("quotes", "", false, &api.QueryOptions{WaitIndex: meta.LastIndex, WaitTime: within})
		if err != nil {
			t.Error(err)
			woken <- 0
			return
		}
		woken <- m.LastIndex
	}()
	if err := client.Agent().UpdateTTL("service:q-1", "", api.HealthCritical); err != nil {
		t.Fatal(err)
	}
	select {
	case index := <-woken:
		if index <= meta.LastIndex {
			t.Errorf("index %d after %d", index, meta.LastIndex)
		}
	case <-time.After(within):
		t.Fatal("the blocking query did not return")
	}
	status := func() string {
		list, _, err := client.Health().Service("quotes", "", false, nil)
		if err != nil || len(list) != 1 {
			t.Fatalf("%d entries, %v", len(list), err)
		}
		return list[0].Checks.AggregatedStatus()
	}
	if got := status(); got != api.HealthCritical {
		t.Errorf("status %s", got)
	}
	if err := client.Agent().UpdateTTL("service:q-1", "", api.HealthPassing); err != nil {
		t.Fatal(err)
	}
	if err := client.Agent().EnableServiceMaintenance("q-1", "upgrade"); err != nil {
		t.Fatal(err)
	}
	if got := status(); got != api.HealthMaint {
		t.Errorf("status %s", got)
	}
	if err := client.Agent().DisableServiceMaintenance("q-1"); err != nil {
		t.Fatal(err)
	}
	catalogue, _, err := client.Catalog().Service("quotes", "", nil)
	if err != nil || len(catalogue) != 1 || catalogue[0].ServiceID != "q-1" ||
		catalogue[0].ServicePort != 7001 {
		t.Errorf("catalogue %+v, %v", catalogue, err)
	}
	if err := client.Agent().ServiceDeregister("q-1"); err != nil {
		t.Fatal(err)
	}
	if list, _, err := client.Health().
		Service("quotes", "", false, nil); err != nil ||
		len(list) != 0 {
		t.Errorf("%d entries after it was deregistered, %v", len(list), err)
	}
	if err := client.Agent().ServiceDeregister("q-1"); err == nil {
		t.Error("deregistered twice")
	}
}
