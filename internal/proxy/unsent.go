package proxy

import (
	"github.com/panjf2000/gnet/v2"

	"hatchproxy/logic"
)

// unsentOutput is the output that peers have not read and that is held in this process. gnet does not report when it has written a
// part of it, so the sizes are upper bounds until they are refreshed.
type unsentOutput struct {
	limit   int // of the sum, in bytes; 0 for none
	total   int
	byConn  map[gnet.Conn]int
	givenUp map[gnet.Conn]bool // those that are to be closed at the end of a line
}

// update records how much output a connection holds.
func (u *unsentOutput) update(conn gnet.Conn) {
	size := 0
	if isOpen(conn) {
		size = conn.OutboundBuffered()
	}
	u.total += size - u.byConn[conn]
	if size == 0 {
		delete(u.byConn, conn)
		return
	}
	if u.byConn == nil {
		u.byConn = map[gnet.Conn]int{}
	}
	u.byConn[conn] = size
}

// forget removes a connection that has ended.
func (u *unsentOutput) forget(conn gnet.Conn) {
	u.total -= u.byConn[conn]
	delete(u.byConn, conn)
	delete(u.givenUp, conn)
}

// exceedsLimit reports whether the sum is above the limit.
func (u *unsentOutput) exceedsLimit() bool {
	if u.limit == 0 || u.total <= u.limit {
		return false
	}
	for conn := range u.byConn {
		u.update(conn)
	}
	return u.total > u.limit
}

// largest returns the connection that holds most and is not given up yet; nil if there is none.
func (u *unsentOutput) largest() (conn gnet.Conn) {
	for c, size := range u.byConn {
		if !u.givenUp[c] && (conn == nil || size > u.byConn[conn]) {
			conn = c
		}
	}
	return conn
}

// giveUp notes that a connection has been given up. If it is about to be closed, its output counts no more.
func (u *unsentOutput) giveUp(conn gnet.Conn, closing bool) {
	if closing {
		u.forget(conn)
		return
	}
	if u.givenUp == nil {
		u.givenUp = map[gnet.Conn]bool{}
	}
	u.givenUp[conn] = true
}

// SetUnsentLimit bounds the output, in bytes, that is held for all peers that do not read it; 0 for no limit. It must be called before
// Run.
func (p *Proxy) SetUnsentLimit(limit int64) { p.unsent.limit = int(limit) }

// write writes to a connection, and gives up peers that do not read if too much output is held. A failed write is reported as the end
// of the connection.
func (p *Proxy) write(conn gnet.Conn, data []byte) {
	_, _ = conn.Write(data)
	if isOpen(conn) && conn.OutboundBuffered() == 0 && p.unsent.byConn[conn] == 0 {
		return
	}
	p.unsent.update(conn)
	for p.unsent.exceedsLimit() {
		largest := p.unsent.largest()
		if largest == nil {
			return
		}
		p.giveUpReader(largest)
		p.unsent.giveUp(largest, isFinished(largest.Context()))
	}
}

// giveUpReader ends the connection of a peer that does not read. A client whose server does not read is moved; one that does not read
// itself cannot be told so.
func (p *Proxy) giveUpReader(conn gnet.Conn) {
	p.unsentGivenUp++
	switch owner := conn.Context().(type) {
	case *attempt:
		p.giveUpServer(owner)
	case *client:
		if owner.request.WasEstablished() && !owner.request.HasEnded() {
			p.giveUpClient(owner)
			return
		}
		p.closeConn(conn, true)
	default:
		p.closeConn(conn, true)
	}
}

// giveUpServer moves the client of a server that does not read. What the server has not taken is dropped with the connection.
func (p *Proxy) giveUpServer(a *attempt) {
	if a.finished {
		p.closeConn(a.conn, true)
		return
	}
	if !a.blocked {
		a.blocked = true
		p.moveClient(a.client, logic.Reset, bySilence)
	}
}

// giveUpClient closes the connections of an established client that does not read.
func (p *Proxy) giveUpClient(c *client) {
	p.endEstablished(c, byClient)
	p.instance.ClientLeft(p.now(), c.id)
	p.closeConn(c.attempt.conn, true)
	p.closeConn(c.conn, true)
}
