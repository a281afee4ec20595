package controlplane

import (
	"mothcleat/internal/controlplane/allocation"
	"mothcleat/internal/controlplane/checkpoint"
	"mothcleat/internal/controlplane/configversion"
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/endpointlist"
	"mothcleat/internal/controlplane/lease"
	"mothcleat/internal/controlplane/usageexport"
)

// NewStateMachines returns all state machines of the replicated state, by name.
func NewStateMachines(
	leaseConfig lease.Config, versionConfig configversion.Config,
) map[string]consensus.StateMachine {
	leases := lease.NewMachine(leaseConfig)
	return map[string]consensus.StateMachine{
		lease.MachineName:         leases,
		usageexport.MachineName:   usageexport.NewMachine(leases),
		checkpoint.MachineName:    checkpoint.NewMachine(leases),
		endpointlist.MachineName:  endpointlist.NewMachine(leases),
		distribution.MachineName:  distribution.NewMachine(leases),
		allocation.MachineName:    allocation.NewMachine(leases),
		configversion.MachineName: configversion.NewMachine(versionConfig, leases),
	}
}

// newStateMachines returns the state machines of this process's replica, and attaches the state
// machine of the distribution to the server of the streams.
func (n *Node) newStateMachines() map[string]consensus.StateMachine {
	versionConfig := configversion.DefaultConfig()
	if n.config.Versions != nil {
		versionConfig = *n.config.Versions
	}
	machines := NewStateMachines(n.config.LeaseConfig, versionConfig)
	n.streams.Attach(machines[distribution.MachineName].(*distribution.Machine))
	return machines
}
