package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"

	"hatchproxy/internal/discovery"
	"hatchproxy/internal/notes"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/succession"
	"hatchproxy/internal/transient"
	"hatchproxy/logic"
)

// handover is what a proxy has whose listening socket is the platform's: it is one of two processes now and then.
type handover struct {
	folder      string // where the two find each other; "" for nowhere
	seat        *succession.Seat
	predecessor *succession.Channel // to the process that ran already; nil if there is none
	successor   *succession.Channel // to the one that has come to take this one's place
	ready       bool                // the successor can serve
}

// Inherit has the proxy accept on a listening socket that it was given, and pass on what it holds to the next
// process, which finds it in the folder. It is to be called before Run.
func (p *Proxy) Inherit(fd int, folder string) error {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return fmt.Errorf("descriptor %d is none", fd)
	}
	defer f.Close()
	var l net.Listener
	ctx, cancel := context.WithTimeout(context.Background(), loopStarting)
	defer cancel()
	wait := transient.Backoff{First: 2 * time.Millisecond, Longest: 100 * time.Millisecond}
	err := transient.Retry(ctx, wait, transient.OfResources, func() (err error) {
		l, err = net.FileListener(f)
		return err
	})
	if err != nil {
		return fmt.Errorf("descriptor %d: %w", fd, err)
	}
	tcp, isTCP := l.(*net.TCPListener)
	if !isTCP {
		_ = l.Close()
		return fmt.Errorf("descriptor %d listens for %s, not for TCP", fd, l.Addr().Network())
	}
	p.handover = &handover{folder: folder}
	return p.acceptOn(tcp)
}

// accept takes connections in until it is told to stop; what comes later waits for whoever accepts next.
func (p *Proxy) accept() {
	h := p.handover
	// Guards against two at the door: each answer of the list comes here.
	if h == nil || !p.acceptor.Paused() || h.ready || p.duty == leaving || !p.ready {
		return
	}
	p.acceptor.Resume()
	p.takeSeat()
	if h.predecessor != nil {
		p.sayNext(h.predecessor, packet{Ready: true})
	}
}

// takeSeat has the next process find this one.
func (p *Proxy) takeSeat() {
	h := p.handover
	if h.seat != nil || h.folder == "" || p.duty == leaving || p.acceptor.Paused() {
		return
	}
	seat, err := succession.Take(h.folder, p.log, func(c *succession.Channel) { p.post(func() { p.successorConnected(c) }) })
	if err != nil {
		// A folder that heals is used again: a process that comes in its time finds this one.
		p.log.Warn("the next process does not find this one yet", "error", err)
		p.after(seatRetry, p.takeSeat)
		return
	}
	h.seat = seat
}

// seatRetry is the wait before a folder that failed is tried again.
const seatRetry = 2 * second

func (p *Proxy) stopAccepting() {
	if p.handover != nil {
		p.acceptor.Pause()
	}
}

// close gives back all that belongs to the succession.
func (h *handover) close() {
	if h.seat != nil {
		h.seat.Leave()
	}
	for _, c := range []*succession.Channel{h.predecessor, h.successor} {
		if c != nil {
			c.Close()
		}
	}
}

// packet is what the two processes tell each other, one thing in each.
type packet struct {
	Ready   bool     `json:",omitempty"`        // from the successor: it can serve
	Stands  *stands  `json:"Stands,omitempty"`  // with a client's socket and its server's
	Unasked *unasked `json:"Unasked,omitempty"` // with a client's socket

	Memory     *logic.Memory `json:",omitempty"` // a part of what the decisions know; the last part has the rest of it
	Evacuating bool          `json:",omitempty"` // clients are being sent away
	Rejoined   bool          `json:",omitempty"` // and no longer are
}

// part is how many servers a packet tells of: some 300 bytes each.
const part = 40

// stands is an open connection.
type stands struct {
	ID     uint64
	Key    logic.ClientKey
	Group  logic.GroupID
	Class  string
	Server string
	Load   float64
	Since  logic.Micros   `json:"Since"`
	Sent   []logic.Micros `json:"Sent"`
}

// unasked is a client that has not said all of its first line.
type unasked struct {
	Said []byte       `json:"Said"`
	Came logic.Micros `json:"Came"`
}

func (p *Proxy) sayNext(to *succession.Channel, what packet, files ...int) bool {
	text, err := json.Marshal(what)
	if err == nil {
		err = to.Send(text, files...)
	}
	if err != nil {
		p.log.Warn("the other process does not hear", "error", err)
	}
	return err == nil
}

// successorConnected notes a process that has come to take this one's place. The last to come counts.
func (p *Proxy) successorConnected(c *succession.Channel) {
	h := p.handover
	if h.successor != nil {
		h.successor.Close()
	}
	h.successor, h.ready = c, false
	p.log.Info("another process has come")
	go func() {
		for {
			text, files, err := c.Receive()
			var said packet
			if err == nil {
				err = json.Unmarshal(text, &said)
			}
			for _, f := range files {
				_ = f.Close() // it has nothing to pass on
			}
			if err != nil {
				p.post(func() { p.successorGone(c) })
				return
			}
			if said.Ready {
				p.post(func() { p.successorReady(c) })
			}
		}
	}()
}

// successorReady leaves the door to the successor: two that place at once would each spend the whole cold budget.
func (p *Proxy) successorReady(c *succession.Channel) {
	if h := p.handover; h.successor == c {
		h.ready = true
		p.stopAccepting()
		p.log.Info("the other process serves")
		all := p.in.Recall()
		for rest := all.Servers; ; rest = rest[len(all.Servers):] {
			all.Servers = rest[:min(part, len(rest))]
			if !p.sayNext(c, packet{Memory: &all}) || len(all.Servers) == len(rest) {
				break
			}
		}
		switch p.duty {
		case evacuating:
			p.tellSuccessor(packet{Evacuating: true})
		case leaving:
			// Guards against the word to leave that overtakes the successor's: all clients were moved, with one there to take them.
			_, sweep := p.leaveSpan()
			p.handOverAll(p.turn, sweep)
		}
	}
}

// tellSuccessor passes an order on: until SIGTERM operators may call either process, and the two are one proxy.
func (p *Proxy) tellSuccessor(order packet) {
	if p.hasSuccessor() {
		p.sayNext(p.handover.successor, order)
	}
}

// successorGone has this process serve on, or leave as if there had been no other.
func (p *Proxy) successorGone(c *succession.Channel) {
	c.Close()
	h := p.handover
	if h.successor != c {
		return
	}
	h.successor, h.ready = nil, false
	p.log.Warn("the other process has gone")
	old := h.seat // the name may be that one's
	h.seat = nil
	p.accept()
	if !p.acceptor.Paused() {
		// Guards against a successor that ends before it serves: the door was never left, but the seat was, and the
		// process after it would find nobody. The new seat comes before the old one goes, so that there always is one.
		p.takeSeat()
	}
	if old != nil {
		old.Retire()
	}
}

// hasSuccessor tells that another process takes over what this one holds.
func (p *Proxy) hasSuccessor() bool { return p.handover != nil && p.handover.ready }

// handOverAll hands over what can be handed over now, and comes again for the rest; it ends when nothing is left.
func (p *Proxy) handOverAll(turn int, sweep logic.Micros) {
	if p.turn != turn || p.swept == turn {
		return
	}
	if !p.hasSuccessor() {
		p.sweep(turn, sweep)
		return
	}
	for e := p.silent.Front(); e != nil && p.hasSuccessor(); {
		c := e.Value.(*client)
		e = e.Next()
		p.handOverSilent(c)
	}
	passed := 0
	for _, c := range p.standing() {
		if p.hasSuccessor() && passed < handOverBatch && p.handOverEstablished(c) {
			passed++
		}
	}
	if len(p.clients) == 0 && p.silent.Len() == 0 && p.done.Len() == 0 {
		p.quit()
		return
	}
	p.after(10*millisecond, func() { p.handOverAll(turn, sweep) })
}

// handOverBatch is how many are handed over in one go. Guards against descriptors that pile up between the two.
const handOverBatch = 32

// handOverEstablished hands an open connection over, between two lines and with nothing unsent. Guards against bytes that
// would be lost or come in another order.
func (p *Proxy) handOverEstablished(c *client) bool {
	d := c.out
	if c.conn == nil || d.conn == nil || !d.talk.Between() || c.conn.OutboundBuffered() > 0 || d.conn.OutboundBuffered() > 0 {
		return false
	}
	own, err := c.conn.Dup()
	if err != nil {
		return false
	}
	defer syscall.Close(own)
	servers, err := d.conn.Dup()
	if err != nil {
		return false
	}
	defer syscall.Close(servers)
	told := packet{Stands: &stands{c.talk.ID, c.talk.Key, c.talk.Group, c.class, d.server.uid, c.figures.Load, c.figures.Since, c.sent}}
	if !p.sayNext(p.handover.successor, told, own, servers) {
		p.handover.ready = false // it hears nothing: its end will be noticed, and the rest are moved
		return false
	}
	p.endEstablished(c, bySuccessor)
	p.in.ClientLeft(p.now(), c.id)
	p.closeLocally(c.conn)
	p.closeLocally(d.conn)
	return true
}

func (p *Proxy) handOverSilent(c *client) {
	if c.conn.OutboundBuffered() > 0 {
		return
	}
	own, err := c.conn.Dup()
	if err != nil {
		return
	}
	defer syscall.Close(own)
	if !p.sayNext(p.handover.successor, packet{Unasked: &unasked{c.talk.Held(), c.came}}, own) {
		p.handover.ready = false
		return
	}
	c.leaveQueue()
	p.release(c)
	p.closeLocally(c.conn)
}

// closeLocally closes this process's descriptor of a connection that goes on elsewhere.
func (p *Proxy) closeLocally(conn gnet.Conn) { _ = p.loop.Close(conn) }

// findPredecessor looks for a process that runs already. It is called before this one can be found in its place.
func (p *Proxy) findPredecessor() {
	h := p.handover
	if h.folder == "" {
		return
	}
	c, err := succession.Find(h.folder)
	if err != nil {
		p.log.Info("no process is found to take over from", "why", err)
		return
	}
	h.predecessor = c
}

// followPredecessor hears what it passes on.
func (p *Proxy) followPredecessor() {
	c := p.handover.predecessor
	if c == nil {
		return
	}
	go func() {
		defer c.Close()
		for {
			text, files, err := c.Receive()
			if err != nil {
				p.post(func() { p.handover.predecessor = nil })
				return
			}
			var said packet
			if err := json.Unmarshal(text, &said); err != nil {
				p.log.Warn("what the other process says means nothing", "error", err)
			}
			p.post(func() { p.takeOver(said, files) })
		}
	}()
}

// takeOver takes a connection in that the other process has let go.
func (p *Proxy) takeOver(said packet, conns []*os.File) {
	switch {
	case said.Memory != nil:
		p.in.Remember(*said.Memory)
	case said.Evacuating:
		p.evacuate()
	case said.Rejoined:
		p.rejoin()
	case said.Unasked != nil && len(conns) == 1:
		p.enroll(&client{came: said.Unasked.Came, early: said.Unasked.Said}, conns[0], protocol.Refusal(0))
	case said.Stands != nil && len(conns) == 2:
		p.resumeEstablished(said.Stands, conns[0], conns[1])
	default:
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// enroll has the loop take a connection whose side is known already. One that it cannot take is ended with a word, which
// only a client hears.
func (p *Proxy) enroll(side any, conn *os.File, word []byte) {
	go func() {
		if p.registerFile(side, conn) == nil {
			_ = conn.Close()
			return
		}
		if err := p.registerFirmly(side, conn, word); err != nil && p.ctx.Err() == nil {
			p.post(func() { p.notTakenOver(side) })
		}
	}()
}

// notTakenOver ends the other side of a connection that the loop could not take.
func (p *Proxy) notTakenOver(side any) {
	switch side := side.(type) {
	case *client:
		p.clientEnded(side, false)
	case *attempt:
		p.serverEnded(side, false)
	}
}

// serverResumed has a server's side; the client's comes next, so that there is somebody to send its bytes to.
func (p *Proxy) serverResumed(c *client, conn gnet.Conn) gnet.Action {
	if c.request.Over() {
		_ = c.passed.Close()
		return gnet.Close
	}
	p.sockets++
	c.out.conn = conn
	p.enroll(c, c.passed, protocol.Leave)
	c.passed = nil
	return gnet.None
}

// resumeEstablished takes an open connection in, its server's side first.
func (p *Proxy) resumeEstablished(s *stands, own, servers *os.File) {
	to := p.servers[discovery.ID(s.Server)]
	if to == nil || p.ids[s.ID] {
		// Its server is none of the list's: the client comes again, and is told so.
		turnAway(own, protocol.Leave)
		_ = own.Close()
		_ = servers.Close()
		return
	}
	now := p.now()
	c := &client{class: s.Class, sent: s.Sent, came: now, passed: own}
	c.request.Resume()
	c.talk.ID, c.talk.Key, c.talk.Group, c.talk.Product = s.ID, s.Key, s.Group, s.Class
	c.figures = notes.Conn{Since: s.Since, Load: s.Load}
	d := &attempt{client: c, server: to, began: now, until: now, ending: logic.Reset, hang: func() {}}
	d.talk.Resume()
	c.out = d
	p.lastID++
	c.id = p.lastID
	p.ids[s.ID] = true
	c.at = &logic.Attachment{ID: c.id, Product: p.offers[s.Class].product, Group: s.Group, Key: s.Key, Back: true, Came: now, Limit: now}
	p.clients[c.id] = c
	to.standing++
	p.in.CarriedOver(now, c.at, to.id)
	if s.Load > 0 {
		p.in.LoadChanged(now, c.id, s.Load)
	}
	p.enroll(d, servers, nil)
}
