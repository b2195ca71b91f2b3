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
	"hatchproxy/internal/loadreports"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/succession"
	"hatchproxy/internal/transient"
	"hatchproxy/logic"
)

// handover is what a proxy has whose listening socket is the platform's: it is one of two processes now and then.
type handover struct {
	folder            string // where the two find each other; "" for nowhere
	successorListener *succession.Listener
	predecessor       *succession.Conn // to the process that ran already; nil if there is none
	successor         *succession.Conn // to the one that has come to take this one's place
	successorReady    bool             // the successor can serve
}

// InheritListener has the proxy accept on a listening socket that it was given, and pass on what it holds to the next
// process, which finds it in the folder. It is to be called before Run.
func (p *Proxy) InheritListener(fd int, folder string) error {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return fmt.Errorf("descriptor %d is none", fd)
	}
	defer f.Close()
	var l net.Listener
	ctx, cancel := context.WithTimeout(context.Background(), loopStartTimeout)
	defer cancel()
	wait := transient.Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}
	err := transient.Retry(ctx, wait, transient.IsResourceShortage, func() (err error) {
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
	return p.createAcceptor(tcp)
}

// startAccepting takes connections in until it is told to stop; what comes later waits for whoever accepts next.
func (p *Proxy) startAccepting() {
	h := p.handover
	// Guards against two at the door: each answer of the list comes here.
	if h == nil || !p.acceptor.Paused() || h.successorReady || p.mode == leaving || !p.ready {
		return
	}
	p.acceptor.Resume()
	p.listenForSuccessor()
	if h.predecessor != nil {
		p.sendPacket(h.predecessor, packet{Ready: true})
	}
}

// listenForSuccessor has the next process find this one.
func (p *Proxy) listenForSuccessor() {
	h := p.handover
	if h.successorListener != nil || h.folder == "" || p.mode == leaving || p.acceptor.Paused() {
		return
	}
	seat, err := succession.Listen(h.folder, p.log, func(c *succession.Conn) { p.post(func() { p.successorConnected(c) }) })
	if err != nil {
		// A folder that heals is used again: a process that comes in its time finds this one.
		p.log.Warn("the next process does not find this one yet", "error", err)
		p.scheduleAfter(successorListenRetryDelay, p.listenForSuccessor)
		return
	}
	h.successorListener = seat
}

// successorListenRetryDelay is the wait before a folder that failed is tried again.
const successorListenRetryDelay = 2 * second

func (p *Proxy) stopAccepting() {
	if p.handover != nil {
		p.acceptor.Pause()
	}
}

// close gives back all that belongs to the succession.
func (h *handover) close() {
	if h.successorListener != nil {
		h.successorListener.Close()
	}
	for _, c := range []*succession.Conn{h.predecessor, h.successor} {
		if c != nil {
			c.Close()
		}
	}
}

// packet is what the two processes tell each other, one thing in each.
type packet struct {
	Ready             bool               `json:",omitempty"`        // from the successor: it can serve
	Established       *establishedConn   `json:"Stands,omitempty"`  // with a client's socket and its server's
	IncompleteRequest *incompleteRequest `json:"Unasked,omitempty"` // with a client's socket

	Memory     *logic.Snapshot `json:",omitempty"` // a part of what the decisions know; the last part has the rest of it
	Evacuating bool            `json:",omitempty"` // clients are being sent away
	Rejoined   bool            `json:",omitempty"` // and no longer are
}

// maxServersPerPacket is how many servers a packet tells of: some 300 bytes each.
const maxServersPerPacket = 40

// establishedConn is an open connection.
type establishedConn struct {
	ID            uint64
	Key           logic.ClientKey
	Group         logic.GroupID
	Class         string
	Server        string
	Load          float64
	EstablishedAt logic.Micros   `json:"Since"`
	UnansweredAt  []logic.Micros `json:"Sent"`
}

// incompleteRequest is a client that has not said all of its first line.
type incompleteRequest struct {
	Received    []byte       `json:"Said"`
	ConnectedAt logic.Micros `json:"Came"`
}

func (p *Proxy) sendPacket(to *succession.Conn, what packet, files ...int) bool {
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
func (p *Proxy) successorConnected(c *succession.Conn) {
	h := p.handover
	if h.successor != nil {
		h.successor.Close()
	}
	h.successor, h.successorReady = c, false
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
func (p *Proxy) successorReady(c *succession.Conn) {
	if h := p.handover; h.successor == c {
		h.successorReady = true
		p.stopAccepting()
		p.log.Info("the other process serves")
		all := p.instance.Snapshot()
		for rest := all.Servers; ; rest = rest[len(all.Servers):] {
			all.Servers = rest[:min(maxServersPerPacket, len(rest))]
			if !p.sendPacket(c, packet{Memory: &all}) || len(all.Servers) == len(rest) {
				break
			}
		}
		switch p.mode {
		case evacuating:
			p.tellSuccessor(packet{Evacuating: true})
		case leaving:
			// Guards against the word to leave that overtakes the successor's: all clients were moved, with one there to take them.
			_, sweep := p.leaveSpans()
			p.handOverAll(p.modeGeneration, sweep)
		}
	}
}

// tellSuccessor passes an order on: until SIGTERM operators may call either process, and the two are one proxy.
func (p *Proxy) tellSuccessor(order packet) {
	if p.hasSuccessor() {
		p.sendPacket(p.handover.successor, order)
	}
}

// successorGone has this process serve on, or leave as if there had been no other.
func (p *Proxy) successorGone(c *succession.Conn) {
	c.Close()
	h := p.handover
	if h.successor != c {
		return
	}
	h.successor, h.successorReady = nil, false
	p.log.Warn("the other process has gone")
	old := h.successorListener // the name may be that one's
	h.successorListener = nil
	p.startAccepting()
	if !p.acceptor.Paused() {
		// Guards against a successor that ends before it serves: the door was never left, but the seat was, and the
		// process after it would find nobody. The new seat comes before the old one goes, so that there always is one.
		p.listenForSuccessor()
	}
	if old != nil {
		old.CloseGracefully()
	}
}

// hasSuccessor tells that another process takes over what this one holds.
func (p *Proxy) hasSuccessor() bool { return p.handover != nil && p.handover.successorReady }

// handOverAll hands over what can be handed over now, and comes again for the rest; it ends when nothing is left.
func (p *Proxy) handOverAll(turn int, sweep logic.Micros) {
	if p.modeGeneration != turn || p.movedGeneration == turn {
		return
	}
	if !p.hasSuccessor() {
		p.startMoving(turn, sweep)
		return
	}
	for e := p.awaitingRequest.Front(); e != nil && p.hasSuccessor(); {
		c := e.Value.(*client)
		e = e.Next()
		p.handOverIncompleteRequest(c)
	}
	passed := 0
	for _, c := range p.establishedClients() {
		if p.hasSuccessor() && passed < handOverBatch && p.handOverEstablished(c) {
			passed++
		}
	}
	if len(p.clients) == 0 && p.awaitingRequest.Len() == 0 && p.lingering.Len() == 0 {
		p.quit()
		return
	}
	p.scheduleAfter(10*millisecond, func() { p.handOverAll(turn, sweep) })
}

// handOverBatch is how many are handed over in one go. Guards against descriptors that pile up between the two.
const handOverBatch = 32

// handOverEstablished hands an open connection over, between two lines and with nothing unsent. Guards against bytes that
// would be lost or come in another order.
func (p *Proxy) handOverEstablished(c *client) bool {
	d := c.attempt
	if c.conn == nil || d.conn == nil || !d.parser.AtLineStart() || c.conn.OutboundBuffered() > 0 || d.conn.OutboundBuffered() > 0 {
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
	told := packet{Established: &establishedConn{c.parser.ID, c.parser.Key, c.parser.Group, c.class, d.server.uid, c.reports.Load, c.reports.EstablishedAt, c.unansweredAt}}
	if !p.sendPacket(p.handover.successor, told, own, servers) {
		p.handover.successorReady = false // it hears nothing: its end will be noticed, and the rest are moved
		return false
	}
	p.endEstablished(c, bySuccessor)
	p.instance.ClientLeft(p.now(), c.id)
	p.closeLocally(c.conn)
	p.closeLocally(d.conn)
	return true
}

func (p *Proxy) handOverIncompleteRequest(c *client) {
	if c.conn.OutboundBuffered() > 0 {
		return
	}
	own, err := c.conn.Dup()
	if err != nil {
		return
	}
	defer syscall.Close(own)
	if !p.sendPacket(p.handover.successor, packet{IncompleteRequest: &incompleteRequest{c.parser.PartialLine(), c.connectedAt}}, own) {
		p.handover.successorReady = false
		return
	}
	c.leaveQueue()
	p.releaseClient(c)
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
	c, err := succession.Dial(h.folder)
	if err != nil {
		p.log.Info("no process is found to take over from", "why", err)
		return
	}
	h.predecessor = c
}

// receiveFromPredecessor hears what it passes on.
func (p *Proxy) receiveFromPredecessor() {
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
		p.instance.Restore(*said.Memory)
	case said.Evacuating:
		p.evacuate()
	case said.Rejoined:
		p.rejoin()
	case said.IncompleteRequest != nil && len(conns) == 1:
		p.registerInBackground(&client{connectedAt: said.IncompleteRequest.ConnectedAt, pendingInput: said.IncompleteRequest.Received}, conns[0], protocol.BusyLine(0))
	case said.Established != nil && len(conns) == 2:
		p.resumeEstablished(said.Established, conns[0], conns[1])
	default:
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// registerInBackground has the loop take a connection whose side is known already. One that it cannot take is ended with a word, which
// only a client hears.
func (p *Proxy) registerInBackground(side any, conn *os.File, word []byte) {
	go func() {
		if p.registerFile(side, conn) == nil {
			_ = conn.Close()
			return
		}
		if err := p.registerWithRetry(side, conn, word); err != nil && p.ctx.Err() == nil {
			p.post(func() { p.registrationFailed(side) })
		}
	}()
}

// registrationFailed ends the other side of a connection that the loop could not take.
func (p *Proxy) registrationFailed(side any) {
	switch side := side.(type) {
	case *client:
		p.clientClosed(side, false)
	case *attempt:
		p.serverClosed(side, false)
	}
}

// serverResumed has a server's side; the client's comes next, so that there is somebody to send its bytes to.
func (p *Proxy) serverResumed(c *client, conn gnet.Conn) gnet.Action {
	if c.request.HasEnded() {
		_ = c.inheritedSocket.Close()
		return gnet.Close
	}
	p.openSockets++
	c.attempt.conn = conn
	p.registerInBackground(c, c.inheritedSocket, protocol.MoveLine)
	c.inheritedSocket = nil
	return gnet.None
}

// resumeEstablished takes an open connection in, its server's side first.
func (p *Proxy) resumeEstablished(s *establishedConn, own, servers *os.File) {
	to := p.servers[discovery.ServerID(s.Server)]
	if to == nil || p.openIDs[s.ID] {
		// Its server is none of the list's: the client comes again, and is told so.
		rejectFile(own, protocol.MoveLine)
		_ = own.Close()
		_ = servers.Close()
		return
	}
	now := p.now()
	c := &client{class: s.Class, unansweredAt: s.UnansweredAt, connectedAt: now, inheritedSocket: own}
	c.request.Resume()
	c.parser.ID, c.parser.Key, c.parser.Group, c.parser.Product = s.ID, s.Key, s.Group, s.Class
	c.reports = loadreports.Conn{EstablishedAt: s.EstablishedAt, Load: s.Load}
	d := &attempt{client: c, server: to, startedAt: now, deadline: now, closeOutcome: logic.Reset, cancelDial: func() {}}
	d.parser.Resume()
	c.attempt = d
	p.lastID++
	c.id = p.lastID
	p.openIDs[s.ID] = true
	c.attachment = &logic.Attachment{ID: c.id, Product: p.classes[s.Class].product, Group: s.Group, Key: s.Key, Returning: true, ArrivedAt: now, HardLimit: now}
	p.clients[c.id] = c
	to.establishedCount++
	p.instance.ConnectionResumed(now, c.attachment, to.id)
	if s.Load > 0 {
		p.instance.LoadChanged(now, c.id, s.Load)
	}
	p.registerInBackground(d, servers, nil)
}
