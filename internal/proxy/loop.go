package proxy

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"

	"hatchproxy/internal/lifecycle"
	"hatchproxy/internal/listen"
	"hatchproxy/internal/protocol"
	"hatchproxy/internal/transient"
)

// errLoopEnded reports that the event loop ended although the proxy did not stop it. The process must then exit with an
// error.
var errLoopEnded = errors.New("the event loop ended unexpectedly")

const (
	// loopStartTimeout bounds the retries at startup, when the process cannot get a poller or a listener yet.
	loopStartTimeout = 5 * time.Second
	// loopStopTimeout bounds the wait for an event loop that is to stop. By then all requests have been answered.
	loopStopTimeout = time.Second
)

// Run serves clients until a signal on leave or a call of Leave, and returns nil after an orderly end. A signal on
// reload has readConfig called and its result applied. Run fails if it cannot get its address or a poller, and if the
// event loop ends unexpectedly.
func (p *Proxy) Run(leave, reload <-chan os.Signal, readConfig func() (ReloadedConfig, error)) error {
	defer p.cancel()
	p.readConfig = readConfig
	go p.handleSignals(leave, p.leaveOrAbort)
	go p.handleSignals(reload, p.reloadOnSignal)
	if err := p.openListener(); err != nil {
		return p.unlessAborted(err)
	}
	defer p.acceptor.Close()
	if p.handover != nil {
		p.findPredecessor()
	}
	loop, err := p.startLoop()
	if err != nil {
		return p.unlessAborted(err)
	}
	if !p.startPhase.CompareAndSwap(phaseStarting, phaseServing) {
		stopLoop(loop)
		return p.unlessAborted(nil)
	}
	if p.handover == nil {
		p.acceptor.Resume()
	} else {
		p.receiveFromPredecessor()
	}
	<-p.runEnded
	p.acceptor.Close()
	stopLoop(loop)
	return p.fatalErr
}

// The phases of a start, as held in Proxy.startPhase.
const (
	phaseStarting int32 = iota
	phaseServing
	phaseAborted
)

// leaveOrAbort makes a proxy that serves leave, and aborts a start that is not complete.
func (p *Proxy) leaveOrAbort() {
	if p.startPhase.CompareAndSwap(phaseStarting, phaseAborted) {
		p.cancel()
		return
	}
	p.post(p.leave)
}

// handleSignals calls handler for each signal, one at a time. Each kind of signal has its own goroutine, so that a
// configuration file that cannot be read for a while does not delay leaving.
func (p *Proxy) handleSignals(signals <-chan os.Signal, handler func()) {
	for {
		select {
		case <-signals:
			handler()
		case <-p.ctx.Done():
			return
		}
	}
}

// reloadOnSignal reloads the configuration and logs a failure, after which the current one stays in force.
func (p *Proxy) reloadOnSignal() {
	if err := p.Reload(p.ctx); err != nil {
		p.log.Error("cannot reload the configuration; keeping the current one", "error", err)
	}
}

// unlessAborted returns err, or nil if the process received the signal to leave during startup.
func (p *Proxy) unlessAborted(err error) error {
	if p.ctx.Err() != nil {
		p.log.Info("told to leave during startup; exiting")
		return nil
	}
	return err
}

// openListener opens the listener unless one was inherited.
func (p *Proxy) openListener() error {
	if p.acceptor != nil {
		return nil
	}
	l, err := listen.ReusePortTCP(p.ctx, p.listenAddr, p.log)
	if err != nil {
		return err
	}
	return p.createAcceptor(l.Listener.(*net.TCPListener))
}

// createAcceptor creates the acceptor for a listener. It does not accept until it is resumed.
func (p *Proxy) createAcceptor(l *net.TCPListener) error {
	ctx, cancel := context.WithTimeout(p.ctx, loopStartTimeout)
	defer cancel()
	backoff := transient.Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}
	return transient.Retry(ctx, backoff, transient.IsResourceShortage, func() error {
		files, err := listen.NewFileListener(l, p.log)
		if err == nil {
			p.acceptor = newAcceptor(files, p.acceptClient)
		}
		return err
	})
}

// loopConn is the owner of a connection from the process to itself. Its opening gives access to the event loop at
// startup, and its closing shows that the loop has ended.
type loopConn struct{ peer net.Conn }

// startLoop starts the only event loop. The loop does not accept connections itself: a failed accept would end it and all
// connections that it holds (docs/incidents/failing-calls.md).
func (p *Proxy) startLoop() (loop *gnet.Client, err error) {
	ctx, cancel := context.WithTimeout(p.ctx, loopStartTimeout)
	defer cancel()
	backoff := transient.Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}
	err = transient.Retry(ctx, backoff, transient.IsResourceShortage, func() error {
		loop, err = gnet.NewClient(p, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithReadBufferCap(readBufferSize), gnet.WithWriteBufferCap(writeBufferSize), gnet.WithLogger(gnetLogger{p.log}))
		if err != nil {
			return err
		}
		return loop.Start()
	})
	if err != nil {
		return nil, err
	}
	isRetryable := func(err error) bool { return transient.IsResourceShortage(err) || errors.Is(err, errNotRegistered) }
	if err := transient.Retry(ctx, backoff, isRetryable, func() error { return p.openLoopConn(loop) }); err != nil {
		stopLoop(loop)
		return nil, err
	}
	return loop, nil
}

// openLoopConn registers the loop's first connection, a loopConn.
func (p *Proxy) openLoopConn(loop *gnet.Client) error {
	own, peer, err := tcpPair()
	if err != nil {
		return err
	}
	if _, err := loop.EnrollContext(own, &loopConn{peer}); err != nil {
		_ = peer.Close()
		return err
	}
	select {
	case <-p.loopStarted:
		return nil
	default: // the poller did not take the connection, which gnet does not report
		_ = peer.Close()
		return errNotRegistered
	}
}

// The sizes of gnet's buffers per connection, in bytes.
const readBufferSize, writeBufferSize = 4 << 10, 16 << 10

// stopLoop stops an event loop and waits for at most loopStopTimeout.
func stopLoop(loop *gnet.Client) {
	stopped := make(chan struct{})
	go func() {
		_ = loop.Stop() // the error was logged when the loop ended
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(loopStopTimeout):
	}
}

// tcpPair returns the two ends of a TCP connection on the loopback interface.
func tcpPair() (own, peer net.Conn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	if peer, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	if own, err = l.Accept(); err != nil {
		_ = peer.Close()
		return nil, nil, err
	}
	return own, peer, nil
}

// endRun makes Run return. By then each request must have been answered; any that has not is reported as a violation.
func (p *Proxy) endRun() {
	if p.mode != leaving {
		p.reportViolation(nil, &lifecycle.Violation{Rule: lifecycle.EndOnlyWhenTold, Detail: "the process ends"})
	}
	for _, c := range p.clients {
		if c.request.CheckClose() != nil {
			p.reportViolation(c, &lifecycle.Violation{Rule: lifecycle.NothingLeftAtEnd, State: c.request.State(), Detail: "the process ends"})
		}
	}
	p.cancel()
	p.endRunOnce.Do(func() { close(p.runEnded) })
}

// onLoopFailure runs in the last iteration of an event loop that ends unexpectedly, at the first of the connections that
// it closes. Each request still gets its final answer, and Run returns errLoopEnded.
func (p *Proxy) onLoopFailure() {
	if p.ctx.Err() != nil {
		return
	}
	p.log.Error("event loop ended unexpectedly; closing all connections", "attachments", len(p.clients))
	p.fatalErr = errLoopEnded
	p.setMode(leaving)
	p.expirePending()
	for _, c := range p.establishedClients() {
		if c.conn != nil && c.attempt.parser.AtLineStart() {
			_, _ = c.conn.Write(protocol.MoveLine) // a failure is reported as the end of the connection
		}
		p.endEstablished(c, byLeaving)
	}
	p.refuseAwaitingRequest()
	p.endRun()
}

// refuseAwaitingRequest refuses the clients that have not sent a whole request, so that they try elsewhere: a request
// of theirs may be on its way.
func (p *Proxy) refuseAwaitingRequest() {
	for first := p.awaitingRequest.Front(); first != nil; first = p.awaitingRequest.Front() {
		p.refuse(first.Value.(*client), reasonLeaving)
	}
}
