package controlplane

import (
	"mothcleat/internal/controlplane/consensus"
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributor"
)

// distribute sets up the distribution of the control state: the voter's side, and the list of servers.
func (n *Node) distribute() {
	cfg := &n.cfg
	n.streams = distributor.NewServer(distributor.NewPublisherSettings(cfg.Fleet, cfg.SourceTimeout, cfg.ChangeLogEntries), cfg.Log)
	if cfg.NewSource == nil {
		return
	}
	n.list = distributor.NewSource(distributor.SourceOptions{
		Direct: cfg.NewSource, SourceTimeout: cfg.SourceTimeout,
		Client: distributor.ClientOptions{
			Link: n.client, Places: cfg.Places, File: distributor.StatePath(cfg.Dir), Log: cfg.Log,
			Settings: distributor.NewReplicaSettings(cfg.Fleet, cfg.ID, n.me.Incarnation, cfg.Place, cfg.SourceTimeout),
		},
	})
	n.duties.Add(distribution.Role, n.list.Work)
}

// machines are new ones, of which the distribution's is served to replicas.
func (n *Node) machines() map[string]consensus.StateMachine {
	machines := NewStateMachines(n.cfg.LeaseConfig, n.versionRules())
	n.streams.Attach(machines[distribution.MachineName].(*distribution.Machine))
	return machines
}

// DistributionStatus is what this process knows of the distribution of the control state.
type DistributionStatus struct {
	Gateway string                     `json:"gateway"`
	Server  *distributor.ServerStatus  `json:"server,omitempty"`  // of a voter
	Replica *distributor.ReplicaStatus `json:"replica,omitempty"` // where the list of servers goes over it
}

// DistributionStatus tells it.
func (n *Node) DistributionStatus() DistributionStatus {
	d := DistributionStatus{Gateway: n.me.ID}
	if s := n.server.Load(); s != nil && s.Replica() != nil {
		status := n.streams.Status()
		d.Server = &status
	}
	if n.list != nil {
		status := n.list.Client().Status()
		d.Replica = &status
	}
	return d
}
