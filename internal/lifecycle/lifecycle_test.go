package lifecycle_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"hatchproxy/internal/lifecycle"
	"hatchproxy/logic"
)

const deadline = 1000

// acceptedRequest returns a request whose line has been read.
func acceptedRequest(t *testing.T, idempotency logic.Idempotency) *lifecycle.Request {
	r := &lifecycle.Request{}
	r.SetPartialLine(true)
	require.NoError(t, r.Accept(idempotency, deadline))
	return r
}

func requireViolation(t *testing.T, rule lifecycle.Rule, err error) {
	t.Helper()
	var v *lifecycle.Violation
	require.True(t, errors.As(err, &v), "%v", err)
	require.Equal(t, rule, v.Rule)
}

// sendAttempt begins an attempt and sends its line.
func sendAttempt(t *testing.T, r *lifecycle.Request) {
	t.Helper()
	require.NoError(t, r.StartAttempt(1))
	require.NoError(t, r.CheckSend(2, true))
	r.MarkSent()
}

func TestARequestHasOneAnswer(t *testing.T) {
	r := acceptedRequest(t, logic.Harmless)
	require.NoError(t, r.Answer(lifecycle.Refused))
	requireViolation(t, lifecycle.OneAnswer, r.Answer(lifecycle.Failed))
	requireViolation(t, lifecycle.NothingAfterEnd, r.StartAttempt(1))
	requireViolation(t, lifecycle.NothingAfterEnd, r.CheckSend(1, true))

	r = acceptedRequest(t, logic.Harmless)
	sendAttempt(t, r)
	require.NoError(t, r.Establish())
	requireViolation(t, lifecycle.OneAnswer, r.Answer(lifecycle.Failed))
	require.NoError(t, r.CheckClose())
	r.End()
	require.True(t, r.WasEstablished())
	requireViolation(t, lifecycle.OneAnswer, r.Answer(lifecycle.Refused))
}

func TestOneShotThatMayHaveRunIsNeitherRepeatedNorRefused(t *testing.T) {
	r := acceptedRequest(t, logic.OneShot)
	sendAttempt(t, r)
	requireViolation(t, lifecycle.ProofForRefusal, r.Answer(lifecycle.Refused))
	r.FinishAttempt(true)
	requireViolation(t, lifecycle.ProofForRepeat, r.StartAttempt(3))
	requireViolation(t, lifecycle.ProofForRefusal, r.Answer(lifecycle.Refused))
	require.NoError(t, r.Answer(lifecycle.Failed))

	for _, idempotency := range []logic.Idempotency{logic.Harmless, logic.Stamped} {
		r = acceptedRequest(t, idempotency)
		sendAttempt(t, r)
		r.FinishAttempt(true)
		sendAttempt(t, r)
		require.Equal(t, 2, r.Attempts())
	}

	r = acceptedRequest(t, logic.OneShot)
	sendAttempt(t, r)
	r.FinishAttempt(false)
	sendAttempt(t, r)
	r.FinishAttempt(false)
	require.NoError(t, r.Answer(lifecycle.Refused), "no attempt can have run")
}

func TestOnlyOneAttemptAtATime(t *testing.T) {
	r := acceptedRequest(t, logic.Harmless)
	sendAttempt(t, r)
	requireViolation(t, lifecycle.OneAttempt, r.StartAttempt(3))
	requireViolation(t, lifecycle.OneAttempt, r.CheckSend(3, true))
}

func TestNothingIsSentAfterTheDeadlineOrWithoutAClient(t *testing.T) {
	r := acceptedRequest(t, logic.Harmless)
	requireViolation(t, lifecycle.BeforeDeadline, r.StartAttempt(deadline))
	require.NoError(t, r.StartAttempt(deadline-1))
	requireViolation(t, lifecycle.BeforeDeadline, r.CheckSend(deadline, true))
	requireViolation(t, lifecycle.ClientPresent, r.CheckSend(1, false))
	r.Expire(5)
	requireViolation(t, lifecycle.BeforeDeadline, r.CheckSend(5, true))
}

func TestRequestThatWasReadIsNotClosedWithoutAnswer(t *testing.T) {
	r := &lifecycle.Request{}
	require.NoError(t, r.CheckClose(), "nothing has been read")
	r.SetPartialLine(true)
	requireViolation(t, lifecycle.NoSilentClose, r.CheckClose())
	require.NoError(t, r.Accept(logic.Harmless, deadline))
	requireViolation(t, lifecycle.NoSilentClose, r.CheckClose())
	require.NoError(t, r.StartAttempt(1))
	requireViolation(t, lifecycle.NoSilentClose, r.CheckClose())
	require.NoError(t, r.Answer(lifecycle.Failed))
	require.NoError(t, r.CheckClose())
}

// Tries all sequences of six calls: there must be at most one answer, and no attempt of a one-shot request after one that
// may have run.
func TestNoSequenceOfCallsBreaksARule(t *testing.T) {
	calls := []func(*lifecycle.Request) (answered, started, ran bool){
		func(r *lifecycle.Request) (bool, bool, bool) { return false, r.StartAttempt(1) == nil, false },
		func(r *lifecycle.Request) (bool, bool, bool) {
			if r.CheckSend(1, true) == nil {
				r.MarkSent()
			}
			return false, false, false
		},
		func(r *lifecycle.Request) (bool, bool, bool) {
			attempting := r.State() == lifecycle.Attempting
			r.FinishAttempt(true)
			return false, false, attempting
		},
		func(r *lifecycle.Request) (bool, bool, bool) { return r.Establish() == nil, false, false },
		func(r *lifecycle.Request) (bool, bool, bool) { return r.Answer(lifecycle.Refused) == nil, false, false },
		func(r *lifecycle.Request) (bool, bool, bool) { return r.Answer(lifecycle.Failed) == nil, false, false },
		func(r *lifecycle.Request) (bool, bool, bool) { r.End(); return false, false, false },
	}
	const depth = 6
	sequence := make([]int, depth)
	for {
		r := acceptedRequest(t, logic.OneShot)
		answers, mayHaveRun := 0, false
		for _, n := range sequence {
			answered, started, ran := calls[n](r)
			if answered {
				answers++
			}
			require.False(t, started && mayHaveRun, "%v", sequence)
			mayHaveRun = mayHaveRun || ran
		}
		require.LessOrEqual(t, answers, 1, "%v", sequence)
		place := 0
		for ; place < depth && sequence[place] == len(calls)-1; place++ {
			sequence[place] = 0
		}
		if place == depth {
			return
		}
		sequence[place]++
	}
}
