package logic_test

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/logic"
)

// fillFleet has a fleet of proxies place connections on the same servers. Group sizes follow Zipf's law. Delays are not
// reported, and each proxy knows only its own few connections. The load of a server is its number of connections plus three
// for each group that it holds. fillFleet returns the load of the fullest server over the mean one and the number of
// groups held, summed over all servers.
func fillFleet(t *testing.T, proxies, servers, groups, connections int) (fullest float64, groupsHeld int) {
	rng := rand.New(rand.NewSource(1))
	fleet := make([]*testHost, proxies)
	for i := range fleet {
		fleet[i] = newSeededHost(t, int64(i+1), proxies, servers)
	}
	cumulativeShares := make([]float64, groups)
	sum := 0.0
	for i := range cumulativeShares {
		sum += 1 / float64(i+1)
		cumulativeShares[i] = sum
	}
	load, members := map[logic.ServerID]float64{}, map[logic.ServerID]map[logic.GroupID]bool{}
	for range connections {
		h := fleet[rng.Intn(proxies)]
		a := h.newAttachment(0)
		for x := rng.Float64() * sum; a.Group == 0 || x > cumulativeShares[a.Group-1]; {
			a.Group++
		}
		id := h.mustSend(a).Server
		h.RecordEstablished(h.now, a)
		if members[id] == nil {
			members[id] = map[logic.GroupID]bool{}
		}
		if !members[id][a.Group] {
			members[id][a.Group] = true
			load[id] += 3
			groupsHeld++
		}
		load[id]++
	}
	sum, most := 0.0, 0.0
	for _, x := range load {
		sum, most = sum+x, max(most, x)
	}
	return most / (sum / float64(servers)), groupsHeld
}

// Some three hundred proxies sent the large groups to their first server until it had seven times the mean load. It dropped
// its clients, which came back and were sent there again.
func TestTheFirstServersOfLargeGroupsAreNotOverfilled(t *testing.T) {
	fullest, groupsHeld := fillFleet(t, 294, 87, 65, 2900)
	require.Less(t, fullest, 5.0)
	require.Less(t, groupsHeld, 320, "groups stay on few servers: without a ranking of servers the sum is 1,500")
	fullest, groupsHeld = fillFleet(t, 279, 83, 30, 1500)
	require.Less(t, fullest, 5.0)
	require.Less(t, groupsHeld, 200)
}
