package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/lab/ledger"
)

const (
	ms     = ledger.Millisecond
	second = ledger.Second
)

func TestSetUpsWaitForACoreAndAFullQueueRejectsThem(t *testing.T) {
	m := NewMachine(2, 2)
	m.MaxQueuedSetUps = 3
	var ends []Micros
	for range 3 {
		end, accepted := m.QueueSetUp(1000, 10_000)
		require.True(t, accepted)
		ends = append(ends, end)
	}
	require.Equal(t, []Micros{6000, 6000, 11000}, ends, "5 ms each on two cores of speed 2; the third waits")
	_, room := m.QueueSetUp(1000, 10_000)
	require.False(t, room)
	_, room = m.QueueSetUp(6001, 10_000)
	require.True(t, room, "two set-ups are done")
}

func TestConnectionsUseCapacityAndABacklogDelaysMessages(t *testing.T) {
	m := NewMachine(1, 1)
	idle := m.MessageTime(0)
	m.AddConn(500_000, 1)
	require.InDelta(t, 0.5, m.Utilization(0), 1e-9)
	require.Equal(t, 2*idle, m.MessageTime(0), "on one core, the mean time at a utilization of one half is twice the idle time")
	m.AddConn(700_000, 1)
	require.Greater(t, m.MessageTime(0), 500*ms)
	m.ChangeLoad(700_000, 0)
	require.Equal(t, 2*idle, m.MessageTime(0))
	wide := NewMachine(8, 1)
	wide.AddConn(4_000_000, 0)
	require.Less(t, wide.MessageTime(0), idle*11/10, "with many cores, messages hardly wait")
	m.GroupCost = 100_000
	require.InDelta(t, 0.6, m.Utilization(0), 1e-9, "a group costs once, not once per connection")
	m.RemoveConn(0, 1)
	m.RemoveConn(500_000, 1)
	require.Zero(t, m.Utilization(0))
	require.Empty(t, m.groupSizes)
}

func TestOnlyAColdMachineCollapsesAndOnlyAfterTheWholeWindow(t *testing.T) {
	cold := ColdStart{InitialShare: 0.1, WarmUpTime: 100 * second, OverloadMultiple: 4, OverloadWindow: 2 * second}
	collapseTime := func(restart bool, interval Micros, end Micros) (collapsedAt Micros) {
		m := NewMachine(1, 1)
		m.ColdStart = cold
		if restart {
			m.Restart(1)
		}
		for now := Micros(1); now < end; now += interval {
			m.QueueSetUp(now, 10_000)
			if _, collapses := m.CheckOverload(now); collapses {
				return now
			}
		}
		return 0
	}
	// The capacity is a tenth of a core, 100 ms of work a second; four times that is 40 set-ups of 10 ms.
	require.Zero(t, collapseTime(true, 30*ms, 20*second), "33 set-ups a second are below the limit")
	require.Zero(t, collapseTime(false, 10*ms, 20*second), "a warm machine never collapses")
	collapsed := collapseTime(true, 10*ms, 20*second)
	require.Greater(t, collapsed, 2*second)
	require.Less(t, collapsed, 4*second)
	require.Zero(t, collapseTime(true, 10*ms, 2*second))
}

func TestScheduleIsTheSameForTheSameSeed(t *testing.T) {
	script := []Trouble{{Kind: "slow", At: 5 * second, Share: 0.25, Size: 8}, {Kind: "proxy-kill", At: second, Share: 1}, {Kind: "store", At: 2 * second}}
	a, err := Schedule(script, targetCounts(40, 3), 7)
	require.NoError(t, err)
	b, _ := Schedule(script, targetCounts(40, 3), 7)
	require.Equal(t, a, b)
	require.Equal(t, "proxy-kill", a[0].Kind, "troubles are in the order of their times")
	require.Equal(t, []int{0, 1, 2}, a[0].Targets)
	require.Len(t, a[2].Targets, 10)
	c, _ := Schedule(script, targetCounts(40, 3), 8)
	require.NotEqual(t, a[2].Targets, c[2].Targets)
	_, err = Schedule([]Trouble{{Kind: "odd"}}, targetCounts(4, 1), 1)
	require.ErrorIs(t, err, errUnknownTrouble)
	_, err = Schedule([]Trouble{{Kind: "slow", Targets: []int{4}}}, targetCounts(4, 1), 1)
	require.Error(t, err)
}

// targetCounts returns a function that returns the number of targets for a kind of trouble, as Schedule takes it.
func targetCounts(servers, proxies int) func(string) int {
	return func(kind string) int {
		if IsProxyTrouble(kind) {
			return proxies
		}
		return servers
	}
}
