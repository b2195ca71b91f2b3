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

// Impairment is what one direction of a link suffers. The zero value is a sound one.
type Impairment struct {
	Cut             bool          // nothing comes and nothing ends; what was under way comes once the cut is over
	Delay, Jitter   time.Duration // each piece comes that much later, and up to so much more
	LossProbability float64       // share of pieces that come only as TCP sends them again: retransmit later, doubling
	BytesPerSecond  int           // bytes a second; 0 for as many as come
	IdleTimeout     time.Duration // connections that carry nothing for so long are dead, silently and for good; 0 for never
}

const (
	// minRetransmitDelay is the least wait before TCP sends a piece again (RFC 6298 has 1 s, kernels 200 ms).
	minRetransmitDelay = 200 * time.Millisecond
	// maxChunkSize and held bound what the relay keeps of one direction of a connection: beyond it the sender waits.
	maxChunkSize    = 16 << 10
	maxQueuedChunks = 64
)

// Network is the links between machines. Its methods may be called from any goroutine.
type Network struct {
	mu           sync.Mutex
	rng          *rand.Rand
	machineNames map[netip.Addr]string
	impairments  map[[2]string]Impairment
	changed      chan struct{} // closed with the next change
	conns        map[*relayedConn]bool
	listeners    []net.Listener
	carriedBytes atomic.Int64
	running      sync.WaitGroup
	closed       chan struct{}
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	from, to               string
	sockets                [2]*net.TCPConn
	resetIfClosedDuringCut bool // it is lost when a side ends it in a cut
	closeOnce              sync.Once
	closed                 chan struct{}
	mu                     sync.Mutex
	lastActivity           time.Time // when something passed
}

// New makes sound links; the seed decides about jitter and loss.
func New(seed int64) *Network {
	return &Network{rng: rand.New(rand.NewSource(seed)), machineNames: map[netip.Addr]string{}, impairments: map[[2]string]Impairment{},
		changed: make(chan struct{}), conns: map[*relayedConn]bool{}, closed: make(chan struct{})}
}

// AddMachine names the one whose processes dial from an address.
func (n *Network) AddMachine(name string, from netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machineNames[from] = name
}

// AddRelay relays what comes to the address that a machine's service advertises to the one where it listens. An address
// with port 0 gets a free one. It returns what is to be advertised.
func (n *Network) AddRelay(machine, advertised, listens string) (string, error) {
	return n.listen("", machine, advertised, listens)
}

// AddRelayBetween relays what one machine sends to a service of another: who calls there is known by the address that was called, not by the
// one that it dials from. A side that ends it while a direction is cut ends it for both, and what was under way is lost, as
// with a reset: nobody answers for what comes out of a cut after its sender has given it up. It returns where to call.
func (n *Network) AddRelayBetween(from, to, listens string) (string, error) {
	return n.listen(from, to, "127.0.0.1:0", listens)
}

func (n *Network) listen(from, machine, advertised, listens string) (string, error) {
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

// SetImpairment has one direction suffer a trouble from now on.
func (n *Network) SetImpairment(from, to string, t Impairment) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.impairments[[2]string{from, to}] = t
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetBothDirections sets both directions.
func (n *Network) SetBothDirections(a, b string, t Impairment) {
	n.SetImpairment(a, b, t)
	n.SetImpairment(b, a, t)
}

// CarriedBytes is how many bytes have been passed on in all.
func (n *Network) CarriedBytes() int64 { return n.carriedBytes.Load() }

// ResetConnections breaks off all connections between two machines.
func (n *Network) ResetConnections(a, b string) {
	n.mu.Lock()
	var hit []*relayedConn
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.close(true)
	}
}

// Close ends all relays and connections.
func (n *Network) Close() {
	n.mu.Lock()
	close(n.closed)
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for c := range n.conns {
		c.close(true)
	}
	n.mu.Unlock()
	n.running.Wait()
}

func (n *Network) impairment(from, to string) (Impairment, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.impairments[[2]string{from, to}], n.changed
}

func (n *Network) drawFloat() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

func (c *relayedConn) close(reset bool) {
	c.closeOnce.Do(func() {
		close(c.closed)
		for _, e := range c.sockets {
			if reset {
				_ = e.SetLinger(0)
			}
			_ = e.Close()
		}
	})
}

func (n *Network) relay(from, to, listens string, in *net.TCPConn) {
	way := from != ""
	if !way {
		caller := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		n.mu.Lock()
		var known bool
		from, known = n.machineNames[caller]
		n.mu.Unlock()
		if !known {
			_ = in.SetLinger(0)
			_ = in.Close()
			return
		}
	}
	// A connection comes up only through two sound directions: the caller waits in silence until then.
	for _, d := range [][2]string{{from, to}, {to, from}} {
		t, _ := n.impairment(d[0], d[1])
		if good := n.waitWhileCut(d[0], d[1], nil); !good || way && t.Cut {
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
	c := &relayedConn{from: from, to: to, sockets: [2]*net.TCPConn{in, out.(*net.TCPConn)}, resetIfClosedDuringCut: way, closed: make(chan struct{}), lastActivity: time.Now()}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { n.forward(c, from, to, c.sockets[0], c.sockets[1]) })
	both.Go(func() { n.forward(c, to, from, c.sockets[1], c.sockets[0]) })
	both.Wait()
	c.close(false)
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
}

// waitWhileCut waits until a direction is no longer cut; false if all is over first.
func (n *Network) waitWhileCut(from, to string, c *relayedConn) bool {
	var over chan struct{}
	if c != nil {
		over = c.closed
	}
	for {
		t, changed := n.impairment(from, to)
		if !t.Cut {
			return true
		}
		select {
		case <-changed:
		case <-over:
			return false
		case <-n.closed:
			return false
		}
	}
}

type chunk struct {
	deliverAt time.Time
	data      []byte
	readErr   error // the end, in order or not
}

// forward carries one direction. Order is kept, as TCP keeps it: a piece that is late holds up those behind it.
func (n *Network) forward(c *relayedConn, from, to string, in, out *net.TCPConn) {
	under := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(under)
		free := time.Now() // when the link has carried all before
		for {
			b := make([]byte, maxChunkSize)
			k, err := in.Read(b)
			t, _ := n.impairment(from, to)
			if err != nil && c.resetIfClosedDuringCut && t.Cut {
				c.close(true)
			}
			now := time.Now()
			due := now.Add(t.Delay + time.Duration(n.drawFloat()*float64(t.Jitter)))
			for wait := minRetransmitDelay; t.LossProbability > 0 && wait < 8*minRetransmitDelay && n.drawFloat() < t.LossProbability; wait *= 2 {
				due = due.Add(wait)
			}
			if t.BytesPerSecond > 0 {
				free = laterOf(free, now).Add(time.Duration(float64(k) / float64(t.BytesPerSecond) * float64(time.Second)))
				due = laterOf(due, free)
			}
			select {
			case under <- chunk{due, b[:k], err}:
			case <-c.closed:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range under {
		if wait := time.Until(p.deliverAt); wait > 0 {
			select {
			case <-time.After(wait):
			case <-c.closed:
				return
			}
		}
		if !n.waitWhileCut(from, to, c) || n.isIdleTooLong(c, from, to) {
			<-c.closed // dead for good: it says nothing until a side gives up
			return
		}
		if len(p.data) > 0 {
			n.carriedBytes.Add(int64(len(p.data)))
			if _, err := out.Write(p.data); err != nil {
				c.close(true)
				return
			}
		}
		switch {
		case errors.Is(p.readErr, io.EOF):
			_ = out.CloseWrite()
		case p.readErr != nil:
			c.close(true)
		}
	}
}

// isIdleTooLong tells whether the connection has carried nothing for too long, and notes that something passes.
func (n *Network) isIdleTooLong(c *relayedConn, from, to string) bool {
	t, _ := n.impairment(from, to)
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IdleTimeout > 0 && time.Since(c.lastActivity) > t.IdleTimeout {
		return true
	}
	c.lastActivity = time.Now()
	return false
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
