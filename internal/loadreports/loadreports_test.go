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
	established = 10 * logic.Second // the age of the connections
)

// Guards against delays that are taken for loads: the connection with the highest load would count as one with the lowest,
// and the delays of its server would go unnoticed.
func TestValuesOnceASecondAreDelays(t *testing.T) {
	s, c := loadreports.New(late), &loadreports.Conn{Load: 332_383}
	now := established
	for i, value := range []float64{269, 474, 961, 878, 35} {
		require.Equal(t, loadreports.Delay, s.Classify(now+logic.Micros(i)*ms, c, 1, true, value))
		require.False(t, s.RevertUnconfirmed(now+loadreports.ConfirmWait, c, now-logic.Second, 269))
		require.Equal(t, loadreports.Load, s.Classify(now+300*ms, c, 1, true, 776_885), "a load between two delays")
		now += logic.Second
	}
	require.Equal(t, loadreports.Load, s.Classify(now, c, 1, true, 41), "the series has ended with a delay under the limit")
}

func TestUnconfirmedDelayIsRevertedToALoad(t *testing.T) {
	s, c := loadreports.New(late), &loadreports.Conn{Load: 90_000}
	require.Equal(t, loadreports.Delay, s.Classify(established, c, 1, true, 615))
	require.True(t, s.RevertUnconfirmed(established+loadreports.ConfirmWait, c, established, 615))
	require.InDelta(t, 615, c.Load, 0)
	require.False(t, s.RevertUnconfirmed(established+loadreports.ConfirmWait, c, established, 615), "reverted only once")
	require.Equal(t, loadreports.Load, s.Classify(established+40*ms, &loadreports.Conn{EstablishedAt: established}, 1, true, 615), "reported right after the connection was established")
	require.Equal(t, loadreports.Load, s.Classify(established+2*logic.Second, c, 1, true, 500), "close to the last load")
}

// Guards against small loads that are taken for delays in a fleet whose settings promise delays that its servers don't report.
// In one such fleet, each of 142 values that were taken for delays was a load.
func TestSmallLoadIsNoDelayWhereNoneAreExpected(t *testing.T) {
	s, c := loadreports.New(late), &loadreports.Conn{Load: 90_000}
	require.Equal(t, loadreports.Load, s.Classify(established, c, 1, false, 615))
	require.Equal(t, loadreports.DelayAndPrevious, s.Classify(established+logic.Second, c, 1, false, 640), "the second value after one second makes a series")
	require.InDelta(t, 90_000, c.Load, 0)
}

func TestDelayTakenForALoadIsCorrectedByTheNextDelay(t *testing.T) {
	s, c := loadreports.New(late), &loadreports.Conn{Load: 1200}
	require.Equal(t, loadreports.Load, s.Classify(established, c, 1, true, 615))
	require.Equal(t, loadreports.DelayAndPrevious, s.Classify(established+logic.Second+3*ms, c, 1, true, 700))
	require.InDelta(t, 1200, c.Load, 0)
	require.Equal(t, loadreports.Delay, s.Classify(established+2*logic.Second, c, 1, true, 20))
}

// Guards against small loads that are taken for delays where a proxy has many connections to a server.
func TestWithManyConnectionsADelayNeedsASecondOne(t *testing.T) {
	s, c, other := loadreports.New(late), &loadreports.Conn{Load: 90_000}, &loadreports.Conn{Load: 90_000}
	require.Equal(t, loadreports.Load, s.Classify(established, c, 20, true, 400))
	require.Equal(t, loadreports.Load, s.Classify(established+600*ms, other, 20, true, 500))
	require.Equal(t, loadreports.DelayAndPrevious, s.Classify(established+logic.Second, c, 20, true, 420))
	require.Equal(t, loadreports.Delay, s.Classify(established+2*logic.Second, c, 20, true, 420))
}

func TestDelaysContinueOnAnotherConnectionOnceTheirsIsClosed(t *testing.T) {
	s, c, other := loadreports.New(late), &loadreports.Conn{Load: 90_000}, &loadreports.Conn{Load: 900}
	s.Classify(established, c, 2, true, 400)
	s.Classify(established+logic.Second, c, 2, true, 420)
	require.Equal(t, loadreports.Load, s.Classify(established+2*logic.Second-5*ms, other, 2, true, 600), "no delay is reported here while the other connection is open")
	s.ConnClosed(c)
	require.Equal(t, loadreports.Delay, s.Classify(established+2*logic.Second, other, 1, true, 440))
}
