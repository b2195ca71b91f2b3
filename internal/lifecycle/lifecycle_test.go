package lifecycle_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/lifecycle"
	"hatchproxy/logic"
)

const deadline = 1000

func taken(t *testing.T, effect logic.Repeat) *lifecycle.Request {
	r := &lifecycle.Request{}
	r.Read(true)
	require.NoError(t, r.Take(effect, deadline))
	return r
}

func breaks(t *testing.T, rule lifecycle.Rule, err error) {
	t.Helper()
	var v *lifecycle.Violation
	require.True(t, errors.As(err, &v), "%v", err)
	require.Equal(t, rule, v.Rule)
}

func attempt(t *testing.T, r *lifecycle.Request) {
	t.Helper()
	require.NoError(t, r.Start(1))
	require.NoError(t, r.Send(2, true))
	r.Sent()
}

func TestARequestHasOneAnswer(t *testing.T) {
	r := taken(t, logic.Harmless)
	require.NoError(t, r.Answer(lifecycle.Refused))
	breaks(t, lifecycle.OneAnswer, r.Answer(lifecycle.Failed))
	breaks(t, lifecycle.NothingAfterEnd, r.Start(1))
	breaks(t, lifecycle.NothingAfterEnd, r.Send(1, true))

	r = taken(t, logic.Harmless)
	attempt(t, r)
	require.NoError(t, r.Establish())
	breaks(t, lifecycle.OneAnswer, r.Answer(lifecycle.Failed))
	require.NoError(t, r.Close())
	r.End()
	require.True(t, r.Stood())
	breaks(t, lifecycle.OneAnswer, r.Answer(lifecycle.Refused))
}

func TestWhatMayHaveRunOnceIsNeitherRepeatedNorRefused(t *testing.T) {
	r := taken(t, logic.OneShot)
	attempt(t, r)
	breaks(t, lifecycle.ProofForRefusal, r.Answer(lifecycle.Refused))
	r.Finish(true)
	breaks(t, lifecycle.ProofForRepeat, r.Start(3))
	breaks(t, lifecycle.ProofForRefusal, r.Answer(lifecycle.Refused))
	require.NoError(t, r.Answer(lifecycle.Failed))

	for _, effect := range []logic.Repeat{logic.Harmless, logic.Stamped} {
		r = taken(t, effect)
		attempt(t, r)
		r.Finish(true)
		attempt(t, r)
		require.Equal(t, 2, r.Attempts())
	}

	r = taken(t, logic.OneShot)
	attempt(t, r)
	r.Finish(false)
	attempt(t, r)
	r.Finish(false)
	require.NoError(t, r.Answer(lifecycle.Refused), "no attempt can have run")
}

func TestOneAttemptIsOutAtATime(t *testing.T) {
	r := taken(t, logic.Harmless)
	attempt(t, r)
	breaks(t, lifecycle.OneAttempt, r.Start(3))
	breaks(t, lifecycle.OneAttempt, r.Send(3, true))
}

func TestNothingIsSentLateOrForNobody(t *testing.T) {
	r := taken(t, logic.Harmless)
	breaks(t, lifecycle.InTime, r.Start(deadline))
	require.NoError(t, r.Start(deadline-1))
	breaks(t, lifecycle.InTime, r.Send(deadline, true))
	breaks(t, lifecycle.ClientPresent, r.Send(1, false))
	r.Expire(5)
	breaks(t, lifecycle.InTime, r.Send(5, true))
}

func TestWhatWasReadIsNotClosedInSilence(t *testing.T) {
	r := &lifecycle.Request{}
	require.NoError(t, r.Close(), "nothing has come")
	r.Read(true)
	breaks(t, lifecycle.NoSilentClose, r.Close())
	require.NoError(t, r.Take(logic.Harmless, deadline))
	breaks(t, lifecycle.NoSilentClose, r.Close())
	require.NoError(t, r.Start(1))
	breaks(t, lifecycle.NoSilentClose, r.Close())
	require.NoError(t, r.Answer(lifecycle.Failed))
	require.NoError(t, r.Close())
}

// Whatever order the calls come in: one answer at most, and a once-only request never starts anew once one may have run.
func TestNoOrderOfCallsBreaksARule(t *testing.T) {
	calls := []func(*lifecycle.Request) (answered, started, ran bool){
		func(r *lifecycle.Request) (bool, bool, bool) { return false, r.Start(1) == nil, false },
		func(r *lifecycle.Request) (bool, bool, bool) {
			if r.Send(1, true) == nil {
				r.Sent()
			}
			return false, false, false
		},
		func(r *lifecycle.Request) (bool, bool, bool) {
			out := r.State() == lifecycle.Attempting
			r.Finish(true)
			return false, false, out
		},
		func(r *lifecycle.Request) (bool, bool, bool) { return r.Establish() == nil, false, false },
		func(r *lifecycle.Request) (bool, bool, bool) { return r.Answer(lifecycle.Refused) == nil, false, false },
		func(r *lifecycle.Request) (bool, bool, bool) { return r.Answer(lifecycle.Failed) == nil, false, false },
		func(r *lifecycle.Request) (bool, bool, bool) { r.End(); return false, false, false },
	}
	const depth = 6
	order := make([]int, depth)
	for {
		r := taken(t, logic.OneShot)
		answers, hadRun := 0, false
		for _, n := range order {
			answered, started, ran := calls[n](r)
			if answered {
				answers++
			}
			require.False(t, started && hadRun, "%v", order)
			hadRun = hadRun || ran
		}
		require.LessOrEqual(t, answers, 1, "%v", order)
		at := 0
		for ; at < depth && order[at] == len(calls)-1; at++ {
			order[at] = 0
		}
		if at == depth {
			return
		}
		order[at]++
	}
}
