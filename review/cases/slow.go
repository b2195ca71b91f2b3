package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"hatchproxy/review/stand"
)

func init() {
	cases["slowdrain"] = slowDrain
	cases["slowstart"] = slowStart
}

// callQueue is how long a call waits for its turn while discovery is crowded: less than the 3 s after which calls fail there.
const (
	callQueue  = 2500 * time.Millisecond
	downFor    = 5 * time.Second
	crowdedFor = 15 * time.Second
)

// slowDrain: discovery is down for 5 s and is crowded for 15 s after its return: calls wait 2.5 s for their turn. A server begins to
// drain 1 s after the return.
func slowDrain(p *play) ([]string, error) {
	const grace = time.Second
	var targets []stand.Target
	var servers []*stand.Server
	for i := range 4 {
		s := stand.NewServer(p.rec, fmt.Sprintf("s%d", i))
		servers = append(servers, s)
		targets = append(targets, s.Target("za", "m", i))
	}
	discovery := stand.NewDiscovery(p.rec, targets)
	defer discovery.Close()
	proxy := stand.NewProxy(p.rec, p.root, p.dir, "n0")
	proxy.Configure(discovery.Address, discovery.List(), stand.Settings("subscribe", 6000, 1000, stand.Class{Name: "feed-read", DeadlineMS: 1200}))
	if err := proxy.Start(discovery.Address); err != nil {
		return nil, err
	}
	defer proxy.Kill()
	if !proxy.WaitReady(30 * time.Second) {
		return nil, errors.New("the proxy is not ready")
	}
	stop := make(chan struct{})
	var opening sync.WaitGroup
	opening.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				opening.Go(func() {
					c := stand.Open(p.rec, proxy.Address, "feed-read", 1200)
					time.Sleep(3 * time.Second)
					c.Close()
				})
			}
		}
	})
	time.Sleep(3 * time.Second)
	if p.trouble {
		discovery.SetDown(true)
	}
	time.Sleep(downFor)
	if p.trouble {
		discovery.SetQueue(callQueue)
		discovery.SetDown(false)
		time.AfterFunc(crowdedFor, func() { discovery.SetQueue(0) })
	}
	time.Sleep(time.Second)
	servers[0].Drain()
	drained := time.Now()
	discovery.SetState("s0", "draining")
	time.Sleep(20 * time.Second)
	close(stop)
	opening.Wait()
	var breaches []string
	for _, at := range servers[0].Opens() {
		if late := at.Sub(drained) - 6*time.Second - grace - 50*time.Millisecond; late > 0 {
			breaches = append(breaches, fmt.Sprintf("drain: s0 got a new request %.1f s after discovery had the drain, %.1f s too late",
				at.Sub(drained).Seconds(), late.Seconds()))
		}
	}
	return breaches, nil
}

// slowStart: discovery is crowded in the same way when a proxy is started. It has to be ready within 30 s.
func slowStart(p *play) ([]string, error) {
	var targets []stand.Target
	for i := range 4 {
		targets = append(targets, stand.NewServer(p.rec, fmt.Sprintf("s%d", i)).Target("za", "m", i))
	}
	discovery := stand.NewDiscovery(p.rec, targets)
	defer discovery.Close()
	if p.trouble {
		discovery.SetQueue(callQueue)
	}
	proxy := stand.NewProxy(p.rec, p.root, p.dir, "n0")
	proxy.Configure(discovery.Address, discovery.List(), stand.Settings("subscribe", 6000, 1000, stand.Class{Name: "feed-read", DeadlineMS: 1200}))
	if err := proxy.Start(discovery.Address); err != nil {
		return nil, err
	}
	defer proxy.Kill()
	if !proxy.WaitReady(45 * time.Second) {
		return []string{"the proxy is not ready 45 s after its start"}, nil
	}
	return nil, nil
}
