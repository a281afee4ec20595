package distribution

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Server is one control machine that serves replicas.
type Server struct {
	ID      string // the same for all replicas
	Address string
	Place   Place
}

// Place is where a process runs. An empty name is near to nothing.
type Place struct{ Zone, Region string }

// distance is 0 within a zone, 1 within a region, 2 otherwise.
func (p Place) distance(other Place) int {
	switch {
	case p.Zone != "" && p == other:
		return 0
	case p.Region != "" && p.Region == other.Region:
		return 1
	}
	return 2
}

// Rank gives the servers in the order in which a replica tries them: its zone first, then its
// region, then the rest; within each by rendezvous hashing. So every server of a zone gets the same
// share of the zone's replicas, and where one is added or lost, only the replicas move that come to
// it or were on it.
func Rank(replica string, at Place, servers []Server) []Server {
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b Server) int {
		return cmp.Or(
			cmp.Compare(at.distance(a.Place), at.distance(b.Place)),
			cmp.Compare(rendezvous(replica, b.ID), rendezvous(replica, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return ranked
}

// rendezvous is the weight that a replica gives a server.
func rendezvous(replica, server string) uint64 { return xxh3.HashString(replica + "\x00" + server) }
