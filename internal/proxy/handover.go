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

// handover is the state of a proxy whose listening socket was inherited. During a restart two processes share that socket:
// the predecessor hands its connections over to the successor.
type handover struct {
	folder            string               // holds the Unix socket by which the two find each other; "" for no handover
	successorListener *succession.Listener // accepts a successor; nil while there is none
	predecessor       *succession.Conn     // to the process that ran before; nil if there is none
	successor         *succession.Conn     // to the process that is to replace this one; nil if there is none
	successorReady    bool                 // the successor accepts clients and can be handed connections
}

// InheritListener makes the proxy accept on an inherited listening TCP socket and, when it leaves, hand its clients over to
// the next process, which finds it through the folder ("" for no handover). It takes over the descriptor, fails if that
// is not a listening TCP socket, and must be called before Run.
func (p *Proxy) InheritListener(fd int, folder string) error {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return fmt.Errorf("descriptor %d is not valid", fd)
	}
	defer f.Close()
	var l net.Listener
	ctx, cancel := context.WithTimeout(context.Background(), loopStartTimeout)
	defer cancel()
	backoff := transient.Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}
	err := transient.Retry(ctx, backoff, transient.IsResourceShortage, func() (err error) {
		l, err = net.FileListener(f)
		return err
	})
	if err != nil {
		return fmt.Errorf("descriptor %d: %w", fd, err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return fmt.Errorf("descriptor %d listens on %s, not on TCP", fd, l.Addr().Network())
	}
	p.handover = &handover{folder: folder}
	return p.createAcceptor(tcp)
}

// startAccepting accepts clients on the inherited socket, once the proxy is ready, and reports this to a predecessor.
// Connections that arrive while neither process accepts wait in the socket's backlog. It does nothing if the listener
// is the proxy's own.
func (p *Proxy) startAccepting() {
	h := p.handover
	// This runs after each answer with the server list; without the check both processes would accept.
	if h == nil || !p.acceptor.Paused() || h.successorReady || p.mode == leaving || !p.ready {
		return
	}
	p.acceptor.Resume()
	p.listenForSuccessor()
	if h.predecessor != nil {
		p.sendPacket(h.predecessor, packet{Ready: true})
	}
}

// listenForSuccessor lets the next process find this one through the handover folder.
func (p *Proxy) listenForSuccessor() {
	h := p.handover
	if h.successorListener != nil || h.folder == "" || p.mode == leaving || p.acceptor.Paused() {
		return
	}
	listener, err := succession.Listen(h.folder, p.log, func(c *succession.Conn) { p.post(func() { p.successorConnected(c) }) })
	if err != nil {
		// Retried, so that a successor finds this process once the folder works again.
		p.log.Warn("cannot listen for a successor process; retrying", "error", err)
		p.scheduleAfter(successorListenRetryDelay, p.listenForSuccessor)
		return
	}
	h.successorListener = listener
}

// successorListenRetryDelay is the wait before listening for a successor is tried again after an error.
const successorListenRetryDelay = 2 * second

// stopAccepting leaves new connections on an inherited socket to the successor.
func (p *Proxy) stopAccepting() {
	if p.handover != nil {
		p.acceptor.Pause()
	}
}

// close releases the listener for a successor and the connections to the other processes.
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

// packet is the JSON message between predecessor and successor; each carries one field. The processes may be of different
// versions, so the JSON names must not change.
type packet struct {
	Ready             bool               `json:",omitempty"`        // from the successor: it accepts clients
	Established       *establishedConn   `json:"Stands,omitempty"`  // comes with the client's socket and the server's
	IncompleteRequest *incompleteRequest `json:"Unasked,omitempty"` // comes with the client's socket

	Memory     *logic.Snapshot `json:",omitempty"` // the balancer's state, with a part of its servers
	Evacuating bool            `json:",omitempty"` // the predecessor evacuates: it moves its clients away
	Rejoined   bool            `json:",omitempty"` // the evacuation has ended
}

// maxServersPerPacket is how many servers a packet describes at most, with some 300 bytes each.
const maxServersPerPacket = 40

// establishedConn describes an established connection that is handed over.
type establishedConn struct {
	ID            uint64 // the client's request id
	Key           logic.ClientKey
	Group         logic.GroupID
	Class         string
	Server        string         // its name in the server list
	Load          float64        // as last reported by the server; 0 if it was not
	EstablishedAt logic.Micros   `json:"Since"`
	UnansweredAt  []logic.Micros `json:"Sent"` // arrival times of the client's messages without an answer yet
}

// incompleteRequest describes a client that has not sent its whole first line.
type incompleteRequest struct {
	Received    []byte       `json:"Said"` // the part of the line that has arrived
	ConnectedAt logic.Micros `json:"Came"`
}

// sendPacket sends a packet with descriptors, which stay the caller's. It logs an error and returns false.
func (p *Proxy) sendPacket(to *succession.Conn, message packet, files ...int) bool {
	text, err := json.Marshal(message)
	if err == nil {
		err = to.Send(text, files...)
	}
	if err != nil {
		p.log.Warn("cannot send to the other process", "error", err)
	}
	return err == nil
}

// successorConnected handles a process that is to replace this one, and receives its packets. If another successor was
// connected before, the last one counts.
func (p *Proxy) successorConnected(c *succession.Conn) {
	h := p.handover
	if h.successor != nil {
		h.successor.Close()
	}
	h.successor, h.successorReady = c, false
	p.log.Info("a successor process connected")
	go func() {
		for {
			text, files, err := c.Receive()
			var message packet
			if err == nil {
				err = json.Unmarshal(text, &message)
			}
			for _, f := range files {
				_ = f.Close() // a successor hands over no sockets
			}
			if err != nil {
				p.post(func() { p.successorGone(c) })
				return
			}
			if message.Ready {
				p.post(func() { p.successorReady(c) })
			}
		}
	}()
}

// successorReady leaves new clients to the successor, and sends it the balancer's state and the current mode. If both
// processes placed requests at once, each would use the whole budget for cold servers.
func (p *Proxy) successorReady(c *succession.Conn) {
	if h := p.handover; h.successor == c {
		h.successorReady = true
		p.stopAccepting()
		p.log.Info("the successor process is ready")
		snapshot := p.instance.Snapshot()
		for rest := snapshot.Servers; ; rest = rest[len(snapshot.Servers):] {
			snapshot.Servers = rest[:min(maxServersPerPacket, len(rest))]
			if !p.sendPacket(c, packet{Memory: &snapshot}) || len(snapshot.Servers) == len(rest) {
				break
			}
		}
		switch p.mode {
		case evacuating:
			p.notifySuccessor(packet{Evacuating: true})
		case leaving:
			// The signal to leave may arrive before the successor is ready; the clients are still handed over instead of moved.
			_, moveSpan := p.leaveSpans()
			p.handOverAll(p.modeGeneration, moveSpan)
		}
	}
}

// notifySuccessor passes an evacuation or its end on to a successor: the two processes are one proxy, and until SIGTERM
// operators may call either of them.
func (p *Proxy) notifySuccessor(message packet) {
	if p.hasSuccessor() {
		p.sendPacket(p.handover.successor, message)
	}
}

// successorGone makes this process serve on, or leave as if there had been no successor.
func (p *Proxy) successorGone(c *succession.Conn) {
	c.Close()
	h := p.handover
	if h.successor != c {
		return
	}
	h.successor, h.successorReady = nil, false
	p.log.Warn("the successor process disconnected")
	oldListener := h.successorListener // the name of its socket may belong to the successor now
	h.successorListener = nil
	p.startAccepting()
	if !p.acceptor.Paused() {
		// A successor that ends before it is ready may have taken over the socket's name, so that the next successor would
		// find no process. The new listener starts before the old one closes, so that there always is one.
		p.listenForSuccessor()
	}
	if oldListener != nil {
		oldListener.CloseGracefully()
	}
}

// hasSuccessor reports whether a successor is ready to take over this process's connections.
func (p *Proxy) hasSuccessor() bool { return p.handover != nil && p.handover.successorReady }

// handOverAll hands over the connections that can be handed over now and repeats this every 10 ms. It ends when no
// connection is left or the mode has changed. If the successor is gone, the clients are moved within moveSpan.
func (p *Proxy) handOverAll(generation int, moveSpan logic.Micros) {
	if p.modeGeneration != generation || p.movedGeneration == generation {
		return
	}
	if !p.hasSuccessor() {
		p.startMoving(generation, moveSpan)
		return
	}
	for e := p.awaitingRequest.Front(); e != nil && p.hasSuccessor(); {
		c := e.Value.(*client)
		e = e.Next()
		p.handOverIncompleteRequest(c)
	}
	handedOver := 0
	for _, c := range p.establishedClients() {
		if p.hasSuccessor() && handedOver < handOverBatch && p.handOverEstablished(c) {
			handedOver++
		}
	}
	if len(p.clients) == 0 && p.awaitingRequest.Len() == 0 && p.lingering.Len() == 0 {
		p.quit()
		return
	}
	p.scheduleAfter(10*millisecond, func() { p.handOverAll(generation, moveSpan) })
}

// handOverBatch is how many established connections are handed over at a time, so that descriptors don't pile up between
// the two processes.
const handOverBatch = 32

// handOverEstablished hands an established connection over to the successor and reports whether it did. It does so only
// between two lines and with no unsent output, so that no bytes are lost or reordered.
func (p *Proxy) handOverEstablished(c *client) bool {
	a := c.attempt
	if c.conn == nil || a.conn == nil || !a.parser.AtLineStart() || c.conn.OutboundBuffered() > 0 || a.conn.OutboundBuffered() > 0 {
		return false
	}
	clientFD, err := c.conn.Dup()
	if err != nil {
		return false
	}
	defer syscall.Close(clientFD)
	serverFD, err := a.conn.Dup()
	if err != nil {
		return false
	}
	defer syscall.Close(serverFD)
	message := packet{Established: &establishedConn{c.parser.ID, c.parser.Key, c.parser.Group, c.class, a.server.uid, c.reports.Load, c.reports.EstablishedAt, c.unansweredAt}}
	if !p.sendPacket(p.handover.successor, message, clientFD, serverFD) {
		p.handover.successorReady = false // its disconnection will be noticed, and the other clients are moved
		return false
	}
	p.endEstablished(c, bySuccessor)
	p.instance.ClientLeft(p.now(), c.id)
	p.closeLocally(c.conn)
	p.closeLocally(a.conn)
	return true
}

// handOverIncompleteRequest hands a client that has not sent its whole first line over to the successor.
func (p *Proxy) handOverIncompleteRequest(c *client) {
	if c.conn.OutboundBuffered() > 0 {
		return
	}
	clientFD, err := c.conn.Dup()
	if err != nil {
		return
	}
	defer syscall.Close(clientFD)
	if !p.sendPacket(p.handover.successor, packet{IncompleteRequest: &incompleteRequest{c.parser.PartialLine(), c.connectedAt}}, clientFD) {
		p.handover.successorReady = false
		return
	}
	c.leaveQueue()
	p.releaseClient(c)
	p.closeLocally(c.conn)
}

// closeLocally closes this process's descriptor of a connection that another process continues.
func (p *Proxy) closeLocally(conn gnet.Conn) { _ = p.loop.Close(conn) }

// findPredecessor connects to a process that runs already. It must be called before this process listens for a successor.
func (p *Proxy) findPredecessor() {
	h := p.handover
	if h.folder == "" {
		return
	}
	c, err := succession.Dial(h.folder)
	if err != nil {
		p.log.Info("found no predecessor process to take over from", "why", err)
		return
	}
	h.predecessor = c
}

// receiveFromPredecessor receives the predecessor's packets in the background, if there is one.
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
			var message packet
			if err := json.Unmarshal(text, &message); err != nil {
				p.log.Warn("invalid packet from the predecessor process", "error", err)
			}
			p.post(func() { p.takeOver(message, files) })
		}
	}()
}

// takeOver handles a packet from the predecessor. It owns the files.
func (p *Proxy) takeOver(message packet, files []*os.File) {
	switch {
	case message.Memory != nil:
		p.instance.Restore(*message.Memory)
	case message.Evacuating:
		p.evacuate()
	case message.Rejoined:
		p.rejoin()
	case message.IncompleteRequest != nil && len(files) == 1:
		p.registerInBackground(&client{connectedAt: message.IncompleteRequest.ConnectedAt, pendingInput: message.IncompleteRequest.Received}, files[0], protocol.BusyLine(0))
	case message.Established != nil && len(files) == 2:
		p.resumeEstablished(message.Established, files[0], files[1])
	default:
		for _, file := range files {
			_ = file.Close()
		}
	}
}

// registerInBackground registers a connection that was taken over with the event loop. If that fails, the connection is
// closed after finalLine, which is nil for a server's. The file is closed in any case.
func (p *Proxy) registerInBackground(owner any, file *os.File, finalLine []byte) {
	go func() {
		if p.registerFile(owner, file) == nil {
			_ = file.Close()
			return
		}
		if err := p.registerWithRetry(owner, file, finalLine); err != nil && p.ctx.Err() == nil {
			p.post(func() { p.registrationFailed(owner) })
		}
	}()
}

// registrationFailed ends the other side of a connection that could not be registered with the event loop.
func (p *Proxy) registrationFailed(owner any) {
	switch owner := owner.(type) {
	case *client:
		p.clientClosed(owner, false)
	case *attempt:
		p.serverClosed(owner, false)
	}
}

// serverResumed completes the server side of a connection that was taken over, and then registers the client's socket, so
// that the client's bytes have somewhere to go.
func (p *Proxy) serverResumed(c *client, conn gnet.Conn) gnet.Action {
	if c.request.HasEnded() {
		_ = c.takenOverSocket.Close()
		return gnet.Close
	}
	p.openSockets++
	c.attempt.conn = conn
	p.registerInBackground(c, c.takenOverSocket, protocol.MoveLine)
	c.takenOverSocket = nil
	return gnet.None
}

// resumeEstablished takes over an established connection from the predecessor, its server side first.
func (p *Proxy) resumeEstablished(info *establishedConn, clientFile, serverFile *os.File) {
	server := p.servers[discovery.ServerID(info.Server)]
	if server == nil || p.openIDs[info.ID] {
		// The server is not on this process's list, or the id is in use: the client is asked to reconnect.
		sendFinalLine(clientFile, protocol.MoveLine)
		_ = clientFile.Close()
		_ = serverFile.Close()
		return
	}
	now := p.now()
	c := &client{class: info.Class, unansweredAt: info.UnansweredAt, connectedAt: now, takenOverSocket: clientFile}
	c.request.Resume()
	c.parser.ID, c.parser.Key, c.parser.Group, c.parser.Product = info.ID, info.Key, info.Group, info.Class
	c.reports = loadreports.Conn{EstablishedAt: info.EstablishedAt, Load: info.Load}
	a := &attempt{client: c, server: server, startedAt: now, deadline: now, closeOutcome: logic.Reset, cancelDial: func() {}}
	a.parser.Resume()
	c.attempt = a
	p.lastID++
	c.id = p.lastID
	p.openIDs[info.ID] = true
	c.attachment = &logic.Attachment{ID: c.id, Product: p.classes[info.Class].product, Group: info.Group, Key: info.Key, Returning: true, ArrivedAt: now, HardLimit: now}
	p.clients[c.id] = c
	server.establishedCount++
	p.instance.ConnectionResumed(now, c.attachment, server.id)
	if info.Load > 0 {
		p.instance.LoadChanged(now, c.id, info.Load)
	}
	p.registerInBackground(a, serverFile, nil)
}
