// Package links stands between the processes of named machines: all that one machine's processes send to another's
// passes a relay on loopback that holds it, delays it or breaks it off, each direction on its own. A relay knows who
// calls by the loopback address that the caller dials from. No rights, kernel settings or name spaces are needed.
package links

import (
	"errors"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Trouble is what one direction of a link suffers. The zero value is a sound one.
type Trouble struct {
	Cut           bool          // nothing comes and nothing ends; what was under way comes once the cut is over
	Delay, Jitter time.Duration // each piece comes that much later, and up to so much more
	Lost          float64       // share of pieces that come only as TCP sends them again: retransmit later, doubling
	Rate          int           // bytes a second; 0 for as many as come
	Idle          time.Duration // connections that carry nothing for so long are dead, silently and for good; 0 for never
}

const (
	// retransmit is the least wait before TCP sends a piece again (RFC 6298 has 1 s, kernels 200 ms).
	retransmit = 200 * time.Millisecond
	// piece and held bound what the relay keeps of one direction of a connection: beyond it the sender waits.
	piece = 16 << 10
	held  = 64
)

// Net is the links between machines. Its methods may be called from any goroutine.
type Net struct {
	mu        sync.Mutex
	rng       *rand.Rand
	machines  map[netip.Addr]string
	troubles  map[[2]string]Trouble
	changed   chan struct{} // closed with the next change
	calls     map[*call]bool
	listeners []net.Listener
	carried   atomic.Int64
	running   sync.WaitGroup
	over      chan struct{}
}

// call is one connection through a relay.
type call struct {
	from, to string
	ends     [2]*net.TCPConn
	way      bool // it is lost when a side ends it in a cut
	once     sync.Once
	over     chan struct{}
	mu       sync.Mutex
	last     time.Time // when something passed
}

// New makes sound links; the seed decides about jitter and loss.
func New(seed int64) *Net {
	return &Net{rng: rand.New(rand.NewSource(seed)), machines: map[netip.Addr]string{}, troubles: map[[2]string]Trouble{},
		changed: make(chan struct{}), calls: map[*call]bool{}, over: make(chan struct{})}
}

// Machine names the one whose processes dial from an address.
func (n *Net) Machine(name string, from netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machines[from] = name
}

// Serve relays what comes to the address that a machine's service advertises to the one where it listens. An address
// with port 0 gets a free one. It returns what is to be advertised.
func (n *Net) Serve(machine, advertised, listens string) (string, error) {
	return n.listen("", machine, advertised, listens)
}

// Way relays what one machine sends to a service of another: who calls there is known by the address that was called, not by the
// one that it dials from. A side that ends it while a direction is cut ends it for both, and what was under way is lost, as
// with a reset: nobody answers for what comes out of a cut after its sender has given it up. It returns where to call.
func (n *Net) Way(from, to, listens string) (string, error) {
	return n.listen(from, to, "127.0.0.1:0", listens)
}

func (n *Net) listen(from, machine, advertised, listens string) (string, error) {
	l, err := net.Listen("tcp", advertised)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, l)
	n.mu.Unlock()
	n.running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.running.Go(func() { n.relay(from, machine, listens, c.(*net.TCPConn)) })
		}
	})
	return l.Addr().String(), nil
}

// Set has one direction suffer a trouble from now on.
func (n *Net) Set(from, to string, t Trouble) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.troubles[[2]string{from, to}] = t
	close(n.changed)
	n.changed = make(chan struct{})
}

// Both sets both directions.
func (n *Net) Both(a, b string, t Trouble) {
	n.Set(a, b, t)
	n.Set(b, a, t)
}

// Carried is how many bytes have been passed on in all.
func (n *Net) Carried() int64 { return n.carried.Load() }

// Reset breaks off all connections between two machines.
func (n *Net) Reset(a, b string) {
	n.mu.Lock()
	var hit []*call
	for c := range n.calls {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.end(true)
	}
}

// Close ends all relays and connections.
func (n *Net) Close() {
	n.mu.Lock()
	close(n.over)
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for c := range n.calls {
		c.end(true)
	}
	n.mu.Unlock()
	n.running.Wait()
}

func (n *Net) trouble(from, to string) (Trouble, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.troubles[[2]string{from, to}], n.changed
}

func (n *Net) draw() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

func (c *call) end(reset bool) {
	c.once.Do(func() {
		close(c.over)
		for _, e := range c.ends {
			if reset {
				_ = e.SetLinger(0)
			}
			_ = e.Close()
		}
	})
}

func (n *Net) relay(from, to, listens string, in *net.TCPConn) {
	way := from != ""
	if !way {
		caller := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		n.mu.Lock()
		var known bool
		from, known = n.machines[caller]
		n.mu.Unlock()
		if !known {
			_ = in.SetLinger(0)
			_ = in.Close()
			return
		}
	}
	// A connection comes up only through two sound directions: the caller waits in silence until then.
	for _, d := range [][2]string{{from, to}, {to, from}} {
		t, _ := n.trouble(d[0], d[1])
		if good := n.await(d[0], d[1], nil); !good || way && t.Cut {
			_ = in.SetLinger(0) // what its caller has sent meanwhile, and perhaps given up, goes nowhere
			_ = in.Close()
			return
		}
	}
	out, err := net.DialTimeout("tcp", listens, time.Second)
	if err != nil {
		_ = in.SetLinger(0) // nobody listens: refused, as far as a relay can say it
		_ = in.Close()
		return
	}
	c := &call{from: from, to: to, ends: [2]*net.TCPConn{in, out.(*net.TCPConn)}, way: way, over: make(chan struct{}), last: time.Now()}
	n.mu.Lock()
	n.calls[c] = true
	n.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { n.pump(c, from, to, c.ends[0], c.ends[1]) })
	both.Go(func() { n.pump(c, to, from, c.ends[1], c.ends[0]) })
	both.Wait()
	c.end(false)
	n.mu.Lock()
	delete(n.calls, c)
	n.mu.Unlock()
}

// await waits until a direction is no longer cut; false if all is over first.
func (n *Net) await(from, to string, c *call) bool {
	var over chan struct{}
	if c != nil {
		over = c.over
	}
	for {
		t, changed := n.trouble(from, to)
		if !t.Cut {
			return true
		}
		select {
		case <-changed:
		case <-over:
			return false
		case <-n.over:
			return false
		}
	}
}

type parcel struct {
	due   time.Time
	bytes []byte
	err   error // the end, in order or not
}

// pump carries one direction. Order is kept, as TCP keeps it: a piece that is late holds up those behind it.
func (n *Net) pump(c *call, from, to string, in, out *net.TCPConn) {
	under := make(chan parcel, held)
	go func() {
		defer close(under)
		free := time.Now() // when the link has carried all before
		for {
			b := make([]byte, piece)
			k, err := in.Read(b)
			t, _ := n.trouble(from, to)
			if err != nil && c.way && t.Cut {
				c.end(true)
			}
			now := time.Now()
			due := now.Add(t.Delay + time.Duration(n.draw()*float64(t.Jitter)))
			for wait := retransmit; t.Lost > 0 && wait < 8*retransmit && n.draw() < t.Lost; wait *= 2 {
				due = due.Add(wait)
			}
			if t.Rate > 0 {
				free = later(free, now).Add(time.Duration(float64(k) / float64(t.Rate) * float64(time.Second)))
				due = later(due, free)
			}
			select {
			case under <- parcel{due, b[:k], err}:
			case <-c.over:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range under {
		if wait := time.Until(p.due); wait > 0 {
			select {
			case <-time.After(wait):
			case <-c.over:
				return
			}
		}
		if !n.await(from, to, c) || n.dead(c, from, to) {
			<-c.over // dead for good: it says nothing until a side gives up
			return
		}
		if len(p.bytes) > 0 {
			n.carried.Add(int64(len(p.bytes)))
			if _, err := out.Write(p.bytes); err != nil {
				c.end(true)
				return
			}
		}
		switch {
		case errors.Is(p.err, io.EOF):
			_ = out.CloseWrite()
		case p.err != nil:
			c.end(true)
		}
	}
}

// dead tells whether the connection has carried nothing for too long, and notes that something passes.
func (n *Net) dead(c *call, from, to string) bool {
	t, _ := n.trouble(from, to)
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Idle > 0 && time.Since(c.last) > t.Idle {
		return true
	}
	c.last = time.Now()
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
