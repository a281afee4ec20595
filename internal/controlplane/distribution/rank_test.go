package distribution

import (
	"fmt"
	"slices"
	"testing"
)

func fiveServers() []Server {
	var servers []Server
	for i, zone := range []string{"s1", "s1", "s2", "n1", "n2"} {
		region := map[byte]string{'s': "south", 'n': "north"}[zone[0]]
		servers = append(servers,
			Server{ID: fmt.Sprintf("control-%d", i), Place: Place{Zone: zone, Region: region}})
	}
	return servers
}

// TestRankIsByDistance checks that the servers of the replica's zone come first, then those of its
// region.
func TestRankIsByDistance(t *testing.T) {
	for n := range 50 {
		ranked := Rank(fmt.Sprintf("gateway-%d", n), Place{"s2", "south"}, fiveServers())
		var zones []string
		for _, s := range ranked {
			zones = append(zones, s.Place.Zone)
		}
		if zones[0] != "s2" || zones[1] != "s1" || zones[2] != "s1" {
			t.Fatalf("the zones are in the order %v", zones)
		}
	}
}

// TestRankSpreadsEvenly checks that servers at the same distance get even shares of the replicas,
// and that removing a server moves only its replicas.
func TestRankSpreadsEvenly(t *testing.T) {
	const replicas = 6200
	servers := fiveServers()
	shares := map[string]int{}
	for n := range replicas {
		id := fmt.Sprintf("gateway-%d", n)
		ranked := Rank(id, Place{}, servers)
		first := ranked[0]
		shares[first.ID]++
		remaining := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool {
			return s.ID == "control-2"
		})
		if now := Rank(id, Place{}, remaining)[0]; first.ID != "control-2" && now != first {
			t.Fatalf("%s moved from %s to %s", id, first.ID, now.ID)
		} else if first.ID == "control-2" && now != ranked[1] {
			t.Fatalf("%s moved to %s instead of its second server", id, now.ID)
		}
	}
	for id, share := range shares {
		if share < replicas/5*9/10 || share > replicas/5*11/10 {
			t.Errorf("%s has %d of %d replicas", id, share, replicas)
		}
	}
}

// TestEmptyPlaceNamesMatchNothing checks that empty names of zones and regions do not match.
func TestEmptyPlaceNamesMatchNothing(t *testing.T) {
	if d := (Place{}).distance(Place{}); d != 2 {
		t.Errorf("the distance of two empty places is %d", d)
	}
	if d := (Place{"a", "south"}).distance(Place{"a", "north"}); d != 2 {
		t.Errorf("the distance of zones of the same name in two regions is %d", d)
	}
}
