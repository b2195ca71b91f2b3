package clusterstate_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent/clusterstate"
	"hatchproxy/orders"
)

func drain(id, server string) clusterstate.Command {
	return clusterstate.Command{ID: id, Verb: clusterstate.Drain, Server: server}
}

func TestACommandSaidTwiceCountsOnce(t *testing.T) {
	var s clusterstate.State
	n, err := s.Apply(3, drain("a", "s1"))
	require.NoError(t, err)
	require.EqualValues(t, 3, n)
	_, err = s.Apply(4, clusterstate.Command{ID: "b", Verb: clusterstate.Undrain, Server: "s1"})
	require.NoError(t, err)
	n, err = s.Apply(5, drain("a", "s1"))
	require.NoError(t, err)
	require.EqualValues(t, 3, n, "whoever says it again hears its number")
	told := s.OrdersForTerm(9)
	require.Len(t, told, 1)
	require.Equal(t, orders.Order{ID: "b", Term: 9, Number: 4, Verb: orders.Undrain, ServerUID: "s1"}, told[0], "and undoes nothing that came after")
	_, err = s.Apply(5, drain("c", "s1"))
	require.Error(t, err, "a place of the log is had once")
}

func TestWhatIsWrongChangesNothing(t *testing.T) {
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

func TestWhatWasSavedIsReadBackAndWhatIsTornOrNewerIsRefusedWhole(t *testing.T) {
	var s clusterstate.State
	for i := range 700 {
		_, err := s.Apply(uint64(i+1), drain(fmt.Sprint("o", i), fmt.Sprint("s", i%40)))
		require.NoError(t, err)
	}
	_, err := s.Apply(701, clusterstate.Command{ID: "x", Verb: clusterstate.Restart, Instances: []string{"n1", "n2"}})
	require.NoError(t, err)
	require.Len(t, s.RecentCommands, 500, "the past is bounded")
	text, err := s.Encode()
	require.NoError(t, err)
	var back clusterstate.State
	require.NoError(t, back.Decode(text))
	require.Equal(t, s, back)
	for cut := range len(text) {
		if cut%97 == 0 {
			require.Error(t, back.Decode(text[:cut]))
		}
	}
	changed := append([]byte{}, text...)
	for i := range changed {
		if changed[i] == '4' && i > len(changed)/2 {
			changed[i] = '5'
			break
		}
	}
	require.ErrorContains(t, back.Decode(changed), "its sum is wrong")
	require.ErrorContains(t, back.Decode([]byte(`{"form":2,"sum":1,"state":{}}`)), "form 2, and 1 is known")
	require.Equal(t, s, back, "and nothing was taken over")
}

func TestTheNumberOfServersWithOrdersIsBoundedAndUndrainedOnesMakeRoom(t *testing.T) {
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

// A fleet of 350 processes and hundreds of servers was to be had, and 1,000 were the most that a command could name.
func TestAFleetOfElevenHundredIsNamedAndHoldsDuties(t *testing.T) {
	var s clusterstate.State
	var names []string
	number := uint64(0)
	obey := func(c clusterstate.Command) {
		number++
		c.ID = fmt.Sprint("c", number)
		require.NoError(t, clusterstate.Validate(c))
		_, err := s.Apply(number, c)
		require.NoError(t, err)
	}
	for i := range 1100 {
		names = append(names, fmt.Sprintf("edge-router-%04d", i))
	}
	obey(clusterstate.Command{Verb: clusterstate.Restart, Instances: names})
	obey(clusterstate.Command{Verb: clusterstate.Roll, Instances: names, Share: 0.1})
	for _, name := range names {
		obey(clusterstate.Command{Verb: clusterstate.Drain, Server: name})
		obey(clusterstate.Command{Verb: clusterstate.Grant, Duty: "duty-of-" + name, Holder: name})
		obey(clusterstate.Command{Verb: clusterstate.Bar, Holder: name})
	}
	text, err := s.Encode()
	require.NoError(t, err)
	require.Less(t, len(text), 4<<20, "a snapshot of it")
}
