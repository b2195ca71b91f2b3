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
	// drainGrace is how long after that new work may go to the server (stop-sending-within-ms), with the slack of 50 ms.
	drainGrace = 2*time.Second + 50*time.Millisecond
)

// judgeDrain records what came to drained servers after the last moment at which the rule allows it.
func judgeDrain(e *env, servers []*server, drained time.Time) (broken bool) {
	limit := drained.Add(toldWithin + drainGrace)
	e.rec.log("judge: drained at %.3f, nothing new may come after %.3f", e.rec.since(drained), e.rec.since(limit))
	for _, s := range servers {
		for _, a := range s.after(limit) {
			e.rec.log("judge: BROKEN: %s got request %s at %.3f, %.3f s after it counted as told", a.server, a.id, e.rec.since(a.at), a.at.Sub(drained.Add(toldWithin)).Seconds())
			broken = true
		}
	}
	return broken
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

// crowded: the proxy's watch has just been answered when discovery gets too many callers for 10 s, and three of eight servers begin to drain.
func crowded(e *env) (bool, error) {
	servers, d, err := e.fleet(8)
	if err != nil {
		return false, err
	}
	address := freeAddress()
	p, err := e.start(proxyOptions{name: "n1", listen: address, discovery: d.address, known: d.known(), settings: settings([]map[string]any{product("slot-watch", "repeatable")})})
	if err != nil {
		return false, err
	}
	if err := awaitReady(address, 10*time.Second); err != nil {
		return false, err
	}
	load := newClients(e.rec, "slot-watch", 1800*time.Millisecond, 3*time.Second, 1, func() []string { return []string{address} })
	load.run(40)
	time.Sleep(4 * time.Second)
	// An ordinary change ends the watch, and the next one begins.
	if e.trouble {
		d.crowd(10 * time.Second)
	}
	d.update(func(t *target) bool {
		if t.UID == "s-8" {
			t.CapacityHint = 1.1
		}
		return t.UID == "s-8"
	})
	time.Sleep(300 * time.Millisecond)
	drained := time.Now()
	for _, s := range servers[:3] {
		s.draining.Store(true)
	}
	d.update(func(t *target) bool {
		if t.UID <= "s-3" {
			t.State = "draining"
			return true
		}
		return false
	})
	unreached := watchDiscovery(e, d, 18*time.Second)
	load.finish()
	e.rec.log("clients: %v", load)
	switch {
	case p.hasEnded():
		return false, errors.New("the proxy has ended")
	case unreached > 0:
		return false, errors.New("discovery was not reached by another caller")
	case load.up.Load() < 100:
		return false, errors.New("too few clients were served")
	}
	return judgeDrain(e, servers[:3], drained), nil
}

// herd: the proxy is killed and started again while discovery has too many callers, and two of eight servers begin to drain.
func herd(e *env) (bool, error) {
	servers, d, err := e.fleet(8)
	if err != nil {
		return false, err
	}
	address := freeAddress()
	options := proxyOptions{name: "n1", listen: address, discovery: d.address, known: d.known(), settings: settings([]map[string]any{product("slot-watch", "repeatable")})}
	p, err := e.start(options)
	if err != nil {
		return false, err
	}
	if err := awaitReady(address, 10*time.Second); err != nil {
		return false, err
	}
	load := newClients(e.rec, "slot-watch", 1800*time.Millisecond, 3*time.Second, 1, func() []string { return []string{address} })
	load.run(40)
	time.Sleep(3 * time.Second)
	if e.trouble {
		d.crowd(28 * time.Second)
	}
	p.kill()
	if p, err = e.start(options); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	drained := time.Now()
	for _, s := range servers[:2] {
		s.draining.Store(true)
	}
	d.update(func(t *target) bool {
		if t.UID == "s-1" || t.UID == "s-2" {
			t.State = "draining"
			return true
		}
		return false
	})
	unreached := watchDiscovery(e, d, 30*time.Second)
	load.finish()
	e.rec.log("clients: %v", load)
	switch {
	case p.hasEnded():
		return false, errors.New("the proxy has ended")
	case unreached > 0:
		return false, errors.New("discovery was not reached by another caller")
	case load.up.Load() < 100:
		return false, errors.New("too few clients were served")
	}
	return judgeDrain(e, servers[:2], drained), nil
}
