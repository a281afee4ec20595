package controlplane_test

import (
	"testing"

	"mothcleat/internal/controlplane"
	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/allocator"
	"mothcleat/internal/controlplane/auditlog"
	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/distributor"
	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/rollout"
	"mothcleat/internal/controlplane/usageexport"
	"mothcleat/internal/testing/fixture"
)

// Guards against changes of JSON keys that operators' tools and the logs of older builds use.
func TestJSONKeys(t *testing.T) {
	fixture.Equal(t, "testdata/operator-keys.txt", fixture.JSONKeys(
		controlplane.LocalStatus{},
		controlplane.AllocationStatus{},
		controlplane.VersionsStatus{},
		controlplane.DistributionStatus{},
		consensus.Membership{},
		lease.View{},
		usageexport.View{},
		allocation.View{},
		allocation.HolderStatus{},
		allocation.LeaderStats{},
		allocator.ClientStats{},
		allocator.RecordLine{},
		rollout.Status{},
		rollout.FetchStats{},
		distributor.ReplicaStatus{},
		distributor.ServerStatus{},
		configversion.View{},
		auditlog.Interval{},
		auditlog.Gap{},
		auditlog.VersionCounts{},
	))
	fixture.Equal(t, "testdata/command-keys.txt", fixture.JSONKeys(
		lease.Command{},
		lease.Result{},
		usageexport.Command{},
		usageexport.Result{},
		checkpoint.Command{},
		checkpoint.Entry{},
		checkpoint.Result{},
		allocation.Result{},
		endpointlist.Op{},
		endpointlist.Head{},
		endpointlist.List{},
		configversion.Command{},
		configversion.Result{},
		configversion.LeaseResponse{},
		configversion.Target{},
		configversion.MemberStatus{},
		consensus.MembershipQuery{},
		consensus.MembershipAnswer{},
		auditlog.Entry{},
		auditlog.Head{},
		auditlog.Checkpoint{},
	))
}
