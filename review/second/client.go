package main

import (
	"bufio"
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clients is an open-loop load of well-behaved clients. Each sends a line every 2 s while it is served, and comes again
// when it was moved or its connection broke.
type clients struct {
	rec     *record
	class   string
	proxies func() []string // the addresses at which the front deals out connections now
	limit   time.Duration
	life    time.Duration // mean time for which a client stays
	stop    chan struct{}
	group   sync.WaitGroup

	asked, up, busy, failed, unanswered, closed, moved, broken atomic.Int64
	held                                                       atomic.Int64 // connections that are up now

	mu  sync.Mutex
	rng *rand.Rand
}

func newClients(rec *record, class string, limit, life time.Duration, seed int64, proxies func() []string) *clients {
	return &clients{rec: rec, class: class, proxies: proxies, limit: limit, life: life, stop: make(chan struct{}), rng: rand.New(rand.NewSource(seed))}
}

// draw returns a random number from 0 to 1.
func (c *clients) draw() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

func (c *clients) key() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x", c.rng.Uint64())
}

// run starts so many clients a second until stopped.
func (c *clients) run(perSecond float64) {
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		next := time.Now()
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(time.Until(next)):
			}
			next = next.Add(time.Duration((0.5 + c.draw()) / perSecond * float64(time.Second)))
			c.group.Add(1)
			go func() {
				defer c.group.Done()
				c.client()
			}()
		}
	}()
}

func (c *clients) finish() {
	close(c.stop)
	c.group.Wait()
}

// pause waits and reports whether the load goes on.
func (c *clients) pause(d time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// client lives through its connections.
func (c *clients) client() {
	key, end := c.key(), time.Now().Add(time.Duration((0.5+c.draw())*float64(c.life)))
	for again := false; time.Now().Before(end); again = true {
		addresses := c.proxies()
		if len(addresses) > 0 && !c.connect(addresses[int(c.draw()*float64(len(addresses)))], key, end, again) {
			return
		}
		if !c.pause(time.Duration(100+c.draw()*900) * time.Millisecond) {
			return
		}
	}
}

// connect makes one connection. It reports whether the client comes again.
func (c *clients) connect(address, key string, end time.Time, again bool) bool {
	id := c.key()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return true
	}
	defer conn.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-c.stop:
			_ = conn.SetReadDeadline(time.Now().Add(c.limit + 500*time.Millisecond))
		case <-ended:
		}
	}()
	fields := fmt.Sprintf("c=%s,d=%d", c.class, c.limit.Milliseconds())
	if again {
		fields += ",again=1"
	}
	if _, err := conn.Write([]byte("OPEN " + id + " " + key + " " + fields + "\r\n")); err != nil {
		return true
	}
	c.asked.Add(1)
	_ = conn.SetReadDeadline(time.Now().Add(c.limit + 500*time.Millisecond))
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	line = strings.TrimRight(line, "\r\n")
	switch {
	case err != nil && strings.Contains(err.Error(), "timeout"):
		c.unanswered.Add(1)
		c.rec.log("client %s: no answer in time", id)
		return true
	case err != nil:
		c.closed.Add(1)
		c.rec.log("client %s: closed without an answer: %v", id, err)
		return true
	case strings.HasPrefix(line, "UP "):
		c.up.Add(1)
	case strings.HasPrefix(line, "BUSY"):
		c.busy.Add(1)
		return true
	default:
		c.failed.Add(1)
		c.rec.log("client %s: answered %q", id, line)
		return true
	}
	c.held.Add(1)
	defer c.held.Add(-1)
	for time.Now().Before(end) {
		if _, err := conn.Write([]byte("hello\r\n")); err != nil {
			c.broken.Add(1)
			return true
		}
		next := time.Now().Add(2 * time.Second)
		_ = conn.SetReadDeadline(next)
		for {
			line, err := in.ReadString('\n')
			if strings.HasPrefix(line, "MOVE") {
				c.moved.Add(1)
				return true
			}
			if err != nil {
				if ne, ok := err.(net.Error); ok && ne.Timeout() {
					break
				}
				c.broken.Add(1)
				c.rec.log("client %s: its connection broke without MOVE: %v", id, err)
				return true
			}
		}
		if !c.pause(0) {
			return false
		}
	}
	return false
}

func (c *clients) String() string {
	return fmt.Sprintf("%d asked, %d up, %d refused, %d failed, %d unanswered, %d closed without an answer, %d moved, %d broken",
		c.asked.Load(), c.up.Load(), c.busy.Load(), c.failed.Load(), c.unanswered.Load(), c.closed.Load(), c.moved.Load(), c.broken.Load())
}
