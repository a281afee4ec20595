package distributor

import (
	"time"

	"mothcleat/internal/controlplane/distribution"
)

// Position is a distribution.Position with the digest as text.
type Position struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

func newPosition(p distribution.Position) Position {
	return Position{p.Epoch, p.Revision, p.Digest.String()}
}

// ReplicaStatus is the status of a Client's replica.
type ReplicaStatus struct {
	Position Position `json:"position"`
	Records  int      `json:"records"`
	// Server is the id of the server that is watched or being connected to; empty if there is none.
	Server string `json:"server"`
	// Live is set if the replica has everything that its server has announced.
	Live bool `json:"live"`
	// SourceAge is the time since the server applied the source's last command. Before the first
	// heartbeat it is the time since the client was created.
	SourceAge     time.Duration              `json:"source_age"`
	ReceivedBytes uint64                     `json:"received_bytes"`
	Counts        distribution.ReplicaCounts `json:"counts"`
}

// publishStatus stores the status that Status returns.
func (c *Client) publishStatus() {
	state := c.replica.State()
	status := &ReplicaStatus{
		Position: newPosition(state.Position()),
		Records:  state.Len(),
		Live:     c.replica.Live(),
		Counts:   c.replica.Counts(),
	}
	if server, ok := c.replica.Server(); ok {
		status.Server = server.ID
	}
	status.SourceAge, _ = c.replica.SourceAge(c.clock.now())
	c.status.Store(status)
}

// ServerStatus is the status of a Server.
type ServerStatus struct {
	Position Position `json:"position"`
	Replicas int      `json:"replicas"`
	// Acknowledged is the earliest revision that a live replica has acknowledged, or the server's
	// revision if no replica is live.
	Acknowledged uint64 `json:"acknowledged"`
	// Lag is the number of revisions from Acknowledged to Position.
	Lag    uint64                       `json:"lag"`
	Counts distribution.PublisherCounts `json:"counts"`
}

// Status returns the current status.
func (s *Server) Status() ServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, acknowledged := s.publisher.Position(), s.publisher.Acknowledged()
	return ServerStatus{
		Position: newPosition(position), Replicas: len(s.streams), Acknowledged: acknowledged,
		Lag: position.Revision - min(acknowledged, position.Revision), Counts: s.publisher.Counts(),
	}
}
