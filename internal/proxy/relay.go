package proxy

import (
	"bytes"
	"slices"

	"hatchproxy/internal/loadreports"
	"hatchproxy/internal/protocol"
	"hatchproxy/logic"
)

// reply is how long a message took at a server, and when its answer came.
type reply struct{ receivedAt, took logic.Micros }

const (
	// maxUnanswered bounds what is noted of a connection; clients send a line every few seconds.
	maxUnanswered = 64
	// maxUnsentBytes bounds what is kept for a side that does not read; a line has 4 KiB at most.
	maxUnsentBytes = 256 << 10
	// responseTimeout is how long a server may bring nothing back to a message before its client is moved: answers
	// come at once also from late servers, and the longest pauses seen were a fifth of this. The protocol's
	// 7 s count from the last word back, and the next message may come 2 s after that.
	responseTimeout = 1500 * millisecond
	// responseWindow is the span whose answers tell how long messages take: clients send one every 2 s.
	responseWindow = 2 * second
)

// relayToServer passes a client's bytes on and notes when its messages came.
func (p *Proxy) relayToServer(c *client, b []byte) {
	d := c.attempt
	now := p.now()
	for range min(bytes.Count(b, []byte{'\n'}), maxUnanswered-len(c.unansweredAt)) {
		c.unansweredAt = append(c.unansweredAt, now)
	}
	_, _ = d.conn.Write(b) // a failure comes as the end of the connection
	if !d.finished && d.conn.OutboundBuffered() > maxUnsentBytes {
		p.log.Warn("a server does not read", "server", d.server.endpoint)
		p.moveClient(c, logic.Reset, bySilence)
	}
}

// relayToClient passes a server's bytes on and tells the decisions what they say.
func (p *Proxy) relayToClient(d *attempt, ev protocol.ServerEvent, pass []byte) {
	c, now := d.client, p.now()
	switch ev {
	case protocol.ServerLoad:
		p.handleLoadReport(now, d, d.parser.Load)
	case protocol.ServerMove:
		d.closeOutcome = logic.Cancelled
	case protocol.ServerBye:
		d.closeOutcome = logic.OK
	case protocol.ServerMessage:
		if len(c.unansweredAt) > 0 {
			d.server.recentReplies = append(d.server.recentReplies, reply{now, now - c.unansweredAt[0]})
			c.unansweredAt = slices.Delete(c.unansweredAt, 0, 1)
		}
	}
	p.writeToClient(c, pass)
}

// handleLoadReport tells the decisions what a server's figure says. Guards against a delay that is taken for a load: where both
// are told they look alike, and the heaviest clients of a late server would count as its lightest.
func (p *Proxy) handleLoadReport(now logic.Micros, d *attempt, x float64) {
	c, s := d.client, d.server
	if !p.delaysReported {
		p.trace("load", c, "level", x)
		p.instance.LoadChanged(now, c.id, x)
		return
	}
	switch s.reports.Classify(now, &c.reports, s.establishedCount, p.delayEvidence >= 0, x) {
	case loadreports.Load:
		p.trace("load", c, "level", x)
		p.instance.LoadChanged(now, c.id, x)
	case loadreports.DelayAndPrevious:
		p.adjustDelayEvidence(1)
		p.instance.LoadChanged(now, c.id, c.reports.Load)
		p.reportDelay(now, s, x)
	case loadreports.Delay:
		if p.delayEvidence == 0 {
			p.adjustDelayEvidence(1)
		}
		p.reportDelay(now, s, x)
		p.scheduleAfter(loadreports.ConfirmWait, func() {
			if !s.reports.RevertUnconfirmed(p.now(), &c.reports, now, x) {
				return
			}
			p.adjustDelayEvidence(-1)
			if p.delayEvidence == 0 {
				p.adjustDelayEvidence(-1) // until a series of them is heard
			}
			if !c.request.HasEnded() {
				p.instance.LoadChanged(p.now(), c.id, x)
			}
		})
	}
}

// maxDelayEvidence bounds how long a proxy goes on believing that delays are told after the last series of them.
const maxDelayEvidence = 4

// adjustDelayEvidence counts a series of delays, or a figure that was taken for one and was none. While more of the former were
// heard, nobody is probed. What the settings promise is believed of a first small figure until one proves to be none: in
// fleets that do tell, the word of a server's first late second was missed by each proxy (docs/incidents/promised-delays.md).
func (p *Proxy) adjustDelayEvidence(by int) {
	p.delayEvidence = min(max(p.delayEvidence+by, -1), maxDelayEvidence)
	p.instance.SetDelaysReported(p.delayEvidence > 0)
}

func (p *Proxy) reportDelay(now logic.Micros, s *server, ms float64) {
	p.instance.RecordDelay(now, s.id, logic.Micros(ms*float64(millisecond)))
}

func (p *Proxy) writeToClient(c *client, b []byte) {
	_, _ = c.conn.Write(b) // a failure comes as the end of the connection
	if !c.request.HasEnded() && c.conn.OutboundBuffered() > maxUnsentBytes {
		p.log.Warn("a client does not read")
		p.endEstablished(c, byClient)
		p.instance.ClientLeft(p.now(), c.id)
		p.closeConn(c.attempt.conn, true)
		p.closeConn(c.conn, true)
	}
}

// Move ends an open connection politely.
func (p *Proxy) Move(id logic.AttachmentID) {
	c := p.clients[id]
	if c == nil || !c.request.WasEstablished() {
		return
	}
	by := byChoice
	if seen, known := p.instance.ServerStatus(p.now(), c.attempt.server.id); known && seen.State != logic.Ready {
		by = byDrain
	}
	p.moveClient(c, logic.Cancelled, by)
}

// moveClient tells a client to come again and closes both sides, once the line that is being passed on is whole.
func (p *Proxy) moveClient(c *client, o logic.Outcome, by string) {
	p.moveClientBy(c, o, by, p.now()+second)
}

func (p *Proxy) moveClientBy(c *client, o logic.Outcome, by string, latest logic.Micros) {
	d := c.attempt
	if c.request.HasEnded() {
		return
	}
	if (!d.parser.AtLineStart() || c.conn == nil) && p.now() < latest {
		p.scheduleAfter(10*millisecond, func() { p.moveClientBy(c, o, by, latest) })
		return
	}
	if d.parser.AtLineStart() && c.conn != nil {
		_, _ = c.conn.Write(protocol.MoveLine) // a failure comes as the end of the connection
		if c.request.HasEnded() {
			return
		}
	}
	p.endEstablished(c, by)
	p.instance.DispatchEnded(p.now(), c.id, o, true)
	p.closeConn(d.conn, false)
	p.closeAnswered(c)
}

// tick tells, once a second, how long messages take at each server where connections stand and they are late,
// and once more when they no longer are. It moves clients whose server brings nothing back.
func (p *Proxy) tick() {
	p.scheduleAfter(second, p.tick)
	now := p.now()
	p.expireOrders(now)
	p.logRefusals()
	p.traceServers(now)
	if p.protocolErrors > 0 {
		p.log.Info("clients' bytes were refused", "count", p.protocolErrors, "last", p.lastProtocolError)
		p.protocolErrors = 0
	}
	if p.socketRefusals > 0 {
		p.log.Warn("clients were turned away: all sockets are in use for requests", "count", p.socketRefusals, "sockets", p.maxSockets)
		p.socketRefusals = 0
	}
	waiting := map[*server][]logic.Micros{}
	var mute []*client
	for _, c := range p.clients {
		if !c.request.WasEstablished() || len(c.unansweredAt) == 0 {
			continue
		}
		age := now - c.unansweredAt[0]
		waiting[c.attempt.server] = append(waiting[c.attempt.server], age)
		if age > responseTimeout {
			mute = append(mute, c)
		}
	}
	for _, id := range p.sortedServerIDs() {
		s := p.servers[id]
		s.recentReplies = slices.DeleteFunc(s.recentReplies, func(a reply) bool { return now-a.receivedAt > responseWindow })
		took, known := s.medianResponseTime(waiting[s])
		if known && s.establishedCount > 0 && (s.reportedLate || took >= p.lateThreshold) {
			s.reportedLate = took >= p.lateThreshold
			p.instance.RecordDelay(now, id, took)
		}
	}
	slices.SortFunc(mute, func(a, b *client) int { return int(a.id) - int(b.id) })
	for _, c := range mute {
		if !c.request.HasEnded() {
			p.log.Warn("a server brings nothing back", "server", c.attempt.server.endpoint)
			// At once, also within a line: its rest is not coming.
			p.moveClientBy(c, logic.Reset, bySilence, now)
		}
	}
}

// medianResponseTime is the median of what messages took lately. One that is still unanswered counts as far as it has
// taken longer than that.
func (s *server) medianResponseTime(ages []logic.Micros) (logic.Micros, bool) {
	took := make([]logic.Micros, 0, len(s.recentReplies)+len(ages))
	for _, a := range s.recentReplies {
		took = append(took, a.took)
	}
	slices.Sort(took)
	known := logic.Micros(0)
	if len(took) > 0 {
		known = took[len(took)/2]
	}
	for _, age := range ages {
		if age > known {
			took = append(took, age)
		}
	}
	if len(took) == 0 {
		return 0, false
	}
	slices.Sort(took)
	return took[len(took)/2], true
}

// sortedServerIDs lists the servers by their ids: what is told to the decisions follows no order of a map.
func (p *Proxy) sortedServerIDs() []logic.ServerID {
	ids := make([]logic.ServerID, 0, len(p.servers))
	for id := range p.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
