// Package transient distinguishes transient failures of system calls from permanent ones, and paces retries. A transient
// failure says nothing about a peer, and must not end a listener, a loop or the process.
package transient

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// resourceErrors are the errors with which the kernel reports that a resource is exhausted at the moment.
var resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN, syscall.EINTR}

// IsResourceShortage reports whether a call failed because this machine was short of a resource. Source: accept(2),
// socket(2), connect(2), epoll_ctl(2), fcntl(2).
func IsResourceShortage(err error) bool { return matchesAny(err, resourceErrors) }

// fileErrors are the transient errors of opening and reading a file.
var fileErrors = []error{syscall.EIO, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EAGAIN, syscall.ESTALE}

// IsFileReadError reports whether reading a file failed for a transient reason, which does not lie in the file itself.
// Source: open(2), read(2).
func IsFileReadError(err error) bool { return matchesAny(err, fileErrors) }

// matchesAny reports whether err is one of the known errors.
func matchesAny(err error, known []error) bool {
	for _, errno := range known {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// IsClosed reports whether a call failed because the owner closed the listener or connection, or because a deadline that the
// owner set has passed. Only these errors end a listener.
func IsClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// Backoff is the wait between retries: Initial at first, then twice as long each time, up to Max. A value with only
// these two fields set is ready for use.
type Backoff struct {
	Initial, Max time.Duration
	current      time.Duration // the last wait
}

// Wait waits until the next retry. If the context ends first, it returns the context's error.
func (b *Backoff) Wait(ctx context.Context) error {
	b.current = min(max(2*b.current, b.Initial), b.Max)
	timer := time.NewTimer(b.current)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Reset makes the next wait Initial again.
func (b *Backoff) Reset() { b.current = 0 }

// Retry repeats a call while it fails with an error for which isTransient is true, until the context ends. It returns the
// last error of the call.
func Retry(ctx context.Context, backoff Backoff, isTransient func(error) bool, call func() error) error {
	for {
		err := call()
		if err == nil || !isTransient(err) || backoff.Wait(ctx) != nil {
			return err
		}
	}
}

// readTimeout limits how long ReadFile retries. A new configuration must take effect within a few seconds of the signal.
const readTimeout = 3 * time.Second

// ReadFile reads a file. It retries for a few seconds while reading fails with an error for which IsFileReadError is true.
func ReadFile(path string) (text []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	err = Retry(ctx, Backoff{Initial: 2 * time.Millisecond, Max: 100 * time.Millisecond}, IsFileReadError, func() error {
		text, err = os.ReadFile(path)
		return err
	})
	return text, err
}
