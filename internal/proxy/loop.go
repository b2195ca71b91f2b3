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

// errLoopEnded is a loop that ended though nobody told it to: the process must not leave as if all were well.
var errLoopEnded = errors.New("the event loop ended by itself")

const (
	// loopStartTimeout is how long a poller is tried for at the start.
	loopStartTimeout = 5 * time.Second
	// loopStopTimeout bounds the wait for a loop that has been told to stop. All requests have their answers by then.
	loopStopTimeout = time.Second
)

// Run serves until it is told to leave, and returns nil if it left in good order. Whenever again says so, reread tells
// what holds from now on. It fails where its address or a poller cannot be had, and where its loop ends by itself.
func (p *Proxy) Run(leave, again <-chan os.Signal, reread func() (ReloadedConfig, error)) error {
	defer p.cancel()
	p.readConfig = reread
	go p.handleSignals(leave, p.leaveOrAbort)
	go p.handleSignals(again, p.reloadOnSignal)
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

// The phases of a start.
const (
	phaseStarting int32 = iota
	phaseServing
	phaseAborted
)

// leaveOrAbort has a proxy that serves leave, and a start that is not through yet end.
func (p *Proxy) leaveOrAbort() {
	if p.startPhase.CompareAndSwap(phaseStarting, phaseAborted) {
		p.cancel()
		return
	}
	p.post(p.leave)
}

// handleSignals has each signal of one kind handled, one after the other. Kinds do not wait for each other: a file that cannot be
// read for a moment must not put the word to leave off.
func (p *Proxy) handleSignals(signals <-chan os.Signal, call func()) {
	for {
		select {
		case <-signals:
			call()
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *Proxy) reloadOnSignal() {
	if err := p.Reload(p.ctx); err != nil {
		p.log.Error("the new configuration is of no use, the old one is kept", "error", err)
	}
}

// unlessAborted is a failed start's error, or nil where the process was told to leave meanwhile.
func (p *Proxy) unlessAborted(err error) error {
	if p.ctx.Err() != nil {
		p.log.Info("called off before it served")
		return nil
	}
	return err
}

// openListener listens where the platform's socket was not inherited.
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

// createAcceptor accepts on a listener from when it is resumed on.
func (p *Proxy) createAcceptor(l *net.TCPListener) error {
	ctx, cancel := context.WithTimeout(p.ctx, loopStartTimeout)
	defer cancel()
	wait := transient.Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}
	return transient.Retry(ctx, wait, transient.IsResourceShortage, func() error {
		files, err := listen.NewFileListener(l, p.log)
		if err == nil {
			p.acceptor = newAcceptor(files, p.acceptClient)
		}
		return err
	})
}

// loopConn is the side of a connection to itself, by which the loop is had at the start, and its end is noticed.
type loopConn struct{ peer net.Conn }

// startLoop starts the one event loop. It accepts nothing itself: a failed accept would end it, and with it every
// connection that it holds (docs/incidents/failing-calls.md).
func (p *Proxy) startLoop() (loop *gnet.Client, err error) {
	ctx, cancel := context.WithTimeout(p.ctx, loopStartTimeout)
	defer cancel()
	wait := transient.Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}
	err = transient.Retry(ctx, wait, transient.IsResourceShortage, func() error {
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
	passes := func(err error) bool { return transient.IsResourceShortage(err) || errors.Is(err, errNotRegistered) }
	if err := transient.Retry(ctx, wait, passes, func() error { return p.openLoopConn(loop) }); err != nil {
		stopLoop(loop)
		return nil, err
	}
	return loop, nil
}

// openLoopConn gives the loop its first connection.
func (p *Proxy) openLoopConn(loop *gnet.Client) error {
	own, other, err := tcpPair()
	if err != nil {
		return err
	}
	if _, err := loop.EnrollContext(own, &loopConn{other}); err != nil {
		_ = other.Close()
		return err
	}
	select {
	case <-p.loopStarted:
		return nil
	default: // its poller did not take the connection, which is not reported
		_ = other.Close()
		return errNotRegistered
	}
}

const readBufferSize, writeBufferSize = 16 << 10, 16 << 10

func stopLoop(loop *gnet.Client) {
	stopped := make(chan struct{})
	go func() {
		_ = loop.Stop() // what it says was logged when the loop ended
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(loopStopTimeout):
	}
}

// tcpPair makes two ends of one connection.
func tcpPair() (own, other net.Conn, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	if other, err = net.Dial("tcp", l.Addr().String()); err != nil {
		return nil, nil, err
	}
	if own, err = l.Accept(); err != nil {
		_ = other.Close()
		return nil, nil, err
	}
	return own, other, nil
}

// endRun has Run return. By then each request has its answer.
func (p *Proxy) endRun() {
	if p.mode != leaving {
		p.reportViolation(nil, &lifecycle.Violation{Rule: lifecycle.EndOnlyWhenTold, Detail: "the process ends"})
	}
	for _, c := range p.clients {
		if c.request.Close() != nil {
			p.reportViolation(c, &lifecycle.Violation{Rule: lifecycle.NothingLeftAtEnd, State: c.request.State(), Detail: "the process ends"})
		}
	}
	p.cancel()
	p.endRunOnce.Do(func() { close(p.runEnded) })
}

// onLoopFailure is the loop's last turn where nobody told it to end: it is closing all connections, this one first. Each
// request still gets its final answer, and the process ends with an error.
func (p *Proxy) onLoopFailure() {
	if p.ctx.Err() != nil {
		return
	}
	p.log.Error("the event loop ends by itself", "attachments", len(p.clients))
	p.fatalErr = errLoopEnded
	p.setMode(leaving)
	p.expirePending()
	for _, c := range p.establishedClients() {
		if c.conn != nil && c.attempt.parser.AtLineStart() {
			_, _ = c.conn.Write(protocol.MoveLine) // a failure is the connection's own end
		}
		p.endEstablished(c, byLeaving)
	}
	p.refuseAwaitingRequest()
	p.endRun()
}

// refuseAwaitingRequest tells those that have asked nothing yet to try elsewhere: a request may be on its way from them.
func (p *Proxy) refuseAwaitingRequest() {
	for first := p.awaitingRequest.Front(); first != nil; first = p.awaitingRequest.Front() {
		p.refuse(first.Value.(*client), reasonLeaving)
	}
}
