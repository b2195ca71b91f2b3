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
	// listenTimeout is how long an address is tried for at the start: a process that replaces another has 30 s until it must be
	// ready, and a wrong address should be told soon.
	listenTimeout = 5 * time.Second
	// minRetryWait and longestRetry pace the retries: who waits at the door is served soon after the failure has passed.
	minRetryWait = 2 * time.Millisecond
	maxRetryWait = 25 * time.Millisecond
)

// newBackoff is how retries are paced.
func newBackoff() transient.Backoff {
	return transient.Backoff{Initial: minRetryWait, Max: maxRetryWait}
}

// TCP listens on an address. A call that fails for a moment is made again for some seconds; so is one that finds the
// address taken, as by a process that is about to end. Connections have no keep-alive.
func TCP(ctx context.Context, address string, log *slog.Logger) (*Listener, error) {
	return open(ctx, net.ListenConfig{KeepAlive: -1}, "tcp", address, log)
}

// ReusePortTCP does the same where another process may listen on the address as well, as the one does that is being replaced.
func ReusePortTCP(ctx context.Context, address string, log *slog.Logger) (*Listener, error) {
	return open(ctx, net.ListenConfig{KeepAlive: -1, Control: setReusePort}, "tcp", address, log)
}

// Unix listens on a socket in the file system.
func Unix(ctx context.Context, path string, log *slog.Logger) (*Listener, error) {
	return open(ctx, net.ListenConfig{}, "unix", path, log)
}

func open(ctx context.Context, config net.ListenConfig, network, address string, log *slog.Logger) (*Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	var l net.Listener
	told := false
	err := transient.Retry(ctx, newBackoff(), isTransient, func() (err error) {
		if l, err = config.Listen(ctx, network, address); err != nil && !told {
			told = true
			log.Warn("listening fails", "address", address, "error", err)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return NewListener(l, log), nil
}

func isTransient(err error) bool { return transient.IsResourceShortage(err) || isAddressInUse(err) }

// setReusePort lets the next process of a replacement listen while this one still does.
func setReusePort(_, _ string, raw syscall.RawConn) error {
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
	acceptRetrier
}

// NewListener has a listener outlast calls that fail.
func NewListener(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: l, acceptRetrier: acceptRetrier{log: log, address: l.Addr()}}
}

// Accept waits for a connection. It makes a failed call again, at a growing interval, until the listener is closed.
func (l *Listener) Accept() (conn net.Conn, err error) {
	err = l.retry(func() error {
		conn, err = l.Listener.Accept()
		return err
	})
	return conn, err
}

// acceptRetrier makes failed accepts again and counts them.
type acceptRetrier struct {
	log      *slog.Logger
	address  net.Addr
	failures atomic.Uint64
}

// Failures counts the accepts that failed and were made again.
func (r *acceptRetrier) Failures() uint64 { return r.failures.Load() }

func (r *acceptRetrier) retry(accept func() error) error {
	wait := newBackoff()
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
		r.failures.Add(1)
		if tries == 0 {
			r.log.Warn("accept fails, it is tried again", "address", r.address.String(), "error", err)
		}
		_ = wait.Wait(context.Background()) // which never ends
	}
}

func isAddressInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }
