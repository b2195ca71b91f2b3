package proxy

import (
	"context"
	"log/slog"
	"net"

	"github.com/panjf2000/gnet/v2"
	errorx "github.com/panjf2000/gnet/v2/pkg/errors"
)

// InterceptDials passes the result of each dial through a function of the test. It must be called before Run.
func (p *Proxy) InterceptDials(intercept func(net.Conn, error) (net.Conn, error)) {
	dial := p.dialFunc
	p.dialFunc = func(ctx context.Context, endpoint string) (net.Conn, error) { return intercept(dial(ctx, endpoint)) }
}

// AnswerPending makes a proxy answer all pending requests at once, as it does shortly before it must have left.
func (p *Proxy) AnswerPending() { p.post(p.expirePending) }

// Quit makes a proxy end, and returns when it has begun to.
func (p *Proxy) Quit() {
	begun := make(chan struct{})
	p.post(func() {
		p.quit()
		close(begun)
	})
	<-begun
}

// EvictIdleAfter calls before and then makes a proxy close its idle clients, in the same iteration of its event loop.
func (p *Proxy) EvictIdleAfter(before func()) {
	p.post(func() {
		before()
		p.ensureDescriptors(p.maxSockets)
	})
}

// EndLoop makes the event loop end unexpectedly, as gnet does if waiting for events fails.
func (p *Proxy) EndLoop() {
	_ = p.loop.Execute(p.ctx, gnet.RunnableFunc(func(context.Context) error { return errorx.ErrEngineShutdown }))
}

// ErrLoopEnded is the error that Run returns then.
var ErrLoopEnded = errLoopEnded

// SetLogger replaces a proxy's logger. It must be called before Run.
func (p *Proxy) SetLogger(log *slog.Logger) { p.log = log }

// CountUnsentAttempts counts the attempts whose request line the kernel has not taken completely.
func (p *Proxy) CountUnsentAttempts() int {
	count := make(chan int)
	p.post(func() {
		n := 0
		for _, c := range p.clients {
			if c.attempt != nil && c.attempt.writeStarted && !c.attempt.isFullyWritten() {
				n++
			}
		}
		count <- n
	})
	return <-count
}

// StallLoopDuring blocks the event loop while a function of the test runs.
func (p *Proxy) StallLoopDuring(meanwhile func()) {
	done := make(chan struct{})
	p.post(func() {
		meanwhile()
		close(done)
	})
	<-done
}

// UnsentBytes returns the size of the output that peers have not read.
func (p *Proxy) UnsentBytes() int {
	total := make(chan int)
	p.post(func() {
		n := 0
		for _, c := range p.clients {
			for _, conn := range []gnet.Conn{c.conn, c.attempt.conn} {
				n += conn.OutboundBuffered()
			}
		}
		total <- n
	})
	return <-total
}
