package proxy

import (
	"context"
	"errors"
	"syscall"
	"time"

	"hatchproxy/internal/discovery"
	"hatchproxy/logic"
)

const (
	// A service that has fallen silent counts as having told what has changed so long after its last word, and so long
	// after the wait of a watch is over, whichever is later. Both are the protocol's.
	silenceTells = 6 * second
	waitTells    = 2 * second
	// A new configuration's list counts as told so long after it; the protocol's, too.
	newServiceTells = 4 * second
	// agentRetry is the wait before an agent is called again that could not be: what it has when it is back counts at once,
	// and calls to an agent of one's own are dear to nobody.
	agentRetry = 100 * millisecond
)

// age is how far the list may be trusted. The pages count changes as told at times of their own, whether or not they were
// heard; from then on, and the stated grace, the list is outdated.
type age struct {
	grace  logic.Micros // for which a server may still be sent to that was told to drain
	within logic.Micros // the span within which the list must be asked for
	pushed bool         // what an agent has counts as told
	until  logic.Micros // what changes from now on counts as told then at the earliest
}

// Bounds says how old the list may be that is sent by, before the proxy runs or on its loop: the grace for servers that
// drain, the span within which the list must be asked for, and whether an agent is told all at once.
func (p *Proxy) Bounds(grace, within logic.Micros, pushed bool) {
	p.age.grace, p.age.within, p.age.pushed = grace, within, pushed
}

// fresh notes until when the list may be trusted, and has it end then. The proxy goes on by it all the same after a further
// span in which it must be asked for: a fleet that serves nobody is worse than one that serves by an old list.
func (p *Proxy) fresh(until logic.Micros) {
	p.age.until = until
	p.in.Outdated(false)
	if p.age.within == 0 {
		return
	}
	end := until + p.age.grace
	p.at(end, func() {
		if p.age.until == until && p.ctx.Err() == nil {
			p.log.Warn("the server list is too old to send by", "silent_us", int64(p.now()-p.listAt))
			p.in.Outdated(true)
		}
	})
	p.at(end+p.age.within, func() {
		if p.age.until == until && p.ctx.Err() == nil {
			p.log.Warn("the server list is old, and gone by all the same")
			p.in.Outdated(false)
		}
	})
}

// Subscribe begins a new watch on the server list. Answers of an earlier one no longer count.
func (p *Proxy) Subscribe() {
	if p.watch != nil {
		p.watch()
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.watch = cancel
	p.watching++
	number, from := p.watching, p.version
	if p.age.until == 0 {
		p.fresh(p.now() + silenceTells)
	}
	told := func(version int64, hold time.Duration, tell func(discovery.List)) {
		p.post(func() {
			if number != p.watching {
				return
			}
			p.version, p.ready = version, true
			tell(&listed{p, false})
			p.fresh(p.now() + max(silenceTells, logic.Micros(hold.Microseconds())+waitTells))
			p.accept()
		})
	}
	go func() {
		err := p.service.Follow(ctx, from, told)
		p.post(func() {
			if number == p.watching && p.ctx.Err() == nil {
				p.unheard(err)
			}
		})
	}()
}

// unheard tells that the list cannot be had. A call that failed excuses nothing: whatever came of it, a change counts as told
// so long after the service had it and could be reached. A refusal, a reset or silence may be this proxy's alone.
func (p *Proxy) unheard(why error) {
	p.log.Warn("the server list cannot be had", "error", why)
	p.ready = p.ready || len(p.servers) > 0
	if now := p.now(); errors.Is(why, syscall.ECONNREFUSED) && now < p.age.until {
		// Nobody could reach it just now: what it has to tell from here on counts so long after it can be reached again.
		p.fresh(max(p.age.until, now+silenceTells))
	}
	if p.age.pushed {
		p.after(agentRetry, func() {
			if p.ctx.Err() == nil {
				p.Subscribe()
			}
		})
	} else {
		p.in.ListFailed(p.now())
	}
	p.accept()
}

// renew follows the list of another service from now on. The last list is kept until the first answer, which is
// a whole one: versions are those of a service, and one of the old would hide changes.
func (p *Proxy) renew(to *discovery.Service) {
	old := p.service
	p.service, p.version = to, discovery.None
	p.fresh(min(p.age.until, p.now()+newServiceTells))
	p.Subscribe()
	old.Close()
}
