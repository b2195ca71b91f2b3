// Package listen opens listeners that survive transient failures of system calls: they end only when their owner closes
// them.
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
	// listenTimeout limits how long opening a listener is retried. A process that replaces another has 30 s until it must be
	// ready, and an address that cannot be used should be reported soon.
	listenTimeout = 5 * time.Second
	// minRetryWait and maxRetryWait bound the wait between retries. They are short, so that waiting clients are accepted
	// soon after the failure has passed.
	minRetryWait = 2 * time.Millisecond
	maxRetryWait = 25 * time.Millisecond
)

// newBackoff returns the backoff between retries.
func newBackoff() transient.Backoff {
	return transient.Backoff{Initial: minRetryWait, Max: maxRetryWait}
}

// TCP listens on a TCP address. For up to listenTimeout, it retries if the system is short of a resource or if the address is
// in use, for example by a process that is about to end. The connections have no keep-alive.
func TCP(ctx context.Context, address string, log *slog.Logger) (*Listener, error) {
	return open(ctx, net.ListenConfig{KeepAlive: -1}, "tcp", address, log)
}

// ReusePortTCP is like TCP, but allows another process to listen on the same address: the process that is being replaced.
func ReusePortTCP(ctx context.Context, address string, log *slog.Logger) (*Listener, error) {
	return open(ctx, net.ListenConfig{KeepAlive: -1, Control: setReusePort}, "tcp", address, log)
}

// Unix listens on a Unix socket, with the same retries as TCP.
func Unix(ctx context.Context, path string, log *slog.Logger) (*Listener, error) {
	return open(ctx, net.ListenConfig{}, "unix", path, log)
}

// open listens on an address, with retries. It logs the first failure.
func open(ctx context.Context, config net.ListenConfig, network, address string, log *slog.Logger) (*Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, listenTimeout)
	defer cancel()
	var listener net.Listener
	logged := false
	err := transient.Retry(ctx, newBackoff(), isTransient, func() (err error) {
		if listener, err = config.Listen(ctx, network, address); err != nil && !logged {
			logged = true
			log.Warn("cannot listen on the address, retrying", "address", address, "error", err)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return NewListener(listener, log), nil
}

// isTransient reports whether opening a listener is worth a retry after err.
func isTransient(err error) bool { return transient.IsResourceShortage(err) || isAddressInUse(err) }

// setReusePort sets SO_REUSEPORT, so that a process and its successor can listen at the same time.
func setReusePort(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Listener is a listener whose Accept returns an error only if its owner closed it or set a deadline.
type Listener struct {
	net.Listener
	acceptRetrier
}

// NewListener returns a listener that retries failed accepts of l.
func NewListener(l net.Listener, log *slog.Logger) *Listener {
	return &Listener{Listener: l, acceptRetrier: acceptRetrier{log: log, address: l.Addr()}}
}

// Accept waits for a connection. It retries failed calls, at growing intervals, until the listener is closed or its deadline
// passes.
func (l *Listener) Accept() (conn net.Conn, err error) {
	err = l.retry(func() error {
		conn, err = l.Listener.Accept()
		return err
	})
	return conn, err
}

// acceptRetrier retries failed accepts and counts the failures.
type acceptRetrier struct {
	log      *slog.Logger
	address  net.Addr
	failures atomic.Uint64
}

// Failures returns how many accepts failed and were retried.
func (r *acceptRetrier) Failures() uint64 { return r.failures.Load() }

// retry calls accept until it succeeds or the listener is closed. It logs the first failure and the success after it.
func (r *acceptRetrier) retry(accept func() error) error {
	backoff := newBackoff()
	for failures := 0; ; failures++ {
		err := accept()
		if err == nil {
			if failures > 0 {
				r.log.Info("accept succeeds again", "address", r.address.String(), "failures", failures)
			}
			return nil
		}
		if transient.IsClosed(err) {
			return err
		}
		r.failures.Add(1)
		if failures == 0 {
			r.log.Warn("accept failed, retrying", "address", r.address.String(), "error", err)
		}
		_ = backoff.Wait(context.Background()) // this context never ends
	}
}

// isAddressInUse reports whether another socket has the address.
func isAddressInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }
