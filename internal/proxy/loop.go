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
	// loopStarting is how long a poller is tried for at the start.
	loopStarting = 5 * time.Second
	// loopStopping bounds the wait for a loop that has been told to stop. All requests have their answers by then.
	loopStopping = time.Second
)

// Run serves until it is told to leave, and returns nil if it left in good order. Whenever again says so, reread tells
// what holds from now on. It fails where its address or a poller cannot be had, and where its loop ends by itself.
func (p *Proxy) Run(leave, again <-chan os.Signal, reread func() (Renewal, error)) error {
	defer p.stop()
	p.reread = reread
	go p.handle(leave, p.leaveOrCallOff)
	go p.handle(again, p.reload)
	if err := p.openListener(); err != nil {
		return p.unlessCalledOff(err)
	}
	defer p.acceptor.Close()
	if p.handover != nil {
		p.findPredecessor()
	}
	loop, err := p.startLoop()
	if err != nil {
		return p.unlessCalledOff(err)
	}
	if !p.phase.CompareAndSwap(isStarting, isServing) {
		stopLoop(loop)
		return p.unlessCalledOff(nil)
	}
	if p.handover == nil {
		p.acceptor.Resume()
	} else {
		p.followPredecessor()
	}
	<-p.ended
	p.acceptor.Close()
	stopLoop(loop)
	return p.fault
}

// The phases of a start.
const (
	isStarting int32 = iota
	isServing
	isCalledOff
)

// leaveOrCallOff has a proxy that serves leave, and a start that is not through yet end.
func (p *Proxy) leaveOrCallOff() {
	if p.phase.CompareAndSwap(isStarting, isCalledOff) {
		p.stop()
		return
	}
	p.post(p.leave)
}

// handle has each signal of one kind handled, one after the other. Kinds do not wait for each other: a file that cannot be
// read for a moment must not put the word to leave off.
func (p *Proxy) handle(signals <-chan os.Signal, call func()) {
	for {
		select {
		case <-signals:
			call()
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *Proxy) reload() {
	if err := p.Reload(p.ctx); err != nil {
		p.log.Error("the new configuration is of no use, the old one is kept", "error", err)
	}
}

// unlessCalledOff is a failed start's error, or nil where the process was told to leave meanwhile.
func (p *Proxy) unlessCalledOff(err error) error {
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
	l, err := listen.SharedTCP(p.ctx, p.listen, p.log)
	if err != nil {
		return err
	}
	return p.acceptOn(l.Listener.(*net.TCPListener))
}

// acceptOn accepts on a listener from when it is resumed on.
func (p *Proxy) acceptOn(l *net.TCPListener) error {
	ctx, cancel := context.WithTimeout(p.ctx, loopStarting)
	defer cancel()
	wait := transient.Backoff{First: 2 * time.Millisecond, Longest: 100 * time.Millisecond}
	return transient.Retry(ctx, wait, transient.OfResources, func() error {
		files, err := listen.NewFiles(l, p.log)
		if err == nil {
			p.acceptor = newAcceptor(files, p.acceptClient)
		}
		return err
	})
}

// anchor is the side of a connection to itself, by which the loop is had at the start, and its end is noticed.
type anchor struct{ other net.Conn }

// startLoop starts the one event loop. It accepts nothing itself: a failed accept would end it, and with it every
// connection that it holds (docs/incidents/failing-calls.md).
func (p *Proxy) startLoop() (loop *gnet.Client, err error) {
	ctx, cancel := context.WithTimeout(p.ctx, loopStarting)
	defer cancel()
	wait := transient.Backoff{First: 2 * time.Millisecond, Longest: 100 * time.Millisecond}
	err = transient.Retry(ctx, wait, transient.OfResources, func() error {
		loop, err = gnet.NewClient(p, gnet.WithNumEventLoop(1), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
			gnet.WithReadBufferCap(readBuffer), gnet.WithWriteBufferCap(writeBuffer), gnet.WithLogger(gnetLog{p.log}))
		if err != nil {
			return err
		}
		return loop.Start()
	})
	if err != nil {
		return nil, err
	}
	passes := func(err error) bool { return transient.OfResources(err) || errors.Is(err, errNotRegistered) }
	if err := transient.Retry(ctx, wait, passes, func() error { return p.anchorLoop(loop) }); err != nil {
		stopLoop(loop)
		return nil, err
	}
	return loop, nil
}

// anchorLoop gives the loop its first connection.
func (p *Proxy) anchorLoop(loop *gnet.Client) error {
	own, other, err := pair()
	if err != nil {
		return err
	}
	if _, err := loop.EnrollContext(own, &anchor{other}); err != nil {
		_ = other.Close()
		return err
	}
	select {
	case <-p.started:
		return nil
	default: // its poller did not take the connection, which is not reported
		_ = other.Close()
		return errNotRegistered
	}
}

const readBuffer, writeBuffer = 16 << 10, 16 << 10

func stopLoop(loop *gnet.Client) {
	stopped := make(chan struct{})
	go func() {
		_ = loop.Stop() // what it says was logged when the loop ended
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(loopStopping):
	}
}

// pair makes two ends of one connection.
func pair() (own, other net.Conn, err error) {
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

// finish has Run return. By then each request has its answer.
func (p *Proxy) finish() {
	if p.duty != leaving {
		p.violated(nil, &lifecycle.Violation{Rule: lifecycle.EndOnlyWhenTold, Why: "the process ends"})
	}
	for _, c := range p.clients {
		if c.request.Close() != nil {
			p.violated(c, &lifecycle.Violation{Rule: lifecycle.NothingLeftAtEnd, State: c.request.State(), Why: "the process ends"})
		}
	}
	p.stop()
	p.finished.Do(func() { close(p.ended) })
}

// loopEnds is the loop's last turn where nobody told it to end: it is closing all connections, this one first. Each
// request still gets its final answer, and the process ends with an error.
func (p *Proxy) loopEnds() {
	if p.ctx.Err() != nil {
		return
	}
	p.log.Error("the event loop ends by itself", "attachments", len(p.clients))
	p.fault = errLoopEnded
	p.take(leaving)
	p.settle()
	for _, c := range p.standing() {
		if c.conn != nil && c.out.talk.Between() {
			_, _ = c.conn.Write(protocol.Leave) // a failure is the connection's own end
		}
		p.endEstablished(c, byLeaving)
	}
	p.refuseSilent()
	p.finish()
}

// refuseSilent tells those that have asked nothing yet to try elsewhere: a request may be on its way from them.
func (p *Proxy) refuseSilent() {
	for first := p.silent.Front(); first != nil; first = p.silent.Front() {
		p.refuse(first.Value.(*client), isLeaving)
	}
}
