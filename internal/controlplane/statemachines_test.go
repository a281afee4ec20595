package controlplane

import (
	"maps"
	"slices"
	"testing"

	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/controlplane/lease"
)

// The complete state of a state machine with a method Changes is sent to watchers at each change.
// Only state machines that are watched or whose Query result is a few bytes may have the method, and
// none that holds data for each process or tenant.
func TestOnlySmallStateMachinesAreSentAtEachChange(t *testing.T) {
	var sent []string
	machines := NewStateMachines(lease.DefaultConfig(), configversion.DefaultConfig())
	for name, machine := range machines {
		if _, counts := machine.(interface{ Changes() uint64 }); counts {
			sent = append(sent, name)
		}
	}
	slices.Sort(sent)
	want := slices.Sorted(maps.Keys(map[string]bool{
		lease.MachineName: true, endpointlist.MachineName: true, distribution.MachineName: true,
	}))
	if !slices.Equal(sent, want) {
		t.Errorf("state machines that are sent at each change: %v, want %v", sent, want)
	}
}
