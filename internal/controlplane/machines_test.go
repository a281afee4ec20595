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

// Machines whose changes are told to watchers are written out whole at each change. They are those that somebody watches as
// a whole, or whose Query is a few bytes; none that holds something for each process or tenant.
func TestOnlySmallMachinesAreToldAtEachChange(t *testing.T) {
	var told []string
	for name, machine := range NewStateMachines(lease.DefaultConfig(), configversion.DefaultConfig()) {
		if _, counts := machine.(interface{ Changes() uint64 }); counts {
			told = append(told, name)
		}
	}
	slices.Sort(told)
	want := slices.Sorted(maps.Keys(map[string]bool{
		lease.MachineName: true, endpointlist.MachineName: true, distribution.MachineName: true,
	}))
	if !slices.Equal(told, want) {
		t.Errorf("machines that are told at each change: %v, %v wanted", told, want)
	}
}
