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
	silenceDeliveryLimit = 6 * second
	waitDeliveryLimit    = 2 * second
	// A new configuration's list counts as told so long after it; the protocol's, too.
	newServiceDeliveryLimit = 4 * second
	// agentRetryDelay is the wait before an agent is called again that could not be: what it has when it is back counts at once,
	// and calls to an agent of one's own are dear to nobody.
	agentRetryDelay = 100 * millisecond
)

// listFreshness is how far the list may be trusted. The pages count changes as told at times of their own, whether or not they were
// heard; from then on, and the stated grace, the list is outdated.
type listFreshness struct {
	drainGrace      logic.Micros // for which a server may still be sent to that was told to drain
	maxPollInterval logic.Micros // the span within which the list must be asked for
	pushedByAgent   bool         // what an agent has counts as told
	freshUntil      logic.Micros // what changes from now on counts as told then at the earliest
}

// SetListLimits says how old the list may be that is sent by, before the proxy runs or on its loop: the grace for servers that
// drain, the span within which the list must be asked for, and whether an agent is told all at once.
func (p *Proxy) SetListLimits(grace, within logic.Micros, pushed bool) {
	p.listFreshness.drainGrace, p.listFreshness.maxPollInterval, p.listFreshness.pushedByAgent = grace, within, pushed
}

// extendFreshness notes until when the list may be trusted, and has it end then. The proxy goes on by it all the same after a further
// span in which it must be asked for: a fleet that serves nobody is worse than one that serves by an old list.
func (p *Proxy) extendFreshness(until logic.Micros) {
	p.listFreshness.freshUntil = until
	p.instance.SetListOutdated(false)
	if p.listFreshness.maxPollInterval == 0 {
		return
	}
	end := until + p.listFreshness.drainGrace
	p.scheduleAt(end, func() {
		if p.listFreshness.freshUntil == until && p.ctx.Err() == nil {
			p.log.Warn("the server list is too old to send by", "silent_us", int64(p.now()-p.listReceivedAt))
			p.instance.SetListOutdated(true)
		}
	})
	p.scheduleAt(end+p.listFreshness.maxPollInterval, func() {
		if p.listFreshness.freshUntil == until && p.ctx.Err() == nil {
			p.log.Warn("the server list is old, and gone by all the same")
			p.instance.SetListOutdated(false)
		}
	})
}

// Subscribe begins a new watch on the server list. Answers of an earlier one no longer count.
func (p *Proxy) Subscribe() {
	if p.cancelWatch != nil {
		p.cancelWatch()
	}
	ctx, cancel := context.WithCancel(p.ctx)
	p.cancelWatch = cancel
	p.watchNumber++
	number, from := p.watchNumber, p.listVersion
	if p.listFreshness.freshUntil == 0 {
		p.extendFreshness(p.now() + silenceDeliveryLimit)
	}
	told := func(version int64, hold time.Duration, tell func(discovery.ListVisitor)) {
		p.post(func() {
			if number != p.watchNumber {
				return
			}
			p.listVersion, p.ready = version, true
			tell(&listUpdate{p, false})
			p.extendFreshness(p.now() + max(silenceDeliveryLimit, logic.Micros(hold.Microseconds())+waitDeliveryLimit))
			p.startAccepting()
		})
	}
	go func() {
		err := p.discovery.Follow(ctx, from, told)
		p.post(func() {
			if number == p.watchNumber && p.ctx.Err() == nil {
				p.watchFailed(err)
			}
		})
	}()
}

// watchFailed tells that the list cannot be had. A call that failed excuses nothing: whatever came of it, a change counts as told
// so long after the service had it and could be reached. A refusal, a reset or silence may be this proxy's alone.
func (p *Proxy) watchFailed(why error) {
	p.log.Warn("the server list cannot be had", "error", why)
	p.ready = p.ready || len(p.servers) > 0
	if now := p.now(); errors.Is(why, syscall.ECONNREFUSED) && now < p.listFreshness.freshUntil {
		// Nobody could reach it just now: what it has to tell from here on counts so long after it can be reached again.
		p.extendFreshness(max(p.listFreshness.freshUntil, now+silenceDeliveryLimit))
	}
	if p.listFreshness.pushedByAgent {
		p.scheduleAfter(agentRetryDelay, func() {
			if p.ctx.Err() == nil {
				p.Subscribe()
			}
		})
	} else {
		p.instance.ListRequestFailed(p.now())
	}
	p.startAccepting()
}

// switchService follows the list of another service from now on. The last list is kept until the first answer, which is
// a whole one: versions are those of a service, and one of the old would hide changes.
func (p *Proxy) switchService(to *discovery.Client) {
	old := p.discovery
	p.discovery, p.listVersion = to, discovery.NoVersion
	p.extendFreshness(min(p.listFreshness.freshUntil, p.now()+newServiceDeliveryLimit))
	p.Subscribe()
	old.Close()
}
