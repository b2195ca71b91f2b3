package proxy

import (
	"context"
	"errors"
	"time"

	"hatchproxy/internal/discovery"
	"hatchproxy/logic"
)

const (
	// agentRetryDelay is the wait before the next call to an agent after a failed one. It is short: an agent's changes
	// count as delivered as soon as it can be reached, and calls to the proxy's own agent are cheap.
	agentRetryDelay = 100 * millisecond
	// cachedListDelay is how long a new process waits for a list before it serves by the one of an earlier run. Calls that are
	// still unanswered then have failed at the service, which drops them after some seconds.
	cachedListDelay = 4 * second
)

// SetListLimits sets how old the server list may be when requests are sent by it: how long new requests may go to a
// draining server, the longest time between two requests for the list (0 for no limit on its age), and whether an agent
// pushes it, whose changes count as delivered at once. It must be called before Run or on the event loop.
func (p *Proxy) SetListLimits(drainGrace, maxPollInterval logic.Micros, pushedByAgent bool) {
	p.listFreshness.drainGrace, p.listFreshness.maxPollInterval, p.listFreshness.pushedByAgent = drainGrace, maxPollInterval, pushedByAgent
}

// reviewFreshness tells the balancer whether the list is outdated, now and when that may change without an answer.
func (p *Proxy) reviewFreshness() {
	p.updateOutdated()
	p.scheduleAt(p.listFreshness.outdatedFrom(), p.updateOutdated)
	p.scheduleAt(p.listFreshness.usedAgainFrom(), p.updateOutdated)
}

// updateOutdated tells the balancer whether the list is outdated, if that has changed.
func (p *Proxy) updateOutdated() {
	f, now := &p.listFreshness, p.now()
	outdated := f.isOutdated(now)
	if outdated == p.listOutdated || p.ctx.Err() != nil {
		return
	}
	p.listOutdated = outdated
	switch {
	case outdated:
		p.log.Warn("the server list is outdated; not sending requests by it", "silent_us", int64(now-p.listReceivedAt))
	case now >= f.outdatedFrom():
		p.log.Warn("the server list is still outdated; using it all the same")
	}
	p.instance.SetListOutdated(outdated)
}

// Subscribe starts a watch on the server list unless one is under way: its call may be answered late, and would only lose its
// place in the service's queue. It implements host.Executor.
func (p *Proxy) Subscribe() {
	if !p.watching {
		p.startWatch()
	}
}

// startWatch starts a new watch on the server list. Answers to an earlier watch are ignored from then on.
func (p *Proxy) startWatch() {
	if p.cancelWatch != nil {
		p.cancelWatch()
	}
	p.watching = true
	ctx, cancel := context.WithCancel(p.ctx)
	p.cancelWatch = cancel
	p.watchNumber++
	number, from := p.watchNumber, p.listVersion
	if !p.listFreshness.begun {
		p.listFreshness.begin(p.now())
		p.reviewFreshness()
	}
	onUpdate := func(version int64, hold time.Duration, visit func(discovery.ListVisitor)) {
		p.post(func() {
			if number != p.watchNumber {
				return
			}
			p.applyAnswer(version, visit)
			p.listFreshness.answered(p.now(), hold)
			p.reviewFreshness()
			p.startAccepting()
		})
	}
	if number == 1 {
		p.scheduleAfter(predecessorListTimeout, p.serveByCachedList)
		p.scheduleAfter(cachedListDelay, func() {
			p.listCallFailed = true
			p.serveByCachedList()
		})
	}
	service := p.discovery
	go func() {
		err := service.Follow(ctx, from, onUpdate)
		p.post(func() {
			if number == p.watchNumber && p.ctx.Err() == nil {
				p.watchFailed(err)
			}
		})
	}()
}

// applyAnswer applies an answer of the discovery service. Changes up to a version that another process has told already are
// left out: they may be older than what is known.
func (p *Proxy) applyAnswer(version int64, visit func(discovery.ListVisitor)) {
	var answer discovery.Collector
	visit(&answer)
	after := p.listVersion
	p.ready, p.listTold = true, true
	update := &listUpdate{p, false}
	if !answer.Full && version < after {
		update.EndList()
		return
	}
	p.listVersion = version
	visit(update)
	p.passOnAnswer(after, version, answer)
}

// serveByCachedList makes a proxy ready that has had no answer, and knows servers only from an earlier run or from its
// predecessor.
func (p *Proxy) serveByCachedList() {
	if p.ready || !p.listCallFailed || len(p.servers) == 0 || p.awaitsPredecessorList() || p.ctx.Err() != nil {
		return
	}
	p.log.Warn("no answer with the server list yet; serving by the cached one")
	p.ready = true
	p.startAccepting()
}

// watchFailed handles the end of a watch and has the list requested again.
func (p *Proxy) watchFailed(err error) {
	var failure *discovery.Error
	if !errors.As(err, &failure) {
		failure = &discovery.Error{Err: err}
	}
	p.log.Warn("cannot get the server list", "error", err)
	p.watching = false
	p.listCallFailed = p.listCallFailed || !p.listFreshness.waitsForAgent()
	p.listFreshness.callFailed(p.now(), failure.Contact, failure.HeldFor)
	p.reviewFreshness()
	if p.listFreshness.pushedByAgent {
		p.scheduleAfter(agentRetryDelay, func() {
			if p.ctx.Err() == nil {
				p.Subscribe()
			}
		})
	} else {
		p.instance.ListRequestFailed(p.now())
	}
	p.serveByCachedList()
	p.startAccepting()
}

// switchService follows the server list of another discovery service from now on. It asks for a full list, since versions
// are specific to a service and the old one would hide changes. The current list is used until the first answer.
func (p *Proxy) switchService(to *discovery.Client) {
	old := p.discovery
	p.discovery, p.listVersion = to, discovery.NoVersion
	p.listFreshness.serviceChanged(p.now())
	p.reviewFreshness()
	p.startWatch()
	old.Close()
}
