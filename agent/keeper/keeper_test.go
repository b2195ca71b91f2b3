package keeper_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent/keeper"
	"hatchproxy/logic"
)

const second = logic.Second

// next runs a keeper until it wants something done, and returns that and when.
func next(t *testing.T, k *keeper.Keeper, now logic.Micros) (keeper.Do, logic.Micros) {
	t.Helper()
	for until := now + 200*second; now < until; now += 50 * logic.Millisecond {
		if do, again := k.Next(now); do != keeper.Nothing {
			return do, now
		} else {
			require.Positive(t, again)
		}
	}
	return keeper.Nothing, now
}

func state(t *testing.T, k *keeper.Keeper, want keeper.State) {
	t.Helper()
	got, _, _ := k.State()
	require.Equal(t, want, got)
}

func TestOneThatFallsAtOnceIsTriedMoreAndMoreRarelyAndThenIsACrashLoop(t *testing.T) {
	k := keeper.New(1)
	k.Want(0, true, 0)
	now, last := logic.Micros(0), logic.Micros(0)
	var waits []logic.Micros
	for range 8 {
		do, at := next(t, k, now)
		require.Equal(t, keeper.Start, do)
		waits = append(waits, at-last)
		k.Began(at)
		k.Ended(at+10, "exit status 1")
		now, last = at+10, at+10
	}
	for i := 2; i < 5; i++ {
		require.Greater(t, waits[i], waits[i-1], "each wait is longer: %v", waits)
	}
	state(t, k, keeper.Looping)
	for _, wait := range waits[5:] {
		require.GreaterOrEqual(t, wait, 40*second, "it is not hammered: %v", waits)
	}
	_, falls, why := k.State()
	require.Equal(t, 8, falls)
	require.Equal(t, "exit status 1", why)
	k.Want(now, true, 5) // an operator says restart
	_, at := next(t, k, now)
	require.Less(t, at-now, second)
}

func TestOneThatNeverBecomesReadyIsKilledAndCountsAsFallen(t *testing.T) {
	k := keeper.New(1)
	k.Want(0, true, 0)
	for range 5 {
		_, at := next(t, k, 0)
		k.Began(at)
		do, killed := next(t, k, at)
		require.Equal(t, keeper.Kill, do)
		require.Greater(t, killed-at, 10*second)
		k.Ended(killed, "signal: killed")
	}
	state(t, k, keeper.Looping)
}

func TestOneThatWasSoundForLongIsStartedAtOnceAndItsPastIsForgotten(t *testing.T) {
	k := keeper.New(1)
	k.Want(0, true, 0)
	now := logic.Micros(0)
	for range 4 {
		_, at := next(t, k, now)
		k.Began(at)
		k.Ended(at, "x")
		now = at
	}
	_, at := next(t, k, now)
	k.Began(at)
	k.Answers(at + second)
	k.Ended(at+60*second, "x")
	_, again := next(t, k, at+60*second)
	require.Less(t, again-(at+60*second), second)
	_, falls, _ := k.State()
	require.Equal(t, 1, falls)
}

func TestARestartAsksItToLeaveOnceAndKillsOnlyWhoStays(t *testing.T) {
	k := keeper.New(1)
	k.Want(0, true, 0)
	_, at := next(t, k, 0)
	k.Began(at)
	k.Answers(at)
	k.Want(at, true, 7)
	do, asked := next(t, k, at)
	require.Equal(t, keeper.Leave, do)
	state(t, k, keeper.Leaving)
	do, killed := next(t, k, asked)
	require.Equal(t, keeper.Kill, do)
	require.GreaterOrEqual(t, killed-asked, 5*second, "it has clients to move")
	k.Ended(killed, "x")
	do, at = next(t, k, killed)
	require.Equal(t, keeper.Start, do)
	require.Less(t, at-killed, second, "one that was asked to go is no fall")
	k.Began(at)
	require.EqualValues(t, 7, k.Restarted())
	do, _ = next(t, k, at)
	require.Equal(t, keeper.Kill, do, "as it never answers; it is not asked to leave twice")
}

func TestOneThatAnAgentBeforeHadStartedIsTakenOver(t *testing.T) {
	k := keeper.New(1)
	k.Adopt(0, 4, false)
	k.Want(0, true, 4)
	do, _ := k.Next(second)
	require.Equal(t, keeper.Nothing, do)
	k.Answers(second)
	state(t, k, keeper.Ready)
	k.Want(2*second, false, 4)
	do, _ = k.Next(2 * second)
	require.Equal(t, keeper.Leave, do)
	k.Ended(3*second, "x")
	state(t, k, keeper.Stopped)
	do, _ = next(t, k, 3*second)
	require.Equal(t, keeper.Nothing, do)
}

func TestThirtyThatFellTogetherDoNotComeBackTogether(t *testing.T) {
	starts := map[logic.Micros]int{}
	for seed := range int64(30) {
		k := keeper.New(seed)
		k.Want(0, true, 0)
		k.Began(0)
		for range 3 {
			k.Ended(0, "x")
		}
		_, at := next(t, k, 0)
		starts[at]++
	}
	require.Greater(t, len(starts), 3)
}
