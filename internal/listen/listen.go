// Package listen opens listeners that outlast system calls which fail for a moment: only their owner ends them.
package listen

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hatchproxy/internal/transient"
)

const (
	// opening is how long an address is tried for at the start: a process that replaces another has 30 s until it must be
	// ready, and a wrong address should be told soon.
	opening = 5 * time.Second
	// firstRetry and longestRetry pace the retries: who waits at the door is served soon after the failure has passed.
	firstRetry   = 2 * time.Millisecond
	longestRetry = 25 * time.Millisecond
)

// backoff is how retries are paced.
func backoff() transient.Backoff {
	return transient.Backoff{First: firstRetry, Longest: longestRetry}
}

// TCP listens on an address. A call that fails for a moment is made again for some seconds; so is one that finds the
// address taken, as by a process that is about to end. Connections have no keep-alive.
func TCP(ctx context.Context, address string, log *slog.Logger) (*Listener, error) {
	return open(ctx, net.ListenConfig{KeepAlive: -1}, "tcp", address, log)
}

// SharedTCP does the same where another process may listen on the address as well, as the one does that is being replaced.
func SharedTCP(ctx context.Context, address string, log *slog.Logger) (*Listener, error) {
	return open(ctx, net.ListenConfig{KeepAlive: -1, Control: sharePort}, "tcp", address, log)
}

// Unix listens on a socket in the file system.
func Unix(ctx context.Context, path string, log *slog.Logger) (*Listener, error) {
	return open(ctx, net.ListenConfig{}, "unix", path, log)
}

func open(ctx context.Context, config net.ListenConfig, network, address string, log *slog.Logger) (*Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, opening)
	defer cancel()
	var l net.Listener
	told := false
	err := transient.Retry(ctx, backoff(), mayPass, func() (err error) {
		if l, err = config.Listen(ctx, network, address); err != nil && !told {
			told = true
			log.Warn("listening fails", "address", address, "error", err)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return Keep(l, log), nil
}

func mayPass(err error) bool { return transient.OfResources(err) || isTaken(err) }

// sharePort lets the next process of a replacement listen while this one still does.
func sharePort(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return failed
}

// Listener is a listener whose Accept returns an error only where its owner closed it or set its deadline.
type Listener struct {
	net.Listener
	retries
}

// Keep has a listener outlast calls that fail.
func Keep(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: l, retries: retries{log: log, address: l.Addr()}}
}

// Accept waits for a connection. It makes a failed call again, at a growing interval, until the listener is closed.
func (l *Listener) Accept() (conn net.Conn, err error) {
	err = l.persist(func() error {
		conn, err = l.Listener.Accept()
		return err
	})
	return conn, err
}

// retries makes failed accepts again and counts them.
type retries struct {
	log     *slog.Logger
	address net.Addr
	failed  atomic.Uint64
}

// Failures counts the accepts that failed and were made again.
func (r *retries) Failures() uint64 { return r.failed.Load() }

func (r *retries) persist(accept func() error) error {
	wait := backoff()
	for tries := 0; ; tries++ {
		err := accept()
		if err == nil {
			if tries > 0 {
				r.log.Info("accepting again", "address", r.address.String(), "failures", tries)
			}
			return nil
		}
		if transient.IsClosed(err) {
			return err
		}
		r.failed.Add(1)
		if tries == 0 {
			r.log.Warn("accept fails, it is tried again", "address", r.address.String(), "error", err)
		}
		_ = wait.Wait(context.Background()) // which never ends
	}
}

func isTaken(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }
