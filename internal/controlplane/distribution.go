package controlplane

import (
	"mothcleat/internal/controlplane/distribution"
	"mothcleat/internal/controlplane/distributor"
)

// setUpDistribution sets up the distribution of the endpoint list: the server that a voter uses,
// and, if one gateway watches the registry for all, this process's replica of the list.
func (n *Node) setUpDistribution() {
	config := &n.config
	n.streams = distributor.NewServer(
		distributor.NewPublisherSettings(
			config.Fleet, config.SourceTimeout, config.ChangeLogEntries),
		config.Log)
	if config.NewSource == nil {
		return
	}
	n.endpoints = distributor.NewSource(distributor.SourceOptions{
		Direct:        config.NewSource,
		SourceTimeout: config.SourceTimeout,
		Client: distributor.ClientOptions{
			Link:   n.client,
			Places: config.Places,
			File:   distributor.StatePath(config.Dir),
			Log:    config.Log,
			Settings: distributor.NewReplicaSettings(config.Fleet, config.ID,
				n.self.Incarnation, config.Place, config.SourceTimeout),
		},
	})
	n.roles.Add(distribution.Role, n.endpoints.Work)
}

// DistributionStatus is what this process knows about the distribution of the endpoint list.
type DistributionStatus struct {
	Gateway string                     `json:"gateway"`
	Server  *distributor.ServerStatus  `json:"server,omitempty"`  // of a voter
	Replica *distributor.ReplicaStatus `json:"replica,omitempty"` // if the list is distributed
}

// DistributionStatus returns what this process knows about the distribution of the endpoint list.
func (n *Node) DistributionStatus() DistributionStatus {
	result := DistributionStatus{Gateway: n.self.ID}
	if n.localReplica() != nil {
		status := n.streams.Status()
		result.Server = &status
	}
	if n.endpoints != nil {
		status := n.endpoints.Client().Status()
		result.Replica = &status
	}
	return result
}
