package proxy

import (
	"context"
	"log/slog"
	"net"

	"github.com/panjf2000/gnet/v2"
	errorx "github.com/panjf2000/gnet/v2/pkg/errors"
)

// InterceptDials has a test stand between a proxy and its dials, before it runs: what a dial brings goes through it.
func (p *Proxy) InterceptDials(through func(net.Conn, error) (net.Conn, error)) {
	dial := p.dialFunc
	p.dialFunc = func(ctx context.Context, endpoint string) (net.Conn, error) { return through(dial(ctx, endpoint)) }
}

// AnswerPending has a proxy answer at once what is pending, as it does shortly before it must be gone.
func (p *Proxy) AnswerPending() { p.post(p.expirePending) }

// Quit has a proxy end, and returns when it has begun to.
func (p *Proxy) Quit() {
	begun := make(chan struct{})
	p.post(func() {
		p.quit()
		close(begun)
	})
	<-begun
}

// EvictIdleAfter has a proxy make room, with something done first in the same turn of its loop.
func (p *Proxy) EvictIdleAfter(first func()) {
	p.post(func() {
		first()
		p.ensureDescriptors(p.maxSockets)
	})
}

// EndLoop has the loop end by itself, as its library does where waiting for events fails.
func (p *Proxy) EndLoop() {
	_ = p.loop.Execute(p.ctx, gnet.RunnableFunc(func(context.Context) error { return errorx.ErrEngineShutdown }))
}

// ErrLoopEnded is what Run then returns.
var ErrLoopEnded = errLoopEnded

// SetLogger has a proxy write its log elsewhere, before it runs.
func (p *Proxy) SetLogger(log *slog.Logger) { p.log = log }

// CountUnsentAttempts counts the attempts whose line the kernel has not taken whole.
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

// StallLoopDuring holds the loop up while something is done beside it.
func (p *Proxy) StallLoopDuring(meanwhile func()) {
	done := make(chan struct{})
	p.post(func() {
		meanwhile()
		close(done)
	})
	<-done
}
