package distributor

import (
	"time"

	"mothcleat/internal/controlplane/distribution"
)

// Position is a position as operators see it.
type Position struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

func newPosition(p distribution.Position) Position {
	return Position{p.Epoch, p.Revision, p.Digest.String()}
}

// ReplicaStatus is what a Client tells of its replica.
type ReplicaStatus struct {
	Position Position `json:"position"`
	Records  int      `json:"records"`
	// that is watched, or tried; "": none can be now
	Server        string                     `json:"server"`
	Live          bool                       `json:"live"` // it has all that this server told of
	SourceAge     time.Duration              `json:"source_age"`
	ReceivedBytes uint64                     `json:"received_bytes"`
	Counts        distribution.ReplicaCounts `json:"counts"`
}

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

// ServerStatus is what a Server tells of itself.
type ServerStatus struct {
	Position Position `json:"position"`
	Replicas int      `json:"replicas"`
	// the earliest revision of a replica that is live
	Acknowledged uint64 `json:"acknowledged"`
	// revisions from there to the server's
	Lag    uint64                       `json:"lag"`
	Counts distribution.PublisherCounts `json:"counts"`
}

// Status is what the server is now.
func (s *Server) Status() ServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, acknowledged := s.publisher.Position(), s.publisher.Acknowledged()
	return ServerStatus{
		Position: newPosition(position), Replicas: len(s.streams), Acknowledged: acknowledged,
		Lag: position.Revision - min(acknowledged, position.Revision), Counts: s.publisher.Counts(),
	}
}
