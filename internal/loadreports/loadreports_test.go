package loadreports_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/loadreports"
	"hatchproxy/logic"
)

const (
	ms          = logic.Millisecond
	late        = 50 * ms
	established = 10 * logic.Second // how long the connections have stood
)

// Guards against the heaviest client of a late server counting as its lightest, and against lateness that nobody hears.
func TestDelaysThatComeOnceASecondAreNoLoads(t *testing.T) {
	s, c := loadreports.New(late), &loadreports.Conn{Load: 332_383}
	now := established
	for i, figure := range []float64{269, 474, 961, 878, 35} {
		require.Equal(t, loadreports.Delay, s.Classify(now+logic.Micros(i)*ms, c, 1, true, figure))
		require.False(t, s.RevertUnconfirmed(now+loadreports.ConfirmWait, c, now-logic.Second, 269))
		require.Equal(t, loadreports.Load, s.Classify(now+300*ms, c, 1, true, 776_885), "a load in between stays one")
		now += logic.Second
	}
	require.Equal(t, loadreports.Load, s.Classify(now, c, 1, true, 41), "they are back under, and end with that")
}

func TestASmallLoadThatNothingFollowsIsALoadAfterAll(t *testing.T) {
	s, c := loadreports.New(late), &loadreports.Conn{Load: 90_000}
	require.Equal(t, loadreports.Delay, s.Classify(established, c, 1, true, 615))
	require.True(t, s.RevertUnconfirmed(established+loadreports.ConfirmWait, c, established, 615))
	require.InDelta(t, 615, c.Load, 0)
	require.False(t, s.RevertUnconfirmed(established+loadreports.ConfirmWait, c, established, 615), "told once")
	require.Equal(t, loadreports.Load, s.Classify(established+40*ms, &loadreports.Conn{EstablishedAt: established}, 1, true, 615), "told as soon as it stands")
	require.Equal(t, loadreports.Load, s.Classify(established+2*logic.Second, c, 1, true, 500), "near the last one")
}

// Guards against small loads that pass for lateness in a fleet that promises delays and tells none: on a day at full size
// each of 142 words of late messages was such a load.
func TestASmallLoadIsNoDelayWhereNoneWereEverTold(t *testing.T) {
	s, c := loadreports.New(late), &loadreports.Conn{Load: 90_000}
	require.Equal(t, loadreports.Load, s.Classify(established, c, 1, false, 615))
	require.Equal(t, loadreports.DelayAndPrevious, s.Classify(established+logic.Second, c, 1, false, 640), "a second after the first is a series")
	require.InDelta(t, 90_000, c.Load, 0)
}

func TestADelayTakenForALoadIsTakenBackByTheNext(t *testing.T) {
	s, c := loadreports.New(late), &loadreports.Conn{Load: 1200}
	require.Equal(t, loadreports.Load, s.Classify(established, c, 1, true, 615))
	require.Equal(t, loadreports.DelayAndPrevious, s.Classify(established+logic.Second+3*ms, c, 1, true, 700))
	require.InDelta(t, 1200, c.Load, 0)
	require.Equal(t, loadreports.Delay, s.Classify(established+2*logic.Second, c, 1, true, 20))
}

// Guards against lateness at every turn where many connections stand, each with its own small loads.
func TestAmongManyConnectionsTheSecondOfTwoDelaysIsBelieved(t *testing.T) {
	s, c, other := loadreports.New(late), &loadreports.Conn{Load: 90_000}, &loadreports.Conn{Load: 90_000}
	require.Equal(t, loadreports.Load, s.Classify(established, c, 20, true, 400))
	require.Equal(t, loadreports.Load, s.Classify(established+600*ms, other, 20, true, 500))
	require.Equal(t, loadreports.DelayAndPrevious, s.Classify(established+logic.Second, c, 20, true, 420))
	require.Equal(t, loadreports.Delay, s.Classify(established+2*logic.Second, c, 20, true, 420))
}

func TestDelaysGoOnOnAnotherConnectionOnceTheirsHasLeft(t *testing.T) {
	s, c, other := loadreports.New(late), &loadreports.Conn{Load: 90_000}, &loadreports.Conn{Load: 900}
	s.Classify(established, c, 2, true, 400)
	s.Classify(established+logic.Second, c, 2, true, 420)
	require.Equal(t, loadreports.Load, s.Classify(established+2*logic.Second-5*ms, other, 2, true, 600), "it carries none while the other stands")
	s.ConnClosed(c)
	require.Equal(t, loadreports.Delay, s.Classify(established+2*logic.Second, other, 1, true, 440))
}
