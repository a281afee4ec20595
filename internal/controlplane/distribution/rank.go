package distribution

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Server is a control-plane server that a replica may watch.
type Server struct {
	// ID identifies the server. All replicas must use the same id.
	ID      string
	Address string
	Place   Place
}

// Place is the location of a process. An empty name matches no other, not even an empty one.
type Place struct{ Zone, Region string }

// distance returns 0 within a zone, 1 within a region and 2 otherwise.
func (p Place) distance(other Place) int {
	switch {
	case p.Zone != "" && p == other:
		return 0
	case p.Region != "" && p.Region == other.Region:
		return 1
	}
	return 2
}

// Rank returns the servers in the order in which a replica tries them: the servers of its zone,
// then those of its region, then the others. Each group is ordered by rendezvous hashing, so that
// the servers of a zone share its replicas evenly, and adding or removing a server moves only the
// replicas of that server.
func Rank(replica string, place Place, servers []Server) []Server {
	ranked := slices.Clone(servers)
	slices.SortFunc(ranked, func(a, b Server) int {
		return cmp.Or(
			cmp.Compare(place.distance(a.Place), place.distance(b.Place)),
			cmp.Compare(rendezvous(replica, b.ID), rendezvous(replica, a.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return ranked
}

// rendezvous returns the weight of a server for a replica.
func rendezvous(replica, server string) uint64 { return xxh3.HashString(replica + "\x00" + server) }
