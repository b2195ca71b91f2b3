package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"hatchproxy/review/stand"
)

func init() { cases["pushed"] = pushed }

// pushed: where lists are pushed, a proxy is killed, a server begins to drain, discovery goes down for 8 s, and the proxy is
// started again, with the list that it last had. What the agent has counts as told from the first moment of the new process.
func pushed(p *play) ([]string, error) {
	const grace = 400 * time.Millisecond
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
	settings := stand.Settings("automatic", 10000, 400, stand.Class{Name: "officer-quote", DeadlineMS: 1800})
	known := discovery.List()
	proxy.Configure(discovery.Address, known, settings)
	if err := proxy.Start(discovery.Address); err != nil {
		return nil, err
	}
	defer proxy.Kill()
	if !proxy.WaitReady(30 * time.Second) {
		return nil, errors.New("the proxy is not ready")
	}
	var opening sync.WaitGroup
	open := func() {
		opening.Go(func() {
			c := stand.Open(p.rec, proxy.Address, "officer-quote", 1800)
			time.Sleep(3 * time.Second)
			c.Close()
		})
	}
	for range 20 {
		open()
		time.Sleep(100 * time.Millisecond)
	}
	proxy.Kill()
	p.rec.Logf("platform: proxy n0 was killed")
	time.Sleep(500 * time.Millisecond)
	servers[0].Drain()
	discovery.SetState("s0", "draining")
	time.Sleep(500 * time.Millisecond)
	if p.trouble {
		discovery.SetDown(true)
		time.AfterFunc(8*time.Second, func() { discovery.SetDown(false) })
	}
	time.Sleep(500 * time.Millisecond)
	started := time.Now()
	proxy.Configure(discovery.Address, known, settings)
	if err := proxy.Start(discovery.Address); err != nil {
		return nil, err
	}
	if !proxy.WaitReady(30 * time.Second) {
		return nil, errors.New("the proxy is not ready again")
	}
	for range 100 {
		open()
		time.Sleep(100 * time.Millisecond)
	}
	opening.Wait()
	var breaches []string
	for _, at := range servers[0].Opens() {
		if late := at.Sub(started) - grace - 50*time.Millisecond; late > 0 {
			breaches = append(breaches, fmt.Sprintf("drain: s0 got a new request %.0f ms after the proxy counted as told, %.0f ms too late",
				float64(at.Sub(started).Milliseconds()), float64(late.Milliseconds())))
		}
	}
	return breaches, nil
}
