package clusterstate_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent/clusterstate"
	"hatchproxy/orders"
)

// drain returns a command to drain a server.
func drain(id, server string) clusterstate.Command {
	return clusterstate.Command{ID: id, Verb: clusterstate.Drain, Server: server}
}

func TestCommandSubmittedTwiceIsAppliedOnce(t *testing.T) {
	var s clusterstate.State
	n, err := s.Apply(3, drain("a", "s1"))
	require.NoError(t, err)
	require.EqualValues(t, 3, n)
	_, err = s.Apply(4, clusterstate.Command{ID: "b", Verb: clusterstate.Undrain, Server: "s1"})
	require.NoError(t, err)
	n, err = s.Apply(5, drain("a", "s1"))
	require.NoError(t, err)
	require.EqualValues(t, 3, n, "the second submission returns the first number")
	list := s.OrdersForTerm(9)
	require.Len(t, list, 1)
	require.Equal(t, orders.Order{ID: "b", Term: 9, Number: 4, Verb: orders.Undrain, ServerUID: "s1"}, list[0], "the second submission does not override the later undrain")
	_, err = s.Apply(5, drain("c", "s1"))
	require.Error(t, err, "an index of the log is applied once")
}

func TestMalformedCommandChangesNothing(t *testing.T) {
	var s clusterstate.State
	for i, c := range []clusterstate.Command{
		{}, {ID: "a"}, {ID: "a", Verb: "odd", Server: "s"}, {ID: "a", Verb: clusterstate.Drain}, {ID: "a", Verb: clusterstate.Drain, Server: "s", Instances: []string{"n"}},
		{ID: "a", Verb: clusterstate.Stop}, {ID: "a", Verb: clusterstate.Start, Instances: []string{""}}, {ID: "a", Verb: clusterstate.Restart, Instances: []string{"n"}, Server: "s"},
	} {
		_, err := s.Apply(uint64(i+1), c)
		require.Error(t, err)
	}
	require.Empty(t, s.RecentCommands)
	require.Empty(t, s.OrdersForTerm(1))
}

func TestEncodedStateIsDecodedAndCorruptOrNewerDataIsRejected(t *testing.T) {
	var s clusterstate.State
	for i := range 700 {
		_, err := s.Apply(uint64(i+1), drain(fmt.Sprint("o", i), fmt.Sprint("s", i%40)))
		require.NoError(t, err)
	}
	_, err := s.Apply(701, clusterstate.Command{ID: "x", Verb: clusterstate.Restart, Instances: []string{"n1", "n2"}})
	require.NoError(t, err)
	require.Len(t, s.RecentCommands, 500, "the number of recent commands is bounded")
	data, err := s.Encode()
	require.NoError(t, err)
	var decoded clusterstate.State
	require.NoError(t, decoded.Decode(data))
	require.Equal(t, s, decoded)
	for cut := range len(data) {
		if cut%97 == 0 {
			require.Error(t, decoded.Decode(data[:cut]))
		}
	}
	changed := append([]byte{}, data...)
	for i := range changed {
		if changed[i] == '4' && i > len(changed)/2 {
			changed[i] = '5'
			break
		}
	}
	require.ErrorContains(t, decoded.Decode(changed), "its checksum is wrong")
	require.ErrorContains(t, decoded.Decode([]byte(`{"form":2,"sum":1,"state":{}}`)), "format version 2; only version 1 is supported")
	require.Equal(t, s, decoded, "a failed Decode leaves the state unchanged")
}

func TestNumberOfOrdersIsBoundedAndNewOnesReplaceUndrains(t *testing.T) {
	var s clusterstate.State
	for i := range 4096 {
		_, err := s.Apply(uint64(i+1), drain(fmt.Sprint("o", i), fmt.Sprint("s", i)))
		require.NoError(t, err)
	}
	_, err := s.Apply(5000, drain("more", "more"))
	require.Error(t, err)
	_, err = s.Apply(5001, clusterstate.Command{ID: "u", Verb: clusterstate.Undrain, Server: "s7"})
	require.NoError(t, err)
	_, err = s.Apply(5002, drain("again", "more"))
	require.NoError(t, err)
	require.NotContains(t, s.Orders, "s7")
}

// A fleet of 350 processes and hundreds of servers has to be supported, and a command could name only 1,000 instances.
func TestCommandsScaleToElevenHundredInstances(t *testing.T) {
	var s clusterstate.State
	var names []string
	number := uint64(0)
	apply := func(c clusterstate.Command) {
		number++
		c.ID = fmt.Sprint("c", number)
		require.NoError(t, clusterstate.Validate(c))
		_, err := s.Apply(number, c)
		require.NoError(t, err)
	}
	for i := range 1100 {
		names = append(names, fmt.Sprintf("edge-router-%04d", i))
	}
	apply(clusterstate.Command{Verb: clusterstate.Restart, Instances: names})
	apply(clusterstate.Command{Verb: clusterstate.Roll, Instances: names, Share: 0.1})
	for _, name := range names {
		apply(clusterstate.Command{Verb: clusterstate.Drain, Server: name})
		apply(clusterstate.Command{Verb: clusterstate.Grant, Duty: "duty-of-" + name, Holder: name})
		apply(clusterstate.Command{Verb: clusterstate.Bar, Holder: name})
	}
	data, err := s.Encode()
	require.NoError(t, err)
	require.Less(t, len(data), 4<<20, "the size of a snapshot")
}
