package proxy

import (
	"os"
	"sync"
	"time"

	"hatchproxy/internal/listen"
)

// acceptor accepts clients' connections, beside the loop, while it is not paused. What comes meanwhile waits in the
// listener's queue.
type acceptor struct {
	listener   *listen.FileListener
	handleConn func(*os.File)

	mu           sync.Mutex
	stateChanged *sync.Cond
	paused       bool
	closed       bool
	loopStarted  bool
}

// newAcceptor makes one that is paused. The listener is its own from now on; take is called for one connection after
// the other.
func newAcceptor(l *listen.FileListener, take func(*os.File)) *acceptor {
	a := &acceptor{listener: l, handleConn: take, paused: true}
	a.stateChanged = sync.NewCond(&a.mu)
	return a
}

// Resume has it accept.
func (a *acceptor) Resume() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.paused = false
	_ = a.listener.SetDeadline(time.Time{}) // fails where it is closed
	if !a.loopStarted {
		a.loopStarted = true
		go a.acceptLoop()
	}
	a.stateChanged.Broadcast()
}

// Pause has it accept no more; one that it has just accepted is still taken.
func (a *acceptor) Pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paused = true
	_ = a.listener.SetDeadline(time.Unix(1, 0)) // long over
}

// Paused tells whether it is paused.
func (a *acceptor) Paused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.paused
}

// Close ends it and its listener.
func (a *acceptor) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	_ = a.listener.Close()
	a.stateChanged.Broadcast()
}

func (a *acceptor) acceptLoop() {
	for a.waitUntilResumed() {
		conn, err := a.listener.Accept()
		if err != nil {
			continue // paused or closed: a listener knows no other error
		}
		a.handleConn(conn)
	}
}

// waitUntilResumed waits while it is paused; false once it is closed.
func (a *acceptor) waitUntilResumed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.paused && !a.closed {
		a.stateChanged.Wait()
	}
	return !a.closed
}
