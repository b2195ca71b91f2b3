package proxy

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"hatchproxy/internal/protocol"
	"hatchproxy/internal/transient"
)

// errNotRegistered reports that the event loop closed a new connection at once because its poller did not take it. gnet
// does not report this case.
var errNotRegistered = errors.New("the event loop did not register the connection")

// errPeerGone reports that the peer of a connection has reset it. There is nobody left to answer, so it is not tried again.
var errPeerGone = errors.New("the peer has reset the connection")

// registerTimeout bounds the retries to register an accepted connection. After that the client is refused, while it
// still has time to try elsewhere.
const registerTimeout = 250 * time.Millisecond

// registration is the context of a connection until the event loop has opened it.
type registration struct {
	owner  any // a *client, an *attempt or a *probe
	opened atomic.Bool
}

// register hands a connection to the event loop and waits until the loop has opened it. The connection belongs to the
// loop in any case: it is closed on failure.
func (p *Proxy) register(owner any, conn net.Conn) error {
	// A socket that its peer has reset has no remote address any more, which gnet relies on.
	if conn.RemoteAddr() == nil {
		_ = conn.Close()
		return errPeerGone
	}
	r := &registration{owner: owner}
	result, err := p.loop.Enroll(gnet.NewContext(context.Background(), r), conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	select {
	case registered := <-result:
		if registered.Err != nil {
			return registered.Err
		}
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
	if !r.opened.Load() {
		return errNotRegistered
	}
	return nil
}

// registerWithRetry registers a connection's descriptor and retries for up to registerTimeout. If that fails, the final
// line is written to the connection, so that a client is not closed without an answer although its request may have
// arrived, unless the peer has reset the connection. The file is closed in any case.
func (p *Proxy) registerWithRetry(owner any, file *os.File, finalLine []byte) error {
	defer file.Close()
	ctx, cancel := context.WithTimeout(p.ctx, registerTimeout)
	defer cancel()
	err := transient.Retry(ctx, transient.Backoff{Initial: time.Millisecond, Max: 20 * time.Millisecond}, isPeerPresent, func() error {
		p.post(func() { p.counters.RegisterRetries++ })
		return p.registerFile(owner, file)
	})
	if err == nil || errors.Is(err, errPeerGone) {
		return err
	}
	if p.ctx.Err() == nil {
		p.log.Warn("cannot register a connection with the event loop; refusing it", "error", err)
	}
	sendFinalLine(file, finalLine)
	return err
}

// registerFile registers a duplicate of a descriptor; the file itself remains the caller's.
func (p *Proxy) registerFile(owner any, file *os.File) error {
	conn, err := net.FileConn(file)
	if err != nil {
		return err
	}
	return p.register(owner, conn)
}

// registrationDescriptors is how many descriptors a connection has at most until the event loop holds it: the file that was
// accepted or received, and two duplicates, one of the runtime's and one of gnet's.
const registrationDescriptors = 3

// isPeerPresent makes transient.Retry go on after any error, unless the peer is gone.
func isPeerPresent(err error) bool { return !errors.Is(err, errPeerGone) }

// sendFinalLine writes a final line to a connection that the event loop never held, and ends its sending side. The caller
// closes the file.
func sendFinalLine(file *os.File, finalLine []byte) {
	raw, err := file.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_, _ = unix.Write(int(fd), finalLine) // fails if the client does not read or the connection has ended
		_ = unix.Shutdown(int(fd), unix.SHUT_WR)
		discardInput(int(fd))
	})
}

// acceptClient registers a newly accepted client connection with the event loop.
func (p *Proxy) acceptClient(file *os.File) {
	p.unregistered.Add(registrationDescriptors)
	c := &client{connectedAt: p.now()}
	if err := p.registerFile(c, file); err == nil || errors.Is(err, errPeerGone) {
		_ = file.Close()
		p.unregistered.Add(-registrationDescriptors)
		return
	}
	// In a goroutine of its own, so that the acceptor goes on with the connections behind this one.
	go func() {
		defer p.unregistered.Add(-registrationDescriptors)
		_ = p.registerWithRetry(c, file, protocol.BusyLine(0)) // a failure has been logged and the client refused
	}()
}
