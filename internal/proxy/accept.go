package proxy

import (
	"os"
	"sync"
	"time"

	"hatchproxy/internal/listen"
)

// acceptor accepts client connections on a goroutine of its own, outside the event loop, while it is not paused.
// Connections that arrive while it is paused wait in the listener's backlog.
type acceptor struct {
	listener   *listen.FileListener
	handleConn func(*os.File)

	mu           sync.Mutex
	stateChanged *sync.Cond
	paused       bool
	closed       bool
	loopStarted  bool // acceptLoop runs
}

// newAcceptor returns a paused acceptor, which owns the listener from then on. It calls handleConn for one connection
// at a time; handleConn owns the file.
func newAcceptor(l *listen.FileListener, handleConn func(*os.File)) *acceptor {
	a := &acceptor{listener: l, handleConn: handleConn, paused: true}
	a.stateChanged = sync.NewCond(&a.mu)
	return a
}

// Resume starts or continues accepting. It does nothing after Close.
func (a *acceptor) Resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.paused = false
	_ = a.listener.SetDeadline(time.Time{}) // fails only if the listener is closed
	if !a.loopStarted {
		a.loopStarted = true
		go a.acceptLoop()
	}
	a.stateChanged.Broadcast()
}

// Pause stops accepting. A connection that was accepted just before is still passed to handleConn.
func (a *acceptor) Pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paused = true
	_ = a.listener.SetDeadline(time.Unix(1, 0)) // a time in the past makes Accept return at once
}

// Paused reports whether the acceptor is paused.
func (a *acceptor) Paused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.paused
}

// closeTimeout is how long Close waits for the listener to close.
const closeTimeout = 5 * time.Millisecond

// Close stops the acceptor for good and closes its listener. It does not wait for a call of accept that blocks because another process
// has just made the shared socket a blocking one: the event loop must go on.
func (a *acceptor) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	listenerClosed := make(chan struct{})
	go func() {
		_ = a.listener.Close()
		close(listenerClosed)
	}()
	select {
	case <-listenerClosed:
	case <-time.After(closeTimeout):
	}
	a.stateChanged.Broadcast()
}

// acceptLoop accepts connections until the acceptor is closed.
func (a *acceptor) acceptLoop() {
	for a.waitUntilResumed() {
		conn, err := a.listener.Accept()
		if err != nil {
			continue // paused or closed: FileListener retries all other errors itself
		}
		a.handleConn(conn)
	}
}

// waitUntilResumed blocks while the acceptor is paused. It returns false once the acceptor is closed.
func (a *acceptor) waitUntilResumed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.paused && !a.closed {
		a.stateChanged.Wait()
	}
	return !a.closed
}
