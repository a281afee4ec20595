package configversion

import (
	"strings"
	"testing"
	"time"
)

// A rollout advances from one gateway to all. The previous version expires when all gateways have
// reported the new one, or after the TTL. A withdrawal restores the previous version under a new
// number.
func TestRolloutAndWithdrawal(t *testing.T) {
	c := DefaultConfig()
	m := enrolled(t, c, gatewayA, gatewayB)
	proposal := Command{Kind: KindPropose, Item: "plans", Digest: digestOne, Size: 3, Stage: StageOne,
		Pilots: []string{"a"}}
	number := mustApply(t, m, 1*time.Second, gatewayA, proposal)
	if number != 2 { // 1 stands for each gateway's own configuration
		t.Fatalf("the first proposal has number %d", number)
	}
	target := m.LeaseFor(1*time.Second, gatewayB).Targets[0]
	if target.Number != 1 || len(target.Overlapping) != 0 {
		t.Errorf("a gateway that is not a pilot gets %+v", target)
	}
	target = m.LeaseFor(1*time.Second, gatewayA).Targets[0]
	if target.Number != 2 || len(target.Leases) != 2 {
		t.Errorf("the pilot gets %+v", target)
	}
	if len(target.Overlapping) != 1 || target.Overlapping[0].Number != 1 {
		t.Errorf("the pilot's overlapping versions are %+v", target.Overlapping)
	}
	second := Command{Kind: KindPropose, Item: "plans", Digest: digestTwo, Stage: StageAll, Number: 2}
	if r := apply(t, m, 1*time.Second, gatewayB, second); r.OK {
		t.Error("a second rollout started during the first")
	}
	if commands := nextCommands(c, m, 2*time.Second); len(commands) != 0 {
		t.Errorf("before any gateway has the version in force the controller sends %+v", commands)
	}
	report := Command{Kind: KindReport, Item: "plans", Number: 2}
	mustApply(t, m, 2*time.Second, gatewayA, report)
	commands := nextCommands(c, m, 4*time.Second)
	if len(commands) != 1 || commands[0].Kind != KindAdvance || commands[0].Stage != StageAll {
		t.Fatalf("after the first stage the controller sends %+v", commands)
	}
	mustApply(t, m, 4*time.Second, gatewayA, commands[0])
	target = m.LeaseFor(4*time.Second, gatewayB).Targets[0]
	if target.Number != 2 || target.Leases[1] != c.TTL {
		t.Errorf("a gateway that lags behind gets %+v", target)
	}
	view := m.View(5 * time.Second)
	lagging := LaggingReplicas(&view)
	if len(lagging) != 1 || lagging[0].Member != gatewayB || lagging[0].Target != 2 {
		t.Errorf("the lagging replicas are %+v", lagging)
	}
	mustApply(t, m, 5*time.Second, gatewayB, report)
	target = m.LeaseFor(5*time.Second, gatewayB).Targets[0]
	if len(target.Overlapping) != 0 || len(target.Leases) != 1 {
		t.Errorf("when all gateways have the version in force one gets %+v", target)
	}
	withdrawal := Command{Kind: KindWithdraw, Item: "plans", Number: 2, Why: "wrong"}
	number = mustApply(t, m, 6*time.Second, gatewayB, withdrawal)
	target = m.LeaseFor(6*time.Second, gatewayA).Targets[0]
	if number != 3 || target.Number != 3 || target.Digest != "" || target.Leases[2] != 0 {
		t.Errorf("after the withdrawal, which made version %d, a gateway gets %+v", number, target)
	}
	advance := Command{Kind: KindAdvance, Item: "plans", Number: 2, Stage: StageAll}
	if r := apply(t, m, 7*time.Second, gatewayA, advance); r.OK {
		t.Error("a withdrawn version was advanced")
	}
}

// A rollout is paused when a gateway rejects the version, and then only an operator can advance it.
func TestRejectionPausesRollout(t *testing.T) {
	c := DefaultConfig()
	m := enrolled(t, c, gatewayA)
	mustApply(t, m, 0, gatewayA, Command{Kind: KindPropose, Item: "plans", Digest: digestOne,
		Stage: StageOne, Pilots: []string{"a"}})
	mustApply(t, m, 1, gatewayA, Command{Kind: KindReport, Item: "plans", Number: 2, Rejected: true,
		Why: "no such plan"})
	// A report of the version that is in force everywhere does not revoke the rejection.
	mustApply(t, m, 1, gatewayA, Command{Kind: KindReport, Item: "plans", Number: 1})
	commands := nextCommands(c, m, 2)
	if len(commands) != 1 || commands[0].Kind != KindPause ||
		!strings.Contains(commands[0].Why, "no such plan") {
		t.Fatalf("the controller sends %+v", commands)
	}
	mustApply(t, m, 3, gatewayA, commands[0])
	if target := m.LeaseFor(3, gatewayA).Targets[0]; target.Number != 1 {
		t.Errorf("the target of the gateway that rejects the version is %d", target.Number)
	}
	advance := Command{Kind: KindAdvance, Item: "plans", Number: 2, Stage: StageAll, Term: 1}
	if r := apply(t, m, 4, gatewayA, advance); r.OK {
		t.Error("the controller advanced a paused rollout")
	}
	advance.Term = 0
	mustApply(t, m, 4, gatewayA, advance)
}
