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
	listener *listen.Files
	take     func(*os.File)

	mu      sync.Mutex
	changed *sync.Cond
	paused  bool
	closed  bool
	serving bool
}

// newAcceptor makes one that is paused. The listener is its own from now on; take is called for one connection after
// the other.
func newAcceptor(l *listen.Files, take func(*os.File)) *acceptor {
	a := &acceptor{listener: l, take: take, paused: true}
	a.changed = sync.NewCond(&a.mu)
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
	if !a.serving {
		a.serving = true
		go a.serve()
	}
	a.changed.Broadcast()
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
	a.changed.Broadcast()
}

func (a *acceptor) serve() {
	for a.awaitTurn() {
		conn, err := a.listener.Accept()
		if err != nil {
			continue // paused or closed: a listener knows no other error
		}
		a.take(conn)
	}
}

// awaitTurn waits while it is paused; false once it is closed.
func (a *acceptor) awaitTurn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.paused && !a.closed {
		a.changed.Wait()
	}
	return !a.closed
}
