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
	// A change of the list counts as delivered from the moment from which the protocol holds the proxy to it, whether or
	// not it has arrived: silenceDeliveryLimit after the service's last answer or waitDeliveryLimit after the end of the
	// long poll that is open then, whichever is later.
	silenceDeliveryLimit = 6 * second
	waitDeliveryLimit    = 2 * second
	// newServiceDeliveryLimit is how long after a new configuration the list of the discovery service that it names counts
	// as delivered; the protocol defines this, too.
	newServiceDeliveryLimit = 4 * second
	// agentRetryDelay is the wait before the next call to an agent after a failed one. It is short: an agent's changes
	// count as delivered as soon as it can be reached, and calls to the proxy's own agent are cheap.
	agentRetryDelay = 100 * millisecond
	// cachedListDelay is how long a new process waits for a list before it serves by the one of an earlier run. Calls that are
	// still unanswered then have failed at the service, which drops them after some seconds.
	cachedListDelay = 4 * second
)

// listFreshness says how long the server list may be relied on. The protocol counts changes as delivered after fixed
// times, whether or not they have arrived; from then on, plus the drain grace, the list is outdated.
type listFreshness struct {
	drainGrace      logic.Micros // how long new requests may go to a server after its drain counts as delivered
	maxPollInterval logic.Micros // the longest time allowed between two requests for the list; 0 if none is set
	pushedByAgent   bool         // the list comes from an agent, whose changes count as delivered at once
	freshUntil      logic.Micros // a change made from now on counts as delivered then at the earliest
	unanswered      bool         // the service has not answered since the start or since a configuration named it
}

// SetListLimits sets how old the server list may be when requests are sent by it: how long new requests may go to a
// draining server, the longest time between two requests for the list (0 for no limit on its age), and whether an agent
// pushes it, whose changes count as delivered at once. It must be called before Run or on the event loop.
func (p *Proxy) SetListLimits(drainGrace, maxPollInterval logic.Micros, pushedByAgent bool) {
	p.listFreshness.drainGrace, p.listFreshness.maxPollInterval, p.listFreshness.pushedByAgent = drainGrace, maxPollInterval, pushedByAgent
}

// extendFreshness sets the time from which on changes count as delivered, and schedules the list to become outdated the
// drain grace after it. After a further maxPollInterval the proxy uses the list again although it is outdated: a fleet
// that serves nobody is worse than one that serves by an old list. That does not hold for the list that a new agent has
// never confirmed.
func (p *Proxy) extendFreshness(until logic.Micros) {
	p.listFreshness.freshUntil = until
	p.instance.SetListOutdated(false)
	if p.listFreshness.maxPollInterval == 0 {
		return
	}
	end := until + p.listFreshness.drainGrace
	p.scheduleAt(end, func() {
		if p.listFreshness.freshUntil == until && p.ctx.Err() == nil {
			p.log.Warn("the server list is outdated; not sending requests by it", "silent_us", int64(p.now()-p.listReceivedAt))
			p.instance.SetListOutdated(true)
		}
	})
	p.scheduleAt(end+p.listFreshness.maxPollInterval, func() {
		if p.listFreshness.freshUntil == until && !p.waitsForAgent() && p.ctx.Err() == nil {
			p.log.Warn("the server list is still outdated; using it all the same")
			p.instance.SetListOutdated(false)
		}
	})
}

// beginFreshness sets how long a new process may rely on the list of an earlier run. What an agent has counts as delivered from
// the first moment of a process: nothing is sent by the earlier list then.
func (p *Proxy) beginFreshness() {
	p.listFreshness.unanswered = true
	if !p.listFreshness.pushedByAgent {
		p.extendFreshness(p.now() + silenceDeliveryLimit)
		return
	}
	p.listFreshness.freshUntil = p.now()
	p.instance.SetListOutdated(true)
}

// waitsForAgent reports whether an agent pushes the list and has not told anything since the start or since a configuration
// named it.
func (p *Proxy) waitsForAgent() bool {
	return p.listFreshness.pushedByAgent && p.listFreshness.unanswered
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
	if p.listFreshness.freshUntil == 0 {
		p.beginFreshness()
	}
	onUpdate := func(version int64, hold time.Duration, visit func(discovery.ListVisitor)) {
		p.post(func() {
			if number != p.watchNumber {
				return
			}
			p.listVersion, p.ready, p.listFreshness.unanswered = version, true, false
			visit(&listUpdate{p, false})
			p.extendFreshness(p.now() + max(silenceDeliveryLimit, logic.Micros(hold.Microseconds())+waitDeliveryLimit))
			p.startAccepting()
		})
	}
	if number == 1 {
		p.scheduleAfter(cachedListDelay, p.serveByCachedList)
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

// serveByCachedList makes a proxy ready that knows servers only from an earlier run and has had no answer by now.
func (p *Proxy) serveByCachedList() {
	if !p.ready && len(p.servers) > 0 && p.ctx.Err() == nil {
		p.log.Warn("no answer with the server list yet; serving by the cached one")
		p.ready = true
		p.startAccepting()
	}
}

// watchFailed handles the end of a watch and has the list requested again. In general a failed call does not extend the
// list's freshness: a refusal, a reset or silence may affect this proxy alone, and a change counts as delivered a fixed
// time after the service had it and could be reached.
func (p *Proxy) watchFailed(err error) {
	p.log.Warn("cannot get the server list", "error", err)
	p.watching = false
	p.ready = p.ready || len(p.servers) > 0 && !p.waitsForAgent()
	if now := p.now(); errors.Is(err, syscall.ECONNREFUSED) && now < p.listFreshness.freshUntil && !p.waitsForAgent() {
		// Nobody can reach the service now: its further changes count as delivered only some time after it is back.
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

// switchService follows the server list of another discovery service from now on. It asks for a full list, since versions
// are specific to a service and the old one would hide changes. The current list is used until the first answer.
func (p *Proxy) switchService(to *discovery.Client) {
	old := p.discovery
	p.discovery, p.listVersion, p.listFreshness.unanswered = to, discovery.NoVersion, true
	p.extendFreshness(min(p.listFreshness.freshUntil, p.now()+newServiceDeliveryLimit))
	p.startWatch()
	old.Close()
}
