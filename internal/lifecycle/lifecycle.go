// Package lifecycle is the one place that decides whether something may be done for a request now: sent, sent again,
// answered, established or closed. It follows each request through its states and knows no socket and no clock. What it
// refuses is a violation: its caller does not do it, and counts it.
package lifecycle

import (
	"fmt"

	"hatchproxy/logic"
)

// State is where a request stands.
type State uint8

const (
	Reading     State = iota // its client has connected; its line is not whole
	Pending                  // taken; no attempt is out
	Attempting               // an attempt is out
	Established              // its connection stands
	Ended                    // it has its final answer, its client has left, or its connection has ended
)

var stateNames = [...]string{"reading", "pending", "attempting", "established", "ended"}

func (s State) String() string { return stateNames[s] }

// Rule names what a violation breaks.
type Rule string

// The rules. Source: the protocol's rules on sockets; docs/endings.md lists who asks for each.
const (
	OneAnswer        Rule = "one-answer"          // a request has one final answer
	NothingAfterEnd  Rule = "nothing-after-end"   // nothing is sent for a request that has ended
	OneAttempt       Rule = "one-attempt"         // one attempt is out at a time
	BeforeDeadline   Rule = "in-time"             // nothing is sent past the deadline
	ClientPresent    Rule = "client-present"      // nothing is sent for a client that has left
	ProofForRepeat   Rule = "proof-for-repeat"    // once-only: again only if no attempt can have run
	ProofForRefusal  Rule = "proof-for-refusal"   // once-only: refused only if no attempt can have run
	NoSilentClose    Rule = "no-silent-close"     // a request that was read is not closed without an answer
	EndOnlyWhenTold  Rule = "end-only-when-told"  // a process ends only when it was told to
	NothingLeftAtEnd Rule = "nothing-left-at-end" // and when each request has its answer
)

// Violation is an action that a rule forbids in a request's state.
type Violation struct {
	Rule   Rule
	State  State
	Detail string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("%s: not while a request is %s: %s", v.Rule, v.State, v.Detail)
}

// Answer is what a client is told.
type Answer uint8

const (
	Refused Answer = iota // trying again is harmless
	Failed                // nothing is promised
)

// Request is one client's request. The zero value is one that is being read.
type Request struct {
	state       State
	idempotency logic.Idempotency
	deadline    logic.Micros
	established bool // it stood once
	partialLine bool // a part of its line has come
	sent        bool // the attempt that is out has been written whole
	mayHaveRun  bool // an earlier attempt may have
	attempts    int
}

// State tells where it stands.
func (r *Request) State() State { return r.state }

// HasEnded tells whether nothing may be done for it any more.
func (r *Request) HasEnded() bool { return r.state == Ended }

// WasEstablished tells whether its connection stands, or stood until it ended.
func (r *Request) WasEstablished() bool { return r.established }

// Attempts counts the attempts so far.
func (r *Request) Attempts() int { return r.attempts }

// SetPartialLine notes whether a part of its line has come, and waits for the rest.
func (r *Request) SetPartialLine(part bool) { r.partialLine = part }

// Accept takes a request whose line is whole: what a second run of it would do, and until when it is to be answered.
func (r *Request) Accept(effect logic.Idempotency, deadline logic.Micros) error {
	if r.state != Reading {
		return r.violation(OneAnswer, "it was taken before")
	}
	r.state, r.idempotency, r.deadline = Pending, effect, deadline
	return nil
}

// Resume takes a connection that stands already, from another process.
func (r *Request) Resume() { r.state, r.established = Established, true }

// Expire brings the deadline forward.
func (r *Request) Expire(now logic.Micros) { r.deadline = min(r.deadline, now) }

// StartAttempt begins an attempt, or says why there may be none.
func (r *Request) StartAttempt(now logic.Micros) error {
	switch {
	case r.state == Ended:
		return r.violation(NothingAfterEnd, "an attempt begins")
	case r.state != Pending:
		return r.violation(OneAttempt, "another attempt begins")
	case r.mayHaveRun && r.idempotency == logic.OneShot:
		return r.violation(ProofForRepeat, "an earlier attempt may have run")
	case now >= r.deadline:
		return r.violation(BeforeDeadline, "an attempt begins")
	}
	r.state, r.sent = Attempting, false
	r.attempts++
	return nil
}

// CheckSend says why the attempt's line may not be written, in the instant before it would be; nil where it may. present
// tells whether its client is still there. A refusal here is no violation by itself: the world may have changed since
// the attempt began.
func (r *Request) CheckSend(now logic.Micros, present bool) error {
	switch {
	case r.state == Ended:
		return r.violation(NothingAfterEnd, "a line is about to be sent")
	case r.state != Attempting || r.sent:
		return r.violation(OneAttempt, "a line is about to be sent")
	case !present:
		return r.violation(ClientPresent, "a line is about to be sent")
	case now >= r.deadline:
		return r.violation(BeforeDeadline, "a line is about to be sent")
	}
	return nil
}

// MarkSent notes that the line was handed over for writing.
func (r *Request) MarkSent() { r.sent = true }

// FinishAttempt ends the attempt that is out; ran tells whether it may have run.
func (r *Request) FinishAttempt(ran bool) {
	if r.state != Attempting {
		return
	}
	r.state, r.sent = Pending, false
	r.mayHaveRun = r.mayHaveRun || ran
}

// Establish has the connection stand.
func (r *Request) Establish() error {
	if r.state != Attempting || !r.sent {
		return r.violation(OneAnswer, "it would stand")
	}
	r.state, r.established = Established, true
	return nil
}

// Answer gives the final answer and ends the request, or says why it must not be this one. A refusal that is not allowed
// leaves the request as it is: it may fail instead.
func (r *Request) Answer(a Answer) error {
	switch {
	case r.state == Ended || r.established:
		return r.violation(OneAnswer, "another answer")
	case a == Refused && r.idempotency == logic.OneShot && (r.mayHaveRun || r.state == Attempting && r.sent):
		return r.violation(ProofForRefusal, "an attempt may have run")
	}
	r.state = Ended
	return nil
}

// End ends a request whose client has left, or whose standing connection has ended.
func (r *Request) End() { r.state = Ended }

// Close says why its client's connection must not be closed by this side; nil where it may.
func (r *Request) Close() error {
	switch r.state {
	case Reading:
		if r.partialLine {
			return r.violation(NoSilentClose, "its line came in part")
		}
	case Pending, Attempting:
		return r.violation(NoSilentClose, "it has no answer")
	}
	return nil
}

func (r *Request) violation(rule Rule, why string) error {
	return &Violation{Rule: rule, State: r.state, Detail: why}
}
