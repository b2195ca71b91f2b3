package supervisor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent/supervisor"
	"hatchproxy/logic"
)

const second = logic.Second

// nextAction runs a keeper until it wants something done, and returns that and when.
func nextAction(t *testing.T, k *supervisor.Supervisor, now logic.Micros) (supervisor.Action, logic.Micros) {
	t.Helper()
	for until := now + 200*second; now < until; now += 50 * logic.Millisecond {
		if do, again := k.NextAction(now); do != supervisor.NoAction {
			return do, now
		} else {
			require.Positive(t, again)
		}
	}
	return supervisor.NoAction, now
}

func requireState(t *testing.T, k *supervisor.Supervisor, want supervisor.State) {
	t.Helper()
	got, _, _ := k.State()
	require.Equal(t, want, got)
}

func TestOneThatFallsAtOnceIsTriedMoreAndMoreRarelyAndThenIsACrashLoop(t *testing.T) {
	k := supervisor.New(1)
	k.SetDesired(0, true, 0)
	now, last := logic.Micros(0), logic.Micros(0)
	var waits []logic.Micros
	for range 8 {
		do, at := nextAction(t, k, now)
		require.Equal(t, supervisor.Start, do)
		waits = append(waits, at-last)
		k.ReportStarted(at)
		k.ReportExit(at+10, "exit status 1")
		now, last = at+10, at+10
	}
	for i := 2; i < 5; i++ {
		require.Greater(t, waits[i], waits[i-1], "each wait is longer: %v", waits)
	}
	requireState(t, k, supervisor.CrashLooping)
	for _, wait := range waits[5:] {
		require.GreaterOrEqual(t, wait, 40*second, "it is not hammered: %v", waits)
	}
	_, falls, why := k.State()
	require.Equal(t, 8, falls)
	require.Equal(t, "exit status 1", why)
	k.SetDesired(now, true, 5) // an operator says restart
	_, at := nextAction(t, k, now)
	require.Less(t, at-now, second)
}

func TestOneThatNeverBecomesReadyIsKilledAndCountsAsFallen(t *testing.T) {
	k := supervisor.New(1)
	k.SetDesired(0, true, 0)
	for range 5 {
		_, at := nextAction(t, k, 0)
		k.ReportStarted(at)
		do, killed := nextAction(t, k, at)
		require.Equal(t, supervisor.Kill, do)
		require.Greater(t, killed-at, 10*second)
		k.ReportExit(killed, "signal: killed")
	}
	requireState(t, k, supervisor.CrashLooping)
}

func TestOneThatWasSoundForLongIsStartedAtOnceAndItsPastIsForgotten(t *testing.T) {
	k := supervisor.New(1)
	k.SetDesired(0, true, 0)
	now := logic.Micros(0)
	for range 4 {
		_, at := nextAction(t, k, now)
		k.ReportStarted(at)
		k.ReportExit(at, "x")
		now = at
	}
	_, at := nextAction(t, k, now)
	k.ReportStarted(at)
	k.ReportReady(at + second)
	k.ReportExit(at+60*second, "x")
	_, again := nextAction(t, k, at+60*second)
	require.Less(t, again-(at+60*second), second)
	_, falls, _ := k.State()
	require.Equal(t, 1, falls)
}

func TestARestartAsksItToLeaveOnceAndKillsOnlyWhoStays(t *testing.T) {
	k := supervisor.New(1)
	k.SetDesired(0, true, 0)
	_, at := nextAction(t, k, 0)
	k.ReportStarted(at)
	k.ReportReady(at)
	k.SetDesired(at, true, 7)
	do, asked := nextAction(t, k, at)
	require.Equal(t, supervisor.Terminate, do)
	requireState(t, k, supervisor.Leaving)
	do, killed := nextAction(t, k, asked)
	require.Equal(t, supervisor.Kill, do)
	require.GreaterOrEqual(t, killed-asked, 5*second, "it has clients to move")
	k.ReportExit(killed, "x")
	do, at = nextAction(t, k, killed)
	require.Equal(t, supervisor.Start, do)
	require.Less(t, at-killed, second, "one that was asked to go is no fall")
	k.ReportStarted(at)
	require.EqualValues(t, 7, k.LastRestart())
	do, _ = nextAction(t, k, at)
	require.Equal(t, supervisor.Kill, do, "as it never answers; it is not asked to leave twice")
}

func TestOneThatAnAgentBeforeHadStartedIsTakenOver(t *testing.T) {
	k := supervisor.New(1)
	k.Adopt(0, 4, false)
	k.SetDesired(0, true, 4)
	do, _ := k.NextAction(second)
	require.Equal(t, supervisor.NoAction, do)
	k.ReportReady(second)
	requireState(t, k, supervisor.Ready)
	k.SetDesired(2*second, false, 4)
	do, _ = k.NextAction(2 * second)
	require.Equal(t, supervisor.Terminate, do)
	k.ReportExit(3*second, "x")
	requireState(t, k, supervisor.Stopped)
	do, _ = nextAction(t, k, 3*second)
	require.Equal(t, supervisor.NoAction, do)
}

func TestThirtyThatFellTogetherDoNotComeBackTogether(t *testing.T) {
	starts := map[logic.Micros]int{}
	for seed := range int64(30) {
		k := supervisor.New(seed)
		k.SetDesired(0, true, 0)
		k.ReportStarted(0)
		for range 3 {
			k.ReportExit(0, "x")
		}
		_, at := nextAction(t, k, 0)
		starts[at]++
	}
	require.Greater(t, len(starts), 3)
}
