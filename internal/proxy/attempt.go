package proxy

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"hatchproxy/internal/discovery"
	"hatchproxy/internal/lifecycle"
	"hatchproxy/internal/loadreports"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/telemetry"
	"hatchproxy/internal/transient"
	"hatchproxy/logic"
)

// server is where a server of the list is found, and how it answers messages.
type server struct {
	id               logic.ServerID
	uid              string
	endpoint         string
	zone             logic.ZoneID
	model            logic.ModelID
	cell             logic.CellID
	weight           float64
	launchedAt       logic.Micros
	establishedCount int
	recentReplies    []reply
	reportedLate     bool // its messages were told to be late
	reports          loadreports.Server
	probe            *probe
}

// attempt is one try at a server. It owns the connection to it, from the dial on.
type attempt struct {
	client       *client
	server       *server
	parser       protocol.Server
	conn         gnet.Conn // nil while it is dialled
	cancelDial   context.CancelFunc
	startedAt    logic.Micros
	deadline     logic.Micros
	writeStarted bool // its line was handed over for writing
	finished     bool
	closeOutcome logic.Outcome // what the server's last word says of the end of a standing connection
}

// isFullyWritten tells whether the last byte of the line may have gone to the server. The kernel takes a line in parts, or later:
// what it has not taken is still in the connection's buffer, and goes out on its own time.
func (d *attempt) isFullyWritten() bool { return d.writeStarted && d.conn.OutboundBuffered() == 0 }

// outcomeIfWritten is the outcome of a attempt that ends before the server has said anything: one whose line is not out whole has
// never run, and never will, as drop and serverEnded see to.
func (d *attempt) outcomeIfWritten(otherwise logic.Outcome) logic.Outcome {
	if d.isFullyWritten() {
		return otherwise
	}
	return logic.NoConnection
}

// Send starts a attempt.
func (p *Proxy) Send(id logic.AttachmentID, to logic.ServerID, wait logic.Micros) {
	c := p.clients[id]
	if c == nil {
		return
	}
	p.startAttempt(c, to, wait)
}

func (p *Proxy) startAttempt(c *client, to logic.ServerID, wait logic.Micros) {
	now := p.now()
	if err := c.request.StartAttempt(now); err != nil {
		p.reportViolation(c, err)
		p.instance.DispatchEnded(now, c.id, logic.Cancelled, true)
		p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, "no further attempt")
		return
	}
	if c.request.Attempts() > 1 {
		p.counters.CountRetried(c.lastOutcome.String())
	}
	d := &attempt{client: c, server: p.servers[to], startedAt: now, deadline: now + wait, closeOutcome: logic.Reset}
	c.attempt = d
	p.trace("sent", c, "server", d.server.uid)
	var ctx context.Context
	ctx, d.cancelDial = context.WithCancel(p.ctx)
	p.ensureDescriptors(2) // those in use for requests leave room for what is not had here
	p.openSockets += 2
	p.scheduleAt(d.deadline, func() {
		if !d.finished && !c.request.WasEstablished() {
			p.failAttempt(d, d.outcomeIfWritten(logic.TimedOut))
		}
	})
	go p.dial(ctx, d, d.server.endpoint, min(wait, p.dialTimeout))
}

// dial runs beside the loop and hands it the connection, or word that there is none.
func (p *Proxy) dial(ctx context.Context, d *attempt, endpoint string, wait logic.Micros) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Microsecond)
	defer cancel()
	if err := p.dialAndRegister(ctx, d, endpoint); err != nil {
		p.post(func() {
			p.openSockets -= 2
			if !d.finished {
				p.log.Debug("no connection", "server", endpoint, "error", err)
				p.failAttempt(d, logic.NoConnection)
			}
		})
	}
}

// maxUnreachableRetries is how often a dial is made again that finds no way: some 7 ms in all.
const maxUnreachableRetries = 3

// dialAndRegister dials a server and has the loop take the connection for a side. While this machine has no socket to spare, or the
// loop's poller no room, it goes on trying until the context ends: that says nothing of the server, and uses up no attempt.
func (p *Proxy) dialAndRegister(ctx context.Context, side any, endpoint string) error {
	wait := transient.Backoff{Initial: time.Millisecond, Max: 50 * time.Millisecond}
	unreachable := 0
	passes := func(err error) bool {
		local := transient.IsResourceShortage(err) || errors.Is(err, errNotRegistered)
		if errors.Is(err, unix.ENETUNREACH) {
			// A route of this machine that is missing for a moment, or the server's own: then another one is the better try.
			unreachable++
			local = unreachable <= maxUnreachableRetries
		}
		if local && ctx.Err() == nil {
			p.post(func() { p.counters.DialRetries++ })
			p.log.Debug("a dial is made again", "server", endpoint, "error", err)
		}
		return local
	}
	return transient.Retry(ctx, wait, passes, func() error {
		conn, err := p.dialFunc(ctx, endpoint)
		if err != nil {
			return err
		}
		return p.register(side, conn)
	})
}

// serverConnected sends the line. A connection for what is over by now is closed.
func (p *Proxy) serverConnected(d *attempt, conn gnet.Conn) gnet.Action {
	if c := d.client; c.request.WasEstablished() {
		return p.serverResumed(c, conn)
	}
	p.openSockets-- // the dial closes its own descriptor
	if d.finished {
		return gnet.Close
	}
	if !p.confirmSend(d) {
		return gnet.Close
	}
	d.conn = conn
	line := d.client.parser.OpenLine(d.deadline - p.now())
	if _, err := conn.Write(line); err != nil {
		return gnet.None // the end of the connection has been told, with the line unsent
	}
	d.writeStarted = true
	d.client.request.MarkSent()
	p.counters.Sends++
	return gnet.None
}

// confirmSend decides, in the instant before a line would be written, whether it may be. The world may have changed since the
// attempt began: the client may have left, its time be up, the server drain, a repeat be out of its window. An attempt
// that may not be sent ends here, and has never run.
func (p *Proxy) confirmSend(d *attempt) bool {
	c, now := d.client, p.now()
	if err := c.request.CheckSend(now, isClientPresent(c.conn)); err != nil {
		var v *lifecycle.Violation
		if errors.As(err, &v) && v.Rule == lifecycle.ClientPresent {
			// Its end is about to be read. Should that look have been wrong, it has its one answer all the same.
			p.abandon(c)
			p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, "client left")
			return false
		}
		p.trace("unsent", c, "server", d.server.uid, "why", err.Error())
		p.failAttempt(d, logic.NotSent)
		return false
	}
	if c.parser.ResumeServer == "" && !p.instance.MaySend(now, c.attachment) {
		p.failAttempt(d, logic.NotSent)
		return false
	}
	return true
}

// isClientPresent tells whether a client's connection has neither ended nor been reset, also where the loop has not come to read
// that yet. A look that fails for any other reason says nothing of the client.
func isClientPresent(conn gnet.Conn) bool {
	if !isOpen(conn) {
		return false
	}
	var next [1]byte
	n, _, err := unix.Recvfrom(conn.Fd(), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	ended := n == 0 && err == nil
	return !ended && !errors.Is(err, unix.ECONNRESET)
}

func (p *Proxy) serverDataReceived(d *attempt, b []byte) {
	if c := d.client; c.request.WasEstablished() && c.conn == nil {
		c.pendingInput = append(c.pendingInput, b...)
		return
	}
	for len(b) > 0 && !d.finished {
		var ev protocol.ServerEvent
		var pass []byte
		ev, pass, b = d.parser.Feed(b)
		if d.client.request.WasEstablished() {
			p.relayToClient(d, ev, pass)
			continue
		}
		switch ev {
		case protocol.ServerUp:
			p.markEstablished(d, pass)
		case protocol.ServerBusy:
			p.failAttempt(d, logic.Full)
		case protocol.ServerError:
			p.failAttempt(d, logic.Failure)
		case protocol.ServerMove:
			p.failAttempt(d, logic.Cancelled)
		case protocol.ServerInvalid:
			p.log.Warn("a server's answer means nothing", "server", d.server.endpoint, "why", d.parser.Err)
			p.failAttempt(d, logic.Failure)
		}
	}
}

// markEstablished passes the server's word on: the connection stands.
func (p *Proxy) markEstablished(d *attempt, pass []byte) {
	c, now := d.client, p.now()
	if err := c.request.Establish(); err != nil {
		p.reportViolation(c, err)
		p.failAttempt(d, logic.Failure)
		return
	}
	c.reports.EstablishedAt = now
	p.trace("up", c, "server", d.server.uid, "took_us", int64(now-d.startedAt))
	d.cancelDial()
	d.server.establishedCount++
	p.counters.CountRequest(c.class, telemetry.Answered)
	if c.parser.ResumeServer != "" {
		p.instance.ConnectionResumed(now, c.attachment, d.server.id)
	} else {
		p.instance.ConnectionEstablished(now, c.id)
	}
	p.writeToClient(c, pass)
}

// failAttempt ends a attempt that never established and asks what to do now.
func (p *Proxy) failAttempt(d *attempt, o logic.Outcome) {
	c := d.client
	p.trace("failed", c, "server", d.server.uid, "took_us", int64(p.now()-d.startedAt), "outcome", uint8(o), "why", o.String())
	p.dropAttempt(d)
	c.lastOutcome = o
	c.request.FinishAttempt(!o.NeverRan())
	if c.parser.ResumeServer != "" {
		p.scheduleAfter(restoreRetryDelay, func() { p.restoreConnection(c) })
		return
	}
	p.instance.DispatchEnded(p.now(), c.id, o, false)
}

// dropAttempt is where a attempt that never established gives back what it has. A dial that is still under way ends, and
// gives its socket back when it does.
func (p *Proxy) dropAttempt(d *attempt) {
	d.finished = true
	d.client.attempt = nil
	d.cancelDial()
	d.parser.Release()
	if d.conn != nil {
		p.closeConn(d.conn, d.cancelUnsentWrite())
	}
}

// cancelUnsentWrite sees to it that no more of the line goes out. Guards against a attempt that runs after it was given up: its
// client may be gone, or another be out. A half line is none, and what is still in the buffer would be written at the close.
func (d *attempt) cancelUnsentWrite() (cut bool) {
	if cut = d.conn.OutboundBuffered() > 0; cut {
		_ = syscall.Shutdown(d.conn.Fd(), syscall.SHUT_WR) // writes fail from now on; a failure says that they do
	}
	return cut
}

// serverClosed tells how a attempt or a standing connection ended, and ends the client's side in the same way.
func (p *Proxy) serverClosed(d *attempt, reset bool) {
	if d.finished {
		return
	}
	c := d.client
	switch {
	case c.request.WasEstablished():
		by := byServer
		if d.closeOutcome == logic.OK {
			by = byCompletion
		}
		p.endEstablished(c, by)
		p.instance.DispatchEnded(p.now(), c.id, d.closeOutcome, true)
		if reset {
			p.closeConn(c.conn, true)
		} else {
			p.closeAnswered(c)
		}
	default:
		p.failAttempt(d, d.outcomeIfWritten(logic.Reset))
	}
}

// endEstablished is where a standing connection gives back what it has, but for the two sockets, which the caller
// shuts.
func (p *Proxy) endEstablished(c *client, by string) {
	d := c.attempt
	p.trace("ended", c, "by", by)
	p.counters.CountClosed(by)
	d.finished = true
	d.server.establishedCount--
	d.server.reports.ConnClosed(&c.reports)
	d.parser.Release()
	p.releaseClient(c)
}

// restoring is the wait before a connection that established before this proxy did is tried again at its server.
const (
	restoreRetryDelay = 100 * millisecond
	// maxRestoreTime is as long as the protocol has all such connections come up at the start.
	maxRestoreTime = 40 * second
)

// restoreConnection takes a connection back to the server where it was open before this proxy was.
func (p *Proxy) restoreConnection(c *client) {
	now := p.now()
	switch {
	case c.request.HasEnded():
	case now >= c.attachment.HardLimit:
		p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, c.failureReason())
	case p.servers[discovery.ServerID(c.parser.ResumeServer)] == nil && p.ready && now-c.attachment.ArrivedAt > requestTimeout:
		p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, "not listed") // the list has been had, and such a server is not on it
	case p.servers[discovery.ServerID(c.parser.ResumeServer)] == nil:
		p.scheduleAfter(restoreRetryDelay, func() { p.restoreConnection(c) })
	default:
		p.startAttempt(c, discovery.ServerID(c.parser.ResumeServer), c.attachment.HardLimit-now)
	}
}
