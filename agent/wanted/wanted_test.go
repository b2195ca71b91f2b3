package wanted_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent/wanted"
	"hatchproxy/orders"
)

func drain(id, server string) wanted.Command {
	return wanted.Command{ID: id, Verb: wanted.Drain, Server: server}
}

func TestACommandSaidTwiceCountsOnce(t *testing.T) {
	var s wanted.State
	n, err := s.Apply(3, drain("a", "s1"))
	require.NoError(t, err)
	require.EqualValues(t, 3, n)
	_, err = s.Apply(4, wanted.Command{ID: "b", Verb: wanted.Undrain, Server: "s1"})
	require.NoError(t, err)
	n, err = s.Apply(5, drain("a", "s1"))
	require.NoError(t, err)
	require.EqualValues(t, 3, n, "whoever says it again hears its number")
	told := s.Told(9)
	require.Len(t, told, 1)
	require.Equal(t, orders.Order{ID: "b", Term: 9, Number: 4, Verb: orders.Undrain, ServerUID: "s1"}, told[0], "and undoes nothing that came after")
	_, err = s.Apply(5, drain("c", "s1"))
	require.Error(t, err, "a place of the log is had once")
}

func TestWhatIsWrongChangesNothing(t *testing.T) {
	var s wanted.State
	for i, c := range []wanted.Command{
		{}, {ID: "a"}, {ID: "a", Verb: "odd", Server: "s"}, {ID: "a", Verb: wanted.Drain}, {ID: "a", Verb: wanted.Drain, Server: "s", Instances: []string{"n"}},
		{ID: "a", Verb: wanted.Stop}, {ID: "a", Verb: wanted.Start, Instances: []string{""}}, {ID: "a", Verb: wanted.Restart, Instances: []string{"n"}, Server: "s"},
	} {
		_, err := s.Apply(uint64(i+1), c)
		require.Error(t, err)
	}
	require.Empty(t, s.Past)
	require.Empty(t, s.Told(1))
}

func TestWhatWasSavedIsReadBackAndWhatIsTornOrNewerIsRefusedWhole(t *testing.T) {
	var s wanted.State
	for i := range 700 {
		_, err := s.Apply(uint64(i+1), drain(fmt.Sprint("o", i), fmt.Sprint("s", i%40)))
		require.NoError(t, err)
	}
	_, err := s.Apply(701, wanted.Command{ID: "x", Verb: wanted.Restart, Instances: []string{"n1", "n2"}})
	require.NoError(t, err)
	require.Len(t, s.Past, 500, "the past is bounded")
	text, err := s.Save()
	require.NoError(t, err)
	var back wanted.State
	require.NoError(t, back.Load(text))
	require.Equal(t, s, back)
	for cut := range len(text) {
		if cut%97 == 0 {
			require.Error(t, back.Load(text[:cut]))
		}
	}
	changed := append([]byte{}, text...)
	for i := range changed {
		if changed[i] == '4' && i > len(changed)/2 {
			changed[i] = '5'
			break
		}
	}
	require.ErrorContains(t, back.Load(changed), "its sum is wrong")
	require.ErrorContains(t, back.Load([]byte(`{"form":2,"sum":1,"state":{}}`)), "form 2, and 1 is known")
	require.Equal(t, s, back, "and nothing was taken over")
}

func TestTheNumberOfServersWithOrdersIsBoundedAndUndrainedOnesMakeRoom(t *testing.T) {
	var s wanted.State
	for i := range 4096 {
		_, err := s.Apply(uint64(i+1), drain(fmt.Sprint("o", i), fmt.Sprint("s", i)))
		require.NoError(t, err)
	}
	_, err := s.Apply(5000, drain("more", "more"))
	require.Error(t, err)
	_, err = s.Apply(5001, wanted.Command{ID: "u", Verb: wanted.Undrain, Server: "s7"})
	require.NoError(t, err)
	_, err = s.Apply(5002, drain("again", "more"))
	require.NoError(t, err)
	require.NotContains(t, s.Orders, "s7")
}

// A fleet of 350 processes and hundreds of servers was to be had, and 1,000 were the most that a command could name.
func TestAFleetOfElevenHundredIsNamedAndHoldsDuties(t *testing.T) {
	var s wanted.State
	var names []string
	number := uint64(0)
	obey := func(c wanted.Command) {
		number++
		c.ID = fmt.Sprint("c", number)
		require.NoError(t, wanted.Check(c))
		_, err := s.Apply(number, c)
		require.NoError(t, err)
	}
	for i := range 1100 {
		names = append(names, fmt.Sprintf("edge-router-%04d", i))
	}
	obey(wanted.Command{Verb: wanted.Restart, Instances: names})
	obey(wanted.Command{Verb: wanted.Roll, Instances: names, Share: 0.1})
	for _, name := range names {
		obey(wanted.Command{Verb: wanted.Drain, Server: name})
		obey(wanted.Command{Verb: wanted.Grant, Duty: "duty-of-" + name, Holder: name})
		obey(wanted.Command{Verb: wanted.Bar, Holder: name})
	}
	text, err := s.Save()
	require.NoError(t, err)
	require.Less(t, len(text), 4<<20, "a snapshot of it")
}
