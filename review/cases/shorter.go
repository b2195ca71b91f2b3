package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"hatchproxy/review/stand"
)

func init() { cases["shorter"] = shorter }

// shorter: a new configuration drops the class with the longest deadline. Some time later the proxy is restarted as planned.
// Each established connection has to be moved before SIGKILL.
func shorter(p *play) ([]string, error) {
	const kept, dropped = 800.0, 3000.0
	var targets []stand.Target
	for i := range 4 {
		targets = append(targets, stand.NewServer(p.rec, fmt.Sprintf("s%d", i)).Target("za", "m", i))
	}
	discovery := stand.NewDiscovery(p.rec, targets)
	defer discovery.Close()
	proxy := stand.NewProxy(p.rec, p.root, p.dir, "n0")
	short, long := stand.Class{Name: "slot-watch", DeadlineMS: kept}, stand.Class{Name: "slot-report", DeadlineMS: dropped}
	proxy.Configure(discovery.Address, discovery.List(), stand.Settings("subscribe", 10000, 2000, short, long))
	if err := proxy.Start(discovery.Address); err != nil {
		return nil, err
	}
	defer proxy.Kill()
	if !proxy.WaitReady(30 * time.Second) {
		return nil, errors.New("the proxy is not ready")
	}
	time.Sleep(time.Second)
	longest := dropped
	if p.trouble {
		proxy.Configure(discovery.Address, discovery.List(), stand.Settings("subscribe", 10000, 2000, short))
		proxy.Signal(syscall.SIGHUP)
		longest = kept
	}
	time.Sleep(1200 * time.Millisecond)
	c := stand.Open(p.rec, proxy.Address, "slot-report", int(dropped))
	c.Close()
	if served := strings.HasPrefix(c.Answer, "UP "); served == p.trouble {
		return nil, fmt.Errorf("a client of the class in question was answered %q", c.Answer)
	}
	time.Sleep(5 * time.Second) // no request of the old configuration is pending after this
	var clients []*stand.Client
	var mu sync.Mutex
	var opening sync.WaitGroup
	for range 120 {
		time.Sleep(25 * time.Millisecond)
		opening.Go(func() {
			c := stand.Open(p.rec, proxy.Address, "slot-watch", int(kept))
			mu.Lock()
			defer mu.Unlock()
			clients = append(clients, c)
		})
	}
	opening.Wait()
	for _, c := range clients {
		if _, end := c.Status(); end != "" {
			return nil, fmt.Errorf("client %s is not up: %s", c.ID, end)
		}
	}
	time.Sleep(3 * time.Second)
	proxy.Signal(syscall.SIGTERM)
	grace := time.Duration(longest)*time.Millisecond + 700*time.Millisecond + 50*time.Millisecond
	if !proxy.Exited(grace) {
		p.rec.Logf("platform: the longest deadline, 0.7 s and 0.05 s are over")
		proxy.Signal(syscall.SIGKILL)
		proxy.Exited(5 * time.Second)
	}
	time.Sleep(500 * time.Millisecond)
	var lost []string
	for _, c := range clients {
		if moved, end := c.Status(); !moved {
			lost = append(lost, fmt.Sprintf("lost: client %s was up and ended without MOVE: %q", c.ID, end))
		}
		c.Close()
	}
	return lost, nil
}
