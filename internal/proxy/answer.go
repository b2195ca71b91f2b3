package proxy

import (
	"errors"

	"hatchproxy/internal/lifecycle"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
)

// Why requests are refused before an attempt, as the figures tell it.
const (
	noDescriptors = "no descriptors"
	isLeaving     = "leaving"
)

// lately is why a request that was taken ends without a server: how its last attempt ended.
func (c *client) lately() string {
	if c.request.Attempts() == 0 {
		return "no server"
	}
	return c.last.String()
}

// refuse tells a client whose request the proxy does not take that trying again is harmless.
func (p *Proxy) refuse(c *client, why string) {
	p.answer(c, telemetry.Deferred, protocol.Refusal(0), why)
}

// answer gives a client its final line and closes. One that is over is left alone.
func (p *Proxy) answer(c *client, ending telemetry.Ending, line []byte, why string) {
	if !c.request.Over() {
		p.say(c, ending, line, why)
		p.closeAnswered(c)
	}
}

// say gives a client its final line. A refusal that proves too much is told as a failure instead.
func (p *Proxy) say(c *client, ending telemetry.Ending, line []byte, why string) {
	answer := lifecycle.Failed
	if ending == telemetry.Deferred {
		answer = lifecycle.Refused
	}
	if err := c.request.Answer(answer); err != nil {
		p.violated(c, err)
		if answer != lifecycle.Refused || c.request.Answer(lifecycle.Failed) != nil {
			return
		}
		ending, line = telemetry.Errored, protocol.Failed
	}
	if c.class != "" {
		p.counts.Count(c.class, ending)
	}
	if ending == telemetry.Deferred {
		p.counts.Refused(why)
	}
	p.trace("answered", c, "ending", ending.String(), "why", why)
	_, _ = c.conn.Write(line) // a failure comes as the end of the connection
	p.release(c)
}

// violated counts and logs what a rule forbids: each is a fault of this program, and was not done.
func (p *Proxy) violated(c *client, err error) {
	rule := "unknown"
	var v *lifecycle.Violation
	if errors.As(err, &v) {
		rule = string(v.Rule)
	}
	p.counts.Violated(rule)
	args := []any{"rule", rule, "error", err}
	if c != nil {
		args = append(args, "id", uint64(c.id), "client_id", c.talk.ID, "attempts", c.request.Attempts(), "last", c.last.String())
	}
	p.log.Error("a rule was about to be broken", args...)
}
