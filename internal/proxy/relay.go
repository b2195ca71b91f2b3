package proxy

import (
	"bytes"
	"slices"

	"hatchproxy/internal/loadreports"
	"hatchproxy/internal/protocol"
	"hatchproxy/logic"
)

// reply is how long a server took to answer a message, and when the answer came.
type reply struct{ receivedAt, took logic.Micros }

const (
	// maxUnanswered bounds the unanswered messages that are recorded per connection; clients send a line every few
	// seconds.
	maxUnanswered = 64
	// maxUnsentBytes bounds the output that is buffered for a peer that does not read; a line has at most 4 KiB.
	maxUnsentBytes = 256 << 10
	// responseTimeout is how long a server may leave a message unanswered before its client is moved. Even late
	// servers answer at once, and the longest pauses observed are a fifth of this. The protocol's limit of 7 s counts
	// from the server's last line, and the next message may come 2 s after that line.
	responseTimeout = 1500 * millisecond
	// maxRecentReplies bounds the response times that are kept of a server; far fewer give the same median.
	maxRecentReplies = 512
	// responseWindow is the span over which response times are collected; clients send a message every 2 s.
	responseWindow = 2 * second
)

// relayToServer forwards a client's bytes and records when its messages arrived.
func (p *Proxy) relayToServer(c *client, data []byte) {
	a := c.attempt
	now := p.now()
	for range min(bytes.Count(data, []byte{'\n'}), maxUnanswered-len(c.unansweredAt)) {
		c.unansweredAt = append(c.unansweredAt, now)
	}
	if a.blocked {
		return
	}
	p.write(a.conn, data)
	if !a.finished && a.conn.OutboundBuffered() > maxUnsentBytes {
		p.unsentGivenUp++
		p.giveUpServer(a)
	}
}

// relayToClient forwards a server's bytes, and passes on to the balancer what their lines report. Lines that have come together
// are written together: a system call for each would hold up all other connections.
func (p *Proxy) relayToClient(a *attempt, data []byte) {
	c := a.client
	written := 0
	for fed := 0; fed < len(data) && !a.finished; {
		event, _, rest := a.parser.Feed(data[fed:])
		fed = len(data) - len(rest)
		p.recordServerLine(a, event)
		if fed < len(data) && c.pendingMove == nil {
			continue
		}
		p.writeToClient(c, data[written:fed])
		written = fed
		p.continueMove(c, fed < len(data))
	}
}

// recordServerLine passes on to the balancer what a line of a server reports.
func (p *Proxy) recordServerLine(a *attempt, event protocol.ServerEvent) {
	c := a.client
	switch event {
	case protocol.ServerLoad:
		p.handleLoadReport(p.now(), a, a.parser.Load)
	case protocol.ServerMove:
		a.closeOutcome = logic.Cancelled
	case protocol.ServerBye:
		a.closeOutcome = logic.OK
	case protocol.ServerMessage:
		if len(c.unansweredAt) > 0 {
			a.server.recordReply(reply{a.receivedAt, a.receivedAt - c.unansweredAt[0]})
			c.unansweredAt = slices.Delete(c.unansweredAt, 0, 1)
		}
	}
}

// recordReply adds a response time to the recent ones. If there are many, the older half of them makes room.
func (s *server) recordReply(r reply) {
	if len(s.recentReplies) == maxRecentReplies {
		s.recentReplies = slices.Delete(s.recentReplies, 0, maxRecentReplies/2)
	}
	s.recentReplies = append(s.recentReplies, r)
}

// handleLoadReport gives the balancer a figure that a server reported: the load of the connection or, where servers
// report both, the delay of its messages. The two look alike. A delay taken for a load would make the heaviest clients of a
// late server count as its lightest.
func (p *Proxy) handleLoadReport(now logic.Micros, a *attempt, figure float64) {
	c, s := a.client, a.server
	if !p.delaysReported {
		p.trace("load", c, "level", figure)
		p.instance.LoadChanged(now, c.id, figure)
		return
	}
	switch s.reports.Classify(now, &c.reports, s.establishedCount, p.delayEvidence >= 0, figure) {
	case loadreports.Load:
		p.trace("load", c, "level", figure)
		p.instance.LoadChanged(now, c.id, figure)
	case loadreports.DelayAndPrevious:
		p.adjustDelayEvidence(1)
		p.instance.LoadChanged(now, c.id, c.reports.Load)
		p.reportDelay(now, s, figure)
	case loadreports.Delay:
		if p.delayEvidence == 0 {
			p.adjustDelayEvidence(1)
		}
		p.reportDelay(now, s, figure)
		p.scheduleAfter(loadreports.ConfirmWait, func() {
			if !s.reports.RevertUnconfirmed(p.now(), &c.reports, now, figure) {
				return
			}
			p.adjustDelayEvidence(-1)
			if p.delayEvidence == 0 {
				p.adjustDelayEvidence(-1) // a first figure is not taken for a delay until there is a series of them
			}
			if !c.request.HasEnded() {
				p.instance.LoadChanged(p.now(), c.id, figure)
			}
		})
	}
}

// maxDelayEvidence bounds how long a proxy goes on expecting delays after the last series of them.
const maxDelayEvidence = 4

// adjustDelayEvidence counts a series of delays (by > 0) or a figure that was wrongly taken for a delay (by < 0). While
// the evidence is positive, servers are not probed. Where the settings say that servers report delays, a first small
// figure is believed to be one until this proves wrong: otherwise each proxy misses the report of a server's first late
// second (docs/incidents/promised-delays.md).
func (p *Proxy) adjustDelayEvidence(by int) {
	p.delayEvidence = min(max(p.delayEvidence+by, -1), maxDelayEvidence)
	p.instance.SetDelaysReported(p.delayEvidence > 0)
}

// reportDelay gives the balancer the time in milliseconds that a message takes at a server.
func (p *Proxy) reportDelay(now logic.Micros, s *server, ms float64) {
	p.instance.RecordDelay(now, s.id, logic.Micros(ms*float64(millisecond)))
}

// writeToClient forwards bytes to a client. It closes the connection of a client that does not read.
func (p *Proxy) writeToClient(c *client, data []byte) {
	p.write(c.conn, data)
	if !c.request.HasEnded() && c.conn.OutboundBuffered() > maxUnsentBytes {
		p.unsentGivenUp++
		p.giveUpClient(c)
	}
}

// tick runs once a second. It reports to the balancer how long messages take at each late server with established
// connections, and once more when a server is no longer late. It moves clients whose server does not answer, removes
// expired orders, and logs what happened since the last tick.
func (p *Proxy) tick() {
	p.scheduleAfter(second, p.tick)
	now := p.now()
	p.expireOrders(now)
	p.sentIDs.expire(now)
	if n := p.sentIDs.takeForgotten(); n > 0 {
		p.log.Warn("forgot ids of requests before their time, as there are too many", "count", n, "remembered", maxSentIDs)
	}
	p.logRefusals()
	p.traceServers(now)
	if p.protocolErrors > 0 {
		p.log.Info("rejected clients that violate the protocol", "count", p.protocolErrors, "last", p.lastProtocolError)
		p.protocolErrors = 0
	}
	if p.socketRefusals > 0 {
		p.log.Warn("refused clients: all sockets are in use for requests", "count", p.socketRefusals, "sockets", p.maxSockets)
		p.socketRefusals = 0
	}
	if p.unsentGivenUp > 0 {
		p.log.Warn("gave up connections whose peers do not read", "count", p.unsentGivenUp, "unsent_bytes", p.unsent.total)
		p.unsentGivenUp = 0
	}
	waitTimes := map[*server][]logic.Micros{}
	var unanswered []*client
	for _, c := range p.clients {
		if !c.request.WasEstablished() || len(c.unansweredAt) == 0 {
			continue
		}
		age := now - c.unansweredAt[0]
		waitTimes[c.attempt.server] = append(waitTimes[c.attempt.server], age)
		if age > responseTimeout && c.pendingMove == nil {
			unanswered = append(unanswered, c)
		}
	}
	for _, id := range p.sortedServerIDs() {
		s := p.servers[id]
		s.recentReplies = slices.DeleteFunc(s.recentReplies, func(r reply) bool { return now-r.receivedAt > responseWindow })
		took, known := s.medianResponseTime(waitTimes[s])
		if known && s.establishedCount > 0 && (s.reportedLate || took >= p.lateThreshold) {
			s.reportedLate = took >= p.lateThreshold
			p.instance.RecordDelay(now, id, took)
		}
	}
	slices.SortFunc(unanswered, func(a, b *client) int { return int(a.id) - int(b.id) })
	for _, c := range unanswered {
		if !c.request.HasEnded() {
			p.log.Warn("server does not answer messages; moving its client", "server", c.attempt.server.endpoint)
			p.moveClient(c, logic.Reset, bySilence)
		}
	}
}

// medianResponseTime returns the median of the recent response times, and false if there are none. A message that is
// still unanswered counts with its age if that exceeds the median of the answered ones.
func (s *server) medianResponseTime(ages []logic.Micros) (logic.Micros, bool) {
	took := make([]logic.Micros, 0, len(s.recentReplies)+len(ages))
	for _, r := range s.recentReplies {
		took = append(took, r.took)
	}
	slices.Sort(took)
	median := logic.Micros(0)
	if len(took) > 0 {
		median = took[len(took)/2]
	}
	for _, age := range ages {
		if age > median {
			took = append(took, age)
		}
	}
	if len(took) == 0 {
		return 0, false
	}
	slices.Sort(took)
	return took[len(took)/2], true
}

// sortedServerIDs returns the server IDs in ascending order, so that calls to the balancer do not depend on the order
// of map iteration.
func (p *Proxy) sortedServerIDs() []logic.ServerID {
	ids := make([]logic.ServerID, 0, len(p.servers))
	for id := range p.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
