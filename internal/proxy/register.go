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

// errNotRegistered is a connection that the loop let go at once: its poller did not take it, which its library does not
// report.
var errNotRegistered = errors.New("the event loop did not take a connection")

// registerTimeout is how long a connection that was accepted is tried to be registered; then its client is turned away, while
// it still has time to try elsewhere.
const registerTimeout = 250 * time.Millisecond

// registration is a connection's context until the loop has opened it.
type registration struct {
	side   any
	opened atomic.Bool
}

// register has the loop take a connection, and waits until it has. The connection belongs to the loop in any case: it
// is closed where that fails.
func (p *Proxy) register(side any, conn net.Conn) error {
	r := &registration{side: side}
	result, err := p.loop.Enroll(gnet.NewContext(context.Background(), r), conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	select {
	case done := <-result:
		if done.Err != nil {
			return done.Err
		}
	case <-p.ctx.Done():
		return p.ctx.Err()
	}
	if !r.opened.Load() {
		return errNotRegistered
	}
	return nil
}

// registerWithRetry does the same once more with a connection's descriptor, again while calls fail for a moment. One that cannot be
// registered for a while is ended with a word. Guards against a client's connection that is closed without one, though
// its request may have come. The file is closed in any case.
func (p *Proxy) registerWithRetry(side any, file *os.File, word []byte) error {
	defer file.Close()
	ctx, cancel := context.WithTimeout(p.ctx, registerTimeout)
	defer cancel()
	err := transient.Retry(ctx, transient.Backoff{Initial: time.Millisecond, Max: 20 * time.Millisecond}, alwaysRetry, func() error {
		p.post(func() { p.counters.RegisterRetries++ })
		return p.registerFile(side, file)
	})
	if err != nil && p.ctx.Err() == nil {
		p.log.Warn("a connection is turned away, as it cannot be registered", "error", err)
	}
	if err != nil {
		rejectFile(file, word)
	}
	return err
}

// registerFile registers a duplicate of a descriptor, which stays the caller's.
func (p *Proxy) registerFile(side any, file *os.File) error {
	conn, err := net.FileConn(file)
	if err != nil {
		return err
	}
	return p.register(side, conn)
}

func alwaysRetry(error) bool { return true }

// rejectFile says a last word on a connection that the loop never had. The file is closed by its owner.
func rejectFile(file *os.File, word []byte) {
	raw, err := file.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_, _ = unix.Write(int(fd), word) // a failure is the client's, or the connection's end
		_ = unix.Shutdown(int(fd), unix.SHUT_WR)
		discardInput(int(fd))
	})
}

// acceptClient has the loop take a client's connection.
func (p *Proxy) acceptClient(file *os.File) {
	c := &client{connectedAt: p.now()}
	if err := p.registerFile(c, file); err == nil {
		_ = file.Close()
		return
	}
	// Beside the acceptor: those behind it at the door are not held up.
	go func() { _ = p.registerWithRetry(c, file, protocol.BusyLine(0)) }() // what fails was logged, and the client told
}
