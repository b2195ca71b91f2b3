package supervisor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/agent/supervisor"
	"hatchproxy/logic"
)

const second = logic.Second

// nextAction advances the time until the supervisor requests an action, and returns the action and the time. It gives up after 200 s.
func nextAction(t *testing.T, s *supervisor.Supervisor, now logic.Micros) (supervisor.Action, logic.Micros) {
	t.Helper()
	for until := now + 200*second; now < until; now += 50 * logic.Millisecond {
		if action, again := s.NextAction(now); action != supervisor.NoAction {
			return action, now
		} else {
			require.Positive(t, again)
		}
	}
	return supervisor.NoAction, now
}

// requireState fails the test unless the instance is in the given state.
func requireState(t *testing.T, s *supervisor.Supervisor, want supervisor.State) {
	t.Helper()
	got, _, _ := s.State()
	require.Equal(t, want, got)
}

func TestInstanceThatFailsAtOnceIsRestartedWithGrowingDelaysAndThenIsACrashLoop(t *testing.T) {
	s := supervisor.New(1)
	s.SetDesired(0, true, 0)
	now, last := logic.Micros(0), logic.Micros(0)
	var waits []logic.Micros
	for range 8 {
		action, at := nextAction(t, s, now)
		require.Equal(t, supervisor.Start, action)
		waits = append(waits, at-last)
		s.ReportStarted(at)
		s.ReportExit(at+10, "exit status 1")
		now, last = at+10, at+10
	}
	for i := 2; i < 5; i++ {
		require.Greater(t, waits[i], waits[i-1], "each wait is longer: %v", waits)
	}
	requireState(t, s, supervisor.CrashLooping)
	for _, wait := range waits[5:] {
		require.GreaterOrEqual(t, wait, 40*second, "restarts in a crash loop are rare: %v", waits)
	}
	_, failures, reason := s.State()
	require.Equal(t, 8, failures)
	require.Equal(t, "exit status 1", reason)
	s.SetDesired(now, true, 5) // an operator orders a restart
	_, at := nextAction(t, s, now)
	require.Less(t, at-now, second)
}

func TestInstanceThatNeverBecomesReadyIsKilledAndHasFailed(t *testing.T) {
	s := supervisor.New(1)
	s.SetDesired(0, true, 0)
	for range 5 {
		_, at := nextAction(t, s, 0)
		s.ReportStarted(at)
		action, killed := nextAction(t, s, at)
		require.Equal(t, supervisor.Kill, action)
		require.Greater(t, killed-at, 10*second)
		s.ReportExit(killed, "signal: killed")
	}
	requireState(t, s, supervisor.CrashLooping)
}

func TestInstanceThatWasReadyForLongIsRestartedAtOnceAndItsFailuresAreForgotten(t *testing.T) {
	s := supervisor.New(1)
	s.SetDesired(0, true, 0)
	now := logic.Micros(0)
	for range 4 {
		_, at := nextAction(t, s, now)
		s.ReportStarted(at)
		s.ReportExit(at, "x")
		now = at
	}
	_, at := nextAction(t, s, now)
	s.ReportStarted(at)
	s.ReportReady(at + second)
	s.ReportExit(at+60*second, "x")
	_, again := nextAction(t, s, at+60*second)
	require.Less(t, again-(at+60*second), second)
	_, failures, _ := s.State()
	require.Equal(t, 1, failures)
}

func TestRestartRequestsTerminationOnceAndKillsOnlyAfterATimeout(t *testing.T) {
	s := supervisor.New(1)
	s.SetDesired(0, true, 0)
	_, at := nextAction(t, s, 0)
	s.ReportStarted(at)
	s.ReportReady(at)
	s.SetDesired(at, true, 7)
	action, asked := nextAction(t, s, at)
	require.Equal(t, supervisor.Terminate, action)
	requireState(t, s, supervisor.Leaving)
	action, killed := nextAction(t, s, asked)
	require.Equal(t, supervisor.Kill, action)
	require.GreaterOrEqual(t, killed-asked, 5*second, "it needs time to move its clients")
	s.ReportExit(killed, "x")
	action, at = nextAction(t, s, killed)
	require.Equal(t, supervisor.Start, action)
	require.Less(t, at-killed, second, "terminating on request is no failure")
	s.ReportStarted(at)
	require.EqualValues(t, 7, s.CompletedRestart())
	action, _ = nextAction(t, s, at)
	require.Equal(t, supervisor.Kill, action, "it never becomes ready, and is not asked to terminate a second time")
}

func TestProcessOfAnEarlierAgentIsAdopted(t *testing.T) {
	s := supervisor.New(1)
	s.Adopt(0, 4)
	s.SetDesired(0, true, 4)
	action, _ := s.NextAction(second)
	require.Equal(t, supervisor.NoAction, action)
	s.ReportReady(second)
	requireState(t, s, supervisor.Ready)
	s.SetDesired(2*second, false, 4)
	action, _ = s.NextAction(2 * second)
	require.Equal(t, supervisor.Terminate, action)
	s.ReportExit(3*second, "x")
	requireState(t, s, supervisor.Stopped)
	action, _ = nextAction(t, s, 3*second)
	require.Equal(t, supervisor.NoAction, action)
}

func TestInstancesThatFailTogetherDoNotRestartTogether(t *testing.T) {
	starts := map[logic.Micros]int{}
	for seed := range int64(30) {
		s := supervisor.New(seed)
		s.SetDesired(0, true, 0)
		s.ReportStarted(0)
		for range 3 {
			s.ReportExit(0, "x")
		}
		_, at := nextAction(t, s, 0)
		starts[at]++
	}
	require.Greater(t, len(starts), 3)
}

// Guards against an adopted process that is killed as a start that failed because it does not answer: it may be serving clients.
func TestAdoptedProcessThatDoesNotAnswerIsNotKilled(t *testing.T) {
	s := supervisor.New(1)
	s.Adopt(0, 4)
	s.SetDesired(0, true, 4)
	action, _ := nextAction(t, s, 0)
	require.Equal(t, supervisor.NoAction, action)
	requireState(t, s, supervisor.Adopted)
	s.ReportNotReady(200 * second)
	action, at := nextAction(t, s, 200*second)
	require.Equal(t, supervisor.Kill, action, "it answers, and never becomes ready")
	require.Greater(t, at, 210*second)
}
