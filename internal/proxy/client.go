package proxy

import (
	"cmp"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/panjf2000/gnet/v2"

	"hatchproxy/internal/lifecycle"
	"hatchproxy/internal/notes"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
	"hatchproxy/limits"
	"hatchproxy/logic"
)

// client is an accepted connection and what came of it. It owns its socket and its attempt.
type client struct {
	conn    gnet.Conn
	talk    protocol.Client
	id      logic.AttachmentID // 0 until it has asked
	class   string             // what it asked for, once that is known to be offered
	at      *logic.Attachment
	out     *attempt // on its way, or where the connection stands
	request lifecycle.Request
	last    logic.Outcome // of its last attempt that ended
	queue   *list.List    // the proxy's silent or done, while it stands in one of them
	place   *list.Element
	gated   bool           // the gate has let it in, and is to be told when it leaves
	sent    []logic.Micros // when the messages came that have not been answered
	came    logic.Micros   // when it connected
	passed  *os.File       // its socket as another process passed it on, until the loop has it
	early   []byte         // what came for it from its server, or from itself, before the loop had it

	figures notes.Conn
}

const (
	// asking is how long a connection may take for its whole first line, counted from accept: within 3 s it is
	// owed an answer.
	asking = 2500 * millisecond
	// margin is kept of a client's wait, which it counts from its sending: its line has been on the way, and
	// the answer will be.
	margin = 20 * millisecond
)

// clientOpened has a client's connection, which was accepted, or which the other process passed on.
func (p *Proxy) clientOpened(c *client, conn gnet.Conn) gnet.Action {
	c.conn = conn
	if c.request.Over() {
		return gnet.Close // its server has ended it meanwhile
	}
	early := c.early
	c.early = nil
	switch {
	case c.request.Stood():
		p.serverSays(c.out, early)
	case !p.makeRoom(0):
		p.full++
		p.refuse(c, noDescriptors)
	default:
		p.awaitRequest(c)
		p.clientSays(c, early)
	}
	return gnet.None
}

func (p *Proxy) awaitRequest(c *client) {
	c.wait(&p.silent)
	p.at(c.came+asking, func() {
		if c.queue == &p.silent {
			p.answer(c, telemetry.Errored, protocol.Fault(errSilent), "nothing asked")
		}
	})
}

// wait puts a client at the end of a queue; it stands in one at most.
func (c *client) wait(queue *list.List) {
	c.leaveQueue()
	c.queue, c.place = queue, queue.PushBack(c)
}

func (c *client) leaveQueue() {
	if c.queue != nil {
		c.queue.Remove(c.place)
		c.queue, c.place = nil, nil
	}
}

// makeRoom sees to it that n more descriptors are left. Guards against the hundreds that connect and say nothing, or do
// not leave once they were answered: those that were answered first go first, then those that have been silent
// longest. False where all descriptors are in use for requests.
func (p *Proxy) makeRoom(n int) bool {
	for p.sockets+n > p.most {
		first := p.done.Front()
		if first == nil {
			first = p.silent.Front()
		}
		if first == nil {
			return false
		}
		c := first.Value.(*client)
		c.leaveQueue()
		if !c.request.Over() {
			p.say(c, telemetry.Deferred, protocol.Refusal(0), noDescriptors)
		}
		if isOpen(c.conn) {
			discardInput(c.conn.Fd())
			// At once, where gnet's own Close would wait for the loop's next turn. What ends here has nothing to tell.
			_ = p.loop.Close(c.conn)
		}
	}
	return true
}

// discardInput reads what has come on a connection that is about to be closed, and nobody will hear. Guards against a close over
// unread bytes, which is a reset and may overtake the last word. A flood is not read to its end.
func discardInput(fd int) {
	var unheard [16 << 10]byte
	for range 4 {
		if n, err := syscall.Read(fd, unheard[:]); n <= 0 || err != nil {
			return
		}
	}
}

var (
	errSilent  = errors.New("nothing was asked")
	errProduct = errors.New("the class is unknown")
	errTwice   = errors.New("this id is open")
)

func (p *Proxy) clientSays(c *client, b []byte) {
	for len(b) > 0 && !c.request.Over() && !c.request.Stood() {
		var ev protocol.ClientEvent
		ev, b = c.talk.Feed(b)
		c.request.Read(c.talk.Held() != nil)
		switch ev {
		case protocol.Probed:
			word := protocol.NotReady
			if p.ready && (p.duty == serving || p.duty == leaving && p.hasSuccessor()) {
				word = protocol.Ready
			}
			_, _ = c.conn.Write(word) // a failure comes as the end of the connection
		case protocol.Asked:
			p.requestArrived(c)
		case protocol.ClientWrong:
			p.abandon(c)
			p.wrong(c, c.talk.Why)
		}
	}
	if len(b) > 0 && c.request.Stood() && !c.request.Over() {
		p.passUp(c, b)
	}
}

// wrong answers a client that does not keep to the protocol. Guards against a log that grows with each: the pulse
// tells how many there were.
func (p *Proxy) wrong(c *client, why error) {
	p.refused, p.why = p.refused+1, why
	p.answer(c, telemetry.Errored, protocol.Fault(why), "not the protocol")
}

// requestArrived takes an attachment in hand.
func (p *Proxy) requestArrived(c *client) {
	now := p.now()
	offered, known := p.offers[c.talk.Product]
	if known {
		c.class = c.talk.Product
	}
	c.leaveQueue()
	switch {
	case !known:
		p.wrong(c, errProduct)
		return
	case p.ids[c.talk.ID]:
		// Guards against one that comes with another's id: servers turn it away, and would be judged by that.
		p.wrong(c, errTwice)
		return
	case p.refusing:
		p.refuse(c, isLeaving)
		return
	case !p.makeRoom(2): // a attempt takes two descriptors for a moment
		p.full++
		p.refuse(c, noDescriptors)
		return
	}
	if why, wait := p.pass(now, c); why != limits.None {
		p.answer(c, telemetry.Deferred, protocol.Refusal(wait), "limit "+string(why))
		return
	}
	most := offered.limit
	if c.talk.Stands != "" {
		most = longestRestore
	}
	wait := min(cmp.Or(c.talk.Wait, most), most)
	p.lastID++
	c.id = p.lastID
	p.ids[c.talk.ID] = true
	c.at = &logic.Attachment{
		ID: c.id, Product: offered.product, Group: c.talk.Group, Key: c.talk.Key, Hint: c.talk.Hint, Back: c.talk.Back,
		Came: now, Limit: now + max(wait-margin, wait/2),
	}
	p.clients[c.id] = c
	effect := p.in.Effect(offered.product)
	if c.talk.Stands != "" {
		effect = logic.Harmless // what established before goes back to where it was
	}
	if err := c.request.Take(effect, c.at.Limit); err != nil {
		p.violated(c, err)
		return
	}
	p.trace("asked", c, "key", uint64(c.talk.Key), "class", c.class, "group", uint64(c.talk.Group), "back", c.talk.Back,
		"wait_us", int64(wait))
	if c.talk.Stands != "" {
		p.restore(c)
		return
	}
	p.in.Arrived(now, c.at)
}

// pass asks the gate whether an attachment is let in. Connections that established before this proxy did always are.
func (p *Proxy) pass(now logic.Micros, c *client) (limits.Why, logic.Micros) {
	if p.gate == nil || c.talk.Stands != "" {
		return limits.None, 0
	}
	why, wait := p.gate.Ask(now, c.tenant(), address(c.conn.RemoteAddr()), c.talk.Retry)
	c.gated = why == limits.None
	return why, wait
}

// tenant is whom a client's connections are counted for: its group, or itself.
func (c *client) tenant() uint64 {
	if c.talk.Group != 0 {
		return uint64(c.talk.Group)
	}
	return uint64(c.talk.Key)
}

// address is a number for where a client comes from, its port apart.
func address(a net.Addr) uint64 {
	if at, tcp := a.(*net.TCPAddr); tcp {
		return protocol.Number(string(at.IP))
	}
	return 0
}

// closeAnswered has a client leave that has had its last word.
func (p *Proxy) closeAnswered(c *client) {
	if isOpen(c.conn) {
		c.wait(&p.done)
		p.closeGracefully(c.conn, p.now()+second)
	}
}

// release is where a client's resources are given back, but for its socket, which the caller shuts.
func (p *Proxy) release(c *client) {
	c.request.End()
	c.talk.Drop()
	if c.gated {
		c.gated = false
		p.gate.Leave(c.tenant())
	}
	if c.id != 0 {
		delete(p.clients, c.id)
		delete(p.ids, c.talk.ID)
	}
}

// abandon tells the decisions that a client is gone, and ends its attempt if one is out.
func (p *Proxy) abandon(c *client) {
	if c.id == 0 {
		return
	}
	now := p.now()
	p.in.ClientLeft(now, c.id)
	if d := c.out; d != nil {
		p.drop(d)
		p.in.Ended(now, c.id, logic.Cancelled, true)
	}
}

// clientEnded ends the server's side in the same way.
func (p *Proxy) clientEnded(c *client, reset bool) {
	if c.request.Over() {
		return
	}
	if c.request.Stood() {
		p.endEstablished(c, byClient)
		p.in.ClientLeft(p.now(), c.id)
		if reset {
			p.shut(c.out.conn, true)
		} else {
			p.closeGracefully(c.out.conn, p.now()+second)
		}
		return
	}
	p.trace("answered", c, "ending", "left")
	p.release(c)
	p.abandon(c)
}

// PushBack answers that trying again is harmless.
func (p *Proxy) PushBack(id logic.AttachmentID, in logic.Micros) {
	if c := p.clients[id]; c != nil {
		p.answer(c, telemetry.Deferred, protocol.Refusal(in), c.lately())
	}
}

// GiveUp answers with no promise.
func (p *Proxy) GiveUp(id logic.AttachmentID) {
	if c := p.clients[id]; c != nil {
		p.answer(c, telemetry.Errored, protocol.Failed, c.lately())
	}
}

// shut ends a connection: what is still to be written goes out first, unless it is to be reset.
func (p *Proxy) shut(conn gnet.Conn, reset bool) {
	p.shutBy(conn, reset, p.now()+second)
}

func (p *Proxy) shutBy(conn gnet.Conn, reset bool, latest logic.Micros) {
	if !isOpen(conn) {
		return
	}
	if reset {
		_ = conn.SetLinger(0)
	} else if conn.OutboundBuffered() > 0 && p.now() < latest {
		p.after(10*millisecond, func() { p.shutBy(conn, false, latest) })
		return
	}
	_ = conn.Close()
}

// closeGracefully ends a connection after the last word to the other side: it ends the sending, and closes once that side has, or
// after a second. Guards against a reset for what that side still sends, which may overtake the word.
func (p *Proxy) closeGracefully(conn gnet.Conn, latest logic.Micros) {
	switch {
	case !isOpen(conn):
	case conn.OutboundBuffered() > 0 && p.now() < latest:
		p.after(10*millisecond, func() { p.closeGracefully(conn, latest) })
	default:
		_ = syscall.Shutdown(conn.Fd(), syscall.SHUT_WR) // a failure comes as the end of the connection
		p.after(second, func() { p.shut(conn, false) })
	}
}

// isOpen tells whether gnet still holds a connection: it forgets the context of one that it has closed.
func isOpen(conn gnet.Conn) bool { return conn != nil && conn.Context() != nil }

// isReset tells whether a connection broke: by a reset, or since nothing reaches the other side (ETIMEDOUT, EHOSTUNREACH).
func isReset(err error) bool {
	return err != nil && !errors.Is(err, io.EOF)
}
