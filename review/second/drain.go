package main

import (
	"errors"
	"time"
)

func init() {
	cases["crowded"] = crowded
	cases["herd"] = herd
}

const (
	// toldWithin is how long after discovery has a change, and can be reached, the change counts as told at the latest.
	toldWithin = 6 * time.Second
	// slack is by how much each time limit is longer on sockets.
	slack = 50 * time.Millisecond
	// allCall is the longest crowd: the time in which discovery "can take one call from every instance" (all_call_s of the site file, 4 to 8.3 s).
	allCall = 8 * time.Second
)

// judgeDrain records what came to drained servers after the last moment at which the rule allows it. The change could be heard since a time.
func judgeDrain(e *env, servers []*server, since time.Time, grace time.Duration) (broken bool) {
	told := since.Add(toldWithin)
	limit := told.Add(grace + slack)
	e.rec.log("judge: discovery has the drains since %.3f and could be reached: they count as told at %.3f, nothing new may come after %.3f", e.rec.since(since), e.rec.since(told), e.rec.since(limit))
	for _, s := range servers {
		for _, a := range s.after(limit) {
			e.rec.log("judge: BROKEN: %s got request %s at %.3f, %.3f s too late", a.server, a.id, e.rec.since(a.at), a.at.Sub(limit).Seconds())
			broken = true
		}
	}
	return broken
}

// drain has the servers drain, and discovery tell so.
func drain(servers []*server, d *discovery) time.Time {
	names := map[string]bool{}
	for _, s := range servers {
		names[s.uid] = true
		s.draining.Store(true)
	}
	at := time.Now()
	d.update(func(t *target) bool {
		if names[t.UID] {
			t.State = "draining"
		}
		return names[t.UID]
	})
	return at
}

// watchDiscovery notes twice a second whether another caller reaches discovery, until the time is over.
func watchDiscovery(e *env, d *discovery, span time.Duration) (unreached int) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if !d.observe() {
			unreached++
			e.rec.log("judge: another caller did not reach discovery")
		}
	}
	return unreached
}

// finish ends the load and reports why the play says nothing, if so.
func (e *env) finish(p *proxy, load *clients, unreached int) error {
	load.finish()
	e.rec.log("clients: %v", load)
	switch {
	case p.hasEnded():
		return errors.New("the proxy has ended")
	case unreached > 0:
		return errors.New("discovery was not reached by another caller")
	case load.up.Load() < 100:
		return errors.New("too few clients were served")
	}
	return nil
}

// crowded: the proxy's watch has just been answered when discovery gets too many callers for 8 s, and a third of the servers begin to drain.
func crowded(e *env) (bool, error) {
	servers, d, err := e.fleet(buurtstroomOost, 15)
	if err != nil {
		return false, err
	}
	address := freeAddress()
	p, err := e.start(proxyOptions{name: "n1", listen: address, discovery: d.address, known: d.known(), site: buurtstroomOost})
	if err != nil {
		return false, err
	}
	if err := awaitReady(address, 10*time.Second); err != nil {
		return false, err
	}
	load := newClients(e.rec, "opwek-live", 2*time.Second, 3*time.Second, 1, func() []string { return []string{address} })
	load.run(40)
	time.Sleep(4 * time.Second)
	if e.trouble {
		d.crowd(allCall)
	}
	// An ordinary change ends the watch, and the next call for one comes into the crowd.
	d.update(func(t *target) bool {
		if t.UID == "s-15" {
			t.CapacityHint = 1.1
		}
		return t.UID == "s-15"
	})
	time.Sleep(200 * time.Millisecond)
	drained := drain(servers[:5], d)
	unreached := watchDiscovery(e, d, 16*time.Second)
	if err := e.finish(p, load, unreached); err != nil {
		return false, err
	}
	return judgeDrain(e, servers[:5], drained, buurtstroomOost.drainGrace), nil
}

// herd: discovery is down for 10 s, the proxy is killed and started again at its begin, and too many callers come at discovery's return,
// at which a third of the servers begin to drain.
func herd(e *env) (bool, error) {
	servers, d, err := e.fleet(buurtstroomOost, 15)
	if err != nil {
		return false, err
	}
	address := freeAddress()
	options := proxyOptions{name: "n1", listen: address, discovery: d.address, known: d.known(), site: buurtstroomOost}
	p, err := e.start(options)
	if err != nil {
		return false, err
	}
	if err := awaitReady(address, 10*time.Second); err != nil {
		return false, err
	}
	load := newClients(e.rec, "opwek-live", 2*time.Second, 3*time.Second, 1, func() []string { return []string{address} })
	load.run(40)
	time.Sleep(3 * time.Second)
	back := time.Now()
	if e.trouble {
		d.reject(10 * time.Second) // down: "a call that fails, because [...] discovery is down, ends with 503 or a reset", and watches end
		d.endWatches()
		back = back.Add(10 * time.Second)
		time.Sleep(200 * time.Millisecond)
	}
	p.kill()
	if p, err = e.start(options); err != nil {
		return false, err
	}
	time.Sleep(time.Until(back))
	if e.trouble {
		d.crowd(allCall)
	}
	time.Sleep(100 * time.Millisecond)
	drained := drain(servers[:5], d)
	unreached := watchDiscovery(e, d, 16*time.Second)
	if err := e.finish(p, load, unreached); err != nil {
		return false, err
	}
	return judgeDrain(e, servers[:5], drained, buurtstroomOost.drainGrace), nil
}
