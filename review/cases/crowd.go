package main

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hatchproxy/review/stand"
)

func init() { cases["crowd"] = crowd }

// crowd: a proxy's process is replaced while idle clients fill the descriptors. Established connections go on, or are moved.
func crowd(p *play) ([]string, error) {
	const established, idlePerSecond, descriptors = 150, 400, 1024
	var here syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &here); err != nil || here.Cur < 4*descriptors {
		return nil, fmt.Errorf("the stand-ins need %d descriptors, and have %d: %v", 4*descriptors, here.Cur, err)
	}
	var targets []stand.Target
	for i := range 8 {
		targets = append(targets, stand.NewServer(p.rec, fmt.Sprintf("s%d", i)).Target("za", "m", i/4))
	}
	discovery := stand.NewDiscovery(p.rec, targets)
	defer discovery.Close()
	proxy := stand.NewProxy(p.rec, p.root, p.dir, "n0")
	listener, err := net.Listen("tcp", proxy.Address)
	if err != nil {
		return nil, err
	}
	if proxy.Listener, err = listener.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	_ = listener.Close() // the platform holds the socket as proxy.Listener
	proxy.Admin, proxy.TMP, proxy.Descriptors = stand.FreeAddress(), p.dir, descriptors
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
	for range established {
		time.Sleep(20 * time.Millisecond)
		opening.Go(func() {
			c := stand.Open(p.rec, proxy.Address, "slot-watch", 1800)
			mu.Lock()
			defer mu.Unlock()
			clients = append(clients, c)
		})
	}
	opening.Wait()
	for _, c := range clients {
		if !strings.HasPrefix(c.Answer, "UP ") {
			return nil, fmt.Errorf("client %s is not up: %q", c.ID, c.Answer)
		}
	}
	if p.trouble {
		var idle atomic.Int64
		stop := make(chan struct{})
		defer close(stop)
		p.rec.Logf("idle clients begin to come, %d a second", idlePerSecond)
		go func() {
			tick := time.NewTicker(time.Second / idlePerSecond)
			defer tick.Stop()
			for {
				select {
				case <-stop:
					return
				case <-tick.C:
					go func() {
						idle.Add(1)
						stand.Idle(proxy.Address)
						idle.Add(-1)
					}()
				}
			}
		}()
		time.AfterFunc(7*time.Second, func() { p.rec.Logf("%d idle clients are connected", idle.Load()) })
	}
	time.Sleep(6 * time.Second)
	next := proxy.Successor()
	if err := next.Start(discovery.Address); err != nil {
		return nil, err
	}
	defer next.Kill()
	if !next.WaitAdminReady(6 * time.Second) {
		return nil, errors.New("the new process does not say yes")
	}
	time.Sleep(2 * time.Second)
	p.rec.Logf("platform: descriptors: the old process holds %d, the new one %d", proxy.CountDescriptors(), next.CountDescriptors())
	proxy.Signal(syscall.SIGTERM)
	if !proxy.Exited(1800*time.Millisecond + 700*time.Millisecond + 50*time.Millisecond) {
		proxy.Signal(syscall.SIGKILL)
		proxy.Exited(5 * time.Second)
	}
	time.Sleep(2 * time.Second)
	var lost []string
	moved, going := 0, 0
	for _, c := range clients {
		wasMoved, end := c.Status()
		switch {
		case wasMoved:
			moved++
		case end != "":
			lost = append(lost, fmt.Sprintf("lost: client %s was up at a server that answers (%s) and was cut off without MOVE: %q", c.ID, c.Answer, end))
		default:
			going++
		}
	}
	p.rec.Logf("%d clients go on, %d were moved, %d were cut off", going, moved, len(lost))
	return lost, nil
}
