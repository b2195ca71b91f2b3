package proxy

import (
	"errors"

	"hatchproxy/internal/lifecycle"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
)

// Why requests are refused before an attempt, as the figures tell it.
const (
	reasonNoDescriptors = "no descriptors"
	reasonLeaving       = "leaving"
)

// failureReason is why a request that was taken ends without a server: how its last attempt ended.
func (c *client) failureReason() string {
	if c.request.Attempts() == 0 {
		return "no server"
	}
	return c.lastOutcome.String()
}

// refuse tells a client whose request the proxy does not take that trying again is harmless.
func (p *Proxy) refuse(c *client, why string) {
	p.answerAndClose(c, telemetry.Deferred, protocol.BusyLine(0), why)
}

// answerAndClose gives a client its final line and closes. One that is over is left alone.
func (p *Proxy) answerAndClose(c *client, ending telemetry.Ending, line []byte, why string) {
	if !c.request.HasEnded() {
		p.sendAnswer(c, ending, line, why)
		p.closeAnswered(c)
	}
}

// sendAnswer gives a client its final line. A refusal that proves too much is told as a failure instead.
func (p *Proxy) sendAnswer(c *client, ending telemetry.Ending, line []byte, why string) {
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
		p.counters.CountRefused(why)
	}
	p.trace("answered", c, "ending", ending.String(), "why", why)
	_, _ = c.conn.Write(line) // a failure comes as the end of the connection
	p.releaseClient(c)
}

// reportViolation counts and logs what a rule forbids: each is a fault of this program, and was not done.
func (p *Proxy) reportViolation(c *client, err error) {
	rule := "unknown"
	var v *lifecycle.Violation
	if errors.As(err, &v) {
		rule = string(v.Rule)
	}
	p.counters.CountViolation(rule)
	args := []any{"rule", rule, "error", err}
	if c != nil {
		args = append(args, "id", uint64(c.id), "client_id", c.parser.ID, "attempts", c.request.Attempts(), "last", c.lastOutcome.String())
	}
	p.log.Error("a rule was about to be broken", args...)
}
