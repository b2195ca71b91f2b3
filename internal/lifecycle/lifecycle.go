// Package lifecycle is the state machine of a client's request. It alone decides whether the request may be sent, sent
// again, answered, established or closed now. It uses no socket and no clock. An action that it refuses is a violation of
// a rule: the caller must not perform it, and counts it.
package lifecycle

import (
	"fmt"

	"hatchproxy/logic"
)

// State is the state of a request.
type State uint8

const (
	Reading     State = iota // its client has connected; its line has not been read completely
	Pending                  // accepted; no attempt is in progress
	Attempting               // an attempt is in progress
	Established              // its connection is established
	Ended                    // it has its final answer, its client has left, or its connection has ended
)

var stateNames = [...]string{"reading", "pending", "attempting", "established", "ended"}

// String returns the name of the state in error messages.
func (s State) String() string { return stateNames[s] }

// Rule is a rule of the protocol that actions on requests must keep to. Its text is the name in logs and metrics.
type Rule string

// The rules, after what the protocol requires of connections. docs/endings.md lists where each of them is checked.
const (
	OneAnswer        Rule = "one-answer"          // a request has one final answer
	NothingAfterEnd  Rule = "nothing-after-end"   // nothing is sent for a request that has ended
	OneAttempt       Rule = "one-attempt"         // at most one attempt is in progress
	BeforeDeadline   Rule = "in-time"             // nothing is sent after the deadline
	ClientPresent    Rule = "client-present"      // nothing is sent for a client that has left
	ProofForRepeat   Rule = "proof-for-repeat"    // a one-shot request is sent again only if no attempt can have run
	ProofForRefusal  Rule = "proof-for-refusal"   // a one-shot request is refused only if no attempt can have run
	NoSilentClose    Rule = "no-silent-close"     // a connection on which a request has been read is not closed without an answer
	EndOnlyWhenTold  Rule = "end-only-when-told"  // the process ends only when it was told to
	NothingLeftAtEnd Rule = "nothing-left-at-end" // the process ends only when each request has its answer
)

// Violation is the error for an action that a rule forbids in the state of the request.
type Violation struct {
	Rule   Rule
	State  State
	Detail string // the action, or why it is forbidden
}

// Error names the rule, the state of the request and the forbidden action.
func (v *Violation) Error() string {
	return fmt.Sprintf("%s: not allowed while the request is %s: %s", v.Rule, v.State, v.Detail)
}

// Answer is the final answer to a client.
type Answer uint8

const (
	Refused Answer = iota // a retry is harmless
	Failed                // no promise: the request may have run
)

// Request is the state of one client's request. The zero value is a request that is being read.
type Request struct {
	state       State
	idempotency logic.Idempotency
	deadline    logic.Micros
	established bool // its connection is or was established
	partialLine bool // a part of its line has been read
	sent        bool // the line of the attempt in progress has been handed over for writing
	mayHaveRun  bool // an earlier attempt may have run
	attempts    int
}

// State returns the state of the request.
func (r *Request) State() State { return r.state }

// HasEnded reports whether the request has ended, so that nothing more may be done for it.
func (r *Request) HasEnded() bool { return r.state == Ended }

// WasEstablished reports whether the connection of the request is established, or was until it ended.
func (r *Request) WasEstablished() bool { return r.established }

// Attempts returns the number of attempts so far.
func (r *Request) Attempts() int { return r.attempts }

// MayHaveRun reports whether an attempt that has ended may have run.
func (r *Request) MayHaveRun() bool { return r.mayHaveRun }

// SetPartialLine records whether a part of the request line has been read and the rest is still to come.
func (r *Request) SetPartialLine(partial bool) { r.partialLine = partial }

// Accept records that the request line has been read: whether the request may be repeated, and its deadline.
func (r *Request) Accept(idempotency logic.Idempotency, deadline logic.Micros) error {
	if r.state != Reading {
		return r.violation(OneAnswer, "it was accepted before")
	}
	r.state, r.idempotency, r.deadline = Pending, idempotency, deadline
	return nil
}

// Resume makes it the request of an established connection that was handed over by another process.
func (r *Request) Resume(idempotency logic.Idempotency) {
	r.state, r.established, r.idempotency = Established, true, idempotency
}

// RunsOnce reports whether the request may run once only.
func (r *Request) RunsOnce() bool { return r.idempotency == logic.OneShot }

// Expire moves the deadline to now if it is later.
func (r *Request) Expire(now logic.Micros) { r.deadline = min(r.deadline, now) }

// StartAttempt begins an attempt, or returns the violation that this would be.
func (r *Request) StartAttempt(now logic.Micros) error {
	switch {
	case r.state == Ended:
		return r.violation(NothingAfterEnd, "an attempt would begin")
	case r.state != Pending:
		return r.violation(OneAttempt, "another attempt would begin")
	case r.mayHaveRun && r.idempotency == logic.OneShot:
		return r.violation(ProofForRepeat, "an earlier attempt may have run")
	case now >= r.deadline:
		return r.violation(BeforeDeadline, "an attempt would begin")
	}
	r.state, r.sent = Attempting, false
	r.attempts++
	return nil
}

// CheckSend must be called right before the line of the attempt is written. It returns the violation that this would be, or
// nil. clientPresent tells whether the client is still connected. A refusal is no fault of the caller: the client may have left,
// or the deadline passed, since the attempt began.
func (r *Request) CheckSend(now logic.Micros, clientPresent bool) error {
	switch {
	case r.state == Ended:
		return r.violation(NothingAfterEnd, "its line would be sent")
	case r.state != Attempting || r.sent:
		return r.violation(OneAttempt, "its line would be sent")
	case !clientPresent:
		return r.violation(ClientPresent, "its line would be sent")
	case now >= r.deadline:
		return r.violation(BeforeDeadline, "its line would be sent")
	}
	return nil
}

// MarkSent records that the line of the attempt was handed over for writing.
func (r *Request) MarkSent() { r.sent = true }

// FinishAttempt ends the attempt in progress; mayHaveRun tells whether the request may have run.
func (r *Request) FinishAttempt(mayHaveRun bool) {
	if r.state != Attempting {
		return
	}
	r.state, r.sent = Pending, false
	r.mayHaveRun = r.mayHaveRun || mayHaveRun
}

// Establish records that the connection is established, or returns the violation that this would be.
func (r *Request) Establish() error {
	if r.state != Attempting || !r.sent {
		return r.violation(OneAnswer, "the connection would be established")
	}
	r.state, r.established = Established, true
	return nil
}

// Answer records the final answer and ends the request, or returns the violation that this answer would be. If Refused is
// not allowed the request is unchanged, so that the caller can answer Failed instead.
func (r *Request) Answer(answer Answer) error {
	switch {
	case r.state == Ended || r.established:
		return r.violation(OneAnswer, "it would be answered again")
	case answer == Refused && r.idempotency == logic.OneShot && (r.mayHaveRun || r.state == Attempting && r.sent):
		return r.violation(ProofForRefusal, "an attempt may have run")
	}
	r.state = Ended
	return nil
}

// End ends a request whose client has left, or whose established connection has ended.
func (r *Request) End() { r.state = Ended }

// CheckClose returns the violation that closing the client's connection now would be, or nil if the proxy may close it. It does not
// change the request.
func (r *Request) CheckClose() error {
	switch r.state {
	case Reading:
		if r.partialLine {
			return r.violation(NoSilentClose, "a part of its line has been read")
		}
	case Pending, Attempting:
		return r.violation(NoSilentClose, "it has no answer yet")
	}
	return nil
}

// violation returns a Violation of a rule in the state of the request.
func (r *Request) violation(rule Rule, detail string) error {
	return &Violation{Rule: rule, State: r.state, Detail: detail}
}
