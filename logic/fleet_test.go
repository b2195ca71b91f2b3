package logic_test

import (
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/logic"
)

// fillFleet is a whole fleet of instances that have placed so many connections, of groups as Zipf has them, before the same
// servers; nothing tells them of late messages, and each knows its own few connections only. It returns the load of the
// fullest server over the mean one, in connections and three for each group that it holds, and how many groups the
// servers hold in all.
func fillFleet(t *testing.T, proxies, servers, groups, connections int) (fullest float64, held int) {
	rng := rand.New(rand.NewSource(1))
	fleet := make([]*testHost, proxies)
	for i := range fleet {
		fleet[i] = newSeededHost(t, int64(i+1), proxies, servers)
	}
	shares := make([]float64, groups) // added up
	sum := 0.0
	for i := range shares {
		sum += 1 / float64(i+1)
		shares[i] = sum
	}
	load, members := map[logic.ServerID]float64{}, map[logic.ServerID]map[logic.GroupID]bool{}
	for range connections {
		f := fleet[rng.Intn(proxies)]
		a := f.newAttachment(0)
		for x := rng.Float64() * sum; a.Group == 0 || x > shares[a.Group-1]; {
			a.Group++
		}
		id := f.mustSend(a).Server
		f.RecordEstablished(f.now, a)
		if members[id] == nil {
			members[id] = map[logic.GroupID]bool{}
		}
		if !members[id][a.Group] {
			members[id][a.Group] = true
			load[id] += 3
			held++
		}
		load[id]++
	}
	sum, most := 0.0, 0.0
	for _, x := range load {
		sum, most = sum+x, max(most, x)
	}
	return most / (sum / float64(servers)), held
}

// Three hundred proxies sent the large groups to their first server until it held seven times what the mean one did; it
// dropped its clients, they came again and were sent back.
func TestTheFirstServersOfLargeGroupsAreNotOverfilled(t *testing.T) {
	fullest, held := fillFleet(t, 294, 87, 65, 2900)
	require.Less(t, fullest, 5.0)
	require.Less(t, held, 320, "and a group stays on as few servers as will do: without an order it is on 1,500")
	fullest, held = fillFleet(t, 279, 83, 30, 1500)
	require.Less(t, fullest, 5.0)
	require.Less(t, held, 200)
}
