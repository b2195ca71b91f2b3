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

func TestSetUpsWaitForACoreAndAFullQueueTurnsThemAway(t *testing.T) {
	m := NewMachine(2, 2)
	m.QueueCap = 3
	var ends []Micros
	for range 3 {
		end, room := m.SetUp(1000, 10_000)
		require.True(t, room)
		ends = append(ends, end)
	}
	require.Equal(t, []Micros{6000, 6000, 11000}, ends, "5 ms each on two cores of speed 2")
	_, room := m.SetUp(1000, 10_000)
	require.False(t, room)
	_, room = m.SetUp(6001, 10_000)
	require.True(t, room, "two are done")
}

func TestStandingConnectionsTakeCapacityAndLateMessagesBeginAtTheKnee(t *testing.T) {
	m := NewMachine(1, 1)
	idle := m.Message(0)
	m.Stand(500_000, 1)
	require.InDelta(t, 0.5, m.Use(0), 1e-9)
	require.Equal(t, 2*idle, m.Message(0), "on one core a queue's mean at half use is twice the work")
	m.Stand(700_000, 1)
	require.Greater(t, m.Message(0), 500*ms)
	m.Change(700_000, 0)
	require.Equal(t, 2*idle, m.Message(0))
	wide := NewMachine(8, 1)
	wide.Stand(4_000_000, 0)
	require.Less(t, wide.Message(0), idle*11/10, "on many cores hardly anything waits")
	m.GroupCost = 100_000
	require.InDelta(t, 0.6, m.Use(0), 1e-9, "a group is paid for once")
	m.Leave(0, 1)
	m.Leave(500_000, 1)
	require.Zero(t, m.Use(0))
	require.Empty(t, m.groups)
}

func TestOnlyAColdMachineTipsAndOnlyAfterTheWholeWindow(t *testing.T) {
	cold := Cold{From: 0.1, Warm: 100 * second, Multiple: 4, Window: 2 * second}
	play := func(restart bool, rate Micros, until Micros) (tipped Micros) {
		m := NewMachine(1, 1)
		m.Cold = cold
		if restart {
			m.Restart(1)
		}
		for now := Micros(1); now < until; now += rate {
			m.SetUp(now, 10_000)
			if _, tips := m.Tick(now); tips {
				return now
			}
		}
		return 0
	}
	// A tenth of a core: 100 ms of work a second, of which 4 times is 40 set-ups.
	require.Zero(t, play(true, 30*ms, 20*second), "33 a second it bears")
	require.Zero(t, play(false, 10*ms, 20*second), "a warm one bears anything")
	at := play(true, 10*ms, 20*second)
	require.Greater(t, at, 2*second)
	require.Less(t, at, 4*second)
	require.Zero(t, play(true, 10*ms, 2*second))
}

func TestAScriptIsDrawnTheSameFromTheSameSeed(t *testing.T) {
	script := []Trouble{{Kind: "slow", At: 5 * second, Part: 0.25, Size: 8}, {Kind: "proxy-kill", At: second, Part: 1}, {Kind: "store", At: 2 * second}}
	a, err := Draw(script, of(40, 3), 7)
	require.NoError(t, err)
	b, _ := Draw(script, of(40, 3), 7)
	require.Equal(t, a, b)
	require.Equal(t, "proxy-kill", a[0].Kind, "in the order of time")
	require.Equal(t, []int{0, 1, 2}, a[0].Servers)
	require.Len(t, a[2].Servers, 10)
	c, _ := Draw(script, of(40, 3), 8)
	require.NotEqual(t, a[2].Servers, c[2].Servers)
	_, err = Draw([]Trouble{{Kind: "odd"}}, of(4, 1), 1)
	require.ErrorIs(t, err, errKind)
	_, err = Draw([]Trouble{{Kind: "slow", Servers: []int{4}}}, of(4, 1), 1)
	require.Error(t, err)
}

// of is so many servers, and so many proxies.
func of(servers, proxies int) func(string) int {
	return func(kind string) int {
		if OfProxies(kind) {
			return proxies
		}
		return servers
	}
}
