package proxy

import (
	"maps"
	"slices"

	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
	"hatchproxy/logic"
)

// duty is what a proxy is there for now. All that new clients are told follows from it.
type duty uint8

const (
	serving duty = iota
	evacuating
	leaving
)

const (
	// lateComers is how long the front may go on sending new connections after the word to leave.
	lateComers = 400 * millisecond
	// longestLeave is the most that the longest hard limit counts for: SIGKILL comes soon after.
	longestLeave = 3 * second
	// leavingOver is the part of that time over which standing clients are told to come again,
	// so that they do not all reach the other proxies at once. The rest is for those still being set up.
	leavingOver = 0.5
	// leastSpread is for products with very short limits.
	leastSpread = 300 * millisecond
	// A proxy that sends its clients away must have moved them all within 4 s: what stands goes within the first
	// second (over 2.25 s it cost 0.04 of G, within half a second it brought no more), and what is still pending is
	// settled in time for its client to be moved.
	emptying   = 250 * millisecond
	emptiedBy  = 1000 * millisecond
	settlingBy = 3400 * millisecond
)

// take takes up a duty; what was begun under the one before ends.
func (p *Proxy) take(d duty) (turn int) {
	p.duty, p.refusing = d, false
	p.turn++
	return p.turn
}

// leave has the proxy go: it takes what still comes for a while, settles what is pending, tells all standing
// clients to come again, and ends.
func (p *Proxy) leave() {
	if p.duty == leaving {
		return
	}
	turn := p.take(leaving)
	p.log.Info("leaving", "attachments", len(p.clients), "successor", p.hasSuccessor())
	span, sweep := p.leaveSpan()
	p.stopAccepting()
	if p.hasSuccessor() {
		p.handOverAll(turn, sweep)
	}
	p.after(lateComers, func() {
		if !p.hasSuccessor() {
			p.sweep(turn, sweep)
		}
	})
	p.after(lateComers+sweep, func() { p.sweep(turn, 0) }) // what could not be passed on
	p.after(lateComers+span, p.settle)
	p.after(lateComers+span+50*millisecond, p.quit)
}

// leaveSpan is how long a proxy that leaves stays for those that are pending, and over what part of it the others are moved.
func (p *Proxy) leaveSpan() (span, sweep logic.Micros) {
	span = min(p.longest, longestLeave)
	return span, max(leastSpread, logic.Micros(leavingOver*float64(span)))
}

// sweep refuses who still comes and sends the others away, once in a turn.
func (p *Proxy) sweep(turn int, span logic.Micros) {
	if p.turn == turn && p.swept != turn {
		p.refusing, p.swept = true, turn
		p.sendAway(turn, p.now()+span)
	}
}

// evacuate has the proxy send its clients away and go on running. Late comers are taken, as the front notices
// a moment later, and are moved like the others.
func (p *Proxy) evacuate() {
	if p.duty != serving {
		return
	}
	turn, now := p.take(evacuating), p.now()
	p.tellSuccessor(packet{Evacuating: true})
	p.log.Info("evacuating", "attachments", len(p.clients))
	p.after(emptying, func() { p.sendAway(turn, now+emptiedBy) })
	p.after(emptiedBy, func() { p.refusing = p.refusing || p.turn == turn })
	p.after(settlingBy, func() {
		if p.turn == turn {
			p.settle()
		}
	})
}

// rejoin takes a proxy that evacuates back to work. It knows what it knew.
func (p *Proxy) rejoin() {
	if p.duty == evacuating {
		p.take(serving)
		p.tellSuccessor(packet{Rejoined: true})
		p.log.Info("back to work", "attachments", len(p.clients))
	}
}

// sendAway moves one of those that stand after the other, evenly until the time is up, and then at once all that
// come to stand. It ends with the duty under which it was begun.
func (p *Proxy) sendAway(turn int, until logic.Micros) {
	if p.turn != turn {
		return
	}
	now := p.now()
	standing := p.standing()
	if p.duty == leaving && len(p.clients) == 0 && now >= until {
		p.quit()
		return
	}
	const step = 20 * millisecond
	steps := int(max(1, (until-now)/step))
	wait := step
	if n := len(standing); n > 0 && n < steps && p.duty == evacuating {
		// Few are as spread as many where the process stays. One that leaves lets them go at 50 a second at the
		// least: spread over all there is, it cost 0.04 of G where proxies are restarted in trouble.
		wait = (until - now) / logic.Micros(n)
	}
	for _, c := range standing[:(len(standing)+steps-1)/steps] {
		p.move(c, logic.Cancelled, byLeaving)
	}
	p.after(wait, func() { p.sendAway(turn, until) })
}

// standing lists the clients whose connections stand, in the order in which they came.
func (p *Proxy) standing() []*client {
	var standing []*client
	for _, c := range p.clients {
		if c.request.Stood() {
			standing = append(standing, c)
		}
	}
	slices.SortFunc(standing, func(a, b *client) int { return int(a.id) - int(b.id) })
	return standing
}

// settle has the decisions answer at once what is still pending: it is as if its hard limit had come. Guards
// against attachments that wait longer than the proxy may stay.
func (p *Proxy) settle() {
	now := p.now()
	for _, id := range slices.Sorted(maps.Keys(p.clients)) {
		c := p.clients[id]
		if c == nil || c.request.Stood() {
			continue
		}
		c.at.Limit = now
		c.request.Expire(now)
		d, ended := c.out, logic.Cancelled
		if d != nil {
			ended = d.unsent(logic.Cancelled)
			p.drop(d)
			c.last = ended
			c.request.Finish(!ended.NeverRan())
		}
		switch {
		case c.talk.Stands != "":
			p.answer(c, telemetry.Errored, protocol.Failed, isLeaving)
		case d != nil:
			p.in.Ended(now, id, ended, false)
		default:
			p.in.Arrived(now, c.at)
		}
	}
}

// lastLines is how long the end waits for lines that are half through: SIGKILL comes 0.2 s after it at the soonest.
const lastLines = 100 * millisecond

// quit has Run return, once those that stand have been told to come again and all others have a last word.
func (p *Proxy) quit() { p.quitBy(p.now() + lastLines) }

// quitBy guards against a client that is cut off without a word: since its server was within a line just then, its last
// word is still on the way, or its request came in this moment.
func (p *Proxy) quitBy(latest logic.Micros) {
	if p.quitting || p.ctx.Err() != nil {
		return
	}
	for _, c := range p.standing() {
		if c.conn != nil && c.out.talk.Between() {
			p.move(c, logic.Cancelled, byLeaving)
		}
	}
	if p.handover == nil { // else they wait in the socket that the next process has, too
		p.refuseSilent()
	}
	if (len(p.standing()) > 0 || p.done.Len() > 0) && p.now() < latest {
		p.after(10*millisecond, func() { p.quitBy(latest) })
		return
	}
	p.quitting = true
	p.acceptor.Close()
	p.after(lastRegistration, p.gone)
}

// lastRegistration is how long a connection that was accepted last may take until the loop has it.
const lastRegistration = 5 * millisecond

// gone is the last turn of a proxy that leaves.
func (p *Proxy) gone() {
	p.refuseSilent()
	for e := p.done.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*client); isOpen(c.conn) {
			discardInput(c.conn.Fd()) // or its close would be a reset
		}
	}
	p.log.Info("gone", "attachments", len(p.clients))
	if p.handover != nil {
		p.handover.close()
	}
	p.finish()
}
