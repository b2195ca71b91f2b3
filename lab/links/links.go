// Package links simulates the network between machines on one host. Connections between the processes of different machines
// pass through TCP relays on loopback addresses. Each direction between two machines can be cut, delayed, made lossy or limited in
// rate on its own, and connections can be reset. A relay identifies the calling machine by the loopback address that the caller dials
// from, so no privileges, kernel settings or network namespaces are needed.
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

// Impairment describes how one direction of a link is impaired. The zero value is an unimpaired direction.
type Impairment struct {
	Cut             bool          // nothing is delivered and no connection ends; pending data is delivered when the cut is over
	Delay, Jitter   time.Duration // each chunk is delivered later by Delay and a random part of Jitter
	LossProbability float64       // probability that a chunk is lost and has to be retransmitted, at most three times; the delay doubles each time
	BytesPerSecond  int           // 0 for no limit
	IdleTimeout     time.Duration // a connection that was idle for longer delivers nothing any more, without an error; 0 for never
}

const (
	// minRetransmitDelay is the delay before TCP retransmits for the first time (1 s in RFC 6298, 200 ms in kernels).
	minRetransmitDelay = 200 * time.Millisecond
	// maxChunkSize (in bytes) and maxQueuedChunks bound the data that a relay buffers per direction of a connection. When the
	// queue is full, the sender has to wait.
	maxChunkSize    = 16 << 10
	maxQueuedChunks = 64
)

// Network is the set of links between machines. Its methods are safe for concurrent use.
type Network struct {
	mu           sync.Mutex
	rng          *rand.Rand
	machineNames map[netip.Addr]string    // by the address that the machine's processes dial from
	impairments  map[[2]string]Impairment // by the names of the sending and the receiving machine
	changed      chan struct{}            // closed and replaced at each change of impairments
	conns        map[*relayedConn]bool
	listeners    []net.Listener
	carriedBytes atomic.Int64
	running      sync.WaitGroup
	closed       chan struct{} // closed by Close
}

// relayedConn is one connection through a relay.
type relayedConn struct {
	from, to               string          // calling and called machine
	sockets                [2]*net.TCPConn // to the caller and to the service
	resetIfClosedDuringCut bool            // if a side closes it while the direction from that side is cut, both sides are reset
	closeOnce              sync.Once
	closed                 chan struct{}
	mu                     sync.Mutex
	lastActivity           time.Time // when data or an end last passed
}

// New returns a network without impairments. The seed determines the random draws for jitter and loss.
func New(seed int64) *Network {
	return &Network{rng: rand.New(rand.NewSource(seed)), machineNames: map[netip.Addr]string{}, impairments: map[[2]string]Impairment{},
		changed: make(chan struct{}), conns: map[*relayedConn]bool{}, closed: make(chan struct{})}
}

// AddMachine registers a machine whose processes dial from the given address.
func (n *Network) AddMachine(name string, from netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.machineNames[from] = name
}

// AddRelay starts a relay from the address that a machine's service advertises to the target address on which the service listens.
// Port 0 in the advertised address stands for a free port. AddRelay returns the address to advertise.
func (n *Network) AddRelay(machine, advertised, target string) (string, error) {
	return n.listen("", machine, advertised, target)
}

// AddRelayBetween starts a relay from one machine to a service of another that listens on the target address. Only the calling
// machine must use it: callers are not identified by the address that they dial from. If a side closes a connection while the
// direction from it is cut, both sides are reset and pending data is lost, so that nothing is delivered after the cut that its
// sender has already given up. For the same reason a connection that is opened during a cut is reset when the cut is over.
// AddRelayBetween returns the address to call.
func (n *Network) AddRelayBetween(from, to, target string) (string, error) {
	return n.listen(from, to, "127.0.0.1:0", target)
}

// listen starts a relay on the advertised address; an empty from means that callers are identified by their address.
func (n *Network) listen(from, machine, advertised, target string) (string, error) {
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
			n.running.Go(func() { n.relay(from, machine, target, c.(*net.TCPConn)) })
		}
	})
	return l.Addr().String(), nil
}

// SetImpairment sets the impairment of the direction between two machines.
func (n *Network) SetImpairment(from, to string, i Impairment) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.impairments[[2]string{from, to}] = i
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetBothDirections sets the impairment of both directions between two machines.
func (n *Network) SetBothDirections(a, b string, i Impairment) {
	n.SetImpairment(a, b, i)
	n.SetImpairment(b, a, i)
}

// CarriedBytes returns the number of bytes that have been forwarded over all links.
func (n *Network) CarriedBytes() int64 { return n.carriedBytes.Load() }

// ResetConnections resets all connections between two machines.
func (n *Network) ResetConnections(a, b string) {
	n.mu.Lock()
	var matching []*relayedConn
	for c := range n.conns {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		c.close(true)
	}
}

// Close closes all relays, resets all connections and waits until their goroutines have returned.
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

// impairment returns the impairment of a direction and a channel that is closed when any impairment changes.
func (n *Network) impairment(from, to string) (Impairment, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.impairments[[2]string{from, to}], n.changed
}

// drawFloat returns a random number in [0, 1).
func (n *Network) drawFloat() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}

// close closes both sockets, with a TCP reset if wanted. Only the first call has an effect.
func (c *relayedConn) close(reset bool) {
	c.closeOnce.Do(func() {
		close(c.closed)
		for _, socket := range c.sockets {
			if reset {
				_ = socket.SetLinger(0)
			}
			_ = socket.Close()
		}
	})
}

// relay forwards an accepted connection to the target address until it ends. If from is empty, the caller is identified by its
// address, and an unknown one is reset.
func (n *Network) relay(from, to, target string, in *net.TCPConn) {
	isFixedCaller := from != ""
	if !isFixedCaller {
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
	// The connection to the target is opened only once neither direction is cut. Until then the caller gets no data and no error.
	for _, direction := range [][2]string{{from, to}, {to, from}} {
		i, _ := n.impairment(direction[0], direction[1])
		if ok := n.waitWhileCut(direction[0], direction[1], nil); !ok || isFixedCaller && i.Cut {
			_ = in.SetLinger(0) // the caller may have given up what it sent during the cut, so that must not be delivered
			_ = in.Close()
			return
		}
	}
	out, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = in.SetLinger(0) // nobody listens on the target; the connection is already accepted, so a reset stands for a refusal
		_ = in.Close()
		return
	}
	c := &relayedConn{from: from, to: to, sockets: [2]*net.TCPConn{in, out.(*net.TCPConn)}, resetIfClosedDuringCut: isFixedCaller, closed: make(chan struct{}), lastActivity: time.Now()}
	n.mu.Lock()
	n.conns[c] = true
	n.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { n.forward(c, from, to, c.sockets[0], c.sockets[1]) })
	directions.Go(func() { n.forward(c, to, from, c.sockets[1], c.sockets[0]) })
	directions.Wait()
	c.close(false)
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
}

// waitWhileCut waits until a direction is no longer cut. It returns false if the connection c (if not nil) or the network is closed first.
func (n *Network) waitWhileCut(from, to string, c *relayedConn) bool {
	var connClosed chan struct{}
	if c != nil {
		connClosed = c.closed
	}
	for {
		i, changed := n.impairment(from, to)
		if !i.Cut {
			return true
		}
		select {
		case <-changed:
		case <-connClosed:
			return false
		case <-n.closed:
			return false
		}
	}
}

// chunk is a piece of data, or the end of the stream, that waits to be forwarded.
type chunk struct {
	deliverAt time.Time
	data      []byte
	readErr   error // io.EOF or another error if the stream ended with this chunk
}

// forward copies one direction of a connection. The order is kept as in TCP: a late chunk holds up those behind it.
func (n *Network) forward(c *relayedConn, from, to string, in, out *net.TCPConn) {
	queue := make(chan chunk, maxQueuedChunks)
	go func() {
		defer close(queue)
		linkFreeAt := time.Now() // when a link of limited rate has carried all earlier chunks
		for {
			buffer := make([]byte, maxChunkSize)
			size, err := in.Read(buffer)
			i, _ := n.impairment(from, to)
			if err != nil && c.resetIfClosedDuringCut && i.Cut {
				c.close(true)
			}
			now := time.Now()
			deliverAt := now.Add(i.Delay + time.Duration(n.drawFloat()*float64(i.Jitter)))
			for wait := minRetransmitDelay; i.LossProbability > 0 && wait < 8*minRetransmitDelay && n.drawFloat() < i.LossProbability; wait *= 2 {
				deliverAt = deliverAt.Add(wait)
			}
			if i.BytesPerSecond > 0 {
				linkFreeAt = laterOf(linkFreeAt, now).Add(time.Duration(float64(size) / float64(i.BytesPerSecond) * float64(time.Second)))
				deliverAt = laterOf(deliverAt, linkFreeAt)
			}
			select {
			case queue <- chunk{deliverAt, buffer[:size], err}:
			case <-c.closed:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for next := range queue {
		if wait := time.Until(next.deliverAt); wait > 0 {
			select {
			case <-time.After(wait):
			case <-c.closed:
				return
			}
		}
		if !n.waitWhileCut(from, to, c) || n.isIdleTooLong(c, from, to) {
			<-c.closed // a connection that was idle for too long stays silent until it is closed
			return
		}
		if len(next.data) > 0 {
			n.carriedBytes.Add(int64(len(next.data)))
			if _, err := out.Write(next.data); err != nil {
				c.close(true)
				return
			}
		}
		switch {
		case errors.Is(next.readErr, io.EOF):
			_ = out.CloseWrite()
		case next.readErr != nil:
			c.close(true)
		}
	}
}

// isIdleTooLong reports whether the connection was idle for longer than the direction's idle timeout. If not, it records activity.
func (n *Network) isIdleTooLong(c *relayedConn, from, to string) bool {
	i, _ := n.impairment(from, to)
	c.mu.Lock()
	defer c.mu.Unlock()
	if i.IdleTimeout > 0 && time.Since(c.lastActivity) > i.IdleTimeout {
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
