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

// State machines that count their changes are sent to watchers completely at each change. They are
// those that somebody watches, or whose Query is a few bytes; none that holds something for each
// process or tenant.
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
		t.Errorf("state machines that are sent at each change: %v, %v wanted", sent, want)
	}
}
