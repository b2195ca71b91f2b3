package main

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"hatchproxy/review/stand"
)

func init() { cases["midline"] = midLine }

// midLine: two of nine servers become slow: a message takes 1.6 s there, and is still answered. All servers write an answer in
// pieces. Clients may be moved, but not cut off without MOVE.
func midLine(p *play) ([]string, error) {
	const messageTime = 1600 * time.Millisecond
	var targets []stand.Target
	var servers []*stand.Server
	for i := range 9 {
		s := stand.NewServer(p.rec, fmt.Sprintf("s%d", i))
		s.SetPieces(4)
		servers = append(servers, s)
		targets = append(targets, s.Target("za", "m", i/4))
	}
	discovery := stand.NewDiscovery(p.rec, targets)
	defer discovery.Close()
	proxy := stand.NewProxy(p.rec, p.root, p.dir, "n0")
	proxy.Configure(discovery.Address, discovery.List(), stand.Settings("subscribe", 10000, 2000, stand.Class{Name: "slot-watch", DeadlineMS: 1800}))
	if err := proxy.Start(discovery.Address); err != nil {
		return nil, err
	}
	defer proxy.Kill()
	if !proxy.WaitReady(30 * time.Second) {
		return nil, errors.New("the proxy is not ready")
	}
	var clients []*stand.Client
	var mu sync.Mutex
	var opening sync.WaitGroup
	for range 150 {
		time.Sleep(30 * time.Millisecond)
		opening.Go(func() {
			c := stand.Open(p.rec, proxy.Address, "slot-watch", 1800)
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
	if p.trouble {
		servers[0].SetSlow(messageTime)
		servers[1].SetSlow(messageTime)
	}
	time.Sleep(15 * time.Second)
	var lost []string
	moved := 0
	for _, c := range clients {
		wasMoved, end := c.Status()
		if wasMoved {
			moved++
		} else if end != "" {
			lost = append(lost, fmt.Sprintf("lost: client %s was up at a server that answers (%s) and was cut off without MOVE: %q", c.ID, c.Answer, end))
		}
	}
	p.rec.Logf("%d clients, %d moved, %d cut off", len(clients), moved, len(lost))
	for _, c := range clients {
		c.Close()
	}
	return lost, nil
}
