package fleetnode_test

import (
	"testing"

	"mothcleat/agree"
	"mothcleat/auditlog"
	"mothcleat/budget"
	"mothcleat/checkpoint"
	"mothcleat/internal/budgets"
	"mothcleat/internal/distributor"
	"mothcleat/internal/fleetnode"
	"mothcleat/internal/rollout"
	"mothcleat/internal/testing/fixture"
	"mothcleat/lease"
	"mothcleat/roster"
	"mothcleat/usageexport"
	"mothcleat/versions"
)

// Operators' tools and the logs of older builds know these keys.
func TestJSONKeys(t *testing.T) {
	fixture.Equal(t, "testdata/operator-keys.txt", fixture.JSONKeys(
		fleetnode.Here{}, fleetnode.Rights{}, fleetnode.Versions{}, fleetnode.Distribution{}, agree.List{}, lease.View{}, usageexport.View{},
		budget.View{}, budget.Right{}, budget.Figures{}, budgets.Figures{}, budgets.Line{}, rollout.Here{}, rollout.Fetched{},
		distributor.ReplicaStatus{}, distributor.ServerStatus{}, versions.View{}, auditlog.Stretch{}, auditlog.Gap{}, auditlog.Sum{},
	))
	fixture.Equal(t, "testdata/command-keys.txt", fixture.JSONKeys(
		lease.Op{}, lease.Result{}, usageexport.Op{}, usageexport.Result{}, checkpoint.Op{}, checkpoint.Entry{}, checkpoint.Result{}, budget.Result{},
		roster.Op{}, roster.Head{}, roster.List{}, versions.Op{}, versions.Result{}, versions.Told{}, versions.Target{}, versions.Standing{},
		agree.MembershipQuery{}, agree.MembershipAnswer{}, auditlog.Entry{}, auditlog.Head{}, auditlog.Fold{},
	))
}
