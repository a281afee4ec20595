package distribution

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Server is a control-plane server that a replica may watch.
type Server struct {
	// ID is the same for all replicas.
	ID      string
	Address string
	Place   Place
}

// Place is where a process runs. An empty name matches no other.
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

// Rank returns the servers in the order in which a replica tries them: those of its zone, then of
// its region, then the others, each group ordered by rendezvous hashing. So the servers of a zone
// share its replicas evenly, and only the replicas of a server that is added or removed move.
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

// rendezvous returns the weight that a replica gives a server.
func rendezvous(replica, server string) uint64 { return xxh3.HashString(replica + "\x00" + server) }
