package proxy

import (
	"errors"

	"hatchproxy/internal/lifecycle"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
)

// Reasons for refusing a request before its first attempt: values of the `why` attribute in traces and of a metric label.
const (
	reasonNoDescriptors = "no descriptors"
	reasonLeaving       = "leaving"
	reasonRepeatedID    = "repeated id"
)

// failureReason returns why an accepted request ends without a server: the outcome of its last attempt, or that there
// was none.
func (c *client) failureReason() string {
	if c.request.Attempts() == 0 {
		return "no server"
	}
	return c.lastOutcome.String()
}

// refuse answers a client whose request the proxy does not accept: the client may safely try again at once.
func (p *Proxy) refuse(c *client, reason string) {
	p.answerAndClose(c, telemetry.Deferred, protocol.BusyLine(0), reason)
}

// answerAndClose sends a client its final answer and closes the connection. It does nothing if the request has ended.
func (p *Proxy) answerAndClose(c *client, ending telemetry.Ending, line []byte, reason string) {
	if !c.request.HasEnded() {
		p.sendAnswer(c, ending, line, reason)
		p.closeAnswered(c)
	}
}

// sendAnswer sends a client its final answer. A refusal promises that the request has not run; where that is not
// certain, the client gets the failure line instead, and the attempted refusal is reported as a violation.
func (p *Proxy) sendAnswer(c *client, ending telemetry.Ending, line []byte, reason string) {
	answer := lifecycle.Failed
	if ending == telemetry.Deferred {
		answer = lifecycle.Refused
	}
	if err := c.request.Answer(answer); err != nil {
		p.reportViolation(c, err)
		if answer != lifecycle.Refused || c.request.Answer(lifecycle.Failed) != nil {
			return
		}
		ending, line = telemetry.Errored, protocol.FailedLine
	}
	if c.class != "" {
		p.counters.CountRequest(c.class, ending)
	}
	if ending == telemetry.Deferred {
		p.counters.CountRefused(reason)
	}
	p.trace("answered", c, "ending", ending.String(), "why", reason)
	_, _ = c.conn.Write(line) // a failed write is reported through OnClose
	p.releaseClient(c)
}

// reportViolation counts and logs an action that a lifecycle rule forbids. The action was not done; each violation is
// a bug of this program. c may be nil.
func (p *Proxy) reportViolation(c *client, err error) {
	rule := "unknown"
	var violation *lifecycle.Violation
	if errors.As(err, &violation) {
		rule = string(violation.Rule)
	}
	p.counters.CountViolation(rule)
	args := []any{"rule", rule, "error", err}
	if c != nil {
		args = append(args, "id", uint64(c.id), "client_id", c.parser.ID, "attempts", c.request.Attempts(), "last", c.lastOutcome.String())
	}
	p.log.Error("prevented an action that a lifecycle rule forbids", args...)
}
