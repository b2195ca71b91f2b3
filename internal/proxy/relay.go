package proxy

import (
	"bytes"
	"slices"

	"hatchproxy/internal/notes"
	"hatchproxy/internal/protocol"
	"hatchproxy/logic"
)

// answered is how long a message took at a server, and when its answer came.
type answered struct{ at, took logic.Micros }

const (
	// mostUnanswered bounds what is noted of a connection; clients send a line every few seconds.
	mostUnanswered = 64
	// mostUnsent bounds what is kept for a side that does not read; a line has 4 KiB at most.
	mostUnsent = 256 << 10
	// silent is how long a server may bring nothing back to a message before its client is moved: answers
	// come at once also from late servers, and the longest pauses seen were a fifth of this. The protocol's
	// 7 s count from the last word back, and the next message may come 2 s after that.
	silent = 1500 * millisecond
	// recent is the span whose answers tell how long messages take: clients send one every 2 s.
	recent = 2 * second
)

// passUp passes a client's bytes on and notes when its messages came.
func (p *Proxy) passUp(c *client, b []byte) {
	d := c.out
	now := p.now()
	for range min(bytes.Count(b, []byte{'\n'}), mostUnanswered-len(c.sent)) {
		c.sent = append(c.sent, now)
	}
	_, _ = d.conn.Write(b) // a failure comes as the end of the connection
	if !d.over && d.conn.OutboundBuffered() > mostUnsent {
		p.log.Warn("a server does not read", "server", d.server.endpoint)
		p.move(c, logic.Reset, bySilence)
	}
}

// passDown passes a server's bytes on and tells the decisions what they say.
func (p *Proxy) passDown(d *attempt, ev protocol.ServerEvent, pass []byte) {
	c, now := d.client, p.now()
	switch ev {
	case protocol.LoadTold:
		p.figure(now, d, d.talk.Load)
	case protocol.SentAway:
		d.ending = logic.Cancelled
	case protocol.ServedOut:
		d.ending = logic.OK
	case protocol.Message:
		if len(c.sent) > 0 {
			d.server.took = append(d.server.took, answered{now, now - c.sent[0]})
			c.sent = slices.Delete(c.sent, 0, 1)
		}
	}
	p.passOn(c, pass)
}

// figure tells the decisions what a server's figure says. Guards against a delay that is taken for a load: where both
// are told they look alike, and the heaviest clients of a late server would count as its lightest.
func (p *Proxy) figure(now logic.Micros, d *attempt, x float64) {
	c, s := d.client, d.server
	if !p.delays {
		p.trace("load", c, "level", x)
		p.in.LoadChanged(now, c.id, x)
		return
	}
	switch s.figures.Hear(now, &c.figures, s.standing, p.delaysHeard >= 0, x) {
	case notes.Load:
		p.trace("load", c, "level", x)
		p.in.LoadChanged(now, c.id, x)
	case notes.Both:
		p.tellsDelays(1)
		p.in.LoadChanged(now, c.id, c.figures.Load)
		p.messagesTake(now, s, x)
	case notes.Delay:
		if p.delaysHeard == 0 {
			p.tellsDelays(1)
		}
		p.messagesTake(now, s, x)
		p.after(notes.Settles, func() {
			if !s.figures.Settled(p.now(), &c.figures, now, x) {
				return
			}
			p.tellsDelays(-1)
			if p.delaysHeard == 0 {
				p.tellsDelays(-1) // until a series of them is heard
			}
			if !c.request.Over() {
				p.in.LoadChanged(p.now(), c.id, x)
			}
		})
	}
}

// sureOfDelays bounds how long a proxy goes on believing that delays are told after the last series of them.
const sureOfDelays = 4

// tellsDelays counts a series of delays, or a figure that was taken for one and was none. While more of the former were
// heard, nobody is probed. What the settings promise is believed of a first small figure until one proves to be none: in
// fleets that do tell, the word of a server's first late second was missed by each proxy (docs/incidents/promised-delays.md).
func (p *Proxy) tellsDelays(by int) {
	p.delaysHeard = min(max(p.delaysHeard+by, -1), sureOfDelays)
	p.in.HearDelays(p.delaysHeard > 0)
}

func (p *Proxy) messagesTake(now logic.Micros, s *server, ms float64) {
	p.in.Delay(now, s.id, logic.Micros(ms*float64(millisecond)))
}

func (p *Proxy) passOn(c *client, b []byte) {
	_, _ = c.conn.Write(b) // a failure comes as the end of the connection
	if !c.request.Over() && c.conn.OutboundBuffered() > mostUnsent {
		p.log.Warn("a client does not read")
		p.endEstablished(c, byClient)
		p.in.ClientLeft(p.now(), c.id)
		p.shut(c.out.conn, true)
		p.shut(c.conn, true)
	}
}

// Move ends an open connection politely.
func (p *Proxy) Move(id logic.AttachmentID) {
	c := p.clients[id]
	if c == nil || !c.request.Stood() {
		return
	}
	by := byChoice
	if seen, known := p.in.See(p.now(), c.out.server.id); known && seen.State != logic.Ready {
		by = byDrain
	}
	p.move(c, logic.Cancelled, by)
}

// move tells a client to come again and closes both sides, once the line that is being passed on is whole.
func (p *Proxy) move(c *client, o logic.Outcome, by string) { p.moveBy(c, o, by, p.now()+second) }

func (p *Proxy) moveBy(c *client, o logic.Outcome, by string, latest logic.Micros) {
	d := c.out
	if c.request.Over() {
		return
	}
	if (!d.talk.Between() || c.conn == nil) && p.now() < latest {
		p.after(10*millisecond, func() { p.moveBy(c, o, by, latest) })
		return
	}
	if d.talk.Between() && c.conn != nil {
		_, _ = c.conn.Write(protocol.Leave) // a failure comes as the end of the connection
		if c.request.Over() {
			return
		}
	}
	p.endEstablished(c, by)
	p.in.Ended(p.now(), c.id, o, true)
	p.shut(d.conn, false)
	p.closeAnswered(c)
}

// pulse tells, once a second, how long messages take at each server where connections stand and they are late,
// and once more when they no longer are. It moves clients whose server brings nothing back.
func (p *Proxy) pulse() {
	p.after(second, p.pulse)
	now := p.now()
	p.expire(now)
	p.tellTurnedAway()
	p.traceSight(now)
	if p.refused > 0 {
		p.log.Info("clients' bytes were refused", "count", p.refused, "last", p.why)
		p.refused = 0
	}
	if p.full > 0 {
		p.log.Warn("clients were turned away: all sockets are in use for requests", "count", p.full, "sockets", p.most)
		p.full = 0
	}
	waiting := map[*server][]logic.Micros{}
	var mute []*client
	for _, c := range p.clients {
		if !c.request.Stood() || len(c.sent) == 0 {
			continue
		}
		age := now - c.sent[0]
		waiting[c.out.server] = append(waiting[c.out.server], age)
		if age > silent {
			mute = append(mute, c)
		}
	}
	for _, id := range p.inOrder() {
		s := p.servers[id]
		s.took = slices.DeleteFunc(s.took, func(a answered) bool { return now-a.at > recent })
		took, known := s.usual(waiting[s])
		if known && s.standing > 0 && (s.late || took >= p.late) {
			s.late = took >= p.late
			p.in.Delay(now, id, took)
		}
	}
	slices.SortFunc(mute, func(a, b *client) int { return int(a.id) - int(b.id) })
	for _, c := range mute {
		if !c.request.Over() {
			p.log.Warn("a server brings nothing back", "server", c.out.server.endpoint)
			// At once, also within a line: its rest is not coming.
			p.moveBy(c, logic.Reset, bySilence, now)
		}
	}
}

// usual is the median of what messages took lately. One that is still unanswered counts as far as it has
// taken longer than that.
func (s *server) usual(ages []logic.Micros) (logic.Micros, bool) {
	took := make([]logic.Micros, 0, len(s.took)+len(ages))
	for _, a := range s.took {
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

// inOrder lists the servers by their ids: what is told to the decisions follows no order of a map.
func (p *Proxy) inOrder() []logic.ServerID {
	ids := make([]logic.ServerID, 0, len(p.servers))
	for id := range p.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
