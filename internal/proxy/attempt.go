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

// server is one entry of the server list, with what the proxy has measured on its connections to it.
type server struct {
	id               logic.ServerID
	uid              string // its name in the server list
	endpoint         string
	zone             logic.ZoneID
	model            logic.ModelID
	cell             logic.CellID
	weight           float64
	launchedAt       logic.Micros
	establishedCount int                // established connections of this proxy
	recentReplies    []reply            // recent response times to messages
	reportedLate     bool               // the last response time that tick reported was late
	reports          loadreports.Server // distinguishes reported loads from reported delays
	probe            *probe             // nil while there is no probe connection
}

// attempt is one dispatch of a request to a server and, once established, the server side of the connection. It owns
// the socket to the server from the dial on.
type attempt struct {
	client       *client
	server       *server
	parser       protocol.Server
	conn         gnet.Conn // nil until it is connected
	cancelDial   context.CancelFunc
	startedAt    logic.Micros
	deadline     logic.Micros
	timer        *scheduledCall // ends it at its deadline
	writeStarted bool           // the request line was passed to gnet for writing
	finished     bool
	closeOutcome logic.Outcome // the outcome if the server closes the established connection now
	receivedAt   logic.Micros  // when the server's latest bytes came on the established connection
	blocked      bool          // the server does not read; the client's further bytes are dropped until it is moved
}

// isFullyWritten reports whether the last byte of the request line may have reached the server. The kernel may take
// only a part of the line, or nothing yet: the rest stays in gnet's buffer and is written later.
func (a *attempt) isFullyWritten() bool { return a.writeStarted && a.conn.OutboundBuffered() == 0 }

// outcomeIfWritten returns the outcome of an attempt that ends before the server has answered: the given one if the
// request line is fully written, and NoConnection otherwise. A request whose line is not fully written has not run and
// never will: dropAttempt discards the rest of the line, and nothing more can be written once the server has closed.
func (a *attempt) outcomeIfWritten(outcome logic.Outcome) logic.Outcome {
	if a.isFullyWritten() {
		return outcome
	}
	return logic.NoConnection
}

// Send starts an attempt for an attachment at a server, which may take the given time. It implements host.Executor.
func (p *Proxy) Send(id logic.AttachmentID, to logic.ServerID, wait logic.Micros) {
	c := p.clients[id]
	if c == nil {
		return
	}
	p.startAttempt(c, to, wait)
}

// startAttempt dials a server for a client's request. If a lifecycle rule forbids another attempt, the request fails.
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
	a := &attempt{client: c, server: p.servers[to], startedAt: now, deadline: now + wait, closeOutcome: logic.Reset}
	c.attempt = a
	p.trace("sent", c, "server", a.server.uid)
	var ctx context.Context
	ctx, a.cancelDial = context.WithCancel(p.ctx)
	p.ensureDescriptors(2) // the attempt starts even if none are free: dialAndRegister retries while descriptors are short
	p.openSockets += 2
	a.timer = p.scheduleAt(a.deadline, func() { p.failAttempt(a, a.outcomeIfWritten(logic.TimedOut)) })
	go p.dial(ctx, a, a.server.endpoint, min(wait, p.dialTimeout))
}

// dial runs on a goroutine of its own. It registers the connection with the event loop, or fails the attempt there.
func (p *Proxy) dial(ctx context.Context, a *attempt, endpoint string, wait logic.Micros) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Microsecond)
	defer cancel()
	if err := p.dialAndRegister(ctx, a, endpoint); err != nil {
		p.post(func() {
			p.openSockets -= 2
			if !a.finished {
				p.log.Debug("cannot connect to a server", "server", endpoint, "error", err)
				p.failAttempt(a, logic.NoConnection)
			}
		})
	}
}

// maxUnreachableRetries is how often a dial is retried after ENETUNREACH: about 7 ms of backoff in all.
const maxUnreachableRetries = 3

// dialAndRegister dials a server and registers the connection with the event loop; owner becomes its context there.
// While this machine is short of sockets or the loop's poller rejects connections, it retries until ctx ends: such
// errors say nothing about the server and must not use up an attempt.
func (p *Proxy) dialAndRegister(ctx context.Context, owner any, endpoint string) error {
	backoff := transient.Backoff{Initial: time.Millisecond, Max: 50 * time.Millisecond}
	unreachable := 0
	isRetryable := func(err error) bool {
		local := transient.IsResourceShortage(err) || errors.Is(err, errNotRegistered)
		if errors.Is(err, unix.ENETUNREACH) {
			// Either this machine lacks a route for a moment, or the server is unreachable: then another server is the
			// better choice.
			unreachable++
			local = unreachable <= maxUnreachableRetries
		}
		if local && ctx.Err() == nil {
			p.post(func() { p.counters.DialRetries++ })
			p.log.Debug("retrying to connect to a server", "server", endpoint, "error", err)
		}
		return local
	}
	return transient.Retry(ctx, backoff, isRetryable, func() error {
		conn, err := p.dialFunc(ctx, endpoint)
		if err != nil {
			return err
		}
		return p.register(owner, conn)
	})
}

// serverConnected sends the request line on a new connection to a server. It closes the connection if the attempt has
// ended or may no longer be sent. For a connection taken over from a predecessor process, it continues the takeover.
func (p *Proxy) serverConnected(a *attempt, conn gnet.Conn) gnet.Action {
	if c := a.client; c.request.WasEstablished() {
		return p.serverResumed(c, conn)
	}
	p.openSockets-- // the dial closes its own descriptor
	if a.finished {
		return gnet.Close
	}
	if !p.confirmSend(a) {
		return gnet.Close
	}
	a.conn = conn
	line := a.client.parser.OpenLine(a.deadline - p.now())
	if _, err := conn.Write(line); err != nil {
		return gnet.None // OnClose was called, with the line unsent
	}
	a.writeStarted = true
	a.client.request.MarkSent()
	p.rememberSent(a.client)
	p.counters.Sends++
	return gnet.None
}

// confirmSend reports whether the request line may still be written; it is called right before the write. Since the
// attempt began, the client may have left, the deadline may have passed, the server may have begun to drain, or the
// window for a repeat may be over. An attempt that may not be sent ends here and has never run.
func (p *Proxy) confirmSend(a *attempt) bool {
	c, now := a.client, p.now()
	presence := presenceOf(c.conn)
	if presence == clientSentMore {
		p.abandon(c)
		p.rejectInvalid(c, protocol.ErrEarlyData)
		return false
	}
	if err := c.request.CheckSend(now, presence == clientWaits); err != nil {
		var violation *lifecycle.Violation
		if errors.As(err, &violation) && violation.Rule == lifecycle.ClientPresent {
			// The loop is about to read the client's end. It gets its final answer in case the check was wrong.
			p.abandon(c)
			p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, "client left")
			return false
		}
		p.trace("unsent", c, "server", a.server.uid, "why", err.Error())
		p.failAttempt(a, logic.NotSent)
		return false
	}
	if c.parser.ResumeServer == "" && !p.instance.MaySend(now, c.attachment) {
		p.failAttempt(a, logic.NotSent)
		return false
	}
	return true
}

// clientPresence is what a client's socket tells before the event loop has read it.
type clientPresence uint8

const (
	clientWaits    clientPresence = iota // it waits for its answer
	clientSentMore                       // it has sent more, and may have left behind that
	clientLeft                           // it has closed or reset the connection
)

// presenceOf returns what a client's socket tells. If the check itself fails, the client counts as waiting.
func presenceOf(conn gnet.Conn) clientPresence {
	if !isOpen(conn) {
		return clientLeft
	}
	fds := []unix.PollFd{{Fd: int32(conn.Fd()), Events: unix.POLLIN | unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	switch {
	case err != nil || n == 0:
		return clientWaits
	case fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0:
		return clientLeft
	}
	return clientSentMore
}

// serverDataReceived parses bytes from a server: its answer to the request line, and afterwards what is relayed to the
// client. Bytes for a client that is still being taken over from a predecessor are kept until its socket is registered.
func (p *Proxy) serverDataReceived(a *attempt, data []byte) {
	if c := a.client; c.request.WasEstablished() && c.conn == nil {
		c.pendingInput = append(c.pendingInput, data...)
		return
	}
	a.receivedAt = p.now()
	for len(data) > 0 && !a.finished {
		if a.client.request.WasEstablished() {
			p.relayToClient(a, data)
			return
		}
		var event protocol.ServerEvent
		var forward []byte
		event, forward, data = a.parser.Feed(data)
		switch event {
		case protocol.ServerUp:
			p.markEstablished(a, forward)
		case protocol.ServerBusy:
			p.failAttempt(a, logic.Full)
		case protocol.ServerError:
			p.failAttempt(a, logic.Failure)
		case protocol.ServerMove:
			p.failAttempt(a, logic.Cancelled)
		case protocol.ServerInvalid:
			p.log.Warn("invalid answer from a server", "server", a.server.endpoint, "why", a.parser.Err)
			p.failAttempt(a, logic.Failure)
		}
	}
}

// markEstablished marks a connection established after the server accepted it, and relays the server's answer.
func (p *Proxy) markEstablished(a *attempt, forward []byte) {
	c, now := a.client, p.now()
	if err := c.request.Establish(); err != nil {
		p.reportViolation(c, err)
		p.failAttempt(a, logic.Failure)
		return
	}
	p.cancelCall(a.timer)
	c.parser.Release()
	c.reports.EstablishedAt = now
	p.trace("up", c, "server", a.server.uid, "took_us", int64(now-a.startedAt))
	a.cancelDial()
	a.server.establishedCount++
	p.counters.CountRequest(c.class, telemetry.Answered)
	if c.parser.ResumeServer != "" {
		p.instance.ConnectionResumed(now, c.attachment, a.server.id)
	} else {
		p.instance.ConnectionEstablished(now, c.id)
	}
	p.writeToClient(c, forward)
}

// failAttempt ends an attempt that was not established, and lets the balancer decide what to do next.
func (p *Proxy) failAttempt(a *attempt, outcome logic.Outcome) {
	c := a.client
	p.trace("failed", c, "server", a.server.uid, "took_us", int64(p.now()-a.startedAt), "outcome", uint8(outcome), "why", outcome.String())
	p.dropAttempt(a)
	c.lastOutcome = outcome
	c.request.FinishAttempt(!outcome.NeverRan())
	if !c.request.MayHaveRun() {
		p.sentIDs.remove(c.parser.ID)
	}
	if c.parser.ResumeServer != "" {
		p.scheduleAfter(restoreRetryDelay, func() { p.restoreConnection(c) })
		return
	}
	p.instance.DispatchEnded(p.now(), c.id, outcome, false)
}

// dropAttempt releases the resources of an attempt that was not established. A dial still under way is cancelled, and
// its descriptors are released when it returns.
func (p *Proxy) dropAttempt(a *attempt) {
	a.finished = true
	p.cancelCall(a.timer)
	a.client.attempt = nil
	a.cancelDial()
	a.parser.Release()
	if a.conn != nil {
		p.closeConn(a.conn, a.cancelUnsentWrite())
	}
}

// cancelUnsentWrite makes sure that the unwritten rest of the request line is never sent, and reports whether there was
// any. Without it, closing would flush the buffer, and the server could run a request that was given up: the client may
// be gone, or another attempt may be under way. Servers ignore an incomplete line.
func (a *attempt) cancelUnsentWrite() (pending bool) {
	if pending = a.conn.OutboundBuffered() > 0; pending {
		_ = syscall.Shutdown(a.conn.Fd(), syscall.SHUT_WR) // later writes fail; if this fails, they fail anyway
	}
	return pending
}

// serverClosed handles the end of a server's connection: an attempt fails, and an established connection ends on the
// client's side in the same way, by a reset or an ordinary close.
func (p *Proxy) serverClosed(a *attempt, reset bool) {
	if a.finished {
		return
	}
	c := a.client
	switch {
	case c.request.WasEstablished():
		by := byServer
		if a.closeOutcome == logic.OK {
			by = byCompletion
		}
		p.endEstablished(c, by)
		p.instance.DispatchEnded(p.now(), c.id, a.closeOutcome, true)
		if reset {
			p.closeConn(c.conn, true)
		} else {
			p.closeAnswered(c)
		}
	default:
		p.failAttempt(a, a.outcomeIfWritten(logic.Reset))
	}
}

// endEstablished releases the resources of an established connection except for its two sockets, which the caller
// closes. by is one of the reasons in trace.go.
func (p *Proxy) endEstablished(c *client, by string) {
	a := c.attempt
	p.trace("ended", c, "by", by)
	p.counters.CountClosed(by)
	a.finished = true
	p.cancelCall(a.timer)
	a.server.establishedCount--
	a.server.reports.ConnClosed(&c.reports)
	a.parser.Release()
	p.rememberSent(c)
	p.releaseClient(c)
}

// A client may name the server at which it was established before this proxy started; its connection is restored there.
const (
	// restoreRetryDelay is the wait before the next attempt to restore a connection.
	restoreRetryDelay = 100 * millisecond
	// maxRestoreTime is how long the protocol allows after the start for all such connections to be restored.
	maxRestoreTime = 40 * second
)

// restoreConnection starts an attempt at the server where the client was established before this proxy started. It
// waits for the server to appear on the list, and gives up at the client's hard limit, or after requestTimeout if the
// list has arrived without that server.
func (p *Proxy) restoreConnection(c *client) {
	now := p.now()
	switch {
	case c.request.HasEnded():
	case now >= c.attachment.HardLimit:
		p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, c.failureReason())
	case p.servers[discovery.ServerID(c.parser.ResumeServer)] == nil && p.listTold && now-c.attachment.ArrivedAt > requestTimeout:
		p.answerAndClose(c, telemetry.Errored, protocol.FailedLine, "not listed") // the list has arrived, and the server is not on it
	case p.servers[discovery.ServerID(c.parser.ResumeServer)] == nil:
		p.scheduleAfter(restoreRetryDelay, func() { p.restoreConnection(c) })
	default:
		p.startAttempt(c, discovery.ServerID(c.parser.ResumeServer), c.attachment.HardLimit-now)
	}
}
